"""Reports that instances exchange, with times on the local clock of the process."""

from collections.abc import Mapping
from datetime import timedelta
from enum import IntEnum
from typing import NamedTuple

from bulrushloom.proxy.configuration import Target
from bulrushloom.proxy.limits import Usage
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.proxy.store_eras import Knowledge


class Member(NamedTuple):
    """A running instance; ``incarnation`` differs with each start.

    ``address`` receives datagrams, ``document_address`` serves the configuration and
    the directory.
    """

    name: str
    incarnation: str
    address: str
    domain: str
    document_address: str


class ReportKind(IntEnum):
    """Direction of a report in the tree of a domain.

    UP: from a child to its parent. DOWN: from a parent to its children. PROBE: from an
    instance that looks for a parent; it is answered with DOWN. DIRECT: to an instance
    outside the tree, such as the relay of another domain.
    """

    UP = 0
    DOWN = 1
    PROBE = 2
    DIRECT = 3


class GroupUsage(NamedTuple):
    """Total usage of several instances: a subtree, or a whole domain.

    ``instance_count`` is the number of instances that report. ``source`` is the
    incarnation of the instance that calculated the total.
    """

    instance_count: int
    reported_at: timedelta
    source: str
    usage_by_account: Mapping[str, Usage]


class StoreView(NamedTuple):
    """How recent the sender's knowledge of the store is.

    The sender knows every change of the configuration and of the group records that
    the store acknowledged before ``last_read_at``, and has not lost since.
    ``configuration_version`` is the one in force at the sender. ``knowledge`` is
    whether that is the newest one, ``is_settled`` whether a leader of ``era`` has
    written back what the copy lacked.
    """

    last_read_at: timedelta
    configuration_version: int
    era: int = 0
    knowledge: Knowledge = Knowledge.CURRENT
    is_settled: bool = True


class Directory(NamedTuple):
    """The targets, members and evacuated domains that a store read listed.

    ``listed_at`` is the time just before that read was sent. ``version`` is a digest of
    the content, so that equal directories have equal versions.
    """

    listed_at: timedelta
    version: str
    target_by_id: Mapping[str, Target]
    member_by_name: Mapping[str, Member]
    evacuated_domains: frozenset[str] = frozenset()


class DirectoryVersion(NamedTuple):
    """Version of the sender's directory and the time at which it was listed."""

    listed_at: timedelta
    version: str


class LeaderSighting(NamedTuple):
    """The leader, and the time at which its last known report was received."""

    name: str
    seen_at: timedelta


class Report(NamedTuple):
    """Content of a datagram.

    ``proven`` is true if the datagram echoes a recent timestamp of the receiver, so
    that it cannot be a replayed or a long delayed one. Otherwise only ``member``,
    ``stamp``, ``kind`` and ``group_by_service`` are set, whose repetition is harmless.

    ``sent_at`` is the earliest time at which a proven report may have been sent.
    ``stamp`` is the sender's number of the report. ``included_stamp`` is the number of
    the receiver's own report that ``usage_by_domain`` includes, or 0. ``subtree`` is
    the usage of the sender and of the instances below it, ``own_usage`` the part of the
    sender alone.
    ``followed_version_by_service`` holds the version of each group record that the
    sender acts on.
    ``group_by_service`` announces group records as pairs of revision and value. Under
    the key of a record of group members, it announces that record.
    ``acknowledged_by_service`` holds the highest log positions of commits that were
    acknowledged to clients, ``suspected`` the ids of targets that did not answer.
    ``relay_by_domain`` holds the names of the domain relays that the sender knows.
    ``is_urgent`` asks the receiver to pass the usage on without waiting for a round.
    """

    member: Member
    received_at: timedelta
    kind: ReportKind
    proven: bool = True
    sent_at: timedelta | None = None
    stamp: int = 0
    included_stamp: int = 0
    is_domain_relay: bool = False
    is_leader: bool = False
    has_left: bool = False
    is_urgent: bool = False
    subtree: GroupUsage | None = None
    own_usage: Mapping[str, Usage] = {}
    usage_by_domain: Mapping[str, GroupUsage] = {}
    position_by_service: Mapping[str, PositionSample] = {}
    acknowledged_by_service: Mapping[str, LogPosition] = {}
    suspected: frozenset[str] = frozenset()
    view: StoreView | None = None
    directory: DirectoryVersion | None = None
    followed_version_by_service: Mapping[str, int] = {}
    group_by_service: Mapping[str, tuple[int, str]] = {}
    leader: LeaderSighting | None = None
    relay_by_domain: Mapping[str, str] = {}
