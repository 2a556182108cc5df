"""What a run of the soak has seen."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request of a caller and how it ended.

    Attributes:
      request_id: Id of the request.
      route: "search", "safe" or "unsafe".
      gateway: Number of the instance that it was sent to.
      sent_s: Monotonic time at which it was sent.
      ended_s: Monotonic time of its end.
      status: HTTP status, or 0 if the connection ended without an answer.
      signatures: Signatures of the answer.
      missing_count: Shards that the answer says it lacks.
      body: Body of the answer.
    """

    request_id: str
    route: str
    gateway: int
    sent_s: float
    ended_s: float
    status: int
    signatures: tuple[str, ...] = ()
    missing_count: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Version:
    """A configuration.

    Attributes:
      desk: Service of the forwarded routes.
      shards: Services of the search.
      confirmed_s: Monotonic time at which the store had it.
    """

    desk: str
    shards: tuple[str, ...]
    confirmed_s: float


@dataclasses.dataclass
class Disturbance:
    """A fault and what it concerns.

    Attributes:
      kind: Name of the fault.
      scope: "store", "targets", or "gateway N".
      start_s: Monotonic time of its start.
      end_s: Monotonic time of its end; infinite while it lasts.
    """

    kind: str
    scope: str
    start_s: float
    end_s: float = float("inf")


# Time after a fault in which bounds in time do not hold yet.
STABLE_S = 5.0


class Journal:
    """All records of a run."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.versions: list[Version] = []
        self.disturbances: list[Disturbance] = []
        # Time at which the store had the announcement, by target.
        self.leaving_s: dict[str, float] = {}

    def is_calm(self, scopes: set[str], start_s: float, end_s: float) -> bool:
        """Whether no fault touched any of `scopes` in a time, nor just before.

        Args:
          scopes: What must have been left alone.
          start_s: Start of the time.
          end_s: End of the time.
        """
        return not any(
            d.scope in scopes
            and d.start_s <= end_s
            and d.end_s >= start_s - STABLE_S
            for d in self.disturbances
        )
