"""Random bytes and documents for decoders of the gateway.

Covered are responses of targets, entries of targets, configurations and feed
messages. CI uses a fixed seed; a longer run by hand sets FUZZ_EXAMPLES.
"""

import asyncio
import dataclasses
import itertools
import os
from typing import Any

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import test_target_responses

from lycheerock._internal.platform import configuration
from lycheerock._internal.platform import target_entries
from lycheerock._internal.targets import entries
from lycheerock._internal.upstream import connection as connection_lib
from lycheerock_model import exceptions
from lycheerock_protocol import feed

LONG = hypothesis.settings(
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "150"))
)


@dataclasses.dataclass(frozen=True)
class Sent:
    """A response that a target sends.

    Attributes:
      status: HTTP status.
      body: Body.
      framing: "length", "chunked" or "close".
      chunk_size_bytes: Size of a chunk, if it is chunked.
      interim_count: Number of interim responses before it.
    """

    status: int
    body: bytes
    framing: str
    chunk_size_bytes: int
    interim_count: int

    def encode(self, request_id: str) -> tuple[bytes, int]:
        """Returns the bytes and the size of all that precedes the body."""
        lines = [
            f"HTTP/1.1 {self.status} Status",
            f"X-Request-Id: {request_id}",
            "X-Server-Stamp: stamp",
        ]
        body = self.body
        if self.framing == "length":
            lines.append(f"Content-Length: {len(body)}")
        elif self.framing == "chunked":
            lines.append("Transfer-Encoding: chunked")
            body = _to_chunks(body, self.chunk_size_bytes)
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        head = interim * self.interim_count
        head += "\r\n".join(lines).encode() + b"\r\n\r\n"
        return head + body, len(head)


def _to_chunks(body: bytes, size_bytes: int) -> bytes:
    chunks = [
        body[start : start + size_bytes]
        for start in range(0, len(body), size_bytes)
    ]
    return b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""]
    )


RESPONSES = strategies.builds(
    Sent,
    strategies.sampled_from([200, 404, 500, 503]),
    strategies.binary(max_size=200),
    strategies.sampled_from(["length", "chunked", "close"]),
    strategies.integers(1, 64),
    strategies.integers(0, 2),
)
CUTS = strategies.lists(strategies.integers(0, 2_000), max_size=12)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Splits data at the given positions, which wrap around its end."""
    places = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    return [data[start:end] for start, end in itertools.pairwise(places)]


async def read(
    exchange: test_target_responses.Exchange,
    request_id: str,
    pieces: list[bytes],
    *,
    close: str = "",
) -> connection_lib.Response | None:
    """Returns the response that a request gets, or None if it is broken."""
    task = await exchange.start(request_id)
    exchange.feed(*pieces)
    if close:
        exchange.end(ConnectionResetError() if close == "reset" else None)
    try:
        async with asyncio.timeout(1.0):
            return await task
    except connection_lib.ConnectionBrokenError:
        return None


class TestResponses:
    """A response is handed on exactly as it was sent, or not at all."""

    @LONG
    @hypothesis.given(RESPONSES, CUTS)
    def test_complete_response_is_read_however_it_is_split(
        self, sent: Sent, cuts: list[int]
    ) -> None:
        # Guards against a body that depends on how the network splits it.
        async def run() -> None:
            data, _ = sent.encode("r1")
            close = "clean" if sent.framing == "close" else ""
            found = await read(
                test_target_responses.Exchange(),
                "r1",
                split(data, cuts),
                close=close,
            )
            assert found is not None
            assert (found.status, found.body) == (sent.status, sent.body)

        asyncio.run(run())

    @LONG
    @hypothesis.given(
        RESPONSES,
        strategies.integers(1, 2_000),
        CUTS,
        strategies.sampled_from(["clean", "reset"]),
    )
    def test_incomplete_response_is_not_handed_on(
        self, sent: Sent, lacking: int, cuts: list[int], close: str
    ) -> None:
        # Guards against a response that broke off and reaches the caller as a
        # complete success. A body without a length ends with its connection, so
        # a target that closes it in order has ended the body.
        async def run() -> None:
            data, head_size = sent.encode("r1")
            data = data[: max(0, len(data) - lacking)]
            found = await read(
                test_target_responses.Exchange(),
                "r1",
                split(data, cuts),
                close=close,
            )
            is_ended_body = (
                sent.framing == "close"
                and close == "clean"
                and len(data) >= head_size
            )
            if not is_ended_body:
                assert found is None
            else:
                assert found is not None
                assert found.body == data[head_size:]

        asyncio.run(run())

    @LONG
    @hypothesis.given(RESPONSES, RESPONSES, CUTS, strategies.booleans())
    def test_next_request_never_gets_the_previous_response(
        self, first: Sent, second: Sent, cuts: list[int], is_copy_first: bool
    ) -> None:
        # Guards against a second copy of a response that answers the next
        # request on the connection.
        hypothesis.assume("close" not in (first.framing, second.framing))
        first = dataclasses.replace(first, body=b"first" + first.body)
        second = dataclasses.replace(second, body=b"second" + second.body)

        async def run() -> None:
            exchange = test_target_responses.Exchange()
            found = await read(exchange, "r1", [first.encode("r1")[0]])
            assert found is not None
            data = second.encode("r2")[0]
            if is_copy_first:
                data = first.encode("r1")[0] + data
            found = await read(exchange, "r2", split(data, cuts))
            assert found is not None
            assert found.body == second.body
            assert exchange.connection.is_usable != is_copy_first

        asyncio.run(run())

    @LONG
    @hypothesis.given(strategies.binary(max_size=400), CUTS)
    def test_random_bytes_are_no_response(
        self, data: bytes, cuts: list[int]
    ) -> None:
        # Guards against an exception that leaves the connection's callbacks,
        # which would end no request and close nothing.
        hypothesis.assume(not data.startswith(b"HTTP/"))

        async def run() -> None:
            found = await read(
                test_target_responses.Exchange(),
                "r1",
                split(data, cuts),
                close="clean",
            )
            assert found is None

        asyncio.run(run())


NAMES = strategies.sampled_from(
    [
        "address",
        "allowed_regions",
        "born",
        "gather",
        "host",
        "kind",
        "limits",
        "max_attempts",
        "max_body_bytes",
        "max_conns",
        "min_shard_share",
        "name",
        "path_prefix",
        "seq",
        "service",
        "slots",
        "split",
        "state",
        "timeout_ms",
        "top_k",
        "version",
        "warmup_left_ms",
        "warmup_per_s",
        "weight",
        "zone",
    ]
)
DOCUMENTS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    # No 64-bit integer and no double holds these.
    | strategies.sampled_from([2**63, 10**309, -(10**400)])
    | strategies.floats()
    | strategies.text(max_size=12)
    | strategies.sampled_from(["10.0.0.1:80", "ready", "draining", "safe"]),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(NAMES, inner, max_size=12)
    ),
    max_leaves=30,
)
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 2,
    "state": "ready",
    "version": "v1",
    "warmup_left_ms": 0,
    "seq": 1,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_ms": 1000,
    "slo_ms": 100,
    "service": "s",
}


class TestDocuments:
    """A document of any shape is read or rejected, and never raises more."""

    @LONG
    @hypothesis.given(
        strategies.dictionaries(NAMES, DOCUMENTS, max_size=4) | DOCUMENTS
    )
    @hypothesis.example({"slots": 10**309})
    def test_target_entry_is_decoded_or_named_unreadable(
        self, changes: Any
    ) -> None:
        # Guards against an entry of another writer that ends the follower.
        spec = ENTRY | changes if isinstance(changes, dict) else changes
        found = target_entries.decode("t", spec)
        assert isinstance(found, entries.TargetEntry | str)
        if isinstance(found, entries.TargetEntry):
            assert found.slot_count >= 1
            assert isinstance(float(found.slot_count), float)
            assert 0 < found.port <= 65_535

    @LONG
    @hypothesis.given(
        strategies.dictionaries(NAMES, DOCUMENTS, max_size=3), DOCUMENTS
    )
    def test_configuration_is_decoded_or_rejected(
        self, route_changes: dict[str, Any], services: Any
    ) -> None:
        # Guards against a configuration that ends the follower of routes.
        spec = {
            "version": 1,
            "routes": [ROUTE | route_changes],
            "services": services,
        }
        try:
            found = configuration.decode(spec)
        except exceptions.DocumentError:
            return
        assert found.routes[0].attempts_max >= 1

    @LONG
    @hypothesis.given(strategies.binary(max_size=200) | DOCUMENTS)
    def test_feed_message_is_decoded_or_rejected(self, sent: Any) -> None:
        # Guards against a publisher whose message ends the subscription task.
        if not isinstance(sent, bytes):
            sent = msgspec.json.encode(sent)
        try:
            assert isinstance(feed.decode(sent), feed.Message)
        except msgspec.DecodeError:
            return

    @pytest.mark.parametrize("depth", [1_000, 100_000])
    def test_deeply_nested_message_raises_a_known_error(
        self, depth: int
    ) -> None:
        # Guards against nesting that is deeper than the decoder's stack.
        data = b'{"kind":"k","revision":1,"snapshot":{"a":' + b"[" * depth
        with pytest.raises((msgspec.DecodeError, RecursionError)):
            feed.decode(data)
