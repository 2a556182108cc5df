"""Tests of the daemon's logging."""

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
from lycheerock._internal.lifecycle import request_log
from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock_model import answers

SECRET = 'opera"tor-töken-for-tests'


@pytest.fixture
def stream(monkeypatch: pytest.MonkeyPatch) -> Iterator[io.StringIO]:
    buffer = io.StringIO()
    root = logging.getLogger()
    saved_state = (root.handlers, root.level, sys.excepthook)
    monkeypatch.setattr(sys, "stderr", buffer)
    logs.configure("info", "i0", "montreal-a", [SECRET])
    yield buffer
    logging.captureWarnings(False)
    root.handlers, sys.excepthook = saved_state[0], saved_state[2]
    root.setLevel(saved_state[1])
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


def parse_lines(stream: io.StringIO) -> list[dict[str, Any]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


class TestLogs:
    """Log lines are JSON, state their origin and contain no secrets."""

    def test_context_and_origin_are_in_each_line(
        self, stream: io.StringIO
    ) -> None:
        # Guards against lines that cannot be matched to a caller's request.
        structlog.contextvars.bind_contextvars(
            request_id="i0.1.1", caller="web", service="portal"
        )
        structlog.get_logger().info("refused")
        line = parse_lines(stream)[0]
        assert line["request_id"] == "i0.1.1"
        assert (line["caller"], line["service"]) == ("web", "portal")
        assert (line["instance"], line["zone"]) == ("i0", "montreal-a")

    def test_lines_of_libraries_are_json(self, stream: io.StringIO) -> None:
        # Guards against plain text from libraries between the JSON lines.
        logging.getLogger("aiohttp.server").error("two\nlines")
        warnings.warn("a warning", stacklevel=1)
        try:
            raise ValueError("wrong")
        except ValueError as error:
            logging.getLogger("asyncio").exception("failed")
            sys.excepthook(type(error), error, error.__traceback__)
        log_lines = parse_lines(stream)
        assert [line["level"] for line in log_lines] == [
            "error",
            "warning",
            "error",
            "error",
        ]
        assert "ValueError: wrong" in log_lines[2]["exception"]
        assert "ValueError: wrong" in log_lines[3]["exception"]

    def test_secrets_are_removed(self, stream: io.StringIO) -> None:
        # Guards against tokens in logs, including in exceptions and headers.
        log = structlog.get_logger()
        log.info("a", token=SECRET, headers={"x": [f"Bearer {SECRET}"]})
        log.info("b", line="authorization: bearer caller-token-1234")
        logging.getLogger("x").error("header %s", "Bearer other-token-9")
        try:
            raise ValueError(SECRET)
        except ValueError:
            log.exception("c")
        assert len(parse_lines(stream)) == 4
        for secret in (SECRET, "ken-for-tests", "token-1234", "token-9"):
            assert secret not in stream.getvalue()

    def test_level_changes_at_run_time(self, stream: io.StringIO) -> None:
        # Guards against loggers that keep the level they were created with.
        log = structlog.get_logger()
        log.debug("a")
        logs.set_level("debug")
        log.debug("b")
        logs.set_level("error")
        log.info("c")
        logging.getLogger("x").warning("d")
        assert [line["event"] for line in parse_lines(stream)] == ["b"]
        assert logs.get_level() == "error"


class TestRequestLines:
    """Each caller request logs one line at a level that fits its answer."""

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
        # Guards against refusals that are not logged at the default level, and
        # against successful requests that are.
        metrics = metrics_lib.RequestMetrics()
        body = answers.ErrorBody(error, "p", "r") if error else None
        answer = answers.Answer(
            answers.Outcome(outcome), "i0.1.1", 1, error=body
        )
        logs.set_level("debug")
        request_log.create_observer(metrics)(answer, 0.0125)
        line = parse_lines(stream)[0]
        assert (line["level"], line["elapsed_ms"]) == (level, 12.5)
        assert metrics.refusals == ({error: 1} if error else {})
