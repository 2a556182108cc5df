"""The membership state machine.

It follows SWIM (Das, Gupta, Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002). It uses no sockets
and reads no clock.
"""

import dataclasses
import math
import random

from lycheerock._internal.membership import events
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import table as table_lib
from lycheerock._internal.membership import updates

PERIOD_S = 0.5
INDIRECT_COUNT = 2
# A suspect has this many periods to refute, times log10 of the fleet's size,
# since gossip takes a number of rounds that grows with its logarithm.
SUSPICION_PERIODS = 4
SPREAD_COUNT = 3
SPREAD_GAP_S = 0.2
DEAD_PULL_PERIOD_S = 5.0
# The full state grows with the fleet, so that it is pulled less often in a
# larger one and its bytes per second stay the same.
PULL_PERIOD_S = 30.0
PULL_PERIOD_MEMBERS = 32
# Inputs come at least at each tick (0.1 s) unless this process was stopped.
FREEZE_GAP_S = 0.5

_State = members_lib.MemberState


@dataclasses.dataclass
class _ProbeState:
    member: members_lib.Member
    is_second: bool
    helpers_left: int = 0


class Swim:
    """The state of membership on one instance."""

    def __init__(
        self, own: members_lib.Member, rng: random.Random, now_s: float
    ):
        self.own = own
        self.table = table_lib.MemberTable()
        self._updates = updates.UpdateQueue[members_lib.Member]()
        self._random = rng
        self._last_input_s = now_s
        self._next_probe_s = now_s
        self._next_dead_pull_s = now_s + DEAD_PULL_PERIOD_S
        self._next_pull_s = now_s + PULL_PERIOD_S
        self._next_spread_s = now_s
        self._has_news = False
        self._probes: dict[int, _ProbeState] = {}
        self._probe_count = 0
        self._rotation: list[str] = []
        # When a suspect is declared dead, or a leaving member that failed a
        # probe is probed a second time.
        self._due_s: dict[str, float] = {}
        self._updates.push(own.instance_id, own)

    def handle(self, event: events.Event, now_s: float) -> list[events.Action]:
        """Takes one message.

        Args:
          event: The message.
          now_s: Monotonic time.

        Returns:
          What is to be done, in order.
        """
        self._check_freeze(now_s)
        match event:
            case events.Tick():
                return self._on_tick(now_s)
            case events.Heard():
                return self._on_heard(event, now_s)
            case events.DirectEnded():
                return self._on_direct(event, now_s)
            case events.IndirectEnded():
                return self._on_indirect(event, now_s)
            case events.Leave():
                return self._set_own(_State.LEAVING)
            case events.Stop():
                return self._set_own(_State.LEFT)

    def piggyback(self, receiver_id: str) -> tuple[members_lib.Member, ...]:
        """Returns the entries that travel with the next message.

        Args:
          receiver_id: Instance that gets the message.

        Returns:
          A bounded number of entries. What is held against the receiver itself
          is always among them, so that it can refute it.
        """
        known = self.table.last_known(receiver_id)
        taken = self._updates.take(len(self.table.running()))
        if known is None or known.state == _State.ALIVE:
            return taken
        return (known, *(m for m in taken if m.instance_id != receiver_id))

    def full_state(self) -> tuple[members_lib.Member, ...]:
        """Returns all entries, the own one included."""
        return (self.own, *self.table.all())

    def announce(self) -> None:
        """Spreads news at the next tick that are kept outside of the table."""
        self._has_news = True

    def _check_freeze(self, now_s: float) -> None:
        """Distrusts what this process missed while it was stopped.

        A process that was stopped has failed its probes and missed refutations
        itself (local health; Dadgar, Phillips, Currey, "Lifeguard: local health
        awareness for more accurate failure detection", 2018). Probes in flight
        are dropped and suspects get the whole time again.
        """
        gap_s = now_s - self._last_input_s
        self._last_input_s = now_s
        if gap_s < FREEZE_GAP_S:
            return
        self._probes.clear()
        for instance_id in self._due_s:
            self._due_s[instance_id] = now_s + self._suspicion_s()

    def _suspicion_s(self) -> float:
        count = len(self.table.running()) + 1
        return SUSPICION_PERIODS * PERIOD_S * max(1.0, math.log10(count))

    def _on_tick(self, now_s: float) -> list[events.Action]:
        actions = self._end_suspicions(now_s)
        if self.own.state != _State.LEFT:
            actions += self._probe_next(now_s)
            actions += self._pull(now_s)
        actions += self._spread(now_s)
        for instance_id in self.table.forget(now_s):
            actions.append(events.Forgotten(instance_id))
        return actions

    def _end_suspicions(self, now_s: float) -> list[events.Action]:
        actions: list[events.Action] = []
        due = [name for name, due_s in self._due_s.items() if now_s >= due_s]
        for instance_id in due:
            del self._due_s[instance_id]
            member = self.table.get(instance_id)
            if member is None:
                continue
            if member.state == _State.SUSPECT:
                dead = dataclasses.replace(member, state=_State.DEAD)
                actions += self._put(dead, now_s)
            elif member.state == _State.LEAVING:
                actions.append(self._start_probe(member, is_second=True))
        return actions

    def _probe_next(self, now_s: float) -> list[events.Action]:
        if now_s < self._next_probe_s:
            return []
        self._next_probe_s = max(
            self._next_probe_s + PERIOD_S, now_s + PERIOD_S / 2
        )
        member = self._next_member()
        if member is None:
            return []
        return [self._start_probe(member, is_second=False)]

    def _start_probe(
        self, member: members_lib.Member, *, is_second: bool
    ) -> events.Probe:
        self._probe_count += 1
        self._probes[self._probe_count] = _ProbeState(member, is_second)
        return events.Probe(self._probe_count, member)

    def _next_member(self) -> members_lib.Member | None:
        """Returns the next member of a rotation in random order.

        The rotation bounds the time until each member is probed (SWIM, section
        4.3).
        """
        for _ in range(2):
            while self._rotation:
                member = self.table.get(self._rotation.pop())
                if member is not None and member.is_running:
                    return member
            self._rotation = [m.instance_id for m in self.table.running()]
            self._random.shuffle(self._rotation)
        return None

    def _pull(self, now_s: float) -> list[events.Action]:
        actions: list[events.Action] = []
        running = self.table.running()
        if now_s >= self._next_pull_s:
            scale = max(1.0, len(running) / PULL_PERIOD_MEMBERS)
            jitter = self._random.uniform(0.5, 1.5)
            self._next_pull_s = now_s + PULL_PERIOD_S * scale * jitter
            if running:
                actions.append(events.Pull(self._random.choice(running)))
        if now_s >= self._next_dead_pull_s:
            self._next_dead_pull_s = now_s + DEAD_PULL_PERIOD_S
            dead = self.table.dead()
            if dead:
                actions.append(events.Pull(self._random.choice(dead)))
        return actions

    def _spread(self, now_s: float) -> list[events.Action]:
        if not self._has_news or now_s < self._next_spread_s:
            return []
        self._has_news = False
        self._next_spread_s = now_s + SPREAD_GAP_S
        return [events.Spread(tuple(self._sample(SPREAD_COUNT)))]

    def _sample(
        self, count: int, without: str = ""
    ) -> list[members_lib.Member]:
        others = [m for m in self.table.running() if m.instance_id != without]
        return self._random.sample(others, min(count, len(others)))

    def _on_heard(
        self, event: events.Heard, now_s: float
    ) -> list[events.Action]:
        actions = self._learn(event.sender, now_s)
        for member in event.members:
            actions += self._learn(member, now_s)
        return actions

    def _learn(
        self, member: members_lib.Member, now_s: float
    ) -> list[events.Action]:
        if member.instance_id == self.own.instance_id:
            return self._refute(member)
        known = self.table.get(member.instance_id)
        if (
            known is not None
            and known.state == _State.ALIVE
            and member.state == _State.DEAD
            and known.incarnation == member.incarnation
        ):
            # When two parts of the fleet meet again, each holds the other for
            # dead; the members of both get the time to refute.
            member = dataclasses.replace(member, state=_State.SUSPECT)
        return self._put(member, now_s)

    def _put(
        self, member: members_lib.Member, now_s: float
    ) -> list[events.Action]:
        if not self.table.put(member, now_s):
            return []
        self._due_s.pop(member.instance_id, None)
        if member.state == _State.SUSPECT:
            self._due_s[member.instance_id] = now_s + self._suspicion_s()
        self._updates.push(member.instance_id, member)
        self._has_news = True
        return [events.Changed(member)]

    def _refute(self, heard: members_lib.Member) -> list[events.Action]:
        if heard.order <= self.own.order or self.own.state == _State.LEFT:
            return []
        has_left = heard.state == _State.LEFT
        if heard.incarnation > self.own.incarnation or has_left:
            return self._replace_own(
                dataclasses.replace(
                    self.own, incarnation=heard.incarnation + 1, refutation=0
                )
            )
        return self._replace_own(
            dataclasses.replace(self.own, refutation=heard.refutation + 1)
        )

    def _set_own(self, state: members_lib.MemberState) -> list[events.Action]:
        # A refutation that is raised too overrides any suspicion on its way.
        return self._replace_own(
            dataclasses.replace(
                self.own, state=state, refutation=self.own.refutation + 1
            )
        )

    def _replace_own(self, own: members_lib.Member) -> list[events.Action]:
        self.own = own
        self._updates.push(own.instance_id, own)
        self._has_news = True
        return [events.OwnChanged(own)]

    def _on_direct(
        self, event: events.DirectEnded, now_s: float
    ) -> list[events.Action]:
        probe = self._probes.get(event.probe_id)
        if probe is None:
            return []
        if event.succeeded:
            return self._on_answer(event.probe_id, probe)
        helpers = self._sample(INDIRECT_COUNT, probe.member.instance_id)
        if not helpers:
            return self._on_no_answer(event.probe_id, probe, now_s)
        probe.helpers_left = len(helpers)
        return [
            events.ProbeThrough(event.probe_id, helper, probe.member)
            for helper in helpers
        ]

    def _on_indirect(
        self, event: events.IndirectEnded, now_s: float
    ) -> list[events.Action]:
        probe = self._probes.get(event.probe_id)
        if probe is None:
            return []
        if event.succeeded:
            return self._on_answer(event.probe_id, probe)
        probe.helpers_left -= 1
        if probe.helpers_left > 0:
            return []
        return self._on_no_answer(event.probe_id, probe, now_s)

    def _on_answer(
        self, probe_id: int, probe: _ProbeState
    ) -> list[events.Action]:
        del self._probes[probe_id]
        if probe.member.state == _State.LEAVING:
            self._due_s.pop(probe.member.instance_id, None)
        return []

    def _on_no_answer(
        self, probe_id: int, probe: _ProbeState, now_s: float
    ) -> list[events.Action]:
        del self._probes[probe_id]
        known = self.table.get(probe.member.instance_id)
        if known is None or known.order != probe.member.order:
            return []
        if known.state == _State.ALIVE:
            suspect = dataclasses.replace(known, state=_State.SUSPECT)
            return self._put(suspect, now_s)
        if known.state != _State.LEAVING:
            return []
        # Owners have moved away from a leaving member already, so that it is
        # not suspected in public; a second failed probe ends it.
        if probe.is_second:
            dead = dataclasses.replace(known, state=_State.DEAD)
            return self._put(dead, now_s)
        self._due_s.setdefault(known.instance_id, now_s + self._suspicion_s())
        return []
