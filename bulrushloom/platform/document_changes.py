"""Differences between a configuration document and the one in force, as text."""

from collections import Counter
from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import Any

from bulrushloom.platform.document_text import printable
from bulrushloom.proxy.configuration import Account, Configuration


def version_problem(old: Configuration, new: Configuration) -> str:
    """Return why instances would not apply ``new``, empty if they would."""
    if new.version > old.version:
        return ""
    problem = f"version {new.version} is not higher than {old.version}"
    if new.version == old.version and new._replace(revision=old.revision) != old:
        return f"{problem}, which is in force with other content"
    return f"{problem}, which is in force"


def describe_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    """Yield one line for each difference; keys are secrets and only counted."""
    if old.version != new.version:
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
    yield from _limit_changes(old, new)
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


def _limit_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    """Yield the changes that concern only earlier entries of an account.

    An account that is listed more than once has the limits of its last entry, but a
    key has those of the entry that lists it.
    """
    count_by_change: Counter[tuple[Account, Account]] = Counter()
    for key, before in old.account_by_key.items():
        after = new.account_by_key.get(key)
        if after is None or before.name != after.name:
            continue
        name = before.name
        is_last = (before, after) == (
            old.account_by_name[name],
            new.account_by_name[name],
        )
        if before != after and not is_last:
            count_by_change[before, after] += 1
    for (before, after), count in count_by_change.items():
        label = f"account {printable(before.name)}"
        change = _field_changes(before, after)
        yield f"{label}: {change} for {count} keys of an earlier entry"


def _key_changes(old: Configuration, new: Configuration) -> Iterator[str]:
    old_keys, new_keys = _keys_by_account(old), _keys_by_account(new)
    for name in sorted(old_keys.keys() | new_keys.keys(), key=printable):
        before, after = old_keys.get(name, set()), new_keys.get(name, set())
        if before == after:
            continue
        withdrawn = sum(key not in new.account_by_key for key in before)
        added = sum(key not in old.account_by_key for key in after)
        texts = [f"{added} added", f"{withdrawn} withdrawn"]
        for direction, keys, other in (("to", before, new), ("from", after, old)):
            holders = [other.account_by_key.get(key) for key in keys]
            moved = Counter(
                printable(account.name)
                for account in holders
                if account is not None and account.name != name
            )
            texts += [
                f"{moved[holder]} moved {direction} {holder}"
                for holder in sorted(moved)
            ]
        yield f"keys of account {printable(name)}: {', '.join(texts)}"


def _keys_by_account(configuration: Configuration) -> dict[str, set[str]]:
    keys_by_account: dict[str, set[str]] = {}
    for key, account in configuration.account_by_key.items():
        keys_by_account.setdefault(account.name, set()).add(key)
    return keys_by_account
