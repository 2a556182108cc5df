"""Distributes the requests of a route over its services by weight."""

from lycheerock._internal.routing import table


class WeightedRoundRobin:
    """Smooth weighted round robin for each route.

    The rotation keeps the shares exact over short windows, which a random
    choice does not. A changed list of weights starts a new rotation.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def next(self, route: table.Route) -> str:
        """Returns the service of the next request of a route.

        Args:
          route: A route with at least one service.
        """
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credits.get(route.name)
        names = {part.service for part in route.services}
        if credit is None or credit.keys() != names:
            credit = self._credits[route.name] = dict.fromkeys(names, 0.0)
        total = 0.0
        for part in route.services:
            credit[part.service] += part.weight
            total += part.weight
        best = max(route.services, key=lambda part: credit[part.service])
        credit[best.service] -= total
        return best.service

    def retain(self, names: set[str]) -> None:
        """Forgets routes that are not in `names`."""
        for name in self._credits.keys() - names:
            del self._credits[name]
