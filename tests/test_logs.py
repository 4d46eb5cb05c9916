"""Tests of logging."""

from __future__ import annotations

import io
import json
import logging
import os

import pytest

from tarragoncart import logs


@pytest.fixture(autouse=True)
def restore_logging():
    """Restore the handlers and the level of the root logger."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:], root.level = handlers, level


def test_lines_beyond_the_rate_are_dropped_but_not_warnings():
    """Guards against a log that grows with the load, and against dropped warnings."""
    stream = io.StringIO()
    handler = logs.BoundedHandler(stream, lines_per_s=3)
    logger = logging.Logger("test")
    logger.addHandler(handler)
    for _ in range(10):
        logger.info("decision")
    logger.warning("trouble")
    lines = stream.getvalue().splitlines()
    assert 3 <= lines.count("decision") <= 6
    assert "trouble" in lines


def test_a_full_pipe_does_not_block():
    """Guards against a process that blocks because its log is not read."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        logs.setup_bounded_logging("info", "node-1", stream)
        logger = logging.getLogger("tarragoncart.test")
        for _ in range(3_000):
            logger.warning("x" * 100)
        os.read(reader, 1_000_000)
    os.close(reader)


def test_a_line_is_one_json_object(capsys):
    """Guards against extra fields that are missing from the log line."""
    stream = io.StringIO()
    logs.setup_bounded_logging("info", "node-1", stream)
    logging.getLogger("tarragoncart.test").info("job accepted", extra={"job": "1", "age_ms": 3})
    line = json.loads(stream.getvalue())
    assert (line["message"], line["entry"], line["job"], line["age_ms"]) == (
        "job accepted",
        "node-1",
        "1",
        3,
    )
