"""Task that reads the platform's store and applies what it read.

The leader reads on behalf of all instances and relays the result by gossip. The others
read the store themselves if the relayed reads stop arriving. While the store does not
answer, the relay of each domain retries more often than its other instances.
"""

from collections.abc import Mapping
from concurrent.futures import Future
from datetime import timedelta
from typing import Any

import xxhash

from bulrushloom.core.sentinels import Missing
from bulrushloom.proxy.configuration import Configuration, Target, changes_between
from bulrushloom.proxy.exchange.directory import make_directory
from bulrushloom.proxy.exchange.fleet import Fleet
from bulrushloom.proxy.exchange.keys import (
    EXCHANGE_KEYS_KEY,
    ExchangeKeys,
    decode_keys,
    next_rotation_step,
)
from bulrushloom.proxy.exchange.messages import Member
from bulrushloom.proxy.failover.groups import (
    FENCE_KEY,
    LEADER_KEY,
    decode_group_records,
)
from bulrushloom.proxy.failover.member_records import decode_all_group_members
from bulrushloom.proxy.hot_accounts import decode_hot_accounts
from bulrushloom.proxy.leadership import (
    LEASE_TTL,
    RANK_DELAY,
    Leadership,
    decode_holder,
)
from bulrushloom.proxy.membership import decode_members
from bulrushloom.proxy.peer_copies import PeerCopies
from bulrushloom.proxy.services import Services
from bulrushloom.proxy.store import (
    ExpectedRevision,
    ProxyStore,
    Put,
    Record,
    StoreFailure,
    StoreSnapshot,
)
from bulrushloom.proxy.store_eras import is_settled, was_written_in_era
from bulrushloom.runtime.loop import Steps

# Interval of the leader's reads, with which a new configuration is applied well within
# the bound that the settings set.
READ_INTERVAL = timedelta(milliseconds=500)
# Interval of the domain relays' reads while there is no leader.
LEADERLESS_READ_INTERVAL = timedelta(milliseconds=400)
READ_CHECK_INTERVAL = timedelta(milliseconds=50)
READ_RETRY_INTERVAL = timedelta(milliseconds=150)
MAX_RETRY_DOUBLINGS = 2
# The same for instances that do not know any other one.
MAX_STARTUP_DOUBLINGS = 4
# Interval of the instances that are not domain relays.
FOLLOWER_RETRY_INTERVAL = timedelta(seconds=2)
# Instances that are not domain relays become candidates for the leader lease only after
# this time without a leader.
FOLLOWER_CANDIDACY_DELAY = timedelta(seconds=3)
# Maximum age of the last read before a domain relay reads the store itself. A relayed
# read takes the interval of the leader and two datagrams.
MAX_RELAYED_READ_AGE = timedelta(milliseconds=1300)
# The same for the other instances: a read of the relay reaches them within a round.
MAX_FOLLOWER_READ_AGE = timedelta(milliseconds=1550)
# The same for the list of targets, which is relayed less often.
MAX_DIRECTORY_AGE = timedelta(milliseconds=3500)
# The directory has the evacuated domains, so a read must also end within their bound.
EVACUATION_READ_FRACTION = 0.7
# Clients with unknown keys must not cause more frequent reads than this.
MIN_READ_INTERVAL = timedelta(milliseconds=250)
# Interval of an instance that knows no other one yet. Meanwhile, a leader is elected,
# and the instances that start at the same time register.
STARTUP_READ_INTERVAL = timedelta(milliseconds=1500)
# Instances that start at the same time try to become the leader at different moments
# within this time, so that only few of them write to the store.
STARTUP_CANDIDACY_SPREAD = timedelta(seconds=1)
_CANDIDACY_STEPS = 1000
# Interval of an instance that is listed alone, and not the leader.
LONELY_READ_INTERVAL = timedelta(milliseconds=500)
# Instances that start wait for this many times the duration of their last read before
# the next one. If hundreds start at the same moment, the store sends so much that a
# read takes seconds, and a fixed interval would keep it overloaded.
STARTUP_READ_PACE = 3
_ZERO = timedelta()


class StoreReader:
    """Reader of the store; ``connect`` must be called before ``run``."""

    def __init__(self, services: Services, store: ProxyStore, member: Member):
        self._services = services
        self._loop = services.loop
        self._log = services.log
        self._store = store
        self._member = member
        self._fleet: Fleet
        self._leadership: Leadership
        self._is_store_lost = False
        self._reading: Future[Any] | None = None
        self._writing_keys: Future[Any] | None = None
        self._read_at = _ZERO
        self._read_duration = _ZERO
        self._leaderless_since: timedelta | None = None
        self.copies = PeerCopies(
            services,
            store,
            member,
            self.request_read,
            self.apply_configuration,
            lambda directory: self._fleet.update_directory(directory),
        )

    def connect(self, fleet: Fleet, leadership: Leadership) -> None:
        """Set the components that receive the results of reads and request reads."""
        self._fleet = fleet
        self._leadership = leadership

    def run(self) -> Steps:
        """Read the store at intervals; only the leader reads while there is one."""
        failures = 0
        while True:
            self._fleet.is_leader = self._leadership.is_leader()
            if self._needs_read():
                result = yield self.request_read()
                failures = failures + 1 if isinstance(result, StoreFailure) else 0
                if failures:
                    yield self._loop.sleep(self._retry_delay(failures))
            yield self._loop.sleep(READ_CHECK_INTERVAL)

    def _needs_read(self) -> bool:
        now = self._loop.now()
        if self._leadership.is_leader():
            return now - self._read_at >= READ_INTERVAL
        if self._read_at != _ZERO and not self._fleet.has_keys:
            # The leader of a new era waits for reports, which need the keys.
            is_settled = self._services.eras.is_settled
            interval = STARTUP_READ_INTERVAL if is_settled else LEADERLESS_READ_INTERVAL
            return now - self._read_at >= self._startup_interval(interval)
        if not self._fleet.peers_by_name:
            interval = READ_INTERVAL if self._read_at == _ZERO else LONELY_READ_INTERVAL
            return now - self._read_at >= self._startup_interval(interval)
        if self._fleet.is_domain_relay() and not self._fleet.has_live_leader():
            # The leader lease may expire at any time; relays are the first candidates.
            return now - self._read_at >= LEADERLESS_READ_INTERVAL
        max_directory_age = MAX_DIRECTORY_AGE
        bound = self._services.settings.evacuation_bound
        if bound is not None:
            max_directory_age = min(max_directory_age, bound * EVACUATION_READ_FRACTION)
        is_listed = self._services.table.is_read_since(now - max_directory_age)
        is_relay = self._fleet.is_domain_relay()
        max_age = MAX_RELAYED_READ_AGE if is_relay else MAX_FOLLOWER_READ_AGE
        return self._services.store_freshness.age(now) >= max_age or not is_listed

    def _startup_interval(self, interval: timedelta) -> timedelta:
        """Return ``interval``, longer if the store answers slowly."""
        return max(interval, self._read_duration * STARTUP_READ_PACE)

    def _retry_delay(self, failures: int) -> timedelta:
        """Return the delay before another read of a store that did not answer.

        The relay of the domain retries early and tells the others about the recovery.
        Instances that know no other one may be hundreds that overload the store.
        """
        if not self._fleet.peers_by_name:
            doublings = min(failures - 1, MAX_STARTUP_DOUBLINGS)
            spread = self._services.random.uniform(0.75, 1.25)
            return READ_RETRY_INTERVAL * 2**doublings * spread
        if not self._fleet.is_domain_relay():
            return FOLLOWER_RETRY_INTERVAL
        return READ_RETRY_INTERVAL * 2 ** min(failures - 1, MAX_RETRY_DOUBLINGS)

    def request_read(self) -> "Future[Any]":
        """Return the pending read of the store; start one if there is none."""
        if self._reading is None or self._reading.done():
            self._reading = self._loop.spawn(self._read_store())
        return self._reading

    def request_read_for_client(self) -> "Future[Any] | None":
        """Return a read on behalf of a client whose key or database is not known.

        Answers clients with withdrawn keys that keep reconnecting to instances which do
        not reach the store: it is not asked again for each of them.
        """
        is_retry_due = self._loop.now() - self._read_at >= FOLLOWER_RETRY_INTERVAL
        if self._is_store_lost and not is_retry_due:
            return None
        return self.request_read()

    def request_list(self) -> None:
        """Read the store now, even if another read is pending.

        A failover waits for a list of servers and instances that is not older than it.
        """
        self._loop.spawn(self._read_now())

    def _read_store(self) -> Steps:
        delay = self._read_at + MIN_READ_INTERVAL - self._loop.now()
        if delay > _ZERO:
            yield self._loop.sleep(delay)
        return (yield from self._read_now())

    def _read_now(self) -> Steps:
        started_at = self._read_at = self._loop.now()
        result = yield self._store.snapshot(True)
        self._read_duration = self._loop.now() - started_at
        if isinstance(result, StoreFailure):
            self._record_read_result(result)
        else:
            self._record_read_result(None)
            self._apply_snapshot(result)
        return result

    def _is_candidate(self, snapshot: StoreSnapshot) -> bool:
        """Return whether there is no leader and this instance is a candidate."""
        if LEADER_KEY in snapshot.record_by_key:
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = snapshot.requested_at
        waited = snapshot.requested_at - self._leaderless_since
        eras = self._services.eras
        if not eras.is_settled and self._loop.now() < eras.entered_at + LEASE_TTL:
            # The leader of the earlier era may still believe in its lease. Meanwhile,
            # instances write back keys of the exchange that the copy lacks.
            return False
        return self._fleet.is_domain_relay() or waited >= FOLLOWER_CANDIDACY_DELAY

    def _candidacy_delay(self) -> timedelta:
        """Return how long this instance waits for other candidates for the lease."""
        if not self._fleet.peers_by_name:
            # Instances that start at the same time do not know each other yet.
            digest = xxhash.xxh32_intdigest(self._member.name.encode())
            step = digest % _CANDIDACY_STEPS
            return STARTUP_CANDIDACY_SPREAD * step / _CANDIDACY_STEPS
        domains = {m.domain for m in self._fleet.peers_by_name.values()}
        ordered = sorted(domains | {self._member.domain})
        relays_ahead = 0 if self._fleet.is_domain_relay() else len(ordered)
        return RANK_DELAY * (ordered.index(self._member.domain) + relays_ahead)

    def apply_configuration(self, configuration: Configuration, source: str) -> None:
        """Let a configuration from ``source`` be in force unless it is older."""
        services = self._services
        if configuration.version <= services.configuration.version:
            return
        previous, services.configuration = services.configuration, configuration
        self._log.write(
            "configuration_in_force",
            version=configuration.version,
            revision=configuration.revision,
            routes=len(configuration.route_by_database),
            accounts=len(configuration.account_by_name),
            source=source,
            **changes_between(previous, configuration)._asdict(),
        )

    def _record_read_result(self, failure: StoreFailure | None) -> None:
        self._services.metrics.count(
            "store_reads", failure.kind.value if failure else "ok"
        )
        if failure is not None and not self._is_store_lost:
            self._is_store_lost = True
            self._log.write("store_lost", reason=failure.reason)
        elif failure is None and self._is_store_lost:
            self._is_store_lost = False
            self._log.write("store_regained")

    def _without_unused_cold_times(
        self, target_by_id: Mapping[str, Target]
    ) -> dict[str, Target]:
        """Return the targets, cold only where the service has a limit for that.

        Without a limit, the end of the cold time needs no copies of the directory.
        """
        return {
            target_id: target
            if self._services.limits_cold_requests(target)
            else target._replace(cold_left=timedelta())
            for target_id, target in target_by_id.items()
        }

    def _apply_snapshot(self, snapshot: StoreSnapshot) -> None:
        services, records = self._services, snapshot.record_by_key
        if snapshot.era < services.eras.era:
            return
        if services.enter_era(snapshot.era, is_settled(records, snapshot.era)):
            self._fleet.keep_members()
        if not services.configuration.version:
            hot_accounts = decode_hot_accounts(records)
            # Without a fence the copy is older than the first leader, as at the first
            # start of the platform on a store whose era is above 0.
            is_outdated = not services.eras.is_settled and FENCE_KEY in records
            services.limiter.load_recorded_usage(hot_accounts, is_outdated)
            self._log.write("limits_started", noted=hot_accounts)
        if snapshot.configuration is not None:
            self.apply_configuration(snapshot.configuration, "store")
            if was_written_in_era(snapshot):
                services.eras.confirm_configuration()
        services.apply_group_records(
            decode_group_records(records.values(), snapshot.era)
        )
        services.store_freshness.record_read(snapshot.requested_at)
        services.record_sealed_positions(snapshot.requested_at)
        self._apply_keys(snapshot)
        delay = self._candidacy_delay()
        members = decode_members(snapshot.member_by_key or {})
        self._fleet.update_directory(
            make_directory(
                snapshot.requested_at,
                self._without_unused_cold_times(snapshot.target_by_id),
                members,
                snapshot.evacuated_domains,
            )
        )
        services.table.apply_group_members(
            decode_all_group_members(records.values(), snapshot.era),
            snapshot.requested_at,
        )
        if self._fleet.is_domain_relay() and not self._fleet.is_leader:
            # The leader's reads are missing, so the others wait for this one.
            self._fleet.send_immediately()
        self._apply_leader_record(snapshot)
        self._leadership.revoke_predecessor_lease(snapshot)
        if self._is_candidate(snapshot):
            self._leadership.try_acquire(snapshot, delay)

    def _apply_leader_record(self, snapshot: StoreSnapshot) -> None:
        record = snapshot.record_by_key.get(LEADER_KEY)
        holder = decode_holder(record.value) if record is not None else None
        if holder is not None and not isinstance(holder, Missing):
            self._fleet.leader_hint = holder.name

    def _apply_keys(self, snapshot: StoreSnapshot) -> None:
        """Use the keys of the exchange; as the leader, rotate them."""
        record = snapshot.record_by_key.get(EXCHANGE_KEYS_KEY)
        keys = decode_keys(record.value) if record is not None else None
        if isinstance(keys, Missing):
            self._log.write("exchange_keys_unreadable", reason=keys.reason)
            return
        known = self._fleet.keys
        if known is not None and (keys is None or keys.version < known.version):
            self._restore_keys(known, record, snapshot.era)
            return
        if record is None or keys is None:
            return
        self._fleet.set_keys(keys)
        now_s = self._loop.clock.utcnow().timestamp()
        rotated = next_rotation_step(keys, now_s)
        is_writing = self._writing_keys is not None and not self._writing_keys.done()
        if rotated is not None and self._leadership.is_leader() and not is_writing:
            self._log.write("exchange_keys_rotated", signing=rotated.signing_id)
            self._write_keys(rotated, record, snapshot.era)

    def _restore_keys(
        self, known: ExchangeKeys, record: Record | None, era: int
    ) -> None:
        """Write back keys that the copy lacks, so that new instances use them too.

        Any instance that reads the store may do that before there is a leader; only
        relays do, so that few write.
        """
        is_writing = self._writing_keys is not None and not self._writing_keys.done()
        if era > 0 and self._fleet.is_domain_relay() and not is_writing:
            self._log.write("exchange_keys_restored", signing=known.signing_id, era=era)
            self._write_keys(known, record, era)

    def _write_keys(self, keys: ExchangeKeys, record: Record | None, era: int) -> None:
        revision = record.revision if record is not None else 0
        self._writing_keys = self._store.commit(
            (ExpectedRevision(EXCHANGE_KEYS_KEY, revision),),
            (Put(EXCHANGE_KEYS_KEY, keys.in_era(era).encode()),),
            era,
        )
