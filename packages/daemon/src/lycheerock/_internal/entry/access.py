"""Authenticates callers and validates the parameters of requests."""

from collections.abc import Mapping
import hashlib
import hmac

from lycheerock._internal.booking import keys
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

_DIGITS_MAX = 12


def authenticate(
    bundle: bundle_lib.Bundle, headers: Mapping[str, str]
) -> bundle_lib.Caller:
    """Returns the caller that the token of a request belongs to.

    Args:
      bundle: The bundle in force.
      headers: Headers of the request.

    Returns:
      The caller.

    Raises:
      UnauthenticatedError: The token is missing or belongs to no caller.
    """
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    # Headers may contain bytes that are not valid UTF-8.
    token_bytes = token.encode("utf-8", "surrogateescape")
    digest = hashlib.sha256(token_bytes).hexdigest()
    if scheme == "Bearer":
        for caller in bundle.callers:
            if hmac.compare_digest(caller.token_sha256, digest):
                return caller
    raise exceptions.UnauthenticatedError(
        "the caller's token is missing or unknown",
        "send Authorization: Bearer with the token of a caller in the bundle",
    )


def find_caller(bundle: bundle_lib.Bundle, name: str) -> bundle_lib.Caller:
    """Returns a caller that another instance has authenticated.

    Args:
      bundle: The bundle in force.
      name: Name of the caller.

    Returns:
      The caller.

    Raises:
      ForbiddenError: The bundle has no such caller.
    """
    for caller in bundle.callers:
        if caller.name == name:
            return caller
    raise exceptions.ForbiddenError(
        f"no caller {name[:64]!r} in bundle {bundle.number}",
        "ask an operator to add the caller",
    )


def find_service(
    bundle: bundle_lib.Bundle, caller: bundle_lib.Caller, name: str
) -> bundle_lib.Service:
    """Returns a service that the caller has access to.

    Args:
      bundle: The bundle in force.
      caller: The caller.
      name: Name of the service.

    Returns:
      The service.

    Raises:
      ForbiddenError: The caller has no access to a service of that name.
      UnknownServiceError: The bundle has no such service.
    """
    if name not in caller.service_names:
        raise exceptions.ForbiddenError(
            f"caller {caller.name} has no access to service {name[:64]!r}",
            "ask an operator to grant this caller access to the service",
        )
    for service in bundle.services:
        if service.name == name:
            return service
    raise exceptions.UnknownServiceError(
        f"no service {name!r} in bundle {bundle.number}",
        "check the service name",
    )


def read_deadline_ms(
    service: bundle_lib.Service, headers: Mapping[str, str]
) -> int:
    """Returns the deadline of a request, by default that of the service.

    Args:
      service: The service.
      headers: Headers of the request.

    Returns:
      The deadline in milliseconds from the receipt of the request.

    Raises:
      BadRequestError: X-Deadline-Ms is not a number, or not in the range that
        the service allows.
    """
    text = headers.get("X-Deadline-Ms")
    if text is None:
        return service.deadline_default_ms
    value = _parse_int(text)
    if not 1 <= value <= service.deadline_max_ms:
        raise exceptions.BadRequestError(
            f"X-Deadline-Ms {text[:20]!r} is out of range",
            f"send a value from 1 to {service.deadline_max_ms} milliseconds",
        )
    return value


def read_count(text: str) -> int:
    """Parses the number of keys that a caller requests.

    Args:
      text: Value of the count parameter.

    Returns:
      The number of keys.

    Raises:
      BadRequestError: The value is not a number, or out of range.
    """
    count = _parse_int(text)
    if not 1 <= count <= keys.KEYS_PER_REQUEST_MAX:
        raise exceptions.BadRequestError(
            f"count {text[:20]!r} is out of range",
            f"request 1 to {keys.KEYS_PER_REQUEST_MAX} keys",
        )
    return count


def _parse_int(text: str) -> int:
    """Returns the value of a short decimal number, or 0."""
    # int() raises ValueError for strings of several thousand digits.
    if len(text) <= _DIGITS_MAX and text.isascii() and text.isdecimal():
        return int(text)
    return 0
