"""Messages to and actions of the membership state machine."""

import dataclasses

from lycheerock._internal.membership import members as members_lib


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True)
class Heard:
    """A request or reply of another instance has arrived.

    Attributes:
      sender: The sender's entry on itself.
      members: Entries on any members.
    """

    sender: members_lib.Member
    members: tuple[members_lib.Member, ...] = ()


@dataclasses.dataclass(frozen=True)
class DirectEnded:
    """A direct probe has ended."""

    probe_id: int
    succeeded: bool


@dataclasses.dataclass(frozen=True)
class IndirectEnded:
    """One indirect probe has ended."""

    probe_id: int
    succeeded: bool


@dataclasses.dataclass(frozen=True)
class Leave:
    """The planned stop of this instance begins."""


@dataclasses.dataclass(frozen=True)
class Stop:
    """The planned stop of this instance has ended."""


Event = Tick | Heard | DirectEnded | IndirectEnded | Leave | Stop


@dataclasses.dataclass(frozen=True)
class Probe:
    """Send a message to a member and report DirectEnded."""

    probe_id: int
    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class ProbeThrough:
    """Ask a helper to probe a member and report IndirectEnded."""

    probe_id: int
    helper: members_lib.Member
    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class Pull:
    """Ask a member for the full state; nothing is reported back."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class Spread:
    """Send news to these members at once; nothing is reported back."""

    members: tuple[members_lib.Member, ...]


@dataclasses.dataclass(frozen=True)
class Changed:
    """The entry of a member has changed."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class OwnChanged:
    """The entry of this instance on itself has changed."""

    member: members_lib.Member


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """A dead member was dropped from the table."""

    instance_id: str


Action = Probe | ProbeThrough | Pull | Spread | Changed | OwnChanged | Forgotten
