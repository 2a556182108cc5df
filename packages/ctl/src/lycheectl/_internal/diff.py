"""Structural diff of two bundles."""

from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

# List items are matched by their identifying key, so that reordering a list is
# not reported as a change.
_IDENTITY_KEYS = ("target_id", "shard_id", "shard_map_version", "name")
# Metadata that differs between any two bundles.
_IGNORED_KEYS = frozenset({"number", "author"})

DIGEST_SHOWN_LENGTH = 8


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference between two bundles.

    Attributes:
      kind: One of added, removed or changed.
      path: Dotted path within the bundle; a list item is named by its identity
        key, such as its target id, instead of its index.
      before: Old value, or None.
      after: New value, or None.
    """

    kind: str
    path: str
    before: Any
    after: Any


def compare(before: Any, after: Any) -> list[Change]:
    """Returns the differences between two bundles.

    Args:
      before: The old bundle, a JSON value.
      after: The new bundle, a JSON value.

    Returns:
      The differences, ordered by path; the number and the author are ignored.
    """
    pruned = [
        {key: item for key, item in bundle.items() if key not in _IGNORED_KEYS}
        for bundle in (before, after)
    ]
    return sorted(_compare("", *pruned), key=lambda change: change.path)


def _compare(path: str, before: Any, after: Any) -> Iterator[Change]:
    before, after = _by_identity(before), _by_identity(after)
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted({*before, *after}):
            inner_path = f"{path}.{key}" if path else key
            yield from _compare_key(inner_path, key, (before, after))
    elif _truncate_digests(path, before) != _truncate_digests(path, after):
        yield Change(
            "changed",
            path,
            _truncate_digests(path, before),
            _truncate_digests(path, after),
        )


def _compare_key(
    path: str, key: str, pair: tuple[dict[str, Any], dict[str, Any]]
) -> Iterator[Change]:
    before, after = pair
    if key not in before:
        yield Change("added", path, None, _truncate_digests(path, after[key]))
    elif key not in after:
        yield Change(
            "removed", path, _truncate_digests(path, before[key]), None
        )
    else:
        yield from _compare(path, before[key], after[key])


def _by_identity(value: Any) -> Any:
    """Converts a list of objects to a dict if all have an identity key."""
    if not isinstance(value, list) or not value:
        return value
    for key in _IDENTITY_KEYS:
        if all(isinstance(item, dict) and key in item for item in value):
            return {str(item[key]): item for item in value}
    return value


def _truncate_digests(path: str, value: Any) -> Any:
    """Truncates token digests, as the instances do in their replies."""
    if path.endswith("token_sha256"):
        return str(value)[:DIGEST_SHOWN_LENGTH]
    if isinstance(value, dict):
        return {
            key: _truncate_digests(key, item) for key, item in value.items()
        }
    return value


def lines(changes: list[Change]) -> list[str]:
    """Formats differences, one line each."""
    markers = {"added": "+", "removed": "-", "changed": "~"}
    return [
        f"{markers[change.kind]} {change.path}: {_format_values(change)}"
        for change in changes
    ]


def _format_values(change: Change) -> str:
    if change.kind == "changed":
        return f"{_to_json(change.before)} -> {_to_json(change.after)}"
    return _to_json(change.after if change.kind == "added" else change.before)


def _to_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()
