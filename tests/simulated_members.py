"""Simulated clock and network that connect several membership state machines.

Tests choose the share of requests and replies that are lost, delayed or
duplicated. Messages to a frozen member, which simulates a process after
SIGSTOP, are queued until it resumes.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import gossip
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib
from lycheerock._internal.membership import swim_types

OnEnded = Callable[[bool], None]
_State = members_lib.MemberState


@dataclasses.dataclass
class Faults:
    """Probabilities that a message is lost, delayed or duplicated."""

    lost_ratio: float = 0.0
    delayed_ratio: float = 0.0
    duplicated_ratio: float = 0.0
    delay_max_s: float = 3.0


class SimulatedMember:
    """One incarnation of an instance and its history of entry changes."""

    def __init__(
        self,
        local_member: members_lib.Member,
        configured: list[str],
        seed: str,
        now_s: float,
    ):
        rng = random.Random(seed)
        self.instance_id = local_member.instance_id
        self.swim = swim_lib.Swim(local_member, rng, now_s)
        self.directory = directory_lib.Directory(local_member, configured)
        self.seeds = seeds_lib.Seeds(
            self.directory, {name: name for name in configured}, rng
        )
        self.is_frozen = False
        self.is_killed = False
        self.queued: list[Callable[[], None]] = []
        self.history: list[members_lib.Member] = []


class Network:
    """Connects simulated members and advances their clock."""

    def __init__(self, seed: int):
        self.now_s = 0.0
        self.faults = Faults()
        self.members: dict[str, SimulatedMember] = {}
        self.incarnations: list[SimulatedMember] = []
        self._random = random.Random(seed)
        self._seed = seed
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def start(
        self, instance_id: str, incarnation: int, configured: list[str]
    ) -> SimulatedMember:
        """Starts a new incarnation; any earlier one must be killed already."""
        local_member = members_lib.Member(
            instance_id, incarnation, _State.ALIVE, instance_id, "r", "z"
        )
        seed = f"{self._seed}/{instance_id}/{incarnation}"
        member = SimulatedMember(local_member, configured, seed, self.now_s)
        self.members[instance_id] = member
        self.incarnations.append(member)
        self._schedule(0.0, lambda: self._tick(member))
        self._schedule(0.0, lambda: self._contact_seeds(member))
        return member

    def run(self, duration_s: float) -> None:
        """Advances the clock and runs all actions that become due."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def kill(self, instance_id: str) -> None:
        """Kills a member without notice to the others."""
        self.members[instance_id].is_killed = True

    def freeze(self, instance_id: str) -> None:
        """Freezes a member and queues all that is delivered to it."""
        self.members[instance_id].is_frozen = True

    def resume(self, instance_id: str) -> None:
        """Resumes a member and delivers everything queued meanwhile."""
        member = self.members[instance_id]
        member.is_frozen = False
        queued, member.queued = member.queued, []
        for action in queued:
            action()

    def handle(self, member: SimulatedMember, event: swim_types.Event) -> None:
        """Passes an event to a member and performs the resulting actions."""
        for action in member.swim.handle(event, self.now_s):
            self._perform(member, action)

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _deliver(
        self, member: SimulatedMember, action: Callable[[], None]
    ) -> None:
        if member.is_killed:
            return
        if member.is_frozen:
            member.queued.append(action)
        else:
            action()

    def _tick(self, member: SimulatedMember) -> None:
        def tick() -> None:
            self.handle(member, swim_types.Tick())
            self._schedule(gossip.TICK_S, lambda: self._tick(member))

        self._deliver(member, tick)

    def _contact_seeds(self, member: SimulatedMember) -> None:
        def contact() -> None:
            for address in member.seeds.choose_addresses():
                self._call(member, address, lambda _: None, is_pull=True)
            wait_s = member.seeds.period_s()
            self._schedule(wait_s, lambda: self._contact_seeds(member))

        self._deliver(member, contact)

    def _perform(
        self, member: SimulatedMember, action: swim_types.Action
    ) -> None:
        match action:
            case swim_types.DirectProbe(probe_id, probed):
                self._call(
                    member,
                    probed.instance_id,
                    lambda succeeded: self.handle(
                        member, swim_types.DirectProbeEnded(probe_id, succeeded)
                    ),
                )
            case swim_types.IndirectProbe(probe_id, relay, probed):
                self._call(
                    member,
                    relay.instance_id,
                    lambda succeeded: self.handle(
                        member,
                        swim_types.IndirectProbeEnded(probe_id, succeeded),
                    ),
                    probed_id=probed.instance_id,
                )
            case swim_types.PullFullState(peer):
                self._call(
                    member, peer.instance_id, lambda _: None, is_pull=True
                )
            case swim_types.Disseminate(receivers):
                for receiver in receivers:
                    self._call(member, receiver.instance_id, lambda _: None)
            case swim_types.MemberChanged(changed):
                member.history.append(changed)
                member.directory.put(changed)
            case swim_types.LocalMemberChanged(local_member):
                member.directory.put(local_member)
            case swim_types.MemberRemoved(instance_id):
                member.directory.remove(instance_id)

    def _call(
        self,
        sender: SimulatedMember,
        receiver_id: str,
        on_ended: OnEnded,
        *,
        probed_id: str = "",
        is_pull: bool = False,
    ) -> None:
        is_finished = False

        def finish(succeeded: bool) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                on_ended(succeeded)

        def on_request() -> None:
            receiver = self.members[receiver_id]
            self._deliver(receiver, lambda: answer(receiver))

        def answer(receiver: SimulatedMember) -> None:
            self.handle(receiver, request)
            if probed_id:
                self._call(
                    receiver,
                    probed_id,
                    lambda succeeded: reply(receiver, succeeded),
                )
            else:
                reply(receiver, True)

        def reply(receiver: SimulatedMember, succeeded: bool) -> None:
            entries = receiver.swim.piggyback(sender.instance_id)
            if is_pull:
                entries = receiver.swim.full_state()
            message = swim_types.MessageReceived(
                receiver.swim.local_member, entries
            )
            self._send(
                lambda: self._deliver(
                    sender, lambda: receive(message, succeeded)
                )
            )

        def receive(
            message: swim_types.MessageReceived, succeeded: bool
        ) -> None:
            self.handle(sender, message)
            finish(succeeded)

        request = swim_types.MessageReceived(
            sender.swim.local_member, sender.swim.piggyback(receiver_id)
        )
        self._send(on_request)
        timeout_s = (
            gossip.INDIRECT_TIMEOUT_S if probed_id else gossip.DIRECT_TIMEOUT_S
        )
        self._schedule(
            timeout_s, lambda: self._deliver(sender, lambda: finish(False))
        )

    def _send(self, arrive: Callable[[], None]) -> None:
        if self._random.random() < self.faults.lost_ratio:
            return
        copies = 1 + (self._random.random() < self.faults.duplicated_ratio)
        for _ in range(copies):
            delay_s = self._random.uniform(0.001, 0.02)
            if self._random.random() < self.faults.delayed_ratio:
                delay_s += self._random.uniform(0.0, self.faults.delay_max_s)
            self._schedule(delay_s, arrive)
