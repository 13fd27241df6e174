from datetime import timedelta

import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.management.applying import RulesApplier, wait_until_active
from bulrushloom.management.exceptions import BadInput, CommandError
from bulrushloom.rules.stored import MAX_HISTORY_ENTRIES
from tests.management.builders import (
    ClockAdvancingSleep,
    FakeStatusReader,
    MemoryDirectory,
    MemoryStore,
)

FIRST = "group a # ops: first\n"
SECOND = FIRST + "group b # ops: second\n"
THIRD = FIRST + "group c # ops: third\n"


@pytest.fixture
def store():
    return MemoryStore()


def applier(store, author="maya", active_version=0):
    clock = ManualClock()
    return RulesApplier(
        store, clock, author, lambda: active_version, ClockAdvancingSleep(clock)
    )


def test_value_holds_version_author_time_and_history(store):
    assert applier(store).apply(FIRST).version == 1
    applied = applier(store, "ana").apply(SECOND)
    assert applied == (2, ["added group b  # ops: second"], True)
    value = store.current.value
    assert (value["version"], value["text"], value["author"]) == (2, SECOND, "ana")
    assert value["applied_at"] == "2026-01-01T00:00:00+00:00"
    assert [entry["version"] for entry in value["history"]] == [2, 1]
    assert value["history"][0]["apply_id"] == value["apply_id"]


def test_same_text_is_not_written_again(store):
    applier(store).apply(FIRST)
    assert applier(store).apply(FIRST) == (1, [], False)
    assert store.swap_count == 1


def test_history_and_summary_are_bounded(store):
    for number in range(MAX_HISTORY_ENTRIES + 5):
        groups = [f"group g{number}-{n} # ops: x" for n in range(50)]
        applier(store).apply("\n".join(groups))
    history = store.current.value["history"]
    assert len(history) == MAX_HISTORY_ENTRIES
    assert max(len(entry["summary"]) for entry in history) <= 300


def test_lost_race_is_reported_with_the_author_and_changes_of_the_winner(store):
    applier(store).apply(FIRST)

    def other_change():
        store.before_swap = lambda: None
        applier(store, "ana").apply(SECOND)

    store.before_swap = other_change
    with pytest.raises(CommandError) as caught:
        applier(store).apply(THIRD)
    assert str(caught.value) == (
        "not applied: version 2 replaced version 1, applied by ana at "
        "2026-01-01T00:00:00+00:00; it changed: added group b  # ops: second"
    )
    assert caught.value.status == 1
    assert store.current.value["text"] == SECOND


def test_file_based_on_an_older_version_is_refused(store):
    applier(store).apply(FIRST)
    applier(store, "ana").apply(SECOND)
    with pytest.raises(CommandError, match="by ana at .*added group b"):
        applier(store).apply(THIRD, base=1)
    assert applier(store).apply(THIRD, base=2).version == 3


@pytest.mark.parametrize(
    "faults",
    [
        ["lost after"],
        ["lost after", "lost", "lost"],
        ["answered", "lost", "lost after"],
    ],
)
def test_lost_answer_is_resolved_with_the_apply_id(store, faults):
    applier(store).apply(FIRST)
    faults = faults[1:] if faults[0] == "answered" else faults
    store.before_swap = lambda: (
        store.faults.extend(faults) or setattr(store, "before_swap", lambda: None)
    )
    assert applier(store).apply(SECOND).version == 2
    assert store.swap_count == 2, "the change is written once"


def test_lost_answer_is_resolved_if_another_change_followed(store):
    store.faults = ["lost after"]
    first_applier = applier(store)
    first_applier._sleep = lambda seconds: applier(store, "ana").apply(SECOND)
    assert first_applier.apply(FIRST).version == 1
    assert store.current.version == 2


def test_lost_swap_is_a_lost_race_if_another_change_was_first(store):
    applier(store).apply(FIRST)
    store.before_swap = lambda: store.faults.append("lost")
    second_applier = applier(store)

    def other_change(seconds):
        store.before_swap = lambda: None
        applier(store, "ana").apply(THIRD)

    second_applier._sleep = other_change
    with pytest.raises(CommandError, match="applied by ana"):
        second_applier.apply(SECOND)


def test_outcome_is_unknown_if_the_store_stops_answering(store):
    store.before_swap = lambda: store.faults.extend(["lost"] * 100)
    with pytest.raises(CommandError, match="unknown whether .* apply id [0-9a-f]{32}"):
        applier(store).apply(FIRST)


def test_unavailable_store_is_reported_before_the_change(store):
    store.faults = ["lost"]
    with pytest.raises(CommandError, match="nothing was changed"):
        applier(store).apply(FIRST)


def test_value_above_the_size_limit_of_the_store_is_refused(store):
    with pytest.raises(BadInput, match="exceed"):
        applier(store).apply("#\n" * 400_000)


def test_waiting_ends_once_the_version_is_active_at_all_serving_instances():
    clock = ManualClock()
    directory = MemoryDirectory(leaving={"n2"})
    reader = FakeStatusReader({"127.0.0.1:0": 4, "127.0.0.1:1": 3, "127.0.0.1:2": None})

    def activate_everywhere(seconds):
        clock.advance(timedelta(seconds=seconds))
        reader.version_by_address["127.0.0.1:1"] = 5

    reports = wait_until_active(directory, reader, 4, clock, activate_everywhere)
    assert [report.entry.name for report in reports] == ["n0", "n1"]
    assert clock.monotonic() < timedelta(seconds=1)


def test_waiting_ends_after_six_seconds():
    clock = ManualClock()
    reader = FakeStatusReader({f"127.0.0.1:{i}": 3 for i in range(3)})
    reports = wait_until_active(
        MemoryDirectory(), reader, 4, clock, ClockAdvancingSleep(clock)
    )
    assert clock.monotonic() == timedelta(seconds=6)
    assert not any(report.runs(4) for report in reports)


@pytest.mark.parametrize("previous_texts", [[], [FIRST], [SECOND]])
@pytest.mark.parametrize("faults", [[], ["lost after", "lost"]])
def test_version_exceeds_those_of_the_fleet_after_the_store_lost_its_data(
    store, previous_texts, faults
):
    for text in previous_texts:
        applier(store).apply(text)
    store.before_swap = lambda: (
        store.faults.extend(faults) if store.current.version == 4 else None
    )
    assert applier(store, active_version=5).apply(SECOND).version == 6
    assert store.current.version == store.current.value["version"] == 6
    assert len(store.current.value["history"]) == len(previous_texts) + 1


def test_store_too_far_behind_the_fleet_is_refused(store):
    with pytest.raises(CommandError, match="restore the store's data"):
        applier(store, active_version=99_999).apply(FIRST)
    assert store.swap_count == 0
