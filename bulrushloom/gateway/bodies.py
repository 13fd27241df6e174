"""Parsing and validation of the headers and JSON bodies of caller requests."""

import math
import re
from datetime import timedelta
from typing import Annotated, Any

from pydantic import (
    ConfigDict,
    Field,
    PlainValidator,
    TypeAdapter,
    ValidationError,
    with_config,
)
from typing_extensions import NotRequired, TypedDict

from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.gateway.base import BeginRequest, EndRequest, QueryRequest

MAX_SESSION_BYTES = 1024
MAX_NAME_CHARS = 128
MAX_AGE_MS = 86_400_000
_INT64 = 2**63
_AUTHORIZATION = re.compile(r"(?i:bearer) +([\x21-\x7e]{1,256})")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")


def _check_parameter(value: Any) -> Any:
    if value is None or isinstance(value, bool | str):
        return value
    if isinstance(value, int):
        if -_INT64 <= value < _INT64:
            return value
        raise ValueError("an integer does not fit in 64 bits")
    if isinstance(value, float):
        if math.isfinite(value):
            return value
        raise ValueError("a float is not finite")
    raise ValueError("a parameter must be null, boolean, integer, float or string")


Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARS)]
Session = Annotated[str, Field(max_length=MAX_SESSION_BYTES)]
Transaction = Annotated[str, Field(min_length=1, max_length=MAX_SESSION_BYTES)]
Parameter = Annotated[Any, PlainValidator(_check_parameter)]
_STRICT = ConfigDict(extra="forbid", strict=True)


@with_config(_STRICT)
class QueryBody(TypedDict):
    """Body of ``POST /v1/query``."""

    database: Name
    sql: Annotated[str, Field(min_length=1)]
    params: NotRequired[list[Parameter]]
    session: NotRequired[Session | None]
    max_age_ms: NotRequired[Annotated[int, Field(ge=0, le=MAX_AGE_MS)] | None]
    transaction: NotRequired[Transaction | None]


@with_config(_STRICT)
class BeginBody(TypedDict):
    """Body of ``POST /v1/transactions``."""

    database: Name
    session: NotRequired[Session | None]


@with_config(_STRICT)
class EndBody(TypedDict):
    """Body of a commit or rollback."""

    session: NotRequired[Session | None]


_QUERY = TypeAdapter(QueryBody)
_BEGIN = TypeAdapter(BeginBody)
_END = TypeAdapter(EndBody)


def parse_api_key(header: str | None) -> str | Refusal:
    """Return the key of an ``Authorization`` header, or a refusal.

    The message of the refusal does not contain the value of a malformed header.
    """
    if header is None:
        return Refusal(ErrorKind.UNAUTHENTICATED, "Authorization: Bearer KEY is needed")
    match = _AUTHORIZATION.fullmatch(header)
    if match is None:
        message = "malformed Authorization header; send Authorization: Bearer KEY"
        return Refusal(ErrorKind.UNAUTHENTICATED, message)
    return match[1]


def parse_query(
    body: bytes, account: str, idempotency_key: str | None
) -> QueryRequest | Refusal:
    """Return the request described by a query body."""
    if idempotency_key is not None and not _IDEMPOTENCY_KEY.fullmatch(idempotency_key):
        return _bad_request("Idempotency-Key needs 1 to 128 printable ASCII characters")
    value = _parse(_QUERY, body)
    if isinstance(value, Refusal):
        return value
    max_age_ms = value.get("max_age_ms")
    return QueryRequest(
        account=account,
        database=value["database"],
        sql=value["sql"],
        params=value.get("params", []),
        session=value.get("session"),
        max_age=None if max_age_ms is None else timedelta(milliseconds=max_age_ms),
        transaction=value.get("transaction"),
        idempotency_key=idempotency_key,
    )


def parse_begin(body: bytes, account: str) -> BeginRequest | Refusal:
    """Return the request to begin a transaction."""
    value = _parse(_BEGIN, body)
    if isinstance(value, Refusal):
        return value
    return BeginRequest(account, value["database"], value.get("session"))


def parse_end(
    body: bytes, account: str, transaction: str, commit: bool
) -> EndRequest | Refusal:
    """Return the request to commit or roll back; the body may be empty."""
    value = _parse(_END, body or b"{}")
    if isinstance(value, Refusal):
        return value
    return EndRequest(account, transaction, commit, value.get("session"))


def _parse(adapter: TypeAdapter[Any], body: bytes) -> Any:
    # The parser of pydantic preserves integers of any size. orjson converts integers
    # beyond 64 bits to floats, which would silently change a parameter.
    try:
        return adapter.validate_json(body)
    except ValidationError as error:
        return _bad_request(_describe_error(error))


def _describe_error(error: ValidationError) -> str:
    first = error.errors(include_url=False, include_input=False)[0]
    location = ".".join(str(part)[:MAX_NAME_CHARS] for part in first["loc"])
    return (
        f"body field {location}: {first['msg']}"
        if location
        else f"body: {first['msg']}"
    )


def _bad_request(message: str) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, message)
