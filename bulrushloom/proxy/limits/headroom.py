"""What an instance may admit of the operations of one account; no I/O."""

from typing import NamedTuple


class Headroom(NamedTuple):
    """What an instance may admit of an account's operations, given the headroom.

    ``admit_rate_per_s`` is the refill rate of the token bucket, ``admit_fraction`` the
    part of the fleet's demand that the headroom can serve, ``operations`` the headroom
    itself, ``starting_share`` the part of it that no other instance uses while this one
    starts. ``own_part`` is what each of the instances may use that were heard; with
    ``is_known``, these are all members.
    """

    admit_rate_per_s: float
    admit_fraction: float
    operations: float
    starting_share: float = 0.0
    own_part: float = 0.0
    is_known: bool = False
