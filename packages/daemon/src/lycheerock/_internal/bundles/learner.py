"""Brings this instance to the bundles that it hears of."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence

import msgspec
from returns import result
import structlog

from lycheerock._internal.bundles import catalog as catalog_lib
from lycheerock._internal.bundles import instance_state
from lycheerock._internal.bundles import peer_calls
from lycheerock._internal.bundles import records
from lycheerock._internal.bundles import store as store_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

Fetched = result.Result[records.SignedBundle, exceptions.LycheerockError]


class Learner:
    """Fetches, checks and holds bundles; puts accepted ones in force."""

    def __init__(
        self,
        store: store_lib.BundleStore,
        catalog: catalog_lib.Catalog,
        calls: peer_calls.PeerCalls,
    ):
        self.store = store
        self._catalog = catalog
        self._calls = calls
        self._held: dict[int, records.SignedBundle] = {}
        self._fetching = asyncio.Lock()

    def held(self, number: int) -> records.SignedBundle | None:
        """Returns a bundle that this instance holds, or None."""
        return self._held.get(number)

    async def hold(self, number: int, addresses: Sequence[str]) -> Fetched:
        """Fetches and checks a bundle unless it is held already.

        Args:
          number: Number of the bundle.
          addresses: Peers to ask before the platform.

        Returns:
          The bundle, or the error of the last attempt.
        """
        async with self._fetching:
            held = self._held.get(number)
            if held is not None:
                return result.Success(held)
            fetched = await self._fetch(number, addresses)
            if isinstance(fetched, result.Success):
                self._held[number] = fetched.unwrap()
            return fetched

    async def _fetch(self, number: int, addresses: Iterable[str]) -> Fetched:
        for address in addresses:
            fetched = await self._fetch_from_peer(number, address)
            if isinstance(fetched, result.Success):
                return fetched
        return await self._catalog.read_signed(number)

    async def _fetch_from_peer(self, number: int, address: str) -> Fetched:
        replied = await self._calls.fetch(address, number)
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
        """Fetches and checks a bundle for a coordinator.

        Args:
          number: Number that is rolled out.
          epoch: Epoch of the coordinator.
          in_force: Accepted number that the coordinator named.
          address: The coordinator's address.

        Returns:
          Empty if the bundle is acknowledged, otherwise why it is not.
        """
        now_s = self.store.now_s()
        if in_force > self.store.number:
            await self.activate(in_force, [address])
        fetched = await self.hold(number, [address])
        if isinstance(fetched, result.Failure):
            return str(fetched.failure())
        if self.store.state.acknowledge(number, epoch, in_force, now_s):
            return ""
        return (
            f"bundle {in_force} could not be fetched, or epoch {epoch} is "
            f"replaced by {self.store.state.epoch}"
        )

    async def activate(self, number: int, addresses: Sequence[str]) -> bool:
        """Puts an accepted bundle in force.

        Args:
          number: Number of the accepted bundle.
          addresses: Peers that hold it.

        Returns:
          Whether the number in force has risen.
        """
        if number <= self.store.number:
            return False
        self.store.state.learn_accepted(number, self.store.now_s())
        fetched = await self.hold(number, addresses)
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
        for older in [n for n in self._held if n < number]:
            del self._held[older]
        _LOG.info("bundle_in_force", number=number)
        return True

    async def apply_read(
        self,
        version: int,
        rollout: records.Rollout,
        started_s: float,
        addresses: Sequence[str] = (),
    ) -> None:
        """Applies a read of `rollout/current`.

        Args:
          version: Version of the object.
          rollout: Its value.
          started_s: Monotonic time at which the read started.
          addresses: Peers that may hold the accepted bundle.
        """
        state = self.store.state
        verdict = state.on_platform_read(version, rollout, started_s)
        if verdict is instance_state.ReadVerdict.NEWER:
            await self.activate(rollout.in_force, addresses)
            verdict = state.on_platform_read(version, rollout, started_s)
        gate = self.store.gate
        if verdict is instance_state.ReadVerdict.CURRENT and gate is not None:
            now_s = self.store.now_s()
            if not gate.observe(now_s) and rollout.is_open:
                state.bind(rollout.staging, rollout.epoch, started_s)
            gate.confirm(started_s, now_s)
