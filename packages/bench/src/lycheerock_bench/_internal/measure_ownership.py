"""Compares ways to assign targets to instances.

Range assignment with its four ways of placing a new range is described in "The
Quest For Balance" (the Gluster blog); the measures here are its two goals,
balance and little movement.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import hashlib
import statistics

from lycheerock._internal.dispatch import ownership

HASH_SPACE = 2**32

# Owner by target id.
Assignment = dict[str, str]


@dataclasses.dataclass(frozen=True)
class OwnershipResult:
    """Balance and movement of one method.

    Attributes:
      method: Name of the method.
      load_max_ratio: Most targets of an instance over the mean.
      moved_ratio: Share of targets whose owner changes when one is added.
      moved_on_loss_ratio: Share of targets whose owner changes when one of the
        first instances is lost.
    """

    method: str
    load_max_ratio: float
    moved_ratio: float
    moved_on_loss_ratio: float


@dataclasses.dataclass(frozen=True)
class _Range:
    start: int
    end: int
    instance_id: str

    @property
    def size(self) -> int:
        return self.end - self.start


def compare(instance_count: int, target_count: int) -> list[OwnershipResult]:
    """Compares rendezvous hashing with range assignment.

    Args:
      instance_count: Instances before the change.
      target_count: Targets.

    Returns:
      One result per method.
    """
    targets = [f"target-{index}" for index in range(target_count)]
    instances = [f"i{index}" for index in range(instance_count)]
    results = [_measure("rendezvous", _rendezvous, instances, targets)]
    for name, place in (
        ("range, append", _append),
        ("range, insert", _insert),
        ("range, split one", _split_one),
    ):
        assign = _range_method(place)
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
    lost = assign(instances[1:], targets)
    counts = [sum(owner == i for owner in before.values()) for i in instances]
    return OwnershipResult(
        method=name,
        load_max_ratio=round(max(counts) / statistics.mean(counts), 3),
        moved_ratio=_moved(before, added),
        moved_on_loss_ratio=_moved(before, lost),
    )


def _moved(before: Assignment, after: Assignment) -> float:
    moved = sum(before[target] != after[target] for target in before)
    return round(moved / len(before), 3)


def _rendezvous(instances: Sequence[str], targets: Sequence[str]) -> Assignment:
    candidates = [ownership.Candidate(i, "r", "z") for i in instances]
    return {t: ownership.rank(t, "r", "z", candidates)[0] for t in targets}


def _range_method(
    place: Callable[[list[_Range], str], list[_Range]],
) -> Callable[[Sequence[str], Sequence[str]], Assignment]:
    def assign(instances: Sequence[str], targets: Sequence[str]) -> Assignment:
        ranges: list[_Range] = []
        for instance_id in instances:
            ranges = place(ranges, instance_id)
        return {t: _find(ranges, _hash(t)) for t in targets}

    return assign


def _hash(target_id: str) -> int:
    digest = hashlib.blake2b(target_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def _find(ranges: list[_Range], value: int) -> str:
    return next(r.instance_id for r in ranges if r.start <= value < r.end)


def _equal(order: list[str]) -> list[_Range]:
    ends = [HASH_SPACE * k // len(order) for k in range(len(order) + 1)]
    return [
        _Range(start, end, instance_id)
        for start, end, instance_id in zip(ends, ends[1:], order, strict=False)
    ]


def _append(ranges: list[_Range], instance_id: str) -> list[_Range]:
    return _equal([*(r.instance_id for r in ranges), instance_id])


def _insert(ranges: list[_Range], instance_id: str) -> list[_Range]:
    # The middle position moves least for ranges of equal size.
    order = [r.instance_id for r in ranges]
    middle = len(order) // 2
    return _equal([*order[:middle], instance_id, *order[middle:]])


def _split_one(ranges: list[_Range], instance_id: str) -> list[_Range]:
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
