"""The list of running instances: own entry with a lease, and the others' entries."""

from collections.abc import Mapping
from datetime import timedelta

import orjson

from bulrushloom.proxy.gossip import Member
from bulrushloom.proxy.store import (
    Lease,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreProblem,
)
from bulrushloom.proxy.telemetry import EventLog
from bulrushloom.runtime.loop import Loop, Steps

MEMBER_PREFIX = "members/"
# A killed instance is listed for this long; its part of the limits stays reserved.
MEMBER_TTL = timedelta(seconds=6)
RENEW_INTERVAL = timedelta(seconds=2)
# Calls to a store that is away are paid for, and the lease lasts three of these.
RETRY_INTERVAL = timedelta(milliseconds=1200)


def decode_members(records: Mapping[str, Record]) -> dict[str, Member]:
    """Return the members by name; the newest entry of a name counts."""
    newest: dict[str, tuple[int, Member]] = {}
    for record in records.values():
        try:
            fields = orjson.loads(record.value)
            member = Member(
                fields["name"],
                fields["incarnation"],
                fields["address"],
                fields["domain"],
                fields["document_address"],
            )
        except (KeyError, TypeError, ValueError):
            continue
        known = newest.get(member.name)
        if known is None or known[0] < record.revision:
            newest[member.name] = (record.revision, member)
    return {name: member for name, (_, member) in newest.items()}


class Registration:
    """Keep the entry of this instance in the store as long as it runs."""

    def __init__(self, loop: Loop, store: ProxyStore, log: EventLog, member: Member):
        self._loop = loop
        self._store = store
        self._log = log
        self._member = member
        self._lease: Lease | None = None
        self._is_stopped = False

    def run(self) -> Steps:
        """Register, renew, and register again when the lease has ended."""
        while not self._is_stopped:
            if self._lease is None:
                yield from self._register()
            else:
                yield from self._renew(self._lease)
            pause = RENEW_INTERVAL if self._lease is not None else RETRY_INTERVAL
            yield self._loop.sleep(pause)

    def _register(self) -> Steps:
        lease = yield self._store.create_lease(MEMBER_TTL)
        if isinstance(lease, StoreFailure):
            self._log.write("registration_failed", reason=lease.reason)
            return
        member = self._member
        key = f"{MEMBER_PREFIX}{member.name}/{member.incarnation}"
        value = orjson.dumps(member._asdict())
        written = yield self._store.commit((), (Put(key, value, lease.lease_id),))
        if isinstance(written, StoreFailure):
            self._log.write("registration_failed", reason=written.reason)
            return
        self._lease = lease
        self._log.write("registered", lease=lease.lease_id, revision=written)

    def _renew(self, lease: Lease) -> Steps:
        renewed = yield self._store.renew_lease(lease.lease_id)
        if not isinstance(renewed, StoreFailure):
            return
        if renewed.problem is StoreProblem.NO_LEASE:
            self._log.write("registration_lapsed", lease=lease.lease_id)
            self._lease = None
        else:
            self._log.write("registration_not_renewed", reason=renewed.reason)

    def end(self) -> Steps:
        """Remove the entry; the instance is about to stop."""
        self._is_stopped = True
        if self._lease is not None:
            yield self._store.revoke_lease(self._lease.lease_id)
