"""Structured logging: JSON lines on standard error or in a file."""

import re
import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from typing import IO, Any

import eliot

from bulrushloom.coordination.base import Effect, LogEntry

REDACTED = "[refused: named like a credential]"
# Names of counts, such as ``tokens`` or ``key_count``, do not match.
_CREDENTIAL_NAME = re.compile(
    r"(?i)(api|caller|access|private|fleet|bearer)?[_-]?(key|token|signature|session)"
    r"|.*(secret|passw|authorization|credential|cookie|bearer).*"
    r"|session[_-]token"
)
_RESERVED_FIELDS = frozenset(
    ("action_status", "action_type", "message_type", "task_level", "task_uuid")
) | {"timestamp"}
_MAX_NESTING_LEVELS = 8


def redact(value: Any, depth: int = 0) -> Any:
    """Return ``value`` with the values of fields that may be credentials replaced."""
    if depth > _MAX_NESTING_LEVELS:
        return "[refused: nested too deeply]"
    if isinstance(value, dict):
        return {
            name: REDACTED if is_credential(name) else redact(item, depth + 1)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [redact(item, depth + 1) for item in value]
    return value


def is_credential(name: Any) -> bool:
    """Return whether the name of a field suggests a credential."""
    return isinstance(name, str) and _CREDENTIAL_NAME.fullmatch(name) is not None


@contextmanager
def opened_logs(path: str, instance: str) -> Iterator[None]:
    """Write all log messages to ``path``, or to standard error if that is empty.

    Raise ``OSError`` if the file cannot be opened for appending.
    """
    with ExitStack() as stack:
        file: IO[str] = sys.stderr
        if path:
            file = stack.enter_context(open(path, "a", encoding="utf-8"))
        write = eliot.FileDestination(file=file)

        def destination(message: dict[str, Any]) -> None:
            write({"instance": instance, **redact(message)})

        eliot.add_destinations(destination)
        stack.callback(eliot.remove_destination, destination)
        yield


def log_effects(effects: Iterable[Effect]) -> None:
    """Log the ``LogEntry`` effects, and ignore all others."""
    for effect in effects:
        if isinstance(effect, LogEntry):
            log_event(effect.event, effect.fields)


def log_event(event: str, fields: dict[str, Any]) -> None:
    """Log one event; a field name that eliot reserves gets a trailing underscore."""
    renamed_fields = {
        f"{k}_" if k in _RESERVED_FIELDS else k: v for k, v in fields.items()
    }
    eliot.log_message(event, **renamed_fields)
