"""Parser of the rules file."""

from collections import defaultdict
from datetime import timedelta
from typing import Any

from bulrushloom.rules.base import (
    AccountRule,
    DomainRule,
    KeyRule,
    RuleSet,
    TargetRule,
)
from bulrushloom.rules.lines import Problem, RuleLine, is_blank, parse_line

# The store accepts values of up to 1 MB. The remainder is for escaped line ends, the
# author and the history.
MAX_TEXT_BYTES = 900_000
MAX_LINES = 20_000
DEFAULT_MAX_AGE = timedelta(seconds=1)
MIN_GROUP_TARGETS = 3

# Arguments that identify a rule among the rules with the same keyword.
IDENTITY_ARGUMENTS_BY_KEYWORD = {
    "domain": ("name",),
    "group": ("name",),
    "target": ("name",),
    "database": ("name",),
    "account": ("name",),
    "key": ("digest",),
    "withdraw": ("digest",),
    "allow": ("account", "database"),
    "leaving": ("target",),
}

# By keyword: the options and arguments that refer to another rule, each with the
# keyword that declares it.
_REFERENCES_BY_KEYWORD = {
    "target": {"group": "group", "domain": "domain"},
    "database": {"group": "group"},
    "key": {"account": "account"},
    "allow": {"account": "account", "database": "database"},
    "leaving": {"target": "target"},
}

Identity = tuple[str, ...]
LinesByKeyword = dict[str, dict[Identity, RuleLine]]


def parse_rules(text: str, version: int) -> RuleSet | list[Problem]:
    """Return the validated rules, or all problems in the order of the lines."""
    problems = _size_problems(text)
    if problems:
        return problems
    lines_by_keyword: LinesByKeyword = defaultdict(dict)
    for number, line in enumerate(text.split("\n"), 1):
        if not is_blank(line):
            problems += _collect_line(
                lines_by_keyword, parse_line(number, line.rstrip("\r"))
            )
    problems += _reference_problems(lines_by_keyword)
    problems += _address_problems(lines_by_keyword)
    if problems:
        return sorted(problems)
    return _build_rule_set(lines_by_keyword, version)


def rules_warnings(rules: RuleSet) -> list[str]:
    """Return warnings about rules that are valid but probably unintended."""
    warnings = []
    for group, targets in rules.targets_by_group.items():
        if len(targets) < MIN_GROUP_TARGETS or len(targets) % 2 == 0:
            warnings.append(
                f"group {group}: has {len(targets)} targets; a majority of an odd "
                f"number of at least {MIN_GROUP_TARGETS} survives the loss of one"
            )
    domains = len(rules.domain_by_name)
    for account in rules.account_by_name.values():
        if account.burst < domains:
            warnings.append(
                f"account {account.name}: burst {account.burst} is below the number "
                f"of domains, so each domain's part is less than a whole token"
            )
    return warnings


def _size_problems(text: str) -> list[Problem]:
    size = len(text.encode(errors="replace"))
    if size > MAX_TEXT_BYTES:
        reason = f"has {size} bytes, more than {MAX_TEXT_BYTES}"
        return [Problem(0, "", reason)]
    lines = text.count("\n") + 1
    if lines > MAX_LINES:
        return [Problem(0, "", f"has {lines} lines, more than {MAX_LINES}")]
    return []


def _collect_line(
    lines_by_keyword: LinesByKeyword, parsed: RuleLine | list[Problem]
) -> list[Problem]:
    if not isinstance(parsed, RuleLine):
        return parsed
    names = IDENTITY_ARGUMENTS_BY_KEYWORD[parsed.keyword]
    identity = tuple(parsed.value_by_name[name] for name in names)
    first = lines_by_keyword[parsed.keyword].setdefault(identity, parsed)
    if first is parsed:
        return []
    reason = f"{' '.join(identity)} is already declared in line {first.line}"
    return [Problem(parsed.line, parsed.keyword, reason)]


def _reference_problems(lines_by_keyword: LinesByKeyword) -> list[Problem]:
    problems = []
    for keyword, references in _REFERENCES_BY_KEYWORD.items():
        for line in lines_by_keyword[keyword].values():
            for name, declared_by in references.items():
                value = line.value_by_name[name]
                if (value,) not in lines_by_keyword[declared_by]:
                    reason = f"{declared_by} {value!r} is not declared"
                    problems.append(Problem(line.line, keyword, reason))
    return problems


def _address_problems(lines_by_keyword: LinesByKeyword) -> list[Problem]:
    problems = []
    line_by_address: dict[str, int] = {}
    for line in lines_by_keyword["target"].values():
        address = line.value_by_name["address"]
        first = line_by_address.setdefault(address, line.line)
        if first != line.line:
            reason = f"address {address} is already used in line {first}"
            problems.append(Problem(line.line, "target", reason))
    return problems


def _build_rule_set(lines_by_keyword: LinesByKeyword, version: int) -> RuleSet:
    targets = _target_rules(lines_by_keyword)
    targets_by_group: dict[str, list[TargetRule]] = {
        group["name"]: [] for group in _values_by_name(lines_by_keyword, "group")
    }
    for target in targets:
        targets_by_group[target.group].append(target)
    accounts = [
        AccountRule(
            line["name"],
            line["rate"],
            line["burst"],
            line.get("max_age", DEFAULT_MAX_AGE),
        )
        for line in _values_by_name(lines_by_keyword, "account")
    ]
    databases = _values_by_name(lines_by_keyword, "database")
    return RuleSet(
        version=version,
        domain_by_name={
            line["name"]: DomainRule(line["name"], line["region"])
            for line in _values_by_name(lines_by_keyword, "domain")
        },
        target_by_name={target.name: target for target in targets},
        targets_by_group={
            group: tuple(members) for group, members in targets_by_group.items()
        },
        group_by_database={line["name"]: line["group"] for line in databases},
        account_by_name={account.name: account for account in accounts},
        key_by_digest=_key_rule_by_digest(lines_by_keyword),
        accounts_by_database=_accounts_by_database(lines_by_keyword),
    )


def _values_by_name(
    lines_by_keyword: LinesByKeyword, keyword: str
) -> list[dict[str, Any]]:
    return [line.value_by_name for line in lines_by_keyword[keyword].values()]


def _target_rules(lines_by_keyword: LinesByKeyword) -> list[TargetRule]:
    leaving = lines_by_keyword["leaving"]
    return [
        TargetRule(**line, leaving=(line["name"],) in leaving)
        for line in _values_by_name(lines_by_keyword, "target")
    ]


def _key_rule_by_digest(lines_by_keyword: LinesByKeyword) -> dict[str, KeyRule]:
    """Index the keys; a withdrawn key stays withdrawn if it is still declared."""
    withdrawn = lines_by_keyword["withdraw"]
    return {
        line["digest"]: KeyRule(
            line["digest"], line["account"], line.get("offline", timedelta())
        )
        for line in _values_by_name(lines_by_keyword, "key")
        if (line["digest"],) not in withdrawn
    }


def _accounts_by_database(
    lines_by_keyword: LinesByKeyword,
) -> dict[str, frozenset[str]]:
    accounts_by_database: dict[str, set[str]] = {
        line["name"]: set() for line in _values_by_name(lines_by_keyword, "database")
    }
    for line in _values_by_name(lines_by_keyword, "allow"):
        accounts_by_database[line["database"]].add(line["account"])
    return {name: frozenset(names) for name, names in accounts_by_database.items()}
