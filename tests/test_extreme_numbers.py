"""Tests of entries and configurations with numbers that no usual type holds.

JSON sets no limit on numbers, and any writer may put an entry into the store.
A number that cannot be used must not affect more than the entry it stands in.
"""

import asyncio
import contextlib
import json
from typing import Any

import gateway_harness
import pytest
import unreadable_harness

from lycheerock._internal.discovery import follower as follower_lib
from lycheerock._internal.discovery import probing
from lycheerock._internal.discovery import routes as routes_lib
from lycheerock._internal.links import members as members_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import target_entries
from lycheerock._internal.routing import table
from lycheerock_protocol import links

# More than an IEEE 754 double can hold, of 401 digits.
HUGE = 10**400

NAMES = ["positive", "negative", "beyond 64 bits", "beyond a double"]

GOOD = json.loads(unreadable_harness.good_spec(1))
ROUTE = gateway_harness.forward_route("desk", "safe")


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    service = {"name": "desk", "max_conns": 4, **changes.pop("service", {})}
    route = ROUTE | changes.pop("route", {})
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        **changes,
    }


class TestTargetEntries:
    """Numbers in the entries of targets."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"slots": HUGE},
            {"slots": 10**309},
            {"slots": 2**63},
            {"slots": -HUGE},
            {"warmup_left_ms": HUGE},
            {"warmup_left_ms": 1e300},
            {"born": HUGE},
            {"born": 2**63},
        ],
    )
    def test_entry_with_the_number_names_no_target(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against a number that fails only where it is computed with,
        # after the entry has been accepted.
        assert isinstance(target_entries.decode("a", GOOD | changes), str)

    @pytest.mark.parametrize("is_listing", [True, False])
    def test_other_entries_are_applied(self, is_listing: bool) -> None:
        # Guards against entries that are not applied because one before them
        # in the same reply raises an error.
        targets = unreadable_harness.Targets()
        values = {"a": GOOD | {"slots": HUGE}, "b": GOOD}
        if is_listing:
            targets.list(values)
            assert targets.synchronizer.is_known
        else:
            changes = tuple(
                client_lib.Change(name, 9, value, False)
                for name, value in values.items()
            )
            targets.synchronizer.on_changes(client_lib.Changes(changes, 9))
        assert targets.registry.ids() == {"b"}


class TestUnexpectedErrors:
    """Errors that applying one entry raises, whatever their reason."""

    @pytest.mark.parametrize("is_listing", [True, False])
    def test_other_entries_are_applied(
        self, monkeypatch: pytest.MonkeyPatch, is_listing: bool
    ) -> None:
        # Guards against a value that passes the checks, fails later, and takes
        # the entries after it along. A replaced entry must not stay in use.
        targets = unreadable_harness.Targets()
        targets.list({"a": GOOD, "b": GOOD})
        put = targets.registry.put

        def failing_put(entry: Any, now_s: float) -> None:
            if entry.target_id == "a":
                raise OverflowError("int too large to convert to float")
            put(entry, now_s)

        monkeypatch.setattr(targets.registry, "put", failing_put)
        changed = {name: GOOD | {"slots": 5} for name in ("a", "b", "c")}
        for _ in range(2):
            if is_listing:
                targets.list(changed)
            else:
                for name, value in changed.items():
                    targets.change(name, value)
        assert targets.registry.ids() == {"b", "c"}
        # Logged and counted once, however often the entry is listed.
        assert targets.unreadable.counts == {("servers", "error"): 1}

    def test_follower_lists_again(self) -> None:
        # Guards against a follower that goes on from the revision of changes
        # that were not applied, and is never told of them again.
        failures = [OverflowError()]

        def fail(*_arguments: Any) -> None:
            if failures:
                raise failures.pop()

        async def test() -> None:
            client = client_lib.PlatformClient("127.0.0.1:1")
            follower = follower_lib.Follower(
                client,
                "servers",
                1.0,
                follower_lib.Handlers(fail, fail),
                probing.StoreProbe(),
            )
            listing = client_lib.Listing({"a": GOOD}, 3)
            with contextlib.suppress(OverflowError):
                follower.apply_listing(listing, was_lost=False)
            assert follower.revision is None
            follower.apply_listing(listing, was_lost=False)
            assert follower.revision == 3
            failures.append(OverflowError())
            change = client_lib.Change("a", 4, GOOD, False)
            with contextlib.suppress(OverflowError):
                follower.apply_changes(client_lib.Changes((change,), 4))
            assert follower.revision is None
            await client.close()

        asyncio.run(test())


class TestGateway:
    """A gateway whose store lists an entry with a huge number."""

    @pytest.mark.parametrize("is_running", [False, True])
    def test_other_targets_are_used(self, is_running: bool) -> None:
        # Guards against a gateway that is never ready after a start, or does
        # not learn of new targets, as long as the entry is listed.
        async def test(harness: gateway_harness.GatewayHarness) -> None:
            await harness.configure([ROUTE])
            spec = json.dumps(GOOD | {"slots": HUGE}).encode()
            if is_running:
                await harness.add_target("b", "other")
                await harness.start_gateway()
            await harness.platform.store_raw("servers", "a", spec)
            await harness.add_target("c", "desk", b"rows")
            if not is_running:
                await harness.start_gateway()
            assert harness.daemon is not None
            await harness.wait_for(lambda: "c" in known_targets(harness), 5.0)
            assert (await harness.call("/safe/x", "r1"))[0] == 200
            unreadable = harness.dump()["unreadable_entries"]
            assert unreadable == {"servers fields": 1}

        gateway_harness.run(test)


def known_targets(harness: gateway_harness.GatewayHarness) -> set[str]:
    return {target["target"] for target in harness.dump()["targets"]}


class TestConfiguration:
    """Numbers in the operators' configuration."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": {"max_conns": HUGE}},
            {"service": {"max_conns": -HUGE}},
            {"service": {"warmup_per_s": 1e300}},
            {"route": {"max_attempts": HUGE}},
            {"route": {"top_k": HUGE}},
            {"route": {"min_shard_share": 1e300}},
            {
                "route": {
                    "service": None,
                    "split": [{"service": "desk", "weight": 1e300}],
                }
            },
            {"limits": {"max_header_bytes": HUGE}},
            {"limits": {"max_body_bytes": HUGE}},
        ],
    )
    def test_configuration_in_force_stays(
        self, changes: dict[str, Any]
    ) -> None:
        # Guards against a configuration that is half applied: in force, while
        # the limits of the targets are still the former ones.
        source = routes_lib.RouteSource()
        source.on_listing(
            client_lib.Listing({"main": configuration(7)}, 1), False
        )
        bad = client_lib.Change("main", 2, configuration(8, **changes), False)
        source.on_changes(client_lib.Changes((bad,), 2))
        assert source.current is not None
        assert source.current.version == 7

    def test_subscriber_that_fails_does_not_affect_the_others(self) -> None:
        # Guards against parts of a gateway that keep the former configuration
        # because another part cannot apply the new one.
        applied: list[int] = []

        def fail(_routes: table.RouteTable) -> None:
            raise OverflowError("int too large to convert to float")

        source = routes_lib.RouteSource()
        source.subscribe(fail)
        source.subscribe(lambda routes: applied.append(routes.version))
        source.on_listing(
            client_lib.Listing({"main": configuration(7)}, 1), False
        )
        assert applied == [7]


class TestInstances:
    """Numbers in the entries of instances."""

    @pytest.mark.parametrize("number", [HUGE, -HUGE, 2**64, 10**309], ids=NAMES)
    def test_fields_get_their_defaults(self, number: int) -> None:
        # Guards against an entry of another writer that ends the reading of all
        # entries, and against a number that cannot be sent to other instances.
        entry = {
            "feed_address": "127.0.0.1:7000",
            "weight": number,
            "born": number,
        }
        other = {"feed_address": "127.0.0.1:7001"}
        found = members_lib.decode_entries({"a": entry, "b": other}, {})
        assert sorted(found) == ["127.0.0.1:7000", "127.0.0.1:7001"]
        member = found["127.0.0.1:7000"]
        assert 0 < member.weight <= members_lib.WEIGHT_MAX
        links.encode("kind", links.Hello(1, "a", member.incarnation, 0.0))
