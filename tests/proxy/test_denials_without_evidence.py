"""Unknown keys and databases while no recent read shows that they are unknown.

Each test guards against CONFIG (issue 47): a caller was refused for good although a
version with its key and route had been acknowledged long before.
"""

import pytest

from bulrushloom.proxy.configuration import EMPTY_CONFIGURATION
from bulrushloom.proxy.store_freshness import NEVER
from tests.proxy.builders import SETTINGS, ms
from tests.proxy.change_builders import (
    WITHDRAWN,
    answer,
    configure,
    open_session,
    send_without_token,
)
from tests.proxy.fleet_builders import SECOND, cut_off_instance

BOUND = SETTINGS.configuration_bound
CALLERS = [("nowhere", "key-1"), ("strict", "stolen")]


def lose_store(instance, duration):
    instance.store_is_reachable = False
    instance.run(duration)


def start_without_configuration(instance):
    """Bring the instance into the state of one that has just started."""
    instance.store_is_reachable = False
    instance.services.configuration = EMPTY_CONFIGURATION
    instance.services.store_freshness.last_read_at = NEVER


def check_may_repeat(lines):
    assert lines[0].startswith("ERR BUSY"), lines


def test_instance_that_has_read_no_configuration_does_not_deny(instance):
    # Replays the return of all instances on hcah-records-grown: 0.4 s after their start
    # some refused clients of valid databases as unknown, with version 0.
    start_without_configuration(instance)
    check_may_repeat(instance.client("strict").start_answer)


@pytest.mark.parametrize(("database", "key"), CALLERS)
def test_caller_that_may_have_been_added_since_the_last_read(instance, database, key):
    lose_store(instance, BOUND + ms(300))
    check_may_repeat(instance.client(database, key).start_answer)


@pytest.mark.parametrize(("database", "key"), CALLERS)
def test_caller_that_is_unknown_by_a_recent_read_is_denied(instance, database, key):
    lose_store(instance, BOUND - ms(500))
    denial = instance.client(database, key).start_answer
    assert denial[0].startswith(("ERR NODB", "ERR NOAUTH"))


def test_caller_with_a_failed_read_on_its_behalf_may_repeat(instance):
    lose_store(instance, BOUND * 2)
    asked = []
    instance.services.request_client_read = lambda: asked.append("read")
    check_may_repeat(instance.client("strict", "stolen").start_answer)
    assert asked == ["read"]


def test_key_that_may_have_returned_to_an_open_session(instance):
    client = open_session(instance)
    configure(instance, **WITHDRAWN)
    lose_store(instance, BOUND + ms(300))
    check_may_repeat(client.query("READ 1"))


def test_key_that_may_have_returned_during_a_transaction(instance):
    client = open_session(instance)
    client.query("BEGIN")
    configure(instance, **WITHDRAWN)
    lose_store(instance, BOUND - ms(250))
    # The transaction goes on without a pause that would end it.
    client.query("SET name value")
    lose_store(instance, ms(500))
    check_may_repeat(client.query("READ 1"))


def test_key_that_may_have_returned_during_a_wait_for_a_token(instance):
    client = open_session(instance)
    lose_store(instance, BOUND + ms(300))
    send_without_token(client, "READ 1")
    configure(instance, **WITHDRAWN)
    check_may_repeat(answer(client))


def test_copy_of_the_store_is_no_evidence_that_a_key_is_unknown(instance):
    # The store returned from a copy that may lack the version with the key.
    lose_store(instance, BOUND - ms(750))
    instance.services.enter_era(1, is_settled=False)
    instance.store_is_reachable = True
    instance.run(SECOND)
    check_may_repeat(instance.client("strict", "stolen").start_answer)


def test_cut_off_instance_does_not_deny(fleet):
    isolated = cut_off_instance(fleet)
    fleet.run(BOUND + ms(500))
    check_may_repeat(isolated.client("nowhere").start_answer)
