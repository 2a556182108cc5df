"""Compares two bundles part by part."""

from collections.abc import Iterator
import dataclasses
from typing import Any

import msgspec

# Parts of a bundle are compared by the key that identifies them, so that a
# part that moved within its list is no change.
_IDENTITY_KEYS = ("target_id", "shard_id", "shard_map_version", "name")
# These differ between any two bundles.
_IGNORED_KEYS = frozenset({"number", "author"})

DIGEST_SHOWN_LENGTH = 8


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference.

    Attributes:
      kind: added, removed or changed.
      path: Place in the bundle.
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
      The differences, ordered by path.
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
            inner = f"{path}.{key}" if path else key
            yield from _compare_key(inner, key, (before, after))
    elif _shorten(path, before) != _shorten(path, after):
        yield Change(
            "changed", path, _shorten(path, before), _shorten(path, after)
        )


def _compare_key(
    path: str, key: str, pair: tuple[dict[str, Any], dict[str, Any]]
) -> Iterator[Change]:
    before, after = pair
    if key not in before:
        yield Change("added", path, None, _shorten(path, after[key]))
    elif key not in after:
        yield Change("removed", path, _shorten(path, before[key]), None)
    else:
        yield from _compare(path, before[key], after[key])


def _by_identity(value: Any) -> Any:
    """Turns a list of identified parts into an object."""
    if not isinstance(value, list) or not value:
        return value
    for key in _IDENTITY_KEYS:
        if all(isinstance(item, dict) and key in item for item in value):
            return {str(item[key]): item for item in value}
    return value


def _shorten(path: str, value: Any) -> Any:
    """Shows only the start of a token's digest, as the instances do."""
    if path.endswith("token_sha256"):
        return str(value)[:DIGEST_SHOWN_LENGTH]
    if isinstance(value, dict):
        return {key: _shorten(key, item) for key, item in value.items()}
    return value


def lines(changes: list[Change]) -> list[str]:
    """Returns one line per difference."""
    signs = {"added": "+", "removed": "-", "changed": "~"}
    return [
        f"{signs[change.kind]} {change.path}: {_values(change)}"
        for change in changes
    ]


def _values(change: Change) -> str:
    if change.kind == "changed":
        return f"{_text(change.before)} -> {_text(change.after)}"
    return _text(change.after if change.kind == "added" else change.before)


def _text(value: Any) -> str:
    return msgspec.json.encode(value).decode()
