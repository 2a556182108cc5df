"""Second stage: runs the shards that another instance asks for."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import time

import msgspec

from lycheerock._internal.gateway import delivery as delivery_lib
from lycheerock._internal.gateway import messages
from lycheerock._internal.gateway import search as search_lib
from lycheerock._internal.gateway import timing
from lycheerock._internal.scatter import message_age
from lycheerock_protocol import scatter

# Time for which a finished shard waits for others, so that several are sent in
# one message. A late shard delays the others by no more than this.
BATCH_PAUSE_S = 0.004

# Time before the objective from which on nothing waits for a batch.
BATCH_END_S = 0.012

# Maximum number of shard requests that run for other instances, per core of
# weight, and its lower bound. A core completes about 1,500 per second, so that
# more of them would wait for the processor for longer than a target takes.
RUNNING_MAX_PER_CORE = 192
RUNNING_MAX_MIN = 48

# Delay of the event loop above which queries are refused. It is longer than the
# pauses of a process whose processor time is limited.
LAG_MAX_S = 0.08

# Time subtracted from the deadline for the network's delay, which the age of a
# message does not include.
NETWORK_DELAY_S = 0.002


@dataclasses.dataclass(frozen=True)
class Load:
    """State of this instance, for the decision to refuse queries.

    Attributes:
      is_leaving: Whether the process stops.
      lag_s: Recent delay of the event loop.
      running: Number of shard requests that run for other instances.
      running_max: Maximum number of these.
    """

    is_leaving: bool
    lag_s: float
    running: int
    running_max: int


def running_max(weight: float) -> int:
    """Returns the maximum number of running shard requests of an instance.

    Args:
      weight: Processor cores that the instance may use. The process uses at
        most one.
    """
    return max(RUNNING_MAX_MIN, int(RUNNING_MAX_PER_CORE * min(1.0, weight)))


def refusal_reason(
    query: scatter.ScatterQuery, age_s: float, load: Load
) -> str:
    """Returns why a query is refused as a whole, or an empty string."""
    if load.is_leaving:
        return "leaving"
    if age_s * 1000 > min(query.accept_within_ms, query.deadline_ms):
        return "late"
    if load.lag_s > LAG_MAX_S:
        return "lag"
    if load.running + len(query.shards) > load.running_max:
        return "busy"
    return ""


def delivery_spec(
    query: scatter.ScatterQuery,
    shard: str,
    sent_s: float,
    usual_latency_s: float,
) -> delivery_lib.DeliverySpec:
    """Returns the delivery of one shard.

    Args:
      query: The query.
      shard: One of its shards.
      sent_s: Monotonic time of this instance at which the query was sent.
      usual_latency_s: Expected latency of the shards' targets.
    """
    hedge_min_s = timing.HEDGE_LATENCY_RATIO * usual_latency_s
    return delivery_lib.DeliverySpec(
        messages.ForwardedRequest(
            query.request_id,
            query.method,
            query.path,
            query.headers,
            query.body,
        ),
        shard,
        query.route,
        True,
        query.attempts_max,
        sent_s + query.objective_ms / 1000,
        sent_s + query.deadline_ms / 1000 - NETWORK_DELAY_S,
        max(hedge_min_s, query.hedge_ms / 1000),
        max(hedge_min_s, query.early_hedge_ms / 1000),
        frozenset(query.allowed_regions),
        is_first_arrival=not query.is_repeat,
        tried_ids=frozenset(query.tried),
    )


_Task = asyncio.Task[messages.DeliveryResult]


class _Running:
    """A query that runs, and the parts that are not sent yet."""

    def __init__(
        self,
        query: scatter.ScatterQuery,
        start_s: float,
        respond_by_s: float,
        send: Callable[[scatter.ScatterParts], None],
    ) -> None:
        self.query = query
        self.start_s = start_s
        self.deliveries: dict[_Task, tuple[str, delivery_lib.Delivery]] = {}
        self._respond_by_s = respond_by_s
        self._send = send
        self._parts: list[scatter.Part] = []
        self._timer: asyncio.TimerHandle | None = None

    def add(self, part: scatter.Part) -> None:
        """Sends a part now or with others that end shortly after."""
        self._parts.append(part)
        left_s = self._respond_by_s - time.monotonic()
        if not self.deliveries or 0.0 < left_s < BATCH_END_S:
            self._flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(BATCH_PAUSE_S, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._parts:
            parts = tuple(self._parts)
            self._parts.clear()
            self._send(scatter.ScatterParts(self.query.query_id, parts))

    def stop(self, *, is_detached: bool) -> None:
        """Cancels the deliveries; parts that are not sent are dropped."""
        if self._timer is not None:
            self._timer.cancel()
        for task, (_, delivery) in list(self.deliveries.items()):
            if is_detached:
                delivery.detach_running()
            task.cancel()


class QueryServer:
    """Runs the queries of other instances with this instance's connections.

    Attributes:
      running: Number of shard requests that run.
      outcomes: Number of queries by outcome, for metrics.
    """

    def __init__(
        self,
        deliverer: delivery_lib.Deliverer,
        send: Callable[[str, str, msgspec.Struct], bool],
        load: Callable[[int], Load],
        has_target: Callable[[str, frozenset[str]], bool],
        hello_delay_s: Callable[[str], float | None],
    ) -> None:
        """Initializes the server.

        Args:
          deliverer: Sends the requests to targets.
          send: Queues a message for an instance.
          load: Returns the state of this instance, given the running requests.
          has_target: Whether a target is known for a service and regions.
          hello_delay_s: Returns the difference of the own clock and that of an
            instance at the hello message of its link.
        """
        self._deliverer = deliverer
        self._send = send
        self._load = load
        self._has_target = has_target
        self._hello_delay_s = hello_delay_s
        self._queries: dict[tuple[str, int], _Running] = {}
        self._ages: dict[str, message_age.MessageAges] = {}
        self._has_started = asyncio.Event()
        self.running = 0
        self.outcomes: dict[str, int] = {}

    def on_query(self, address: str, query: scatter.ScatterQuery) -> None:
        """Starts or refuses a query.

        Args:
          address: Feed address of the sender.
          query: The query.
        """
        now_s = time.monotonic()
        age_s = self._age_s(address, query.sent_ms / 1000, now_s)
        key = (address, query.query_id)
        reason = refusal_reason(query, age_s, self._load(self.running))
        if key in self._queries:
            self._count("repeated")
            return
        if reason:
            self._refuse(address, query, query.shards, reason)
            return
        accepted = [s for s in query.shards if self._may_run(query, s)]
        if len(accepted) < len(query.shards):
            refused = tuple(s for s in query.shards if s not in accepted)
            self._refuse(address, query, refused, "no_target")
        if accepted:
            self._start(address, query, tuple(accepted), now_s - age_s)

    def on_extend(self, address: str, message: scatter.ScatterExtend) -> None:
        """Allows more attempts for a query that runs."""
        running = self._queries.get((address, message.query_id))
        if running is not None:
            for _, delivery in running.deliveries.values():
                delivery.allow_attempts(message.attempts_max)

    def on_cancel(self, address: str, message: scatter.ScatterCancel) -> None:
        """Ends a query."""
        running = self._queries.pop((address, message.query_id), None)
        if running is not None:
            self._count("cancelled")
            running.stop(is_detached=message.is_detached)

    def on_lost(self, address: str) -> None:
        """Ends all queries of an instance to which the link is lost."""
        self._ages.pop(address, None)
        for key in [k for k in self._queries if k[0] == address]:
            self._count("sender_lost")
            self._queries.pop(key).stop(is_detached=False)

    async def wait_for_query(self) -> None:
        """Waits for the next query that is run."""
        self._has_started.clear()
        await self._has_started.wait()

    @property
    def query_count(self) -> int:
        """Number of queries that run."""
        return len(self._queries)

    def _age_s(self, address: str, sent_s: float, now_s: float) -> float:
        ages = self._ages.get(address)
        if ages is None:
            ages = self._ages[address] = message_age.MessageAges()
            hello_delay_s = self._hello_delay_s(address)
            if hello_delay_s is not None:
                ages.age_s(now_s - hello_delay_s, now_s)
        return ages.age_s(sent_s, now_s)

    def _may_run(self, query: scatter.ScatterQuery, shard: str) -> bool:
        return self._has_target(shard, frozenset(query.allowed_regions)) and (
            not query.is_repeat or self._deliverer.take_repeat_token(shard)
        )

    def _refuse(
        self,
        address: str,
        query: scatter.ScatterQuery,
        shards: tuple[str, ...],
        reason: str,
    ) -> None:
        self._count(f"refused_{reason}")
        parts = tuple(scatter.Part(s, "", b"", True) for s in shards)
        self._send(
            address,
            scatter.PARTS,
            scatter.ScatterParts(query.query_id, parts, reason),
        )

    def _start(
        self,
        address: str,
        query: scatter.ScatterQuery,
        shards: tuple[str, ...],
        sent_s: float,
    ) -> None:
        self._count("accepted")
        self._has_started.set()
        self._send(
            address, scatter.ACCEPTED, scatter.ScatterAccepted(query.query_id)
        )
        running = _Running(
            query,
            time.monotonic(),
            sent_s + query.objective_ms / 1000,
            lambda parts: self._send_parts(address, parts),
        )
        self._queries[(address, query.query_id)] = running
        usual_s = self._deliverer.usual_latency_s(shards, query.route)
        for shard in shards:
            delivery = self._deliverer.new_delivery(
                delivery_spec(query, shard, sent_s, usual_s)
            )
            task = asyncio.create_task(delivery.run())
            running.deliveries[task] = (shard, delivery)
            self.running += 1
            task.add_done_callback(
                functools.partial(self._on_done, address, running)
            )

    def _send_parts(self, address: str, parts: scatter.ScatterParts) -> None:
        if not self._send(address, scatter.PARTS, parts):
            self._count("parts_not_sent")

    def _on_done(self, address: str, running: _Running, task: _Task) -> None:
        self.running -= 1
        shard, _ = running.deliveries.pop(task)
        key = (address, running.query.query_id)
        is_current = self._queries.get(key) is running
        if is_current and not running.deliveries:
            del self._queries[key]
        if task.cancelled() or not is_current:
            return
        running.add(_to_part(running, shard, task.result()))

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _to_part(
    running: _Running, shard: str, result: messages.DeliveryResult
) -> scatter.Part:
    attempts = tuple(
        scatter.Attempt(
            record.target_id,
            record.cause,
            record.outcome,
            round((record.start_s - running.start_s) * 1000, 1),
            round(record.elapsed_s * 1000, 1),
            record.is_sent,
            record.detail[:200],
        )
        for record in result.attempts
    )
    reply = result.reply
    if (
        reply is None
        or reply.kind != messages.ReplyKind.SUCCESS
        or not reply.signature
    ):
        return scatter.Part(shard, "", b"", False, attempts)
    records = search_lib.merge([reply.body], running.query.record_count_max)
    return scatter.Part(shard, reply.signature, records, False, attempts)
