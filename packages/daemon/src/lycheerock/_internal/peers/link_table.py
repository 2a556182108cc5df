"""The links to all peers, which can be added and removed at run time."""

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping

from lycheerock._internal.peers import links


class LinkTable(Mapping[str, links.PeerLink]):
    """Maps instance IDs to links and owns the tasks that run them."""

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
        """Opens a link, replacing one with a different address.

        A link with the same address is kept.

        Args:
          instance_id: ID of the peer.
          address: Address of the peer's gRPC interface.
        """
        existing = self._links.get(instance_id)
        if existing is not None and existing.address == address:
            return
        self.remove(instance_id)
        link = links.PeerLink(address)
        self._links[instance_id] = link
        self._tasks[instance_id] = asyncio.get_running_loop().create_task(
            link.run()
        )

    def remove(self, instance_id: str) -> None:
        """Closes a link; its pending requests fail as with a lost stream."""
        self._links.pop(instance_id, None)
        task = self._tasks.pop(instance_id, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Closes all links and waits for their tasks to end."""
        tasks = tuple(self._tasks.values())
        for instance_id in tuple(self._links):
            self.remove(instance_id)
        if tasks:
            await asyncio.wait(tasks)
