"""Plans of local fleets: failure domains, groups, instances and client accounts."""

from typing import NamedTuple


class AccountPlan(NamedTuple):
    """A client account with its rate in statements per second and its burst."""

    name: str
    rate: float
    burst: int
    max_age: str = "1s"


class FleetPlan(NamedTuple):
    """The composition of a fleet, in which each group serves the database of its name.

    ``entries`` is the number of instances, which are spread evenly over the domains.
    ``slots`` and ``connections`` are the limits of every target.
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
