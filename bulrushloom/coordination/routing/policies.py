"""The read policy in use and the baselines it is measured against."""

from datetime import timedelta
from itertools import count

from bulrushloom.coordination.routing.base import Candidate, ReadNeed, ReadPolicy

# A replica whose data is this much older than allowed will not catch up in time.
CATCH_UP_ALLOWANCE = timedelta(milliseconds=500)

# After this many replicas were behind, the read goes to the primary: each try may
# wait up to the server-side limit for the position.
MAX_REPLICA_TRIES = 2


class FreshReplicaPolicy(ReadPolicy):
    """Prefer replicas known to satisfy the read, then near ones, then idle ones."""

    def order(self, candidates: list[Candidate], need: ReadNeed) -> list[str]:
        """Return the best replicas, then the primary."""
        replicas = [
            candidate
            for candidate in candidates
            if not candidate.is_primary
            and candidate.reachable
            and not _too_old(candidate, need)
        ]
        replicas.sort(key=lambda candidate: _replica_rank(candidate, need))
        names = [candidate.target for candidate in replicas[:MAX_REPLICA_TRIES]]
        names += [candidate.target for candidate in candidates if candidate.is_primary]
        # Unreachable replicas come last: the view may be out of date.
        return names + [
            candidate.target
            for candidate in candidates
            if candidate.target not in names
        ]


class PrimaryOnlyPolicy(ReadPolicy):
    """Send every read to the primary."""

    def order(self, candidates: list[Candidate], need: ReadNeed) -> list[str]:
        """Return the primary alone."""
        return [candidate.target for candidate in candidates if candidate.is_primary]


class RoundRobinPolicy(ReadPolicy):
    """Rotate over all targets, whatever is known of them."""

    def __init__(self) -> None:
        self._turn = count()

    def order(self, candidates: list[Candidate], need: ReadNeed) -> list[str]:
        """Return all targets, starting one further than the time before."""
        if not candidates:
            return []
        start = next(self._turn) % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return [candidate.target for candidate in rotated]


def _too_old(candidate: Candidate, need: ReadNeed) -> bool:
    if candidate.age is None:
        return False
    return candidate.age > need.max_age + CATCH_UP_ALLOWANCE


def _replica_rank(candidate: Candidate, need: ReadNeed) -> tuple[bool, int, bool, str]:
    behind = candidate.applied < need.min_position
    remote = candidate.domain != need.domain
    return behind, candidate.in_flight, remote, candidate.target
