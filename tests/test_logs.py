"""Tests of the log of the daemon."""

from collections.abc import Iterator
import io
import json
import logging
import sys
from typing import Any
import warnings

import pytest
import structlog

from lycheerock._internal.lifecycle import logs
from lycheerock._internal.lifecycle import request_ends
from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock_model import answers

SECRET = 'opera"tor-töken-for-tests'


@pytest.fixture
def stream(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.StringIO]:
    text = io.StringIO()
    root = logging.getLogger()
    before = (root.handlers, root.level, sys.excepthook)
    monkeypatch.setattr(sys, "stderr", text)
    logs.configure("info", "i0", "montreal-a", [SECRET])
    yield text
    logging.captureWarnings(False)
    root.handlers, sys.excepthook = before[0], before[2]
    root.setLevel(before[1])
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


def lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLogs:
    """Lines are JSON, name their origin and hold no secrets."""

    def test_context_and_origin_are_in_each_line(
        self, stream: io.StringIO
    ) -> None:
        # Guards against lines that cannot be joined to a caller's request.
        structlog.contextvars.bind_contextvars(
            request_id="i0.1.1", caller="web", service="portal"
        )
        structlog.get_logger().info("refused")
        line = lines(stream)[0]
        assert line["request_id"] == "i0.1.1"
        assert (line["caller"], line["service"]) == ("web", "portal")
        assert (line["instance"], line["zone"]) == ("i0", "montreal-a")

    def test_lines_of_libraries_are_json(self, stream: io.StringIO) -> None:
        # Guards against plain text of libraries between the JSON lines.
        logging.getLogger("aiohttp.server").error("two\nlines")
        warnings.warn("a warning", stacklevel=1)
        try:
            raise ValueError("wrong")
        except ValueError as error:
            logging.getLogger("asyncio").exception("failed")
            sys.excepthook(type(error), error, error.__traceback__)
        found = lines(stream)
        assert [line["level"] for line in found] == [
            "error",
            "warning",
            "error",
            "error",
        ]
        assert "ValueError: wrong" in found[2]["exception"]
        assert "ValueError: wrong" in found[3]["exception"]

    def test_secrets_are_removed(self, stream: io.StringIO) -> None:
        # Guards against tokens in logs, also inside exceptions and headers.
        log = structlog.get_logger()
        log.info("a", token=SECRET, headers={"x": [f"Bearer {SECRET}"]})
        log.info("b", line="authorization: bearer caller-token-1234")
        logging.getLogger("x").error("header %s", "Bearer other-token-9")
        try:
            raise ValueError(SECRET)
        except ValueError:
            log.exception("c")
        assert len(lines(stream)) == 4
        for secret in (SECRET, "ken-for-tests", "token-1234", "token-9"):
            assert secret not in stream.getvalue()

    def test_level_changes_at_run_time(self, stream: io.StringIO) -> None:
        # Guards against loggers that keep the level they were made with.
        log = structlog.get_logger()
        log.debug("a")
        logs.set_level("debug")
        log.debug("b")
        logs.set_level("error")
        log.info("c")
        logging.getLogger("x").warning("d")
        assert [line["event"] for line in lines(stream)] == ["b"]
        assert logs.get_level() == "error"


class TestRequestLines:
    """One line per caller request."""

    @pytest.mark.parametrize(
        ("outcome", "error", "level"),
        [
            ("done", None, "debug"),
            ("done", "coverage", "info"),
            ("not_run", "overloaded", "info"),
            ("unknown", None, "info"),
        ],
    )
    def test_level_follows_the_answer(
        self, stream: io.StringIO, outcome: str, error: str | None, level: str
    ) -> None:
        # Guards against refusals that do not show at the usual level, and
        # against a line per served request at that level.
        metrics = metrics_lib.RequestMetrics()
        body = answers.ErrorBody(error, "p", "r") if error else None
        answer = answers.Answer(
            answers.Outcome(outcome), "i0.1.1", 1, error=body
        )
        logs.set_level("debug")
        request_ends.observer(metrics)(answer, 0.0125)
        line = lines(stream)[0]
        assert (line["level"], line["elapsed_ms"]) == (level, 12.5)
        assert metrics.refusals == ({error: 1} if error else {})
