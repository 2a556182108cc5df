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

GOLDEN = pathlib.Path(__file__).parents[2] / "tests" / "golden"
COMMAND_TIMEOUT_S = 60.0

# Values that differ between runs, and the width that they give to columns.
_VARYING = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"\bi\d\.[0-9a-f]+\.[0-9a-f]+"), "REQUEST"),
    (re.compile(r"\b\d{13}\b"), "TIME"),
    (re.compile(r"\S+/bundle-file\.json"), "FILE"),
    (re.compile(r"((alive|suspect|leaving|dead) \(\d\)(, )?)+"), "STATES"),
    (re.compile(r"  +"), "  "),
)


def run(context: Any, operator: str, command: str, **variables: str) -> None:
    """Runs lycheectl; FILE stands for the bundle file of the scenario."""
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
    context.ran = subprocess.run(
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
    """Runs one command."""
    run(context, operator, command)


@when('"{operator}" asks why the answer is so')
def ask_why(context: Any, operator: str) -> None:
    """Asks for the record of the last answer."""
    run(context, operator, f"why {context.answer['request_id']}")


@when('an operator without configuration runs "{command}"')
def run_unconfigured(context: Any, command: str) -> None:
    """Runs one command with an empty configuration."""
    (context.directory / "empty.json").write_text("{}")
    environment = {"LYCHEECTL_CONFIG": str(context.directory / "empty.json")}
    context.ran = subprocess.run(
        [sys.executable, "-m", "lycheectl", command],
        env=environment,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@given('a bundle file that sets "{key}" to {value:d}')
def write_bundle(context: Any, key: str, value: int) -> None:
    """Writes a changed copy of the bundle in force."""
    bundle = context.deployment.bundle | {"number": 0, key: value}
    path = context.directory / "bundle-file.json"
    path.write_text(json.dumps(bundle))


@given('process "{name}" is killed')
def kill(context: Any, name: str) -> None:
    """Kills a process."""
    context.deployment.kill(name)


@given("the platform stops answering")
def stop_platform(context: Any) -> None:
    """Makes every call of the platform fail."""
    context.loop.run_until_complete(
        context.deployment.set_platform_faults(down=True)
    )


@when('an operator calls "{instance}" with a wrong token')
def call_with_wrong_token(context: Any, instance: str) -> None:
    """Sends a request whose token is refused."""
    wrong = {"LYCHEECTL_TOKEN": "wrong-token-of-an-operator"}
    run(context, "ana", f"dump --instance {instance}", **wrong)
    assert context.ran.returncode == 1, context.ran
    assert "unauthenticated" in context.ran.stderr, context.ran


@then("the command ends with {code:d}")
def check_code(context: Any, code: int) -> None:
    """Checks the exit code."""
    assert context.ran.returncode == code, context.ran


@then('the command ends with {code:d} and says "{text}"')
def check_code_and_text(context: Any, code: int, text: str) -> None:
    """Checks the exit code and a part of the output."""
    check_code(context, code)
    printed = normalise(context.ran.stdout + context.ran.stderr)
    assert text in printed, context.ran


@then('the progress says "{text}"')
def check_progress(context: Any, text: str) -> None:
    """Checks a part of standard error."""
    assert text in context.ran.stderr, context.ran


@then('the status shows bundle {number:d} on "{names}"')
def check_status(context: Any, number: int, names: str) -> None:
    """Checks that the instances themselves reported their bundle."""
    result = json.loads(context.ran.stdout)["result"]
    reached = {
        i["instance_id"]: i["in_force"]
        for i in result["rollout"]["instances"]
        if i["reachable"]
    }
    assert reached == dict.fromkeys(names.split(", "), number), result


def normalise(text: str) -> str:
    """Replaces ids, times and the width of columns."""
    for pattern, replacement in _VARYING:
        text = pattern.sub(replacement, text)
    return text


@then('the command prints golden file "{name}"')
def check_golden(context: Any, name: str) -> None:
    """Compares the output with a golden file."""
    check_golden_and_code(context, name, 0)


@then('the command prints golden file "{name}" and ends with {code:d}')
def check_golden_and_code(context: Any, name: str, code: int) -> None:
    """Compares output and exit code; UPDATE_GOLDEN=1 writes the file."""
    check_code(context, code)
    found = normalise(context.ran.stdout)
    path = GOLDEN / f"{name}.txt"
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
    """Checks the sums over all instances."""
    result = json.loads(context.ran.stdout)["result"]
    rows = [row for row in result["services"] if row["service"] == service]
    assert rows[0]["requests"] == requests, result
    assert rows[0]["covered_percent"] == 100.0, result
    text = metrics_text(context)
    line = f'lycheerock_covered_shards_total{{service="{service}"}} {covered}'
    assert line in text, text


def metrics_text(context: Any) -> str:
    """Returns the metrics of all instances."""
    return "\n".join(
        context.loop.run_until_complete(get_metrics(context, name))
        for name in context.deployment.settings
    )


async def get_metrics(context: Any, name: str) -> str:
    """Returns the metrics of one instance."""
    settings = context.deployment.settings[name]
    url = f"http://{settings['operator_address']}/metrics"
    headers = {"Authorization": f"Bearer {settings['operator_token']}"}
    session = context.deployment.session
    async with session.get(url, headers=headers) as reply:
        text: str = await reply.text()
        return text


@then(
    'searches on "{service}" through "{instance}" leave target "{target}" alone'
)
def check_no_new_work(
    context: Any, service: str, instance: str, target: str
) -> None:
    """Checks that a target gets no shard request."""
    deployment, loop = context.deployment, context.loop

    def served() -> int:
        counts = loop.run_until_complete(deployment.target_counts(target))
        number: int = counts["counts"].get("shard_requests", 0)
        return number

    before = served()
    for _ in range(5):
        answer = loop.run_until_complete(deployment.search(instance, service))
        assert not answer["lacking"], answer
    assert served() == before


@then('process "{name}" ends with {code:d}')
def check_end(context: Any, name: str, code: int) -> None:
    """Waits for the end of a process."""
    assert context.deployment.wait_exit(name) == code


@then("the output, the metrics and the logs hold no token")
def check_no_token(context: Any) -> None:
    """Looks for the tokens of this deployment."""
    texts = [context.ran.stdout, context.ran.stderr, metrics_text(context)]
    texts += [path.read_text() for path in instance_logs(context)]
    for token in (
        deployments.OPERATOR_TOKEN,
        deployments.CALLER_TOKEN,
        "wrong-token-of-an-operator",
    ):
        assert not any(token in text for text in texts), token


@then("the logs of the instances are JSON lines")
def check_logs(context: Any) -> None:
    """Parses every line and looks for the one of the search."""
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
