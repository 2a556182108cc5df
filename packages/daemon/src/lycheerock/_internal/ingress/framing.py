"""Follows the framing of a caller's requests and enforces limits on it.

The parser of the HTTP server limits single lines and fields. It does not limit
what precedes, separates and follows them, nor a head as a whole.
"""

import dataclasses
import enum
import re

# Sizes of everything that the configuration does not limit. They are far above
# what HTTP clients send.
FIELDS_MAX = 128
# A head may be this many times as long as one of its lines.
HEAD_LINES_RATIO = 4
HEAD_MAX_BYTES_MIN = 16_384
# Method, version and separators of a line, which the configured limit on its
# content does not include.
LINE_OVERHEAD_BYTES = 64
EMPTY_LINES_MAX_BYTES = 64
CHUNK_LINE_MAX_BYTES = 1_024
EXTENSIONS_MAX_BYTES = 16_384
# Most chunk lines, parts of chunks and trailer fields that one call examines
# unless the caller states another number.
TOKENS_MAX = 1_024

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_BODY_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.IGNORECASE
)
_PLAIN_CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,15})\r\n")
_HEXADECIMAL = re.compile(rb"[0-9a-fA-F]{1,15}")
_LENGTH = re.compile(rb"[0-9]{1,18}")


@dataclasses.dataclass(frozen=True)
class FramingLimits:
    """Limits on one request.

    Attributes:
      line_max_bytes: Maximum size of the request line and of each field.
      body_max_bytes: Maximum size of a body.
    """

    line_max_bytes: int = 16_384
    body_max_bytes: int = 262_144

    @property
    def head_max_bytes(self) -> int:
        """Maximum size of a head, and of the trailers of a body."""
        return max(HEAD_MAX_BYTES_MIN, HEAD_LINES_RATIO * self.line_max_bytes)


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request is refused.

    Attributes:
      status: HTTP status of the response; it states that the request did not
        run.
      reason: Reason for logs and metrics, of a fixed set.
    """

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of a piece of input.

    Attributes:
      head: The complete head of a request, or empty.
      body: Decoded bytes of a body.
      is_complete: Whether the request is complete.
      rest: Bytes that were not examined: those after a complete request, or
        those beyond the number of tokens that one call examines.
      refusal: Why the request is refused, or None.
    """

    head: bytes = b""
    body: bytes = b""
    is_complete: bool = False
    rest: bytes = b""
    refusal: Refusal | None = None


class _Phase(enum.Enum):
    HEAD = enum.auto()
    SIZED_BODY = enum.auto()
    CHUNK_LINE = enum.auto()
    CHUNK_DATA = enum.auto()
    CHUNK_END = enum.auto()
    TRAILERS = enum.auto()
    REFUSED = enum.auto()


class _RefusedError(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.refusal = Refusal(status, reason)


class RequestFraming:
    """Splits the bytes of one connection into requests.

    Attributes:
      limits: Limits; a change applies from the next request on.
      is_chunked: Whether the body of the current request is chunked.
    """

    def __init__(self, limits: FramingLimits) -> None:
        self.limits = limits
        self.is_chunked = False
        self._phase = _Phase.HEAD
        self._head = bytearray()
        # Tokens that the current call may still examine.
        self._tokens_left = 0
        self._empty_lines_bytes = 0
        self._clear_body()

    def _clear_body(self) -> None:
        # An incomplete chunk line, chunk end or trailer field.
        self._partial = b""
        self._remaining_bytes = 0
        self._body_bytes = 0
        self._extensions_bytes = 0
        self._trailers_bytes = 0
        self._trailer_count = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that were neither returned nor dropped."""
        return len(self._head) + len(self._partial)

    @property
    def is_in_head(self) -> bool:
        """Whether a head has begun and is incomplete.

        Empty lines do not begin one: some clients send one after a body and
        then leave the connection idle.
        """
        return self._phase is _Phase.HEAD and bool(self._head)

    @property
    def is_incomplete(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return bool(self._head) or self.is_in_body

    @property
    def is_in_body(self) -> bool:
        """Whether a head is complete and its body is not."""
        return self._phase not in (_Phase.HEAD, _Phase.REFUSED)

    def feed(self, data: bytes, tokens_max: int = TOKENS_MAX) -> Step:
        """Examines received bytes, up to the end of the current request.

        Args:
          data: The bytes.
          tokens_max: Maximum number of tokens of a chunked body to examine. A
            body may consist of chunks of one byte, so its size alone does not
            bound the time that a call takes.

        Returns:
          What can be passed on. After a refusal, all input is dropped.
        """
        if self._phase is _Phase.REFUSED:
            return Step()
        self._tokens_left = tokens_max
        try:
            if self._phase is _Phase.HEAD:
                return self._feed_head(data)
            if self._phase is _Phase.SIZED_BODY:
                return self._feed_sized_body(data, b"")
            return self._feed_chunks(data, b"")
        except _RefusedError as error:
            self._phase = _Phase.REFUSED
            self._head = bytearray()
            self._partial = b""
            return Step(refusal=error.refusal)

    def _feed_head(self, data: bytes) -> Step:
        if not self._head:
            stripped = data.lstrip(b"\r\n")
            self._empty_lines_bytes += len(data) - len(stripped)
            if self._empty_lines_bytes > EMPTY_LINES_MAX_BYTES:
                raise _RefusedError(400, "empty_lines")
            if not stripped:
                return Step()
            end = stripped.find(b"\r\n\r\n", 0, self.limits.head_max_bytes)
            if end >= 0:
                return self._end_head(stripped[: end + 4], stripped[end + 4 :])
            if len(stripped) > self.limits.head_max_bytes:
                raise _RefusedError(431, "head_size")
            data = stripped
        known_bytes = len(self._head)
        self._head += data
        end = self._head.find(
            b"\r\n\r\n", max(0, known_bytes - 3), self.limits.head_max_bytes
        )
        if end < 0:
            self._check_incomplete_head(known_bytes)
            return Step()
        head = bytes(self._head[: end + 4])
        rest = bytes(self._head[end + 4 :])
        self._head = bytearray()
        return self._end_head(head, rest)

    def _end_head(self, head: bytes, rest: bytes) -> Step:
        self._empty_lines_bytes = 0
        self._check_head(head)
        return self._start_body(head, rest)

    def _check_incomplete_head(self, known_bytes: int) -> None:
        if len(self._head) > self.limits.head_max_bytes:
            raise _RefusedError(431, "head_size")
        # The parser would refuse these at once. Waiting for the end of such a
        # head would only delay the response.
        if not self._head[:1].isalpha() or _BARE_LINE_FEED.search(
            self._head, known_bytes
        ):
            raise _RefusedError(400, "malformed_head")

    def _check_head(self, head: bytes) -> None:
        line_count = head.count(b"\r\n")
        # The request line and the empty line at the end are no fields.
        if line_count - 2 > FIELDS_MAX:
            raise _RefusedError(431, "field_count")
        line_max_bytes = self.limits.line_max_bytes + LINE_OVERHEAD_BYTES
        if len(head) > line_max_bytes:
            longest_bytes = max(map(len, head.split(b"\r\n")))
            if longest_bytes > line_max_bytes:
                raise _RefusedError(431, "line_size")
        # Lines that the parser could divide differently.
        if (
            head.count(b"\n") != line_count
            or head.count(b"\r") != line_count
            or b"\r\n " in head
            or b"\r\n\t" in head
            or not head[:1].isalpha()
            or head.startswith(b"CONNECT ")
        ):
            raise _RefusedError(400, "malformed_head")

    def _start_body(self, head: bytes, rest: bytes) -> Step:
        lengths: list[bytes] = []
        codings: list[bytes] = []
        for name, value in _BODY_FIELD.findall(head):
            values = lengths if name[:1] in b"cC" else codings
            values.append(value.strip(b" \t"))
        if codings:
            self._check_codings(codings, lengths, head)
            self._phase = _Phase.CHUNK_LINE
            self.is_chunked = True
            return self._feed_chunks(rest, head)
        self.is_chunked = False
        if not lengths:
            return Step(head=head, is_complete=True, rest=rest)
        if len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0]):
            raise _RefusedError(400, "malformed_head")
        self._remaining_bytes = int(lengths[0])
        if self._remaining_bytes > self.limits.body_max_bytes:
            raise _RefusedError(413, "body_size")
        self._phase = _Phase.SIZED_BODY
        return self._feed_sized_body(rest, head)

    def _check_codings(
        self, codings: list[bytes], lengths: list[bytes], head: bytes
    ) -> None:
        names = [name.strip(b" \t") for name in codings[0].lower().split(b",")]
        if (
            lengths
            or len(codings) > 1
            or names[-1] != b"chunked"
            or names.count(b"chunked") > 1
            or head.split(b"\r\n", 1)[0].endswith(b"HTTP/1.0")
        ):
            raise _RefusedError(400, "malformed_head")

    def _feed_sized_body(self, data: bytes, head: bytes) -> Step:
        size_bytes = min(len(data), self._remaining_bytes)
        self._remaining_bytes -= size_bytes
        if self._remaining_bytes:
            return Step(head=head, body=data)
        self._phase = _Phase.HEAD
        self._clear_body()
        return Step(
            head, data[:size_bytes], is_complete=True, rest=data[size_bytes:]
        )

    def _feed_chunks(self, data: bytes, head: bytes) -> Step:
        data = self._partial + data
        self._partial = b""
        parts: list[bytes] = []
        position = 0
        while position < len(data):
            if self._phase is _Phase.CHUNK_LINE:
                position = self._skip_whole_chunks(data, position, parts)
                if position == len(data):
                    break
            if self._tokens_left <= 0:
                return Step(head, b"".join(parts), rest=data[position:])
            self._tokens_left -= 1
            if self._phase is _Phase.CHUNK_DATA:
                part = self._take_chunk_data(data, position)
                parts.append(part)
                position += len(part)
                continue
            end = data.find(b"\r\n", position)
            if end < 0 or self._phase is _Phase.CHUNK_END:
                if end != position:
                    self._keep_partial(data[position:])
                    break
                self._phase = _Phase.CHUNK_LINE
            elif self._phase is _Phase.CHUNK_LINE:
                self._read_chunk_line(data[position:end])
            elif end == position:
                self._phase = _Phase.HEAD
                self._clear_body()
                rest = data[end + 2 :]
                return Step(head, b"".join(parts), is_complete=True, rest=rest)
            else:
                self._count_trailer(end - position)
            position = end + 2
        return Step(head, b"".join(parts))

    def _take_chunk_data(self, data: bytes, position: int) -> bytes:
        part = data[position : position + self._remaining_bytes]
        self._remaining_bytes -= len(part)
        if not self._remaining_bytes:
            self._phase = _Phase.CHUNK_END
        return part

    def _skip_whole_chunks(
        self, data: bytes, position: int, parts: list[bytes]
    ) -> int:
        """Decodes chunks that are complete and within the limits.

        This is the fast path for many small chunks. It leaves all others, and
        each decision on a refusal, to the caller.

        Returns:
          The position of the first chunk that was not decoded.
        """
        body_bytes = self._body_bytes
        tokens_left = self._tokens_left
        while tokens_left > 0 and (
            line := _PLAIN_CHUNK_LINE.match(data, position)
        ):
            size_bytes = int(line[1], 16)
            start = line.end()
            end = start + size_bytes
            body_bytes += size_bytes
            if (
                not size_bytes
                or data[end : end + 2] != b"\r\n"
                or body_bytes > self.limits.body_max_bytes
            ):
                break
            parts.append(data[start:end])
            position = end + 2
            tokens_left -= 1
            self._body_bytes = body_bytes
        self._tokens_left = tokens_left
        return position

    def _keep_partial(self, data: bytes) -> None:
        """Keeps the beginning of a token that continues in the next input."""
        if self._phase is _Phase.CHUNK_END:
            if data != b"\r":
                raise _RefusedError(400, "malformed_chunk")
        elif self._phase is _Phase.CHUNK_LINE:
            # The last byte may be the carriage return at the end of the line.
            if len(data) > CHUNK_LINE_MAX_BYTES + 1:
                raise _RefusedError(400, "chunk_extension_size")
        elif self._trailers_bytes + len(data) > self.limits.head_max_bytes:
            raise _RefusedError(431, "trailers_size")
        self._partial = data

    def _read_chunk_line(self, line: bytes) -> None:
        digits, _, extension = line.partition(b";")
        if len(line) > CHUNK_LINE_MAX_BYTES:
            raise _RefusedError(400, "chunk_extension_size")
        if extension:
            self._extensions_bytes += len(extension)
            if self._extensions_bytes > EXTENSIONS_MAX_BYTES:
                raise _RefusedError(400, "chunk_extension_size")
        if not _HEXADECIMAL.fullmatch(digits) or b"\n" in extension:
            raise _RefusedError(400, "malformed_chunk")
        size_bytes = int(digits, 16)
        if not size_bytes:
            self._phase = _Phase.TRAILERS
            return
        self._body_bytes += size_bytes
        if self._body_bytes > self.limits.body_max_bytes:
            raise _RefusedError(413, "body_size")
        self._remaining_bytes = size_bytes
        self._phase = _Phase.CHUNK_DATA

    def _count_trailer(self, size_bytes: int) -> None:
        self._trailers_bytes += size_bytes + 2
        self._trailer_count += 1
        if (
            self._trailers_bytes > self.limits.head_max_bytes
            or self._trailer_count > FIELDS_MAX
        ):
            raise _RefusedError(431, "trailers_size")
