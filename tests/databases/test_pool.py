import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import timedelta

import pytest

from bulrushloom.databases.exceptions import (
    AnswerLost,
    RefusalReason,
    ServerUnreachable,
    StatementRefused,
)
from bulrushloom.databases.pool import ConnectionPool
from tests.databases.builders import CountingServer

NOW = timedelta()
LONG = timedelta(seconds=5)


@pytest.fixture
def server():
    return CountingServer()


def test_idle_connection_is_used_again(server):
    pool = ConnectionPool(server, 2)
    with pool.connection(NOW) as first:
        pass
    with pool.connection(NOW) as second:
        assert second == first
    assert pool.open_count == 1


@pytest.mark.parametrize(
    "error, kept",
    [
        (AnswerLost("late"), False),
        (ServerUnreachable("gone"), False),
        (StatementRefused(RefusalReason.NO_CONNECTION, "closed"), False),
        (StatementRefused(RefusalReason.SQL_ERROR, "syntax"), True),
        (KeyError("fault of the user"), False),
    ],
)
def test_connection_with_an_open_answer_never_reaches_the_next_user(
    server, error, kept
):
    pool = ConnectionPool(server, 1)
    with pytest.raises(type(error)):
        with pool.connection(NOW) as first:
            raise error
    with pool.connection(NOW) as second:
        assert (second == first) is kept
    assert len(server.open) == pool.open_count == 1


def test_full_pool_refuses_after_the_timeout(server):
    pool = ConnectionPool(server, 1)
    connection = pool.acquire(NOW)
    with pytest.raises(StatementRefused) as caught:
        pool.acquire(timedelta(milliseconds=20))
    assert caught.value.reason is RefusalReason.TOO_MANY_CONNECTIONS
    pool.release(connection)
    assert pool.acquire(NOW) == connection


@pytest.mark.parametrize("give_back", ["release", "discard"])
def test_waiting_user_gets_the_next_free_connection(server, give_back):
    pool = ConnectionPool(server, 1)
    connection = pool.acquire(NOW)
    timer = threading.Timer(0.02, getattr(pool, give_back), (connection,))
    timer.start()
    assert pool.acquire(LONG) in server.open
    timer.join()
    assert len(server.open) == 1


@pytest.mark.parametrize("failure", [AnswerLost("lost"), ServerUnreachable("gone")])
def test_failed_connect_is_unreachable_and_frees_its_place(server, failure):
    pool = ConnectionPool(server, 1)
    server.failure = failure
    with pytest.raises(ServerUnreachable):
        pool.acquire(NOW)
    server.failure = None
    pool.acquire(NOW)
    assert pool.open_count == 1


def test_smaller_maximum_closes_surplus_connections(server):
    pool = ConnectionPool(server, 3)
    used = [pool.acquire(NOW) for _ in range(3)]
    pool.release(used[0])
    pool.set_maximum(1)
    assert pool.open_count == 2
    pool.release(used[1])
    assert pool.open_count == 1
    pool.release(used[2])
    assert pool.acquire(NOW) == used[2]


def test_closed_pool_opens_nothing(server):
    pool = ConnectionPool(server, 2)
    used = pool.acquire(NOW)
    pool.release(pool.acquire(NOW))
    pool.close()
    pool.release(used)
    assert server.open == set()
    with pytest.raises(ServerUnreachable):
        pool.acquire(NOW)


def test_threads_never_share_a_connection_nor_exceed_the_maximum(server):
    pool = ConnectionPool(server, 3)
    in_use: set[str] = set()
    shared = []

    def use(number):
        with pool.connection(LONG) as connection:
            if connection in in_use:
                shared.append(connection)
            in_use.add(connection)
            time.sleep(0.001)
            in_use.discard(connection)
            if number % 7 == 0:
                raise AnswerLost("late")

    with ThreadPoolExecutor(12) as executor:
        for future in [executor.submit(use, number) for number in range(200)]:
            assert isinstance(future.exception(), AnswerLost | None)
    assert shared == []
    assert server.most_open <= 3
