"""Discovery of the current holder of a share."""

from collections.abc import Iterable
from datetime import timedelta

# An instance that did not answer is skipped for this time, as in statement routing.
UNREACHABLE_SKIP_TIME = timedelta(seconds=2)
# A single unanswered request may be a lost message.
MAX_UNANSWERED_REQUESTS = 2
REFUSAL_SKIP_TIME = timedelta(milliseconds=300)


class HolderFinder:
    """Track the known holder of one share and the candidates to try for it."""

    def __init__(self) -> None:
        self._candidates: list[str] = []
        self._known_holder = ""
        self._skipped_until_by_name: dict[str, timedelta] = {}
        self._answered_at_by_name: dict[str, timedelta] = {}
        self._unanswered_by_name: dict[str, int] = {}

    def update_candidates(self, candidates: Iterable[str]) -> None:
        """Replace the candidates; the most likely holder comes first."""
        self._candidates = list(candidates)
        if self._known_holder not in self._candidates:
            self._known_holder = ""
        for table in (self._answered_at_by_name, self._unanswered_by_name):
            for name in set(table) - set(self._candidates):
                del table[name]

    def locate(self, now: timedelta) -> str:
        """Return the instance to ask, or an empty string if all are skipped."""
        if self._known_holder and not self._is_skipped(self._known_holder, now):
            return self._known_holder
        for name in self._candidates:
            if not self._is_skipped(name, now):
                return name
        return ""

    def record_answer(self, name: str, now: timedelta) -> None:
        """Record that ``name`` answered as holder of the share."""
        self._known_holder = name
        self._answered_at_by_name[name] = now
        self._unanswered_by_name.pop(name, None)
        self._skipped_until_by_name.pop(name, None)

    def record_timeout(self, name: str, sent_at: timedelta, now: timedelta) -> None:
        """Count a request without an answer and skip ``name`` after several.

        A request that was sent before the latest answer does not count.
        """
        answered_at = self._answered_at_by_name.get(name)
        if answered_at is not None and answered_at >= sent_at:
            return
        count = self._unanswered_by_name.get(name, 0) + 1
        self._unanswered_by_name[name] = count
        if count >= MAX_UNANSWERED_REQUESTS:
            self.mark_unreachable(name, now)

    def record_refusal(self, name: str, hint: str, now: timedelta) -> None:
        """Record that ``name`` does not hold the share and skip it for a while.

        ``hint`` is the holder that ``name`` knows. It is tried next unless it is being
        skipped itself.
        """
        self._skipped_until_by_name[name] = now + REFUSAL_SKIP_TIME
        if self._known_holder == name:
            self._known_holder = ""
        if hint and hint != name and not self._is_skipped(hint, now):
            self._known_holder = hint

    def mark_unreachable(self, name: str, now: timedelta) -> None:
        """Skip an unreachable instance for a while."""
        self._unanswered_by_name.pop(name, None)
        self._skipped_until_by_name[name] = now + UNREACHABLE_SKIP_TIME

    def _is_skipped(self, name: str, now: timedelta) -> bool:
        until = self._skipped_until_by_name.get(name)
        return until is not None and until > now
