from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.telemetry.burn import (
    MAX_ACCOUNTS,
    OTHER_ACCOUNTS,
    RING_MINUTES,
    BurnCounters,
    Measure,
    MinuteRing,
    WindowCount,
    burn_rows,
    render_table,
)

START = timedelta(hours=7)
READS = Measure.REPLICA_READS


def minutes(count):
    return START + timedelta(minutes=count)


def burns(counters, now):
    return {row.measure: row.burn_by_window for row in burn_rows(counters.counts(now))}


def test_windows_only_include_their_minutes():
    counters = BurnCounters(START)
    counters.record("a", READS, 100, 50, minutes(0))
    counters.record("a", READS, 100, 0, minutes(30))
    rates = burns(counters, minutes(32))["replica_reads"]
    assert rates == {"5m": 0.0, "1h": 2.5, "6h": 2.5, "3d": 2.5}
    assert burns(counters, minutes(40))["replica_reads"]["5m"] is None
    rates = burns(counters, minutes(RING_MINUTES + 40))["replica_reads"]
    assert set(rates.values()) == {None}


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.lists(
        st.tuples(st.integers(0, RING_MINUTES + 500), st.integers(0, 9)), max_size=20
    ),
    st.integers(0, 600),
    st.integers(1, RING_MINUTES),
)
def test_ring_sums_equal_those_of_a_list_of_events(events, idle_minutes, length):
    ring = MinuteRing(0)
    for minute, count in sorted(events):
        ring.add(minute, count, count)
    now = max((minute for minute, _ in events), default=0) + idle_minutes
    expected = sum(c for minute, c in events if now - length < minute <= now)
    assert ring.sums(now, length) == (expected, expected)


def test_failover_gap_is_relative_to_the_observed_time():
    counters = BurnCounters(START)
    counters.record_gap("a", timedelta(seconds=12), minutes(60))
    now = START + timedelta(hours=12)
    rates = burns(counters, now)["failover_gap"]
    assert rates["5m"] == 0.0
    assert round(rates["3d"], 6) == 1.0


def test_number_of_accounts_is_limited():
    counters = BurnCounters(START)
    for i in range(MAX_ACCOUNTS + 50):
        counters.record(f"a{i}", READS, 1, 0, START)
    by_account = {count.account: count.total for count in counters.counts(START)}
    assert len(by_account) == MAX_ACCOUNTS + 1
    assert by_account[OTHER_ACCOUNTS] == 50


def test_counts_of_instances_are_summed_in_the_table():
    counts = [
        WindowCount("hotel", "wrongful_refusals", "5m", 1000, 1),
        WindowCount("hotel", "wrongful_refusals", "5m", 1000, 0),
    ]
    assert render_table(burn_rows(counts)) == (
        "account  measure              5m  1h  6h  3d\n"
        "hotel    wrongful_refusals  0.50   -   -   -\n"
    )
