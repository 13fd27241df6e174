"""Encoding of peer messages as JSON arrays ``[type name, [fields...]]``."""

from collections.abc import Iterable
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from bulrushloom.coordination.base import Message
from bulrushloom.core.sentinels import Missing


class MessageCodec:
    """Encode and check messages of the given ``NamedTuple`` classes."""

    def __init__(self, classes: Iterable[type]):
        self._adapter_by_name: dict[str, TypeAdapter[Any]] = {}
        for message_class in classes:
            name = message_class.__name__
            if name in self._adapter_by_name:
                raise ValueError(f"two message classes are named {name}")
            self._adapter_by_name[name] = TypeAdapter(message_class)

    def encode(self, message: Message) -> bytes:
        """Return the JSON of ``message``; raise ``TypeError`` if not encodable."""
        name = type(message).__name__
        if name not in self._adapter_by_name:
            raise TypeError(f"{name} is not a registered message class")
        return orjson.dumps((name, tuple(message)), default=_plain)

    def decode(self, value: Any) -> Message | Missing:
        """Return the message that a parsed JSON value stands for, or the reason."""
        if not isinstance(value, list) or len(value) != 2:
            return Missing("a message is not a pair")
        name, fields = value
        adapter = self._adapter_by_name.get(name) if isinstance(name, str) else None
        if adapter is None:
            return Missing("unknown message type")
        if not isinstance(fields, list):
            return Missing(f"{name}: the fields are not an array")
        try:
            message: Message = adapter.validate_python(fields)
        except ValidationError as error:
            return Missing(f"{name}: {_first_reason(error)}")
        return message

    def decode_batch(self, body: bytes) -> list[Message | Missing] | Missing:
        """Return each message of a batch, or why the batch as a whole is broken."""
        try:
            values = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Missing(f"the batch is not JSON: {error}")
        if not isinstance(values, list):
            return Missing("the batch is not an array")
        return [self.decode(value) for value in values]


def join_batch(encoded: Iterable[bytes]) -> bytes:
    """Return the body of a batch of encoded messages."""
    return b"[" + b",".join(encoded) + b"]"


def _plain(value: Any) -> Any:
    # orjson refuses subclasses of tuple; nested ``NamedTuple`` values arrive here.
    if isinstance(value, tuple):
        return tuple(value)
    raise TypeError(f"{type(value).__name__} is not JSON")


def _first_reason(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return f"field {place}: {first['msg']}"
