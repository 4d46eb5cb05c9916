"""Replay by the journal, driven by messages without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from tarragoncart import records
from tarragoncart.journal import Chunk, Journal
from tarragoncart.model import KeyGrant
from tarragoncart.timer import ManualTimer


def grants(first: int, end: int) -> list[dict[str, Any]]:
    """Return records as the log holds them, each of which grants a key of its own."""
    return [
        {
            "offset": n,
            "record": records.encode_record(
                records.Envelope(f"b{n}", 0, "e", 0, records.GrantKey(KeyGrant(f"k{n}", "shop")))
            ),
        }
        for n in range(first, end)
    ]


@pytest.fixture
def journal() -> Journal:
    """A journal that has replayed records 0 and 1."""
    journal = Journal("e", "127.0.0.1:1", ManualTimer())
    journal.handle(Chunk(grants(0, 2), 0, 2, 0.0))
    return journal


@pytest.mark.parametrize("from_peer_end", [4, 6, 8])
def test_a_peer_fills_the_gap_that_retention_has_left(journal, from_peer_end):
    """Guards against an entry VM that keeps an old state although a peer has the records."""
    journal.handle(Chunk(grants(4, 6), 4, 6, 1.0))
    assert journal.state.offset == 1
    journal.handle(Chunk(grants(2, from_peer_end), 2, from_peer_end, 2.0, from_log=False))
    assert set(journal.state.keys) == {f"k{n}" for n in range(max(6, from_peer_end))}
    assert journal.fresh_as_of_ms == 2.0


def test_records_after_a_gap_that_is_partly_filled_wait(journal):
    """Guards against records that are skipped when a peer is behind the log's start."""
    journal.handle(Chunk(grants(4, 6), 4, 6, 1.0))
    journal.handle(Chunk(grants(2, 3), 2, 3, 2.0, from_log=False))
    assert journal.state.offset == 2
    journal.handle(Chunk(grants(3, 4), 3, 4, 3.0, from_log=False))
    assert journal.state.offset == 5
