"""Search for the current holder of a share."""

from collections.abc import Iterable
from datetime import timedelta

# As in routing, a peer that did not answer is skipped for this time.
SILENT_SKIP = timedelta(seconds=2)
REFUSED_SKIP = timedelta(milliseconds=300)


class HolderFinder:
    """Remember the holder of one share and the instances to try for it."""

    def __init__(self) -> None:
        self._candidates: list[str] = []
        self._known = ""
        self._skipped_until_by_name: dict[str, timedelta] = {}

    def update(self, candidates: Iterable[str]) -> None:
        """Replace the instances to try, the most likely holder first."""
        self._candidates = list(candidates)
        if self._known not in self._candidates:
            self._known = ""

    def locate(self, now: timedelta) -> str:
        """Return whom to ask, or an empty text while nobody is worth asking."""
        if self._known and not self._skipped(self._known, now):
            return self._known
        for name in self._candidates:
            if not self._skipped(name, now):
                return name
        return ""

    def answered(self, name: str) -> None:
        """Take note that ``name`` holds the share."""
        self._known = name
        self._skipped_until_by_name.pop(name, None)

    def refused(self, name: str, hint: str, now: timedelta) -> None:
        """Follow ``hint`` unless it was tried in vain; skip ``name`` for a while."""
        self._skipped_until_by_name[name] = now + REFUSED_SKIP
        if self._known == name:
            self._known = ""
        if hint and hint != name and not self._skipped(hint, now):
            self._known = hint

    def silent(self, name: str, now: timedelta) -> None:
        """Skip an instance that did not answer."""
        self._skipped_until_by_name[name] = now + SILENT_SKIP

    def _skipped(self, name: str, now: timedelta) -> bool:
        until = self._skipped_until_by_name.get(name)
        return until is not None and until > now
