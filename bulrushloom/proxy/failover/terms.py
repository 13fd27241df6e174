"""Terms, by which servers and instances tell a primary from those it has replaced."""

from bulrushloom.proxy.failover.abandonment import Abandoned
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.messages import ServerRole, ServerStatus
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps


def leads(status: ServerStatus, term: int) -> bool:
    """Return whether a server is the primary, and not one that was replaced."""
    return status.role is ServerRole.PRIMARY and status.term >= term


def next_term(
    services: Services, status: StatusReader, service: str, old_id: str
) -> Steps:
    """Return a term above all known ones; an unfinished failover keeps its term."""
    group = services.table.group_by_service.get(service)
    if group is not None and group.phase is GroupPhase.REPLACING:
        return group.term
    unreachable = services.suspected_targets() | {old_id}
    targets = [
        known.target
        for target_id, known in services.table.listed_target_by_id.items()
        if known.target.service == service and target_id not in unreachable
    ]
    statuses = yield from status.read_all(targets, None)
    terms = [max(s.term, s.paused_term) for s in statuses.values()]
    latest = services.history(service).latest()
    if latest is not None:
        terms.append(latest.position.term)
    if group is not None:
        terms.append(group.term)
    if not terms:
        raise Abandoned("no server of the group reports its term")
    return max(terms) + 1
