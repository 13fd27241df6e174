"""Log of one event that clients can cause as often as they like."""

from datetime import timedelta
from typing import Any

from bulrushloom.proxy.telemetry import EventLog
from bulrushloom.runtime.loop import Loop

LOG_INTERVAL = timedelta(seconds=1)


class LimitedLog:
    """Writes at most one line of ``event`` per ``LOG_INTERVAL`` and counts the rest."""

    def __init__(self, loop: Loop, log: EventLog, event: str):
        self._loop = loop
        self._log = log
        self._event = event
        self._written_at: timedelta | None = None
        self._unwritten = 0

    def write(self, **fields: Any) -> None:
        """Write a line, or count it if the last one was written just before."""
        now = self._loop.now()
        if self._written_at is not None and now - self._written_at < LOG_INTERVAL:
            self._unwritten += 1
            return
        self._log.write(self._event, **fields, others_since_last_line=self._unwritten)
        self._written_at, self._unwritten = now, 0
