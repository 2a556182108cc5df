"""Messages of dispatch: one request to one target and its result."""

import dataclasses
import enum


class Status(enum.StrEnum):
    """How one dispatched request ended."""

    # The target answered; the reply body is in the result.
    REPLIED = "replied"
    # A limit of this system was reached before the request was sent.
    REFUSED = "refused"
    # The deadline passed before the request was sent.
    EXPIRED = "expired"
    # The connection or stream could not be used; nothing was handed to it.
    NOT_SENT = "not_sent"
    # The target is leaving; the request was not sent.
    LEAVING = "leaving"
    # The request may have been sent and no reply came.
    LOST = "lost"
    # The reply is larger than the service allows.
    TOO_LARGE = "too_large"
    # The reply is not what the target interface defines.
    MALFORMED = "malformed"


_NOT_RUN = frozenset(
    {Status.REFUSED, Status.EXPIRED, Status.NOT_SENT, Status.LEAVING}
)


def is_not_run(status: Status) -> bool:
    """Tells whether the status proves that the target ran nothing."""
    return status in _NOT_RUN


@dataclasses.dataclass(frozen=True)
class Work:
    """One request for one target.

    Attributes:
      attempt_id: Names instance, incarnation, request and attempt.
      caller: Caller on whose behalf the request is sent.
      service: Service of the target.
      target_id: The target.
      path: Path of the target's HTTP interface.
      body: JSON body.
      deadline_s: Monotonic time after which the result is useless.
      idempotent: Whether the request may be sent again.
      is_probe: Whether it only asks for the state of the target, so that it may
        be sent to one that is leaving.
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
class Result:
    """The end of one dispatched request.

    Attributes:
      status: How it ended.
      body: Reply body, JSON, when the status is REPLIED.
      retry_after_ms: Time after which a refused request may be tried again.
      detail: Explanation for logs and operators.
      is_stream_lost: Whether the stream to the owner ended before its reply.
    """

    status: Status
    body: bytes = b""
    retry_after_ms: int = 0
    detail: str = ""
    is_stream_lost: bool = False
