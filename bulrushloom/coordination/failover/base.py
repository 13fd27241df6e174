"""Policy, messages, effects and views of failover (design, section 3.2)."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.sentinels import Missing
from bulrushloom.databases.base import Role, ServerStatus


class FailoverPolicy(NamedTuple):
    """Thresholds of failure detection and of promotion rounds.

    A server counts as unreachable after ``missed_polls`` polls without an answer, or
    ``answer_timeout`` after its last answer. Watchers act in the order of their ranks,
    ``rank_delay`` apart.

    A server whose last contact with the primary is no older than ``contact_timeout``
    counts against a promotion. After the primary has been unreachable for
    ``override_after``, a promotion is possible nevertheless. ``stable_period`` is how
    long a watcher waits after another candidate raised the term before it starts a
    round itself.

    Each step of a round fails after ``round_timeout``; its calls are repeated at
    ``repeat_interval``. A round that moves the primary away from a leaving server waits
    up to ``catch_up_timeout`` for a replica to catch up and polls the servers every
    ``catch_up_poll`` in that time. The delay after a failed round doubles from
    ``retry_delay`` to ``max_retry_delay``, and the additional delay of repeated planned
    rounds is at most ``max_planned_delay``.
    """

    poll_interval: timedelta = timedelta(milliseconds=500)
    missed_polls: int = 3
    answer_timeout: timedelta = timedelta(milliseconds=1500)
    rank_delay: timedelta = timedelta(seconds=1)
    contact_timeout: timedelta = timedelta(milliseconds=1500)
    override_after: timedelta = timedelta(seconds=5)
    stable_period: timedelta = timedelta(seconds=1)
    repeat_interval: timedelta = timedelta(milliseconds=300)
    round_timeout: timedelta = timedelta(milliseconds=1500)
    catch_up_timeout: timedelta = timedelta(seconds=1)
    catch_up_poll: timedelta = timedelta(milliseconds=50)
    # Number of planned moves that may keep the leaving primary if only it has all
    # entries.
    max_kept_moves: int = 1
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_retry_delay: timedelta = timedelta(seconds=2)
    max_planned_delay: timedelta = timedelta(seconds=30)
    # A longer gap between ticks means that the watcher itself was paused, so it must
    # not suspect servers because they sent no answers during the gap.
    pause_threshold: timedelta = timedelta(seconds=1)


class GroupTarget(NamedTuple):
    """A server of the group; operators are retiring ``leaving`` servers."""

    name: str
    leaving: bool = False


class StatusReceived(NamedTuple):
    """Message: a server answered a status call."""

    target: str
    status: ServerStatus


class StatusFailed(NamedTuple):
    """Message: a status call got no answer."""

    target: str
    reason: str


class Fenced(NamedTuple):
    """Message: a server granted ``term``; ``status`` is its status afterwards."""

    target: str
    term: int
    status: ServerStatus


class FenceRefused(NamedTuple):
    """Message: a server refused to grant ``term`` to this candidate."""

    target: str
    term: int
    reason: str


class FenceFailed(NamedTuple):
    """Message: a fence call got no answer, so it may have taken effect."""

    target: str
    term: int
    reason: str


class Promoted(NamedTuple):
    """Message: a server became the primary of ``term``."""

    target: str
    term: int
    status: ServerStatus


class PromoteFailed(NamedTuple):
    """Message: a promotion was refused or got no answer; it may have taken effect."""

    target: str
    term: int
    reason: str


class Followed(NamedTuple):
    """Message: a server replicates from the primary of ``term``."""

    target: str
    term: int
    status: ServerStatus


class FollowFailed(NamedTuple):
    """Message: a follow call was refused or got no answer."""

    target: str
    term: int
    reason: str


class WatcherReport(NamedTuple):
    """Message to another watcher of the group: whether the primary is reachable."""

    group: str
    primary: str
    term: int
    reachable: bool


class PollStatus(NamedTuple):
    """Effect: request the status of a server."""

    target: str


class FenceServer(NamedTuple):
    """Effect: ask a server to grant ``term`` to ``candidate``; idempotent."""

    target: str
    term: int
    candidate: str


class PromoteServer(NamedTuple):
    """Effect: ask a server to become the primary of ``term``; idempotent."""

    target: str
    term: int
    candidate: str


class FollowPrimary(NamedTuple):
    """Effect: ask a server to replicate from the target ``primary`` in ``term``."""

    target: str
    term: int
    primary: str


class ServerState(NamedTuple):
    """State of one server as this watcher knows it.

    ``status_received_at`` is the monotonic time of the last status.
    """

    status: ServerStatus | Missing
    status_received_at: timedelta | None
    reachable: bool


class GroupState(NamedTuple):
    """State of the group; ``primary`` is ``Missing``, with a reason, if none serves."""

    group: str
    term: int
    primary: str | Missing
    server_by_target: dict[str, ServerState]


def is_serving(status: ServerStatus) -> bool:
    """Return whether the server acts as the primary of its term.

    A primary begins its term with an entry of that term. If its last entry belongs to
    an earlier term, a candidate has fenced it.
    """
    return status.role is Role.PRIMARY and status.stored_position.term == status.term


def has_no_log(status: ServerStatus) -> bool:
    """Return whether the server is new or was restarted without its log."""
    return status.stored_position == ORIGIN


def majority_size(count: int) -> int:
    """Return the number of servers that form a majority of ``count``."""
    return count // 2 + 1
