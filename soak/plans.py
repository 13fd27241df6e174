"""Plans of soak runs, which follow from the seed.

The seeds of failed runs are recorded with the version of their plan, so a version is
never changed; new faults go into a new one.
"""

import random
from datetime import timedelta
from typing import NamedTuple

from soak.configuration_faults import ChangeKeys, ChangeRoute, MoveKeysDuringOutage
from soak.evacuations import Evacuate
from soak.failovers import (
    CrashPrimary,
    CutPrimary,
    IsolateDaemon,
    JoinDuringFailover,
    JoinServer,
    KillAllDuringCrash,
    LoseReplicaLog,
    RestartDuringFailover,
    RestartServer,
)
from soak.faults import (
    ConfigurationStorm,
    CrashServer,
    CutServer,
    DeafReplica,
    Fault,
    HarmServerLink,
    HarmStoreLinks,
    Kill,
    KillMany,
    LapseLeases,
    LeavingServer,
    LoseAnswers,
    Pause,
    Reload,
    SlowServer,
    StoreRefuses,
    Terminate,
    WithdrawKey,
)
from soak.store_faults import (
    ReturnDuringRelease,
    ReturnFromCopy,
    ReturnWithoutInstances,
)

CURRENT_VERSION = 7
FIRST_VERSION_WITH_MOVING_KEYS = 3
FIRST_VERSION_WITH_SERVER_DOMAINS = 4
MIN_DURATION_S, MAX_DURATION_S = 0.3, 5.0
FIRST_KINDS: tuple[type[Fault], ...] = (
    Kill,
    KillMany,
    Pause,
    Terminate,
    Reload,
    CrashServer,
    CutServer,
    DeafReplica,
    SlowServer,
    LoseAnswers,
    LeavingServer,
    HarmServerLink,
    HarmStoreLinks,
    StoreRefuses,
    LapseLeases,
    WithdrawKey,
    ConfigurationStorm,
)
# Faults that change the servers of a group or cause a failover.
GROUP_KINDS: tuple[type[Fault], ...] = (
    RestartServer,
    LoseReplicaLog,
    JoinServer,
    KillAllDuringCrash,
    CrashPrimary,
    CutPrimary,
    IsolateDaemon,
    IsolateDaemon,
    IsolateDaemon,
)
# Faults that wait for a failover, and those that usually cause one.
COMPANIONS: tuple[type[Fault], ...] = (RestartDuringFailover, JoinDuringFailover)
CAUSES: tuple[type[Fault], ...] = (CrashPrimary, CutPrimary, IsolateDaemon)
# Changes of the configuration, which meet waiting statements beside a failover.
CHANGE_KINDS: tuple[type[Fault], ...] = (
    ChangeKeys,
    ChangeKeys,
    ChangeRoute,
    MoveKeysDuringOutage,
)
RETURN_KINDS: tuple[type[Fault], ...] = (ReturnFromCopy, ReturnWithoutInstances)
ALL_RETURN_KINDS: tuple[type[Fault], ...] = (
    *RETURN_KINDS,
    ReturnDuringRelease,
    ReturnDuringRelease,
)
KINDS = tuple(
    dict.fromkeys(
        FIRST_KINDS
        + GROUP_KINDS
        + COMPANIONS
        + CHANGE_KINDS
        + (Evacuate,)
        + ALL_RETURN_KINDS
    )
)
# Probabilities of a fault from ``GROUP_KINDS`` or, from version 3 on, ``CHANGE_KINDS``,
# of an evacuation in versions 4, 6 and 7, and of each companion of a cause. From
# version 5 on, the same of a return of the store from a copy, and of one beside a
# cause.
GROUP_SHARE = 0.5
CHANGE_SHARE = 0.3
EVACUATION_SHARE = 0.15
COMPANION_SHARE = 0.5
RETURN_SHARE = 0.15
RETURN_COMPANION_SHARE = 0.3


class PlannedFault(NamedTuple):
    """An entry of the plan; ``at`` is the time since the start of the run."""

    at: timedelta
    kind: type[Fault]
    duration: timedelta


def make_plan(
    rng: random.Random, length: timedelta, version: int = CURRENT_VERSION
) -> list[PlannedFault]:
    """Return random faults, sorted by start time, which may overlap."""
    count = rng.randint(4, max(5, length // timedelta(seconds=1)))
    choose = _CHOICE_BY_VERSION[version]
    plan = []
    for _ in range(count):
        at, kind = length * rng.random(), choose(rng)
        duration = timedelta(seconds=rng.uniform(MIN_DURATION_S, MAX_DURATION_S))
        plan.append(PlannedFault(at, kind, duration))
        if version > 1 and kind in CAUSES:
            plan += [
                PlannedFault(at, companion, timedelta(seconds=MAX_DURATION_S))
                for companion in COMPANIONS
                if rng.random() < COMPANION_SHARE
            ]
        if version > 2 and kind in CAUSES:
            plan.append(PlannedFault(at, ChangeKeys, timedelta(seconds=MAX_DURATION_S)))
        is_return_due = version > 4 and kind in CAUSES
        if is_return_due and rng.random() < RETURN_COMPANION_SHARE:
            age = timedelta(seconds=rng.uniform(MIN_DURATION_S, MAX_DURATION_S))
            started_at = max(at - age + duration * rng.random(), timedelta())
            plan.append(PlannedFault(started_at, ReturnFromCopy, age))
    return sorted(plan, key=lambda entry: entry.at)


def _choose_first_kind(rng: random.Random) -> type[Fault]:
    return rng.choice(FIRST_KINDS)


def _choose_kind(rng: random.Random) -> type[Fault]:
    if rng.random() < GROUP_SHARE:
        return rng.choice(GROUP_KINDS)
    return rng.choice(FIRST_KINDS)


def _choose_kind_or_change(rng: random.Random) -> type[Fault]:
    if rng.random() < CHANGE_SHARE:
        return rng.choice(CHANGE_KINDS)
    return _choose_kind(rng)


def _choose_kind_or_evacuation(rng: random.Random) -> type[Fault]:
    if rng.random() < EVACUATION_SHARE:
        return Evacuate
    return _choose_kind_or_change(rng)


def _choose_kind_or_return(rng: random.Random) -> type[Fault]:
    if rng.random() < RETURN_SHARE:
        return rng.choice(RETURN_KINDS)
    return _choose_kind_or_change(rng)


def _choose_kind_of_all(rng: random.Random) -> type[Fault]:
    if rng.random() < RETURN_SHARE:
        return rng.choice(RETURN_KINDS)
    return _choose_kind_or_evacuation(rng)


def _choose_kind_or_return_during_release(rng: random.Random) -> type[Fault]:
    if rng.random() < RETURN_SHARE:
        return rng.choice(ALL_RETURN_KINDS)
    return _choose_kind_or_evacuation(rng)


_CHOICE_BY_VERSION = {
    1: _choose_first_kind,
    2: _choose_kind,
    3: _choose_kind_or_change,
    4: _choose_kind_or_evacuation,
    5: _choose_kind_or_return,
    6: _choose_kind_of_all,
    7: _choose_kind_or_return_during_release,
}
