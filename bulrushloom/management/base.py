"""Interfaces and helpers for the commands."""

import functools
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, ParamSpec

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from bulrushloom.core.sentinels import Missing

Parameters = ParamSpec("Parameters")


class PreparedCommand:
    """A command with its arguments that has not been run yet.

    Fire calls a function before it checks the remaining arguments. If that call ran
    the command, a misspelled option would only be reported afterwards.
    """

    def __init__(self, action: Callable[[], None]):
        self._action = action

    def __str__(self) -> str:
        return ""


def run_prepared(command: PreparedCommand) -> None:
    """Run the command, once Fire has accepted all arguments."""
    command._action()


def prepared_command(
    function: Callable[Parameters, None],
) -> Callable[Parameters, PreparedCommand]:
    """Decorate a function so that calling it returns a command for ``main`` to run."""

    @functools.wraps(function)
    def prepare(
        *arguments: Parameters.args, **options: Parameters.kwargs
    ) -> PreparedCommand:
        return PreparedCommand(functools.partial(function, *arguments, **options))

    return prepare


class InstanceStatus(TypedDict):
    """The fields of the answer to ``GET /v1/status`` that commands use."""

    name: str
    domain: str
    incarnation: str
    rules_version: int
    draining: bool
    fresh: bool
    groups: dict[str, Any] | list[Any]


INSTANCE_STATUS = TypeAdapter(InstanceStatus)


class StatusReader(ABC):
    """Client that reads the status of instances."""

    @abstractmethod
    def read(self, address: str) -> InstanceStatus | Missing:
        """Return the status served on a peer address, or why it is missing."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
