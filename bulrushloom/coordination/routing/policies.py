"""The default read policy, and baseline policies for comparison."""

from datetime import timedelta
from itertools import count

from bulrushloom.coordination.routing.base import (
    Candidate,
    ReadPolicy,
    ReadRequirements,
)

# A replica whose data exceeds the allowed age by more than this is unlikely to catch
# up in time.
CATCH_UP_ALLOWANCE = timedelta(milliseconds=500)

# After this many lagging replicas, the read goes to the primary, because each attempt
# may wait for the position up to the limit of the server.
MAX_REPLICA_ATTEMPTS = 2


class FreshReplicaPolicy(ReadPolicy):
    """Prefer replicas that are caught up, then less loaded ones, then local ones."""

    def order(self, candidates: list[Candidate], need: ReadRequirements) -> list[str]:
        """Return the best replicas, then the primary, then all other targets."""
        replicas = [
            candidate
            for candidate in candidates
            if not candidate.is_primary
            and candidate.reachable
            and not _is_too_old(candidate, need)
        ]
        replicas.sort(key=lambda candidate: _replica_rank(candidate, need))
        names = [candidate.target for candidate in replicas[:MAX_REPLICA_ATTEMPTS]]
        names += [candidate.target for candidate in candidates if candidate.is_primary]
        # Unreachable replicas come last, in case the view is out of date.
        return names + [
            candidate.target
            for candidate in candidates
            if candidate.target not in names
        ]


class PrimaryOnlyPolicy(ReadPolicy):
    """Send every read to the primary."""

    def order(self, candidates: list[Candidate], need: ReadRequirements) -> list[str]:
        """Return the primary alone."""
        return [candidate.target for candidate in candidates if candidate.is_primary]


class RoundRobinPolicy(ReadPolicy):
    """Rotate over all targets, regardless of their state."""

    def __init__(self) -> None:
        self._turn = count()

    def order(self, candidates: list[Candidate], need: ReadRequirements) -> list[str]:
        """Return all targets, starting one target later than in the previous call."""
        if not candidates:
            return []
        start = next(self._turn) % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return [candidate.target for candidate in rotated]


def _is_too_old(candidate: Candidate, need: ReadRequirements) -> bool:
    if candidate.age is None:
        return False
    return candidate.age > need.max_age + CATCH_UP_ALLOWANCE


def _replica_rank(
    candidate: Candidate, need: ReadRequirements
) -> tuple[bool, int, bool, str]:
    behind = candidate.applied < need.min_position
    remote = candidate.domain != need.domain
    return behind, candidate.in_flight, remote, candidate.target
