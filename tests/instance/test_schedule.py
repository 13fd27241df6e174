from datetime import timedelta

from bulrushloom.coordination.base import IDLE_TICK_INTERVAL, select_effects
from bulrushloom.coordination.failover.base import (
    FailoverPolicy,
    GroupTarget,
    PollStatus,
    StatusReceived,
)
from bulrushloom.coordination.failover.monitor import GroupMonitor
from bulrushloom.coordination.limits.base import (
    AccountLimit,
    HolderAck,
    HolderHeartbeat,
    Member,
)
from bulrushloom.coordination.limits.client import ShareClient
from bulrushloom.coordination.limits.electorate import (
    HEARTBEAT_INTERVAL,
    Elector,
    HolderLease,
)
from bulrushloom.coordination.sessions.base import LogPosition
from bulrushloom.databases.base import Role, ServerStatus
from bulrushloom.instance.schedule import TickSchedule, is_routine

STEP = timedelta(milliseconds=20)
START = timedelta(seconds=1000)


def tick_times(duration):
    return [START + STEP * index for index in range(duration // STEP)]


def monitor_that_follows(now):
    monitor = GroupMonitor("g", "w", "w.1", FailoverPolicy())
    monitor.update_servers([GroupTarget("a", False)], ["w"], "w")
    monitor.tick(now)
    at = LogPosition(1, 1)
    status = ServerStatus("a", Role.PRIMARY, 1, at, at, timedelta(), None)
    monitor.handle("", StatusReceived("a", status), now)
    assert monitor.state == "following"
    return monitor


def test_primary_is_suspected_and_polled_as_with_a_tick_every_time():
    """Guards against later failure detection because of sparse ticks."""
    ticked = []
    for sparse in (False, True):
        monitor = monitor_that_follows(START)
        schedule = TickSchedule()
        events = []
        for now in tick_times(timedelta(seconds=3)):
            effects = schedule.tick([monitor], now) if sparse else monitor.tick(now)
            events += [(now, poll) for poll in select_effects(effects, PollStatus)]
            events += [(now, monitor.state)] if monitor.state != "following" else []
        ticked.append(events[:5])
    assert ticked[0] == ticked[1]


def test_idle_part_is_ticked_ten_times_a_second():
    """Guards against an idle loop that exceeds the budget for control overhead."""
    client = ShareClient("a", "a.1", "d")
    schedule = TickSchedule()
    last = [
        schedule.next_tick([client], now) for now in tick_times(timedelta(seconds=1))
    ]
    assert len(set(last)) <= timedelta(seconds=1) // IDLE_TICK_INTERVAL + 1


def test_client_with_a_waiting_caller_is_ticked_every_time():
    client = ShareClient("a", "a.1", "d")
    client.update_instances({"d": ["a"]}, START)
    client.update_accounts({"x": AccountLimit(10, 10)}, 1, START)
    client.acquire("1", "x", START)
    assert client.next_tick(START) == START


def test_heartbeats_of_all_shares_fall_on_the_same_moments():
    """Guards against intervals above 200 ms, which would shorten the holder lease."""
    member = Member("a", "a.1")
    leases = [HolderLease("d", shard, 1, [member]) for shard in range(2)]
    sent = [[], []]
    for now in tick_times(timedelta(seconds=2)):
        for shard, lease in enumerate(leases):
            if now < START + STEP * 3 * shard:
                continue
            if lease.send_heartbeats({"b"}, "a", Elector("d", shard, "a.1"), now):
                sent[shard].append(now)
    assert sent[0][1:] == sent[1][1:]
    gaps = [b - a for times in sent for a, b in zip(times, times[1:], strict=False)]
    assert max(gaps) == HEARTBEAT_INTERVAL


def test_only_expected_answers_are_routine():
    """Guards against work started by a message that has to wait for an idle tick."""
    heartbeat = HolderHeartbeat("d", 0, 1, 1)
    ack = HolderAck("d", 0, 1, 1, "a.1", True)
    assert is_routine(heartbeat, [ack])
    assert not is_routine(heartbeat, [ack, ack])
    assert not is_routine(PollStatus("a"), [])
