"""A local fleet that runs stand-ins and instances as separate processes."""

import json
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import orjson
import urllib3
import yaml

from benchmarks import processes
from benchmarks.plans import FleetPlan
from benchmarks.processes import Process
from bulrushloom.rules.keys import new_key
from standins.ports import free_ports

FLEET_SECRET = "local-fleet-secret-for-tests-only"
READY_TIMEOUT_S = 30.0
BULRUSHLOOM_COMMAND = (sys.executable, "-m", "bulrushloom")


class Fleet:
    """Starts the processes of a plan and stops them again.

    ``directory`` receives the settings, rules and logs. ``command`` runs
    bulrushloom. Names with ``entry`` refer to instances, at which requests enter the
    fleet.
    """

    def __init__(
        self,
        plan: FleetPlan,
        directory: Path,
        command: tuple[str, ...] = BULRUSHLOOM_COMMAND,
    ):
        self.plan = plan
        self.directory = directory
        self.command = command
        self.log_directory = directory
        self.http = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)
        self.api_key_by_account = {account.name: new_key() for account in plan.accounts}
        self.process_by_name: dict[str, Process] = {}
        self.entry_names: list[str] = []
        self.target_names: list[str] = []
        self.caller_address_by_entry: dict[str, str] = {}
        self.domain_by_name: dict[str, str] = {}
        self.group_by_target: dict[str, str] = {}

    @property
    def rules_path(self) -> Path:
        """Return the path of the rules file."""
        return self.directory / "rules.txt"

    def start(self) -> None:
        """Start the processes, apply the rules and wait until the fleet is ready."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.start_store_and_directory()
        self._start_targets()
        for index in range(self.plan.entries):
            self.prepare_entry(index)
        with ThreadPoolExecutor(8) as executor:
            list(executor.map(self.start_entry, self.entry_names))
            list(
                executor.map(
                    self._wait_until_listening, list(self.process_by_name.values())
                )
            )
        for name in self.target_names:
            self.set_faults(
                name, slots=self.plan.slots, connections=self.plan.connections
            )
        self.rules_path.write_text(self.rules_text())
        self.apply_rules()
        self.wait_ready()

    def stop(self) -> dict[str, int]:
        """Stop the instances, then the stand-ins; return the exit status by name."""
        status_by_name = {}
        entries = [self.process_by_name[name] for name in self.entry_names]
        others = [
            process
            for name, process in self.process_by_name.items()
            if name not in self.entry_names
        ]
        for batch in (entries, others):
            with ThreadPoolExecutor(16) as executor:
                statuses = executor.map(processes.stop, batch)
                for process, status in zip(batch, statuses, strict=True):
                    status_by_name[process.name] = status
        return status_by_name

    def caller_url(self, entry: str) -> str:
        """Return the base URL of the HTTP interface of an instance."""
        return f"http://{self.caller_address_by_entry[entry]}"

    def api_key(self, account: str) -> str:
        """Return the API key of an account."""
        return self.api_key_by_account[account].key

    def rules_text(self, extra: str = "") -> str:
        """Return the rules of the plan, followed by the lines in ``extra``."""
        plan = self.plan
        lines = [
            f"domain {name} region={plan.region}  # ops: site" for name in plan.domains
        ]
        lines += [f"group {name}  # ops: group" for name in plan.databases]
        for name in self.target_names:
            lines.append(
                f"target {name} group={self.group_by_target[name]}"
                f" domain={self.domain_by_name[name]}"
                f" address={self.process_by_name[name].address} slots={plan.slots}"
                f" connections={plan.connections}  # ops: server"
            )
        lines += [
            f"database {name} group={name}  # ops: database" for name in plan.databases
        ]
        for account in plan.accounts:
            lines.append(
                f"account {account.name} rate={account.rate:g} burst={account.burst}"
                f" max_age={account.max_age}  # ops: account"
            )
            digest = self.api_key_by_account[account.name].digest
            lines.append(f"key {account.name} {digest}  # ops: key")
            lines += [
                f"allow {account.name} {name}  # ops: use" for name in plan.databases
            ]
        return "\n".join(lines) + "\n" + extra

    def apply_rules(self) -> str:
        """Apply the rules file with ``rules apply`` and return the command's output."""
        completed = subprocess.run(
            [
                *self.command,
                "rules",
                "apply",
                str(self.rules_path),
                f"--settings={self.directory / (self.entry_names[0] + '.yaml')}",
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if completed.returncode:
            raise RuntimeError(
                f"rules apply failed: {completed.stdout}{completed.stderr}"
            )
        return completed.stdout

    def wait_ready(self) -> None:
        """Wait until each instance is ready and each group has a primary."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.entry_names)
        while waiting:
            if time.monotonic() > deadline:
                raise RuntimeError(f"instances not ready in time: {waiting}")
            waiting = [name for name in waiting if not self._is_ready(name)]
            time.sleep(0.1)

    def set_faults(self, name: str, **settings: Any) -> None:
        """Set faults of a stand-in, or of the peer transport of an instance."""
        process = self.process_by_name[name]
        response = self.http.request(
            "POST", f"{process.url}/faults", body=orjson.dumps(settings), timeout=5
        )
        if response.status != 200:
            raise RuntimeError(
                f"cannot set faults of {name}: {response.status} {response.data!r}"
            )

    def call_counts(self, name: str) -> dict[str, int]:
        """Return how often each operation of a stand-in was called."""
        url = f"{self.process_by_name[name].url}/faults"
        counts: dict[str, int] = orjson.loads(
            self.http.request("GET", url, timeout=5).data
        )["calls"]
        return counts

    def received_requests(self, name: str) -> bytes:
        """Return the last requests that a stand-in received, as raw bytes."""
        url = f"{self.process_by_name[name].url}/received"
        return self.http.request("GET", url, timeout=30).data

    def store_version(self) -> int:
        """Return the version of the rules in the store."""
        url = f"{self.process_by_name['store'].url}/keys?key=config/rules"
        return int(
            orjson.loads(self.http.request("GET", url, timeout=5).data)["version"]
        )

    def status(self, entry: str) -> dict[str, Any]:
        """Return the status document of an instance."""
        url = f"{self.process_by_name[entry].url}/v1/status"
        document: dict[str, Any] = orjson.loads(
            self.http.request("GET", url, timeout=5).data
        )
        return document

    def find_primary(self, group: str) -> str:
        """Return the primary with the highest term among the reachable targets.

        Returns an empty string if there is none.
        """
        newest = (0, "")
        for name, target_group in self.group_by_target.items():
            if target_group != group:
                continue
            try:
                url = f"{self.process_by_name[name].url}/status"
                status = orjson.loads(self.http.request("GET", url, timeout=0.5).data)
            except urllib3.exceptions.HTTPError:
                continue
            if status["role"] == "primary":
                newest = max(newest, (status["term"], name))
        return newest[1]

    def description(self) -> dict[str, Any]:
        """Return the description of the fleet that ``build/run.json`` contains."""
        plan = self.plan

        def target(name: str) -> dict[str, Any]:
            process = self.process_by_name[name]
            return {
                "name": name,
                "group": self.group_by_target[name],
                "domain": self.domain_by_name[name],
                "url": process.url,
                "pid": process.pid,
            }

        def stand_in(name: str) -> dict[str, Any]:
            process = self.process_by_name[name]
            return {"url": process.url, "pid": process.pid}

        return {
            "entries": [
                {
                    "instance": name,
                    "domain": self.domain_by_name[name],
                    "url": self.caller_url(name),
                    "pid": self.process_by_name[name].pid,
                }
                for name in self.entry_names
            ],
            "targets": [target(name) for name in self.target_names],
            "store": stand_in("store"),
            "directory": stand_in("directory"),
            "accounts": [
                {
                    "name": account.name,
                    "key": self.api_key(account.name),
                    "rate": account.rate,
                    "burst": account.burst,
                }
                for account in plan.accounts
            ],
            "databases": list(plan.databases),
            "rules": str(self.rules_path),
        }

    def write_description(self, path: Path) -> None:
        """Write the description of the fleet as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(self.description(), indent=2) + "\n")

    def start_entry(self, name: str) -> Process:
        """Start or restart an instance."""
        settings_path = self.directory / f"{name}.yaml"
        settings = yaml.safe_load(settings_path.read_text())
        process = processes.start_command(
            name,
            settings["peer_address"],
            [*self.command, "serve", f"--settings={settings_path}"],
            self.directory,
        )
        self.process_by_name[name] = process
        return process

    def start_store_and_directory(self) -> None:
        """Start the stand-ins of the store and the directory."""
        for name, port in zip(("store", "directory"), free_ports(2), strict=True):
            self.process_by_name[name] = processes.start_python(
                name,
                f"127.0.0.1:{port}",
                ["standins", name, f"--port={port}"],
                self.directory,
            )

    def _start_targets(self) -> None:
        plan = self.plan
        count = plan.servers_per_group
        ports = iter(free_ports(count * len(plan.databases)))
        for offset, group in enumerate(plan.databases):
            addresses = {
                f"{group}-{letter}": f"127.0.0.1:{next(ports)}"
                for letter in "abcdefg"[:count]
            }
            peers = ",".join(f"{name}={address}" for name, address in addresses.items())
            for index, (name, address) in enumerate(addresses.items()):
                domain = plan.domains[(offset + index) % len(plan.domains)]
                self._start_target(name, group, domain, address, peers, index == 0)

    def _start_target(
        self,
        name: str,
        group: str,
        domain: str,
        address: str,
        peers: str,
        primary: bool,
    ) -> None:
        self.target_names.append(name)
        self.group_by_target[name] = group
        self.domain_by_name[name] = domain
        self.process_by_name[name] = processes.start_python(
            name,
            address,
            [
                "standins",
                "database",
                f"--port={address.rpartition(':')[2]}",
                f"--name={name}",
                f"--group={group}",
                f"--domain={domain}",
                f"--peers={peers}",
                f"--primary={primary}",
            ],
            self.directory,
        )

    def prepare_entry(self, index: int) -> None:
        """Choose free ports for an instance and write its settings file."""
        domain = self.plan.domains[index % len(self.plan.domains)]
        name = f"{domain}-{index // len(self.plan.domains) + 1}"
        caller_port, peer_port = free_ports(2)
        settings: dict[str, Any] = {
            "name": name,
            "domain": domain,
            "caller_address": f"127.0.0.1:{caller_port}",
            "peer_address": f"127.0.0.1:{peer_port}",
            "store_address": self.process_by_name["store"].address,
            "directory_address": self.process_by_name["directory"].address,
            "fleet_secret": FLEET_SECRET,
            "log_path": str(self.log_directory / f"{name}.log"),
            "fault_injection": True,
        }
        (self.directory / f"{name}.yaml").write_text(yaml.safe_dump(settings))
        self.entry_names.append(name)
        self.domain_by_name[name] = domain
        self.caller_address_by_entry[name] = settings["caller_address"]

    def _wait_until_listening(self, process: Process) -> None:
        processes.wait_until_listening(process)

    def _is_ready(self, name: str) -> bool:
        try:
            url = f"{self.caller_url(name)}/readyz"
            ready = self.http.request("GET", url, timeout=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False
        if not ready:
            return False
        groups = self.status(name)["groups"].values()
        return all(group["primary"] for group in groups)
