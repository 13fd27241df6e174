"""The directory of instances with a configurable lag, and its HTTP interface."""

import threading
import time
from typing import Annotated, Any, NamedTuple

from annotated_types import MaxLen, MinLen
from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from standins.base import Answer, Request, Standin, ok
from standins.faults import CommonFaults, Faults, Milliseconds
from standins.utils import parse_body

# Ended listings are kept for the largest lag that can be configured.
LISTING_RETENTION_S = 3600

Text = Annotated[str, MinLen(1), MaxLen(200)]


@with_config(ConfigDict(extra="forbid"))
class DirectoryFaults(CommonFaults, total=False):
    """Fault settings of the directory.

    Lists show the entries as of ``lag_ms`` ago. An entry that is not renewed expires
    after ``ttl_ms``.
    """

    lag_ms: Milliseconds
    ttl_ms: Milliseconds


@with_config(ConfigDict(extra="forbid"))
class EntryBody(TypedDict):
    """Request body of ``/register``: the entry of an instance."""

    name: Text
    domain: Text
    address: Text
    incarnation: Text
    leaving: bool


@with_config(ConfigDict(extra="forbid"))
class DeregisterBody(TypedDict):
    """Request body of ``/deregister``: the entry to remove."""

    name: Text
    incarnation: Text


_FAULTS = TypeAdapter(DirectoryFaults)
_ENTRY = TypeAdapter(EntryBody)
_DEREGISTER = TypeAdapter(DeregisterBody)


class Listing(NamedTuple):
    """An entry and the period for which it is listed, in monotonic seconds."""

    entry: dict[str, Any]
    since: float
    until: float


class InstanceList:
    """The entries of all instances with their history; thread-safe."""

    def __init__(self) -> None:
        self._listing_by_name: dict[str, Listing] = {}
        self._ended: list[Listing] = []
        self._lock = threading.Lock()

    def register(self, entry: dict[str, Any], ttl: float) -> None:
        """Add or renew an entry for ``ttl`` seconds."""
        now = time.monotonic()
        with self._lock:
            old = self._listing_by_name.get(entry["name"])
            if old is not None and old.entry == entry and old.until > now:
                renewed = old._replace(until=now + ttl)
            else:
                self._end(entry["name"], now)
                renewed = Listing(entry, now, now + ttl)
            self._listing_by_name[entry["name"]] = renewed

    def deregister(self, name: str, incarnation: str) -> None:
        """Remove an entry unless another incarnation has replaced it."""
        with self._lock:
            listing = self._listing_by_name.get(name)
            if listing is not None and listing.entry["incarnation"] == incarnation:
                self._end(name, time.monotonic())

    def entries_at(self, lag: float) -> list[dict[str, Any]]:
        """Return the entries that were listed ``lag`` seconds ago, sorted by name."""
        then = time.monotonic() - lag
        with self._lock:
            listings = [*self._ended, *self._listing_by_name.values()]
        entries = [row.entry for row in listings if row.since <= then < row.until]
        return sorted(entries, key=lambda entry: entry["name"])

    def _end(self, name: str, now: float) -> None:
        listing = self._listing_by_name.pop(name, None)
        self._ended = [
            row for row in self._ended if row.until > now - LISTING_RETENTION_S
        ]
        if listing is not None:
            self._ended.append(listing._replace(until=min(listing.until, now)))


class DirectoryStandin(Standin):
    """HTTP interface to list, register and deregister instances."""

    def __init__(self) -> None:
        super().__init__(Faults(_FAULTS, {"lag_ms": 0, "ttl_ms": 10_000}))
        self.instances = InstanceList()
        self.handler_by_route = {
            ("GET", "/instances"): self._list,
            ("POST", "/register"): self._register,
            ("POST", "/deregister"): self._deregister,
        }

    def _list(self, request: Request) -> Answer:
        self.faults.count("list")
        return ok(
            {"instances": self.instances.entries_at(self.faults["lag_ms"] / 1000)}
        )

    def _register(self, request: Request) -> Answer:
        entry = parse_body(_ENTRY, request.body)
        self.faults.count("register")
        self.instances.register(entry, self.faults["ttl_ms"] / 1000)
        self.faults.maybe_lose_answer()
        return ok({})

    def _deregister(self, request: Request) -> Answer:
        body = parse_body(_DEREGISTER, request.body)
        self.faults.count("deregister")
        self.instances.deregister(body["name"], body["incarnation"])
        self.faults.maybe_lose_answer()
        return ok({})
