"""Admission gate: blocks requests until the bundle in force is confirmed.

The gate is closed when the process starts and again after each freeze. A freeze
is a period in which the process does not run, for example between SIGSTOP and
SIGCONT; another bundle may have been accepted meanwhile.
"""

# A longer gap between two observations counts as a freeze.
FREEZE_THRESHOLD_S = 1.0
TICK_PERIOD_S = 0.2


class AdmissionGate:
    """Opens when a peer or the platform confirms that the bundle is accepted.

    Only a confirmation that was requested after the last freeze counts.

    After SIGCONT, a request may be read before any timer runs, so freezes are
    detected on each admission as well as on each tick.
    """

    def __init__(self, now_s: float):
        self._last_observed_s = now_s
        self._closed_at_s = now_s
        self._open = False

    def observe(self, now_s: float) -> bool:
        """Records that the process is running; closes the gate after a freeze.

        Args:
          now_s: Monotonic time.

        Returns:
          Whether the gate is open.
        """
        if now_s - self._last_observed_s > FREEZE_THRESHOLD_S:
            self._open = False
            self._closed_at_s = now_s
        self._last_observed_s = max(self._last_observed_s, now_s)
        return self._open

    def confirm(self, requested_s: float, now_s: float) -> bool:
        """Opens the gate if confirmation was requested after the last freeze.

        Args:
          requested_s: Monotonic time at which the confirmation was requested.
          now_s: Monotonic time.

        Returns:
          Whether the gate is open.
        """
        self.observe(now_s)
        if requested_s >= self._closed_at_s:
            self._open = True
        return self._open
