"""Drives the state machines of a rollout through random interleavings."""

from collections.abc import Callable
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import rollout_world

from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state

NAMES = strategies.sampled_from(rollout_world.IDS)
INDEXES = strategies.integers(0, 30)


class WithoutContactRule(instance_state.InstanceState):
    """Admits requests whatever the age of the contact."""

    def may_admit(self, now_s: float) -> bool:
        return True


class WithoutTokens(instance_state.InstanceState):
    """Takes the arrival of a Stage call for proof."""

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> instance_state.StageVerdict:
        return super().on_stage(number, epoch, now_s, now_s)


class WithoutEpochs(instance_state.InstanceState):
    """Listens to a coordinator that another one has replaced."""

    def on_stage(
        self, number: int, epoch: int, token_s: float, now_s: float
    ) -> instance_state.StageVerdict:
        return super().on_stage(number, max(epoch, self.epoch), token_s, now_s)


class WithoutFrozenTokens(coordinator_state.CoordinatorState):
    """Keeps the contact while the write of the acceptance is on its way."""

    def on_stage_result(self, reply: coordinator_state.StageResult) -> None:
        super().on_stage_result(reply)
        self._tokens[reply.instance_id] = reply.token


class WithoutRequired(coordinator_state.CoordinatorState):
    """Accepts without waiting for anybody."""

    def blockers(self) -> dict[str, str]:
        return {}


class WithoutGate(gate.AdmissionGate):
    """Admits requests after a freeze."""

    def observe(self, now_s: float) -> bool:
        return True


class FallingNumbers(instance_state.InstanceState):
    """Follows every number that it hears of."""

    def activate(self, number: int) -> bool:
        self.in_force = number
        return True


GOOD = rollout_world.Variant()


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Every rule is an event that real processes and networks show."""

    variant = GOOD

    def __init__(self) -> None:
        super().__init__()
        self.world = rollout_world.World(self.variant)
        self.reads: list[tuple[str, tuple[int, object], int]] = []

    @stateful.rule(name=NAMES, step=strategies.integers(0, 1))
    def request_rollout(self, name: str, step: int) -> None:
        read = self.world.read_rollout()
        base = max(read[1].staging, read[1].in_force)
        is_open = read[1].is_open
        number = base + step if is_open else base + 1
        self.reads.append((name, read, number))

    @stateful.precondition(lambda self: self.reads)
    @stateful.rule(index=INDEXES)
    def write_request(self, index: int) -> None:
        name, read, number = self.reads.pop(index % len(self.reads))
        if not self.world.instances[name].is_frozen:
            self.world.open(name, read, number)

    @stateful.precondition(lambda self: self.world.coordinators)
    @stateful.rule(index=INDEXES)
    def contact_everyone(self, index: int) -> None:
        coordinators = self.world.coordinators
        coordinator = coordinators[-1 - index % min(3, len(coordinators))]
        if self.world.is_current(coordinator.owner):
            for name in rollout_world.IDS:
                self.world.stage(coordinator, name)

    @stateful.precondition(lambda self: self.world.coordinators)
    @stateful.rule(names=strategies.sets(NAMES, min_size=2))
    def contact_at_once(self, names: set[str]) -> None:
        coordinator = self.world.coordinators[-1]
        if self.world.is_current(coordinator.owner):
            for name in sorted(names):
                self.deliver_now(
                    lambda n=name: self.world.stage(coordinator, n)
                )

    @stateful.precondition(lambda self: self.world.coordinators)
    @stateful.rule()
    def accept_at_once(self) -> None:
        coordinator = self.world.coordinators[-1]
        self.deliver_now(lambda: self.world.try_to_accept(coordinator), 1)

    @stateful.rule(name=NAMES)
    def read_at_once(self, name: str) -> None:
        self.deliver_now(lambda: self.world.read_platform(name))

    def deliver_now(self, send: Callable[[], None], steps: int = 2) -> None:
        """Sends a message and delivers it and what follows from it."""
        for _ in range(steps):
            count = len(self.world.messages)
            send()
            if len(self.world.messages) == count:
                return
            message = self.world.messages.pop()
            send = message
        send()

    @stateful.precondition(lambda self: self.world.coordinators)
    @stateful.rule(index=INDEXES)
    def accept(self, index: int) -> None:
        coordinators = self.world.coordinators
        self.world.try_to_accept(
            coordinators[-1 - index % min(3, len(coordinators))]
        )

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(index=INDEXES, keep=strategies.booleans())
    def deliver(self, index: int, keep: bool) -> None:
        self.world.deliver(index, keep=keep)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(count=strategies.integers(1, 12))
    def deliver_first(self, count: int) -> None:
        for _ in range(count):
            if self.world.messages:
                self.world.deliver(0)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(index=INDEXES)
    def lose(self, index: int) -> None:
        self.world.messages.pop(index % len(self.world.messages))

    @stateful.rule(time_s=strategies.sampled_from([0.1, 0.5, 1.5, 3.2]))
    def advance(self, time_s: float) -> None:
        self.world.advance(time_s)

    @stateful.rule(name=NAMES)
    def read_platform(self, name: str) -> None:
        self.world.read_platform(name)

    @stateful.rule(name=NAMES, peer=NAMES)
    def talk(self, name: str, peer: str) -> None:
        self.world.gossip(name, peer)
        self.world.ask_peer(name, peer)

    @stateful.rule(name=NAMES)
    def freeze_or_resume(self, name: str) -> None:
        instance = self.world.instances[name]
        instance.is_frozen = not instance.is_frozen

    @stateful.rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.world.restart(name)

    @stateful.invariant()
    def holds(self) -> None:
        violations = self.world.violations()
        assert not violations, violations


def miss_the_activation(world: rollout_world.World) -> None:
    """An acknowledged instance hears nothing after the acceptance."""
    coordinator = open_and_acknowledge(world)
    world.try_to_accept(coordinator)
    world.deliver_next()
    world.advance(3.2)


def receive_a_late_call(world: rollout_world.World) -> None:
    """A Stage call from before the acceptance arrives long after it."""
    coordinator = open_and_acknowledge(world)
    world.stage(coordinator, "i1")
    late = world.messages.pop()
    world.try_to_accept(coordinator)
    world.deliver_next()
    world.advance(2.8)
    late()
    world.advance(2.0)


def hear_a_replaced_coordinator(world: rollout_world.World) -> None:
    """The first coordinator does not know that the second has accepted."""
    first = open_and_acknowledge(world)
    second = open_and_acknowledge(world, "i1")
    world.try_to_accept(second)
    world.deliver_next()
    for _ in range(5):
        world.stage(first, "i2")
        world.deliver_all()
        world.advance(1.0)


def lose_the_reply(world: rollout_world.World) -> None:
    """The acceptance takes effect and its reply is lost."""
    coordinator = open_and_acknowledge(world)
    world.try_to_accept(coordinator)
    world.deliver_next()
    for _ in range(5):
        world.stage(coordinator, "i2")
        world.deliver_all()
        world.advance(1.0)


def accept_without_a_frozen_one(world: rollout_world.World) -> None:
    """An instance that cannot acknowledge resumes later."""
    world.instances["i2"].is_frozen = True
    miss_the_activation(world)
    world.instances["i2"].is_frozen = False
    world.read_platform("i0")
    world.deliver_all()


def resume_after_removal(world: rollout_world.World) -> None:
    """A frozen instance left the list, so nobody waited for it."""
    world.listed.discard("i2")
    accept_without_a_frozen_one(world)


def hear_an_old_number(world: rollout_world.World) -> None:
    """An instance with bundle 2 hears of bundle 1 again."""
    world.gossip("i1", "i0")
    old = world.messages.pop()
    coordinator = open_and_acknowledge(world)
    world.try_to_accept(coordinator)
    world.deliver_all()
    assert not world.violations()
    old()


def open_and_acknowledge(
    world: rollout_world.World, owner: str = "i0"
) -> rollout_world.Coordinator:
    """Opens the rollout of bundle 2 and collects the acknowledgements."""
    world.open(owner, world.read_rollout(), 2)
    coordinator = world.coordinators[-1]
    for name in rollout_world.IDS:
        world.stage(coordinator, name)
    world.deliver_all()
    return coordinator


@dataclasses.dataclass(frozen=True)
class Fault:
    """A broken variant and events under which it shows."""

    variant: rollout_world.Variant
    events: Callable[[rollout_world.World], None]


FAULTS = {
    "contact rule": Fault(
        rollout_world.Variant(instance_class=WithoutContactRule),
        miss_the_activation,
    ),
    "tokens": Fault(
        rollout_world.Variant(instance_class=WithoutTokens),
        receive_a_late_call,
    ),
    "epochs": Fault(
        rollout_world.Variant(instance_class=WithoutEpochs),
        hear_a_replaced_coordinator,
    ),
    "frozen tokens": Fault(
        rollout_world.Variant(coordinator_class=WithoutFrozenTokens),
        lose_the_reply,
    ),
    "required instances": Fault(
        rollout_world.Variant(
            coordinator_class=WithoutRequired, gate_class=WithoutGate
        ),
        accept_without_a_frozen_one,
    ),
    "gate": Fault(
        rollout_world.Variant(gate_class=WithoutGate), resume_after_removal
    ),
    "rising numbers": Fault(
        rollout_world.Variant(instance_class=FallingNumbers),
        hear_an_old_number,
    ),
}


class TestInvariants:
    """No instance serves an old bundle for longer than the contact limit."""

    def test_hold_in_random_interleavings(self) -> None:
        # Guards against an order of events in which an instance admits requests
        # under a bundle that was replaced, or its number falls.
        stateful.run_state_machine_as_test(
            RolloutMachine,
            settings=hypothesis.settings(
                max_examples=300, stateful_step_count=60
            ),
        )

    @pytest.mark.parametrize("name", FAULTS)
    def test_hold_in_known_sequences(self, name: str) -> None:
        # Guards against the fault that each broken variant stands for.
        world = rollout_world.World(GOOD)
        FAULTS[name].events(world)
        assert not world.violations()

    @pytest.mark.parametrize("name", FAULTS)
    def test_are_broken_by_each_variant(self, name: str) -> None:
        # Guards against a check that cannot fail.
        world = rollout_world.World(FAULTS[name].variant)
        FAULTS[name].events(world)
        assert world.violations()

    def test_random_interleavings_find_a_missing_contact_rule(self) -> None:
        # Guards against rules that never get as far as an acceptance.
        class Broken(RolloutMachine):
            variant = FAULTS["contact rule"].variant

        with pytest.raises(AssertionError, match="admits under"):
            stateful.run_state_machine_as_test(
                Broken,
                settings=hypothesis.settings(
                    max_examples=2_000,
                    stateful_step_count=60,
                    phases=[hypothesis.Phase.generate],
                ),
            )
