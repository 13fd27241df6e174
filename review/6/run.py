"""Lets the store return from a copy of the middle of a release; see ``claim.txt``."""

import os
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parents[1] / "target" / "deps")]

import base64  # noqa: E402

import orjson  # noqa: E402

from bulrushloom.runtime.loop import BootClock, Loop  # noqa: E402
from review.harness_2.callers import Answered, Writer  # noqa: E402
from review.harness_2.instances import Instance, fields_of  # noqa: E402
from standins.platform.group import SimulatedGroup  # noqa: E402
from standins.platform.host import SERVICE, Platform  # noqa: E402
from standins.platform.kv_server import StoreCopy  # noqa: E402
from standins.platform.records import Commit, Promotion  # noqa: E402
from standins.ports import free_ports  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ("north", "south", "west")
WRITERS = 3
WRITE_PAUSE = timedelta(milliseconds=20)
STEP = timedelta(milliseconds=2)
# The platform starts a process again after this time.
RESTART_DELAY_S = 0.3
# Time for which the store is away.
STORE_AWAY_S = 0.1
GROUP_KEY = f"proxy/groups/{SERVICE}"


class Stopped(Exception):
    """The run could not go on as planned."""


class Run:
    """The platform, its machines and callers, and what they saw."""

    def __init__(self, stack: ExitStack, loop: Loop):
        self.loop = loop
        self.record: list[str] = []
        self.began_at = time.monotonic()
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.platform = Platform(stack, loop, folder)
        # The store names its era in all answers.
        self.platform.store.era = 1
        self.group: SimulatedGroup = self.platform.group
        self.acknowledged: dict[str, timedelta] = {}
        self.answers: list[Answered] = []
        self.lost: list[str] = []
        self._seen_promotions = 0
        store = f"127.0.0.1:{self.platform.store.port}"
        self.machines = [
            Instance(
                folder,
                fields_of(f"{zone}-1", zone, "127.0.0.1", free_ports(4), store, store),
            )
            for zone in ZONES
        ]
        for machine in self.machines:
            stack.callback(machine.kill)
        self.writers = [
            Writer(
                loop,
                f"{number:x}w",
                [m.front for m in self.machines[number:] + self.machines[:number]],
                "START booking key-1",
                WRITE_PAUSE,
                self._on_answer,
            )
            for number in range(WRITERS)
        ]

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.record.append(f"{time.monotonic() - self.began_at:8.3f} s  {text}")

    def _on_answer(self, answered: Answered) -> None:
        self.answers.append(answered)
        if answered.code == "OK":
            self.acknowledged[answered.request_id] = answered.answered_at

    def wait(self, seconds: float) -> None:
        """Let the stand-ins run for ``seconds``."""
        self.wait_until(lambda: False, seconds, "")

    def wait_until(
        self, condition: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Run the stand-ins until ``condition`` holds; raise ``Stopped`` without it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.run_once(STEP)
            self.check_promotions()
            if condition():
                return
        if what:
            raise Stopped(f"not within {seconds} s: {what}")

    def check_promotions(self) -> None:
        """Look for acknowledged commits that a promoted server lacks."""
        promotions = self.group.promotions
        for promotion in promotions[self._seen_promotions :]:
            self.note(
                f"{promotion.server} leads term {promotion.term} "
                f"from {promotion.position}"
            )
            self._check_log(promotion)
        self._seen_promotions = len(promotions)

    def _check_log(self, promotion: Promotion) -> None:
        # The log is as it was promoted: the loop has not run a statement since.
        log = self.group.server_by_id[promotion.server].log
        kept = {request_id for commit in log for request_id in commit.request_ids}
        lost = [r for r in self.acknowledged if r not in kept]
        self.lost += [r for r in lost if r not in self.lost]
        self.note(
            f"{len(self.acknowledged)} acknowledged writes, of which the log of "
            f"{promotion.server} lacks {len(lost)}: {lost[:5]}"
        )

    def group_record(self) -> dict[str, Any]:
        """Return what the system has recorded of the group in the store."""
        item = self.platform.store.item_by_key.get(GROUP_KEY)
        return orjson.loads(base64.b64decode(item["Value"])) if item else {}

    def leads(self, server_id: str) -> bool:
        """Return whether the system has recorded a server as the primary."""
        record = self.group_record()
        return record.get("phase") == "steady" and record["primary_id"] == server_id

    def acknowledged_by(self, server_id: str) -> int:
        """Return how many writes of the log of a server were acknowledged."""
        log: list[Commit] = self.group.server_by_id[server_id].log
        term = self.group.server_by_id[server_id].term
        return sum(
            request_id in self.acknowledged
            for commit in log
            if commit.term == term
            for request_id in commit.request_ids
        )

    def start_machines(self) -> None:
        """Start the processes of all machines."""
        for machine in self.machines:
            machine.start()
        self.note("processes started on " + ", ".join(m.name for m in self.machines))

    def add_server(self, server_id: str) -> None:
        """Start a server of a release; it copies the log of the primary."""
        self.platform.add_server(server_id)
        self.group.rejoin(self.group.server_by_id[server_id])
        self.platform.write_server_entries()
        self.note(f"server {server_id} joins")

    def drain(self, server_id: str) -> None:
        """Let a server report that it leaves; it goes on serving."""
        self.platform.leaving_ids.add(server_id)
        self.platform.write_server_entries()
        self.note(f"server {server_id} reports that it is draining")

    def release_until_second_change(self) -> StoreCopy:
        """Replace ``a`` and then its successor; return a copy from between.

        The copy is of the moment at which the first successor has been ordered.
        """
        copies: list[StoreCopy] = []

        def is_ordered() -> bool:
            found = self.group_record()
            if found.get("phase") == "replacing" and found.get("primary_id"):
                copies.append(self.platform.store.copy())
                return True
            return False

        self.add_server("d")
        self.wait(1.5)
        self.drain("a")
        self.wait_until(is_ordered, 8, "a successor of a is ordered")
        first = self.group_record()["primary_id"]
        self.note(f"copy of the store; the record of the group: {self.group_record()}")
        self.wait_until(lambda: self.leads(first), 8, "the first change of the primary")
        self.note(f"{first} is the recorded primary")
        self.add_server("e")
        self.wait(1.0)
        self.drain(first)
        self.wait_until(
            lambda: (
                self.group_record().get("primary_id") not in ("", first)
                and self.leads(self.group_record()["primary_id"])
            ),
            8,
            "the second change of the primary",
        )
        second = self.group_record()["primary_id"]
        self.note(f"{second} is the recorded primary")
        old = self.group.server_by_id[first]
        self.wait_until(
            lambda: old.paused_term > 0, 5, "the leaving replica is told to pause"
        )
        self.note(f"the system has told {first} to pause: {old.status_row()}")
        known = self.acknowledged_by(second)
        self.wait_until(
            lambda: self.acknowledged_by(second) >= known + 40,
            6,
            "writes at the second successor",
        )
        return copies[0]

    def lose_store_and_machines(self, copy: StoreCopy) -> None:
        """Kill all processes while the store is away; it returns from the copy."""
        store = self.platform.store
        store.status = 503
        for machine in self.machines:
            machine.kill()
        self.note("the store is away; all processes are killed")
        self.wait(STORE_AWAY_S)
        self.platform.return_store(copy)
        store.status = 200
        # The operator writes the configuration again.
        self.platform.configure(1)
        self.note(f"the store is back from the copy, era {store.era}")
        self.wait(RESTART_DELAY_S)
        self.start_machines()


def play(run: Run) -> None:
    """Play the release, and with trouble the drill in it."""
    run.platform.send_heartbeats()
    run.start_machines()
    run.wait(2.0)
    for writer in run.writers:
        run.loop.spawn(writer.run())
    run.wait_until(lambda: len(run.acknowledged) >= 20, 15, "the first writes")
    run.note(f"{len(run.acknowledged)} writes acknowledged")
    copy = run.release_until_second_change()
    run.note(f"{len(run.acknowledged)} writes acknowledged")
    if HAS_TROUBLE:
        run.lose_store_and_machines(copy)
    count = len(run.acknowledged)
    run.wait_until(
        lambda: len(run.acknowledged) >= count + 20, 25, "writes after the drill"
    )
    run.note(
        f"{len(run.acknowledged)} writes acknowledged; record {run.group_record()}"
    )


def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, and 2 without a result."""
    errors: list[BaseException] = []
    with ExitStack() as stack:
        loop = Loop(BootClock(), errors.append)
        stack.callback(loop.close)
        run = Run(stack, loop)
        try:
            play(run)
        except Stopped as error:
            run.note(str(error))
            if not run.lost:
                print(f"no result: {error}")
                return 2
        finally:
            for writer in run.writers:
                writer.is_stopped = True
            run.note(f"errors of the stand-ins: {errors}")
            run.note(f"lost: {run.lost}")
            codes = sorted({answered.code for answered in run.answers})
            for code in codes:
                run.note(f"answers {code}: {sum(a.code == code for a in run.answers)}")
            details = [
                f"{a.request_id} {a.text}: sent {a.sent_at}, {a.code} {a.answered_at}"
                for a in run.answers
            ]
            details += [
                f"{ran.request_id} {ran.text}: run by {ran.server} at {ran.at}"
                for ran in run.group.runs
            ]
            (FOLDER / "record.txt").write_text("\n".join(run.record + details) + "\n")
        verdict = f"BROKEN, LOST: {len(run.lost)} writes" if run.lost else "held"
        print(verdict)
        return 1 if run.lost else 0


if __name__ == "__main__":
    sys.exit(main())
