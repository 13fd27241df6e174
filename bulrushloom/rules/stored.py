"""Value that the store holds for the rules."""

from datetime import datetime
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 20
MAX_SUMMARY_LENGTH = 300
MAX_AUTHOR_LENGTH = 64


class HistoryEntry(TypedDict):
    """Describe one applied version; ``applied_at`` is ISO 8601 in UTC."""

    version: int
    author: str
    applied_at: str
    apply_id: str
    summary: str


class StoredRules(TypedDict):
    """Describe the value of the key ``config/rules``; the history is newest first."""

    version: int
    text: str
    author: str
    applied_at: str
    apply_id: str
    history: list[HistoryEntry]


_STORED_RULES = TypeAdapter(StoredRules)


def read_stored_rules(value: Any) -> StoredRules | None:
    """Return the stored value or ``None`` if it is absent or malformed."""
    try:
        return _STORED_RULES.validate_python(value)
    except ValidationError:
        return None


def next_stored_rules(
    former: StoredRules | None,
    version: int,
    text: str,
    author: str,
    applied_at: datetime,
    apply_id: str,
    changes: list[str],
) -> StoredRules:
    """Return the value for ``version``, with its entry in the bounded history."""
    entry: HistoryEntry = {
        "version": version,
        "author": author[:MAX_AUTHOR_LENGTH],
        "applied_at": applied_at.isoformat(timespec="seconds"),
        "apply_id": apply_id,
        "summary": _summary(changes),
    }
    history = [entry, *(former["history"] if former else [])]
    return {
        "version": version,
        "text": text,
        "author": entry["author"],
        "applied_at": entry["applied_at"],
        "apply_id": apply_id,
        "history": history[:MAX_HISTORY],
    }


def stored_size(value: StoredRules) -> int:
    """Return the size of the value in the store, in bytes of JSON."""
    return len(orjson.dumps(value))


def _summary(changes: list[str]) -> str:
    text = "; ".join(changes) or "no rule changed"
    if len(text) <= MAX_SUMMARY_LENGTH:
        return text
    return f"{len(changes)} changes: {text[: MAX_SUMMARY_LENGTH - 30]}..."
