"""Failover decisions: when to replace a primary and by which server; no I/O.

A commit is acknowledged once the primary and, if the service requires it, one replica
have it. A successor is safe if no instance can acknowledge commits of the old primary
any more, and if the successor has every commit that was acknowledged until then. What
the servers were ordered does not prove either: a restart makes a replica receive again,
and a server can join the group.
"""

from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.messages import LogPosition, ServerRole, ServerStatus

# Two consecutive status requests without an answer.
NO_ANSWER_TIMEOUT = timedelta(milliseconds=400)
# A restarting process takes longer than this to accept connections again.
REFUSED_TIMEOUT = timedelta(milliseconds=150)
# Long enough for a report from a domain that still reaches the primary to arrive.
PARTITION_TIMEOUT = timedelta(milliseconds=1200)
# With reachable replicas a commit takes a tenth of this.
STALLED_TIMEOUT = timedelta(milliseconds=900)

STALLED_REASON = "no replica receives the primary's commits"


class PrimaryProbe(NamedTuple):
    """Health of a primary as observed by the leader, or by a relay that may become it.

    ``target_id`` is the primary that was observed, empty before that. The event
    ``failover_started`` logs the probe with its field names.

    Each time is the start of an uninterrupted condition: ``refused_since`` of refused
    connections, ``silent_since`` of missing answers, and ``stalled_since`` of a log
    that is ahead of all replicas.

    ``is_suspected_widely`` means that most domains cannot reach the primary.
    Otherwise the fault may be in the leader's own link, which can also look like a
    refused connection. ``is_apart`` means that the primary is on the other side of a
    network partition: no domain that the leader receives reports from can reach it,
    while the leader reaches the store and every replica.
    """

    target_id: str = ""
    refused_since: timedelta | None = None
    silent_since: timedelta | None = None
    stalled_since: timedelta | None = None
    is_suspected_widely: bool = False
    is_apart: bool = False
    status: ServerStatus | None = None


def reason_to_replace(
    target: Target | Missing,
    probe: PrimaryProbe,
    now: timedelta,
    is_evacuated: bool = False,
) -> str:
    """Return the reason to replace a primary, or an empty string.

    ``is_evacuated`` means that the domain of the primary is evacuated.
    """
    if isinstance(target, Missing):
        return target.reason
    if is_evacuated:
        return "the domain of the primary is evacuated"
    if target.is_draining:
        return "the primary is draining"
    if probe.is_suspected_widely:
        refused_since, silent_since = probe.refused_since, probe.silent_since
        if refused_since is not None and now - refused_since >= REFUSED_TIMEOUT:
            return "the primary refuses connections"
        if silent_since is not None and now - silent_since >= NO_ANSWER_TIMEOUT:
            return "the primary does not answer"
    partitioned_since = probe.silent_since if probe.is_apart else None
    if partitioned_since is not None and now - partitioned_since >= PARTITION_TIMEOUT:
        return "the primary is on the other side of a network partition"
    stalled_since = probe.stalled_since
    if stalled_since is not None and now - stalled_since >= STALLED_TIMEOUT:
        return STALLED_REASON
    if probe.status is not None and probe.status.role is ServerRole.REPLICA:
        return "the primary reports the role of a replica"
    return ""


def stopped_replicas(
    status_by_id: Mapping[str, ServerStatus], primary_id: str
) -> list[str]:
    """Return the replicas that receive nothing from a primary of the present term."""
    primary = status_by_id.get(primary_id)
    if primary is None:
        return []
    return [
        target_id
        for target_id, status in status_by_id.items()
        if status.role is ServerRole.REPLICA and status.paused_term > primary.term
    ]


def is_majority(suspecting: int, domains: int) -> bool:
    """Return whether enough domains cannot reach a primary to replace it.

    A leader in a partitioned domain receives no reports from the others and must not
    decide alone. With two domains one is enough, because otherwise the failure of one
    domain could not be tolerated.
    """
    return suspecting * 2 > domains or (domains == 2 and suspecting == 1)


class FailoverState(NamedTuple):
    """State of a group's servers during a failover.

    ``is_closed`` means that no instance can acknowledge commits of the old primary any
    more, and ``is_confirmed`` that all have confirmed that. ``status_by_id`` holds the
    servers that answered, ``missing`` those that may have acknowledged commits and have
    not answered since the failover was closed. ``demoted`` is the status of the old
    primary once it confirmed that it is a replica.
    ``acknowledged`` is the highest known position of an acknowledged commit, and
    ``acknowledged_bound`` a position that covers them all, if one is known.
    ``stopped_position_by_id`` holds the positions of servers that had stopped
    replicating before the failover. ``is_list_complete`` means that no further server
    can be running in reach of the store. ``ordered_id`` is the server whose promotion
    an earlier attempt of the failover may have ordered, and ``sealed`` the position
    that covered every acknowledged commit then; ``is_sealed_in_era`` is false if the
    store has returned from a copy since. ``awaits_ordered_server`` means that it
    does not answer, but may run and execute the order. ``has_given_up_servers`` means
    that servers which are not listed no longer count as missing,
    ``awaits_unlisted_servers`` that a server which is not listed yet may be running,
    and ``accepts_missing_commits`` that the failover no longer waits for a server with
    the acknowledged commits.
    """

    is_closed: bool
    is_confirmed: bool
    status_by_id: Mapping[str, ServerStatus]
    missing: frozenset[str]
    demoted: ServerStatus | None
    acknowledged: LogPosition | None
    acknowledged_bound: LogPosition | None
    stopped_position_by_id: Mapping[str, LogPosition]
    is_list_complete: bool = True
    ordered_id: str = ""
    sealed: LogPosition | None = None
    is_sealed_in_era: bool = True
    awaits_ordered_server: bool = False
    has_given_up_servers: bool = False
    awaits_unlisted_servers: bool = False
    accepts_missing_commits: bool = False


def choose_successor(
    target_by_id: Mapping[str, Target], state: FailoverState
) -> str | Missing:
    """Return the server to promote, or the reason why none is safe yet.

    A server that has already been promoted is kept, also if it is not known by which
    order, and draining servers come last.
    """
    promoted = _promoted_server(state)
    if promoted is not None:
        return promoted
    if not state.is_closed:
        return Missing("an instance may still acknowledge commits of the old primary")
    candidates = {
        target_id: status
        for target_id, status in state.status_by_id.items()
        if target_id in target_by_id
    }
    if not candidates:
        return Missing("no server of the group answers")
    ordered = candidates.get(state.ordered_id)
    if ordered is not None and _covers_since_seal(ordered.received, state):
        # The order may still be executed, and must not follow that of another server.
        return state.ordered_id
    if state.awaits_ordered_server:
        return Missing("a server whose promotion may be under way does not answer")
    highest = max(status.received for status in candidates.values())
    if not _covers_all_commits(highest, state):
        return Missing("a server that may have acknowledged commits does not answer")
    most_advanced = [
        target_id
        for target_id, status in candidates.items()
        if status.received == highest
    ]
    if state.ordered_id in most_advanced:
        return state.ordered_id
    remaining = [
        target_id
        for target_id in most_advanced
        if not target_by_id[target_id].is_draining
    ]
    latest_term = max(status.term for status in state.status_by_id.values())
    leading = [
        target_id
        for target_id in remaining
        if state.status_by_id[target_id].role is ServerRole.PRIMARY
        and state.status_by_id[target_id].term == latest_term
    ]
    return min(leading or remaining or most_advanced)


def _promoted_server(state: FailoverState) -> str | None:
    """Return the server that an earlier attempt of this failover has promoted, if any.

    Only the server that it ordered counts. Another primary may have been replaced
    before, and not have discovered its successor yet.
    """
    ordered = state.status_by_id.get(state.ordered_id)
    if ordered is None or ordered.role is not ServerRole.PRIMARY:
        return None
    terms = [status.term for status in state.status_by_id.values()]
    if state.acknowledged is not None:
        terms.append(state.acknowledged.term)
    return state.ordered_id if ordered.term >= max(terms) else None


def _covers_since_seal(received: LogPosition, state: FailoverState) -> bool:
    """Return whether the ordered server has what was acknowledged since its order.

    Commits above the sealed position were not acknowledged in the era of the store in
    which it was recorded. In a later era, the failover may have ended and its record
    may be lost, so no server may have commits of a later term that this one lacks.
    Commits of the sealed term above the position were never acknowledged.
    """
    sealed = state.sealed
    if sealed is None or received < sealed:
        return False
    if state.is_sealed_in_era:
        return True
    if state.missing or not state.is_list_complete:
        return False
    return all(
        status.received <= received or status.received.term <= sealed.term
        for status in state.status_by_id.values()
    )


def _covers_all_commits(highest: LogPosition, state: FailoverState) -> bool:
    """Return whether a server at ``highest`` has every acknowledged commit."""
    log_end = _end_of_demoted_log(state)
    if log_end is not None and highest >= log_end:
        return True
    bound, acknowledged = state.acknowledged_bound, state.acknowledged
    if bound is not None and highest >= bound:
        return True
    if not state.is_list_complete or _missing_ahead_of(highest, state):
        return False
    # Every known server that could acknowledge a commit has reported its position.
    covers_known = acknowledged is None or highest >= acknowledged
    if state.accepts_missing_commits:
        return True
    if state.has_given_up_servers:
        # An instance that has not confirmed may have acknowledged more than is known.
        return covers_known and state.is_confirmed
    return covers_known or not state.awaits_unlisted_servers


def _end_of_demoted_log(state: FailoverState) -> LogPosition | None:
    """Return the end of the log of the demoted primary, which has all its commits.

    ``None`` if it was not demoted, or if it has restarted without its log.
    """
    if state.demoted is None:
        return None
    known = [status.received for status in state.status_by_id.values()]
    if state.acknowledged is not None:
        known.append(state.acknowledged)
    end = state.demoted.received
    return end if all(end >= position for position in known) else None


def _missing_ahead_of(highest: LogPosition, state: FailoverState) -> list[str]:
    """Return the servers that may have commits which a server at ``highest`` lacks.

    A server that had stopped replicating before the failover does not matter if it is
    not ahead.
    """
    stopped_position_by_id = state.stopped_position_by_id
    missing = [
        target_id
        for target_id in state.missing
        if target_id not in stopped_position_by_id
        or stopped_position_by_id[target_id] > highest
    ]
    ahead = [
        target_id
        for target_id, status in state.status_by_id.items()
        if status.received > highest
    ]
    return missing + ahead
