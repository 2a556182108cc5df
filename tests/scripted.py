"""Fake dispatcher for tests, with targets that give scripted replies."""

import asyncio
import dataclasses
import time
from typing import Any

import msgspec

from lycheerock._internal.dispatch import work as work_lib
from lycheerock_bench import history
from lycheerock_model import bundle as bundle_lib

Status = work_lib.Status


@dataclasses.dataclass
class Replica:
    """Scripted behavior of one target.

    Attributes:
      held_versions: Index versions that the target holds, by shard map version.
      mode: "ok", "no_reply", "not_json" for a body that is not JSON, or the
        reply status or dispatch status to return.
      failures_left: Number of requests until `mode` becomes "ok", or -1 if it
        never does.
      overrides: Fields that replace those of the reply.
    """

    held_versions: dict[int, tuple[int, ...]] = dataclasses.field(
        default_factory=lambda: {1: (1,)}
    )
    mode: str = "ok"
    failures_left: int = -1
    overrides: dict[str, Any] = dataclasses.field(default_factory=dict)


class Targets:
    """Fake dispatcher that gives scripted replies and records requests.

    Attributes:
      replicas: Scripted behavior by target id.
      sent: Target id and decoded body of each request.
      runs: Executed bookings.
      futures: Result of each request.
    """

    def __init__(self, replicas: dict[str, Replica]):
        self.replicas = replicas
        self.sent: list[tuple[str, dict[str, Any]]] = []
        self.runs: list[history.Run] = []
        self.futures: list[asyncio.Future[work_lib.TargetResult]] = []

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        future = asyncio.get_running_loop().create_future()
        self.futures.append(future)
        body = msgspec.json.decode(work.body)
        self.sent.append((work.target_id, body))
        replica = self.replicas[work.target_id]
        if "payload" in body and replica.mode in ("ok", "lost", "no_reply"):
            # The booking takes effect even if its reply is lost.
            run = history.Run(body["request_key"], time.monotonic())
            self.runs.append(run)
        if replica.failures_left == 0:
            replica.mode = "ok"
        replica.failures_left -= 1
        if replica.mode != "no_reply":
            future.set_result(self._result(replica, body))
        return future

    def _result(
        self, replica: Replica, body: dict[str, Any]
    ) -> work_lib.TargetResult:
        if replica.mode in set(Status):
            return work_lib.TargetResult(Status(replica.mode))
        if replica.mode == "not_json":
            return work_lib.TargetResult(Status.REPLIED, b"<html>")
        reply: dict[str, Any] = {
            "attempt_id": body["attempt_id"],
            "status": replica.mode,
            "target_epoch": 1,
            "state_sequence": 2 if replica.mode == "draining" else 1,
        }
        if "payload" in body:
            reply["status"] = "done" if replica.mode == "ok" else replica.mode
            reply["result"] = {"request_key": body["request_key"]}
        elif replica.mode == "ok":
            reply |= _shard_reply(replica, body)
        reply |= replica.overrides
        return work_lib.TargetResult(Status.REPLIED, msgspec.json.encode(reply))


def _shard_reply(replica: Replica, body: dict[str, Any]) -> dict[str, Any]:
    map_version = body["shard_map_version"]
    held = replica.held_versions.get(map_version, ())
    version = body["index_version"] or max(held, default=0)
    status = "ok" if version in held else "version_missing"
    location = {"shard": body["shard"], "shard_map_version": map_version}
    rows = [location | {"index_version": version, "query": body["query"]}]
    return location | {
        "status": status if held else "map_missing",
        "index_version": version,
        "held_versions": held,
        "rows": rows if status == "ok" else [],
    }


def build_service(
    shards_by_map: dict[int, list[list[str]]], **settings: Any
) -> bundle_lib.Service:
    """Builds a service.

    Args:
      shards_by_map: Target ids of each shard, by shard map version.
      **settings: Other fields of the service.
    """
    maps = tuple(
        bundle_lib.ShardMap(
            version,
            tuple(
                bundle_lib.Shard(f"m{version}s{index}", tuple(ids))
                for index, ids in enumerate(shards)
            ),
        )
        for version, shards in shards_by_map.items()
    )
    ids = sorted({t for m in maps for s in m.shards for t in s.target_ids})
    targets = tuple(
        bundle_lib.Target(t, f"127.0.0.1:{n + 1}", "r", "z", 3, 30)
        for n, t in enumerate(ids)
    )
    weighs = settings.pop("weighs", bundle_lib.Priority.LATENCY)
    return bundle_lib.Service("svc", weighs, targets, maps, **settings)
