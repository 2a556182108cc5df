"""Commands that drain, set log levels and look up requests."""

from collections.abc import Mapping
from typing import Any
import urllib.parse

from lycheectl._internal import client as client_lib
from lycheectl._internal import fleet
from lycheectl._internal import output


async def drain_instance(
    client: client_lib.Client, instance_id: str
) -> output.Report:
    """Starts a graceful shutdown of an instance."""
    reply = await client.call(instance_id, "POST", "/ops/drain")
    values, errors = fleet.split({instance_id: reply})
    if errors:
        return output.Report(None, (), errors, output.EXIT_FAILURE)
    already_draining = values[instance_id]["already_draining"]
    text = (
        "is already draining"
        if already_draining
        else "is draining and then stops"
    )
    return output.Report(values[instance_id], (f"{instance_id} {text}",))


async def drain_target(
    client: client_lib.Client, target_id: str
) -> output.Report:
    """Marks a target as leaving on every instance that replies.

    Gossip propagates the mark to the other instances, so the command succeeds
    if one call does. Failed calls are still reported as errors.
    """
    path = f"/ops/targets/{_quote_segment(target_id)}/drain"
    values, errors = fleet.split(await client.call_all("POST", path))
    if not values:
        return output.Report(None, (), errors, output.EXIT_FAILURE)
    marked_on = ", ".join(values)
    lines = (
        f"{target_id} is marked as leaving on {marked_on}",
        "the mark is cleared when the target restarts",
    )
    value = {"target_id": target_id, "marked_on": sorted(values)}
    return output.Report(value, lines, errors)


async def log_level(
    client: client_lib.Client, instance_id: str | None, level: str | None
) -> output.Report:
    """Shows or changes the log level of one instance or of all."""
    method = "GET" if level is None else "POST"
    body = None if level is None else {"level": level}
    if instance_id is None:
        replies = await client.call_all(method, "/ops/log-level", body)
    else:
        replies = {
            instance_id: await client.call(
                instance_id, method, "/ops/log-level", body
            )
        }
    values, errors = fleet.split(replies)
    rows = [(i, value["level"]) for i, value in values.items()]
    lines = output.table(("INSTANCE", "LOG LEVEL"), rows) if rows else ()
    return output.Report(dict(rows), lines, errors, _exit_code(errors))


def _exit_code(errors: Mapping[str, object]) -> int:
    """Returns failure if any call failed."""
    return output.EXIT_FAILURE if errors else output.EXIT_SUCCESS


async def why(client: client_lib.Client, request_id: str) -> output.Report:
    """Shows the record of a request.

    A request id starts with the id of the instance that served the request.
    That instance is queried if it is configured, else all instances are.
    """
    path = f"/ops/requests/{_quote_segment(request_id)}"
    served_by = request_id.partition(".")[0]
    if served_by in client.config.instances:
        replies = {served_by: await client.call(served_by, "GET", path)}
    else:
        replies = dict(await client.call_all("GET", path))
    values, errors = fleet.split(replies)
    if not values:
        return output.Report(None, (), errors, output.EXIT_FAILURE)
    instance_id, value = next(iter(values.items()))
    lines = _record_lines(instance_id, value["request"])
    return output.Report({"instance_id": instance_id, **value}, lines)


_ATTEMPT_HEADERS = (
    "ATTEMPT", "KIND", "SHARD", "TARGET", "START MS", "TOOK MS", "STATUS",
)  # fmt: skip


def _record_lines(instance_id: str, record: dict[str, Any]) -> list[str]:
    scalars = {
        key: value
        for key, value in record.items()
        if not isinstance(value, list) and value not in ("", None)
    }
    lines = [f"[{instance_id}]", *fleet.flat_lines(scalars)]
    lines.append(f"covered = {len(record['covered'])} shards")
    for lacking in record["lacking"]:
        lines.append(f"lacking = {lacking['shard']} ({lacking['reason']})")
    rows = [
        (
            index,
            attempt["kind"],
            attempt["shard"],
            attempt["target_id"],
            attempt["start_offset_s"] * 1000,
            attempt["elapsed_s"] * 1000,
            attempt["status"],
        )
        for index, attempt in enumerate(record["attempts"], start=1)
    ]
    return [*lines, *(output.table(_ATTEMPT_HEADERS, rows) if rows else ())]


def _quote_segment(segment: str) -> str:
    return urllib.parse.quote(segment, safe="")
