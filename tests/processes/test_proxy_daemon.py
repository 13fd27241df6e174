"""The real daemon in its own process, before a store and servers on loopback."""

import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from datetime import timedelta
from urllib.request import urlopen

import pytest
import yaml

from bulrushloom.proxy.membership import MEMBER_PREFIX
from bulrushloom.runtime.http import HttpServer
from bulrushloom.runtime.streams import Listener, TcpNetwork
from standins.platform.group import SimulatedGroup
from standins.platform.kv_server import KeyValueServer
from tests.platform.builders import build_document, build_entry
from tests.runtime.builders import running_loop, wait_for, wait_until

SERVICE = "orders"
SECOND = timedelta(seconds=1)
HEARTBEAT = timedelta(milliseconds=300)


def free_ports(count):
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


class Platform:
    """Hold a store, a group of three servers and any number of daemons."""

    def __init__(self, stack, loop, folder):
        self.loop = loop
        self.stack = stack
        self.folder = folder
        self.group = SimulatedGroup(loop, SERVICE)
        self.processes = []
        store_port, *server_ports = free_ports(4)
        self.store = KeyValueServer(loop, f"127.0.0.1:{store_port}", self.group)
        stack.callback(self.store.close)
        self.listener_by_id = {}
        for number, port in enumerate(server_ports):
            address = f"127.0.0.1:{port}"
            server = self.group.add("abc"[number], address, number == 0)
            listener = Listener(loop, address, server.accept)
            stack.callback(listener.close)
            self.listener_by_id[server.server_id] = listener
        self.dead = set()
        self.configure(1)
        self.beat()

    def configure(self, version, **changes):
        document = build_document(version, **changes)
        self.store.put_json("op/config", document)

    def beat(self):
        for server in self.group.server_by_id.values():
            if server.server_id not in self.dead:
                entry = build_entry(
                    Addr=server.address,
                    DbRole="primary" if server.is_primary else "replica",
                )
                self.store.put_json(f"servers/{server.server_id}", entry)
        self.loop.call_later(HEARTBEAT, self.beat)

    def start(self, name, store=""):
        ports = free_ports(4)
        fields = ("session", "probe", "peer", "metrics")
        addresses = {
            f"{field}_address": f"127.0.0.1:{port}"
            for field, port in zip(fields, ports, strict=True)
        }
        store = store or f"127.0.0.1:{self.store.port}"
        path = self.folder / f"{name}.yaml"
        settings = {
            "name": name,
            "domain": name.rpartition("-")[0],
            "store_address": store,
            "duties_address": f"127.0.0.1:{self.store.port}",
            "withdrawn_key_bound_ms": 5000,
            "configuration_bound_ms": 3000,
            "target_drain_bound_ms": 7000,
            "target_heartbeat_ms": 1200,
            "stop_grace_s": 4,
            "rate_window_s": 5,
            "rate_excess": 0.1,
            "rate_slack": 20,
            "lease_minimum_ms": 1000,
            "something_new": [1, 2],
        }
        path.write_text(yaml.safe_dump(settings | addresses))
        log = self.folder / f"{name}.log"
        output = self.stack.enter_context(log.open("wb"))
        process = subprocess.Popen(
            [sys.executable, "-m", "bulrushloom", "proxy", f"--settings={path}"],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
        self.stack.callback(self.end, process)
        daemon = Daemon(self, process, addresses)
        self.processes.append(daemon)
        return daemon

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.wait()


class Daemon:
    """Hold one daemon's process and addresses."""

    def __init__(self, platform, process, addresses):
        self.platform = platform
        self.process = process
        self.addresses = addresses

    def get(self, kind, path):
        """Return status and body of a request that the daemon answers itself."""
        address = self.addresses[f"{kind}_address"]
        try:
            with urlopen(f"http://{address}{path}", timeout=1) as answer:
                return answer.status, answer.read().decode()
        except OSError as error:
            return getattr(error, "code", 0), ""

    def wait_ready(self):
        end = time.monotonic() + 15
        while self.get("probe", "/v1/ready")[0] != 200:
            assert time.monotonic() < end, "the daemon did not become ready"
            for _ in range(5):
                self.platform.loop.run_once(timedelta(milliseconds=20))

    def session(self, database="booking", key="key-1"):
        opening = TcpNetwork(self.platform.loop).connect(
            self.addresses["session_address"], SECOND
        )
        stream = wait_for(self.platform.loop, opening)
        return Caller(self.platform.loop, stream, f"START {database} {key}")


class Caller:
    """Speak to a daemon over TCP."""

    def __init__(self, loop, stream, start):
        self.loop = loop
        self.stream = stream
        self.count = 0
        self.greeting = self.ask(start)

    def ask(self, line):
        self.stream.write(line.encode() + b"\r\n")
        lines = []

        def is_complete():
            while (found := self.stream.take_line(1 << 20)) is not None:
                lines.append(found.decode())
            ended = self.stream.has_ended
            return ended or (lines and lines[-1].startswith("READY"))

        wait_until(self.loop, is_complete)
        return lines

    def query(self, text):
        self.count += 1
        return self.ask(f"QUERY q{id(self) % 9999}-{self.count} {text}")


@pytest.fixture
def platform(tmp_path):
    with ExitStack() as stack:
        loop = stack.enter_context(running_loop())
        yield Platform(stack, loop, tmp_path)


def test_daemon_serves_and_stops_without_cutting_an_answer(platform):
    daemon = platform.start("north-1")
    daemon.wait_ready()
    caller = daemon.session()
    assert caller.greeting == ["READY I -"]
    assert caller.query("WRITE 1 data")[-2].startswith("DONE signed-")
    assert caller.query("READ 1")[-2].startswith("DONE signed-")
    status, text = daemon.get("metrics", "/metrics")
    assert status == 200 and "bulrushloom_write_latency_seconds_count 1" in text
    platform.group.primary().work = timedelta(milliseconds=700)
    caller.stream.write(b"QUERY last READ 1\r\n")
    platform.loop.run_once(timedelta(milliseconds=100))
    daemon.process.send_signal(signal.SIGTERM)
    end = platform.loop.now() + SECOND * 3
    while caller.stream.unread < 40 and platform.loop.now() < end:
        platform.loop.run_once(timedelta(milliseconds=20))
    assert b"DONE signed-last" in caller.stream.take_all()
    assert daemon.get("probe", "/v1/ready")[0] == 503
    wait_until(platform.loop, lambda: daemon.process.poll() is not None)
    assert daemon.process.returncode == 0
    assert not any(k.startswith(MEMBER_PREFIX) for k in platform.store.item_by_key)


def test_killed_primary_is_replaced_by_real_daemons(platform):
    daemons = [platform.start(name) for name in ("north-1", "south-1")]
    for daemon in daemons:
        daemon.wait_ready()
    callers = [daemon.session() for daemon in daemons]
    assert callers[0].query("WRITE 1 data")[-2].startswith("DONE")
    platform.dead.add("a")
    platform.listener_by_id["a"].close()
    server = platform.group.server_by_id["a"]
    server.is_deaf = True
    for connection in list(server.connections):
        connection.stream.close("killed")
    end = platform.loop.now() + SECOND * 12
    for caller in callers:
        while not caller.query("WRITE 1 data")[-2].startswith("DONE"):
            assert platform.loop.now() < end, "the primary was not replaced in 12 s"
            platform.loop.run_once(timedelta(milliseconds=50))
    assert platform.group.primary().server_id in ("b", "c")
    acknowledged = {i for c, _ in platform.group.acknowledged for i in c.request_ids}
    kept = {i for c in platform.group.primary().log for i in c.request_ids}
    assert acknowledged <= kept


def test_daemon_without_an_answer_of_the_store_stops_serving_keys(platform):
    daemon = platform.start("north-1")
    daemon.wait_ready()
    caller = daemon.session()
    caller.query("READ 1")
    platform.store.status = 503
    end = platform.loop.now() + SECOND * 5
    wait_until(platform.loop, lambda: platform.loop.now() > end, SECOND * 6)
    runs = len(platform.group.runs)
    assert caller.query("READ 1")[0].startswith("ERR BUSY")
    assert len(platform.group.runs) == runs
    assert daemon.get("probe", "/v1/ready")[0] == 503
    platform.store.status = 200
    wait_until(platform.loop, lambda: caller.query("READ 1")[-2].startswith("DONE"))


def test_withdrawn_key_and_new_route_are_in_force_within_their_bound(platform):
    daemon = platform.start("north-1")
    daemon.wait_ready()
    caller = daemon.session()
    assert caller.query("READ 1")[-2].startswith("DONE")
    document = build_document(2)
    document["Tenants"][0]["ApiKeys"] = ["key-2"]
    platform.store.put_json("op/config", document)
    end = platform.loop.now() + SECOND * 3
    while not caller.query("READ 1")[0].startswith("ERR NOAUTH"):
        assert platform.loop.now() < end
    assert daemon.session(key="key-2").query("READ 1")[-2].startswith("DONE")


def test_instance_without_the_store_gets_changes_from_its_domain(platform):
    # Guards against an instance that the store turns away and that then refuses all
    # keys although its neighbours know the rules in force.
    entrance = StoreEntrance(platform)
    first = platform.start("north-1")
    first.wait_ready()
    second = platform.start("north-2", entrance.address)
    second.wait_ready()
    wait_until(
        platform.loop, lambda: "members 2" in first.get("metrics", "/metrics")[1]
    )
    entrance.is_closed = True
    document = build_document(2)
    document["Tenants"][0]["ApiKeys"] = ["key-2"]
    platform.store.put_json("op/config", document)
    end = platform.loop.now() + SECOND * 6
    wait_until(platform.loop, lambda: platform.loop.now() > end, SECOND * 7)
    assert second.session().greeting[0].startswith("ERR NOAUTH")
    assert second.session(key="key-2").query("READ 1")[-2].startswith("DONE")
    assert '"source":"north-1"' in (platform.folder / "north-2.log").read_text()


class StoreEntrance:
    """Pass calls on to the store, or refuse them for the instances that use it."""

    def __init__(self, platform):
        self._store = platform.store
        self.is_closed = False
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        server = HttpServer(platform.loop, self.address, self._handle)
        platform.stack.callback(server.close)

    def _handle(self, method, path, body):
        if self.is_closed:
            return 503, {}, b""
        return self._store.handle(method, path, body)


def test_bad_settings_end_the_daemon_with_a_reason(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("name: north-1\nsession_address: nowhere\n")
    environment = os.environ | {"BULRUSHLOOM_CONFIG": str(path)}
    done = subprocess.run(
        [sys.executable, "-m", "bulrushloom", "proxy"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 2
    assert "session_address: 'nowhere'" in done.stderr
    assert "domain: the key is missing" in done.stderr
