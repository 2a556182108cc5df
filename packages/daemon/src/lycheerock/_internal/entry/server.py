"""HTTP interface for callers."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import time
from typing import Any

import aiohttp.web
import msgspec

from lycheerock._internal.booking import keys
from lycheerock._internal.booking import runner as runner_lib
from lycheerock._internal.bundles import store as store_lib
from lycheerock._internal.dispatch import dispatcher as dispatcher_lib
from lycheerock._internal.entry import access
from lycheerock._internal.query import search as search_lib
from lycheerock_model import answers
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

BODY_SIZE_MAX_BYTES = 262_144

_HTTP_STATUS = {
    exceptions.ErrorKind.BAD_REQUEST: 400,
    exceptions.ErrorKind.KEY: 400,
    exceptions.ErrorKind.UNAUTHENTICATED: 401,
    exceptions.ErrorKind.FORBIDDEN: 403,
    exceptions.ErrorKind.UNKNOWN_SERVICE: 404,
    exceptions.ErrorKind.BODY_TOO_LARGE: 413,
    exceptions.ErrorKind.OVERLOADED: 429,
    exceptions.ErrorKind.NOT_ADMITTING: 503,
}


@dataclasses.dataclass(frozen=True)
class _Admitted:
    caller: bundle_lib.Caller
    bundle: bundle_lib.Bundle
    request_id: str
    received_s: float


class EntryServer:
    """Serves callers."""

    def __init__(
        self,
        request_id_prefix: str,
        store: store_lib.BundleStore,
        dispatcher: dispatcher_lib.Dispatcher,
        runner: runner_lib.Runner,
    ):
        self._prefix = request_id_prefix
        self._ids = itertools.count(1)
        self._store = store
        self._dispatcher = dispatcher
        self._runner = runner

    def build(self) -> aiohttp.web.Application:
        """Returns the aiohttp application."""
        app = aiohttp.web.Application(client_max_size=BODY_SIZE_MAX_BYTES)
        app.router.add_post(
            "/v1/services/{service}/search", self._handler(self._search)
        )
        app.router.add_post(
            "/v1/services/{service}/run", self._handler(self._run)
        )
        app.router.add_post("/v1/keys", self._handler(self._issue_keys))
        return app

    def _handler(
        self,
        serve: Callable[
            [aiohttp.web.Request, _Admitted], Awaitable[aiohttp.web.Response]
        ],
    ) -> Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.Response]]:
        async def handle(request: aiohttp.web.Request) -> aiohttp.web.Response:
            request_id = f"{self._prefix}.{next(self._ids):x}"
            request["request_id"] = request_id
            received_s = time.monotonic()
            try:
                bundle = self._store.admit()
                caller = access.authenticate(bundle, request.headers)
                admitted = _Admitted(caller, bundle, request_id, received_s)
                return await serve(request, admitted)
            except exceptions.LycheerockError as error:
                return _refuse(request_id, self._store.number, error)

        return handle

    async def _search(
        self, request: aiohttp.web.Request, admitted: _Admitted
    ) -> aiohttp.web.Response:
        service = access.find_service(
            admitted.bundle, admitted.caller, request.match_info["service"]
        )
        deadline_ms = access.read_deadline_ms(service, request.headers)
        body = await _read_json(request)
        answer = await search_lib.run(
            search_lib.SearchRequest(
                request_id=admitted.request_id,
                caller=admitted.caller.name,
                service=service,
                bundle_number=admitted.bundle.number,
                query=body.get("query"),
                deadline_s=admitted.received_s + deadline_ms / 1000,
            ),
            self._dispatcher,
        )
        return _respond(answer)

    async def _run(
        self, request: aiohttp.web.Request, admitted: _Admitted
    ) -> aiohttp.web.Response:
        service = access.find_service(
            admitted.bundle, admitted.caller, request.match_info["service"]
        )
        deadline_ms = access.read_deadline_ms(service, request.headers)
        body = await _read_json(request)
        shard_key = body.get("shard_key")
        if not isinstance(shard_key, str):
            raise exceptions.BadRequestError(
                "shard_key is not a string", "send shard_key as a string"
            )
        answer = await self._runner.run(
            runner_lib.RunRequest(
                request_id=admitted.request_id,
                request_key=request.headers.get("X-Request-Key", ""),
                caller=admitted.caller.name,
                service=service,
                bundle_number=admitted.bundle.number,
                shard_key=shard_key,
                payload=body.get("payload"),
                deadline_s=admitted.received_s + deadline_ms / 1000,
            )
        )
        return _respond(answer)

    async def _issue_keys(
        self, request: aiohttp.web.Request, admitted: _Admitted
    ) -> aiohttp.web.Response:
        text = request.query.get("count", "1")
        count = int(text) if text.isascii() and text.isdecimal() else 0
        if not 1 <= count <= keys.KEYS_PER_REQUEST_MAX:
            raise exceptions.BadRequestError(
                "count is out of range",
                f"ask for 1 to {keys.KEYS_PER_REQUEST_MAX} keys",
            )
        issued = self._runner.table.issue(count, admitted.received_s)
        return aiohttp.web.json_response({"keys": issued})


async def _read_json(request: aiohttp.web.Request) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(await request.read())
    except aiohttp.web.HTTPRequestEntityTooLarge as error:
        raise exceptions.BodyTooLargeError(
            f"the body is over {BODY_SIZE_MAX_BYTES} bytes",
            "send a smaller query",
        ) from error
    except msgspec.DecodeError as error:
        raise exceptions.BadRequestError(
            f"the body is not JSON ({error})", "send a JSON object"
        ) from error
    if not isinstance(body, dict):
        raise exceptions.BadRequestError(
            "the body is not a JSON object", "send a JSON object"
        )
    return body


def _respond(answer: answers.Answer) -> aiohttp.web.Response:
    status = 200
    if answer.error is not None and answer.outcome != answers.Outcome.DONE:
        status = 503
    return aiohttp.web.Response(
        body=msgspec.json.encode(answer),
        content_type="application/json",
        status=status,
    )


def _refuse(
    request_id: str, bundle_number: int, error: exceptions.LycheerockError
) -> aiohttp.web.Response:
    answer = answers.Answer(
        outcome=answers.Outcome.NOT_RUN,
        request_id=request_id,
        bundle_number=bundle_number,
        error=answers.ErrorBody(
            error.kind, error.problem, error.remedy, error.retry_after_ms
        ),
    )
    return aiohttp.web.Response(
        body=msgspec.json.encode(answer),
        content_type="application/json",
        status=_HTTP_STATUS.get(error.kind, 500),
    )
