"""Actor that reads the log and appends to it: group commit, replay, resending and snapshots."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
from collections import deque
from typing import Any

import aiohttp
from attrs import Factory, define, field, frozen

from . import defaults, metrics, records, replay, snapshots
from .charts import load_chart
from .errors import InboxFullError, LogUnavailableError, RecordError
from .mailbox import Actor, implements_action, new_reply, receives, resolve
from .replay import AuditEntry, FleetState, FleetView, JobState
from .sessions import make_connector
from .timer import Timer

logger = logging.getLogger(__name__)
APPEND_CHART = load_chart("append")
STREAM = "fleet"
COUNTERS = {"move": metrics.VM_MOVES, "begin_stop": metrics.VM_STOPS}
# Number of recent encoded records kept for peers that cannot reach the log.
TAIL_RECORD_COUNT = 2_000
# Maximum number of publish records among them, because a configuration of 1,300 VMs takes 0.8 MB of
# memory. A peer that lacks more of them gets the whole state.
TAIL_PUBLISH_COUNT = 4


@frozen
class Append:
    """Request to append a record.

    The reply is the :class:`AuditEntry` once the record has been replayed, or
    :class:`LogUnavailableError` when it is certain that the record was not written.

    :param expires_at_ms: after this time a record that the log has refused is not retried.
    """

    record: Any
    author: str
    reply: asyncio.Future[AuditEntry | LogUnavailableError] | None = None
    expires_at_ms: float = float("inf")


@frozen
class Chunk:
    """Records that were read from the log or from a peer.

    :param start_offset: first offset that the answer covers.
    :param end_offset: offset after the last record that existed at the time of the answer.
    :param fresh_as_of_ms: the log up to ``end_offset`` has all records accepted before this time.
    """

    records: list[dict[str, Any]]
    start_offset: int
    end_offset: int
    fresh_as_of_ms: float
    from_log: bool = True


@frozen
class ChunkRead:
    """Answer of the log to a read; the reply is the offset to read next."""

    chunk: Chunk
    reply: asyncio.Future[int]


@frozen
class AdoptState:
    """State received from a peer, to be adopted if it is newer than the current state."""

    state: FleetState
    fresh_as_of_ms: float


@frozen
class ReadFailed:
    """A read of the log failed."""


@frozen
class Flush:
    """The flush window has ended."""


@frozen
class RetryBatch:
    """The delay after which a refused batch is sent again has passed."""

    batch_id: str


@frozen
class AppendEnded:
    """An append call has ended; ``event`` is an event of the append chart."""

    batch_id: str
    event: str
    duration_ms: float


@frozen
class SnapshotDue:
    """It is time to check whether to append a snapshot."""


@frozen
class ReadTail:
    """Request for the records after an offset.

    The reply is a :class:`Chunk`, or None if some of these records are no longer kept.
    """

    after_offset: int
    reply: asyncio.Future[Chunk | None]


@frozen
class ReadState:
    """Request for a snapshot of the current state; the reply is its parts and its age in ms."""

    reply: asyncio.Future[tuple[list[records.SnapshotPart], float]]


@frozen
class ReadAudit:
    """Request for the audit entries about a subject."""

    subject: str
    reply: asyncio.Future[list[AuditEntry]]


@frozen
class ReadJob:
    """Request for the replayed state of a job; the reply is None if the log has no such job."""

    request_id: str
    reply: asyncio.Future[JobState | None]


@frozen
class ViewChanged:
    """The replayed state, its freshness or the availability of the log has changed.

    :param fresh_as_of_ms: the view includes all records accepted before this time.
    :param loaded: the state has been loaded once since the start, from the log or from a peer.
    """

    view: FleetView
    fresh_as_of_ms: float
    log_available: bool
    loaded: bool


@frozen
class JobChanged:
    """The replayed state of a job has changed."""

    job: JobState


@define
class Batch:
    """Records that are appended in one call; ``texts`` are their JSON forms."""

    batch_id: str
    at_ms: int
    items: list[Append] = Factory(list)
    texts: list[str] = Factory(list)
    size_bytes: int = 0
    state: str = APPEND_CHART.initial
    unanswered_at_ms: float = 0.0


@define
class Bootstrap:
    """Records that are buffered because the log no longer has the record to replay next.

    They are replayed once a snapshot, or records or a state from a peer, have filled the gap.

    :param start_offset: offset of the first buffered record.
    :param next_offset: offset to read next.
    """

    start_offset: int
    next_offset: int
    assembler: snapshots.SnapshotAssembler = Factory(snapshots.SnapshotAssembler)
    buffered: list[tuple[int, records.Envelope]] = field(factory=list, repr=False)


class Journal(Actor):
    """Owns :class:`FleetState` and all traffic with the log.

    :param platform_address: ``IP:PORT`` of the platform.
    """

    def __init__(
        self,
        name: str,
        platform_address: str,
        timer: Timer,
        flush_window_ms: float = defaults.FLUSH_WINDOW_MS,
        source_address: str = "",
        retention_ms: float = defaults.LOG_RETENTION_MS,
        snapshot_after_count: int = defaults.SNAPSHOT_AFTER_COUNT,
    ) -> None:
        super().__init__("journal")
        self.entry = name
        self.state = FleetState()
        self.view = FleetView()
        self.fresh_as_of_ms = float("-inf")
        self.log_available = True
        self.loaded = False
        self._url = f"http://{platform_address}/log/{STREAM}/records"
        self._peer = platform_address
        self._timer = timer
        self._window_ms = flush_window_ms
        self._source_address = source_address
        self._retention_ms = retention_ms
        self._snapshot_after_count = snapshot_after_count
        self._prefix = secrets.token_hex(6)
        self._batch_number = 0
        self._collecting: Batch | None = None
        self._batches: dict[str, Batch] = {}
        self._bootstrap: Bootstrap | None = None
        self._last_read_ms = timer.now_ms()
        self._last_snapshot_offset = -1
        self._last_snapshot_at_ms = timer.wall_ms()
        self._tail: deque[dict[str, Any]] = deque(maxlen=TAIL_RECORD_COUNT)
        self._listeners: list[Actor] = []
        self._session: aiohttp.ClientSession

    def add_listener(self, actor: Actor) -> None:
        """Send :class:`ViewChanged` and :class:`JobChanged` to the actor, if it handles them."""
        self._listeners.append(actor)

    async def on_open(self) -> None:
        """Open the session and start reading."""
        self._session = aiohttp.ClientSession(connector=make_connector(self._source_address, 16))
        self.subscribe(self._timer.every(defaults.SNAPSHOT_CHECK_MS), SnapshotDue())
        self.spawn(self._read_forever())

    async def on_close(self) -> None:
        """Close the session."""
        await self._session.close()

    # Reading

    @property
    def next_offset(self) -> int:
        """Offset to read next."""
        active_bootstrap = self._bootstrap
        return self.state.offset + 1 if active_bootstrap is None else active_bootstrap.next_offset

    async def _read_forever(self) -> None:
        # Processes each chunk before it reads the next, so that a failed read skips no record.
        next_offset = 0
        while True:
            try:
                chunk = await self._read(next_offset)
                processed: asyncio.Future[int] = new_reply()
                self.tell_self(ChunkRead(chunk, processed))
                next_offset = await processed
            except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
                self.tell_self(ReadFailed())
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1_000)
            except InboxFullError:
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1_000)

    async def _read(self, offset: int) -> Chunk:
        sent_at_ms = self._timer.now_ms()
        params = {
            "from": offset,
            "limit": defaults.LOG_READ_LIMIT_COUNT,
            "wait_ms": defaults.LOG_LONG_POLL_MS,
        }
        timeout = aiohttp.ClientTimeout(total=defaults.LOG_READ_TIMEOUT_MS / 1_000)
        async with self._session.get(self._url, params=params, timeout=timeout) as response:
            response.raise_for_status()
            data = await response.json()
        return Chunk(data["records"], data["start_offset"], data["end_offset"], sent_at_ms)

    @receives(ChunkRead)
    def _on_chunk_read(self, message: ChunkRead) -> None:
        try:
            self._on_chunk(message.chunk)
        finally:
            resolve(message.reply, self.next_offset)

    @receives(Chunk)
    def _on_chunk(self, chunk: Chunk) -> None:
        follows = chunk.start_offset <= self.state.offset + 1
        if chunk.from_log:
            self._last_read_ms = self._timer.now_ms()
            if not follows and self._bootstrap is None:
                # The current state stays in use until a newer snapshot is complete.
                logger.warning(
                    "the next record has been removed from the log; waiting for a snapshot"
                )
                self._bootstrap = Bootstrap(chunk.start_offset, chunk.start_offset)
        elif not follows:
            return
        buffering = chunk.from_log and self._bootstrap is not None
        sections = frozenset().union(
            *(self._process_record(item, buffering) for item in chunk.records)
        )
        sections |= self._end_bootstrap_if_reached()
        reached_end = self._bootstrap is None and self.state.offset + 1 >= chunk.end_offset
        if reached_end:
            self.fresh_as_of_ms = max(self.fresh_as_of_ms, chunk.fresh_as_of_ms)
            self.loaded = True
            if chunk.from_log:
                self._resend_absent(chunk.fresh_as_of_ms)
        self._update_view(sections, log_available=self.log_available or chunk.from_log)

    def _process_record(self, item: dict[str, Any], buffering: bool) -> frozenset[str]:
        offset = item["offset"]
        if offset <= self.state.offset:
            return frozenset()
        self._keep_in_tail(item)
        try:
            envelope = records.decode_record(item["record"])
        except RecordError as error:
            # A newer version may write record kinds that this version does not know.
            logger.warning(
                "skipped a log record that cannot be decoded",
                extra={"offset": offset, "error": str(error)},
            )
            envelope = None
        if buffering and self._bootstrap is not None:
            return self._buffer_record(self._bootstrap, offset, envelope)
        if envelope is None:
            self.state.offset = offset
            return frozenset()
        return self._apply(offset, envelope)

    def _keep_in_tail(self, item: dict[str, Any]) -> None:
        last_offset = self._tail[-1]["offset"] if self._tail else item["offset"] - 1
        if item["offset"] > last_offset + 1:
            # Otherwise a peer would apply records after a gap as if they followed its own state.
            self._tail.clear()
        if item["offset"] > last_offset:
            self._tail.append(item)
            if _is_publish(item):
                self._trim_tail()

    def _trim_tail(self) -> None:
        offsets = [item["offset"] for item in self._tail if _is_publish(item)]
        oldest = offsets[-TAIL_PUBLISH_COUNT:][0]
        while len(offsets) > TAIL_PUBLISH_COUNT and self._tail[0]["offset"] < oldest:
            self._tail.popleft()

    def _buffer_record(
        self, bootstrap: Bootstrap, offset: int, envelope: records.Envelope | None
    ) -> frozenset[str]:
        bootstrap.next_offset = max(bootstrap.next_offset, offset + 1)
        if envelope is None:
            return frozenset()
        bootstrap.buffered.append((offset, envelope))
        if not isinstance(envelope.record, records.SnapshotPart):
            return frozenset()
        state = bootstrap.assembler.add(envelope.record)
        if state is None or state.offset < max(bootstrap.start_offset - 1, self.state.offset):
            return frozenset()
        return self._adopt(state)

    def _adopt(self, state: FleetState) -> frozenset[str]:
        self.state = state
        logger.info("adopted a snapshot", extra={"offset": state.offset})
        for job in state.jobs.values():
            self._tell_listeners(JobChanged(job))
        for batch in list(self._batches.values()):
            self._answer_batch(batch)
        return ALL_SECTIONS | self._end_bootstrap_if_reached()

    def _answer_batch(self, batch: Batch) -> None:
        """Answer the appends of a batch whose records are included in an adopted state.

        An audit entry does not name its batch, so entries are matched by time, author and kind.
        Appends for which the match is ambiguous get no answer.
        """
        seen_count = self.state.batches.get(batch.batch_id, -1) + 1
        keys = [(item.author, item.record.kind) for item in batch.items[:seen_count]]
        for key in set(keys):
            found = [
                entry
                for entry in self.state.audit
                if entry.at_ms == batch.at_ms and (entry.author, entry.kind) == key
            ]
            items = [
                item for item, item_key in zip(batch.items, keys, strict=False) if item_key == key
            ]
            if len(found) == len(items):
                for item, entry in zip(items, found, strict=True):
                    resolve(item.reply, entry)
        if seen_count == len(batch.items):
            self.step(APPEND_CHART, batch, "seen")

    def _end_bootstrap_if_reached(self) -> frozenset[str]:
        """End the bootstrap and apply the buffered records, once the state reaches the first."""
        bootstrap = self._bootstrap
        if bootstrap is None or self.state.offset < bootstrap.start_offset - 1:
            return frozenset()
        self._bootstrap = None
        return frozenset().union(
            *(
                self._apply(buffered_offset, buffered_envelope)
                for buffered_offset, buffered_envelope in bootstrap.buffered
                if buffered_offset > self.state.offset
            )
        )

    def _apply(self, offset: int, envelope: records.Envelope) -> frozenset[str]:
        applied = replay.apply(self.state, offset, envelope)
        batch = self._batches.get(envelope.batch_id)
        if applied is None:
            return frozenset()
        self._count_record(applied.entry)
        if batch is not None:
            resolve(batch.items[envelope.index].reply, applied.entry)
            if envelope.index == len(batch.items) - 1:
                self.step(APPEND_CHART, batch, "seen")
        if isinstance(envelope.record, records.SnapshotPart):
            self._last_snapshot_offset = envelope.record.through_offset
            self._last_snapshot_at_ms = envelope.at_ms
        if "jobs" in applied.sections:
            self._tell_listeners(JobChanged(self.state.jobs[applied.entry.subjects[0]]))
        return applied.sections

    def _count_record(self, entry: AuditEntry) -> None:
        ruling = "accepted" if entry.accepted else "rejected"
        metrics.RECORDS.add(1, metrics.labels(kind=entry.kind, ruling=ruling))
        if not entry.accepted:
            return
        if entry.kind in COUNTERS:
            COUNTERS[entry.kind].add(1)
        elif entry.kind == "publish" and self.loaded:
            metrics.CONFIG_DURATION.record(max(0, self._timer.wall_ms() - entry.at_ms))

    @receives(ReadFailed)
    def _on_read_failed(self, _: ReadFailed) -> None:
        silent_ms = self._timer.now_ms() - self._last_read_ms
        if self.log_available and silent_ms > defaults.LOG_UNAVAILABLE_MS:
            self._update_view(frozenset(), log_available=False)

    @receives(AdoptState)
    def _on_adopt_state(self, message: AdoptState) -> None:
        if message.state.offset <= self.state.offset:
            return
        sections = self._adopt(message.state)
        if self._bootstrap is None:
            self.fresh_as_of_ms = max(self.fresh_as_of_ms, message.fresh_as_of_ms)
            self.loaded = True
        self._update_view(sections, log_available=self.log_available)

    def _update_view(self, sections: frozenset[str], *, log_available: bool) -> None:
        if log_available != self.log_available:
            logger.warning("log availability changed", extra={"available": log_available})
        self.log_available = log_available
        self.view = replay.view_of(self.state, self.view, sections)
        self._tell_listeners(
            ViewChanged(self.view, self.fresh_as_of_ms, self.log_available, self.loaded)
        )

    def _tell_listeners(self, message: ViewChanged | JobChanged) -> None:
        for listener in self._listeners:
            if listener.can_receive(type(message)):
                listener.tell(message)

    # Appending

    @receives(Append)
    def _on_append(self, message: Append) -> None:
        batch = self._collecting or self._new_batch()
        text = self._encode(batch, len(batch.items), message)
        if batch.items and batch.size_bytes + len(text) > defaults.FLUSH_SIZE_BYTES:
            self._on_flush(Flush())
            batch = self._new_batch()
            text = self._encode(batch, 0, message)
        batch.items.append(message)
        batch.texts.append(text)
        batch.size_bytes += len(text)
        if len(batch.items) >= defaults.FLUSH_RECORD_COUNT:
            self._on_flush(Flush())

    def _new_batch(self) -> Batch:
        self._batch_number += 1
        batch = Batch(f"{self._prefix}-{self._batch_number}", self._timer.wall_ms())
        self._collecting = batch
        self.subscribe_once(self._timer.after(self._window_ms), Flush())
        return batch

    def _encode(self, batch: Batch, index: int, item: Append) -> str:
        envelope = records.Envelope(batch.batch_id, index, item.author, batch.at_ms, item.record)
        return json.dumps(records.encode_record(envelope))

    @receives(Flush)
    def _on_flush(self, _: Flush) -> None:
        if self._collecting is None:
            return
        batch, self._collecting = self._collecting, None
        self._batches[batch.batch_id] = batch
        self.step(APPEND_CHART, batch, "flush")

    @receives(RetryBatch)
    def _on_retry_batch(self, message: RetryBatch) -> None:
        batch = self._batches.get(message.batch_id)
        if batch is not None:
            self.step(APPEND_CHART, batch, "retry" if batch.items else "empty")

    @receives(AppendEnded)
    def _on_append_ended(self, message: AppendEnded) -> None:
        batch = self._batches.get(message.batch_id)
        metrics.APPENDS.add(1, metrics.labels(result=message.event))
        metrics.APPEND_DURATION.record(message.duration_ms)
        slow = message.event != "acknowledged" or message.duration_ms > defaults.APPEND_SLOW_MS
        self._window_ms = defaults.FLUSH_WINDOW_SLOW_MS if slow else defaults.FLUSH_WINDOW_MS
        if batch is None or not APPEND_CHART.accepts(batch.state, message.event):
            return
        batch.unanswered_at_ms = self._timer.now_ms()
        self.step(APPEND_CHART, batch, message.event)

    @implements_action("send_batch")
    def _send_batch(self, batch: Batch) -> None:
        self.spawn(self._post(batch.batch_id, batch.texts))

    async def _post(self, batch_id: str, texts: list[str]) -> None:
        started_ms = self._timer.now_ms()
        timeout = aiohttp.ClientTimeout(total=defaults.APPEND_TIMEOUT_MS / 1_000)
        body = f'{{"records": [{", ".join(texts)}]}}'
        headers = {"Content-Type": "application/json"}
        try:
            async with self._session.post(
                self._url, data=body.encode(), headers=headers, timeout=timeout
            ) as response:
                await response.read()
            # Any other error status does not prove that nothing was written.
            refused = response.status in (400, 413, 429, 503)
            event = "acknowledged" if response.ok else "refused" if refused else "no_answer"
        except aiohttp.ClientConnectorError:
            event = "refused"
        except (aiohttp.ClientError, TimeoutError):
            event = "no_answer"
        duration_ms = self._timer.now_ms() - started_ms
        self.tell_self(AppendEnded(batch_id, event, duration_ms))

    @implements_action("drop_expired")
    def _drop_expired(self, batch: Batch) -> None:
        # The log has refused the batch, so none of its records is written and some may be dropped.
        now_ms = self._timer.now_ms()
        error = LogUnavailableError("the log refused the record", step="append", peer=self._peer)
        kept = []
        for item in batch.items:
            if item.expires_at_ms > now_ms and (self.log_available or item.reply is None):
                kept.append(item)
            else:
                resolve(item.reply, error)
        if len(kept) < len(batch.items):
            batch.items = kept
            batch.texts = [self._encode(batch, index, item) for index, item in enumerate(kept)]

    @implements_action("schedule_retry")
    def _schedule_retry(self, batch: Batch) -> None:
        self.subscribe_once(self._timer.after(defaults.LOG_RETRY_MS), RetryBatch(batch.batch_id))

    @implements_action("remove_batch")
    def _remove_batch(self, batch: Batch) -> None:
        del self._batches[batch.batch_id]

    def _resend_absent(self, read_sent_at_ms: float) -> None:
        for batch in list(self._batches.values()):
            overdue_ms = read_sent_at_ms - batch.unanswered_at_ms
            if batch.state == "unanswered" and overdue_ms > defaults.APPEND_RESEND_DELAY_MS:
                self.step(APPEND_CHART, batch, "absent")

    # Snapshots and queries

    @receives(SnapshotDue)
    def _on_snapshot_due(self, _: SnapshotDue) -> None:
        if not self.log_available or self._bootstrap is not None or not self.loaded:
            return
        record_count = self.state.offset - self._last_snapshot_offset
        age_ms = self._timer.wall_ms() - self._last_snapshot_at_ms
        aged = record_count > 0 and age_ms > self._retention_ms / 4
        if not aged and record_count < self._snapshot_after_count:
            return
        self._last_snapshot_offset = self.state.offset
        self._last_snapshot_at_ms = self._timer.wall_ms()
        for part in snapshots.encode_snapshot(self.state, secrets.token_hex(6)):
            self.tell_self(Append(part, self.entry))

    @receives(ReadTail)
    def _on_read_tail(self, message: ReadTail) -> None:
        after = message.after_offset
        if after >= self.state.offset:
            items: list[dict[str, Any]] | None = []
        elif self._tail and self._tail[0]["offset"] <= after + 1:
            items = [item for item in self._tail if after < item["offset"] <= self.state.offset]
        else:
            items = None
        chunk = None
        if items is not None:
            start = items[0]["offset"] if items else after + 1
            chunk = Chunk(items, start, self.state.offset + 1, self.fresh_as_of_ms, False)
        resolve(message.reply, chunk)

    @receives(ReadState)
    def _on_read_state(self, message: ReadState) -> None:
        parts = snapshots.encode_snapshot(self.state, secrets.token_hex(6)) if self.loaded else []
        resolve(message.reply, (parts, self._timer.now_ms() - self.fresh_as_of_ms))

    @receives(ReadAudit)
    def _on_read_audit(self, message: ReadAudit) -> None:
        entries = [entry for entry in self.state.audit if message.subject in entry.subjects]
        resolve(message.reply, entries)

    @receives(ReadJob)
    def _on_read_job(self, message: ReadJob) -> None:
        resolve(message.reply, self.state.jobs.get(message.request_id))


ALL_SECTIONS = frozenset(
    ("config", "config_version", "keys", "members", "retired", "rights", "vms", "waves")
)


def _is_publish(item: dict[str, Any]) -> bool:
    record = item["record"]
    return isinstance(record, dict) and record.get("kind") == "publish"
