"""Decodes the replies of targets to shard requests."""

import msgspec

from lycheerock._internal.query import versions
from lycheerock_model import answers

_STATUS_OK = "ok"
_MISSING_STATUSES = frozenset({"version_missing", "map_missing"})
_STATUSES_WITHOUT_SHARD = frozenset({"shed", "draining", "error"})


class ShardReply(msgspec.Struct, frozen=True, gc=False):
    """Response body of `POST /v1/shard`.

    Attributes:
      status: One of ok, version_missing, map_missing, shed, draining, error.
      attempt_id: Attempt id of the request.
      shard: Shard id.
      shard_map_version: Shard map version of the rows.
      index_version: Index version of the rows.
      held_versions: Index versions that the target holds on that shard map.
      target_state: serving or draining.
      target_epoch: Epoch of the target process; higher after a restart.
      state_sequence: Grows with each change of target_state within an epoch.
      retry_after_ms: How long to wait before the next request to the target,
        if the request was refused.
      rows: Results of the shard, as raw JSON.
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
        """Snapshot of the rows."""
        return answers.Snapshot(self.shard_map_version, self.index_version)


_DECODER = msgspec.json.Decoder(ShardReply)


def decode(
    body: bytes, attempt_id: str, shard_id: str, snapshot: answers.Snapshot
) -> ShardReply | None:
    """Decodes and validates a reply.

    Args:
      body: JSON response body.
      attempt_id: Attempt id that the reply must contain.
      shard_id: Requested shard.
      snapshot: Requested snapshot.

    Returns:
      The reply, or None if it is malformed or does not match the request.
    """
    try:
        # Rows are passed on as raw JSON, whose encoding the decoder does not
        # check.
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
    if reply.status in _STATUSES_WITHOUT_SHARD:
        return reply
    return reply if _matches_request(reply, shard_id, snapshot) else None


def _matches_request(
    reply: ShardReply, shard_id: str, snapshot: answers.Snapshot
) -> bool:
    if reply.shard != shard_id:
        return False
    if reply.shard_map_version != snapshot.shard_map_version:
        return False
    if any(version <= versions.NEWEST for version in reply.held_versions):
        return False
    if reply.status in _MISSING_STATUSES:
        return True
    if reply.status != _STATUS_OK or reply.index_version <= versions.NEWEST:
        return False
    wanted = snapshot.index_version
    return wanted in (versions.NEWEST, reply.index_version)
