"""Check that the node state machine detects faulty implementations."""

from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bulrushloom.coordination.sessions.base import ORIGIN
from bulrushloom.databases.base import StatementResult
from bulrushloom.instance import groups
from bulrushloom.instance.base import Statement, Submit
from bulrushloom.instance.jobs import JobTable
from bulrushloom.instance.messages import StatementRequest, TransactionRequest
from bulrushloom.instance.node import Node
from bulrushloom.instance.owner import TargetOwner
from bulrushloom.instance.router import StatementRouter
from bulrushloom.instance.transactions import TransactionTable
from tests.instance.machine import NodeMachine

SETTINGS = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


class UnkeyedRepeatRouter(StatementRouter):
    """Repeat every unanswered write, even without an idempotency key."""

    def _check_attempt(self, pending, now):
        late = pending.sent_at is not None and (now - pending.sent_at).seconds >= 2
        if late and not pending.in_transaction:
            return self._abandon_attempt(pending, now)
        return super()._check_attempt(pending, now)


class PositionIgnoringRouter(StatementRouter):
    """Ignore the position of the session."""

    def handle(self, sender, message, now):
        if isinstance(message, Submit) and isinstance(message.request, Statement):
            request = message.request._replace(min_position=ORIGIN)
            message = message._replace(request=request)
        return super().handle(sender, message, now)


class FalseNotRunRouter(StatementRouter):
    """Report a request as not run although an earlier attempt may have run."""

    def _complete(self, pending, result):
        pending.may_have_run = False
        return super()._complete(pending, result)


class EarlyAnswerOwner(TargetOwner):
    """Answer a write before a majority has stored it."""

    def _statement_executed(self, job, request, executed, now):
        if isinstance(executed.result, StatementResult) and not request.transaction:
            job = job._replace(rows=executed.result)
            return self._jobs.reply(self._success_answer(job), now)
        return super()._statement_executed(job, request, executed, now)


class JobsWithoutAnswers(JobTable):
    """Do not remember answers to requests that have run."""

    def answer_duplicate(self, sender, request_id):
        return [] if request_id in self.job_by_id else None


class OwnerWithoutAnswers(TargetOwner):
    """Use a job table that does not remember answers."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._jobs = self._transactions._jobs = JobsWithoutAnswers()


class LeavingTargetOwner(TargetOwner):
    """Accept statements for a target that is leaving."""

    def _statement_refusal(self, request, now):
        rule = self.rule
        self.rule = rule._replace(leaving=False)
        try:
            return super()._statement_refusal(request, now)
        finally:
            self.rule = rule


class LeavingTargetRouter(StatementRouter):
    """Route statements to leaving targets."""

    def update_rules(self, rules):
        targets = {
            name: rule._replace(leaving=False)
            for name, rule in rules.target_by_name.items()
        }
        super().update_rules(rules._replace(target_by_name=targets))


class AccountIgnoringTable(TransactionTable):
    """Find a transaction without checking its account."""

    def find(self, handle, account, database):
        found = list(self.with_handle(handle))
        return found[0] if found else None


class IncarnationIgnoringNode(Node):
    """Run requests that were addressed to a former incarnation."""

    def _dispatch(self, sender, message, now):
        if isinstance(message, StatementRequest | TransactionRequest):
            incarnation = self.table.local_entry.incarnation
            message = message._replace(incarnation=incarnation)
        return super()._dispatch(sender, message, now)


class UnlimitedNode(Node):
    """Admit every request without a token."""

    def _handle_admit(self, sender, message, now):
        return self.router.handle(sender, message.submit, now)


class CrossedAnswersNode(Node):
    """Replace the rows of each read with those of the previous read."""

    previous = None

    def _dispatch(self, sender, message, now):
        if getattr(message, "role", "") == "replica" and message.rows:
            earlier, self.previous = self.previous, message
            if earlier is not None:
                message = message._replace(rows=earlier.rows)
        return super()._dispatch(sender, message, now)


def run(**changes):
    machine = type("BrokenMachine", (NodeMachine,), changes)
    run_state_machine_as_test(machine, settings=SETTINGS)


ROUTERS = [
    (UnkeyedRepeatRouter, "invariant 10:"),
    (PositionIgnoringRouter, "invariant 1:"),
    (FalseNotRunRouter, "invariant 9"),
]
OWNERS = [(EarlyAnswerOwner, "invariant [12]:"), (OwnerWithoutAnswers, "invariant 10:")]
NODES = [
    (IncarnationIgnoringNode, "invariant (2|10):"),
    (UnlimitedNode, "invariant 7"),
    (CrossedAnswersNode, "invariant 8"),
]


@pytest.mark.parametrize(("router_class", "reason"), ROUTERS)
def test_broken_router_is_caught(router_class, reason):
    with pytest.raises(AssertionError, match=reason):
        run(router_class=router_class)


@pytest.mark.parametrize(("owner_class", "reason"), OWNERS)
def test_broken_owner_is_caught(owner_class, reason):
    with mock.patch.object(groups, "TargetOwner", owner_class):
        with pytest.raises(AssertionError, match=reason):
            run()


@pytest.mark.parametrize(("node_class", "reason"), NODES)
def test_broken_node_is_caught(node_class, reason):
    with pytest.raises(AssertionError, match=reason):
        run(node_class=node_class)


def test_statements_at_a_leaving_target_are_caught():
    with mock.patch.object(groups, "TargetOwner", LeavingTargetOwner):
        with pytest.raises(AssertionError, match="invariant 11"):
            run(router_class=LeavingTargetRouter)


def test_transactions_that_ignore_the_account_are_caught():
    with mock.patch(
        "bulrushloom.instance.owner.TransactionTable", AccountIgnoringTable
    ):
        with pytest.raises(AssertionError, match="invariant [34]"):
            run()
