"""Failure detection and replacement of the primary of one group.

A watcher polls the servers. When the primary fails or leaves, the watcher runs a
promotion round: it asks the servers to grant a new term (fencing), which stops the old
primary, and promotes the granting server with the most recent log entry.
"""

from collections.abc import Sequence
from datetime import timedelta

from bulrushloom.coordination.base import (
    DecisionComponent,
    Effect,
    LogEntry,
    Message,
    SendMessage,
    next_idle_tick,
)
from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    Fenced,
    FenceRefused,
    FenceServer,
    Followed,
    FollowPrimary,
    GroupState,
    GroupTarget,
    PollStatus,
    Promoted,
    PromoteFailed,
    PromoteServer,
    StatusFailed,
    StatusReceived,
    WatcherReport,
    is_serving,
)
from bulrushloom.coordination.failover.planning import (
    PlannedRounds,
    can_start,
    servers_to_redirect,
)
from bulrushloom.coordination.failover.rounds import (
    PromotionRound,
    RoundKind,
    next_term,
)
from bulrushloom.coordination.failover.servers import ServerRecord, ServerTable
from bulrushloom.coordination.failover.suspicion import Suspicion
from bulrushloom.core.sentinels import Missing
from bulrushloom.core.statecharts import StateMachine, load_chart
from bulrushloom.databases.base import ServerStatus

CHART = load_chart(__package__, "group_monitor.yaml")
SERVING_STATES = frozenset({"following", "draining"})


class GroupMonitor(DecisionComponent):
    """Watch one group, and fence and promote when its primary fails or leaves.

    ``name`` is the name of this instance. ``candidate`` identifies it to the servers
    that it asks for a term, and must be unique for each run of the instance: servers
    grant a term to one candidate only, and a restarted instance no longer knows which
    server it promoted.
    """

    round_class: type[PromotionRound] = PromotionRound

    def __init__(
        self,
        group: str,
        name: str,
        candidate: str,
        policy: FailoverPolicy | None = None,
    ):
        self.group = group
        self._name = name
        self._candidate = candidate
        self._policy = policy or FailoverPolicy()
        self._chart = StateMachine(CHART)
        self._table = ServerTable(self._policy)
        self._watchers: tuple[str, ...] = ()
        self._term = 0
        self._primary: str | None = None
        self._reason = "no server has answered so far"
        self._now = timedelta()
        self._is_started = False
        self._suspicion = Suspicion(self._policy)
        self._term_rose_at: timedelta | None = None
        self._retry_at = timedelta()
        self._failures = 0
        self._planned = PlannedRounds(self._policy)
        self._round: PromotionRound | None = None
        self._last_term = 0
        self._reported_at: timedelta | None = None

    @property
    def state(self) -> str:
        """Return the current state of the chart ``group_monitor.yaml``."""
        return self._chart.state

    @property
    def view(self) -> GroupState:
        """Return the state of the group as this watcher knows it."""
        primary: str | Missing = Missing(self._reason)
        if self._chart.state in SERVING_STATES and self._primary is not None:
            primary = self._primary
        servers = self._table.states(self._now)
        return GroupState(self.group, self._term, primary, servers)

    def update_servers(
        self, targets: Sequence[GroupTarget], watchers: Sequence[str], name: str
    ) -> None:
        """Replace the servers of the group and its watchers.

        The watchers are in rank order; ``name`` is the name of this instance.
        """
        self._table.update(targets)
        self._watchers = tuple(watchers)
        self._suspicion.keep_reports(watchers)
        self._name = name
        if self._primary not in self._table.record_by_target:
            self._primary = None

    def handle(self, sender: str, message: Message, now: timedelta) -> list[Effect]:
        """Handle an answer of a server or a report of another watcher.

        Failed fence and follow calls need no handling, because they are repeated.
        """
        effects = self._advance(now)
        if isinstance(message, StatusReceived | Followed | Promoted):
            self._update_status(message.target, message.status)
        elif isinstance(message, StatusFailed):
            self._table.record_failure(message.target)
        elif isinstance(message, Fenced):
            self._record_grant(message)
        elif isinstance(message, FenceRefused):
            effects += self._record_refusal(message)
        elif isinstance(message, PromoteFailed):
            effects.append(PollStatus(message.target))
        elif isinstance(message, WatcherReport) and message.group == self.group:
            effects += self._record_report(sender, message)
        return effects + self._take_due_steps()

    def tick(self, now: timedelta) -> list[Effect]:
        """Poll the servers and perform the work that is due."""
        effects = self._advance(now)
        effects += [PollStatus(target) for target in self._table.due_polls(now)]
        return effects + self._take_due_steps() + self._due_reports()

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when a poll is due or the primary would become unreachable."""
        if self._chart.state != "following":
            return last
        due = self._table.next_due(self._primary_record)
        return min(max(due, last), next_idle_tick(last))

    @property
    def _primary_record(self) -> ServerRecord | None:
        return self._table.record_by_target.get(self._primary or "")

    def _advance(self, now: timedelta) -> list[Effect]:
        """Set the current time; a round fails if the watcher was paused during it."""
        paused = self._is_started and now - self._now > self._policy.pause_threshold
        if paused or not self._is_started:
            self._table.resume(now)
        if not self._is_started:
            self._suspicion.start(now, self._policy.answer_timeout)
        self._is_started = True
        self._now = now
        return self._fail_round("the watcher was paused") if paused else []

    def _update_status(self, target: str, status: ServerStatus) -> None:
        known = self._table.highest_term
        self._table.record_status(target, status, self._now)
        own = self._round.term if self._round is not None else self._last_term
        if known < self._table.highest_term != own and known > 0:
            # Another candidate raised the term.
            self._term_rose_at = self._now

    def _record_grant(self, message: Fenced) -> None:
        self._update_status(message.target, message.status)
        current = self._round
        if current is not None and message.term == current.term:
            current.add_grant(message.target, message.status)

    def _record_refusal(self, message: FenceRefused) -> list[Effect]:
        current = self._round
        if current is None or message.term != current.term:
            return []
        current.refused.add(message.target)
        # Another candidate holds the term and may promote a server soon.
        self._term_rose_at = self._now
        effects: list[Effect] = [PollStatus(message.target)]
        if current.has_lost_quorum(self._table):
            effects += self._fail_round(f"{message.target}: {message.reason}")
        return effects

    def _record_report(self, sender: str, message: WatcherReport) -> list[Effect]:
        if sender in self._watchers:
            self._suspicion.add_report(sender, message, self._now)
        if message.reachable or self._chart.state != "following":
            return []
        return [SendMessage(sender, self._create_report())]

    def _take_due_steps(self) -> list[Effect]:
        """Perform all steps that the current state and time allow."""
        effects = self._adopt_primary()
        state = self._chart.state
        if state == "following":
            effects += self._check_primary()
        elif state == "suspecting":
            effects += self._start_failover_if_due()
        elif state == "backing_off":
            if self._now >= self._retry_at:
                self._chart.send("delay_elapsed")
        else:
            effects += self._advance_round()
        return effects

    def _adopt_primary(self) -> list[Effect]:
        serving = self._table.find_serving(self._term)
        if serving is None or serving.status is None:
            return []
        term, name = serving.status.term, serving.target.name
        if self._round is not None and term < self._round.term:
            return []
        if not self._table.is_reachable(serving, self._now):
            return []
        is_new = (term, name) != (self._term, self._primary)
        if not is_new and self._chart.state == "following":
            return []
        self._term, self._primary = term, name
        self._planned.reset_delay()
        if is_new:
            self._failures = 0
        own = self._chart.state == "promoting" and term == self._last_term
        if self._chart.state != "following":
            self._chart.send("promoted" if own else "primary_seen")
        self._round = None
        if not is_new:
            return []
        # With new statuses, the other servers can be redirected without delay.
        others = [other for other in self._table.record_by_target if other != name]
        log = self._log("primary_adopted", primary=name, term=term, own_round=own)
        return [log, *map(PollStatus, others)]

    def _check_primary(self) -> list[Effect]:
        record = self._primary_record
        if record is None or not self._table.is_reachable(record, self._now):
            return self._suspect_primary("the primary does not answer")
        if record.status is None or not is_serving(record.status):
            return self._suspect_primary("the server that was primary serves no more")
        return self._redirect_servers(record) + self._start_planned_round_if_due(record)

    def _suspect_primary(self, reason: str) -> list[Effect]:
        self._chart.send("primary_lost")
        self._reason = reason
        self._suspicion.start(self._now, timedelta())
        return [self._log("primary_suspected", primary=self._primary, reason=reason)]

    def _start_failover_if_due(self) -> list[Effect]:
        rank = self._rank()
        if rank is None:
            self._reason = "this instance is no watcher of the group"
            return []
        turn = max(self._suspicion.turn_at(rank), self._retry_at)
        if self._now < turn or self._is_in_stable_period():
            return []
        obstacle = self._suspicion.find_obstacle(
            self._table, self._primary_record, self._term, rank, self._now
        )
        if obstacle is not None:
            self._reason = obstacle
            return []
        self._chart.send("turn_reached")
        return self._start_round(RoundKind.FAILOVER)

    def _is_in_stable_period(self) -> bool:
        """Return whether another candidate raised the term within the stable period."""
        rose = self._term_rose_at
        return rose is not None and self._now - rose < self._policy.stable_period

    def _start_round(self, kind: RoundKind) -> list[Effect]:
        rejoin = any(
            record.status is not None and not record.has_log
            for record in self._table.reachable(self._now)
        )
        highest = max(self._table.highest_term, self._last_term, self._term)
        term = next_term(highest, rejoin)
        current = self.round_class(kind, term, self._now, rejoin)
        self._round, self._last_term = current, current.term
        self._reason = f"term {current.term} is being taken"
        log = self._log("round_started", kind=kind.value, term=current.term)
        return [log, *self._calls_of_round(current)]

    def _calls_of_round(self, current: PromotionRound) -> list[Effect]:
        current.sent_at = self._now
        if current.chosen is not None:
            return [PromoteServer(current.chosen, current.term, self._candidate)]
        if self._chart.state == "draining":
            return []
        return [
            FenceServer(name, current.term, self._candidate)
            for name in self._table.record_by_target
            if name not in current.grant_by_target
        ]

    def _advance_round(self) -> list[Effect]:
        current = self._round
        if current is None:
            return []
        if self._now - current.started_at >= self._policy.round_timeout:
            return self._fail_round("no answer from a quorum in time")
        if self._chart.state == "draining":
            return self._advance_draining(current)
        if self._chart.state == "fencing" and self._is_fenced(current):
            self._chart.send("fenced")
            exclude_leaving = (
                current.kind is RoundKind.MOVE and self._planned.excludes_leaving
            )
            current.choose(self._table, self._primary, exclude_leaving)
            current.started_at = self._now
            return self._calls_of_round(current)
        return self._repeat_calls(current)

    def _advance_draining(self, current: PromotionRound) -> list[Effect]:
        """Wait for a replica to catch up while the primary still serves.

        Statuses are polled often, so that the primary is fenced early.
        """
        if current.is_caught_up(
            self._table, self._primary_record, self._policy, self._now
        ):
            self._chart.send("caught_up")
            current.started_at = self._now
            return self._calls_of_round(current)
        if self._now - current.polled_at < self._policy.catch_up_poll:
            return []
        current.polled_at = self._now
        return list(map(PollStatus, self._table.record_by_target))

    def _repeat_calls(self, current: PromotionRound) -> list[Effect]:
        if self._now - current.sent_at >= self._policy.repeat_interval:
            return self._calls_of_round(current)
        return []

    def _is_fenced(self, current: PromotionRound) -> bool:
        if not current.has_quorum(self._table):
            return False
        if not current.waits_for_all or current.is_complete(self._table):
            return True
        return self._now - current.started_at >= 2 * self._policy.repeat_interval

    def _fail_round(self, reason: str) -> list[Effect]:
        if self._round is None:
            return []
        term, self._round = self._round.term, None
        self._chart.send("round_failed")
        self._reason = f"the round of term {term} failed: {reason}"
        self._postpone_next_round()
        log = self._log("round_failed", term=term, reason=reason)
        return [log, *map(PollStatus, self._table.record_by_target)]

    def _postpone_next_round(self) -> None:
        delay = self._policy.retry_delay * 2 ** min(self._failures, 8)
        delay = min(delay, self._policy.max_retry_delay)
        # The delay depends on the rank, so that candidates do not collide repeatedly.
        delay += (self._rank() or 0) * self._policy.retry_delay
        self._failures += 1
        self._retry_at = self._now + delay

    def _redirect_servers(self, primary: ServerRecord) -> list[Effect]:
        """Tell servers that do not replicate from the primary to follow it."""
        misdirected = servers_to_redirect(
            self._table, primary, self._term, self._policy, self._now
        )
        for record in misdirected:
            record.followed_at = self._now
        return [
            FollowPrimary(record.target.name, self._term, primary.target.name)
            for record in misdirected
        ]

    def _start_planned_round_if_due(self, primary: ServerRecord) -> list[Effect]:
        kind = self._planned.due(
            self._table, primary, self._term, self._rank(), self._now
        )
        if kind is None or self._is_in_stable_period() or self._now < self._retry_at:
            return []
        if not can_start(kind, self._table, primary, self._now):
            return []
        self._planned.count_start()
        self._chart.send("move_due" if kind is RoundKind.MOVE else "regroup_due")
        return self._start_round(kind)

    def _due_reports(self) -> list[Effect]:
        """Return reports about the primary for the other watchers while suspecting."""
        if self._chart.state != "suspecting" or self._primary is None:
            return []
        last = self._reported_at
        if last is not None and self._now - last < self._policy.poll_interval:
            return []
        self._reported_at = self._now
        report = self._create_report()
        others = [watcher for watcher in self._watchers if watcher != self._name]
        return [SendMessage(watcher, report) for watcher in others]

    def _create_report(self) -> WatcherReport:
        record = self._primary_record
        reachable = record is not None and self._table.is_reachable(record, self._now)
        return WatcherReport(self.group, self._primary or "", self._term, reachable)

    def _rank(self) -> int | None:
        if self._name not in self._watchers:
            return None
        return self._watchers.index(self._name)

    def _log(self, event: str, **fields: object) -> LogEntry:
        return LogEntry(event, {"group": self.group, **fields})
