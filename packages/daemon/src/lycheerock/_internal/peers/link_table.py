"""The links to all peers; peers come and go at run time."""

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping

from lycheerock._internal.peers import links


class LinkTable(Mapping[str, links.PeerLink]):
    """Owns one link and its task per peer, by instance id."""

    def __init__(self) -> None:
        self._links: dict[str, links.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __getitem__(self, instance_id: str) -> links.PeerLink:
        return self._links[instance_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._links)

    def __len__(self) -> int:
        return len(self._links)

    def add(self, instance_id: str, address: str) -> None:
        """Opens a link; an open one to the same address is kept.

        Args:
          instance_id: The peer.
          address: Address of its gRPC interface.
        """
        known = self._links.get(instance_id)
        if known is not None and known.address == address:
            return
        self.remove(instance_id)
        link = links.PeerLink(address)
        self._links[instance_id] = link
        self._tasks[instance_id] = asyncio.get_running_loop().create_task(
            link.run()
        )

    def remove(self, instance_id: str) -> None:
        """Closes a link; its pending requests end as after a lost stream."""
        self._links.pop(instance_id, None)
        task = self._tasks.pop(instance_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Closes all links and waits until they are closed."""
        tasks = tuple(self._tasks.values())
        for instance_id in tuple(self._links):
            self.remove(instance_id)
        if tasks:
            await asyncio.wait(tasks)
