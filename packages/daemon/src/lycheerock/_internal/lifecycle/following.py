"""Lets the links and the owners of targets follow the members."""

from collections.abc import Callable
from collections.abc import Sequence

from lycheerock._internal.dispatch import ownership
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.peers import link_table


def link_follower(
    links: link_table.LinkTable, own_id: str
) -> Callable[[members_lib.Member], None]:
    """Returns a listener that opens and closes the links to members.

    Args:
      links: The links.
      own_id: Id of this instance, which needs no link.

    Returns:
      The listener.
    """

    def follow(member: members_lib.Member) -> None:
        if member.instance_id == own_id:
            return
        if member.is_running:
            links.add(member.instance_id, member.peer_address)
        else:
            links.remove(member.instance_id)

    return follow


class Candidates:
    """The members that may own targets.

    The sequence stays the same object until a member changes, so that its
    readers can keep what they derived from it.
    """

    def __init__(self, directory: directory_lib.Directory):
        self._directory = directory
        self._current = self._read()
        directory.subscribe(self._refresh)

    def current(self) -> Sequence[ownership.Candidate]:
        """Returns the instances that may own targets, this one included."""
        return self._current

    def _refresh(self, _member: members_lib.Member) -> None:
        self._current = self._read()

    def _read(self) -> Sequence[ownership.Candidate]:
        directory = self._directory
        return tuple(
            ownership.Candidate(member.instance_id, member.region, member.zone)
            for member in (directory.local_member, *directory.peers())
            if member.is_running
            and member.state is not members_lib.MemberState.LEAVING
        )
