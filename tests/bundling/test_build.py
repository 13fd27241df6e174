"""The one file against the stand-ins, watched through ``/proc``."""

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
# Like the first line of the file, but with the interpreter of the tests.
PYTHON = (sys.executable, "-IS")


@pytest.fixture(scope="module")
def product():
    return (*PYTHON, str(build()))


@pytest.fixture
def ram_folder(monkeypatch):
    """Give an empty RAM-backed folder, so that the file unpacks itself anew."""
    folder = Path(tempfile.mkdtemp(prefix="bulrushloom-test-", dir=RAM_FOLDER))
    monkeypatch.setenv("SHIV_ROOT", str(folder))
    yield folder
    shutil.rmtree(folder)


def files_open_for_writing(pid: int) -> set[Path]:
    """Return the files on disk or in RAM that a process may write."""
    paths = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        try:
            path = Path(os.readlink(descriptor))
            info = Path(f"/proc/{pid}/fdinfo/{descriptor.name}").read_text()
        except FileNotFoundError:
            # Closed since it was listed; ``written_bytes`` covers such files.
            continue
        flags = int(info.split("flags:")[1].split()[0], 8)
        if flags & (os.O_WRONLY | os.O_RDWR) and path.is_file():
            paths.add(path)
    return paths


def children(pid: int) -> list[str]:
    """Return the child processes of all threads of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]


def ended_children_faults(pid: int) -> int:
    """Return the page faults of ended children, 0 if there never was one."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[8]) + int(fields[10])


def written_bytes(pid: int) -> int:
    """Return the bytes that a process wrote to disk since its start."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return int(dict(line.split(": ") for line in lines)["write_bytes"])


def report_burn(fleet: Fleet, page: Path) -> str:
    """Return the table of the burn report, which also loads the plot library."""
    directory = fleet.process_by_name["directory"].address
    options = [f"--directory={directory}", f"--html={page}"]
    done = subprocess.run(
        [*fleet.product, "report", "burn", *options],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_serve_runs_in_one_process_without_disk(product, ram_folder, tmp_path):
    fleet = Fleet(PLAN, tmp_path, product)
    entry = f"{PLAN.domains[0]}-1"
    # The log goes to RAM here so that any byte written to disk is a fault.
    fleet.log_directory = ram_folder
    try:
        fleet.start()
        pid = fleet.process_by_name[entry].pid
        with closing(Caller(fleet.key("hotel-orders"))) as caller:
            reply = caller.query(fleet.caller_url(entry), "orders", "SELECT 1 + 1")
        assert reply.ok and reply.body["rows"] == [[2]]
        assert children(pid) == []
        assert ended_children_faults(pid) == 0
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
def test_commands_run_from_the_file(product, arguments, status, text, tmp_path):
    done = subprocess.run(
        [*product, *arguments], capture_output=True, text=True, cwd=tmp_path, timeout=30
    )
    assert done.returncode == status
    assert text in done.stdout + done.stderr


def test_builds_of_the_same_packages_are_equal(product):
    # Hosts share an unpacked folder by its content, and operators compare digests.
    first = Path(product[-1]).read_bytes()
    assert build().read_bytes() == first


def test_stopped_process_ends_with_status_0_before_it_is_ready(product, tmp_path):
    # Without rules an instance is not ready; it must still end in order.
    fleet = Fleet(PLAN, tmp_path, product)
    fleet.start_platform()
    fleet.prepare_entry(0)
    entry = fleet.entry_names[0]
    try:
        processes.wait_listening(fleet.start_entry(entry))
    finally:
        assert fleet.stop()[entry] == 0
