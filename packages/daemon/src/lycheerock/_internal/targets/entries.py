"""Target entries, as listed in the store."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TargetEntry:
    """A target as listed in the store.

    Attributes:
      target_id: Id of the target. Requests carry it so that another target at
        the same address does not run them.
      service: Service that the target belongs to.
      host: IP address.
      port: TCP port.
      zone: Availability zone of the target.
      slot_count: Number of requests that the target processes concurrently.
      is_leaving: Whether the target has announced that it will stop.
      warmup_left_s: Remaining warm-up time, during which the target is slow.
      started_ms: Unix time at which the target started. A new value under the
        same id means that the target has restarted; it is never compared with
        this instance's clock.
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
