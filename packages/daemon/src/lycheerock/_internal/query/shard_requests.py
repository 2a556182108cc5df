"""Encodes the shard requests of one search."""

from typing import Any

import msgspec

from lycheerock_model import answers


class Encoder:
    """Encodes shard requests and reuses the encoded query.

    The query is encoded once per search, and the part of the body that all
    requests for a snapshot share is encoded when the snapshot changes.
    """

    def __init__(self, service_name: str, query: Any):
        self._service = msgspec.json.encode(service_name)
        self._query = msgspec.json.encode(query)
        self._snapshot: answers.Snapshot | None = None
        self._prefix = b""

    def encode(
        self, snapshot: answers.Snapshot, shard_id: str, attempt_id: str
    ) -> bytes:
        """Returns the request body for `POST /v1/shard`.

        Args:
          snapshot: Requested snapshot.
          shard_id: Shard id, without characters that JSON escapes.
          attempt_id: Attempt id, without characters that JSON escapes.
        """
        if snapshot is not self._snapshot:
            self._snapshot = snapshot
            self._prefix = self._encode_prefix(snapshot)
        return b'%b"%b","attempt_id":"%b"}' % (
            self._prefix,
            shard_id.encode(),
            attempt_id.encode(),
        )

    def _encode_prefix(self, snapshot: answers.Snapshot) -> bytes:
        return (
            b'{"service":%b,"query":%b,"shard_map_version":%d,'
            b'"index_version":%d,"shard":'
        ) % (
            self._service,
            self._query,
            snapshot.shard_map_version,
            snapshot.index_version,
        )
