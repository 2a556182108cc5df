"""The membership state machine.

It implements SWIM (Das, Gupta, Motivala, "SWIM: scalable weakly-consistent
infection-style process group membership protocol", 2002) without I/O: events
and the current time are passed in, and actions are returned.
"""

import dataclasses
import math
import random

from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import swim_types
from lycheerock._internal.membership import table as table_lib
from lycheerock._internal.membership import update_queue

PROBE_PERIOD_S = 0.5
INDIRECT_PROBE_COUNT = 2
# Time for a suspect to refute, in probe periods. It is multiplied by log10 of
# the number of members, since gossip needs a number of rounds that grows with
# that logarithm.
SUSPICION_PERIODS = 4
DISSEMINATION_FANOUT = 3
DISSEMINATION_INTERVAL_MIN_S = 0.2
DEAD_PULL_PERIOD_S = 5.0
# The full state grows with the number of members. Above
# PULL_SCALING_MEMBERS_MIN the period grows in proportion, so the bytes per
# second stay constant.
PULL_PERIOD_S = 30.0
PULL_SCALING_MEMBERS_MIN = 32
# Ticks arrive every 0.1 s, so a gap of this length between events means that
# this process was frozen, that is, did not run, for example because of SIGSTOP.
FREEZE_GAP_MIN_S = 0.5

_State = members_lib.MemberState


@dataclasses.dataclass
class _ProbeInFlight:
    member: members_lib.Member
    is_retry: bool
    pending_relays: int = 0


class Swim:
    """Membership state machine of one instance."""

    def __init__(
        self, local_member: members_lib.Member, rng: random.Random, now_s: float
    ):
        self.local_member = local_member
        self.table = table_lib.MemberTable()
        self._updates = update_queue.UpdateQueue[members_lib.Member]()
        self._random = rng
        self._last_event_s = now_s
        self._next_probe_s = now_s
        self._next_dead_pull_s = now_s + DEAD_PULL_PERIOD_S
        self._next_pull_s = now_s + PULL_PERIOD_S
        self._next_dissemination_s = now_s
        self._has_updates = False
        self._probes: dict[int, _ProbeInFlight] = {}
        self._probe_count = 0
        self._probe_order: list[str] = []
        # By instance id: when a suspect is declared dead, or when a leaving
        # member that failed a probe is probed again.
        self._deadlines_s: dict[str, float] = {}
        self._updates.push(local_member.instance_id, local_member)

    def handle(
        self, event: swim_types.Event, now_s: float
    ) -> list[swim_types.Action]:
        """Processes one event.

        Args:
          event: The event.
          now_s: Current monotonic time.

        Returns:
          The actions to perform, in order.
        """
        self._handle_freeze(now_s)
        match event:
            case swim_types.Tick():
                return self._on_tick(now_s)
            case swim_types.MessageReceived():
                return self._on_message(event, now_s)
            case swim_types.DirectProbeEnded():
                return self._on_direct_probe_ended(event, now_s)
            case swim_types.IndirectProbeEnded():
                return self._on_indirect_probe_ended(event, now_s)
            case swim_types.LeaveStarted():
                return self._set_local_state(_State.LEAVING)
            case swim_types.LeaveCompleted():
                return self._set_local_state(_State.LEFT)

    def piggyback(self, receiver_id: str) -> tuple[members_lib.Member, ...]:
        """Returns the entries to piggyback on the next message.

        Args:
          receiver_id: Instance that receives the message.

        Returns:
          A bounded number of entries. If the known state of the receiver is
          not ALIVE, its entry is always included, so that it can refute it.
        """
        known = self.table.last_known(receiver_id)
        batch = self._updates.take(len(self.table.running()))
        if known is None or known.state == _State.ALIVE:
            return batch
        return (known, *(m for m in batch if m.instance_id != receiver_id))

    def full_state(self) -> tuple[members_lib.Member, ...]:
        """Returns all entries, including that of the local member."""
        return (self.local_member, *self.table.all())

    def schedule_dissemination(self) -> None:
        """Requests a dissemination round for updates kept outside the table."""
        self._has_updates = True

    def _handle_freeze(self, now_s: float) -> None:
        """Discards evidence of failures from before a freeze of this process.

        A frozen process misses replies to its probes and refutations, although
        its peers may be healthy (Dadgar, Phillips, Currey, "Lifeguard: local
        health awareness for more accurate failure detection", 2018). Probes in
        flight are dropped and all suspicion timeouts restart.
        """
        gap_s = now_s - self._last_event_s
        self._last_event_s = now_s
        if gap_s < FREEZE_GAP_MIN_S:
            return
        self._probes.clear()
        for instance_id in self._deadlines_s:
            self._deadlines_s[instance_id] = now_s + self._suspicion_timeout_s()

    def _suspicion_timeout_s(self) -> float:
        count = len(self.table.running()) + 1
        return SUSPICION_PERIODS * PROBE_PERIOD_S * max(1.0, math.log10(count))

    def _on_tick(self, now_s: float) -> list[swim_types.Action]:
        actions = self._handle_deadlines(now_s)
        if self.local_member.state != _State.LEFT:
            actions += self._probe_next_member(now_s)
            actions += self._pull_full_state(now_s)
        actions += self._disseminate(now_s)
        for instance_id in self.table.prune_ended(now_s):
            actions.append(swim_types.MemberRemoved(instance_id))
        return actions

    def _handle_deadlines(self, now_s: float) -> list[swim_types.Action]:
        actions: list[swim_types.Action] = []
        expired = [
            name
            for name, deadline_s in self._deadlines_s.items()
            if now_s >= deadline_s
        ]
        for instance_id in expired:
            del self._deadlines_s[instance_id]
            member = self.table.get(instance_id)
            if member is None:
                continue
            if member.state == _State.SUSPECT:
                dead = dataclasses.replace(member, state=_State.DEAD)
                actions += self._store(dead, now_s)
            elif member.state == _State.LEAVING:
                actions.append(self._start_probe(member, is_retry=True))
        return actions

    def _probe_next_member(self, now_s: float) -> list[swim_types.Action]:
        if now_s < self._next_probe_s:
            return []
        self._next_probe_s = max(
            self._next_probe_s + PROBE_PERIOD_S, now_s + PROBE_PERIOD_S / 2
        )
        member = self._next_member()
        if member is None:
            return []
        return [self._start_probe(member, is_retry=False)]

    def _start_probe(
        self, member: members_lib.Member, *, is_retry: bool
    ) -> swim_types.DirectProbe:
        self._probe_count += 1
        self._probes[self._probe_count] = _ProbeInFlight(member, is_retry)
        return swim_types.DirectProbe(self._probe_count, member)

    def _next_member(self) -> members_lib.Member | None:
        """Returns the next member in shuffled round-robin order.

        Round-robin selection bounds the time until each member is probed (SWIM,
        section 4.3).
        """
        for _ in range(2):
            while self._probe_order:
                member = self.table.get(self._probe_order.pop())
                if member is not None and member.is_running:
                    return member
            self._probe_order = [m.instance_id for m in self.table.running()]
            self._random.shuffle(self._probe_order)
        return None

    def _pull_full_state(self, now_s: float) -> list[swim_types.Action]:
        actions: list[swim_types.Action] = []
        running = self.table.running()
        if now_s >= self._next_pull_s:
            scale = max(1.0, len(running) / PULL_SCALING_MEMBERS_MIN)
            jitter = self._random.uniform(0.5, 1.5)
            self._next_pull_s = now_s + PULL_PERIOD_S * scale * jitter
            if running:
                actions.append(
                    swim_types.PullFullState(self._random.choice(running))
                )
        if now_s >= self._next_dead_pull_s:
            self._next_dead_pull_s = now_s + DEAD_PULL_PERIOD_S
            dead = self.table.dead()
            if dead:
                actions.append(
                    swim_types.PullFullState(self._random.choice(dead))
                )
        return actions

    def _disseminate(self, now_s: float) -> list[swim_types.Action]:
        if not self._has_updates or now_s < self._next_dissemination_s:
            return []
        self._has_updates = False
        self._next_dissemination_s = now_s + DISSEMINATION_INTERVAL_MIN_S
        return [
            swim_types.Disseminate(
                tuple(self._sample_running(DISSEMINATION_FANOUT))
            )
        ]

    def _sample_running(
        self, count: int, excluded_id: str = ""
    ) -> list[members_lib.Member]:
        others = [
            m for m in self.table.running() if m.instance_id != excluded_id
        ]
        return self._random.sample(others, min(count, len(others)))

    def _on_message(
        self, event: swim_types.MessageReceived, now_s: float
    ) -> list[swim_types.Action]:
        actions = self._merge(event.sender, now_s)
        for member in event.members:
            actions += self._merge(member, now_s)
        return actions

    def _merge(
        self, member: members_lib.Member, now_s: float
    ) -> list[swim_types.Action]:
        if member.instance_id == self.local_member.instance_id:
            return self._refute(member)
        known = self.table.get(member.instance_id)
        if (
            known is not None
            and known.state == _State.ALIVE
            and member.state == _State.DEAD
            and known.incarnation == member.incarnation
        ):
            # After a network partition heals, each side believes the other to
            # be dead. Suspicion gives the members of both time to refute.
            member = dataclasses.replace(member, state=_State.SUSPECT)
        return self._store(member, now_s)

    def _store(
        self, member: members_lib.Member, now_s: float
    ) -> list[swim_types.Action]:
        if not self.table.put(member, now_s):
            return []
        self._deadlines_s.pop(member.instance_id, None)
        if member.state == _State.SUSPECT:
            self._deadlines_s[member.instance_id] = (
                now_s + self._suspicion_timeout_s()
            )
        self._updates.push(member.instance_id, member)
        self._has_updates = True
        return [swim_types.MemberChanged(member)]

    def _refute(self, claim: members_lib.Member) -> list[swim_types.Action]:
        if (
            claim.precedence <= self.local_member.precedence
            or self.local_member.state == _State.LEFT
        ):
            return []
        has_left = claim.state == _State.LEFT
        if claim.incarnation > self.local_member.incarnation or has_left:
            return self._update_local_member(
                dataclasses.replace(
                    self.local_member,
                    incarnation=claim.incarnation + 1,
                    refutation=0,
                )
            )
        return self._update_local_member(
            dataclasses.replace(
                self.local_member, refutation=claim.refutation + 1
            )
        )

    def _set_local_state(
        self, state: members_lib.MemberState
    ) -> list[swim_types.Action]:
        # The incremented refutation overrides any suspicion still in transit.
        return self._update_local_member(
            dataclasses.replace(
                self.local_member,
                state=state,
                refutation=self.local_member.refutation + 1,
            )
        )

    def _update_local_member(
        self, local_member: members_lib.Member
    ) -> list[swim_types.Action]:
        self.local_member = local_member
        self._updates.push(local_member.instance_id, local_member)
        self._has_updates = True
        return [swim_types.LocalMemberChanged(local_member)]

    def _on_direct_probe_ended(
        self, event: swim_types.DirectProbeEnded, now_s: float
    ) -> list[swim_types.Action]:
        probe = self._probes.get(event.probe_id)
        if probe is None:
            return []
        if event.succeeded:
            return self._on_probe_succeeded(event.probe_id, probe)
        relays = self._sample_running(
            INDIRECT_PROBE_COUNT, probe.member.instance_id
        )
        if not relays:
            return self._on_probe_failed(event.probe_id, probe, now_s)
        probe.pending_relays = len(relays)
        return [
            swim_types.IndirectProbe(event.probe_id, relay, probe.member)
            for relay in relays
        ]

    def _on_indirect_probe_ended(
        self, event: swim_types.IndirectProbeEnded, now_s: float
    ) -> list[swim_types.Action]:
        probe = self._probes.get(event.probe_id)
        if probe is None:
            return []
        if event.succeeded:
            return self._on_probe_succeeded(event.probe_id, probe)
        probe.pending_relays -= 1
        if probe.pending_relays > 0:
            return []
        return self._on_probe_failed(event.probe_id, probe, now_s)

    def _on_probe_succeeded(
        self, probe_id: int, probe: _ProbeInFlight
    ) -> list[swim_types.Action]:
        del self._probes[probe_id]
        if probe.member.state == _State.LEAVING:
            self._deadlines_s.pop(probe.member.instance_id, None)
        return []

    def _on_probe_failed(
        self, probe_id: int, probe: _ProbeInFlight, now_s: float
    ) -> list[swim_types.Action]:
        del self._probes[probe_id]
        known = self.table.get(probe.member.instance_id)
        if known is None or known.precedence != probe.member.precedence:
            return []
        if known.state == _State.ALIVE:
            suspect = dataclasses.replace(known, state=_State.SUSPECT)
            return self._store(suspect, now_s)
        if known.state != _State.LEAVING:
            return []
        # The targets of a leaving member already have other owners, so it is
        # not announced as suspect. It is declared dead after a second failed
        # probe.
        if probe.is_retry:
            dead = dataclasses.replace(known, state=_State.DEAD)
            return self._store(dead, now_s)
        self._deadlines_s.setdefault(
            known.instance_id, now_s + self._suspicion_timeout_s()
        )
        return []
