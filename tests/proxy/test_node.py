"""Reload of the settings of an instance, and its readiness."""

from contextlib import ExitStack

import pytest
import yaml

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy import node as node_module
from bulrushloom.proxy.node import Node
from bulrushloom.runtime.loop import Loop
from tests.proxy.builders import build_configuration
from tests.proxy.test_settings import VALID


class RecordedLog:
    """Log that keeps the fields of the last event."""

    def __init__(self, *_):
        self.last = {}

    def write(self, event, **fields):
        self.last = {"event": event, **fields}

    def close(self):
        pass


@pytest.fixture
def node_and_path(monkeypatch, tmp_path):
    monkeypatch.setattr(node_module, "EventLog", RecordedLog)
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(VALID))
    with ExitStack() as stack:
        loop = Loop(ManualClock())
        stack.callback(loop.close)
        yield Node(str(path), loop, stack), path


@pytest.mark.parametrize(
    "changes, changed, needs_restart",
    [
        ({}, False, False),
        ({"rate_slack": 40}, True, False),
        ({"domain": "south"}, False, True),
        ({"domain": "south", "rate_slack": 40}, True, True),
    ],
)
def test_reload_reports_what_changed(node_and_path, changes, changed, needs_restart):
    # Guards against a log line that says nothing changed after every reload.
    node, path = node_and_path
    path.write_text(yaml.safe_dump(VALID | changes))
    node._reload()
    last = node.log.last
    assert (last["changed"], last["needs_restart"]) == (changed, needs_restart)
    assert node.settings.domain == "north"


def test_instance_that_may_know_an_older_configuration_is_not_ready(node_and_path):
    # Guards against callers that are sent to an instance which refuses their keys,
    # because it started after the store had returned from a copy.
    node, _ = node_and_path
    now, services = node._loop.now(), node.services
    services.configuration = build_configuration()
    services.enter_era(1, is_settled=True)
    services.store_freshness.record_read(now)
    assert "configuration" in node._not_ready_reason()
    services.eras.confirm_configuration()
    assert node._not_ready_reason() == ""
