"""Simulates rollouts on instances that run the real state machines.

The platform, the network and the clock are simulated. Messages are queued, so a
test can deliver them late, twice or never. A write may take effect after its
sender has stopped.
"""

from collections.abc import Callable
import dataclasses

import msgspec

from lycheerock._internal.bundles import coordinator_state
from lycheerock._internal.bundles import gate
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import records

INITIAL_BUNDLE_NUMBER = 1
INITIAL_TIME_S = 1_000.0
TICK_PERIOD_S = 0.2
# The start of a process takes longer than the resolution of a token, which is
# one microsecond, so a token of the previous process is older than the start.
RESTART_DURATION_S = 0.1
INSTANCE_IDS = ("i0", "i1", "i2")


class Instance:
    """A simulated process of an instance."""

    def __init__(self, name: str, incarnation: int, simulation: "Simulation"):
        self.name = name
        self.incarnation = incarnation
        self.state = simulation.variant.instance_class()
        self.gate = simulation.variant.gate_class(simulation.now_s)
        self.is_frozen = False

    def admits(self, now_s: float) -> bool:
        """Returns whether a request that arrives now is admitted."""
        is_open = self.gate.observe(now_s)
        has_bundle = self.state.in_force > 0
        return is_open and has_bundle and self.state.may_admit(now_s)


@dataclasses.dataclass
class Coordinator:
    """A coordinator of one epoch.

    Attributes:
      owner: Process that coordinates.
      state: The state machine.
      version: Version of the rollout object when the epoch began.
      in_force: Number in force when the epoch began.
    """

    owner: Instance
    state: coordinator_state.CoordinatorState
    version: int
    in_force: int


@dataclasses.dataclass(frozen=True)
class Variant:
    """Classes under test, which mutants replace by faulty ones."""

    instance_class: type[instance_state.InstanceState] = (
        instance_state.InstanceState
    )
    coordinator_class: type[coordinator_state.CoordinatorState] = (
        coordinator_state.CoordinatorState
    )
    gate_class: type[gate.AdmissionGate] = gate.AdmissionGate


class Simulation:
    """The instances, the platform's rollout object and messages in flight."""

    def __init__(self, variant: Variant):
        self.variant = variant
        self.now_s = INITIAL_TIME_S
        self.version = 1
        self.rollout = records.Rollout(in_force=INITIAL_BUNDLE_NUMBER)
        self.accepted: list[tuple[float, int]] = [
            (INITIAL_TIME_S, INITIAL_BUNDLE_NUMBER)
        ]
        self.listed = set(INSTANCE_IDS)
        self.coordinators: list[Coordinator] = []
        self.messages: list[Callable[[], None]] = []
        self._incarnation = 0
        self.instances = {
            name: self._start_instance(name) for name in INSTANCE_IDS
        }
        self.highest_numbers = dict.fromkeys(INSTANCE_IDS, 0)
        for name in INSTANCE_IDS:
            self.read_platform(name)
        self.deliver_all()

    def _start_instance(self, name: str) -> Instance:
        self._incarnation += 1
        return Instance(name, self._incarnation, self)

    def restart(self, name: str) -> None:
        """Replaces a process by a new incarnation that has no bundle.

        The old process stops at once; the new one starts after
        `RESTART_DURATION_S`, during which the other instances tick.
        """
        self.instances[name].is_frozen = True
        self.advance(RESTART_DURATION_S)
        self.instances[name] = self._start_instance(name)

    def is_running(self, instance: Instance) -> bool:
        """Returns whether the process is neither replaced nor frozen."""
        same = self.instances[instance.name] is instance
        return same and not instance.is_frozen

    def advance(self, time_s: float) -> None:
        """Advances the clock; instances that are not frozen tick."""
        end_s = self.now_s + time_s
        while self.now_s < end_s:
            self.now_s = min(end_s, self.now_s + TICK_PERIOD_S)
            for instance in self.instances.values():
                if not instance.is_frozen:
                    instance.gate.observe(self.now_s)

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Delivers a message; `keep` leaves it in flight for redelivery."""
        message = self.messages[index % len(self.messages)]
        if not keep:
            self.messages.remove(message)
        message()

    def deliver_next(self) -> None:
        """Delivers the oldest message, if any, and drops all others.

        Messages that the delivery causes are dropped too.
        """
        if self.messages:
            self.deliver(0)
        self.messages.clear()

    def deliver_all(self) -> None:
        """Delivers messages until none is in flight."""
        while self.messages:
            self.deliver(0)

    def read_rollout(self) -> tuple[int, records.Rollout]:
        """Returns the version and value of the rollout object."""
        return self.version, self.rollout

    def open(
        self, name: str, read: tuple[int, records.Rollout], number: int
    ) -> bool:
        """Opens a rollout if the version is still the one that was read.

        Returns:
          Whether the conditional update succeeded.
        """
        version, previous = read
        if version != self.version or number <= previous.in_force:
            return False
        if number < previous.staging:
            return False
        self.version += 1
        self.rollout = records.Rollout(
            previous.in_force, number, name, previous.epoch + 1
        )
        owner = self.instances[name]
        state = self.variant.coordinator_class(number, self.rollout.epoch)
        self.coordinators.append(
            Coordinator(owner, state, self.version, previous.in_force)
        )
        return True

    def stage(self, coordinator: Coordinator, name: str) -> None:
        """Sends a Stage call with the coordinator's current token."""
        number = coordinator.state.number
        epoch = coordinator.state.epoch
        token = coordinator.state.token(name)

        def receive() -> None:
            instance = self.instances[name]
            if not self.is_running(instance):
                return
            state = instance.state
            outcome = state.on_stage(number, epoch, token / 1e6, self.now_s)
            acknowledged = outcome in (
                instance_state.StageOutcome.ALREADY_ACKNOWLEDGED,
                instance_state.StageOutcome.ALREADY_IN_FORCE,
            )
            if outcome is instance_state.StageOutcome.ALREADY_ACKNOWLEDGED and (
                coordinator.in_force == state.in_force
            ):
                instance.gate.confirm(token / 1e6, self.now_s)
            if outcome is instance_state.StageOutcome.FETCH_REQUIRED:
                state.activate(coordinator.in_force)
                acknowledged = state.acknowledge(
                    number, epoch, coordinator.in_force, self.now_s
                )
            reply = coordinator_state.StageResult(
                name,
                instance.incarnation,
                number,
                epoch,
                acknowledged,
                int(self.now_s * 1e6),
                "",
            )
            self.messages.append(
                lambda: self._on_stage_reply(coordinator, reply)
            )

        self.messages.append(receive)

    def _on_stage_reply(
        self, coordinator: Coordinator, reply: coordinator_state.StageResult
    ) -> None:
        if self.is_running(coordinator.owner):
            coordinator.state.on_stage_result(reply)

    def try_accept(self, coordinator: Coordinator) -> None:
        """Sends the write of the acceptance unless an instance blocks it."""
        if not self.is_running(coordinator.owner):
            return
        required = {
            name: instance.incarnation
            for name, instance in self.instances.items()
            if name in self.listed
        }
        coordinator.state.set_required(required)
        if coordinator.state.begin_accept():
            self.messages.append(lambda: self._write_acceptance(coordinator))

    def _write_acceptance(self, coordinator: Coordinator) -> None:
        number = coordinator.state.number
        version_matches = coordinator.version == self.version
        if version_matches:
            self.version += 1
            self.rollout = msgspec.structs.replace(
                self.rollout, in_force=number, staging=0
            )
            self.accepted.append((self.now_s, number))
        accepted = self.rollout.in_force >= number

        def reply() -> None:
            if self.is_running(coordinator.owner):
                coordinator.state.finish(accepted=accepted)
                if accepted:
                    self.activate_everywhere(number)

        self.messages.append(reply)

    def activate_everywhere(self, number: int) -> None:
        """Sends an Activate call to every instance."""
        for name in INSTANCE_IDS:
            self.messages.append(lambda n=name: self._activate(n, number))

    def _activate(self, name: str, number: int) -> None:
        instance = self.instances[name]
        if self.is_running(instance):
            instance.state.activate(number)

    def gossip(self, sender: str, receiver: str) -> None:
        """Sends the number in force on one instance to another."""
        if self.is_running(self.instances[sender]):
            number = self.instances[sender].state.in_force
            self.messages.append(lambda: self._activate(receiver, number))

    def read_platform(self, name: str) -> None:
        """Sends a read of the rollout object; it is served on its arrival."""
        instance = self.instances[name]
        started_s = self.now_s

        def serve() -> None:
            version, rollout = self.read_rollout()
            self.messages.append(
                lambda: self._on_platform_reply(
                    instance, version, rollout, started_s
                )
            )

        if self.is_running(instance):
            self.messages.append(serve)

    def _on_platform_reply(
        self,
        instance: Instance,
        version: int,
        rollout: records.Rollout,
        started_s: float,
    ) -> None:
        if not self.is_running(instance):
            return
        state = instance.state
        outcome = state.on_platform_read(version, rollout, started_s)
        if outcome is instance_state.ReadOutcome.NEWER:
            state.activate(rollout.in_force)
            outcome = state.on_platform_read(version, rollout, started_s)
        if outcome is instance_state.ReadOutcome.CURRENT:
            if not instance.gate.observe(self.now_s) and rollout.is_open:
                state.track_open_rollout(
                    rollout.staging, rollout.epoch, started_s
                )
            instance.gate.confirm(started_s, self.now_s)

    def ask_peer(self, name: str, peer_name: str) -> None:
        """Asks a peer to confirm the bundle in force."""
        instance = self.instances[name]
        requested_s = self.now_s

        def serve() -> None:
            peer = self.instances[peer_name]
            if not self.is_running(peer) or not peer.admits(self.now_s):
                return
            if peer.state.pending_rollout is not None:
                return
            in_force = peer.state.in_force
            self.messages.append(
                lambda: self._on_peer_reply(instance, in_force, requested_s)
            )

        if self.is_running(instance) and name != peer_name:
            self.messages.append(serve)

    def _on_peer_reply(
        self, instance: Instance, in_force: int, requested_s: float
    ) -> None:
        if not self.is_running(instance):
            return
        instance.state.activate(in_force)
        if instance.state.in_force == in_force:
            instance.gate.confirm(requested_s, self.now_s)

    def violations(self) -> list[str]:
        """Returns a message for each violation of an invariant.

        Also records the numbers in force, to detect a decrease in later calls.
        """
        found = []
        for name, instance in self.instances.items():
            if instance.is_frozen or not instance.admits(self.now_s):
                continue
            number = instance.state.in_force
            if number < self.highest_numbers[name]:
                found.append(f"bundle number of {name} decreased to {number}")
            self.highest_numbers[name] = max(number, self.highest_numbers[name])
            found.extend(self._outdated_admissions(name, number))
        numbers = [number for _, number in self.accepted]
        if numbers != sorted(set(numbers)):
            found.append(
                f"accepted numbers are not strictly increasing: {numbers}"
            )
        return found

    def _outdated_admissions(self, name: str, number: int) -> list[str]:
        return [
            f"{name} admits requests under bundle {number} although bundle "
            f"{accepted} was accepted"
            for accepted_s, accepted in self.accepted
            if accepted > number
            and self.now_s - accepted_s > instance_state.LEASE_DURATION_S
        ]
