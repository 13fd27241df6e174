"""The two deployments of section 1.1 of the design page, with scaled-down rates."""

from benchmarks.plans import AccountPlan, FleetPlan

# Rates are far below production, so that load generators, stand-ins and instances
# share one machine; the ratio between large and small accounts is kept.
LARGE_RATE = 40.0
SMALL_RATE = 15.0
ADMIN = "admin"


def _accounts(
    large: tuple[str, ...], small: tuple[str, ...]
) -> tuple[AccountPlan, ...]:
    plans = [AccountPlan(name, LARGE_RATE, int(LARGE_RATE)) for name in large]
    plans += [AccountPlan(name, SMALL_RATE, int(SMALL_RATE)) for name in small]
    # Creates the tables and drives the saturating load; not one of the 8 accounts.
    return (*plans, AccountPlan(ADMIN, 20_000, 20_000))


BLUE_MAHOE = FleetPlan(
    region="jm-south",
    domains=("santa-cruz", "black-river", "mandeville", "junction"),
    databases=("orders-1", "orders-2", "stock-1"),
    entries=13,
    slots=3,
    connections=40,
    accounts=_accounts(
        ("hotel-orders", "catalogue"),
        ("dispatch", "workshop", "market", "returns", "labels", "books"),
    ),
)

REGISTRY = FleetPlan(
    region="sofia",
    domains=("lozenets", "lyulin", "mladost"),
    databases=("waitlist-1", "waitlist-2", "records-1"),
    entries=14,
    slots=2,
    connections=60,
    accounts=_accounts(
        ("families", "caseworkers"),
        ("committee", "archive", "letters", "audit", "planning", "kiosk"),
    ),
)

PLAN_BY_DEPLOYMENT = {"blue-mahoe": BLUE_MAHOE, "registry": REGISTRY}
