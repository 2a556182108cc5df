"""The bundle in force on this instance."""

from collections.abc import Callable

from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions


class BundleStore:
    """Holds the bundle in force; its number never falls."""

    def __init__(self) -> None:
        self._bundle: bundle_lib.Bundle | None = None
        self._listeners: list[Callable[[bundle_lib.Bundle], None]] = []

    @property
    def number(self) -> int:
        """Number of the bundle in force, 0 before the first."""
        return self._bundle.number if self._bundle is not None else 0

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
        if self._bundle is not None and bundle.number <= self._bundle.number:
            return False
        self._bundle = bundle
        for listener in self._listeners:
            listener(bundle)
        return True

    def admit(self) -> bundle_lib.Bundle:
        """Returns the bundle under which a new request is served.

        Returns:
          The bundle in force.

        Raises:
          NotAdmittingError: There is no bundle yet.
        """
        if self._bundle is None:
            raise exceptions.NotAdmittingError(
                "this instance has no settings bundle yet",
                "send the request to another instance",
                retry_after_ms=500,
            )
        return self._bundle
