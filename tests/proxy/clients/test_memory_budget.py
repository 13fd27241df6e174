"""Decisions of the memory budget on the loads that exhausted a process."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.clients.memory_budget import (
    LIGHT_BYTES,
    PRESSURE_TIME,
    RECEIVE_BYTES,
    SESSION_BYTES,
    AccountKind,
    MemoryBudget,
    MemoryLimits,
    memory_limits,
)

MEGABYTE = 1024 * 1024
LIMITS = MemoryLimits(6 * MEGABYTE, 10 * MEGABYTE)
NOW = timedelta(seconds=50)


@pytest.fixture
def budget():
    return MemoryBudget(LIMITS)


def add(budget, size, kind=AccountKind.CLIENT, is_closable=True):
    account = budget.open_account(kind)
    account.set_held(size)
    account.is_closable = lambda: is_closable
    return account


def test_crowd_with_unfinished_lines_stays_within_the_budget(budget):
    # Replays 180 clients with one unfinished line of 1 MB each, which used 210 MB.
    accounts = [add(budget, SESSION_BYTES) for _ in range(180)]
    for second in range(3):
        for _ in range(16):
            for account in accounts:
                size = account.receivable() if account.is_open else 0
                account.set_buffered(min(account.buffered + size, MEGABYTE))
        assert budget.used <= LIMITS.budget_bytes + RECEIVE_BYTES
        for account in budget.accounts_to_close(NOW + second * PRESSURE_TIME):
            account.close()
    assert budget.used < LIMITS.pause_bytes


def test_heavy_connections_pause_first_and_light_ones_go_on(budget):
    heavy, light = add(budget, 6 * MEGABYTE), add(budget, SESSION_BYTES)
    assert heavy.receivable() == 0
    assert 0 < light.receivable() < RECEIVE_BYTES
    add(budget, 4 * MEGABYTE)
    assert light.receivable() == 0


def test_light_connection_resumes_as_soon_as_it_may_receive(budget):
    # Guards against ordinary clients that are paused by a short peak, and then wait
    # until heavy connections are closed.
    light, other = add(budget, SESSION_BYTES), add(budget, 10 * MEGABYTE)
    heavy, resumed = add(budget, MEGABYTE), []
    light.on_room = lambda: resumed.append(light)
    heavy.on_room = lambda: resumed.append(heavy)
    assert light.receivable() == 0 and heavy.receivable() == 0
    other.set_held(8 * MEGABYTE)
    assert resumed == [light] and light.receivable() > 0
    assert budget.paused_count == 1
    other.close()
    assert resumed == [light, heavy] and budget.paused_count == 0


def test_answers_of_targets_are_read_until_the_budget_is_used_up(budget):
    # Guards against statements that time out because clients fill the budget.
    target = add(budget, MEGABYTE, AccountKind.TARGET)
    other = add(budget, 8 * MEGABYTE)
    assert target.receivable() == RECEIVE_BYTES
    other.set_held(9 * MEGABYTE)
    resumed = []
    target.on_room = lambda: resumed.append(target)
    assert target.receivable() == 0
    other.set_held(8 * MEGABYTE)
    assert resumed == [target]


def test_paused_connections_resume_once_there_is_room(budget):
    heavy, other = add(budget, 5 * MEGABYTE), add(budget, 2 * MEGABYTE)
    resumed = []
    heavy.on_room = lambda: resumed.append(heavy)
    assert heavy.receivable() == 0 and budget.paused_count == 1
    other.set_held(MEGABYTE + 1)
    assert resumed == []
    other.close()
    assert resumed == [heavy] and budget.paused_count == 0


def test_heaviest_are_closed_first_and_only_as_many_as_needed(budget):
    sizes = [3, 1, 4, 2]
    accounts = [add(budget, size * MEGABYTE) for size in sizes]
    chosen = budget.accounts_to_close(NOW)
    assert chosen == [accounts[2]]
    for account in chosen:
        account.close()
    assert budget.accounts_to_close(NOW) == []


def test_connections_with_a_running_statement_are_not_closed(budget):
    running = add(budget, 8 * MEGABYTE, is_closable=False)
    idle = add(budget, 3 * MEGABYTE)
    assert budget.accounts_to_close(NOW) == [idle]
    assert running.is_open


def test_connections_that_block_each_other_are_closed_after_a_time(budget):
    # Guards against paused clients that wait for each other for ever.
    for _ in range(70):
        add(budget, 90 * 1024)
    assert budget.accounts_to_close(NOW) == []
    later = NOW + PRESSURE_TIME
    assert budget.accounts_to_close(later - timedelta(milliseconds=1)) == []
    assert 0 < len(budget.accounts_to_close(later)) < 30


def test_pressure_that_ends_starts_the_time_anew(budget):
    heavy = add(budget, 7 * MEGABYTE)
    assert budget.accounts_to_close(NOW) == []
    heavy.set_held(MEGABYTE)
    assert budget.accounts_to_close(NOW + PRESSURE_TIME) == []
    heavy.set_held(7 * MEGABYTE)
    assert budget.accounts_to_close(NOW + 2 * PRESSURE_TIME) == []


def test_light_connections_are_never_closed(budget):
    accounts = [add(budget, LIGHT_BYTES) for _ in range(400)]
    assert budget.used > LIMITS.budget_bytes
    assert budget.accounts_to_close(NOW) == []
    assert all(account.is_open for account in accounts)


def test_closed_connection_no_longer_counts(budget):
    account = add(budget, MEGABYTE)
    account.close()
    account.close()
    account.set_held(5)
    account.set_buffered(5)
    assert budget.used == 0


@pytest.mark.parametrize("limit_mb", [152, 200, 552, None])
def test_ordinary_sessions_stay_below_the_level_of_pauses(limit_mb):
    # 1,000 open sessions, and 4 running messages of 1 MiB with 3 copies each.
    limits = memory_limits(limit_mb)
    sessions, messages = 1_000 * SESSION_BYTES, 4 * 3 * MEGABYTE
    assert sessions + messages < limits.pause_bytes
    assert limits.budget_bytes < (limit_mb or 512) * MEGABYTE / 2


def test_process_on_a_tiny_machine_still_serves_a_large_message():
    assert memory_limits(40).pause_bytes > 4 * MEGABYTE
