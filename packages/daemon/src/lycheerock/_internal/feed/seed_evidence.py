"""Evidence that the state of a seed is not older than the instances' own."""

from collections.abc import Sequence
import dataclasses

from lycheerock_protocol import feed

# Maximum age of a seed's last confirmation with which its state counts as
# current. Every version must be in force on all instances within this time, so
# a state that is confirmed later contains all versions that may be relied on.
CONFIRMED_AGE_MAX_MS = 5_000.0


@dataclasses.dataclass(frozen=True)
class SeedReply:
    """What one seed has replied.

    Attributes:
      is_heard: Whether it replied at all, even by refusing the connection. A
        silent seed may be running behind a partition and know a newer state.
      messages: One snapshot of each kind, or none.
    """

    is_heard: bool = False
    messages: tuple[feed.Message, ...] = ()


def is_proved(kind: str, replies: Sequence[SeedReply], seed_count: int) -> bool:
    """Returns whether the newest snapshot of a kind may be relied on.

    It may if one seed reads the store at present: then the newest snapshot is
    at least as new as that one. Otherwise more than half of the seeds must have
    replied. A version that was in force on most of them, such as the one that
    withdrew a key, is then known to one of those, unless it has restarted as
    well since the store was lost.

    Args:
      kind: Kind of the objects.
      replies: Replies of the seeds.
      seed_count: Number of all seeds.
    """
    is_confirmed = any(
        message.kind == kind
        and message.confirmed_age_ms is not None
        and message.confirmed_age_ms <= CONFIRMED_AGE_MAX_MS
        for reply in replies
        for message in reply.messages
    )
    heard_count = sum(reply.is_heard for reply in replies)
    return is_confirmed or 2 * heard_count > seed_count
