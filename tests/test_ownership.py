"""Tests of the choice of a target's owner."""

from hypothesis import given
from hypothesis import strategies

from lycheerock._internal.dispatch import ownership

CANDIDATES = strategies.lists(
    strategies.builds(
        ownership.Candidate,
        strategies.from_regex(r"i[0-9]{1,3}", fullmatch=True),
        strategies.sampled_from(["r1", "r2"]),
        strategies.sampled_from(["za", "zb"]),
    ),
    min_size=2,
    max_size=8,
    unique_by=lambda c: c.instance_id,
)


class TestRank:
    """The owner is stable and near the target."""

    @given(CANDIDATES, strategies.integers(0, 999))
    def test_loss_of_another_instance_moves_no_target(
        self, candidates: list[ownership.Candidate], number: int
    ) -> None:
        # Guards against rehashing every target when one instance is lost.
        before = ownership.rank(f"t{number}", "r1", "za", candidates)
        kept = [c for c in candidates if c.instance_id != before[-1]]
        after = ownership.rank(f"t{number}", "r1", "za", kept)
        assert list(after) == list(before[:-1])

    @given(CANDIDATES)
    def test_same_zone_goes_first(
        self, candidates: list[ownership.Candidate]
    ) -> None:
        # Guards against an owner in another zone while the own zone has one.
        near = {
            c.instance_id
            for c in candidates
            if (c.region, c.zone) == ("r1", "za")
        }
        first = ownership.rank("t", "r1", "za", candidates)[0]
        assert not near or first in near
