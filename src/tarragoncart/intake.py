"""Records of accepted and cancelled jobs, which entry VMs write and the leader reads.

A partition of the store processes one append at a time. Entry VMs are distributed over the
partitions, so that they do not wait for each other's appends when the store is slow; the leader
reads all partitions.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections import deque
from collections.abc import Callable
from typing import Any
from zlib import crc32

import msgspec
from attrs import evolve, frozen
from cattrs import Converter
from cattrs.gen import make_dict_unstructure_fn

from . import defaults
from .decoding import UNIX_MS_MAX, check_float, check_int, decoder, is_identifier
from .errors import (
    DecodeError,
    InboxFullError,
    StoreConflictError,
    StoreRefusedError,
    StoreUnknownError,
)
from .follower import BulkReads, Follower, TopicChanges, TopicSnapshot
from .graph import Demand, JobSpec, StepSpec, Submission
from .mailbox import Actor, new_reply, receives, resolve
from .storage import DEFAULT_LIMITS, Entry, StoreLimits
from .timer import Timer
from .writer import STORED, Write, Writer

logger = logging.getLogger(__name__)

TOPIC = "keyed.intake"
# Producer name under which the leader deletes the records of jobs past their retention.
DELETE_PRODUCER = "dropper"
JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"
# Maximum number of tasks of a job, over all its occurrences.
TASK_LIMIT_COUNT = 20_000
# The state of a step's tasks is one record of the store, of at most 256 KiB. A task's row has up to
# about 100 bytes.
STEP_TASK_LIMIT_COUNT = 2_000

_TopicMessage = TopicSnapshot | TopicChanges
# Memory of a record that has been read, besides its value.
ENTRY_BYTES = 350
# Keys of jobs without their values may use this multiple of the memory for records.
OMITTED_MEMORY_RATIO = 1.25

_decoder = msgspec.json.Decoder(Submission)
_converter = Converter()
for _type in (Demand, StepSpec, JobSpec, Submission):
    # Fields with their default values are omitted: stored bytes are charged for.
    _converter.register_unstructure_hook(
        _type, make_dict_unstructure_fn(_type, _converter, _cattrs_omit_if_default=True)
    )


def submission_record(submission: Submission) -> tuple[str, bytes]:
    """Return the record of an accepted job."""
    data = _converter.unstructure(submission)
    return JOB_PREFIX + submission.job_id, json.dumps(data, separators=(",", ":")).encode()


def cancel_record(job_id: str, at_ms: int) -> tuple[str, bytes]:
    """Return the record of a cancelled job."""
    return CANCEL_PREFIX + job_id, str(at_ms).encode()


@decoder("acceptance record")
def decode_submission(job_id: str, value: bytes) -> Submission:
    """Decode the record of an accepted job.

    :raises DecodeError: if it is malformed, or is the record of another job.
    """
    submission = _share_equal_steps(_decoder.decode(value))
    if submission.job_id != job_id or not is_identifier(job_id):
        raise DecodeError("not the ID of its key", place="job_id")
    check_int(submission.accepted_ms, "accepted_ms", high=UNIX_MS_MAX)
    check_int(submission.max_attempts, "max_attempts", low=1)
    check_int(submission.target_latency_ms, "target_latency_ms")
    check_float(submission.stretch, "stretch")
    check_job(submission.spec)
    return submission


def _share_equal_steps(submission: Submission) -> Submission:
    """Return a submission whose equal steps are one object, as a job may have thousands."""
    distinct: dict[StepSpec, StepSpec] = {}
    steps = tuple(distinct.setdefault(step, step) for step in submission.spec.steps)
    return evolve(submission, spec=evolve(submission.spec, steps=steps))


def check_job(spec: JobSpec) -> None:
    """Check that a job can be stored and scheduled.

    :raises DecodeError: naming the field and the limit.
    """
    check_int(spec.first_due_ms, "first_due_ms", high=UNIX_MS_MAX)
    check_int(spec.interval_ms, "interval_ms", high=UNIX_MS_MAX)
    check_int(spec.occurrence_count, "occurrence_count")
    for number, step in enumerate(spec.steps):
        _check_step(step, number)
    task_count = sum(step.task_count for step in spec.steps)
    if not 1 <= task_count * max(1, spec.occurrence_count) <= TASK_LIMIT_COUNT:
        raise DecodeError(f"no tasks or more than {TASK_LIMIT_COUNT}", place="steps")


def _check_step(step: StepSpec, number: int) -> None:
    place = f"steps[{number}]"
    check_int(step.task_count, f"{place}.task_count", 1, STEP_TASK_LIMIT_COUNT)
    for amount in (step.demand.cpu_millicores, step.demand.memory_mb, step.demand.gpu_count):
        check_int(amount, f"{place}.demand")
    check_int(step.estimate_ms, f"{place}.estimate_ms")
    check_int(step.max_per_upstream_count, f"{place}.max_per_upstream_count")
    check_int(step.max_away_count or 0, f"{place}.max_away_count")
    for other in step.depends_on:
        check_int(other, f"{place}.depends_on", high=number - 1)


def partitions_of(entry_name: str, part_count: int) -> tuple[int, ...]:
    """Return the partitions that an entry VM writes to: the primary one, then the fallback.

    The fallback is left out if there is only one partition.
    """
    first = crc32(entry_name.encode()) % part_count
    second = (first + part_count // 2) % part_count
    return (first,) if first == second else (first, second)


@frozen
class IntakeRead:
    """Records of jobs and cancellations.

    :param entries: pairs of partition and record.
    :param as_of_ms: the records include everything that was appended before this time.
    :param size_bytes: memory that the reader counts for them until it is told that they have been
        handled.
    :param first: it is the first message, which contains all that the store keeps.
    :param complete: False if there was no memory for some records, not even without their values.
    """

    entries: tuple[tuple[int, Entry], ...]
    as_of_ms: float
    size_bytes: int = 0
    first: bool = False
    complete: bool = True


@frozen
class ReadIntakeAgain:
    """Read all partitions anew from their first record.

    :param whole_ids: jobs whose records are read with their values.
    """

    whole_ids: frozenset[str]


@frozen
class IntakeHandled:
    """The records of a message have been handled, and their memory is free again."""

    size_bytes: int


@frozen
class ReadPage:
    """Read stored records again, one page of a partition.

    :param after: the page begins with the first key after this one.
    """

    part: int
    after: str


@frozen
class PageRead:
    """Outcome of a :class:`ReadPage`.

    :param entries: empty after the last page; None if the store did not answer.
    """

    part: int
    after: str
    entries: tuple[Entry, ...] | None


@frozen
class DeleteJobRecords:
    """Delete records of jobs from a partition.

    :param job_ids: jobs whose records of acceptance and cancellation are deleted.
    :param cancelled_ids: jobs of which only the record of cancellation is deleted.
    :param reply: resolved with whether they were deleted.
    """

    job_ids: tuple[str, ...]
    cancelled_ids: tuple[str, ...]
    part: int
    reply: asyncio.Future[bool]


class IntakeReader(Actor):
    """Reads all partitions for the leader and deletes records on request.

    :param epoch: epoch of the leader, which fences deletions by earlier leaders.
    :param make_store: returns a new client of the store; each actor needs its own.
    :param listener: actor that receives :class:`IntakeRead`.
    :param bulk_reads: limits how many partitions are read for the first time at once.
    :param store_limits: what the store accepts of deletions.
    :param memory_bytes: memory for records that have been read and not been handled. Of an accepted
        job beyond it only the key is forwarded, and beyond that nothing.
    """

    def __init__(
        self,
        epoch: int,
        part_count: int,
        make_store: Callable[[], Any],
        listener: Actor,
        timer: Timer,
        bulk_reads: BulkReads,
        *,
        store_limits: StoreLimits = DEFAULT_LIMITS,
        memory_bytes: float = float("inf"),
    ) -> None:
        super().__init__("intake reader")
        self._memory_bytes = memory_bytes
        self._store_limits = store_limits
        self._whole_ids: frozenset[str] = frozenset()
        self._forwarded = False
        self._used_bytes = 0
        # Memory of the buffered records, and whether some could not be buffered.
        self._buffered_bytes = 0
        self._buffer_complete = True
        self._bulk_reads = bulk_reads
        self._epoch = epoch
        self._make_store = make_store
        self._listener = listener
        self._timer = timer
        self._as_of_ms: dict[int, float] = {}
        self._buffered: list[tuple[int, Entry]] = []
        self._part_count = part_count
        self._followers: list[Follower] = []
        self._writers: dict[int, Writer] = {}
        self._page_store: Any = None

    async def on_open(self) -> None:
        """Start a follower for each partition."""
        self._start_followers()

    def _start_followers(self) -> None:
        for part in range(self._part_count):
            follower = Follower(
                self._make_store(),
                TOPIC,
                self,
                self._timer,
                wait_ms=defaults.INTAKE_WAIT_MS,
                part=part,
                bulk_reads=self._bulk_reads,
                keep=self._keep,
            )
            self._followers.append(follower)
            follower.start()

    async def on_close(self) -> None:
        """Stop the followers and writers."""
        actors = (*self._followers, *self._writers.values())
        await asyncio.gather(*(actor.stop() for actor in actors), return_exceptions=True)
        if self._page_store is not None:
            await self._page_store.close()

    @receives(TopicSnapshot)
    def on_snapshot(self, message: TopicSnapshot) -> None:
        """Collect the newest record of each key of a partition."""
        self._collect(message.part, message.entries, message.as_of_ms)

    @receives(TopicChanges)
    def on_changes(self, message: TopicChanges) -> None:
        """Collect the records appended to a partition."""
        self._collect(message.part, message.entries, message.as_of_ms)

    def _keep(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Keep the records for which there is memory, of some jobs only the key."""
        kept = []
        for entry in entries:
            is_job = entry.key.startswith(JOB_PREFIX)
            if not entry.value:
                # Deletions have no effect on the leader, which has ordered them.
                continue
            whole = is_job and entry.key.removeprefix(JOB_PREFIX) in self._whole_ids
            if whole or self._reserve(ENTRY_BYTES + len(entry.value), 1.0):
                kept.append(entry)
            elif is_job and self._reserve(ENTRY_BYTES, OMITTED_MEMORY_RATIO):
                kept.append(Entry(entry.key, b"", entry.offset, omitted=True))
            else:
                self._buffer_complete = False
        return tuple(kept)

    def _reserve(self, size_bytes: int, ratio: float) -> bool:
        if self._used_bytes + size_bytes > ratio * self._memory_bytes:
            return False
        self._used_bytes += size_bytes
        self._buffered_bytes += size_bytes
        return True

    @receives(IntakeHandled)
    def on_handled(self, message: IntakeHandled) -> None:
        """Use the memory of handled records for others."""
        self._used_bytes -= message.size_bytes

    @receives(ReadPage)
    def on_read_page(self, message: ReadPage) -> None:
        """Read a page of stored records again."""
        self.spawn(self._read_page(message))

    async def _read_page(self, message: ReadPage) -> None:
        if self._page_store is None:
            self._page_store = self._make_store()
        entries: tuple[Entry, ...] | None = None
        try:
            async with self._bulk_reads:
                chunk = await self._page_store.newest_page(TOPIC, message.part, message.after)
            entries = chunk.entries
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.warning(
                "stored jobs cannot be read",
                extra={"part": message.part, "reason": str(error)},
            )
        self._listener.tell(PageRead(message.part, message.after, entries))

    def _collect(self, part: int, entries: tuple[Entry, ...], as_of_ms: float) -> None:
        """Buffer records until each partition has been read once; from then on, forward them."""
        self._buffered.extend((part, entry) for entry in entries)
        self._as_of_ms[part] = as_of_ms
        if len(self._as_of_ms) < self._part_count:
            return
        try:
            self._listener.tell(
                IntakeRead(
                    tuple(self._buffered),
                    min(self._as_of_ms.values()),
                    self._buffered_bytes,
                    not self._forwarded,
                    self._buffer_complete,
                )
            )
        except InboxFullError as error:
            # No follower reads the records again; they are forwarded with the next ones.
            logger.warning(
                "records of the intake cannot be forwarded",
                extra={"count": len(self._buffered), "reason": str(error)},
            )
            return
        self._forwarded = True
        self._buffered, self._buffered_bytes, self._buffer_complete = [], 0, True

    @receives(ReadIntakeAgain)
    async def on_read_again(self, message: ReadIntakeAgain) -> None:
        """Stop all followers, and start new ones that read the newest records first."""
        followers, self._followers = self._followers, []
        await asyncio.gather(*(follower.stop() for follower in followers), return_exceptions=True)
        # Messages of the followers that have been stopped are in the inbox.
        self._inbox = deque(m for m in self._inbox if not isinstance(m, _TopicMessage))
        self._used_bytes -= self._buffered_bytes
        self._buffered, self._buffered_bytes, self._buffer_complete = [], 0, True
        self._as_of_ms, self._forwarded = {}, False
        self._whole_ids = message.whole_ids
        self._start_followers()

    @receives(DeleteJobRecords)
    def on_delete_job_records(self, message: DeleteJobRecords) -> None:
        """Delete the records of acceptance and cancellation of jobs."""
        self.spawn(self._delete_job_records(message))

    async def _delete_job_records(self, message: DeleteJobRecords) -> None:
        cancelled_ids = (*message.job_ids, *message.cancelled_ids)
        records = (
            *((JOB_PREFIX + job_id, b"") for job_id in message.job_ids),
            *((CANCEL_PREFIX + job_id, b"") for job_id in cancelled_ids),
        )
        reply = new_reply()
        self._writer(message.part).tell(Write(records, reply))
        resolve(message.reply, await reply == STORED)

    def _writer(self, part: int) -> Writer:
        writer = self._writers.get(part)
        if writer is None:
            writer = Writer(
                f"intake dropper {part}",
                self._make_store(),
                TOPIC,
                DELETE_PRODUCER,
                self._epoch,
                self._timer,
                part=part,
                limits=self._store_limits,
            )
            self._writers[part] = writer
            writer.start()
        return writer
