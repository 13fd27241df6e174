"""One running instance of the session proxy."""

import os
import signal
import socket
from collections.abc import Mapping
from concurrent.futures import Future
from contextlib import ExitStack
from datetime import timedelta
from typing import Any

import xxhash

from bulrushloom.conf.exceptions import SettingsError
from bulrushloom.platform.process import READY_PATH
from bulrushloom.platform.store import DutyPromotion, KeyValueStore
from bulrushloom.proxy.configuration import Configuration
from bulrushloom.proxy.fleet import Fleet
from bulrushloom.proxy.gossip import Directory, Gossip, Member
from bulrushloom.proxy.groups import group_records
from bulrushloom.proxy.hot_accounts import HotAccountNotes, decode_hot_accounts
from bulrushloom.proxy.leadership import MAX_RANK, Candidacy, Leadership
from bulrushloom.proxy.membership import Registration, decode_members
from bulrushloom.proxy.primaries import PrimaryKeeper
from bulrushloom.proxy.replacement import Replacement
from bulrushloom.proxy.server_status import StatusReader
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.session import Session
from bulrushloom.proxy.settings import ProxySettings, load_proxy_settings
from bulrushloom.proxy.store import (
    ConfigurationDocument,
    DocumentError,
    StoreFailure,
    StoreSnapshot,
)
from bulrushloom.proxy.telemetry import EventLog, Metrics
from bulrushloom.runtime.http import HttpClient, HttpError, HttpServer
from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import Listener, Stream, TcpNetwork

# The leader's reads; a version is in force well within its bound.
READ_INTERVAL = timedelta(milliseconds=500)
LEADERLESS_READ_INTERVAL = timedelta(milliseconds=400)
READ_CHECK_INTERVAL = timedelta(milliseconds=50)
READ_RETRY_INTERVAL = timedelta(milliseconds=150)
MAX_DOUBLINGS = 2
# The leader's news take its interval and two datagrams; later an instance reads itself.
RELAY_LIMIT = timedelta(milliseconds=1300)
DIRECTORY_LIMIT = timedelta(milliseconds=3500)
# Callers with unknown keys must not make the store read more often than this.
MIN_CONFIRM_INTERVAL = timedelta(milliseconds=250)
SETTINGS_CHECK_INTERVAL = timedelta(seconds=1)
# The balancer asks once a second and takes an instance out after two misses.
LEAVE_TIME = timedelta(milliseconds=2300)
STOP_CHECK_INTERVAL = timedelta(milliseconds=50)
# Kept of the grace for the last answers and the log.
STOP_MARGIN = timedelta(milliseconds=700)
# The lease lapses by itself if the store does not answer in this time.
RESIGN_LIMIT = timedelta(milliseconds=500)
METRICS_PATH = "/metrics"
DOCUMENT_PATH = "/configuration/"
# A copy within a domain takes milliseconds; then the store is read.
FETCH_LIMIT = timedelta(milliseconds=500)
_ZERO = timedelta()


class Node:
    """Compose one instance; ``run`` returns when it has stopped."""

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
        self.services.confirm_soon = self.confirm_soon
        stack.callback(self.services.pool.close)
        self._store = KeyValueStore(loop, settings.store_address, self.log.write)
        stack.callback(self._store.close)
        self.incarnation = os.urandom(6).hex()
        self.member = Member(
            settings.name,
            self.incarnation,
            settings.peer_address,
            settings.domain,
            settings.metrics_address,
        )
        self._registration = Registration(loop, self._store, self.log, self.member)
        self.leadership = Leadership(
            loop,
            self._store,
            self.log,
            Candidacy(settings.name, self.incarnation, self.confirm_soon),
        )
        self._sessions: set[Session] = set()
        self._is_ready = False
        self._store_is_lost = False
        self._reading: Future[Any] | None = None
        self._fetching: Future[Any] | None = None
        self._read_at = _ZERO

    # Start

    def start(self) -> None:
        """Open all addresses and start the tasks."""
        settings, loop, stack = self.settings, self._loop, self._stack
        self.fleet = Fleet(
            self.services,
            self.member,
            lambda hear: Gossip(loop, settings.peer_address, self.member, hear),
            self.confirm_soon,
            self._fetch_configuration,
        )
        stack.callback(self.fleet.close)
        status = StatusReader(self.services, settings.name)
        replacement = Replacement(
            self.services,
            self._store,
            DutyPromotion(loop, settings.duties_address),
            self.leadership,
            self.fleet,
            status,
            settings.name,
        )
        self.keeper = PrimaryKeeper(
            self.services, self.leadership, self.fleet, status, replacement
        )
        probe = HttpServer(loop, settings.probe_address, self._answer_probe)
        stack.callback(probe.close)
        metrics = HttpServer(loop, settings.metrics_address, self._answer_metrics)
        stack.callback(metrics.close)
        listener = Listener(
            loop,
            settings.session_address,
            self._accept,
            lambda reason: self.log.write("session_not_accepted", reason=reason),
        )
        stack.callback(listener.close)
        self._catch_signals()
        loop.supervise(self._follow_store)
        loop.supervise(self._registration.run)
        loop.supervise(self.fleet.run)
        loop.supervise(self.keeper.run)
        notes = HotAccountNotes(self.services, self._store, self.leadership)
        loop.supervise(notes.run)
        loop.supervise(self._follow_settings)
        self.log.write("started", incarnation=self.incarnation, domain=settings.domain)

    def _catch_signals(self) -> None:
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
            self.services.is_stopping = True
            self._loop.spawn(self._stop())

    # Settings

    def _follow_settings(self) -> Steps:
        while True:
            yield self._loop.sleep(SETTINGS_CHECK_INTERVAL)
            if _digest(self._settings_path) != self._settings_digest:
                self._reload()

    def _reload(self) -> None:
        """Take the bounds of a changed file; addresses need a restart."""
        self._settings_digest = _digest(self._settings_path)
        try:
            settings = load_proxy_settings(self._settings_path)
        except SettingsError as error:
            self.log.write("settings_refused", problems=error.problems)
            return
        fixed = {
            field: getattr(self.settings, field)
            for field in ("name", "domain", "session_address", "probe_address")
            + ("peer_address", "metrics_address")
        }
        self.settings = settings._replace(**fixed)
        self.services.apply_settings(self.settings)
        self.log.write("settings_reloaded", changed=settings != self.settings)

    # Store

    def _follow_store(self) -> Steps:
        """Read the store at intervals; only the leader reads while it is heard."""
        failures = 0
        while True:
            self.fleet.is_leader = self.leadership.holds()
            if self._needs_read():
                result = yield self.confirm_soon()
                failures = failures + 1 if isinstance(result, StoreFailure) else 0
                if failures:
                    pause = READ_RETRY_INTERVAL * 2 ** min(failures - 1, MAX_DOUBLINGS)
                    yield self._loop.sleep(pause)
            yield self._loop.sleep(READ_CHECK_INTERVAL)

    def _needs_read(self) -> bool:
        now = self._loop.now()
        if self.leadership.holds() or not self.fleet.peers_by_name:
            return now - self._read_at >= READ_INTERVAL
        if self.fleet.is_speaker() and not self.fleet.hears_leader():
            # The lease may end any moment; speakers are the first candidates.
            return now - self._read_at >= LEADERLESS_READ_INTERVAL
        is_listed = self.services.table.is_listed_since(now - DIRECTORY_LIMIT)
        return self.services.evidence.age(now) >= RELAY_LIMIT or not is_listed

    def confirm_soon(self) -> "Future[Any]":
        """Read the store now, or join a read that is about to begin."""
        if self._reading is None or self._reading.done():
            self._reading = self._loop.spawn(self._read_store())
        return self._reading

    def _read_store(self) -> Steps:
        pause = self._read_at + MIN_CONFIRM_INTERVAL - self._loop.now()
        if pause > _ZERO:
            yield self._loop.sleep(pause)
        self._read_at = self._loop.now()
        result = yield self._store.snapshot(True)
        if isinstance(result, StoreFailure):
            self._note_store(result)
        else:
            self._note_store(None)
            self._take_snapshot(result)
        return result

    def _rank(self) -> int:
        """Return the place of this instance among the candidates for the lease."""
        if not self.fleet.peers_by_name:
            # All instances start at once and know nobody yet.
            return xxhash.xxh32_intdigest(self.member.name.encode()) % MAX_RANK
        domains = {m.domain for m in self.fleet.peers_by_name.values()}
        ordered = sorted(domains | {self.member.domain})
        behind = 0 if self.fleet.is_speaker() else len(ordered)
        return ordered.index(self.member.domain) + behind

    def _fetch_configuration(self, member: Member, revision: int) -> None:
        """Copy a newer configuration from an instance of the own domain."""
        if self._fetching is None or self._fetching.done():
            self._fetching = self._loop.spawn(self._fetch(member, revision))

    def _fetch(self, member: Member, revision: int) -> Steps:
        client = HttpClient(self._loop, member.document_address)
        path = f"{DOCUMENT_PATH}{revision}"
        try:
            response = yield client.request("GET", path, b"", FETCH_LIMIT)
            if response.status != 200:
                raise HttpError(f"status {response.status}")
            document = ConfigurationDocument(revision, response.body)
            self._take_configuration(self._store.adopt(document), member.name)
        except (HttpError, DocumentError) as error:
            self.log.write(
                "configuration_not_fetched", source=member.name, reason=str(error)
            )
            yield self.confirm_soon()
        finally:
            client.close()

    def _take_configuration(self, configuration: Configuration, source: str) -> None:
        services = self.services
        if configuration.revision <= services.configuration.revision:
            return
        services.configuration = configuration
        self.log.write(
            "configuration_in_force",
            version=configuration.version,
            revision=configuration.revision,
            routes=len(configuration.route_by_database),
            accounts=len(configuration.account_by_name),
            source=source,
        )

    def _note_store(self, failure: StoreFailure | None) -> None:
        self.metrics.count("store_reads", failure.problem.value if failure else "ok")
        if failure is not None and not self._store_is_lost:
            self._store_is_lost = True
            self.log.write("store_lost", reason=failure.reason)
        elif failure is None and self._store_is_lost:
            self._store_is_lost = False
            self.log.write("store_regained")

    def _take_snapshot(self, snapshot: StoreSnapshot) -> None:
        services = self.services
        if not services.configuration.version:
            noted = decode_hot_accounts(snapshot.record_by_key)
            services.limiter.start_from(noted)
            self.log.write("limits_started", noted=noted)
        services.evidence.confirm(snapshot.asked_at)
        if snapshot.configuration is not None:
            self._take_configuration(snapshot.configuration, "store")
        services.take_groups(group_records(snapshot.record_by_key.values()))
        services.record_seals(snapshot.asked_at)
        members = decode_members(snapshot.member_by_key or {})
        self.fleet.take_directory(
            Directory(snapshot.asked_at, snapshot.target_by_id, members)
        )
        self.leadership.on_snapshot(snapshot, self._rank())

    # Sessions and probes

    def _accept(self, stream: Stream) -> None:
        self._sessions.add(Session(self.services, stream, self._sessions.discard))

    def _answer_probe(
        self, method: str, path: str, _body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        if method != "GET" or path != READY_PATH:
            return 404, {}, b""
        reason = self._reason_not_ready()
        if bool(reason) == self._is_ready:
            self._is_ready = not reason
            self.log.write("readiness_changed", ready=self._is_ready, reason=reason)
        return (503 if reason else 200), {}, reason.encode()

    def _reason_not_ready(self) -> str:
        services = self.services
        if services.is_stopping:
            return "stopping"
        if not services.configuration.version:
            return "no configuration yet"
        if not services.evidence.allows_readiness(self._loop.now()):
            return "the store has not answered lately"
        return ""

    def _answer_metrics(
        self, method: str, path: str, _body: bytes
    ) -> tuple[int, Mapping[str, str], bytes]:
        if method == "GET" and path.startswith(DOCUMENT_PATH):
            return self._answer_document(path.removeprefix(DOCUMENT_PATH))
        if method != "GET" or path != METRICS_PATH:
            return 404, {}, b""
        gauges = self.metrics.gauges
        gauges["sessions"] = len(self._sessions)
        gauges["server_connections"] = self.services.pool.size()
        gauges["server_connections_opened"] = self.services.pool.opened
        gauges["store_calls"] = self._store.calls
        gauges["members"] = self.services.member_count
        gauges["gossip_bytes"] = self.fleet.sent_bytes
        return 200, {"Content-Type": "text/plain"}, self.metrics.text()

    def _answer_document(self, revision: str) -> tuple[int, Mapping[str, str], bytes]:
        document = self._store.document()
        if document is None or str(document.revision) != revision:
            return 404, {}, b""
        return 200, {"Content-Type": "application/json"}, document.value

    # Stop

    def _stop(self) -> Steps:
        """Leave without cutting an answer; then stop the loop."""
        started_at = self._loop.now()
        grace = self.settings.stop_grace
        self.log.write("stopping", sessions=len(self._sessions))
        leave_at = started_at + min(LEAVE_TIME, grace * 0.4)
        last_at = started_at + max(grace - STOP_MARGIN, grace * 0.5)
        yield from self.before_stop()
        yield self._loop.sleep(leave_at - self._loop.now())
        while self._sessions and self._loop.now() < last_at:
            for session in list(self._sessions):
                if session.is_idle:
                    session.close("the instance stops")
                elif self._loop.now() >= started_at + grace * 0.5:
                    session.end_transaction("the instance stops")
            yield self._loop.sleep(STOP_CHECK_INTERVAL)
        try:
            yield self._loop.within(
                self._loop.spawn(self._registration.end()), STOP_MARGIN * 0.5
            )
        except TimeoutError:
            self.log.write("registration_not_ended")
        self.log.write("stopped", sessions=len(self._sessions))
        self._loop.stop()

    def before_stop(self) -> Steps:
        """Give up what this instance holds for the fleet."""
        try:
            yield self._loop.within(
                self._loop.spawn(self.leadership.end()), RESIGN_LIMIT
            )
        except TimeoutError:
            self.log.write("leader_not_resigned")


def _digest(path: str) -> str:
    try:
        with open(path, "rb") as file:
            return str(xxhash.xxh64_hexdigest(file.read()))
    except OSError:
        return ""
