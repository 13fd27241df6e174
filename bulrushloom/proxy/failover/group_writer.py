"""Writing of group records by the leader, the only instance that may change them."""

from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.failover.abandonment import Abandoned, check_leadership
from bulrushloom.proxy.failover.groups import GROUP_PREFIX, GroupRecord
from bulrushloom.proxy.leadership import Leadership
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import ExpectedRevision, ProxyStore, Put, StoreFailure
from bulrushloom.runtime.loop import Steps


class GroupWriter:
    """Stores group records and announces them to the other instances."""

    def __init__(
        self,
        services: Services,
        store: ProxyStore,
        leadership: Leadership,
        fleet: Fleet,
    ):
        self._services = services
        self._store = store
        self._leadership = leadership
        self._fleet = fleet

    def write(self, group: GroupRecord) -> Steps:
        """Store and announce the record, provided that nobody else has changed it.

        ``group`` has the version and the revision of the record that it replaces.
        """
        era = self._leadership.era
        check_leadership(self._leadership)
        if group.revision_era != era:
            raise Abandoned("the group record was read before the store returned")
        key = GROUP_PREFIX + group.service
        group = group.next_record(era, self._leadership.fence)
        value = group.encode()
        written = yield self._store.commit(
            (ExpectedRevision(key, group.revision),), (Put(key, value),), era
        )
        if isinstance(written, StoreFailure):
            raise Abandoned(f"the group record was not written: {written.reason}")
        group = group._replace(revision=written)
        self._services.apply_group_records({group.service: group})
        self._fleet.announce(
            self._fleet.peers_by_name.values(),
            {group.service: (written, value.decode())},
        )
        return group
