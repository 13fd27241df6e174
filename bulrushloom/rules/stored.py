"""Form in which the store keeps the rules."""

from datetime import datetime
from typing import Any

import orjson
from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY_ENTRIES = 20
MAX_SUMMARY_CHARACTERS = 300
MAX_AUTHOR_CHARACTERS = 64


class HistoryEntry(TypedDict):
    """One applied version; ``applied_at`` is in ISO 8601 and UTC."""

    version: int
    author: str
    applied_at: str
    apply_id: str
    summary: str


class StoredRules(TypedDict):
    """Value of the key ``config/rules``; the history starts with the newest entry."""

    version: int
    text: str
    author: str
    applied_at: str
    apply_id: str
    history: list[HistoryEntry]


_STORED_RULES = TypeAdapter(StoredRules)


def read_stored_rules(value: Any) -> StoredRules | None:
    """Return the validated value, or ``None`` if it is absent or invalid."""
    try:
        return _STORED_RULES.validate_python(value)
    except ValidationError:
        return None


def next_stored_rules(
    previous: StoredRules | None,
    version: int,
    text: str,
    author: str,
    applied_at: datetime,
    apply_id: str,
    changes: list[str],
) -> StoredRules:
    """Return the value for ``version``, with a history of limited length."""
    entry: HistoryEntry = {
        "version": version,
        "author": author[:MAX_AUTHOR_CHARACTERS],
        "applied_at": applied_at.isoformat(timespec="seconds"),
        "apply_id": apply_id,
        "summary": _summarize(changes),
    }
    history = [entry, *(previous["history"] if previous else [])]
    return {
        "version": version,
        "text": text,
        "author": entry["author"],
        "applied_at": entry["applied_at"],
        "apply_id": apply_id,
        "history": history[:MAX_HISTORY_ENTRIES],
    }


def stored_size(value: StoredRules) -> int:
    """Return the size of the value in the store: the bytes of its JSON."""
    return len(orjson.dumps(value))


def _summarize(changes: list[str]) -> str:
    text = "; ".join(changes) or "no rule changed"
    if len(text) <= MAX_SUMMARY_CHARACTERS:
        return text
    return f"{len(changes)} changes: {text[: MAX_SUMMARY_CHARACTERS - 30]}..."
