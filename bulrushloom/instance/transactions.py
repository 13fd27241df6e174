"""Open transactions of one target, and the final states of ended ones."""

from collections import OrderedDict
from datetime import timedelta

from bulrushloom.core.statecharts import StateMachine, load_chart

# An open transaction without a statement is rolled back after this time.
TRANSACTION_IDLE_LIMIT = timedelta(seconds=30)

# Number of ended transactions whose final state is kept to answer repeated commits.
MAX_ENDED_TRANSACTIONS = 10_000

_CHART = load_chart("bulrushloom.instance", "transaction.yaml")

ENDED_STATES = frozenset({"committed", "rolled_back", "unknown"})


class Transaction:
    """A transaction, whose state follows the state chart in ``transaction.yaml``."""

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
        """Return whether the current state has a transition for ``event``."""
        return self._machine.accepts(event)

    def send(self, event: str, now: timedelta) -> None:
        """Perform the transition for ``event``."""
        self._machine.send(event)
        self.used_at = now


class TransactionTable:
    """Transactions of one target by handle."""

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
        """Return whether the limit of open transactions is reached."""
        return len(self._open_by_handle) >= self._capacity

    def open(self, account: str, database: str, now: timedelta) -> Transaction:
        """Add a transaction with a new handle."""
        self._count += 1
        handle = f"{self._prefix}.{self._count}"
        transaction = Transaction(handle, account, database, now)
        self._open_by_handle[handle] = transaction
        return transaction

    def find(self, handle: str, account: str, database: str) -> Transaction | None:
        """Return the open transaction if its account and database match."""
        transaction = self._open_by_handle.get(handle)
        if transaction is None:
            return None
        if (transaction.account, transaction.database) != (account, database):
            return None
        return transaction

    def with_handle(self, handle: str) -> list[Transaction]:
        """Return the open transaction with ``handle`` as a list of at most one item."""
        transaction = self._open_by_handle.get(handle)
        return [] if transaction is None else [transaction]

    def ended_state(self, handle: str) -> str | None:
        """Return the final state of a transaction, or ``None`` if it is not known."""
        return self._ended_state_by_handle.get(handle)

    def archive_if_ended(self, transaction: Transaction) -> None:
        """Move the transaction to the ended transactions if its state is final."""
        if transaction.state not in ENDED_STATES:
            return
        self._open_by_handle.pop(transaction.handle, None)
        self._ended_state_by_handle[transaction.handle] = transaction.state
        while len(self._ended_state_by_handle) > MAX_ENDED_TRANSACTIONS:
            self._ended_state_by_handle.popitem(last=False)

    def past_idle_limit(self, now: timedelta) -> list[Transaction]:
        """Return the transactions that have exceeded the idle limit."""
        return [
            transaction
            for transaction in self._open_by_handle.values()
            if transaction.state == "idle"
            and now - transaction.used_at >= TRANSACTION_IDLE_LIMIT
        ]
