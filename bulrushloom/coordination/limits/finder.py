"""Search for the current holder of a share."""

from collections.abc import Iterable
from datetime import timedelta

# As in routing, a peer that did not answer is skipped for this time.
SILENT_SKIP = timedelta(seconds=2)
# One unanswered request may be a lost message.
MAX_UNANSWERED = 2
REFUSED_SKIP = timedelta(milliseconds=300)


class HolderFinder:
    """Remember the holder of one share and the instances to try for it."""

    def __init__(self) -> None:
        self._candidates: list[str] = []
        self._known = ""
        self._skipped_until_by_name: dict[str, timedelta] = {}
        self._heard_at_by_name: dict[str, timedelta] = {}
        self._unanswered_by_name: dict[str, int] = {}

    def update(self, candidates: Iterable[str]) -> None:
        """Replace the instances to try, the most likely holder first."""
        self._candidates = list(candidates)
        if self._known not in self._candidates:
            self._known = ""
        for table in (self._heard_at_by_name, self._unanswered_by_name):
            for name in set(table) - set(self._candidates):
                del table[name]

    def locate(self, now: timedelta) -> str:
        """Return whom to ask, or an empty text while nobody is worth asking."""
        if self._known and not self._skipped(self._known, now):
            return self._known
        for name in self._candidates:
            if not self._skipped(name, now):
                return name
        return ""

    def answered(self, name: str, now: timedelta) -> None:
        """Take note that ``name`` holds the share."""
        self._known = name
        self._heard_at_by_name[name] = now
        self._unanswered_by_name.pop(name, None)
        self._skipped_until_by_name.pop(name, None)

    def unanswered(self, name: str, sent: timedelta, now: timedelta) -> None:
        """Skip an instance that left several requests without an answer."""
        heard_at = self._heard_at_by_name.get(name)
        if heard_at is not None and heard_at >= sent:
            return
        count = self._unanswered_by_name.get(name, 0) + 1
        self._unanswered_by_name[name] = count
        if count >= MAX_UNANSWERED:
            self.mark_unreachable(name, now)

    def refused(self, name: str, hint: str, now: timedelta) -> None:
        """Follow ``hint`` unless it was tried in vain; skip ``name`` for a while."""
        self._skipped_until_by_name[name] = now + REFUSED_SKIP
        if self._known == name:
            self._known = ""
        if hint and hint != name and not self._skipped(hint, now):
            self._known = hint

    def mark_unreachable(self, name: str, now: timedelta) -> None:
        """Skip an instance that cannot be reached."""
        self._unanswered_by_name.pop(name, None)
        self._skipped_until_by_name[name] = now + SILENT_SKIP

    def _skipped(self, name: str, now: timedelta) -> bool:
        until = self._skipped_until_by_name.get(name)
        return until is not None and until > now
