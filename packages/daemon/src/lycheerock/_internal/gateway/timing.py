"""Times at which a request is hedged, answered partially or timed out."""

import dataclasses

from lycheerock._internal.ingress import distance
from lycheerock._internal.routing import table

# Hedge delay as a fraction of the latency objective: late enough that most
# replies have arrived, early enough that the hedge can still meet the
# objective.
HEDGE_OBJECTIVE_RATIO = 0.35

# Early hedge delay, which applies while the retry budget is nearly full, as a
# fraction of the latency objective.
EARLY_HEDGE_OBJECTIVE_RATIO = 0.25

# Shortest hedge delay, as a multiple of the expected latency.
HEDGE_LATENCY_RATIO = 1.5

# Fraction of the remaining time for which a request waits for a complete result
# when its latency objective is already missed. Returning a partial result early
# would gain nothing then.
PAST_OBJECTIVE_WAIT_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class RequestTimes:
    """Times planned for one request; `_delay_s` values are durations.

    Attributes:
      arrival_s: Monotonic time of its arrival.
      respond_by_s: Monotonic time from which on a sufficient partial result is
        returned.
      deadline_s: Monotonic time at which it times out.
      hedge_delay_s: Time after the first attempt at which a hedge may follow.
      early_hedge_delay_s: Hedge delay that applies while the retry budget is
        nearly full.
    """

    arrival_s: float
    respond_by_s: float
    deadline_s: float
    hedge_delay_s: float
    early_hedge_delay_s: float


class CallerTimeouts:
    """Total timeouts of callers by route, estimated from their requests.

    A retry of a caller announces less remaining time than its first attempt.
    The difference is the time that the caller has already waited, which counts
    against the latency objective.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def prior_wait_s(self, route_name: str, time_left_s: float) -> float:
        """Returns the estimated wait of a caller before this attempt."""
        longest_s = self._longest_s.get(route_name, 0.0)
        if time_left_s > longest_s:
            self._longest_s[route_name] = time_left_s
            return 0.0
        return longest_s - time_left_s

    def retain(self, names: set[str]) -> None:
        """Drops the timeouts of routes that are not in `names`."""
        for name in self._longest_s.keys() - names:
            del self._longest_s[name]


def plan(  # noqa: PLR0913
    route: table.Route,
    arrival_s: float,
    time_left_s: float | None,
    prior_wait_s: float,
    expected_latency_s: float,
    *,
    margin_s: float = distance.MARGIN_DEFAULT_S,
) -> RequestTimes:
    """Returns the planned times of a request.

    Args:
      route: Its route.
      arrival_s: Monotonic time of its arrival.
      time_left_s: Time until the caller's deadline, or None if unknown.
      prior_wait_s: Time that the caller waited before the arrival.
      expected_latency_s: Expected latency of a target for this route.
      margin_s: Part of the caller's time that passes before the arrival and
        after the response.
    """
    remaining_s = route.timeout_s
    if time_left_s is not None:
        remaining_s = min(remaining_s, time_left_s - margin_s)
    remaining_s = max(0.0, remaining_s)
    objective_s = route.objective_s - prior_wait_s - margin_s
    if objective_s <= 0.0:
        objective_s = PAST_OBJECTIVE_WAIT_RATIO * remaining_s
    min_hedge_delay_s = HEDGE_LATENCY_RATIO * expected_latency_s
    return RequestTimes(
        arrival_s,
        arrival_s + min(objective_s, remaining_s),
        arrival_s + remaining_s,
        max(min_hedge_delay_s, HEDGE_OBJECTIVE_RATIO * objective_s),
        max(min_hedge_delay_s, EARLY_HEDGE_OBJECTIVE_RATIO * objective_s),
    )


def limit(times: RequestTimes, end_s: float) -> RequestTimes:
    """Returns the times of a request that must end by a monotonic time."""
    if times.deadline_s <= end_s:
        return times
    return dataclasses.replace(
        times, respond_by_s=min(times.respond_by_s, end_s), deadline_s=end_s
    )
