"""Typed errors of lycheerock; each message includes a remedy."""

import dataclasses
import enum


class ErrorKind(enum.StrEnum):
    """Error kinds that are sent between processes."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    NOT_ADMITTING = "not_admitting"
    COVERAGE = "coverage"
    TARGET = "target"
    KEY = "key"
    CONFLICT = "conflict"
    PLATFORM = "platform"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True)
class Fault:
    """One validation error in a document.

    Attributes:
      path: Location in the document, such as "services.0.targets.2.address".
      problem: What is wrong.
      remedy: What the author should do.
    """

    path: str
    problem: str
    remedy: str


class LycheerockError(Exception):
    """Base class of all typed errors.

    Attributes:
      kind: Error kind, stable across versions.
      problem: What went wrong.
      remedy: What the recipient of the error should do.
      retry_after_ms: Time to wait before a retry, or None.
    """

    kind = ErrorKind.INTERNAL

    def __init__(
        self, problem: str, remedy: str, retry_after_ms: int | None = None
    ):
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy
        self.retry_after_ms = retry_after_ms


class BadRequestError(LycheerockError):
    """The request is malformed or exceeds a limit."""

    kind = ErrorKind.BAD_REQUEST


class UnauthenticatedError(LycheerockError):
    """The caller's token is missing or unknown."""

    kind = ErrorKind.UNAUTHENTICATED


class ForbiddenError(LycheerockError):
    """The bundle does not allow this caller to use the service."""

    kind = ErrorKind.FORBIDDEN


class UnknownServiceError(LycheerockError):
    """The bundle has no service of that name."""

    kind = ErrorKind.UNKNOWN_SERVICE


class BodyTooLargeError(LycheerockError):
    """The request body exceeds the size limit."""

    kind = ErrorKind.BODY_TOO_LARGE


class OverloadedError(LycheerockError):
    """A limit was reached; the request was not run."""

    kind = ErrorKind.OVERLOADED


class DeadlineError(LycheerockError):
    """The deadline passed before the request was run."""

    kind = ErrorKind.DEADLINE


class NotAdmittingError(LycheerockError):
    """The instance does not currently admit requests."""

    kind = ErrorKind.NOT_ADMITTING


class RequestKeyError(LycheerockError):
    """The request key is malformed, expired or from an instance that left."""

    kind = ErrorKind.KEY


class ConflictError(LycheerockError):
    """Another writer changed the object first."""

    kind = ErrorKind.CONFLICT


class PlatformError(LycheerockError):
    """The platform did not answer, or refused the call."""

    kind = ErrorKind.PLATFORM


class HistoryGoneError(PlatformError):
    """The platform no longer has the changes since a revision."""


class NotFoundError(LycheerockError):
    """No resource exists for the path, name or id."""

    kind = ErrorKind.NOT_FOUND


class OutcomeUnknownError(PlatformError):
    """A write may have taken effect or may still take effect."""


class DocumentError(LycheerockError):
    """A settings file or bundle is invalid.

    Attributes:
      faults: All faults found in the document.
    """

    kind = ErrorKind.BAD_REQUEST

    def __init__(self, name: str, faults: tuple[Fault, ...]):
        lines = [f"{f.path}: {f.problem}; {f.remedy}" for f in faults]
        super().__init__(
            f"{name} has {len(faults)} faults",
            "correct these: " + " | ".join(lines),
        )
        self.faults = faults
