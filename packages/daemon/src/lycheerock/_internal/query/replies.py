"""Reply of a target to one shard request, and its decoding."""

import msgspec

from lycheerock._internal.query import versions
from lycheerock_model import answers

_OK = "ok"
_MISSING = frozenset({"version_missing", "map_missing"})
_OTHER = frozenset({"shed", "draining", "error"})


class ShardReply(msgspec.Struct, frozen=True, gc=False):
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
      rows: Results of the shard, as the JSON text that the target sent.
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
    rows: tuple[msgspec.Raw, ...] = ()

    @property
    def snapshot(self) -> answers.Snapshot:
        """Snapshot that the rows belong to."""
        return answers.Snapshot(self.shard_map_version, self.index_version)


_DECODER = msgspec.json.Decoder(ShardReply)


def decode(
    body: bytes, attempt_id: str, shard_id: str, snapshot: answers.Snapshot
) -> ShardReply | None:
    """Decodes a reply.

    Args:
      body: JSON text.
      attempt_id: Attempt that the reply must echo.
      shard_id: Shard that was asked.
      snapshot: Snapshot that was asked for.

    Returns:
      The reply, or None if it is malformed or answers something else.
    """
    try:
        # Rows are passed on as text, so that nothing else checks their UTF-8.
        if not body.isascii():
            body.decode()
        reply = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if reply.attempt_id != attempt_id:
        return None
    if len(reply.held_versions) > versions.HELD_VERSIONS_MAX:
        newest = sorted(reply.held_versions)[-versions.HELD_VERSIONS_MAX :]
        reply = msgspec.structs.replace(reply, held_versions=tuple(newest))
    if reply.status in _OTHER:
        return reply
    return reply if _is_as_asked(reply, shard_id, snapshot) else None


def _is_as_asked(
    reply: ShardReply, shard_id: str, snapshot: answers.Snapshot
) -> bool:
    if reply.shard != shard_id:
        return False
    if reply.shard_map_version != snapshot.shard_map_version:
        return False
    if any(version <= versions.NEWEST for version in reply.held_versions):
        return False
    if reply.status in _MISSING:
        return True
    if reply.status != _OK or reply.index_version <= versions.NEWEST:
        return False
    wanted = snapshot.index_version
    return wanted in (versions.NEWEST, reply.index_version)
