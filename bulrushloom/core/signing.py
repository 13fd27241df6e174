"""Signatures of session tokens, transaction identifiers and peer batches."""

import hashlib
import hmac
from typing import Any

import orjson
from itsdangerous import BadData, URLSafeSerializer

from bulrushloom.core.exceptions import BadSignature


class _CompactJSON:
    """Adapter of orjson to the serializer interface of itsdangerous."""

    @staticmethod
    def dumps(value: Any, **_: Any) -> str:
        return orjson.dumps(value).decode()

    @staticmethod
    def loads(payload: str | bytes) -> Any:
        return orjson.loads(payload)


class Signer:
    """Signer of JSON values; its key is derived from the fleet secret and a purpose."""

    def __init__(self, secret: str, purpose: str):
        self._serializer = URLSafeSerializer(
            secret,
            salt=f"bulrushloom.{purpose}",
            serializer=_CompactJSON,
            signer_kwargs={"digest_method": hashlib.sha256, "key_derivation": "hmac"},
        )

    def dumps(self, value: Any) -> str:
        """Return ``value`` as signed URL-safe text."""
        text = self._serializer.dumps(value)
        return text.decode() if isinstance(text, bytes) else text

    def loads(self, text: str) -> Any:
        """Return the value of signed text; raise ``BadSignature`` if it is invalid."""
        try:
            return self._serializer.loads(text)
        except (BadData, ValueError) as error:
            raise BadSignature(str(error)) from error


def hmac_signature(secret: str, *parts: bytes) -> str:
    """Return the hexadecimal HMAC-SHA256 of the length-prefixed ``parts``."""
    digest = hmac.new(secret.encode(), digestmod=hashlib.sha256)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def constant_time_equal(left: str, right: str) -> bool:
    """Return whether two texts are equal; the comparison takes constant time."""
    return hmac.compare_digest(left.encode(), right.encode())
