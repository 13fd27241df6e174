"""Guards against a late statement that runs in the next transaction."""

import queue
from datetime import timedelta

import pytest

from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.core.clock import ManualClock
from bulrushloom.databases.base import StatementCall, StatementResult
from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    StatementRefused,
)
from bulrushloom.instance.base import RunBegin, RunEnd, RunStatement
from bulrushloom.instance.executor import TargetExecutor
from tests import builders

TARGET = "orders-a"
WORK = StatementCall("INSERT", [], 1, False, ORIGIN, None, timedelta(), None)


class Server:
    """Answer every call and record those that concern connections."""

    def __init__(self):
        self.failure = None
        self.calls = []
        self.opened = 0

    def connect(self):
        self.opened += 1
        return f"c{self.opened}"

    def disconnect(self, connection):
        self.calls.append(("disconnect", connection))

    def begin(self, connection, term):
        self.calls.append(("begin", connection))

    def execute(self, connection, work):
        if self.failure is not None:
            raise self.failure
        return StatementResult([], [], 0, ORIGIN)

    def rollback(self, connection):
        self.calls.append(("rollback", connection))

    def commit(self, connection, term):
        self.calls.append(("commit", connection))
        return ORIGIN

    def close(self):
        return


class Driver:
    def __init__(self):
        self.server = Server()
        self.results = queue.SimpleQueue()
        self.executor = TargetExecutor(
            lambda address: self.server, ManualClock(), self.results.put
        )

    def run(self, effect):
        self.executor.submit(effect, builders.target_rule(TARGET))
        return self.results.get(timeout=5).result

    def begin(self, handle="h1"):
        self.run(RunBegin(TARGET, f"begin.{handle}", handle, 1))

    def fail_statement(self, error):
        self.server.failure = error
        assert self.run(RunStatement(TARGET, "s", "h1", WORK)) is error


@pytest.fixture
def driver():
    driver = Driver()
    yield driver
    driver.executor.close()


def test_rollback_after_a_lost_answer_closes_the_connection(driver):
    driver.begin()
    driver.fail_statement(AnswerLost("x"))
    assert driver.run(RunEnd(TARGET, "e", "h1", 1, False)) is None
    driver.begin("h2")
    assert driver.server.calls == [
        ("begin", "c1"),
        ("disconnect", "c1"),
        ("begin", "c2"),
    ]


def test_commit_after_a_lost_answer_is_refused(driver):
    driver.begin()
    driver.fail_statement(AnswerLost("x"))
    result = driver.run(RunEnd(TARGET, "e", "h1", 1, True))
    assert result.reason is RefusalReason.NO_TRANSACTION
    assert ("commit", "c1") not in driver.server.calls


def test_connection_is_kept_after_a_refused_statement(driver):
    driver.begin()
    driver.fail_statement(StatementRefused(RefusalReason.SQL_ERROR, "x"))
    driver.run(RunEnd(TARGET, "e", "h1", 1, False))
    driver.begin("h2")
    assert driver.server.calls[-2:] == [("rollback", "c1"), ("begin", "c1")]
