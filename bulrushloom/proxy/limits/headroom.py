"""What an instance may admit of the operations of one account; no I/O."""

from typing import NamedTuple


class Headroom(NamedTuple):
    """Headroom of an account, the unused part of its limit, and what it permits.

    ``admit_rate_per_s`` is the refill rate of the token bucket, ``admit_fraction`` the
    part of the fleet's demand that the headroom can serve, ``operations`` the headroom
    itself, ``starting_share`` the part of it that no other instance uses while this one
    starts, ``own_part`` its equal part for each instance that was heard. It
    ``is_complete`` if all members were heard.
    """

    admit_rate_per_s: float
    admit_fraction: float
    operations: float
    starting_share: float = 0.0
    own_part: float = 0.0
    is_complete: bool = False
