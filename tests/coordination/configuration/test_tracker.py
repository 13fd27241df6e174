import random
from datetime import timedelta

import pytest

from bulrushloom.coordination.base import (
    KeyValue,
    LogEntry,
    ReadKey,
    SendMessage,
    StoreFailed,
    select_effects,
)
from bulrushloom.coordination.configuration.base import (
    RULES_KEY,
    RulesChanged,
    RulesText,
)
from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.coordination.configuration.utils import pack_text, unpack_text
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.rules.keys import key_digest
from tests.coordination.configuration.builders import SECOND, Fleet, rules_text

OFFLINE_KEY = "offline key"
TEXT = rules_text(3, 0, 0) + (
    f"\nkey a {key_digest(OFFLINE_KEY)} offline=1m # ops: kiosk"
)


def reader_with_rules():
    tracker = ConfigurationTracker("n0", "d0", random.Random(0))
    assert select_effects(tracker.tick(timedelta()), ReadKey)
    answer = KeyValue(RULES_KEY, 5, {"text": TEXT})
    effects = tracker.handle("n0", answer, timedelta())
    assert select_effects(effects, RulesChanged) == [RulesChanged(5)]
    return tracker


@pytest.mark.parametrize(
    ("key", "accepted_until", "refused_from"),
    [("key 0", 5, 5.1), (OFFLINE_KEY, 63, 63.1)],
)
def test_key_is_refused_after_its_time_without_confirmation(
    key, accepted_until, refused_from
):
    tracker = reader_with_rules()
    assert tracker.find_account(key, accepted_until * SECOND) == "a"
    assert (
        tracker.find_account_by_digest(key_digest(key), accepted_until * SECOND) == "a"
    )
    refusal = tracker.find_account(key, refused_from * SECOND)
    assert refusal.kind is ErrorKind.CONFIGURATION_STALE
    assert tracker.is_fresh(3 * SECOND)
    assert not tracker.is_fresh(3.1 * SECOND)


def test_unknown_key_is_unauthenticated_even_when_stale():
    refusal = reader_with_rules().find_account("guess", 99 * SECOND)
    assert isinstance(refusal, Refusal)
    assert refusal.kind is ErrorKind.UNAUTHENTICATED


@pytest.mark.parametrize("value", [{"text": "nonsense"}, {"text": 7}, None, []])
def test_broken_value_is_reported_once_and_the_former_rules_stay(value):
    tracker = reader_with_rules()
    events = []
    for second in (1, 2):
        assert select_effects(tracker.tick(second * SECOND), ReadKey)
        answer = KeyValue(RULES_KEY, 6, value)
        events += tracker.handle("n0", answer, second * SECOND)
    assert [event.event for event in events] == ["rules_broken"]
    assert tracker.version == 5
    assert tracker.text == TEXT


def test_broken_text_does_not_stop_the_fleet():
    fleet = Fleet(9, 3)
    fleet.run(3 * SECOND)
    fleet.write()
    fleet.run(3 * SECOND)
    fleet.write_invalid()
    fleet.run(20 * SECOND)
    fleet.check_converged()


def test_broken_text_does_not_confirm_rules_that_missed_a_version():
    fleet = Fleet(9, 3)
    fleet.run(3 * SECOND)
    fleet.cut = fleet.cut_from_store = {"d1"}
    fleet.write(withdraw=True)
    fleet.run(8 * SECOND)
    fleet.write_invalid()
    fleet.cut_from_store = set()
    fleet.run(4 * SECOND)


def test_restarted_instances_beside_an_empty_store_confirm_nothing():
    fleet = Fleet(9, 3)
    fleet.run(3 * SECOND)
    fleet.cut = fleet.cut_from_store = {"d2"}
    fleet.write(withdraw=True)
    fleet.run(8 * SECOND)
    fleet.emptied = True
    fleet.start("n0")
    fleet.start("n3")
    fleet.run(SECOND)
    fleet.cut = set()
    fleet.run(2 * SECOND)


@pytest.mark.parametrize(
    ("version", "text"), [(4, TEXT), (0, None), (5, TEXT + "\n# other")]
)
def test_store_that_lost_data_is_no_confirmation(version, text):
    tracker = reader_with_rules()
    tracker.tick(SECOND)
    effects = tracker.handle("n0", KeyValue(RULES_KEY, version, {"text": text}), SECOND)
    assert [entry.event for entry in select_effects(effects, LogEntry)] == [
        "rules_store_mismatch"
    ]
    assert tracker.version == 5
    assert tracker.text == TEXT
    assert not tracker.is_fresh(3.5 * SECOND)


@pytest.mark.parametrize(
    "packed",
    ["", "!", pack_text("x")[:-8], pack_text("x" * 1_000_001), "\u00e9"],
)
def test_malformed_text_of_a_peer_is_refused(packed):
    with pytest.raises(ValueError):
        unpack_text(packed)
    tracker = reader_with_rules()
    effects = tracker.handle("n1", RulesText(6, packed), SECOND)
    assert select_effects(effects, LogEntry)[0].event == "rules_text_refused"
    assert tracker.version == 5


def test_late_store_answer_is_dated_as_its_oldest_read():
    tracker = reader_with_rules()
    tracker.tick(SECOND)
    assert select_effects(tracker.tick(6 * SECOND), ReadKey), "the first read expired"
    answer = KeyValue(RULES_KEY, 5, {"text": TEXT})
    tracker.handle("n0", answer, 6 * SECOND)
    assert not tracker.is_fresh(6 * SECOND)


def test_fleet_without_a_store_stays_fresh_and_serves_a_restarted_instance():
    fleet = Fleet(9, 3)
    fleet.run(3 * SECOND)
    fleet.store_up = False
    fleet.run(20 * SECOND)
    fleet.start("n4")
    fleet.run(4 * SECOND)
    fleet.check_converged()


def test_minority_without_a_store_does_not_stay_fresh():
    fleet = Fleet(9, 3)
    fleet.run(3 * SECOND)
    fleet.cut = fleet.cut_from_store = {"d1"}
    fleet.run(6 * SECOND)
    fresh = {
        fleet.domain_by_name[name]
        for name, node in fleet.node_by_name.items()
        if node.tracker.is_fresh(fleet.clock(name))
    }
    assert fresh == {"d0", "d2"}


def test_lone_instance_of_a_single_domain_does_not_stay_fresh():
    tracker = ConfigurationTracker("n0", "d0", random.Random(0))
    tracker.tick(timedelta())
    text = {"text": rules_text(1, 0, 0)}
    tracker.handle("n0", KeyValue(RULES_KEY, 1, text), timedelta())
    for second in range(1, 7):
        tracker.tick(second * SECOND)
        tracker.handle("n0", StoreFailed(RULES_KEY, "timeout"), second * SECOND)
    assert not tracker.is_fresh(6 * SECOND)


def test_others_read_while_the_readers_of_a_domain_are_paused():
    fleet = Fleet(12, 2)
    fleet.run(3 * SECOND)
    for node in fleet.node_by_name.values():
        node.paused = node.tracker._topology.is_reader
    fleet.write(withdraw=True)
    fleet.run(6 * SECOND)
    running = [n.tracker for n in fleet.node_by_name.values() if not n.paused]
    assert {tracker.version for tracker in running} == {fleet.valid_version}


def test_drain_and_versions_of_peers_are_known():
    fleet = Fleet(3, 1)
    fleet.node_by_name["n2"].tracker.draining = True
    fleet.run(3 * SECOND)
    tracker = fleet.node_by_name["n0"].tracker
    assert tracker.draining_peers == {"n2"}
    assert tracker.known_versions == {"n0": 1, "n1": 1, "n2": 1}
    tracker.update_instances({"n0": "d0", "n1": "d0"}, fleet.clock("n0"))
    assert tracker.draining_peers == set()
    assert tracker.known_versions == {"n0": 1, "n1": 1}


def test_messages_are_json_compatible():
    tracker = reader_with_rules()
    tracker.update_instances({"n1": "d1"}, SECOND)
    for effect in select_effects(tracker.tick(2 * SECOND), SendMessage):
        answers = tracker.handle("n1", effect.message, 2 * SECOND)
        assert all(
            isinstance(value, (bool, int, str, dict))
            for answer in select_effects(answers, SendMessage)
            for value in answer.message
        )
