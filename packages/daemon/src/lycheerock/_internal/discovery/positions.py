"""Positions in the history of the store.

The store counts its changes with one revision. After it has returned from a
copy, revisions go back and are given out again for other changes; its era then
rises by one. Revisions of different eras say nothing about each other.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Position:
    """State of the store that a list, a watch or a message reflects.

    Attributes:
      era: Era of the store; None if it is unknown, because the store or an
        earlier release of the sender does not state it.
      revision: Revision of the store within the era.
    """

    era: int | None
    revision: int


def is_other_era(era: int | None, known_era: int | None) -> bool:
    """Returns whether two eras differ; an unknown one counts as the same."""
    return None not in (era, known_era) and era != known_era


def is_older_era(era: int | None, known_era: int | None) -> bool:
    """Returns whether an era ended before another one began."""
    return era is not None and known_era is not None and era < known_era


def is_older(position: Position, known: Position) -> bool:
    """Returns whether a position precedes another one.

    The revisions decide if an era is unknown.
    """
    if is_other_era(position.era, known.era):
        return is_older_era(position.era, known.era)
    return position.revision < known.revision


def later_era(era: int | None, other: int | None) -> int | None:
    """Returns the later of two eras, or the one that is known."""
    if era is None or other is None:
        return other if era is None else era
    return max(era, other)
