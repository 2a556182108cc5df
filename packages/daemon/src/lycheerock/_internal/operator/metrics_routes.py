"""Routes for metrics in text format and for statistics by service."""

from collections.abc import Callable
from collections.abc import Iterable

import aiohttp.web

from lycheerock._internal.operator import bodies
from lycheerock._internal.operator import exposition
from lycheerock._internal.operator import metrics as metrics_lib


def routes(
    instance_id: str,
    metrics: metrics_lib.RequestMetrics,
    families: Callable[[], Iterable[exposition.Family]],
) -> list[aiohttp.web.RouteDef]:
    """Returns the routes of the metrics.

    Args:
      instance_id: Id of this instance.
      metrics: Metrics of caller requests.
      families: Returns the metrics of other components of the process.

    Returns:
      Routes of /metrics and /ops/stats.
    """

    async def show_metrics(
        _request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        response = aiohttp.web.Response(
            text=exposition.render(metrics, families())
        )
        response.headers["Content-Type"] = exposition.CONTENT_TYPE
        return response

    async def show_statistics(
        _request: aiohttp.web.Request,
    ) -> aiohttp.web.Response:
        return bodies.respond(
            {
                "instance_id": instance_id,
                "services": metrics.statistics(),
                "callers": metrics.requests_by_caller,
                "refusals": metrics.refusals,
            }
        )

    return [
        aiohttp.web.get("/metrics", show_metrics),
        aiohttp.web.get("/ops/stats", show_statistics),
    ]
