"""Route table: maps requests to services."""

from collections.abc import Mapping
import dataclasses
import functools

from lycheerock._internal.workspaces import directory


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
    """How a scatter-gather search over several shards is answered.

    Attributes:
      shards: Services, each of which holds one shard.
      record_count_max: Maximum number of records in the merged answer.
      share_min: Minimum share of the shards that an answer must cover.
    """

    shards: tuple[str, ...]
    record_count_max: int
    share_min: float

    @functools.cached_property
    def part_count_min(self) -> int:
        """Minimum number of shard replies that an answer needs."""
        count = len(self.shards)
        # Without the tolerance, a rounding error would raise 0.28 * 25 to 8.
        required = -int(-(self.share_min * count - 1e-9) // 1)
        return min(count, max(1, required))


@dataclasses.dataclass(frozen=True)
class Route:
    """One route of the table.

    Attributes:
      name: Name in logs and metrics.
      host: Host name in the requests of callers, in lower case.
      path_prefix: Prefix of the paths, with a slash at both ends.
      is_idempotent: Whether a request may be run more than once.
      timeout_s: Maximum time until a request is answered.
      objective_s: Latency objective, measured from the caller's first attempt.
      attempts_max: Maximum number of targets to which one request is sent, per
        shard.
      services: Services that share the requests; empty for a search.
      scatter: How a search is answered, or None if requests are forwarded.
      allowed_regions: Regions whose targets may get the requests; empty if all
        may.
      is_public: Whether requests need no key.
      priority: Rank of its requests, 0 is the highest.
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
    allowed_regions: frozenset[str] = frozenset()
    is_public: bool = False
    priority: int = 0

    @property
    def service_names(self) -> tuple[str, ...]:
        """Names of all services that the route may use."""
        if self.scatter is not None:
            return self.scatter.shards
        return tuple(weighted.service for weighted in self.services)


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes:
      header_size_max_bytes: Maximum size of the request line and of each
        header.
      body_size_max_bytes: Maximum size of a request body.
      idle_timeout_s: Maximum idle time of a connection.
      header_timeout_s: Maximum time from the first byte of a head to its end;
        0 sets no limit.
    """

    header_size_max_bytes: int = 16_384
    body_size_max_bytes: int = 262_144
    idle_timeout_s: float = 15.0
    header_timeout_s: float = 3.0


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """All routes of one version of the configuration.

    Attributes:
      version: Version of the configuration; it increases with each change.
      routes: The routes.
      connection_limits: Number of connections that a target accepts from all
        instances together, by service.
      limits: Limits on the requests and connections of callers.
      cold_rates_per_s: Requests per second that a cold target accepts from all
        instances together, by service; a service that is missing sets no limit.
      workspaces: The workspaces; if there are none, no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: Mapping[str, int]
    limits: CallerLimits
    cold_rates_per_s: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    workspaces: directory.Directory = dataclasses.field(
        default_factory=directory.Directory
    )

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return found

    def find(self, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest prefix, or None.

        Args:
          host: Host header, with or without a port.
          path: Request path, with or without a query string.
        """
        name = host.rsplit(":", 1)[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
