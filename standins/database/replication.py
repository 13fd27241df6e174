"""Log shipping: the primary's side and the two threads of a replica."""

import threading
import time
from contextlib import suppress
from datetime import timedelta
from http import HTTPStatus
from typing import Any

from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.core.exceptions import NoAnswer, NotSent
from bulrushloom.core.http import JsonClient, JsonResponse
from bulrushloom.databases.base import Role
from standins.database.log import LogEntry, entry_from_json, entry_to_json
from standins.database.state import FreshnessMark, ServerState
from standins.faults import Faults

# An idle primary answers a pull after this time, which bounds the data age that its
# replicas report.
POLL_INTERVAL_S = 0.1
PULL_TIMEOUT = timedelta(seconds=1)
# Delay of the next pull after the primary refused a pull or did not answer it.
RETRY_DELAY_S = 0.05
BATCH_ENTRIES = 500


def ship_entries(
    state: ServerState, term: int, previous: LogPosition, ship_lag: float
) -> dict[str, Any]:
    """Answer a pull: wait for entries after ``previous`` and return them.

    An entry is shipped ``ship_lag`` seconds after its receipt. From ``waited_ms`` the
    replica infers when ``end`` was read. If ``previous`` is not in the log, the answer
    has only a ``common_offset``, after which the replica must discard its entries.
    """
    started = time.monotonic()
    with state.changed:
        state.require_primary(term)
        if not state.log.contains(previous):
            return {"common_offset": state.log.common_offset(previous)}
        due: list[LogEntry] = []
        while not state.closed:
            state.require_primary(term)
            entries = state.log.entries_after(previous.offset, BATCH_ENTRIES)
            now = time.monotonic()
            due = [entry for entry in entries if entry.received_at <= now - ship_lag]
            remaining = started + POLL_INTERVAL_S - now
            if due or remaining <= 0:
                break
            wait = entries[0].received_at + ship_lag - now if entries else remaining
            state.changed.wait(max(0.0, min(wait, remaining)))
        return {
            "entries": [entry_to_json(entry) for entry in due],
            "end": list(state.log.position),
            "waited_ms": int((time.monotonic() - started) * 1000),
        }


class Replication:
    """The two threads of a server that receive and apply entries as a replica."""

    def __init__(self, state: ServerState, faults: Faults):
        self._state = state
        self._faults = faults
        self._origin = f"{state.settings.name}/{state.settings.domain}"
        self._client: JsonClient | None = None
        self._threads = [
            threading.Thread(target=self._run, args=(step,), daemon=True)
            for step in (self._receive, self._apply)
        ]

    def start(self) -> None:
        """Start both threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Wait for the threads to end; ``state.closed`` must be set before."""
        for thread in self._threads:
            thread.join(timeout=2)

    def _run(self, step: Any) -> None:
        while not self._state.closed:
            step()

    def _receive(self) -> None:
        state = self._state
        with state.changed:
            term, primary = state.term, state.primary_address
            previous = state.log.position
            if state.role is Role.PRIMARY or (term and not primary):
                state.changed.wait(1.0)
                return
        if self._faults["pause_replication"]:
            time.sleep(RETRY_DELAY_S)
        elif not term:
            self._discover()
        else:
            self._pull(term, primary, previous)

    def _discover(self) -> None:
        """Follow the peer that is the primary.

        Only a newly started server, which has no term yet, discovers its primary.
        """
        for address in self._state.settings.address_by_peer.values():
            answer = self._call(address, "/status", {})
            if answer is None or answer.value.get("role") != Role.PRIMARY:
                continue
            with self._state.changed:
                if not self._state.term:
                    self._state.follow(answer.value["term"], address)
            return
        time.sleep(RETRY_DELAY_S)

    def _pull(self, term: int, primary: str, previous: LogPosition) -> None:
        sent_at = time.monotonic()
        body = {
            "term": term,
            "previous": list(previous),
            "ship_lag_ms": self._faults["ship_lag_ms"],
        }
        answer = self._call(primary, "/replicate", body)
        if answer is None:
            time.sleep(RETRY_DELAY_S)
            return
        with self._state.changed:
            state = self._state
            if (term, primary) == (state.term, state.primary_address):
                self.apply_pull_answer(answer.value, sent_at)

    def apply_pull_answer(self, answer: dict[str, Any], sent_at: float) -> None:
        """Apply the primary's answer to a pull that was sent at ``sent_at``."""
        state = self._state
        now = time.monotonic()
        state.last_contact_at = now
        if "common_offset" in answer:
            state.truncate(answer["common_offset"])
            return
        for value in answer["entries"]:
            state.log.append(entry_from_json(value, now))
        # The primary read ``end`` no earlier than this time.
        read_at = sent_at + answer["waited_ms"] / 1000
        end = LogPosition(*answer["end"])
        state.freshness_marks.append(FreshnessMark(end, read_at))
        if not self._faults["lag_ms"]:
            state.apply_entries(lambda entry: True)
        state.changed.notify_all()

    def _apply(self) -> None:
        state = self._state
        with state.changed:
            lag = self._faults["lag_ms"] / 1000
            now = time.monotonic()
            state.apply_entries(lambda entry: entry.received_at + lag <= now)
            idle = self._faults["transaction_idle_ms"] / 1000
            for session in state.sessions.idle_in_transaction(now - idle):
                state.roll_back(session)
            entry = state.log.entry(state.applied.offset + 1)
            wait = entry.received_at + lag - now if entry else POLL_INTERVAL_S
            state.changed.wait(max(0.0, min(wait, POLL_INTERVAL_S)))

    def _call(self, address: str, path: str, body: Any) -> JsonResponse | None:
        if self._client is None or self._client.address != address:
            if self._client is not None:
                self._client.close()
            self._client = JsonClient(address, self._origin, sockets=1)
        with suppress(NotSent, NoAnswer):
            answer = self._client.call("POST", path, PULL_TIMEOUT, body)
            if answer.status == HTTPStatus.OK:
                return answer
        return None
