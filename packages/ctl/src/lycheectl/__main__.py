"""Command layer of lycheectl."""

import pathlib
import sys

import defopt

from lycheerock_model import bundle_check
from lycheerock_model import exceptions


def check(bundle: pathlib.Path) -> int:
    """Checks a bundle offline and reports every fault.

    Args:
      bundle: Bundle file, JSON.

    Returns:
      Exit code.
    """
    try:
        bundle_check.load(bundle.read_bytes())
    except exceptions.DocumentError as error:
        for fault in error.faults:
            print(f"{fault.path}: {fault.problem}; {fault.remedy}")
        return 1
    print(f"{bundle}: no faults")
    return 0


def main() -> None:
    """Entry point of the `lycheectl` binary."""
    sys.exit(defopt.run([check], cli_options="has_default", short={}))


if __name__ == "__main__":
    main()
