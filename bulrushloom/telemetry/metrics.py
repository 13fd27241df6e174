"""OpenTelemetry metrics of one instance, served as JSON on the peer address."""

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

# Upper bounds of the histogram buckets; 12 s is the objective for the failover gap.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 12_000)
_ONE_MILLISECOND = timedelta(milliseconds=1)

ValueByLabelFunction = Callable[[], Mapping[str, float]]


def _no_values() -> Mapping[str, float]:
    return {}


class Metrics:
    """Instruments of one instance; thread-safe.

    ``queue_lengths`` returns the waiting statements by target. ``peer_bytes`` and
    ``control_cpu`` return bytes and seconds since the start, by label. All three are
    called when the metrics are read. ``docs/operators/metrics.md`` lists the
    instruments.
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        queue_lengths: ValueByLabelFunction = _no_values,
        peer_bytes: ValueByLabelFunction = _no_values,
        control_cpu: ValueByLabelFunction = _no_values,
    ):
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=Resource({"service.name": instance, "domain": domain}),
            exemplar_filter=AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("bulrushloom")
        # Counting statements here, and exporting the counts when metrics are read,
        # takes a tenth of the CPU time of one SDK call per statement.
        self._lock = threading.Lock()
        self._statements: Counter[tuple[str, ...]] = Counter()
        self._reads: Counter[tuple[str, ...]] = Counter()
        meter.create_observable_counter(
            "statements",
            [self._observe_counts(self._statements, ("account", "role", "outcome"))],
            "{statement}",
        )
        meter.create_observable_counter(
            "reads",
            [self._observe_counts(self._reads, ("account", "role"))],
            "{statement}",
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
            [_observe_values("target", queue_lengths)],
            "{statement}",
        )
        meter.create_observable_counter(
            "peer_sent", [_observe_values("kind", peer_bytes)], "By"
        )
        meter.create_observable_counter(
            "control_cpu", [_observe_values("task", control_cpu)], "s"
        )

    def record_statement(
        self, account: str, role: str, outcome: str, latency: timedelta
    ) -> None:
        """Count a completed statement; ``outcome`` is ``ok`` or an error kind."""
        with self._lock:
            self._statements[account, role, outcome] += 1
        milliseconds = latency / _ONE_MILLISECOND
        self._latency.record(milliseconds, {"role": role, "outcome": outcome})

    def record_refusal(self, account: str, kind: str) -> None:
        """Count a refused request."""
        self._refusals.add(1, {"account": account, "kind": kind})

    def record_read(self, account: str, role: str) -> None:
        """Count a served read; ``role`` is that of the server that ran it."""
        with self._lock:
            self._reads[account, role] += 1

    def record_failover(self, group: str, outcome: str) -> None:
        """Count a finished promotion round: ``promoted``, ``lost`` or ``failed``."""
        self._failovers.add(1, {"group": group, "outcome": outcome})

    def record_share_grant(self, account: str, tokens: int) -> None:
        """Count a grant of ``tokens`` by a share holder on this instance."""
        self._grants.add(1, {"account": account})
        self._tokens.add(tokens, {"account": account})

    def record_store_call(self, operation: str, outcome: str) -> None:
        """Count a store call; ``operation`` is ``read``, ``swap`` or ``watch``."""
        self._store_calls.add(1, {"operation": operation, "outcome": outcome})

    def metrics_json(self) -> bytes:
        """Return the values of all instruments as OpenTelemetry JSON."""
        data = self._reader.get_metrics_data()
        return b"{}" if data is None else data.to_json(indent=None).encode()

    def _observe_counts(
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


def _observe_values(
    label: str, values: ValueByLabelFunction
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_: CallbackOptions) -> Iterable[Observation]:
        items: dict[str, Any] = dict(values())
        return [Observation(value, {label: name}) for name, value in items.items()]

    return observe
