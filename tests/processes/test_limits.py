"""The rate limit of an account holds over all instances together."""

import threading
import time

from benchmarks import processes
from benchmarks.plans import AccountPlan
from tests.processes import builders

RATE_PER_S = 60.0
BURST = 30


def plan():
    accounts = [
        AccountPlan("admin", 200, 200),
        AccountPlan("greedy", RATE_PER_S, BURST),
    ]
    return builders.PLAN._replace(databases=("orders",), accounts=tuple(accounts))


def flood(fleet, seconds, during_flood=lambda: None):
    """Send far more than the rate through all instances.

    ``during_flood`` runs meanwhile. Returns the start and the end of each statement
    that may have run.
    """
    caller = builders.caller(fleet, "greedy")
    started = []
    lock = threading.Lock()
    end = time.monotonic() + seconds

    def send(url):
        while time.monotonic() < end:
            reply = caller.query(url, "orders", "SELECT 1")
            if reply.ran != "no":
                with lock:
                    started.append((reply.started_at, reply.ended_at))
            elif reply.kind == "refused":
                time.sleep(0.1)

    threads = [
        threading.Thread(target=send, args=(fleet.caller_url(name),))
        for name in fleet.entry_names
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    during_flood()
    for thread in threads:
        thread.join()
    return started


def largest_excess(spans):
    """Return the largest excess over rate and burst in any window.

    A statement takes its token between its start and its end, so a window counts only
    statements that lie entirely within it.
    """
    worst = float("-inf")
    starts = sorted(start for start, _ in spans)
    ends = sorted(end for _, end in spans)
    for first in starts[:: max(1, len(starts) // 60)]:
        for last in ends[:: max(1, len(ends) // 60)]:
            if last <= first:
                continue
            count = sum(first <= start and end <= last for start, end in spans)
            worst = max(worst, count - RATE_PER_S * (last - first) - BURST)
    return worst


def test_rate_holds_over_all_instances(tmp_path):
    with builders.running_fleet(tmp_path, plan()) as fleet:
        time.sleep(2)
        spans = flood(fleet, 6)
    assert largest_excess(spans) <= 0
    assert len(spans) >= 0.8 * RATE_PER_S * 6


def test_rate_holds_when_share_holders_die_and_pause(tmp_path):
    with builders.running_fleet(tmp_path, plan()) as fleet:
        holders = builders.share_holders(fleet)
        killed, paused = holders[0], holders[-1]

        def during_flood():
            time.sleep(1.5)
            processes.kill(fleet.process_by_name[killed])
            processes.pause(fleet.process_by_name[paused])
            time.sleep(4)
            processes.resume(fleet.process_by_name[paused])

        spans = flood(fleet, 10, during_flood)
    assert largest_excess(spans) <= 0
