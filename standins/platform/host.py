"""The simulated platform on loopback addresses, with proxy daemons as processes."""

import signal
import subprocess
import sys
from collections.abc import Mapping
from contextlib import ExitStack
from datetime import timedelta
from functools import partial
from pathlib import Path
from typing import Any
from urllib.request import urlopen

import yaml

from bulrushloom.runtime.loop import Loop
from bulrushloom.runtime.streams import Listener, split_address
from standins.platform.documents import build_document, build_entry
from standins.platform.group import SimulatedGroup, SimulatedServer
from standins.platform.kv_server import KeyValueServer, StoreCopy
from standins.ports import free_ports

SERVICE = "orders"
HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
# Three times the heartbeat interval of the platform (1200 ms).
ENTRY_LIFETIME = timedelta(milliseconds=3600)
PROBE_TIMEOUT_S = 1.0
STOP_GRACE_S = 4
WITHDRAWN_KEY_BOUND = timedelta(milliseconds=5000)
RATE_WINDOW = timedelta(seconds=5)
RATE_EXCESS = 0.1
RATE_SLACK = 20
# Unix time in milliseconds at which the clock of a platform starts.
EPOCH_MS = 1_700_000_000_000
_SECOND = timedelta(seconds=1)
_MILLISECOND = timedelta(milliseconds=1)
# Settings of the daemons. The unknown field checks that daemons ignore such fields.
_DEFAULT_SETTINGS = {
    "withdrawn_key_bound_ms": WITHDRAWN_KEY_BOUND // _MILLISECOND,
    "configuration_bound_ms": 3000,
    "target_drain_bound_ms": 7000,
    "stop_grace_s": STOP_GRACE_S,
    "rate_window_s": RATE_WINDOW // _SECOND,
    "rate_excess": RATE_EXCESS,
    "rate_slack": RATE_SLACK,
    "lease_minimum_ms": 1000,
    "something_new": [1, 2],
}
_ADDRESSES = ("session_address", "probe_address", "peer_address", "metrics_address")


class Platform:
    """A store, a group of three database servers and any number of proxy daemons.

    ``crashed_ids`` has the servers that write no store entry, ``leaving_ids`` those
    whose entry says that they are draining. ``listed_address_by_id`` has the addresses
    in the store entries, which a test can point at a proxy in front of the server.
    ``domain_by_id`` has the domains of servers that are not in "north", and
    ``evacuated_domains`` those that the operators have asked to evacuate.
    """

    def __init__(self, stack: ExitStack, loop: Loop, folder: Path):
        self.loop = loop
        self.stack = stack
        self.folder = folder
        self.group = SimulatedGroup(loop, SERVICE)
        self.store = KeyValueServer(loop, f"127.0.0.1:{free_ports(1)[0]}", self.group)
        stack.callback(self.store.close)
        self.listener_by_id: dict[str, Listener] = {}
        self.listed_address_by_id: dict[str, str] = {}
        self.crashed_ids: set[str] = set()
        self.leaving_ids: set[str] = set()
        self.domain_by_id: dict[str, str] = {}
        self.evacuated_domains: set[str] = set()
        self._unlisted_until_by_id: dict[str, timedelta] = {}
        for server_id in "abc":
            self.add_server(server_id)
        self.configure(1)

    def add_server(self, server_id: str) -> SimulatedServer:
        """Start a server; the first one becomes the primary."""
        address = f"127.0.0.1:{free_ports(1)[0]}"
        is_first = not self.group.server_by_id
        server = self.group.add(server_id, address, is_first)
        self.listed_address_by_id[server_id] = address
        self.listen(server)
        return server

    def listen(self, server: SimulatedServer) -> None:
        """Accept connections to a server."""
        listener = Listener(self.loop, server.address, server.accept)
        self.stack.callback(listener.close)
        self.listener_by_id[server.server_id] = listener

    def crash(self, server_id: str) -> None:
        """Stop a server, close its connections and expire its store entry later.

        The server keeps its log. A server that has crashed already is left as it is.
        """
        if server_id in self.crashed_ids:
            return
        self.crashed_ids.add(server_id)
        self.listener_by_id[server_id].close()
        server = self.group.server_by_id[server_id]
        server.is_running = False
        server.drops_replication = True
        for connection in list(server.connections):
            connection.stream.close("crashed")
        self.loop.call_later(ENTRY_LIFETIME, lambda: self._expire_entry(server_id))

    def _expire_entry(self, server_id: str) -> None:
        if server_id in self.crashed_ids:
            self.store.item_by_key.pop(f"servers/{server_id}", None)

    def restart(
        self, server_id: str, copies_log_after: timedelta | None = None
    ) -> None:
        """Restart a crashed server, as a replica if it was replaced.

        It is not paused any more. A replica copies the primary's log once it reaches
        it. With ``copies_log_after`` it has lost its own and starts to copy after that
        time. A server that runs already or has left is left as it is.
        """
        server = self.group.server_by_id.get(server_id)
        if server is None or server_id not in self.crashed_ids:
            return
        server.is_running = True
        if copies_log_after is None:
            server.drops_replication = False
            server.restart()
            self.group.rejoin(server)
        else:
            # It is not reachable for replication until it copies the log.
            server.restart(kept_commits=0)
            server.is_joining = True
            join = partial(self._join, server)
            self.loop.call_later(copies_log_after, join)
        self.listen(server)
        self.crashed_ids.discard(server_id)

    def _join(self, server: SimulatedServer) -> None:
        server.drops_replication = False
        self.group.rejoin(server)

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration document to the store, as operators do."""
        self.store.put_json("op/config", build_document(version, **changes))

    def domain_of(self, server_id: str) -> str:
        """Return the domain of a server."""
        return self.domain_by_id.get(server_id, "north")

    def evacuate(self, domain: str) -> None:
        """Request that the servers of a domain get no more statements."""
        self.evacuated_domains.add(domain)
        self.store.put(f"op/evacuate/{domain}", b"")

    def end_evacuation(self, domain: str) -> None:
        """Withdraw the request."""
        self.evacuated_domains.discard(domain)
        self.store.delete(f"op/evacuate/{domain}")

    def repeat_evacuations(self) -> None:
        """Write again which domains are evacuated, as operators do after a return."""
        prefix = "op/evacuate/"
        for key in [key for key in self.store.item_by_key if key.startswith(prefix)]:
            if key.removeprefix(prefix) not in self.evacuated_domains:
                self.store.delete(key)
        for domain in self.evacuated_domains:
            self.store.put(prefix + domain, b"")

    def return_store(self, copy: StoreCopy) -> None:
        """Let the store return from a copy; servers that run write their entries again.

        Entries of servers that no longer run expire.
        """
        self.store.return_from(copy)
        self.write_server_entries()
        self.loop.call_later(ENTRY_LIFETIME, self._expire_entries_of_absent_servers)

    def _expire_entries_of_absent_servers(self) -> None:
        present = self.group.server_by_id.keys() - self.crashed_ids
        for key in list(self.store.item_by_key):
            prefix, _, server_id = key.partition("/")
            if prefix == "servers" and server_id not in present:
                del self.store.item_by_key[key]

    def send_heartbeats(self) -> None:
        """Write the entries of all servers now and at each heartbeat interval."""
        self.write_server_entries()
        self.loop.call_later(HEARTBEAT_INTERVAL, self.send_heartbeats)

    def expire_entries(self, return_delay_by_id: Mapping[str, timedelta]) -> None:
        """Remove the entries of servers, which register again after their delays."""
        for server_id, delay in return_delay_by_id.items():
            self.store.item_by_key.pop(f"servers/{server_id}", None)
            self._unlisted_until_by_id[server_id] = self.loop.now() + delay
            self.loop.call_later(delay, self.write_server_entries)

    def write_server_entries(self) -> None:
        """Write the store entries of all servers that have not crashed."""
        for server_id, server in self.group.server_by_id.items():
            is_unlisted = self.loop.now() < self._unlisted_until_by_id.get(
                server_id, timedelta()
            )
            if server_id in self.crashed_ids or is_unlisted:
                continue
            entry = build_entry(
                Addr=self.listed_address_by_id[server_id],
                Zone=self.domain_of(server_id),
                DbRole="primary" if server.is_primary else "replica",
                State="draining" if server_id in self.leaving_ids else "ready",
                born=EPOCH_MS + server.born_ms,
            )
            self.store.put_json(f"servers/{server_id}", entry)

    def start(
        self,
        name: str,
        store: str = "",
        host: str = "127.0.0.1",
        module: str = "bulrushloom",
        **changes: Any,
    ) -> "Daemon":
        """Start a daemon; ``changes`` replace its settings.

        ``store`` is the address of the store for this daemon, if it is not the
        platform's own. ``host`` is a loopback address, and ``module`` has the
        command ``proxy``.
        """
        ports = free_ports(len(_ADDRESSES))
        addresses = {
            field: f"{host}:{port}"
            for field, port in zip(_ADDRESSES, ports, strict=True)
        }
        platform_store = f"127.0.0.1:{self.store.port}"
        settings = _DEFAULT_SETTINGS | addresses
        settings |= {
            "name": name,
            "domain": name.rpartition("-")[0],
            "store_address": store or platform_store,
            "duties_address": platform_store,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings | changes))
        daemon = Daemon(name, path, addresses, module)
        self.stack.callback(daemon.kill)
        return daemon


class Daemon:
    """A proxy daemon with its settings file, its addresses and its current process."""

    def __init__(
        self,
        name: str,
        path: Path,
        addresses: dict[str, str],
        module: str = "bulrushloom",
    ):
        self.name = name
        self.path = path
        self.addresses = addresses
        self.module = module
        self.process = self.launch()

    def launch(self) -> "subprocess.Popen[bytes]":
        """Start a process; its output is appended to the daemon's log file."""
        with self.path.with_suffix(".log").open("ab") as output:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    self.module,
                    "proxy",
                    f"--settings={self.path}",
                ],
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        return self.process

    def launch_if_stopped(self) -> None:
        """Start a process unless one is running."""
        if not self.is_running:
            self.launch()

    @property
    def host(self) -> str:
        """Return the loopback host that instances reach the daemon at."""
        return split_address(self.addresses["peer_address"])[0]

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None

    def get(self, kind: str, path: str) -> tuple[int, str]:
        """Send a GET request to the endpoint of the given kind, such as ``probe``.

        Returns the status and the body; the status is 0 if there was no response.
        """
        address = self.addresses[f"{kind}_address"]
        try:
            with urlopen(f"http://{address}{path}", timeout=PROBE_TIMEOUT_S) as answer:
                return answer.status, answer.read().decode()
        except OSError as error:
            return getattr(error, "code", 0), ""

    def is_ready(self) -> bool:
        """Return whether the daemon accepts new sessions."""
        return self.get("probe", "/v1/ready")[0] == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it is running, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()
