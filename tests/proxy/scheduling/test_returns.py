"""Refused callers: when they return, and what their retries add."""

from random import Random

from bulrushloom.proxy.scheduling.budget import RetryBudget
from bulrushloom.proxy.scheduling.returns import MAX_RETRY_AFTER, ReturnSchedule
from bulrushloom.proxy.scheduling.scheduler import DomainTargetScheduler, RefusalReason
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import (
    BILLING,
    build_operation,
    build_request,
    build_schedulers,
)
from tests.proxy.scheduling.simulation import Simulation


class TestRefusedCallers:
    def play(self, retries):
        """Play 150 requests that come at once after a second of steady load."""
        simulation = Simulation(build_schedulers(1))
        for at in range(0, 1000, 3):
            simulation.arrive(ms(at), 0, build_operation(BILLING))
        crowd = [
            build_operation(BILLING, f"account-{index}", retries)
            for index in range(150)
        ]
        for operation in crowd:
            simulation.arrive(ms(1000), 0, operation)
        simulation.run(ms(4000))
        return crowd

    def test_callers_that_were_refused_together_do_not_return_together(self):
        # Guards against refused callers that are refused again at the same moment.
        crowd = self.play(retries=0)
        returns = [
            operation.refused_at[0] + operation.retry_after[0]
            for operation in crowd
            if operation.refused_at
        ]
        assert len(returns) > 60
        in_50_ms = [
            sum(start <= at < start + ms(50) for at in returns) for start in returns
        ]
        # The target takes 14 requests in 50 ms.
        assert max(in_50_ms) <= 28

    def test_callers_that_return_when_told_are_served(self):
        # Guards against times to return that come too early or much too late.
        crowd = self.play(retries=1)
        refused = [operation for operation in crowd if operation.refused_at]
        served = [operation for operation in refused if operation.answered_at]
        assert len(served) > 0.9 * len(refused)
        # 150 requests take 0.53 s in 4 slots.
        assert max(each.answered_at for each in served) < ms(1000 + 2 * 530)

    def test_urgent_callers_return_first(self):
        # Guards against urgent callers behind all less urgent ones of an overload.
        schedule = ReturnSchedule(Random(1))
        late = [schedule.retry_after(2, ms(50), ms(5), ms(0)) for _ in range(50)]
        urgent = [schedule.retry_after(0, ms(50), ms(5), ms(0)) for _ in range(10)]
        later = [schedule.retry_after(2, ms(50), ms(5), ms(0)) for _ in range(10)]
        assert max(urgent) < sorted(late)[25] < min(later)
        assert max(later) <= MAX_RETRY_AFTER


class TestBoundOfTheQueue:
    def test_urgent_request_displaces_the_least_urgent_one(self):
        # Guards against a full queue of lookups that refuses bookings.
        scheduler = DomainTargetScheduler(1, 1, ms(0), max_waiting=3)
        for request_id in range(4):
            request = build_request(request_id, "hotel", 2, ms(0), ms(9000))
            assert scheduler.submit(request, ms(0)) is None
            scheduler.admit(ms(0))
        booking = build_request(9, "hotel", 0, ms(0), ms(9000))
        assert scheduler.submit(booking, ms(0)) is None
        assert scheduler.next_event_at(ms(0)) == ms(0)
        assert [refusal.request_id for refusal in scheduler.expire(ms(0))] == [3]
        lookup = build_request(10, "other", 2, ms(0), ms(9500))
        assert scheduler.submit(lookup, ms(0)).reason == RefusalReason.DISPLACED.value
        counts = scheduler.snapshot(ms(0)).refused_by_reason
        assert counts == {RefusalReason.DISPLACED: 2}


class TestRetryBudget:
    def test_retries_in_an_overload_are_a_fraction_of_first_attempts(self):
        # Guards against targets that get three times the load that callers ask for.
        budget = RetryBudget(ms(0))
        retries = 0
        for at in range(0, 20_000, 10):
            budget.record_first_attempt(ms(at))
            retries += sum(budget.take_retry(1, ms(at)) for _ in range(2))
        assert 0.15 * 2000 < retries < 0.25 * 2000

    def test_quiet_instance_can_retry(self):
        # Guards against a quiet instance that cannot retry when its target fails.
        budget = RetryBudget(ms(0))
        budget.record_first_attempt(ms(60_000))
        assert all(budget.take_retry(1, ms(60_000)) for _ in range(3))

    def test_hedged_reads_and_lookups_leave_retries_for_bookings(self):
        # Guards against copies of reads that use up what urgent retries need.
        budget = RetryBudget(ms(0))
        while budget.take_hedged_read(ms(0)):
            pass
        assert budget.take_retry(2, ms(0))
        while budget.take_retry(2, ms(0)):
            pass
        assert budget.take_retry(0, ms(0))

    def test_first_attempts_of_long_ago_allow_no_retries(self):
        # Guards against a quiet time that saves up retries for an overload.
        budget = RetryBudget(ms(0))
        for at in range(0, 10_000, 10):
            budget.record_first_attempt(ms(at))
        retries = 0
        while budget.take_retry(0, ms(60_000)):
            retries += 1
        assert retries <= 4
