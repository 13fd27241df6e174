"""Queue of messages for the next batch to one peer."""

import threading
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from bulrushloom.coordination.base import Message
from bulrushloom.peers.connections import BatchConnection


class OutboxLimits(NamedTuple):
    """Limits of one batch and of one queue, in messages and in bytes of JSON."""

    batch_messages: int = 256
    batch_bytes: int = 1_000_000
    queued_messages: int = 4096
    queued_bytes: int = 8_000_000


class QueuedMessage(NamedTuple):
    """A message and its encoding."""

    message: Message
    encoded: bytes


class Outbox:
    """Messages that are queued while a batch is in flight; thread-safe.

    At most one thread at a time sends the batches of an outbox: the caller of ``put``
    starts the first batch if none is in flight, and the thread that completes a batch
    starts the next one.
    """

    def __init__(self, peer: str, limits: OutboxLimits, connection: BatchConnection):
        self.peer = peer
        self.connection = connection
        self.suspect_until: timedelta | None = None
        # Protects the connection and the fields of the batch in flight.
        self.connection_lock = threading.Lock()
        self.response_deadline: timedelta | None = None
        self.batch: list[QueuedMessage] = []
        self.batch_bytes = 0
        self._limits = limits
        self._lock = threading.Lock()
        self._queue: deque[QueuedMessage] = deque()
        self._queued_bytes = 0
        self._in_flight = False

    def put(self, item: QueuedMessage) -> tuple[bool, bool]:
        """Queue ``item``.

        Return whether it fits, and whether the caller has to start a batch.
        """
        limits = self._limits
        size = len(item.encoded)
        with self._lock:
            fits = (
                size <= limits.batch_bytes
                and len(self._queue) < limits.queued_messages
                and self._queued_bytes + size <= limits.queued_bytes
            )
            if not fits:
                return False, False
            self._queue.append(item)
            self._queued_bytes += size
            starts_batch = not self._in_flight
            self._in_flight = True
            return True, starts_batch

    def take_batch(self) -> list[QueuedMessage]:
        """Return the next batch; an empty one means that nothing is in flight."""
        batch: list[QueuedMessage] = []
        size = 0
        with self._lock:
            while self._queue and len(batch) < self._limits.batch_messages:
                size += len(self._queue[0].encoded)
                if batch and size > self._limits.batch_bytes:
                    break
                batch.append(self._queue.popleft())
            self._queued_bytes -= sum(len(item.encoded) for item in batch)
            self._in_flight = bool(batch)
        return batch

    @property
    def is_empty(self) -> bool:
        """Return whether no message is queued or in flight."""
        with self._lock:
            return not self._queue and not self._in_flight
