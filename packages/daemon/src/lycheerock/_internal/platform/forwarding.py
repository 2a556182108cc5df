"""HTTP headers and statuses exchanged with callers and targets."""

from collections.abc import Iterable
from collections.abc import Mapping
import re
from typing import Protocol

from lycheerock._internal.gateway import messages
from lycheerock._internal.upstream import connection as connection_lib

REQUEST_ID = "X-Request-Id"
_TIME_LEFT = "X-Deadline-Ms"
# Id of the only target that may run the request.
_EXPECTED_TARGET = "X-Expect-Instance"
# Name of the workspace to which a request belongs, for targets.
_WORKSPACE = "X-Tenant"
_AUTHORIZATION = "Authorization"
_KEY_SCHEME = "bearer"
# Signature of a target's response, and of the responses merged by a search.
_SIGNATURE = "x-server-stamp"
_PART_SIGNATURES = "X-Part-Stamps"
_MISSING_COUNT = "X-Missing-Parts"
# Present only if the target states that it did not run the request.
_NOT_RUN = "x-request-not-executed"
# A target announces with the value "1" that it is leaving.
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
# A number of seconds. Dates are not read, because they would compare the clocks
# of two machines.
_SECONDS = re.compile(r"[0-9]{1,18}(\.[0-9]{0,18})?|\.[0-9]{1,18}")

# Hop-by-hop headers, in lower case.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that are not forwarded, because the gateway sets or handles them
# itself, in lower case.
_GATEWAY_REQUEST_HEADERS = frozenset(
    {"content-length", "expect", _TIME_LEFT.lower(), _EXPECTED_TARGET.lower()}
)
_GATEWAY_RESPONSE_HEADERS = frozenset({"content-length", "server", "date"})

# Statuses that tell a caller that its request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def read_time_left_s(headers: Mapping[str, str]) -> float | None:
    """Returns the time until the caller's deadline, or None if not stated."""
    text = headers.get(_TIME_LEFT, "")
    try:
        time_left_ms = float(text)
    except ValueError:
        return None
    return time_left_ms / 1000 if 0 < time_left_ms < float("inf") else None


class _CallerHeaders(Protocol):
    """Headers of a request, with case-insensitive names."""

    def getall(self, key: str, default: list[str], /) -> list[str]:
        """Returns all values of a header."""


def read_key(headers: _CallerHeaders) -> bytes | None:
    """Returns the key that a caller has sent, or None if there is none.

    A request with two Authorization headers has no key, since a target or a
    proxy before the gateway may take the other one. Keys are compared as bytes;
    only the name of the scheme is independent of case.

    Args:
      headers: Headers of the caller's request.
    """
    values = headers.getall(_AUTHORIZATION, [])
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(" \t").partition(" ")
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip(" \t").encode("utf-8", "surrogateescape") or None


def headers_for_targets(
    headers: Iterable[tuple[str, str]],
    workspace_name: str | None = None,
    *,
    drops_authorization: bool = False,
) -> messages.Headers:
    """Returns the headers of a caller that are forwarded to targets.

    Args:
      headers: Headers of the caller's request.
      workspace_name: Name of the caller's workspace, or None.
      drops_authorization: Whether Authorization headers carry keys, which no
        target may get.
    """
    found = list(headers)
    dropped = (
        _HOP_BY_HOP_HEADERS
        | _GATEWAY_REQUEST_HEADERS
        | _connection_options(found)
    )
    reserved = _AMBIGUOUS_NAMES if drops_authorization else _AMBIGUOUS_NAMES[:1]
    kept = tuple(
        (k, v)
        for k, v in found
        if k.lower() not in dropped and _canonical(k) not in reserved
    )
    if workspace_name is None:
        return kept
    return (*kept, (_WORKSPACE, workspace_name))


def _canonical(name: str) -> str:
    """Returns a name that is equal for all names that targets may confuse.

    Servers that pass headers on as variables (CGI, WSGI) map every character
    other than a letter or digit to the same one, so that `X_Tenant` and
    `X.Tenant` both become HTTP_X_TENANT.

    Args:
      name: Name of a header.
    """
    return _SEPARATOR.sub("-", name.lower())


_SEPARATOR = re.compile("[^a-z0-9]")
# Headers dropped in any spelling; the first one always.
_AMBIGUOUS_NAMES = (_canonical(_WORKSPACE), _canonical(_AUTHORIZATION))


def _connection_options(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the header names listed in Connection headers."""
    return {
        part.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for part in value.split(",")
    }


def encode_request(
    request: messages.ForwardedRequest, target_id: str, time_left_s: float
) -> bytes:
    """Encodes a request for a target.

    Args:
      request: The request.
      target_id: Id of the only target that may run the request.
      time_left_s: Time until the caller's deadline.

    Returns:
      The encoded HTTP request.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines.extend(f"{key}: {value}" for key, value in request.headers)
    lines.append(f"{_TIME_LEFT}: {max(1, int(time_left_s * 1000))}")
    lines.append(f"{_EXPECTED_TARGET}: {target_id}")
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("utf-8", "surrogateescape") + request.body


def decode_reply(response: connection_lib.Response) -> messages.TargetReply:
    """Decodes the response of a target."""
    options = _connection_options(response.headers)
    dropped = _HOP_BY_HOP_HEADERS | _GATEWAY_RESPONSE_HEADERS | options
    return messages.TargetReply(
        _classify(response),
        response.status,
        tuple((k, v) for k, v in response.headers if k not in dropped),
        response.body,
        response.header(_SIGNATURE),
        _read_retry_after_s(response) if response.status == 503 else None,
        any(k == _LEAVING and v.strip() == "1" for k, v in response.headers),
    )


def _classify(response: connection_lib.Response) -> messages.ReplyKind:
    if response.status == 421:
        return messages.ReplyKind.MISDIRECTED
    if response.header(_NOT_RUN) is not None:
        return messages.ReplyKind.NOT_RUN
    if response.header("content-encoding") is not None:
        # Callers request no content encoding, so the body cannot be the one
        # that the target produced.
        return messages.ReplyKind.UNUSABLE
    has_signature = response.header(_SIGNATURE) is not None
    if 200 <= response.status < 300:
        kinds = messages.ReplyKind
        return kinds.SUCCESS if has_signature else kinds.UNUSABLE
    if response.status in _NOT_RUN_STATUSES or response.status < 200:
        # Forwarding it would tell the caller that the request was not run.
        return messages.ReplyKind.UNUSABLE
    return messages.ReplyKind.FAILURE


def _read_retry_after_s(response: connection_lib.Response) -> float | None:
    """Returns the longest of the stated times, or None if there is none.

    Values that are no number of seconds are ignored.
    """
    values = (
        part.strip()
        for key, value in response.headers
        if key == _RETRY_AFTER
        for part in value.split(",")
    )
    times_s = [float(v) for v in values if _SECONDS.fullmatch(v)]
    return max(times_s, default=None)


def search_headers(
    signatures: Iterable[str], missing_count: int
) -> messages.Headers:
    """Returns the headers that state the coverage of a merged answer."""
    return (
        (_PART_SIGNATURES, ", ".join(signatures)),
        (_MISSING_COUNT, str(missing_count)),
    )
