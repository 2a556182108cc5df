"""Data types for requests, replies and attempts within the gateway."""

import dataclasses
import enum

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """A caller's request as it is forwarded to targets.

    Attributes:
      request_id: Id that the caller assigned to this request or retry.
      method: HTTP method.
      path: Path and query exactly as the caller sent them.
      headers: Headers to forward, without hop-by-hop headers.
      body: Complete body.
    """

    request_id: str
    method: str
    path: str
    headers: Headers
    body: bytes


class ReplyKind(enum.StrEnum):
    """Meaning of a complete response of a target."""

    SUCCESS = "success"
    # The target responded with an error and may have run the request.
    FAILURE = "failure"
    # The target states that it did not run the request.
    NOT_RUN = "not_run"
    # Another target now uses the address and did not run the request.
    MISDIRECTED = "misdirected"
    # The response cannot be passed on to the caller.
    UNUSABLE = "unusable"


@dataclasses.dataclass(frozen=True)
class TargetReply:
    """A decoded response of a target.

    Attributes:
      kind: Meaning of the response.
      status: HTTP status.
      headers: Headers to pass on to the caller.
      body: Complete body.
      signature: The target's signature of the response, or None.
      retry_after_s: Time for which the target wants no requests, or None; only
        stated by responses with status 503.
      is_leaving: Whether the target announces that it is leaving.
    """

    kind: ReplyKind
    status: int
    headers: Headers
    body: bytes
    signature: str | None
    retry_after_s: float | None
    is_leaving: bool


class AttemptOutcome(enum.StrEnum):
    """Outcome of one attempt to send a request to a target."""

    # The attempt has not ended yet.
    RUNNING = "running"
    # The target replied with success.
    ANSWERED = "answered"
    # The target replied with an error.
    FAILED = "failed"
    # The target replied that it did not run the request.
    NOT_RUN = "not_run"
    # Another target replied at the address.
    MISDIRECTED = "misdirected"
    # No connection could be opened, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The connection failed before the complete response was read, or the
    # response was unusable.
    LOST = "lost"
    # Nothing was sent, because the target was removed, announced that it is
    # leaving or asked for a backoff meanwhile.
    WITHDRAWN = "withdrawn"
    # The response exceeded a limit on the work that it may cause.
    OVER_LIMIT = "over_limit"
    # Nothing was sent, because too little time was left before the deadline.
    EXPIRED = "expired"
    # The gateway cancelled the attempt: the deadline had passed, the caller had
    # disconnected or the reply was no longer needed.
    DROPPED = "dropped"


class AttemptCause(enum.StrEnum):
    """Reason for starting an attempt."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@dataclasses.dataclass(slots=True, eq=False)
class AttemptRecord:
    """State of one attempt, for retry decisions and the log.

    Attributes:
      target_id: Id of the target.
      cause: Reason for starting the attempt.
      start_s: Monotonic time of the start.
      elapsed_s: Duration; in a snapshot of a running attempt, the time since
        its start.
      outcome: How the attempt ended, or `RUNNING`.
      is_sent: Whether any byte of the request may have been sent.
      detail: Details of a failure, or an empty string.
    """

    target_id: str
    cause: AttemptCause
    start_s: float
    elapsed_s: float = 0.0
    outcome: AttemptOutcome = AttemptOutcome.RUNNING
    is_sent: bool = False
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request."""
        if not self.is_sent:
            return False
        return self.outcome not in (
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.MISDIRECTED,
        )


class Problem(enum.StrEnum):
    """Reason why a delivery has no successful reply."""

    NO_TARGET = "no_target"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    TARGET_FAILED = "target_failed"
    CONNECTION_LOST = "connection_lost"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class DeliveryResult:
    """Result of a delivery to one service.

    Attributes:
      reply: The successful reply, or else the last failure reply, or None.
      problem: Reason why there is no successful reply, or None.
      attempts: All attempts in the order of their start.
    """

    reply: TargetReply | None
    problem: Problem | None
    attempts: tuple[AttemptRecord, ...]

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return any(attempt.may_have_run for attempt in self.attempts)
