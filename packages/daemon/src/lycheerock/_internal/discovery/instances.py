"""Finds the instances that share limits and feeds, through the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random
import secrets
import time
from typing import Any

from returns import result
import structlog

from lycheerock._internal.platform import client as client_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

# Own kind of object: one for each instance that serves as a gateway.
KIND = "gateways"
_FEED_ADDRESS = "feed_address"

# Enough that a renewed entry differs from all earlier ones.
_NONCE_BYTES = 8

# Time until the second reading, when instances that started together have all
# written their entry, and between later ones. A joining instance is known to
# all within one period; until then the reserve covers it.
SECOND_READ_S = 3.0
READ_PERIOD_S = 15.0

# An entry is written again this often, and counts as long as it was seen to
# change within the longer time, so that lost instances drop out of the count.
RENEWAL_PERIOD_S = 60.0
ABSENT_S = 200.0

# Part of the instances that may join before the next reading.
RESERVE_RATIO = 1.5


class InstanceCounter:
    """Counts the entries that have changed lately.

    Ages are measured by this process's own observation, since clocks of
    instances may differ.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[Any, float]] = {}

    def live_names(
        self, values: Mapping[str, Any], now_s: float
    ) -> frozenset[str]:
        """Returns the instances of a listing that count.

        Args:
          values: Content of all entries by name.
          now_s: Monotonic time.
        """
        for name, value in values.items():
            known = self._seen.get(name)
            if known is None or known[0] != value:
                self._seen[name] = (value, now_s)
        for name in self._seen.keys() - values.keys():
            del self._seen[name]
        return frozenset(
            name
            for name, (_, changed_s) in self._seen.items()
            if now_s - changed_s < ABSENT_S
        )


class Registration:
    """Keeps this instance's entry and reads those of all others."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        instance_id: str,
        feed_address: str,
        on_count: Callable[[int], None],
        on_addresses: Callable[[Mapping[str, str]], None],
    ) -> None:
        self._platform = platform
        self._instance_id = instance_id
        self._feed_address = feed_address
        self._on_count = on_count
        self._on_addresses = on_addresses
        self._counter = InstanceCounter()
        self._shared_by = 0
        self._renewal_due_s = 0.0

    async def run(self) -> None:
        """Writes and reads until cancelled."""
        delay_s = SECOND_READ_S
        while True:
            if await self._read() and time.monotonic() >= self._renewal_due_s:
                await self._renew()
            await asyncio.sleep(delay_s)
            delay_s = READ_PERIOD_S

    async def _renew(self) -> None:
        value = {
            "renewed": secrets.token_hex(_NONCE_BYTES),
            _FEED_ADDRESS: self._feed_address,
        }
        written = await self._platform.create(KIND, self._instance_id, value)
        if isinstance(written, result.Failure) and isinstance(
            written.failure(), exceptions.ConflictError
        ):
            # The entry of an earlier start or renewal.
            found = await self._platform.get(KIND, self._instance_id)
            known = found.value_or(None)
            if known is not None:
                written = await self._platform.write(
                    KIND, self._instance_id, value, known.version
                )
        if isinstance(written, result.Failure):
            _LOG.warning("registration_failed", error=str(written.failure()))
            return
        self._renewal_due_s = time.monotonic() + RENEWAL_PERIOD_S

    async def _read(self) -> bool:
        # An old list will do: a joining instance is covered by the reserve.
        found = await self._platform.list_objects(KIND, may_be_stale=True)
        if isinstance(found, result.Failure):
            _LOG.warning("instances_unknown", error=str(found.failure()))
            return False
        values = found.unwrap().values
        if not self._renewal_due_s:
            self._plan_first_renewal(values.get(self._instance_id))
        names = self._counter.live_names(values, time.monotonic())
        self._on_addresses(
            {n: a for n in names if (a := _feed_address(values[n]))}
        )
        count = len(names)
        shared_by = round(RESERVE_RATIO * max(1, count))
        if shared_by != self._shared_by:
            _LOG.info("instances_counted", count=count, shared_by=shared_by)
            self._shared_by = shared_by
            self._on_count(shared_by)
        return True

    def _plan_first_renewal(self, own_entry: Any) -> None:
        """Leaves the entry of an earlier start alone for a while.

        A write after each restart would be among the largest costs of a rolling
        restart, and the entry has changed within the last period.
        """
        self._renewal_due_s = time.monotonic()
        if _feed_address(own_entry) == self._feed_address:
            self._renewal_due_s += random.uniform(0.5, 1.0) * RENEWAL_PERIOD_S


def _feed_address(value: Any) -> str | None:
    address = value.get(_FEED_ADDRESS) if isinstance(value, dict) else None
    return address if isinstance(address, str) else None
