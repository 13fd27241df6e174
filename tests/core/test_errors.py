from datetime import timedelta

from bulrushloom.core.errors import ANSWER_BY_KIND, ErrorKind, Ran, Refusal


def test_every_kind_has_an_answer():
    assert set(ANSWER_BY_KIND) == set(ErrorKind)


def test_only_an_unknown_outcome_is_not_retryable_as_not_run():
    unknown = {kind for kind, row in ANSWER_BY_KIND.items() if row.ran is Ran.UNKNOWN}
    assert unknown == {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.INTERNAL}


def test_body_gives_the_delay_in_milliseconds():
    refusal = Refusal(ErrorKind.RATE_LIMITED, "slow down", timedelta(seconds=1.5))
    assert refusal.body()["error"]["retry_after_ms"] == 1500
