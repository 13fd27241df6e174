"""Session tokens: the positions that a session must see, and their signed text."""

from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.exceptions import BadSignature
from bulrushloom.core.signing import Signer

MAX_TOKEN_BYTES = 1024
MAX_GROUPS_PER_TOKEN = 16

# Position with the longest encoding. Capacity is checked with it before a statement
# runs, because the actual position is not known yet.
LONGEST_POSITION = LogPosition(2**31, 2**53)

_Count = Annotated[int, Field(ge=0, le=2**53, strict=True)]


class _Payload(TypedDict):
    __pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[misc]

    a: str
    g: list[tuple[str, _Count, _Count]]


_PAYLOAD = TypeAdapter(_Payload)


class SessionToken(NamedTuple):
    """Hold a session's position in each group, least recently updated group first."""

    account: str
    position_by_group: dict[str, LogPosition] = {}

    def position(self, group: str) -> LogPosition:
        """Return the position that reads in ``group`` must see, or the origin."""
        return self.position_by_group.get(group, ORIGIN)

    def advance(self, group: str, position: LogPosition) -> "SessionToken":
        """Return the token with the position of ``group`` advanced to ``position``."""
        updated = dict(self.position_by_group)
        previous = updated.pop(group, ORIGIN)
        updated[group] = max(previous, position)
        return self._replace(position_by_group=updated)

    def merge(self, other: "SessionToken") -> "SessionToken":
        """Return a token with the higher of both positions in each group."""
        merged = self
        for group, position in other.position_by_group.items():
            merged = merged.advance(group, position)
        return merged


class SessionCodec:
    """Encode session tokens as signed text of at most 1 KB, and decode them."""

    def __init__(self, secret: str):
        self._signer = Signer(secret, "session")

    def encode(
        self,
        token: SessionToken,
        floor_by_group: Mapping[str, LogPosition] | None = None,
    ) -> str | Refusal:
        """Return the signed text of ``token``, or a refusal if it is too large.

        ``floor_by_group`` contains the position that all servers of a group have
        applied. If the token is too large, its least recently updated groups whose
        position is at or below the floor are dropped, since every server satisfies
        them.
        """
        floors = floor_by_group or {}
        while True:
            text = self._sign(token)
            if text is not None:
                return text
            droppable = _least_recent_satisfied(token, floors)
            if droppable is None:
                return _invalid(
                    f"session touches {len(token.position_by_group)} groups, more than "
                    f"a token of {MAX_TOKEN_BYTES} bytes holds; begin a new session"
                )
            token = _without_group(token, droppable)

    def check_capacity(
        self,
        token: SessionToken,
        group: str,
        floor_by_group: Mapping[str, LogPosition] | None = None,
    ) -> Refusal | None:
        """Return a refusal if ``token`` has no room for a position in ``group``.

        This is checked before a statement runs: if the token could not store the
        position of a completed write, read-your-writes would be violated.
        """
        result = self.encode(token.advance(group, LONGEST_POSITION), floor_by_group)
        return result if isinstance(result, Refusal) else None

    def decode(self, text: str, account: str) -> SessionToken | Refusal:
        """Return the token in ``text`` if it was signed for ``account``."""
        if len(text) > MAX_TOKEN_BYTES:
            return _invalid(f"session token exceeds {MAX_TOKEN_BYTES} bytes")
        try:
            payload = _PAYLOAD.validate_python(self._signer.loads(text))
        except BadSignature:
            return _invalid("session token has no valid signature")
        except ValidationError:
            return _invalid("session token is malformed")
        if payload["a"] != account:
            return _invalid("session token belongs to another account")
        token = SessionToken(account)
        for group, term, offset in payload["g"]:
            token = token.advance(group, LogPosition(term, offset))
        return token

    def _sign(self, token: SessionToken) -> str | None:
        if len(token.position_by_group) > MAX_GROUPS_PER_TOKEN:
            return None
        payload: dict[str, Any] = {
            "a": token.account,
            "g": [[group, *pos] for group, pos in token.position_by_group.items()],
        }
        text = self._signer.dumps(payload)
        return text if len(text) <= MAX_TOKEN_BYTES else None


def _least_recent_satisfied(
    token: SessionToken, floors: Mapping[str, LogPosition]
) -> str | None:
    for group, position in token.position_by_group.items():
        if position <= floors.get(group, ORIGIN):
            return group
    return None


def _without_group(token: SessionToken, group: str) -> SessionToken:
    remaining = dict(token.position_by_group)
    del remaining[group]
    return token._replace(position_by_group=remaining)


def _invalid(message: str) -> Refusal:
    return Refusal(ErrorKind.INVALID_SESSION, message)
