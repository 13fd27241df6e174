"""Fault injection into the peer transport, for failure tests."""

import random
import threading
from datetime import timedelta

from pydantic import ConfigDict, TypeAdapter, ValidationError, with_config
from typing_extensions import NotRequired, TypedDict

from bulrushloom.core.sentinels import Missing

MAX_DELAY_MS = 60_000


@with_config(ConfigDict(extra="forbid", strict=True))
class FaultOrder(TypedDict):
    """Body of ``POST /faults``; a fault whose field is absent is switched off."""

    cut: NotRequired[list[str]]
    delay_ms: NotRequired[int]
    drop_rate: NotRequired[float]
    seed: NotRequired[int]


_FAULT_ORDER = TypeAdapter(FaultOrder)


class Faults:
    """The currently injected faults; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._cut_names: frozenset[str] = frozenset()
        self._drop_rate = 0.0
        self._random = random.Random(0)
        self.delay = timedelta()

    def apply(self, body: bytes) -> Missing | None:
        """Replace all faults by those of a JSON body, or return why it is invalid."""
        try:
            order = _FAULT_ORDER.validate_json(body)
        except ValidationError as error:
            return Missing(error.errors(include_url=False)[0]["msg"])
        delay_ms = order.get("delay_ms", 0)
        drop_rate = order.get("drop_rate", 0.0)
        if not 0 <= delay_ms <= MAX_DELAY_MS or not 0 <= drop_rate <= 1:
            return Missing("delay_ms or drop_rate is out of range")
        with self._lock:
            self._cut_names = frozenset(order.get("cut", ()))
            self._drop_rate = drop_rate
            self._random = random.Random(order.get("seed", 0))
            self.delay = timedelta(milliseconds=delay_ms)
        return None

    @property
    def is_active(self) -> bool:
        """Return whether batches may be cut off, delayed or dropped."""
        return bool(self._cut_names or self._drop_rate or self.delay)

    def is_cut(self, name: str, domain: str) -> bool:
        """Return whether the peer is cut off, by its name or its domain."""
        return bool(self._cut_names) and (
            name in self._cut_names or domain in self._cut_names
        )

    def should_drop(self) -> bool:
        """Decide randomly whether to drop the next batch."""
        if not self._drop_rate:
            return False
        with self._lock:
            return self._random.random() < self._drop_rate
