"""Guards against a restarted owner that reports earlier requests as not run."""

import pytest

from bulrushloom.coordination.base import select_effects
from bulrushloom.instance.messages import StatementAnswer
from tests import builders
from tests.instance.builders import Fleet, seconds
from tests.instance.callers import Callers


@pytest.mark.parametrize(
    ("read_only", "error"), [(False, "outcome_unknown"), (True, "no_target")]
)
def test_copy_of_a_request_to_an_earlier_run(read_only, error):
    # The former incarnation may have run the first copy of the request.
    fleet = Fleet()
    Callers(fleet).apply_rules("", set(), seconds(0))
    fleet.run(seconds(2))
    process = fleet.processes["east-1"]
    request = builders.statement_request(
        incarnation="east-1/0", target="orders-a", read_only=read_only
    )
    effects = process.node.handle("west-1", request, process.now)
    [message] = [one.message for one in select_effects(effects, tuple)]
    assert isinstance(message, StatementAnswer)
    assert message.error == error
    assert message.retry_elsewhere == read_only
