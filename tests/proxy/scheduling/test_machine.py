"""Any order of calls: each request ends exactly once, and the order holds."""

from datetime import timedelta
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bulrushloom.proxy.scheduling.base import WorkOutcome
from bulrushloom.proxy.scheduling.pace import ColdRate
from bulrushloom.proxy.scheduling.returns import MAX_RETRY_AFTER
from bulrushloom.proxy.scheduling.scheduler import URGENT_PLACES, DomainTargetScheduler
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import build_request

MAX_WAITING = 5


class SchedulerMachine(RuleBasedStateMachine):
    """Guards against requests that run twice, are lost or are refused while running."""

    def __init__(self):
        super().__init__()
        self.now = ms(0)
        self.cold_rate = ColdRate(self.now)
        self.scheduler = DomainTargetScheduler(
            4, 2, self.now, random=Random(1), cold_rate=self.cold_rate, max_waiting=5
        )
        self.waiting = {}
        self.running = []
        self.next_id = 0

    @rule(
        priority=st.integers(0, 2),
        account=st.sampled_from("ab"),
        patience=st.integers(0, 400),
    )
    def submit(self, priority, account, patience):
        self.next_id += 1
        request = build_request(
            self.next_id, account, priority, self.now, self.now + ms(patience)
        )
        refusal = self.scheduler.submit(request, self.now)
        if refusal is None:
            self.waiting[self.next_id] = request
        else:
            self.check_refusal(refusal, {self.next_id})

    @rule()
    def admit(self):
        admitted = self.scheduler.admit(self.now)
        priorities = [self.waiting.pop(each).priority for each in admitted]
        assert priorities == sorted(priorities)
        self.running += admitted
        if admitted:
            extra = URGENT_PLACES if priorities[-1] == 0 else 0
            assert len(self.running) <= self.scheduler.load.limit + extra

    @rule()
    def expire(self):
        refusals = self.scheduler.expire(self.now)
        for refusal in refusals:
            self.check_refusal(refusal, self.waiting)
            del self.waiting[refusal.request_id]
        assert all(each.start_deadline > self.now for each in self.waiting.values())

    @rule(data=st.data())
    def cancel(self, data):
        if self.waiting:
            request_id = data.draw(st.sampled_from(sorted(self.waiting)))
            self.scheduler.cancel(request_id)
            del self.waiting[request_id]

    @rule(data=st.data(), outcome=st.sampled_from(WorkOutcome))
    def finish(self, data, outcome):
        if self.running:
            request_id = data.draw(st.sampled_from(self.running))
            self.running.remove(request_id)
            duration = ms(14) if outcome is WorkOutcome.SERVED else None
            self.scheduler.finish(request_id, outcome, duration, self.now)

    @rule(elapsed=st.integers(0, 100))
    def advance(self, elapsed):
        self.now += ms(elapsed)

    @rule(per_s=st.sampled_from([None, 0, 3]))
    def change_the_target(self, per_s):
        self.scheduler.record_restart(self.now)
        self.cold_rate.set_limit(per_s)

    def check_refusal(self, refusal, allowed):
        assert refusal.request_id in allowed
        assert timedelta() < refusal.retry_after <= MAX_RETRY_AFTER

    @invariant()
    def load_is_what_was_admitted(self):
        load = self.scheduler.load
        assert load.running == len(self.running)
        assert load.waiting <= min(len(self.waiting), MAX_WAITING)
        assert load.limit >= 1

    @invariant()
    def owner_is_told_when_to_call_while_requests_wait(self):
        next_at = self.scheduler.next_event_at(self.now)
        assert (next_at is None) == (not self.waiting)


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
