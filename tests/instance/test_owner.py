"""Guards against mixed-up transactions, repeated runs and false outcomes."""

from datetime import timedelta

import pytest

from bulrushloom.coordination.base import SendMessage, select_effects
from bulrushloom.coordination.queueing.fair import FairQueue
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import StatementResult
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)
from bulrushloom.instance.base import Executed, RunBegin, RunEnd, RunStatement
from bulrushloom.instance.jobs import AwaitDurable
from bulrushloom.instance.messages import CancelStatement
from bulrushloom.instance.owner import TargetOwner
from tests import builders

ZERO = timedelta()
POSITION = LogPosition(1, 6)
ROWS = StatementResult([], [], 1, POSITION)


class OwnerDriver:
    """Send messages to the owner of the primary ``orders-a``."""

    def __init__(self):
        self.owner = TargetOwner(builders.target_rule(slots=2), FairQueue(4), "run")
        self.owner.update_server(1, True, ZERO)

    def send(self, message, now=ZERO):
        return self.owner.handle("west-1", message, now)

    def executed(self, request_id, result, now=ZERO):
        return self.send(Executed("orders-a", request_id, result, ZERO), now)

    def begin(self):
        """Open a transaction and return its handle."""
        [run] = select_effects(self.send(builders.transaction_request()), RunBegin)
        return answer(self.executed("t1.1", None)).transaction

    def end(self, handle, action="commit", request_id="t2.1"):
        request = builders.transaction_request(action, request_id, transaction=handle)
        return self.send(request)


@pytest.fixture
def driver():
    return OwnerDriver()


def answer(effects):
    [message] = select_effects(effects, SendMessage)
    return message.message


def test_write_is_answered_only_when_durable(driver):
    [run] = select_effects(driver.send(builders.statement_request()), RunStatement)
    assert run.work.term == 1
    effects = driver.executed("r1.1", ROWS)
    [waiting] = select_effects(effects, AwaitDurable)
    assert waiting.position == POSITION
    assert not select_effects(effects, SendMessage)
    assert answer(driver.owner.write_durable("r1.1", ZERO)).position == POSITION


def test_late_copy_of_a_refused_write_does_not_run(driver):
    # The sender knows that it has not run and may have sent it to another target.
    driver.owner.update_server(1, False, ZERO)
    refused = answer(driver.send(builders.statement_request()))
    assert refused.error == "no_target"
    driver.owner.update_server(2, True, ZERO)
    effects = driver.send(builders.statement_request())
    assert not select_effects(effects, RunStatement)
    assert answer(effects) == refused


def test_late_copy_of_a_refused_begin_opens_nothing(driver):
    driver.owner.update_server(1, False, ZERO)
    refused = answer(driver.send(builders.transaction_request()))
    driver.owner.update_server(2, True, ZERO)
    effects = driver.send(builders.transaction_request())
    assert not select_effects(effects, RunBegin)
    assert answer(effects) == refused


def test_repeated_write_of_an_earlier_term_waits_for_the_present_one(driver):
    # If it waited for the earlier term, the outcome of a durable write would always be
    # reported as unknown.
    driver.owner.update_server(3, True, ZERO)
    driver.send(builders.statement_request(idempotency_key="k"))
    [waiting] = select_effects(driver.executed("r1.1", ROWS), AwaitDurable)
    assert (waiting.position, waiting.term) == (POSITION, 3)


def test_undecided_write_has_an_unknown_outcome(driver):
    driver.send(builders.statement_request())
    driver.executed("r1.1", ROWS)
    refused = answer(driver.owner.write_undecided("r1.1", "replicas are behind", ZERO))
    assert refused.error == "outcome_unknown"


def test_duplicate_request_runs_once(driver):
    driver.send(builders.statement_request())
    assert driver.send(builders.statement_request()) == []
    driver.executed("r1.1", ROWS)
    first = answer(driver.owner.write_durable("r1.1", ZERO))
    effects = driver.send(builders.statement_request())
    assert answer(effects) == first
    assert not select_effects(effects, RunStatement)


def test_no_more_statements_run_than_slots(driver):
    runs = []
    for number in range(4):
        request = builders.statement_request(f"r{number}.1")
        runs += select_effects(driver.send(request), RunStatement)
    assert len(runs) == 2
    effects = driver.executed("r0.1", ROWS)
    assert len(select_effects(effects, RunStatement)) == 1


def test_full_queue_is_refused_as_not_run(driver):
    for number in range(6):
        driver.send(builders.statement_request(f"r{number}.1"))
    assert answer(driver.send(builders.statement_request("r9.1"))).error == "overloaded"


def test_statement_that_waited_too_long_is_not_run(driver):
    for number in range(3):
        driver.send(builders.statement_request(f"r{number}.1"))
    effects = driver.owner.tick(timedelta(seconds=6))
    assert answer(effects).error == "overloaded"
    late = driver.executed("r0.1", ROWS, timedelta(seconds=6))
    assert not select_effects(late, RunStatement)


def test_cancelled_statement_does_not_run_later(driver):
    for number in range(4):
        driver.send(builders.statement_request(f"r{number}.1"))
    cancel = CancelStatement("r2.1", "orders-a")
    refused = answer(driver.send(cancel))
    assert (refused.request_id, refused.retry_elsewhere) == ("r2.1", True)
    # Neither a free slot nor a late duplicate runs it.
    [run] = select_effects(driver.executed("r0.1", ROWS), RunStatement)
    assert run.request_id == "r3.1"
    repeated = driver.send(builders.statement_request("r2.1"))
    assert not select_effects(repeated, RunStatement)


def test_cancellation_of_a_running_statement_does_not_deny_its_run(driver):
    driver.send(builders.statement_request(read_only=True))
    assert driver.send(CancelStatement("r1.1", "orders-a")) == []
    assert answer(driver.executed("r1.1", ROWS)).error == ""


def test_cancellation_by_another_instance_is_ignored(driver):
    for number in range(3):
        driver.send(builders.statement_request(f"r{number}.1"))
    cancel = CancelStatement("r2.1", "orders-a")
    assert driver.owner.handle("north-1", cancel, ZERO) == []
    assert select_effects(driver.executed("r0.1", ROWS), RunStatement)


@pytest.mark.parametrize(
    ("error", "kind", "elsewhere"),
    [
        (ServerUnreachable("x"), "no_target", True),
        (StatementRefused(RefusalReason.WRONG_TERM, "x"), "no_target", True),
        (StatementRefused(RefusalReason.SQL_ERROR, "x"), "sql_error", False),
        (AnswerLost("x"), "outcome_unknown", False),
        (ValueError("unexpected"), "outcome_unknown", False),
    ],
)
def test_failed_write_says_whether_it_ran(driver, error, kind, elsewhere):
    driver.send(builders.statement_request())
    refused = answer(driver.executed("r1.1", error))
    assert (refused.error, refused.retry_elsewhere) == (kind, elsewhere)


def test_read_whose_answer_was_lost_may_run_elsewhere(driver):
    driver.send(builders.statement_request(read_only=True))
    refused = answer(driver.executed("r1.1", AnswerLost("x")))
    assert refused.retry_elsewhere


def test_replaced_primary_gives_queued_writes_back(driver):
    for number in range(3):
        driver.send(builders.statement_request(f"r{number}.1"))
    refused = answer(driver.owner.update_server(2, False, ZERO))
    assert (refused.request_id, refused.retry_elsewhere) == ("r2.1", True)


def test_write_to_a_replica_is_refused(driver):
    driver.owner.update_server(1, False, ZERO)
    refused = answer(driver.send(builders.statement_request()))
    assert (refused.error, refused.retry_elsewhere) == ("no_target", True)


def test_transaction_runs_one_statement_at_a_time(driver):
    handle = driver.begin()
    first = builders.statement_request("r1.1", transaction=handle)
    [run] = select_effects(driver.send(first), RunStatement)
    assert run.handle == handle
    second = builders.statement_request("r2.1", transaction=handle)
    assert answer(driver.send(second)).error == "transaction_busy"
    driver.executed("r1.1", ROWS)
    assert select_effects(driver.send(second._replace(request_id="r3.1")), RunStatement)


def test_transaction_of_another_account_is_not_found(driver):
    handle = driver.begin()
    foreign = builders.statement_request(transaction=handle, account="other")
    assert answer(driver.send(foreign)).error == "transaction_lost"


def test_commit_is_answered_only_when_durable(driver):
    handle = driver.begin()
    [run] = select_effects(driver.end(handle), RunEnd)
    assert run.commit
    assert not select_effects(driver.executed("t2.1", POSITION), SendMessage)
    assert answer(driver.owner.write_durable("t2.1", ZERO)).position == POSITION
    again = answer(driver.end(handle, request_id="t3.1"))
    assert again.error == "transaction_unknown"


def test_commit_whose_answer_was_lost_stays_unknown(driver):
    handle = driver.begin()
    driver.end(handle)
    lost = driver.executed("t2.1", AnswerLost("x"))
    assert answer(lost).error == "outcome_unknown"
    again = answer(driver.end(handle, request_id="t3.1"))
    assert again.error == "outcome_unknown"


def test_commit_at_an_owner_that_lost_the_transaction_is_unknown(driver):
    assert answer(driver.end("older-run.7")).error == "outcome_unknown"


def test_refused_commit_is_a_lost_transaction(driver):
    handle = driver.begin()
    driver.end(handle)
    refused = StatementRefused(RefusalReason.WRONG_TERM, "x")
    assert answer(driver.executed("t2.1", refused)).error == "transaction_lost"


def test_failed_statement_closes_the_connection_of_its_transaction(driver):
    handle = driver.begin()
    driver.send(builders.statement_request(transaction=handle))
    effects = driver.executed("r1.1", AnswerLost("x"))
    assert answer(effects).error == "transaction_lost"
    [end] = select_effects(effects, RunEnd)
    assert (end.handle, end.commit) == (handle, False)
    driver.executed(end.request_id, None)
    assert driver.owner.is_idle


def test_idle_transaction_is_rolled_back(driver):
    handle = driver.begin()
    late = timedelta(seconds=31)
    [end] = select_effects(driver.owner.tick(late), RunEnd)
    assert (end.handle, end.commit) == (handle, False)
    driver.executed(end.request_id, None, late)
    request = builders.statement_request(transaction=handle)
    assert answer(driver.send(request, late)).error == "transaction_lost"


def test_transactions_leave_connections_for_statements(driver):
    opened = 0
    for number in range(40):
        request = builders.transaction_request(request_id=f"t{number}.1")
        opened += len(select_effects(driver.send(request), RunBegin))
    assert opened == 14


def test_draining_owner_finishes_transactions_and_takes_no_others(driver):
    handle = driver.begin()
    driver.owner.drain()
    assert answer(driver.send(builders.statement_request())).error == "draining"
    begin = builders.transaction_request(request_id="t5.1")
    assert answer(driver.send(begin)).error == "draining"
    inside = builders.statement_request("r7.1", transaction=handle)
    assert select_effects(driver.send(inside), RunStatement)
