"""Log lines as JSON objects, one for each decision or change of state."""

from __future__ import annotations

import contextlib
import logging
import os
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from . import metrics

# Log lines per second beyond which a process drops further ones and counts them.
MAX_LINES_PER_S = 800


class BoundedHandler(logging.StreamHandler[TextIO]):
    """Handler that writes at a limited rate without blocking, and counts dropped lines.

    :param lines_per_s: maximum lines per second; does not apply to warnings and errors.
    """

    def __init__(self, stream: TextIO, lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__(stream)
        self._lines_per_s = lines_per_s
        self._second = 0
        self._line_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it if the output is blocked or the rate limit is exceeded."""
        second = int(record.created)
        if second != self._second:
            self._second, self._line_count = second, 0
        self._line_count += 1
        if self._line_count > self._lines_per_s and record.levelno < logging.WARNING:
            metrics.DROPPED_LINES.add(1)
            return
        try:
            self.stream.write(self.format(record) + self.terminator)
            self.stream.flush()
        except (BlockingIOError, BrokenPipeError):
            metrics.DROPPED_LINES.add(1)


def setup_bounded_logging(level: str, entry: str, stream: TextIO) -> None:
    """Send the log lines of all modules to a stream without ever blocking the process.

    :param level: a name from :data:`tarragoncart.settings.LOG_LEVELS`.
    :param entry: name of the entry VM, added to every line.
    """
    with contextlib.suppress(OSError, ValueError):
        # Streams without a file descriptor, as in tests, do not block anyway.
        os.set_blocking(stream.fileno(), False)
    handler = BoundedHandler(stream)
    handler.setFormatter(_formatter(entry))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


def _formatter(entry: str) -> JsonFormatter:
    return JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields={"entry": entry} if entry else {},
        timestamp="at",
    )


def setup_logging(level: str, entry: str = "", stream: TextIO | None = None) -> logging.Handler:
    """Send the log lines of all modules to a stream, replacing earlier handlers.

    :param level: a name from :data:`tarragoncart.settings.LOG_LEVELS`.
    :param entry: name of the entry VM, added to every line.
    :param stream: standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_formatter(entry))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
