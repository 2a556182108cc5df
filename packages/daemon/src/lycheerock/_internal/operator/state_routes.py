"""Read-only views of the process: state dump, members, targets, requests."""

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
        """Returns the record of a request, or None."""
        ...


@dataclasses.dataclass(frozen=True)
class Views:
    """Functions that return the state of the process as JSON values.

    Attributes:
      state: State of the whole process.
      members: All members with their state.
      targets: All targets with owners and leaving state.
      bundle: The bundle in force.
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
      views: The views.

    Returns:
      Routes under /ops/.
    """

    async def request_record(
        request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        request_id = request.match_info["request_id"]
        record = views.records.find(request_id)
        if record is None:
            raise exceptions.NotFoundError(
                f"no record of request {request_id[:80]!r} on this instance",
                "ask the instance that its id names; only recent requests of "
                "a running process are kept",
            )
        return bodies.respond({"request": record})

    return [
        aiohttp.web.get("/ops/state", _show(views.state)),
        aiohttp.web.get("/ops/members", _show(views.members)),
        aiohttp.web.get("/ops/targets", _show(views.targets)),
        aiohttp.web.get("/ops/bundle-in-force", _show(views.bundle)),
        aiohttp.web.get("/ops/requests/{request_id}", request_record),
    ]


def _show(view: View) -> Any:
    async def handle(_request: aiohttp.web.Request) -> aiohttp.web.Response:
        value: Mapping[str, Any] = view()
        return bodies.respond(value)

    return handle
