"""Configuration changes while a statement waits: who it runs for, and where."""

import pytest

from tests.proxy.builders import (
    build_account,
    build_configuration,
    ms,
)

# The next operation of an account without tokens waits up to 50 ms.
HOTEL = build_account("hotel", rate_per_s=20.0, burst=1.0)
STATEMENTS = ("READ 1", "WRITE 1 data", "EXEC r 1", "EXEC w 1 data")
WITHDRAWN = {"accounts": {"key-2": HOTEL}}


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


def send_without_token(client, text, account=HOTEL):
    """Send a statement that waits for a rate token."""
    limiter, loop = client.instance.services.limiter, client.instance.loop
    while limiter.try_admit(account, loop.now()) <= ms(0):
        pass
    send(client, text)


def answer(client):
    client.instance.run(ms(400))
    return client.received()


@pytest.mark.parametrize("database", ["strict", "bounded", "own"])
@pytest.mark.parametrize("text", STATEMENTS)
def test_key_withdrawn_during_the_wait_for_a_token_is_refused(instance, text, database):
    # Guards against a statement that runs for an account without a name (issue 34).
    client = open_session(instance, database)
    send_without_token(client, text)
    configure(instance, **WITHDRAWN)
    assert answer(client)[0].startswith("ERR NOAUTH")
    assert instance.group.runs == []
