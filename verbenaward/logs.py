"""Structured logs: one JSON object per line.

Writes never block: if the reader of the log is too slow, lines are dropped and counted.
"""

import logging
import os
import sys
from typing import Any

import structlog
from structlog.typing import EventDict

LOST_LINES_KEY = "lines_lost"
LEVELS = (logging.DEBUG, logging.INFO, logging.WARNING, logging.ERROR, logging.CRITICAL)


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


class ProcessFields:
    """Processor that adds the fields of this process to each line.

    Context variables would be missing in tasks whose context is older, as in those that the event
    loop starts for a connection, a signal or the end of the process.
    """

    def __init__(self, fields: dict[str, str]) -> None:
        self.fields = fields

    def __call__(self, logger: Any, method: str, line: EventDict) -> EventDict:
        """Return a line with the fields of this process; its own fields take precedence."""
        return {**self.fields, **line}


def configure_logs(level: str = "info", **fields: str) -> None:
    """Configure structlog to write JSON lines to standard error.

    Args:
      level: Lowest level that is written.
      fields: Fields of this process that each line names, as its VM and its role.
    """
    structlog.configure(
        processors=[
            ProcessFields(fields),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=LineWriterFactory(sys.stderr.fileno()),
        cache_logger_on_first_use=True,
    )


class LibraryHandler(logging.Handler):
    """Writes the lines of libraries, which use the standard logging, like those of this package."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line of a library."""
        level = max((known for known in LEVELS if known <= record.levelno), default=logging.DEBUG)
        get_logger(record.name).log(
            level, "library.message", message=record.getMessage(), exc_info=record.exc_info
        )


def route_library_logs() -> None:
    """Have warnings and errors of libraries written as JSON lines."""
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds the name of its module to each line."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(module=name)
    return logger
