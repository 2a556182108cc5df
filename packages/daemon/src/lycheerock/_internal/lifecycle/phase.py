"""The phase of the process."""

import dataclasses
import enum


class Phase(enum.Enum):
    """How far the planned stop has come."""

    SERVING = enum.auto()
    # Readiness fails, requests are still admitted.
    NOTICE = enum.auto()
    # New requests are refused, those in flight finish.
    CLOSED = enum.auto()


@dataclasses.dataclass
class PhaseState:
    """The phase, which only the planned stop changes."""

    phase: Phase = Phase.SERVING
