"""Queue of the messages that wait for the next batch to one peer."""

import threading
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Message
from bulrushloom.peers.connections import BatchConnection


class OutboxLimits(NamedTuple):
    """Bound one batch and one outbox, in messages and in bytes of JSON."""

    batch_messages: int = 256
    batch_bytes: int = 1_000_000
    waiting_messages: int = 4096
    waiting_bytes: int = 8_000_000


class Waiting(NamedTuple):
    """Hold a message with its encoding."""

    message: Message
    encoded: bytes


class Outbox:
    """Collect messages while a batch is in flight; callable from any thread.

    At most one thread at a time works on an outbox: ``put`` tells its caller to take
    the first batch, and whoever ends a batch takes the next one.
    """

    def __init__(self, peer: str, limits: OutboxLimits, connection: BatchConnection):
        self.peer = peer
        self.connection = connection
        self.suspect_until: timedelta | None = None
        # Guards the connection and the fields of the batch in flight.
        self.connection_lock = threading.Lock()
        self.answer_due: timedelta | None = None
        self.batch: list[Waiting] = []
        self.batch_bytes = 0
        self._limits = limits
        self._lock = threading.Lock()
        self._waiting: deque[Waiting] = deque()
        self._waiting_bytes = 0
        self._in_flight = False

    def put(self, item: Waiting) -> tuple[bool, bool]:
        """Queue ``item``; return whether it fits and whether to take a batch."""
        limits = self._limits
        size = len(item.encoded)
        with self._lock:
            fits = (
                size <= limits.batch_bytes
                and len(self._waiting) < limits.waiting_messages
                and self._waiting_bytes + size <= limits.waiting_bytes
            )
            if not fits:
                return False, False
            self._waiting.append(item)
            self._waiting_bytes += size
            starts = not self._in_flight
            self._in_flight = True
            return True, starts

    def take(self) -> list[Waiting]:
        """Return the next batch; after an empty one nothing is in flight."""
        batch: list[Waiting] = []
        size = 0
        with self._lock:
            while self._waiting and len(batch) < self._limits.batch_messages:
                size += len(self._waiting[0].encoded)
                if batch and size > self._limits.batch_bytes:
                    break
                batch.append(self._waiting.popleft())
            self._waiting_bytes -= sum(len(item.encoded) for item in batch)
            self._in_flight = bool(batch)
        return batch

    @property
    def empty(self) -> bool:
        """Return whether nothing waits and nothing is in flight."""
        with self._lock:
            return not self._waiting and not self._in_flight
