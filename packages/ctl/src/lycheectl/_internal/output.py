"""Exit codes, and output of command results as text or JSON."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import sys
from typing import Any
from typing import TextIO

import msgspec

from lycheerock_model import answers
from lycheerock_model import exceptions

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2

_COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a command.

    Attributes:
      value: Result as a JSON value, printed with --json.
      lines: Result as text, printed without --json.
      errors: Errors by source, such as an instance id or a command.
      exit_code: Exit code of the command.
    """

    value: Any
    lines: Sequence[str] = ()
    errors: Mapping[str, answers.ErrorBody] = dataclasses.field(
        default_factory=dict
    )
    exit_code: int = EXIT_SUCCESS


def show(
    report: Report,
    *,
    as_json: bool,
    out: TextIO | None = None,
    err: TextIO | None = None,
) -> int:
    """Prints a report.

    Args:
      report: Result and errors to print.
      as_json: Whether to print the result and the errors to `out` as one JSON
        document.
      out: Stream for results; standard output by default.
      err: Stream for errors in text output; standard error by default.

    Returns:
      The exit code.
    """
    out = out or sys.stdout
    err = err or sys.stderr
    if as_json:
        document = {"result": report.value, "errors": report.errors}
        text = msgspec.json.format(msgspec.json.encode(document), indent=2)
        print(text.decode(), file=out)
        return report.exit_code
    for line in report.lines:
        print(line, file=out)
    for source, error in report.errors.items():
        print(error_line(source, error), file=err)
    return report.exit_code


def failed(source: str, error: answers.ErrorBody) -> Report:
    """Returns the report of a command that failed with one error."""
    return Report(None, (), {source: error}, EXIT_FAILURE)


def error_line(source: str, error: answers.ErrorBody) -> str:
    """Formats an error as one line: source, kind, message and remedy."""
    wait = ""
    if error.retry_after_ms:
        wait = f" (retry after {error.retry_after_ms} ms)"
    return f"{source}: {error.kind}: {error.message}; {error.remedy}{wait}"


def fault_lines(faults: Iterable[exceptions.Fault]) -> list[str]:
    """Formats the faults of a document, one line each."""
    return [f"{f.path}: {f.problem}; {f.remedy}" for f in faults]


def table(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Formats rows as aligned columns; columns of numbers are right-aligned.

    Args:
      headers: Column headers.
      rows: Cell values by row. None is shown as a dash, a bool as yes or no,
        and a float with one decimal place.

    Returns:
      The header line, then one line per row.
    """
    body = list(rows)
    texts = [[_cell(value) for value in row] for row in body]
    columns = range(len(headers))
    widths = [
        max(len(headers[c]), *(len(row[c]) for row in texts), 0)
        for c in columns
    ]
    numeric = [
        bool(body) and all(_is_number(row[c]) for row in body) for c in columns
    ]
    lines = []
    for row in (list(headers), *texts):
        cells = [
            row[c].rjust(widths[c]) if numeric[c] else row[c].ljust(widths[c])
            for c in columns
        ]
        lines.append(_COLUMN_GAP.join(cells).rstrip())
    return lines


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def _is_number(value: object) -> bool:
    return value is None or (
        isinstance(value, int | float) and not isinstance(value, bool)
    )
