"""Evacuated domains: which targets may get statements; no I/O."""

from collections.abc import Iterable
from datetime import timedelta

from bulrushloom.proxy.configuration import Target

# Open transactions continue for this part of the bound after the last read of the store
# without the request. The rest is for a statement that is on its way, and for the
# request to reach an instance that does not read the store.
TRANSACTION_GRACE_FRACTION = 0.4


# Applies where the settings have no bound.
DEFAULT_BOUND = timedelta(seconds=5)


class Evacuations:
    """Domains whose targets must get no more statements, by request of the operators.

    Answers a zone that is about to fail or to be shut down: a target there is neither
    draining nor failing, so nothing else keeps statements away from it. New statements
    are kept away from the moment the request is known. ``bound`` is the time from the
    store's acknowledgement of the request until the last statement.
    """

    def __init__(self, bound: timedelta):
        self.bound = bound
        self._since_by_domain: dict[str, timedelta] = {}
        self._read_at: timedelta | None = None
        self._held_until: timedelta | None = None
        self._held_domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return frozenset(self._since_by_domain)

    def update(self, domains: Iterable[str], read_at: timedelta) -> bool:
        """Apply what a store read listed; return whether it changed.

        A request may be as old as the last read without it. At the first read its age
        is not known, so open transactions have no time left.
        """
        earliest = self._read_at if self._read_at is not None else read_at - self.bound
        self._read_at, known = read_at, self._since_by_domain
        if self._held_until is not None and read_at < self._held_until:
            domains = self._held_domains | set(domains)
        self._since_by_domain = {d: known.get(d, earliest) for d in domains}
        return self._since_by_domain.keys() != known.keys()

    def hold(self, until: timedelta) -> None:
        """Keep the present domains although reads before ``until`` do not list them.

        For a store that may have returned from a copy without the requests: operators
        write them again, but not at once.
        """
        self._held_until, self._held_domains = until, self.domains

    def covers(self, target: Target) -> bool:
        """Return whether ``target`` is in an evacuated domain."""
        return target.domain in self._since_by_domain

    def has_ended_grace(self, target: Target, now: timedelta) -> bool:
        """Return whether nothing but what a failover needs may be sent to ``target``.

        Open transactions end then.
        """
        since = self._since_by_domain.get(target.domain)
        if since is None:
            return False
        return now >= since + self.bound * TRANSACTION_GRACE_FRACTION

    def reason(self, target: Target) -> str:
        """Return why ``target`` gets no statements, or an empty string."""
        if not self.covers(target):
            return ""
        return f"the domain {target.domain} of the target is evacuated"
