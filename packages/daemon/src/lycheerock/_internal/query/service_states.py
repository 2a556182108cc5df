"""State that an instance keeps for each service across searches."""

from lycheerock._internal.query import budgets
from lycheerock._internal.query import replicas
from lycheerock._internal.query import versions
from lycheerock_model import bundle as bundle_lib


class ServiceState:
    """State of one service.

    Attributes:
      versions: Index versions that the targets hold.
      bucket: Tokens for hedges and retries.
      hedge_delay: Time after which a shard request is hedged.
      last_reported: Epoch, state sequence and state that each target reported
        last, by target id.
    """

    def __init__(self, service: bundle_lib.Service):
        self._service = service
        self.versions = versions.VersionTable()
        self.versions.apply(service.shard_maps)
        self.bucket = budgets.TokenBucket(
            service.hedge_ratio, _token_capacity(service)
        )
        self.hedge_delay = budgets.HedgeDelay()
        self.last_reported: dict[str, tuple[int, int, str]] = {}

    def apply(self, service: bundle_lib.Service) -> None:
        """Applies the settings of a service, unless they are unchanged."""
        if self._service is service:
            return
        self._service = service
        self.last_reported.clear()
        self.versions.apply(service.shard_maps)
        self.bucket.resize(service.hedge_ratio, _token_capacity(service))


class ServiceStates:
    """State of all services, and the latency tracker of all targets."""

    def __init__(self) -> None:
        self.tracker = replicas.LatencyTracker()
        self._states: dict[str, ServiceState] = {}

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Drops services and targets that the bundle no longer contains."""
        names = {service.name for service in bundle.services}
        for name in self._states.keys() - names:
            del self._states[name]
        self.tracker.retain(
            {t.target_id for s in bundle.services for t in s.targets}
        )

    def get(self, service: bundle_lib.Service) -> ServiceState:
        """Returns the state of a service, updated to the given settings."""
        state = self._states.get(service.name)
        if state is None:
            state = self._states[service.name] = ServiceState(service)
        state.apply(service)
        return state


def _token_capacity(service: bundle_lib.Service) -> float:
    shard_count = max(len(m.shards) for m in service.shard_maps)
    return budgets.capacity_for(service.hedge_ratio, shard_count)
