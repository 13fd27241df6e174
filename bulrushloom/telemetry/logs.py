"""Structured logs: JSON lines on standard error or in a file."""

import re
import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from typing import IO, Any

import eliot

from bulrushloom.coordination.base import Effect, LogEntry

REFUSED = "[refused: named like a credential]"
# Plain counts such as ``tokens`` or ``key_count`` do not match.
_CREDENTIAL = re.compile(
    r"(?i)(api|caller|access|private|fleet|bearer)?[_-]?(key|token|signature|session)"
    r"|.*(secret|passw|authorization|credential|cookie|bearer).*"
    r"|session[_-]token"
)
_RESERVED = frozenset(
    ("action_status", "action_type", "message_type", "task_level", "task_uuid")
) | {"timestamp"}
_MAX_DEPTH = 8


def scrub(value: Any, depth: int = 0) -> Any:
    """Return ``value`` with the values of credential-like names replaced."""
    if depth > _MAX_DEPTH:
        return "[refused: nested too deeply]"
    if isinstance(value, dict):
        return {
            name: REFUSED if is_credential(name) else scrub(item, depth + 1)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [scrub(item, depth + 1) for item in value]
    return value


def is_credential(name: Any) -> bool:
    """Return whether a field is named like a credential."""
    return isinstance(name, str) and _CREDENTIAL.fullmatch(name) is not None


@contextmanager
def opened_logs(path: str, instance: str) -> Iterator[None]:
    """Write all log messages to ``path``, or to standard error if it is empty.

    Raise ``OSError`` if the file cannot be opened for appending.
    """
    with ExitStack() as stack:
        file: IO[str] = sys.stderr
        if path:
            file = stack.enter_context(open(path, "a", encoding="utf-8"))
        write = eliot.FileDestination(file=file)

        def destination(message: dict[str, Any]) -> None:
            write({"instance": instance, **scrub(message)})

        eliot.add_destinations(destination)
        stack.callback(eliot.remove_destination, destination)
        yield


def log_effects(effects: Iterable[Effect]) -> None:
    """Log the ``LogEntry`` effects of a decision object; ignore all others."""
    for effect in effects:
        if isinstance(effect, LogEntry):
            log_event(effect.event, effect.fields)


def log_event(event: str, fields: dict[str, Any]) -> None:
    """Log one event; fields that eliot reserves get a trailing underscore."""
    safe = {f"{k}_" if k in _RESERVED else k: v for k, v in fields.items()}
    eliot.log_message(event, **safe)
