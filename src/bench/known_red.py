"""Pytest plugin that passes over the tests listed as known failures, and prints them.

CI enables it with ``-p bench.known_red --known-red KNOWN-RED.txt``. Without the option the listed
tests count like any other.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

import pytest
from attrs import frozen

OPTION = "--known-red"
ENTRIES_KEY: pytest.StashKey[tuple[KnownFailure, ...]] = pytest.StashKey()


@frozen
class KnownFailure:
    """An entry of the list.

    :param node_id: the test as pytest names it, with its parameters.
    :param text: the whole entry.
    """

    node_id: str
    text: str


def parse_entries(text: str) -> Iterator[KnownFailure]:
    """Yield the entries of the list, which blank lines separate.

    :raises ValueError: if an entry does not begin with the name of a test.
    """
    for block in filter(str.strip, text.split("\n\n")):
        first_word = block.split()[0]
        if "::" not in first_word:
            raise ValueError(f"entry does not begin with a test: {block.strip()!r}")
        yield KnownFailure(first_word, block.strip())


def missing_entries(
    entries: Iterable[KnownFailure], node_ids: Iterable[str]
) -> Iterator[KnownFailure]:
    """Yield the entries whose test does not exist."""
    existing = set(node_ids)
    return (entry for entry in entries if entry.node_id not in existing)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the list."""
    parser.addoption(OPTION, default="", help="file that lists the tests known to fail")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail.

    :raises pytest.UsageError: if the list is malformed or names a test that does not exist.
    """
    path = config.getoption(OPTION)
    if not path:
        return
    try:
        entries = tuple(parse_entries(Path(path).read_text()))
    except (OSError, ValueError) as error:
        raise pytest.UsageError(f"{path}: {error}") from error
    by_id = {item.nodeid: item for item in items}
    missing = [entry.node_id for entry in missing_entries(entries, by_id)]
    if missing:
        raise pytest.UsageError(f"{path} lists tests that do not exist: {', '.join(missing)}")
    for entry in entries:
        # Not strict, as a test that fails in some runs only is listed, too.
        by_id[entry.node_id].add_marker(pytest.mark.xfail(reason="known failure", strict=False))
    config.stash[ENTRIES_KEY] = entries


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print each known failure with its outcome in this run."""
    passed = {report.nodeid for report in terminalreporter.stats.get("xpassed", ())}
    for entry in config.stash.get(ENTRIES_KEY, ()):
        outcome = "passed" if entry.node_id in passed else "failed"
        terminalreporter.write_line(f"known failure, {outcome} in this run: {entry.text}")
