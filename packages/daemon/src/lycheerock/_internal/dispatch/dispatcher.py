"""Routes a request to the owner of its target, or to an own connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol

from lycheerock._internal.dispatch import lanes
from lycheerock._internal.dispatch import ownership
from lycheerock._internal.dispatch import ports
from lycheerock._internal.dispatch import work as work_lib
from lycheerock_model import bundle as bundle_lib

QUEUE_SIZE_MAX = 2_000


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
        candidates: Callable[[], Iterable[ownership.Candidate]],
        links: Mapping[str, Link],
    ):
        self._instance_id = instance_id
        self._candidates = candidates
        self._links = links
        self._ports: dict[str, ports.Port] = {}
        self._targets: dict[str, bundle_lib.Target] = {}
        self._mode = bundle_lib.DispatchMode.OWNER

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Takes targets and limits from a bundle."""
        self._mode = bundle.dispatch_mode
        for service in bundle.services:
            for target in service.targets:
                self._add_port(target, service, bundle.instance_count_max)

    def _add_port(
        self,
        target: bundle_lib.Target,
        service: bundle_lib.Service,
        instance_count_max: int,
    ) -> None:
        if self._targets.get(target.target_id) == target:
            return
        self._targets[target.target_id] = target
        lane = lanes.LaneSettings(
            f"http://{target.address}", service.reply_size_max_bytes
        )
        share = max(1, target.connection_limit // instance_count_max)
        self._ports[target.target_id] = ports.Port(
            ports.PortSettings(lane, target.slot_count, share, QUEUE_SIZE_MAX)
        )

    def owners(self, target_id: str) -> list[str]:
        """Returns the instances for a target, owner first."""
        target = self._targets[target_id]
        return list(
            ownership.rank(
                target_id, target.region, target.zone, self._candidates()
            )
        )

    def submit(self, work: work_lib.Work) -> asyncio.Future[work_lib.Result]:
        """Sends a request by way of the owner if it can be reached.

        Args:
          work: The request.

        Returns:
          A future that always gets a result; cancelling it gives up the
          request.
        """
        if self._mode == bundle_lib.DispatchMode.OWNER:
            owners = self.owners(work.target_id)
            link = self._links.get(owners[0]) if owners else None
            if link is not None and link.is_ready:
                return link.submit(work)
        return self.submit_here(work)

    def submit_here(
        self, work: work_lib.Work
    ) -> asyncio.Future[work_lib.Result]:
        """Sends a request over a connection of this instance."""
        port = self._ports.get(work.target_id)
        if port is not None:
            return port.submit(work)
        future = asyncio.get_running_loop().create_future()
        future.set_result(
            work_lib.Result(work_lib.Status.NOT_SENT, detail="unknown target")
        )
        return future

    def state(self) -> dict[str, dict[str, object]]:
        """Returns the state of each target for the state dump."""
        return {
            target_id: {
                "owners": self.owners(target_id)[:2],
                "in_flight": port.in_flight,
            }
            for target_id, port in self._ports.items()
        }

    async def close(self) -> None:
        """Closes all connections to targets."""
        for port in self._ports.values():
            await port.close()
