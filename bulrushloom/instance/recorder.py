"""Statistics of the entry instance's requests, for metrics and the error budgets."""

from datetime import timedelta
from typing import Any, NamedTuple

from bulrushloom.coordination.base import (
    KeySwapped,
    KeyValue,
    LogEntry,
    StoreFailed,
)
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.instance.base import Complete, End, EntryRequest, Outcome, Statement
from bulrushloom.instance.failover_gaps import FailoverGapMeter
from bulrushloom.telemetry.burn import BurnCounters, Measure
from bulrushloom.telemetry.metrics import Metrics

# Refusals caused by the request itself, which occur in a healthy system as well.
CALLER_FAULTS = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.UNAUTHENTICATED,
        ErrorKind.FORBIDDEN,
        ErrorKind.NOT_FOUND,
        ErrorKind.METHOD_NOT_ALLOWED,
        ErrorKind.UNKNOWN_DATABASE,
        ErrorKind.INVALID_SESSION,
        ErrorKind.STATEMENT_NOT_ALLOWED,
        ErrorKind.SQL_ERROR,
        ErrorKind.TRANSACTION_UNKNOWN,
        ErrorKind.TRANSACTION_BUSY,
        ErrorKind.IDEMPOTENCY_CONFLICT,
    )
)

# Failures after which the request may have run; they do not count as refusals.
UNKNOWN_OUTCOMES = frozenset((ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL))


class _OpenRequest(NamedTuple):
    """Attributes of an open request that are needed when it ends."""

    account: str
    group: str
    is_read: bool
    is_write: bool
    started_at: timedelta


class RequestRecorder:
    """Record each request from its submission to its end.

    Only one task may use a recorder. ``now`` is a monotonic clock reading.
    """

    def __init__(self, metrics: Metrics, now: timedelta):
        self.burn = BurnCounters(now)
        self._metrics = metrics
        self._gap_meter = FailoverGapMeter()
        self._open_by_id: dict[str, _OpenRequest] = {}

    def request_started(
        self, request_id: str, account: str, request: EntryRequest, now: timedelta
    ) -> None:
        """Record the submission of a request."""
        is_read, is_write = _classify_access(request)
        self._open_by_id[request_id] = _OpenRequest(
            account, request.group, is_read, is_write, now
        )
        if is_write:
            self._gap_meter.write_started(account, request.group, now)

    def request_ended(self, effect: Complete, now: timedelta) -> None:
        """Record the end of a request."""
        opened = self._open_by_id.pop(effect.request_id, None)
        if opened is None:
            return
        latency, result = now - opened.started_at, effect.result
        if isinstance(result, Refusal):
            self._metrics.record_statement(
                opened.account, "", result.kind.value, latency
            )
            self._record_refused(opened, effect, result.kind, now)
        else:
            self._metrics.record_statement(opened.account, result.role, "ok", latency)
            self._record_served(opened, result, now)

    def observe_event(self, entry: LogEntry) -> None:
        """Count the promotions and failed rounds that the group monitor logs."""
        if entry.event == "primary_adopted" and entry.fields.get("own_round"):
            self._metrics.record_failover(entry.fields["group"], "promoted")
        elif entry.event == "round_failed":
            self._metrics.record_failover(entry.fields["group"], "failed")

    def observe_store(self, message: Any) -> None:
        """Count the result or the failure of a store call."""
        if isinstance(message, KeyValue):
            self._metrics.record_store_call("read", "ok")
        elif isinstance(message, KeySwapped):
            self._metrics.record_store_call("swap", "ok" if message.swapped else "lost")
        elif isinstance(message, StoreFailed):
            self._metrics.record_store_call("any", "failed")

    def _record_served(
        self, opened: _OpenRequest, outcome: Outcome, now: timedelta
    ) -> None:
        account = opened.account
        self.burn.record(account, Measure.SERVED_SHARE, 1, 0, now)
        self.burn.record(account, Measure.WRONGFUL_REFUSALS, 1, 0, now)
        if opened.is_read:
            self._metrics.record_read(account, outcome.role)
            at_primary = int(outcome.role != "replica")
            self.burn.record(account, Measure.REPLICA_READS, 1, at_primary, now)
        if opened.is_write:
            position = outcome.write_position
            term = 0 if position is None else position.term
            gap = self._gap_meter.write_acknowledged(account, opened.group, term, now)
            self.burn.record_gap(account, gap, now)

    def _record_refused(
        self, opened: _OpenRequest, effect: Complete, kind: ErrorKind, now: timedelta
    ) -> None:
        if opened.is_write:
            self._gap_meter.write_failed(opened.account, opened.group, now)
        if effect.over_rate or kind in CALLER_FAULTS:
            return
        refused = int(kind not in UNKNOWN_OUTCOMES)
        account = opened.account
        self.burn.record(account, Measure.SERVED_SHARE, 1, 1, now)
        self.burn.record(account, Measure.WRONGFUL_REFUSALS, 1, refused, now)


def _classify_access(request: EntryRequest) -> tuple[bool, bool]:
    """Return whether a request counts as a read, and whether it counts as a write.

    Statements in a transaction always go to the primary, so they count as neither;
    the commit counts as the write.
    """
    if isinstance(request, Statement):
        alone = request.transaction is None
        return alone and request.read_only, alone and not request.read_only
    return False, isinstance(request, End) and request.commit
