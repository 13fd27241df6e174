"""The logs explain refusals, promotions, share changes, rule changes and drains."""

import json
import os
import signal

from benchmarks import processes
from tests.processes import builders


def entries_of(fleet):
    """Return all log entries without incomplete last lines."""
    found = []
    for name in fleet.entry_names:
        text = (fleet.directory / f"{name}.log").read_text()
        lines = text.splitlines() if text.endswith("\n") else text.splitlines()[:-1]
        found += [json.loads(line) for line in lines]
    return found


def events(fleet, message_type, **fields):
    return [
        entry
        for entry in entries_of(fleet)
        if entry["message_type"] == message_type
        and all(entry[name] == value for name, value in fields.items())
    ]


def refusal_id(fleet, url, key):
    """Return the request id in the answer to a refused caller."""
    response = fleet.http.request(
        "POST",
        f"{url}/v1/query",
        body=b'{"database": "orders", "sql": "SELECT 1"}',
        headers={"Authorization": f"Bearer {key}"},
    )
    assert response.status == 401
    return response.headers["X-Request-Id"]


def test_logs_explain_what_happened_and_hold_no_key(tmp_path):
    with builders.running_fleet(tmp_path) as fleet:
        stopped = builders.share_holders(fleet)[0]
        serving = next(name for name in fleet.entry_names if name != stopped)
        request_id = refusal_id(fleet, fleet.caller_url(serving), "unknown-key-31f7")
        [refused] = events(fleet, "gateway.refused", request_id=request_id)
        assert (refused["kind"], refused["account"]) == ("unauthenticated", "")

        primary = fleet.find_primary("orders")
        os.kill(fleet.process_by_name[primary].pid, signal.SIGKILL)
        builders.wait_until(
            lambda: fleet.find_primary("orders") not in ("", primary),
            12,
            "a new primary",
        )
        term = max(each["term"] for each in events(fleet, "round_started"))
        builders.wait_until(
            lambda: events(fleet, "primary_adopted", term=term, own_round=True),
            5,
            "the promotion in the log of the instance that did it",
        )
        assert processes.stop(fleet.process_by_name[stopped]) == 0
        [finished] = events(fleet, "drain_finished", instance=stopped)
        assert finished["work_open"] is False
        assert events(fleet, "drain_started", incarnation=finished["incarnation"])
        [handed_over, *_] = events(fleet, "share_handed_over", instance=stopped)
        assert handed_over["epoch"] > 0 and handed_over["next_holder"]
        assert {each["version"] for each in events(fleet, "rules_changed")} == {1}
    text = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    keys = [key.key for key in fleet.api_key_by_account.values()]
    assert not [key for key in [*keys, "unknown-key-31f7"] if key in text]
