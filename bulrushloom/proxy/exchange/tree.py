"""Position of an instance in the tree of its domain; no I/O.

All instances order the members of a domain alike: the leader first, then by name. The
parent of an instance is always before it in this order, so that no cycle arises. An
instance chooses its parent itself, and a parent serves every child that reports to it,
so instances with different lists of members still form a tree.

A parent that answers is kept although the order has changed: while an instance moves,
the totals count its subtree twice, and accounts near their limit are refused.
"""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from bulrushloom.proxy.exchange.messages import Member

# Children of an instance. With 6, a domain of 43 instances has three levels, and one of
# 259 has four.
FAN_OUT = 6
# Three consecutive datagrams of a parent were lost, or it is frozen or gone.
PARENT_TIMEOUT = timedelta(milliseconds=700)
# A member that did not answer is probed again after this time.
REPROBE_INTERVAL = timedelta(seconds=1)
# Time after the first choice of a parent in which an instance moves at once: the other
# instances that start at the same time become known one by one.
SETTLING_TIME = timedelta(seconds=3)
# An instance whose parent is not the preferred one moves to that one after a random
# time between these bounds, so that few instances move at once.
MIN_REBALANCE_DELAY = timedelta(seconds=10)
MAX_REBALANCE_DELAY = timedelta(seconds=20)
# Members that are probed at a time, and the time for their answers.
PROBES_PER_ROUND = 8
PROBE_ANSWER_TIME = timedelta(milliseconds=150)


def order_members(
    names: Iterable[str], leader_name: str, own_name: str
) -> tuple[list[str], int]:
    """Return the members of a domain in the order of the tree, and the own index."""
    ordered = sorted({*names, own_name}, key=lambda name: (name != leader_name, name))
    return ordered, ordered.index(own_name)


class ParentChooser:
    """Choice of the parent of one instance.

    ``parent_name`` is empty while this instance is the root of its domain or has not
    found a parent. A member that did not answer counts as silent until it is heard.
    """

    def __init__(self, own: Member, random: Random):
        self._own = own
        self._random = random
        self._silent_probed_at: dict[str, timedelta] = {}
        self._heard_at: dict[str, timedelta] = {}
        self._waiting_since: timedelta | None = None
        self._probed_at: dict[str, timedelta] = {}
        self._settling_until: timedelta | None = None
        self._rebalance_at: timedelta | None = None
        self._has_lost_parent = False
        self.parent_name = ""

    def record_heard(self, name: str, now: timedelta) -> None:
        """Record a report of another instance of the domain."""
        self._heard_at[name] = now
        self._silent_probed_at.pop(name, None)
        if name == self.parent_name:
            self._waiting_since = None

    def update(
        self, names: Iterable[str], leader_name: str, now: timedelta
    ) -> list[str]:
        """Choose the parent; return the members to probe.

        ``names`` are the known members of the domain.
        """
        ordered, index = order_members(names, leader_name, self._own.name)
        earlier = ordered[:index]
        self._forget(ordered)
        self._check_parent(earlier, now)
        self._check_probes(now)
        if self._settling_until is None:
            self._settling_until = now + SETTLING_TIME
        preferred = _parent_among(
            name for name in earlier if name not in self._silent_probed_at
        )
        if self.parent_name:
            self._rebalance(preferred, now)
        elif preferred and not self._has_lost_parent:
            self._adopt(preferred, now)
        else:
            self._adopt_answering(preferred, earlier, now)
        return self._next_probes(earlier, preferred, now)

    def _rebalance(self, preferred: str, now: timedelta) -> None:
        """Move to the preferred parent once it has been preferred for long enough."""
        assert self._settling_until is not None
        if preferred == self.parent_name or preferred in self._probed_at:
            self._rebalance_at = None
        elif now < self._settling_until:
            self._adopt(preferred, now)
        elif self._rebalance_at is None:
            spread = MAX_REBALANCE_DELAY - MIN_REBALANCE_DELAY
            delay = MIN_REBALANCE_DELAY + spread * self._random.random()
            self._rebalance_at = now + delay
        elif now >= self._rebalance_at:
            self._adopt(preferred, now)

    def is_root(self, names: Iterable[str], leader_name: str) -> bool:
        """Return whether every earlier member of the domain is silent."""
        ordered, index = order_members(names, leader_name, self._own.name)
        return all(name in self._silent_probed_at for name in ordered[:index])

    def _forget(self, ordered: list[str]) -> None:
        known = set(ordered)
        for table in (self._silent_probed_at, self._heard_at, self._probed_at):
            for name in table.keys() - known:
                del table[name]

    def _check_parent(self, earlier: list[str], now: timedelta) -> None:
        """Give up the parent if it is not before this instance or does not answer."""
        if not self.parent_name:
            return
        if self.parent_name not in earlier:
            self.parent_name = ""
        elif self._waiting_since is None:
            self._waiting_since = now
        elif now - self._waiting_since >= PARENT_TIMEOUT:
            self._silent_probed_at[self.parent_name] = now
            self.parent_name = ""
            self._has_lost_parent = True

    def _check_probes(self, now: timedelta) -> None:
        """Count the members as silent that did not answer a probe."""
        for name, probed_at in list(self._probed_at.items()):
            if name in self._heard_at and self._heard_at[name] >= probed_at:
                del self._probed_at[name]
            elif now - probed_at >= PROBE_ANSWER_TIME:
                del self._probed_at[name]
                self._silent_probed_at[name] = now

    def _adopt(self, name: str, now: timedelta) -> None:
        self.parent_name = name
        self._waiting_since = now
        self._rebalance_at = None
        self._has_lost_parent = False
        self._probed_at.clear()

    def _adopt_answering(
        self, preferred: str, earlier: list[str], now: timedelta
    ) -> None:
        """Adopt the preferred parent if it answered lately, or else another member.

        Members are often lost together, so another one is not adopted unheard. Without
        the preferred parent, the last earlier member that answered is adopted: those at
        the start of the order have the most children.
        """
        answering = [name for name in earlier if self._is_answering(name, now)]
        if preferred in answering:
            self._adopt(preferred, now)
        elif answering and preferred not in self._probed_at:
            self._adopt(answering[-1], now)

    def _is_answering(self, name: str, now: timedelta) -> bool:
        heard_at = self._heard_at.get(name)
        is_recent = heard_at is not None and now - heard_at < PARENT_TIMEOUT
        return is_recent and name not in self._silent_probed_at

    def _next_probes(
        self, earlier: list[str], preferred: str, now: timedelta
    ) -> list[str]:
        """Return the members to probe: untried ones first, then silent ones again.

        While there is a parent, one silent member at a time is probed.
        """
        silent = self._silent_probed_at
        probes: list[str] = []
        if not self.parent_name:
            untried = [
                n for n in earlier if n not in silent and n not in self._probed_at
            ]
            untried.sort(key=lambda name: name != preferred)
            probes = untried[:PROBES_PER_ROUND]
        for name in probes:
            self._probed_at[name] = now
        due = [
            n for n in earlier if n in silent and now - silent[n] >= REPROBE_INTERVAL
        ]
        due.sort(key=lambda name: silent[name])
        most = 1 if self.parent_name else PROBES_PER_ROUND - len(probes)
        for name in due[:most]:
            silent[name] = now
            probes.append(name)
        return probes


def _parent_among(earlier: Iterable[str]) -> str:
    """Return the parent of the member that follows ``earlier`` in the order."""
    names = list(earlier)
    return names[(len(names) - 1) // FAN_OUT] if names else ""
