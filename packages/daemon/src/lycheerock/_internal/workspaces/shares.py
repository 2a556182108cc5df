"""Supporters of an owner, by whose number it may grant tokens."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lycheerock._internal.workspaces import bounds

# Longest time for which tokens are added at once. Each ask of a supporter
# updates the buckets, so a longer time means that this process stood still.
REFILL_MAX_S = 1.5

# Interval at which renewed leases bring the buckets of a group up to date.
REFILL_PERIOD_S = 0.25


@dataclasses.dataclass
class _Share:
    epoch: int
    term: int
    until_s: float
    is_valid: bool = True


@dataclasses.dataclass(frozen=True)
class Change:
    """One change of the supporters.

    Attributes:
      at_s: Time of the change.
      address: The supporter.
      kind: "lost" if its lease has expired, "regained" if it has renewed an
        expired lease without having followed another owner, "removed" if it
        has withdrawn or follows another one, "added" if it is new, "returned"
        if it had only withdrawn.
    """

    at_s: float
    address: str
    kind: str


class Shares:
    """The instances that support this one as owner of one group.

    An instance supports one owner at a time, so the shares of all owners of a
    group add up to one at most, however the instances are partitioned.
    """

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}
        self._removed: dict[str, tuple[int, int]] = {}
        self._valid_count = 0

    def __contains__(self, address: str) -> bool:
        """Returns whether an instance is a supporter, valid or not."""
        return address in self._shares

    @property
    def valid_count(self) -> int:
        """Number of supporters whose lease has not expired."""
        return self._valid_count

    def is_valid(self, address: str, epoch: int, term: int) -> bool:
        """Returns whether an instance is a valid supporter in a term."""
        share = self._shares.get(address)
        return (
            share is not None
            and share.is_valid
            and (share.epoch, share.term) == (epoch, term)
        )

    def expire(self, now_s: float) -> Iterable[Change]:
        """Yields the leases that have expired, in order of their end."""
        due = [
            (share.until_s, address)
            for address, share in self._shares.items()
            if share.is_valid and share.until_s <= now_s
        ]
        for until_s, address in sorted(due):
            yield Change(until_s, address, "lost")
            self._shares[address].is_valid = False
            self._valid_count -= 1

    def retain(
        self, addresses: frozenset[str], now_s: float
    ) -> Iterable[Change]:
        """Removes the supporters that are not registered."""
        for address in self._shares.keys() - addresses:
            yield from self.remove(address, now_s)

    def remove(self, address: str, now_s: float) -> Iterable[Change]:
        """Removes a supporter, if it is one."""
        share = self._shares.get(address)
        if share is None:
            return
        yield Change(now_s, address, "removed")
        del self._shares[address]
        self._removed[address] = (share.epoch, share.term)
        self._valid_count -= share.is_valid

    def record(
        self, address: str, epoch: int, term: int, until_s: float, now_s: float
    ) -> Iterable[Change]:
        """Records that an instance supports this one.

        Args:
          address: Feed address of the supporter.
          epoch: Random number of its process.
          term: Its term, see `caps.Support`.
          until_s: End of the lease.
          now_s: Current time.
        """
        share = self._shares.get(address)
        if share is not None and (share.epoch, share.term) != (epoch, term):
            yield from self.remove(address, now_s)
            share = None
        if until_s <= now_s:
            return
        if share is None:
            has_left = self._removed.pop(address, None) != (epoch, term)
            kind = "added" if has_left else "returned"
            yield Change(now_s, address, kind)
            self._shares[address] = _Share(epoch, term, until_s)
            self._valid_count += 1
            return
        share.until_s = max(share.until_s, until_s)
        if not share.is_valid:
            yield Change(now_s, address, "regained")
            share.is_valid = True
            self._valid_count += 1


@dataclasses.dataclass
class _Account:
    """Tokens of one workspace at one instance.

    Attributes:
      epoch: Random number of the holder's process.
      granted_count: Tokens granted so far and not credited back.
      used_count: Tokens used so far.
      expires_s: Time after which no token can be used.
    """

    epoch: int
    granted_count: int = 0
    used_count: int = 0
    expires_s: float = 0.0

    def outstanding(self, now_s: float) -> int:
        if self.expires_s <= now_s:
            return 0
        return self.granted_count - self.used_count


class Bucket:
    """Tokens of one workspace at its owner.

    Attributes:
      limits: Limits of the workspace.
      used_per_s: Smoothed rate of the requests of all holders.
    """

    def __init__(self, limits: bounds.Limits, now_s: float) -> None:
        self.limits = limits
        self._tokens = 0.0
        self._capacity = 0.0
        self._updated_s = now_s
        self._frozen: dict[str, float] = {}
        self._accounts: dict[str, _Account] = {}
        self.used_per_s = 0.0
        self._used_updated_s = now_s

    def tokens(self) -> float:
        """Returns the tokens that may be granted, as of the last update."""
        return self._tokens

    def refill(self, now_s: float, share: float) -> None:
        """Adds the tokens of the time since the last update.

        Args:
          now_s: Current time.
          share: Share of the instances that support this owner.
        """
        elapsed_s = min(REFILL_MAX_S, max(0.0, now_s - self._updated_s))
        self._updated_s = max(now_s, self._updated_s)
        self._capacity = share * self.limits.capacity_count
        room = self._capacity - self._outstanding(now_s)
        added = elapsed_s * self.limits.rate_for(share)
        self._tokens = max(0.0, min(self._tokens + added, room))

    def _outstanding(self, now_s: float) -> int:
        return sum(a.outstanding(now_s) for a in self._accounts.values())

    def apply(self, change: Change, valid_count: int, all_count: int) -> None:
        """Applies a change of the supporters; see `Change`.

        The tokens of a supporter whose lease has expired are set aside and
        restored if it has not supported another owner meanwhile. Otherwise each
        delay of a message would empty the bucket of a small workspace, which
        takes long to fill.

        Args:
          change: The change. The bucket was refilled up to its time.
          valid_count: Number of valid supporters before the change.
          all_count: Number of registered instances.
        """
        if change.kind == "lost":
            part = self._tokens / max(1, valid_count)
            self._frozen[change.address] = part
            self._tokens -= part
        elif change.kind == "regained":
            self._tokens += self._frozen.pop(change.address, 0.0)
        elif change.kind == "removed":
            if self._frozen.pop(change.address, None) is None:
                self._tokens -= self._tokens / max(1, valid_count)
        elif change.kind == "added":
            self._tokens += self.limits.initial_count / max(1, all_count)

    def settle(
        self, address: str, epoch: int, used: int, held: int, now_s: float
    ) -> None:
        """Updates the account of a holder by what it has stated.

        Tokens that were granted and are neither used nor held can no longer be
        used: the holder has discarded them or will ignore the reply that
        carried them. They are credited unless they have expired, since the
        bucket has been refilled in place of expired ones.

        Args:
          address: Feed address of the holder.
          epoch: Random number of its process.
          used: Tokens that it has used so far.
          held: Tokens that it still holds.
          now_s: Current time.
        """
        account = self._accounts.get(address)
        if account is None or account.epoch != epoch:
            # The tokens of an earlier process are lost with it.
            account = self._accounts[address] = _Account(epoch)
            account.granted_count = used + held
            account.used_count = used
            account.expires_s = now_s + bounds.TOKEN_LIFETIME_S
        new_used = used - account.used_count
        lost = account.granted_count - used - held
        if new_used < 0:
            # The holder has dropped its count, so nothing is known of the
            # tokens that it does not state.
            new_used = lost = 0
        self._count_use(new_used, now_s)
        account.used_count = used
        account.granted_count = used + held
        if lost > 0 and account.expires_s > now_s:
            self._tokens += lost

    def retain(self, addresses: frozenset[str], now_s: float) -> None:
        """Drops expired accounts of instances that are not registered."""
        for address in self._accounts.keys() - addresses:
            if self._accounts[address].expires_s <= now_s:
                del self._accounts[address]

    def grant(
        self,
        address: str,
        needed: int,
        spare: int,
        reserve: float,
        now_s: float,
    ) -> tuple[int, bool]:
        """Grants tokens to a holder whose account is settled.

        The tokens that it holds are renewed, unless more are unused than this
        owner may grant, because supporters have left it.

        Args:
          address: Feed address of the holder.
          needed: Tokens for requests that wait.
          spare: Tokens for requests that are expected.
          reserve: Tokens that are kept for requests that wait.
          now_s: Current time. The bucket is up to date.

        Returns:
          The number of granted tokens, and whether the others are renewed.
        """
        account = self._accounts[address]
        if self._outstanding(now_s) > self._capacity:
            return 0, False
        count = min(needed, int(self._tokens))
        if count == needed:
            count += max(0, min(spare, int(self._tokens - count - reserve)))
        self._tokens -= count
        account.granted_count += count
        account.expires_s = (
            now_s + bounds.TOKEN_LIFETIME_S + bounds.CLOCK_MARGIN_S
        )
        return count, True

    def _count_use(self, count: int, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._used_updated_s)
        self._used_updated_s = max(now_s, self._used_updated_s)
        decay: float = 0.5 ** (elapsed_s / USE_HALF_LIFE_S)
        # The increment makes the value converge to the rate of the use.
        self.used_per_s = decay * self.used_per_s + count * _USE_WEIGHT

    def current_use_per_s(self, now_s: float) -> float:
        """Returns the smoothed rate of the use at a time."""
        elapsed_s = max(0.0, now_s - self._used_updated_s)
        decay: float = 0.5 ** (elapsed_s / USE_HALF_LIFE_S)
        return self.used_per_s * decay


# Half-life of the measured use, long enough for a workspace with one request in
# several seconds.
USE_HALF_LIFE_S = 5.0
_USE_WEIGHT = 0.6931 / USE_HALF_LIFE_S


class Group:
    """An owner's state for one group of workspaces."""

    def __init__(self) -> None:
        self._shares = Shares()
        self.buckets: dict[str, Bucket] = {}
        self._member_count = 1
        self._refilled_s = float("-inf")

    def set_limits(
        self, limits: Mapping[str, bounds.Limits], now_s: float
    ) -> None:
        """Sets the workspaces of the group and their limits."""
        self.update(now_s)
        for name in self.buckets.keys() - limits.keys():
            del self.buckets[name]
        for name, new in limits.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                bucket = self.buckets[name] = Bucket(new, now_s)
                for _ in range(self._shares.valid_count):
                    added = Change(now_s, "", "added")
                    bucket.apply(added, 0, self._member_count)
            bucket.limits = new
        self.update(now_s)

    def set_members(
        self, addresses: frozenset[str], member_count: int, now_s: float
    ) -> None:
        """Sets the registered instances and their number as known anywhere."""
        self.update(now_s)
        self._member_count = max(1, member_count, len(addresses))
        for change in self._shares.retain(addresses, now_s):
            self._apply(change)
        for bucket in self.buckets.values():
            bucket.retain(addresses, now_s)
        self.update(now_s)

    @property
    def share(self) -> float:
        """Share of the registered instances that support this owner."""
        return min(1.0, self._shares.valid_count / self._member_count)

    def update(self, now_s: float) -> None:
        """Brings leases and buckets up to date."""
        self._expire(now_s)
        self._refill(now_s)

    def _expire(self, now_s: float) -> None:
        for change in self._shares.expire(now_s):
            self._refill(change.at_s)
            self._apply(change)

    def support(
        self, address: str, epoch: int, term: int, until_s: float, now_s: float
    ) -> None:
        """Records a supporter; see `Shares.record`."""
        self._expire(now_s)
        # Buckets only need to be up to date when the share changes.
        is_renewal = self._shares.is_valid(address, epoch, term)
        if not is_renewal:
            self._refill(now_s)
        changes = self._shares.record(address, epoch, term, until_s, now_s)
        for change in changes:
            self._apply(change)
        if not is_renewal or now_s - self._refilled_s >= REFILL_PERIOD_S:
            self._refill(now_s)

    def withdraw(self, address: str, now_s: float) -> None:
        """Removes a supporter, if it is one."""
        if address not in self._shares:
            return
        self.update(now_s)
        for change in self._shares.remove(address, now_s):
            self._apply(change)
        self._refill(now_s)

    def _refill(self, now_s: float) -> None:
        self._refilled_s = now_s
        for bucket in self.buckets.values():
            bucket.refill(now_s, self.share)

    def _apply(self, change: Change) -> None:
        for bucket in self.buckets.values():
            bucket.apply(change, self._shares.valid_count, self._member_count)
