"""Metrics of links and two-stage searches."""

from collections.abc import Iterator
import time

from lycheerock._internal.links import mesh as mesh_lib
from lycheerock._internal.operator import exposition
from lycheerock._internal.scatter import coordinator as coordinator_lib


def families(
    mesh: mesh_lib.Mesh, coordinator: coordinator_lib.Coordinator
) -> Iterator[exposition.Family]:
    """Yields the metrics.

    Owners are not labels, because their number is not bounded; the state dump
    lists them.

    Args:
      mesh: Links to other instances.
      coordinator: Two-stage searches.
    """
    yield exposition.Family(
        "lycheerock_links",
        "gauge",
        "Open links to other instances.",
        (({}, mesh.link_count),),
    )
    yield exposition.counter_family(
        "lycheerock_link_messages_total",
        "Messages on links and faults by event.",
        "event",
        mesh.counts,
    )
    yield exposition.counter_family(
        "lycheerock_search_owner_events_total",
        "Parts and failures of two-stage searches by event at the first stage.",
        "event",
        coordinator.owners.counts,
    )
    yield exposition.counter_family(
        "lycheerock_search_parts_total",
        "Shards of two-stage searches by the instance that queries them.",
        "source",
        coordinator.sources,
    )
    yield exposition.counter_family(
        "lycheerock_search_queries_run_total",
        "Queries of other instances by outcome at the second stage.",
        "outcome",
        coordinator.server.outcomes,
    )
    yield exposition.Family(
        "lycheerock_search_owner_overhead_seconds",
        "gauge",
        "Time that parts of the slowest owner take longer than its targets.",
        (({}, coordinator.owners.overhead_max_s(time.monotonic())),),
    )
