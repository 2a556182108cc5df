"""Errors with which the gateway itself responds, and their Retry-After."""

from collections.abc import Callable
import random

from lycheerock._internal.gateway import messages

# Targets free a slot within some tens of milliseconds; a longer wait would make
# the caller miss its latency objective. The jitter keeps refused callers from
# retrying all at once.
RETRY_AFTER_MIN_S = 0.03
RETRY_AFTER_MAX_S = 0.15

# An instance without a configuration loads it within this time after its start;
# other instances can serve the retry at once.
STARTUP_RETRY_AFTER_S = 0.1

# Fraction of the caller's remaining time up to which it is asked to wait for
# the end of a backoff of targets. Callers honour a Retry-After of up to a third
# of the time that they have left.
RETRY_AFTER_MAX_RATIO = 0.3


class RefusedError(Exception):
    """The gateway itself responds with an error status.

    Attributes:
      status: HTTP status.
      reason: Reason for the log and the response body.
      retry_after_s: Time after which the caller should retry, or None.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def retry_after_s(backoff_s: float = 0.0, time_left_s: float = 0.0) -> float:
    """Returns the time after which the caller should retry.

    Args:
      backoff_s: Time until the first target accepts requests again, or 0.
      time_left_s: Time until the caller's deadline; only used with a backoff.
    """
    jitter_s = random.uniform(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S)
    if backoff_s <= 0.0:
        return jitter_s
    return max(
        RETRY_AFTER_MIN_S,
        min(backoff_s + jitter_s, RETRY_AFTER_MAX_RATIO * time_left_s),
    )


def stopping(*, may_have_run: bool) -> RefusedError:
    """Returns the error for a request that the stopping process can't serve."""
    if may_have_run:
        return RefusedError(504, "stopping")
    return RefusedError(503, "stopping", retry_after_s())


def for_result(
    result: messages.DeliveryResult, planned_retry_s: Callable[[], float]
) -> RefusedError:
    """Returns the error for a delivery that has no reply.

    Args:
      result: Result of the delivery.
      planned_retry_s: Returns the time after which the caller should retry;
        called only if no target can have run the request.
    """
    problem = result.problem
    assert problem is not None
    if not result.may_have_run:
        return RefusedError(503, problem.value, planned_retry_s())
    if problem == messages.Problem.DEADLINE:
        return RefusedError(504, problem.value)
    return RefusedError(502, problem.value)
