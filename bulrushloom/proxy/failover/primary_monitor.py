"""Task of the leader that monitors primaries and starts failovers."""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.abandonment import Abandoned
from bulrushloom.proxy.failover.decisions import (
    STALLED_REASON,
    PrimaryProbe,
    is_majority,
    reason_to_replace,
)
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.failover.replacement import FailoverRunner
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.messages import ServerStatus
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.proxy.server_status import CONNECTION_REFUSED, OVERLOADED, StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

WATCH_INTERVAL = timedelta(milliseconds=100)
# Delay before an abandoned failover is retried.
FAILOVER_RETRY_INTERVAL = timedelta(milliseconds=100)
# Delay before the next attempt to stop a draining replica, which may no longer run.
STOP_RETRY_INTERVAL = timedelta(seconds=1)
# An instance that ended may have acknowledged commits without a report. Statements of a
# busy service bring a position of the primary within this time.
SAMPLE_DELAY = timedelta(milliseconds=500)
SAMPLE_RETRY_INTERVAL = timedelta(seconds=1)
# A status request briefly occupies a slot, so only suspected primaries are probed.
PROBE_INTERVAL = timedelta(milliseconds=100)
# Interval at which a relay that is not the leader probes a suspected primary.
SUSPECT_CHECK_INTERVAL = timedelta(milliseconds=400)
# Servers of a new service register with their first heartbeats. If none of them claims
# to be the primary after this time, there is none.
FIRST_CLAIM_TIMEOUT = timedelta(seconds=2)
# A failover because of missing replication needs the successor and one replica that
# receives from it.
MIN_ANSWERING_REPLICAS = 2
# Replicas that receive nothing from any primary stay out of service for some seconds;
# another failover each second would only interrupt the reads.
STALL_RETRY_INTERVAL = timedelta(seconds=6)


class PrimaryMonitor:
    """Monitor of all services' primaries, active while this instance is the leader.

    ``_failing_over``, ``_probing``, ``_stopping`` and ``_sampling`` hold the services
    whose primary is being replaced, whose primary is being probed, whose draining
    replicas are being stopped, and whose primary is asked for its position, so that no
    second task of the kind starts.
    """

    def __init__(
        self,
        services: Services,
        leadership: Leadership,
        fleet: Fleet,
        status: StatusReader,
        replacement: FailoverRunner,
    ):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._leadership = leadership
        self._fleet = fleet
        self._status = status
        self._replacement = replacement
        self._probe_by_service: dict[str, PrimaryProbe] = {}
        self._failing_over: set[str] = set()
        self._probing: set[str] = set()
        self._stopping: set[str] = set()
        self._sampling: set[str] = set()
        self._unclaimed_since: dict[str, timedelta] = {}
        self._stall_failover_at: dict[str, timedelta] = {}
        # The evacuated domains, as the leader; not known before its first check.
        self._evacuated: frozenset[str] | None = None

    def run(self) -> Steps:
        """Check all services at fixed intervals while the process runs."""
        while True:
            yield self._loop.sleep(WATCH_INTERVAL)
            if not self._leadership.may_decide():
                self._unclaimed_since.clear()
                self._evacuated = None
                self._check_suspected_primaries()
                continue
            self._check_ended_evacuations()
            for service in self._services.configuration.service_by_name:
                if service not in self._failing_over:
                    self._watch_service(service)

    def _check_ended_evacuations(self) -> None:
        """Let the replicas of a domain receive again once its evacuation has ended.

        A failover stops all replicas, and those of evacuated domains are not asked
        afterwards whether they follow the new primary. A new leader does not know
        whether an evacuation, or the leader that stopped them, has just ended.
        """
        table = self._services.table
        previous, self._evacuated = self._evacuated, table.evacuated_domains
        if previous is not None and previous <= self._evacuated:
            return
        for service, group in table.group_by_service.items():
            if group.phase is GroupPhase.STEADY:
                steps = self._replacement.replicas.resume_stopped(
                    service, group.primary_id
                )
                self._loop.spawn(steps)

    def _check_suspected_primaries(self) -> None:
        """Probe the primaries that other instances suspect, if this one is a relay.

        The leader counts the domains that cannot reach a primary. A domain without
        statements of its own would not notice the failure otherwise. A relay that
        becomes the leader goes on with what it has observed: if the previous leader was
        lost together with primaries, observing them again would take another second.
        """
        if not self._fleet.is_domain_relay():
            self._probe_by_service.clear()
            return
        suspected = self._fleet.fleet_suspects()
        for service in self._services.configuration.service_by_name:
            primary = self._services.table.primary_of(service)
            if isinstance(primary, Missing) or primary.target_id not in suspected:
                self._probe_by_service.pop(service, None)
            elif service not in self._probing:
                self._probing.add(service)
                self._loop.spawn(self._check_primary(service, primary))

    def _check_primary(self, service: str, primary: Target) -> Steps:
        requested_at = self._loop.now()
        try:
            status = yield from self._status.read(primary)
            if isinstance(status, Missing) and status is not OVERLOADED:
                self._services.report_failure(primary, status.reason)
                probe = self._known_probe(service, primary)
                self._probe_by_service[service] = _without_answer(
                    probe, status.reason, requested_at
                )
            else:
                self._services.clear_suspicion(primary.target_id)
                self._probe_by_service.pop(service, None)
            yield self._loop.sleep(SUSPECT_CHECK_INTERVAL)
        finally:
            self._probing.discard(service)

    def _watch_service(self, service: str) -> None:
        """Start a failover, or else stop draining replicas, if the service needs it."""
        table = self._services.table
        if not table.targets_of(service) or table.is_evacuated(service):
            # There is no successor.
            return
        group = self._services.table.group_by_service.get(service)
        if group is not None and group.phase is GroupPhase.REPLACING:
            self._start_failover(
                service, group.old_id, "the previous failover was not finished"
            )
            return
        primary = table.recorded_primary(service)
        is_evacuated = not isinstance(primary, Missing) and table.evacuations.covers(
            primary
        )
        # An evacuated primary is not probed.
        probe = PrimaryProbe()
        if not is_evacuated:
            probe = self._update_probe(service, primary)
        reason = reason_to_replace(primary, probe, self._loop.now(), is_evacuated)
        if isinstance(primary, Missing) and not self._is_primary_lost(service):
            return
        if reason:
            old_id = self._services.table.last_primary_id(service)
            if not isinstance(primary, Missing):
                old_id = primary.target_id
            self._start_failover(service, old_id, reason)
        elif not isinstance(primary, Missing):
            self._start_stopping_replicas(service, primary)
            self._start_sampling(service, primary)

    def _is_primary_lost(self, service: str) -> bool:
        """Return whether a primary that is not listed is not going to be.

        The primary may not have registered again after an outage of the store, or not
        yet for the first time.
        """
        table, now = self._services.table, self._loop.now()
        if not table.is_complete:
            self._unclaimed_since.pop(service, None)
            return False
        if service in table.group_by_service:
            return True
        if table.claimants(service):
            # Several servers claim the role; they agree on one without a failover.
            self._unclaimed_since.pop(service, None)
            return False
        if table.last_primary_id(service):
            return True
        since = self._unclaimed_since.setdefault(service, now)
        return now - since >= FIRST_CLAIM_TIMEOUT

    def _start_sampling(self, service: str, primary: Target) -> None:
        """Ask the primary for its position if none is known since an instance ended.

        A failover could not tell otherwise what that instance acknowledged. Statements
        bring positions as well, so this is for services that are idle.
        """
        ended_at, now = self._fleet.member_ended_at, self._loop.now()
        is_known = self._services.history(service).position_since(ended_at)
        if service in self._sampling or not isinstance(is_known, Missing):
            return
        if now - ended_at >= SAMPLE_DELAY:
            self._sampling.add(service)
            self._loop.spawn(self._sample_position(service, primary))

    def _sample_position(self, service: str, primary: Target) -> Steps:
        try:
            requested_at = self._loop.now()
            status = yield from self._status.read(primary)
            is_current = self._services.is_current_primary(primary)
            if not isinstance(status, Missing) and is_current:
                sample = PositionSample(requested_at, status.received)
                self._services.history(service).record(sample)
            yield self._loop.sleep(SAMPLE_RETRY_INTERVAL)
        finally:
            self._sampling.discard(service)

    def _start_stopping_replicas(self, service: str, primary: Target) -> None:
        """Stop replication to draining replicas unless this is already under way."""
        table = self._services.table
        if service in self._stopping:
            return
        if table.draining_replicas(service, primary.target_id):
            self._stopping.add(service)
            self._loop.spawn(self._stop_draining_replicas(service, primary))

    def _stop_draining_replicas(self, service: str, primary: Target) -> Steps:
        try:
            yield from self._replacement.replicas.stop_draining(service, primary)
            yield self._loop.sleep(STOP_RETRY_INTERVAL)
        except Abandoned as error:
            self._log.write(
                "leaving_replicas_not_stopped", service=service, reason=str(error)
            )
        finally:
            self._stopping.discard(service)

    def _update_probe(self, service: str, primary: Target | Missing) -> PrimaryProbe:
        """Return the current probe; start a new one if the primary is suspected.

        The result of the new probe is available in a later call.
        """
        if isinstance(primary, Missing):
            return self._probe_by_service.get(service, PrimaryProbe())
        target_id = primary.target_id
        probe = self._known_probe(service, primary)
        domains = self._fleet.count_suspecting_domains(target_id)
        if not domains.suspecting and probe.stalled_since is None:
            probe = PrimaryProbe(target_id)
        elif service not in self._probing:
            self._probing.add(service)
            self._loop.spawn(self._probe_primary(service, primary))
        probe = probe._replace(
            is_suspected_widely=is_majority(domains.suspecting, domains.total)
        )
        if domains.suspecting < domains.reporting:
            probe = probe._replace(is_apart=False)
        self._probe_by_service[service] = probe
        return probe

    def _known_probe(self, service: str, primary: Target) -> PrimaryProbe:
        """Return what was observed of this primary, not of an earlier one."""
        probe = self._probe_by_service.get(service)
        if probe is None or probe.target_id != primary.target_id:
            return PrimaryProbe(primary.target_id)
        return probe

    def _probe_primary(self, service: str, primary: Target) -> Steps:
        """Request the status of a suspected primary and, if needed, of its replicas."""
        requested_at = self._loop.now()
        try:
            status = yield from self._status.read(primary)
            probe = self._known_probe(service, primary)
            if status is OVERLOADED:
                # A new primary is busiest right after its promotion, when all waiting
                # statements arrive.
                self._services.clear_suspicion(primary.target_id)
                probe = PrimaryProbe(primary.target_id)
            elif isinstance(status, Missing):
                self._services.report_failure(primary, status.reason)
                is_apart = yield from self._is_partitioned(
                    service, primary, requested_at
                )
                probe = _without_answer(probe, status.reason, requested_at)
                probe = probe._replace(is_apart=is_apart)
            else:
                self._services.clear_suspicion(primary.target_id)
                stalled = yield from self._is_stalled(service, primary, status)
                probe = probe._replace(
                    refused_since=None,
                    silent_since=None,
                    is_apart=False,
                    stalled_since=(probe.stalled_since or requested_at)
                    if stalled
                    else None,
                    status=status,
                )
            self._probe_by_service[service] = probe
            yield self._loop.sleep(PROBE_INTERVAL)
        finally:
            self._probing.discard(service)

    def _other_targets(self, service: str, primary: Target) -> list[Target]:
        return [
            known.target
            for known in self._services.table.targets_of(service)
            if known.target.target_id != primary.target_id
        ]

    def _is_partitioned(
        self, service: str, primary: Target, requested_at: timedelta
    ) -> Steps:
        """Return whether the leader's side of a network partition can continue alone.

        That holds if the store has answered since the primary stopped answering, every
        replica answers, and no reporting domain reaches the primary.
        """
        domains = self._fleet.count_suspecting_domains(primary.target_id)
        probe = self._known_probe(service, primary)
        silent_since = probe.silent_since or requested_at
        if self._services.store_freshness.last_read_at < silent_since:
            return False
        if domains.suspecting < domains.reporting:
            return False
        replicas = self._other_targets(service, primary)
        statuses = yield from self._status.read_all(replicas, None)
        return bool(replicas) and len(statuses) == len(replicas)

    def _is_stalled(self, service: str, primary: Target, status: ServerStatus) -> Steps:
        """Return whether the primary is ahead of everything its replicas received.

        A successor needs a replica as well, so two replicas have to answer. A service
        whose last failover for this reason is recent does not count as stalled: its
        replicas receive nothing from any primary, so a failover does not help.
        """
        settings = self._services.configuration.service_by_name.get(service)
        if settings is None or settings.sync_replicas == 0:
            return False
        last_failover_at = self._stall_failover_at.get(service)
        if (
            last_failover_at
            and self._loop.now() - last_failover_at < STALL_RETRY_INTERVAL
        ):
            return False
        others = self._other_targets(service, primary)
        statuses = yield from self._status.read_all(others, None)
        received = [s.received for s in statuses.values()]
        return (
            len(received) >= MIN_ANSWERING_REPLICAS and max(received) < status.received
        )

    def _start_failover(self, service: str, old_id: str, reason: str) -> None:
        self._failing_over.add(service)
        if reason == STALLED_REASON:
            self._stall_failover_at[service] = self._loop.now()
        self._log.write(
            "failover_started",
            service=service,
            old=old_id,
            reason=reason,
            suspected=sorted(self._fleet.fleet_suspects()),
            probe=str(self._probe_by_service.get(service)),
        )
        self._loop.spawn(self._run_failover(service, old_id, reason))

    def _run_failover(self, service: str, old_id: str, reason: str) -> Steps:
        started_at = self._loop.now()
        try:
            primary_id = yield from self._replacement.replace_primary(service, old_id)
            self._log.write(
                "failover_ended",
                service=service,
                old=old_id,
                primary=primary_id,
                duration=self._loop.now() - started_at,
            )
            self._services.metrics.count("failovers", "promoted")
            self._loop.spawn(
                self._replacement.replicas.resume_stopped(service, primary_id)
            )
        except Abandoned as error:
            self._log.write("failover_abandoned", service=service, reason=str(error))
            self._services.metrics.count("failovers", "abandoned")
            yield self._loop.sleep(FAILOVER_RETRY_INTERVAL)
        finally:
            self._probe_by_service.pop(service, None)
            self._failing_over.discard(service)


def _without_answer(
    probe: PrimaryProbe, reason: str, requested_at: timedelta
) -> PrimaryProbe:
    """Return the probe after a status request that failed for ``reason``."""
    refused_since = None
    if reason == CONNECTION_REFUSED:
        refused_since = probe.refused_since or requested_at
    return probe._replace(
        refused_since=refused_since,
        silent_since=probe.silent_since or requested_at,
        is_apart=False,
        stalled_since=None,
        status=None,
    )
