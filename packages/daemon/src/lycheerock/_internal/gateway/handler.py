"""Serves one request of a caller."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import aiohttp.web
import multidict

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import messages
from lycheerock._internal.gateway import refusals
from lycheerock._internal.gateway import request_log
from lycheerock._internal.gateway import search as search_lib
from lycheerock._internal.gateway import timing
from lycheerock._internal.platform import forwarding
from lycheerock._internal.routing import split
from lycheerock._internal.routing import table

_READ_CHUNK_BYTES = 65_536

# An instance that has just started reads its configuration in a few round trips
# to the store. Requests wait that long, since all other instances may be
# starting too; if the store does not answer, they are refused.
STARTING_WAIT_S = 0.1


class _RefusedError(Exception):
    """A request that is answered without a target.

    Attributes:
      status: HTTP status.
      retry_after_s: Time after which the caller should come back, or None.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


@dataclasses.dataclass(frozen=True)
class Answer:
    """What the caller gets.

    Attributes:
      status: HTTP status.
      headers: Headers besides those of the connection.
      body: Whole body.
      outcome: Outcome for logs and metrics.
    """

    status: int
    headers: messages.Headers
    body: bytes
    outcome: str


class Handler:
    """Finds the route of a request, has it delivered and answers."""

    def __init__(
        self,
        wait_for_table: Callable[[float], Awaitable[table.RouteTable | None]],
        deliverer: delivery_lib.Deliverer,
        log: request_log.RequestLog,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._wait_for_table = wait_for_table
        self._deliverer = deliverer
        self._log = log
        self._is_leaving = is_leaving
        self._rotation = split.WeightedRotation()
        self._patience = timing.CallerPatience()

    def apply(self, routes: table.RouteTable) -> None:
        """Takes a new route table."""
        names = {route.name for route in routes.routes}
        self._rotation.retain(names)
        self._patience.retain(names)

    async def handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Serves a request.

        Args:
          request: The caller's request.

        Returns:
          The whole answer.
        """
        entry = request_log.Entry(
            request.headers.get(forwarding.REQUEST_ID, ""), time.monotonic()
        )
        try:
            answer = await self._answer(request, entry)
        except _RefusedError as refusal:
            answer = _refuse(refusal)
            entry.reason = refusal.reason
        except asyncio.CancelledError:
            self._log.write(entry, 0, "caller_left")
            raise
        self._log.write(entry, answer.status, answer.outcome)
        response = aiohttp.web.Response(
            status=answer.status,
            body=answer.body,
            headers=multidict.CIMultiDict(answer.headers),
        )
        if self._is_leaving():
            response.force_close()
        return response

    async def _answer(
        self, request: aiohttp.web.BaseRequest, entry: request_log.Entry
    ) -> Answer:
        routes = await self._wait_for_table(STARTING_WAIT_S)
        if routes is None:
            raise _RefusedError(
                503, "no_configuration", refusals.STARTING_RETRY_AFTER_S
            )
        entry.configuration_version = routes.version
        if not entry.request_id:
            raise _RefusedError(400, "no_request_id")
        route = routes.find(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            raise _RefusedError(404, "no_route")
        entry.route = route.name
        body = await _read_body(request, routes.limits.body_size_max_bytes)
        forwarded = messages.ForwardedRequest(
            entry.request_id,
            request.method,
            request.raw_path,
            forwarding.headers_for_targets(request.headers.items()),
            body,
        )
        time_left_s = forwarding.read_time_left_s(request.headers)
        passed_s = 0.0
        if time_left_s is not None:
            passed_s = self._patience.passed_s(route.name, time_left_s)
        entry.time_left_s = time_left_s
        entry.passed_s = passed_s
        if route.scatter is not None:
            usual_s = self._usual_s(route.scatter.shards[0], route)
            times = timing.plan(
                route, entry.arrival_s, time_left_s, passed_s, usual_s
            )
            return await self._search(forwarded, route, times, entry)
        service = self._rotation.next(route)
        times = timing.plan(
            route,
            entry.arrival_s,
            time_left_s,
            passed_s,
            self._deliverer.window(service, route.name).slow_s,
        )
        return await self._forward(forwarded, route, service, times, entry)

    def _usual_s(self, service: str, route: table.Route) -> float:
        return self._deliverer.window(service, route.name).usual_s

    async def _search(
        self,
        request: messages.ForwardedRequest,
        route: table.Route,
        times: timing.Times,
        entry: request_log.Entry,
    ) -> Answer:
        end = await search_lib.run(
            self._deliverer,
            search_lib.SearchOrder(
                request,
                route,
                times.answer_by_s,
                times.deadline_s,
                times.hedge_delay_s,
                times.early_hedge_delay_s,
            ),
        )
        entry.deliveries = end.deliveries
        entry.missing_count = end.missing_count
        if end.is_sufficient:
            headers = forwarding.search_headers(
                end.signatures, end.missing_count
            )
            outcome = "partial" if end.missing_count else "complete"
            return Answer(200, headers, end.body, outcome)
        if end.is_late:
            raise _RefusedError(504, "deadline")
        if end.may_have_run:
            raise _RefusedError(502, "too_few_shards")
        raise _RefusedError(503, "too_few_shards", refusals.retry_after_s())

    async def _forward(
        self,
        request: messages.ForwardedRequest,
        route: table.Route,
        service: str,
        times: timing.Times,
        entry: request_log.Entry,
    ) -> Answer:
        order = delivery_lib.Order(
            request,
            service,
            route.name,
            route.is_idempotent,
            route.attempts_max,
            times.deadline_s,
            times.hedge_delay_s,
            times.early_hedge_delay_s,
        )
        delivered = await self._deliverer.start(order).run()
        entry.deliveries = {service: delivered.attempts}
        reply = delivered.reply
        if reply is not None:
            outcome = "answered" if delivered.problem is None else "failed"
            return Answer(reply.status, reply.headers, reply.body, outcome)
        assert delivered.problem is not None
        raise _refusal_of(delivered)


def _refusal_of(delivered: messages.Delivered) -> _RefusedError:
    problem = delivered.problem
    assert problem is not None
    if not delivered.may_have_run:
        return _RefusedError(503, problem.value, refusals.retry_after_s())
    if problem == messages.Problem.DEADLINE:
        return _RefusedError(504, problem.value)
    return _RefusedError(502, problem.value)


def _refuse(refusal: _RefusedError) -> Answer:
    headers: messages.Headers = (("Content-Type", "text/plain"),)
    if refusal.retry_after_s is not None:
        headers += (("Retry-After", f"{refusal.retry_after_s:.3f}"),)
    body = f"{refusal.reason}\n".encode()
    return Answer(refusal.status, headers, body, "refused")


async def _read_body(
    request: aiohttp.web.BaseRequest, size_max_bytes: int
) -> bytes:
    if not request.can_read_body:
        return b""
    length = request.content_length
    if length is not None and length > size_max_bytes:
        raise _RefusedError(413, "body_too_large")
    parts: list[bytes] = []
    size_bytes = 0
    async for part in request.content.iter_chunked(_READ_CHUNK_BYTES):
        size_bytes += len(part)
        if size_bytes > size_max_bytes:
            raise _RefusedError(413, "body_too_large")
        parts.append(part)
    return b"".join(parts)
