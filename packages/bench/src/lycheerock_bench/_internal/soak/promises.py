"""The promises, judged by what callers, targets and the operator have seen."""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal.soak import records

# Bounds of the users' platform.
APPLY_S = 3.0
DRAIN_S = 3.0
RETRY_RATIO = 0.2
RETRY_SLACK = 52.0
RETRY_WINDOW_S = 10.0

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Share of requests that must be served once all faults have ended.
RECOVERED_RATIO = 0.95

SEARCH_SHARE_MIN = 0.5
RECORD_SIZE_BYTES = 16
RECORDS_MAX = 3


@dataclasses.dataclass(frozen=True)
class Breach:
    """A promise that was broken.

    Attributes:
      promise: Name of the promise.
      detail: What was seen.
    """

    promise: str
    detail: str


Targets = Mapping[str, fake_http_target.FakeHttpTarget]


def service_of(target_id: str) -> str:
    """Returns the service of a target, which its id begins with."""
    return target_id.partition("-")[0]


def judge_answer(
    sent: records.Sent, targets: Targets, versions: Sequence[records.Version]
) -> Iterator[Breach]:
    """Checks one answer as soon as it is there.

    Args:
      sent: The request and its answer.
      targets: All targets that there ever were.
      versions: All configurations so far.
    """
    if sent.status != 200:
        return
    for signature in sent.signatures:
        target_id, _, request_id = signature.partition(".")
        if request_id != sent.request_id or target_id not in targets:
            yield Breach("own answer", f"{sent.request_id} got {signature}")
            return
    if sent.route == "search":
        yield from _judge_search(sent, targets, versions)
    elif len(sent.signatures) != 1:
        yield Breach("own answer", f"{sent.request_id} has no signature")
    else:
        name = sent.signatures[0].partition(".")[0]
        if sent.body != targets[name].body:
            yield Breach("whole answer", f"{sent.request_id} from {name}")


def _judge_search(
    sent: records.Sent, targets: Targets, versions: Sequence[records.Version]
) -> Iterator[Breach]:
    names = [s.partition(".")[0] for s in sent.signatures]
    parts = [service_of(name) for name in names]
    shards = next(
        (v.shards for v in versions if set(parts) <= set(v.shards)), None
    )
    if shards is None or len(set(parts)) != len(parts):
        yield Breach("one snapshot", f"{sent.request_id} merged {parts}")
        return
    if len(parts) + sent.missing_count != len(shards):
        yield Breach(
            "true coverage",
            f"{sent.request_id}: {parts} and {sent.missing_count} missing",
        )
    if len(parts) < SEARCH_SHARE_MIN * len(shards):
        yield Breach("enough shards", f"{sent.request_id}: {parts}")
    found = sorted(
        (
            targets[name].body[i : i + RECORD_SIZE_BYTES]
            for name in names
            for i in range(0, len(targets[name].body), RECORD_SIZE_BYTES)
        ),
        reverse=True,
    )
    if sent.body != b"".join(found[:RECORDS_MAX]):
        yield Breach("greatest records", f"{sent.request_id}: {sent.body!r}")


def judge_run(journal: records.Journal, targets: Targets) -> Iterator[Breach]:
    """Checks what shows only over a whole run."""
    runs = [
        (arrival, name)
        for name, target in targets.items()
        for arrival in target.runs
    ]
    by_id: dict[str, list[str]] = {}
    for arrival, name in runs:
        by_id.setdefault(arrival.request_id, []).append(name)
    yield from _judge_single_runs(journal, by_id)
    yield from _judge_stops(journal, by_id)
    yield from _judge_configurations(journal, by_id)
    yield from _judge_leaving(journal, runs)
    yield from _judge_retries(targets)


def _judge_single_runs(
    journal: records.Journal, by_id: Mapping[str, list[str]]
) -> Iterator[Breach]:
    for sent in journal.sent:
        ran_on = by_id.get(sent.request_id, [])
        if sent.route != "unsafe":
            continue
        if len(ran_on) > 1:
            yield Breach("at most once", f"{sent.request_id} on {ran_on}")
        if sent.status in NOT_RUN_STATUSES and ran_on:
            yield Breach(
                "true refusal", f"{sent.request_id} {sent.status}, on {ran_on}"
            )


def _judge_stops(
    journal: records.Journal, by_id: Mapping[str, list[str]]
) -> Iterator[Breach]:
    for sent in journal.sent:
        # A request that crosses the close and is not passed on may be cut.
        if sent.status or sent.request_id not in by_id:
            continue
        scopes = {f"gateway {sent.gateway}", "targets"}
        if journal.is_calm(scopes, sent.sent_s, sent.ended_s):
            yield Breach("no cut request", f"{sent.request_id}")


def _judge_configurations(
    journal: records.Journal, by_id: Mapping[str, list[str]]
) -> Iterator[Breach]:
    ever = {v.desk for v in journal.versions}
    for sent in journal.sent:
        if sent.route == "search":
            continue
        ran_in = {service_of(name) for name in by_id.get(sent.request_id, ())}
        if not ran_in <= ever:
            yield Breach("allowed service", f"{sent.request_id} in {ran_in}")
        in_force = [
            v
            for v in journal.versions
            if v.confirmed_s <= sent.sent_s - APPLY_S
        ]
        if not in_force or not ran_in:
            continue
        later = [
            v for v in journal.versions if v.confirmed_s > sent.sent_s - APPLY_S
        ]
        allowed = {v.desk for v in (in_force[-1], *later)}
        scopes = {f"gateway {sent.gateway}", "store"}
        start_s = sent.sent_s - APPLY_S
        if not ran_in <= allowed and journal.is_calm(
            scopes, start_s, sent.ended_s
        ):
            yield Breach(
                "configuration in force", f"{sent.request_id} in {ran_in}"
            )


def _judge_leaving(
    journal: records.Journal,
    runs: Sequence[tuple[fake_http_target.Arrival, str]],
) -> Iterator[Breach]:
    gateways = {f"gateway {sent.gateway}" for sent in journal.sent}
    for arrival, name in runs:
        leaving_s = journal.leaving_s.get(name)
        if leaving_s is None or arrival.time_s <= leaving_s + DRAIN_S:
            continue
        if journal.is_calm(gateways | {"store"}, leaving_s, arrival.time_s):
            late_s = arrival.time_s - leaving_s
            yield Breach(
                "leaving target", f"{arrival.request_id} on {name}, {late_s} s"
            )


def _judge_retries(targets: Targets) -> Iterator[Breach]:
    """Counts arrivals beyond the first of each request, by service."""
    services: dict[str, list[fake_http_target.Arrival]] = {}
    for name, target in targets.items():
        services.setdefault(service_of(name), []).extend(target.arrivals)
    for service, arrivals in services.items():
        arrivals.sort(key=lambda arrival: arrival.time_s)
        first_seen: set[str] = set()
        extra_s: list[float] = []
        for arrival in arrivals:
            if arrival.request_id in first_seen:
                extra_s.append(arrival.time_s)
            first_seen.add(arrival.request_id)
        for index, start_s in enumerate(extra_s):
            in_window = [
                t for t in extra_s[index:] if t < start_s + RETRY_WINDOW_S
            ]
            requests = sum(
                start_s <= arrival.time_s < start_s + RETRY_WINDOW_S
                for arrival in arrivals
            ) - len(in_window)
            if len(in_window) > RETRY_RATIO * requests + RETRY_SLACK:
                yield Breach(
                    "retry budget", f"{service}: {len(in_window)} of {requests}"
                )
                break


def judge_recovery(sent: Sequence[records.Sent]) -> Iterator[Breach]:
    """Checks the requests that were sent after all faults had ended."""
    served = sum(s.status == 200 for s in sent)
    if not sent or served < RECOVERED_RATIO * len(sent):
        yield Breach("recovery", f"{served} of {len(sent)} served")
