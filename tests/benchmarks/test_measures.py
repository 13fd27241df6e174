import pytest

from benchmarks.bench import WORST, summary
from benchmarks.cases import Outcome
from benchmarks.measures import Span, linear_fit, worst_excess


# Guards against a counter that misses an excess inside a short window.
def test_excess_in_a_short_window_is_found():
    calm = [Span(second, second + 0.01) for second in range(20)]
    crowd = [Span(10.0, 10.1) for _ in range(8)]
    assert worst_excess(calm, rate=1, burst=1) == 0
    assert worst_excess(calm + crowd, rate=1, burst=5) == pytest.approx(3.99)


# Guards against counting a statement whose token may lie outside the window.
def test_statement_counts_only_in_windows_that_contain_it():
    slow = [Span(0.0, 10.0) for _ in range(10)]
    assert worst_excess(slow, rate=1, burst=1) == 0


def test_fit_returns_slope_and_intercept():
    assert linear_fit([(1, 5), (2, 7), (3, 9)]) == pytest.approx((2, 3))


# Guards against a summary that hides the worse deployment or a missing key.
def test_summary_keeps_the_worst_figure_of_each_key():
    outcomes = [
        Outcome({"over_rate": value, "replica_read_share": value}, [], [])
        for value in (0.5, 0.25)
    ]
    result = summary(outcomes)
    assert set(result) == {key.partition(".")[0] for key in WORST}
    assert result["over_rate"] == 0.5
    assert result["replica_read_share"] == 0.25
    assert result["failover_gap_s"] is None
