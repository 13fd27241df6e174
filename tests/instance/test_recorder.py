"""Requests that count as bad in the burn report, and the failover gap."""

from datetime import timedelta

import pytest

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import Complete, Outcome, Statement, TransactionRef
from bulrushloom.instance.recorder import RequestRecorder
from bulrushloom.telemetry.metrics import Metrics

START = timedelta(hours=1)
TRANSACTION = TransactionRef("a", "orders", "orders", "orders-a", "i-1", "h")


def seconds(count):
    return START + timedelta(seconds=count)


def statement(read_only, transaction=None):
    requirements = (ORIGIN, timedelta(seconds=1), transaction, "")
    return Statement("a", "orders", "orders", "SELECT 1", [], read_only, *requirements)


def outcome(role="replica", term=0):
    position = LogPosition(term, 1) if term else None
    return Outcome([], [], 0, "orders", position, "orders-a", role, None)


@pytest.fixture
def recorder():
    metrics = Metrics("i-1", "mona")
    yield RequestRecorder(metrics, START)
    metrics.close()


def run(recorder, request, result, started=0, ended=0, over_rate=False):
    recorder.request_started("r", "a", request, seconds(started))
    recorder.request_ended(Complete("r", result, over_rate), seconds(ended))


def counted(recorder, now=60):
    return {
        row.measure: (row.total, row.bad)
        for row in recorder.burn.copy().counts(seconds(now))
        if row.window == "5m"
    }


@pytest.mark.parametrize(
    "kind, over_rate, served, refused",
    [
        (ErrorKind.NO_TARGET, False, (1, 1), (1, 1)),
        (ErrorKind.RATE_LIMITED, False, (1, 1), (1, 1)),
        # The request may have run, so it does not count as refused.
        (ErrorKind.OUTCOME_UNKNOWN, False, (1, 1), (1, 0)),
        (ErrorKind.RATE_LIMITED, True, None, None),
        (ErrorKind.SQL_ERROR, False, None, None),
    ],
)
def test_only_refusals_inside_the_rate_are_bad(
    recorder, kind, over_rate, served, refused
):
    run(recorder, statement(True), Refusal(kind, ""), over_rate=over_rate)
    counts = counted(recorder)
    assert counts.get("served_share") == served
    assert counts.get("wrongful_refusals") == refused


def test_reads_at_the_primary_are_bad_except_in_transactions(recorder):
    run(recorder, statement(True), outcome("replica"))
    run(recorder, statement(True), outcome("primary"))
    run(recorder, statement(True, TRANSACTION), outcome("primary"))
    assert counted(recorder)["replica_reads"] == (2, 1)


def test_gap_runs_from_the_first_failed_write_to_the_next_term(recorder):
    write = statement(False)
    run(recorder, write, outcome("primary", 1), 0, 0)
    run(recorder, write, Refusal(ErrorKind.TIMEOUT, ""), 1, 3)
    run(recorder, write, outcome("primary", 2), 3, 4)
    assert counted(recorder)["failover_gap"] == (60_000, 3000)


def test_time_without_writes_is_no_gap(recorder):
    write = statement(False)
    run(recorder, write, outcome("primary", 1), 0, 0)
    run(recorder, write, Refusal(ErrorKind.TIMEOUT, ""), 1, 3)
    run(recorder, write, outcome("primary", 2), 40, 41)
    assert counted(recorder)["failover_gap"] == (60_000, 1000)


def test_slow_write_without_a_failover_is_no_gap(recorder):
    run(recorder, statement(False), outcome("primary", 1), 0, 1)
    run(recorder, statement(False), outcome("primary", 1), 2, 9)
    assert counted(recorder)["failover_gap"] == (60_000, 0)


def test_request_that_was_never_started_is_not_counted(recorder):
    recorder.request_ended(Complete("r", outcome()), START)
    assert counted(recorder) == {}
