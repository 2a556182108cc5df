"""Updates links and target owner candidates as the members change."""

from collections.abc import Callable
from collections.abc import Sequence

from lycheerock._internal.dispatch import ownership
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import link_table


def create_link_updater(
    links: link_table.LinkTable, own_id: str
) -> Callable[[members_lib.Member], None]:
    """Creates a listener that opens and closes links as members change.

    Args:
      links: Links to peers.
      own_id: Id of this instance, which needs no link.

    Returns:
      Listener for changes of the member directory.
    """

    def update(member: members_lib.Member) -> None:
        if member.instance_id == own_id:
            return
        if member.is_running:
            links.add(member.instance_id, member.peer_address)
        else:
            links.remove(member.instance_id)

    return update


class OwnerCandidates:
    """Members that may own targets: those that run and are not leaving.

    The sequence stays the same object until a member changes, so callers can
    cache values derived from it.
    """

    def __init__(self, directory: directory_lib.Directory):
        self._directory = directory
        self._current = self._read_directory()
        directory.subscribe(self._refresh)

    def current(self) -> Sequence[ownership.Candidate]:
        """Returns the candidates, including this instance if it is one."""
        return self._current

    def _refresh(self, _member: members_lib.Member) -> None:
        self._current = self._read_directory()

    def _read_directory(self) -> Sequence[ownership.Candidate]:
        directory = self._directory
        return tuple(
            ownership.Candidate(member.instance_id, member.region, member.zone)
            for member in (directory.local_member, *directory.peers())
            if member.is_running
            and member.state is not members_lib.MemberState.LEAVING
        )
