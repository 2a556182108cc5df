"""Routes for operator actions on a single instance."""

from collections.abc import Callable
import dataclasses

import aiohttp.web
import structlog

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.operator import bodies
from lycheerock._internal.operator import drains
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclasses.dataclass(frozen=True)
class Actions:
    """Functions that the routes call to inspect or change the process.

    Attributes:
      request_stop: Starts a graceful shutdown, as SIGTERM does.
      is_stopping: Returns whether a shutdown has begun.
      has_target: Returns whether the bundle in force has a target with an id.
      target_states: Newest state report on each target.
      log_level: Returns the log level.
      set_log_level: Changes the log level.
      now_ms: Returns the Unix time in milliseconds.
    """

    request_stop: Callable[[], None]
    is_stopping: Callable[[], bool]
    has_target: Callable[[str], bool]
    target_states: target_states_lib.TargetStates
    log_level: Callable[[], str]
    set_log_level: Callable[[str], None]
    now_ms: Callable[[], int]


def routes(actions: Actions) -> list[aiohttp.web.RouteDef]:
    """Returns the routes of the actions.

    Args:
      actions: Functions that the routes call.

    Returns:
      The routes, all under /ops/.
    """
    handlers = _Handlers(actions)
    return [
        aiohttp.web.post("/ops/drain", handlers.drain_instance),
        aiohttp.web.post(
            "/ops/targets/{target_id}/drain", handlers.drain_target
        ),
        aiohttp.web.get("/ops/log-level", handlers.show_log_level),
        aiohttp.web.post("/ops/log-level", handlers.change_log_level),
    ]


class _Handlers:
    def __init__(self, actions: Actions):
        self._actions = actions

    async def drain_instance(
        self, _request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        # A second signal would end the process immediately, so only the first
        # drain request may raise one.
        already = self._actions.is_stopping()
        if not already:
            _LOG.info("drain_requested")
            self._actions.request_stop()
        return bodies.respond({"draining": True, "already_draining": already})

    async def drain_target(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        target_id = request.match_info["target_id"]
        if not self._actions.has_target(target_id):
            raise exceptions.NotFoundError(
                f"target {target_id[:80]!r} is not in the bundle in force",
                "list the targets with GET /ops/targets",
            )
        states = self._actions.target_states
        changed = drains.mark_draining(
            states, target_id, self._actions.now_ms()
        )
        _LOG.info("target_drain_requested", target=target_id, changed=changed)
        return bodies.respond(
            {"target_id": target_id, "leaving": True, "changed": changed}
        )

    async def show_log_level(
        self, _request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        return bodies.respond({"level": self._actions.log_level()})

    async def change_log_level(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        level = (await bodies.read(request)).get("level")
        if level not in LOG_LEVELS:
            raise exceptions.BadRequestError(
                "level is missing or unknown",
                f"send level as one of {', '.join(LOG_LEVELS)}",
            )
        self._actions.set_log_level(level)
        _LOG.warning("log_level_changed", level_now=level)
        return bodies.respond({"level": level})
