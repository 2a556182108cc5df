"""Replaces a directory with another one in one step.

Usage: exchange.py NEW CURRENT. Afterwards CURRENT has the content of NEW, and
NEW has the previous content of CURRENT, if there was any.
"""

import ctypes
import os
import sys

_AT_FDCWD = -100
_RENAME_EXCHANGE = 2


def exchange(new: str, current: str) -> None:
    """Exchanges two directories; neither name is missing at any time."""
    library = ctypes.CDLL(None, use_errno=True)
    status = library.renameat2(
        _AT_FDCWD,
        os.fsencode(new),
        _AT_FDCWD,
        os.fsencode(current),
        _RENAME_EXCHANGE,
    )
    if status != 0:
        number = ctypes.get_errno()
        raise OSError(number, os.strerror(number), current)


def main() -> None:
    """Runs the command."""
    new, current = sys.argv[1:]
    if not os.path.lexists(current):
        os.rename(new, current)
        return
    try:
        exchange(new, current)
    except (AttributeError, OSError) as error:
        # Not every C library and file system can exchange two names. The name
        # is missing between the two renames.
        sys.stderr.write(f"replacing {current} in two steps: {error}\n")
        os.rename(current, new + ".old")
        os.rename(new, current)
        os.rename(new + ".old", new)


if __name__ == "__main__":
    main()
