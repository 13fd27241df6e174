"""The two deployments of section 1.1 of the design page, with lower account rates."""

from benchmarks.plans import AccountPlan, FleetPlan

# Far below production rates, because load generators, stand-ins and instances share
# one machine. The ratio between large and small accounts is that of production.
LARGE_ACCOUNT_RATE_PER_S = 40.0
SMALL_ACCOUNT_RATE_PER_S = 15.0
ADMIN_ACCOUNT = "admin"


def _account_plans(
    large_names: tuple[str, ...], small_names: tuple[str, ...]
) -> tuple[AccountPlan, ...]:
    plans = [
        AccountPlan(name, LARGE_ACCOUNT_RATE_PER_S, int(LARGE_ACCOUNT_RATE_PER_S))
        for name in large_names
    ]
    plans += [
        AccountPlan(name, SMALL_ACCOUNT_RATE_PER_S, int(SMALL_ACCOUNT_RATE_PER_S))
        for name in small_names
    ]
    # Used to create the tables and for the saturating load, in addition to the 8
    # accounts of the deployment.
    return (*plans, AccountPlan(ADMIN_ACCOUNT, 20_000, 20_000))


BLUE_MAHOE = FleetPlan(
    region="jm-south",
    domains=("santa-cruz", "black-river", "mandeville", "junction"),
    databases=("orders-1", "orders-2", "stock-1"),
    entries=13,
    slots=3,
    connections=40,
    accounts=_account_plans(
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
    accounts=_account_plans(
        ("families", "caseworkers"),
        ("committee", "archive", "letters", "audit", "planning", "kiosk"),
    ),
)

PLAN_BY_DEPLOYMENT = {"blue-mahoe": BLUE_MAHOE, "registry": REGISTRY}
