"""Faults that come in series and overlap, drawn from a seed."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import time

from lycheerock_bench._internal import fake_http_target
from lycheerock_bench._internal import fake_platform
from lycheerock_bench._internal.soak import deployment as deployment_lib
from lycheerock_bench._internal.soak import proxy as proxy_lib
from lycheerock_bench._internal.soak import records

# Pause between two faults; faults last longer, so that some overlap.
GAP_MIN_S = 0.2
GAP_MAX_S = 1.2
LENGTH_MIN_S = 0.3
LENGTH_MAX_S = 3.0

# Time between the end of a target and the reuse of its address.
REUSE_AFTER_S = 2.0
# A target serves on for this long after its announcement.
LEAVE_AFTER_S = 3.5

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
_HARMS = (
    proxy_lib.Harm.DELAY,
    proxy_lib.Harm.ONE_WAY,
    proxy_lib.Harm.SILENT,
)


class Injector:
    """Draws faults and carries them out."""

    def __init__(
        self, deployment: deployment_lib.Deployment, seed: int
    ) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._store_faults: list[fake_platform.Faults] = []
        self._kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._harm_target_path,
            self._harm_store_path,
            self._reset_paths,
            self._spoil_target,
            self._slow_target,
            self._lose_store,
            self._slow_store,
            self._forget_history,
            self._terminate,
            self._terminate,
            self._kill,
            self._kill_many,
            self._pause,
            self._reload,
            self._change_configuration,
            self._change_configuration,
            self._release_target,
            self._replace_target,
        )

    async def run(self, duration_s: float) -> None:
        """Injects faults for a time and waits until all have ended."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            fault = self._random.choice(self._kinds)
            task = asyncio.create_task(self._carry_out(fault))
            self._tasks.add(task)
            await asyncio.sleep(self._random.uniform(GAP_MIN_S, GAP_MAX_S))
        await asyncio.gather(*self._tasks)

    async def _carry_out(self, fault: Callable[[], Awaitable[None]]) -> None:
        await fault()

    def _begin(self, kind: str, scope: str) -> records.Disturbance:
        disturbance = records.Disturbance(kind, scope, time.monotonic())
        self._deployment.journal.disturbances.append(disturbance)
        return disturbance

    async def _last(self, disturbance: records.Disturbance) -> None:
        await asyncio.sleep(self._random.uniform(LENGTH_MIN_S, LENGTH_MAX_S))
        disturbance.end_s = time.monotonic()

    def _some_target(self) -> str:
        listed = sorted(self._deployment.targets.keys() - self._busy)
        return self._random.choice(listed)

    def _claim_gateway(self) -> deployment_lib.Gateway | None:
        free = [
            g for g in self._deployment.gateways if g.scope not in self._busy
        ]
        if not free:
            return None
        gateway = self._random.choice(free)
        self._busy.add(gateway.scope)
        return gateway

    async def _harm_target_path(self) -> None:
        path = self._deployment.paths[self._some_target()]
        await self._harm(path, "targets")

    async def _harm_store_path(self) -> None:
        gateway = self._random.choice(self._deployment.gateways)
        assert gateway.store_path is not None
        # Whoever takes feeds from this instance is not concerned.
        await self._harm(gateway.store_path, gateway.scope)

    async def _harm(self, path: proxy_lib.Proxy, scope: str) -> None:
        harm = self._random.choice(_HARMS)
        disturbance = self._begin(f"path {harm}", scope)
        path.delay_s = self._random.uniform(0.02, 0.3)
        path.harm = harm
        await self._last(disturbance)
        path.harm = proxy_lib.Harm.NONE

    async def _reset_paths(self) -> None:
        names = sorted(self._deployment.paths)
        chosen = self._random.sample(names, len(names) // 2)
        disturbance = self._begin("path reset", "targets")
        for name in chosen:
            self._deployment.paths[name].reset()
        disturbance.end_s = time.monotonic()

    async def _spoil_target(self) -> None:
        target = self._deployment.targets[self._some_target()]
        fault = self._random.choice(_TARGET_FAULTS)
        disturbance = self._begin(f"target {fault}", "targets")
        target.fault = fault
        await self._last(disturbance)
        target.fault = fake_http_target.Fault.NONE

    async def _slow_target(self) -> None:
        target = self._deployment.targets[self._some_target()]
        disturbance = self._begin("target slow", "targets")
        target.delay_s = self._random.uniform(0.1, 0.6)
        await self._last(disturbance)
        target.delay_s = deployment_lib.WORK_S

    async def _lose_store(self) -> None:
        client = self._random.choice(("", "g0", "g1", "g2"))
        scope = f"gateway {client[1:]}" if client else "store"
        await self._store(fake_platform.Faults(down=True, client=client), scope)

    async def _slow_store(self) -> None:
        delay_ms = self._random.uniform(50.0, 400.0)
        await self._store(fake_platform.Faults(delay_ms=delay_ms), "store")

    async def _store(self, faults: fake_platform.Faults, scope: str) -> None:
        """Of faults that overlap, the latest holds until all have ended."""
        disturbance = self._begin(f"store {faults}", scope)
        self._store_faults.append(faults)
        self._deployment.platform.set_faults(faults)
        await self._last(disturbance)
        self._store_faults.remove(faults)
        left = self._store_faults or [fake_platform.Faults()]
        self._deployment.platform.set_faults(left[-1])

    async def _forget_history(self) -> None:
        disturbance = self._begin("store history", "store")
        await self._deployment.platform.forget_history()
        disturbance.end_s = time.monotonic()

    async def _terminate(self) -> None:
        """A planned stop; it is no disturbance, since it must cut nothing."""
        gateway = self._claim_gateway()
        if gateway is None:
            return
        gateway.send(signal.SIGTERM)
        await gateway.wait_ended(deployment_lib.GRACE_S)
        restarted = self._begin("start", gateway.scope)
        gateway.start()
        restarted.end_s = time.monotonic()
        self._busy.discard(gateway.scope)

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
        disturbance = self._begin("kill", gateway.scope)
        gateway.send(signal.SIGKILL)
        await gateway.wait_ended(1.0)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        gateway.start()
        disturbance.end_s = time.monotonic()
        self._busy.discard(gateway.scope)

    async def _pause(self) -> None:
        gateway = self._claim_gateway()
        if gateway is None:
            return
        disturbance = self._begin("pause", gateway.scope)
        gateway.send(signal.SIGSTOP)
        await self._last(disturbance)
        gateway.send(signal.SIGCONT)
        disturbance.end_s = time.monotonic()
        self._busy.discard(gateway.scope)

    async def _reload(self) -> None:
        """A reload is no disturbance either."""
        gateway = self._random.choice(self._deployment.gateways)
        if gateway.has_started:
            gateway.send(signal.SIGHUP)

    async def _change_configuration(self) -> None:
        await self._deployment.configure(
            self._random.choice(deployment_lib.DESKS),
            self._random.choice(deployment_lib.SHARD_SETS),
        )

    async def _release_target(self) -> None:
        """Announces the end of a target, whose successor has started."""
        name = self._some_target()
        self._busy.add(name)
        zone = self._random.choice(deployment_lib.ZONES)
        await self._deployment.add_target(name.partition("-")[0], zone)
        await self._deployment.list_target(name, zone, "draining")
        self._deployment.journal.leaving_s[name] = time.monotonic()
        await asyncio.sleep(LEAVE_AFTER_S)
        await self._deployment.platform.remove("servers", name)
        await self._deployment.targets[name].stop()

    async def _replace_target(self) -> None:
        """Ends a target; its address goes to a target of another service."""
        name = self._some_target()
        self._busy.add(name)
        deployment = self._deployment
        service = name.partition("-")[0]
        zone = self._random.choice(deployment_lib.ZONES)
        disturbance = self._begin("target lost", "targets")
        old = deployment.targets[name]
        await old.stop()
        disturbance.end_s = time.monotonic()
        await deployment.add_target(service, zone)
        await asyncio.sleep(REUSE_AFTER_S)
        others = [s for s in deployment_lib.DESKS if s != service]
        # The path of the lost target leads to the new one from now on.
        new = await deployment.add_target(others[0], zone, old.port)
        await deployment.list_target(new, zone, "ready")
        await deployment.platform.remove("servers", name)
