"""Middleware that tracks caller requests and refuses new ones at shutdown."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import aiohttp.typedefs
import aiohttp.web
import msgspec

from lycheerock._internal.entry import server as entry_server
from lycheerock._internal.lifecycle import in_flight as in_flight_lib
from lycheerock._internal.lifecycle import phase as phase_lib
from lycheerock_model import answers
from lycheerock_model import exceptions

FLUSH_POLL_S = 0.01
REFUSED_RETRY_AFTER_MS = 100

_Handler = Callable[
    [aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]
]


def middleware(
    in_flight: in_flight_lib.InFlight, state: phase_lib.PhaseState
) -> aiohttp.typedefs.Middleware:
    """Creates the middleware of the HTTP interface for callers.

    A request is tracked until the last byte of its response has been handed to
    the kernel. During a graceful shutdown, each response closes its connection,
    so that callers open the next one to another instance. In the phase CLOSED,
    new requests are refused and not tracked.

    Args:
      in_flight: Requests in flight.
      state: Phase of the process.

    Returns:
      The middleware.
    """

    @aiohttp.web.middleware
    async def track_request(
        request: aiohttp.web.Request, handler: _Handler
    ) -> aiohttp.web.StreamResponse:
        if state.phase == phase_lib.Phase.CLOSED:
            return _create_refusal()
        with in_flight.track("caller", lambda: _request_id_or_path(request)):
            response = await handler(request)
            if state.phase != phase_lib.Phase.SERVING:
                response.force_close()
            with contextlib.suppress(ConnectionError):
                await response.prepare(request)
                await response.write_eof()
                await _wait_flushed(request)
        return response

    return track_request


def _request_id_or_path(request: aiohttp.web.Request) -> str:
    result: str = request.get(entry_server.REQUEST_ID, request.path)
    return result


async def _wait_flushed(request: aiohttp.web.Request) -> None:
    transport = request.transport
    while (
        transport is not None
        and not transport.is_closing()
        and transport.get_write_buffer_size() > 0
    ):
        await asyncio.sleep(FLUSH_POLL_S)


def _create_refusal() -> aiohttp.web.Response:
    answer = answers.Answer(
        outcome=answers.Outcome.NOT_RUN,
        request_id="",
        bundle_number=0,
        error=answers.ErrorBody(
            exceptions.ErrorKind.NOT_ADMITTING,
            "this instance is stopping",
            "send the request to another instance",
            REFUSED_RETRY_AFTER_MS,
        ),
    )
    response = aiohttp.web.Response(
        body=msgspec.json.encode(answer),
        content_type="application/json",
        status=503,
    )
    response.force_close()
    return response
