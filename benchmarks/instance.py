"""Run an instance with a baseline policy and with transport counts on SIGUSR1."""

import json
import random
import signal
from pathlib import Path
from types import FrameType
from typing import Any

import fire

from bulrushloom.conf.loader import load_settings
from bulrushloom.coordination.queueing.fifo import FifoQueue
from bulrushloom.coordination.retries.budgets import NoRetries, UnboundedRetries
from bulrushloom.coordination.routing.policies import (
    PrimaryOnlyPolicy,
    RoundRobinPolicy,
)
from bulrushloom.instance import runtime

# The class name in ``runtime`` that each variant replaces, and the replacement.
REPLACEMENT_BY_VARIANT: dict[str, tuple[str, Any]] = {
    "primary-only": ("FreshReplicaPolicy", PrimaryOnlyPolicy),
    "round-robin": ("FreshReplicaPolicy", RoundRobinPolicy),
    "fifo": ("FairQueue", FifoQueue),
    "no-retries": ("BudgetedRetries", NoRetries),
    "unbounded-retries": ("BudgetedRetries", UnboundedRetries),
}


class CountingInstance(runtime.Instance):
    """Instance that writes the counts of its peer transport to a file on SIGUSR1."""

    def start(self) -> None:
        """Install the signal handler, then start."""
        path = Path(self.settings.log_path).with_suffix(".counts")

        def write_counts(signum: int, frame: FrameType | None) -> None:
            path.write_text(json.dumps(self._transport.counts._asdict()))

        signal.signal(signal.SIGUSR1, write_counts)
        super().start()


def serve(settings: str, variant: str = "") -> None:
    """Run one instance until SIGTERM."""
    random.seed(1)
    if variant:
        name, replacement = REPLACEMENT_BY_VARIANT[variant]
        setattr(runtime, name, replacement)
    runtime.Instance = CountingInstance  # type: ignore[misc]
    runtime.run_instance(load_settings(settings))


if __name__ == "__main__":
    fire.Fire(serve)
