"""Steps that run lycheectl against a deployment."""

import json
import os
import pathlib
import re
import subprocess
import sys
from typing import Any

from behave import given
from behave import step
from behave import then
from behave import when

from lycheerock_bench._internal import deployments

GOLDEN_DIRECTORY = pathlib.Path(__file__).parents[2] / "tests" / "golden"
COMMAND_TIMEOUT_S = 60.0

# Patterns of values that differ between runs and of the column widths that
# depend on them, each with its replacement.
_REPLACEMENTS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"\bi\d\.[0-9a-f]+\.[0-9a-f]+"), "REQUEST"),
    (re.compile(r"\b\d{13}\b"), "TIME"),
    (re.compile(r"\S+/bundle-file\.json"), "FILE"),
    (re.compile(r"((alive|suspect|leaving|dead) \(\d\)(, )?)+"), "STATES"),
    (re.compile(r"  +"), "  "),
)


def run(context: Any, operator: str, command: str, **variables: str) -> None:
    """Runs lycheectl, replacing FILE with the path of the bundle file."""
    settings = context.deployment.settings
    pairs = [f"{name}={s['operator_address']}" for name, s in settings.items()]
    environment = {
        "PATH": os.environ.get("PATH", ""),
        "LYCHEECTL_INSTANCES": ",".join(pairs),
        "LYCHEECTL_TOKEN": deployments.OPERATOR_TOKEN,
        "LYCHEECTL_OPERATOR": operator,
    }
    path = str(context.directory / "bundle-file.json")
    arguments = command.replace("FILE", path).split()
    context.completed = subprocess.run(
        [sys.executable, "-m", "lycheectl", *arguments],
        env=environment | variables,
        cwd=context.directory,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@step('"{operator}" runs "{command}"')
def run_command(context: Any, operator: str, command: str) -> None:
    """Runs one lycheectl command."""
    run(context, operator, command)


@when('"{operator}" runs "why" for the last answer')
def explain_last_answer(context: Any, operator: str) -> None:
    """Runs the why command for the request id of the last answer."""
    run(context, operator, f"why {context.answer['request_id']}")


@when('an operator without configuration runs "{command}"')
def run_unconfigured(context: Any, command: str) -> None:
    """Runs one command with an empty configuration file."""
    (context.directory / "empty.json").write_text("{}")
    environment = {"LYCHEECTL_CONFIG": str(context.directory / "empty.json")}
    context.completed = subprocess.run(
        [sys.executable, "-m", "lycheectl", command],
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@given('a bundle file that sets "{key}" to {value:d}')
def write_bundle(context: Any, key: str, value: int) -> None:
    """Writes a copy of the deployment's bundle with one changed value."""
    bundle = context.deployment.bundle | {"number": 0, key: value}
    path = context.directory / "bundle-file.json"
    path.write_text(json.dumps(bundle))


@given('process "{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills a process with SIGKILL and waits for its exit."""
    context.deployment.kill(name)


@given("every call to the platform fails")
def start_platform_outage(context: Any) -> None:
    """Makes every call to the platform fail."""
    context.loop.run_until_complete(
        context.deployment.set_platform_faults(down=True)
    )


@when('an operator calls "{instance}" with an invalid token')
def call_with_invalid_token(context: Any, instance: str) -> None:
    """Runs a command with an invalid token and checks that it is rejected."""
    variables = {"LYCHEECTL_TOKEN": "wrong-token-of-an-operator"}
    run(context, "ana", f"dump --instance {instance}", **variables)
    assert context.completed.returncode == 1, context.completed
    assert "unauthenticated" in context.completed.stderr, context.completed


@then("the command exits with code {code:d}")
def check_exit_code(context: Any, code: int) -> None:
    """Checks the exit code."""
    assert context.completed.returncode == code, context.completed


@then('the command exits with code {code:d} and prints "{text}"')
def check_exit_code_and_output(context: Any, code: int, text: str) -> None:
    """Checks the exit code and that the output contains a text."""
    check_exit_code(context, code)
    printed = normalize(context.completed.stdout + context.completed.stderr)
    assert text in printed, context.completed


@then('standard error contains "{text}"')
def check_stderr(context: Any, text: str) -> None:
    """Checks that standard error contains a text."""
    assert text in context.completed.stderr, context.completed


@then('the status shows bundle {number:d} in force on "{names}"')
def check_status(context: Any, number: int, names: str) -> None:
    """Checks the bundle in force that each reachable instance reports."""
    result = json.loads(context.completed.stdout)["result"]
    reached = {
        i["instance_id"]: i["in_force"]
        for i in result["rollout"]["instances"]
        if i["reachable"]
    }
    assert reached == dict.fromkeys(names.split(", "), number), result


def normalize(text: str) -> str:
    """Replaces values that differ between runs and collapses spaces."""
    for pattern, replacement in _REPLACEMENTS:
        text = pattern.sub(replacement, text)
    return text


@then('the output matches golden file "{name}"')
def check_golden(context: Any, name: str) -> None:
    """Checks that the output matches a golden file and the exit code is 0."""
    check_golden_and_code(context, name, 0)


@then('the output matches golden file "{name}" and the exit code is {code:d}')
def check_golden_and_code(context: Any, name: str, code: int) -> None:
    """Checks the output and exit code; UPDATE_GOLDEN=1 rewrites the file."""
    check_exit_code(context, code)
    found = normalize(context.completed.stdout)
    path = GOLDEN_DIRECTORY / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN") == "1":
        path.parent.mkdir(exist_ok=True)
        path.write_text(found)
    assert found == path.read_text(), f"{path} differs from:\n{found}"


@then(
    "the statistics count {requests:d} request and {covered:d} covered shards "
    'of "{service}"'
)
def check_statistics(
    context: Any, requests: int, covered: int, service: str
) -> None:
    """Checks the reported statistics and the metric of covered shards."""
    result = json.loads(context.completed.stdout)["result"]
    rows = [row for row in result["services"] if row["service"] == service]
    assert rows[0]["requests"] == requests, result
    assert rows[0]["covered_percent"] == 100.0, result
    text = fetch_all_metrics(context)
    line = f'lycheerock_covered_shards_total{{service="{service}"}} {covered}'
    assert line in text, text


def fetch_all_metrics(context: Any) -> str:
    """Returns the metrics of all instances."""
    return "\n".join(
        context.loop.run_until_complete(fetch_metrics(context, name))
        for name in context.deployment.settings
    )


async def fetch_metrics(context: Any, name: str) -> str:
    """Returns the metrics of one instance."""
    settings = context.deployment.settings[name]
    url = f"http://{settings['operator_address']}/metrics"
    headers = {"Authorization": f"Bearer {settings['operator_token']}"}
    session = context.deployment.session
    async with session.get(url, headers=headers) as reply:
        text: str = await reply.text()
        return text


@then(
    'searches of "{service}" through "{instance}" send no requests to target'
    ' "{target}"'
)
def check_no_requests(
    context: Any, service: str, instance: str, target: str
) -> None:
    """Checks that complete searches send no shard request to a target."""
    deployment, loop = context.deployment, context.loop

    def count_requests() -> int:
        counts = loop.run_until_complete(deployment.target_counts(target))
        count: int = counts["counts"].get("shard_requests", 0)
        return count

    before = count_requests()
    for _ in range(5):
        answer = loop.run_until_complete(deployment.search(instance, service))
        assert not answer["lacking"], answer
    assert count_requests() == before


@then('process "{name}" exits with code {code:d}')
def check_process_exit(context: Any, name: str, code: int) -> None:
    """Waits for a process to exit and checks its exit code."""
    assert context.deployment.wait_exit(name) == code


@then("the output, the metrics and the logs contain no token")
def check_no_token(context: Any) -> None:
    """Checks that none of the tokens in use appears in any output."""
    texts = [
        context.completed.stdout,
        context.completed.stderr,
        fetch_all_metrics(context),
    ]
    texts += [path.read_text() for path in instance_logs(context)]
    for token in (
        deployments.OPERATOR_TOKEN,
        deployments.CALLER_TOKEN,
        "wrong-token-of-an-operator",
    ):
        assert not any(token in text for text in texts), token


@then("the instances log JSON lines, one of them for the search")
def check_logs(context: Any) -> None:
    """Checks that each line is JSON and that one records the search."""
    requests = []
    for path in instance_logs(context):
        for line in path.read_text().splitlines():
            value = json.loads(line)
            assert value["instance"], line
            assert value["zone"], line
            if value["event"] == "request":
                requests.append(value)
    searches = [r for r in requests if r.get("service") == "guest-portal"]
    assert len(searches) == 1, requests
    assert searches[0]["request_id"] == context.answer["request_id"]
    assert searches[0]["caller"] == "local-caller"


def instance_logs(context: Any) -> list[pathlib.Path]:
    """Returns the log files of the instances, which hold stdout and stderr."""
    names = context.deployment.settings
    return [context.directory / f"{name}.log" for name in names]
