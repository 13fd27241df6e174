import pytest

from bulrushloom.core.exceptions import ChartError, InvalidTransition
from bulrushloom.core.statecharts import StateMachine, parse_chart

DOOR = "{name: lock, initial: open, states: {open: {close: shut}, shut: {}}}"


def test_machine_follows_the_chart():
    machine = StateMachine(parse_chart(DOOR, "lock.yaml"))
    assert machine.send("close") == "shut"
    with pytest.raises(InvalidTransition, match="state 'shut' has no event 'close'"):
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
def test_broken_chart_is_refused(text):
    with pytest.raises(ChartError, match="lock.yaml"):
        parse_chart(text, "lock.yaml")
