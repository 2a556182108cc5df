"""How many requests this instance may send a second time, by service."""

import dataclasses

from lycheerock._internal.query import budgets

# Part of the platform's bound that is used. The rest covers requests that an
# instance counted and that never reached a target.
USED_RATIO = 0.85

# Tokens that a service may save up, as a part of this instance's share of the
# bound's fixed allowance.
ALLOWANCE_USED_RATIO = 0.8

TOKENS_MIN = 1.5


@dataclasses.dataclass(frozen=True)
class BudgetTerms:
    """The platform's bound on repeated requests of all instances.

    Attributes:
      ratio: Repeated requests for each request of a service.
      allowance_count: Repeated requests allowed on top, for each service.
    """

    ratio: float
    allowance_count: float


class RetryBudgets:
    """A token bucket for each service.

    Instances need not talk to each other: each earns tokens by its own
    requests, so the sum over all instances follows the sum of the requests.
    Only the fixed allowance is divided by the number of instances.
    """

    def __init__(self, terms: BudgetTerms) -> None:
        self._terms = terms
        self._instance_count = 1
        self._buckets: dict[str, budgets.TokenBucket] = {}

    def share(self, instance_count: int) -> None:
        """Sets the number of instances that share the allowance."""
        self._instance_count = max(1, instance_count)
        for bucket in self._buckets.values():
            bucket.resize(self._ratio, self._capacity)

    def add_request(self, service: str) -> None:
        """Counts a request for a service."""
        self._bucket(service).add_first_attempts(1)

    def take(self, service: str, *, for_hedge: bool) -> bool:
        """Takes one token; returns False if there is none."""
        bucket = self._bucket(service)
        return bucket.has_token(for_hedge=for_hedge) and bucket.take()

    def has_plenty(self, service: str) -> bool:
        """Tells whether the service may be hedged earlier than usual."""
        return self._bucket(service).has_plenty()

    def _bucket(self, service: str) -> budgets.TokenBucket:
        found = self._buckets.get(service)
        if found is None:
            found = budgets.TokenBucket(self._ratio, self._capacity)
            self._buckets[service] = found
        return found

    @property
    def _ratio(self) -> float:
        return USED_RATIO * self._terms.ratio

    @property
    def _capacity(self) -> float:
        allowance = ALLOWANCE_USED_RATIO * self._terms.allowance_count
        return max(TOKENS_MIN, allowance / self._instance_count)
