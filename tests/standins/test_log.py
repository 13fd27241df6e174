from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushloom.coordination.sessions.base import LogPosition
from standins.database.log import Log, LogEntry

TERMS = st.lists(st.integers(1, 4), max_size=6).map(sorted)


def log_of(terms):
    log = Log()
    for offset, term in enumerate(terms, start=1):
        log.append(LogEntry(LogPosition(term, offset), [], [], 0.0))
    return log


def positions(log):
    return [entry.position for entry in log.entries_after(0, 100)]


@settings(derandomize=True, deadline=None)
@given(TERMS, st.integers(0, 3), TERMS, TERMS)
def test_a_replica_converges_without_discarding_common_entries(
    common, surplus, old, new
):
    # The replica may have further entries of the last common term, and entries of terms
    # that are missing in the primary's log. The primary's further terms are different.
    floor = max(common, default=1)
    unseen = [floor] * surplus + [floor + 2 * term for term in old]
    primary = log_of(common + [floor + 2 * term + 1 for term in new])
    replica = log_of(common + unseen)
    for _ in range(20):
        if primary.contains(replica.position):
            break
        replica.truncate(primary.common_offset(replica.position))
        assert len(positions(replica)) >= len(common)
    for entry in primary.entries_after(replica.position.offset, 100):
        replica.append(entry)
    assert positions(replica) == positions(primary)
