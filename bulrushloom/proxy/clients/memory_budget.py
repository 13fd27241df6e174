"""Budget of memory that all connections of one process share; without I/O.

It answers crowds of clients whose unfinished lines, large messages, unread answers or
session values would together exceed the memory of the machine, although each client is
within its own limits.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from bulrushloom.runtime.buffers import BufferAccount

_MEGABYTE = 1024 * 1024
# Limit of a process whose settings name none.
DEFAULT_MEMORY_LIMIT_MB = 512
# A process uses about 30 MB without clients; configuration, logs and metrics grow.
BASE_MEMORY_MB = 44
# The other half is for copies: a line is copied while it is decoded and encoded, and
# the allocator does not return all freed memory.
BUDGETED_FRACTION = 0.5
# A process on a small machine still has to serve messages of 1 MiB.
MIN_BUDGET_BYTES = 8 * _MEGABYTE
# Reading of heavy connections stops at this fraction of the budget.
PAUSE_FRACTION = 0.6
# Connections are closed until this fraction of the level that caused it is reached.
RELIEF_FRACTION = 0.75
# A connection that uses less is not paused, so ordinary statements are still read.
LIGHT_BYTES = 28 * 1024
RECEIVE_BYTES = 65_536
# Under pressure a connection must not grow by 64 KiB at once.
PRESSED_RECEIVE_BYTES = 4_096
# Memory of a session without buffers: Python objects and the selector's entry.
SESSION_BYTES = 16 * 1024
# A single answer may use this fraction of the budget while it is assembled.
ANSWER_FRACTION = 0.25
# Messages that are running free memory as they end. If that does not happen for this
# time, paused connections wait for each other.
PRESSURE_TIME = timedelta(seconds=1)


class AccountKind(Enum):
    """Kinds of connections."""

    CLIENT = "client"
    TARGET = "target"


class MemoryLimits(NamedTuple):
    """Bytes at which reading is paused and at which connections are closed."""

    pause_bytes: int
    budget_bytes: int

    @property
    def answer_bytes(self) -> int:
        """Return the limit of a single answer in bytes."""
        return int(self.budget_bytes * ANSWER_FRACTION)


def memory_limits(memory_limit_mb: float | None) -> MemoryLimits:
    """Derive the budget from the memory of the process in MB."""
    limit_mb = memory_limit_mb or DEFAULT_MEMORY_LIMIT_MB
    available = (limit_mb - BASE_MEMORY_MB) * _MEGABYTE
    budget = max(int(available * BUDGETED_FRACTION), MIN_BUDGET_BYTES)
    return MemoryLimits(int(budget * PAUSE_FRACTION), budget)


class MemoryAccount(BufferAccount):
    """Memory of one connection: buffers of its stream and what its owner holds.

    ``is_closable`` tells whether a close interrupts no running statement, and
    ``close_connection`` closes the connection for the given reason.
    """

    def __init__(self, budget: "MemoryBudget", kind: AccountKind):
        self._budget = budget
        self.kind = kind
        self.buffered = 0
        self.held = 0
        self.is_open = True
        self.is_closable: Callable[[], bool] = lambda: False
        self.close_connection: Callable[[str], None] = lambda _: None

    @property
    def used(self) -> int:
        """Return the bytes that the connection uses."""
        return self.buffered + self.held

    @property
    def answer_bytes(self) -> int:
        """Return the limit of a single answer in bytes."""
        return self._budget.limits.answer_bytes

    def set_buffered(self, size: int) -> None:
        """Record that the stream buffers ``size`` received and unsent bytes."""
        if self.is_open and size != self.buffered:
            change, self.buffered = size - self.buffered, size
            self._budget.change(change)

    def set_held(self, size: int) -> None:
        """Record that the owner holds ``size`` bytes of statements and state."""
        if self.is_open and size != self.held:
            change, self.held = size - self.held, size
            self._budget.change(change)

    def receivable(self) -> int:
        """Return how many bytes may be received now; 0 pauses the reading."""
        return self._budget.receivable(self)

    def close(self) -> None:
        """Remove the connection from the budget."""
        self._budget.remove(self)


class MemoryBudget:
    """Decides which connections may receive, and which are closed.

    ``used`` has the bytes of all connections. ``schedule`` is called with a callback
    that resumes paused connections; by default it is called at once.
    """

    def __init__(
        self,
        limits: MemoryLimits,
        schedule: Callable[[Callable[[], None]], object] = lambda resume: resume(),
    ):
        self.limits = limits
        self.used = 0
        self._schedule = schedule
        self._accounts: dict[MemoryAccount, None] = {}
        # Paused connections, by whether they are resumed as soon as the use is below
        # the budget: answers of targets and light connections are.
        self._paused_by_is_early: dict[bool, dict[MemoryAccount, None]] = {
            True: {},
            False: {},
        }
        self._pressed_since: timedelta | None = None
        self._is_resuming = False

    @property
    def paused_count(self) -> int:
        """Return the number of connections whose reading is paused."""
        return sum(len(paused) for paused in self._paused_by_is_early.values())

    def open_account(self, kind: AccountKind) -> MemoryAccount:
        """Add a connection."""
        account = MemoryAccount(self, kind)
        self._accounts[account] = None
        return account

    def remove(self, account: MemoryAccount) -> None:
        """Remove a connection; further changes of it have no effect."""
        if account.is_open:
            account.is_open = False
            del self._accounts[account]
            for paused in self._paused_by_is_early.values():
                paused.pop(account, None)
            self.change(-account.used)

    def change(self, size: int) -> None:
        """Add ``size`` bytes to the use; resume paused connections if it falls."""
        self.used += size
        if size < 0 and not self._is_resuming and self._resumable():
            self._is_resuming = True
            self._schedule(self._resume)

    def _resumable(self) -> list[MemoryAccount]:
        """Return the paused connections that may be read at the present use."""
        limits = self.limits
        return [
            account
            for is_early, paused in self._paused_by_is_early.items()
            if self.used < (limits.budget_bytes if is_early else limits.pause_bytes)
            for account in paused
        ]

    def _resume(self) -> None:
        self._is_resuming = False
        for account in self._resumable():
            for paused in self._paused_by_is_early.values():
                paused.pop(account, None)
            account.on_room()

    def has_room(self) -> bool:
        """Return whether the budget is not exceeded."""
        return self.used <= self.limits.budget_bytes

    def receivable(self, account: MemoryAccount) -> int:
        """Return how many bytes ``account`` may receive now; 0 pauses it.

        Answers of targets are read until the budget is used up, because they complete
        statements and thereby free memory.
        """
        if self.used < self.limits.pause_bytes:
            return RECEIVE_BYTES
        if self.used < self.limits.budget_bytes:
            if account.kind is AccountKind.TARGET:
                return RECEIVE_BYTES
            if account.used < LIGHT_BYTES:
                return PRESSED_RECEIVE_BYTES
        is_early = account.kind is AccountKind.TARGET or account.used < LIGHT_BYTES
        self._paused_by_is_early[is_early][account] = None
        return 0

    def accounts_to_close(self, now: timedelta) -> list[MemoryAccount]:
        """Return the heaviest connections that have to be closed, heaviest first.

        None are closed while the use is below the level at which reading pauses, or
        has been above it for less than ``PRESSURE_TIME`` and is within the budget.
        """
        limits = self.limits
        if self.used < limits.pause_bytes:
            self._pressed_since = None
            return []
        if self._pressed_since is None:
            self._pressed_since = now
        is_lasting = now - self._pressed_since >= PRESSURE_TIME
        if self.used < limits.budget_bytes and not is_lasting:
            return []
        level = limits.pause_bytes if is_lasting else limits.budget_bytes
        return self._heaviest(self.used - int(level * RELIEF_FRACTION))

    def _heaviest(self, size: int) -> list[MemoryAccount]:
        """Return the heaviest closable connections that use ``size`` together."""
        candidates = [
            account
            for account in self._accounts
            if account.used > LIGHT_BYTES and account.is_closable()
        ]
        candidates.sort(key=lambda account: account.used, reverse=True)
        chosen = []
        for account in candidates:
            if size <= 0:
                break
            chosen.append(account)
            size -= account.used
        return chosen
