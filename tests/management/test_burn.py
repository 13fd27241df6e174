"""The burn report over all instances."""

import re
from datetime import UTC, datetime

from bulrushloom.management.burning import burning, complete_rows
from bulrushloom.management.plots import render_page
from bulrushloom.telemetry.burn import BurnRow, Measure


def row(measure, short, long, account="hotel-orders"):
    burns = {"5m": short, "1h": short, "6h": long, "3d": long}
    return BurnRow(account, str(measure), burns)


def test_accounts_without_events_of_a_measure_keep_their_rows():
    rows = complete_rows([row(Measure.SERVED_SHARE, 0.5, 0.5)])
    assert [each.measure for each in rows] == list(Measure)
    assert rows[0].burn_by_window["5m"] is None


def test_burning_needs_both_windows_of_a_pair():
    burns = {"5m": 3.0, "1h": 0.9, "6h": 1.5, "3d": None}
    assert burning([BurnRow("a", "served_share", burns)]) == []
    assert burning([row(Measure.SERVED_SHARE, 2.0, 0.0, "a")]) == [
        "burning: a served_share 5m=2.00 1h=2.00"
    ]


def test_one_failover_within_the_objective_is_not_burning():
    # 2 s of the daily 24 s are twice the budget of an hour.
    assert burning([row(Measure.FAILOVER_GAP, 24.0, 0.3)]) == []
    assert burning([row(Measure.FAILOVER_GAP, 24.0, 1.3)]) != []


def test_page_loads_nothing_and_escapes_names():
    rows = complete_rows([row(Measure.SERVED_SHARE, 2.0, 0.5, "<b>&orders")])
    page = render_page(rows, ["1 of 1 instances answered"], datetime.now(UTC))
    assert page.count("<svg") == len(Measure)
    assert "<b>" not in page
    assert not re.search(r"(src|href)\s*=|url\(|@import", page)
