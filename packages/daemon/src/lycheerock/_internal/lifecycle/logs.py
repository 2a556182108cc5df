"""JSON Lines logging with a level that can be changed at run time."""

from collections.abc import Iterable
import json
import logging
import re
import sys
import types
from typing import TextIO

import structlog

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

REDACTED = "[redacted]"
_BEARER = re.compile(r"(?i)bearer\s+[^\s\"'\\]+")


def configure(
    level: str,
    instance_id: str,
    zone: str,
    secrets: Iterable[str] = (),
    stream: TextIO | None = None,
) -> None:
    """Configures logging for the process.

    Log messages of libraries, Python warnings and uncaught exceptions are
    written in the same format, so that the stream holds only JSON lines.

    Args:
      level: Least severe level that is logged.
      instance_id: Instance id to add to each line.
      zone: Availability zone to add to each line.
      secrets: Texts to redact in each line.
      stream: Stream to write to; standard error if None.
    """
    stream = stream or sys.stderr
    shared_processors: list[structlog.types.Processor] = [
        structlog.contextvars.merge_contextvars,
        _add_origin(instance_id, zone),
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
    ]
    render_processors: list[structlog.types.Processor] = [
        structlog.processors.JSONRenderer(),
        _redact(secrets),
    ]
    structlog.configure(
        processors=[*shared_processors, *render_processors],
        logger_factory=structlog.PrintLoggerFactory(stream),
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        cache_logger_on_first_use=False,
    )
    _configure_libraries(level, shared_processors, render_processors, stream)
    sys.excepthook = _log_uncaught


def _configure_libraries(
    level: str,
    shared_processors: list[structlog.types.Processor],
    render_processors: list[structlog.types.Processor],
    stream: TextIO,
) -> None:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[
                structlog.stdlib.add_logger_name,
                *shared_processors,
            ],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                *render_processors,
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(_LEVELS[level])
    # The access log has less detail than the project's own request lines.
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.captureWarnings(True)


def set_level(level: str) -> None:
    """Sets the least severe level that is logged.

    Args:
      level: One of debug, info, warning, error.
    """
    structlog.configure(
        **(
            structlog.get_config()
            | {
                "wrapper_class": structlog.make_filtering_bound_logger(
                    _LEVELS[level]
                )
            }
        )
    )
    logging.getLogger().setLevel(_LEVELS[level])


def get_level() -> str:
    """Returns the least severe level that is logged."""
    current = logging.getLogger().level
    return next(name for name, value in _LEVELS.items() if value == current)


def _add_origin(instance_id: str, zone: str) -> structlog.types.Processor:
    def add(
        _logger: object, _name: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        event["instance"] = instance_id
        event["zone"] = zone
        return event

    return add


def _redact(secrets: Iterable[str]) -> structlog.types.Processor:
    """Creates a processor that redacts secrets anywhere in a rendered line."""
    escaped_secrets = [json.dumps(secret)[1:-1] for secret in secrets]

    def redact(_logger: object, _name: str, line: str) -> str:
        for escaped in escaped_secrets:
            line = line.replace(escaped, REDACTED)
        return _BEARER.sub(f"Bearer {REDACTED}", line)

    return redact  # type: ignore[return-value]


def _log_uncaught(
    error_type: type[BaseException],
    error: BaseException,
    traceback: types.TracebackType | None,
) -> None:
    structlog.get_logger().error(
        "uncaught", exc_info=(error_type, error, traceback)
    )
