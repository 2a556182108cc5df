"""Messages by which instances share the caps of workspaces.

Each workspace belongs to a group, and each instance follows one owner for each
group. It sends an `Ask` to the owner regularly and when it needs tokens, and
the owner replies with a `Reply`. A token allows one request to run. Times are
in milliseconds of the clock of the instance that states them and are only ever
compared with that clock.
"""

import msgspec

ASK = "cap_ask"
REPLY = "cap_reply"


class Support(msgspec.Struct, frozen=True, array_like=True):
    """The sender counts towards the receiver's share as owner of a group.

    Attributes:
      group: Number of the group.
      term: Number that increases whenever the sender follows another owner.
    """

    group: int
    term: int


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that the sender has and wants.

    Attributes:
      workspace: Name of the workspace.
      used_count: Tokens of the receiver that the sender has used since it began
        to follow it.
      held_count: Unused tokens of the receiver.
      needed_count: Tokens for requests that wait.
      spare_count: Tokens for requests that are expected.
    """

    workspace: str
    used_count: int
    held_count: int
    needed_count: int
    spare_count: int


class Ask(msgspec.Struct, frozen=True, array_like=True):
    """States what the sender uses and needs, and whom it supports.

    Attributes:
      epoch: Random number of the sender's process.
      sequence: Number of this message; a reply repeats it.
      owner_epoch: `epoch` of the last reply of the receiver; 0 if none.
      owner_ms: `now_ms` of that reply.
      member_count: Number of registered instances that the sender knows.
      supports: All groups in which the sender supports the receiver.
      wants: Workspaces with tokens or demand.
    """

    epoch: int
    sequence: int
    owner_epoch: int
    owner_ms: int
    member_count: int
    supports: tuple[Support, ...] = ()
    wants: tuple[Want, ...] = ()


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Reply to one `Want`.

    Attributes:
      workspace: Name of the workspace.
      granted_count: Additional tokens.
      is_renewed: Whether the held tokens are valid for as long as new ones.
      retry_ms: Time after which tokens may be available, if none were granted.
      used_per_s: Requests of the workspace per second that the owner knows of.
    """

    workspace: str
    granted_count: int
    is_renewed: bool
    retry_ms: int
    used_per_s: float


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an `Ask`.

    Attributes:
      epoch: Random number of the owner's process.
      sequence: Number of the ask.
      now_ms: Time at which the owner replied; the next ask repeats it.
      member_count: Number of registered instances that the owner knows.
      offers: One offer for each want.
    """

    epoch: int
    sequence: int
    now_ms: int
    member_count: int
    offers: tuple[Offer, ...] = ()
