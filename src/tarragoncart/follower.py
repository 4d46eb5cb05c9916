"""Reads a compacted topic of the store continuously: a snapshot first, then the changes.

A compacted topic keeps the newest record of each key.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from attrs import frozen

from . import defaults
from .errors import InboxFullError, StoreConflictError, StoreRefusedError, StoreUnknownError
from .mailbox import Actor
from .storage import Chunk, Entry, Expired
from .timer import Timer

logger = logging.getLogger(__name__)


# Admits as many bulk reads as an entry VM's link can carry beside the renewals of its membership.
BulkReads = asyncio.Semaphore


def open_bulk_reads(link_mbps: float) -> BulkReads:
    """Return the limit of concurrent bulk reads for a link.

    Responses that share a link are all on their way until the last one ends. Small responses, such
    as that to a renewal, wait behind them.
    """
    return BulkReads(max(1, int(link_mbps / defaults.BULK_READ_MBPS)))


class ReadStore(Protocol):
    """The methods of the store's client that a follower uses."""

    async def read(
        self, topic: str, offset: int, wait_ms: int, part: int = 0
    ) -> Chunk | Expired: ...

    def newest(self, topic: str, part: int = 0) -> AsyncIterator[Chunk]: ...

    async def newest_page(self, topic: str, part: int, after: str) -> Chunk: ...

    async def close(self) -> None: ...


# Returns what a reader keeps of the records that it has read.
Keep = Callable[[tuple[Entry, ...]], tuple[Entry, ...]]


def keep_all(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    """Keep all records as they were read."""
    return entries


@frozen
class TopicSnapshot:
    """The newest record of each key in a partition.

    :param as_of_ms: the records include everything that was appended before this time.
    """

    topic: str
    entries: tuple[Entry, ...]
    as_of_ms: float
    part: int = 0


@frozen
class TopicChanges:
    """Records appended since the last message; possibly none.

    :param as_of_ms: the records include everything that was appended before this time.
    """

    topic: str
    entries: tuple[Entry, ...]
    as_of_ms: float
    part: int = 0


@frozen
class _Backlog:
    """Records that a read left unread.

    :param end_offset: end of the partition when the read was answered.
    :param sent_ms: time at which it was sent; records appended before it end at ``end_offset``.
    """

    end_offset: int
    sent_ms: float


class Follower(Actor):
    """Reads a partition of a topic and sends its records to another actor.

    :param listener: actor that receives :class:`TopicSnapshot` and :class:`TopicChanges`.
    :param wait_ms: how long the store may hold a read open until there is a new record.
    :param pause_ms: pause between two reads.
    :param bulk_reads: limits how many followers read all newest records at the same time.
    :param keep: applied to the records of each response, before the next one is read.
    """

    def __init__(
        self,
        store: ReadStore,
        topic: str,
        listener: Actor,
        timer: Timer,
        *,
        wait_ms: int,
        pause_ms: int = 0,
        part: int = 0,
        bulk_reads: BulkReads | None = None,
        keep: Keep = keep_all,
    ) -> None:
        super().__init__(f"follower {topic} {part}")
        self._store = store
        self._topic = topic
        self._part = part
        self._listener = listener
        self._timer = timer
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._bulk_reads = bulk_reads or contextlib.nullcontext()
        self._keep = keep
        self._as_of_ms = float("-inf")
        self._backlog: _Backlog | None = None
        # Offsets of the keys that were read with a record appended after the first page.
        self._newest_offsets: dict[str, int] = {}

    async def on_open(self) -> None:
        """Start reading."""
        self.spawn_loop(self._follow)

    async def _follow(self) -> None:
        offset = -1
        failed = False
        while True:
            try:
                if offset < 0:
                    offset = await self._read_newest()
                else:
                    offset = await self._read_changes(offset)
            except (
                StoreUnknownError,
                StoreRefusedError,
                StoreConflictError,
                InboxFullError,
            ) as error:
                # The offset has not moved, so a listener without room gets the records later.
                if not failed:
                    logger.warning(
                        "topic cannot be read",
                        extra={
                            "topic": self._topic,
                            "part": self._part,
                            "offset": offset,
                            "reason": str(error),
                        },
                    )
                failed = True
                await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
                continue
            if failed:
                logger.info(
                    "topic can be read again", extra={"topic": self._topic, "part": self._part}
                )
                failed = False
            if self._pause_ms:
                await asyncio.sleep(self._pause_ms / 1_000)

    async def _read_newest(self) -> int:
        async with self._bulk_reads:
            sent_ms = self._timer.now_ms()
            snapshot = await read_newest(self._store, self._topic, self._part, self._keep)
        self._listener.tell(TopicSnapshot(self._topic, snapshot.entries, sent_ms, self._part))
        self._as_of_ms = sent_ms
        self._backlog = None
        self._newest_offsets = {
            entry.key: entry.offset
            for entry in snapshot.entries
            if entry.offset >= snapshot.end_offset
        }
        return snapshot.end_offset

    async def _read_changes(self, offset: int) -> int:
        sent_ms = self._timer.now_ms()
        chunk = await self._store.read(self._topic, offset, self._wait_ms, self._part)
        if isinstance(chunk, Expired) or chunk.end_offset < offset:
            logger.info(
                "records have expired; reading the newest record of each key",
                extra={"topic": self._topic, "offset": offset},
            )
            return -1
        next_offset = offset + len(chunk.entries)
        if next_offset < chunk.end_offset:
            as_of_ms = self._complete_until_ms(next_offset, _Backlog(chunk.end_offset, sent_ms))
        elif chunk.entries:
            as_of_ms = sent_ms
        else:
            # The store answers without records only after the whole wait, so nothing was appended
            # until then.
            as_of_ms = min(sent_ms + self._wait_ms, self._timer.now_ms())
        entries = tuple(
            entry
            for entry in chunk.entries
            if entry.offset > self._newest_offsets.get(entry.key, -1)
        )
        entries = self._keep(entries)
        self._listener.tell(TopicChanges(self._topic, entries, as_of_ms, self._part))
        self._as_of_ms = as_of_ms
        return next_offset

    def _complete_until_ms(self, next_offset: int, backlog: _Backlog) -> float:
        """Return the time up to which the records are complete after a read of limited size.

        Both the end of an earlier backlog and the time of its read are kept, so that the time
        advances even if the reads never reach the end of a growing partition.
        """
        as_of_ms = self._as_of_ms
        if self._backlog is not None and next_offset >= self._backlog.end_offset:
            as_of_ms = max(as_of_ms, self._backlog.sent_ms)
            self._backlog = None
        if self._backlog is None:
            self._backlog = backlog
        return as_of_ms

    async def on_close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()


async def read_newest(store: ReadStore, topic: str, part: int = 0, keep: Keep = keep_all) -> Chunk:
    """Read the newest record of each key.

    The returned end offset is that of the first page, so that a reader that continues there gets
    the changes made between the pages.

    :param keep: applied to the records of each page, before the next one is read.
    :raises StoreRefusedError: the store refused a call.
    :raises StoreUnknownError: no answer.
    """
    entries: list[Entry] = []
    end_offset = -1
    async for page in store.newest(topic, part):
        entries.extend(keep(page.entries))
        if end_offset < 0:
            end_offset = page.end_offset
    return Chunk(0, max(end_offset, 0), tuple(entries))
