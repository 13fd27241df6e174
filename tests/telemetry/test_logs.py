import json

import pytest

from bulrushloom.coordination.base import LogEntry, SendMessage
from bulrushloom.telemetry.logs import REDACTED, is_credential, log_effects, opened_logs


@pytest.mark.parametrize(
    "name",
    ["key", "Key", "api_key", "caller_key", "token", "session", "session_token"]
    + ["Authorization", "fleet_secret", "password", "http_authorization", "signature"],
)
def test_credential_names(name):
    assert is_credential(name)


@pytest.mark.parametrize(
    "name", ["tokens", "token_count", "account", "key_count", "sessions", "epoch"]
)
def test_other_names(name):
    assert not is_credential(name)


def test_log_entries_are_json_lines_without_credentials(tmp_path):
    path = tmp_path / "log"
    fields = {"group": "g", "key": "k-17", "timestamp": 1, "deep": [{"secret": "s-17"}]}
    with opened_logs(str(path), "i-1"):
        log_effects([SendMessage("b", ("m",)), LogEntry("failover.promoted", fields)])
    lines = path.read_text().splitlines()
    record = json.loads(lines[-1])
    assert record["message_type"] == "failover.promoted"
    assert (record["instance"], record["group"], record["timestamp_"]) == (
        "i-1",
        "g",
        1,
    )
    assert record["key"] == record["deep"][0]["secret"] == REDACTED
    assert "k-17" not in lines[-1]
    assert "s-17" not in lines[-1]


def test_standard_error_is_the_default(capfd):
    with opened_logs("", "i-1"):
        log_effects([LogEntry("drain.begun", {})])
    assert "drain.begun" in capfd.readouterr().err
