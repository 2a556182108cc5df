"""Routes for operator actions on bundles."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import aiohttp.web
import msgspec
from returns import result

from lycheerock._internal.bundles import actions as actions_lib
from lycheerock_model import bundle_check
from lycheerock_model import exceptions

BODY_SIZE_MAX_BYTES = 2 * bundle_check.BUNDLE_SIZE_MAX_BYTES

_HTTP_STATUS = {
    exceptions.ErrorKind.BAD_REQUEST: 400,
    exceptions.ErrorKind.FORBIDDEN: 403,
    exceptions.ErrorKind.CONFLICT: 409,
    exceptions.ErrorKind.PLATFORM: 503,
}

_Handler = Callable[[aiohttp.web.Request], Awaitable[aiohttp.web.Response]]


class ProposeBody(msgspec.Struct, frozen=True):
    """Body of POST /ops/bundles.

    Exactly one of `bundle` and `rollback_to` is expected.
    """

    operator: str
    bundle: dict[str, Any] | None = None
    rollback_to: int = 0


class SignBody(msgspec.Struct, frozen=True):
    """Body of POST /ops/bundles/{number}/sign."""

    operator: str


class RolloutBody(msgspec.Struct, frozen=True):
    """Body of POST /ops/rollout."""

    operator: str
    number: int
    replace: bool = False


def add_routes(
    router: aiohttp.web.UrlDispatcher, actions: actions_lib.Actions
) -> None:
    """Adds the routes for bundles to the operator interface.

    Args:
      router: Router of the operator application, whose middleware authenticates
        requests to /ops/.
      actions: Functions that the routes call.
    """
    handlers = _Handlers(actions)
    router.add_post("/ops/bundles", _with_error_response(handlers.propose))
    router.add_post(
        "/ops/bundles/{number:[0-9]+}/sign", _with_error_response(handlers.sign)
    )
    router.add_get("/ops/bundles", _with_error_response(handlers.history))
    router.add_post("/ops/rollout", _with_error_response(handlers.roll_out))
    router.add_get("/ops/rollout", _with_error_response(handlers.status))


class _Handlers:
    def __init__(self, actions: actions_lib.Actions):
        self._actions = actions

    async def propose(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        body = msgspec.json.decode(await request.read(), type=ProposeBody)
        if body.rollback_to:
            return _result_response(
                await self._actions.roll_back(body.rollback_to, body.operator)
            )
        return _result_response(
            await self._actions.propose(body.bundle or {}, body.operator)
        )

    async def sign(self, request: aiohttp.web.Request) -> aiohttp.web.Response:
        body = msgspec.json.decode(await request.read(), type=SignBody)
        number = int(request.match_info["number"])
        return _result_response(await self._actions.sign(number, body.operator))

    async def roll_out(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        body = msgspec.json.decode(await request.read(), type=RolloutBody)
        return _result_response(
            await self._actions.roll_out(
                body.number, body.operator, replace=body.replace
            )
        )

    async def status(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return _json_response(200, await self._actions.status())

    async def history(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        history = await self._actions.history()
        return _result_response(
            history.map(lambda bundles: {"bundles": bundles})
        )


def _with_error_response(handler: _Handler) -> _Handler:
    async def handle(request: aiohttp.web.Request) -> aiohttp.web.Response:
        try:
            return await handler(request)
        except msgspec.DecodeError as error:
            return _error_response(
                exceptions.BadRequestError(
                    f"the body is invalid: {error}", "send a valid body"
                )
            )
        except exceptions.LycheerockError as error:
            return _error_response(error)

    return handle


def _result_response(
    outcome: result.Result[Any, exceptions.LycheerockError],
) -> aiohttp.web.Response:
    if isinstance(outcome, result.Failure):
        return _error_response(outcome.failure())
    return _json_response(200, outcome.unwrap())


def _error_response(error: exceptions.LycheerockError) -> aiohttp.web.Response:
    body: dict[str, Any] = {
        "kind": error.kind,
        "message": error.problem,
        "remedy": error.remedy,
    }
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
    if isinstance(error, exceptions.DocumentError):
        body["faults"] = error.faults
    status = _HTTP_STATUS.get(error.kind, 500)
    return _json_response(status, {"error": body})


def _json_response(status: int, value: Any) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
