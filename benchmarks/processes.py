"""Start, signal and stop local processes."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0


class Process(NamedTuple):
    """A started process and the address on which it listens."""

    name: str
    address: str
    popen: subprocess.Popen[str]

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def url(self) -> str:
        """Return the HTTP URL of the address."""
        return f"http://{self.address}"


def start_python(
    name: str, address: str, arguments: list[str], log_directory: Path
) -> Process:
    """Start ``python -m ARGUMENTS`` with its standard error in a log file."""
    command = [sys.executable, "-m", *arguments]
    return start_command(name, address, command, log_directory)


def start_command(
    name: str, address: str, command: list[str], log_directory: Path
) -> Process:
    """Start a command with its standard error in a log file."""
    with open(log_directory / f"{name}.err", "w") as error_output:
        popen = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=error_output,
            text=True,
        )
    return Process(name, address, popen)


def wait_until_listening(process: Process) -> None:
    """Wait until the process accepts connections.

    Raises ``RuntimeError`` if it exits or doesn't listen in time.
    """
    host, _, port = process.address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if process.popen.poll() is not None:
            break
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise RuntimeError(f"{process.name} is not listening on {process.address}")


def stop(process: Process) -> int:
    """Send SIGTERM and return the exit status; kill the process after a timeout."""
    if process.popen.poll() is None:
        process.popen.send_signal(signal.SIGCONT)
        process.popen.terminate()
    try:
        return process.popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.popen.kill()
        return process.popen.wait()


def kill(process: Process) -> None:
    """Send SIGKILL and wait until the process has exited."""
    process.popen.kill()
    process.popen.wait()


def pause(process: Process) -> None:
    """Suspend the process with SIGSTOP."""
    os.kill(process.pid, signal.SIGSTOP)


def resume(process: Process) -> None:
    """Continue a suspended process with SIGCONT."""
    os.kill(process.pid, signal.SIGCONT)
