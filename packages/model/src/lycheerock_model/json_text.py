"""JSON parsing with typed errors."""

from typing import Any

import msgspec

from lycheerock_model import exceptions


def parse_json(name: str, text: bytes) -> Any:
    """Parses JSON text.

    Args:
      name: Name of the document, used in the error message.
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
