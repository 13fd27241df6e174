"""Interfaces and helpers of the commands."""

import functools
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, ParamSpec

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from bulrushloom.core.sentinels import Missing

Parameters = ParamSpec("Parameters")


class PreparedCommand:
    """Hold a command and its arguments until all arguments have been read.

    Fire calls a function before it looks at the arguments that are left over, so a
    misspelt option would be reported only after the command had run.
    """

    def __init__(self, action: Callable[[], None]):
        self._action = action

    def __str__(self) -> str:
        return ""


def run_prepared(command: PreparedCommand) -> None:
    """Run a command whose arguments are complete."""
    command._action()


def prepared_command(
    function: Callable[Parameters, None],
) -> Callable[Parameters, PreparedCommand]:
    """Turn a function into a command that ``main`` runs."""

    @functools.wraps(function)
    def prepare(
        *arguments: Parameters.args, **options: Parameters.kwargs
    ) -> PreparedCommand:
        return PreparedCommand(functools.partial(function, *arguments, **options))

    return prepare


class InstanceStatus(TypedDict):
    """Describe the answer of ``GET /v1/status``, as far as commands use it."""

    name: str
    domain: str
    incarnation: str
    rules_version: int
    draining: bool
    fresh: bool
    groups: dict[str, Any] | list[Any]


INSTANCE_STATUS = TypeAdapter(InstanceStatus)


class StatusReader(ABC):
    """Read the status of instances."""

    @abstractmethod
    def read(self, address: str) -> InstanceStatus | Missing:
        """Return the status from the peer address or why there is none."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
