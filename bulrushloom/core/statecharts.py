"""State machines whose state charts are defined in YAML files."""

from importlib import resources
from typing import NamedTuple

import yaml
from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from bulrushloom.core.exceptions import ChartError, InvalidTransition


class ChartFile(TypedDict):
    """Content of a chart file: the next state by state and event."""

    name: str
    initial: str
    states: dict[str, dict[str, str]]


class StateChart(NamedTuple):
    """A validated state chart."""

    name: str
    initial: str
    next_by_state_and_event: dict[tuple[str, str], str]
    states: frozenset[str]


_CHART_FILE = TypeAdapter(ChartFile)


def load_chart(package: str, filename: str) -> StateChart:
    """Load the chart ``filename`` of ``package``; raise ``ChartError`` if invalid."""
    text = resources.files(package).joinpath(filename).read_text()
    return parse_chart(text, filename)


def parse_chart(text: str, filename: str) -> StateChart:
    """Parse the YAML ``text`` of a chart; ``filename`` is used in error messages."""
    try:
        chart = _CHART_FILE.validate_python(yaml.safe_load(text))
    except (ValidationError, yaml.YAMLError) as error:
        raise ChartError(f"{filename}: {error}") from error
    states = frozenset(chart["states"])
    if chart["initial"] not in states:
        raise ChartError(f"{filename}: initial state {chart['initial']!r} is unknown")
    next_by_state_and_event = {}
    for state, next_state_by_event in chart["states"].items():
        for event, next_state in next_state_by_event.items():
            if next_state not in states:
                raise ChartError(
                    f"{filename}: {state}.{event}: next state {next_state!r} is unknown"
                )
            next_by_state_and_event[state, event] = next_state
    return StateChart(chart["name"], chart["initial"], next_by_state_and_event, states)


class StateMachine:
    """State machine of one chart; only ``send`` changes the current state."""

    def __init__(self, chart: StateChart):
        self.chart = chart
        self.state = chart.initial

    def accepts(self, event: str) -> bool:
        """Return whether the current state has a transition for ``event``."""
        return (self.state, event) in self.chart.next_by_state_and_event

    def send(self, event: str) -> str:
        """Make the transition for ``event`` and return the new state."""
        try:
            self.state = self.chart.next_by_state_and_event[self.state, event]
        except KeyError:
            raise InvalidTransition(
                f"chart {self.chart.name}: state {self.state!r} does not accept event "
                f"{event!r}"
            ) from None
        return self.state
