"""Routes a request to the owner of its target, or to an own connection."""

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
    """The stream to one peer."""

    @property
    def is_ready(self) -> bool:
        """Whether requests can be handed to the stream."""
        ...

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Sends one request to the peer."""
        ...


class Dispatcher:
    """Owns the ports of all targets and knows their owners."""

    def __init__(
        self,
        instance_id: str,
        candidates: Callable[[], Sequence[ownership.Candidate]],
        links: Mapping[str, Link],
        target_states: target_states_lib.TargetStates,
    ):
        """Creates a dispatcher without targets.

        Args:
          instance_id: This instance.
          candidates: Returns the live instances, this one included; the same
            object until they change.
          links: Streams to peers by instance id; entries may come and go.
          target_states: Reports on leaving targets.
        """
        self._instance_id = instance_id
        self._ranks = ownership.RankCache(candidates)
        self._links = links
        self._target_states = target_states
        # By address, so that a target that is renamed or comes back while its
        # connections are still open keeps one set of limits.
        self._ports: dict[str, target_pool.Port] = {}
        self._targets: dict[str, bundle_lib.Target] = {}
        self._mode = bundle_lib.DispatchMode.OWNER

    @property
    def in_flight(self) -> int:
        """Requests on connections of this instance."""
        return sum(port.in_flight for port in self._ports.values())

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Takes targets and limits from a bundle.

        Requests in flight continue. Requests that wait for a removed target get
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
        for address, settings in _port_settings(bundle):
            addresses.add(address)
            port = self._ports.get(address)
            if port is None:
                on_empty = functools.partial(self._forget, address)
                self._ports[address] = target_pool.Port(
                    settings, self._target_states, on_empty
                )
            else:
                port.update(settings)
        for address in tuple(self._ports):
            if address not in addresses:
                self._ports[address].retire()

    def _forget(self, address: str) -> None:
        self._ports.pop(address, None)

    def owners(self, target_id: str) -> Sequence[str]:
        """Returns the instances for a target, owner first."""
        target = self._targets[target_id]
        return self._ranks.rank(target_id, target.region, target.zone)

    def is_owner(self, target_id: str) -> bool:
        """Tells whether this instance owns a target of the bundle."""
        if target_id not in self._targets:
            return False
        return self.owners(target_id)[0] == self._instance_id

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Sends a request by way of the owner if it can be reached.

        Args:
          work: The request.

        Returns:
          A future that always gets a result; cancelling it gives up the
          request unless it is a booking that may have been sent.
        """
        refusal = self._refusal(work)
        if refusal is not None:
            return _resolved(refusal)
        link = self._owner_link(work.target_id)
        if link is None:
            return self.submit_here(work)
        return _Relay(work, link, self.submit_here).reply

    def _owner_link(self, target_id: str) -> Link | None:
        """Returns the link to the owner, or to the standby if it is lost."""
        if self._mode == bundle_lib.DispatchMode.DIRECT:
            return None
        for instance_id in self.owners(target_id)[:2]:
            if instance_id == self._instance_id:
                return None
            link = self._links.get(instance_id)
            if link is not None and link.is_ready:
                return link
        return None

    def submit_here(
        self, work: work_lib.Work
    ) -> asyncio.Future[work_lib.Result]:
        """Sends a request over a connection of this instance."""
        refusal = self._refusal(work)
        if refusal is not None:
            return _resolved(refusal)
        return self._ports[self._targets[work.target_id].address].submit(work)

    def _refusal(self, work: work_lib.Work) -> work_lib.Result | None:
        if work.target_id not in self._targets:
            return work_lib.Result(
                work_lib.Status.NOT_SENT, detail="unknown target"
            )
        is_leaving = self._target_states.is_leaving(work.target_id)
        if is_leaving and not work.is_probe:
            return work_lib.Result(work_lib.Status.LEAVING)
        return None

    def state(self) -> dict[str, dict[str, object]]:
        """Returns the state of each target for the state dump."""
        return {
            target_id: self._target_state(target)
            for target_id, target in self._targets.items()
        }

    def _target_state(self, target: bundle_lib.Target) -> dict[str, object]:
        port = self._ports[target.address]
        return {
            "owners": list(self.owners(target.target_id)[:2]),
            "in_flight": port.in_flight,
            "waiting": port.waiting,
            "limit": port.limit,
            "connections": port.connections,
            "silent_connections": port.silent_count,
            "leaving": self._target_states.is_leaving(target.target_id),
        }

    async def close(self) -> None:
        """Closes all connections to targets."""
        for port in tuple(self._ports.values()):
            await port.close()


class _Relay:
    """Sends one request to the owner, and directly if its stream is lost.

    The direct send is for idempotent work and for work that was certainly not
    handed to the stream.
    """

    def __init__(
        self,
        work: work_lib.Work,
        link: Link,
        submit_here: Callable[[work_lib.Work], asyncio.Future[work_lib.Result]],
    ):
        self._work = work
        self._submit_here = submit_here
        self.reply: asyncio.Future[work_lib.Result]
        self.reply = asyncio.get_running_loop().create_future()
        self.reply.add_done_callback(self._on_reply_done)
        self._inner = link.submit(work)
        self._inner.add_done_callback(self._on_link_done)

    def _on_reply_done(self, reply: asyncio.Future[work_lib.Result]) -> None:
        if reply.cancelled():
            self._inner.cancel()

    def _on_link_done(self, inner: asyncio.Future[work_lib.Result]) -> None:
        if inner.cancelled() or self.reply.done():
            return
        result = inner.result()
        if result.is_stream_lost and self._may_send_again(result):
            self._inner = self._submit_here(self._work)
            self._inner.add_done_callback(self._on_direct_done)
        else:
            self.reply.set_result(result)

    def _may_send_again(self, result: work_lib.Result) -> bool:
        is_safe = self._work.idempotent or work_lib.is_not_run(result.status)
        return is_safe and time.monotonic() < self._work.deadline_s

    def _on_direct_done(self, inner: asyncio.Future[work_lib.Result]) -> None:
        if not inner.cancelled() and not self.reply.done():
            self.reply.set_result(inner.result())


def _port_settings(
    bundle: bundle_lib.Bundle,
) -> Iterator[tuple[str, target_pool.PortSettings]]:
    for service in bundle.services:
        for target in service.targets:
            lane = connection_lib.LaneSettings(
                f"http://{target.address}", service.reply_size_max_bytes
            )
            limits = pool_actions.PortLimits(
                _slots(target.slot_count, bundle),
                max(1, target.connection_limit // bundle.instance_count_max),
            )
            yield target.address, target_pool.PortSettings(lane, limits)


def _slots(slot_count: int, bundle: bundle_lib.Bundle) -> int:
    if bundle.dispatch_mode == bundle_lib.DispatchMode.OWNER:
        return slot_count
    return max(1, slot_count // bundle.instance_count_max)


def _resolved(result: work_lib.Result) -> asyncio.Future[work_lib.Result]:
    future: asyncio.Future[work_lib.Result]
    future = asyncio.get_running_loop().create_future()
    future.set_result(result)
    return future
