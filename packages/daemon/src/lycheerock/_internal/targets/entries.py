"""What the store lists about a target."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TargetEntry:
    """One target as the store lists it.

    Attributes:
      target_id: Name of this start of the target; requests name it, so that
        another target at the same address does not run them.
      service: Service that the target belongs to.
      host: IP address.
      port: TCP port.
      zone: Availability zone of the target.
      slot_count: Requests that it runs at the same time.
      is_leaving: Whether it has announced its end.
      warmup_left_s: How much longer it stays slow after its start.
      started_ms: Unix time of its start; it tells two starts under the same id
        apart and is never compared with a clock.
    """

    target_id: str
    service: str
    host: str
    port: int
    zone: str
    slot_count: int
    is_leaving: bool
    warmup_left_s: float
    started_ms: int
