"""Fault injection that is controlled over HTTP."""

import random
import threading
import time
from collections import Counter
from typing import Annotated, Any

from annotated_types import Ge, Le
from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from standins.utils import DropConnection, parse_body

Count = Annotated[int, Ge(0), Le(10**9)]
Milliseconds = Annotated[int, Ge(0), Le(3_600_000)]
Probability = Annotated[float, Ge(0.0), Le(1.0)]


@with_config(ConfigDict(extra="forbid"))
class CommonFaults(TypedDict, total=False):
    """Fault settings that every stand-in supports.

    ``outage`` closes connections without an answer. ``slow_ms`` delays each request.
    ``lose_answers`` is the number of next writes that take effect but are not
    answered; ``lose_rate`` is the probability of the same, drawn from a generator
    seeded with ``lose_seed``. ``cut`` lists the names or domains of senders whose
    connections are closed after ``cut_hold_ms``.
    """

    outage: bool
    slow_ms: Milliseconds
    lose_answers: Count
    lose_rate: Probability
    lose_seed: Count
    cut: list[str]
    cut_hold_ms: Milliseconds


COMMON_DEFAULTS: dict[str, Any] = {
    "outage": False,
    "slow_ms": 0,
    "lose_answers": 0,
    "lose_rate": 0.0,
    "lose_seed": 0,
    "cut": [],
    "cut_hold_ms": 0,
}


class Faults:
    """The fault settings and the event counters of one stand-in; thread-safe."""

    def __init__(self, adapter: TypeAdapter[Any], defaults: dict[str, Any]):
        self._adapter = adapter
        self._setting_by_name = COMMON_DEFAULTS | defaults
        self._lock = threading.Lock()
        self._count_by_kind: Counter[str] = Counter()
        self._random = random.Random(0)

    def __getitem__(self, name: str) -> Any:
        return self._setting_by_name[name]

    def count(self, kind: str) -> None:
        """Increment the counter of ``kind``."""
        with self._lock:
            self._count_by_kind[kind] += 1

    def update(self, body: bytes) -> None:
        """Change the settings that the JSON ``body`` contains; keep the others."""
        changes = parse_body(self._adapter, body)
        with self._lock:
            self._setting_by_name = self._setting_by_name | changes
            if "lose_seed" in changes:
                self._random.seed(changes["lose_seed"])

    def as_json(self) -> dict[str, Any]:
        """Return the settings and the counters as JSON values."""
        with self._lock:
            return {
                "faults": dict(self._setting_by_name),
                "calls": dict(self._count_by_kind),
            }

    def apply_before_request(self, sender: str) -> None:
        """Apply ``cut``, ``outage`` and ``slow_ms`` to a request of ``sender``."""
        self.drop_unreachable(sender)
        if self["slow_ms"]:
            time.sleep(self["slow_ms"] / 1000)

    def drop_unreachable(self, sender: str) -> None:
        """Raise ``DropConnection`` in an outage or if ``sender`` is cut off."""
        cut = self["cut"]
        if cut and (sender in cut or any(part in cut for part in sender.split("/"))):
            self.count("cut")
            time.sleep(self["cut_hold_ms"] / 1000)
            raise DropConnection("sender is cut off")
        if self["outage"]:
            self.count("outage")
            raise DropConnection("outage")

    def maybe_lose_answer(self, counter: str = "lose_answers") -> None:
        """Raise ``DropConnection`` if the answer of this write must be lost.

        ``counter`` is the name of the setting with the number of answers to lose.
        """
        with self._lock:
            lost = self._setting_by_name[counter] > 0
            if lost:
                self._setting_by_name[counter] -= 1
            elif self._setting_by_name["lose_rate"]:
                lost = self._random.random() < self._setting_by_name["lose_rate"]
            if lost:
                self._count_by_kind["lost_answers"] += 1
        if lost:
            raise DropConnection("answer lost")
