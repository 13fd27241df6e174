from datetime import timedelta

from bulrushloom.core.errors import RESPONSE_BY_KIND, ErrorKind, Refusal, RunOutcome


def test_every_error_kind_has_a_response():
    assert set(RESPONSE_BY_KIND) == set(ErrorKind)


def test_only_unknown_outcome_and_internal_errors_may_have_run():
    unknown = {
        kind for kind, row in RESPONSE_BY_KIND.items() if row.ran is RunOutcome.UNKNOWN
    }
    assert unknown == {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL}


def test_body_contains_the_retry_delay_in_milliseconds():
    refusal = Refusal(ErrorKind.RATE_LIMITED, "slow down", timedelta(seconds=1.5))
    assert refusal.body()["error"]["retry_after_ms"] == 1500
