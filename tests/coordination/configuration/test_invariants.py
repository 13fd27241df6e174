"""Invariants 6 and 13 under faults, and detection of faulty trackers.

No outage of the whole store and no invalid text follows a change within 3 s: if no
instance has read the change by then, none can know of it (design, section 3.5). For
the same reason, a majority of the domains never loses the store alone.
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
            self.fleet.write_invalid()

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


class AcceptsStaleKeys(ConfigurationTracker):
    """Accepts keys regardless of freshness."""

    def find_account(self, presented, now):
        rule = find_key(self.rules, presented)
        return rule.account if rule else self.view.check_key(None, now)


class ConfirmsAtPongArrival(ConfigurationTracker):
    """Confirms as of the arrival of the answer instead of the send time of the ping."""

    def _handle_pong(self, sender, pong, now):
        if (sender, pong.exchange) in self._sent_at_by_exchange:
            self._sent_at_by_exchange[sender, pong.exchange] = now
        return super()._handle_pong(sender, pong, now)


class AppliesOlderVersions(ConfigurationTracker):
    """Applies any version that differs from the active one, including older ones."""

    def _is_newer(self, version):
        return version != self.version and version != self._invalid_version


class NeverRequestsText(ConfigurationTracker):
    """Never requests the rules text from a peer."""

    def _request_if_due(self, now):
        return []


class ResetsOnEmptyStore(ConfigurationTracker):
    """Resets its version when the store is empty."""

    def _handle_value(self, message, now):
        if message.version == 0:
            self.rules = self.rules._replace(version=0)
        return super()._handle_value(message, now)


class StopsAtInvalidText(ConfigurationTracker):
    """Rejects every later version after an invalid text."""

    def _is_newer(self, version):
        return self._invalid_version < 0 and super()._is_newer(version)


def run_fleet_machine(tracker, examples, phases=tuple(Phase)):
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
    run_fleet_machine(ConfigurationTracker, 40)


@pytest.mark.parametrize(
    ("tracker", "failure"),
    [
        (AcceptsStaleKeys, "accepts a withdrawn key"),
        (ConfirmsAtPongArrival, "accepts a withdrawn key"),
        (AppliesOlderVersions, "went back"),
        (ResetsOnEmptyStore, "went back"),
        (NeverRequestsText, "is behind"),
        (StopsAtInvalidText, "is behind|accepts a withdrawn key"),
    ],
)
def test_broken_tracker_is_caught(tracker, failure):
    with pytest.raises(AssertionError, match=failure):
        run_fleet_machine(tracker, 200, [Phase.generate])
