"""Encodes the shard requests of one search."""

from typing import Any

import msgspec

from lycheerock_model import answers


class Encoder:
    """Encodes the query once and each request with constant work."""

    def __init__(self, service_name: str, query: Any):
        self._service = msgspec.json.encode(service_name)
        self._query = msgspec.json.encode(query)
        self._snapshot: answers.Snapshot | None = None
        self._head = b""

    def encode(
        self, snapshot: answers.Snapshot, shard_id: str, attempt_id: str
    ) -> bytes:
        """Returns the body of `POST /v1/shard`.

        Args:
          snapshot: Snapshot to ask for.
          shard_id: Shard id, of a form that JSON need not escape.
          attempt_id: Attempt id, of a form that JSON need not escape.
        """
        if snapshot is not self._snapshot:
            self._snapshot = snapshot
            self._head = self._encode_head(snapshot)
        return b'%b"%b","attempt_id":"%b"}' % (
            self._head,
            shard_id.encode(),
            attempt_id.encode(),
        )

    def _encode_head(self, snapshot: answers.Snapshot) -> bytes:
        return (
            b'{"service":%b,"query":%b,"shard_map_version":%d,'
            b'"index_version":%d,"shard":'
        ) % (
            self._service,
            self._query,
            snapshot.shard_map_version,
            snapshot.index_version,
        )
