"""Election of share holders.

Candidates act in rank order when the holder sends no heartbeats. A candidate reads the
share record, has a majority of the recorded electorate seal the old epoch and writes a
record of the next epoch with itself as the holder. It grants tokens once the leases and
tokens of the old epoch have expired.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any

from bulrushloom.coordination.base import (
    Effect,
    KeySwapped,
    KeyValue,
    LogEntry,
    ReadKey,
    SendMessage,
    SwapKey,
    next_idle_tick,
)
from bulrushloom.coordination.limits.base import (
    HolderAck,
    Member,
    SealAnswer,
    SealRequest,
    ShareHandover,
    ShareRecord,
)
from bulrushloom.coordination.limits.electorate import (
    LEASE_DURATION,
    Elector,
    HolderLease,
    latest_lease_end,
    majority_size,
)
from bulrushloom.coordination.limits.presence import Presence
from bulrushloom.coordination.limits.records import (
    record_from_json,
    record_to_json,
)
from bulrushloom.coordination.limits.timings import (
    HOLDER_TIMEOUT,
    RANK_DELAY,
    RESIZE_DELAY,
    RETRY_DELAY,
    SEAL_REPEAT,
    SEAL_TIMEOUT,
    START_DELAY,
    STORE_RETRY,
    STORE_TIMEOUT,
)
from bulrushloom.coordination.limits.utils import share_subject
from bulrushloom.core.statecharts import StateMachine, load_chart

HOLDING_STATES = frozenset({"holding", "resizing", "checking_resize"})
LEASE_STATES = HOLDING_STATES | {"waiting"}


class HolderElection:
    """Decide whether this instance holds the share, and in which epoch.

    The states and transitions are defined in ``holder.yaml``.
    """

    def __init__(self, member: Member, domain: str, shard: int, elector: Elector):
        self.machine = StateMachine(load_chart(__package__, "holder.yaml"))
        self.holder_lease: HolderLease | None = None
        self.version = 0
        self._member = member
        self._domain = domain
        self._shard = shard
        self._key = share_subject(domain, shard)
        self._elector = elector
        self._presence = Presence(self._key)
        self._record: ShareRecord | None = None
        self._claim: ShareRecord | None = None
        self._lease_end_by_member: dict[Member, timedelta] = {}
        self._claims_without_seal = False
        self._entered_at = timedelta()
        self._next_attempt_at: timedelta | None = None
        # Time at which the tokens of the previous epoch have expired.
        self.ready_at = timedelta()
        self._seal_sent_at = timedelta()
        self._received_handover: tuple[ShareHandover, timedelta] | None = None
        self._resize_at: timedelta | None = None
        self._confirmed_at = timedelta()
        # Latest lease end up to which tokens may have been granted.
        self._granted_until: timedelta | None = None

    @property
    def holding(self) -> bool:
        """Return whether the instance is the holder, even without a valid lease."""
        return self.machine.state in HOLDING_STATES

    def lease_until(self, now: timedelta) -> timedelta | None:
        """Return when the lease ends, or ``None`` without a valid lease.

        The caller may grant tokens until then, so the latest end is recorded for
        changes of the electorate.
        """
        if not self.holding or self.holder_lease is None:
            return None
        until = self.holder_lease.valid_until()
        if until is None or until <= now:
            return None
        self._granted_until = max(until, self._granted_until or until)
        return until

    def update_members(self, members: Iterable[Member], now: timedelta) -> None:
        """Replace the live instances of the domain."""
        self._presence.update(members, now)
        if self._next_attempt_at is None:
            self._next_attempt_at = now + START_DELAY + self._rank_delay()

    def next_holder(self) -> str:
        """Return the name of the first other instance in rank order."""
        names = [m.name for m in self._presence.ranked if m != self._member]
        return names[0] if names else ""

    def take_received_handover(self) -> tuple[ShareHandover, timedelta] | None:
        """Remove and return the received handover and the time of its arrival."""
        handover, self._received_handover = self._received_handover, None
        return handover

    def retire(self) -> None:
        """Give up the share and never hold it again."""
        self.machine.send("drain")
        self.holder_lease = None

    def observe_epoch(self, epoch: int, now: timedelta) -> None:
        """Step down if another instance is confirmed as holder of a later epoch.

        In any case, the next attempt to become the holder is delayed.
        """
        own = self.holder_lease.epoch if self.holder_lease is not None else 0
        if self.machine.state in LEASE_STATES and epoch > own:
            self._step_down("superseded", now)
        self._delay_attempt(now)

    def handle_ack(self, sender: str, ack: HolderAck) -> None:
        """Record the answer to a heartbeat."""
        if self.holder_lease is not None:
            self.holder_lease.record_ack(sender, ack)

    def handle_handover(self, message: ShareHandover, now: timedelta) -> list[Effect]:
        """Claim the next epoch without sealing, as the sender has stopped granting."""
        if self.machine.state != "watching":
            return []
        self.machine.send("handover")
        self.version = message.version
        self._claims_without_seal = False
        self._received_handover = (message, now)
        self.ready_at = now
        return self._write_claim(message.epoch + 1, now)

    def handle_value(self, message: KeyValue, now: timedelta) -> list[Effect]:
        """Handle the stored record, depending on the state that requested it."""
        state = self.machine.state
        record = record_from_json(message.value)
        if state == "reading":
            self.version = message.version
            if record is None and message.value is not None:
                self._step_down("fail", now)
                return [self._log("share_record_malformed")]
            return self._use_record(record, now)
        if state in ("checking_claim", "checking_resize"):
            return self._check_stored_record(message.version, record, now)
        return []

    def handle_swapped(self, message: KeySwapped, now: timedelta) -> list[Effect]:
        """Continue after a successful write; otherwise read the record back."""
        state = self.machine.state
        if state not in ("claiming", "resizing"):
            return []
        if message.swapped:
            self.version = message.version
            return self._finish_write("swapped", now)
        # An earlier attempt of the same write may have succeeded without an answer.
        return self._read_back_now(now)

    def handle_failure(self, now: timedelta) -> list[Effect]:
        """Handle a failed store call; a write is read back later."""
        state = self.machine.state
        if state == "reading":
            self._step_down("fail", now)
        elif state in ("claiming", "resizing"):
            self.machine.send("unknown")
            # The record is read back ``STORE_TIMEOUT`` after ``_entered_at``, that is,
            # after ``STORE_RETRY``.
            self._entered_at = now - STORE_TIMEOUT + STORE_RETRY
        elif state in ("checking_claim", "checking_resize"):
            self._entered_at = now - STORE_TIMEOUT + STORE_RETRY
        return []

    def handle_seal(
        self, sender: str, answer: SealAnswer, now: timedelta
    ) -> list[Effect]:
        """Record that a member sealed the old epoch; claim the next with a majority."""
        record = self._record
        if self.machine.state != "sealing" or record is None:
            return []
        if answer.epoch != record.epoch:
            return []
        if not answer.sealed:
            self._step_down("fail", now)
            return []
        member = Member(sender, answer.incarnation)
        if member in record.electorate and member not in self._lease_end_by_member:
            self._lease_end_by_member[member] = latest_lease_end(answer, now)
        if len(self._lease_end_by_member) < majority_size(record.electorate):
            return []
        # At least one of these members belongs to each majority that confirmed the old
        # holder, so the latest lease end among them bounds the lease of that holder.
        # Tokens expire with the lease under which they were granted.
        return self._finish_sealing(max(self._lease_end_by_member.values()), now)

    def tick(self, now: timedelta) -> list[Effect]:
        """Perform the work that is due in the current state."""
        self._presence.tick(now)
        state = self.machine.state
        if state == "watching":
            return self._start_attempt_if_due(now)
        if state == "sealing":
            return self._continue_sealing(now)
        if state in LEASE_STATES:
            return self._keep_lease(now)
        if state in ("reading", "claiming") and now - self._entered_at >= STORE_TIMEOUT:
            return self.handle_failure(now)
        if state == "checking_claim":
            return self._read_back_if_due(now)
        return []

    def next_tick(self, last: timedelta) -> timedelta:
        """Return when the next attempt or heartbeat is due; immediately when busy."""
        due = last
        if self.machine.state in ("watching", "retired"):
            due = max(last, self._next_attempt_at or last)
        elif self.machine.state == "holding" and self.holder_lease is not None:
            due = max(last, self.holder_lease.next_heartbeat_at)
        return min(due, next_idle_tick(last))

    def _start_attempt_if_due(self, now: timedelta) -> list[Effect]:
        if self._next_attempt_at is None or now < self._next_attempt_at:
            return []
        if not self._presence.is_candidate(self._member):
            self._next_attempt_at = now + HOLDER_TIMEOUT
            return []
        self.machine.send("silence")
        self._entered_at = now
        return [ReadKey(self._key)]

    def _use_record(self, record: ShareRecord | None, now: timedelta) -> list[Effect]:
        if record is None:
            self._claims_without_seal = False
            self.machine.send("absent")
            self.ready_at = now
            return self._write_claim(1, now)
        self.machine.send("record")
        self._record = record
        self._lease_end_by_member = {}
        self._claims_without_seal = False
        self._entered_at = now
        self._seal_sent_at = now - SEAL_REPEAT
        return self._continue_sealing(now)

    def _continue_sealing(self, now: timedelta) -> list[Effect]:
        record = self._record
        assert record is not None
        if self._presence.majority_gone(record.electorate, now):
            # Without a seal, a member could return while a write is repeated, so the
            # write is not repeated after a lost answer.
            self._claims_without_seal = True
            return self._finish_sealing(now + LEASE_DURATION, now)
        if now - self._entered_at >= SEAL_TIMEOUT:
            self._step_down("fail", now)
            return []
        if now - self._seal_sent_at < SEAL_REPEAT:
            return []
        self._seal_sent_at = now
        request = SealRequest(self._domain, self._shard, record.epoch)
        effects: list[Effect] = []
        for member in record.electorate:
            if member.name != self._member.name:
                effects.append(SendMessage(member.name, request))
        own = self._elector.seal(request, now)
        return effects + self.handle_seal(self._member.name, own, now)

    def _finish_sealing(self, ended: timedelta, now: timedelta) -> list[Effect]:
        assert self._record is not None
        self.machine.send("sealed")
        self.ready_at = ended
        self._received_handover = None
        return self._write_claim(self._record.epoch + 1, now)

    def _write_claim(self, epoch: int, now: timedelta) -> list[Effect]:
        electorate = self._presence.electorate(self._member)
        self._claim = ShareRecord(epoch, self._member, electorate)
        return self._swap_record(now)

    def _swap_record(self, now: timedelta) -> list[Effect]:
        assert self._claim is not None
        self._entered_at = now
        return [SwapKey(self._key, self.version, record_to_json(self._claim))]

    def _finish_write(self, event: str, now: timedelta) -> list[Effect]:
        resized = self.machine.state in ("resizing", "checking_resize")
        self.machine.send(event)
        assert self._claim is not None
        self._entered_at = now
        self._confirmed_at = now
        if resized and self.holder_lease is not None:
            self.holder_lease.adopt_proposed()
        else:
            self.holder_lease = HolderLease(
                self._domain, self._shard, self._claim.epoch, self._claim.electorate
            )
        return [self._log("share_epoch_written"), *self._keep_lease(now)]

    def _read_back_now(self, now: timedelta) -> list[Effect]:
        self.machine.send("unknown")
        self._entered_at = now
        return [ReadKey(self._key)]

    def _read_back_if_due(self, now: timedelta) -> list[Effect]:
        if now - self._entered_at < STORE_TIMEOUT:
            return []
        self._entered_at = now
        return [ReadKey(self._key)]

    def _check_stored_record(
        self, version: int, record: ShareRecord | None, now: timedelta
    ) -> list[Effect]:
        if record == self._claim:
            self.version = version
            return self._finish_write("ours", now)
        repeats = (
            self.machine.state == "checking_resize" or not self._claims_without_seal
        )
        if version == self.version and repeats:
            self.machine.send("unchanged")
            return self._swap_record(now)
        self._step_down("lost", now)
        return []

    def _keep_lease(self, now: timedelta) -> list[Effect]:
        lease = self.holder_lease
        assert lease is not None
        if self.machine.state == "waiting" and now >= self.ready_at:
            self.machine.send("ready")
        if lease.majority_confirmed(lease.electorate, now):
            self._confirmed_at = now
        if self._cannot_be_confirmed(now):
            self._step_down("superseded", now)
            return []
        recipients = {m.name for m in lease.electorate}
        recipients |= {m.name for m in self._presence.electorate(self._member)}
        effects = lease.send_heartbeats(
            recipients, self._member.name, self._elector, now
        )
        if self.machine.state == "holding":
            return effects + self._resize_electorate_if_due(now)
        if self.machine.state == "checking_resize":
            return effects + self._read_back_if_due(now)
        if self.machine.state == "resizing" and now - self._entered_at >= STORE_TIMEOUT:
            self.handle_failure(now)
        return effects

    def _cannot_be_confirmed(self, now: timedelta) -> bool:
        """Return whether a majority can no longer confirm this epoch."""
        lease = self.holder_lease
        assert lease is not None
        if now - self._confirmed_at < HOLDER_TIMEOUT:
            return False
        gone = self._presence.majority_gone(lease.electorate, now)
        return lease.refused or gone

    def _resize_electorate_if_due(self, now: timedelta) -> list[Effect]:
        lease = self.holder_lease
        assert lease is not None
        listed = self._presence.electorate(self._member)
        # A restarted instance answers heartbeats long before it appears in the list.
        new_electorate = [lease.latest_incarnation(member) for member in listed]
        if set(new_electorate) == set(lease.electorate):
            self._resize_at = None
            return []
        if self._resize_at is None:
            self._resize_at = now + RESIZE_DELAY
        if now < self._resize_at or not lease.majority_confirmed(new_electorate, now):
            return []
        # A successor asks only the new electorate when granted tokens expire, so the
        # new electorate must have confirmed the lease of all tokens granted so far.
        if not lease.covers(new_electorate, self._granted_until):
            return []
        self._resize_at = None
        lease.proposed = new_electorate
        self.machine.send("resize")
        self._claim = ShareRecord(lease.epoch + 1, self._member, new_electorate)
        return self._swap_record(now)

    def _step_down(self, event: str, now: timedelta) -> None:
        self.machine.send(event)
        self.holder_lease = None
        self._granted_until = None
        self._claim = None
        self._received_handover = None
        self._resize_at = None
        self._next_attempt_at = now + RETRY_DELAY + self._rank_delay()

    def _delay_attempt(self, now: timedelta) -> None:
        self._next_attempt_at = now + HOLDER_TIMEOUT + self._rank_delay()

    def _rank_delay(self) -> timedelta:
        holder = self._elector.known_holder
        return self._presence.rank(self._member, holder) * RANK_DELAY

    def _log(self, event: str) -> Effect:
        epoch = self.holder_lease.epoch if self.holder_lease is not None else 0
        fields: dict[str, Any] = {
            "domain": self._domain,
            "shard": self._shard,
            "epoch": epoch,
        }
        return LogEntry(event, fields)
