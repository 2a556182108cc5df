"""Phases of the graceful shutdown."""

import dataclasses
import enum


class Phase(enum.Enum):
    """Progress of the graceful shutdown."""

    SERVING = enum.auto()
    # The readiness check fails, so that load balancers choose other instances;
    # new requests are still admitted.
    NOTICE = enum.auto()
    # New requests are refused; those in flight run to completion.
    CLOSED = enum.auto()


@dataclasses.dataclass
class PhaseState:
    """Current phase, which only the graceful shutdown changes."""

    phase: Phase = Phase.SERVING
