"""Tests for the validation of settings files and bundles."""

import copy
import json
from typing import Any

from hypothesis import given
from hypothesis import strategies
import pytest

from lycheerock_bench._internal import deployments
from lycheerock_model import bundle_check
from lycheerock_model import exceptions
from lycheerock_model import settings

ZONES = [("montreal", "montreal-a"), ("montreal", "montreal-b")]
SHAPE = deployments.ServiceShape("portal", "latency", 3, 4, 2, 3, 30)
SETTINGS = deployments.build_settings(3, ZONES, 9_000, "127.0.0.1:8000")[0]
BUNDLE = deployments.build_bundle([SHAPE], ZONES, 9_100, 5)


def with_value(document: Any, path: str, value: Any) -> Any:
    """Returns a copy with one value replaced; `...` removes the key."""
    result = copy.deepcopy(document)
    container = result
    *parts, last = path.split(".")
    for part in parts:
        container = container[
            int(part) if isinstance(container, list) else part
        ]
    if value is ...:
        del container[last]
    elif isinstance(container, list):
        container[int(last)] = value
    else:
        container[last] = value
    return result


def settings_faults(document: Any) -> list[exceptions.Fault]:
    with pytest.raises(exceptions.DocumentError) as caught:
        settings.load(json.dumps(document).encode())
    return list(caught.value.faults)


def bundle_faults(document: Any) -> list[exceptions.Fault]:
    with pytest.raises(exceptions.DocumentError) as caught:
        bundle_check.load(json.dumps(document).encode())
    return list(caught.value.faults)


class TestSettingsFaults:
    """Each fault of a settings file has its path and a remedy."""

    @pytest.mark.parametrize(
        ("path", "value", "remedy"),
        [
            ("colour", 1, "remove the key"),
            (
                "grace_limit_ms",
                5,
                "write it as grace_limit_s, whose value is in seconds",
            ),
            ("log_levle", "info", "write it as log_level"),
            ("peers.0.peer_adress", "x", "write it as peer_address"),
            ("zone", ..., "add the key"),
            ("zone", "Montreal A", "use a value that matches the pattern"),
            ("grace_limit_s", -1, "use a larger value"),
            ("grace_limit_s", 3_601, "use a smaller value"),
            ("grace_limit_s", "30s", "the value is in seconds"),
            ("grace_limit_s", "30", "the value is in seconds"),
            ("grace_limit_s", True, "the value is in seconds"),
            ("log_level", "loud", "use a value that matches the pattern"),
            ("operator_token", "short", "correct the value"),
            ("operator_token", "sixteen letters ok", "use only letters"),
            ("caller_address", "localhost:9000", "write an IP address"),
            ("caller_address", "127.0.0.1", "write an IP address"),
            ("caller_address", "127.0.0.1:0", "write an IP address"),
            ("caller_address", "127.0.0.1:65536", "write an IP address"),
            ("caller_address", "127.0.0.1:09000", "write an IP address"),
            ("caller_address", "127.0.0.256:9000", "write an IP address"),
            ("caller_address", "::1:9000", "write an IP address"),
            ("caller_address", "[127.0.0.1]:9000", "write an IP address"),
            ("peer_address", "0.0.0.0:9001", "write an IP address"),
            ("platform_address", "[::]:9001", "write an IP address"),
            ("operator_address", "127.0.0.1:9000", "give each server"),
            ("operator_address", "0.0.0.0:9000", "give each server"),
            ("platform_address", "127.0.0.1:9000", "give each server"),
            ("peers.1.peer_address", "127.0.0.1:9004", "give each server"),
            ("peers.1.peer_address", "127.0.0.1:9001", "give each server"),
            ("peers.1.instance_id", "i1", "list each peer once"),
            ("peers.1.instance_id", "i0", "list only other instances"),
        ],
    )
    def test_fault_is_reported_at_its_path(
        self, path: str, value: Any, remedy: str
    ) -> None:
        # Guards against a fault that is missed, reported at the wrong path or
        # reported with the wrong remedy.
        faults = settings_faults(with_value(SETTINGS, path, value))
        assert [f.path for f in faults] == [path]
        assert remedy in faults[0].remedy

    def test_all_faults_are_reported_at_once(self) -> None:
        # Guards against cross-field checks that are skipped after other faults.
        document = with_value(SETTINGS, "colour", 1)
        document = with_value(document, "zone", ...)
        document = with_value(document, "peers.1.instance_id", "i1")
        document = with_value(document, "operator_address", "127.0.0.1:9000")
        paths = {fault.path for fault in settings_faults(document)}
        assert paths == {
            "colour",
            "zone",
            "peers.1.instance_id",
            "operator_address",
        }

    def test_token_is_not_in_faults_or_repr(self) -> None:
        # Guards against a token that is printed or logged.
        for token in ("short-tok-7", "long enough, but with spaces"):
            document = with_value(SETTINGS, "operator_token", token)
            assert token not in str(settings_faults(document))
        loaded = settings.load(json.dumps(SETTINGS).encode())
        assert SETTINGS["operator_token"] not in repr(loaded)

    @pytest.mark.parametrize("address", ["0.0.0.0:9000", "[::1]:9000"])
    def test_valid_listen_address_is_accepted(self, address: str) -> None:
        # Guards against rejected wildcard and IPv6 addresses.
        document = with_value(SETTINGS, "caller_address", address)
        assert settings.load(json.dumps(document).encode())


class TestBundleFaults:
    """Each fault of a bundle has its path and a remedy."""

    @pytest.mark.parametrize(
        ("path", "value", "fault_path"),
        [
            ("services.0.hedge_percent", 5, None),
            ("services.0.hedge_ratio", 1.5, None),
            ("services.0.deadline_default_s", 1, None),
            ("services.0.deadline_default_ms", "1s", None),
            ("services.0.deadline_default_ms", 30_001, None),
            (
                "services.0.deadline_max_ms",
                999,
                "services.0.deadline_default_ms",
            ),
            ("services.0.weighs", "speed", None),
            ("services.0.targets.0.address", "db1:80", None),
            ("services.0.targets.1.address", "127.0.0.1:9100", None),
            ("services.0.targets.1.target_id", "portal-t0", None),
            ("services.0.targets.0.connection_limit", 4, None),
            ("services.0.targets.0.slot_count", 0, None),
            ("services.0.targets.0.slot_count", "3", None),
            (
                "services.0.shard_maps.0.shards.0.target_ids.0",
                "t9",
                "services.0.shard_maps.0.shards.0.target_ids",
            ),
            (
                "services.0.shard_maps.0.shards.0.target_ids.0",
                "portal-t1",
                "services.0.shard_maps.0.shards.0.target_ids.1",
            ),
            ("services.0.shard_maps.0.shards.0.target_ids.1", "", None),
            ("services.0.shard_maps.0.shards.1.shard_id", "s0", None),
            ("services.0.shard_maps.0.shards", [], None),
            ("callers.0.service_names.0", "other", "callers.0.service_names"),
            ("callers.0.token_sha256", "abc", None),
            ("instance_count_max", 0, None),
        ],
    )
    def test_fault_is_reported_at_its_path(
        self, path: str, value: Any, fault_path: str | None
    ) -> None:
        # Guards against a fault that is missed, reported at the wrong path or
        # reported without a remedy.
        faults = bundle_faults(with_value(BUNDLE, path, value))
        assert (fault_path or path) in [fault.path for fault in faults]
        assert all(fault.remedy for fault in faults)

    def test_all_faults_are_reported_at_once(self) -> None:
        # Guards against reference checks that are skipped after other faults.
        document = with_value(BUNDLE, "services.0.colour", 1)
        document = with_value(document, "callers.0.service_names.0", "other")
        document = with_value(
            document, "services.0.targets.1.target_id", "portal-t0"
        )
        paths = {fault.path for fault in bundle_faults(document)}
        assert paths >= {
            "services.0.colour",
            "callers.0.service_names",
            "services.0.targets.1.target_id",
        }

    def test_callers_with_the_same_token_are_rejected(self) -> None:
        # Guards against ambiguous caller authentication.
        document = copy.deepcopy(BUNDLE)
        document["callers"].append({**document["callers"][0], "name": "other"})
        paths = [fault.path for fault in bundle_faults(document)]
        assert paths == ["callers.1.token_sha256"]

    def test_bundle_over_the_size_limit_is_rejected(self) -> None:
        # Guards against an accepted bundle that the platform cannot store.
        text = json.dumps(BUNDLE).encode()
        with pytest.raises(exceptions.DocumentError) as caught:
            bundle_check.load(text + b" " * bundle_check.BUNDLE_SIZE_MAX_BYTES)
        assert caught.value.faults[0].path == "(document)"


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 70_000)
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=5,
)
PATHS = strategies.sampled_from(
    [
        "services", "services.0", "services.0.name", "services.0.targets",
        "services.0.targets.0", "services.0.targets.0.target_id",
        "services.0.targets.0.address", "services.0.shard_maps.0.shards",
        "services.0.shard_maps.0.shards.0.target_ids.0", "callers",
        "callers.0.service_names", "callers.0.token_sha256",
        "instance_count_max", "services.0.deadline_max_ms",
    ]
)  # fmt: skip


class TestArbitraryValues:
    """Validation reports faults in any JSON value and raises no exception."""

    @given(PATHS, JSON_VALUES)
    def test_bundle_check_does_not_raise(self, path: str, value: Any) -> None:
        # Guards against a traceback for values of an unexpected type.
        bundle, faults = bundle_check.check(with_value(BUNDLE, path, value))
        assert (bundle is None) == bool(faults)

    @given(
        strategies.sampled_from(
            ["peers", "peers.0", "peers.0.instance_id", "caller_address"]
        ),
        JSON_VALUES,
    )
    def test_settings_check_does_not_raise(self, path: str, value: Any) -> None:
        # Guards against a traceback for values of an unexpected type.
        document = with_value(SETTINGS, path, value)
        loaded, faults = settings.check(document)
        assert (loaded is None) == bool(faults)
