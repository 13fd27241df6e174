"""Task of the leader: watch the primaries and replace those that failed or leave."""

from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover import (
    STALLED,
    PrimaryProbe,
    is_majority,
    reason_to_replace,
)
from bulrushloom.proxy.fleet import Fleet
from bulrushloom.proxy.groups import GroupPhase
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.messages import ServerStatus
from bulrushloom.proxy.replacement import Abandoned, Replacement
from bulrushloom.proxy.server_status import OVERLOADED, REFUSED, StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.runtime.loop import Steps

WATCH_INTERVAL = timedelta(milliseconds=100)
# A change that was abandoned begins again after this.
RETRY_INTERVAL = timedelta(milliseconds=100)
# A leaving replica that did not answer, perhaps because it is gone already.
STOP_RETRY_INTERVAL = timedelta(seconds=1)
# Status costs a slot for a moment; only suspected primaries are asked.
PROBE_INTERVAL = timedelta(milliseconds=100)
CHECK_INTERVAL = timedelta(milliseconds=400)
# The successor and a replica that receives from it.
MIN_REPLICAS = 2
# Replicas that hear nobody are lost for some seconds; a change each second only stops
# the reads.
STALL_RETRY_INTERVAL = timedelta(seconds=6)


class PrimaryMonitor:
    """Keep every service at a primary while this instance is the leader."""

    def __init__(
        self,
        services: Services,
        leadership: Leadership,
        fleet: Fleet,
        status: StatusReader,
        replacement: Replacement,
    ):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._leadership = leadership
        self._fleet = fleet
        self._status = status
        self._replacement = replacement
        self._probe_by_service: dict[str, PrimaryProbe] = {}
        self._replacing: set[str] = set()
        self._probing: set[str] = set()
        self._stopping: set[str] = set()
        self._stall_replaced_at: dict[str, timedelta] = {}

    def run(self) -> Steps:
        """Watch all services for as long as the process runs."""
        while True:
            yield self._loop.sleep(WATCH_INTERVAL)
            if not self._leadership.is_leader():
                self._probe_by_service.clear()
                self._check_suspects()
                continue
            for service in self._services.configuration.service_by_name:
                if service not in self._replacing:
                    self._watch(service)

    def _check_suspects(self) -> None:
        """As relay of a domain, look at primaries that others suspect.

        The leader counts the domains that do not reach a primary, and without own
        statements this one would not know.
        """
        if not self._fleet.is_domain_relay():
            return
        suspects = self._fleet.fleet_suspects()
        for service in self._services.configuration.service_by_name:
            primary = self._services.table.primary_of(service)
            if isinstance(primary, Missing) or service in self._probing:
                continue
            if primary.target_id in suspects:
                self._probing.add(service)
                self._loop.spawn(self._check(service, primary))

    def _check(self, service: str, primary: Target) -> Steps:
        try:
            status = yield from self._status.read(primary)
            if isinstance(status, Missing) and status is not OVERLOADED:
                self._services.report_failure(primary, status.reason)
            else:
                self._services.clear_suspicion(primary.target_id)
            yield self._loop.sleep(CHECK_INTERVAL)
        finally:
            self._probing.discard(service)

    def _watch(self, service: str) -> None:
        if not self._services.table.targets_of(service):
            return
        group = self._services.table.group_by_service.get(service)
        if group is not None and group.phase is GroupPhase.REPLACING:
            self._start(service, group.old_id, "the last change was not finished")
            return
        primary = self._services.table.primary_of(service)
        probe = self._probe(service, primary)
        reason = reason_to_replace(primary, probe, self._loop.now())
        if isinstance(primary, Missing) and group is None:
            # The servers have not agreed on their first primary yet.
            return
        if reason:
            old_id = group.primary_id if group else ""
            if not isinstance(primary, Missing):
                old_id = primary.target_id
            self._start(service, old_id, reason)
        elif not isinstance(primary, Missing):
            self._stop_leaving(service, primary)

    def _stop_leaving(self, service: str, primary: Target) -> None:
        table = self._services.table
        if service in self._stopping:
            return
        if table.draining_replicas(service, primary.target_id):
            self._stopping.add(service)
            self._loop.spawn(self._stop_leaving_replicas(service, primary))

    def _stop_leaving_replicas(self, service: str, primary: Target) -> Steps:
        try:
            yield from self._replacement.stop_leaving(service, primary)
            yield self._loop.sleep(STOP_RETRY_INTERVAL)
        except Abandoned as error:
            self._log.write(
                "leaving_replicas_not_stopped", service=service, reason=str(error)
            )
        finally:
            self._stopping.discard(service)

    def _probe(self, service: str, primary: Target | Missing) -> PrimaryProbe:
        probe = self._probe_by_service.get(service, PrimaryProbe())
        if isinstance(primary, Missing):
            return probe
        target_id = primary.target_id
        domains = self._fleet.count_suspecting_domains(target_id)
        if not domains.suspecting and probe.stalled_since is None:
            probe = PrimaryProbe()
        elif service not in self._probing:
            self._probing.add(service)
            self._loop.spawn(self._ask(service, primary))
        probe = probe._replace(
            is_suspected_widely=is_majority(domains.suspecting, domains.total)
        )
        if domains.suspecting < domains.reporting:
            probe = probe._replace(is_apart=False)
        self._probe_by_service[service] = probe
        return probe

    def _ask(self, service: str, primary: Target) -> Steps:
        """Ask a suspected primary for its status, and its replicas if it answers."""
        asked_at = self._loop.now()
        try:
            status = yield from self._status.read(primary)
            probe = self._probe_by_service.get(service, PrimaryProbe())
            if status is OVERLOADED:
                # A new primary is busiest when everybody has waited for it.
                self._services.clear_suspicion(primary.target_id)
                probe = PrimaryProbe()
            elif isinstance(status, Missing):
                self._services.report_failure(primary, status.reason)
                refused = status.reason == REFUSED
                is_apart = yield from self._is_apart(service, primary, asked_at)
                probe = probe._replace(
                    refused_since=(probe.refused_since or asked_at)
                    if refused
                    else None,
                    silent_since=probe.silent_since or asked_at,
                    is_apart=is_apart,
                    stalled_since=None,
                    status=None,
                )
            else:
                self._services.clear_suspicion(primary.target_id)
                stalled = yield from self._is_stalled(service, primary, status)
                probe = probe._replace(
                    refused_since=None,
                    silent_since=None,
                    is_apart=False,
                    stalled_since=(probe.stalled_since or asked_at)
                    if stalled
                    else None,
                    status=status,
                )
            self._probe_by_service[service] = probe
            yield self._loop.sleep(PROBE_INTERVAL)
        finally:
            self._probing.discard(service)

    def _others(self, service: str, primary: Target) -> list[Target]:
        return [
            known.target
            for known in self._services.table.targets_of(service)
            if known.target.target_id != primary.target_id
        ]

    def _is_apart(self, service: str, primary: Target, asked_at: timedelta) -> Steps:
        """Return whether the leader is on the side of a cut that can go on alone.

        The store answered since the primary does not, every replica answers, and no
        domain that is heard reaches the primary.
        """
        domains = self._fleet.count_suspecting_domains(primary.target_id)
        probe = self._probe_by_service.get(service, PrimaryProbe())
        silent_since = probe.silent_since or asked_at
        if self._services.store_freshness.confirmed_at < silent_since:
            return False
        if domains.suspecting < domains.reporting:
            return False
        replicas = self._others(service, primary)
        statuses = yield from self._status.read_all(replicas, None)
        return bool(replicas) and len(statuses) == len(replicas)

    def _is_stalled(self, service: str, primary: Target, status: ServerStatus) -> Steps:
        """Return whether the primary is ahead of everything its replicas received.

        A successor needs a replica too, so two of them have to answer; and if the last
        change did not help, the replicas receive nothing from anybody.
        """
        group = self._services.configuration.service_by_name.get(service)
        if group is None or group.sync_replicas == 0:
            return False
        replaced_at = self._stall_replaced_at.get(service)
        if replaced_at and self._loop.now() - replaced_at < STALL_RETRY_INTERVAL:
            return False
        others = self._others(service, primary)
        statuses = yield from self._status.read_all(others, None)
        received = [s.received for s in statuses.values()]
        return len(received) >= MIN_REPLICAS and max(received) < status.received

    def _start(self, service: str, old_id: str, reason: str) -> None:
        self._replacing.add(service)
        if reason == STALLED:
            self._stall_replaced_at[service] = self._loop.now()
        self._log.write(
            "failover_started",
            service=service,
            old=old_id,
            reason=reason,
            suspected=sorted(self._fleet.fleet_suspects()),
            probe=str(self._probe_by_service.get(service)),
        )
        self._loop.spawn(self._replace(service, old_id, reason))

    def _replace(self, service: str, old_id: str, reason: str) -> Steps:
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
        except Abandoned as error:
            self._log.write("failover_abandoned", service=service, reason=str(error))
            self._services.metrics.count("failovers", "abandoned")
            yield self._loop.sleep(RETRY_INTERVAL)
        finally:
            self._probe_by_service.pop(service, None)
            self._replacing.discard(service)
