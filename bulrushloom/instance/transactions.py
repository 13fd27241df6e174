"""Open transactions of one target, and how the ended ones ended."""

from collections import OrderedDict
from datetime import timedelta

from bulrushloom.core.statecharts import StateMachine, load_chart

# An open transaction without a statement for this long is rolled back.
TRANSACTION_IDLE_LIMIT = timedelta(seconds=30)

# A repeated commit is answered from memory for as many ended transactions.
ENDED_TRANSACTIONS_KEPT = 10_000

_CHART = load_chart("bulrushloom.instance", "transaction.yaml")

ENDED_STATES = frozenset({"committed", "rolled_back", "unknown"})


class Transaction:
    """Follow one transaction through its state chart."""

    def __init__(self, handle: str, account: str, database: str, now: timedelta):
        self.handle = handle
        self.account = account
        self.database = database
        self.used_at = now
        self._machine = StateMachine(_CHART)

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self._machine.state

    def accepts(self, event: str) -> bool:
        """Return whether ``event`` is possible now."""
        return self._machine.accepts(event)

    def send(self, event: str, now: timedelta) -> None:
        """Take the transition for ``event``."""
        self._machine.send(event)
        self.used_at = now


class TransactionTable:
    """Hold the transactions of one target by handle."""

    def __init__(self, prefix: str, capacity: int):
        self._prefix = prefix
        self._capacity = capacity
        self._count = 0
        self._open_by_handle: dict[str, Transaction] = {}
        self._ended_state_by_handle: OrderedDict[str, str] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open_by_handle)

    @property
    def is_full(self) -> bool:
        """Return whether no further transaction may begin."""
        return len(self._open_by_handle) >= self._capacity

    def open(self, account: str, database: str, now: timedelta) -> Transaction:
        """Add a transaction with a new handle."""
        self._count += 1
        handle = f"{self._prefix}.{self._count}"
        transaction = Transaction(handle, account, database, now)
        self._open_by_handle[handle] = transaction
        return transaction

    def find(self, handle: str, account: str, database: str) -> Transaction | None:
        """Return the open transaction if it belongs to ``account``."""
        transaction = self._open_by_handle.get(handle)
        if transaction is None:
            return None
        if (transaction.account, transaction.database) != (account, database):
            return None
        return transaction

    def matching(self, handle: str) -> list[Transaction]:
        """Return the open transaction of ``handle`` as a list of none or one."""
        transaction = self._open_by_handle.get(handle)
        return [] if transaction is None else [transaction]

    def ended_state(self, handle: str) -> str | None:
        """Return how a transaction ended, ``None`` if that is not known here."""
        return self._ended_state_by_handle.get(handle)

    def settle(self, transaction: Transaction) -> None:
        """Move the transaction to the ended ones if its state is final."""
        if transaction.state not in ENDED_STATES:
            return
        self._open_by_handle.pop(transaction.handle, None)
        self._ended_state_by_handle[transaction.handle] = transaction.state
        while len(self._ended_state_by_handle) > ENDED_TRANSACTIONS_KEPT:
            self._ended_state_by_handle.popitem(last=False)

    def idle_since(self, now: timedelta) -> list[Transaction]:
        """Return the idle transactions whose limit has passed."""
        return [
            transaction
            for transaction in self._open_by_handle.values()
            if transaction.state == "idle"
            and now - transaction.used_at >= TRANSACTION_IDLE_LIMIT
        ]
