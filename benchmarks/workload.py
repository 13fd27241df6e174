"""A workload like that of the users: orders, stock reads and truck bookings."""

import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

from benchmarks.callers import Caller, Reply
from benchmarks.fleet import Fleet
from benchmarks.history import History, ReadRecord, WriteRecord

STOCK_ITEM_COUNT = 20
STOCK_MAX_AGE_MS = 500

ORDERS_DATABASE = "orders"
STOCK_DATABASE = "stock"

CREATE_TABLE_BY_DATABASE = {
    # No unique constraint on the token, so that a duplicate write is stored and found.
    ORDERS_DATABASE: "CREATE TABLE orders (token TEXT, session TEXT, account TEXT)",
    STOCK_DATABASE: "CREATE TABLE bookings (token TEXT, session TEXT, account TEXT)",
}
TABLE_BY_DATABASE = {ORDERS_DATABASE: "orders", STOCK_DATABASE: "bookings"}


class Pace(NamedTuple):
    """The size of a workload; each session pauses for ``pause_s`` between two steps."""

    seconds: float
    order_sessions: int = 6
    stock_readers: int = 4
    dispatch_sessions: int = 2
    pause_s: float = 0.02


class Workload:
    """Runs sessions whose requests go to random instances, and records the replies."""

    def __init__(self, fleet: Fleet, pace: Pace, seed: int):
        self.history = History()
        self._fleet = fleet
        self._pace = pace
        self._seed = seed
        self._stop = threading.Event()
        self._caller_by_account = {
            account.name: Caller(fleet.api_key(account.name))
            for account in fleet.plan.accounts
        }
        self._executor = ThreadPoolExecutor(64, "session")

    def create_tables(self) -> None:
        """Create the tables and fill the stock."""
        url = self._urls()[0]
        admin = self._caller_by_account["admin"]
        for database, sql in CREATE_TABLE_BY_DATABASE.items():
            reply = admin.query(url, database, sql)
            if not reply.ok:
                raise RuntimeError(f"cannot create a table: {reply.body}")
        table = "CREATE TABLE stock (item INTEGER PRIMARY KEY, quantity INTEGER)"
        admin.query(url, STOCK_DATABASE, table)
        for item in range(STOCK_ITEM_COUNT):
            admin.query(
                url, STOCK_DATABASE, "INSERT INTO stock VALUES (?, 1000000)", [item]
            )

    def start(self) -> list["Future[None]"]:
        """Start all sessions in the background."""
        pace = self._pace
        futures = []
        for number in range(pace.order_sessions):
            futures.append(self._executor.submit(self._run_order_session, number))
        for number in range(pace.stock_readers):
            futures.append(self._executor.submit(self._run_stock_reader, number))
        for number in range(pace.dispatch_sessions):
            futures.append(self._executor.submit(self._run_dispatch_session, number))
        return futures

    def finish(self, futures: Sequence["Future[None]"]) -> None:
        """Wait for the duration of the workload, then for the last replies."""
        time.sleep(self._pace.seconds)
        self._stop.set()
        for future in futures:
            future.result()

    def run(self) -> None:
        """Run all sessions for the duration of the workload."""
        self.finish(self.start())

    def read_stored_tokens(self) -> dict[str, list[str]]:
        """Return the tokens of all stored writes by database.

        The reads accept data that is at most 1 ms old.
        """
        admin = self._caller_by_account["admin"]
        tokens = {}
        for database, table in TABLE_BY_DATABASE.items():
            reply = self._query_until_answered(
                lambda url, database=database, table=table: admin.query(
                    url, database, f"SELECT token FROM {table}", max_age_ms=0
                )
            )
            tokens[database] = [row[0] for row in reply.body["rows"]]
        return tokens

    def close(self) -> None:
        """Stop the sessions and close all connections."""
        self._stop.set()
        self._executor.shutdown()
        for caller in self._caller_by_account.values():
            caller.close()

    def _query_until_answered(self, query) -> Reply:  # type: ignore[no-untyped-def]
        for _ in range(60):
            for url in self._urls():
                reply: Reply = query(url)
                if reply.ok:
                    return reply
            time.sleep(0.5)
        raise RuntimeError(f"cannot read the stored tokens: {reply.body}")

    def _urls(self) -> list[str]:
        return [self._fleet.caller_url(name) for name in self._fleet.entry_names]

    def _run_order_session(self, number: int) -> None:
        """Place orders and read them back through random instances."""
        rng = random.Random(f"{self._seed} orders {number}")
        session_name = f"o{number}"
        session_token: str | None = None
        acknowledged: set[str] = set()
        step = 0
        while not self._stop.is_set():
            step += 1
            order = f"{session_name}-{step}"
            reply = self._place_order(
                rng, session_name, order, session_token, step % 2 == 0
            )
            if reply.ok:
                acknowledged.add(order)
                session_token = reply.body["session"]
            for _ in range(2):
                session_token = self._read_orders(
                    rng, session_name, acknowledged, session_token
                )
            time.sleep(self._pace.pause_s)

    def _place_order(
        self,
        rng: random.Random,
        session_name: str,
        order: str,
        session_token: str | None,
        idempotent: bool,
    ) -> Reply:
        reply = self._caller_by_account["hotel-orders"].query(
            rng.choice(self._urls()),
            ORDERS_DATABASE,
            "INSERT INTO orders VALUES (?, ?, ?)",
            [order, session_name, "hotel-orders"],
            session=session_token,
            idempotency_key=order if idempotent else "",
        )
        self.history.add_reply("hotel-orders", "write", reply)
        self.history.add_write(
            WriteRecord(ORDERS_DATABASE, "hotel-orders", order, reply, idempotent)
        )
        return reply

    def _read_orders(
        self,
        rng: random.Random,
        session_name: str,
        acknowledged: set[str],
        session_token: str | None,
    ) -> str | None:
        reply = self._caller_by_account["hotel-orders"].query(
            rng.choice(self._urls()),
            ORDERS_DATABASE,
            "SELECT token FROM orders WHERE session = ?",
            [session_name],
            session=session_token,
        )
        self.history.add_reply("hotel-orders", "read", reply)
        if not reply.ok:
            return session_token
        found = frozenset(row[0] for row in reply.body["rows"])
        expected = frozenset(acknowledged)
        self.history.add_read(
            ReadRecord("hotel-orders", session_name + "-", reply, expected, found)
        )
        return str(reply.body["session"])

    def _run_stock_reader(self, number: int) -> None:
        """Read the stock, accepting data of a limited age."""
        rng = random.Random(f"{self._seed} stock {number}")
        caller = self._caller_by_account["catalogue"]
        while not self._stop.is_set():
            reply = caller.query(
                rng.choice(self._urls()),
                STOCK_DATABASE,
                "SELECT quantity FROM stock WHERE item = ?",
                [rng.randrange(STOCK_ITEM_COUNT)],
                max_age_ms=STOCK_MAX_AGE_MS,
            )
            self.history.add_reply("catalogue", "read", reply)
            time.sleep(self._pace.pause_s)

    def _run_dispatch_session(self, number: int) -> None:
        """Book trucks in transactions whose requests go to random instances."""
        rng = random.Random(f"{self._seed} dispatch {number}")
        step = 0
        while not self._stop.is_set():
            step += 1
            booking = f"d{number}-{step}"
            reply = self._book_truck(rng, number, booking, rollback=step % 5 == 0)
            self.history.add_write(
                WriteRecord(STOCK_DATABASE, "dispatch", booking, reply, False)
            )
            time.sleep(self._pace.pause_s)

    def _book_truck(
        self, rng: random.Random, number: int, booking: str, rollback: bool
    ) -> Reply:
        caller = self._caller_by_account["dispatch"]
        begun = caller.begin(rng.choice(self._urls()), STOCK_DATABASE)
        self.history.add_reply("dispatch", "transaction", begun)
        if not begun.ok:
            return begun._replace(ran="no")
        transaction = begun.body["transaction"]
        statements: list[tuple[str, list[Any]]] = [
            (
                "INSERT INTO bookings VALUES (?, ?, ?)",
                [booking, f"d{number}", "dispatch"],
            ),
            (
                "UPDATE stock SET quantity = quantity - 1 WHERE item = ?",
                [rng.randrange(STOCK_ITEM_COUNT)],
            ),
        ]
        for sql, params in statements:
            reply = caller.query(
                rng.choice(self._urls()),
                STOCK_DATABASE,
                sql,
                params,
                transaction=transaction,
            )
            self.history.add_reply("dispatch", "transaction", reply)
            if not reply.ok:
                self._end_transaction(rng, transaction, commit=False)
                # The transaction isn't committed, so no statement took effect.
                return reply._replace(ran="no")
        ended = self._end_transaction(rng, transaction, commit=not rollback)
        self.history.add_reply("dispatch", "transaction", ended)
        if rollback:
            return ended._replace(kind="rolled_back", ran="no")
        return ended

    def _end_transaction(
        self, rng: random.Random, transaction: str, commit: bool
    ) -> Reply:
        """End a transaction, skipping instances that refuse the connection."""
        caller = self._caller_by_account["dispatch"]
        urls = self._urls()
        rng.shuffle(urls)
        for url in urls:
            reply = caller.end(url, transaction, commit)
            if reply.kind != "refused":
                break
        return reply
