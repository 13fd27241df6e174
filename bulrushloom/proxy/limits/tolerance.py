"""How much of the permitted overrun an account's limit includes; no I/O.

The operators permit a small overrun of each limit, because instances count on reports
that are a fraction of a second old.
"""

from datetime import timedelta

from bulrushloom.proxy.configuration import Account
from bulrushloom.proxy.limits.usage import RateWindow

# Fraction of the permitted excess and slack that is added to the limit; the rest covers
# reports in flight and new members.
TOLERANCE_FRACTION = 0.8
# The same for an account whose demand is a multiple of its limit. The reports in flight
# then lack more operations, and what the account asks beyond its limit is not owed.
OVERLOAD_TOLERANCE_FRACTION = 0.3
# Demand, as a multiple of the limit, from which the tolerance shrinks, and from which
# that of an overload applies.
OVERLOAD_START_FACTOR = 1.25
OVERLOAD_FULL_FACTOR = 2.0
_SECOND = timedelta(seconds=1)


def tolerated_limit(
    account: Account, window: RateWindow, demand_per_s: float = 0.0
) -> float:
    """Return how many operations of an account all instances may admit in a window.

    ``demand_per_s`` is the known demand of all instances. Answers a demand that rises
    to many times the limit: until the reports show what all instances have admitted,
    they admit too much together, and a limit near the bound leaves no room for that.
    """
    window_s = window.length / _SECOND
    nominal = account.rate_per_s * window_s + account.burst
    tolerance = _tolerance_fraction(demand_per_s * window_s, nominal)
    return nominal * (1 + window.excess * tolerance) + window.slack * tolerance


def _tolerance_fraction(demand: float, nominal: float) -> float:
    start, full = nominal * OVERLOAD_START_FACTOR, nominal * OVERLOAD_FULL_FACTOR
    if demand <= start:
        return TOLERANCE_FRACTION
    overload = min(1.0, (demand - start) / max(full - start, 1e-9))
    reduction = TOLERANCE_FRACTION - OVERLOAD_TOLERANCE_FRACTION
    return TOLERANCE_FRACTION - overload * reduction
