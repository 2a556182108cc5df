"""Tokens and demand of one workspace at one instance."""

import dataclasses
import math

# Time constants of the two estimates of the demand. The greater one is used:
# the fast one follows a rise, the slow one bridges the gaps between requests.
FAST_S = 0.5
SLOW_S = 5.0

# Time for which spare tokens should last: a round trip between regions and the
# pause between two asks, with a reserve.
SPARE_S = 0.15
SPARE_MAX = 16

# Time for which spare tokens should last while an instance changes to an owner
# that cannot grant tokens yet.
CHANGE_SPARE_S = 1.2
CHANGE_SPARE_MAX = 64

# Time after the last request for which one spare token is held.
IDLE_S = 15.0


class Demand:
    """Estimate of the requests per second of one workspace."""

    def __init__(self) -> None:
        self._fast = 0.0
        self._slow = 0.0
        self.last_s = float("-inf")

    def record(self, now_s: float) -> None:
        """Records a request."""
        elapsed_s = max(0.0, now_s - self.last_s)
        self._fast = self._fast * math.exp(-elapsed_s / FAST_S) + 1.0 / FAST_S
        self._slow = self._slow * math.exp(-elapsed_s / SLOW_S) + 1.0 / SLOW_S
        self.last_s = now_s

    def per_s(self, now_s: float) -> float:
        """Returns the estimate at a time."""
        elapsed_s = max(0.0, now_s - self.last_s)
        return max(
            self._fast * math.exp(-elapsed_s / FAST_S),
            self._slow * math.exp(-elapsed_s / SLOW_S),
        )

    def spare_count(self, now_s: float, *, is_changing: bool = False) -> int:
        """Returns the number of spare tokens to hold.

        Args:
          now_s: Current time.
          is_changing: Whether the instance is about to follow another owner.
        """
        if now_s - self.last_s > IDLE_S:
            return 0
        if is_changing:
            needed = math.ceil(self.per_s(now_s) * CHANGE_SPARE_S)
            return min(CHANGE_SPARE_MAX, max(1, needed))
        needed = math.ceil(self.per_s(now_s) * SPARE_S)
        return min(SPARE_MAX, max(1, needed))


@dataclasses.dataclass
class Lot:
    """Tokens granted by one process of one owner.

    Attributes:
      owner: Feed address of the owner.
      epoch: Random number of its process.
      count: Unused tokens.
      used_count: Tokens used so far.
      expires_s: Time after which the unused tokens are void.
      report_count: Number of reports of `used_count` to the owner.
    """

    owner: str
    epoch: int
    count: int = 0
    used_count: int = 0
    expires_s: float = 0.0
    report_count: int = 0

    def held(self, now_s: float) -> int:
        """Returns the number of unused, valid tokens; drops expired ones."""
        if now_s >= self.expires_s:
            self.count = 0
        return self.count


@dataclasses.dataclass(frozen=True)
class Token:
    """A used token, which can be given back if its request did not run.

    Attributes:
      workspace: Name of the workspace.
      lot: The lot from which it was taken.
      report_count: `Lot.report_count` when it was taken.
    """

    workspace: str
    lot: Lot
    report_count: int


class Holding:
    """Tokens and demand of one workspace at this instance.

    Attributes:
      waiting_count: Requests that wait for a token.
      refused_until_s: Time before which no tokens are expected.
      used_per_s: Requests per second over all instances, as the owner stated.
      used_known_s: Time of that statement.
      refused_counts: Requests refused by reason.
    """

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.demand = Demand()
        self.waiting_count = 0
        self.refused_until_s = 0.0
        self.used_per_s = 0.0
        self.used_known_s = float("-inf")
        self.admitted_count = 0
        self.refused_counts: dict[str, int] = {}
        self._lots: list[Lot] = []

    def lot(self, owner: str, epoch: int) -> Lot:
        """Returns the lot of an owner's process, which may be empty."""
        for lot in self._lots:
            if (lot.owner, lot.epoch) == (owner, epoch):
                return lot
        lot = Lot(owner, epoch)
        # Only the tokens of the previous owner can still be valid.
        self._lots = [*self._lots[-1:], lot]
        return lot

    def held(self, now_s: float) -> int:
        """Returns the number of valid tokens of all lots."""
        return sum(lot.held(now_s) for lot in self._lots)

    def take(self, now_s: float) -> Token | None:
        """Takes the token that expires first, or returns None."""
        valid = [lot for lot in self._lots if lot.held(now_s) > 0]
        if not valid:
            return None
        lot = min(valid, key=lambda lot: lot.expires_s)
        lot.count -= 1
        lot.used_count += 1
        self.admitted_count += 1
        return Token(self.workspace, lot, lot.report_count)

    def give_back(self, token: Token, now_s: float) -> None:
        """Takes back a token whose request has not run and never will.

        It cannot be used again once its use was reported, since the owner may
        have replaced it.

        Args:
          token: A token that `take` has returned, at most once.
          now_s: Current time.
        """
        is_unreported = token.report_count == token.lot.report_count
        if is_unreported and now_s < token.lot.expires_s:
            token.lot.count += 1
            token.lot.used_count -= 1
