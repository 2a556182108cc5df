"""Limits the caller requests in flight on an instance."""

from collections.abc import Iterator
import contextlib

from lycheerock_model import exceptions

REQUESTS_MAX = 1_000
BODIES_SIZE_MAX_BYTES = 32 * 1024 * 1024
RETRY_AFTER_MS = 200


class AdmissionControl:
    """Limits the number of requests in flight and the size of their bodies."""

    def __init__(
        self,
        requests_max: int = REQUESTS_MAX,
        bodies_size_max_bytes: int = BODIES_SIZE_MAX_BYTES,
    ):
        self._requests_max = requests_max
        self._bodies_size_max_bytes = bodies_size_max_bytes
        self._request_count = 0
        self._bodies_size_bytes = 0

    @property
    def request_count(self) -> int:
        """Number of requests in flight."""
        return self._request_count

    @contextlib.contextmanager
    def admit(self, body_size_bytes: int) -> Iterator[None]:
        """Reserves capacity for a request until the context exits.

        Args:
          body_size_bytes: Maximum size of the request body.

        Raises:
          OverloadedError: A limit would be exceeded.
        """
        size_bytes = self._bodies_size_bytes + body_size_bytes
        full = self._request_count >= self._requests_max
        if full or size_bytes > self._bodies_size_max_bytes:
            raise exceptions.OverloadedError(
                "too many requests are in flight on this instance",
                "retry after retry_after_ms, or send the request to another "
                "instance",
                RETRY_AFTER_MS,
            )
        self._request_count += 1
        self._bodies_size_bytes = size_bytes
        try:
            yield
        finally:
            self._request_count -= 1
            self._bodies_size_bytes -= body_size_bytes
