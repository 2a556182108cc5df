"""Starts local deployments and injects faults for tests and measurements."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

import aiohttp

from lycheerock_bench import freezing
from lycheerock_bench import ports
from lycheerock_bench._internal import demo
from lycheerock_bench._internal import deployments

# Below the kernel's range of ephemeral ports, and above the ports of
# `make demo`, which may run at the same time.
_PORT_MIN = 19_000
_PORT_MAX = 32_000
# Number of ports of a deployment. The first port holds the claim and the second
# belongs to the platform. Offsets are relative to the first port.
_BLOCK_SIZE = 400
_TARGETS_OFFSET = 2
_INSTANCES_OFFSET = 200

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0

ServiceShape = deployments.ServiceShape
CALLER_TOKEN = deployments.CALLER_TOKEN
LOCAL_ZONES = (("montreal", "montreal-a"), ("montreal", "montreal-b"))


class Deployment:
    """A fake platform, the targets of a bundle and the instances.

    Attributes:
      bundle: First bundle, a JSON value; may be changed before `start`.
      settings: Settings of each instance by id; may be changed before `start`.
      directory: Directory for settings and logs.
      platform: Address of the fake platform.
      processes: Running processes by name.
      installed_bundle: Bundle to install instead of `bundle`, or None.
      daemon_source: Root of another source tree whose daemon to run, or None.
      session: HTTP client for all calls; set by `start`.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        shapes: list[deployments.ServiceShape],
        instance_count: int,
        instance_count_max: int | None = None,
    ):
        self.directory = directory
        self._claim, first_port = ports.claim_block(
            _PORT_MIN, _PORT_MAX, _BLOCK_SIZE
        )
        self.platform = f"127.0.0.1:{first_port + 1}"
        zones = list(LOCAL_ZONES)
        self.bundle = deployments.build_bundle(
            shapes,
            zones,
            first_port + _TARGETS_OFFSET,
            instance_count_max or max(5, instance_count),
        )
        documents = deployments.build_settings(
            instance_count,
            zones,
            first_port + _INSTANCES_OFFSET,
            self.platform,
        )
        self.settings = {d["instance_id"]: d for d in documents}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.installed_bundle: dict[str, Any] | None = None
        self.daemon_source: pathlib.Path | None = None
        self._stack = contextlib.AsyncExitStack()

    async def start(
        self, *, separate_targets: bool = False, with_targets: bool = True
    ) -> None:
        """Starts all processes and waits until every instance is ready.

        Args:
          separate_targets: Whether each target runs in a separate process.
          with_targets: Whether targets are started at all.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        self.session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60.0))
        )
        _write(self.directory / "bundle.json", self.bundle)
        self.start_platform()
        if with_targets:
            self._start_targets(separate=separate_targets)
        bundle = self.installed_bundle or self.bundle
        await demo.install_bundle(self.session, self.platform, bundle)
        await self.set_listed_instances(list(self.settings))
        for instance_id in self.settings:
            self.start_instance(instance_id)
        for instance_id in self.settings:
            await self.wait_ready(instance_id)

    def start_platform(self) -> None:
        """Starts the fake platform."""
        self._spawn(
            "platform",
            "lycheerock_bench",
            ["platform", "--address", self.platform],
        )

    def _start_targets(self, *, separate: bool) -> None:
        path = str(self.directory / "bundle.json")
        arguments = ["targets", "--bundle", path]
        if not separate:
            self._spawn("targets", "lycheerock_bench", arguments)
            return
        for target in self.targets():
            target_id = target["target_id"]
            self.start_target(target_id)

    def start_target(self, target_id: str) -> None:
        """Starts one target in a separate process."""
        path = str(self.directory / "bundle.json")
        arguments = ["targets", "--bundle", path, "--only", target_id]
        self._spawn(target_id, "lycheerock_bench", arguments)

    def start_instance(self, instance_id: str) -> None:
        """Starts one instance."""
        path = self.directory / f"{instance_id}.json"
        _write(path, self.settings[instance_id])
        self._spawn(instance_id, "lycheerock", [str(path)])

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        with (self.directory / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment(module),
            )

    def _environment(self, module: str) -> dict[str, str]:
        environment = dict(os.environ)
        if module == "lycheerock" and self.daemon_source is not None:
            packages = self.daemon_source / "packages"
            paths = [
                str(packages / name / "src")
                for name in ("model", "protocol", "daemon")
            ]
            environment["PYTHONPATH"] = os.pathsep.join(paths)
        return environment

    def targets(self) -> list[dict[str, Any]]:
        """Returns all targets of the bundle."""
        services = self.bundle["services"]
        return [t for service in services for t in service["targets"]]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process; SIGSTOP waits until it has stopped."""
        if number == signal.SIGSTOP:
            freezing.freeze(self.processes[name])
        else:
            self.processes[name].send_signal(number)

    def wait_exit(self, name: str) -> int:
        """Waits until a process exits and returns its exit code."""
        return self.processes.pop(name).wait(STOP_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it exits."""
        self.signal(name, signal.SIGKILL)
        self.wait_exit(name)

    async def wait_ready(self, instance_id: str) -> None:
        """Waits until an instance reports that it is ready."""
        address = self.settings[instance_id]["operator_address"]
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(aiohttp.ClientError):
                url = f"http://{address}/readyz"
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{instance_id} is not ready; see its log")

    async def wait_target(self, target_id: str) -> None:
        """Waits until a started target accepts connections."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                await self.target_counts(target_id)
            except aiohttp.ClientConnectionError:
                await asyncio.sleep(0.05)
            else:
                return
        raise TimeoutError(
            f"{target_id} does not accept connections; see its log"
        )

    async def search(
        self,
        instance_id: str,
        service: str,
        query: Any = "q",
        deadline_ms: int | None = None,
    ) -> Any:
        """Sends one search to an instance and returns the answer."""
        headers = caller_headers()
        if deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(deadline_ms)
        url = self.caller_url(instance_id, f"/v1/services/{service}/search")
        body = {"query": query}
        async with self.session.post(url, headers=headers, json=body) as reply:
            return await reply.json()

    async def issue_keys(self, instance_id: str, count: int = 1) -> list[str]:
        """Gets request keys from an instance."""
        url = self.caller_url(instance_id, f"/v1/keys?count={count}")
        async with self.session.post(url, headers=caller_headers()) as reply:
            keys: list[str] = (await reply.json())["keys"]
            return keys

    async def book(
        self,
        instance_id: str,
        service: str,
        key: str,
        shard_key: str = "k",
        deadline_ms: int = 20_000,
    ) -> Any:
        """Sends one non-idempotent request and returns the answer."""
        headers = caller_headers()
        headers["X-Request-Key"] = key
        headers["X-Deadline-Ms"] = str(deadline_ms)
        url = self.caller_url(instance_id, f"/v1/services/{service}/run")
        body = {"shard_key": shard_key, "payload": {"seats": 2}}
        async with self.session.post(url, headers=headers, json=body) as reply:
            return await reply.json()

    def caller_url(self, instance_id: str, path: str) -> str:
        """Returns a URL of an instance's caller interface."""
        return f"http://{self.settings[instance_id]['caller_address']}{path}"

    async def ops(
        self, instance_id: str, path: str, method: str = "GET", body: Any = None
    ) -> Any:
        """Calls the operator interface of an instance and returns the reply."""
        settings = self.settings[instance_id]
        url = f"http://{settings['operator_address']}{path}"
        token = settings["operator_token"]
        headers = {"Authorization": f"Bearer {token}"}
        async with self.session.request(
            method, url, headers=headers, json=body
        ) as reply:
            return await reply.json()

    async def set_target_behaviour(
        self, target_id: str, **behaviour: Any
    ) -> None:
        """Replaces the behaviour of a fake target (fake_target.Behaviour)."""
        address = self._target_address(target_id)
        url = f"http://{address}/control/behaviour"
        async with self.session.put(url, json=behaviour) as reply:
            reply.raise_for_status()

    async def target_counts(self, target_id: str) -> Any:
        """Returns the counters of a fake target.

        Returns:
          A JSON value: `counts` by event, `runs` by request key and `queries`
          by query.
        """
        url = f"http://{self._target_address(target_id)}/control/counts"
        async with self.session.get(url) as reply:
            return await reply.json()

    async def target_journal(self, target_id: str) -> list[Any]:
        """Returns the requests that a fake target ran: their keys and times."""
        url = f"http://{self._target_address(target_id)}/control/journal"
        async with self.session.get(url) as reply:
            runs: list[Any] = (await reply.json())["runs"]
            return runs

    def _target_address(self, target_id: str) -> str:
        for target in self.targets():
            if target["target_id"] == target_id:
                address: str = target["address"]
                return address
        raise KeyError(target_id)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replaces the faults of the fake platform (fake_platform.Faults)."""
        url = f"http://{self.platform}/control/faults"
        async with self.session.put(url, json=faults) as reply:
            reply.raise_for_status()

    async def platform_counts(self) -> Any:
        """Returns the fake platform's call counts by kind of call."""
        url = f"http://{self.platform}/control/counts"
        async with self.session.get(url) as reply:
            return await reply.json()

    async def platform_records(self, name: str) -> Any:
        """Returns the `client_counts` or `writes` of the fake platform."""
        url = f"http://{self.platform}/control/{name}"
        async with self.session.get(url) as reply:
            return await reply.json()

    async def set_listed_instances(
        self, live: list[str], leaving: list[str] | None = None
    ) -> None:
        """Replaces the platform's list of instances.

        Args:
          live: Ids of the instances listed as live.
          leaving: Ids of the instances listed as leaving.
        """
        entries = [
            {
                "instance_id": instance_id,
                "state": state,
                "peer_address": self.settings[instance_id]["peer_address"],
                "region": self.settings[instance_id]["region"],
                "zone": self.settings[instance_id]["zone"],
            }
            for state, ids in (("live", live), ("leaving", leaving or []))
            for instance_id in ids
        ]
        url = f"http://{self.platform}/control/instances"
        async with self.session.put(url, json={"instances": entries}) as reply:
            reply.raise_for_status()

    async def stop(self) -> None:
        """Kills all processes and releases the ports."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self.processes.clear()
        await self._stack.aclose()
        self._claim.close()


def caller_headers() -> dict[str, str]:
    """Returns the headers that authenticate the caller in the bundle."""
    return {"Authorization": f"Bearer {deployments.CALLER_TOKEN}"}


def _write(path: pathlib.Path, document: object) -> None:
    path.write_text(json.dumps(document) + "\n", encoding="utf-8")
