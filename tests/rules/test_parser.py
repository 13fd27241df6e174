from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.rules.base import KeyRule, RuleSet
from bulrushloom.rules.lines import SYNTAX_BY_KEYWORD
from bulrushloom.rules.parser import MAX_LINES, parse_rules, rules_warnings
from tests.rules.builders import DIGEST, RULES_TEXT, problems_text, with_line

TARGET_OPTIONS = "group=orders-1 domain=santa-cruz slots=1 connections=1"
RULE_LINES = [line for line in RULES_TEXT.splitlines() if "#" in line[1:]]


def test_rules_are_indexed():
    rules = parse_rules(RULES_TEXT, 7)
    assert rules.version == 7
    assert [t.name for t in rules.targets_by_group["orders-1"]] == [
        "orders-1a",
        "orders-1b",
        "orders-1c",
    ]
    assert rules.target_by_name["orders-1a"].leaving
    assert not rules.target_by_name["orders-1b"].leaving
    assert rules.target_by_name["orders-1b"].address == "[::1]:9002"
    assert rules.account_by_name["hotel-orders"].max_age == timedelta(seconds=0.5)
    assert rules.account_by_name["dispatch"].max_age == timedelta(seconds=1)
    assert rules.accounts_by_database == {"orders": frozenset({"hotel-orders"})}
    assert rules.key_by_digest == {
        DIGEST: KeyRule(DIGEST, "hotel-orders", timedelta(minutes=10))
    }
    assert rules_warnings(rules) == []


def test_withdrawn_key_stays_withdrawn_if_it_is_still_declared():
    rules = parse_rules(with_line(f"withdraw {DIGEST} # m: x"), 1)
    assert rules.key_by_digest == {}


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("group g", "comment '# who: why' is missing"),
        ("group g # because", "does not have the form '# who: why'"),
        ("group g # ops:", "does not have the form '# who: why'"),
        ("grup g # ops: x", "unknown keyword 'grup'"),
        ("group orders-1 # ops: x", "orders-1 is already declared in line 4"),
        ("group G # ops: x", "may only contain a-z"),
        (f"group {'g' * 65} # ops: x", "longer than 64"),
        ("group # ops: x", "expects the arguments NAME, got 0"),
        ("group a b # ops: x", "expects the arguments NAME, got 2"),
        ("group a b=1 # ops: x", "unknown option 'b'"),
        (f"group a # ops: {'x' * 1000}", "longer than 1000"),
        ("group a # ops: \x00", "control character"),
        ("domain d # ops: x", "option region= is missing"),
        ("domain d region=a region=a # ops: x", "given twice"),
        ("database d group=none # ops: x", "group 'none' is not declared"),
        ("allow nobody orders # ops: x", "account 'nobody' is not declared"),
        ("allow hotel-orders none # ops: x", "database 'none' is not declared"),
        ("leaving none # ops: x", "target 'none' is not declared"),
        (f"key nobody sha256:{'0' * 64} # ops: x", "account 'nobody'"),
        (f"key dispatch {DIGEST} # ops: x", "already declared"),
        ("withdraw sha256:12 # ops: x", "64 hexadecimal digits"),
        ("account a rate=0 burst=1 # ops: x", "rate '0' is not a positive"),
        ("account a rate=nan burst=1 # ops: x", "rate 'nan' is not a positive"),
        ("account a rate=1 burst=-1 # ops: x", "burst '-1' is not a whole"),
        ("account a rate=1 burst=1 max_age=5 # ops: x", "not a duration"),
        ("account a rate=1 burst=1 max_age=999h # ops: x", "longer than 7 days"),
        (f"target t {TARGET_OPTIONS} address=example:1 # o: x", "not IPV4:PORT or"),
        (f"target t {TARGET_OPTIONS} address=1.2.3.400:1 # o: x", "valid IP address"),
        (f"target t {TARGET_OPTIONS} address=::1:80 # o: x", "not IPV4:PORT or"),
        (f"target t {TARGET_OPTIONS} address=[1.2.3.4]:80 # o: x", "brackets"),
        (f"target t {TARGET_OPTIONS} address=1.2.3.4:0 # o: x", "port outside"),
        (
            f"target t {TARGET_OPTIONS} address=127.0.0.1:9001 # o: x",
            "already used in line 5",
        ),
    ],
)
def test_invalid_line_is_reported_with_its_number(line, reason):
    found = problems_text(parse_rules(with_line(line), 1))
    assert reason in found
    assert f"line {RULES_TEXT.count(chr(10)) + 1}:" in found


def test_all_problems_are_reported_in_line_order():
    text = "group A # ops: x\nbad\nallow a b # ops: x\n"
    assert [p.line for p in parse_rules(text, 1)] == [1, 2, 2, 3, 3]


@pytest.mark.parametrize("text", ["#" * 900_001, "\n" * MAX_LINES])
def test_size_is_limited(text):
    assert "more than" in problems_text(parse_rules(text, 1))


def test_even_groups_and_small_bursts_cause_warnings():
    text = with_line("group g # ops: x\naccount a rate=1 burst=1 # ops: x")
    warnings = "\n".join(rules_warnings(parse_rules(text, 1)))
    assert "group g: has 0 targets" in warnings
    assert "account a: burst 1 is below the number of domains" in warnings


WORD_STRATEGY = st.sampled_from(
    [*SYNTAX_BY_KEYWORD, "#", "a", "group=a", "rate=1", DIGEST, "="]
)


@settings(derandomize=True, deadline=None)
@given(
    st.one_of(
        st.text(),
        st.lists(st.lists(WORD_STRATEGY).map(" ".join)).map("\n".join),
    )
)
def test_any_text_has_a_result(text):
    result = parse_rules(text, 1)
    assert isinstance(result, RuleSet) or all(p.reason for p in result)


@settings(derandomize=True, deadline=None)
@given(st.sampled_from(RULE_LINES), st.text(alphabet="ab :.\t", max_size=8))
def test_comment_needs_who_and_why(line, comment):
    rule = line.partition("#")[0]
    assert "comment" in problems_text(parse_rules(rule, 1))
    who, mark, why = comment.partition(":")
    if not (who.strip() and mark and why.strip()):
        assert "comment" in problems_text(parse_rules(f"{rule}#{comment}", 1))
