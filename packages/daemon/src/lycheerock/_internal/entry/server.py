"""HTTP interface for callers."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import time

import aiohttp.web
import structlog

from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.entry import access
from lycheerock._internal.entry import admission as admission_lib
from lycheerock._internal.entry import bodies
from lycheerock._internal.entry import responses
from lycheerock._internal.query import metrics as metrics_lib
from lycheerock._internal.query import records as records_lib
from lycheerock._internal.query import search as search_lib
from lycheerock._internal.query import sender as sender_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

# Key under which handlers store the request id for outer middlewares.
REQUEST_ID = aiohttp.web.RequestKey("request_id", str)

BODY_SIZE_MAX_BYTES = bodies.BODY_SIZE_MAX_BYTES

# Duplicates of these headers are rejected, since a proxy in front of this
# server might pick a different value.
_UNIQUE_HEADERS = ("Authorization", "X-Deadline-Ms", "X-Request-Key")


@dataclasses.dataclass
class _RequestContext:
    """State of a caller request while it is being handled."""

    http_request: aiohttp.web.Request
    request_id: str
    received_s: float
    caller: str = ""
    service: str = ""
    bundle: bundle_lib.Bundle | None = None


_ServeFunction = Callable[
    [_RequestContext, bundle_lib.Bundle, bundle_lib.Caller],
    Awaitable[records_lib.CompletedRequest],
]
_Handler = Callable[
    [aiohttp.web.Request], Awaitable[aiohttp.web.StreamResponse]
]


class EntryServer:
    """HTTP server for callers."""

    def __init__(  # noqa: PLR0913
        self,
        request_id_prefix: str,
        store: store_lib.BundleStore,
        searcher: search_lib.Searcher,
        runner: runner_lib.BookingRunner,
        *,
        records: records_lib.Records | None = None,
        metrics: metrics_lib.RequestMetrics | None = None,
        admission: admission_lib.AdmissionControl | None = None,
        on_request_end: Callable[[answers.Answer, float], None] | None = None,
    ):
        self._prefix = request_id_prefix
        self._ids = itertools.count(1)
        self._store = store
        self._searcher = searcher
        self._runner = runner
        # An empty `Records` is falsy, so `or` would replace it.
        if records is None:
            records = records_lib.Records()
        self._records = records
        self._metrics = metrics or metrics_lib.NullMetrics()
        self._admission = admission or admission_lib.AdmissionControl()
        self._on_request_end = on_request_end

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application(
            client_max_size=BODY_SIZE_MAX_BYTES,
            middlewares=[self._answer_unknown_routes],
        )
        app.router.add_post(
            "/v1/services/{service}/search", self._handler(self._search)
        )
        app.router.add_post(
            "/v1/services/{service}/run", self._handler(self._run)
        )
        app.router.add_post("/v1/keys", self._issue_keys)
        return app

    def _next_id(self) -> str:
        return f"{self._prefix}.{next(self._ids):x}"

    @aiohttp.web.middleware
    async def _answer_unknown_routes(
        self, request: aiohttp.web.Request, handler: _Handler
    ) -> aiohttp.web.StreamResponse:
        """Answers unknown paths and methods with a JSON error."""
        try:
            return await handler(request)
        except (
            aiohttp.web.HTTPNotFound,
            aiohttp.web.HTTPMethodNotAllowed,
        ) as error:
            public_error = exceptions.BadRequestError(
                f"no route matches {request.method[:10]} {request.path[:64]!r}",
                "send POST to /v1/services/{service}/search, "
                "/v1/services/{service}/run or /v1/keys",
            )
            answer = responses.build_error_answer(
                self._next_id(),
                self._store.number,
                answers.Outcome.NOT_RUN,
                public_error,
            )
            return responses.refusal_response(answer, error.status)

    def _handler(self, serve: _ServeFunction) -> _Handler:
        async def handle(request: aiohttp.web.Request) -> aiohttp.web.Response:
            context = _RequestContext(
                request, self._next_id(), time.monotonic()
            )
            request[REQUEST_ID] = context.request_id
            structlog.contextvars.clear_contextvars()
            structlog.contextvars.bind_contextvars(
                request_id=context.request_id
            )
            completed, refused = await self._handle_request(context, serve)
            self._record(context, completed)
            if refused:
                return responses.refusal_response(completed.answer)
            return responses.answer_response(completed.answer)

        return handle

    async def _handle_request(
        self, context: _RequestContext, serve: _ServeFunction
    ) -> tuple[records_lib.CompletedRequest, bool]:
        try:
            size_bytes = bodies.max_size_bytes(context.http_request)
            with self._admission.admit(size_bytes):
                bundle, caller = self._authenticate(context)
                return await serve(context, bundle, caller), False
        except exceptions.LycheerockError as error:
            outcome = self._refusal_outcome(context)
            return self._build_failure(context, outcome, error), True
        except Exception as error:
            public_error = _internal_error(context.request_id, error)
            outcome = answers.Outcome.UNKNOWN
            return self._build_failure(context, outcome, public_error), True

    def _authenticate(
        self, context: _RequestContext
    ) -> tuple[bundle_lib.Bundle, bundle_lib.Caller]:
        headers = context.http_request.headers
        for name in _UNIQUE_HEADERS:
            if len(headers.getall(name, ())) > 1:
                raise exceptions.BadRequestError(
                    f"the header {name} is sent more than once",
                    "send the header once",
                )
        bundle = self._store.admit()
        caller = access.authenticate(bundle, headers)
        context.bundle = bundle
        context.caller = caller.name
        structlog.contextvars.bind_contextvars(caller=caller.name)
        return bundle, caller

    def _refusal_outcome(self, context: _RequestContext) -> answers.Outcome:
        key = context.http_request.headers.get("X-Request-Key", "")
        if not key:
            return answers.Outcome.NOT_RUN
        return self._runner.refusal_outcome(key)

    def _build_failure(
        self,
        context: _RequestContext,
        outcome: answers.Outcome,
        error: exceptions.LycheerockError,
    ) -> records_lib.CompletedRequest:
        answer = responses.build_error_answer(
            context.request_id, self._store.number, outcome, error
        )
        return records_lib.CompletedRequest(answer, context.received_s)

    def _record(
        self, context: _RequestContext, completed: records_lib.CompletedRequest
    ) -> None:
        elapsed_s = time.monotonic() - context.received_s
        answer = completed.answer
        # Unauthenticated requests must not evict the records of others.
        if context.caller:
            self._records.add(
                context.caller, context.service, elapsed_s, completed
            )
        self._metrics.observe_request(
            metrics_lib.RequestSummary(
                service=context.service,
                caller=context.caller,
                outcome=answer.outcome.value,
                elapsed_s=elapsed_s,
                covered_count=len(answer.covered),
                lacking_count=len(answer.lacking),
                first_attempt_count=completed.first_attempt_count,
                extra_attempt_count=completed.extra_attempt_count,
            )
        )
        if self._on_request_end is not None:
            self._on_request_end(answer, elapsed_s)

    async def _search(
        self,
        context: _RequestContext,
        bundle: bundle_lib.Bundle,
        caller: bundle_lib.Caller,
    ) -> records_lib.CompletedRequest:
        service, deadline_s = _read_service_and_deadline(
            context, bundle, caller
        )
        body = await bodies.read(
            context.http_request, bodies.SearchBody, deadline_s
        )
        return await self._searcher.run(
            sender_lib.SearchRequest(
                request_id=context.request_id,
                caller=caller.name,
                service=service,
                bundle_number=bundle.number,
                query=body.query,
                deadline_s=deadline_s,
            )
        )

    async def _run(
        self,
        context: _RequestContext,
        bundle: bundle_lib.Bundle,
        caller: bundle_lib.Caller,
    ) -> records_lib.CompletedRequest:
        service, deadline_s = _read_service_and_deadline(
            context, bundle, caller
        )
        key = context.http_request.headers.get("X-Request-Key", "")
        keys.parse(key)
        body = await bodies.read(
            context.http_request, bodies.RunBody, deadline_s
        )
        return await self._runner.run(
            runner_lib.RunRequest(
                request_id=context.request_id,
                request_key=key,
                caller=caller.name,
                caller_count=len(bundle.callers),
                service=service,
                bundle_number=bundle.number,
                shard_key=body.shard_key,
                payload=body.payload,
                deadline_s=deadline_s,
            )
        )

    async def _issue_keys(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        context = _RequestContext(request, self._next_id(), time.monotonic())
        try:
            _, caller = self._authenticate(context)
            count = access.read_count(request.query.get("count", "1"))
        except exceptions.LycheerockError as error:
            outcome = answers.Outcome.NOT_RUN
            return responses.refusal_response(
                self._build_failure(context, outcome, error).answer
            )
        issued = self._runner.table.issue(
            count, caller.name, context.received_s
        )
        return responses.json_response({"keys": issued})


def _read_service_and_deadline(
    context: _RequestContext,
    bundle: bundle_lib.Bundle,
    caller: bundle_lib.Caller,
) -> tuple[bundle_lib.Service, float]:
    service = access.find_service(
        bundle, caller, context.http_request.match_info["service"]
    )
    context.service = service.name
    structlog.contextvars.bind_contextvars(service=service.name)
    deadline_ms = access.read_deadline_ms(service, context.http_request.headers)
    return service, context.received_s + deadline_ms / 1000


def _internal_error(
    request_id: str, error: Exception
) -> exceptions.LycheerockError:
    _LOG.exception(
        "request_failed", request_id=request_id, error=type(error).__name__
    )
    return exceptions.LycheerockError(
        "the instance failed to serve the request",
        "report the request id to an operator; a search may be retried",
    )
