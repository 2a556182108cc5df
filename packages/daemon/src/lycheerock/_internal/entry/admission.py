"""Limits on the caller requests in flight on an instance."""

from collections.abc import Iterator
import contextlib

from lycheerock_model import exceptions

REQUESTS_MAX = 1_000
BODIES_SIZE_MAX_BYTES = 32 * 1024 * 1024
RETRY_AFTER_MS = 200


class Admission:
    """Counts requests in flight and the bytes that their bodies may take."""

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
        """Requests in flight."""
        return self._request_count

    @contextlib.contextmanager
    def enter(self, body_size_bytes: int) -> Iterator[None]:
        """Holds a place for one request.

        Args:
          body_size_bytes: Largest size of its body.

        Raises:
          OverloadedError: There is no place.
        """
        size_bytes = self._bodies_size_bytes + body_size_bytes
        full = self._request_count >= self._requests_max
        if full or size_bytes > self._bodies_size_max_bytes:
            raise exceptions.OverloadedError(
                "too many requests are in flight on this instance",
                "send it again after retry_after_ms, or to another instance",
                RETRY_AFTER_MS,
            )
        self._request_count += 1
        self._bodies_size_bytes = size_bytes
        try:
            yield
        finally:
            self._request_count -= 1
            self._bodies_size_bytes -= body_size_bytes
