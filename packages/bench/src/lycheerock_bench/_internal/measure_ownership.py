"""Compares methods of assigning targets to instances.

Rendezvous hashing is compared with range assignment. "The Quest For Balance"
(Gluster blog) describes four ways of placing a new range, of which three are
measured. The measurements correspond to its two goals: an even balance and few
moved targets.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import hashlib
import statistics

from lycheerock._internal.dispatch import ownership

HASH_SPACE = 2**32

# Instance ID of the owner by target ID.
Assignment = dict[str, str]


@dataclasses.dataclass(frozen=True)
class OwnershipResult:
    """Balance and number of moved targets of one method.

    Attributes:
      method: Name of the method.
      load_max_ratio: Largest number of targets of any instance, divided by the
        mean.
      moved_ratio: Share of targets whose owner changes when an instance is
        added.
      moved_on_loss_ratio: Share of targets whose owner changes when the first
        instance is lost.
    """

    method: str
    load_max_ratio: float
    moved_ratio: float
    moved_on_loss_ratio: float


@dataclasses.dataclass(frozen=True)
class _Range:
    """Hash values from `start` up to, but not including, `end`."""

    start: int
    end: int
    instance_id: str

    @property
    def size(self) -> int:
        return self.end - self.start


def compare(instance_count: int, target_count: int) -> list[OwnershipResult]:
    """Compares rendezvous hashing with range assignment.

    Args:
      instance_count: Number of instances before one is added or lost.
      target_count: Number of targets.

    Returns:
      One result per method.
    """
    targets = [f"target-{index}" for index in range(target_count)]
    instances = [f"i{index}" for index in range(instance_count)]
    results = [
        _measure("rendezvous", _assign_by_rendezvous, instances, targets)
    ]
    for name, add_range in (
        ("range, append", _append_range),
        ("range, insert", _insert_range),
        ("range, split one", _split_largest_range),
    ):
        assign = _range_assignment(add_range)
        results.append(_measure(name, assign, instances, targets))
    return results


def _measure(
    name: str,
    assign: Callable[[Sequence[str], Sequence[str]], Assignment],
    instances: list[str],
    targets: list[str],
) -> OwnershipResult:
    before = assign(instances, targets)
    added = assign([*instances, "new"], targets)
    removed = assign(instances[1:], targets)
    counts = [sum(owner == i for owner in before.values()) for i in instances]
    return OwnershipResult(
        method=name,
        load_max_ratio=round(max(counts) / statistics.mean(counts), 3),
        moved_ratio=_moved_ratio(before, added),
        moved_on_loss_ratio=_moved_ratio(before, removed),
    )


def _moved_ratio(before: Assignment, after: Assignment) -> float:
    moved = sum(before[target] != after[target] for target in before)
    return round(moved / len(before), 3)


def _assign_by_rendezvous(
    instances: Sequence[str], targets: Sequence[str]
) -> Assignment:
    candidates = [ownership.Candidate(i, "r", "z") for i in instances]
    return {t: ownership.rank(t, "r", "z", candidates)[0] for t in targets}


def _range_assignment(
    add_range: Callable[[list[_Range], str], list[_Range]],
) -> Callable[[Sequence[str], Sequence[str]], Assignment]:
    def assign(instances: Sequence[str], targets: Sequence[str]) -> Assignment:
        ranges: list[_Range] = []
        for instance_id in instances:
            ranges = add_range(ranges, instance_id)
        return {t: _find_owner(ranges, _hash(t)) for t in targets}

    return assign


def _hash(target_id: str) -> int:
    digest = hashlib.blake2b(target_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def _find_owner(ranges: list[_Range], value: int) -> str:
    return next(r.instance_id for r in ranges if r.start <= value < r.end)


def _equal_ranges(instance_ids: list[str]) -> list[_Range]:
    bounds = [
        HASH_SPACE * k // len(instance_ids)
        for k in range(len(instance_ids) + 1)
    ]
    return [
        _Range(start, end, instance_id)
        for start, end, instance_id in zip(
            bounds, bounds[1:], instance_ids, strict=False
        )
    ]


def _append_range(ranges: list[_Range], instance_id: str) -> list[_Range]:
    return _equal_ranges([*(r.instance_id for r in ranges), instance_id])


def _insert_range(ranges: list[_Range], instance_id: str) -> list[_Range]:
    # With ranges of equal size, the middle position moves the fewest targets.
    instance_ids = [r.instance_id for r in ranges]
    middle = len(instance_ids) // 2
    return _equal_ranges(
        [*instance_ids[:middle], instance_id, *instance_ids[middle:]]
    )


def _split_largest_range(
    ranges: list[_Range], instance_id: str
) -> list[_Range]:
    if not ranges:
        return [_Range(0, HASH_SPACE, instance_id)]
    largest = max(ranges, key=lambda r: r.size)
    middle = (largest.start + largest.end) // 2
    index = ranges.index(largest)
    halves = [
        _Range(largest.start, middle, largest.instance_id),
        _Range(middle, largest.end, instance_id),
    ]
    return [*ranges[:index], *halves, *ranges[index + 1 :]]
