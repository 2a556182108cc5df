"""Typed errors of lycheerock. Each message names the remedy."""

import dataclasses
import enum


class ErrorKind(enum.StrEnum):
    """Kinds of refusal and failure that cross a process boundary."""

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
    """One fault of a checked document.

    Attributes:
      path: Location in the document, such as "services.0.targets.2.address".
      problem: What is wrong.
      remedy: What the author should do.
    """

    path: str
    problem: str
    remedy: str


class LycheerockError(Exception):
    """Base of all typed errors.

    Attributes:
      kind: Kind of the error, stable across versions.
      remedy: What the reader of the message should do next.
      retry_after_ms: Time to wait before another try, or None.
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
    """The request cannot be read or breaks a limit."""

    kind = ErrorKind.BAD_REQUEST


class UnauthenticatedError(LycheerockError):
    """The caller's token is missing or unknown."""

    kind = ErrorKind.UNAUTHENTICATED


class ForbiddenError(LycheerockError):
    """The bundle does not let this caller reach the service."""

    kind = ErrorKind.FORBIDDEN


class UnknownServiceError(LycheerockError):
    """The bundle has no service of that name."""

    kind = ErrorKind.UNKNOWN_SERVICE


class BodyTooLargeError(LycheerockError):
    """The request body is over the limit."""

    kind = ErrorKind.BODY_TOO_LARGE


class OverloadedError(LycheerockError):
    """A limit is reached; the request was not run."""

    kind = ErrorKind.OVERLOADED


class DeadlineError(LycheerockError):
    """The deadline passed before the request was run."""

    kind = ErrorKind.DEADLINE


class NotAdmittingError(LycheerockError):
    """The instance may not admit requests at the moment."""

    kind = ErrorKind.NOT_ADMITTING


class RequestKeyError(LycheerockError):
    """The request key is malformed, expired or of an instance that is gone."""

    kind = ErrorKind.KEY


class ConflictError(LycheerockError):
    """Another writer changed the object first."""

    kind = ErrorKind.CONFLICT


class PlatformError(LycheerockError):
    """The platform did not answer, or refused the call."""

    kind = ErrorKind.PLATFORM


class HistoryGoneError(PlatformError):
    """The platform no longer knows the changes after a revision."""


class NotFoundError(LycheerockError):
    """Nothing is known under that path, name or id."""

    kind = ErrorKind.NOT_FOUND


class OutcomeUnknownError(PlatformError):
    """A write may have taken effect, or may still do so."""


class DocumentError(LycheerockError):
    """A settings file or bundle is invalid.

    Attributes:
      faults: Every fault that was found.
    """

    kind = ErrorKind.BAD_REQUEST

    def __init__(self, name: str, faults: tuple[Fault, ...]):
        lines = [f"{f.path}: {f.problem}; {f.remedy}" for f in faults]
        super().__init__(
            f"{name} has {len(faults)} faults",
            "correct these: " + " | ".join(lines),
        )
        self.faults = faults
