"""Requests, replies and ends that the parts of the gateway exchange."""

import dataclasses
import enum

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """A caller's request as targets get it.

    Attributes:
      request_id: The caller's id of this attempt.
      method: HTTP method.
      path: Path and query exactly as the caller wrote them.
      headers: Headers to forward, without those of one connection.
      body: Whole body.
    """

    request_id: str
    method: str
    path: str
    headers: Headers
    body: bytes


class ReplyKind(enum.StrEnum):
    """What a complete response of a target means."""

    SUCCESS = "success"
    # The target ran the request and failed.
    FAILURE = "failure"
    # The target states that it did not run the request.
    NOT_RUN = "not_run"
    # Another target has the address; it did not run the request.
    MISDIRECTED = "misdirected"
    # A response that cannot be passed on.
    UNUSABLE = "unusable"


@dataclasses.dataclass(frozen=True)
class TargetReply:
    """A response of a target.

    Attributes:
      kind: What it means.
      status: HTTP status.
      headers: Headers to pass on.
      body: Whole body.
      signature: The target's signature of the response, or None.
      retry_after_s: Time after which the target wants to be asked again.
    """

    kind: ReplyKind
    status: int
    headers: Headers
    body: bytes
    signature: str | None
    retry_after_s: float | None


class AttemptEnd(enum.StrEnum):
    """How one attempt ended."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    EXPIRED = "expired"
    DROPPED = "dropped"


class AttemptCause(enum.StrEnum):
    """Why an attempt was started."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


@dataclasses.dataclass(slots=True, eq=False)
class AttemptRecord:
    """One attempt, for decisions and for the log.

    Attributes:
      target_id: The target.
      cause: Why it was started.
      start_s: Monotonic time of the start.
      elapsed_s: Duration; so far, in a snapshot of one that runs.
      end: How it ended.
      is_sent: Whether a byte of the request may have been sent.
      detail: What is known about a failure.
    """

    target_id: str
    cause: AttemptCause
    start_s: float
    elapsed_s: float = 0.0
    end: AttemptEnd = AttemptEnd.RUNNING
    is_sent: bool = False
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request."""
        if not self.is_sent:
            return False
        return self.end not in (AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED)


class Problem(enum.StrEnum):
    """Why a delivery has no successful reply."""

    NO_TARGET = "no_target"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    TARGET_FAILED = "target_failed"
    CONNECTION_LOST = "connection_lost"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True)
class Delivered:
    """End of a delivery to one service.

    Attributes:
      reply: The target's reply; a failure if no target did better; or None.
      problem: Why there is no success, or None.
      attempts: All attempts, in order.
    """

    reply: TargetReply | None
    problem: Problem | None
    attempts: tuple[AttemptRecord, ...]

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return any(attempt.may_have_run for attempt in self.attempts)
