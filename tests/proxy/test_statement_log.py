"""What the log tells about a statement from its request id alone."""

import pytest

from bulrushloom.proxy.configuration import Consistency, changes_between
from tests.proxy.builders import build_account, build_configuration, build_route, ms

HOTEL = build_account("hotel", rate_per_s=20.0, burst=1.0)


@pytest.fixture
def lines(instance, monkeypatch):
    lines = []
    monkeypatch.setattr(
        instance.services.log, "write", lambda event, **f: lines.append((event, f))
    )
    return lines


def attempts(lines, request_id):
    return [
        fields
        for event, fields in lines
        if event == "statement_attempt" and fields["request_id"] == request_id.encode()
    ]


def configure(instance, revision, **changes):
    instance.services.configuration = build_configuration(revision, **changes)


def test_attempt_tells_the_wait_for_a_token_and_the_configurations(instance, lines):
    # Guards against a record of an incident that leaves open whether the configuration
    # changed while the statement waited.
    configure(instance, 2, accounts={"key-1": HOTEL})
    client = instance.client("strict")
    limiter, now = instance.services.limiter, instance.loop.now()
    while (wait := limiter.try_admit(HOTEL, now)) <= ms(0):
        pass
    request_id = client.request_id(1)
    client.send(f"QUERY {request_id} READ 1")
    instance.run(ms(10))
    configure(instance, 3, accounts={"key-1": HOTEL, "key-2": HOTEL})
    instance.run(ms(200))
    (fields,) = attempts(lines, request_id)
    assert fields["account"] == "hotel"
    assert fields["admitted_configuration"] == 2
    assert fields["configuration"] == 3
    assert wait - ms(2) <= fields["admission_wait"] <= wait + ms(2)
    assert not fields["is_public"]


def test_attempt_tells_that_its_route_is_public(instance, lines):
    route = build_route("open", Consistency.PRIMARY, is_public=True)
    configure(instance, 2, routes=(route,))
    client = instance.client("open", "")
    client.query("READ 1")
    (fields,) = attempts(lines, client.request_id(1))
    assert fields["is_public"]
    assert fields["account"] == ""
    assert fields["admission_wait"] == ms(0)


def test_change_of_keys_and_routes_is_counted():
    hotel, shop = build_account("hotel"), build_account("shop")
    strict = build_route("strict", Consistency.PRIMARY)
    old = build_configuration(
        1,
        (strict, build_route("gone", Consistency.PRIMARY)),
        {"kept": hotel, "withdrawn": hotel, "moved": hotel},
    )
    new = build_configuration(
        2,
        (
            strict._replace(service="stock"),
            build_route("new", Consistency.PRIMARY),
            build_route("newer", Consistency.PRIMARY),
        ),
        {"kept": hotel._replace(burst=1.0), "moved": shop, "added": shop},
    )
    change = changes_between(old, new)
    assert (change.keys_added, change.keys_withdrawn, change.keys_moved) == (1, 1, 1)
    assert change.routes_added == 2
    assert (change.routes_removed, change.routes_changed) == (1, 1)
