"""Owner of groups of workspaces: grants tokens to the instances that ask."""

from collections.abc import Mapping

from lycheerock._internal.workspaces import bounds
from lycheerock._internal.workspaces import shares
from lycheerock_protocol import caps

# Share of the capacity that is not granted as spare tokens, so that requests
# that wait still get some.
RESERVE_RATIO = 0.3

# Time after which a holder may ask again when no tokens were left. It grows
# with the number of holders that were refused recently.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0

# Time after which a holder may ask again for a workspace that this owner does
# not know, because one of the two has an older configuration.
UNKNOWN_RETRY_S = 0.5

# Time for which a refused holder counts as competing for tokens.
REFUSED_MEMORY_S = 1.0

# Time for which the number of instances that others have stated is used.
MEMBER_COUNT_MEMORY_S = 30.0


class MemberCount:
    """Greatest number of registered instances that any instance knows.

    A number that is too small would let owners on two sides of a partition
    grant more than the whole rate together.
    """

    def __init__(self) -> None:
        self._own_count = 0
        self._stated: dict[str, tuple[int, float]] = {}

    def set_own(self, count: int) -> None:
        """Sets the number of registered instances.

        A store that is back after an outage lists few instances until all have
        renewed their entries, and an instance that cannot reach the store may
        still be running. So the number is lowered only to more than half of the
        previous one.

        Args:
          count: Number of entries that have not expired.
        """
        if count > self._own_count or 2 * count > self._own_count:
            self._own_count = count

    @property
    def own(self) -> int:
        """Number of registered instances, 0 if not known."""
        return self._own_count

    def record_stated(self, address: str, count: int, now_s: float) -> None:
        """Records the number that another instance has stated."""
        self._stated[address] = (count, now_s)

    def current(self, now_s: float) -> int:
        """Returns the number by which shares are computed."""
        since_s = now_s - MEMBER_COUNT_MEMORY_S
        for address in [a for a, (_, t) in self._stated.items() if t < since_s]:
            del self._stated[address]
        stated = (count for count, _ in self._stated.values())
        return max(1, self._own_count, *stated)


class Owner:
    """Groups for which other instances may follow this one."""

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._groups = [shares.Group() for _ in range(bounds.GROUP_COUNT)]
        self._members: frozenset[str] = frozenset()
        self._applied_count = 0
        self._refused: dict[str, dict[str, float]] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self.member_count = MemberCount()

    def set_limits(
        self, limits: Mapping[str, bounds.Limits], now_s: float
    ) -> None:
        """Sets all workspaces with a cap and their limits."""
        by_group: list[dict[str, bounds.Limits]] = [{} for _ in self._groups]
        for name, limit in limits.items():
            by_group[bounds.group_of(name)][name] = limit
        for group, found in zip(self._groups, by_group, strict=True):
            group.set_limits(found, now_s)

    def set_members(self, addresses: frozenset[str], now_s: float) -> None:
        """Sets the registered instances; others cannot support this one."""
        self._members = addresses
        self._apply_members(now_s)

    def _apply_members(self, now_s: float) -> None:
        count = self._applied_count = self.member_count.current(now_s)
        for group in self._groups:
            group.set_members(self._members, count, now_s)

    def answer(
        self, address: str, ask: caps.Ask, now_s: float
    ) -> caps.Reply | None:
        """Replies to an instance.

        Args:
          address: Its feed address.
          ask: Its message.
          now_s: Current time.

        Returns:
          The reply, or None if a later message of the instance was received
          before, which is possible while there are two links to it.
        """
        epoch, sequence = self._sequences.get(address, (0, 0))
        if ask.epoch == epoch and ask.sequence <= sequence:
            return None
        self._sequences[address] = (ask.epoch, ask.sequence)
        self.member_count.record_stated(address, ask.member_count, now_s)
        if self.member_count.current(now_s) != self._applied_count:
            self._apply_members(now_s)
        self._record_supports(address, ask, now_s)
        offers = tuple(
            self._offer(address, ask.epoch, want, now_s) for want in ask.wants
        )
        return caps.Reply(
            self._epoch,
            ask.sequence,
            int(now_s * 1000),
            self.member_count.own,
            offers,
        )

    def _record_supports(
        self, address: str, ask: caps.Ask, now_s: float
    ) -> None:
        until_s = float("-inf")
        if ask.owner_epoch == self._epoch and address in self._members:
            # The time was rounded down, which only shortens the lease.
            until_s = ask.owner_ms / 1000 + bounds.LEASE_S
        terms = {support.group: support.term for support in ask.supports}
        for number, group in enumerate(self._groups):
            term = terms.get(number)
            if term is None:
                group.withdraw(address, now_s)
            else:
                group.support(address, ask.epoch, term, until_s, now_s)

    def _offer(
        self, address: str, epoch: int, want: caps.Want, now_s: float
    ) -> caps.Offer:
        group = self._groups[bounds.group_of(want.workspace)]
        bucket = group.buckets.get(want.workspace)
        if bucket is None:
            retry_ms = int(UNKNOWN_RETRY_S * 1000)
            return caps.Offer(want.workspace, 0, False, retry_ms, 0.0)
        bucket.settle(address, epoch, want.used_count, want.held_count, now_s)
        bucket.refill(now_s, group.share)
        reserve = RESERVE_RATIO * group.share * bucket.limits.capacity_count
        granted, is_renewed = bucket.grant(
            address, want.needed_count, want.spare_count, reserve, now_s
        )
        retry_s = 0.0
        if granted < want.needed_count:
            retry_s = self._retry_s(
                address,
                want.workspace,
                bucket.limits.rate_for(group.share),
                now_s,
            )
        return caps.Offer(
            want.workspace,
            granted,
            is_renewed,
            int(retry_s * 1000),
            round(bucket.current_use_per_s(now_s), 2),
        )

    def _retry_s(
        self, address: str, workspace: str, rate_per_s: float, now_s: float
    ) -> float:
        refused = self._refused.setdefault(workspace, {})
        refused[address] = now_s
        for old in [
            a for a, t in refused.items() if now_s - t > REFUSED_MEMORY_S
        ]:
            del refused[old]
        if rate_per_s <= 0.0:
            return RETRY_MAX_S
        return min(RETRY_MAX_S, max(RETRY_MIN_S, len(refused) / rate_per_s))

    def share(self, group: int) -> float:
        """Returns the share of the instances that support this one."""
        return self._groups[group].share

    def refresh(self, now_s: float) -> None:
        """Brings all leases and buckets up to date."""
        for group in self._groups:
            group.update(now_s)

    def used_per_s(self, workspace: str, now_s: float) -> float:
        """Returns the measured use of a workspace, as far as known here."""
        group = self._groups[bounds.group_of(workspace)]
        bucket = group.buckets.get(workspace)
        return 0.0 if bucket is None else bucket.current_use_per_s(now_s)
