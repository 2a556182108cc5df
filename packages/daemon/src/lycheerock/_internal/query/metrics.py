"""Interface to the counters and histograms of requests."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class RequestSummary:
    """The end of one caller request, whatever attempts it took.

    Attributes:
      service: Name of the service; empty if the request named none.
      caller: Name of the caller; empty if it is not known.
      outcome: Outcome of the answer.
      elapsed_s: Seconds from receipt to answer.
      covered_count: Shards that the answer covers.
      lacking_count: Shards that the answer lacks.
      first_attempt_count: First shard requests that were sent.
      extra_attempt_count: Hedges, retries and repeats that were sent.
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
    """Receives one call for each request of a caller."""

    def observe_request(self, end: RequestSummary) -> None:
        """Takes the end of one request."""
        ...


class NoMetrics:
    """Counts nothing."""

    def observe_request(self, end: RequestSummary) -> None:
        """Does nothing."""
