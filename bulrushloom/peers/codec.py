"""Encoding of peer messages as JSON arrays ``[type name, [fields...]]``.

A batch is the JSON array of its messages. In compressed form, it is ``PACKED_PREFIX``
and that array as a raw deflate stream with a preset dictionary.
"""

import zlib
from collections.abc import Collection, Iterable
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from bulrushloom.coordination.base import Message
from bulrushloom.core.sentinels import Missing

# Smaller batches are not worth compressing.
MIN_PACKED_BYTES = 100
PACKED_PREFIX = b"z"
# zlib's fastest level, because an instance sends up to 200 batches a second.
DEFLATE_LEVEL = 1
# Upper bound on the size of a decompressed batch; outboxes send at most 1 MB of JSON.
MAX_UNPACKED_BYTES = 2_000_000


class MessageCodec:
    """Encoder and validating decoder of messages of the given ``NamedTuple`` classes.

    A batch that contains a message of a ``packed`` class is compressed.
    """

    def __init__(self, classes: Iterable[type], packed: Collection[type] = ()):
        self._packed_classes = frozenset(packed)
        names = sorted(packed_class.__name__ for packed_class in packed)
        # Small batches consist mostly of the type name and the start of the fields.
        self._dictionary = "".join(f'["{name}",["' for name in names).encode()
        self._adapter_by_name: dict[str, TypeAdapter[Any]] = {}
        for message_class in classes:
            name = message_class.__name__
            if name in self._adapter_by_name:
                raise ValueError(f"duplicate message class name: {name}")
            self._adapter_by_name[name] = TypeAdapter(message_class)

    def encode(self, message: Message) -> bytes:
        """Return ``message`` as JSON; raise ``TypeError`` if its class is unknown."""
        name = type(message).__name__
        if name not in self._adapter_by_name:
            raise TypeError(f"{name} is not a registered message class")
        return orjson.dumps((name, tuple(message)), default=_as_plain_tuple)

    def decode(self, value: Any) -> Message | Missing:
        """Return the message of a parsed JSON value, or why it is invalid."""
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
            return Missing(f"{name}: {_first_error(error)}")
        return message

    def encode_batch(self, messages: Iterable[Message], encoded: list[bytes]) -> bytes:
        """Return the body of a batch; ``encoded`` contains the encoded messages."""
        body = join_batch(encoded)
        if len(body) < MIN_PACKED_BYTES:
            return body
        if self._packed_classes.isdisjoint(map(type, messages)):
            return body
        deflater = zlib.compressobj(
            DEFLATE_LEVEL, wbits=-zlib.MAX_WBITS, zdict=self._dictionary
        )
        return PACKED_PREFIX + deflater.compress(body) + deflater.flush()

    def decode_batch(self, body: bytes) -> list[Message | Missing] | Missing:
        """Return the messages of a batch, or why the batch as a whole is invalid.

        An invalid message is replaced by ``Missing`` and does not affect the others.
        """
        if body.startswith(PACKED_PREFIX):
            unpacked = _decompress(body[len(PACKED_PREFIX) :], self._dictionary)
            if isinstance(unpacked, Missing):
                return unpacked
            body = unpacked
        try:
            values = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Missing(f"the batch is not JSON: {error}")
        if not isinstance(values, list):
            return Missing("the batch is not an array")
        return [self.decode(value) for value in values]


def join_batch(encoded: Iterable[bytes]) -> bytes:
    """Return the uncompressed body of a batch of encoded messages."""
    return b"[" + b",".join(encoded) + b"]"


def _decompress(body: bytes, dictionary: bytes) -> bytes | Missing:
    inflater = zlib.decompressobj(-zlib.MAX_WBITS, dictionary)
    try:
        unpacked = inflater.decompress(body, MAX_UNPACKED_BYTES)
    except zlib.error:
        return Missing("the compressed batch is malformed")
    if not inflater.eof:
        return Missing("the compressed batch is cut off or too long")
    return unpacked


def _as_plain_tuple(value: Any) -> Any:
    # orjson does not serialize subclasses of tuple, such as a nested ``NamedTuple``.
    if isinstance(value, tuple):
        return tuple(value)
    raise TypeError(f"{type(value).__name__} is not JSON")


def _first_error(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    field_path = ".".join(str(part) for part in first["loc"])
    return f"field {field_path}: {first['msg']}"
