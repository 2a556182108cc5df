"""Handles the requests of callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time

import aiohttp.web
import multidict
import structlog

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import messages
from lycheerock._internal.gateway import refusals
from lycheerock._internal.gateway import request_log
from lycheerock._internal.gateway import running as running_lib
from lycheerock._internal.gateway import search as search_lib
from lycheerock._internal.gateway import timing
from lycheerock._internal.ingress import callers as callers_lib
from lycheerock._internal.ingress import connection as ingress_connection
from lycheerock._internal.platform import forwarding
from lycheerock._internal.routing import split
from lycheerock._internal.routing import table
from lycheerock._internal.workspaces import directory
from lycheerock._internal.workspaces import limiter as limiter_lib

_LOG = structlog.get_logger()

_READ_CHUNK_BYTES = 65_536

# Time for which a request waits for the first configuration and the first list
# of targets, which take a few round trips to the store. Waiting is better than
# refusing at once, since all other instances may be starting too.
FIRST_STATE_WAIT_S = 0.1

# Statuses with which this instance guarantees that the request has not run.
_NOT_RUN_STATUSES = frozenset({401, 404, 503})


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """The response to a caller.

    Attributes:
      status: HTTP status.
      headers: Headers, without hop-by-hop headers.
      body: Complete body.
      outcome: Outcome for logs and metrics.
    """

    status: int
    headers: messages.Headers
    body: bytes
    outcome: str


@dataclasses.dataclass(frozen=True)
class _Admitted:
    """A request with a valid key, or one that needs none.

    Attributes:
      route: Its route, bound to the regions that the workspace allows.
      workspace: Its workspace, or None if it belongs to none.
      has_workspaces: Whether the configuration has any workspaces.
    """

    route: table.Route
    workspace: directory.Workspace | None
    has_workspaces: bool


@dataclasses.dataclass(frozen=True)
class Admission:
    """Decides which requests run and which connections are kept.

    Attributes:
      is_draining: Whether the process is stopping.
      is_configuration_confirmed: Whether the configuration is up to date.
      limiter: Enforces the caps of workspaces.
      running: The requests that are being handled.
    """

    is_draining: Callable[[], bool]
    is_configuration_confirmed: Callable[[], bool]
    limiter: limiter_lib.Limiter
    running: running_lib.RunningRequests = dataclasses.field(
        default_factory=running_lib.RunningRequests
    )


class Handler:
    """Routes requests of callers to targets and returns the responses."""

    def __init__(
        self,
        wait_for_routes: Callable[[float], Awaitable[table.RouteTable | None]],
        deliverer: delivery_lib.Deliverer,
        log: request_log.RequestLog,
        admission: Admission,
        remote_for: Callable[
            [tuple[str, ...]], search_lib.RemoteFactory | None
        ] = lambda _shards: None,
    ) -> None:
        self._wait_for_routes = wait_for_routes
        self._deliverer = deliverer
        self._log = log
        self._admission = admission
        self._remote_for = remote_for
        self._rotation = split.WeightedRoundRobin()
        self._caller_timeouts = timing.CallerTimeouts()

    def apply(self, routes: table.RouteTable) -> None:
        """Drops the state of routes that a new route table lacks."""
        names = {route.name for route in routes.routes}
        self._rotation.retain(names)
        self._caller_timeouts.retain(names)

    async def handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Handles a request.

        Args:
          request: The caller's request.

        Returns:
          The complete response.
        """
        connection = request.protocol
        assert isinstance(connection, ingress_connection.CallerConnection)
        entry = request_log.Entry(
            request.headers.get(forwarding.REQUEST_ID, ""), time.monotonic()
        )
        # The caller's clock also runs while a head arrives in pieces and while
        # a request waits for the previous one of its connection.
        received_ago_s = entry.arrival_s - connection.request_begin_s
        margin_s = connection.margin_s + received_ago_s
        try:
            result = await self._respond_in_time(request, entry, margin_s)
        except refusals.RefusedError as refusal:
            result = _refusal_response(refusal)
            entry.reason = refusal.reason
        except asyncio.CancelledError as error:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self._log.write(entry, 0, "caller_left")
                raise
            # A task that the handler waited for was cancelled. Passing the
            # error on would close the caller's connection without a response.
            result = self._internal_error(entry, error)
        except Exception as error:
            result = self._internal_error(entry, error)
        self._log.write(entry, result.status, result.outcome)
        response = aiohttp.web.Response(
            status=result.status,
            body=result.body,
            headers=multidict.CIMultiDict(result.headers),
        )
        if (
            self._admission.is_draining()
            or connection.is_refused
            or result.status == 408
        ):
            response.force_close()
        return response

    def _internal_error(
        self, entry: request_log.Entry, error: BaseException
    ) -> CallerResponse:
        # A target may have run the request, so no status that rules this out
        # is sent.
        _LOG.error("request_error", id=entry.request_id, exc_info=True)
        entry.reason = type(error).__name__
        return _refusal_response(refusals.RefusedError(502, "internal_error"))

    async def _respond_in_time(
        self,
        request: aiohttp.web.BaseRequest,
        entry: request_log.Entry,
        margin_s: float,
    ) -> CallerResponse:
        """Responds, with an error once a stop of the process needs it."""
        expiry = None
        try:
            async with self._admission.running.track() as expiry:
                return await self._respond(request, entry, margin_s)
        except TimeoutError as error:
            if expiry is None or not expiry.expired():
                raise
            raise refusals.stopping(may_have_run=entry.was_passed_on) from error

    async def _respond(
        self,
        request: aiohttp.web.BaseRequest,
        entry: request_log.Entry,
        margin_s: float,
    ) -> CallerResponse:
        routes = await self._wait_for_routes(FIRST_STATE_WAIT_S)
        if routes is None:
            raise refusals.RefusedError(
                503, "no_configuration", refusals.STARTUP_RETRY_AFTER_S
            )
        entry.configuration_version = routes.version
        if not entry.request_id:
            raise refusals.RefusedError(400, "no_request_id")
        admitted = self._admit(request, routes, entry)
        time_left_s = forwarding.read_time_left_s(request.headers)
        body_limit_s = admitted.route.timeout_s
        if time_left_s is not None:
            body_limit_s = min(body_limit_s, time_left_s - margin_s)
        body = await _read_body(
            request,
            routes.limits.body_size_max_bytes,
            entry.arrival_s + body_limit_s - time.monotonic(),
        )
        limiter, token = self._admission.limiter, None
        if admitted.workspace is not None:
            try:
                token = await limiter.acquire(admitted.workspace.name)
            except limiter_lib.OverCapError as error:
                raise refusals.RefusedError(
                    429, error.reason, error.retry_after_s
                ) from error
        try:
            latest = await self._wait_for_routes(0.0)
            if latest is not None and latest is not routes:
                # A key may have been withdrawn while the request waited.
                admitted = self._admit_again(request, latest, admitted, entry)
            return await self._send(request, admitted, body, entry, margin_s)
        except refusals.RefusedError as refusal:
            if refusal.status in _NOT_RUN_STATUSES:
                limiter.give_back(token)
            raise

    async def _send(
        self,
        request: aiohttp.web.BaseRequest,
        admitted: _Admitted,
        body: bytes,
        entry: request_log.Entry,
        margin_s: float,
    ) -> CallerResponse:
        route, workspace = admitted.route, admitted.workspace
        time_left_s = forwarding.read_time_left_s(request.headers)
        forwarded = messages.ForwardedRequest(
            entry.request_id,
            request.method,
            request.raw_path,
            forwarding.headers_for_targets(
                request.headers.items(),
                workspace.name if workspace is not None else None,
                drops_authorization=admitted.has_workspaces,
            ),
            body,
        )
        prior_wait_s = 0.0
        if time_left_s is not None:
            prior_wait_s = self._caller_timeouts.prior_wait_s(
                route.name, time_left_s
            )
        entry.time_left_s = time_left_s
        entry.prior_wait_s = prior_wait_s
        if route.scatter is not None:
            expected_latency_s = self._deliverer.usual_latency_s(
                route.scatter.shards, route.name
            )
            times = timing.plan(
                route,
                entry.arrival_s,
                time_left_s,
                prior_wait_s,
                expected_latency_s,
                margin_s=margin_s,
            )
            times = self._end_before_stop(times, expected_latency_s)
            return await self._search(forwarded, route, times, entry)
        service = self._rotation.next(route)
        expected_latency_s = self._deliverer.latency_window(
            service, route.name
        ).p90_s
        times = timing.plan(
            route,
            entry.arrival_s,
            time_left_s,
            prior_wait_s,
            expected_latency_s,
            margin_s=margin_s,
        )
        times = self._end_before_stop(times, expected_latency_s)
        return await self._forward(forwarded, route, service, times, entry)

    def _end_before_stop(
        self, times: timing.RequestTimes, expected_latency_s: float
    ) -> timing.RequestTimes:
        """Limits the times of a request to those that a stop leaves.

        A request that has not been passed on and would probably not complete
        is refused, since another instance can still run it.
        """
        running = self._admission.running
        if running.is_too_late(time.monotonic(), expected_latency_s):
            raise refusals.stopping(may_have_run=False)
        return timing.limit(times, running.respond_by_s)

    def _admit_again(
        self,
        request: aiohttp.web.BaseRequest,
        routes: table.RouteTable,
        previous: _Admitted,
        entry: request_log.Entry,
    ) -> _Admitted:
        """Applies a newer route table to a request that has waited."""
        entry.configuration_version = routes.version
        admitted = self._admit(request, routes, entry)
        before, after = previous.workspace, admitted.workspace
        if (before and before.name) != (after and after.name):
            # The token belongs to the cap of the other workspace.
            raise refusals.RefusedError(
                503, "workspace_changed", refusals.retry_after_s()
            )
        return admitted

    def _admit(
        self,
        request: aiohttp.web.BaseRequest,
        routes: table.RouteTable,
        entry: request_log.Entry,
    ) -> _Admitted:
        """Finds the route and the workspace of a request, or refuses it.

        Args:
          request: The caller's request.
          routes: The route table to apply.
          entry: Log entry, which gets their names.

        Returns:
          The route, bound to the regions that the workspace allows, and the
          workspace.
        """
        route = routes.find(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            raise refusals.RefusedError(404, "no_route")
        entry.route = route.name
        if routes.workspaces.is_empty:
            return _Admitted(route, None, has_workspaces=False)
        key = forwarding.read_key(request.headers)
        workspace = None if key is None else routes.workspaces.find(key)
        if workspace is None:
            if route.is_public:
                return _Admitted(route, None, has_workspaces=True)
            if key is None:
                raise refusals.RefusedError(401, "no_key")
            if not self._admission.is_configuration_confirmed():
                # The key may belong to a newer version, which this instance
                # cannot read at present.
                raise refusals.RefusedError(
                    503, "key_unconfirmed", refusals.retry_after_s()
                )
            raise refusals.RefusedError(401, "unknown_key")
        entry.workspace = workspace.name
        regions = directory.intersect_regions(
            route.allowed_regions, workspace.allowed_regions
        )
        if regions is None:
            raise refusals.RefusedError(
                503, "no_allowed_region", refusals.retry_after_s()
            )
        if regions != route.allowed_regions:
            route = dataclasses.replace(route, allowed_regions=regions)
        return _Admitted(route, workspace, has_workspaces=True)

    async def _search(
        self,
        request: messages.ForwardedRequest,
        route: table.Route,
        times: timing.RequestTimes,
        entry: request_log.Entry,
    ) -> CallerResponse:
        rule = route.scatter
        assert rule is not None
        entry.was_passed_on = True
        result = await search_lib.run(
            self._deliverer,
            search_lib.SearchSpec(
                request,
                route,
                times.respond_by_s,
                times.deadline_s,
                times.hedge_delay_s,
                times.early_hedge_delay_s,
                entry.configuration_version or 0,
            ),
            self._remote_for(route.service_names),
        )
        entry.deliveries = result.deliveries
        entry.missing_count = result.missing_count
        if result.is_sufficient:
            headers = forwarding.search_headers(
                result.signatures, result.missing_count
            )
            outcome = "partial" if result.missing_count else "complete"
            return CallerResponse(200, headers, result.body, outcome)
        if result.is_expired:
            raise refusals.RefusedError(504, "deadline")
        if result.may_have_run:
            raise refusals.RefusedError(502, "too_few_shards")
        raise refusals.RefusedError(
            503,
            "too_few_shards",
            self._retry_after_s(
                route, rule.shards, rule.part_count_min, times.deadline_s
            ),
        )

    def _retry_after_s(
        self,
        route: table.Route,
        services: Sequence[str],
        needed_count: int,
        deadline_s: float,
    ) -> float:
        backoff_s = self._deliverer.backoff_left_s(
            services, needed_count, route.allowed_regions
        )
        return refusals.retry_after_s(backoff_s, deadline_s - time.monotonic())

    async def _forward(
        self,
        request: messages.ForwardedRequest,
        route: table.Route,
        service: str,
        times: timing.RequestTimes,
        entry: request_log.Entry,
    ) -> CallerResponse:
        spec = delivery_lib.DeliverySpec(
            request,
            service,
            route.name,
            route.is_idempotent,
            route.attempts_max,
            times.respond_by_s,
            times.deadline_s,
            times.hedge_delay_s,
            times.early_hedge_delay_s,
            route.allowed_regions,
        )
        entry.was_passed_on = True
        result = await self._deliverer.new_delivery(spec).run()
        entry.deliveries = {service: result.attempts}
        reply = result.reply
        if reply is not None:
            outcome = "answered" if result.problem is None else "failed"
            return CallerResponse(
                reply.status, reply.headers, reply.body, outcome
            )
        assert result.problem is not None
        raise refusals.for_result(
            result,
            lambda: self._retry_after_s(route, (service,), 1, times.deadline_s),
        )


def _refusal_response(refusal: refusals.RefusedError) -> CallerResponse:
    headers: messages.Headers = (("Content-Type", "text/plain"),)
    if refusal.retry_after_s is not None:
        headers += (("Retry-After", f"{refusal.retry_after_s:.3f}"),)
    if refusal.status == 401:
        headers += (("WWW-Authenticate", "Bearer"),)
    body = f"{refusal.reason}\n".encode()
    return CallerResponse(refusal.status, headers, body, "refused")


async def _read_body(
    request: aiohttp.web.BaseRequest, size_max_bytes: int, limit_s: float
) -> bytes:
    """Reads the body of a request.

    Args:
      request: The caller's request.
      size_max_bytes: Maximum size of the body.
      limit_s: Time limit for the rest of a body that is still incomplete.

    Raises:
      RefusedError: The body is too large, late or was refused.
    """
    if not request.can_read_body:
        return b""
    try:
        # The time limit is only for the body: a request that is late but whole
        # is handled as before.
        if request.content.is_eof():
            return await _read_parts(request, size_max_bytes)
        async with asyncio.timeout(max(0.0, limit_s)):
            return await _read_parts(request, size_max_bytes)
    except TimeoutError as error:
        raise refusals.RefusedError(408, "body_timeout") from error
    except callers_lib.RequestRefusedError as error:
        raise refusals.RefusedError(error.status, error.reason) from error


async def _read_parts(
    request: aiohttp.web.BaseRequest, size_max_bytes: int
) -> bytes:
    length = request.content_length
    if length is not None and length > size_max_bytes:
        raise refusals.RefusedError(413, "body_too_large")
    parts: list[bytes] = []
    size_bytes = 0
    async for part in request.content.iter_chunked(_READ_CHUNK_BYTES):
        size_bytes += len(part)
        if size_bytes > size_max_bytes:
            raise refusals.RefusedError(413, "body_too_large")
        parts.append(part)
    return b"".join(parts)
