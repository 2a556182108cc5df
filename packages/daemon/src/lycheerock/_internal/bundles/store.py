"""Stores the bundle in force and decides whether requests are admitted."""

from collections.abc import Callable
import time

from lycheerock._internal.bundles import gate as gate_lib
from lycheerock._internal.bundles import instance_state
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions

RETRY_AFTER_MS = 500


class BundleStore:
    """Holds the bundle in force; its number never decreases.

    Attributes:
      gate: Admission gate; None if admission needs no confirmation.
      state: State of this instance during rollouts.
      in_force_since_s: Monotonic time at which the bundle came into force.
    """

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
        """Number of the bundle in force; 0 if there is none yet."""
        return self._bundle.number if self._bundle is not None else 0

    def now_s(self) -> float:
        """Returns the current time of the clock used for admission."""
        return self._clock()

    def subscribe(self, listener: Callable[[bundle_lib.Bundle], None]) -> None:
        """Registers a listener that is called with each bundle put in force."""
        self._listeners.append(listener)

    def put_in_force(self, bundle: bundle_lib.Bundle) -> bool:
        """Replaces the bundle in force by one with a higher number.

        Args:
          bundle: The accepted bundle.

        Returns:
          Whether the bundle was replaced; False if the number is not higher.
        """
        if not self.state.activate(bundle.number):
            return False
        self._bundle = bundle
        self.in_force_since_s = self._clock()
        for listener in self._listeners:
            listener(bundle)
        return True

    def admit(self) -> bundle_lib.Bundle:
        """Returns the bundle in force, under which a new request is served.

        Raises:
          NotAdmittingError: No bundle is in force, it is not confirmed, or a
            newer one may have been accepted.
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
        """Returns why no requests are admitted now, or empty."""
        now_s = self._clock()
        is_open = self.gate is None or self.gate.observe(now_s)
        if self._bundle is None:
            return "this instance has no settings bundle yet"
        if not is_open:
            return (
                f"bundle {self.number} has not been confirmed since this "
                "instance started or its process was frozen"
            )
        if not self.state.may_admit(now_s):
            return (
                f"a bundle newer than {self.number} may have been accepted, "
                "and neither its coordinator nor the platform replies"
            )
        return ""
