"""Checks JSON documents against data classes and reports every fault."""

from typing import Any
from typing import TypeVar

import msgspec
import pydantic

from lycheerock_model import exceptions

T = TypeVar("T")

STRICT = pydantic.ConfigDict(extra="forbid", strict=False)

_REMEDIES = {
    "extra_forbidden": "remove the key or correct its spelling",
    "missing": "add the key",
    "greater_than": "use a larger value",
    "greater_than_equal": "use a larger value",
    "less_than": "use a smaller value",
    "less_than_equal": "use a smaller value",
    "string_pattern_mismatch": "write it in the form that the pattern shows",
}


def parse_json(name: str, text: bytes) -> Any:
    """Parses JSON text.

    Args:
      name: Name of the document, for the error message.
      text: UTF-8 JSON.

    Returns:
      The parsed value.

    Raises:
      DocumentError: The text is not JSON.
    """
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        fault = exceptions.Fault("(document)", str(error), "write valid JSON")
        raise exceptions.DocumentError(name, (fault,)) from error


def check(
    data_class: type[T], document: Any
) -> tuple[T | None, tuple[exceptions.Fault, ...]]:
    """Builds a data class from a parsed document.

    Args:
      data_class: The pydantic data class that describes the document.
      document: The parsed JSON value.

    Returns:
      The instance and no faults, or None and every fault.
    """
    try:
        return pydantic.TypeAdapter(data_class).validate_python(document), ()
    except pydantic.ValidationError as error:
        return None, tuple(_to_fault(detail) for detail in error.errors())


def _to_fault(detail: Any) -> exceptions.Fault:
    path = ".".join(str(part) for part in detail["loc"]) or "(document)"
    remedy = _REMEDIES.get(detail["type"], "correct the value")
    return exceptions.Fault(path, detail["msg"], remedy)
