import pytest

from bulrushloom.core.exceptions import ChartError, InvalidTransition
from bulrushloom.core.statecharts import StateMachine, parse_chart

DOOR_CHART = "{name: lock, initial: open, states: {open: {close: shut}, shut: {}}}"


def test_transitions_follow_the_chart():
    machine = StateMachine(parse_chart(DOOR_CHART, "lock.yaml"))
    assert machine.send("close") == "shut"
    with pytest.raises(
        InvalidTransition, match="state 'shut' does not accept event 'close'"
    ):
        machine.send("close")


@pytest.mark.parametrize(
    "text",
    [
        "{name: lock, initial: gone, states: {open: {}}}",
        "{name: lock, initial: open, states: {open: {close: gone}}}",
        "{name: lock}",
        "[",
    ],
)
def test_invalid_chart_raises_an_error_with_the_file_name(text):
    with pytest.raises(ChartError, match="lock.yaml"):
        parse_chart(text, "lock.yaml")
