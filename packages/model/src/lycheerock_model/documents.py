"""Validates JSON documents against data classes, reporting every fault."""

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import difflib
import functools
from typing import Any
from typing import cast
from typing import get_args
from typing import get_type_hints
from typing import TypeVar

import pydantic

from lycheerock_model import exceptions
from lycheerock_model import remedies

T = TypeVar("T")

STRICT = pydantic.ConfigDict(extra="forbid", strict=False)

_REMEDIES = {
    "missing": "add the key",
    "greater_than": "use a larger value",
    "greater_than_equal": "use a larger value",
    "less_than": "use a smaller value",
    "less_than_equal": "use a smaller value",
    "string_pattern_mismatch": "use a value that matches the pattern",
    "address": "write an IP address and a port, such as 10.0.0.1:9000 or "
    "[fd00::1]:9000; host names are not resolved",
}


def check(
    data_class: type[T], document: Any
) -> tuple[T | None, tuple[exceptions.Fault, ...]]:
    """Validates a parsed document and converts it to a data class.

    Args:
      data_class: The pydantic data class that describes the document.
      document: The parsed JSON value.

    Returns:
      The data object and no faults, or None and every fault.
    """
    try:
        checked: T = _adapter(cast(Hashable, data_class)).validate_python(
            document
        )
    except pydantic.ValidationError as error:
        return None, tuple(
            _to_fault(data_class, detail) for detail in error.errors()
        )
    return checked, ()


@functools.cache
def _adapter(data_class: Hashable) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(cast(Any, data_class))


def _to_fault(data_class: Any, detail: Any) -> exceptions.Fault:
    location = detail["loc"]
    path = ".".join(str(part) for part in location) or "(document)"
    kind = detail["type"]
    if kind in ("extra_forbidden", "unexpected_keyword_argument"):
        return _unknown_key(data_class, location, path)
    remedy = _REMEDIES.get(kind) or remedies.for_type(path)
    return exceptions.Fault(path, detail["msg"], remedy)


def _unknown_key(
    data_class: Any, location: tuple[Any, ...], path: str
) -> exceptions.Fault:
    key = str(location[-1])
    known = _keys_at(data_class, location[:-1])
    same_stem = [name for name in known if _stem(name) == _stem(key)]
    if same_stem:
        name = same_stem[0]
        return exceptions.Fault(
            path,
            "unknown key; a known key differs only in its unit suffix",
            f"write it as {name}, whose value is {remedies.value_form(name)}",
        )
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"write it as {close[0]}" if close else "remove the key"
    return exceptions.Fault(path, "unknown key", remedy)


def _stem(key: str) -> str:
    for suffix in ("_ms", "_s", "_bytes", "_kb", "_mb", "_seconds", "_min"):
        if key.endswith(suffix):
            return key.removesuffix(suffix)
    return key


def _keys_at(data_class: Any, location: tuple[Any, ...]) -> list[str]:
    """Returns the keys allowed at a location in the document."""
    current = data_class
    for part in location:
        if isinstance(part, str) and current is not None:
            current = _data_class_in(get_type_hints(current).get(part))
    if current is None:
        return []
    return [field.name for field in dataclasses.fields(current)]


def _data_class_in(hint: Any) -> Any:
    """Returns the first data class in a type hint, or None."""
    if dataclasses.is_dataclass(hint):
        return hint
    found = (_data_class_in(argument) for argument in get_args(hint))
    return next((item for item in found if item is not None), None)


def indexed_objects(value: Any) -> list[tuple[int, dict[str, Any]]]:
    """Returns the JSON objects in a list with their indexes.

    Args:
      value: Any JSON value; anything but a list is treated as an empty list.

    Returns:
      Pairs of index and object.
    """
    items = value if isinstance(value, list) else []
    return [(i, item) for i, item in enumerate(items) if isinstance(item, dict)]


def strings(values: Iterable[Any]) -> set[str]:
    """Returns the values that are strings."""
    return {value for value in values if isinstance(value, str)}


def find_duplicates(
    values: Iterable[tuple[str, Any]], remedy: str
) -> Iterator[exceptions.Fault]:
    """Finds values that appear more than once.

    Args:
      values: Pairs of path and value; only strings and integers are compared.
      remedy: Remedy to put into each fault.

    Yields:
      One fault per repetition, which states the path of the first use.
    """
    first_paths: dict[str, str] = {}
    for path, value in values:
        if not isinstance(value, str | int):
            continue
        first_path = first_paths.setdefault(str(value), path)
        if first_path != path:
            yield exceptions.Fault(
                path, f"{value!r} is already used at {first_path}", remedy
            )
