"""Waiters of the connection pool."""

from datetime import timedelta
from random import Random

import pytest

from bulrushloom.proxy.connection_pool import ConnectionPool
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


def use(instance, pool, account):
    """Use a connection for an account; return whether one was open."""
    opened = pool.opened
    steps = pool.acquire(TARGET, account, {}, 1, ms(500))
    using = instance.loop.spawn_unreported(steps)
    instance.run(ms(50))
    pool.release(using.result())
    return pool.opened == opened


def test_rare_accounts_do_not_take_the_connection_of_a_frequent_one(instance):
    # Guards against statements of large accounts that open a connection again and
    # again, because many small accounts were served in between.
    pool = ConnectionPool(instance.loop, instance.network, lambda _: 3)
    for _ in range(5):
        use(instance, pool, "hotel")
    for number in range(6):
        use(instance, pool, f"account-{number}")
    assert use(instance, pool, "hotel")
    pool.close()


def test_account_that_becomes_rare_gives_its_connection_up(instance):
    # Guards against connections of accounts that were large once.
    pool = ConnectionPool(instance.loop, instance.network, lambda _: 2)
    for _ in range(5):
        use(instance, pool, "former")
    instance.run(timedelta(minutes=10))
    for account in ("hotel", "other", "hotel", "other"):
        use(instance, pool, account)
    assert use(instance, pool, "hotel") and use(instance, pool, "other")
    pool.close()


def test_connections_of_one_domain_for_88_accounts(instance):
    # Replays the accounts of the larger deployment; guards against an order of closing
    # that ignores how often accounts need a connection (0.21 of the uses open one if
    # the one that has been idle for longest is closed).
    pool = ConnectionPool(instance.loop, instance.network, lambda _: 29)
    names = [f"account-{number}" for number in range(88)]
    weights = [rank**-1.2 for rank in range(1, 89)]
    accounts = Random(1).choices(names, weights, k=2000)
    for account in accounts[:1000]:
        use(instance, pool, account)
    opened = pool.opened
    for account in accounts[1000:]:
        use(instance, pool, account)
    assert (pool.opened - opened) / 1000 < 0.18
    pool.close()
