"""Command layer of the bench."""

import asyncio
import dataclasses
import json
import pathlib
import sys

import aiomisc
import defopt
import msgspec

from lycheerock_bench._internal import booking_trial as booking_trial_lib
from lycheerock_bench._internal import control_cost
from lycheerock_bench._internal import demo
from lycheerock_bench._internal import deployments
from lycheerock_bench._internal import examples
from lycheerock_bench._internal import fake_platform
from lycheerock_bench._internal import fake_target
from lycheerock_bench._internal import measure_costs as costs
from lycheerock_bench._internal import measure_ownership as ownership
from lycheerock_bench._internal import measure_serving as measure
from lycheerock_bench._internal import rollout_measurement
from lycheerock_bench._internal import serving
from lycheerock_bench._internal import serving_scenarios
from lycheerock_bench._internal.soak import run as soak_lib
from lycheerock_model import bundle_check

LOCAL_ZONES = [("montreal", "montreal-a"), ("montreal", "montreal-b")]


def platform(*, address: str, seed: int = 1) -> None:
    """Serves the fake platform.

    Args:
      address: IP address and port.
      seed: Seed of the random faults.
    """
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(_serve_platform(address, seed))


async def _serve_platform(address: str, seed: int) -> None:
    app = fake_platform.FakePlatform(seed).build()
    await serving.serve({address: app})


def targets(
    *, bundle: pathlib.Path, only: list[str] = [], seed: int = 1
) -> None:
    """Serves the fake targets of a bundle.

    Args:
      bundle: Bundle file, JSON.
      only: Ids of the targets to serve; all if empty.
      seed: Seed of the service times.
    """
    loaded = bundle_check.load(bundle.read_bytes())
    apps = {
        target.address: fake_target.FakeTarget(
            target.target_id, target.slot_count, seed
        )
        for service in loaded.services
        for target in service.targets
        if not only or target.target_id in only
    }
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(_serve_targets(apps))


async def _serve_targets(apps: dict[str, fake_target.FakeTarget]) -> None:
    await serving.serve({address: t.build() for address, t in apps.items()})


def write_local(
    *, directory: pathlib.Path, instances: int = 3, first_port: int = 18_000
) -> None:
    """Writes the files of a small local deployment.

    Args:
      directory: Where the files go.
      instances: Number of instances.
      first_port: The platform's port; targets and instances follow.
    """
    directory.mkdir(parents=True, exist_ok=True)
    shapes = [
        deployments.ServiceShape("guest-portal", "latency", 3, 6, 2, 3, 30),
        deployments.ServiceShape("ronda-app", "coverage", 3, 6, 2, 2, 25),
    ]
    bundle = deployments.build_bundle(
        shapes, LOCAL_ZONES, first_port + 100, max(5, instances)
    )
    _write(directory / "bundle.json", bundle)
    address = f"127.0.0.1:{first_port}"
    documents = deployments.build_settings(
        instances, LOCAL_ZONES, first_port + 200, address
    )
    for settings in documents:
        _write(directory / f"{settings['instance_id']}.json", settings)
    config = deployments.build_ctl_config(documents, "local-operator")
    _write(directory / "lycheectl.json", config)


def write_examples(*, directory: pathlib.Path) -> None:
    """Writes the bundles and settings under examples/.

    Args:
      directory: The directory examples.
    """
    examples.write(directory)


def _write(path: pathlib.Path, document: object) -> None:
    text = json.dumps(document, indent=2, ensure_ascii=False)
    path.write_text(text + "\n", encoding="utf-8")


def run_demo(*, directory: pathlib.Path) -> int:
    """Installs the bundle, sends a search and a booking, prints the answers.

    Args:
      directory: Directory that `write-local` filled.

    Returns:
      Exit code.
    """
    first = msgspec.json.decode((directory / "i0.json").read_bytes())
    bundle = msgspec.json.decode((directory / "bundle.json").read_bytes())
    with aiomisc.entrypoint(log_config=False) as loop:
        return loop.run_until_complete(
            demo.run(first["platform_address"], first["caller_address"], bundle)
        )


def measure_serving(
    *,
    scenarios: list[str] = list(serving_scenarios.SCENARIOS),
    variants: list[str] = ["plain", "owner"],
    plain_source: pathlib.Path | None = None,
    plan: tuple[int, float, float, int] = (5, 40.0, 12.0, 1),
) -> None:
    """Measures variants of the serving path under the same faults.

    Args:
      scenarios: Names of the scenarios.
      variants: Names of the variants: plain, direct, owner.
      plain_source: Tree whose daemon serves the plain variant; this one if
        absent.
      plan: Number of instances, searches per second and service, measured
        seconds, seed.
    """
    found = []
    for name in scenarios:
        for variant_name in variants:
            variant = measure.VARIANTS[variant_name]
            if variant_name == "plain":
                variant = dataclasses.replace(variant, source=plain_source)
            run = measure.measure(
                serving_scenarios.SCENARIOS[name], variant, measure.Plan(*plan)
            )
            with aiomisc.entrypoint(log_config=False) as loop:
                found.append(loop.run_until_complete(run))
            print(measure.to_table(found[-1:]), flush=True)
    print(measure.to_table(found))


def measure_costs(*, duration: float = 8.0) -> None:
    """Measures processor time and memory per shard request and per target.

    Args:
      duration: Measured seconds per run.
    """
    with aiomisc.entrypoint(log_config=False) as loop:
        for relayed in (False, True):
            for shard_count, rate in ((10, 40.0), (98, 4.0), (980, 0.5)):
                run = costs.measure_fan_out(
                    shard_count, rate, duration, relayed=relayed
                )
                _print_json(loop.run_until_complete(run))
        for target_count in (30, 300, 2_700):
            run_bundle = costs.measure_bundle(target_count)
            _print_json(loop.run_until_complete(run_bundle))


def measure_ownership(*, instances: int = 5, targets: int = 2_700) -> None:
    """Compares ways to assign targets to instances.

    Args:
      instances: Instances before one is added.
      targets: Number of targets.
    """
    for result in ownership.compare(instances, targets):
        _print_json(result)


def _print_json(value: object) -> None:
    print(msgspec.json.encode(value).decode(), flush=True)


def booking_trial(*, directory: pathlib.Path, bookings: int = 200) -> None:
    """Compares platform writes and refusals of two ways to book at most once.

    Args:
      directory: Where files and logs go.
      bookings: Bookings per variant and phase.
    """
    with aiomisc.entrypoint(log_config=False) as loop:
        found = loop.run_until_complete(
            booking_trial_lib.run(directory, bookings)
        )
    print("variant      writes/booking  refused in an outage  done otherwise")
    for row in found:
        print(
            f"{row.variant:12} {row.writes_per_booking:14.2f}"
            f" {row.refused_ratio:20.1%} {row.done_ratio:15.1%}"
        )


def measure_rollouts(
    *,
    directory: pathlib.Path,
    instances: int = 5,
    rollouts: int = 50,
    rest_s: float = 40.0,
) -> None:
    """Prints the times from acceptance to in force and the platform calls.

    Args:
      directory: Where files and logs go.
      instances: Number of instances.
      rollouts: Rollouts per condition.
      rest_s: Time over which the calls at rest are counted.
    """
    with aiomisc.entrypoint(log_config=False) as loop:
        figures = loop.run_until_complete(
            rollout_measurement.measure(directory, instances, rollouts, rest_s)
        )
    print(json.dumps(figures, indent=2))


def measure_control(
    *,
    directory: pathlib.Path,
    counts: list[int] = [3, 6, 12, 24, 48],
    kills: int = 5,
    window_s: float = 20.0,
) -> None:
    """Measures what membership costs an idle instance.

    Prints one JSON line per number of instances.

    Args:
      directory: Where files and logs go.
      counts: Numbers of instances, one deployment after another.
      kills: Instances that are killed in each deployment.
      window_s: Time for which each idle deployment is watched.
    """
    with aiomisc.entrypoint(log_config=False) as loop:
        for count in counts:
            cost = loop.run_until_complete(
                control_cost.measure(
                    directory / str(count), count, kills, window_s
                )
            )
            print(json.dumps(dataclasses.asdict(cost)), flush=True)


def soak(
    *,
    directory: pathlib.Path,
    first_seed: int = 1,
    seeds: int = 1,
    duration: float = 20.0,
    gateways: int = soak_lib.GATEWAY_COUNT,
) -> int:
    """Runs gateway processes under random faults and checks the promises.

    Args:
      directory: For settings and logs, in a folder for each seed.
      first_seed: First seed.
      seeds: How many seeds to run, one after the other.
      duration: Time during which faults begin, in seconds.
      gateways: Gateway processes.

    Returns:
      1 if a promise was broken, else 0.
    """
    broken = False
    for seed in range(first_seed, first_seed + seeds):
        place = directory / f"seed-{seed}"
        place.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(soak_lib.run(seed, duration, place, gateways))
        broken = broken or bool(report.breaches)
        shown = dataclasses.asdict(report)
        if not report.breaches:
            shown["faults"] = len(report.faults)
        _print_json(shown)
    return int(broken)


def main() -> None:
    """Entry point of the `lycheerock-bench` binary."""
    sys.exit(
        defopt.run(
            [
                platform,
                targets,
                write_local,
                write_examples,
                run_demo,
                measure_serving,
                measure_costs,
                measure_ownership,
                booking_trial,
                measure_rollouts,
                measure_control,
                soak,
            ],
            cli_options="all",
            short={},
        )
    )


if __name__ == "__main__":
    main()
