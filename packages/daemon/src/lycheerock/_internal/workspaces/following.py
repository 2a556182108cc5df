"""The owner that this instance follows for one group of workspaces."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from lycheerock._internal.workspaces import bounds

# Time for which a preferred owner must have been reachable before an instance
# leaves a working one for it.
STABLE_S = 3.0


@dataclasses.dataclass
class Following:
    """State of one instance towards the owners of one group.

    An instance supports an owner only while no earlier owner can still count it
    or have valid tokens in use that were granted by its share. Until then it
    already asks the new owner for tokens, which that one can grant by the
    shares of others.

    Attributes:
      owner: Feed address of the owner, or None.
      term: Number that increases with each change of the owner.
      owner_epoch: Random number of the owner's process, 0 if not known.
      is_withdrawing: Whether support is to be withdrawn before a change.
      has_supported: Whether support was sent in this term.
      free_s: Time from which the instance may support its present owner.
      supported_s: Time at which support was last sent.
      followed_s: Time at which the present owner was adopted.
    """

    free_s: float
    owner: str | None = None
    term: int = 0
    owner_epoch: int = 0
    is_withdrawing: bool = False
    has_supported: bool = False
    supported_s: float = float("-inf")
    followed_s: float = float("-inf")

    def choose(
        self,
        ranked: Sequence[str],
        is_reachable: Callable[[str], bool],
        is_stable: Callable[[str], bool],
        now_s: float,
    ) -> None:
        """Changes the owner or begins to, if the present one is not the best.

        Args:
          ranked: All instances that can be owner, the best first.
          is_reachable: Whether an instance can be reached.
          is_stable: Whether it has been reachable for STABLE_S.
          now_s: Current time.
        """
        if self.owner is not None and is_reachable(self.owner):
            self._choose_better(ranked, is_stable, now_s)
            return
        if self.owner is not None and now_s < self._released_s:
            return
        best = next((a for a in ranked if is_reachable(a)), None)
        if best is not None and best != self.owner:
            self._adopt(
                best,
                max(self.free_s, self._released_s + bounds.TOKEN_LIFETIME_S),
                now_s,
            )

    @property
    def _released_s(self) -> float:
        """Time from which no owner counts this instance any longer."""
        return self.supported_s + bounds.LEASE_S + bounds.CLOCK_MARGIN_S

    def _choose_better(
        self,
        ranked: Sequence[str],
        is_stable: Callable[[str], bool],
        now_s: float,
    ) -> None:
        if self.owner not in ranked:
            # It is about to stop, but still replies.
            self.is_withdrawing = True
            return
        best = next(
            (a for a in ranked if a == self.owner or is_stable(a)), None
        )
        if (
            best != self.owner
            and now_s - self.followed_s >= bounds.FOLLOW_MIN_S
        ):
            self.is_withdrawing = True

    def may_support(self, now_s: float) -> bool:
        """Returns whether the next ask to the owner states support."""
        return (
            self.owner is not None
            and not self.is_withdrawing
            and now_s >= self.free_s
        )

    def is_support_due(self, now_s: float) -> bool:
        """Returns whether the owner can be supported for the first time."""
        return self.may_support(now_s) and not self.has_supported

    def record_support_sent(self, now_s: float) -> None:
        """Records that an ask that states support was sent to the owner."""
        self.supported_s = now_s
        self.has_supported = True

    def record_withdrawn(self, best: str | None, now_s: float) -> None:
        """Changes to another owner after the present one has dropped support.

        Args:
          best: The owner to follow, or None for the present one.
          now_s: Time at which the reply of the present owner arrived.
        """
        if not self.is_withdrawing or self.owner is None:
            return
        free_s = now_s + bounds.TOKEN_LIFETIME_S + bounds.CLOCK_MARGIN_S
        self.supported_s = float("-inf")
        self._adopt(best or self.owner, max(self.free_s, free_s), now_s)

    def record_epoch(self, epoch: int, now_s: float) -> None:
        """Records the process of the owner, as stated in a reply.

        A restarted owner has lost its state. Its earlier process counts nobody,
        but tokens that it granted may be in use.

        Args:
          epoch: Random number of the owner's process.
          now_s: Current time.
        """
        if epoch == self.owner_epoch:
            return
        if self.owner_epoch != 0:
            self.term += 1
            self.has_supported = False
            free_s = now_s + bounds.TOKEN_LIFETIME_S + bounds.CLOCK_MARGIN_S
            self.free_s = max(self.free_s, free_s)
        self.owner_epoch = epoch

    def _adopt(self, owner: str, free_s: float, now_s: float) -> None:
        self.owner = owner
        self.owner_epoch = 0
        self.term += 1
        self.has_supported = False
        self.is_withdrawing = False
        self.followed_s = now_s
        self.free_s = free_s
