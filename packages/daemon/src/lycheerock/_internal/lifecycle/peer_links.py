"""Opens and closes the streams to peers as members come and go."""

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping

from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import links as links_lib


class PeerLinks(Mapping[str, links_lib.PeerLink]):
    """The link to each running peer by instance id."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._links: dict[str, links_lib.PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def __getitem__(self, instance_id: str) -> links_lib.PeerLink:
        return self._links[instance_id]

    def __iter__(self) -> Iterator[str]:
        return iter(self._links)

    def __len__(self) -> int:
        return len(self._links)

    def follow(self, member: members_lib.Member) -> None:
        """Adjusts the link to a member whose entry has changed."""
        if member.instance_id == self._own_id:
            return
        link = self._links.get(member.instance_id)
        if not member.is_running:
            self._close(member.instance_id)
        elif link is None or link.address != member.peer_address:
            self._close(member.instance_id)
            link = links_lib.PeerLink(member.peer_address)
            self._links[member.instance_id] = link
            self._tasks[member.instance_id] = asyncio.create_task(link.run())

    def _close(self, instance_id: str) -> None:
        self._links.pop(instance_id, None)
        task = self._tasks.pop(instance_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Closes all links."""
        for instance_id in list(self._links):
            self._close(instance_id)
