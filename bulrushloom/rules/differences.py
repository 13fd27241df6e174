"""Human-readable differences between two versions of the rules file."""

from typing import NamedTuple

from bulrushloom.rules.lines import SYNTAX_BY_KEYWORD, is_blank, split_line
from bulrushloom.rules.parser import IDENTITY_ARGUMENTS_BY_KEYWORD


class _Rule(NamedTuple):
    options: dict[str, str]
    comment: str


def diff_rules(old_text: str, new_text: str) -> list[str]:
    """Return one line per rule that was added, removed or changed."""
    old, new = _rules_by_identity(old_text), _rules_by_identity(new_text)
    differences = [f"removed {name}" for name in old if name not in new]
    for name, rule in new.items():
        if name not in old:
            differences.append(f"added {_format_rule(name, rule)}")
        elif rule != old[name]:
            differences.append(f"changed {name}: {_format_changes(old[name], rule)}")
    return differences


def _rules_by_identity(text: str) -> dict[str, _Rule]:
    rule_by_identity = {}
    for line in text.splitlines():
        if is_blank(line):
            continue
        words, comment = split_line(line)
        identity, options = _split_identity(words)
        rule_by_identity[identity] = _Rule(options, comment or "")
    return rule_by_identity


def _split_identity(words: list[str]) -> tuple[str, dict[str, str]]:
    """Return the identity of a rule, and its other values by name."""
    arguments = [word for word in words if "=" not in word]
    options = dict(word.split("=", 1) for word in words if "=" in word)
    keyword = arguments[0] if arguments else ""
    if keyword not in SYNTAX_BY_KEYWORD:
        return " ".join(words), {}
    value_by_name = dict(
        zip(SYNTAX_BY_KEYWORD[keyword].arguments, arguments[1:], strict=False)
    )
    names = IDENTITY_ARGUMENTS_BY_KEYWORD[keyword]
    identity = [value_by_name.pop(name, "") for name in names]
    return " ".join([keyword, *identity]), value_by_name | options


def _format_rule(name: str, rule: _Rule) -> str:
    options = [f"{key}={value}" for key, value in rule.options.items()]
    return f"{' '.join([name, *options])}  # {rule.comment}"


def _format_changes(old: _Rule, new: _Rule) -> str:
    names = dict.fromkeys([*old.options, *new.options])
    changes = [
        f"{name} {old.options.get(name, 'unset')} -> {new.options.get(name, 'unset')}"
        for name in names
        if old.options.get(name) != new.options.get(name)
    ]
    return ", ".join(changes) or f"comment is now '{new.comment}'"
