"""Fleet membership in the store.

Each running instance registers an entry that is bound to a lease, and renews the lease.
"""

from collections.abc import Mapping
from datetime import timedelta

import msgspec
import orjson

from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.exchange.usage_codec import Name
from bulrushloom.proxy.store import (
    Lease,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreFailureKind,
)
from bulrushloom.proxy.telemetry import EventLog
from bulrushloom.runtime.loop import Loop, Steps
from bulrushloom.runtime.streams import split_address

MEMBER_PREFIX = "members/"
# A killed instance stays listed for this long; meanwhile its part of the account limits
# is reserved.
MEMBER_TTL = timedelta(seconds=6)
RENEW_INTERVAL = timedelta(seconds=2)
# Calls to an unavailable store are billed too; the lease outlasts three of these
# intervals.
RETRY_INTERVAL = timedelta(milliseconds=1200)
_decoder = msgspec.json.Decoder(dict[str, Name])


def decode_members(records: Mapping[str, Record]) -> dict[str, Member]:
    """Return the members by name; the latest entry of a name wins.

    Malformed entries are ignored.
    """
    latest_by_name: dict[str, tuple[int, Member]] = {}
    for record in records.values():
        try:
            member = Member(**_decoder.decode(record.value))
            split_address(member.address)
            split_address(member.document_address)
        except (TypeError, ValueError):
            continue
        latest = latest_by_name.get(member.name)
        if latest is None or latest[0] < record.revision:
            latest_by_name[member.name] = (record.revision, member)
    return {name: member for name, (_, member) in latest_by_name.items()}


class Registration:
    """Entry of this instance in the store, kept while the instance runs."""

    def __init__(self, loop: Loop, store: ProxyStore, log: EventLog, member: Member):
        self._loop = loop
        self._store = store
        self._log = log
        self._member = member
        self._lease: Lease | None = None
        self._is_stopped = False

    def run(self) -> Steps:
        """Register, renew the lease, and register again once the lease has expired."""
        while not self._is_stopped:
            if self._lease is None:
                yield from self._register()
            else:
                yield from self._renew(self._lease)
            interval = RENEW_INTERVAL if self._lease is not None else RETRY_INTERVAL
            yield self._loop.sleep(interval)

    def _register(self) -> Steps:
        lease = yield self._store.create_lease(MEMBER_TTL)
        if isinstance(lease, StoreFailure):
            self._log.write("registration_failed", reason=lease.reason)
            return
        member = self._member
        key = f"{MEMBER_PREFIX}{member.name}/{member.incarnation}"
        value = orjson.dumps(member._asdict())
        put = Put(key, value, lease.lease_id)
        written = yield self._store.commit((), (put,), lease.era)
        if isinstance(written, StoreFailure):
            self._log.write("registration_failed", reason=written.reason)
            return
        self._lease = lease
        self._log.write("registered", lease=lease.lease_id, revision=written)

    def _renew(self, lease: Lease) -> Steps:
        renewed = yield self._store.renew_lease(lease.lease_id, lease.era)
        if not isinstance(renewed, StoreFailure):
            return
        if renewed.kind is StoreFailureKind.NO_LEASE:
            self._log.write("registration_lapsed", lease=lease.lease_id)
            self._lease = None
        else:
            self._log.write("registration_not_renewed", reason=renewed.reason)

    def deregister(self) -> Steps:
        """Remove the entry because the instance is about to stop."""
        self._is_stopped = True
        if self._lease is not None:
            yield self._store.revoke_lease(self._lease.lease_id, self._lease.era)
