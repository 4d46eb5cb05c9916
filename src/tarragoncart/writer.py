"""Group commit: an actor that batches writes into appends to one partition of the store."""

from __future__ import annotations

import asyncio
import logging
from typing import Any, Protocol

from attrs import define, evolve, frozen

from . import defaults, metrics
from .errors import StoreConflictError, StoreRefusedError, StoreUnknownError
from .mailbox import Actor, receives, resolve
from .storage import Appended, Producer
from .timer import Timer

logger = logging.getLogger(__name__)

STORED = "stored"
REFUSED = "refused"
FENCED = "fenced"

Record = tuple[str, bytes]


class AppendStore(Protocol):
    """The methods of the store's client that a writer uses."""

    async def append(
        self,
        topic: str,
        records: Any,
        *,
        part: int = 0,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> Appended: ...

    async def close(self) -> None: ...


@frozen
class Write:
    """Store records in order.

    :param reply: resolved with ``stored``, ``refused`` (nothing was stored) or ``fenced``.
    """

    records: tuple[Record, ...]
    reply: asyncio.Future[str]


@frozen
class AppendEnded:
    """An append has ended with this outcome."""

    outcome: str


@define
class _Batch:
    writes: list[Write]
    sequence: int
    sent_ms: float
    answer_lost: bool = False


class Writer(Actor):
    """Appends to one partition of a topic; at most one append is in progress.

    An append without an answer is retried with the same sequence number, so that the store applies
    it once. Nothing else is sent until its outcome is known.

    :param epoch: fences writers of the same producer with a lower epoch.
    :param retry_refused: retry refused appends as well, instead of reporting the refusal.
    :param max_append_bytes: maximum size of an append; a larger write is appended alone.
    """

    def __init__(
        self,
        name: str,
        store: AppendStore,
        topic: str,
        producer: str,
        epoch: int,
        timer: Timer,
        *,
        part: int = 0,
        retry_refused: bool = False,
        max_append_bytes: int = defaults.STORE_CALL_BYTES,
    ) -> None:
        super().__init__(name)
        self._store = store
        self._topic = topic
        self._part = part
        self._producer = Producer(producer, epoch, 0)
        self._timer = timer
        self._retry_refused = retry_refused
        self._max_append_bytes = max_append_bytes
        self._waiting: list[Write] = []
        self._batch: _Batch | None = None
        self._fenced = False

    @property
    def stalled_ms(self) -> float:
        """Time for which the append in progress has had no answer; 0 if there is none."""
        return 0.0 if self._batch is None else self._timer.now_ms() - self._batch.sent_ms

    @receives(Write)
    def on_write(self, message: Write) -> None:
        """Queue records for the next append."""
        if self._fenced:
            resolve(message.reply, FENCED)
            return
        self._waiting.append(message)
        if self._batch is None:
            self._start_append()

    def _start_append(self) -> None:
        size_bytes = 0
        count = 0
        for write in self._waiting:
            # The store's format adds 5 bytes to a record: 4 for its length, 1 for its key's length.
            size_bytes += sum(len(key) + len(value) + 5 for key, value in write.records)
            if count and size_bytes > self._max_append_bytes:
                break
            count += 1
        writes, self._waiting = self._waiting[:count], self._waiting[count:]
        self._batch = _Batch(writes, self._producer.sequence, self._timer.now_ms())
        self.spawn(self._append(self._batch))

    async def _append(self, batch: _Batch) -> None:
        delay_ms = defaults.STORE_RETRY_MS
        while True:
            outcome = await self._try_append(batch)
            if outcome:
                self.tell_self(AppendEnded(outcome))
                return
            await asyncio.sleep(delay_ms / 1_000)
            delay_ms = min(2 * delay_ms, defaults.STORE_RETRY_MAX_MS)

    async def _try_append(self, batch: _Batch) -> str:
        records = [record for write in batch.writes for record in write.records]
        producer = evolve(self._producer, sequence=batch.sequence)
        try:
            await self._store.append(self._topic, records, part=self._part, producer=producer)
        except StoreUnknownError as error:
            batch.answer_lost = True
            self._log_failure("append has no answer", error, batch)
            return ""
        except StoreRefusedError as error:
            self._log_failure("append refused", error, batch)
            # After a lost answer, a refusal says nothing about the outcome of the earlier attempt.
            return "" if self._retry_refused or batch.answer_lost else REFUSED
        except StoreConflictError as error:
            self._log_failure("append conflicts", error, batch)
            return self._resolve_conflict(error, batch)
        metrics.APPENDS.add(1, metrics.labels(result=STORED))
        return STORED

    def _resolve_conflict(self, error: StoreConflictError, batch: _Batch) -> str:
        if error.reason == "fenced":
            return FENCED
        if error.expected > batch.sequence and batch.answer_lost:
            return STORED
        batch.sequence = error.expected
        return ""

    def _log_failure(self, text: str, error: Exception, batch: _Batch) -> None:
        metrics.APPENDS.add(1, metrics.labels(result=type(error).__name__))
        logger.warning(
            text,
            extra={
                "topic": self._topic,
                "part": self._part,
                "sequence": batch.sequence,
                "write_count": len(batch.writes),
                "age_ms": round(self._timer.now_ms() - batch.sent_ms),
                "reason": str(error),
            },
        )

    @receives(AppendEnded)
    def on_append_ended(self, message: AppendEnded) -> None:
        """Answer the writes of the batch, then append those that have arrived in the meantime."""
        batch, self._batch = self._batch, None
        if batch is None:
            return
        if message.outcome != REFUSED:
            self._producer = evolve(self._producer, sequence=batch.sequence + 1)
        for write in batch.writes:
            resolve(write.reply, message.outcome)
        if message.outcome == FENCED:
            self._fenced = True
            self._resolve_waiting(FENCED)
        elif self._waiting:
            self._start_append()

    def _resolve_waiting(self, outcome: str) -> None:
        waiting, self._waiting = self._waiting, []
        for write in waiting:
            resolve(write.reply, outcome)

    def withdraw(self, reply: asyncio.Future[str]) -> bool:
        """Remove a write that has not been sent; return whether it was still queued."""
        before_count = len(self._waiting)
        self._waiting = [write for write in self._waiting if write.reply is not reply]
        return len(self._waiting) < before_count

    async def on_close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()
