"""Log entries of refusals, and their limit."""

import json
from datetime import timedelta

from bulrushloom.core.clock import Clock
from bulrushloom.core.errors import ErrorKind, Refusal
from bulrushloom.telemetry.logs import opened_logs
from bulrushloom.telemetry.refusals import MAX_ENTRIES_PER_SECOND, RefusalLog

LIMITED = Refusal(ErrorKind.RATE_LIMITED, "quotes 'secret-17' of the caller")


class StoppedClock(Clock):
    now = timedelta(seconds=5)

    def monotonic(self):
        return self.now

    def utcnow(self):
        raise NotImplementedError


def of_type(entries, message_type):
    return [entry for entry in entries if entry["message_type"] == message_type]


def test_entries_of_one_account_are_limited_and_the_rest_counted(tmp_path):
    clock, path = StoppedClock(), tmp_path / "log"
    with opened_logs(str(path), "i-1"):
        log = RefusalLog(clock)
        for number in range(MAX_ENTRIES_PER_SECOND + 7):
            log.record(f"i-1.{number}", "loud", LIMITED)
        log.record("i-1.quiet", "quiet", LIMITED)
        clock.now += timedelta(seconds=1)
        log.record("i-1.later", "quiet", LIMITED)
    entries = [json.loads(line) for line in path.read_text().splitlines()]
    # Eliot's destinations are global, so threads of other tests may log here too.
    ids = [entry["request_id"] for entry in of_type(entries, "gateway.refused")]
    assert len(ids) == MAX_ENTRIES_PER_SECOND + 2
    assert ids[-2:] == ["i-1.quiet", "i-1.later"]
    [omitted] = of_type(entries, "gateway.refusals_omitted")
    assert (omitted["account"], omitted["count"]) == ("loud", 7)
    # The text of a refusal may quote a statement.
    assert "secret-17" not in path.read_text()
