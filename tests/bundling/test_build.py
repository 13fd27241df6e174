"""Runs the executable with the stand-ins and observes it through ``/proc``."""

import os
import shutil
import subprocess
import sys
import tempfile
from contextlib import closing
from pathlib import Path

import pytest

from benchmarks import processes
from benchmarks.callers import Caller
from benchmarks.fleet import Fleet
from benchmarks.plans import AccountPlan, FleetPlan
from bundling.build import build

PLAN = FleetPlan(
    region="jm-south",
    domains=("santa-cruz",),
    databases=("orders",),
    entries=1,
    slots=3,
    connections=40,
    accounts=(AccountPlan("hotel-orders", 300, 150),),
)
RAM_FOLDER = Path("/dev/shm")
# The options of the executable's first line, with the interpreter of the tests.
PYTHON_COMMAND = (sys.executable, "-IS")


@pytest.fixture(scope="module")
def command():
    return (*PYTHON_COMMAND, str(build()))


@pytest.fixture
def ram_folder(monkeypatch):
    """Return an empty RAM-backed folder, into which the executable unpacks itself."""
    folder = Path(tempfile.mkdtemp(prefix="bulrushloom-test-", dir=RAM_FOLDER))
    monkeypatch.setenv("SHIV_ROOT", str(folder))
    yield folder
    shutil.rmtree(folder)


def files_open_for_writing(pid: int) -> set[Path]:
    """Return the regular files that a process has open for writing."""
    paths = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            path = Path(os.readlink(descriptor))
            info = Path(f"/proc/{pid}/fdinfo/{descriptor.name}").read_text()
        except FileNotFoundError:
            # It was closed after the listing; ``written_bytes`` covers such files.
            continue
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & (os.O_WRONLY | os.O_RDWR) and path.is_file():
            paths.add(path)
    return paths


def children(pid: int) -> list[str]:
    """Return the ids of the child processes of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def exited_children_page_faults(pid: int) -> int:
    """Return the page faults of exited children, which is 0 if there were none."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[8]) + int(fields[10])


def written_bytes(pid: int) -> int:
    """Return the bytes that a process has written to disk since its start."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return int(dict(line.split(": ") for line in lines)["write_bytes"])


def report_burn(fleet: Fleet, page: Path) -> str:
    """Return the output of ``report burn``, which also loads the plotting library."""
    directory = fleet.process_by_name["directory"].address
    options = [f"--directory={directory}", f"--html={page}"]
    completed = subprocess.run(
        [*fleet.command, "report", "burn", *options],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert completed.returncode == 0, completed.stderr
    return completed.stdout


def test_serve_runs_in_one_process_without_disk(command, ram_folder, tmp_path):
    fleet = Fleet(PLAN, tmp_path, command)
    entry = f"{PLAN.domains[0]}-1"
    # The log is written to RAM, so that any byte written to disk is a failure.
    fleet.log_directory = ram_folder
    try:
        fleet.start()
        pid = fleet.process_by_name[entry].pid
        with closing(Caller(fleet.api_key("hotel-orders"))) as caller:
            reply = caller.query(fleet.caller_url(entry), "orders", "SELECT 1 + 1")
        assert reply.ok and reply.body["rows"] == [[2]]
        assert children(pid) == []
        assert exited_children_page_faults(pid) == 0
        outside = {
            path
            for path in files_open_for_writing(pid)
            if RAM_FOLDER not in path.parents
        }
        assert outside <= {tmp_path / f"{entry}.err"}
        assert written_bytes(pid) == 0
        page = tmp_path / "burn.html"
        assert "hotel-orders  served_share" in report_burn(fleet, page)
        assert "<svg" in page.read_text()
    finally:
        status_by_name = fleet.stop()
    assert status_by_name[entry] == 0
    assert (ram_folder / f"{entry}.log").exists()


@pytest.mark.parametrize(
    "arguments, status, text",
    [
        (["keys", "new"], 0, "digest for the rules:"),
        (["rules", "check", "missing.txt"], 2, "missing.txt: No such file"),
        (["status"], 2, "needs --settings FILE"),
        (["serve", "--settings=missing.yaml"], 2, "missing.yaml: No such file"),
    ],
)
def test_commands_run_from_the_executable(command, arguments, status, text, tmp_path):
    completed = subprocess.run(
        [*command, *arguments], capture_output=True, text=True, cwd=tmp_path, timeout=30
    )
    assert completed.returncode == status
    assert text in completed.stdout + completed.stderr


def test_builds_of_the_same_packages_are_equal(command):
    # Unpacked folders are named after the content of the executable, so that processes
    # of a host share them, and operators compare digests of it.
    first = Path(command[-1]).read_bytes()
    assert build().read_bytes() == first


def test_stopped_process_ends_with_status_0_before_it_is_ready(command, tmp_path):
    # Without rules an instance never becomes ready, but it must still stop cleanly.
    fleet = Fleet(PLAN, tmp_path, command)
    fleet.start_store_and_directory()
    fleet.prepare_entry(0)
    entry = fleet.entry_names[0]
    try:
        processes.wait_until_listening(fleet.start_entry(entry))
    finally:
        assert fleet.stop()[entry] == 0
