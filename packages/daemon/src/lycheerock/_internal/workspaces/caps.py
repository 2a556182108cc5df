"""Decides which requests run within the caps of their workspaces."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import random
from typing import Any

import msgspec

from lycheerock._internal.workspaces import bounds
from lycheerock._internal.workspaces import following
from lycheerock._internal.workspaces import holdings
from lycheerock._internal.workspaces import owner as owner_lib
from lycheerock_protocol import caps

# Time after which an ask without a reply is given up. A late reply is ignored.
ASK_TIMEOUT_S = 0.4

# Pause between two asks of one instance to one owner that are not periodic.
ASK_PAUSE_S = 0.02

# Time for which the own entry must be known before an instance that has not
# been registered earlier supports an owner. Instances that start together know
# each other by then.
JOIN_DELAY_S = 2.0

# Time without a renewal of the own entry after which others may count this
# instance as lost, with a reserve for the age of what they read.
UNRENEWED_MAX_S = 140.0

# Number of reachable instances that are kept connected for each group: the
# owner and the one that follows it.
CANDIDATE_COUNT = 2

# Longest wait of a request for a token while its workspace is below its cap, as
# after a start or a change of the owner. A caller is better served late than
# refused, and these gaps end within about a second.
CHANGE_WAIT_MAX_S = 1.2

# Times that refused callers are told to wait.
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 10.0


@dataclasses.dataclass
class _Owner:
    """What this instance knows of one owner that it asks."""

    epoch: int = 0
    owner_ms: int = 0
    sequence: int = 0
    is_asking: bool = False
    asked_s: float = float("-inf")
    withdrawn_groups: frozenset[int] = frozenset()
    wanted: frozenset[str] = frozenset()

    def is_awaiting(self, sequence: int, now_s: float) -> bool:
        """Returns whether a reply with a sequence number is still accepted."""
        if not self.is_asking or sequence != self.sequence:
            return False
        return now_s - self.asked_s < ASK_TIMEOUT_S


@dataclasses.dataclass(frozen=True)
class View:
    """Which instances there are and which of them can be reached.

    Attributes:
      own_address: Feed address of this instance.
      members: Addresses of the registered instances, with this one if it is.
      entry_count: Number of registered instances, including stopping ones.
      reachable: Addresses to which there is a link.
      renewed_s: Time at which the own entry was last known to be renewed.
    """

    own_address: str
    members: frozenset[str]
    entry_count: int
    reachable: frozenset[str]
    renewed_s: float


class Caps:
    """State of one instance as holder and as owner.

    The class has no clock and sends nothing by itself.
    """

    def __init__(
        self,
        own_address: str,
        epoch: int,
        send: Callable[[str, str, msgspec.Struct], bool],
        now_s: float,
    ) -> None:
        """Initializes the state of a process that has just started.

        Args:
          own_address: Feed address of this instance.
          epoch: Random number of this process.
          send: Sends a message of a kind to an address, if there is a link.
          now_s: Current time.
        """
        self._own_address = own_address
        self._epoch = epoch
        self._send = send
        self._owner = owner_lib.Owner(epoch)
        self._owners: dict[str, _Owner] = {}
        # The previous process of this instance may have supported owners and
        # granted tokens until now.
        free_s = (
            now_s
            + bounds.LEASE_S
            + bounds.TOKEN_LIFETIME_S
            + bounds.CLOCK_MARGIN_S
        )
        self._followings = [
            following.Following(free_s) for _ in range(bounds.GROUP_COUNT)
        ]
        self._limits: Mapping[str, bounds.Limits] = {}
        self._holdings: dict[str, holdings.Holding] = {}
        self._view = View(own_address, frozenset(), 0, frozenset(), now_s)
        self._was_registered: bool | None = None
        self._registered_s = float("inf")
        self._reachable_since_s: dict[str, float] = {}
        self._urgent: set[str] = set()
        self._sequence = 0

    # State from outside

    def set_limits(
        self, limits: Mapping[str, bounds.Limits], now_s: float
    ) -> None:
        """Sets all workspaces with a cap and their limits."""
        self._limits = limits
        for name in self._holdings.keys() - limits.keys():
            del self._holdings[name]
        self._owner.set_limits(limits, now_s)

    def set_view(self, view: View, now_s: float) -> None:
        """Sets which instances are registered and reachable."""
        if view.members != self._view.members or (
            view.entry_count != self._view.entry_count
        ):
            self._owner.member_count.set_own(view.entry_count)
            self._owner.set_members(view.members, now_s)
            for address in self._owners.keys() - view.members:
                if address not in view.reachable:
                    del self._owners[address]
        reachable = view.reachable | {view.own_address}
        for address in self._reachable_since_s.keys() - reachable:
            del self._reachable_since_s[address]
            self._forget_ask(address)
        for address in reachable:
            self._reachable_since_s.setdefault(address, now_s)
        if view.members:
            is_registered = view.own_address in view.members
            if self._was_registered is None and is_registered:
                # The entry is from before the start, so the others know it.
                self._registered_s = now_s - JOIN_DELAY_S
            elif is_registered and not self._was_registered:
                self._registered_s = now_s
            self._was_registered = is_registered
        self._view = view

    def end_start_wait(self, now_s: float) -> None:
        """Ends the wait of a new process before it supports owners.

        Args:
          now_s: Current time.
        """
        for state in self._followings:
            if not state.has_supported:
                state.free_s = min(state.free_s, now_s)

    def candidates(self) -> frozenset[str]:
        """Returns the instances to which links are needed."""
        if not self._limits:
            return frozenset()
        found: set[str] = set()
        for group, state in enumerate(self._followings):
            reachable_count = 0
            for address in bounds.rank(group, self._view.members):
                found.add(address)
                reachable_count += address in self._reachable_since_s
                if reachable_count == CANDIDATE_COUNT:
                    break
            if state.owner is not None:
                found.add(state.owner)
        return frozenset(found - {self._own_address})

    def _forget_ask(self, address: str) -> None:
        state = self._owners.get(address)
        if state is not None:
            state.is_asking = False

    def owners(self) -> frozenset[str]:
        """Returns the owners that this instance follows."""
        return frozenset(
            state.owner for state in self._followings if state.owner is not None
        )

    def owner_by_group(self) -> tuple[str | None, ...]:
        """Returns the followed owner of each group."""
        return tuple(state.owner for state in self._followings)

    def member_count(self, now_s: float) -> int:
        """Returns the number of instances by which shares are computed."""
        return self._owner.member_count.current(now_s)

    def all_holdings(self) -> Mapping[str, holdings.Holding]:
        """Returns tokens and demand of all workspaces with requests here."""
        return self._holdings

    def describe_groups(self, now_s: float) -> list[dict[str, Any]]:
        """Returns the state of all groups as JSON-compatible values."""
        self._owner.refresh(now_s)
        return [
            {
                "group": group,
                "owner": state.owner,
                "is_supporting": state.has_supported
                and state.may_support(now_s),
                "supported_share": round(self._owner.share(group), 3),
            }
            for group, state in enumerate(self._followings)
        ]

    @property
    def is_enforcing(self) -> bool:
        """Whether any workspace has a cap."""
        return bool(self._limits)

    @property
    def has_urgent(self) -> bool:
        """Whether tokens should be asked for before the next period."""
        return bool(self._urgent)

    # Requests

    def has_cap(self, workspace: str) -> bool:
        """Returns whether the requests of a workspace are capped."""
        return workspace in self._limits

    def holding(self, workspace: str) -> holdings.Holding:
        """Returns tokens and demand of a workspace at this instance."""
        found = self._holdings.get(workspace)
        if found is None:
            found = self._holdings[workspace] = holdings.Holding(workspace)
        return found

    def take(self, workspace: str, now_s: float) -> holdings.Token | None:
        """Takes a token for a request, or returns None if there is none."""
        holding = self.holding(workspace)
        token = holding.take(now_s)
        if holding.held(now_s) < holding.demand.spare_count(now_s):
            self._urgent.add(workspace)
        return token

    def is_below_cap(self, workspace: str, now_s: float) -> bool:
        """Returns whether missing tokens are likely to come soon.

        That is so if the known use of all instances and the demand here are
        below the rate, as after a start or a change of the owner, and if no
        more requests wait here than the rate serves in time.
        """
        holding = self.holding(workspace)
        rate_per_s = self._limits[workspace].rate_per_s
        waiting_max = 1.0 + rate_per_s * CHANGE_WAIT_MAX_S
        known_per_s = max(holding.used_per_s, holding.demand.per_s(now_s))
        return known_per_s < rate_per_s and holding.waiting_count < waiting_max

    def wait(
        self, workspace: str, now_s: float, *, is_below_cap: bool = False
    ) -> bool:
        """Registers a request that waits; returns False if it is useless.

        Args:
          workspace: Name of the workspace.
          now_s: Current time.
          is_below_cap: Whether it may wait although no tokens are expected at
            once, see `is_below_cap`.
        """
        holding = self.holding(workspace)
        state = self._followings[bounds.group_of(workspace)]
        if not is_below_cap and (
            state.owner is None or now_s < holding.refused_until_s
        ):
            return False
        holding.waiting_count += 1
        self._urgent.add(workspace)
        return True

    def stop_waiting(self, workspace: str) -> None:
        """Removes a request that `wait` has registered."""
        self.holding(workspace).waiting_count -= 1

    def retry_after_s(self, workspace: str, now_s: float) -> float:
        """Returns when a refused caller should return.

        The time at which tokens are likely, plus a random time in which the
        workspace's rate has room for the requests that this instance refuses.

        Args:
          workspace: Name of the workspace.
          now_s: Current time.
        """
        holding = self.holding(workspace)
        state = self._followings[bounds.group_of(workspace)]
        base_s = max(0.0, holding.refused_until_s - now_s)
        if state.owner is None:
            base_s = max(base_s, state.free_s - now_s)
        rate_per_s = self._limits[workspace].rate_per_s
        excess = max(holding.used_per_s, rate_per_s) / max(rate_per_s, 1e-3)
        spread_s = min(
            RETRY_AFTER_MAX_S,
            (1.0 + holding.demand.per_s(now_s)) * excess / max(rate_per_s, 0.1),
        )
        wait_s: float = base_s + random.uniform(0.0, 1.0) * spread_s
        return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))

    # Messages

    def tick(self, now_s: float) -> None:
        """Chooses owners and sends the asks that are due."""
        if not self._limits:
            return
        self._choose_owners(now_s)
        groups_by_owner: dict[str, list[int]] = {}
        for group, state in enumerate(self._followings):
            if state.owner is not None:
                groups_by_owner.setdefault(state.owner, []).append(group)
        for address, groups in groups_by_owner.items():
            if self._is_ask_due(address, groups, now_s):
                self._ask(address, groups, now_s)

    def _choose_owners(self, now_s: float) -> None:
        for group, state in enumerate(self._followings):
            previous = state.owner
            state.choose(
                bounds.rank(group, self._view.members),
                self._reachable_since_s.__contains__,
                lambda a: self._is_stable(a, now_s),
                now_s,
            )
            if state.owner != previous:
                self._reset_refusals(group)

    def _is_stable(self, address: str, now_s: float) -> bool:
        since_s = self._reachable_since_s.get(address, float("inf"))
        return now_s - since_s >= following.STABLE_S

    def _reset_refusals(self, group: int) -> None:
        for name, holding in self._holdings.items():
            if bounds.group_of(name) == group:
                holding.refused_until_s = 0.0

    def _may_support(self, now_s: float) -> bool:
        """Returns whether the other instances certainly count this one."""
        view = self._view
        if view.own_address not in view.members:
            return False
        if now_s < self._registered_s + JOIN_DELAY_S:
            return False
        if now_s - view.renewed_s < UNRENEWED_MAX_S:
            return True
        # Without the store, instances on the other side of a partition may drop
        # this side from their count, unless this is the greater one.
        count = len(view.members & self._reachable_since_s.keys())
        return 2 * count > self._owner.member_count.current(now_s)

    def _is_ask_due(
        self, address: str, groups: list[int], now_s: float
    ) -> bool:
        if address not in self._reachable_since_s:
            return False
        state = self._owners.get(address)
        if state is None:
            return True
        elapsed_s = now_s - state.asked_s
        if state.is_asking and elapsed_s < ASK_TIMEOUT_S:
            return False
        if elapsed_s >= bounds.ASK_PERIOD_S:
            return True
        if elapsed_s >= ASK_PAUSE_S and any(
            self._followings[group].is_support_due(now_s)
            or self._followings[group].is_withdrawing
            for group in groups
        ):
            return True
        is_paused = elapsed_s < ASK_PAUSE_S and address != self._own_address
        return any(
            self._is_urgent(self._holdings[name], now_s, is_paused=is_paused)
            for name in self._urgent & self._holdings.keys()
            if bounds.group_of(name) in groups
        )

    def _is_urgent(
        self, holding: holdings.Holding, now_s: float, *, is_paused: bool
    ) -> bool:
        is_wanted = holding.waiting_count > 0 or not is_paused
        return is_wanted and now_s >= holding.refused_until_s

    def _ask(self, address: str, groups: list[int], now_s: float) -> None:
        state = self._owners.setdefault(address, _Owner())
        may_support = self._may_support(now_s)
        supports = tuple(
            caps.Support(group, self._followings[group].term)
            for group in groups
            if may_support and self._followings[group].may_support(now_s)
        )
        wants = self._wants(address, state.epoch, groups, now_s)
        self._sequence += 1
        state.sequence = self._sequence
        state.is_asking = True
        state.asked_s = now_s
        state.withdrawn_groups = frozenset(
            group for group in groups if self._followings[group].is_withdrawing
        )
        state.wanted = frozenset(want.workspace for want in wants)
        ask = caps.Ask(
            self._epoch,
            state.sequence,
            state.epoch,
            state.owner_ms,
            self._owner.member_count.own,
            supports,
            wants,
        )
        if address == self._own_address:
            self._record_supports_sent(supports, now_s)
            reply = self._owner.answer(address, ask, now_s)
            assert reply is not None
            self.on_reply(address, reply, now_s)
        elif self._send(address, caps.ASK, ask):
            self._record_supports_sent(supports, now_s)
        else:
            state.is_asking = False

    def _record_supports_sent(
        self, supports: tuple[caps.Support, ...], now_s: float
    ) -> None:
        for support in supports:
            self._followings[support.group].record_support_sent(now_s)

    def _wants(
        self, address: str, epoch: int, groups: list[int], now_s: float
    ) -> tuple[caps.Want, ...]:
        wants = []
        for name, holding in self._holdings.items():
            if bounds.group_of(name) not in groups:
                continue
            # Before the first reply there are no tokens of this owner.
            lot = holding.lot(address, epoch) if epoch else None
            held = 0 if lot is None else lot.held(now_s)
            following_state = self._followings[bounds.group_of(name)]
            target = holding.demand.spare_count(
                now_s, is_changing=following_state.is_withdrawing
            )
            is_refused = now_s < holding.refused_until_s
            spare = 0 if is_refused else max(0, target - holding.held(now_s))
            if not (held or spare or holding.waiting_count) and (
                now_s - holding.demand.last_s > holdings.IDLE_S
            ):
                continue
            self._urgent.discard(name)
            used = 0
            if lot is not None:
                used = lot.used_count
                lot.report_count += 1
            wants.append(
                caps.Want(name, used, held, holding.waiting_count, spare)
            )
        return tuple(wants)

    def on_ask(self, sender: str, ask: caps.Ask, now_s: float) -> None:
        """Replies to an instance that follows this one."""
        reply = self._owner.answer(sender, ask, now_s)
        if reply is not None:
            self._send(sender, caps.REPLY, reply)

    def on_reply(self, sender: str, reply: caps.Reply, now_s: float) -> None:
        """Applies the reply of an owner, unless its ask was given up."""
        state = self._owners.get(sender)
        if state is None or not state.is_awaiting(reply.sequence, now_s):
            return
        state.is_asking = False
        self._owner.member_count.record_stated(
            sender, reply.member_count, now_s
        )
        is_restarted = reply.epoch != state.epoch
        state.epoch, state.owner_ms = reply.epoch, reply.now_ms
        for group, followed in enumerate(self._followings):
            if followed.owner != sender:
                continue
            followed.record_epoch(reply.epoch, now_s)
            if group in state.withdrawn_groups:
                followed.record_withdrawn(self._best(group, now_s), now_s)
                self._reset_refusals(group)
        if is_restarted:
            # The counts of the wants referred to an earlier process.
            state.asked_s = float("-inf")
        for offer in reply.offers:
            holding = self._holdings.get(offer.workspace)
            if holding is not None and offer.workspace in state.wanted:
                self._accept(holding, sender, offer, state, now_s)
                if holding.waiting_count > holding.held(now_s):
                    # Some requests began to wait after the ask was sent.
                    self._urgent.add(offer.workspace)

    def _best(self, group: int, now_s: float) -> str | None:
        ranked = bounds.rank(group, self._view.members)
        return next((a for a in ranked if self._is_stable(a, now_s)), None)

    def _accept(
        self,
        holding: holdings.Holding,
        sender: str,
        offer: caps.Offer,
        state: _Owner,
        now_s: float,
    ) -> None:
        lot = holding.lot(sender, state.epoch)
        lot.held(now_s)
        if offer.is_renewed:
            lot.count += offer.granted_count
            # The time of the ask is earlier than that of the grant.
            lot.expires_s = state.asked_s + bounds.TOKEN_LIFETIME_S
        holding.refused_until_s = 0.0
        if offer.retry_ms > 0:
            holding.refused_until_s = now_s + offer.retry_ms / 1000
        holding.used_per_s = offer.used_per_s
        holding.used_known_s = now_s
