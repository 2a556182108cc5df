"""First stage: asks the owners of groups and handles their failures."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

import msgspec

from lycheerock._internal.gateway import messages
from lycheerock._internal.scatter import terms as terms_lib
from lycheerock_protocol import scatter

# Time within which an owner must confirm a query, as a fraction of the time to
# the objective. An owner that is short of processor time may pause for up to
# 60 ms; one that is slower would delay the search more than other targets do.
ACCEPT_OBJECTIVE_RATIO = 0.2
ACCEPT_TIMEOUT_MIN_S = 0.02

# Time at which an owner that has confirmed a query is allowed all attempts, as
# a fraction of the early hedge delay. Until then, attempts are left for other
# targets in case the owner fails.
EXTEND_HEDGE_RATIO = 0.6

# A timer that fires later than this was delayed by a stall of this process,
# during which confirmations could not be read.
TIMER_LATE_S = 0.005


@dataclasses.dataclass(frozen=True)
class Network:
    """How queries are sent and which owners are asked.

    Attributes:
      send: Queues a message for an instance; see `Mesh.send`.
      next_query_id: Returns the number of a new query.
      choose: Returns the owner to ask for a shard, given the time to the
        objective and the owners already asked, or None if there is none.
      on_event: Called with an owner, the event and a duration: the overhead of
        a part, or 0.
      register: Registers the receiver of the messages for a query.
      unregister: Removes it.
      on_latency: Called with a shard, the route and the latency of its target.
    """

    send: Callable[[str, str, msgspec.Struct], bool]
    next_query_id: Callable[[], int]
    choose: Callable[[str, float, frozenset[str]], str | None]
    on_event: Callable[[str, str, float], None]
    register: Callable[[int, "Query"], None]
    unregister: Callable[[int], None]
    on_latency: Callable[[str, str, float], None]


class Query:
    """State of the shards that one owner was asked for.

    Attributes:
      owner: Feed address of the owner.
      open_shards: Shards whose outcome may still arrive.
    """

    def __init__(
        self,
        search: "RemoteSearch",
        owner: str,
        found: list[terms_lib.ShardQuery],
    ) -> None:
        """Initializes the query.

        Args:
          search: The search.
          owner: Feed address of the owner.
          found: The shards; all with the same number of attempts, and either
            all or none of them repeated.
        """
        self._search = search
        self._network = search.network
        self._terms = search.terms
        # One attempt is kept back in case the owner fails; see `_extend`.
        self._allowed = max(1, found[0].attempts_max - 1)
        self._is_repeat = found[0].is_repeat
        self._tried_ids: frozenset[str] = frozenset().union(
            *(query.tried_ids for query in found)
        )
        self._is_accepted = False
        self._is_given_up = False
        self._timers: list[asyncio.TimerHandle] = []
        self._query_id = self._network.next_query_id()
        self._sent_s = time.monotonic()
        self._accept_by_s = self._sent_s
        self.owner = owner
        self.open_shards = {query.shard for query in found}

    def start(self) -> bool:
        """Sends the query and takes its attempts.

        Returns:
          False if it was certainly not sent.
        """
        terms, request = self._terms, self._terms.request
        objective_s = terms.respond_by_s - self._sent_s
        accept_s = max(
            ACCEPT_TIMEOUT_MIN_S, ACCEPT_OBJECTIVE_RATIO * objective_s
        )
        query = scatter.ScatterQuery(
            self._query_id,
            self._sent_s * 1000,
            request.request_id,
            request.method,
            request.path,
            # msgspec rejects the subclass of str that aiohttp uses for names.
            tuple((str(k), v) for k, v in request.headers),
            request.body,
            terms.route_name,
            tuple(sorted(self.open_shards)),
            tuple(sorted(terms.allowed_regions)),
            terms.configuration_version,
            self._allowed,
            self._is_repeat,
            terms.record_count_max,
            accept_s * 1000,
            objective_s * 1000,
            (terms.deadline_s - self._sent_s) * 1000,
            terms.hedge_delay_s * 1000,
            terms.early_hedge_delay_s * 1000,
            tuple(sorted(self._tried_ids)),
        )
        if not self._network.send(self.owner, scatter.QUERY, query):
            return False
        for shard in self.open_shards:
            self._search.attempts_left.take(shard, self._allowed)
        self._network.register(self._query_id, self)
        self._accept_by_s = self._sent_s + accept_s
        self._call_later(accept_s, self._on_accept_timeout)
        extend_s = EXTEND_HEDGE_RATIO * terms.early_hedge_delay_s
        self._call_later(extend_s, self._extend)
        return True

    def on_accepted(self) -> None:
        """Handles the owner's confirmation."""
        self._is_accepted = True

    def on_parts(self, message: scatter.ScatterParts) -> None:
        """Handles outcomes. Those of shards that are not open are ignored."""
        parts = [p for p in message.parts if p.shard in self.open_shards]
        self.open_shards.difference_update(part.shard for part in parts)
        if not self.open_shards:
            self._finish()
        now_s = time.monotonic()
        again = []
        for part in parts:
            sent_count = sum(
                a.outcome != messages.AttemptOutcome.UNREACHABLE
                for a in part.attempts
            )
            self._search.attempts_left.give_back(
                part.shard, self._allowed - sent_count
            )
            if part.is_refused:
                again.append(part.shard)
                continue
            self._is_accepted = True
            self._search.record_attempts(part, self._sent_s)
            if sent_count:
                self._search.attempts_left.may_have_run.add(part.shard)
                # This owner knows best which target has failed.
                self._search.allow_again(part.shard, self.owner)
            if part.signature:
                self._report_overhead(part, now_s)
                self._search.on_part(part)
            else:
                again.append(part.shard)
        if again:
            event = "refused" if message.reason else "shard_failed"
            self._network.on_event(self.owner, event, 0.0)
            self._search.ask_next(tuple(again))

    def on_lost(self) -> None:
        """Handles the loss of the link to the owner."""
        shards = self._give_up("lost")
        self.open_shards.clear()
        self._finish()
        self._search.ask_next(shards)

    def cancel(self, *, is_detached: bool) -> None:
        """Tells the owner to stop."""
        if self.open_shards:
            self._network.send(
                self.owner,
                scatter.CANCEL,
                scatter.ScatterCancel(self._query_id, is_detached),
            )
        self._finish()

    def _report_overhead(self, part: scatter.Part, now_s: float) -> None:
        elapsed_ms = max(
            (a.start_ms + a.elapsed_ms for a in part.attempts), default=0.0
        )
        overhead_s = now_s - self._sent_s - elapsed_ms / 1000
        self._network.on_event(self.owner, "part", overhead_s)
        for attempt in part.attempts:
            if attempt.outcome == messages.AttemptOutcome.ANSWERED:
                self._network.on_latency(
                    part.shard,
                    self._terms.route_name,
                    attempt.elapsed_ms / 1000,
                )

    def _call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(delay_s, call))

    def _on_accept_timeout(self) -> None:
        if self._is_accepted:
            return
        now_s = time.monotonic()
        if now_s - self._accept_by_s > TIMER_LATE_S:
            self._accept_by_s = now_s + TIMER_LATE_S
            self._call_later(TIMER_LATE_S, self._on_accept_timeout)
            return
        # Late parts of this owner are still used, so its shards stay open.
        self._search.ask_next(self._give_up("timed_out"))

    def _extend(self) -> None:
        if not self._is_accepted or self._is_given_up:
            return
        # From now on no attempt is left if the owner fails. All open shards
        # have the same number left, since they were asked for together.
        attempts_left = self._search.attempts_left
        added = min(map(attempts_left.left, self.open_shards), default=0)
        if added <= 0:
            return
        for shard in self.open_shards:
            attempts_left.take(shard, added)
        self._allowed += added
        self._network.send(
            self.owner,
            scatter.EXTEND,
            scatter.ScatterExtend(self._query_id, self._allowed),
        )

    def _give_up(self, event: str) -> tuple[str, ...]:
        """Stops relying on the owner; returns the shards to ask others for."""
        if self._is_given_up or not self.open_shards:
            return ()
        self._is_given_up = True
        self._network.on_event(self.owner, event, 0.0)
        self._search.attempts_left.may_have_run.update(self.open_shards)
        return tuple(sorted(self.open_shards))

    def _finish(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._timers.clear()
        self._network.unregister(self._query_id)


class RemoteSearch:
    """The shards of one search that other instances query.

    Attributes:
      terms: The request and its limits.
      network: How queries are sent.
      attempts_left: Number of targets that may still be used.
      records: Attempts of the owners by shard.
    """

    def __init__(
        self, terms: terms_lib.Terms, network: Network, sink: terms_lib.Sink
    ) -> None:
        self.terms = terms
        self.network = network
        self.attempts_left = terms_lib.Attempts(terms.attempts_max)
        self.records: dict[str, list[messages.AttemptRecord]] = {}
        self._sink = sink
        self._queries: list[Query] = []
        self._asked: dict[str, set[str]] = {}
        self._answered: set[str] = set()
        self._is_finished = False

    def open_shards(self) -> set[str]:
        """Returns the shards for which a part may still arrive."""
        found: set[str] = set()
        return found.union(*(query.open_shards for query in self._queries))

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have run the request."""
        return bool(self.attempts_left.may_have_run or self.open_shards())

    def ask_next(self, shards: tuple[str, ...]) -> None:
        """Asks the next owner for each shard, or the targets themselves.

        Args:
          shards: Shards that have not been asked for, or whose query failed.
        """
        if self._is_finished:
            return
        objective_s = self.terms.respond_by_s - time.monotonic()
        by_owner: dict[str, list[terms_lib.ShardQuery]] = {}
        for shard in shards:
            left = self.attempts_left.left(shard)
            if shard in self._answered or left <= 0:
                continue
            asked = self._asked.setdefault(shard, set())
            owner = self.network.choose(shard, objective_s, frozenset(asked))
            query = terms_lib.ShardQuery(
                shard,
                left,
                shard in self.attempts_left.may_have_run,
                frozenset(r.target_id for r in self.records.get(shard, ())),
            )
            if owner is None:
                self.attempts_left.take(shard, left)
                self._sink.query_here(query)
            else:
                asked.add(owner)
                by_owner.setdefault(owner, []).append(query)
        for owner, queries in by_owner.items():
            alike: dict[tuple[int, bool], list[terms_lib.ShardQuery]] = {}
            for query in queries:
                key = (query.attempts_max, query.is_repeat)
                alike.setdefault(key, []).append(query)
            for found in alike.values():
                self._ask(owner, found)
        self._sink.on_change()

    def allow_again(self, shard: str, owner: str) -> None:
        """Lets an owner be asked for a shard once more."""
        self._asked.get(shard, set()).discard(owner)

    def _ask(self, owner: str, found: list[terms_lib.ShardQuery]) -> None:
        query = Query(self, owner, found)
        if query.start():
            self._queries.append(query)
            return
        self.network.on_event(owner, "not_sent", 0.0)
        self.ask_next(tuple(query.open_shards))

    def on_part(self, part: scatter.Part) -> None:
        """Passes on the first part of a shard."""
        if part.shard not in self._answered and not self._is_finished:
            self._answered.add(part.shard)
            self._sink.on_part(part.shard, part.signature, part.records)

    def record_attempts(self, part: scatter.Part, start_s: float) -> None:
        """Keeps an owner's attempts for the log."""
        records = self.records.setdefault(part.shard, [])
        records.extend(_to_record(a, start_s) for a in part.attempts)

    def finish(self, *, is_detached: bool) -> None:
        """Ends all queries.

        Args:
          is_detached: Whether requests that were sent may complete for a short
            time.
        """
        if self._is_finished:
            return
        self._is_finished = True
        for query in self._queries:
            query.cancel(is_detached=is_detached)


def _to_record(
    attempt: scatter.Attempt, start_s: float
) -> messages.AttemptRecord:
    try:
        cause = messages.AttemptCause(attempt.cause)
        outcome = messages.AttemptOutcome(attempt.outcome)
    except ValueError:
        # Another release may know further values.
        cause = messages.AttemptCause.FIRST
        outcome = messages.AttemptOutcome.LOST
    return messages.AttemptRecord(
        attempt.target,
        cause,
        start_s + attempt.start_ms / 1000,
        attempt.elapsed_ms / 1000,
        outcome,
        attempt.is_sent,
        attempt.detail,
    )
