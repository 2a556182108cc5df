"""Commands on bundles and rollouts."""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib
from typing import Any

import msgspec
from returns import result

from lycheectl._internal import client as client_lib
from lycheectl._internal import diff as diff_lib
from lycheectl._internal import output
from lycheerock_model import answers
from lycheerock_model import bundle_check
from lycheerock_model import exceptions
from lycheerock_model import json_text

Formatter = Callable[[Any], list[str]]


def read(path: pathlib.Path) -> dict[str, Any]:
    """Reads a bundle file without validating the bundle.

    Raises:
      OSError: The file cannot be read.
      DocumentError: The file is not a JSON object.
    """
    document = json_text.parse_json(str(path), path.read_bytes())
    if not isinstance(document, dict):
        fault = exceptions.Fault(
            "(document)", "not an object", "write a JSON object"
        )
        raise exceptions.DocumentError(str(path), (fault,))
    return document


def check(path: pathlib.Path) -> output.Report:
    """Checks a bundle file without calling any instance."""
    return _check(path, path.read_bytes())


def _check(path: pathlib.Path, text: bytes) -> output.Report:
    try:
        bundle_check.load(text)
    except exceptions.DocumentError as error:
        value = {"path": str(path), "faults": error.faults}
        lines = output.fault_lines(error.faults)
        return output.Report(value, lines, {}, output.EXIT_FAILURE)
    value = {"path": str(path), "faults": ()}
    return output.Report(value, (f"{path}: no faults",))


async def diff(client: client_lib.Client, path: pathlib.Path) -> output.Report:
    """Compares a bundle file with the bundle in force."""
    # Loading fills in defaults, so omitted fields are not reported as changes.
    document = {"number": 0, "author": client.config.operator, **read(path)}
    bundle = bundle_check.load(msgspec.json.encode(document))
    reply = await client.call_any("GET", "/ops/bundle-in-force")
    if isinstance(reply, result.Failure):
        return output.failed("diff", reply.failure())
    in_force = reply.unwrap()
    proposed = msgspec.json.decode(msgspec.json.encode(bundle))
    changes = diff_lib.compare(in_force, proposed)
    head = f"{len(changes)} change(s) against bundle {in_force['number']}"
    value = {"against": in_force["number"], "changes": changes}
    return output.Report(value, (head, *diff_lib.lines(changes)))


async def propose(
    client: client_lib.Client, path: pathlib.Path
) -> output.Report:
    """Checks a bundle file and proposes it under the next number."""
    operator = client.config.operator
    document = {"number": 0, **read(path), "author": operator}
    checked = _check(path, msgspec.json.encode(document))
    if checked.exit_code != output.EXIT_SUCCESS:
        return checked
    body = {"operator": operator, "bundle": document}
    reply = await client.call_any("POST", "/ops/bundles", body)
    return _report("propose", reply, _proposed_lines)


async def roll_back(client: client_lib.Client, number: int) -> output.Report:
    """Proposes the content of an earlier bundle under a new number."""
    body = {"operator": client.config.operator, "rollback_to": number}
    reply = await client.call_any("POST", "/ops/bundles", body)
    return _report("rollback", reply, _proposed_lines)


def _proposed_lines(value: Any) -> list[str]:
    text = f"bundle {value['number']} is proposed by {value['author']}"
    if value["copy_of"]:
        text += f" with the content of bundle {value['copy_of']}"
    return [text, f"next: {value['next_step']}"]


async def sign(client: client_lib.Client, number: int) -> output.Report:
    """Signs a bundle that another operator proposed."""
    body = {"operator": client.config.operator}
    path = f"/ops/bundles/{number}/sign"
    reply = await client.call_any("POST", path, body)
    return _report("sign", reply, _signed_lines)


def _signed_lines(value: Any) -> list[str]:
    return [
        f"bundle {value['number']} proposed by {value['author']} is signed by "
        f"{value['signer']}",
        f"next: {value['next_step']}",
    ]


async def roll_out(
    client: client_lib.Client, number: int, *, replace: bool
) -> output.Report:
    """Starts the rollout of a signed bundle."""
    body = {
        "operator": client.config.operator,
        "number": number,
        "replace": replace,
    }
    reply = await client.call_any("POST", "/ops/rollout", body)
    return _report("rollout", reply, _rollout_lines)


def _rollout_lines(value: Any) -> list[str]:
    return [
        f"bundle {value['number']} is being rolled out by "
        f"{value['coordinator']}"
    ]


def _report(
    command: str, reply: client_lib.Reply, format_lines: Formatter
) -> output.Report:
    if isinstance(reply, result.Failure):
        return output.failed(command, reply.failure())
    value = reply.unwrap()
    return output.Report(value, format_lines(value))


_INSTANCE_HEADERS = (
    "INSTANCE", "REACHED", "IN FORCE", "ACKNOWLEDGED", "ADMITTING", "REQUIRED",
    "PROBLEM",
)  # fmt: skip
_BUNDLE_HEADERS = ("BUNDLE", "STATE", "AUTHOR", "SIGNER", "COPY OF")


async def status(client: client_lib.Client) -> output.Report:
    """Shows the rollout, every instance, and the latest bundles.

    The states of the rollout and the instances come from the instances rather
    than from the platform, so they are shown even while the platform is down.
    """
    reply = await client.call_any("GET", "/ops/rollout")
    if isinstance(reply, result.Failure):
        return output.failed("status", reply.failure())
    rollout = reply.unwrap()
    errors = _platform_errors(rollout)
    history = await client.call_any("GET", "/ops/bundles")
    bundles = []
    if isinstance(history, result.Success):
        bundles = history.unwrap()["bundles"]
    else:
        errors["bundles"] = history.failure()
    value = {"rollout": rollout, "bundles": bundles}
    return output.Report(value, _status_lines(rollout, bundles), errors)


def _platform_errors(rollout: Any) -> dict[str, answers.ErrorBody]:
    problem = rollout["platform_problem"]
    if not problem:
        return {}
    return {
        "platform": answers.ErrorBody(
            exceptions.ErrorKind.PLATFORM,
            problem,
            "the bundle numbers shown are those that the instances report",
        )
    }


def _status_lines(rollout: Any, bundles: list[Any]) -> list[str]:
    lines = [rollout_line(rollout), ""]
    is_rolling_out = rollout["staging"] > rollout["in_force"]
    rows = [
        (
            i["instance_id"],
            i["reachable"],
            i["in_force"] or None,
            i["acknowledged"] if is_rolling_out else None,
            i["admitting"],
            i["required"],
            i["problem"] or None,
        )
        for i in rollout["instances"]
    ]
    lines += output.table(_INSTANCE_HEADERS, sorted(rows, key=_first_cell))
    if bundles:
        keys = ("number", "state", "author", "signer", "copy_of")
        cells = [[bundle[key] or None for key in keys] for bundle in bundles]
        lines += ["", *output.table(_BUNDLE_HEADERS, cells)]
    return lines


def _first_cell(row: Sequence[object]) -> str:
    return str(row[0])


def rollout_line(rollout: Any) -> str:
    """Formats the bundle in force, any open rollout and its blockers."""
    text = f"in force: {rollout['in_force'] or 'none'}"
    if rollout["staging"] > rollout["in_force"]:
        text += (
            f", rolling out: {rollout['staging']} by {rollout['coordinator']}"
        )
        if rollout["blockers"]:
            text += f", blocked by: {', '.join(rollout['blockers'])}"
    if rollout["problem"]:
        text += f" ({rollout['problem']})"
    return text
