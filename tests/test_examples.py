"""Tests for the bundles and settings under examples/."""

import pathlib

import pytest

from lycheerock_bench._internal import examples
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import bundle_check
from lycheerock_model import settings

ROOT = pathlib.Path(__file__).parent.parent / "examples"
BUNDLES = sorted((ROOT / "bundles").glob("*.json"))


def load(name: str) -> bundle_lib.Bundle:
    path = ROOT / "bundles" / f"{name}.json"
    return bundle_check.load(path.read_bytes())


class TestExamples:
    """The examples are valid, complete and reproducible."""

    def test_files_match_the_output_of_write_examples(
        self, tmp_path: pathlib.Path
    ) -> None:
        # Guards against examples that were edited by hand or are outdated.
        examples.write(tmp_path)
        written = {
            path.relative_to(tmp_path): path.read_bytes()
            for path in tmp_path.rglob("*.json")
        }
        found = {
            path.relative_to(ROOT): path.read_bytes()
            for path in ROOT.rglob("*.json")
        }
        assert written == found

    @pytest.mark.parametrize("path", BUNDLES, ids=lambda path: path.stem)
    def test_replicas_are_in_different_zones(self, path: pathlib.Path) -> None:
        # Guards against a shard that becomes unavailable when one zone fails.
        bundle = bundle_check.load(path.read_bytes())
        for service in bundle.services:
            zones = {t.target_id: t.zone for t in service.targets}
            for shard in service.shard_maps[0].shards:
                assert len({zones[t] for t in shard.target_ids}) == 2

    def test_settings_are_valid(self) -> None:
        # Guards against example settings that the daemon rejects.
        path = ROOT / "settings" / "instance.json"
        assert len(settings.load(path.read_bytes()).peers) == 4

    @pytest.mark.parametrize(
        ("name", "service_count", "target_count"),
        [("tablee", 27, 84), ("herrajes", 27, 81), ("fan-out", 1, 980)],
    )
    def test_bundles_have_the_expected_sizes(
        self, name: str, service_count: int, target_count: int
    ) -> None:
        # Guards against a change of the generator that adds or loses services,
        # targets or regions.
        bundle = load(name)
        targets = [t for s in bundle.services for t in s.targets]
        assert len(bundle.services) == service_count
        assert len(targets) == target_count
        if name != "fan-out":
            assert len({target.region for target in targets}) == 3

    def test_fan_out_example_has_980_shards(self) -> None:
        # Guards against a fan-out example that searches fewer shards.
        shards = load("fan-out").services[0].shard_maps[0].shards
        assert len(shards) == 980
