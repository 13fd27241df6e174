import json
import re
from datetime import timedelta
from pathlib import Path

import pytest

from bulrushloom.telemetry.metrics import Metrics

METRICS_PAGE = Path(__file__).parents[2] / "docs" / "operators" / "metrics.md"


@pytest.fixture
def metrics():
    metrics = Metrics(
        "i-1",
        "mona",
        queue_lengths=lambda: {"t1": 3},
        peer_bytes=lambda: {"batch": 10},
        control_cpu=lambda: {"coordinator": 0.5},
    )
    yield metrics
    metrics.close()


def read_metrics(metrics):
    data = json.loads(metrics.metrics_json())
    found = data["resource_metrics"][0]["scope_metrics"][0]["metrics"]
    return {metric["name"]: metric for metric in found}


def record_all(metrics):
    metrics.record_statement("a", "replica", "ok", timedelta(milliseconds=7))
    metrics.record_statement("a", "replica", "ok", timedelta(milliseconds=900))
    metrics.record_refusal("a", "rate_limited")
    metrics.record_read("a", "replica")
    metrics.record_failover("g", "promoted")
    metrics.record_share_grant("a", 5)
    metrics.record_store_call("read", "ok")


def test_values_are_read_as_json(metrics):
    record_all(metrics)
    for _ in range(2):
        found = read_metrics(metrics)
        point = found["statements"]["data"]["data_points"][0]
        assert point["value"] == 2, "reading the metrics must not reset counters"
        assert point["attributes"] == {
            "account": "a",
            "role": "replica",
            "outcome": "ok",
        }
    assert found["queue_length"]["data"]["data_points"][0]["value"] == 3
    histogram = found["statement_latency"]["data"]["data_points"][0]
    assert (histogram["count"], histogram["sum"]) == (2, 907)


def test_page_lists_every_instrument_with_unit_and_labels(metrics):
    record_all(metrics)
    rows = re.findall(
        r"^\| `(\w+)` \| \w+ \| `(\S+)` \| (.+?) \|", METRICS_PAGE.read_text(), re.M
    )
    listed = {
        name: (unit, set(re.findall(r"\w+", labels))) for name, unit, labels in rows
    }
    actual = {
        name: (metric["unit"], set(metric["data"]["data_points"][0]["attributes"]))
        for name, metric in read_metrics(metrics).items()
    }
    assert listed == actual
