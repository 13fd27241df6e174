"""Eras of the platform's store, and what an instance knows of the present one; no I/O.

The store may return from a copy that is some seconds old. It then has lost acknowledged
writes, gives revisions and lease numbers out again, and names the next era in its
answers.
"""

from collections.abc import Mapping
from datetime import timedelta
from enum import IntEnum
from typing import Any

from bulrushloom.proxy.store import Record, StoreSnapshot
from bulrushloom.proxy.store_freshness import MAX_PRIMARY_AGE, StoreFreshness

ERA_PREFIX = "proxy/eras/"
# Numbers that must never decrease are the era times this plus a counter.
ERA_STRIDE = 2**32
# An era times ``ERA_STRIDE`` must be a number that every JSON decoder can hold.
MAX_ERA = 2**20
SETTLED_VALUE = b"settled"
UNSETTLED_VALUE = b"unsettled"
# Time after which every running instance has found that its lease is of an earlier era
# and has registered again: an interval of renewal and one of a retry.
REGISTRATION_TIME = timedelta(milliseconds=3500)


def era_key(era: int) -> str:
    """Return the key that the first leader of an era writes."""
    return f"{ERA_PREFIX}{era}"


def era_of(number: int) -> int:
    """Return the era of a fencing token or of the version of a record."""
    return number // ERA_STRIDE


def record_version(era: int, generation: int, revision: int) -> int:
    """Return the number that orders the records of a key: by era, then generation.

    Earlier releases wrote no generation; their records are ordered by revision, and a
    generation is never above it.
    """
    return era * ERA_STRIDE + (generation or revision)


def decode_order(fields: Mapping[str, Any]) -> tuple[int, int]:
    """Return the era and the generation in a record; 0 for those that it lacks.

    Raise ``ValueError`` if one is no number in its bounds.
    """
    order = fields.get("era", 0), fields.get("generation", 0)
    for number, limit in zip(order, (MAX_ERA + 1, ERA_STRIDE), strict=True):
        if type(number) is not int or not 0 <= number < limit:
            raise ValueError(f"{number!r} is out of bounds")
    return order


def next_fence(previous: int, era: int) -> int:
    """Return the fencing token of the next leader; it is above all earlier ones.

    The first token of an era does not depend on earlier ones, which may be lost.
    """
    return max(previous, era * ERA_STRIDE) + 1


def is_settled(record_by_key: Mapping[str, Record], era: int) -> bool:
    """Return whether a leader has written back what the copy lacked.

    Nothing has been lost in era 0.
    """
    record = record_by_key.get(era_key(era))
    return era == 0 or (record is not None and record.value == SETTLED_VALUE)


def was_written_in_era(snapshot: StoreSnapshot) -> bool:
    """Return whether operators wrote the configuration after the return of the store.

    The key of the era was written after the return, so what has a higher revision was
    as well.
    """
    record = snapshot.record_by_key.get(era_key(snapshot.era))
    configuration = snapshot.configuration
    if record is None or configuration is None:
        return False
    return configuration.revision > record.revision


class Knowledge(IntEnum):
    """Whether an instance knows the newest configuration.

    NONE: it may know the copy only. EARLIER: it knew the newest one of an earlier era.
    CURRENT: that is also the newest one of this era.
    """

    NONE = 0
    EARLIER = 1
    CURRENT = 2


class EraKnowledge:
    """Which era the store is in, and which reads of it count in that era.

    Answers the return of the store from a copy: an instance that reads a copy in which
    a key is not withdrawn yet, or a primary not replaced, must not rely on that read.

    * Reads count for keys once the leader, another domain or an instance of this domain
      that knows it has named its configuration version and this instance has it, once
      the configuration was written in this era, or after the configuration bound.
    * Reads count for primaries once a leader has written the lost records back. They
      count at once for an instance whose last read of the earlier era was recent: a
      promotion is ordered only after that read is too old, or once the instance has
      confirmed the replacement.

    ``entered_at`` is when this instance learned of the era.
    """

    def __init__(self, freshness: StoreFreshness):
        self._freshness = freshness
        self._has_read = False
        self._knowledge = Knowledge.CURRENT
        self.era = 0
        self.entered_at = timedelta()
        self.is_settled = True

    def enter(self, era: int, now: timedelta, is_settled: bool) -> bool:
        """Record that the store is in an era; return whether it returned from a copy.

        Must be called before the read that showed the era is recorded.
        """
        is_first = not self._has_read
        if not is_first and era <= self.era:
            if era == self.era and is_settled:
                self.settle()
            return False
        previous = Knowledge.NONE if is_first else self.knowledge(now)
        self._has_read = True
        self.era, self.entered_at, self.is_settled = era, now, is_settled
        if era == 0:
            self._knowledge = Knowledge.CURRENT
            return False
        self._knowledge = min(previous, Knowledge.EARLIER)
        bound = self._freshness.settings.configuration_bound
        self._freshness.hold_keys(now, now + bound)
        if is_settled:
            self._freshness.release_primaries()
        elif self._freshness.primaries_age(now) > MAX_PRIMARY_AGE:
            self._freshness.hold_primaries()
        return not is_first

    def knowledge(self, now: timedelta) -> Knowledge:
        """Return whether this instance knows the newest configuration."""
        if self._freshness.holds_keys(now):
            return self._knowledge
        return Knowledge.CURRENT

    def confirm_configuration(self) -> None:
        """Record that this instance has the newest configuration of the era."""
        self._knowledge = Knowledge.CURRENT
        self._freshness.release_keys()

    def settle(self) -> None:
        """Record that a leader of the era has written back what the copy lacked."""
        self.is_settled = True
        self._freshness.release_primaries()

    def may_lack_members(self, now: timedelta) -> bool:
        """Return whether running instances may not have registered again yet."""
        return self.era > 0 and now - self.entered_at < REGISTRATION_TIME
