"""Read-only routes for the state dump, members, targets and requests."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Protocol

import aiohttp.web

from lycheerock._internal.operator import bodies
from lycheerock_model import exceptions

View = Callable[[], Any]


class Records(Protocol):
    """Bounded store of recent request records."""

    def find(self, request_id: str) -> Any:
        """Returns the record of a request, or None if there is none."""
        ...


@dataclasses.dataclass(frozen=True)
class Views:
    """Functions that return state of the process as JSON-compatible values.

    Attributes:
      state: Returns the state of the whole process.
      members: Returns all members with their states.
      targets: Returns all targets with their owners and drain states.
      bundle: Returns the bundle in force.
      records: Records of recent requests.
    """

    state: View
    members: View
    targets: View
    bundle: View
    records: Records


def routes(views: Views) -> list[aiohttp.web.RouteDef]:
    """Returns the routes of the views.

    Args:
      views: Functions that return the state to show.

    Returns:
      The routes, all under /ops/.
    """

    async def show_request_record(
        request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        request_id = request.match_info["request_id"]
        record = views.records.find(request_id)
        if record is None:
            raise exceptions.NotFoundError(
                f"no record of request {request_id[:80]!r} on this instance",
                "query the instance named in the request id; records are kept "
                "only for recent requests and are lost on restart",
            )
        return bodies.respond({"request": record})

    return [
        aiohttp.web.get("/ops/state", _view_handler(views.state)),
        aiohttp.web.get("/ops/members", _view_handler(views.members)),
        aiohttp.web.get("/ops/targets", _view_handler(views.targets)),
        aiohttp.web.get("/ops/bundle-in-force", _view_handler(views.bundle)),
        aiohttp.web.get("/ops/requests/{request_id}", show_request_record),
    ]


def _view_handler(view: View) -> Any:
    async def handle(_request: aiohttp.web.Request) -> aiohttp.web.Response:
        value: Mapping[str, Any] = view()
        return bodies.respond(value)

    return handle
