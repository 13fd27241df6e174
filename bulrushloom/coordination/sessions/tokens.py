"""Session tokens: what a session must see, by group, and their signed text."""

from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from typing_extensions import TypedDict

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.core.exceptions import BadSignature
from bulrushloom.core.signing import Signer

MAX_TOKEN_BYTES = 1024
MAX_GROUPS = 16

# Widest numbers that a position can have in a token; used to test for room before
# a statement runs, when the position that it will get is not known.
WIDEST_POSITION = LogPosition(2**31, 2**53)

_Count = Annotated[int, Field(ge=0, le=2**53, strict=True)]


class _Payload(TypedDict):
    __pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[misc]

    a: str
    g: list[tuple[str, _Count, _Count]]


_PAYLOAD = TypeAdapter(_Payload)


class SessionToken(NamedTuple):
    """Hold a session's position by group, the least recently touched group first."""

    account: str
    position_by_group: dict[str, LogPosition] = {}

    def position(self, group: str) -> LogPosition:
        """Return what a read in ``group`` must see; the origin if untouched."""
        return self.position_by_group.get(group, ORIGIN)

    def touch(self, group: str, position: LogPosition) -> "SessionToken":
        """Return the token after a statement whose data has ``position``."""
        kept = dict(self.position_by_group)
        known = kept.pop(group, ORIGIN)
        kept[group] = max(known, position)
        return self._replace(position_by_group=kept)

    def merge(self, other: "SessionToken") -> "SessionToken":
        """Return a token with the higher position of both for every group."""
        merged = self
        for group, position in other.position_by_group.items():
            merged = merged.touch(group, position)
        return merged


class SessionCodec:
    """Turn session tokens into signed text of at most 1 KB and back."""

    def __init__(self, secret: str):
        self._signer = Signer(secret, "session")

    def encode(
        self,
        token: SessionToken,
        floor_by_group: Mapping[str, LogPosition] | None = None,
    ) -> str | Refusal:
        """Return the signed text of ``token``.

        ``floor_by_group`` gives positions that every server of a group has applied.
        A token that is too large loses its least recently touched groups whose
        position is at or below that floor, since any server satisfies them.
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
            token = _without(token, droppable)

    def check_room(
        self,
        token: SessionToken,
        group: str,
        floor_by_group: Mapping[str, LogPosition] | None = None,
    ) -> Refusal | None:
        """Return why a statement in ``group`` could not be added to ``token``.

        An entry asks before it runs a statement: once a write has run, a token that
        cannot hold its position would break read-your-writes.
        """
        answer = self.encode(token.touch(group, WIDEST_POSITION), floor_by_group)
        return answer if isinstance(answer, Refusal) else None

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
            token = token.touch(group, LogPosition(term, offset))
        return token

    def _sign(self, token: SessionToken) -> str | None:
        if len(token.position_by_group) > MAX_GROUPS:
            return None
        payload: dict[str, Any] = {
            "a": token.account,
            "g": [[group, *at] for group, at in token.position_by_group.items()],
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


def _without(token: SessionToken, group: str) -> SessionToken:
    kept = dict(token.position_by_group)
    del kept[group]
    return token._replace(position_by_group=kept)


def _invalid(message: str) -> Refusal:
    return Refusal(ErrorKind.INVALID_SESSION, message)
