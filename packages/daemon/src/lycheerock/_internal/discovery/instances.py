"""Registers this instance in the store and discovers the other instances.

The instances share limits and serve feeds to each other.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import itertools
import random
import secrets
import time
from typing import Any

from returns import result
import structlog

from lycheerock._internal.platform import client as client_lib

_LOG = structlog.get_logger()

# Kind of the objects in which the gateway instances register themselves.
OBJECT_KIND = "gateways"

# Fields of an entry. Entries of releases before the links lack all but the
# first.
FEED_ADDRESS = "feed_address"
ZONE = "zone"
WEIGHT = "weight"
BORN = "born"

# Size of the random value that makes each renewed entry differ from all earlier
# ones.
_NONCE_BYTES = 8

# Delays before the second and third read and interval of all later ones. By the
# second read, most instances that started together have written their entries,
# and can subscribe to each other's feeds instead of watching the store; by the
# third, all have. Every instance counts a new one within one interval; until
# then HEADROOM_RATIO covers it.
FIRST_DELAYS_S = (1.0, 2.0)
READ_PERIOD_S = 15.0

# Interval at which an instance renews its entry, and time after which an entry
# without a change expires, so that lost instances are no longer counted.
RENEWAL_PERIOD_S = 60.0
EXPIRY_S = 200.0

# After the store has returned from a copy, each instance writes its entry again
# within the first time, so that the writes are spread, and reads the others'
# after the second one. Until then it keeps the entries that it knows. An
# instance may notice the return later than another one by a pause and the wait
# of a watch.
REWRITE_SPREAD_S = 1.0
REWRITE_WAIT_S = 6.0

# Limits are divided by this multiple of the instance count, which leaves
# headroom for instances that join before the next read.
HEADROOM_RATIO = 1.5


class InstanceCounter:
    """Finds the instances whose entries have changed recently.

    The age of an entry counts from the time at which this process observed its
    last change, because the clocks of the instances may differ.
    """

    def __init__(self) -> None:
        self._last_changes: dict[str, tuple[Any, float]] = {}

    def live_names(
        self, values: Mapping[str, Any], now_s: float
    ) -> frozenset[str]:
        """Returns the names of the instances whose entries have not expired.

        Args:
          values: Content of all entries by name.
          now_s: Current monotonic time.
        """
        for name, value in values.items():
            known = self._last_changes.get(name)
            if known is None or known[0] != value:
                self._last_changes[name] = (value, now_s)
        for name in self._last_changes.keys() - values.keys():
            del self._last_changes[name]
        return frozenset(
            name
            for name, (_, changed_s) in self._last_changes.items()
            if now_s - changed_s < EXPIRY_S
        )


class Registration:
    """Renews the entry of this instance and reads those of all instances."""

    def __init__(
        self,
        platform: client_lib.PlatformClient,
        instance_id: str,
        own_entry: Mapping[str, Any],
        on_count: Callable[[int], None],
        on_entries: Callable[[Mapping[str, Any]], None],
    ) -> None:
        """Initializes the registration.

        Args:
          platform: Client of the store.
          instance_id: Name of this instance.
          own_entry: Content of this instance's entry; see `entry`.
          on_count: Called with the number of instances by which limits are
            divided.
          on_entries: Called with the entries that have not expired by instance
            id.
        """
        self._platform = platform
        self._instance_id = instance_id
        self._own_entry = own_entry
        self._on_count = on_count
        self._on_entries = on_entries
        self._counter = InstanceCounter()
        self._shared_by = 0
        # Version of the instance's own entry; 0 if it is not known.
        self._own_version = 0
        self._renewal_due_s = 0.0
        self._renewed_s = float("-inf")
        self._is_rewrite_due = False
        self._wakeup = asyncio.Event()
        platform.on_era(self._on_era)

    def _on_era(self, _era: int) -> None:
        """Plans to write the entry again, since the copy may lack it.

        The known version belongs to the former era. As a condition of a write,
        it could hold by chance.
        """
        self._own_version = 0
        self._renewal_due_s = time.monotonic()
        self._is_rewrite_due = True
        self._wakeup.set()

    async def run(self) -> None:
        """Reads all entries and renews the instance's own until cancelled."""
        delays_s = itertools.chain(
            FIRST_DELAYS_S, itertools.repeat(READ_PERIOD_S)
        )
        for delay_s in delays_s:
            if self._is_rewrite_due:
                await self._rewrite()
            if await self._read() and time.monotonic() >= self._renewal_due_s:
                await self._renew()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay_s):
                    await self._wakeup.wait()
            self._wakeup.clear()

    async def _rewrite(self) -> None:
        """Writes the entry, and waits until the other instances have theirs."""
        self._is_rewrite_due = False
        read_s = time.monotonic() + REWRITE_WAIT_S
        await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_S))
        await self._renew()
        await asyncio.sleep(max(0.0, read_s - time.monotonic()))

    async def _renew(self) -> None:
        value = {
            "renewed": secrets.token_hex(_NONCE_BYTES),
            **self._own_entry,
        }
        # The version from the last renewal, or from the conflict, saves reading
        # the entry before it is replaced.
        written = await self._platform.write(
            OBJECT_KIND, self._instance_id, value, self._own_version
        )
        if isinstance(written, result.Failure):
            failure = written.failure()
            if isinstance(failure, client_lib.StoredConflictError):
                written = await self._platform.write(
                    OBJECT_KIND,
                    self._instance_id,
                    value,
                    failure.stored.version,
                )
        self._own_version = written.map(lambda stored: stored.version).value_or(
            0
        )
        if isinstance(written, result.Failure):
            _LOG.warning("registration_failed", error=str(written.failure()))
            return
        self._renewed_s = time.monotonic()
        self._renewal_due_s = self._renewed_s + RENEWAL_PERIOD_S

    def renewed_age_s(self) -> float:
        """Returns the age of the last renewal, infinite if there was none."""
        return time.monotonic() - self._renewed_s

    async def _read(self) -> bool:
        # A stale list suffices: HEADROOM_RATIO covers joining instances.
        found = await self._platform.list_objects(
            OBJECT_KIND, may_be_stale=True
        )
        if isinstance(found, result.Failure):
            _LOG.warning("instances_unknown", error=str(found.failure()))
            return False
        if self._is_rewrite_due:
            # The list, or a call beside it, has shown a new era.
            return False
        values = found.unwrap().values
        if not self._renewal_due_s:
            self._plan_first_renewal(values.get(self._instance_id))
        names = self._counter.live_names(values, time.monotonic())
        self._on_entries({n: values[n] for n in names})
        count = len(names)
        shared_by = round(HEADROOM_RATIO * max(1, count))
        if shared_by != self._shared_by:
            _LOG.info("instances_counted", count=count, shared_by=shared_by)
            self._shared_by = shared_by
            self._on_count(shared_by)
        return True

    def _plan_first_renewal(self, own_entry: Any) -> None:
        """Delays the first renewal if the entry from before a restart is valid.

        A write after each restart would be among the largest costs of a rolling
        restart. It is not needed, since the entry was renewed shortly before
        the restart. Until the renewal it states the earlier start of the
        process, or lacks fields if an earlier release has written it.
        """
        self._renewal_due_s = time.monotonic()
        addresses = feed_addresses({self._instance_id: own_entry})
        if self._own_entry[FEED_ADDRESS] in addresses.values():
            # The entry may be as old as the period of the renewals.
            self._renewed_s = time.monotonic() - RENEWAL_PERIOD_S
            self._renewal_due_s += random.uniform(0.5, 1.0) * RENEWAL_PERIOD_S


def entry(
    feed_address: str, zone: str, weight: float, incarnation: int
) -> dict[str, Any]:
    """Returns the entry of an instance.

    Args:
      feed_address: Address at which it serves feeds and links.
      zone: Its availability zone.
      weight: Processor cores that it may use.
      incarnation: Start of its process, in milliseconds of its clock.
    """
    return {
        FEED_ADDRESS: feed_address,
        ZONE: zone,
        WEIGHT: weight,
        BORN: incarnation,
    }


def feed_addresses(entries: Mapping[str, Any]) -> dict[str, str]:
    """Returns the feed addresses of all entries that have one, by name."""
    return {
        name: address
        for name, value in entries.items()
        if isinstance(value, dict)
        and isinstance(address := value.get(FEED_ADDRESS), str)
    }
