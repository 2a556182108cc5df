"""Closes admission after a start or a freeze until the bundle is confirmed."""

FREEZE_LIMIT_S = 1.0
TICK_PERIOD_S = 0.2


class AdmissionGate:
    """Needs a confirmation that was asked for after the last gap.

    After SIGCONT a request may be read before any timer runs, so the gap is
    checked on each admission as well as on each tick.
    """

    def __init__(self, now_s: float):
        self._seen_s = now_s
        self._closed_s = now_s
        self._open = False

    def observe(self, now_s: float) -> bool:
        """Notes that the process runs at `now_s`.

        Returns:
          Whether the gate is open.
        """
        if now_s - self._seen_s > FREEZE_LIMIT_S:
            self._open = False
            self._closed_s = now_s
        self._seen_s = max(self._seen_s, now_s)
        return self._open

    def confirm(self, asked_s: float, now_s: float) -> bool:
        """Opens the gate.

        Args:
          asked_s: When the peer or the platform was asked.
          now_s: Monotonic time.

        Returns:
          Whether the gate is open; an answer to a question from before a freeze
          does not open it.
        """
        self.observe(now_s)
        if asked_s >= self._closed_s:
            self._open = True
        return self._open
