"""HTTP interface of the configuration store."""

import hashlib
import threading
import time
from collections import deque
from http import HTTPStatus
from typing import Annotated, Any

import orjson
from annotated_types import Ge, Le, MaxLen, MinLen
from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import NotRequired, TypedDict

from standins.base import Answer, Request, Standin, ok
from standins.faults import CommonFaults, Count, Faults
from standins.store.keys import Item, KeySpace
from standins.utils import BadRequest, parse_body, query_integer

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_MS = 60_000
# On a busy machine, the second of two racing commands takes seconds to start.
RACE_TIMEOUT_S = 12.0
STORE_DEFAULTS = {"reads_per_s": 0, "writes_per_s": 0, "race_key": ""}

Key = Annotated[str, MinLen(1), MaxLen(500)]


@with_config(ConfigDict(extra="forbid"))
class StoreFaults(CommonFaults, total=False):
    """Fault settings of the store.

    ``reads_per_s`` and ``writes_per_s`` limit the call rate; 0 means no limit. A swap
    of ``race_key`` waits until a second swap with a different value has arrived.
    """

    reads_per_s: Count
    writes_per_s: Count
    race_key: str


@with_config(ConfigDict(extra="forbid"))
class SwapBody(TypedDict):
    """Request body of ``/swap``: a compare-and-swap."""

    key: Key
    version: Annotated[int, Ge(0)]
    value: Any
    lease: NotRequired[str]


@with_config(ConfigDict(extra="forbid"))
class GrantBody(TypedDict):
    """Request body of ``/leases``: a new lease."""

    ttl_ms: Annotated[int, Ge(1), Le(3_600_000)]


@with_config(ConfigDict(extra="forbid"))
class KeepAliveBody(TypedDict):
    """Request body of ``/leases/keep``: the lease to renew."""

    lease: str


_FAULTS = TypeAdapter(StoreFaults)
_SWAP = TypeAdapter(SwapBody)
_GRANT = TypeAdapter(GrantBody)
_KEEP_ALIVE = TypeAdapter(KeepAliveBody)


class CallRateLimiter:
    """A rate limiter with a sliding window of one second."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._lock = threading.Lock()

    def admit(self, cap: int) -> bool:
        """Return whether ``cap`` calls per second admit another call; 0 is no limit.

        Only admitted calls count.
        """
        if not cap:
            return True
        now = time.monotonic()
        with self._lock:
            while self._times and self._times[0] <= now - 1:
                self._times.popleft()
            if len(self._times) >= cap:
                return False
            self._times.append(now)
            return True


class RaceBarrier:
    """A barrier that blocks calls until two with different values have arrived."""

    def __init__(self) -> None:
        self._values: set[bytes] = set()
        self._changed = threading.Condition()

    def wait_for_other_value(self, value: bytes) -> None:
        """Block until a call with a different value arrives or the timeout ends."""
        with self._changed:
            self._values.add(value)
            self._changed.notify_all()
            self._changed.wait_for(lambda: len(self._values) > 1, RACE_TIMEOUT_S)


class StoreStandin(Standin):
    """HTTP interface for get, compare-and-swap, watch and leases."""

    def __init__(self) -> None:
        super().__init__(Faults(_FAULTS, STORE_DEFAULTS))
        self.keys = KeySpace()
        self._reads = CallRateLimiter()
        self._writes = CallRateLimiter()
        self._race_barrier = RaceBarrier()
        self.handler_by_route = {
            ("GET", "/keys"): self._get,
            ("GET", "/watch"): self._watch,
            ("POST", "/swap"): self._swap,
            ("POST", "/leases"): self._grant,
            ("POST", "/leases/keep"): self._keep_alive,
        }

    def close(self) -> None:
        """Wake all watchers."""
        self.keys.close()

    def _get(self, request: Request) -> Answer:
        key = _key(request)
        if not self._reads.admit(self.faults["reads_per_s"]):
            return self._too_many_answer()
        self.faults.count("get")
        item = self.keys.get(key)
        tag = _tag(item)
        if request.query.get("known") == tag:
            return ok({"unchanged": tag})
        return ok({**_item_json(item), "tag": tag})

    def _watch(self, request: Request) -> Answer:
        key = _key(request)
        version = query_integer(request.query, "version", 0, 10**15)
        timeout = query_integer(request.query, "timeout_ms", 0, MAX_WATCH_MS)
        if not self._reads.admit(self.faults["reads_per_s"]):
            return self._too_many_answer()
        self.faults.count("watch")
        return ok(_item_json(self.keys.watch(key, version, timeout / 1000)))

    def _swap(self, request: Request) -> Answer:
        body = parse_body(_SWAP, request.body)
        value = orjson.dumps(body["value"])
        if len(value) > MAX_VALUE_BYTES:
            raise BadRequest(f"value: larger than {MAX_VALUE_BYTES} bytes")
        if not self._writes.admit(self.faults["writes_per_s"]):
            return self._too_many_answer()
        self.faults.count("swap")
        if body["key"] == self.faults["race_key"]:
            self._race_barrier.wait_for_other_value(value)
        try:
            swapped, item = self.keys.swap(
                body["key"], body["version"], body["value"], body.get("lease", "")
            )
        except KeyError:
            return _no_lease_answer()
        self.faults.maybe_lose_answer()
        return ok({"swapped": swapped} | _item_json(item))

    def _grant(self, request: Request) -> Answer:
        body = parse_body(_GRANT, request.body)
        if not self._writes.admit(self.faults["writes_per_s"]):
            return self._too_many_answer()
        self.faults.count("grant")
        lease = self.keys.grant(body["ttl_ms"] / 1000)
        self.faults.maybe_lose_answer()
        return ok({"lease": lease})

    def _keep_alive(self, request: Request) -> Answer:
        body = parse_body(_KEEP_ALIVE, request.body)
        if not self._writes.admit(self.faults["writes_per_s"]):
            return self._too_many_answer()
        self.faults.count("keep_alive")
        if not self.keys.keep_alive(body["lease"]):
            return _no_lease_answer()
        self.faults.maybe_lose_answer()
        return ok({})

    def _too_many_answer(self) -> Answer:
        self.faults.count("too_many_requests")
        return Answer(
            HTTPStatus.TOO_MANY_REQUESTS, {"error": "too many calls per second"}
        )


def _key(request: Request) -> str:
    key = request.query.get("key", "")
    if not 1 <= len(key) <= 500:
        raise BadRequest("key: must have 1 to 500 characters")
    return key


def _tag(item: Item) -> str:
    """Return a digest of the version and the value, like an HTTP entity tag."""
    content = orjson.dumps([item.version, item.value], option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(content).hexdigest()


def _item_json(item: Item) -> dict[str, Any]:
    return {"version": item.version, "value": item.value}


def _no_lease_answer() -> Answer:
    return Answer(HTTPStatus.NOT_FOUND, {"error": "lease: expired or unknown"})
