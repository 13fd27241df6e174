"""Invariants 6 and 13 under faults, and broken trackers that must be caught.

A change is not followed within 3 s by an outage of the whole store or by a broken
text: if no instance read the change before, none could know of it (design, 3.5). For
the same reason a majority of the domains never loses the store alone.
"""

from datetime import timedelta

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from bulrushloom.coordination.configuration.tracker import ConfigurationTracker
from bulrushloom.rules.keys import find_key
from tests.coordination.configuration.builders import (
    CONVERGENCE_BOUND,
    KEYS,
    QUIET_BOUND,
    SECOND,
    Fleet,
)

NAMES = st.sampled_from([f"n{number}" for number in range(9)])
DOMAINS = st.sampled_from(["d0", "d1", "d2"])


class FleetMachine(RuleBasedStateMachine):
    tracker_class = ConfigurationTracker

    @initialize()
    def start(self):
        self.fleet = Fleet(9, 3, self.tracker_class)
        self.fleet.run(2 * SECOND)

    @rule(tenths=st.integers(1, 40))
    def advance(self, tenths):
        self.fleet.run(timedelta(milliseconds=100 * tenths))

    @precondition(lambda self: self.fleet.store_up and not self.fleet.emptied)
    @rule(withdraw=st.booleans(), settle=st.sampled_from([0, 1, 6]))
    def change(self, withdraw, settle):
        withdraw = withdraw and len(self.fleet.withdrawn_at_by_key) < len(KEYS)
        self.fleet.write(withdraw)
        self.fleet.run(settle * SECOND)

    @precondition(lambda self: self.fleet.store_up and not self.fleet.emptied)
    @rule()
    def write_broken_text(self):
        if self.fleet.now - self.fleet.written_at >= QUIET_BOUND:
            self.fleet.write_broken()

    @rule(domain=DOMAINS, from_store=st.booleans())
    def cut_domain(self, domain, from_store):
        if len(self.fleet.cut) == 0:
            self.fleet.cut.add(domain)
            self.fleet.cut_from_store = {domain} if from_store else set()

    @rule(emptied=st.booleans())
    def lose_store(self, emptied):
        if self.fleet.now - self.fleet.written_at < QUIET_BOUND:
            return
        self.fleet.emptied = emptied
        self.fleet.store_up = emptied

    @rule(seconds=st.sampled_from([2, 4]))
    def delay_store_answer(self, seconds):
        self.fleet.next_answer_delay = seconds * SECOND

    @rule(name=NAMES)
    def restart(self, name):
        self.fleet.start(name)
        self.fleet.last_fault_at = self.fleet.now

    @rule(name=NAMES, seconds=st.integers(1, 15))
    def pause(self, name, seconds):
        self.fleet.node_by_name[name].paused = True
        self.fleet.run(seconds * SECOND)
        self.fleet.node_by_name[name].paused = False
        self.fleet.check()

    @rule(loss=st.sampled_from([0.0, 0.3, 0.9]), slow=st.booleans())
    def disturb_network(self, loss, slow):
        self.fleet.loss = loss
        self.fleet.slow_messages = slow

    @rule()
    def heal_and_converge(self):
        self.fleet.heal()
        self.fleet.run(CONVERGENCE_BOUND)
        self.fleet.check_converged()

    def teardown(self):
        if hasattr(self, "fleet"):
            self.heal_and_converge()


class AcceptsStale(ConfigurationTracker):
    """Accepts keys without regard to freshness."""

    def find_account(self, presented, now):
        rule = find_key(self.rules, presented)
        return rule.account if rule else self.view.check_key(None, now)


class DatesPongOnArrival(ConfigurationTracker):
    """Dates a proof when the answer arrives, not when it was asked for."""

    def _handle_pong(self, sender, pong, now):
        if (sender, pong.exchange) in self._sent_at_by_exchange:
            self._sent_at_by_exchange[sender, pong.exchange] = now
        return super()._handle_pong(sender, pong, now)


class FollowsOlderStore(ConfigurationTracker):
    """Takes whatever version the store holds."""

    def _is_newer(self, version):
        return version != self.version and version != self._broken_version


class NeverRequests(ConfigurationTracker):
    """Waits for the store only."""

    def _request_if_due(self, now):
        return []


class ErasedByEmptyStore(ConfigurationTracker):
    """Forgets its rules when the store comes back empty."""

    def _handle_value(self, message, now):
        if message.version == 0:
            self.rules = self.rules._replace(version=0)
        return super()._handle_value(message, now)


class RefusesBrokenForever(ConfigurationTracker):
    """Lets a broken text block every later version."""

    def _is_newer(self, version):
        return self._broken_version < 0 and super()._is_newer(version)


def check_fleets(tracker, examples, phases=tuple(Phase)):
    machine = type("Machine", (FleetMachine,), {"tracker_class": tracker})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=15,
            derandomize=True,
            deadline=None,
            phases=phases,
        ),
    )


def test_versions_never_go_back_and_withdrawn_keys_are_refused():
    check_fleets(ConfigurationTracker, 40)


@pytest.mark.parametrize(
    ("tracker", "failure"),
    [
        (AcceptsStale, "accepts a withdrawn key"),
        (DatesPongOnArrival, "accepts a withdrawn key"),
        (FollowsOlderStore, "went back"),
        (ErasedByEmptyStore, "went back"),
        (NeverRequests, "is behind"),
        (RefusesBrokenForever, "is behind|accepts a withdrawn key"),
    ],
)
def test_broken_tracker_is_caught(tracker, failure):
    with pytest.raises(AssertionError, match=failure):
        check_fleets(tracker, 200, [Phase.generate])
