"""Tests the rollout state machines with random and fixed event sequences."""

from collections.abc import Callable
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import rollout_simulation

from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state

NAMES = strategies.sampled_from(rollout_simulation.INSTANCE_IDS)
INDEXES = strategies.integers(0, 30)


class WithoutLease(instance_state.InstanceState):
    """Admits requests even if the lease has expired."""

    def may_admit(self, now_s: float) -> bool:
        return True


class LeaseRenewedOnArrival(instance_state.InstanceState):
    """Dates the lease by the arrival of a Stage call, not by its token."""

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> instance_state.StageOutcome:
        return super().on_stage(number, epoch, now_s, now_s)


class WithoutEpochCheck(instance_state.InstanceState):
    """Accepts Stage calls from a superseded coordinator."""

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> instance_state.StageOutcome:
        return super().on_stage(number, max(epoch, self.epoch), token_s, now_s)


class RenewalWhileAccepting(coordinator_state.CoordinatorState):
    """Renews leases while the write of the acceptance is in flight."""

    def on_stage_result(self, reply: coordinator_state.StageResult) -> None:
        super().on_stage_result(reply)
        self._tokens[reply.instance_id] = reply.token


class WithoutRequiredInstances(coordinator_state.CoordinatorState):
    """Accepts without waiting for acknowledgements."""

    def blockers(self) -> dict[str, str]:
        return {}


class WithoutAdmissionGate(gate.AdmissionGate):
    """Admits requests without a confirmation after a start or a freeze."""

    def observe(self, now_s: float) -> bool:
        return True


class ConfirmationBeforeStart(gate.AdmissionGate):
    """Accepts confirmations requested before the start of the process."""

    def __init__(self, now_s: float):
        super().__init__(now_s)
        self._closed_at_s = 0.0


class NonMonotonicNumbers(instance_state.InstanceState):
    """Activates every number, even if it is lower than the one in force."""

    def activate(self, number: int) -> bool:
        self.in_force = number
        return True


CORRECT = rollout_simulation.Variant()


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Random events: rollout steps, message faults, freezes and restarts."""

    variant = CORRECT

    def __init__(self) -> None:
        super().__init__()
        self.simulation = rollout_simulation.Simulation(self.variant)
        self.reads: list[tuple[str, tuple[int, object], int]] = []

    @stateful.rule(name=NAMES, step=strategies.integers(0, 1))
    def read_for_rollout(self, name: str, step: int) -> None:
        read = self.simulation.read_rollout()
        base = max(read[1].staging, read[1].in_force)
        is_open = read[1].is_open
        number = base + step if is_open else base + 1
        self.reads.append((name, read, number))

    @stateful.precondition(lambda self: self.reads)
    @stateful.rule(index=INDEXES)
    def open_rollout(self, index: int) -> None:
        name, read, number = self.reads.pop(index % len(self.reads))
        if not self.simulation.instances[name].is_frozen:
            self.simulation.open(name, read, number)

    @stateful.precondition(lambda self: self.simulation.coordinators)
    @stateful.rule(index=INDEXES)
    def stage_everywhere(self, index: int) -> None:
        coordinators = self.simulation.coordinators
        coordinator = coordinators[-1 - index % min(3, len(coordinators))]
        if self.simulation.is_running(coordinator.owner):
            for name in rollout_simulation.INSTANCE_IDS:
                self.simulation.stage(coordinator, name)

    @stateful.precondition(lambda self: self.simulation.coordinators)
    @stateful.rule(names=strategies.sets(NAMES, min_size=2))
    def stage_immediately(self, names: set[str]) -> None:
        coordinator = self.simulation.coordinators[-1]
        if self.simulation.is_running(coordinator.owner):
            for name in sorted(names):
                self.send_and_deliver(
                    lambda n=name: self.simulation.stage(coordinator, n)
                )

    @stateful.precondition(lambda self: self.simulation.coordinators)
    @stateful.rule()
    def accept_immediately(self) -> None:
        coordinator = self.simulation.coordinators[-1]
        self.send_and_deliver(
            lambda: self.simulation.try_accept(coordinator), 1
        )

    @stateful.rule(name=NAMES)
    def read_platform_immediately(self, name: str) -> None:
        self.send_and_deliver(lambda: self.simulation.read_platform(name))

    def send_and_deliver(
        self, send: Callable[[], None], steps: int = 2
    ) -> None:
        """Sends a message and immediately delivers it and those it causes.

        Args:
          send: Sends the first message.
          steps: Maximum number of messages to deliver. Each one after the
            first is the last message that its predecessor caused.
        """
        for _ in range(steps):
            count = len(self.simulation.messages)
            send()
            if len(self.simulation.messages) == count:
                return
            message = self.simulation.messages.pop()
            send = message
        send()

    @stateful.precondition(lambda self: self.simulation.coordinators)
    @stateful.rule(index=INDEXES)
    def accept(self, index: int) -> None:
        coordinators = self.simulation.coordinators
        self.simulation.try_accept(
            coordinators[-1 - index % min(3, len(coordinators))]
        )

    @stateful.precondition(lambda self: self.simulation.messages)
    @stateful.rule(index=INDEXES, keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        self.simulation.deliver(index, keep=keep)

    @stateful.precondition(lambda self: self.simulation.messages)
    @stateful.rule(count=strategies.integers(1, 12))
    def deliver_oldest(self, count: int) -> None:
        for _ in range(count):
            if self.simulation.messages:
                self.simulation.deliver(0)

    @stateful.precondition(lambda self: self.simulation.messages)
    @stateful.rule(index=INDEXES)
    def drop_message(self, index: int) -> None:
        self.simulation.messages.pop(index % len(self.simulation.messages))

    @stateful.rule(time_s=strategies.sampled_from([0.1, 0.5, 1.5, 3.2]))
    def advance(self, time_s: float) -> None:
        self.simulation.advance(time_s)

    @stateful.rule(name=NAMES)
    def read_platform(self, name: str) -> None:
        self.simulation.read_platform(name)

    @stateful.rule(name=NAMES, peer=NAMES)
    def gossip_and_ask_peer(self, name: str, peer: str) -> None:
        self.simulation.gossip(name, peer)
        self.simulation.ask_peer(name, peer)

    @stateful.rule(name=NAMES)
    def freeze_or_resume(self, name: str) -> None:
        instance = self.simulation.instances[name]
        instance.is_frozen = not instance.is_frozen

    @stateful.rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.simulation.restart(name)

    @stateful.invariant()
    def has_no_violations(self) -> None:
        violations = self.simulation.violations()
        assert not violations, violations


def lose_activation(simulation: rollout_simulation.Simulation) -> None:
    """The reply to the acceptance is lost, so no Activate call is sent."""
    coordinator = open_and_acknowledge(simulation)
    simulation.try_accept(coordinator)
    simulation.deliver_next()
    simulation.advance(3.2)


def delay_stage_call(simulation: rollout_simulation.Simulation) -> None:
    """A Stage call sent before the acceptance arrives 2.8 s after it."""
    coordinator = open_and_acknowledge(simulation)
    simulation.stage(coordinator, "i1")
    delayed_call = simulation.messages.pop()
    simulation.try_accept(coordinator)
    simulation.deliver_next()
    simulation.advance(2.8)
    delayed_call()
    simulation.advance(2.0)


def continue_superseded_coordinator(
    simulation: rollout_simulation.Simulation,
) -> None:
    """A superseded coordinator keeps sending Stage calls after acceptance."""
    first = open_and_acknowledge(simulation)
    second = open_and_acknowledge(simulation, "i1")
    simulation.try_accept(second)
    simulation.deliver_next()
    for _ in range(5):
        simulation.stage(first, "i2")
        simulation.deliver_all()
        simulation.advance(1.0)


def lose_acceptance_reply(simulation: rollout_simulation.Simulation) -> None:
    """The reply to the acceptance is lost; Stage calls continue."""
    coordinator = open_and_acknowledge(simulation)
    simulation.try_accept(coordinator)
    simulation.deliver_next()
    for _ in range(5):
        simulation.stage(coordinator, "i2")
        simulation.deliver_all()
        simulation.advance(1.0)


def accept_while_frozen(simulation: rollout_simulation.Simulation) -> None:
    """Acceptance is attempted while an instance is frozen; it then resumes."""
    simulation.instances["i2"].is_frozen = True
    lose_activation(simulation)
    simulation.instances["i2"].is_frozen = False
    simulation.read_platform("i0")
    simulation.deliver_all()


def resume_after_removal(simulation: rollout_simulation.Simulation) -> None:
    """A frozen instance is unlisted, so acceptance does not wait for it."""
    simulation.listed.discard("i2")
    accept_while_frozen(simulation)


def deliver_outdated_number(simulation: rollout_simulation.Simulation) -> None:
    """An instance with bundle 2 receives a delayed message about bundle 1."""
    simulation.gossip("i1", "i0")
    outdated = simulation.messages.pop()
    coordinator = open_and_acknowledge(simulation)
    simulation.try_accept(coordinator)
    simulation.deliver_all()
    assert not simulation.violations()
    outdated()


def delay_stage_calls_past_restart(
    simulation: rollout_simulation.Simulation,
) -> None:
    """Stage calls with tokens of i0's old process reach its new process."""
    simulation.advance(0.1)
    coordinator = open_and_acknowledge(simulation)
    simulation.try_accept(coordinator)
    simulation.deliver(0)
    # The reply to the acceptance is in flight, so the coordinator still sends
    # the calls, each with the last token that it received.
    for _ in range(2):
        for name in rollout_simulation.INSTANCE_IDS:
            simulation.stage(coordinator, name)
    simulation.read_platform("i0")
    simulation.deliver(-1)
    simulation.deliver(-1)
    assert not simulation.violations()
    simulation.restart("i0")
    # The reply, the first call to each instance and the second call to i0.
    for _ in range(5):
        simulation.deliver(0)


def open_and_acknowledge(
    simulation: rollout_simulation.Simulation, owner: str = "i0"
) -> rollout_simulation.Coordinator:
    """Opens the rollout of bundle 2 and collects the acknowledgements."""
    simulation.open(owner, simulation.read_rollout(), 2)
    coordinator = simulation.coordinators[-1]
    for name in rollout_simulation.INSTANCE_IDS:
        simulation.stage(coordinator, name)
    simulation.deliver_all()
    return coordinator


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A faulty variant and a sequence of events that exposes the fault."""

    variant: rollout_simulation.Variant
    events: Callable[[rollout_simulation.Simulation], None]


MUTANTS = {
    "no lease": Mutant(
        rollout_simulation.Variant(instance_class=WithoutLease),
        lose_activation,
    ),
    "lease renewed on arrival": Mutant(
        rollout_simulation.Variant(instance_class=LeaseRenewedOnArrival),
        delay_stage_call,
    ),
    "no epoch check": Mutant(
        rollout_simulation.Variant(instance_class=WithoutEpochCheck),
        continue_superseded_coordinator,
    ),
    "renewal while accepting": Mutant(
        rollout_simulation.Variant(coordinator_class=RenewalWhileAccepting),
        lose_acceptance_reply,
    ),
    "no required instances": Mutant(
        rollout_simulation.Variant(
            coordinator_class=WithoutRequiredInstances,
            gate_class=WithoutAdmissionGate,
        ),
        accept_while_frozen,
    ),
    "no admission gate": Mutant(
        rollout_simulation.Variant(gate_class=WithoutAdmissionGate),
        resume_after_removal,
    ),
    "confirmation before start": Mutant(
        rollout_simulation.Variant(gate_class=ConfirmationBeforeStart),
        delay_stage_calls_past_restart,
    ),
    "non-monotonic numbers": Mutant(
        rollout_simulation.Variant(instance_class=NonMonotonicNumbers),
        deliver_outdated_number,
    ),
}


class TestInvariants:
    """No instance serves an outdated bundle beyond the lease duration."""

    def test_invariants_hold_in_random_interleavings(self) -> None:
        # Guards against interleavings in which an instance admits requests
        # under a replaced bundle, or its number in force decreases.
        stateful.run_state_machine_as_test(
            RolloutMachine,
            settings=hypothesis.settings(
                max_examples=300, stateful_step_count=60
            ),
        )

    @pytest.mark.parametrize("name", MUTANTS)
    def test_invariants_hold_in_the_event_sequences_of_mutants(
        self, name: str
    ) -> None:
        # Guards against state machines that violate an invariant after lost or
        # delayed messages, freezes or restarts.
        simulation = rollout_simulation.Simulation(CORRECT)
        MUTANTS[name].events(simulation)
        assert not simulation.violations()

    def test_invariants_hold_if_stage_calls_are_delayed_past_a_restart(
        self,
    ) -> None:
        # Guards against a restarted instance that admits requests under a
        # replaced bundle, confirmed only by a token of its previous process.
        simulation = rollout_simulation.Simulation(CORRECT)
        delay_stage_calls_past_restart(simulation)
        restarted = simulation.instances["i0"]
        pending_rollout = restarted.state.pending_rollout
        assert pending_rollout is not None
        assert pending_rollout.acknowledged
        assert not simulation.violations()
        assert not restarted.admits(simulation.now_s)

    @pytest.mark.parametrize("name", MUTANTS)
    def test_each_mutant_violates_an_invariant(self, name: str) -> None:
        # Guards against checks of the invariants that miss a faulty state
        # machine.
        simulation = rollout_simulation.Simulation(MUTANTS[name].variant)
        MUTANTS[name].events(simulation)
        assert simulation.violations()

    def test_random_interleavings_detect_a_missing_lease(self) -> None:
        # Guards against random sequences that never accept a bundle, in which
        # faulty state machines would pass the test.
        class WithoutLeaseMachine(RolloutMachine):
            variant = MUTANTS["no lease"].variant

        with pytest.raises(
            AssertionError, match="admits requests under bundle"
        ):
            stateful.run_state_machine_as_test(
                WithoutLeaseMachine,
                settings=hypothesis.settings(
                    max_examples=2_000,
                    stateful_step_count=60,
                    phases=[hypothesis.Phase.generate],
                ),
            )
