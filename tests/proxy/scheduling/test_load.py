"""Loads of the larger deployment, replayed at schedulers of one target."""

from random import Random
from statistics import mean

import pytest

from bulrushloom.proxy.scheduling.base import WorkOutcome
from tests.proxy.builders import ms
from tests.proxy.scheduling.builders import (
    BILLING,
    BOOKING,
    LOOKUP,
    build_operation,
    build_schedulers,
    offer,
)
from tests.proxy.scheduling.simulation import Simulation, share_served


class TestBurst:
    def test_bookings_are_served_during_a_burst_of_lookups(self):
        # Guards against urgent statements behind less urgent ones.
        simulation = Simulation(build_schedulers(1))
        bookings = offer(simulation, BOOKING, 60, (0, 2000))
        for _ in range(300):
            simulation.arrive(ms(100), 0, build_operation(LOOKUP, "large"))
        simulation.run(ms(4000))
        assert share_served(bookings, BOOKING.objective) == 1
        assert not any(booking.refused_at for booking in bookings)

    def test_account_above_the_capacity_leaves_room_for_the_others(self):
        # Guards against one account that fills the queue of its priority.
        simulation = Simulation(build_schedulers(1))
        bookings = offer(simulation, BOOKING, 60, (0, 4000))
        others = offer(simulation, LOOKUP, 60, (0, 4000), seed=2)
        for at in range(0, 4000, 3):
            simulation.arrive(ms(at), 0, build_operation(LOOKUP, "large"))
        simulation.run(ms(5000))
        assert share_served(bookings, BOOKING.objective) > 0.99
        assert share_served(others, LOOKUP.objective) > 0.99

    def test_bookings_find_a_place_while_lookups_overload_all_domains(self):
        # Guards against a booking that waits for the only place of its domain, which a
        # long lookup uses.
        simulation = Simulation(build_schedulers(6))
        bookings = offer(simulation, BOOKING, 60, (0, 5000), range(6))
        offer(simulation, BILLING, 296, (0, 5000), range(6), seed=2, retries=2)
        offer(simulation, LOOKUP, 110, (0, 5000), range(6), seed=3, retries=2)
        simulation.run(ms(6000))
        assert share_served(bookings, BOOKING.objective) > 0.98


class TestLostAnswers:
    def test_target_whose_answers_are_lost_is_used_fully(self):
        # Guards against statements whose answers were lost and that keep their places
        # until their timeout, and against limits that shrink because of them.
        random = Random(5)
        simulation = Simulation(
            build_schedulers(3), loses_answer=lambda: random.random() < 0.03
        )
        operations = offer(simulation, BILLING, 240, (0, 5000), range(3))
        simulation.run(ms(7000))
        lost_ids = {id(operation) for operation in simulation.lost}
        others = [each for each in operations if id(each) not in lost_ids]
        assert len(simulation.lost) > 10
        assert share_served(others, BILLING.objective) > 0.98


class TestCallersThatMissTheirObjective:
    def play(self, late_wait):
        """Replay the callers that waited for a new primary, and later ones."""
        simulation = Simulation(build_schedulers(1))
        for scheduler in simulation.schedulers:
            scheduler.record_restart(ms(0))
        waited = [
            build_operation(BOOKING, f"account-{index % 30}") for index in range(200)
        ]
        for operation in waited:
            operation.late_wait = late_wait
            simulation.arrive(ms(1), 0, operation)
        later = offer(simulation, BOOKING, 200, (50, 400))
        for operation in later:
            operation.late_wait = late_wait
        simulation.run(ms(2000))
        return waited, later

    def test_they_are_answered_late_instead_of_refused(self):
        # Guards against refusals of callers whom the target could answer a little
        # later, and whose retry would be later still.
        waited, later = self.play(late_wait=ms(370))
        assert share_served(waited, ms(800)) == 1
        refused, _ = self.play(late_wait=ms(0))
        assert share_served(refused, ms(800)) < 0.9

    def test_they_do_not_delay_those_that_can_meet_their_objective(self):
        # Guards against a queue of late requests that makes all later ones late too.
        _, later = self.play(late_wait=ms(370))
        assert share_served(later, BOOKING.objective) == 1


class TestDomainThatIsCutOff:
    def play(self):
        """Play an overload of 3 domains, of which only one has load from 2 s to 4 s."""
        simulation = Simulation(build_schedulers(3))
        for domain in range(3):
            periods = [(0, 2000), (4000, 6000)] if domain else [(0, 6000)]
            for period in periods:
                offer(simulation, BILLING, 400, period, [domain], seed=domain)
        return simulation

    def test_domain_uses_all_slots_while_the_others_are_cut_off(self):
        # Guards against slots that are idle because they belong to absent domains.
        simulation = self.play()
        simulation.run(ms(2200))
        before = simulation.slot_time
        simulation.run(ms(4000))
        assert simulation.slot_time - before > 0.97 * 4 * ms(1800)

    def test_domain_that_returns_gets_its_part_again(self):
        # Guards against domains that keep the room of a domain that was cut off.
        simulation = self.play()
        simulation.run(ms(4500))
        before = [
            self.served(scheduler, simulation) for scheduler in simulation.schedulers
        ]
        simulation.run(ms(6000))
        gained = [
            self.served(scheduler, simulation) - count
            for scheduler, count in zip(simulation.schedulers, before, strict=True)
        ]
        assert min(gained) > 0.5 * mean(gained)

    def served(self, scheduler, simulation):
        ended = scheduler.snapshot(simulation.now).ended_by_outcome
        return ended[WorkOutcome.SERVED]


class TestLossOfAllInstances:
    def test_all_callers_that_return_at_once(self):
        # Guards against a target that is filled beyond its queue by new owners, each of
        # which opens all of its connections.
        simulation = Simulation(build_schedulers(3))
        bookings = []
        for index in range(300):
            kind = (BOOKING, BILLING, LOOKUP)[index % 3]
            operation = build_operation(kind, f"account-{index % 30}", retries=2)
            simulation.arrive(ms(index % 5), index // 3 % 3, operation)
            bookings += [operation] if kind is BOOKING else []
        later = offer(simulation, BOOKING, 60, (500, 1500), range(3))
        simulation.run(ms(3000))
        assert simulation.busy_count == 0
        assert share_served(bookings, ms(1000)) == 1
        assert share_served(later, BOOKING.objective) == 1


class TestSlowTarget:
    @pytest.mark.parametrize("slowness", [1, 5])
    def test_slots_are_busy_while_requests_wait(self, slowness):
        # Guards against a limit that stays low because the target itself became slow.
        simulation = Simulation(
            build_schedulers(3),
            slowness=lambda now: slowness if now > ms(1000) else 1,
        )
        offer(simulation, LOOKUP, 400, (0, 6000))
        simulation.run(ms(3500))
        before = simulation.slot_time
        simulation.run(ms(6000))
        assert simulation.slot_time - before > 0.97 * 4 * ms(2500)

    def test_requests_that_a_slow_target_cannot_take_are_refused_at_once(self):
        # Guards against callers that wait in vain for a target that became slow.
        simulation = Simulation(
            build_schedulers(1), slowness=lambda now: 5 if now > ms(1000) else 1
        )
        offer(simulation, BILLING, 200, (0, 1500))
        late = offer(simulation, BILLING, 200, (1500, 4000))
        simulation.run(ms(5000))
        refused = [operation for operation in late if operation.refused_at]
        waits = [each.refused_at[0] - each.arrived_at for each in refused]
        assert sum(wait < ms(20) for wait in waits) > 0.7 * len(waits)
