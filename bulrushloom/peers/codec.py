"""Encoding of peer messages as JSON arrays ``[type name, [fields...]]``.

A batch is the JSON array of its messages, or ``PACKED_MARK`` and that array as a raw
deflate stream with a preset dictionary.
"""

import zlib
from collections.abc import Collection, Iterable
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError

from bulrushloom.coordination.base import Message
from bulrushloom.core.sentinels import Missing

# Compressing smaller batches saves little.
PACKED_FROM_BYTES = 100
PACKED_MARK = b"z"
# The fastest level of zlib, because an instance sends up to 200 batches a second.
PACK_LEVEL = 1
# Bound on what a compressed batch may expand to; outboxes send at most 1 MB of JSON.
MAX_UNPACKED_BYTES = 2_000_000


class MessageCodec:
    """Encode and check messages of the given ``NamedTuple`` classes.

    Batches with messages of the ``packed`` classes are compressed.
    """

    def __init__(self, classes: Iterable[type], packed: Collection[type] = ()):
        self._packed = frozenset(packed)
        names = sorted(packed_class.__name__ for packed_class in packed)
        # Small batches consist mostly of such a beginning.
        self._dictionary = "".join(f'["{name}",["' for name in names).encode()
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

    def encode_batch(self, messages: Iterable[Message], encoded: list[bytes]) -> bytes:
        """Return the body of a batch of messages with their encodings."""
        body = join_batch(encoded)
        if len(body) < PACKED_FROM_BYTES:
            return body
        if self._packed.isdisjoint(map(type, messages)):
            return body
        deflater = zlib.compressobj(
            PACK_LEVEL, wbits=-zlib.MAX_WBITS, zdict=self._dictionary
        )
        return PACKED_MARK + deflater.compress(body) + deflater.flush()

    def decode_batch(self, body: bytes) -> list[Message | Missing] | Missing:
        """Return each message of a batch, or why the batch as a whole is broken."""
        if body.startswith(PACKED_MARK):
            unpacked = _unpack(body[len(PACKED_MARK) :], self._dictionary)
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
    """Return the body of a batch of encoded messages."""
    return b"[" + b",".join(encoded) + b"]"


def _unpack(body: bytes, dictionary: bytes) -> bytes | Missing:
    inflater = zlib.decompressobj(-zlib.MAX_WBITS, dictionary)
    try:
        unpacked = inflater.decompress(body, MAX_UNPACKED_BYTES)
    except zlib.error:
        return Missing("the compressed batch is malformed")
    if not inflater.eof:
        return Missing("the compressed batch is cut off or too long")
    return unpacked


def _plain(value: Any) -> Any:
    # orjson refuses subclasses of tuple; nested ``NamedTuple`` values arrive here.
    if isinstance(value, tuple):
        return tuple(value)
    raise TypeError(f"{type(value).__name__} is not JSON")


def _first_reason(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    place = ".".join(str(part) for part in first["loc"])
    return f"field {place}: {first['msg']}"
