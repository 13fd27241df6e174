"""Check of answers that deny a caller: nothing newer may allow what they refuse.

Instances that know an old configuration only, or none, must not deny: callers do not
repeat what was denied. This holds at all times, whatever faults are active.
"""

from collections.abc import Sequence
from datetime import timedelta

from soak.configurations import CONFIGURATION_BOUND, ConfigurationHistory
from standins.platform.promises import CallerRecord

DENIALS = ("ERR NOAUTH", "ERR NODB")


def check_denial(
    configurations: ConfigurationHistory,
    record: CallerRecord,
    lines: Sequence[str],
    sent_at: timedelta,
    answered_at: timedelta,
) -> list[str]:
    """Return the violation of an answer that denies a caller, if it is one.

    ``lines`` are those of the answer. An instance may rely on a configuration that was
    the newest one up to ``CONFIGURATION_BOUND`` before the request was sent.
    """
    if not lines or not lines[0].startswith(DENIALS):
        return []
    since = sent_at - CONFIGURATION_BOUND
    if not configurations.has_allowed(record.key, record.database, since, answered_at):
        return []
    return [
        f"{record.name} was denied at {answered_at} ({lines[0]!r}), sent at {sent_at}, "
        f"though {record.key} and {record.database} existed since {since}"
    ]
