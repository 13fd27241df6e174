"""What of a group record holds in a later era of the store; no I/O.

The store may return from a copy that lacks promotions, and all instances that knew of
them may be lost as well. What neither an instance nor a server confirms is a hint then:
a leader must not conclude from it that a server has every acknowledged commit.
"""

from collections.abc import Mapping

from bulrushloom.proxy.failover.groups import GroupPhase, GroupRecord
from bulrushloom.proxy.failover.terms import leads
from bulrushloom.proxy.messages import ServerRole, ServerStatus


def confirmed_record(
    group: GroupRecord, status_by_id: Mapping[str, ServerStatus]
) -> GroupRecord:
    """Return the record that the leader of a new era follows.

    ``group`` is the latest record that the store or an instance has, and
    ``status_by_id`` what the listed servers answered in the new era. The result is:

    * ``group``, if no server shows that its primary was replaced since. The sealed
      position of a failover that goes on keeps its ``sealed_era``.
    * a record of the latest primary, if that one answers.
    * otherwise a failover among all servers. Who the latest primary was is not known,
      so every server is a candidate.

    Orders without an answer may still be executed, so they are kept. A replica that
    had stopped may have been resumed since, so it counts as one that replicates.
    """
    group = group._replace(stopped_by_id={})
    if group.phase is GroupPhase.STEADY:
        if _is_primary_confirmed(group, status_by_id):
            return group
    elif not _shows_later_promotion(group, status_by_id):
        return group
    return _latest_promotion(group, status_by_id)


def _latest_term(status_by_id: Mapping[str, ServerStatus]) -> int:
    return max((status.term for status in status_by_id.values()), default=0)


def _is_primary_confirmed(
    group: GroupRecord, status_by_id: Mapping[str, ServerStatus]
) -> bool:
    """Return whether no server contradicts that the recorded primary is the latest."""
    recorded = status_by_id.get(group.primary_id)
    latest_term = _latest_term(status_by_id)
    if recorded is None:
        return latest_term <= (group.primary_term or group.term)
    return leads(recorded, latest_term)


def _shows_later_promotion(
    group: GroupRecord, status_by_id: Mapping[str, ServerStatus]
) -> bool:
    """Return whether a server shows a promotion after the one of this failover.

    Until the failover has ended, no server but the ordered one gets a higher term. An
    entry of a term after the sealed one may also be a commit of the replaced primary
    that was never acknowledged; a failover among all servers is safe then as well.
    """
    latest_term = _latest_term(status_by_id)
    ordered = status_by_id.get(group.primary_id)
    if ordered is not None and leads(ordered, latest_term):
        return False
    if latest_term >= group.term:
        return True
    for target_id, status in status_by_id.items():
        if status.role is ServerRole.PRIMARY and target_id != group.old_id:
            return True
        if group.sealed is not None and status.received.term > group.sealed.term:
            return True
    return False


def _latest_promotion(
    group: GroupRecord, status_by_id: Mapping[str, ServerStatus]
) -> GroupRecord:
    """Return a record of the primary of the latest term, or of a failover without it.

    A primary of a lower term than that of the record may be an earlier one.
    """
    latest_term = _latest_term(status_by_id)
    paused_terms = [status.paused_term for status in status_by_id.values()]
    found = group._replace(
        phase=GroupPhase.REPLACING,
        primary_id="",
        old_id="",
        term=max(latest_term, group.term, *paused_terms) + 1,
        sealed=None,
        primary_term=0,
    )
    first_later_term = group.term
    if group.phase is GroupPhase.STEADY:
        first_later_term = (group.primary_term or group.term) + 1
    for target_id, status in sorted(status_by_id.items()):
        if status.term >= first_later_term and leads(status, latest_term):
            return _record_of_primary(group, found, target_id, status)
    return found


def _record_of_primary(
    group: GroupRecord, failover: GroupRecord, target_id: str, status: ServerStatus
) -> GroupRecord:
    """Return a record of a server that leads; until then, ``failover`` is followed.

    The failover ends once no order for another server can be executed any more.
    """
    own_orders = {
        ordered_id: number
        for ordered_id, number in group.unanswered_by_id.items()
        if ordered_id == target_id
    }
    if own_orders != group.unanswered_by_id and not _has_committed(group, status):
        return failover._replace(primary_id=target_id)
    return failover._replace(
        phase=GroupPhase.STEADY,
        primary_id=target_id,
        old_id=group.primary_id or group.old_id,
        term=status.term,
        primary_term=status.term,
        unanswered_by_id=own_orders,
    )


def _has_committed(group: GroupRecord, status: ServerStatus) -> bool:
    """Return whether a primary has commits of its own term.

    Instances use a primary only after every earlier order has ended.
    """
    is_own_term = status.received.term == status.term
    is_longer = group.sealed is None or status.received.offset > group.sealed.offset
    return is_own_term and is_longer
