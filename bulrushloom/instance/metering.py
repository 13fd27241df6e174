"""Endpoint for metrics and error budget counts on the peer address.

The burn counters count, for each account, all events and those that used up a part of
an error budget.
"""

from collections.abc import Callable
from concurrent.futures import Future
from datetime import timedelta
from typing import Any, NamedTuple

import orjson

from bulrushloom.core.clock import Clock
from bulrushloom.instance.node import Node
from bulrushloom.telemetry.burn import BurnCounters
from bulrushloom.telemetry.metrics import Metrics

SAMPLE_TIMEOUT = timedelta(seconds=2)


class MetricsSample(NamedTuple):
    """Values that only the coordinator task may read.

    ``cpu_seconds`` is the CPU time of that task.
    """

    burn: BurnCounters
    queue_lengths: dict[str, float]
    cpu_seconds: float


class MetricsSampleRequest(NamedTuple):
    """Message to the coordinator: return a sample."""

    future: "Future[MetricsSample]"


class MetricsEndpoint:
    """Serve ``GET /metrics``: OpenTelemetry JSON and the burn counts."""

    def __init__(
        self,
        instance: str,
        domain: str,
        clock: Clock,
        post: Callable[[Any], None],
        sent_bytes: Callable[[], int],
    ):
        self._clock = clock
        self._post = post
        self._sample = MetricsSample(BurnCounters(clock.monotonic()), {}, 0.0)
        self.metrics = Metrics(
            instance,
            domain,
            lambda: self._sample.queue_lengths,
            lambda: {"batch": sent_bytes()},
            lambda: {"coordinator": self._sample.cpu_seconds},
        )

    def __call__(self) -> bytes:
        """Return the body; raise ``TimeoutError`` if the coordinator is stuck."""
        future: Future[MetricsSample] = Future()
        self._post(MetricsSampleRequest(future))
        self._sample = sample = future.result(SAMPLE_TIMEOUT.total_seconds())
        counts = sample.burn.counts(self._clock.monotonic())
        data = orjson.loads(self.metrics.metrics_json())
        return orjson.dumps({**data, "burn": [list(count) for count in counts]})


def queue_lengths(node: Node) -> dict[str, float]:
    """Return the number of waiting statements of each target owned by this node."""
    return {
        target: owner.queue_length
        for group in node.groups.group_by_name.values()
        for target, owner in group.owner_by_target.items()
    }
