"""Paced load of client accounts, with a read-your-writes check for each session."""

import random
import threading
import time
from typing import NamedTuple

from benchmarks.callers import Caller, Reply
from benchmarks.deployments import ADMIN
from benchmarks.fleet import Fleet
from benchmarks.plans import AccountPlan

WRITE_SHARE = 0.2
# Part of its rate that an account sends, so that it is always inside its rate.
RATE_USED = 0.9
TABLE = "items"
PACED_WORKERS = 4
# A refused request waits up to 0.3 s for a token, so the excess needs many workers.
EXCESS_WORKERS = 64
PREPARE_TRIES = 20
PREPARE_PAUSE_S = 0.25


class Sample(NamedTuple):
    """Record one request of the load."""

    account: str
    database: str
    write: bool
    reply: Reply


class Load:
    """Send requests of all accounts through random entries for a fixed time."""

    def __init__(self, fleet: Fleet, seed: int):
        self.samples: list[Sample] = []
        self.stale_reads: list[str] = []
        self.urls = [fleet.caller_url(name) for name in fleet.entry_names]
        self._fleet = fleet
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._callers = {
            account.name: Caller(fleet.key(account.name))
            for account in fleet.plan.accounts
        }

    def prepare(self) -> None:
        """Create a table in every group."""
        sql = f"CREATE TABLE IF NOT EXISTS {TABLE} (session TEXT, number INTEGER)"
        for database in self._fleet.plan.databases:
            for _ in range(PREPARE_TRIES):
                reply = self._callers[ADMIN].query(self.urls[0], database, sql)
                if reply.ok:
                    break
                # The buckets of new share holders start empty.
                time.sleep(PREPARE_PAUSE_S)
            else:
                raise RuntimeError(f"cannot create the table: {reply}")

    def start(self, factor_by_account: dict[str, float] | None = None) -> None:
        """Start every account but the administrator's at its part of the rate."""
        factors = factor_by_account or {}
        for account in self._fleet.plan.accounts:
            if account.name != ADMIN:
                self._start_account(account, factors.get(account.name, RATE_USED))

    def start_writers(self, period: float, workers: int = 2) -> None:
        """Start writers of the administrator's account for every group."""
        for database in self._fleet.plan.databases:
            for number in range(workers):
                label = f"{ADMIN} {database} {number}"
                self._start(ADMIN, label, period, database, 1.0)

    def start_saturating(self, workers: int) -> None:
        """Start workers of the administrator's account that never pause."""
        for number in range(workers):
            self._start(ADMIN, f"{ADMIN} {number}", 0.0, "", WRITE_SHARE)

    def run(self, seconds: float) -> None:
        """Let the load go on for a time, then end it."""
        time.sleep(seconds)
        self.finish()

    def finish(self) -> None:
        """End the load and wait for the last replies."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for caller in self._callers.values():
            caller.close()

    def of(self, account: str) -> list[Sample]:
        """Return the samples of one account."""
        return [sample for sample in self.samples if sample.account == account]

    def _start_account(self, account: AccountPlan, factor: float) -> None:
        workers = EXCESS_WORKERS if factor > 1 else PACED_WORKERS
        period = workers / (account.rate * factor)
        for number in range(workers):
            label = f"{account.name} {number}"
            self._start(account.name, label, period, "", WRITE_SHARE)

    def _start(
        self, account: str, label: str, period: float, database: str, writes: float
    ) -> None:
        arguments = (account, label, period, database, writes)
        thread = threading.Thread(target=self._session, args=arguments)
        self._threads.append(thread)
        thread.start()

    def _session(
        self, account: str, label: str, period: float, database: str, writes: float
    ) -> None:
        source = random.Random(f"{self._seed} {label}")
        session = f"{label} {id(self)}"
        token: str | None = None
        database = database or source.choice(self._fleet.plan.databases)
        written = 0
        due = time.monotonic() + source.random() * period
        while not self._stop.wait(max(0.0, due - time.monotonic())):
            # A late worker does not catch up: its account would leave its rate.
            due = max(due + period, time.monotonic())
            write = source.random() < writes
            reply = self._request(source, account, database, session, token, write)
            self.samples.append(Sample(account, database, write, reply))
            if not reply.ok:
                continue
            token = reply.body["session"]
            if write:
                written += 1
            elif reply.body["rows"][0][0] < written:
                self.stale_reads.append(f"{session}: {reply.body['rows']} < {written}")

    def _request(
        self,
        source: random.Random,
        account: str,
        database: str,
        session: str,
        token: str | None,
        write: bool,
    ) -> Reply:
        sql = (
            f"INSERT INTO {TABLE} VALUES (?, 1)"
            if write
            else f"SELECT count(*) FROM {TABLE} WHERE session = ?"
        )
        caller = self._callers[account]
        # The balancer in front of the entries tries another one after a refusal.
        for url in source.sample(self.urls, len(self.urls)):
            reply = caller.query(url, database, sql, [session], session=token)
            if reply.kind != "refused":
                break
        return reply
