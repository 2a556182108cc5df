"""Checks whether all failed scenarios are listed in KNOWN-RED.txt."""

import pathlib
import re
import sys

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
_SCENARIO = re.compile(r"features/\S+\.feature:\d+")


def main(failed_path: str) -> int:
    """Prints the known and new failures.

    Args:
      failed_path: Output of behave's rerun formatter, one failure per line.

    Returns:
      0 if every failed scenario is listed, else 1.
    """
    known = set()
    if KNOWN_RED.exists():
        text = KNOWN_RED.read_text(encoding="utf-8")
        print(text)
        known = set(_SCENARIO.findall(text))
    path = pathlib.Path(failed_path)
    lines = path.read_text(encoding="utf-8") if path.exists() else ""
    failed = set(_SCENARIO.findall(lines))
    for scenario in sorted(failed):
        print(f"failed, {'known' if scenario in known else 'NEW'}: {scenario}")
    # A failed run that lists no scenario was aborted.
    return 0 if failed and failed <= known else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
