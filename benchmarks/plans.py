"""Plans of local fleets: domains, groups, instances and client accounts."""

from typing import NamedTuple


class AccountPlan(NamedTuple):
    """Describe a client account and its rate (statements/s) and burst."""

    name: str
    rate: float
    burst: int
    max_age: str = "1s"


class FleetPlan(NamedTuple):
    """Describe a fleet; each group serves the database of the same name.

    ``slots`` and ``connections`` hold for every target, ``entries`` is the number of
    instances, spread evenly over the domains.
    """

    region: str
    domains: tuple[str, ...]
    databases: tuple[str, ...]
    entries: int
    slots: int
    connections: int
    accounts: tuple[AccountPlan, ...]
    servers_per_group: int = 3


SMALL_FLEET = FleetPlan(
    region="jm-south",
    domains=("santa-cruz", "black-river", "mandeville"),
    databases=("orders", "stock"),
    entries=3,
    slots=3,
    connections=40,
    accounts=(
        AccountPlan("admin", 200, 200),
        AccountPlan("hotel-orders", 300, 150),
        AccountPlan("catalogue", 300, 150, "500ms"),
        AccountPlan("dispatch", 200, 100),
    ),
)
