"""Routes requests through the owner of the target or sends them directly."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import time
from typing import Protocol

from lycheerock._internal.dispatch import connection as connection_lib
from lycheerock._internal.dispatch import ownership
from lycheerock._internal.dispatch import pool_actions
from lycheerock._internal.dispatch import target_pool
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.dispatch import work as work_lib
from lycheerock_model import bundle as bundle_lib


class Link(Protocol):
    """Stream to one peer instance."""

    @property
    def is_ready(self) -> bool:
        """Whether the stream accepts requests."""
        ...

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Sends one request to the peer."""
        ...


class Dispatcher:
    """Manages the pools of all targets and routes requests to their owners."""

    def __init__(
        self,
        instance_id: str,
        candidates: Callable[[], Sequence[ownership.Candidate]],
        links: Mapping[str, Link],
        target_states: target_states_lib.TargetStates,
    ):
        """Creates a dispatcher without targets; `apply` adds them.

        Args:
          instance_id: Id of this instance.
          candidates: Returns the live instances, including this one. It should
            return the same object until they change.
          links: Streams to peers by instance id; the mapping may change.
          target_states: Latest known states of the targets.
        """
        self._instance_id = instance_id
        self._ranks = ownership.RankCache(candidates)
        self._links = links
        self._target_states = target_states
        # Keyed by address, so that a target that is renamed or added again
        # while its connections are still open keeps one set of limits.
        self._pools: dict[str, target_pool.TargetPool] = {}
        self._targets: dict[str, bundle_lib.Target] = {}
        self._mode = bundle_lib.DispatchMode.OWNER

    @property
    def in_flight(self) -> int:
        """Number of requests in flight on connections of this instance."""
        return sum(pool.in_flight for pool in self._pools.values())

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Applies the targets and limits of a bundle.

        Requests in flight continue. Queued requests for a removed target get
        the status LEAVING.
        """
        self._mode = bundle.dispatch_mode
        self._ranks.clear()
        self._targets = {
            target.target_id: target
            for service in bundle.services
            for target in service.targets
        }
        addresses = set()
        for address, settings in _pool_settings(bundle):
            addresses.add(address)
            pool = self._pools.get(address)
            if pool is None:
                on_empty = functools.partial(self._remove_pool, address)
                self._pools[address] = target_pool.TargetPool(
                    settings, self._target_states, on_empty
                )
            else:
                pool.update(settings)
        for address in tuple(self._pools):
            if address not in addresses:
                self._pools[address].retire()

    def _remove_pool(self, address: str) -> None:
        self._pools.pop(address, None)

    def owners(self, target_id: str) -> Sequence[str]:
        """Returns the instances ranked for a target, owner first."""
        target = self._targets[target_id]
        return self._ranks.rank(target_id, target.region, target.zone)

    def is_owner(self, target_id: str) -> bool:
        """Returns whether this instance owns a target of the bundle."""
        if target_id not in self._targets:
            return False
        return self.owners(target_id)[0] == self._instance_id

    def submit(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Sends a request through the owner or standby, or else directly.

        Args:
          work: The request.

        Returns:
          A future that always gets a result. Cancelling it aborts the request
          unless it is a booking that may have been sent.
        """
        refusal = self._refusal(work)
        if refusal is not None:
            return _completed(refusal)
        link = self._owner_link(work.target_id)
        if link is None:
            return self.submit_direct(work)
        return _ForwardedRequest(work, link, self.submit_direct).future

    def _owner_link(self, target_id: str) -> Link | None:
        """Returns the link to send through, or None to send directly.

        The owner is preferred; the standby is used while the link to the owner
        is down.
        """
        if self._mode == bundle_lib.DispatchMode.DIRECT:
            return None
        for instance_id in self.owners(target_id)[:2]:
            if instance_id == self._instance_id:
                return None
            link = self._links.get(instance_id)
            if link is not None and link.is_ready:
                return link
        return None

    def submit_direct(
        self, work: work_lib.TargetRequest
    ) -> asyncio.Future[work_lib.TargetResult]:
        """Sends a request on a connection of this instance."""
        refusal = self._refusal(work)
        if refusal is not None:
            return _completed(refusal)
        return self._pools[self._targets[work.target_id].address].submit(work)

    def _refusal(
        self, work: work_lib.TargetRequest
    ) -> work_lib.TargetResult | None:
        if work.target_id not in self._targets:
            return work_lib.TargetResult(
                work_lib.Status.NOT_SENT, detail="unknown target"
            )
        is_draining = self._target_states.is_draining(work.target_id)
        if is_draining and not work.is_probe:
            return work_lib.TargetResult(work_lib.Status.LEAVING)
        return None

    def state(self) -> dict[str, dict[str, object]]:
        """Returns the state of each target for the state dump."""
        return {
            target_id: self._target_state(target)
            for target_id, target in self._targets.items()
        }

    def _target_state(self, target: bundle_lib.Target) -> dict[str, object]:
        pool = self._pools[target.address]
        return {
            "owners": list(self.owners(target.target_id)[:2]),
            "in_flight": pool.in_flight,
            "waiting": pool.waiting,
            "limit": pool.limit,
            "connections": pool.connection_count,
            "silent_connections": pool.silent_count,
            "leaving": self._target_states.is_draining(target.target_id),
        }

    async def close(self) -> None:
        """Closes all connections to targets."""
        for pool in tuple(self._pools.values()):
            await pool.close()


class _ForwardedRequest:
    """Sends one request through a peer, and directly if that stream is lost.

    A request is only sent directly if it is idempotent or if its status proves
    that the target did not run it.
    """

    def __init__(
        self,
        work: work_lib.TargetRequest,
        link: Link,
        submit_direct: Callable[
            [work_lib.TargetRequest], asyncio.Future[work_lib.TargetResult]
        ],
    ):
        self._work = work
        self._submit_direct = submit_direct
        self.future: asyncio.Future[work_lib.TargetResult]
        self.future = asyncio.get_running_loop().create_future()
        self.future.add_done_callback(self._on_future_done)
        self._inner = link.submit(work)
        self._inner.add_done_callback(self._on_link_done)

    def _on_future_done(
        self, future: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        if future.cancelled():
            self._inner.cancel()

    def _on_link_done(
        self, inner: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        if inner.cancelled() or self.future.done():
            return
        result = inner.result()
        if result.is_stream_lost and self._may_retry(result):
            self._inner = self._submit_direct(self._work)
            self._inner.add_done_callback(self._on_direct_done)
        else:
            self.future.set_result(result)

    def _may_retry(self, result: work_lib.TargetResult) -> bool:
        is_safe = self._work.idempotent or work_lib.proves_not_run(
            result.status
        )
        return is_safe and time.monotonic() < self._work.deadline_s

    def _on_direct_done(
        self, inner: asyncio.Future[work_lib.TargetResult]
    ) -> None:
        if not inner.cancelled() and not self.future.done():
            self.future.set_result(inner.result())


def _pool_settings(
    bundle: bundle_lib.Bundle,
) -> Iterator[tuple[str, target_pool.PoolSettings]]:
    for service in bundle.services:
        for target in service.targets:
            connection = connection_lib.ConnectionSettings(
                f"http://{target.address}", service.reply_size_max_bytes
            )
            limits = pool_actions.PoolLimits(
                _slot_share(target.slot_count, bundle),
                max(1, target.connection_limit // bundle.instance_count_max),
            )
            yield target.address, target_pool.PoolSettings(connection, limits)


def _slot_share(slot_count: int, bundle: bundle_lib.Bundle) -> int:
    if bundle.dispatch_mode == bundle_lib.DispatchMode.OWNER:
        return slot_count
    return max(1, slot_count // bundle.instance_count_max)


def _completed(
    result: work_lib.TargetResult,
) -> asyncio.Future[work_lib.TargetResult]:
    future: asyncio.Future[work_lib.TargetResult]
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future
