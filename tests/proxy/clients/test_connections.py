"""Memory of connections to targets, and the log of what clients cause."""

import pytest

from bulrushloom.proxy.clients.connection_memory import ConnectionMemory
from bulrushloom.proxy.clients.limited_log import LOG_INTERVAL, LimitedLog
from bulrushloom.proxy.clients.memory_budget import (
    AccountKind,
    MemoryBudget,
    MemoryLimits,
)
from bulrushloom.proxy.messages import PreparedStatement


@pytest.fixture
def budget():
    return MemoryBudget(MemoryLimits(600, 1_000))


def test_rows_and_state_of_a_connection_are_counted(budget):
    memory = ConnectionMemory()
    account = budget.open_account(AccountKind.TARGET)
    memory.start(account, lambda: True, lambda _: None)
    assert memory.add_row(200) and budget.used == 200
    memory.set_state({b"zone": b"east"}, {b"p": PreparedStatement(False, b"shape")})
    assert budget.used == 213
    memory.end_answer()
    assert budget.used == 13
    memory.close()
    assert budget.used == 0


def test_answer_that_no_instance_of_this_size_can_hold_ends(budget):
    # Guards against an answer of a target that alone uses up the memory.
    memory = ConnectionMemory()
    memory.start(budget.open_account(AccountKind.TARGET), lambda: True, lambda _: None)
    assert memory.add_row(250)
    assert not memory.add_row(1)


def test_large_answer_is_a_lost_answer(instance):
    instance.services.memory.limits = MemoryLimits(60_000, 100_000)
    for server in instance.group.server_by_id.values():
        server.row_bytes = 30_000
    lines = instance.client("strict").query("READ 1")
    assert lines[0].startswith("ERR") and "too large" in lines[0]
    for server in instance.group.server_by_id.values():
        server.row_bytes = 20_000
    assert instance.client("strict").query("READ 1")[-2].startswith("DONE")


def test_lines_that_clients_cause_are_limited(instance):
    lines = []
    instance.log.write = lambda event, **fields: lines.append((event, fields))
    log = LimitedLog(instance.loop, instance.log, "client_closed")
    for number in range(5):
        log.write(number=number)
    instance.run(LOG_INTERVAL)
    log.write(number=9)
    counts = [fields["others_since_last_line"] for _, fields in lines]
    assert counts == [0, 4]
