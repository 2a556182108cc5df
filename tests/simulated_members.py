"""A fake clock and network for the membership state machines of a few members.

Requests and replies are lost, delayed, doubled, or held while their receiver is
frozen, as the test chooses.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import events
from lycheerock._internal.membership import gossip
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib

Ended = Callable[[bool], None]
_State = members_lib.MemberState


@dataclasses.dataclass
class Faults:
    """Shares of messages that are lost, delayed and doubled."""

    lost: float = 0.0
    delayed: float = 0.0
    doubled: float = 0.0
    delay_max_s: float = 3.0


class SimulatedMember:
    """One incarnation of an instance and the history of what it saw."""

    def __init__(
        self,
        own: members_lib.Member,
        configured: list[str],
        seed: str,
        now_s: float,
    ):
        rng = random.Random(seed)
        self.instance_id = own.instance_id
        self.swim = swim_lib.Swim(own, rng, now_s)
        self.directory = directory_lib.Directory(own, configured)
        self.seeds = seeds_lib.Seeds(
            self.directory, {name: name for name in configured}, rng
        )
        self.is_frozen = False
        self.is_ended = False
        self.held: list[Callable[[], None]] = []
        self.history: list[members_lib.Member] = []


class Network:
    """Runs simulated members on a fake clock."""

    def __init__(self, seed: int):
        self.now_s = 0.0
        self.faults = Faults()
        self.members: dict[str, SimulatedMember] = {}
        self.all: list[SimulatedMember] = []
        self._random = random.Random(seed)
        self._seed = seed
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def start(
        self, instance_id: str, incarnation: int, configured: list[str]
    ) -> SimulatedMember:
        """Starts an incarnation; an earlier one of that instance has ended."""
        own = members_lib.Member(
            instance_id, incarnation, _State.ALIVE, instance_id, "r", "z"
        )
        seed = f"{self._seed}/{instance_id}/{incarnation}"
        member = SimulatedMember(own, configured, seed, self.now_s)
        self.members[instance_id] = member
        self.all.append(member)
        self._at(0.0, lambda: self._tick(member))
        self._at(0.0, lambda: self._contact_seeds(member))
        return member

    def run(self, duration_s: float) -> None:
        """Advances the clock."""
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s

    def end(self, instance_id: str) -> None:
        """Kills a member."""
        self.members[instance_id].is_ended = True

    def freeze(self, instance_id: str) -> None:
        """Stops a member; what is sent to it waits."""
        self.members[instance_id].is_frozen = True

    def resume(self, instance_id: str) -> None:
        """Wakes a member; it meets at once what has waited."""
        member = self.members[instance_id]
        member.is_frozen = False
        held, member.held = member.held, []
        for action in held:
            action()

    def handle(self, member: SimulatedMember, event: events.Event) -> None:
        """Gives a member an event and performs its actions."""
        for action in member.swim.handle(event, self.now_s):
            self._perform(member, action)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def _deliver(
        self, member: SimulatedMember, action: Callable[[], None]
    ) -> None:
        if member.is_ended:
            return
        if member.is_frozen:
            member.held.append(action)
        else:
            action()

    def _tick(self, member: SimulatedMember) -> None:
        def tick() -> None:
            self.handle(member, events.Tick())
            self._at(gossip.TICK_S, lambda: self._tick(member))

        self._deliver(member, tick)

    def _contact_seeds(self, member: SimulatedMember) -> None:
        def contact() -> None:
            for address in member.seeds.due():
                self._call(member, address, lambda _: None, is_pull=True)
            pause_s = member.seeds.period_s()
            self._at(pause_s, lambda: self._contact_seeds(member))

        self._deliver(member, contact)

    def _perform(self, member: SimulatedMember, action: events.Action) -> None:
        match action:
            case events.Probe(probe_id, target):
                self._call(
                    member,
                    target.instance_id,
                    lambda ok: self.handle(
                        member, events.DirectEnded(probe_id, ok)
                    ),
                )
            case events.ProbeThrough(probe_id, helper, target):
                self._call(
                    member,
                    helper.instance_id,
                    lambda ok: self.handle(
                        member, events.IndirectEnded(probe_id, ok)
                    ),
                    through=target.instance_id,
                )
            case events.Pull(target):
                self._call(
                    member, target.instance_id, lambda _: None, is_pull=True
                )
            case events.Spread(receivers):
                for receiver in receivers:
                    self._call(member, receiver.instance_id, lambda _: None)
            case events.Changed(changed):
                member.history.append(changed)
                member.directory.put(changed)
            case events.OwnChanged(own):
                member.directory.put(own)
            case events.Forgotten(instance_id):
                member.directory.forget(instance_id)

    def _call(
        self,
        sender: SimulatedMember,
        receiver_id: str,
        ended: Ended,
        *,
        through: str = "",
        is_pull: bool = False,
    ) -> None:
        done = False

        def finish(ok: bool) -> None:
            nonlocal done
            if not done:
                done = True
                ended(ok)

        def on_request() -> None:
            receiver = self.members[receiver_id]
            self._deliver(receiver, lambda: answer(receiver))

        def answer(receiver: SimulatedMember) -> None:
            self.handle(receiver, request)
            if through:
                self._call(receiver, through, lambda ok: reply(receiver, ok))
            else:
                reply(receiver, True)

        def reply(receiver: SimulatedMember, ok: bool) -> None:
            entries = receiver.swim.piggyback(sender.instance_id)
            if is_pull:
                entries = receiver.swim.full_state()
            heard = events.Heard(receiver.swim.own, entries)
            self._send(lambda: self._deliver(sender, lambda: take(heard, ok)))

        def take(heard: events.Heard, ok: bool) -> None:
            self.handle(sender, heard)
            finish(ok)

        request = events.Heard(
            sender.swim.own, sender.swim.piggyback(receiver_id)
        )
        self._send(on_request)
        timeout_s = (
            gossip.INDIRECT_TIMEOUT_S if through else gossip.DIRECT_TIMEOUT_S
        )
        self._at(
            timeout_s, lambda: self._deliver(sender, lambda: finish(False))
        )

    def _send(self, arrive: Callable[[], None]) -> None:
        if self._random.random() < self.faults.lost:
            return
        copies = 1 + (self._random.random() < self.faults.doubled)
        for _ in range(copies):
            delay_s = self._random.uniform(0.001, 0.02)
            if self._random.random() < self.faults.delayed:
                delay_s += self._random.uniform(0.0, self.faults.delay_max_s)
            self._at(delay_s, arrive)
