"""Paced load of client accounts with a read-your-writes check in each session."""

import random
import threading
import time
from typing import NamedTuple

from benchmarks.callers import Caller, Reply
from benchmarks.deployments import ADMIN_ACCOUNT
from benchmarks.fleet import Fleet
from benchmarks.plans import AccountPlan

WRITE_FRACTION = 0.2
# Fraction of its rate that an account uses, so that it always stays within the rate.
USED_RATE_FRACTION = 0.9
TABLE = "items"
PACED_WORKER_COUNT = 4
# A request waits up to 0.3 s for a token before it is refused, so a load above the rate
# needs many workers.
EXCESS_WORKER_COUNT = 64
CREATE_TABLE_ATTEMPTS = 20
CREATE_TABLE_RETRY_DELAY_S = 0.25


class Sample(NamedTuple):
    """One request of the load and its reply."""

    account: str
    database: str
    is_write: bool
    reply: Reply


class Load:
    """Sends requests of all accounts to random instances until it is finished."""

    def __init__(self, fleet: Fleet, seed: int):
        self.samples: list[Sample] = []
        self.stale_reads: list[str] = []
        self.urls = [fleet.caller_url(name) for name in fleet.entry_names]
        self._fleet = fleet
        self._seed = seed
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._caller_by_account = {
            account.name: Caller(fleet.api_key(account.name))
            for account in fleet.plan.accounts
        }

    def create_tables(self) -> None:
        """Create the table of the load in every database."""
        sql = f"CREATE TABLE IF NOT EXISTS {TABLE} (session TEXT, number INTEGER)"
        for database in self._fleet.plan.databases:
            for _ in range(CREATE_TABLE_ATTEMPTS):
                reply = self._caller_by_account[ADMIN_ACCOUNT].query(
                    self.urls[0], database, sql
                )
                if reply.ok:
                    break
                # The token buckets of new share holders start empty, so retry.
                time.sleep(CREATE_TABLE_RETRY_DELAY_S)
            else:
                raise RuntimeError(f"cannot create the table of the load: {reply}")

    def start(self, factor_by_account: dict[str, float] | None = None) -> None:
        """Start the workers of every account except the administrator's.

        ``factor_by_account`` gives the load of an account as a fraction of its rate. It
        is ``USED_RATE_FRACTION`` by default.
        """
        factors = factor_by_account or {}
        for account in self._fleet.plan.accounts:
            if account.name != ADMIN_ACCOUNT:
                self._start_account(
                    account, factors.get(account.name, USED_RATE_FRACTION)
                )

    def start_writers(self, period_s: float, worker_count: int = 2) -> None:
        """Start workers of the administrator's account that write to every database."""
        for database in self._fleet.plan.databases:
            for number in range(worker_count):
                label = f"{ADMIN_ACCOUNT} {database} {number}"
                self._start_worker(ADMIN_ACCOUNT, label, period_s, database, 1.0)

    def start_saturating(self, worker_count: int) -> None:
        """Start workers of the administrator's account that send without a pause."""
        for number in range(worker_count):
            self._start_worker(
                ADMIN_ACCOUNT, f"{ADMIN_ACCOUNT} {number}", 0.0, "", WRITE_FRACTION
            )

    def run_for(self, seconds: float) -> None:
        """Continue the load for a number of seconds, then finish it."""
        time.sleep(seconds)
        self.finish()

    def finish(self) -> None:
        """Stop all workers and wait for the last replies."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        for caller in self._caller_by_account.values():
            caller.close()

    def samples_of(self, account: str) -> list[Sample]:
        """Return the samples of one account."""
        return [sample for sample in self.samples if sample.account == account]

    def _start_account(self, account: AccountPlan, factor: float) -> None:
        worker_count = EXCESS_WORKER_COUNT if factor > 1 else PACED_WORKER_COUNT
        period_s = worker_count / (account.rate * factor)
        for number in range(worker_count):
            label = f"{account.name} {number}"
            self._start_worker(account.name, label, period_s, "", WRITE_FRACTION)

    def _start_worker(
        self,
        account: str,
        label: str,
        period_s: float,
        database: str,
        write_fraction: float,
    ) -> None:
        arguments = (account, label, period_s, database, write_fraction)
        thread = threading.Thread(target=self._run_session, args=arguments)
        self._threads.append(thread)
        thread.start()

    def _run_session(
        self,
        account: str,
        label: str,
        period_s: float,
        database: str,
        write_fraction: float,
    ) -> None:
        """Send requests until the load is stopped and check reads of own writes.

        ``database`` may be empty for a random one.
        """
        rng = random.Random(f"{self._seed} {label}")
        session = f"{label} {id(self)}"
        session_token: str | None = None
        database = database or rng.choice(self._fleet.plan.databases)
        write_count = 0
        next_at = time.monotonic() + rng.random() * period_s
        while not self._stop.wait(max(0.0, next_at - time.monotonic())):
            # A late worker doesn't catch up, which would exceed the account's rate.
            next_at = max(next_at + period_s, time.monotonic())
            is_write = rng.random() < write_fraction
            reply = self._request(
                rng, account, database, session, session_token, is_write
            )
            self.samples.append(Sample(account, database, is_write, reply))
            if not reply.ok:
                continue
            session_token = reply.body["session"]
            if is_write:
                write_count += 1
            elif reply.body["rows"][0][0] < write_count:
                self.stale_reads.append(
                    f"{session}: {reply.body['rows']} < {write_count}"
                )

    def _request(
        self,
        rng: random.Random,
        account: str,
        database: str,
        session: str,
        session_token: str | None,
        is_write: bool,
    ) -> Reply:
        sql = (
            f"INSERT INTO {TABLE} VALUES (?, 1)"
            if is_write
            else f"SELECT count(*) FROM {TABLE} WHERE session = ?"
        )
        caller = self._caller_by_account[account]
        # Like a load balancer, try another instance if one refuses the connection.
        for url in rng.sample(self.urls, len(self.urls)):
            reply = caller.query(url, database, sql, [session], session=session_token)
            if reply.kind != "refused":
                break
        return reply
