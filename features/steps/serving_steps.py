"""Steps for searches and bookings."""

from typing import Any

from behave import given
from behave import then
from behave import when

from lycheerock_bench import harness

SHAPES = [
    harness.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
    harness.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
]


@given("a deployment of {count:d} instances")
def start_deployment(context: Any, count: int) -> None:
    """Starts a fake platform, fake targets and instances."""
    deployment = harness.Deployment(context.directory, SHAPES, count)
    context.deployment = deployment
    context.loop.run_until_complete(deployment.start())


@when('a caller searches "{service}" through "{instance}"')
def search(context: Any, service: str, instance: str) -> None:
    """Sends one search and keeps the answer."""
    context.answer = context.loop.run_until_complete(
        context.deployment.search(instance, service)
    )


@when('a caller gets a request key from "{instance}"')
def issue_key(context: Any, instance: str) -> None:
    """Gets one request key."""
    keys = context.loop.run_until_complete(
        context.deployment.issue_keys(instance)
    )
    context.key = keys[0]


@when('the caller books "{service}" through "{instance}" with the key')
def book(context: Any, service: str, instance: str) -> None:
    """Sends one booking with the caller's key and keeps the answer."""
    context.answer = context.loop.run_until_complete(
        context.deployment.book(instance, service, context.key)
    )


@then('the outcome is "{outcome}"')
def check_outcome(context: Any, outcome: str) -> None:
    """Checks the outcome of the last answer."""
    assert context.answer["outcome"] == outcome, context.answer


@then("the answer covers {covered:d} shards with {lacking:d} lacking")
def check_coverage(context: Any, covered: int, lacking: int) -> None:
    """Checks the number of covered and lacking shards of the last answer."""
    assert len(context.answer["covered"]) == covered, context.answer
    assert len(context.answer["lacking"]) == lacking, context.answer


@then(
    "the number of runs of the booking on the targets of"
    ' "{service}" is {count:d}'
)
def check_runs(context: Any, service: str, count: int) -> None:
    """Checks how often the targets ran the booking with the caller's key."""
    runs = 0
    for target in context.deployment.targets():
        if target["target_id"].startswith(service):
            counts = context.loop.run_until_complete(
                context.deployment.target_counts(target["target_id"])
            )
            runs += counts["runs"].get(context.key, 0)
    assert runs == count, runs
