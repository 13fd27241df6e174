"""The task that owns the node and carries out its effects."""

import time
from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    Effect,
    KeySwapped,
    KeyValue,
    LogEntry,
    ReadKey,
    SendMessage,
    StoreFailed,
    SwapKey,
)
from bulrushloom.coordination.configuration.base import RulesChanged
from bulrushloom.core.clock import Clock
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.tasks import MailboxTask
from bulrushloom.databases.exceptions import ServerUnreachable
from bulrushloom.instance.base import (
    Complete,
    Executed,
    Outcome,
    RunBegin,
    RunEnd,
    RunStatement,
)
from bulrushloom.instance.executor import TargetExecutor
from bulrushloom.instance.frontend import CallerSubmit, Frontend, StatusRequest
from bulrushloom.instance.metering import (
    MetricsSample,
    MetricsSampleRequest,
    queue_lengths,
)
from bulrushloom.instance.node import Admit, Node
from bulrushloom.instance.platform import DirectoryTask, InstancesListed, StoreTask
from bulrushloom.instance.recorder import RequestRecorder
from bulrushloom.instance.schedule import is_routine
from bulrushloom.instance.status import node_status
from bulrushloom.peers.base import MessageReceived, PeerTransport

TICK_INTERVAL = timedelta(milliseconds=20)

# Interval between reads of the platform's list of instances.
DIRECTORY_INTERVAL = timedelta(seconds=2)


class Drain(NamedTuple):
    """Message to the coordinator: begin the graceful shutdown."""


class IsIdle(NamedTuple):
    """Message to the coordinator: tell whether no work is open."""

    future: "Future[bool]"


class Edges(NamedTuple):
    """Name the edges that carry out the effects of the node."""

    transport: PeerTransport
    executor: TargetExecutor
    store: StoreTask
    directory: DirectoryTask
    frontend: Frontend
    log: Callable[[LogEntry], None]


class Coordinator(MailboxTask):
    """Give messages to the node, one at a time, and carry out what it decides."""

    def __init__(self, node: Node, clock: Clock):
        super().__init__("coordinator", clock, TICK_INTERVAL)
        self._node = node
        self._recorder: RequestRecorder | None = None
        self._edges: Edges | None = None
        self._future_by_id: dict[str, Future[Outcome | Refusal]] = {}
        self._next_directory_at = timedelta()

    def connect(self, edges: Edges, recorder: RequestRecorder) -> None:
        """Set the edges and the recorder, before ``start``."""
        self._edges = edges
        self._recorder = recorder

    @property
    def edges(self) -> Edges:
        """Return the edges; ``connect`` was called before."""
        assert self._edges is not None
        return self._edges

    @property
    def recorder(self) -> RequestRecorder:
        """Return the recorder; ``connect`` was called before."""
        assert self._recorder is not None
        return self._recorder

    def handle(self, message: Any, now: timedelta) -> None:
        """Handle one message of an edge."""
        if isinstance(message, MessageReceived):
            self._hear(message, now)
            self._tell(message.sender, message.message, now)
        elif isinstance(message, CallerSubmit):
            self._submit(message, now)
        elif isinstance(message, StatusRequest):
            message.future.set_result(node_status(self._node, now))
        elif isinstance(message, MetricsSampleRequest):
            message.future.set_result(self._reading())
        elif isinstance(message, IsIdle):
            message.future.set_result(self._node.is_idle)
        elif isinstance(message, Drain):
            self._carry_out(self._node.drain(now))
            self.hasten_tick()
        else:
            if isinstance(message, KeyValue | KeySwapped | StoreFailed):
                self.recorder.observe_store(message)
            self._tell(self._node.own, message, now)
            if isinstance(message, InstancesListed):
                self._update_peers()

    def tick(self, now: timedelta) -> None:
        """Let the node do what is due and publish the state of the rules."""
        self._carry_out(self._node.tick(now))
        if now >= self._next_directory_at:
            self._next_directory_at = now + DIRECTORY_INTERVAL
            self.edges.directory.refresh(self._own_entry())
        self.edges.frontend.ready = self._node.is_ready(now)
        self._publish()

    def next_tick(self, now: timedelta) -> timedelta:
        """Return when a part of the node or the list of instances is due."""
        return min(self._node.next_tick(now), self._next_directory_at)

    def _tell(self, sender: str, message: Any, now: timedelta) -> None:
        effects = self._node.handle(sender, message, now)
        if not is_routine(message, effects):
            self.hasten_tick()
        self._carry_out(effects)

    def failed(self, error: Exception) -> None:
        """Log an unexpected exception; the task goes on."""
        entry = LogEntry("coordinator_failed", {"error": repr(error)})
        self.edges.log(entry)

    def _own_entry(self) -> Any:
        return self._node.table.own._replace(leaving=self._node.draining)

    def _hear(self, message: MessageReceived, now: timedelta) -> None:
        effects = self._node.observe_peer(message.sender, message.identity, now)
        if effects is not None:
            self._update_peers()
            self._carry_out(effects)

    def _update_peers(self) -> None:
        entries = self._node.table.instance_by_name.values()
        self.edges.transport.update_peers(
            {
                entry.name: entry.address
                for entry in entries
                if entry.name != self._node.own
            }
        )

    def _publish(self) -> None:
        self.edges.frontend.configuration = self._node.tracker.view

    def _submit(self, message: CallerSubmit, now: timedelta) -> None:
        request_id = message.submit.request_id
        self.hasten_tick()
        self._future_by_id[request_id] = message.future
        try:
            request = message.submit.request
            self.recorder.started(request_id, message.account, request, now)
            admit = Admit(message.account, message.submit)
            self._carry_out(self._node.handle(self._node.own, admit, now))
        except Exception as error:
            self.failed(error)
            refusal = Refusal(ErrorKind.INTERNAL, "the request could not be started")
            self._complete(Complete(request_id, refusal))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.edges.transport.send(effect.recipient, effect.message)
            elif isinstance(effect, Complete):
                self._complete(effect)
            elif isinstance(effect, ReadKey | SwapKey):
                self.edges.store.submit(effect)
            elif isinstance(effect, RulesChanged):
                self._rules_changed()
            elif isinstance(effect, LogEntry):
                self.recorder.observe_event(effect)
                self.edges.log(effect)
            else:
                self._call_target(effect)

    def _call_target(self, effect: Any) -> None:
        rule = self._node.rules.target_by_name.get(effect.target)
        if rule is not None:
            self.edges.executor.submit(effect, rule)
        elif isinstance(effect, RunStatement | RunBegin | RunEnd):
            error = ServerUnreachable(f"target {effect.target} is no longer declared")
            executed = Executed(effect.target, effect.request_id, error, timedelta())
            self.post(executed)

    def _rules_changed(self) -> None:
        rules = self._node.rules
        self.edges.executor.update_targets(rules.target_by_name)
        self._publish()

    def _complete(self, effect: Complete) -> None:
        future = self._future_by_id.pop(effect.request_id, None)
        if future is not None:
            future.set_result(effect.result)
            self.recorder.ended(effect, self.clock.monotonic())

    def _reading(self) -> MetricsSample:
        burn = self.recorder.burn.copy()
        return MetricsSample(burn, queue_lengths(self._node), time.thread_time())
