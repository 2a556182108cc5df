"""Interface between request handling and request metrics."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class RequestSummary:
    """Summary of a completed caller request.

    Attributes:
      service: Name of the service; empty if the request named none.
      caller: Name of the caller; empty if unknown.
      outcome: Outcome of the answer.
      elapsed_s: Seconds from receipt to answer.
      covered_count: Number of shards that the answer covers.
      lacking_count: Number of shards that the answer lacks.
      first_attempt_count: Number of first attempts.
      extra_attempt_count: Number of other attempts, such as hedges and
        retries.
    """

    service: str
    caller: str
    outcome: str
    elapsed_s: float
    covered_count: int
    lacking_count: int
    first_attempt_count: int
    extra_attempt_count: int


class RequestMetrics(Protocol):
    """Receives a summary of each completed caller request."""

    def observe_request(self, summary: RequestSummary) -> None:
        """Records a completed request."""
        ...


class NullMetrics:
    """Discards all request metrics."""

    def observe_request(self, summary: RequestSummary) -> None:
        """Does nothing."""
