"""Waiters of the connection pool."""

from datetime import timedelta

import pytest

from bulrushloom.proxy.connections import ConnectionPool
from standins.platform.network import run_for
from tests.proxy.builders import build_target, ms

TARGET = build_target("a")


def acquire(instance, pool, timeout):
    return instance.loop.spawn_unreported(pool.acquire(TARGET, "hotel", {}, 1, timeout))


def test_release_at_the_moment_of_a_timeout_wakes_the_next_waiter(instance):
    # Guards against a free connection that no waiter gets: the wake-up went to the
    # waiter that timed out in the same iteration of the loop.
    pool = ConnectionPool(instance.loop, instance.network, lambda _: 1)
    first = acquire(instance, pool, ms(500))
    instance.run(ms(100))
    expiring = acquire(instance, pool, ms(50))
    waiting = acquire(instance, pool, timedelta(seconds=5))
    # The timer of the release is due together with that of the waiter's timeout.
    run_for(instance.loop, ms(0))
    instance.loop.call_later(ms(50), lambda: pool.release(first.result()))
    instance.run(ms(60))
    with pytest.raises(TimeoutError):
        expiring.result()
    assert waiting.done()
    pool.close()
