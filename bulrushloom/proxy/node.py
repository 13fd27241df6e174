"""Process of one session proxy instance: composition, probes and shutdown."""

import os
import signal
import socket
from collections.abc import Mapping
from contextlib import ExitStack
from datetime import timedelta

import xxhash

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.platform.process import READY_PATH
from bulrushloom.platform.store import DutyPromotion, KeyValueStore
from bulrushloom.proxy import connection_allowance
from bulrushloom.proxy.clients.session_bounds import MAX_READER_SILENCE
from bulrushloom.proxy.clients.watch import ClientWatch
from bulrushloom.proxy.era_recovery import EraRecovery
from bulrushloom.proxy.exchange.directory import encode_directory
from bulrushloom.proxy.exchange.endpoint import UdpEndpoint
from bulrushloom.proxy.exchange.fleet import Copier, Fleet
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.failover.group_members import GroupMembersRecorder
from bulrushloom.proxy.failover.primary_monitor import PrimaryMonitor
from bulrushloom.proxy.failover.replacement import FailoverRunner
from bulrushloom.proxy.hot_accounts import HotAccountRecorder
from bulrushloom.proxy.leadership import Candidacy, Leadership
from bulrushloom.proxy.membership import Registration
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.settings import ProxySettings, load_proxy_settings
from bulrushloom.proxy.sharing.domain import DomainConnections
from bulrushloom.proxy.stopping import (
    BALANCER_REMOVAL_TIME,
    SHUTDOWN_MARGIN,
    STOP_REASON,
    StopPlan,
)
from bulrushloom.proxy.store_eras import Knowledge
from bulrushloom.proxy.store_reader import DIRECTORY_PATH, DOCUMENT_PATH, StoreReader
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.http import HttpServer
from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import Listener, Stream, TcpNetwork

PARTITION_CHECK_INTERVAL = timedelta(milliseconds=200)
SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)
SHUTDOWN_CHECK_INTERVAL = timedelta(milliseconds=50)
# A session that was idle for a shorter time may be in constant use: a request may be on
# its way.
MIN_IDLE_TIME = timedelta(milliseconds=100)
# Timeout for revoking the leader lease, which expires by itself otherwise.
RESIGN_TIMEOUT = timedelta(milliseconds=500)
# Time for the answer to a promotion order before the lease is given up.
ORDER_TIMEOUT = timedelta(seconds=1)
METRICS_PATH = "/metrics"
_ZERO = timedelta()


class Node:
    """Session proxy instance, composed of its parts.

    ``start`` opens the sockets and starts the tasks. SIGTERM and SIGINT shut the
    instance down and stop the loop; SIGHUP reloads the settings.
    """

    def __init__(self, settings_path: str, loop: Loop, stack: ExitStack):
        self._settings_path = settings_path
        self.settings: ProxySettings = load_proxy_settings(settings_path)
        self._settings_digest = _digest(settings_path)
        self._loop = loop
        self._stack = stack
        settings = self.settings
        self.log = EventLog(loop, settings.name)
        stack.callback(self.log.close)
        self.metrics = Metrics()
        self.services = Services(
            loop, TcpNetwork(loop), settings, self.log, self.metrics
        )
        stack.callback(self.services.pool.close)
        self._store = KeyValueStore(
            loop, settings.store_address, self.log.write, settings.lease_minimum
        )
        stack.callback(self._store.close)
        self.incarnation = os.urandom(6).hex()
        self.member = Member(
            settings.name,
            self.incarnation,
            settings.peer_address,
            settings.domain,
            settings.metrics_address,
        )
        self.reader = StoreReader(self.services, self._store, self.member)
        self.services.request_list = self.reader.request_list
        self.services.request_client_read = self.reader.request_read_for_client
        self._registration = Registration(loop, self._store, self.log, self.member)
        self.leadership = Leadership(
            loop,
            self._store,
            self.log,
            Candidacy(
                settings.name,
                self.incarnation,
                self.reader.request_read,
                lambda: self.fleet.has_live_leader(),
                lambda: self.fleet.keys,
            ),
        )
        self._sessions: set[Session] = set()
        self.client_watch = ClientWatch(self.services, self._sessions)
        self._is_ready = False
        self._cut_off_since: timedelta | None = None

    # Startup

    def start(self) -> None:
        """Listen on all addresses and start the background tasks."""
        settings, loop, stack = self.settings, self._loop, self._stack
        self.fleet = Fleet(
            self.services,
            self.member,
            lambda on_datagram: UdpEndpoint(loop, settings.peer_address, on_datagram),
            Copier(
                self.reader.request_read,
                self.reader.fetch_configuration,
                self.reader.fetch_directory,
            ),
        )
        self.reader.connect(self.fleet, self.leadership)
        stack.callback(self.fleet.close)
        self.sharing = DomainConnections(self.services, self.member, self.fleet)
        self.services.sharing = self.sharing
        stack.callback(self.sharing.close)
        peer_listener = Listener(
            loop,
            settings.peer_address,
            self.sharing.accept,
            lambda reason: self.log.write("peer_not_accepted", reason=reason),
        )
        stack.callback(peer_listener.close)
        status = StatusReader(self.services, settings.name)
        self._replacement = FailoverRunner(
            self.services,
            self._store,
            DutyPromotion(loop, settings.duties_address),
            self.leadership,
            self.fleet,
            status,
            settings.name,
        )
        self.primary_monitor = PrimaryMonitor(
            self.services, self.leadership, self.fleet, status, self._replacement
        )
        limits = self.client_watch.http_limits()
        probe = HttpServer(loop, settings.probe_address, self._answer_probe, limits)
        stack.callback(probe.close)
        metrics = HttpServer(
            loop, settings.metrics_address, self._answer_metrics, limits
        )
        stack.callback(metrics.close)
        self._listener = Listener(
            loop,
            settings.session_address,
            self._accept,
            lambda reason: self.log.write("session_not_accepted", reason=reason),
            MAX_READER_SILENCE,
        )
        stack.callback(self._listener.close)
        self._install_signal_handlers()
        loop.supervise(self.reader.run)
        loop.supervise(self._registration.run)
        loop.supervise(self.fleet.run)
        loop.supervise(self.sharing.run)
        loop.supervise(self.primary_monitor.run)
        hot_account_recorder = HotAccountRecorder(
            self.services, self._store, self.leadership
        )
        loop.supervise(hot_account_recorder.run)
        group_members_recorder = GroupMembersRecorder(
            self.services, self._store, self.leadership
        )
        loop.supervise(group_members_recorder.run)
        recovery = EraRecovery(
            self.services,
            self._store,
            self.leadership,
            self.fleet,
            status,
            self.reader.request_read,
        )
        loop.supervise(recovery.run)
        loop.supervise(self._watch_settings)
        loop.supervise(self._watch_partition)
        loop.supervise(self._watch_connections)
        loop.supervise(self.client_watch.watch_memory)
        loop.supervise(self.client_watch.watch_times)
        self.log.write("started", incarnation=self.incarnation, domain=settings.domain)

    def _install_signal_handlers(self) -> None:
        wake, wake_writer = socket.socketpair()
        for sock in (wake, wake_writer):
            sock.setblocking(False)
            self._stack.callback(sock.close)
        signal.set_wakeup_fd(wake_writer.fileno(), warn_on_full_buffer=False)
        self._stack.callback(signal.set_wakeup_fd, -1)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.signal(number, lambda *_: None)

        def on_signal(_: int) -> None:
            for number in wake.recv(64):
                self._on_signal(number)

        self._loop.watch(wake, 1, on_signal)

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._reload()
        elif not self.services.is_stopping:
            plan = StopPlan(self._loop.now(), self.settings.stop_grace)
            self.services.stop_plan = plan
            self._loop.spawn(self._stop(plan))

    # Settings

    def _watch_settings(self) -> Steps:
        while True:
            yield self._loop.sleep(SETTINGS_CHECK_INTERVAL)
            if _digest(self._settings_path) != self._settings_digest:
                self._reload()

    def _reload(self) -> None:
        """Apply the time bounds and rate tolerances of a changed settings file.

        Changes of the name, the domain and the addresses need a restart.
        """
        self._settings_digest = _digest(self._settings_path)
        try:
            settings = load_proxy_settings(self._settings_path)
        except SettingsError as error:
            self.log.write("settings_refused", problems=error.problems)
            return
        unchangeable = {
            field: getattr(self.settings, field)
            for field in ("name", "domain", "session_address", "probe_address")
            + ("peer_address", "metrics_address")
        }
        previous, self.settings = self.settings, settings._replace(**unchangeable)
        self.services.apply_settings(self.settings)
        self.log.write(
            "settings_reloaded",
            changed=self.settings != previous,
            needs_restart=settings != self.settings,
        )

    # Sessions and probes

    def _watch_partition(self) -> Steps:
        """Move clients to other instances while a partition cuts this one off.

        The load balancer first removes the instance. Then idle sessions are closed, and
        others with a refusal, so that their clients reconnect to instances that can
        reach the store.
        """
        while True:
            yield self._loop.sleep(PARTITION_CHECK_INTERVAL)
            if self.services.is_stopping:
                return
            now = self._loop.now()
            if not self.fleet.is_isolated():
                if self._cut_off_since is not None:
                    self.log.write("cut_healed", duration=now - self._cut_off_since)
                self._cut_off_since = None
                self.services.session_close_reason = ""
            elif self._cut_off_since is None:
                self._cut_off_since = now
                self.log.write(
                    "cut_off", evidence_age=self.services.store_freshness.age(now)
                )
            elif now - self._cut_off_since >= BALANCER_REMOVAL_TIME:
                self._close_idle_sessions("the instance is cut off")

    def _watch_connections(self) -> Steps:
        while True:
            yield self._loop.sleep(connection_allowance.CHECK_INTERVAL)
            self.services.close_unused_connections()

    def _close_idle_sessions(self, reason: str) -> None:
        """Close idle sessions now, and others when a request is refused."""
        self.services.session_close_reason = reason
        idle_since = self._loop.now() - MIN_IDLE_TIME
        for session in list(self._sessions):
            if session.is_idle and session.awaiting_since <= idle_since:
                session.close(reason)

    def _accept(self, stream: Stream) -> None:
        if not self.client_watch.make_room_for_session(stream):
            return
        self._sessions.add(Session(self.services, stream, self._sessions.discard))

    def _answer_probe(
        self, method: str, path: str, _body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        if method != "GET" or path != READY_PATH:
            return 404, {}, b""
        reason = self._not_ready_reason()
        if bool(reason) == self._is_ready:
            self._is_ready = not reason
            self.log.write("readiness_changed", ready=self._is_ready, reason=reason)
        return (503 if reason else 200), {}, reason.encode()

    def _not_ready_reason(self) -> str:
        services = self.services
        if services.is_stopping:
            return "stopping"
        if not services.configuration.version:
            return "no configuration yet"
        if not services.store_freshness.allows_readiness(self._loop.now()):
            return "the store has not answered lately"
        if services.eras.knowledge(self._loop.now()) is Knowledge.NONE:
            return "the newest configuration is not known yet"
        if self._cut_off_since is not None:
            return "neither the store nor another domain is heard"
        return ""

    def _answer_metrics(
        self, method: str, path: str, _body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        if method == "GET" and path.startswith(DOCUMENT_PATH):
            return self._answer_document(path.removeprefix(DOCUMENT_PATH))
        if method == "GET" and path.startswith(DIRECTORY_PATH):
            return self._answer_directory(path.removeprefix(DIRECTORY_PATH))
        if method != "GET" or path != METRICS_PATH:
            return 404, {}, b""
        gauges = self.metrics.gauges
        gauges["sessions"] = len(self._sessions)
        self.client_watch.set_gauges()
        pool, owned = self.services.pool, self.sharing.owner.pool
        gauges["server_connections"] = pool.size() + owned.size()
        gauges["server_connections_opened"] = pool.opened + owned.opened
        gauges.update(self.sharing.gauges())
        gauges["store_calls"] = self._store.calls
        gauges["store_era"] = self.services.eras.era
        gauges["members"] = self.services.member_count
        gauges["gossip_bytes"] = self.fleet.sent_bytes
        gauges["gossip_datagrams"] = self.fleet.sent_count
        gauges["unexpected_errors"] = self._loop.error_count
        return 200, {"Content-Type": "text/plain"}, self.metrics.text()

    def _answer_document(self, version: str) -> tuple[int, Mapping[str, str], bytes]:
        document = self._store.document()
        if document is None or str(document.version) != version:
            return 404, {}, b""
        return 200, {"Content-Type": "application/json"}, document.value

    def _answer_directory(self, version: str) -> tuple[int, Mapping[str, str], bytes]:
        directory = self.fleet.directory
        if directory is None or directory.version != version:
            return 404, {}, b""
        content = encode_directory(directory)
        return 200, {"Content-Type": "application/json"}, content

    # Shutdown

    def _stop(self, plan: StopPlan) -> Steps:
        """Shut down without interrupting answers, then stop the loop.

        Idle sessions are closed once the load balancer has removed the instance. After
        half of the stop grace, the others are closed with a refusal, and transactions
        between two statements are aborted.
        """
        self.log.write("stopping", sessions=len(self._sessions))
        yield from self._resign_leadership()
        yield self._loop.sleep(plan.closes_sessions_at - self._loop.now())
        yield from self._close_sessions(plan, plan.leaves_at)
        # A session that is accepted from now on might be cut.
        self._listener.close()
        try:
            yield self._loop.wait_for(
                self._loop.spawn(self._registration.deregister()), SHUTDOWN_MARGIN * 0.5
            )
        except TimeoutError:
            self.log.write("registration_not_ended")
        # The last ones were accepted just before the listener was closed.
        yield from self._close_sessions(plan, plan.ends_at)
        while self.sharing.peers.lease_count() and self._loop.now() < plan.ends_at:
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)
        self.log.write("stopped", sessions=len(self._sessions))
        for session in list(self._sessions):
            session.end()
        self._loop.stop()

    def _close_sessions(self, plan: StopPlan, deadline: timedelta) -> Steps:
        """Close the sessions that have no outstanding request, until ``deadline``."""
        while self._sessions and self._loop.now() < deadline:
            self._close_idle_sessions(STOP_REASON)
            if self._loop.now() >= plan.refuses_work_at:
                for session in self._sessions:
                    session.abort_idle_transaction(STOP_REASON)
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)

    def _resign_leadership(self) -> Steps:
        """Give up the leader lease, so that another instance can acquire it at once.

        An order to the platform is waited for: it could be executed after an order of
        the next leader.
        """
        deadline = self._loop.now() + ORDER_TIMEOUT
        while (
            self._replacement.promotion.orders_in_flight and self._loop.now() < deadline
        ):
            yield self._loop.sleep(SHUTDOWN_CHECK_INTERVAL)
        try:
            yield self._loop.wait_for(
                self._loop.spawn(self.leadership.resign()), RESIGN_TIMEOUT
            )
        except TimeoutError:
            self.log.write("leader_not_resigned")


def _digest(path: str) -> str:
    try:
        with open(path, "rb") as file:
            return str(xxhash.xxh64_hexdigest(file.read()))
    except OSError:
        return ""
