"""Messages, effects and views of the failover protocol (design, section 3.2)."""

from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.sentinels import Missing
from bulrushloom.databases.base import Role, ServerStatus


class FailoverPolicy(NamedTuple):
    """Set the thresholds of failure detection and of promotion rounds.

    ``contact_timeout`` bounds how old a server's contact with the primary may be to
    speak against a promotion; ``override_after`` is how long the primary must be
    unreachable to promote all the same. ``stable_period`` is how long a watcher leaves
    a term that somebody else raised alone before it starts a round of its own.
    """

    poll_interval: timedelta = timedelta(milliseconds=500)
    missed_polls: int = 3
    silence: timedelta = timedelta(milliseconds=1500)
    rank_delay: timedelta = timedelta(seconds=1)
    contact_timeout: timedelta = timedelta(milliseconds=1500)
    override_after: timedelta = timedelta(seconds=5)
    stable_period: timedelta = timedelta(seconds=1)
    repeat_interval: timedelta = timedelta(milliseconds=300)
    round_timeout: timedelta = timedelta(milliseconds=1500)
    catch_up_timeout: timedelta = timedelta(seconds=1)
    catch_up_poll: timedelta = timedelta(milliseconds=50)
    # A planned move keeps the old primary this often if only it holds all entries.
    kept_moves: int = 1
    retry_delay: timedelta = timedelta(milliseconds=250)
    max_retry_delay: timedelta = timedelta(seconds=2)
    max_planned_delay: timedelta = timedelta(seconds=30)
    # A gap between ticks that is longer than this means that the watcher itself was
    # paused; silence of servers during the gap is no evidence against them.
    own_pause: timedelta = timedelta(seconds=1)


class GroupTarget(NamedTuple):
    """Name a server of the group; ``leaving`` servers are retired by operators."""

    name: str
    leaving: bool = False


class StatusReceived(NamedTuple):
    """Report the answer of a server to a status call."""

    target: str
    status: ServerStatus


class StatusFailed(NamedTuple):
    """Report a status call without an answer."""

    target: str
    reason: str


class Fenced(NamedTuple):
    """Report that a server granted ``term``; ``status`` is its state afterwards."""

    target: str
    term: int
    status: ServerStatus


class FenceRefused(NamedTuple):
    """Report that a server did not grant ``term`` to the own candidate."""

    target: str
    term: int
    reason: str


class FenceFailed(NamedTuple):
    """Report a fence call without an answer; it may have taken effect."""

    target: str
    term: int
    reason: str


class Promoted(NamedTuple):
    """Report that a server has become the primary of ``term``."""

    target: str
    term: int
    status: ServerStatus


class PromoteFailed(NamedTuple):
    """Report a refused or unanswered promotion; it may have taken effect."""

    target: str
    term: int
    reason: str


class Followed(NamedTuple):
    """Report that a server replicates from the primary of ``term``."""

    target: str
    term: int
    status: ServerStatus


class FollowFailed(NamedTuple):
    """Report a refused or unanswered follow call."""

    target: str
    term: int
    reason: str


class WatcherReport(NamedTuple):
    """Tell another watcher of the group whether the primary answers the sender."""

    group: str
    primary: str
    term: int
    reachable: bool


class PollStatus(NamedTuple):
    """Ask the edge for the status of a server."""

    target: str


class FenceServer(NamedTuple):
    """Ask a server to grant ``term`` to ``candidate``; safe to repeat."""

    target: str
    term: int
    candidate: str


class PromoteServer(NamedTuple):
    """Ask a server to become the primary of ``term``; safe to repeat."""

    target: str
    term: int
    candidate: str


class FollowPrimary(NamedTuple):
    """Ask a server to replicate from the target ``primary`` in ``term``."""

    target: str
    term: int
    primary: str


class ServerState(NamedTuple):
    """Describe one server as seen here; ``seen_at`` is a monotonic reading."""

    status: ServerStatus | Missing
    seen_at: timedelta | None
    reachable: bool


class GroupState(NamedTuple):
    """Describe the group; ``primary`` is missing, with a reason, if none serves."""

    group: str
    term: int
    primary: str | Missing
    server_by_target: dict[str, ServerState]


def is_serving(status: ServerStatus) -> bool:
    """Tell whether the server acts as the primary of its term.

    A primary begins its term with an entry of that term, so one whose last entry
    is older has been fenced by a candidate.
    """
    return status.role is Role.PRIMARY and status.held.term == status.term


def has_no_log(status: ServerStatus) -> bool:
    """Tell whether the server is new or restarted without its log."""
    return status.held == ORIGIN


def majority_of(count: int) -> int:
    """Return how many of ``count`` servers make a majority."""
    return count // 2 + 1
