"""Budgets for retries and hedges of this instance, by service."""

from collections.abc import Callable
import dataclasses

from lycheerock._internal.query import budgets

# Fraction of the platform's limit that the instances use. The rest covers
# requests that an instance has counted but that never reached a target.
LIMIT_USED_RATIO = 0.85

# Capacity of a service's token bucket, as a fraction of this instance's share
# of the limit's fixed allowance.
ALLOWANCE_USED_RATIO = 0.8

# Minimum capacity of a token bucket. With less than 1.43 tokens no hedge would
# ever be sent, since 30 percent of the capacity is reserved for retries.
TOKENS_MIN = 1.5


@dataclasses.dataclass(frozen=True)
class RetryLimit:
    """The platform's limit on retries and hedges of all instances together.

    Attributes:
      ratio: Retries and hedges per request of a service.
      allowance_count: Additional retries and hedges for each service.
    """

    ratio: float
    allowance_count: float


class RetryBudgets:
    """A token bucket for each service.

    The budgets need no coordination between instances: each instance adds
    tokens for its own requests, so the total is proportional to all requests.
    Only the fixed allowance is divided by the number of instances.
    """

    def __init__(self, limit: RetryLimit) -> None:
        self._limit = limit
        self._instance_count = 1
        self._planned_capacity: Callable[[str, float], float | None] = (
            lambda _service, _allowance_count: None
        )
        self._buckets: dict[str, budgets.TokenBucket] = {}

    def set_instance_count(self, instance_count: int) -> None:
        """Sets the number of instances that share the fixed allowance."""
        self._instance_count = max(1, instance_count)
        self.resize()

    def set_capacity_plan(
        self, planned_capacity: Callable[[str, float], float | None]
    ) -> None:
        """Sets how the fixed allowance is divided for some services.

        Args:
          planned_capacity: Returns the capacity of this instance's bucket for a
            service, given the fixed allowance, or None if all instances share
            it equally.
        """
        self._planned_capacity = planned_capacity

    def resize(self) -> None:
        """Applies the current capacities."""
        for service, bucket in self._buckets.items():
            bucket.resize(self._ratio, self._capacity(service))

    def record_request(self, service: str) -> None:
        """Adds tokens for the first attempt of a request."""
        self._bucket(service).add_first_attempts(1)

    def take(self, service: str, *, for_hedge: bool) -> bool:
        """Takes a token; returns False if none is available."""
        bucket = self._bucket(service)
        return bucket.has_token(for_hedge=for_hedge) and bucket.take()

    def allows_early_hedge(self, service: str) -> bool:
        """Returns whether requests to the service may be hedged early."""
        return self._bucket(service).allows_early_hedge()

    def _bucket(self, service: str) -> budgets.TokenBucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = budgets.TokenBucket(self._ratio, self._capacity(service))
            self._buckets[service] = bucket
        return bucket

    @property
    def _ratio(self) -> float:
        return LIMIT_USED_RATIO * self._limit.ratio

    def _capacity(self, service: str) -> float:
        planned = self._planned_capacity(service, self._limit.allowance_count)
        if planned is not None:
            return planned
        allowance = ALLOWANCE_USED_RATIO * self._limit.allowance_count
        return max(TOKENS_MIN, allowance / self._instance_count)
