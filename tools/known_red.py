"""Checks whether all failed scenarios are listed in KNOWN-RED.txt."""

import pathlib
import re
import sys

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
_SCENARIO = re.compile(r"features/\S+\.feature:\d+")


def main(failed_path: str) -> int:
    """Prints the failed scenarios, each marked as known or new.

    Args:
      failed_path: File written by behave's rerun formatter, one failed
        scenario per line; may not exist if behave was aborted.

    Returns:
      0 if every failed scenario is listed, else 1.
    """
    known = set()
    if KNOWN_RED.exists():
        text = KNOWN_RED.read_text(encoding="utf-8")
        print(text)
        known = set(_SCENARIO.findall(text))
    path = pathlib.Path(failed_path)
    failed_text = path.read_text(encoding="utf-8") if path.exists() else ""
    failed = set(_SCENARIO.findall(failed_text))
    for scenario in sorted(failed):
        print(f"failed, {'known' if scenario in known else 'NEW'}: {scenario}")
    # A failed run that lists no scenario was aborted.
    return 0 if failed and failed <= known else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
