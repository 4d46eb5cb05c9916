"""Tests of the reading of a topic, with a store that returns prepared chunks."""

from __future__ import annotations

import asyncio

import pytest

from tarragoncart.follower import Follower, TopicChanges, TopicSnapshot, open_bulk_reads
from tarragoncart.intake import IntakeRead, IntakeReader
from tarragoncart.mailbox import Actor, receives
from tarragoncart.storage import Chunk, Entry
from tarragoncart.timer import ManualTimer

READ_MS = 100.0
WAIT_MS = 1_000
EMPTY_PAGE = Chunk(0, 0, ())


class ChunkStore:
    """Store with prepared pages of newest records, by default an empty one, and chunks.

    Each call takes time. There is no further answer after the last chunk.
    """

    def __init__(self, timer, chunks, pages=(EMPTY_PAGE,)):
        self._timer = timer
        self._chunks = list(chunks)
        self._pages = pages

    async def newest(self, topic, part=0):
        """Yield the pages."""
        self._timer.advance(READ_MS)
        for page in self._pages:
            yield page

    async def read(self, topic, offset, wait_ms, part=0):
        """Return the next chunk."""
        if not self._chunks:
            await asyncio.Event().wait()
        self._timer.advance(READ_MS)
        return self._chunks.pop(0)

    async def close(self):
        """Close nothing."""


class Listener(Actor):
    """Keeps the messages of a reader."""

    def __init__(self):
        super().__init__("listener")
        self.messages = []

    @receives(TopicSnapshot)
    @receives(TopicChanges)
    @receives(IntakeRead)
    def on_message(self, message):
        """Keep a message."""
        self.messages.append(message)


def make_chunk(offset, count, end_offset):
    """Return a chunk with records from an offset on."""
    entries = tuple(Entry(f"key-{n}", b"{}", n) for n in range(offset, offset + count))
    return Chunk(0, end_offset, entries)


@pytest.fixture
def timer():
    """A timer that only the store advances."""
    return ManualTimer()


@pytest.fixture
async def follow(timer):
    """Return a function that reads chunks with a follower and returns its messages."""
    followers = []

    async def read(*chunks, **options):
        listener = Listener()
        store = ChunkStore(timer, chunks, **options)
        follower = Follower(store, "topic", listener, timer, wait_ms=WAIT_MS)
        followers.append(follower)
        follower.start()
        while len(messages := [*listener._inbox]) <= len(chunks):
            await asyncio.sleep(0)
        return messages

    yield read
    for follower in followers:
        await follower.stop()


async def test_a_read_that_ends_before_the_partitions_end_does_not_renew_its_age(follow):
    """Guards against taking the records of a backlog's first part for the newest ones."""
    messages = await follow(make_chunk(0, 2, 5), make_chunk(2, 2, 5), make_chunk(4, 1, 5))
    assert [message.as_of_ms for message in messages] == [0.0, 0.0, 0.0, 3 * READ_MS]
    assert [len(message.entries) for message in messages] == [0, 2, 2, 1]


async def test_reads_behind_a_growing_partition_still_advance_their_age(follow):
    """Guards against records that count as old for as long as others are appended."""
    chunks = (make_chunk(2 * n, 2, 2 * n + 4) for n in range(4))
    messages = await follow(*chunks)
    answered_ms = [READ_MS * n for n in range(2, 6)]
    ages_ms = [at_ms - m.as_of_ms for at_ms, m in zip(answered_ms, messages[1:], strict=True)]
    assert ages_ms == [2 * READ_MS] * 4


async def test_a_record_older_than_that_of_a_later_page_is_not_reported(follow):
    """Guards against a key that falls back to an older record, as pages are not a snapshot."""
    newer = Entry("key-0", b"newer", 2)
    older = (Entry("key-0", b"older", 0), Entry("key-1", b"{}", 1), newer)
    newest = Entry("key-0", b"newest", 3)
    pages = (EMPTY_PAGE, Chunk(0, 3, (newer,)))
    messages = await follow(Chunk(0, 4, (*older, newest)), pages=pages)
    assert messages[0].entries == (newer,)
    assert messages[1].entries == (older[1], newest)


async def test_the_leaders_view_of_jobs_is_as_old_as_its_most_incomplete_partition(timer):
    """Guards against refusing a job as unknown whose record is behind a limited read."""
    listener = Listener()
    chunks = {0: [make_chunk(0, 1, 2)], 1: [make_chunk(0, 1, 1)]}
    stores = [ChunkStore(timer, chunks[part]) for part in (0, 1)]
    reader = IntakeReader(1, 2, lambda: stores.pop(0), listener, timer, open_bulk_reads(1.0))
    reader.start()
    while sum(len(m.entries) for m in listener._inbox) < 2:
        await asyncio.sleep(0)
    await reader.stop()
    assert {message.as_of_ms for message in listener._inbox} == {0.0}
