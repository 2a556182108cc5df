"""When a request is hedged, answered with what is there, and given up."""

import dataclasses

from lycheerock._internal.routing import table

# Time kept back for the answer's way to the caller and for writing it.
ANSWER_MARGIN_S = 0.012

# Part of the objective after which a second target is asked: late enough that
# most replies are in, early enough that a second one is in time.
HEDGE_OBJECTIVE_RATIO = 0.35

# The same while the budget is nearly full.
EARLY_HEDGE_OBJECTIVE_RATIO = 0.25

# A second target is asked no earlier than this many usual latencies.
HEDGE_USUAL_RATIO = 1.5

# A caller that is past its objective gains nothing from an early partial
# answer; this part of the remaining time is used to complete it.
LATE_RATIO = 0.5


@dataclasses.dataclass(frozen=True)
class Times:
    """Monotonic times of one request.

    Attributes:
      arrival_s: Time of its arrival.
      answer_by_s: Time at which a sufficient partial answer is sent.
      deadline_s: Time at which it is given up.
      hedge_delay_s: Time after a first attempt at which a second may follow.
      early_hedge_delay_s: The same while the budget is nearly full.
    """

    arrival_s: float
    answer_by_s: float
    deadline_s: float
    hedge_delay_s: float
    early_hedge_delay_s: float


class CallerPatience:
    """The time that callers of a route wait in all, as learned.

    A caller's second attempt names less time than its first. The difference
    is the time that has passed, which counts against the objective.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def passed_s(self, route_name: str, time_left_s: float) -> float:
        """Returns the time that a caller has waited before this attempt."""
        longest_s = self._longest_s.get(route_name, 0.0)
        if time_left_s > longest_s:
            self._longest_s[route_name] = time_left_s
            return 0.0
        return longest_s - time_left_s

    def retain(self, names: set[str]) -> None:
        """Forgets routes that are not in `names`."""
        for name in self._longest_s.keys() - names:
            del self._longest_s[name]


def plan(
    route: table.Route,
    arrival_s: float,
    time_left_s: float | None,
    passed_s: float,
    usual_s: float,
) -> Times:
    """Plans the times of a request.

    Args:
      route: Its route.
      arrival_s: Monotonic time of its arrival.
      time_left_s: Time that the caller still waits, or None if unknown.
      passed_s: Time that it has waited before.
      usual_s: Usual latency of a target for this route.
    """
    left_s = route.timeout_s
    if time_left_s is not None:
        left_s = min(left_s, time_left_s - ANSWER_MARGIN_S)
    left_s = max(0.0, left_s)
    objective_s = route.objective_s - passed_s - ANSWER_MARGIN_S
    if objective_s <= 0.0:
        objective_s = LATE_RATIO * left_s
    least_s = HEDGE_USUAL_RATIO * usual_s
    return Times(
        arrival_s,
        arrival_s + min(objective_s, left_s),
        arrival_s + left_s,
        max(least_s, HEDGE_OBJECTIVE_RATIO * objective_s),
        max(least_s, EARLY_HEDGE_OBJECTIVE_RATIO * objective_s),
    )
