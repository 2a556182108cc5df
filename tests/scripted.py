"""A dispatcher for tests: targets that answer at once from a script."""

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
    """What one target does.

    Attributes:
      held: Index versions by shard map version.
      mode: ok, never, or a status of a reply or of dispatch.
      failures: Requests after which `mode` turns to ok; -1 for never.
      change: Fields that replace those of the reply.
    """

    held: dict[int, tuple[int, ...]] = dataclasses.field(
        default_factory=lambda: {1: (1,)}
    )
    mode: str = "ok"
    failures: int = -1
    change: dict[str, Any] = dataclasses.field(default_factory=dict)


class Targets:
    """Implements `submit` over replicas and keeps a journal."""

    def __init__(self, replicas: dict[str, Replica]):
        self.replicas = replicas
        self.sent: list[tuple[str, dict[str, Any]]] = []
        self.runs: list[history.Run] = []
        self.futures: list[asyncio.Future[work_lib.Result]] = []

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        future = asyncio.get_running_loop().create_future()
        self.futures.append(future)
        body = msgspec.json.decode(work.body)
        self.sent.append((work.target_id, body))
        replica = self.replicas[work.target_id]
        if "payload" in body and replica.mode in ("ok", "lost", "no_reply"):
            # The effect comes before the reply, which may get lost.
            run = history.Run(body["request_key"], time.monotonic())
            self.runs.append(run)
        if replica.failures == 0:
            replica.mode = "ok"
        replica.failures -= 1
        if replica.mode != "no_reply":
            future.set_result(self._result(replica, body))
        return future

    def _result(
        self, replica: Replica, body: dict[str, Any]
    ) -> work_lib.Result:
        if replica.mode in set(Status):
            return work_lib.Result(Status(replica.mode))
        if replica.mode == "not_json":
            return work_lib.Result(Status.REPLIED, b"<html>")
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
        reply |= replica.change
        return work_lib.Result(Status.REPLIED, msgspec.json.encode(reply))


def _shard_reply(replica: Replica, body: dict[str, Any]) -> dict[str, Any]:
    map_version = body["shard_map_version"]
    held = replica.held.get(map_version, ())
    version = body["index_version"] or max(held, default=0)
    status = "ok" if version in held else "version_missing"
    place = {"shard": body["shard"], "shard_map_version": map_version}
    rows = [place | {"index_version": version, "query": body["query"]}]
    return place | {
        "status": status if held else "map_missing",
        "index_version": version,
        "held_versions": held,
        "rows": rows if status == "ok" else [],
    }


def build_service(
    replicas_of: dict[int, list[list[str]]], **settings: Any
) -> bundle_lib.Service:
    """Builds a service from the target ids of each shard of each map."""
    maps = tuple(
        bundle_lib.ShardMap(
            version,
            tuple(
                bundle_lib.Shard(f"m{version}s{index}", tuple(ids))
                for index, ids in enumerate(shards)
            ),
        )
        for version, shards in replicas_of.items()
    )
    ids = sorted({t for m in maps for s in m.shards for t in s.target_ids})
    targets = tuple(
        bundle_lib.Target(t, f"127.0.0.1:{n + 1}", "r", "z", 3, 30)
        for n, t in enumerate(ids)
    )
    weighs = settings.pop("weighs", bundle_lib.Weighs.LATENCY)
    return bundle_lib.Service("svc", weighs, targets, maps, **settings)
