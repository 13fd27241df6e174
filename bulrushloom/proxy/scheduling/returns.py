"""Times at which refused callers return; no I/O."""

from datetime import timedelta
from random import Random

# Callers give up after 0.8 to 1.5 s and retry at most twice, so a later return serves
# nobody.
MAX_RETRY_AFTER = timedelta(seconds=1)


class ReturnSchedule:
    """Schedule of the refused callers of a target.

    Answers refused callers that return at the same moment and are refused again. Each
    caller gets a time of its own, at the distance in which the target takes requests.
    More urgent callers get the earlier times: less urgent ones are behind all of them,
    and do not delay them.
    """

    def __init__(self, random: Random):
        self._random = random
        self._next_at_by_priority: dict[int, timedelta] = {}

    def retry_after(
        self,
        priority: int,
        drained_in: timedelta,
        interval: timedelta,
        now: timedelta,
    ) -> timedelta:
        """Return when a caller should return.

        ``drained_in`` is the time after which the queue has room for its request, and
        ``interval`` the time in which the target takes one request.
        """
        at = max(
            [now + max(drained_in, interval)]
            + [
                next_at
                for other, next_at in self._next_at_by_priority.items()
                if other <= priority
            ]
        )
        if at - now + interval > MAX_RETRY_AFTER:
            return MAX_RETRY_AFTER * self._random.uniform(0.75, 1)
        self._next_at_by_priority[priority] = at + interval
        return at - now + interval * self._random.random()
