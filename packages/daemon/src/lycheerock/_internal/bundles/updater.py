"""Fetches, verifies and activates bundles on this instance."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec
from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import peer_client as peer_client_lib
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import store as store_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

FetchResult = result.Result[records.SignedBundle, exceptions.LycheerockError]


class BundleUpdater:
    """Fetches and caches bundles and puts accepted ones in force.

    Attributes:
      store: Holds the bundle in force.
    """

    def __init__(
        self,
        store: store_lib.BundleStore,
        catalog: catalog_lib.Catalog,
        peer_client: peer_client_lib.PeerClient,
    ):
        self.store = store
        self._catalog = catalog
        self._peer_client = peer_client
        self._cache: dict[int, records.SignedBundle] = {}
        self._fetch_lock = asyncio.Lock()

    def get_cached(self, number: int) -> records.SignedBundle | None:
        """Returns a bundle that was fetched before, or None.

        Bundles older than the one in force are no longer cached.
        """
        return self._cache.get(number)

    async def fetch(self, number: int, addresses: Sequence[str]) -> FetchResult:
        """Fetches and verifies a bundle unless it is cached.

        Args:
          number: Number of the bundle.
          addresses: Addresses of peers to try before the platform.

        Returns:
          The bundle, or the error of the read from the platform.
        """
        async with self._fetch_lock:
            cached = self._cache.get(number)
            if cached is not None:
                return result.Success(cached)
            fetched = await self._fetch_uncached(number, addresses)
            if isinstance(fetched, result.Success):
                self._cache[number] = fetched.unwrap()
            return fetched

    async def _fetch_uncached(
        self, number: int, addresses: Iterable[str]
    ) -> FetchResult:
        for address in addresses:
            fetched = await self._fetch_from_peer(number, address)
            if isinstance(fetched, result.Success):
                return fetched
        return await self._catalog.read_signed(number)

    async def _fetch_from_peer(self, number: int, address: str) -> FetchResult:
        replied = await self._peer_client.fetch(address, number)
        if isinstance(replied, result.Failure):
            return result.Failure(
                exceptions.PlatformError(replied.failure(), "ask another peer")
            )
        reply = replied.unwrap()
        if not reply.bundle:
            return result.Failure(
                exceptions.PlatformError(
                    f"{address} does not hold bundle {number}",
                    "ask another peer",
                )
            )
        try:
            signed = records.SignedBundle(
                msgspec.json.decode(reply.bundle),
                msgspec.json.decode(reply.signoff, type=records.Signoff),
            )
            records.verify(signed, number)
        except exceptions.DocumentError as error:
            return result.Failure(error)
        except msgspec.MsgspecError as error:
            fault = exceptions.Fault(address, str(error), "ask another peer")
            return result.Failure(
                exceptions.DocumentError(f"bundle {number}", (fault,))
            )
        return result.Success(signed)

    async def acknowledge(
        self,
        number: int,
        epoch: int,
        in_force: int,
        address: str,
    ) -> str:
        """Fetches, verifies and acknowledges a bundle for a coordinator.

        Args:
          number: Number of the bundle that is being rolled out.
          epoch: Epoch of the coordinator.
          in_force: Accepted number according to the coordinator.
          address: Address of the coordinator.

        Returns:
          Why the bundle is not acknowledged; empty if it is.
        """
        now_s = self.store.now_s()
        if in_force > self.store.number:
            await self.activate(in_force, [address])
        fetched = await self.fetch(number, [address])
        if isinstance(fetched, result.Failure):
            return str(fetched.failure())
        if self.store.state.acknowledge(number, epoch, in_force, now_s):
            return ""
        return (
            f"bundle {in_force} could not be fetched, or epoch {epoch} is "
            f"superseded by epoch {self.store.state.epoch}"
        )

    async def activate(self, number: int, addresses: Sequence[str]) -> bool:
        """Fetches an accepted bundle and puts it in force.

        Args:
          number: Number of the accepted bundle.
          addresses: Addresses of peers that may hold it.

        Returns:
          Whether the bundle was put in force by this call.
        """
        if number <= self.store.number:
            return False
        self.store.state.record_accepted(number, self.store.now_s())
        fetched = await self.fetch(number, addresses)
        if isinstance(fetched, result.Failure):
            _LOG.warning(
                "bundle_not_fetched",
                number=number,
                problem=str(fetched.failure()),
            )
            return False
        signed = fetched.unwrap()
        if not self.store.put_in_force(records.verify(signed, number)):
            return False
        for older in [n for n in self._cache if n < number]:
            del self._cache[older]
        _LOG.info("bundle_in_force", number=number)
        return True

    async def apply_read(
        self,
        version: int,
        rollout: records.Rollout,
        started_s: float,
        addresses: Sequence[str] = (),
    ) -> None:
        """Applies a read of `rollout/current` to the local state.

        If it shows that the bundle in force here is the accepted one, the
        admission gate is confirmed.

        Args:
          version: Version of the object.
          rollout: Value of the object.
          started_s: Monotonic time at which the read started.
          addresses: Addresses of peers that may hold the accepted bundle.
        """
        state = self.store.state
        outcome = state.on_platform_read(version, rollout, started_s)
        if outcome is instance_state.ReadOutcome.NEWER:
            await self.activate(rollout.in_force, addresses)
            outcome = state.on_platform_read(version, rollout, started_s)
        gate = self.store.gate
        if outcome is instance_state.ReadOutcome.CURRENT and gate is not None:
            now_s = self.store.now_s()
            if not gate.observe(now_s) and rollout.is_open:
                state.track_open_rollout(
                    rollout.staging, rollout.epoch, started_s
                )
            gate.confirm(started_s, now_s)
