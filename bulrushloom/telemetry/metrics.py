"""OpenTelemetry metrics of one instance, read as JSON on the peer address."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

# Upper bounds in milliseconds; 12 s is the objective of the failover gap.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 12_000)
_MILLISECOND = timedelta(milliseconds=1)

ValueByLabel = Callable[[], Mapping[str, float]]


def _nothing() -> Mapping[str, float]:
    return {}


class Metrics:
    """Own the instruments; every method is callable from any thread.

    ``queue_lengths`` maps target to waiting statements, ``peer_bytes`` and
    ``control_cpu`` map a label to bytes and seconds since the start; they are called
    when the metrics are read. ``docs/operators/metrics.md`` lists the instruments.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        queue_lengths: ValueByLabel = _nothing,
        peer_bytes: ValueByLabel = _nothing,
        control_cpu: ValueByLabel = _nothing,
    ):
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.name": instance, "domain": domain}),
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("bulrushloom")
        # Counting a statement here and reading the counts when asked costs a tenth of
        # an SDK call for each statement.
        self._lock = threading.Lock()
        self._statements: Counter[tuple[str, ...]] = Counter()
        self._reads: Counter[tuple[str, ...]] = Counter()
        meter.create_observable_counter(
            "statements",
            [self._observer(self._statements, ("account", "role", "outcome"))],
            "{statement}",
        )
        meter.create_observable_counter(
            "reads", [self._observer(self._reads, ("account", "role"))], "{statement}"
        )
        self._refusals = meter.create_counter("refusals", "{request}")
        self._latency = meter.create_histogram(
            "statement_latency",
            "ms",
            explicit_bucket_boundaries_advisory=list(LATENCY_BOUNDS_MS),
        )
        self._failovers = meter.create_counter("failovers", "{failover}")
        self._grants = meter.create_counter("share_grants", "{grant}")
        self._tokens = meter.create_counter("share_tokens", "{token}")
        self._store_calls = meter.create_counter("store_calls", "{call}")
        meter.create_observable_gauge(
            "queue_length",
            [_callback("target", queue_lengths)],
            "{statement}",
        )
        meter.create_observable_counter(
            "peer_sent", [_callback("kind", peer_bytes)], "By"
        )
        meter.create_observable_counter(
            "control_cpu", [_callback("task", control_cpu)], "s"
        )

    def statement(
        self, account: str, role: str, outcome: str, latency: timedelta
    ) -> None:
        """Count a statement that ended; ``outcome`` is ``ok`` or an error kind."""
        with self._lock:
            self._statements[account, role, outcome] += 1
        milliseconds = latency / _MILLISECOND
        self._latency.record(milliseconds, {"role": role, "outcome": outcome})

    def refusal(self, account: str, kind: str) -> None:
        """Count a refused request."""
        self._refusals.add(1, {"account": account, "kind": kind})

    def read(self, account: str, role: str) -> None:
        """Count a served read by the role of the server that ran it."""
        with self._lock:
            self._reads[account, role] += 1

    def failover(self, group: str, outcome: str) -> None:
        """Count an ended attempt to promote: ``promoted``, ``lost`` or ``failed``."""
        self._failovers.add(1, {"group": group, "outcome": outcome})

    def share_grant(self, account: str, tokens: int) -> None:
        """Count a grant that the own share holder gave."""
        self._grants.add(1, {"account": account})
        self._tokens.add(tokens, {"account": account})

    def store_call(self, operation: str, outcome: str) -> None:
        """Count a store call: ``read``, ``swap`` or ``watch`` and how it ended."""
        self._store_calls.add(1, {"operation": operation, "outcome": outcome})

    def metrics_json(self) -> bytes:
        """Return all values as OpenTelemetry JSON."""
        data = self._reader.get_metrics_data()
        return b"{}" if data is None else data.to_json(indent=None).encode()

    def _observer(
        self, counts: Counter[tuple[str, ...]], names: tuple[str, ...]
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            with self._lock:
                items = list(counts.items())
            return [
                Observation(count, dict(zip(names, labels, strict=True)))
                for labels, count in items
            ]

        return observe

    def close(self) -> None:
        """Shut the meter provider down."""
        self._provider.shutdown()


def _callback(
    label: str, values: ValueByLabel
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        items: dict[str, Any] = dict(values())
        return [Observation(value, {label: name}) for name, value in items.items()]

    return observe
