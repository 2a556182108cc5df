"""JSON-lines logs with a level that can be changed at run time."""

import logging

import structlog

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def configure(level: str, instance_id: str, zone: str) -> None:
    """Sets up the log of the process.

    Args:
      level: Least severe level that is logged.
      instance_id: Instance named in each line.
      zone: Availability zone named in each line.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _add_origin(instance_id, zone),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        cache_logger_on_first_use=False,
    )


def _add_origin(instance_id: str, zone: str) -> structlog.types.Processor:
    def add(
        _logger: object, _name: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        event["instance"] = instance_id
        event["zone"] = zone
        return event

    return add
