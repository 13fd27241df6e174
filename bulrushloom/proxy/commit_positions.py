"""Log positions of the commits that this instance knows of.

Reads with bounded staleness and the choice of a successor rely on them, so a position
is recorded only while its target may be the primary.
"""

from concurrent.futures import Future
from datetime import timedelta

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.failover.groups import GroupPhase
from bulrushloom.proxy.instance_state import InstanceState
from bulrushloom.proxy.messages import LogPosition, ServerAnswer
from bulrushloom.proxy.positions import PositionHistory, PositionSample
from bulrushloom.proxy.usable_targets import UsableTargets


class CommitPositions:
    """Positions of primaries, and whether a commit may be acknowledged."""

    def __init__(self, state: InstanceState, targets: UsableTargets):
        self._state = state
        self._targets = targets
        self._history_by_service: dict[str, PositionHistory] = {}

    def history(self, service: str) -> PositionHistory:
        """Return the history of log positions of a service's primary."""
        history = self._history_by_service.get(service)
        if history is None:
            history = self._history_by_service[service] = PositionHistory()
        return history

    def histories(self) -> dict[str, PositionHistory]:
        """Return all position histories by service."""
        return self._history_by_service

    def record_answer_position(
        self, target: Target, answer: ServerAnswer, sent_at: timedelta
    ) -> None:
        """Record the log position that came with an answer to a request."""
        position = answer.position
        if isinstance(position, Missing):
            return
        self._state.router.health(target.target_id).record_applied_position(position)
        if self._targets.is_recorded_primary(target):
            sample = PositionSample(sent_at, position)
            self.history(target.service).record(sample)

    def acknowledge_commit(
        self, target: Target, position: LogPosition | Missing, cutoff: "Future[None]"
    ) -> bool:
        """Return whether a commit that ``target`` ran may be acknowledged now.

        ``cutoff`` is what the commit got when it became pending.
        Records its position if so. Otherwise a successor that lacks the commit may have
        been chosen, and its outcome is in doubt.
        """
        # A commit that was sent before an evacuation is acknowledged like any other.
        is_allowed = not cutoff.done() and (
            self._targets.is_recorded_primary(target)
            or self._state.commits.allows_replaced(target)
        )
        if is_allowed:
            self._state.commits.record_position(target.service, position)
        else:
            self._state.log.write(
                "commit_not_acknowledged",
                service=target.service,
                target=target.target_id,
                position=str(position),
                evidence_age=self._state.store_freshness.age(self._state.loop.now()),
            )
            self._state.metrics.count("commits_not_acknowledged", target.service)
        return is_allowed

    def acknowledged_position(self, service: str) -> LogPosition | None:
        """Return the highest position known to be acknowledged, if there is one.

        Commits that were acknowledged before this instance started are covered by the
        positions that it has received from the primary since.
        """
        acknowledged = self._state.commits.position_by_service.get(service)
        if acknowledged is not None:
            return acknowledged
        latest = self.history(service).latest()
        return latest.position if latest is not None else None

    def record_sealed_positions(self, sent_at: timedelta) -> None:
        """Record the sealed positions of unfinished failovers as position samples.

        A sealed position covers every commit acknowledged before the store read that
        was sent at ``sent_at``, because no later commit was acknowledged so far.
        """
        eras = self._state.eras
        if not eras.is_settled:
            # The copy may lack the end of the failover, and commits acknowledged since.
            return
        for group in self._state.table.group_by_service.values():
            if group.phase is not GroupPhase.REPLACING or group.sealed is None:
                continue
            if group.is_sealed_in(eras.era):
                sample = PositionSample(sent_at, group.sealed)
                self.history(group.service).record(sample)
