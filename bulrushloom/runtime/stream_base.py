"""Interface of byte streams, with a buffer of received bytes that is read by lines."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from concurrent.futures import Future

from bulrushloom.runtime.buffers import BufferAccount
from bulrushloom.runtime.loop import Loop

LINE_END = b"\r\n"


class LineTooLong(Exception):
    """The peer sent a line that exceeds the limit."""


class Stream(ABC):
    """Connection with a buffer of received bytes.

    ``closed_reason`` is empty while the stream is open. Reading pauses while more than
    ``max_unsent_while_reading`` bytes are unsent; ``None`` means no limit.
    """

    max_unsent_while_reading: int | None = None

    def __init__(self, loop: Loop):
        self._loop = loop
        self._account: BufferAccount | None = None
        self._received = bytearray()
        self._scanned_bytes = 0
        self._reader: Callable[[], None] | None = None
        self._eof_received = False
        self.closed_reason = ""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send ``data``; bytes that cannot be sent now are buffered."""

    @abstractmethod
    def close(self, reason: str = "closed") -> None:
        """Close the connection; further calls do nothing."""

    @property
    def is_open(self) -> bool:
        """Return whether the stream is not closed, so that data can be sent."""
        return not self.closed_reason

    @property
    def at_eof(self) -> bool:
        """Return whether the peer has closed its side or the stream is closed."""
        return self._eof_received or not self.is_open

    @property
    def unread_bytes(self) -> int:
        """Return the number of received bytes that are not consumed yet."""
        return len(self._received)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that are buffered until they can be sent."""
        return 0

    def limit_memory(self, account: BufferAccount) -> None:
        """Report the size of the buffers to ``account``, which may pause reading."""
        self._account = account

    def drained(self, max_bytes: int) -> "Future[None]":
        """Return a future that is done once at most ``max_bytes`` are unsent.

        It is also done once the stream is closed.
        """
        future: Future[None] = Future()
        future.set_result(None)
        return future

    def on_data(self, reader: Callable[[], None]) -> None:
        """Call ``reader`` whenever data or the end of the stream arrives."""
        self._reader = reader

    def read_line(self, max_bytes: int) -> bytes | None:
        """Consume and return one line without its line end; ``None`` if incomplete.

        Only CR LF ends a line. Any other line break is a part of it, so that no reader
        finds more lines in the stream than its writer sent.

        Raise ``LineTooLong`` if the line has more than ``max_bytes`` bytes.
        """
        end = self._received.find(LINE_END, self._scanned_bytes)
        if end < 0:
            # The last byte may be the first one of a line end.
            self._scanned_bytes = max(0, len(self._received) - 1)
            if self._scanned_bytes > max_bytes:
                raise LineTooLong(f"more than {max_bytes} bytes without a line end")
            return None
        if end > max_bytes:
            raise LineTooLong(f"a line of {end} bytes; the limit is {max_bytes}")
        with memoryview(self._received) as received:
            line = bytes(received[:end])
        del self._received[: end + len(LINE_END)]
        self._scanned_bytes = 0
        self._on_consumed()
        return line

    def read_all(self) -> bytes:
        """Consume and return all received bytes."""
        data = bytes(self._received)
        self._received.clear()
        self._scanned_bytes = 0
        self._on_consumed()
        return data

    def _on_consumed(self) -> None:
        """Hook for subclasses: bytes were consumed, so more can be received."""
        return

    def _notify_reader(self) -> None:
        """Call the reader; its unexpected exception ends only this connection."""
        if self._reader is None:
            return
        try:
            self._reader()
        except Exception as error:
            self.close("internal error")
            self._loop.report_error(error)
