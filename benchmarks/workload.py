"""The users' workload: orders, stock reads and truck bookings."""

import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

from benchmarks.callers import Caller, Reply
from benchmarks.fleet import Fleet
from benchmarks.history import History, ReadRecord, WriteRecord

STOCK_ITEMS = 20
STOCK_MAX_AGE_MS = 500

ORDERS = "orders"
STOCK = "stock"

SCHEMA = {
    # No unique constraint on the token: a doubled write must show.
    ORDERS: "CREATE TABLE orders (token TEXT, session TEXT, account TEXT)",
    STOCK: "CREATE TABLE bookings (token TEXT, session TEXT, account TEXT)",
}
TABLE_BY_DATABASE = {ORDERS: "orders", STOCK: "bookings"}


class Pace(NamedTuple):
    """Set the size of the workload; ``pause_s`` lies between two steps."""

    seconds: float
    order_sessions: int = 6
    stock_readers: int = 4
    dispatch_sessions: int = 2
    pause_s: float = 0.02


class Workload:
    """Run sessions that roam over the entries and record what they saw."""

    def __init__(self, fleet: Fleet, pace: Pace, seed: int):
        self.history = History()
        self._fleet = fleet
        self._pace = pace
        self._seed = seed
        self._stop = threading.Event()
        self._caller_by_account = {
            account.name: Caller(fleet.key(account.name))
            for account in fleet.plan.accounts
        }
        self._executor = ThreadPoolExecutor(64, "session")

    def prepare(self) -> None:
        """Create the tables."""
        url = self._urls()[0]
        admin = self._caller_by_account["admin"]
        for database, sql in SCHEMA.items():
            reply = admin.query(url, database, sql)
            if not reply.ok:
                raise RuntimeError(f"cannot create the tables: {reply.body}")
        table = "CREATE TABLE stock (item INTEGER PRIMARY KEY, quantity INTEGER)"
        admin.query(url, STOCK, table)
        for item in range(STOCK_ITEMS):
            admin.query(url, STOCK, "INSERT INTO stock VALUES (?, 1000000)", [item])

    def start(self) -> list["Future[None]"]:
        """Start all sessions in the background."""
        pace = self._pace
        futures = []
        for number in range(pace.order_sessions):
            futures.append(self._executor.submit(self._orders, number))
        for number in range(pace.stock_readers):
            futures.append(self._executor.submit(self._stock, number))
        for number in range(pace.dispatch_sessions):
            futures.append(self._executor.submit(self._dispatch, number))
        return futures

    def finish(self, futures: Sequence["Future[None]"]) -> None:
        """Wait for the end of the time, then for the last replies."""
        time.sleep(self._pace.seconds)
        self._stop.set()
        for future in futures:
            future.result()

    def run(self) -> None:
        """Run all sessions to their end."""
        self.finish(self.start())

    def stored_tokens(self) -> dict[str, list[str]]:
        """Read all tokens at the end, at data that is at most 1 ms old."""
        admin = self._caller_by_account["admin"]
        tokens = {}
        for database, table in TABLE_BY_DATABASE.items():
            reply = self._insist(
                lambda url, database=database, table=table: admin.query(
                    url, database, f"SELECT token FROM {table}", max_age_ms=0
                )
            )
            tokens[database] = [row[0] for row in reply.body["rows"]]
        return tokens

    def close(self) -> None:
        """Close all sockets."""
        self._stop.set()
        self._executor.shutdown()
        for caller in self._caller_by_account.values():
            caller.close()

    def _insist(self, ask) -> Reply:  # type: ignore[no-untyped-def]
        for _ in range(60):
            for url in self._urls():
                reply: Reply = ask(url)
                if reply.ok:
                    return reply
            time.sleep(0.5)
        raise RuntimeError(f"the final read failed: {reply.body}")

    def _urls(self) -> list[str]:
        return [self._fleet.caller_url(name) for name in self._fleet.entry_names]

    def _orders(self, number: int) -> None:
        """Place orders and read them back through other entries."""
        source = random.Random(f"{self._seed} orders {number}")
        session_name = f"o{number}"
        token: str | None = None
        acknowledged: set[str] = set()
        step = 0
        while not self._stop.is_set():
            step += 1
            order = f"{session_name}-{step}"
            reply = self._place(source, session_name, order, token, step % 2 == 0)
            if reply.ok:
                acknowledged.add(order)
                token = reply.body["session"]
            for _ in range(2):
                token = self._read_back(source, session_name, acknowledged, token)
            time.sleep(self._pace.pause_s)

    def _place(
        self,
        source: random.Random,
        session_name: str,
        order: str,
        token: str | None,
        idempotent: bool,
    ) -> Reply:
        reply = self._caller_by_account["hotel-orders"].query(
            source.choice(self._urls()),
            ORDERS,
            "INSERT INTO orders VALUES (?, ?, ?)",
            [order, session_name, "hotel-orders"],
            session=token,
            idempotency_key=order if idempotent else "",
        )
        self.history.add_reply("hotel-orders", "write", reply)
        self.history.add_write(
            WriteRecord(ORDERS, "hotel-orders", order, reply, idempotent)
        )
        return reply

    def _read_back(
        self,
        source: random.Random,
        session_name: str,
        acknowledged: set[str],
        token: str | None,
    ) -> str | None:
        reply = self._caller_by_account["hotel-orders"].query(
            source.choice(self._urls()),
            ORDERS,
            "SELECT token FROM orders WHERE session = ?",
            [session_name],
            session=token,
        )
        self.history.add_reply("hotel-orders", "read", reply)
        if not reply.ok:
            return token
        found = frozenset(row[0] for row in reply.body["rows"])
        expected = frozenset(acknowledged)
        self.history.add_read(
            ReadRecord("hotel-orders", session_name + "-", reply, expected, found)
        )
        return str(reply.body["session"])

    def _stock(self, number: int) -> None:
        """Read the stock, accepting data of a stated age."""
        source = random.Random(f"{self._seed} stock {number}")
        caller = self._caller_by_account["catalogue"]
        while not self._stop.is_set():
            reply = caller.query(
                source.choice(self._urls()),
                STOCK,
                "SELECT quantity FROM stock WHERE item = ?",
                [source.randrange(STOCK_ITEMS)],
                max_age_ms=STOCK_MAX_AGE_MS,
            )
            self.history.add_reply("catalogue", "read", reply)
            time.sleep(self._pace.pause_s)

    def _dispatch(self, number: int) -> None:
        """Book trucks in transactions whose statements arrive at several entries."""
        source = random.Random(f"{self._seed} dispatch {number}")
        step = 0
        while not self._stop.is_set():
            step += 1
            booking = f"d{number}-{step}"
            reply = self._book(source, number, booking, rollback=step % 5 == 0)
            self.history.add_write(
                WriteRecord(STOCK, "dispatch", booking, reply, False)
            )
            time.sleep(self._pace.pause_s)

    def _book(
        self, source: random.Random, number: int, booking: str, rollback: bool
    ) -> Reply:
        caller = self._caller_by_account["dispatch"]
        begun = caller.begin(source.choice(self._urls()), STOCK)
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
                [source.randrange(STOCK_ITEMS)],
            ),
        ]
        for sql, params in statements:
            reply = caller.query(
                source.choice(self._urls()), STOCK, sql, params, transaction=transaction
            )
            self.history.add_reply("dispatch", "transaction", reply)
            if not reply.ok:
                self._end(source, transaction, commit=False)
                # Nothing was committed, whatever became of the statement.
                return reply._replace(ran="no")
        ended = self._end(source, transaction, commit=not rollback)
        self.history.add_reply("dispatch", "transaction", ended)
        if rollback:
            return ended._replace(kind="rolled_back", ran="no")
        return ended

    def _end(self, source: random.Random, transaction: str, commit: bool) -> Reply:
        """End a transaction; an entry that refuses the connection is passed over."""
        caller = self._caller_by_account["dispatch"]
        urls = self._urls()
        source.shuffle(urls)
        for url in urls:
            reply = caller.end(url, transaction, commit)
            if reply.kind != "refused":
                break
        return reply
