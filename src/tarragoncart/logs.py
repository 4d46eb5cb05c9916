"""Log lines as JSON objects, one for each decision or change of state."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


def setup_logging(level: str, entry: str = "", stream: TextIO | None = None) -> logging.Handler:
    """Send the log lines of all modules to a stream; replaces the handlers set before.

    :param level: a name from :data:`tarragoncart.settings.LOG_LEVELS`.
    :param entry: name of the entry VM, put into every line.
    :param stream: standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(levelname)s %(name)s %(message)s",
            rename_fields={"levelname": "level", "name": "logger"},
            static_fields={"entry": entry} if entry else {},
            timestamp="at",
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    return handler
