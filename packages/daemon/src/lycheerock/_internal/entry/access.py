"""Checks who calls, which service, and with what deadline."""

from collections.abc import Mapping
import hashlib
import hmac

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions


def authenticate(
    bundle: bundle_lib.Bundle, headers: Mapping[str, str]
) -> bundle_lib.Caller:
    """Finds the caller that a request's token belongs to.

    Args:
      bundle: The bundle in force.
      headers: Headers of the request.

    Returns:
      The caller.

    Raises:
      UnauthenticatedError: No caller has this token.
    """
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    if scheme == "Bearer":
        for caller in bundle.callers:
            if hmac.compare_digest(caller.token_sha256, digest):
                return caller
    raise exceptions.UnauthenticatedError(
        "the caller's token is missing or unknown",
        "send Authorization: Bearer with the token of a caller in the bundle",
    )


def find_service(
    bundle: bundle_lib.Bundle, caller: bundle_lib.Caller, name: str
) -> bundle_lib.Service:
    """Finds a service that the caller may reach.

    Args:
      bundle: The bundle in force.
      caller: The caller.
      name: Name of the service.

    Returns:
      The service.

    Raises:
      ForbiddenError: The caller may not reach a service of that name.
      UnknownServiceError: The bundle has no such service.
    """
    if name not in caller.service_names:
        raise exceptions.ForbiddenError(
            f"caller {caller.name} may not reach service {name!r}",
            "ask an operator to add the service to this caller",
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
    """Reads the time that the caller gives.

    Args:
      service: The service.
      headers: Headers of the request.

    Returns:
      Milliseconds.

    Raises:
      BadRequestError: The header is not a number in the service's range.
    """
    text = headers.get("X-Deadline-Ms")
    if text is None:
        return service.deadline_default_ms
    value = int(text) if text.isascii() and text.isdecimal() else 0
    if not 1 <= value <= service.deadline_max_ms:
        raise exceptions.BadRequestError(
            f"X-Deadline-Ms {text[:20]!r} is out of range",
            f"send 1 to {service.deadline_max_ms} milliseconds",
        )
    return value
