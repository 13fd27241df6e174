"""Gossip datagrams: the age of their content, and malformed ones."""

import socket
from contextlib import ExitStack
from datetime import timedelta

import pytest

from bulrushloom.core.clock import ManualClock
from bulrushloom.proxy.gossip import (
    Directory,
    DomainUsage,
    GossipSocket,
    Member,
    Report,
    StoreView,
)
from bulrushloom.proxy.limits import Usage
from bulrushloom.proxy.messages import LogPosition
from bulrushloom.proxy.positions import PositionSample
from bulrushloom.runtime.loop import Loop
from tests.proxy.builders import build_target, ms


def free_address():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def instances():
    """Two instances whose clocks differ by an hour, each with its received reports."""
    with ExitStack() as stack:
        pair = []
        for name in ("north-1", "south-1"):
            clock = ManualClock()
            loop = Loop(clock)
            stack.callback(loop.close)
            member = Member(name, "run", free_address(), name[:5], "127.0.0.1:1")
            reports = []
            gossip = GossipSocket(loop, member.address, member, reports.append)
            stack.callback(gossip.close)
            pair.append((clock, loop, member, gossip, reports))
        pair[1][0].advance(timedelta(hours=1))
        yield pair


def build_report(member, **changes):
    report = Report(
        member=member,
        received_at=timedelta(),
        is_domain_relay=False,
        is_leader=False,
        usage_by_account={},
        usage_by_domain={},
        position_by_service={},
        acknowledged_by_service={},
        suspected=frozenset(),
        view=None,
        directory=None,
        followed_revision_by_service={},
        group_by_service={},
    )
    return report._replace(**changes)


def deliver(loop):
    loop.run_once(ms(500))


def test_content_that_needs_an_age_is_dropped_without_an_echo(instances):
    # Guards against a position whose age has no upper bound.
    (clock, _, sender, gossip, _), (_, loop, receiver, _, reports) = instances
    now = clock.monotonic()
    report = build_report(
        sender,
        view=StoreView(now, 3),
        position_by_service={"orders": PositionSample(now, LogPosition(1, 2))},
        followed_revision_by_service={"orders": 8},
    )
    gossip.send([receiver], report)
    deliver(loop)
    assert reports[0].view is None
    assert reports[0].position_by_service == {}
    assert reports[0].followed_revision_by_service == {"orders": 8}


def test_ages_are_bounded_by_the_receivers_clock(instances):
    # Guards against reports that a frozen instance or a slow network delivers late.
    first, second = instances
    second[3].send([first[2]], build_report(second[2]))
    deliver(first[1])
    sent_at = second[0].monotonic()
    first[0].advance(ms(300))
    now = first[0].monotonic()
    report = build_report(
        first[2],
        view=StoreView(now - ms(100), 3),
        position_by_service={"orders": PositionSample(now - ms(50), LogPosition(1, 2))},
        directory=Directory(
            now - ms(100), {"a": build_target("a")}, {first[2].name: first[2]}
        ),
    )
    first[3].send([second[2]], report)
    second[0].advance(timedelta(seconds=9))
    deliver(second[1])
    received = second[4][0]
    assert sent_at + ms(198) <= received.view.last_read_at <= sent_at + ms(200)
    taken_at = received.position_by_service["orders"].taken_at
    assert sent_at + ms(248) <= taken_at <= sent_at + ms(250)
    assert received.directory.target_by_id == {"a": build_target("a")}
    assert received.directory.member_by_name == {first[2].name: first[2]}


def test_echo_for_a_previous_incarnation_is_ignored(instances):
    # Guards against store reads that seem to lie in the future: after a power failure a
    # machine starts with a lower clock, and its peers echo timestamps of the previous
    # incarnation (found by mix --seed 61982880990).
    first, second = instances
    second[3].send([first[2]], build_report(second[2]))
    deliver(first[1])
    with ExitStack() as stack:
        loop = Loop(ManualClock())
        stack.callback(loop.close)
        second[3].close()
        restarted = second[2]._replace(incarnation="run-2")
        reports = []
        gossip = GossipSocket(loop, restarted.address, restarted, reports.append)
        stack.callback(gossip.close)
        now = first[0].monotonic()
        report = build_report(first[2], view=StoreView(now, 3))
        for receiver in (second[2], restarted):
            first[3].send([receiver], report)
            deliver(loop)
        assert [report.view for report in reports] == [None, None]


def test_usage_of_accounts_and_domains_is_received(instances):
    (clock, _, sender, gossip, _), (_, loop, receiver, _, reports) = instances
    usage = {"hotel": Usage(3.0, 1.5)}
    domain_usage = DomainUsage(4, clock.monotonic(), usage)
    report = build_report(
        sender,
        is_domain_relay=True,
        usage_by_account=usage,
        usage_by_domain={"north": domain_usage},
        suspected=frozenset({"a"}),
        acknowledged_by_service={"orders": LogPosition(2, 7)},
        group_by_service={"orders": (5, "value")},
    )
    gossip.send([receiver], report)
    deliver(loop)
    assert reports[0].usage_by_account == usage
    assert reports[0].usage_by_domain["north"].usage_by_account == usage
    assert reports[0].suspected == {"a"}
    assert reports[0].acknowledged_by_service == {"orders": LogPosition(2, 7)}
    assert reports[0].group_by_service == {"orders": (5, "value")}


@pytest.mark.parametrize(
    "data", [b"", b"\xff\xfe", b"[]", b"{}", b'{"from":["x"],"echo":[1,2],"stamp":1}']
)
def test_malformed_datagram_is_ignored(instances, data):
    (_, _, sender, gossip, _), (_, loop, receiver, _, reports) = instances
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        host, port = receiver.address.split(":")
        sock.sendto(data, (host, int(port)))
    gossip.send([receiver], build_report(sender))
    deliver(loop)
    deliver(loop)
    assert len(reports) == 1
