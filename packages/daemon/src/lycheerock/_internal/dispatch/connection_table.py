"""Which lane sends a request and which lanes are silent."""

from collections.abc import Iterator
import dataclasses
import enum


class LaneState(enum.Enum):
    """What a lane does; each state counts as one open connection."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSING = "closing"


class Verdict(enum.Enum):
    """Why the request of a lane is given up."""

    DEADLINE = "deadline passed"
    SILENT = "silent connection"


@dataclasses.dataclass(frozen=True)
class LaneRules:
    """Times that decide on lanes.

    Attributes:
      silent_after_ms: Time without progress after which a lane is silent if the
        target answers on other lanes.
      progress_limit_ms: Time without progress after which a lane is silent in
        any case.
      proven_for_ms: Time after an answer in which a lane may take a booking.
    """

    silent_after_ms: int = 300
    progress_limit_ms: int = 10_000
    proven_for_ms: int = 500


@dataclasses.dataclass(eq=False)
class LaneRecord:
    """State of one lane.

    Attributes:
      lane_id: Number of the lane.
      state: What it does.
      idempotent: Whether its request may be sent again.
      deadline_s: Deadline of its request, monotonic time.
      started_s: When it took its request.
      quiet_s: Running time of this process since the last progress.
      is_new: Whether its request is the first of the connection.
      is_alone: Whether no other lane has answered since the last progress.
      last_answer_s: When its last reply was complete.
    """

    lane_id: int
    state: LaneState = LaneState.BUSY
    idempotent: bool = True
    deadline_s: float = 0.0
    started_s: float = 0.0
    quiet_s: float = 0.0
    is_new: bool = True
    is_alone: bool = True
    last_answer_s: float = float("-inf")


class LaneTable:
    """All lanes of this instance to one target."""

    def __init__(self, rules: LaneRules):
        self._rules = rules
        self._lanes: dict[int, LaneRecord] = {}
        self._next_id = 1

    def __len__(self) -> int:
        return len(self._lanes)

    def count(self, state: LaneState) -> int:
        """Returns the number of lanes in a state."""
        return sum(lane.state == state for lane in self._lanes.values())

    def choose(self, answered_since_s: float, share: int) -> int | None:
        """Chooses the lane of the next request.

        Args:
          answered_since_s: An open lane is used only if it has answered since.
          share: Connections that may be open.

        Returns:
          An idle lane, a new number if a connection is to be opened, or None if
          the request must wait for a connection to close.
        """
        idle = self._idle()
        if idle:
            best = max(idle, key=lambda lane: lane.last_answer_s)
            if best.last_answer_s >= answered_since_s:
                return best.lane_id
        if len(self._lanes) < share:
            self._next_id += 1
            return self._next_id - 1
        return None

    def proven_since_s(self, now_s: float) -> float:
        """Returns since when a lane for a booking must have answered."""
        return now_s - self._rules.proven_for_ms / 1000

    def oldest_idle(self) -> int | None:
        """Returns the idle lane that has not answered for the longest time."""
        idle = self._idle()
        if not idle:
            return None
        return min(idle, key=lambda lane: lane.last_answer_s).lane_id

    def _idle(self) -> list[LaneRecord]:
        lanes = self._lanes.values()
        return [lane for lane in lanes if lane.state == LaneState.IDLE]

    def _busy(self) -> list[LaneRecord]:
        lanes = self._lanes.values()
        return [lane for lane in lanes if lane.state == LaneState.BUSY]

    def begin(
        self, lane_id: int, *, idempotent: bool, deadline_s: float, now_s: float
    ) -> bool:
        """Gives a request to a lane.

        Returns:
          Whether the lane is new.
        """
        is_new = lane_id not in self._lanes
        lane = self._lanes.setdefault(lane_id, LaneRecord(lane_id))
        lane.state = LaneState.BUSY
        lane.idempotent = idempotent
        lane.deadline_s = deadline_s
        lane.started_s = now_s
        lane.quiet_s = 0.0
        lane.is_new = is_new
        lane.is_alone = True
        return is_new

    def progress(self, lane_id: int) -> None:
        """Takes note that bytes arrived on a lane."""
        lane = self._lanes.get(lane_id)
        if lane is not None:
            lane.quiet_s = 0.0
            lane.is_alone = True

    def answered(self, lane_id: int, now_s: float) -> None:
        """Takes note of a complete reply; the lane becomes idle."""
        lane = self._lanes.get(lane_id)
        if lane is None or lane.state != LaneState.BUSY:
            return
        lane.state = LaneState.IDLE
        lane.last_answer_s = now_s
        for other in self._busy():
            other.is_alone = False

    def close(self, lane_id: int) -> None:
        """Marks a lane whose connection is being closed."""
        self._lanes[lane_id].state = LaneState.CLOSING

    def closed(self, lane_id: int) -> None:
        """Forgets a lane whose connection is closed."""
        self._lanes.pop(lane_id, None)

    def unverified(self, lane_id: int) -> list[int]:
        """Returns idle lanes without an answer since that lane's request.

        When a lane turned out silent, these may have gone silent with it.
        """
        since_s = self._lanes[lane_id].started_s
        idle = self._idle()
        return [lane.lane_id for lane in idle if lane.last_answer_s < since_s]

    def excess(self, share: int) -> list[int]:
        """Returns idle lanes to close because the share has fallen."""
        idle = sorted(self._idle(), key=lambda lane: lane.last_answer_s)
        count = len(self._lanes) - self.count(LaneState.CLOSING) - share
        return [lane.lane_id for lane in idle[: max(0, count)]]

    def idle_since(self, before_s: float) -> list[int]:
        """Returns idle lanes without an answer since `before_s`."""
        idle = self._idle()
        return [lane.lane_id for lane in idle if lane.last_answer_s < before_s]

    def tick(
        self, elapsed_s: float, now_s: float, service_time_s: float
    ) -> Iterator[tuple[int, Verdict]]:
        """Finds the lanes whose requests are to be given up.

        Args:
          elapsed_s: Running time of this process since the last call. Time in
            which the process was frozen does not count, because replies that
            arrived meanwhile have not been read.
          now_s: Monotonic time.
          service_time_s: Usual time of a request; see `silent_after_s`.

        Yields:
          Lane and reason.
        """
        busy = self._busy()
        silent_after_s = self.silent_after_s(service_time_s)
        for lane in busy:
            lane.quiet_s += elapsed_s
        # With every busy lane quiet no other lane can prove that the target
        # answers, so that one of them is given up for a new connection. A
        # request on a new connection stays: the target itself is slow.
        is_stalled = all(lane.quiet_s >= silent_after_s for lane in busy)
        for lane in sorted(busy, key=lambda lane: -lane.quiet_s):
            is_suspect = lane.idempotent and lane.quiet_s >= silent_after_s
            if lane.idempotent and now_s >= lane.deadline_s:
                yield lane.lane_id, Verdict.DEADLINE
            elif self._exceeds_limit(lane, now_s) or (
                is_suspect
                and (not lane.is_alone or (is_stalled and not lane.is_new))
            ):
                is_stalled = False
                yield lane.lane_id, Verdict.SILENT

    def silent_after_s(self, service_time_s: float) -> float:
        """Returns the time without progress after which a lane is suspect.

        A straggling request takes about twenty times the usual time; it must
        not be taken for a silent connection.
        """
        return max(self._rules.silent_after_ms / 1000, 25.0 * service_time_s)

    def _exceeds_limit(self, lane: LaneRecord, now_s: float) -> bool:
        # A booking cannot be sent again, so that giving it up before its
        # deadline would gain nothing.
        if not lane.idempotent and now_s < lane.deadline_s:
            return False
        return lane.quiet_s >= self._rules.progress_limit_ms / 1000
