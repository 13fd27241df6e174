"""Decisions of a change of primary; no I/O.

A commit is acknowledged once the primary and, where the service asks for it, one
replica have it. A successor is safe if no replica can receive from the old primary any
more and the successor has the highest position among all that could have acknowledged.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import LogPosition, ServerRole, ServerStatus

# Two attempts in a row that nobody answers.
SILENT_LIMIT = timedelta(milliseconds=400)
# A process that restarts is back later than this.
REFUSED_LIMIT = timedelta(milliseconds=150)
# Long enough for a domain that reaches the primary to be heard again.
APART_LIMIT = timedelta(milliseconds=1200)
# A commit whose replicas are reachable takes a tenth of this.
STALLED_LIMIT = timedelta(milliseconds=900)

STALLED = "no replica receives its commits"


class PrimaryProbe(NamedTuple):
    """Hold what the leader sees of a primary.

    The times are since when without interruption: ``refused_since`` its machine
    refuses connections, ``silent_since`` it does not answer, ``stalled_since`` its
    log is ahead of all replicas. ``is_suspected_widely`` tells that most domains do
    not reach it either: the leader's own link may be cut, also with a refusal.
    ``is_apart`` tells that the primary is on the far side of a cut: no domain in the
    leader's reach reaches it, and the leader reaches the store and every replica.
    """

    refused_since: timedelta | None = None
    silent_since: timedelta | None = None
    stalled_since: timedelta | None = None
    is_suspected_widely: bool = False
    is_apart: bool = False
    status: ServerStatus | None = None


def reason_to_replace(
    target: Target | Missing, probe: PrimaryProbe, now: timedelta
) -> str:
    """Return why a primary must be replaced, or an empty text."""
    if isinstance(target, Missing):
        return target.reason
    if target.is_draining:
        return "it is leaving"
    if probe.is_suspected_widely:
        refused, silent = probe.refused_since, probe.silent_since
        if refused is not None and now - refused >= REFUSED_LIMIT:
            return "it refuses connections"
        if silent is not None and now - silent >= SILENT_LIMIT:
            return "it does not answer"
    silent_since = probe.silent_since if probe.is_apart else None
    if silent_since is not None and now - silent_since >= APART_LIMIT:
        return "it is on the far side of a cut"
    stalled = probe.stalled_since
    if stalled is not None and now - stalled >= STALLED_LIMIT:
        return STALLED
    if probe.status is not None and probe.status.role is ServerRole.REPLICA:
        return "it is a replica"
    return ""


def is_majority(suspecting: int, domains: int) -> bool:
    """Return whether enough domains do not reach a primary.

    A leader whose own domain is cut off hears no other one and must not decide alone.
    With two domains one of them is enough, or the loss of one could not be borne.
    """
    return suspecting * 2 > domains or (domains == 2 and suspecting == 1)


class FailoverState(NamedTuple):
    """Hold what is known of the servers of a group while the primary is replaced.

    ``status_by_id`` holds the servers that confirmed that they receive nothing more.
    ``missing`` are listed servers that did not. ``demoted`` is the status of the old
    primary once it confirmed that it is a replica. ``all_instances_left`` means that
    every instance confirmed that it acknowledges nothing more of the old primary, and
    ``acknowledged`` is the highest position that they did acknowledge.
    ``stopped_by_id`` holds servers that stopped receiving before, with their position.
    """

    status_by_id: Mapping[str, ServerStatus]
    missing: frozenset[str]
    demoted: ServerStatus | None
    acknowledged: LogPosition | None
    all_instances_left: bool
    stopped_by_id: Mapping[str, LogPosition]


def choose_successor(
    target_by_id: Mapping[str, Target], state: FailoverState
) -> str | Missing:
    """Return the server to promote, or why none is safe yet."""
    promoted = [
        target_id
        for target_id, status in state.status_by_id.items()
        if status.role is ServerRole.PRIMARY
    ]
    if promoted:
        return max(promoted, key=lambda i: state.status_by_id[i].term)
    candidates = {
        target_id: status
        for target_id, status in state.status_by_id.items()
        if target_id in target_by_id
    }
    if not candidates:
        return Missing("no server of the group answers")
    highest = max(status.received for status in candidates.values())
    if not _covers_all_commits(highest, state):
        return Missing("a server that may have acknowledged commits does not answer")
    holders = [i for i, status in candidates.items() if status.received == highest]
    staying = [i for i in holders if not target_by_id[i].is_draining]
    return min(staying or holders)


def _covers_all_commits(highest: LogPosition, state: FailoverState) -> bool:
    stopped = state.stopped_by_id
    # A server that stopped before matters only if it is ahead of those that answer.
    missing = [
        target_id
        for target_id in state.missing
        if target_id not in stopped or stopped[target_id] > highest
    ]
    if state.demoted is not None:
        return highest >= state.demoted.received or not missing
    if not missing:
        return True
    # Only the instances acknowledge commits to callers: if all of them have left the
    # old primary, the highest position that they acknowledged is all that counts.
    acknowledged = state.acknowledged
    return state.all_instances_left and (
        acknowledged is None or highest >= acknowledged
    )
