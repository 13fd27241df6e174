"""Request validation and connection handling shared by the stand-ins."""

import errno
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError


class BadRequest(ValueError):
    """The request is invalid."""


class DropConnection(BrokenPipeError):
    """Make the HTTP server close the socket without an answer.

    cheroot closes a connection without a response or a log entry when the handler
    raises a socket error with the error number ``EPIPE``.
    """

    def __init__(self, reason: str):
        super().__init__(errno.EPIPE, reason)


def parse_body(adapter: TypeAdapter[Any], body: bytes) -> Any:
    """Decode and validate a JSON body; raise ``BadRequest`` if it is invalid."""
    try:
        return adapter.validate_python(orjson.loads(body or b"{}"), strict=True)
    except orjson.JSONDecodeError as error:
        raise BadRequest(f"body is not JSON: {error}") from error
    except ValidationError as error:
        raise BadRequest(_first_reason(error)) from error


def _first_reason(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    field = ".".join(str(part) for part in first["loc"]) or "body"
    return f"{field}: {first['msg']}"


def query_integer(query: dict[str, str], name: str, default: int, limit: int) -> int:
    """Return a query parameter as an integer from 0 to ``limit``.

    Raises ``BadRequest`` for any other text. A missing parameter is ``default``.
    """
    text = query.get(name)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise BadRequest(f"{name}: not a whole number")
    if int(text) > limit:
        raise BadRequest(f"{name}: greater than {limit}")
    return int(text)
