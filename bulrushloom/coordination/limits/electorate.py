"""Heartbeats of a share holder and the members of the electorate that confirm it.

A holder may grant tokens while a majority of its electorate has confirmed a recent
heartbeat. Before a successor takes over, a majority seals the epoch: these members stop
confirming it, so the lease of the old holder runs out.
"""

from collections.abc import Iterable
from datetime import timedelta

from bulrushloom.coordination.base import Effect, SendMessage
from bulrushloom.coordination.limits.base import (
    HolderAck,
    HolderHeartbeat,
    Member,
    SealAnswer,
    SealRequest,
)
from bulrushloom.coordination.limits.utils import whole_milliseconds

# A confirmation is valid for this time after the heartbeat was sent.
LEASE_DURATION = timedelta(seconds=1)
HEARTBEAT_INTERVAL = timedelta(milliseconds=200)
# A member that received a heartbeat this recently refuses to seal the epoch, so that a
# candidate that is cut off from a healthy holder cannot stop it.
SEAL_REFUSAL_WINDOW = timedelta(seconds=1.5)


class Elector:
    """Member of the electorate: confirms holders until their epoch is sealed."""

    def __init__(self, domain: str, shard: int, incarnation: str):
        self._domain = domain
        self._shard = shard
        self._incarnation = incarnation
        self.sealed_epoch = 0
        self.known_epoch = 0
        self.known_holder = ""
        self.last_heartbeat_at: timedelta | None = None
        self._confirmed_at: timedelta | None = None

    def acknowledge_heartbeat(
        self, sender: str, message: HolderHeartbeat, now: timedelta
    ) -> HolderAck:
        """Confirm the sender as holder unless its epoch is sealed."""
        accepted = message.epoch > self.sealed_epoch
        if accepted:
            self._confirmed_at = now
        if accepted and message.epoch >= self.known_epoch:
            self.known_epoch = message.epoch
            self.known_holder = sender
            self.last_heartbeat_at = now
        return HolderAck(
            self._domain,
            self._shard,
            message.epoch,
            message.sequence,
            self._incarnation,
            accepted,
        )

    def seal(self, message: SealRequest, now: timedelta) -> SealAnswer:
        """Stop confirming epochs up to the given one unless its holder is alive."""
        has_live_holder = (
            self.last_heartbeat_at is not None
            and self.known_epoch >= message.epoch
            and now - self.last_heartbeat_at < SEAL_REFUSAL_WINDOW
        )
        if not has_live_holder:
            self.sealed_epoch = max(self.sealed_epoch, message.epoch)
        sealed = self.sealed_epoch >= message.epoch
        confirmed_age_ms = -1
        if self._confirmed_at is not None:
            confirmed_age_ms = whole_milliseconds(now - self._confirmed_at)
        return SealAnswer(
            self._domain,
            self._shard,
            message.epoch,
            self._incarnation,
            sealed,
            confirmed_age_ms,
        )


class HolderLease:
    """Lease of a holder in one epoch, which a majority of the electorate renews.

    While a change of the electorate is being written, majorities of both the old and
    the new electorate must confirm the holder, because a successor may seal either.
    """

    def __init__(
        self, domain: str, shard: int, epoch: int, electorate: Iterable[Member]
    ):
        self._domain = domain
        self._shard = shard
        self.epoch = epoch
        self.electorate = list(electorate)
        self.proposed: list[Member] | None = None
        self.refused = False
        self._sequence = 0
        self._sent_at: timedelta | None = None
        self._sent_at_by_sequence: dict[int, timedelta] = {}
        self._confirmed_by_member: dict[Member, timedelta] = {}

    @property
    def next_heartbeat_at(self) -> timedelta:
        """Return when the next heartbeats are due, or zero before the first ones.

        The times are multiples of the interval, so that all shares of an instance send
        their heartbeats together and the messages to a peer fit in one batch.
        """
        if self._sent_at is None:
            return timedelta()
        return (self._sent_at // HEARTBEAT_INTERVAL + 1) * HEARTBEAT_INTERVAL

    def adopt_proposed(self) -> None:
        """Continue with the next epoch and the proposed electorate."""
        self.epoch += 1
        self.electorate = self.proposed or self.electorate
        self.proposed = None
        # Earlier confirmations remain valid: a member that seals the new epoch also
        # refuses the old one, and a successor waits until both have expired.
        self._sent_at = None

    def send_heartbeats(
        self, recipients: set[str], own_name: str, elector: Elector, now: timedelta
    ) -> list[Effect]:
        """Send the due heartbeats; the one to this instance is answered directly."""
        effects: list[Effect] = []
        for name, heartbeat in self._due_heartbeats(sorted(recipients), now):
            if name == own_name:
                self.record_ack(
                    name, elector.acknowledge_heartbeat(name, heartbeat, now)
                )
            else:
                effects.append(SendMessage(name, heartbeat))
        return effects

    def _due_heartbeats(
        self, recipients: Iterable[str], now: timedelta
    ) -> list[Effect]:
        """Return the heartbeats to send, if they are due."""
        if now < self.next_heartbeat_at:
            return []
        self._sent_at = now
        self._sequence += 1
        self._sent_at_by_sequence[self._sequence] = now
        for sequence in list(self._sent_at_by_sequence):
            if self._sent_at_by_sequence[sequence] <= now - LEASE_DURATION:
                del self._sent_at_by_sequence[sequence]
        message = HolderHeartbeat(self._domain, self._shard, self.epoch, self._sequence)
        return [SendMessage(name, message) for name in recipients]

    def record_ack(self, sender: str, ack: HolderAck) -> None:
        """Record the answer of a member to a heartbeat of this epoch."""
        if ack.epoch != self.epoch:
            return
        if not ack.accepted:
            self.refused = True
            return
        sent_at = self._sent_at_by_sequence.get(ack.sequence)
        if sent_at is None:
            return
        member = Member(sender, ack.incarnation)
        previous = self._confirmed_by_member.get(member, sent_at)
        self._confirmed_by_member[member] = max(previous, sent_at)

    def latest_incarnation(self, member: Member) -> Member:
        """Return the incarnation of an instance that confirmed the latest heartbeat."""
        incarnations = [m for m in self._confirmed_by_member if m.name == member.name]
        return max([member, *incarnations], key=self._confirmed_at)

    def _confirmed_at(self, member: Member) -> timedelta:
        return self._confirmed_by_member.get(member, timedelta.min)

    def valid_until(self) -> timedelta | None:
        """Return when the lease ends, or ``None`` if it was never confirmed."""
        ends = self._majority_until(self.electorate)
        if ends is None or self.proposed is None:
            return ends
        proposed_ends = self._majority_until(self.proposed)
        return None if proposed_ends is None else min(ends, proposed_ends)

    def majority_confirmed(self, members: list[Member], now: timedelta) -> bool:
        """Return whether confirmations by a majority of ``members`` are valid now."""
        until = self._majority_until(members)
        return until is not None and until > now

    def covers(self, members: list[Member], granted_until: timedelta | None) -> bool:
        """Return whether a majority of ``members`` confirmed until ``granted_until``.

        ``None`` means that no tokens were granted; then any confirmation by a majority
        suffices.
        """
        until = self._majority_until(members)
        return until is not None and (granted_until is None or until >= granted_until)

    def _majority_until(self, members: list[Member]) -> timedelta | None:
        confirmed = sorted(
            (
                self._confirmed_by_member[member]
                for member in members
                if member in self._confirmed_by_member
            ),
            reverse=True,
        )
        needed = majority_size(members)
        return (
            confirmed[needed - 1] + LEASE_DURATION if len(confirmed) >= needed else None
        )


def majority_size(members: list[Member]) -> int:
    """Return the number of members that form a majority."""
    return len(members) // 2 + 1


def latest_lease_end(answer: SealAnswer, now: timedelta) -> timedelta:
    """Return the latest end of any lease that the answering member confirmed."""
    if answer.confirmed_age_ms < 0:
        return now
    return now - timedelta(milliseconds=answer.confirmed_age_ms) + LEASE_DURATION
