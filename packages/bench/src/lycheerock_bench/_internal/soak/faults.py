"""Injects overlapping random faults that are determined by a seed."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import time

from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal import fake_platform
from lycheerock_bench._internal.soak import deployment as deployment_lib
from lycheerock_bench._internal.soak import guarantees
from lycheerock_bench._internal.soak import proxy as proxy_lib
from lycheerock_bench._internal.soak import records

# Pause between the starts of two faults. Faults can last longer, so that some
# overlap.
GAP_MIN_S = 0.2
GAP_MAX_S = 1.2
DURATION_MIN_S = 0.3
DURATION_MAX_S = 3.0

# Time between starting the successor of a stopped target and reusing the
# target's address.
ADDRESS_REUSE_DELAY_S = 2.0
# Time for which a target keeps serving after it has announced draining.
DRAIN_DURATION_S = 3.5

# Share of the gaps in which a fault of `DECODING` starts as well, and number of
# the seed's second sequence, which leaves the first one as it was.
EXTRA_SHARE = 0.25
# Time from silencing connections to the change that must be applied.
CHANGE_DELAY_S = 0.5
# Minimum time between two such faults. Nothing is checked for STABLE_WINDOW_S
# after each, so that more frequent ones would hide their effect.
SILENCE_PERIOD_S = 9.0

# Contents that name no target: four that no decoder accepts, one that is too
# large, one with a number that no fixed-size type holds, and one that lacks
# fields and gives the address of no target.
_UNREADABLE_SPECS = (
    rb'"\udcff\udc80\udcfe"',
    b'{"service": "\xff\x80"}',
    b'{"slots": 1e999}',
    b"[" * 5_000 + b"]" * 5_000,
    b'"' + b"x" * 2 * 1_048_576 + b'"',
    b'{"service": "deska", "address": "127.0.0.1:9", "zone": "z1", '
    b'"version": "v1", "slots": 1%s, "state": "ready", '
    b'"warmup_left_ms": 0, "seq": 1, "born": 1}' % (b"0" * 400),
    b'{"service": "deska", "address": "127.0.0.1:9", "zone": "z1", '
    b'"slots": 4, "state": "ready", "warmup_left_ms": 0}',
)

_TARGET_FAULTS = (
    fake_http_target.Fault.RESET_AFTER_RUN,
    fake_http_target.Fault.SILENT,
    fake_http_target.Fault.SHED,
    fake_http_target.Fault.UNFRAMED_RESET,
    fake_http_target.Fault.EXTRA,
    fake_http_target.Fault.STALE_FIRST,
    fake_http_target.Fault.GARBAGE,
    fake_http_target.Fault.PLAIN_503,
    fake_http_target.Fault.ERROR,
    fake_http_target.Fault.FORGETS_IDLE,
)
_PROXY_FAULTS = (
    proxy_lib.ProxyFault.DELAY,
    proxy_lib.ProxyFault.ONE_WAY,
    proxy_lib.ProxyFault.SILENT,
)


class Injector:
    """Selects random faults and injects them."""

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        seed: int,
        *,
        is_decoding_only: bool = False,
    ) -> None:
        """Initializes the injector.

        Args:
          deployment: The deployment.
          seed: Seed of the choice of the faults.
          is_decoding_only: Whether to inject only faults of unreadable data and
            silent connections, beside planned changes. Other faults hide their
            effects, since nothing is checked for some time after them.
        """
        self._deployment = deployment
        self._random = random.Random(seed)
        self._extra_random = random.Random(f"{seed} decoding")
        self._unreadable_count = 0
        self._next_silence_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._claimed: set[str] = set()
        self._store_faults: list[fake_platform.Faults] = []
        self._injections: tuple[Callable[[], Awaitable[None]], ...] = (
            self._disrupt_target_path,
            self._disrupt_store_path,
            self._reset_paths,
            self._inject_target_fault,
            self._slow_target,
            self._take_down_store,
            self._slow_store,
            self._clear_store_history,
            self._terminate,
            self._terminate,
            self._kill,
            self._kill_many,
            self._pause,
            self._reload,
            self._change_configuration,
            self._change_configuration,
            self._drain_target,
            self._replace_target,
        )
        self._extra_injections: tuple[Callable[[], Awaitable[None]], ...] = (
            self._write_unreadable_entry,
            self._send_endless_chunks,
            self._silence_store_connections,
            self._silence_target_connections,
        )
        self._extra_share = EXTRA_SHARE
        if is_decoding_only:
            self._extra_share = 1.0
            self._injections = (
                self._reload,
                self._change_configuration,
                self._drain_target,
            )

    async def run(self, duration_s: float) -> None:
        """Injects faults for `duration_s` and waits until all have ended."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            injection = self._random.choice(self._injections)
            task = asyncio.create_task(self._run_injection(injection))
            self._tasks.add(task)
            if self._extra_random.random() < self._extra_share:
                extra = self._extra_random.choice(self._extra_injections)
                task = asyncio.create_task(self._run_injection(extra))
                self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(GAP_MIN_S, GAP_MAX_S))
        await asyncio.gather(*self._tasks)

    async def _run_injection(
        self, injection: Callable[[], Awaitable[None]]
    ) -> None:
        await injection()

    def _record_start(self, kind: str, scope: str) -> records.FaultRecord:
        record = records.FaultRecord(kind, scope, time.monotonic())
        self._deployment.journal.fault_records.append(record)
        return record

    async def _wait_and_record_end(self, record: records.FaultRecord) -> None:
        await asyncio.sleep(
            self._random.uniform(DURATION_MIN_S, DURATION_MAX_S)
        )
        record.end_s = time.monotonic()

    def _pick_target(self) -> str:
        available = sorted(self._deployment.targets.keys() - self._claimed)
        return self._random.choice(available)

    def _claim_gateway(self) -> deployment_lib.Gateway | None:
        free = [
            g for g in self._deployment.gateways if g.scope not in self._claimed
        ]
        if not free:
            return None
        gateway = self._random.choice(free)
        self._claimed.add(gateway.scope)
        return gateway

    async def _disrupt_target_path(self) -> None:
        proxy = self._deployment.proxies[self._pick_target()]
        await self._disrupt_path(proxy, "targets")

    async def _disrupt_store_path(self) -> None:
        gateway = self._random.choice(self._deployment.gateways)
        assert gateway.store_proxy is not None
        # Instances that receive their feed from this one are not in the scope.
        await self._disrupt_path(gateway.store_proxy, gateway.scope)

    async def _disrupt_path(self, proxy: proxy_lib.Proxy, scope: str) -> None:
        fault = self._random.choice(_PROXY_FAULTS)
        record = self._record_start(f"path {fault}", scope)
        proxy.delay_s = self._random.uniform(0.02, 0.3)
        proxy.fault = fault
        await self._wait_and_record_end(record)
        proxy.fault = proxy_lib.ProxyFault.NONE

    async def _reset_paths(self) -> None:
        names = sorted(self._deployment.proxies)
        chosen = self._random.sample(names, len(names) // 2)
        record = self._record_start("path reset", "targets")
        for name in chosen:
            self._deployment.proxies[name].reset()
        record.end_s = time.monotonic()

    async def _inject_target_fault(self) -> None:
        target = self._deployment.targets[self._pick_target()]
        fault = self._random.choice(_TARGET_FAULTS)
        record = self._record_start(f"target {fault}", "targets")
        target.fault = fault
        await self._wait_and_record_end(record)
        target.fault = fake_http_target.Fault.NONE

    async def _slow_target(self) -> None:
        target = self._deployment.targets[self._pick_target()]
        record = self._record_start("target slow", "targets")
        target.delay_s = self._random.uniform(0.1, 0.6)
        await self._wait_and_record_end(record)
        target.delay_s = deployment_lib.SERVICE_TIME_S

    async def _take_down_store(self) -> None:
        client = self._random.choice(("", "g0", "g1", "g2"))
        scope = f"gateway {client[1:]}" if client else "store"
        await self._inject_store_faults(
            fake_platform.Faults(down=True, client=client), scope
        )

    async def _slow_store(self) -> None:
        delay_ms = self._random.uniform(50.0, 400.0)
        await self._inject_store_faults(
            fake_platform.Faults(delay_ms=delay_ms), "store"
        )

    async def _inject_store_faults(
        self, faults: fake_platform.Faults, scope: str
    ) -> None:
        """Injects store faults; the latest of several active ones applies."""
        record = self._record_start(f"store {faults}", scope)
        self._store_faults.append(faults)
        self._deployment.platform.set_faults(faults)
        await self._wait_and_record_end(record)
        self._store_faults.remove(faults)
        remaining = self._store_faults or [fake_platform.Faults()]
        self._deployment.platform.set_faults(remaining[-1])

    async def _clear_store_history(self) -> None:
        record = self._record_start("store history", "store")
        await self._deployment.platform.compact_history()
        record.end_s = time.monotonic()

    async def _terminate(self) -> None:
        """Stops and restarts a gateway.

        Only the restart is recorded as a fault: a planned stop must not drop
        any request.
        """
        gateway = self._claim_gateway()
        if gateway is None:
            return
        gateway.send_signal(signal.SIGTERM)
        await gateway.wait_ended(deployment_lib.GRACE_LIMIT_S)
        record = self._record_start("start", gateway.scope)
        gateway.start()
        record.end_s = time.monotonic()
        self._claimed.discard(gateway.scope)

    async def _kill(self) -> None:
        gateway = self._claim_gateway()
        if gateway is not None:
            await self._kill_and_restart(gateway)

    async def _kill_many(self) -> None:
        claimed = [self._claim_gateway() for _ in range(2)]
        await asyncio.gather(
            *(self._kill_and_restart(g) for g in claimed if g is not None)
        )

    async def _kill_and_restart(self, gateway: deployment_lib.Gateway) -> None:
        record = self._record_start("kill", gateway.scope)
        gateway.send_signal(signal.SIGKILL)
        await gateway.wait_ended(1.0)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        gateway.start()
        record.end_s = time.monotonic()
        self._claimed.discard(gateway.scope)

    async def _pause(self) -> None:
        gateway = self._claim_gateway()
        if gateway is None:
            return
        record = self._record_start("pause", gateway.scope)
        gateway.send_signal(signal.SIGSTOP)
        await self._wait_and_record_end(record)
        gateway.send_signal(signal.SIGCONT)
        record.end_s = time.monotonic()
        self._claimed.discard(gateway.scope)

    async def _reload(self) -> None:
        """Sends the reload signal to a gateway.

        It is not recorded as a fault, since the settings file is unchanged, so
        no request may fail.
        """
        gateway = self._random.choice(self._deployment.gateways)
        if gateway.has_started:
            gateway.send_signal(signal.SIGHUP)

    async def _change_configuration(self) -> None:
        await self._deployment.publish_configuration(
            self._random.choice(deployment_lib.FORWARD_SERVICES),
            self._random.choice(deployment_lib.SHARD_SETS),
        )

    async def _drain_target(self) -> None:
        """Starts a successor of a target, then drains and stops the target."""
        name = self._pick_target()
        self._claimed.add(name)
        zone = self._random.choice(deployment_lib.ZONES)
        await self._deployment.add_target(name.partition("-")[0], zone)
        await self._deployment.register_target(name, zone, "draining")
        self._deployment.journal.drain_announced_s[name] = time.monotonic()
        await asyncio.sleep(DRAIN_DURATION_S)
        await self._deployment.platform.remove("servers", name)
        await self._deployment.targets[name].stop()

    async def _replace_target(self) -> None:
        """Stops a target and reuses its address for another service."""
        name = self._pick_target()
        self._claimed.add(name)
        deployment = self._deployment
        service = name.partition("-")[0]
        zone = self._random.choice(deployment_lib.ZONES)
        record = self._record_start("target lost", "targets")
        old = deployment.targets[name]
        await old.stop()
        record.end_s = time.monotonic()
        await deployment.add_target(service, zone)
        await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        others = [s for s in deployment_lib.FORWARD_SERVICES if s != service]
        # The new target listens on the port of the stopped one, so the proxy of
        # the stopped target forwards to it.
        new = await deployment.add_target(others[0], zone, old.port)
        await deployment.register_target(new, zone, "ready")
        await deployment.platform.remove("servers", name)

    async def _write_unreadable_entry(self) -> None:
        """Writes an entry as another writer may.

        It is not recorded as a fault: the other entries must still be read.
        """
        self._unreadable_count += 1
        await self._deployment.platform.store_raw(
            self._extra_random.choice(("servers", "config")),
            f"unreadable-{self._unreadable_count}",
            self._extra_random.choice(_UNREADABLE_SPECS),
        )

    async def _send_endless_chunks(self) -> None:
        """Lets two targets of each shard send chunks of one byte."""
        targets = self._deployment.targets
        chosen = [
            name
            for shard in deployment_lib.SHARD_SETS[0]
            for name in [n for n in targets if n.startswith(f"{shard}-")][:2]
        ]
        fault = fake_http_target.Fault.ENDLESS_CHUNKS
        record = self._record_start(f"target {fault}", "targets")
        for name in chosen:
            targets[name].fault = fault
        await asyncio.sleep(
            self._extra_random.uniform(DURATION_MIN_S, DURATION_MAX_S)
        )
        for name in chosen:
            targets[name].fault = fake_http_target.Fault.NONE
        record.end_s = time.monotonic()

    async def _silence_store_connections(self) -> None:
        """Silences all open connections to the store, and changes routes."""
        if time.monotonic() < self._next_silence_s:
            return
        self._next_silence_s = time.monotonic() + SILENCE_PERIOD_S
        for gateway in self._deployment.gateways:
            assert gateway.store_proxy is not None
            record = self._record_start("store silent", gateway.scope)
            gateway.store_proxy.silence_open()
            # A configuration must be in force STABLE_WINDOW_S after the fault,
            # however long it is published. The check assumes that the fault
            # also delays it by APPLY_LIMIT_S.
            record.end_s = record.start_s - guarantees.APPLY_LIMIT_S
        await asyncio.sleep(CHANGE_DELAY_S)
        await self._deployment.publish_configuration(
            self._extra_random.choice(deployment_lib.FORWARD_SERVICES),
            self._extra_random.choice(deployment_lib.SHARD_SETS),
        )

    async def _silence_target_connections(self) -> None:
        """Silences the open connections to half of the targets."""
        names = sorted(self._deployment.proxies)
        record = self._record_start("targets silent", "targets")
        for name in self._extra_random.sample(names, len(names) // 2):
            self._deployment.proxies[name].silence_open()
        record.end_s = time.monotonic()
