"""A soak run: platform, daemons, callers, faults and checks."""

import itertools
import random
from collections import defaultdict
from concurrent.futures import Future
from contextlib import ExitStack
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import TcpNetwork
from soak.callers import Caller, NoAnswer, SessionClient
from soak.daemon import HOST_PREFIX, write_partition
from soak.faults import Fault
from soak.links import FaultLink
from soak.operators import (
    FLOOD,
    HOTEL,
    INITIAL_RATE_PER_S,
    MOVING,
    OTHER,
    STALENESS,
    STEADY_KEY,
    AccountChecks,
    CallerAccount,
    Operator,
)
from soak.plans import (
    CURRENT_VERSION,
    FIRST_VERSION_WITH_MOVING_KEYS,
    FIRST_VERSION_WITH_SERVER_DOMAINS,
    make_plan,
)
from standins.platform.group import SimulatedServer
from standins.platform.host import (
    STOP_GRACE_S,
    Daemon,
    Platform,
)
from standins.platform.promises import CallerRecord, History
from standins.ports import free_ports

CHECK_INTERVAL = timedelta(milliseconds=500)
# The platform's bound for recovery after the loss of all instances.
RECOVERY_TIMEOUT = timedelta(seconds=12)
START_TIMEOUT = timedelta(seconds=30)
# A period counts as undisturbed if no unplanned fault was active in it or in this time
# before it.
UNDISTURBED_PERIOD = timedelta(seconds=4)
FLOOD_CALLERS = 6
FLOOD_THINK_TIME_S = 0.02
# Callers that send the next statement as soon as they have the answer.
BUSY_CALLERS = 2
BUSY_THINK_TIME_S = 0.0005
# Callers that keep an account near its rate, so that many of them wait for a token.
MOVING_CALLERS = 12
OTHER_CALLERS = 2
MOVING_THINK_TIME_S = 0.03
DEFAULT_THINK_TIME_S = 0.08
DOMAINS = ("north", "south", "west")
_SECOND = timedelta(seconds=1)


class Result(NamedTuple):
    """The result of a run.

    ``rolled_back`` is the number of commits that a replica had received and that a
    promotion rolled back. Their callers may have been told that the outcome is unknown.
    """

    seed: int
    violations: list[str]
    faults: list[str]
    promotions: list[str]
    rolled_back: int
    served: int
    failed: int
    runs: int


class Disturbance(NamedTuple):
    """A span in which an unplanned fault was active; its end may be unknown yet."""

    since: timedelta
    until: timedelta
    disturbs_instances: bool


class World:
    """The environment of a run: a simulated platform with real daemons.

    Faults and callers record events here, and all violations are collected here.
    """

    def __init__(
        self,
        stack: ExitStack,
        loop: Loop,
        folder: Path,
        seed: int,
        daemon_count: int,
        plan_version: int = CURRENT_VERSION,
    ):
        self.loop = loop
        self.stack = stack
        self.seed = seed
        self._folder = folder
        self._plan_version = plan_version
        self.rng = random.Random(seed)
        self.platform = Platform(stack, loop, folder)
        self.history = History(self.platform.group, STALENESS)
        self.violations: list[str] = []
        self.fault_names: list[str] = []
        self.is_over = False
        self.link_by_server: dict[str, FaultLink] = {}
        self.store_link_by_daemon: dict[str, FaultLink] = {}
        self._active_exclusion_tags: set[str] = set()
        self._exclusive_faults = 0
        self._disturbances: list[Disturbance] = []
        self._planned_stops: list[tuple[Daemon, timedelta, timedelta]] = []
        self._unanswered: list[tuple[Daemon, str, timedelta]] = []
        self._has_moving_keys = plan_version >= FIRST_VERSION_WITH_MOVING_KEYS
        self.operator = Operator(self.platform, self.rng, self._has_moving_keys)
        self._probe_numbers = itertools.count(1)
        self._caller_numbers = itertools.count(1)
        for server_id in list(self.platform.group.server_by_id):
            self._link_server(server_id)
        self.operator.change_limit(INITIAL_RATE_PER_S)
        self.platform.send_heartbeats()
        self.daemons = [self._start_daemon(number) for number in range(daemon_count)]
        self._account_checks = AccountChecks(
            self.platform.group,
            self.history,
            self.operator,
            {daemon.name for daemon in self.daemons},
            self._were_in_touch,
        )

    # Setup

    def _link_server(self, server_id: str) -> None:
        server = self.platform.group.server_by_id[server_id]
        address = f"127.0.0.1:{free_ports(1)[0]}"
        link = FaultLink(self.loop, address, server.address)
        self.stack.callback(link.close)
        self.link_by_server[server_id] = link
        self.platform.listed_address_by_id[server_id] = address
        if self._plan_version >= FIRST_VERSION_WITH_SERVER_DOMAINS:
            domain = DOMAINS[(len(self.link_by_server) - 1) % len(DOMAINS)]
            self.platform.domain_by_id[server_id] = domain

    def add_server(self) -> SimulatedServer:
        """Add a replica with a new id."""
        server_id = f"n{len(self.link_by_server)}"
        server = self.platform.add_server(server_id)
        self._link_server(server_id)
        return server

    def _start_daemon(self, number: int) -> Daemon:
        address = f"127.0.0.1:{free_ports(1)[0]}"
        link = FaultLink(self.loop, address, f"127.0.0.1:{self.platform.store.port}")
        self.stack.callback(link.close)
        name = f"{DOMAINS[number % len(DOMAINS)]}-{number}"
        self.store_link_by_daemon[name] = link
        return self.platform.start(
            name,
            address,
            f"{HOST_PREFIX}{number + 1}",
            "soak.daemon",
            duties_address=address,
        )

    # Events of faults and callers

    def report_violations(self, violations: list[str]) -> None:
        """Add violations to the result of the run."""
        self.violations += violations

    def isolate(self, hosts: set[str]) -> None:
        """Cut the daemons at ``hosts`` off from all other daemons, and no others."""
        write_partition(self._folder, hosts)

    def take_caller_numbers(self, count: int) -> list[int]:
        """Return unused numbers for the names of callers that a fault starts."""
        return list(itertools.islice(self._caller_numbers, count))

    def has_other_faults(self) -> bool:
        """Return whether an unplanned fault is active besides the one that asks."""
        return sum(d.until == timedelta.max for d in self._disturbances) > 1

    def record_planned_stop(self, daemon: Daemon, since: timedelta) -> None:
        """Record that a daemon was stopped with SIGTERM at ``since``."""
        until = since + _SECOND * (STOP_GRACE_S + 1)
        self._planned_stops.append((daemon, since, until))

    def record_killed_after_grace(self, daemon: Daemon) -> None:
        """Record that a daemon did not stop within its grace period.

        That is a violation unless another fault disturbed the period.
        """
        if self._is_undisturbed(
            self.loop.now() - _SECOND * STOP_GRACE_S, self.loop.now()
        ):
            self.report_violations(
                [f"{daemon.name} did not stop within its grace period"]
            )

    def record_unanswered(self, daemon: Daemon, request_id: str) -> None:
        """Record that a session ended before its statement was answered."""
        self._unanswered.append((daemon, request_id, self.loop.now()))

    def _is_undisturbed(self, since: timedelta, until: timedelta) -> bool:
        return not any(
            d.since <= until and since - UNDISTURBED_PERIOD <= d.until
            for d in self._disturbances
        )

    def _were_in_touch(self, since: timedelta, until: timedelta) -> bool:
        """Return whether only servers were disturbed in a span and shortly before."""
        return not any(
            d.since <= until and since - UNDISTURBED_PERIOD <= d.until
            for d in self._disturbances
            if d.disturbs_instances
        )

    # Running

    def run(self, length: timedelta) -> Steps:
        """Run callers, faults and checks; inject faults for ``length``.

        Returns a ``Result``.
        """
        yield from self._wait_until_all_serving(START_TIMEOUT, "at the start")
        callers = self._start_callers()
        checking = self.loop.spawn(self._check_at_intervals())
        yield from self._run_faults(length)
        ended_at = self.loop.now()
        yield from self._wait_until_all_serving(
            RECOVERY_TIMEOUT, "after the last fault"
        )
        recovered = self.loop.now() - ended_at
        self.fault_names.append(f"all served {recovered} after the last fault")
        self.is_over = True
        yield checking
        self.report_violations(self.history.check_transactions())
        self.report_violations(self.history.check_log())
        self.report_violations(self.history.check_acknowledged_commits())
        self._check_planned_stops()
        self._check_fences()
        return Result(
            self.seed,
            self.violations,
            self.fault_names,
            [str(promotion) for promotion in self.platform.group.promotions],
            self._count_rolled_back(),
            sum(caller.served for caller in callers),
            sum(caller.failed for caller in callers),
            len(self.platform.group.runs),
        )

    def _count_rolled_back(self) -> int:
        group = self.platform.group
        kept = set(group.primary().log)
        return sum(commit not in kept for commit, _ in group.acknowledged)

    def _start_callers(self) -> list[Caller]:
        groups: list[tuple[str, CallerAccount, float, int]] = [
            ("c", HOTEL, DEFAULT_THINK_TIME_S, len(self.daemons) * 2),
            ("f", FLOOD, FLOOD_THINK_TIME_S, FLOOD_CALLERS),
            ("b", HOTEL, BUSY_THINK_TIME_S, BUSY_CALLERS),
        ]
        if self._has_moving_keys:
            groups += [
                ("m", MOVING, MOVING_THINK_TIME_S, MOVING_CALLERS),
                ("o", OTHER, MOVING_THINK_TIME_S, OTHER_CALLERS),
            ]
        callers = [
            Caller(self, f"{prefix}{number}", account, think_time_s)
            for prefix, account, think_time_s, count in groups
            for number in range(count)
        ]
        for caller in callers:
            self.loop.spawn(caller.run())
        return callers

    def _run_faults(self, length: timedelta) -> Steps:
        started_at = self.loop.now()
        running: list[Future[Any]] = []
        for planned in make_plan(self.rng, length, self._plan_version):
            yield self.loop.sleep(planned.at - (self.loop.now() - started_at))
            if planned.kind.exclusion_tag in self._active_exclusion_tags:
                continue
            if self._exclusive_faults:
                continue
            fault = planned.kind(self, self.rng)
            steps = self._run_fault(fault, planned.duration)
            running.append(self.loop.spawn(steps))
        for future in running:
            yield future
        for daemon in self.daemons:
            daemon.launch_if_stopped()

    def _run_fault(self, fault: Fault, duration: timedelta) -> Steps:
        name, started_at = fault.describe(), self.loop.now()
        if fault.exclusion_tag:
            self._active_exclusion_tags.add(fault.exclusion_tag)
        self._exclusive_faults += fault.is_exclusive
        if not fault.is_planned:
            disturbance = Disturbance(
                started_at, timedelta.max, fault.disturbs_instances
            )
            self._disturbances.append(disturbance)
            index = len(self._disturbances) - 1
        yield from fault.run(duration)
        if not fault.is_planned:
            self._disturbances[index] = disturbance._replace(until=self.loop.now())
        self._active_exclusion_tags.discard(fault.exclusion_tag)
        self._exclusive_faults -= fault.is_exclusive
        at = started_at // timedelta(milliseconds=1)
        self.fault_names.append(f"{at} {name} for {self.loop.now() - started_at}")

    def _wait_until_all_serving(self, limit: timedelta, when: str) -> Steps:
        """Wait until all daemons serve a write; report those over ``limit``."""
        checks = [
            (daemon, self.loop.spawn(self._wait_until_serving(daemon, limit)))
            for daemon in self.daemons
        ]
        for daemon, check in checks:
            serves = yield check
            if not serves:
                self.report_violations(
                    [f"{daemon.name} served no write within {limit} {when}"]
                )

    def _wait_until_serving(self, daemon: Daemon, limit: timedelta) -> Steps:
        deadline = self.loop.now() + limit
        while self.loop.now() < deadline:
            try:
                stream = yield TcpNetwork(self.loop).connect(
                    daemon.addresses["session_address"], _SECOND
                )
            except OSError:
                yield self.loop.sleep(CHECK_INTERVAL / 2)
                continue
            try:
                client = SessionClient(self, stream)
                yield from client.request(f"START strict {STEADY_KEY}")
                serves = yield from self._probe(client)
                if serves:
                    return True
            except NoAnswer:
                pass
            finally:
                stream.close("probed")
            yield self.loop.sleep(CHECK_INTERVAL / 2)
        return False

    def _probe(self, client: SessionClient) -> Steps:
        """Send a write that the history records; return whether it succeeded."""
        name = f"p{next(self._probe_numbers)}"
        record = CallerRecord(name, "hotel", STEADY_KEY, "strict")
        now = self.loop.now()
        request_id = self.history.send(record, "WRITE 1 data", now)
        lines = yield from client.request(f"QUERY {request_id} WRITE 1 data")
        self.report_violations(self.history.answer(request_id, lines, self.loop.now()))
        return lines[-2].startswith("DONE")

    # Checks

    def _check_at_intervals(self) -> Steps:
        while not self.is_over:
            yield self.loop.sleep(CHECK_INTERVAL)
            self.report_violations(self.history.check_runs())
            self.report_violations(self._account_checks.check())

    def _check_planned_stops(self) -> None:
        """Check that planned stops lost no answer of a statement that ran."""
        ran = {run.request_id for run in self.platform.group.runs}
        for daemon, request_id, at in self._unanswered:
            for stopped, since, until in self._planned_stops:
                is_cut = daemon is stopped and since <= at <= until
                if is_cut and request_id in ran and self._is_undisturbed(since, until):
                    self.report_violations(
                        [f"the answer to {request_id} was lost by a planned stop"]
                    )

    def _check_fences(self) -> None:
        """Check that each fence was used for promotions by one instance only."""
        holders_by_fence: dict[int, set[str]] = defaultdict(set)
        for daemon in self.daemons:
            for line in daemon.path.with_suffix(".log").read_bytes().splitlines():
                if b'"promotion_ordered"' in line:
                    entry = orjson.loads(line)
                    holders_by_fence[entry["fence"]].add(entry["instance"])
        for fence, holders in holders_by_fence.items():
            if len(holders) > 1:
                self.report_violations([f"fence {fence} was used by {sorted(holders)}"])
