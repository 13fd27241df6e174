"""Leases at their owner, without a network."""

from concurrent.futures import Future
from datetime import timedelta

import pytest

from bulrushloom.proxy.base import RefusalKind
from bulrushloom.proxy.messages import (
    NO_POSITION,
    AnswerCode,
    Failure,
    LogPosition,
    ServerAnswer,
    TransactionState,
)
from bulrushloom.proxy.scheduling.base import WorkOutcome
from bulrushloom.proxy.sharing.leases import (
    MAX_STATE_BYTES,
    PLACE_IDLE_LIMIT,
    FinalState,
    Lease,
    LeaseOrder,
    LeaseRefusal,
)
from tests.proxy.builders import ms

IDLE_LIMIT = timedelta(seconds=4)
ORDER = LeaseOrder("a", "account-1", {}, 1, ms(100), ms(100))


def build_answer(code=None):
    failure = Failure(code, "simulated") if code else None
    return ServerAnswer((), b"", failure, TransactionState.IDLE, NO_POSITION)


class FakeConnection:
    """Connection whose answers the test gives; ``texts`` has what was sent."""

    def __init__(self):
        self.is_open = self.is_reusable = True
        self.values, self.prepared_by_name = {}, {}
        self.state, self.position = TransactionState.IDLE, NO_POSITION
        self.texts, self.futures = [], []

    def query(self, request_id, text, after):
        self.texts.append(text)
        self.futures.append(Future())
        return self.futures[-1]

    def close(self, reason):
        self.is_open = self.is_reusable = False


class FakeOwned:
    """Target at its owner.

    ``ended`` has the outcomes of the places, and ``sent`` the places with which
    statements were sent.
    """

    def __init__(self):
        self.sent = []
        self.time, self.ended, self.released, self.waiting = ms(0), [], [], []

    def now(self):
        return self.time

    def submit_statement(self, lease):
        lease.waiting = len(self.waiting) + 100
        self.waiting.append(lease)

    def record_sent(self, place):
        self.sent.append(place)

    def finish(self, place, outcome, duration):
        self.ended.append((place, outcome, duration))

    def release(self, connection):
        self.released.append(connection)

    def forget(self, lease):
        lease.waiting = None


class FakeHolder:
    """Holder that records what happens to its lease."""

    def __init__(self):
        self.answers, self.lost = [], []

    def on_granted(self, lease, connection):
        """Do nothing."""

    def on_answer(self, lease, answer):
        self.answers.append(answer)

    def on_lost(self, lease, reason, was_sent):
        self.lost.append(was_sent)


@pytest.fixture
def lease():
    lease = Lease(FakeOwned(), ORDER, FakeHolder(), 1)
    lease.place = 7
    lease.grant(FakeConnection(), ms(0))
    return lease


@pytest.mark.parametrize(
    "code, outcome",
    [
        (None, WorkOutcome.SERVED),
        (AnswerCode.NOT_RUN, WorkOutcome.BUSY),
        (AnswerCode.LAGGING, WorkOutcome.SERVED),
    ],
)
def test_place_ends_with_the_answer_and_tells_how_long_it_took(lease, code, outcome):
    # Guards against a limit that follows anything but the time of the target.
    lease.query(b"1", b"READ 1", None)
    lease._owned.time = ms(8)
    lease.connection.futures[0].set_result(build_answer(code))
    assert lease._owned.ended == [(7, outcome, ms(8))]
    assert not lease.has_ended


def test_further_statement_waits_for_a_place_and_what_follows_it(lease):
    # Guards against a rollback that overtakes the statement before it.
    lease.query(b"1", b"READ 1", None)
    lease.connection.futures[0].set_result(build_answer())
    lease.query(b"2", b"WRITE 2", None)
    lease.query(b"-", b"ROLLBACK", None)
    assert lease.connection.texts == [b"READ 1"]
    lease.take_place(8)
    assert lease.connection.texts == [b"READ 1", b"WRITE 2", b"ROLLBACK"]


def test_refusal_of_a_statement_has_no_position(lease):
    # Guards against a read that misses commits, because the position that a connection
    # had long ago was taken for that of the primary at the time of the refusal.
    lease.check(PLACE_IDLE_LIMIT + ms(1), IDLE_LIMIT)
    lease.connection.position = LogPosition(1, 5)
    lease.query(b"1", b"WRITE 1", None)
    lease.refuse(LeaseRefusal(RefusalKind.NOT_IN_TIME, "too late", ms(10)))
    (answer,) = lease.holder.answers
    assert answer.failure.code is AnswerCode.NOT_RUN
    assert answer.position is NO_POSITION


def test_only_statements_with_a_place_count_as_sent(lease):
    # Guards against a hard limit that counts requests which were never sent, or misses
    # what was sent later.
    lease.query(b"-", b"SET zone utc", None)
    assert lease._owned.sent == []
    lease.query(b"1", b"READ 1", None)
    assert lease._owned.sent == [7]


def test_closed_request_for_a_place_returns_the_connection_unused(lease):
    # Guards against a lease that never ends because nothing was sent on it.
    lease.check(PLACE_IDLE_LIMIT + ms(1), IDLE_LIMIT)
    lease.query(b"1", b"WRITE 1", None)
    assert lease._owned.waiting == [lease]
    lease.close("too late")
    assert lease.has_ended
    assert lease._owned.released == [lease.connection]
    assert lease.connection.texts == []


def test_lease_whose_state_does_not_fit_in_a_message_is_discarded(lease):
    # Guards against a grant that is too large for every later holder.
    lease.release({b"name": bytes(MAX_STATE_BYTES)})
    assert lease.has_ended
    assert not lease.connection.is_open


def test_answer_to_the_last_statement_ends_the_lease(lease):
    # Guards against connections that are kept because no release follows.
    lease.query(b"1", b"READ 1", None, FinalState({b"zone": b"utc"}, [b"p"]))
    assert not lease.query(b"2", b"READ 2", None)
    lease.connection.futures[0].set_result(build_answer())
    assert lease.has_ended
    assert lease._owned.released == [lease.connection]
    assert lease.connection.values == {b"zone": b"utc"}
    assert list(lease.connection.prepared_by_name) == [b"p"]


@pytest.mark.parametrize(
    "end, outcome",
    [(Lease.close, WorkOutcome.FAILED), (Lease.abandon, WorkOutcome.UNUSED)],
)
def test_only_a_statement_without_an_answer_in_time_is_a_failure(lease, end, outcome):
    # Guards against a limit that shrinks because an instance has died.
    lease.query(b"1", b"READ 1", None)
    end(lease, "ended")
    assert lease._owned.ended == [(7, outcome, None)]
    assert not lease.connection.is_open


@pytest.mark.parametrize("had_statement, was_sent", [(False, False), (True, True)])
def test_loss_tells_whether_a_statement_was_sent(lease, had_statement, was_sent):
    # Guards against a write that is repeated although the target may have run it.
    if had_statement:
        lease.query(b"1", b"WRITE 1", None)
    lease.connection.is_open = False
    lease.query(b"2", b"WRITE 2", None)
    assert lease.holder.lost == [was_sent]
    assert b"WRITE 2" not in lease.connection.texts
