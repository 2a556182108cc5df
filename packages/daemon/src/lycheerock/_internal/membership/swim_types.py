"""Input events and output actions of the membership state machine."""

import dataclasses

from lycheerock._internal.membership import members as members_lib


@dataclasses.dataclass(frozen=True)
class Tick:
    """The periodic timer has fired."""


@dataclasses.dataclass(frozen=True)
class MessageReceived:
    """A request or reply from another instance has arrived.

    Attributes:
      sender: The sender's entry for itself.
      members: Entries for any members: a few recent updates, or all entries if
        the full state was requested.
    """

    sender: members_lib.Member
    members: tuple[members_lib.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class DirectProbeEnded:
    """A direct probe has succeeded or failed."""

    probe_id: int
    succeeded: bool


@dataclasses.dataclass(frozen=True)
class IndirectProbeEnded:
    """An indirect probe through one relay has succeeded or failed."""

    probe_id: int
    succeeded: bool


@dataclasses.dataclass(frozen=True)
class LeaveStarted:
    """The graceful shutdown of this instance has begun."""


@dataclasses.dataclass(frozen=True)
class LeaveCompleted:
    """The graceful shutdown of this instance is complete."""


Event = (
    Tick
    | MessageReceived
    | DirectProbeEnded
    | IndirectProbeEnded
    | LeaveStarted
    | LeaveCompleted
)


@dataclasses.dataclass(frozen=True)
class DirectProbe:
    """Send a message to a member and report DirectProbeEnded."""

    probe_id: int
    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class IndirectProbe:
    """Ask a relay to probe a member and report IndirectProbeEnded."""

    probe_id: int
    relay: members_lib.Member
    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class PullFullState:
    """Request the full state from a member; no event reports the outcome."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class Disseminate:
    """Send updates to these members now; no event reports the outcome."""

    members: tuple[members_lib.Member, ...]


@dataclasses.dataclass(frozen=True)
class MemberChanged:
    """The entry of another member has changed."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class LocalMemberChanged:
    """The entry of the local member has changed."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class MemberRemoved:
    """A member that died or left was removed from the table."""

    instance_id: str


Action = (
    DirectProbe
    | IndirectProbe
    | PullFullState
    | Disseminate
    | MemberChanged
    | LocalMemberChanged
    | MemberRemoved
)
