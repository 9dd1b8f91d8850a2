"""Structured logs: one JSON object per line.

Writes never block: if the reader of the log is too slow, lines are dropped and counted.
"""

import logging
import os
import sys
from typing import Any

import structlog

LOST_LINES_KEY = "lines_lost"


class LineWriter:
    """Writes lines to a non-blocking file descriptor.

    Attributes:
      descriptor: File descriptor of the log.
      lost: Number of lines dropped since the last successful write.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lost = 0
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Write a line, with the number of lines dropped before it, or count it as dropped."""
        if self.lost:
            message = f'{message[:-1]}, "{LOST_LINES_KEY}": {self.lost}}}'
        try:
            os.write(self.descriptor, message.encode() + b"\n")
        except OSError:
            self.lost += 1
        else:
            self.lost = 0

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg


class LineWriterFactory:
    """Logger factory for structlog; all loggers of the process share one writer."""

    def __init__(self, descriptor: int) -> None:
        self.writer = LineWriter(descriptor)

    def __call__(self, *arguments: Any) -> LineWriter:
        """Return the writer."""
        return self.writer


def configure_logs(level: str = "info") -> None:
    """Configure structlog to write JSON lines to standard error.

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
        logger_factory=LineWriterFactory(sys.stderr.fileno()),
        cache_logger_on_first_use=True,
    )


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds the name of its module to each line."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(module=name)
    return logger
