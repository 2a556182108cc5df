"""Reply of a target to one shard request, and its decoding."""

import dataclasses
from typing import Any

import msgspec

from lycheerock_model import answers


@dataclasses.dataclass(frozen=True)
class HeldVersion:
    """A snapshot that a target holds of a shard."""

    shard_map_version: int
    index_version: int


@dataclasses.dataclass(frozen=True)
class ShardReply:
    """Reply body of `POST /v1/shard`.

    Attributes:
      status: One of ok, version_missing, map_missing, shed, draining, error.
      attempt_id: Echo of the request's attempt id.
      shard: The shard.
      shard_map_version: Shard map of the rows.
      index_version: Index version of the rows.
      held_versions: Index versions that the target holds on that shard map.
      target_state: serving or draining.
      target_epoch: Start of the target process; higher after a restart.
      state_sequence: Counts changes of target_state within an epoch.
      retry_after_ms: Time to wait after shed.
      rows: Results of the shard.
    """

    status: str
    attempt_id: str
    shard: str = ""
    shard_map_version: int = 0
    index_version: int = 0
    held_versions: tuple[int, ...] = ()
    target_state: str = "serving"
    target_epoch: int = 0
    state_sequence: int = 0
    retry_after_ms: int = 0
    rows: tuple[Any, ...] = ()

    @property
    def snapshot(self) -> answers.Snapshot:
        """Snapshot that the rows belong to."""
        return answers.Snapshot(self.shard_map_version, self.index_version)


_DECODER = msgspec.json.Decoder(ShardReply)


def decode(body: bytes, attempt_id: str) -> ShardReply | None:
    """Decodes a reply.

    Args:
      body: JSON text.
      attempt_id: Attempt that the reply must echo.

    Returns:
      The reply, or None if it is malformed or answers another attempt.
    """
    try:
        reply = _DECODER.decode(body)
    except msgspec.DecodeError:
        return None
    return reply if reply.attempt_id == attempt_id else None
