"""The HTTP headers and statuses between callers, instances and targets."""

from collections.abc import Iterable
from collections.abc import Mapping

from lycheerock._internal.gateway import messages
from lycheerock._internal.upstream import connection as connection_lib

REQUEST_ID = "X-Request-Id"
_TIME_LEFT = "X-Deadline-Ms"
# Names the start of a target that is meant to run the request.
_EXPECTED_TARGET = "X-Expect-Instance"
# The target's signature of a response, in a search the signature of its part.
_SIGNATURE = "x-server-stamp"
_PART_SIGNATURES = "X-Part-Stamps"
_MISSING_COUNT = "X-Missing-Parts"
# Present only if the target states that it did not run the request.
_NOT_RUN = "x-request-not-executed"

# Headers that concern one connection, in lower case.
_CONNECTION_HEADERS = frozenset(
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
_SET_FOR_TARGETS = frozenset(
    {"content-length", "expect", _TIME_LEFT.lower(), _EXPECTED_TARGET.lower()}
)
_SET_FOR_CALLERS = frozenset({"content-length", "server", "date"})

# Statuses that promise a caller that its request has not run.
_PROMISING_STATUSES = frozenset({408, 421, 429, 503})


def read_time_left_s(headers: Mapping[str, str]) -> float | None:
    """Returns the time that the caller waits, or None if it names none."""
    text = headers.get(_TIME_LEFT, "")
    try:
        time_left_ms = float(text)
    except ValueError:
        return None
    return time_left_ms / 1000 if 0 < time_left_ms < float("inf") else None


def headers_for_targets(
    headers: Iterable[tuple[str, str]],
) -> messages.Headers:
    """Returns the headers of a caller that are forwarded."""
    found = list(headers)
    dropped = _CONNECTION_HEADERS | _SET_FOR_TARGETS | _named_by(found)
    return tuple((k, v) for k, v in found if k.lower() not in dropped)


def _named_by(headers: Iterable[tuple[str, str]]) -> set[str]:
    """Returns the headers that a Connection header declares as its own."""
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
      target_id: The only target that may run it.
      time_left_s: Time that the caller still waits.

    Returns:
      The bytes to send.
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
    named = _named_by(response.headers)
    dropped = _CONNECTION_HEADERS | _SET_FOR_CALLERS | named
    return messages.TargetReply(
        _kind_of(response),
        response.status,
        tuple((k, v) for k, v in response.headers if k not in dropped),
        response.body,
        response.header(_SIGNATURE),
        _read_retry_after_s(response),
    )


def _kind_of(response: connection_lib.Response) -> messages.ReplyKind:
    if response.status == 421:
        return messages.ReplyKind.MISDIRECTED
    if response.header(_NOT_RUN) is not None:
        return messages.ReplyKind.NOT_RUN
    if response.header("content-encoding") is not None:
        # Callers ask for no encoding, so this is not the target's own body.
        return messages.ReplyKind.UNUSABLE
    has_signature = response.header(_SIGNATURE) is not None
    if 200 <= response.status < 300:
        kinds = messages.ReplyKind
        return kinds.SUCCESS if has_signature else kinds.UNUSABLE
    if response.status in _PROMISING_STATUSES or response.status < 200:
        # Passing it on would promise that the request has not run.
        return messages.ReplyKind.UNUSABLE
    return messages.ReplyKind.FAILURE


def _read_retry_after_s(response: connection_lib.Response) -> float | None:
    text = response.header("retry-after")
    if text is None:
        return None
    try:
        return max(0.0, float(text))
    except ValueError:
        return None


def search_headers(
    signatures: Iterable[str], missing_count: int
) -> messages.Headers:
    """Returns the headers that state what a merged answer covers."""
    return (
        (_PART_SIGNATURES, ", ".join(signatures)),
        (_MISSING_COUNT, str(missing_count)),
    )
