"""Messages of two-stage searches, which instances exchange over links.

The instance that received a search sends a `ScatterQuery` to the owner of a
group of shards. The owner confirms it with a `ScatterAccepted`, runs it, and
sends the replies in one or several `ScatterParts`. Shards that the owner does
not run are refused in a `ScatterParts` at once.
"""

import msgspec

QUERY = "scatter_query"
ACCEPTED = "scatter_accepted"
PARTS = "scatter_parts"
EXTEND = "scatter_extend"
CANCEL = "scatter_cancel"


class ScatterQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of a group to query some of its shards.

    Attributes:
      query_id: Number that identifies the query at its sender.
      sent_ms: Monotonic clock of the sender, to detect a late arrival.
      request_id: Id that the caller assigned to the request.
      method: HTTP method.
      path: Path and query of the caller's request.
      headers: Headers to forward to targets.
      body: Body of the caller's request.
      route: Name of the route, by which latencies are recorded.
      shards: Shards to query.
      allowed_regions: Regions whose targets may be used; empty if all may.
      configuration_version: Version of the configuration that listed the
        shards.
      attempts_max: Number of targets per shard that the owner may use until a
        `ScatterExtend` allows more.
      is_repeat: Whether other targets may already run the request, so that the
        retry budget applies to the first attempt.
      record_count_max: Number of records per shard that are of use.
      accept_within_ms: Time from `sent_ms` after which the sender uses other
        targets; a query that arrives later must not be run.
      objective_ms: Time from `sent_ms` until the parts are of little use.
      deadline_ms: Time from `sent_ms` until the search ends.
      hedge_ms: Hedge delay.
      early_hedge_ms: Hedge delay while the retry budget is nearly full.
      tried: Targets to which the request was sent before, which are not used.
      workspace: Name of the caller's workspace, or an empty string.
    """

    query_id: int
    sent_ms: float
    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: str
    shards: tuple[str, ...]
    allowed_regions: tuple[str, ...]
    configuration_version: int
    attempts_max: int
    is_repeat: bool
    record_count_max: int
    accept_within_ms: float
    objective_ms: float
    deadline_ms: float
    hedge_ms: float
    early_hedge_ms: float
    tried: tuple[str, ...] = ()
    workspace: str = ""


class ScatterAccepted(msgspec.Struct, frozen=True, array_like=True):
    """The owner runs the shards that it has not refused."""

    query_id: int


class Attempt(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of the owner, for the log of the sender.

    Attributes:
      target: Id of the target.
      cause: Value of `AttemptCause`.
      outcome: Value of `AttemptOutcome`.
      start_ms: Time from the start of the query.
      elapsed_ms: Duration.
      is_sent: Whether any byte of the request may have been sent.
      detail: Details of a failure.
    """

    target: str
    cause: str
    outcome: str
    start_ms: float
    elapsed_ms: float
    is_sent: bool
    detail: str = ""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one shard.

    Attributes:
      shard: The shard.
      signature: Signature of the target's response, or an empty string if the
        shard has failed or is refused.
      records: The greatest records of the response.
      is_refused: Whether the owner did not query the shard at all.
      attempts: The owner's attempts.
    """

    shard: str
    signature: str
    records: bytes
    is_refused: bool = False
    attempts: tuple[Attempt, ...] = ()


class ScatterParts(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of some shards of a query.

    Attributes:
      query_id: Number of the query.
      parts: The outcomes.
      reason: Reason for refusals, or an empty string.
    """

    query_id: int
    parts: tuple[Part, ...]
    reason: str = ""


class ScatterExtend(msgspec.Struct, frozen=True, array_like=True):
    """Allows the owner more attempts for the shards that are unanswered."""

    query_id: int
    attempts_max: int


class ScatterCancel(msgspec.Struct, frozen=True, array_like=True):
    """Ends a query.

    Attributes:
      query_id: Number of the query.
      is_detached: Whether requests that were sent may complete for a short
        time, so that their latencies are recorded.
    """

    query_id: int
    is_detached: bool
