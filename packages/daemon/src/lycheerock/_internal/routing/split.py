"""Weighted distribution of a route's requests over its services."""

from lycheerock._internal.routing import table


class WeightedRoundRobin:
    """Smooth weighted round robin, separately for each route.

    Unlike a random choice it keeps the shares exact over short windows. The
    credits of a route are reset when its set of services changes.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route: table.Route) -> str:
        """Returns the service for the next request of a route.

        Args:
          route: Route with at least one service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credits.get(route.name)
        names = {weighted.service for weighted in route.services}
        if credit is None or credit.keys() != names:
            credit = self._credits[route.name] = dict.fromkeys(names, 0.0)
        total = 0.0
        for weighted in route.services:
            credit[weighted.service] += weighted.weight
            total += weighted.weight
        best = max(
            route.services, key=lambda weighted: credit[weighted.service]
        )
        credit[best.service] -= total
        return best.service

    def retain(self, names: set[str]) -> None:
        """Discards the state of routes whose name is not in `names`."""
        for name in self._credits.keys() - names:
            del self._credits[name]
