"""Pace of a target that has started, and its hard limit."""

import itertools

import pytest

from bulrushloom.proxy.scheduling.base import WorkOutcome
from bulrushloom.proxy.scheduling.pace import COLD_WINDOW, ColdRate, cold_part
from bulrushloom.proxy.scheduling.scheduler import DomainTargetScheduler
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import (
    BILLING,
    BOOKING,
    LOOKUP,
    build_request,
    build_schedulers,
    offer,
)
from tests.proxy.scheduling.simulation import Simulation, share_served

RETURN = ms(3000)


def slowness(now):
    """Return 1 before the restart, 4 right after it, and 1 again 2 s later."""
    if now < RETURN:
        return 1
    return 1 + 3 * max(0, 1 - (now - RETURN) / ms(2000))


class TestTargetThatStartsCold:
    def play(self, has_pace, domain_count=3):
        """Play a target that is away for a second while requests wait for it."""
        simulation = Simulation(build_schedulers(domain_count), slowness=slowness)
        domains = range(domain_count)
        bookings = offer(simulation, BOOKING, 40, (0, 6000), domains, 0, 2)
        offer(simulation, BILLING, 150, (0, 6000), domains, 1, 2)
        offer(simulation, LOOKUP, 50, (0, 6000), domains, 2, 2)
        simulation.run(ms(2000))
        simulation.down_until = RETURN
        simulation.run(RETURN)
        simulation.restart(has_pace)
        before = simulation.slot_time
        simulation.run(ms(3400))
        used = simulation.slot_time - before
        simulation.run(ms(7000))
        around = [
            booking for booking in bookings if ms(2900) <= booking.arrived_at < ms(3400)
        ]
        return share_served(around, BOOKING.objective), used

    @pytest.mark.parametrize("domain_count", [3, 6])
    def test_bookings_are_served_in_time_with_the_pace(self, domain_count):
        # Guards against a flood of waiting requests in the queue of a slow target.
        with_pace, _ = self.play(True, domain_count)
        without_pace, _ = self.play(False, domain_count)
        assert with_pace > without_pace + 0.3

    @pytest.mark.parametrize("domain_count", [1, 3, 6])
    def test_slots_are_busy_from_the_start(self, domain_count):
        # Guards against a pace that leaves the target idle while requests wait. With
        # one request at first, a domain used 0.83 of the slots.
        _, used = self.play(True, domain_count)
        assert used > 0.95 * 4 * ms(400)


class TestRestartPace:
    def serve(self, scheduler, count, latency):
        """Let requests be answered one after the other while others wait."""
        for _ in range(count):
            request_id = next(self.ids)
            deadline = ms(90_000)
            request = build_request(request_id, "hotel", 1, ms(0), deadline)
            scheduler.submit(request, ms(0))
            for admitted in scheduler.admit(ms(0)):
                self.running.append(admitted)
            scheduler.finish(self.running.pop(0), WorkOutcome.SERVED, latency, ms(0))

    def build_scheduler(self):
        """Return a scheduler whose limit has grown, with requests that wait."""
        self.ids, self.running = itertools.count(), []
        scheduler = DomainTargetScheduler(4, 2, ms(0))
        for _ in range(20):
            request = build_request(next(self.ids), "hotel", 1, ms(0), ms(90_000))
            scheduler.submit(request, ms(0))
        self.running += scheduler.admit(ms(0))
        self.serve(scheduler, 100, ms(10))
        assert scheduler.load.limit == 6
        return scheduler

    def test_limit_is_the_share_until_the_target_answers_as_before(self):
        # Guards against a limit that grows while the target is still cold.
        scheduler = self.build_scheduler()
        scheduler.record_restart(ms(0))
        self.serve(scheduler, 7, ms(10))
        assert scheduler.load.limit == 2
        self.serve(scheduler, 2, ms(10))
        assert 2 <= scheduler.load.limit < 3
        scheduler.record_restart(ms(0))
        self.serve(scheduler, 14, ms(40))
        assert scheduler.load.limit == 2
        self.serve(scheduler, 60, ms(10))
        assert scheduler.load.limit > 4

    def test_limit_grows_at_a_target_that_stays_slow(self):
        # Guards against slots that stay idle because of a baseline of an earlier run.
        scheduler = self.build_scheduler()
        scheduler.record_restart(ms(0))
        self.serve(scheduler, 100, ms(40))
        assert scheduler.load.limit > 4

    def test_target_that_fails_again_gets_single_requests(self):
        # Guards against a flood at each of the returns of a failing target.
        scheduler = self.build_scheduler()
        scheduler.record_restart(ms(0))
        scheduler.finish(self.running.pop(), WorkOutcome.FAILED, None, ms(0))
        assert scheduler.load.limit == 1


class TestColdRate:
    def test_parts_of_the_domains_stay_within_the_limit(self):
        # Guards against parts that are rounded up: 20 * 1.5 + 5 is 35 for all.
        assert cold_part(20, 1.5, 5, 3) == 11
        assert cold_part(0.1, 1, 0, 3) == 0

    def test_no_second_has_more_requests_than_the_limit(self):
        # Guards against fixed windows, which allow twice the limit around borders, and
        # against requests that were sent before the entry said that it is cold.
        cold_rate = ColdRate(ms(0))
        for at in (910, 930, 950):
            cold_rate.record(ms(at))
        cold_rate.set_limit(5)
        sent = [ms(910), ms(930), ms(950)]
        for at in range(960, 6000, 7):
            if cold_rate.allows(ms(at)):
                cold_rate.record(ms(at))
                sent.append(ms(at))
        for start in sent:
            assert sum(start <= at < start + COLD_WINDOW for at in sent) <= 5
        assert len(sent) > 0.95 * 5 * 5

    def test_schedulers_of_a_cold_target_keep_the_limit_in_an_overload(self):
        # Guards against waiting requests that all start when a place becomes free.
        cold_rates = [ColdRate(ms(0)) for _ in range(3)]
        schedulers = [
            build_schedulers(1, cold_rate=cold_rate)[0] for cold_rate in cold_rates
        ]
        for cold_rate in cold_rates:
            cold_rate.set_limit(11)
        simulation = Simulation(schedulers)
        offer(simulation, BILLING, 300, (0, 4000), range(3))
        simulation.run(ms(4500))
        received = simulation.received_at
        for start in received:
            assert sum(start <= at < start + ms(1000) for at in received) <= 33
        assert len(received) > 33 * 3

    def test_owner_that_took_over_waits_for_what_its_predecessor_sent(self):
        # Guards against twice the limit while an owner is replaced.
        cold_rate = ColdRate(ms(0), is_first_owner=False)
        cold_rate.set_limit(5)
        assert not cold_rate.allows(ms(1000))
        assert cold_rate.allows(COLD_WINDOW)

    def admit_two(self):
        """Return a scheduler with two admitted requests of a limit of two."""
        cold_rate = ColdRate(ms(0))
        cold_rate.set_limit(2)
        scheduler = DomainTargetScheduler(4, 1, ms(0), cold_rate=cold_rate)
        self.submit(scheduler, 1, 2)
        assert scheduler.admit(ms(0)) == [1, 2]
        return scheduler

    def submit(self, scheduler, *request_ids):
        for request_id in request_ids:
            request = build_request(request_id, "hotel", 0, ms(0), ms(90_000))
            assert scheduler.submit(request, ms(0)) is None

    @pytest.mark.parametrize("outcome", [WorkOutcome.UNUSED, WorkOutcome.FAILED])
    def test_requests_that_were_not_sent_leave_their_part_to_others(self, outcome):
        # Guards against a cold target that gets a fifth of its limit, because requests
        # without a free connection give back their places and are admitted again, and
        # against callers that are told to return later while a target is down.
        scheduler = self.admit_two()
        self.submit(scheduler, 3, 4)
        assert scheduler.admit(ms(10)) == []
        for request_id in (1, 2):
            scheduler.finish(request_id, outcome, None, ms(20))
        assert scheduler.admit(ms(20)) == [3, 4]

    def test_limit_counts_from_the_time_of_sending(self):
        # Guards against twice the limit in a second if connections open slowly.
        scheduler = self.admit_two()
        self.submit(scheduler, 3)
        assert scheduler.admit(ms(2000)) == []
        for request_id in (1, 2):
            scheduler.record_sent(request_id, ms(2000))
            scheduler.finish(request_id, WorkOutcome.SERVED, ms(5), ms(2005))
        assert scheduler.admit(ms(3000)) == []
        assert scheduler.admit(ms(2000) + COLD_WINDOW) == [3]

    def test_expected_time_is_the_actual_one(self):
        # Guards against refusals with a time at which the limit does not permit more.
        cold_rate = ColdRate(ms(0))
        cold_rate.set_limit(2)
        expected = [cold_rate.allowed_at(ms(0), ahead) for ahead in range(7)]
        actual = []
        for at in range(0, 4000, 10):
            if cold_rate.allows(ms(at)):
                cold_rate.record(ms(at))
                actual.append(ms(at))
            if cold_rate.allows(ms(at)):
                cold_rate.record(ms(at))
                actual.append(ms(at))
        assert actual[:7] == expected
