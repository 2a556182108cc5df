"""Logs the end of each caller request and counts refusals by kind."""

from collections.abc import Callable

import structlog

from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock_model import answers

_LOG = structlog.get_logger()

Observer = Callable[[answers.Answer, float], None]


def observer(metrics: metrics_lib.RequestMetrics) -> Observer:
    """Returns the function to call at the end of each request.

    Args:
      metrics: Metrics of the process.

    Returns:
      A function of the answer and the seconds from receipt to answer. Request
      id, caller and service come from the context variables of the log.
    """

    def observe(answer: answers.Answer, elapsed_s: float) -> None:
        if answer.error is not None:
            metrics.observe_refusal(answer.error.kind)
            _write(_LOG.info, answer, elapsed_s)
        elif answer.outcome != answers.Outcome.DONE:
            _write(_LOG.info, answer, elapsed_s)
        else:
            _write(_LOG.debug, answer, elapsed_s)

    return observe


def _write(
    log: Callable[..., object], answer: answers.Answer, elapsed_s: float
) -> None:
    error = answer.error
    log(
        "request",
        outcome=answer.outcome,
        elapsed_ms=round(elapsed_s * 1000, 3),
        covered_count=len(answer.covered),
        lacking_count=len(answer.lacking),
        error_kind=error.kind if error is not None else None,
        problem=error.message if error is not None else None,
    )
