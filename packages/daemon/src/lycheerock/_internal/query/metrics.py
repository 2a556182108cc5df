"""Interface to the counters and histograms of requests."""

from typing import Protocol


class RequestMetrics(Protocol):
    """Receives one call for each request of a caller."""

    def observe_request(  # noqa: PLR0913, PLR0917
        self,
        service: str,
        caller: str,
        outcome: str,
        elapsed_s: float,
        covered_count: int,
        lacking_count: int,
        first_attempt_count: int,
        extra_attempt_count: int,
    ) -> None:
        """Takes the end of one request, regardless of its attempts."""
        ...


class NoMetrics:
    """Counts nothing."""

    def observe_request(  # noqa: PLR0913, PLR0917
        self,
        service: str,
        caller: str,
        outcome: str,
        elapsed_s: float,
        covered_count: int,
        lacking_count: int,
        first_attempt_count: int,
        extra_attempt_count: int,
    ) -> None:
        """Does nothing."""
