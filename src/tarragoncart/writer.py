"""Group commit: an actor that batches writes into appends to one partition of the store."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any, Protocol

from attrs import define, evolve, frozen

from . import defaults, metrics
from .errors import (
    StoreConflictError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnknownError,
)
from .mailbox import Actor, receives, resolve
from .storage import (
    DEFAULT_LIMITS,
    KEY_MAX_BYTES,
    LENGTH_BYTES,
    Appended,
    Producer,
    Record,
    StoreLimits,
    record_bytes,
)
from .timer import Timer

logger = logging.getLogger(__name__)

STORED = "stored"
REFUSED = "refused"
REJECTED = "rejected"
FENCED = "fenced"


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
class RecordRejected:
    """The store can never accept a record; it was left out of its write.

    :param reason: which limit it exceeds, or the store's answer.
    """

    key: str
    size_bytes: int
    reason: str


@frozen
class Write:
    """Store records in order.

    A write larger than one call of the store is stored in several appends.

    :param reply: resolved with ``stored``, ``refused`` (the last records were not stored),
        ``rejected`` (a record can never be stored, all others are) or ``fenced``.
    :param listener: is sent a :class:`RecordRejected` for each record that can never be stored,
        before the reply is resolved with ``stored`` for the others.
    """

    records: tuple[Record, ...]
    reply: asyncio.Future[str]
    listener: Actor | None = None


@frozen
class AppendEnded:
    """An append has ended with this outcome."""

    outcome: str


@define(eq=False)
class _Pending:
    """A write with its records that are not stored yet.

    :param begun: some of its records have been sent.
    """

    write: Write
    records: deque[Record]
    begun: bool = False
    rejected: bool = False


@define
class _Batch:
    """The records of one append, in order.

    :param counts: writes with the number of their records in the append.
    :param rejection: why the store can never accept it.
    """

    records: list[Record]
    counts: list[tuple[_Pending, int]]
    sequence: int
    sent_ms: float
    answer_lost: bool = False
    rejection: str = ""


class Writer(Actor):
    """Appends to one partition of a topic; at most one append is in progress.

    An append without an answer is retried with the same sequence number, so that the store applies
    it once. Nothing else is sent until its outcome is known.

    It is the one place that keeps records to the limits of the store. A record that exceeds them is
    not sent. If the store rejects an append for good, the records are sent in smaller appends until
    the one at fault is found; only that one is left out.

    :param epoch: fences writers of the same producer with a lower epoch.
    :param retry_refused: retry refused appends as well, instead of reporting the refusal.
    :param limits: what the store accepts; an append uses half of a call, and one record may use all
        of it.
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
        limits: StoreLimits = DEFAULT_LIMITS,
    ) -> None:
        super().__init__(name)
        self._store = store
        self._topic = topic
        self._part = part
        self._producer = Producer(producer, epoch, 0)
        self._timer = timer
        self._retry_refused = retry_refused
        self._limits = limits
        self._waiting: deque[_Pending] = deque()
        self._batch: _Batch | None = None
        # Maximum number of records of an append while a rejected one is looked for.
        self._record_limit_count = float("inf")
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
        pending = _Pending(message, deque())
        for record in message.records:
            if excess := self._limits.excess_of(record):
                self._reject(pending, record, excess)
            else:
                pending.records.append(record)
        if message.records and not pending.records:
            self._resolve_stored(pending)
            return
        self._waiting.append(pending)
        if self._batch is None:
            self._start_append()

    def _reject(self, pending: _Pending, record: Record, reason: str) -> None:
        """Leave out a record that the store can never accept, and tell who has written it."""
        key, size_bytes = record[0], record_bytes(record)
        metrics.RECORDS_REJECTED.add(1, metrics.labels(topic=self._topic))
        logger.error(
            "record can never be stored",
            extra={
                "topic": self._topic,
                "part": self._part,
                "key": key[:KEY_MAX_BYTES],
                "size_bytes": size_bytes,
                "reason": reason,
            },
        )
        if pending.write.listener is None:
            pending.rejected = True
        else:
            pending.write.listener.tell_self(RecordRejected(key, size_bytes, reason))

    @staticmethod
    def _resolve_stored(pending: _Pending) -> None:
        resolve(pending.write.reply, REJECTED if pending.rejected else STORED)

    def _start_append(self) -> None:
        records, counts = self._next_records()
        self._batch = _Batch(records, counts, self._producer.sequence, self._timer.now_ms())
        self.spawn(self._append(self._batch))

    def _next_records(self) -> tuple[list[Record], list[tuple[_Pending, int]]]:
        """Return the records of the next append, whole writes if the first one fits."""
        records: list[Record] = []
        counts: list[tuple[_Pending, int]] = []
        left_bytes = self._limits.call_bytes // 2
        for pending in self._waiting:
            sizes = [LENGTH_BYTES + record_bytes(record) for record in pending.records]
            if counts and not sizes:
                break
            if records and (
                sum(sizes) > left_bytes or len(records) + len(sizes) > self._record_limit_count
            ):
                break
            count = 0
            for size_bytes in sizes:
                full = size_bytes > left_bytes or len(records) >= self._record_limit_count
                if records and full:
                    break
                left_bytes -= size_bytes
                records.append(pending.records[count])
                count += 1
            pending.begun = True
            counts.append((pending, count))
            if count < len(sizes) or not sizes:
                break
        return records, counts

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
        producer = evolve(self._producer, sequence=batch.sequence)
        try:
            await self._store.append(self._topic, batch.records, part=self._part, producer=producer)
        except StoreUnknownError as error:
            batch.answer_lost = True
            self._log_failure("append has no answer", error, batch)
            return ""
        except StoreRejectedError as error:
            batch.rejection = str(error)
            self._log_failure("append rejected for good", error, batch)
            return REJECTED
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
                "write_count": len(batch.counts),
                "record_count": len(batch.records),
                "size_bytes": sum(map(record_bytes, batch.records)),
                "age_ms": round(self._timer.now_ms() - batch.sent_ms),
                "reason": str(error),
            },
        )

    @receives(AppendEnded)
    def on_append_ended(self, message: AppendEnded) -> None:
        """Answer the writes that have ended, then append the records that are left."""
        batch, self._batch = self._batch, None
        if batch is None:
            return
        if message.outcome in (STORED, FENCED):
            self._producer = evolve(self._producer, sequence=batch.sequence + 1)
        if message.outcome == STORED:
            self._record_limit_count *= 2
            self._remove(batch)
        elif message.outcome == REFUSED:
            for pending, _ in batch.counts:
                self._waiting.remove(pending)
                resolve(pending.write.reply, REFUSED)
        elif message.outcome == REJECTED and len(batch.records) > 1:
            self._record_limit_count = len(batch.records) // 2
        elif message.outcome == REJECTED:
            self._reject_single(batch)
        elif message.outcome == FENCED:
            self._fenced = True
            self._resolve_waiting(FENCED)
        if self._waiting:
            self._start_append()

    def _remove(self, batch: _Batch) -> None:
        """Remove the records of a batch, and answer the writes of which none is left."""
        for pending, count in batch.counts:
            for _ in range(count):
                pending.records.popleft()
            if not pending.records:
                self._waiting.remove(pending)
                self._resolve_stored(pending)

    def _reject_single(self, batch: _Batch) -> None:
        ((pending, count),) = batch.counts
        if not count:
            # A call without records, which only fences: nothing can be left out.
            self._waiting.remove(pending)
            resolve(pending.write.reply, REJECTED)
            return
        self._reject(pending, pending.records[0], batch.rejection)
        self._remove(batch)

    def _resolve_waiting(self, outcome: str) -> None:
        waiting, self._waiting = self._waiting, deque()
        for pending in waiting:
            resolve(pending.write.reply, outcome)

    def withdraw(self, reply: asyncio.Future[str]) -> bool:
        """Remove a write that has not been sent; return whether it was still queued."""
        for pending in self._waiting:
            if pending.write.reply is reply and not pending.begun:
                self._waiting.remove(pending)
                return True
        return False

    async def on_close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()
