"""Each consistency check of the soak finds the violation that it looks for."""

from datetime import timedelta

import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.core.sentinels import Missing
from bulrushloom.runtime.loop import Loop
from standins.platform.group import SimulatedGroup
from standins.platform.promises import CallerRecord, History
from standins.platform.records import Commit, Run

SECOND = timedelta(seconds=1)


@pytest.fixture
def group():
    loop = Loop(ManualClock())
    group = SimulatedGroup(loop, "orders")
    group.add("a", "a:1", True)
    yield group
    loop.close()


@pytest.fixture
def history(group):
    return History(group, SECOND)


@pytest.fixture
def caller():
    return CallerRecord("c1", "hotel", "key-1", "strict")


def run(request_id, text="READ 1", **changes):
    fields = Run("a", request_id, text, "", "hotel", 1, 0, {}, (1, 0), SECOND)
    return fields._replace(**changes)


def test_statement_that_ran_as_sent_is_no_violation(group, history, caller):
    request_id = history.send(caller, "READ 1", SECOND)
    group.runs.append(run(request_id))
    assert history.check_runs() == []
    lines = [f"ROW {request_id}", f"DONE signed-{request_id}", "READY I 1.0"]
    assert history.answer(request_id, lines, SECOND) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"text": "READ 2"},
        {"account": "other"},
        {"values": {"zone": "x"}},
        {"request_id": "nobody-1"},
    ],
)
def test_statement_that_ran_otherwise_is_found(group, history, caller, changes):
    request_id = history.send(caller, "READ 1", SECOND)
    group.runs.append(run(request_id)._replace(**changes))
    assert len(history.check_runs()) == 1


def test_answer_of_another_statement_is_found(history, caller):
    request_id = history.send(caller, "READ 1", SECOND)
    lines = ["ROW other-1", "DONE signed-other-1", "READY I 1.0"]
    assert len(history.answer(request_id, lines, SECOND)) == 1


def test_read_without_an_acknowledged_commit_is_found(group, history, caller):
    commit = Commit(1, 1, ("w-1",))
    group.primary().log.append(commit)
    group.acknowledged.append((commit, SECOND))
    request_id = history.send(caller, "READ 1", SECOND * 2)
    group.runs.append(run(request_id))
    assert len(history.check_runs()) == 1


def test_bounded_read_may_lack_a_young_commit(group, history, caller):
    caller.database = "bounded"
    commit = Commit(1, 1, ("w-1",))
    group.primary().log.append(commit)
    group.acknowledged.append((commit, SECOND * 1.5))
    request_id = history.send(caller, "READ 1", SECOND * 2)
    group.runs.append(run(request_id))
    assert history.check_runs() == []


@pytest.mark.parametrize("connections, groups", [((1, 2), "same"), ((1, 1), "other")])
def test_mixed_transaction_is_found(group, history, caller, connections, groups):
    ids = []
    for number in range(2):
        if groups == "other" or not number:
            caller.in_transaction = []
        ids.append(history.send(caller, "READ 1", SECOND))
    for request_id, connection in zip(ids, connections, strict=True):
        group.runs.append(run(request_id, connection=connection, transaction=5))
    assert len(history.check_transactions()) == 1


def test_write_that_is_kept_against_a_promise_or_twice_is_found(group, history, caller):
    request_id = history.send(caller, "WRITE 1 data", SECOND)
    group.primary().log.append(Commit(1, 1, (request_id,)))
    assert history.check_log() == []
    history.answer(request_id, ["ERR BUSY full", "READY I -"], SECOND)
    assert len(history.check_log()) == 1
    group.primary().log.append(Commit(1, 2, (request_id,)))
    assert "kept twice" in history.check_log()[0]


def test_lost_commit_is_found(group, history, caller):
    request_id = history.send(caller, "WRITE 1 data", SECOND)
    lines = [f"DONE signed-{request_id}", "READY I 1.1"]
    assert history.answer(request_id, lines, SECOND) == []
    assert len(history.check_acknowledged_commits()) == 1
    group.primary().log.append(Commit(1, 1, (request_id,)))
    assert history.check_acknowledged_commits() == []


def test_acknowledged_transaction_that_is_lost_is_found(history, caller):
    answers = (("BEGIN", "DONE -", "T"), ("WRITE 1 data", "DONE signed-{}", "T"))
    for text, answer, state in answers:
        request_id = history.send(caller, text, SECOND)
        lines = [answer.format(request_id), f"READY {state} 1.0"]
        assert history.answer(request_id, lines, SECOND) == []
    assert history.check_acknowledged_commits() == []
    commit_id = history.send(caller, "COMMIT", SECOND)
    history.answer(commit_id, [f"DONE signed-{commit_id}", "READY I 1.1"], SECOND)
    assert history.check_acknowledged_commits() == [
        f"{request_id} was acknowledged but is lost"
    ]


def test_write_with_an_unknown_outcome_may_be_lost(group, history, caller):
    # The server may acknowledge a commit after the caller was told of a timeout.
    request_id = history.send(caller, "WRITE 1 data", SECOND)
    history.answer(request_id, ["ERR TIMEOUT late", "READY I -"], SECOND)
    group.acknowledged.append((Commit(1, 1, (request_id,)), SECOND))
    history.send(caller, "WRITE 1 data", SECOND)
    assert history.check_acknowledged_commits() == []


def test_account_of_a_key_that_moves_is_not_compared(group, history, caller):
    # ``AccountChecks`` compares it with the accounts that held the key.
    caller.account = Missing("the key moves")
    group.runs.append(run(history.send(caller, "READ 1", SECOND), account="other"))
    assert history.check_runs() == []
