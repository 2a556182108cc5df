"""The route table: which service answers which request."""

from collections.abc import Mapping
import dataclasses
import functools


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its share of a route's requests.

    Attributes:
      service: Name of the service.
      weight: Share relative to the weights of the route's other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class ScatterRule:
    """How a search over several shards is answered.

    Attributes:
      shards: Services that each hold one shard.
      record_count_max: Records of the merged answer.
      share_min: Smallest share of the shards that makes an answer useful.
    """

    shards: tuple[str, ...]
    record_count_max: int
    share_min: float

    @functools.cached_property
    def part_count_min(self) -> int:
        """Parts that an answer needs at least."""
        count = len(self.shards)
        # The subtrahend keeps 0.7 * 10 from being rounded up to 8.
        wanted = -int(-(self.share_min * count - 1e-9) // 1)
        return min(count, max(1, wanted))


@dataclasses.dataclass(frozen=True)
class Route:
    """One route of the table.

    Attributes:
      name: Name in logs and metrics.
      host: Host name that callers address, in lower case.
      path_prefix: Start of the paths, with a slash at both ends.
      is_idempotent: Whether a request may run more than once.
      timeout_s: Longest time that a request may be kept waiting.
      objective_s: Latency objective, counted from the caller's first attempt.
      attempts_max: Targets that one request may be sent to, per shard.
      services: Services that share the requests; empty for a search.
      scatter: How a search is answered, or None for a forwarded request.
    """

    name: str
    host: str
    path_prefix: str
    is_idempotent: bool
    timeout_s: float
    objective_s: float
    attempts_max: int
    services: tuple[WeightedService, ...]
    scatter: ScatterRule | None

    @property
    def service_names(self) -> tuple[str, ...]:
        """All services that the route may use."""
        if self.scatter is not None:
            return self.scatter.shards
        return tuple(part.service for part in self.services)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes:
      header_size_max_bytes: Size of the request line and of each header.
      body_size_max_bytes: Size of a request body.
      idle_timeout_s: Time that a connection may stay idle.
    """

    header_size_max_bytes: int = 16_384
    body_size_max_bytes: int = 262_144
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """All routes of one version of the configuration.

    Attributes:
      version: Number of the configuration; later ones are higher.
      routes: The routes.
      connection_limits: Connections that a target of a service accepts from all
        callers together, by service.
      limits: Bounds on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: Mapping[str, int]
    limits: CallerLimits

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return found

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
          host: Host header, with or without a port.
          path: Path of the request, with or without a query.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
