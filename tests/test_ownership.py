"""Tests the ranking of instances as owners of a target."""

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
    """The owner is stable and as close to the target as possible."""

    @given(CANDIDATES, strategies.integers(0, 999))
    def test_losing_the_last_instance_keeps_the_order_of_the_others(
        self, candidates: list[ownership.Candidate], number: int
    ) -> None:
        # Guards against the loss of one instance moving the targets of others.
        before = ownership.rank(f"t{number}", "r1", "za", candidates)
        remaining = [c for c in candidates if c.instance_id != before[-1]]
        after = ownership.rank(f"t{number}", "r1", "za", remaining)
        assert list(after) == list(before[:-1])

    @given(CANDIDATES)
    def test_owner_is_in_the_zone_of_the_target_if_possible(
        self, candidates: list[ownership.Candidate]
    ) -> None:
        # Guards against an owner in another zone while there is an instance in
        # the zone of the target.
        same_zone = {
            c.instance_id
            for c in candidates
            if (c.region, c.zone) == ("r1", "za")
        }
        first = ownership.rank("t", "r1", "za", candidates)[0]
        assert not same_zone or first in same_zone
