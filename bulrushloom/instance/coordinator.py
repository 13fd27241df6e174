"""Task that owns the node and executes its effects.

The node contains the decisions of an instance and performs no I/O.
"""

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

# Interval between updates of the instance list from the platform's directory.
DIRECTORY_REFRESH_INTERVAL = timedelta(seconds=2)


class Drain(NamedTuple):
    """Message to the coordinator: begin a graceful shutdown."""


class IdleQuery(NamedTuple):
    """Message to the coordinator: report whether no request or transaction is open."""

    future: "Future[bool]"


class Adapters(NamedTuple):
    """I/O adapters that execute the effects of the node."""

    transport: PeerTransport
    executor: TargetExecutor
    store: StoreTask
    directory: DirectoryTask
    frontend: Frontend
    log: Callable[[LogEntry], None]


class Coordinator(MailboxTask):
    """Pass messages to the node, one at a time, and execute the resulting effects."""

    def __init__(self, node: Node, clock: Clock):
        super().__init__("coordinator", clock, TICK_INTERVAL)
        self._node = node
        self._recorder: RequestRecorder | None = None
        self._adapters: Adapters | None = None
        self._future_by_id: dict[str, Future[Outcome | Refusal]] = {}
        self._next_directory_refresh_at = timedelta()

    def connect(self, adapters: Adapters, recorder: RequestRecorder) -> None:
        """Set the adapters and the recorder; call this before ``start``."""
        self._adapters = adapters
        self._recorder = recorder

    @property
    def adapters(self) -> Adapters:
        """Return the adapters; ``connect`` must have been called."""
        assert self._adapters is not None
        return self._adapters

    @property
    def recorder(self) -> RequestRecorder:
        """Return the recorder; ``connect`` must have been called."""
        assert self._recorder is not None
        return self._recorder

    def handle(self, message: Any, now: timedelta) -> None:
        """Handle a message from an adapter."""
        if isinstance(message, MessageReceived):
            self._observe_sender(message, now)
            self._forward_to_node(message.sender, message.message, now)
        elif isinstance(message, CallerSubmit):
            self._submit(message, now)
        elif isinstance(message, StatusRequest):
            message.future.set_result(node_status(self._node, now))
        elif isinstance(message, MetricsSampleRequest):
            message.future.set_result(self._metrics_sample())
        elif isinstance(message, IdleQuery):
            message.future.set_result(self._node.is_idle)
        elif isinstance(message, Drain):
            self._execute_effects(self._node.drain(now))
            self.request_tick()
        else:
            if isinstance(message, KeyValue | KeySwapped | StoreFailed):
                self.recorder.observe_store(message)
            self._forward_to_node(self._node.name, message, now)
            if isinstance(message, InstancesListed):
                self._update_peers()

    def tick(self, now: timedelta) -> None:
        """Tick the node, refresh the directory and update the frontend."""
        self._execute_effects(self._node.tick(now))
        if now >= self._next_directory_refresh_at:
            self._next_directory_refresh_at = now + DIRECTORY_REFRESH_INTERVAL
            self.adapters.directory.refresh(self._local_entry())
        self.adapters.frontend.ready = self._node.is_ready(now)
        self._publish_configuration()

    def next_tick(self, now: timedelta) -> timedelta:
        """Return when the node must tick or the instance list must be refreshed."""
        return min(self._node.next_tick(now), self._next_directory_refresh_at)

    def _forward_to_node(self, sender: str, message: Any, now: timedelta) -> None:
        effects = self._node.handle(sender, message, now)
        if not is_routine(message, effects):
            self.request_tick()
        self._execute_effects(effects)

    def report_failure(self, error: Exception) -> None:
        """Log an unexpected exception; the task continues."""
        entry = LogEntry("coordinator_failed", {"error": repr(error)})
        self.adapters.log(entry)

    def _local_entry(self) -> Any:
        return self._node.table.local_entry._replace(leaving=self._node.draining)

    def _observe_sender(self, message: MessageReceived, now: timedelta) -> None:
        effects = self._node.observe_peer(message.sender, message.identity, now)
        if effects is not None:
            self._update_peers()
            self._execute_effects(effects)

    def _update_peers(self) -> None:
        entries = self._node.table.instance_by_name.values()
        self.adapters.transport.update_peers(
            {
                entry.name: entry.address
                for entry in entries
                if entry.name != self._node.name
            }
        )

    def _publish_configuration(self) -> None:
        self.adapters.frontend.configuration = self._node.tracker.view

    def _submit(self, message: CallerSubmit, now: timedelta) -> None:
        request_id = message.submit.request_id
        self.request_tick()
        self._future_by_id[request_id] = message.future
        try:
            request = message.submit.request
            self.recorder.request_started(request_id, message.account, request, now)
            admit = Admit(message.account, message.submit)
            self._execute_effects(self._node.handle(self._node.name, admit, now))
        except Exception as error:
            self.report_failure(error)
            refusal = Refusal(ErrorKind.INTERNAL, "the request could not be started")
            self._complete(Complete(request_id, refusal))

    def _execute_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.adapters.transport.send(effect.recipient, effect.message)
            elif isinstance(effect, Complete):
                self._complete(effect)
            elif isinstance(effect, ReadKey | SwapKey):
                self.adapters.store.submit(effect)
            elif isinstance(effect, RulesChanged):
                self._rules_changed()
            elif isinstance(effect, LogEntry):
                self.recorder.observe_event(effect)
                self.adapters.log(effect)
            else:
                self._call_target(effect)

    def _call_target(self, effect: Any) -> None:
        rule = self._node.rules.target_by_name.get(effect.target)
        if rule is not None:
            self.adapters.executor.submit(effect, rule)
        elif isinstance(effect, RunStatement | RunBegin | RunEnd):
            error = ServerUnreachable(f"target {effect.target} is no longer declared")
            executed = Executed(effect.target, effect.request_id, error, timedelta())
            self.post(executed)

    def _rules_changed(self) -> None:
        rules = self._node.rules
        self.adapters.executor.update_targets(rules.target_by_name)
        self._publish_configuration()

    def _complete(self, effect: Complete) -> None:
        future = self._future_by_id.pop(effect.request_id, None)
        if future is not None:
            future.set_result(effect.result)
            self.recorder.request_ended(effect, self.clock.monotonic())

    def _metrics_sample(self) -> MetricsSample:
        burn = self.recorder.burn.copy()
        return MetricsSample(burn, queue_lengths(self._node), time.thread_time())
