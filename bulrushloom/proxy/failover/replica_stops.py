"""Replicas that stop replicating before they leave, and those that must resume.

A commit counts as acknowledged once replicas have received it, so a replica that is
about to end must not be the only one that has it.
"""

from datetime import timedelta

from bulrushloom.platform import wire
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.abandonment import Abandoned
from bulrushloom.proxy.failover.decisions import stopped_replicas
from bulrushloom.proxy.failover.group_writer import GroupWriter
from bulrushloom.proxy.failover.groups import GroupPhase, GroupRecord, StoppedReplica
from bulrushloom.proxy.failover.terms import next_term
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

# A replica follows the new primary within this time unless it is still stopped.
RESUME_CHECK_INTERVAL = timedelta(seconds=1)
RESUME_ATTEMPTS = 10


class ReplicaStops:
    """Orders of the leader that stop and resume the replication to replicas."""

    def __init__(
        self,
        services: Services,
        leadership: Leadership,
        status: StatusReader,
        writer: GroupWriter,
    ):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._leadership = leadership
        self._status = status
        self._writer = writer
        # Services of which replicas are being resumed.
        self._resuming: set[str] = set()

    def stop_draining(self, service: str, primary: Target) -> Steps:
        """Stop replication to the draining replicas of a service.

        A commit that only a draining replica confirmed would be lost with that replica,
        or unreachable if a network partition cuts it off together with the primary.
        """
        if service in self._resuming:
            # The order to resume carries no term, and could follow the one to stop.
            return
        draining = self._services.table.draining_replicas(service, primary.target_id)
        term = yield from next_term(self._services, self._status, service, "")
        answers = yield from self._status.read_all(draining, wire.pause_text(term))
        stopped_by_id = {
            target.target_id: StoppedReplica(
                answers[target.target_id].received, target.born_ms
            )
            for target in draining
            if target.target_id in answers
        }
        self._log.write(
            "leaving_replicas_stopped",
            service=service,
            term=term,
            positions={
                target_id: str(stopped.position)
                for target_id, stopped in stopped_by_id.items()
            },
        )
        if not stopped_by_id:
            return
        group = self._services.table.group_by_service.get(service) or GroupRecord(
            service=service,
            phase=GroupPhase.STEADY,
            term=term - 1,
            primary_id=primary.target_id,
            old_id="",
            fence=self._leadership.fence,
            revision=0,
            revision_era=self._leadership.era,
        )
        if group.phase is not GroupPhase.STEADY:
            raise Abandoned("the primary is being replaced")
        yield from self._writer.write(
            group._replace(stopped_by_id=dict(group.stopped_by_id) | stopped_by_id)
        )

    def resume_stopped(self, service: str, primary_id: str) -> Steps:
        """Let the replicas receive again that a failover has stopped.

        A promotion does that for those that the new primary reaches, unless they were
        stopped for a term above the new one. A replica that stays stopped would miss
        every commit from then on.
        """
        for _ in range(RESUME_ATTEMPTS):
            yield self._loop.sleep(RESUME_CHECK_INTERVAL)
            group = self._services.table.group_by_service.get(service)
            if group is None or group.phase is not GroupPhase.STEADY:
                return
            if group.primary_id != primary_id or not self._leadership.may_decide():
                return
            evacuations = self._services.table.evacuations
            targets = {
                known.target.target_id: known.target
                for known in self._services.table.targets_of(service)
                if not known.target.is_draining and not evacuations.covers(known.target)
            }
            statuses = yield from self._status.read_all(targets.values(), None)
            if self._services.table.group_by_service.get(service) != group:
                # Another failover may have stopped the replicas meanwhile.
                return
            stopped = stopped_replicas(statuses, primary_id)
            if not stopped and targets.keys() == statuses.keys():
                return
            if stopped:
                yield from self._resume(service, [targets[name] for name in stopped])

    def _resume(self, service: str, replicas: list[Target]) -> Steps:
        self._resuming.add(service)
        try:
            answers = yield from self._status.read_all(replicas, wire.RESUME)
        finally:
            self._resuming.discard(service)
        self._log.write(
            "replicas_resumed",
            service=service,
            stopped=sorted(replica.target_id for replica in replicas),
            confirmed=sorted(answers),
        )
