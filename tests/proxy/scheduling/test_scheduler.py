"""Interface of the scheduler of one target."""

from bulrushloom.proxy.scheduling.base import WorkOutcome
from bulrushloom.proxy.scheduling.scheduler import DomainTargetScheduler
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import build_request


def submit(scheduler, request_id, priority=1, deadline=200, account="hotel"):
    request = build_request(request_id, account, priority, ms(0), ms(deadline))
    return scheduler.submit(request, ms(0))


class TestDomainTargetScheduler:
    def test_urgent_request_starts_first(self):
        scheduler = DomainTargetScheduler(slots=1, domain_count=1, now=ms(0))
        submit(scheduler, 1, priority=2)
        running = scheduler.admit(ms(0))
        for request_id, priority in ((2, 2), (3, 0), (4, 1)):
            submit(scheduler, request_id, priority=priority)
        order = []
        while running:
            order += running
            for request_id in running:
                scheduler.finish(request_id, WorkOutcome.SERVED, ms(1), ms(1))
            running = scheduler.admit(ms(1))
        assert order == [1, 3, 4, 2]

    def test_late_request_is_refused_and_not_started(self):
        scheduler = DomainTargetScheduler(slots=1, domain_count=1, now=ms(0))
        submit(scheduler, 1)
        scheduler.admit(ms(0))
        submit(scheduler, 2, deadline=50)
        assert scheduler.admit(ms(49)) == []
        assert scheduler.next_event_at(ms(49)) <= ms(50)
        scheduler.finish(1, WorkOutcome.SERVED, ms(51), ms(51))
        assert scheduler.admit(ms(51)) == []
        assert [refusal.request_id for refusal in scheduler.expire(ms(51))] == [2]
        assert scheduler.next_event_at(ms(51)) is None

    def test_snapshot_shows_the_decisions(self):
        # Guards against a log line that cannot be written: JSON has no infinity.
        scheduler = DomainTargetScheduler(slots=1, domain_count=1, now=ms(0))
        submit(scheduler, 1)
        scheduler.admit(ms(0))
        submit(scheduler, 2, deadline=0)
        fields = scheduler.snapshot(ms(0)).log_fields()
        assert fields["pace_limit"] is None
        assert (fields["running"], fields["waiting"], fields["limit"]) == (1, 0, 1.0)
        assert fields["refused"] == {"hopeless": 1}
        scheduler.record_restart(ms(0))
        assert scheduler.snapshot(ms(0)).log_fields()["pace_limit"] == 1

    def test_cancelled_request_does_not_start(self):
        scheduler = DomainTargetScheduler(slots=1, domain_count=1, now=ms(0))
        submit(scheduler, 1)
        scheduler.cancel(1)
        assert scheduler.admit(ms(0)) == []
