"""Tests of the burn report of all instances."""

import re
from datetime import UTC, datetime

from bulrushloom.management.burning import burn_alerts, complete_rows
from bulrushloom.management.plots import render_page
from bulrushloom.telemetry.burn import BurnRow, Measure


def row(measure, short_rate, long_rate, account="hotel-orders"):
    burns = {"5m": short_rate, "1h": short_rate, "6h": long_rate, "3d": long_rate}
    return BurnRow(account, str(measure), burns)


def test_accounts_without_events_of_a_measure_keep_their_rows():
    rows = complete_rows([row(Measure.SERVED_SHARE, 0.5, 0.5)])
    assert [each.measure for each in rows] == list(Measure)
    assert rows[0].burn_by_window["5m"] is None


def test_alert_requires_both_windows_of_a_pair():
    burns = {"5m": 3.0, "1h": 0.9, "6h": 1.5, "3d": None}
    assert burn_alerts([BurnRow("a", "served_share", burns)]) == []
    assert burn_alerts([row(Measure.SERVED_SHARE, 2.0, 0.0, "a")]) == [
        "burning: a served_share 5m=2.00 1h=2.00"
    ]


def test_single_failover_within_the_objective_is_no_alert():
    # The budget is 24 s a day, so a failover of 2 s is twice the budget of an hour.
    assert burn_alerts([row(Measure.FAILOVER_GAP, 24.0, 0.3)]) == []
    assert burn_alerts([row(Measure.FAILOVER_GAP, 24.0, 1.3)]) != []


def test_page_has_no_external_resources_and_escapes_names():
    rows = complete_rows([row(Measure.SERVED_SHARE, 2.0, 0.5, "<b>&orders")])
    page = render_page(rows, ["1 of 1 instances answered"], datetime.now(UTC))
    assert page.count("<svg") == len(Measure)
    assert "<b>" not in page
    assert not re.search(r"(src|href)\s*=|url\(|@import", page)
