"""Differences between a configuration document and the one in force, as text."""

from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import Any

from bulrushloom.platform.document_text import printable
from bulrushloom.proxy.configuration import Configuration


def version_problem(old: Configuration, new: Configuration) -> str:
    """Return why instances would not apply ``new``, empty if they would."""
    if new.version > old.version:
        return ""
    return f"version {new.version} is not higher than {old.version}, which is in force"


def describe_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    """Yield one line for each difference; keys are secrets and only counted."""
    yield f"version: {old.version} -> {new.version}"
    if old.transaction_idle_limit != new.transaction_idle_limit:
        yield (
            f"transaction idle limit: {old.transaction_idle_limit} -> "
            f"{new.transaction_idle_limit}"
        )
    sections: list[tuple[str, Mapping[str, Any], Mapping[str, Any]]] = [
        ("route of database", old.route_by_database, new.route_by_database),
        ("service", old.service_by_name, new.service_by_name),
        ("account", old.account_by_name, new.account_by_name),
    ]
    for label, old_entries, new_entries in sections:
        yield from _entry_changes(label, old_entries, new_entries)
    yield from _key_changes(old, new)


def _entry_changes(
    label: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys(), key=printable):
        if name not in old:
            yield f"{label} {printable(name)}: added"
        elif name not in new:
            yield f"{label} {printable(name)}: removed"
        elif old[name] != new[name]:
            yield f"{label} {printable(name)}: {_field_changes(old[name], new[name])}"


def _field_changes(old: Any, new: Any) -> str:
    before, after = old._asdict(), new._asdict()
    return ", ".join(
        f"{field} {_text(before[field])} -> {_text(after[field])}"
        for field in before
        if before[field] != after[field]
    )


def _text(value: Any) -> str:
    value = getattr(value, "value", value)
    is_number = isinstance(value, int | float | timedelta)
    return str(value) if is_number else printable(value)


def _key_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    names = old.account_by_name.keys() | new.account_by_name.keys()
    for name in sorted(names, key=printable):
        before, after = _keys(old, name), _keys(new, name)
        if before != after:
            added, withdrawn = len(after - before), len(before - after)
            label = f"keys of account {printable(name)}"
            yield f"{label}: {added} added, {withdrawn} withdrawn"


def _keys(configuration: Configuration, account: str) -> set[str]:
    return {
        key
        for key, holder in configuration.account_by_key.items()
        if holder.name == account
    }
