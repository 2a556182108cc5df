"""Commands that show the instances and their targets."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from returns import result

from lycheectl._internal import client as client_lib
from lycheectl._internal import output
from lycheerock_model import answers

_INSTANCE_HEADERS = (
    "INSTANCE", "REACHED", "REGION", "ZONE", "BUNDLE", "READY", "STOPPING",
    "SEEN BY OTHERS AS",
)  # fmt: skip
_TARGET_HEADERS = (
    "TARGET", "SERVICE", "ZONE", "OWNER", "STANDBY", "LEAVING", "MARKED BY",
    "IN FLIGHT", "CONNECTIONS", "WAITING",
)  # fmt: skip


def split(
    replies: Mapping[str, client_lib.Reply],
) -> tuple[dict[str, Any], dict[str, answers.ErrorBody]]:
    """Splits replies into values and errors, each by instance id."""
    values = {
        name: reply.unwrap()
        for name, reply in replies.items()
        if isinstance(reply, result.Success)
    }
    errors = {
        name: reply.failure()
        for name, reply in replies.items()
        if isinstance(reply, result.Failure)
    }
    return values, errors


async def instances(client: client_lib.Client) -> output.Report:
    """Shows every instance that is configured or reported by another one."""
    states, errors = split(await client.call_all("GET", "/ops/state"))
    seen = _seen_by_others(states)
    instance_ids = sorted({*client.config.instances, *seen})
    rows = [_instance_row(i, states.get(i), seen) for i in instance_ids]
    value = [dict(zip(_keys(_INSTANCE_HEADERS), r, strict=True)) for r in rows]
    lines = output.table(_INSTANCE_HEADERS, rows)
    return output.Report(value, lines, errors, _exit_code(states))


def _instance_row(
    instance_id: str, state: Mapping[str, Any] | None, seen: Mapping[str, str]
) -> tuple[object, ...]:
    if state is None:
        return (
            instance_id,
            False,
            None,
            None,
            None,
            None,
            None,
            seen.get(instance_id),
        )
    return (
        instance_id,
        True,
        state["region"],
        state["zone"],
        state["bundle_number"],
        state["ready"],
        state["stopping"],
        seen.get(instance_id),
    )


def _seen_by_others(states: Mapping[str, Any]) -> dict[str, str]:
    """Returns the states that other instances report, by instance id.

    An example of a value is `alive (2), suspect (1)`.
    """
    counts: dict[str, collections.Counter[str]] = {}
    for observer, state in states.items():
        for member in state["members"]:
            instance_id = member["instance_id"]
            if instance_id != observer:
                counter = counts.setdefault(instance_id, collections.Counter())
                counter[member["state"]] += 1
    return {
        instance_id: ", ".join(
            f"{state} ({count})" for state, count in sorted(counter.items())
        )
        for instance_id, counter in counts.items()
    }


async def targets(client: client_lib.Client) -> output.Report:
    """Shows every target with its owners and its load on all instances."""
    replies = await client.call_all("GET", "/ops/targets")
    values, errors = split(replies)
    views = collections.defaultdict[str, list[dict[str, Any]]](list)
    for value in values.values():
        for view in value["targets"]:
            views[view["target_id"]].append(view)
    rows = [_target_row(t, views[t]) for t in sorted(views)]
    value = [dict(zip(_keys(_TARGET_HEADERS), r, strict=True)) for r in rows]
    lines = output.table(_TARGET_HEADERS, rows)
    return output.Report(value, lines, errors, _exit_code(values))


def _target_row(
    target_id: str, views: list[dict[str, Any]]
) -> tuple[object, ...]:
    """Returns the table row of a target.

    Args:
      target_id: Id of the target.
      views: The target as reported by each instance; its owners are ranked,
        the owner first and the standby second.

    Returns:
      One value per column.
    """
    leaving = sum(view["leaving"] for view in views)
    marked_by = {view["marked_by"] for view in views if view["leaving"]}
    owners = [view.get("owners", []) for view in views]
    return (
        target_id,
        views[0]["service"],
        views[0]["zone"],
        _join_distinct(o[0] for o in owners if o),
        _join_distinct(o[1] for o in owners if len(o) > 1),
        f"{leaving} of {len(views)}" if leaving else "no",
        _join_distinct(marked_by),
        _sum(views, "in_flight"),
        _sum(views, "connections"),
        _sum(views, "waiting"),
    )


def _join_distinct(names: Iterable[str]) -> str | None:
    """Joins the distinct values reported by the instances, usually one."""
    return "/".join(sorted(set(names))) or None


def _sum(views: list[dict[str, Any]], key: str) -> int | None:
    """Sums a number over the views that have it; None if none has it."""
    numbers = [view[key] for view in views if key in view]
    return sum(numbers) if numbers else None


def _keys(headers: Iterable[str]) -> list[str]:
    """Returns the JSON keys for the headers of a table."""
    return [header.lower().replace(" ", "_") for header in headers]


def _exit_code(values: Mapping[str, Any]) -> int:
    """Returns success if at least one call succeeded."""
    return output.EXIT_SUCCESS if values else output.EXIT_FAILURE


async def dump(
    client: client_lib.Client, instance_id: str | None
) -> output.Report:
    """Shows the state dump of one instance or of all instances."""
    if instance_id is None:
        replies = await client.call_all("GET", "/ops/state")
    else:
        reply = await client.call(instance_id, "GET", "/ops/state")
        replies = {instance_id: reply}
    states, errors = split(replies)
    lines = []
    for replied_id, state in states.items():
        lines.append(f"[{replied_id}]")
        lines.extend(flat_lines(state))
    return output.Report(states, lines, errors, _exit_code(states))


def flat_lines(value: Any, prefix: str = "") -> list[str]:
    """Flattens a nested value into `dotted.path = value` lines."""
    if isinstance(value, dict):
        pairs = [(str(key), item) for key, item in value.items()]
    elif isinstance(value, list):
        pairs = [(str(index), item) for index, item in enumerate(value)]
    else:
        return [f"{prefix} = {value}"]
    lines = []
    for key, item in pairs:
        path = f"{prefix}.{key}" if prefix else key
        lines.extend(flat_lines(item, path))
    return lines
