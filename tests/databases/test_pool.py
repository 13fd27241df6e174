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

NO_WAIT = timedelta()
LONG_WAIT = timedelta(seconds=5)


@pytest.fixture
def server():
    return CountingServer()


def test_idle_connection_is_used_again(server):
    pool = ConnectionPool(server, 2)
    with pool.connection(NO_WAIT) as first:
        pass
    with pool.connection(NO_WAIT) as second:
        assert second == first
    assert pool.open_count == 1


@pytest.mark.parametrize(
    "error, is_reused",
    [
        (AnswerLost("late"), False),
        (ServerUnreachable("gone"), False),
        (StatementRefused(RefusalReason.NO_CONNECTION, "closed"), False),
        (StatementRefused(RefusalReason.SQL_ERROR, "syntax"), True),
        (KeyError("fault of the user"), False),
    ],
)
def test_connection_with_a_lost_answer_is_not_reused(server, error, is_reused):
    pool = ConnectionPool(server, 1)
    with pytest.raises(type(error)):
        with pool.connection(NO_WAIT) as first:
            raise error
    with pool.connection(NO_WAIT) as second:
        assert (second == first) is is_reused
    assert len(server.open_connections) == pool.open_count == 1


def test_full_pool_refuses_after_the_timeout(server):
    pool = ConnectionPool(server, 1)
    connection = pool.acquire(NO_WAIT)
    with pytest.raises(StatementRefused) as caught:
        pool.acquire(timedelta(milliseconds=20))
    assert caught.value.reason is RefusalReason.TOO_MANY_CONNECTIONS
    pool.release(connection)
    assert pool.acquire(NO_WAIT) == connection


@pytest.mark.parametrize("give_back", ["release", "discard"])
def test_waiting_thread_gets_the_next_free_connection(server, give_back):
    pool = ConnectionPool(server, 1)
    connection = pool.acquire(NO_WAIT)
    timer = threading.Timer(0.02, getattr(pool, give_back), (connection,))
    timer.start()
    assert pool.acquire(LONG_WAIT) in server.open_connections
    timer.join()
    assert len(server.open_connections) == 1


@pytest.mark.parametrize("failure", [AnswerLost("lost"), ServerUnreachable("gone")])
def test_failed_connect_raises_server_unreachable_and_frees_its_slot(server, failure):
    pool = ConnectionPool(server, 1)
    server.failure = failure
    with pytest.raises(ServerUnreachable):
        pool.acquire(NO_WAIT)
    server.failure = None
    pool.acquire(NO_WAIT)
    assert pool.open_count == 1


def test_smaller_maximum_closes_surplus_connections(server):
    pool = ConnectionPool(server, 3)
    connections = [pool.acquire(NO_WAIT) for _ in range(3)]
    pool.release(connections[0])
    pool.set_maximum(1)
    assert pool.open_count == 2
    pool.release(connections[1])
    assert pool.open_count == 1
    pool.release(connections[2])
    assert pool.acquire(NO_WAIT) == connections[2]


def test_closed_pool_opens_nothing(server):
    pool = ConnectionPool(server, 2)
    connection = pool.acquire(NO_WAIT)
    pool.release(pool.acquire(NO_WAIT))
    pool.close()
    pool.release(connection)
    assert server.open_connections == set()
    with pytest.raises(ServerUnreachable):
        pool.acquire(NO_WAIT)


def test_threads_never_share_a_connection_or_exceed_the_maximum(server):
    pool = ConnectionPool(server, 3)
    in_use: set[str] = set()
    reused_while_in_use = []

    def use_connection(number):
        with pool.connection(LONG_WAIT) as connection:
            if connection in in_use:
                reused_while_in_use.append(connection)
            in_use.add(connection)
            time.sleep(0.001)
            in_use.discard(connection)
            if number % 7 == 0:
                raise AnswerLost("late")

    with ThreadPoolExecutor(12) as executor:
        for future in [
            executor.submit(use_connection, number) for number in range(200)
        ]:
            assert isinstance(future.exception(), AnswerLost | None)
    assert reused_while_in_use == []
    assert server.max_open_count <= 3
