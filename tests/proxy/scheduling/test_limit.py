"""Concurrency limit and estimates of one scheduler."""

from bulrushloom.proxy.scheduling.base import WorkOutcome
from bulrushloom.proxy.scheduling.drain import DrainRate
from bulrushloom.proxy.scheduling.limit import RELEARN_ANSWERS, ConcurrencyLimit
from bulrushloom.proxy.scheduling.pace import ColdRate
from bulrushloom.proxy.scheduling.scheduler import BUSY_PAUSE
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import build_request, build_schedulers


def build_grown_limit():
    limit = ConcurrencyLimit(slots=4, domain_count=2)
    for _ in range(100):
        limit.record_answer(ms(10), 1, is_in_use=True)
    return limit


def submit(scheduler, count, patience, now=0):
    """Submit requests with consecutive ids; return the refusals."""
    requests = [
        build_request(index, f"account-{index}", 1, ms(now), ms(now + patience))
        for index in range(count)
    ]
    refusals = [scheduler.submit(request, ms(now)) for request in requests]
    return [refusal for refusal in refusals if refusal]


class TestConcurrencyLimit:
    def test_latency_far_above_the_baseline_shrinks_it_to_the_share(self):
        # Guards against domains whose requests fill the queue of a target.
        limit = build_grown_limit()
        assert limit.value == 4 + 2
        values = []
        for _ in range(60):
            limit.record_answer(ms(30), 1, is_in_use=True)
            values.append(limit.value)
        assert min(values) == limit.share == 2

    def test_full_target_shrinks_it_once_for_answers_that_come_together(self):
        limit = build_grown_limit()
        for _ in range(10):
            limit.record_refusal(ms(0))
        assert limit.value > 4
        for at in range(100, 2000, 100):
            limit.record_refusal(ms(at))
        assert limit.value == 1

    def test_limit_that_is_not_in_use_does_not_grow(self):
        # Guards against a calm domain that floods the target when its load comes.
        limit = ConcurrencyLimit(slots=4, domain_count=2)
        for _ in range(100):
            limit.record_answer(ms(10), 1, is_in_use=False)
        assert limit.value == 2

    def test_latency_under_load_does_not_become_the_baseline(self):
        # Guards against limits that grow in turn with the latency that they cause.
        limit = build_grown_limit()
        for _ in range(200):
            limit.record_answer(ms(17), 1, is_in_use=True)
        assert limit.latency_ratio > 1.5

    def test_target_that_became_slow_gets_a_new_baseline(self):
        limit = build_grown_limit()
        for _ in range(60 + 2 * RELEARN_ANSWERS):
            limit.record_answer(ms(50), 1, is_in_use=True)
        assert limit.latency_ratio < 1.6


class TestEstimates:
    def test_nothing_is_refused_before_the_target_has_answered(self):
        # Guards against a new owner that refuses callers because of an assumption.
        (scheduler,) = build_schedulers(1)
        assert not submit(scheduler, 60, patience=100)

    def test_requests_are_refused_while_the_target_does_not_answer(self):
        # Guards against callers that wait until their deadline for a silent target.
        (scheduler,) = build_schedulers(1)
        submit(scheduler, 60, patience=800)
        scheduler.admit(ms(0))
        refused = scheduler.expire(ms(200))
        assert 30 < len(refused) < 56

    def test_requests_that_the_hard_limit_does_not_permit_in_time_are_refused(self):
        # Guards against callers that wait in vain for a cold target.
        cold_rate = ColdRate(ms(0))
        cold_rate.set_limit(5)
        (scheduler,) = build_schedulers(1, cold_rate=cold_rate)
        refused = submit(scheduler, 10, patience=500)
        assert [refusal.request_id for refusal in refused] == [5, 6, 7, 8, 9]
        assert all(refusal.retry_after >= ms(500) for refusal in refused)

    def test_nothing_starts_right_after_the_target_was_full(self):
        # Guards against waiting requests that are refused by the target in turn.
        (scheduler,) = build_schedulers(1)
        submit(scheduler, 20, patience=500)
        first, *_ = scheduler.admit(ms(0))
        scheduler.finish(first, WorkOutcome.BUSY, ms(2), ms(2))
        assert scheduler.admit(ms(2)) == []
        for request_id in range(1, 4):
            scheduler.finish(request_id, WorkOutcome.SERVED, ms(9), ms(9))
        assert scheduler.next_event_at(ms(9)) <= ms(2) + BUSY_PAUSE
        assert scheduler.admit(ms(2) + BUSY_PAUSE)

    def test_callers_are_not_refused_because_of_an_earlier_failure(self):
        # Guards against a time without requests that counts as a slow target.
        (scheduler,) = build_schedulers(1)
        submit(scheduler, 6, patience=100)
        running = scheduler.admit(ms(0))
        scheduler.expire(ms(100))
        for request_id in running:
            scheduler.finish(request_id, WorkOutcome.FAILED, None, ms(800))
        assert not submit(scheduler, 6, patience=100, now=60_000)

    def test_pause_of_the_target_is_no_lasting_slowness(self):
        # Guards against refusals after a pause, when the target answers again.
        drain = DrainRate(places=4)
        for at in range(0, 500, 10):
            drain.record_end(ms(at), has_waiting=True)
        assert drain.interval(ms(990)) > ms(100)
        drain.record_end(ms(990), has_waiting=True)
        assert drain.interval(ms(990)) < ms(20)
