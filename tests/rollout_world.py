"""A fleet of the real state machines with messages that wait to be delivered.

Only the platform and the network are fakes. A message may be delivered late,
twice or never; a write may take effect after its sender is gone.
"""

from collections.abc import Callable
import dataclasses

import msgspec

from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import records

FIRST_NUMBER = 1
START_S = 1_000.0
TICK_S = 0.2
IDS = ("i0", "i1", "i2")


class Instance:
    """One process."""

    def __init__(self, name: str, incarnation: int, world: "World"):
        self.name = name
        self.incarnation = incarnation
        self.state = world.variant.instance_class()
        self.gate = world.variant.gate_class(world.now_s)
        self.is_frozen = False

    def admits(self, now_s: float) -> bool:
        """Whether a request that arrives now is admitted."""
        is_open = self.gate.observe(now_s)
        has_bundle = self.state.in_force > 0
        return is_open and has_bundle and self.state.may_admit(now_s)


@dataclasses.dataclass
class Coordinator:
    """A coordinator and the version that its epoch began with."""

    owner: Instance
    state: coordinator_state.CoordinatorState
    version: int
    in_force: int


@dataclasses.dataclass(frozen=True)
class Variant:
    """Classes under test, replaced in broken variants."""

    instance_class: type[instance_state.InstanceState] = (
        instance_state.InstanceState
    )
    coordinator_class: type[coordinator_state.CoordinatorState] = (
        coordinator_state.CoordinatorState
    )
    gate_class: type[gate.AdmissionGate] = gate.AdmissionGate


class World:
    """The fleet, the platform's rollout object and messages in flight."""

    def __init__(self, variant: Variant):
        self.variant = variant
        self.now_s = START_S
        self.version = 1
        self.rollout = records.Rollout(in_force=FIRST_NUMBER)
        self.accepted: list[tuple[float, int]] = [(START_S, FIRST_NUMBER)]
        self.listed = set(IDS)
        self.coordinators: list[Coordinator] = []
        self.messages: list[Callable[[], None]] = []
        self._incarnation = 0
        self.instances = {name: self._boot(name) for name in IDS}
        self.highest = dict.fromkeys(IDS, 0)
        for name in IDS:
            self.read_platform(name)
        self.deliver_all()

    def _boot(self, name: str) -> Instance:
        self._incarnation += 1
        return Instance(name, self._incarnation, self)

    def restart(self, name: str) -> None:
        """Replaces a process by a new incarnation without a bundle."""
        self.instances[name] = self._boot(name)

    def is_current(self, instance: Instance) -> bool:
        """Whether the process exists and runs."""
        same = self.instances[instance.name] is instance
        return same and not instance.is_frozen

    def advance(self, time_s: float) -> None:
        """Lets time pass; running instances tick."""
        end_s = self.now_s + time_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + TICK_S)
            for instance in self.instances.values():
                if not instance.is_frozen:
                    instance.gate.observe(self.now_s)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Delivers a message; with `keep` it may come again."""
        message = self.messages[index % len(self.messages)]
        if not keep:
            self.messages.remove(message)
        message()

    def deliver_next(self) -> None:
        """Delivers the oldest message, if there is one, and loses the rest."""
        if self.messages:
            self.deliver(0)
        self.messages.clear()

    def deliver_all(self) -> None:
        """Delivers messages until none is left."""
        while self.messages:
            self.deliver(0)

    def read_rollout(self) -> tuple[int, records.Rollout]:
        """Returns version and value, as an operator's request reads them."""
        return self.version, self.rollout

    def open(
        self, name: str, read: tuple[int, records.Rollout], number: int
    ) -> bool:
        """Makes an instance coordinator if the version is still the one read.

        Returns:
          Whether the conditional update succeeded.
        """
        version, before = read
        if version != self.version or number <= before.in_force:
            return False
        if number < before.staging:
            return False
        self.version += 1
        self.rollout = records.Rollout(
            before.in_force, number, name, before.epoch + 1
        )
        owner = self.instances[name]
        state = self.variant.coordinator_class(number, self.rollout.epoch)
        self.coordinators.append(
            Coordinator(owner, state, self.version, before.in_force)
        )
        return True

    def stage(self, coordinator: Coordinator, name: str) -> None:
        """Sends a Stage call with the token that the coordinator holds now."""
        number = coordinator.state.number
        epoch = coordinator.state.epoch
        token = coordinator.state.token(name)

        def arrive() -> None:
            instance = self.instances[name]
            if not self.is_current(instance):
                return
            state = instance.state
            verdict = state.on_stage(number, epoch, token / 1e6, self.now_s)
            is_held = verdict in (
                instance_state.StageVerdict.HELD,
                instance_state.StageVerdict.IN_FORCE,
            )
            if verdict is instance_state.StageVerdict.HELD and (
                coordinator.in_force == state.in_force
            ):
                instance.gate.confirm(token / 1e6, self.now_s)
            if verdict is instance_state.StageVerdict.WANTED:
                state.activate(coordinator.in_force)
                is_held = state.acknowledge(
                    number, epoch, coordinator.in_force, self.now_s
                )
            reply = coordinator_state.StageResult(
                name,
                instance.incarnation,
                number,
                epoch,
                is_held,
                int(self.now_s * 1e6),
                "",
            )
            self.messages.append(lambda: self._on_reply(coordinator, reply))

        self.messages.append(arrive)

    def _on_reply(
        self, coordinator: Coordinator, reply: coordinator_state.StageResult
    ) -> None:
        if self.is_current(coordinator.owner):
            coordinator.state.on_stage_result(reply)

    def try_to_accept(self, coordinator: Coordinator) -> None:
        """Sends the write of the acceptance if nobody blocks it."""
        if not self.is_current(coordinator.owner):
            return
        required = {
            name: instance.incarnation
            for name, instance in self.instances.items()
            if name in self.listed
        }
        coordinator.state.set_required(required)
        if coordinator.state.begin_accept():
            self.messages.append(lambda: self._write(coordinator))

    def _write(self, coordinator: Coordinator) -> None:
        number = coordinator.state.number
        won = coordinator.version == self.version
        if won:
            self.version += 1
            self.rollout = msgspec.structs.replace(
                self.rollout, in_force=number, staging=0
            )
            self.accepted.append((self.now_s, number))
        is_accepted = self.rollout.in_force >= number

        def reply() -> None:
            if self.is_current(coordinator.owner):
                coordinator.state.finish(accepted=is_accepted)
                if is_accepted:
                    self.activate_everywhere(number)

        self.messages.append(reply)

    def activate_everywhere(self, number: int) -> None:
        """Sends Activate to every instance."""
        for name in IDS:
            self.messages.append(lambda n=name: self._activate(n, number))

    def _activate(self, name: str, number: int) -> None:
        instance = self.instances[name]
        if self.is_current(instance):
            instance.state.activate(number)

    def gossip(self, sender: str, receiver: str) -> None:
        """Sends the number in force at one instance to another."""
        if self.is_current(self.instances[sender]):
            number = self.instances[sender].state.in_force
            self.messages.append(lambda: self._activate(receiver, number))

    def read_platform(self, name: str) -> None:
        """Sends a read; its reply shows the object when it reaches it."""
        instance = self.instances[name]
        started_s = self.now_s

        def reach() -> None:
            version, rollout = self.read_rollout()
            self.messages.append(
                lambda: self._on_read(instance, version, rollout, started_s)
            )

        if self.is_current(instance):
            self.messages.append(reach)

    def _on_read(
        self,
        instance: Instance,
        version: int,
        rollout: records.Rollout,
        started_s: float,
    ) -> None:
        if not self.is_current(instance):
            return
        state = instance.state
        verdict = state.on_platform_read(version, rollout, started_s)
        if verdict is instance_state.ReadVerdict.NEWER:
            state.activate(rollout.in_force)
            verdict = state.on_platform_read(version, rollout, started_s)
        if verdict is instance_state.ReadVerdict.CURRENT:
            if not instance.gate.observe(self.now_s) and rollout.is_open:
                state.bind(rollout.staging, rollout.epoch, started_s)
            instance.gate.confirm(started_s, self.now_s)

    def ask_peer(self, name: str, peer_name: str) -> None:
        """Asks a peer to confirm the bundle after a start or a freeze."""
        instance = self.instances[name]
        asked_s = self.now_s

        def reach() -> None:
            peer = self.instances[peer_name]
            if not self.is_current(peer) or not peer.admits(self.now_s):
                return
            if peer.state.binding is not None:
                return
            in_force = peer.state.in_force
            self.messages.append(
                lambda: self._on_peer(instance, in_force, asked_s)
            )

        if self.is_current(instance) and name != peer_name:
            self.messages.append(reach)

    def _on_peer(
        self, instance: Instance, in_force: int, asked_s: float
    ) -> None:
        if not self.is_current(instance):
            return
        instance.state.activate(in_force)
        if instance.state.in_force == in_force:
            instance.gate.confirm(asked_s, self.now_s)

    def violations(self) -> list[str]:
        """Returns what breaks an invariant now."""
        found = []
        for name, instance in self.instances.items():
            if instance.is_frozen or not instance.admits(self.now_s):
                continue
            number = instance.state.in_force
            if number < self.highest[name]:
                found.append(f"{name} went back to {number}")
            self.highest[name] = max(number, self.highest[name])
            found.extend(self._old(name, number))
        numbers = [number for _, number in self.accepted]
        if numbers != sorted(set(numbers)):
            found.append(f"accepted in the order {numbers}")
        return found

    def _old(self, name: str, number: int) -> list[str]:
        return [
            f"{name} admits under {number} after {accepted}"
            for accepted_s, accepted in self.accepted
            if accepted > number
            and self.now_s - accepted_s > instance_state.CONTACT_LIMIT_S
        ]
