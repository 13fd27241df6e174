"""Process of one session proxy instance: its composition, settings and readiness."""

import os
import signal
import socket
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from datetime import timedelta

import xxhash

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.platform.process import READY_PATH
from bulrushloom.platform.promotion import DutyPromotion
from bulrushloom.platform.store import KeyValueStore
from bulrushloom.proxy import connection_allowance
from bulrushloom.proxy.clients.session_bounds import MAX_READER_SILENCE
from bulrushloom.proxy.clients.watch import ClientWatch
from bulrushloom.proxy.era_recovery import EraRecovery
from bulrushloom.proxy.exchange.endpoint import UdpEndpoint
from bulrushloom.proxy.exchange.fleet import Copier, Fleet
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.failover.group_members import GroupMembersRecorder
from bulrushloom.proxy.failover.primary_monitor import PrimaryMonitor
from bulrushloom.proxy.failover.replacement import FailoverRunner
from bulrushloom.proxy.hot_accounts import HotAccountRecorder
from bulrushloom.proxy.leadership import Candidacy, Leadership
from bulrushloom.proxy.membership import Registration
from bulrushloom.proxy.metrics_endpoint import MetricsEndpoint
from bulrushloom.proxy.partition_watch import PartitionWatch
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.settings import ProxySettings, load_proxy_settings
from bulrushloom.proxy.sharing.domain import DomainConnections
from bulrushloom.proxy.shutdown import Shutdown
from bulrushloom.proxy.stopping import StopPlan
from bulrushloom.proxy.store_eras import Knowledge
from bulrushloom.proxy.store_reader import StoreReader
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.http import HttpServer
from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import (
    UNACKNOWLEDGED_TIMEOUT,
    Listener,
    Stream,
    TcpNetwork,
)

SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)


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
        self._partition_watch = PartitionWatch(
            self.services, self._sessions, lambda: self.fleet.is_isolated()
        )
        self._is_ready = False

    # Startup

    def start(self) -> None:
        """Listen on all addresses and start the background tasks."""
        self._connect_instances()
        status = StatusReader(self.services, self.settings.name)
        replacement = FailoverRunner(
            self.services,
            self._store,
            DutyPromotion(self._loop, self.settings.duties_address),
            self.leadership,
            self.fleet,
            status,
            self.settings.name,
        )
        self.primary_monitor = PrimaryMonitor(
            self.services, self.leadership, self.fleet, status, replacement
        )
        self._serve_http()
        listener = self._listen(
            self.settings.session_address,
            self._accept,
            "session_not_accepted",
            MAX_READER_SILENCE,
        )
        self._shutdown = Shutdown(
            self.services,
            self._sessions,
            listener,
            self._registration,
            self.leadership,
            replacement.promotion,
            self.sharing,
        )
        self._install_signal_handlers()
        self._start_tasks(status)
        self.log.write(
            "started", incarnation=self.incarnation, domain=self.settings.domain
        )

    def _connect_instances(self) -> None:
        """Open the exchange with other instances and the connections they share."""
        address = self.settings.peer_address
        self.fleet = Fleet(
            self.services,
            self.member,
            lambda on_datagram: UdpEndpoint(self._loop, address, on_datagram),
            Copier(
                self.reader.request_read,
                self.reader.copies.fetch_configuration,
                self.reader.copies.fetch_directory,
            ),
        )
        self.reader.connect(self.fleet, self.leadership)
        self._stack.callback(self.fleet.close)
        self.sharing = DomainConnections(self.services, self.member, self.fleet)
        self.services.sharing = self.sharing
        self._stack.callback(self.sharing.close)
        self._listen(address, self.sharing.accept, "peer_not_accepted")

    def _serve_http(self) -> None:
        """Open the endpoints of probes and metrics."""
        endpoint = MetricsEndpoint(
            self.services,
            self._store,
            self.fleet,
            self.sharing,
            self.client_watch,
            self._sessions,
        )
        limits = self.client_watch.http_limits()
        for address, answer in (
            (self.settings.probe_address, self._answer_probe),
            (self.settings.metrics_address, endpoint.answer),
        ):
            server = HttpServer(self._loop, address, answer, limits)
            self._stack.callback(server.close)

    def _listen(
        self,
        address: str,
        accept: Callable[[Stream], None],
        failure_event: str,
        unacknowledged_timeout: timedelta = UNACKNOWLEDGED_TIMEOUT,
    ) -> Listener:
        """Accept streams until the instance ends; log those that fail."""
        listener = Listener(
            self._loop,
            address,
            accept,
            lambda reason: self.log.write(failure_event, reason=reason),
            unacknowledged_timeout,
        )
        self._stack.callback(listener.close)
        return listener

    def _start_tasks(self, status: StatusReader) -> None:
        """Start the background tasks, which run until the instance ends."""
        services, store, leadership = self.services, self._store, self.leadership
        recovery = EraRecovery(
            services, store, leadership, self.fleet, status, self.reader.request_read
        )
        for task in (
            self.reader.run,
            self._registration.run,
            self.fleet.run,
            self.sharing.run,
            self.primary_monitor.run,
            HotAccountRecorder(services, store, leadership).run,
            GroupMembersRecorder(services, store, leadership).run,
            recovery.run,
            self._watch_settings,
            self._partition_watch.run,
            self._watch_connections,
            self.client_watch.watch_memory,
            self.client_watch.watch_times,
        ):
            self._loop.supervise(task)

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
            self._loop.spawn(self._shutdown.run(plan))

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

    def _watch_connections(self) -> Steps:
        while True:
            yield self._loop.sleep(connection_allowance.CHECK_INTERVAL)
            self.services.close_unused_connections()

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
        if self._partition_watch.is_cut_off:
            return "neither the store nor another domain is heard"
        return ""


def _digest(path: str) -> str:
    try:
        with open(path, "rb") as file:
            return str(xxhash.xxh64_hexdigest(file.read()))
    except OSError:
        return ""
