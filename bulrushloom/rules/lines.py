"""Parser of a single line of the rules file."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from bulrushloom.rules.values import (
    parse_address,
    parse_count,
    parse_digest,
    parse_duration,
    parse_name,
    parse_rate,
)

MAX_LINE_CHARACTERS = 1000

_COMMENT = re.compile(r"\s*[\w.@-]+(?: [\w.@-]+)*\s*:\s*\S.*")

ValueParser = Callable[[str], Any]


class Problem(NamedTuple):
    """Error in a rules file.

    ``line`` counts from 1 and is 0 for the whole file. ``keyword`` is empty if it is
    unknown.
    """

    line: int
    keyword: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        place = f"line {self.line}" if self.line else "file"
        return (
            f"{place}: {self.keyword}: {self.reason}"
            if self.keyword
            else (f"{place}: {self.reason}")
        )


class RuleSyntax(NamedTuple):
    """Syntax of a keyword: positional arguments, required and optional options."""

    arguments: dict[str, ValueParser]
    required: dict[str, ValueParser]
    optional: dict[str, ValueParser]


class RuleLine(NamedTuple):
    """A parsed line; ``value_by_name`` contains its arguments and options."""

    line: int
    keyword: str
    value_by_name: dict[str, Any]


SYNTAX_BY_KEYWORD = {
    "domain": RuleSyntax({"name": parse_name}, {"region": parse_name}, {}),
    "group": RuleSyntax({"name": parse_name}, {}, {}),
    "target": RuleSyntax(
        {"name": parse_name},
        {
            "group": parse_name,
            "domain": parse_name,
            "address": parse_address,
            "slots": parse_count,
            "connections": parse_count,
        },
        {},
    ),
    "database": RuleSyntax({"name": parse_name}, {"group": parse_name}, {}),
    "account": RuleSyntax(
        {"name": parse_name},
        {"rate": parse_rate, "burst": parse_count},
        {"max_age": parse_duration},
    ),
    "key": RuleSyntax(
        {"account": parse_name, "digest": parse_digest},
        {},
        {"offline": parse_duration},
    ),
    "withdraw": RuleSyntax({"digest": parse_digest}, {}, {}),
    "allow": RuleSyntax({"account": parse_name, "database": parse_name}, {}, {}),
    "leaving": RuleSyntax({"target": parse_name}, {}, {}),
}


def is_blank(line: str) -> bool:
    """Return whether a line is empty or only contains a comment."""
    return not line.strip() or line.lstrip().startswith("#")


def split_line(line: str) -> tuple[list[str], str | None]:
    """Return the words before the comment, and the comment or ``None``."""
    rule, separator, comment = line.partition("#")
    return rule.split(), comment.strip() if separator else None


def parse_line(number: int, line: str) -> RuleLine | list[Problem]:
    """Parse one line that is not blank, or return all its problems."""
    words, comment = split_line(line)
    keyword = words[0] if words else ""
    known_keyword = keyword if keyword in SYNTAX_BY_KEYWORD else ""
    reasons = _line_reasons(line, comment)
    value_by_name: dict[str, Any] = {}
    if known_keyword:
        reasons += _parse_values(SYNTAX_BY_KEYWORD[keyword], words[1:], value_by_name)
    else:
        reasons.append(f"unknown keyword {keyword[:40]!r}")
    if reasons:
        return [Problem(number, known_keyword, reason) for reason in reasons]
    return RuleLine(number, keyword, value_by_name)


def _line_reasons(line: str, comment: str | None) -> list[str]:
    reasons = []
    if len(line) > MAX_LINE_CHARACTERS:
        reasons.append(f"the line is longer than {MAX_LINE_CHARACTERS} characters")
    if not line.isprintable() and not line.replace("\t", " ").isprintable():
        reasons.append("the line contains a control character")
    if comment is None:
        reasons.append("the comment '# who: why' is missing")
    elif not _COMMENT.fullmatch(comment):
        reasons.append("the comment does not have the form '# who: why'")
    return reasons


def _parse_values(
    syntax: RuleSyntax, words: list[str], value_by_name: dict[str, Any]
) -> list[str]:
    arguments = [word for word in words if "=" not in word]
    options = [word.partition("=") for word in words if "=" in word]
    names = list(syntax.arguments)
    reasons = []
    if len(arguments) != len(names):
        expected = " ".join(name.upper() for name in names)
        reasons.append(f"expects the arguments {expected}, got {len(arguments)}")
    for name, text in zip(names, arguments, strict=False):
        reasons += _parse_value(name, syntax.arguments[name], text, value_by_name)
    parser_by_name = syntax.required | syntax.optional
    given_names = set()
    for name, _, text in options:
        if name not in parser_by_name:
            reasons.append(f"unknown option {name[:40]!r}")
        elif name in given_names:
            reasons.append(f"option {name} is given twice")
        else:
            reasons += _parse_value(name, parser_by_name[name], text, value_by_name)
        given_names.add(name)
    missing = [name for name in syntax.required if name not in given_names]
    return reasons + [f"option {name}= is missing" for name in missing]


def _parse_value(
    name: str, parse_value: ValueParser, text: str, value_by_name: dict[str, Any]
) -> list[str]:
    try:
        value_by_name[name] = parse_value(text)
    except ValueError as error:
        return [f"{name} {text[:80]!r} {error}"]
    return []
