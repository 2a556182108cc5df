"""Logs each completed caller request and counts refusals by kind."""

from collections.abc import Callable

import structlog

from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock_model import answers

_LOG = structlog.get_logger()

Observer = Callable[[answers.Answer, float], None]


def create_observer(metrics: metrics_lib.RequestMetrics) -> Observer:
    """Creates a function to call when a request completes.

    The request id, caller and service of the log line come from the context
    variables of structlog.

    Args:
      metrics: Metrics in which refusals are counted.

    Returns:
      Function that takes the answer and the time from receiving the request to
      its answer in seconds.
    """

    def observe(answer: answers.Answer, elapsed_s: float) -> None:
        if answer.error is not None:
            metrics.observe_refusal(answer.error.kind)
            _log_request(_LOG.info, answer, elapsed_s)
        elif answer.outcome != answers.Outcome.DONE:
            _log_request(_LOG.info, answer, elapsed_s)
        else:
            _log_request(_LOG.debug, answer, elapsed_s)

    return observe


def _log_request(
    log_method: Callable[..., object], answer: answers.Answer, elapsed_s: float
) -> None:
    error = answer.error
    log_method(
        "request",
        outcome=answer.outcome,
        elapsed_ms=round(elapsed_s * 1000, 3),
        covered_count=len(answer.covered),
        lacking_count=len(answer.lacking),
        error_kind=error.kind if error is not None else None,
        problem=error.message if error is not None else None,
    )
