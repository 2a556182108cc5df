"""The bundle in force on this instance and the right to admit requests."""

from collections.abc import Callable
import time

from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import instance_state
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

RETRY_AFTER_MS = 500


class BundleStore:
    """Holds the bundle in force; its number never falls."""

    def __init__(
        self,
        gate: gate_lib.AdmissionGate | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.gate = gate
        self.state = instance_state.InstanceState()
        self.in_force_since_s = 0.0
        self._clock = clock
        self._bundle: bundle_lib.Bundle | None = None
        self._listeners: list[Callable[[bundle_lib.Bundle], None]] = []

    @property
    def number(self) -> int:
        """Number of the bundle in force, 0 before the first."""
        return self._bundle.number if self._bundle is not None else 0

    def now_s(self) -> float:
        """Returns the monotonic time that admission uses."""
        return self._clock()

    def subscribe(self, listener: Callable[[bundle_lib.Bundle], None]) -> None:
        """Calls `listener` with each bundle that comes into force."""
        self._listeners.append(listener)

    def put_in_force(self, bundle: bundle_lib.Bundle) -> bool:
        """Replaces the bundle by one with a higher number.

        Args:
          bundle: The accepted bundle.

        Returns:
          False if its number is not higher; nothing changes then.
        """
        if not self.state.activate(bundle.number):
            return False
        self._bundle = bundle
        self.in_force_since_s = self._clock()
        for listener in self._listeners:
            listener(bundle)
        return True

    def admit(self) -> bundle_lib.Bundle:
        """Returns the bundle under which a new request is served.

        Returns:
          The bundle in force.

        Raises:
          NotAdmittingError: There is no bundle yet, or it is not confirmed.
        """
        problem = self.problem()
        if self._bundle is None or problem:
            raise exceptions.NotAdmittingError(
                problem,
                "send the request to another instance",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return self._bundle

    def problem(self) -> str:
        """Returns why no request is admitted now, or empty."""
        now_s = self._clock()
        is_open = self.gate is None or self.gate.observe(now_s)
        if self._bundle is None:
            return "this instance has no settings bundle yet"
        if not is_open:
            return (
                f"bundle {self.number} is not confirmed since this instance "
                "started or stood still"
            )
        if not self.state.may_admit(now_s):
            return (
                f"a bundle after {self.number} may be accepted, and neither "
                "its coordinator nor the platform answers"
            )
        return ""
