"""Instances of the proxy as the deploy file starts them, on loopback addresses."""

import json
import os
import re
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
DEPLOY_FILE = REPOSITORY / "deploy" / "system.toml"
PLACEHOLDER = re.compile(r"\{\{([^}|]+)(\|json)?\}\}")
# Bounds of a small deployment, as the platform's pages state them.
BOUNDS = {
    "DrainMs": 7000,
    "GraceS": 6,
    "ConfigApplyMs": 3000,
    "RevokeMs": 5000,
    "QuotaWindowS": 5,
    "QuotaExcess": 0.1,
    "QuotaSlack": 20,
}


def role() -> dict[str, Any]:
    """Return the only role of the deploy file."""
    (found,) = tomllib.loads(DEPLOY_FILE.read_text())["roles"].values()
    return found


def fields_of(
    name: str, zone: str, host: str, ports: list[int], store: str, duties: str
) -> dict[str, Any]:
    """Return the fields that the platform fills into the template of the settings.

    ``ports`` holds the ports of clients and of the probe, and the first two of the
    range for the instances' own use.
    """
    front, ready, first, second = ports
    return {
        "NodeName": name,
        "Zone": zone,
        "Region": "jm-south",
        "Zones": {zone: "jm-south"},
        "Ip": host,
        "Listen": {"Front": f"{host}:{front}", "Ready": f"{host}:{ready}"},
        "PortRange": [first, second],
        "platform": {"Addr": store, "TtlMinMs": 1000},
        "CloudApi": {"Addr": duties},
        "Bounds": BOUNDS,
        "Limits": {"MemoryMb": 222, "MaxFds": 1605},
    }


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill ``fields`` into the plain placeholders of a template."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match.group(1).split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if found is not None else None
        if found is None:
            return ""
        if match.group(2):
            return json.dumps(found)
        return str(found)

    return PLACEHOLDER.sub(value, template)


class Instance:
    """One machine of the system: its settings file and its current process.

    The output of all its processes is appended to one log file.
    """

    def __init__(self, folder: Path, fields: dict[str, Any]):
        self.fields = fields
        self.name = fields["NodeName"]
        self.front = fields["Listen"]["Front"]
        self.ready = fields["Listen"]["Ready"]
        self.settings_path = folder / f"{self.name}.settings"
        self.log_path = folder / f"{self.name}.log"
        self.write_settings()
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0

    def write_settings(self, comment: str = "") -> None:
        """Write the settings file; ``comment`` makes its text a different one."""
        template = (REPOSITORY / role()["template"]).read_text()
        text = render(template, self.fields) + (f"# {comment}\n" if comment else "")
        new = self.settings_path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.settings_path)

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["BULRUSHLOOM_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                role()["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self.started_at = time.monotonic()

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end_status(self) -> int | None:
        """Return the status with which the process ended, ``None`` if it runs."""
        return None if self.process is None else self.process.poll()

    def kill(self) -> None:
        """End the process, whatever it does."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
