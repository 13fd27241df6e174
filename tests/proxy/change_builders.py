"""Builders for tests that change the configuration while a statement waits."""

from bulrushloom.proxy.failover.groups import GroupPhase
from tests.proxy.builders import (
    SERVICE,
    build_account,
    build_configuration,
    build_group,
    ms,
)

# The next operation of an account without tokens waits up to 50 ms.
HOTEL = build_account("hotel", rate_per_s=20.0, burst=1.0)
SHOP = build_account("shop")
STATEMENTS = ("READ 1", "WRITE 1 data", "EXEC r 1", "EXEC w 1 data")
WITHDRAWN = {"accounts": {"key-2": HOTEL}}
MOVED = {"accounts": {"key-1": SHOP, "key-2": HOTEL}}
OTHER_SERVICE = "stock"


def configure(instance, **changes):
    """Apply the next configuration, as the reader of the store does."""
    revision = instance.services.configuration.revision + 1
    changes.setdefault("accounts", {"key-1": HOTEL})
    instance.services.configuration = build_configuration(revision, **changes)


def open_session(instance, database="strict", key="key-1", **changes):
    configure(instance, **changes)
    client = instance.client(database, key)
    client.query("PREPARE r READ shape-r")
    client.query("PREPARE w WRITE shape-w")
    return client


def send(client, text):
    client.sent += 1
    client.send(f"QUERY {client.request_id(client.sent)} {text}")
    client.instance.run(ms(10))
    assert client.received() == []


def use_all_tokens(instance, account):
    while instance.services.limiter.try_admit(account, instance.loop.now()) <= ms(0):
        pass


def admitted_count(instance, account_name):
    usage = instance.services.limiter.own_usage(instance.loop.now()).get(account_name)
    return usage.admitted if usage else 0


def send_without_token(client, text, account=HOTEL):
    """Send a statement that waits for a rate token."""
    use_all_tokens(client.instance, account)
    send(client, text)


def send_without_primary(client, text):
    """Send a statement that waits for a primary; return what announces it."""
    instance = client.instance
    replacing = build_group(SERVICE, old_id="a")
    instance.services.apply_group_records({SERVICE: replacing})
    instance.run(ms(600))
    send(client, text)

    def announce():
        instance.group.server_by_id["a"].is_primary = False
        instance.group.promote("b", ms(1))
        instance.run(ms(100))
        steady = replacing._replace(
            phase=GroupPhase.STEADY, primary_id="b", revision=11
        )
        instance.services.apply_group_records({SERVICE: steady})

    return announce


def answer(client):
    client.instance.run(ms(400))
    return client.received()


def accounts_of_runs(instance, *words):
    return [run.account for run in instance.group.runs if run.text.startswith(words)]


def time_of_answer(client, limit):
    """Run until an answer arrives; return the elapsed time and the lines."""
    elapsed = ms(0)
    while elapsed < limit:
        client.instance.run(ms(10))
        elapsed += ms(10)
        lines = client.received()
        if lines:
            return elapsed, lines
    return elapsed, []


def assert_nothing_left(instance):
    """Check that no connection, pending commit or open transaction remains."""
    instance.run(ms(1500))
    for server_id in ("a", "b", "c"):
        assert instance.services.pool.in_flight(server_id) == 0
    assert not any(instance.services.commits._pending_by_service.values())
    for server in instance.group.server_by_id.values():
        assert all(not s.transaction for s in server.connections)
