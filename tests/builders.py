"""Builders of test data for several packages."""

from datetime import timedelta

from bulrushloom.coordination.sessions.base import ORIGIN, LogPosition
from bulrushloom.directories.base import InstanceEntry
from bulrushloom.instance.base import Begin, End, Statement, Submit, TransactionRef
from bulrushloom.instance.messages import (
    GroupView,
    ServerView,
    StatementAnswer,
    StatementRequest,
    TransactionRequest,
)
from bulrushloom.rules.base import (
    AccountRule,
    DomainRule,
    KeyRule,
    RuleSet,
    TargetRule,
)
from bulrushloom.rules.keys import key_digest

SECOND = timedelta(seconds=1)
DEADLINE = timedelta(seconds=10)
# The key is accepted until after ``DEADLINE`` without news of the rules.
KEY_DIGEST = key_digest("test key")
KEY_OFFLINE = timedelta(minutes=1)


def instance_entry(name="east-1", domain="east", **changes) -> InstanceEntry:
    return InstanceEntry(name, domain, "127.0.0.1:1", f"{name}.run", False)._replace(
        **changes
    )


def target_rule(name="orders-a", domain="east", **changes) -> TargetRule:
    rule = TargetRule(name, "orders", domain, "127.0.0.1:2", 3, 40, False)
    return rule._replace(**changes)


def rule_set(*targets: TargetRule) -> RuleSet:
    rules = targets or (
        target_rule("orders-a", "east"),
        target_rule("orders-b", "west"),
        target_rule("orders-c", "north"),
    )
    return RuleSet(
        1,
        {rule.domain: DomainRule(rule.domain, "region") for rule in rules},
        {rule.name: rule for rule in rules},
        {"orders": tuple(rules)},
        {"orders": "orders"},
        {"hotel": AccountRule("hotel", 100, 50, SECOND)},
        {KEY_DIGEST: KeyRule(KEY_DIGEST, "hotel", KEY_OFFLINE)},
        {"orders": frozenset({"hotel"})},
    )


def group_view(primary="orders-a", term=1) -> GroupView:
    position = LogPosition(term, 5)
    servers = [
        ServerView(name, True, term, position, 0)
        for name in ("orders-a", "orders-b", "orders-c")
    ]
    return GroupView("orders", term, primary, servers)


def statement(read_only=True, **changes) -> Statement:
    sql = "SELECT 1" if read_only else "INSERT INTO t VALUES (1)"
    built = Statement(
        "hotel", "orders", "orders", sql, [], read_only, ORIGIN, SECOND, None, ""
    )
    return built._replace(**changes)


def submit(request: Statement | Begin | End, request_id="r1") -> Submit:
    return Submit(request_id, request, DEADLINE, KEY_DIGEST)


def transaction_ref(owner="east-1") -> TransactionRef:
    return TransactionRef("hotel", "orders", "orders", "orders-a", owner, "h1")


def answer(request: StatementRequest, **changes) -> StatementAnswer:
    built = StatementAnswer(
        request.request_id, [], [], 1, LogPosition(1, 6), "primary", "", "", False
    )
    return built._replace(**changes)


def statement_request(request_id="r1.1", **changes) -> StatementRequest:
    built = StatementRequest(
        request_id,
        "east-1.run",
        "hotel",
        "orders",
        "orders-a",
        "INSERT INTO t VALUES (1)",
        [],
        False,
        ORIGIN,
        -1,
        5000,
        "",
        "",
    )
    return built._replace(**changes)


def transaction_request(action="begin", request_id="t1.1", **changes):
    built = TransactionRequest(
        request_id, "east-1.run", "hotel", "orders", "orders-a", action, "", 5000
    )
    return built._replace(**changes)
