from datetime import timedelta

from bulrushloom.coordination.limits.base import Member
from bulrushloom.coordination.limits.presence import (
    GONE_TIMEOUT,
    REPLACED_TIMEOUT,
    Presence,
)

ZERO = timedelta()
OLD = [Member("a0", "a0/1"), Member("a1", "a1/1")]


def presence(*members: Member) -> Presence:
    built = Presence("shares/a/0")
    built.update(members, ZERO)
    return built


def test_electorate_whose_names_all_restarted_is_gone_soon():
    # Guards against refusing every request for 30 s after all instances restarted.
    restarted = presence(Member("a0", "a0/2"), Member("a1", "a1/2"))
    assert not restarted.majority_gone(
        OLD, REPLACED_TIMEOUT - timedelta(milliseconds=1)
    )
    assert restarted.majority_gone(OLD, REPLACED_TIMEOUT)


def test_electorate_that_is_only_missing_may_still_live():
    missing = presence(Member("a9", "a9/1"))
    assert not missing.majority_gone(OLD, REPLACED_TIMEOUT)
    assert missing.majority_gone(OLD, GONE_TIMEOUT)


def test_member_that_is_still_listed_is_not_gone():
    assert not presence(*OLD).majority_gone(OLD, GONE_TIMEOUT)
