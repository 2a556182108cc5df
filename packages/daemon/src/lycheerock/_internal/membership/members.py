"""Data classes of the member table."""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """What is known of one incarnation of an instance."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class Member:
    """One incarnation of an instance.

    Attributes:
      instance_id: Name of the instance, kept over restarts.
      incarnation: Start of the process in milliseconds since the epoch; 0 when
        it is known only from settings.
      state: What is known of it.
      peer_address: Address of its gRPC interface.
      region: Region of the instance.
      zone: Availability zone of the instance.
    """

    instance_id: str
    incarnation: int
    state: MemberState
    peer_address: str
    region: str
    zone: str
