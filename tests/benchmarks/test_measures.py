import pytest

from benchmarks.bench import WORST_BY_KEY, summary
from benchmarks.cases import Outcome
from benchmarks.measures import StatementSpan, linear_fit, worst_excess


# Guards against measuring the excess only over the whole time, in which a short burst
# above the rate goes unnoticed.
def test_excess_in_a_short_window_is_found():
    within_rate = [StatementSpan(second, second + 0.01) for second in range(20)]
    short_burst = [StatementSpan(10.0, 10.1) for _ in range(8)]
    assert worst_excess(within_rate, rate=1, burst=1) == 0
    assert worst_excess(within_rate + short_burst, rate=1, burst=5) == pytest.approx(
        3.99
    )


# Guards against counting a statement whose token may have been spent outside the
# window.
def test_statement_counts_only_in_windows_that_contain_it():
    slow_statements = [StatementSpan(0.0, 10.0) for _ in range(10)]
    assert worst_excess(slow_statements, rate=1, burst=1) == 0


def test_fit_returns_slope_and_intercept():
    assert linear_fit([(1, 5), (2, 7), (3, 9)]) == pytest.approx((2, 3))


# Guards against a summary that hides the worse of two results or omits a key without
# results.
def test_summary_keeps_the_worst_figure_of_each_key():
    outcomes = [
        Outcome({"over_rate": value, "replica_read_share": value}, [], [])
        for value in (0.5, 0.25)
    ]
    result = summary(outcomes)
    assert set(result) == {key.partition(".")[0] for key in WORST_BY_KEY}
    assert result["over_rate"] == 0.5
    assert result["replica_read_share"] == 0.25
    assert result["failover_gap_s"] is None
