"""Structured logs: one JSON object a line, written for changes of state."""

import logging
import sys

import structlog


def configure_logs(level: str = "info") -> None:
    """Write JSON lines to standard error.

    Args:
      level: Lowest level that is written.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that names its module."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(module=name)
    return logger
