"""A request to one target and its result."""

import dataclasses
import enum


class Status(enum.StrEnum):
    """Outcome of one dispatched request."""

    # The target replied; the result holds the reply body.
    REPLIED = "replied"
    # A limit of the query tier was reached before the request was sent.
    REFUSED = "refused"
    # The deadline passed before the request was sent.
    EXPIRED = "expired"
    # The connection or stream could not be used; nothing was sent on it.
    NOT_SENT = "not_sent"
    # The target is draining or was removed; the request was not sent.
    LEAVING = "leaving"
    # The request may have been sent, but no reply arrived.
    LOST = "lost"
    # The reply exceeds the maximum size that the service allows.
    TOO_LARGE = "too_large"
    # The reply does not conform to the target interface.
    MALFORMED = "malformed"


_NOT_RUN = frozenset(
    {Status.REFUSED, Status.EXPIRED, Status.NOT_SENT, Status.LEAVING}
)


def proves_not_run(status: Status) -> bool:
    """Returns whether the status proves that the target ran nothing."""
    return status in _NOT_RUN


@dataclasses.dataclass(frozen=True)
class TargetRequest:
    """One request for one target.

    Attributes:
      attempt_id: Id of the attempt, built from instance, incarnation, request
        and attempt number.
      caller: Caller on whose behalf the request is sent.
      service: Service that the target belongs to.
      target_id: The target.
      path: HTTP path on the target.
      body: JSON body.
      deadline_s: Monotonic time after which the result is useless.
      idempotent: Whether the request may be sent again.
      is_probe: Whether it only asks for the state of the target; such a request
        is also sent to a draining target.
    """

    attempt_id: str
    caller: str
    service: str
    target_id: str
    path: str
    body: bytes
    deadline_s: float
    idempotent: bool
    is_probe: bool = False


@dataclasses.dataclass(frozen=True)
class TargetResult:
    """Result of one dispatched request.

    Attributes:
      status: The outcome.
      body: JSON body of the reply if the status is REPLIED.
      retry_after_ms: Time after which a refused request may be retried.
      detail: Explanation for logs and operators.
      is_stream_lost: Whether the peer stream ended before the result arrived.
    """

    status: Status
    body: bytes = b""
    retry_after_ms: int = 0
    detail: str = ""
    is_stream_lost: bool = False
