"""Take-over: a new leader fences earlier ones and restores the stored jobs in short slices."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Iterable, Iterator
from typing import Any

from attrs import evolve, frozen

from . import defaults, jobmodel, metrics, staterecords
from .errors import StoreRefusedError, StoreUnknownError
from .follower import read_newest
from .intake import ENTRY_BYTES, JOB_PREFIX, IntakeHandled, IntakeRead, ReadIntakeAgain
from .jobmemory import ENDED_JOB_BYTES, job_bytes
from .jobmodel import EndedJob, Job
from .leadership import Fenced
from .loading import Loading, isolated_record
from .mailbox import new_reply, receives
from .restoration import (
    Cancellation,
    FurtherPart,
    MalformedRecord,
    OmittedJob,
    Restored,
    UnknownKey,
    consume,
    restore,
)
from .runorders import ExtendPermission, PollFailed, ReportReceived
from .storage import Entry
from .unloaded import UnloadedJob
from .vmorders import FLEET_KEY_PREFIX
from .writer import STORED, Write

logger = logging.getLogger(__name__)

STATE_TOPIC = "keyed.state"
# Account that the ends of jobs under earlier leaders are counted for, as their records do not name
# one. Jobs without an account would wait for memory if these were counted for the empty name.
EARLIER_ENDS = "/ends"


@frozen
class _StateRead:
    """The stored state, read after earlier leaders have been fenced."""

    entries: tuple[Entry, ...]


@frozen
class _RestoreSlice:
    """Restore jobs for the duration of a slice."""


class TakeOver(Loading):
    """Restores the stored jobs; the event loop runs and other messages are handled in between.

    Handlers marked with ``needs_jobs`` process their messages once all jobs are restored. Of each
    link only the newest message is kept until then, as every report is complete.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._stored_state: tuple[Entry, ...] | None = None
        # Memory of the stored state until all jobs are restored.
        self._stored_bytes = 0
        self._accepted: IntakeRead | None = None
        self._reads_intake_again = False
        self._restoration: Iterator[Restored | None] = iter(())
        self._restored_jobs: dict[str, Job | EndedJob] = {}
        self._cancellations: list[Cancellation] = []
        self._placed_count = 0
        self._fleet_started = False
        self._held: list[Any] = []
        self._held_by_upstream: dict[str, ReportReceived | PollFailed] = {}

    async def on_open(self) -> None:
        """Fence earlier leaders, then start to read upstreams, jobs and state."""
        self._writer.start()
        self.spawn(self._fence_and_read())
        if self._make_advisor is not None:
            self._advisor = self._make_advisor(self)
            self._advisor.start()

    async def _fence_and_read(self) -> None:
        reply = new_reply()
        self._writer.tell(Write((), reply))
        if await reply != STORED:
            self._election.tell(Fenced(self._epoch))
            return
        self._fenced_ms = self._timer.now_ms()
        self._log_takeover_step("earlier leaders are fenced")
        # They are read as concurrently as the link allows, as each call takes long while the store
        # is slow. Jobs and state are not read before the fence: an earlier leader could drop a job
        # between the two.
        self._upstream_follower.start()
        self._intake.start()
        self.tell_self(_StateRead(await self._read_state()))

    def _log_takeover_step(self, step: str, entries: Iterable[Entry] = ()) -> None:
        """Log when a step of the take-over has ended, and the size of what it has read."""
        sizes_bytes = [len(entry.value) for entry in entries]
        logger.info(
            "step of the take-over has ended",
            extra={
                "epoch": self._epoch,
                "step": step,
                "record_count": len(sizes_bytes),
                "size_bytes": sum(sizes_bytes),
                "after_ms": round(self._timer.now_ms() - self._leader_since_ms),
            },
        )

    async def _read_state(self) -> tuple[Entry, ...]:
        store = self._make_store()
        try:
            while True:
                try:
                    async with self._bulk_reads:
                        return (await read_newest(store, STATE_TOPIC)).entries
                except (StoreRefusedError, StoreUnknownError) as error:
                    logger.warning(
                        "stored state cannot be read; retrying", extra={"reason": str(error)}
                    )
                    await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
        finally:
            await store.close()

    @property
    def memory_bytes(self) -> int:
        """Memory that its jobs use, with the records that they are restored from."""
        return super().memory_bytes + self._stored_bytes

    def handle(self, message: Any) -> Any:
        """Handle a message, or hold it until all jobs are restored if its handler needs them."""
        handler = self._handlers[type(message)]
        if self._loaded or not getattr(handler, "needs_jobs", False):
            return super().handle(message)
        if isinstance(message, IntakeRead) and message.first and self._accepted is None:
            self._log_takeover_step("jobs are read", (entry for _, entry in message.entries))
            self._accepted = message
            self._start_restoring()
        elif isinstance(message, ReportReceived | PollFailed):
            self._hold_for_upstream(message)
        else:
            self._held.append(message)
        return None

    def _hold_for_upstream(self, message: ReportReceived | PollFailed) -> None:
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None and isinstance(message, ReportReceived):
            self._note_first_report(upstream)
        self._held_by_upstream[message.upstream_id] = message

    @receives(_StateRead)
    def on_state_read(self, message: _StateRead) -> None:
        """Create the owner of the VMs, and restore the jobs if they have been read as well."""
        self._log_takeover_step("state is read", message.entries)
        self._stored_state = message.entries
        self._stored_bytes = sum(ENTRY_BYTES + len(entry.value) for entry in message.entries)
        if self._make_fleet is not None:
            fleet_records = {
                e.key: e.value for e in message.entries if e.key.startswith(FLEET_KEY_PREFIX)
            }
            self._fleet = self._make_fleet(self, fleet_records)
            self._fleet.tell(ExtendPermission(self._permitted_until_ms))
            self._forward_evacuations()
        self._start_restoring()

    def _start_restoring(self) -> None:
        if self._stored_state is None or self._accepted is None:
            return
        if not self._reads_intake_again and _has_omissions(self._accepted):
            needed_ids = find_needed_ids(_job_records(self._stored_state))
            if _lacks(self._accepted, needed_ids):
                self._read_intake_again(needed_ids)
                return
        records = _job_records(self._stored_state)
        accepted = deque(self._accepted.entries)
        # Records are dropped one by one as their jobs are restored.
        self._stored_state, self._accepted = (), evolve(self._accepted, entries=())
        self._restoration = restore(consume(accepted), records, self._timer.wall_ms(), self._memory)
        self.tell_self(_RestoreSlice())

    def _read_intake_again(self, needed_ids: set[str]) -> None:
        """Read the accepted jobs again, with the records that are needed at once."""
        assert self._accepted is not None
        logger.info("accepted jobs are read again", extra={"needed_count": len(needed_ids)})
        self._reads_intake_again = True
        self._intake.tell(IntakeHandled(self._accepted.size_bytes))
        self._intake.tell(ReadIntakeAgain(frozenset(needed_ids)))
        self._accepted = None

    @receives(_RestoreSlice)
    def on_restore_slice(self, message: _RestoreSlice) -> None:
        """Restore jobs for ``RESTORE_SLICE_MS``, then let the event loop run."""
        end_ms = self._timer.now_ms() + defaults.RESTORE_SLICE_MS
        for restored in self._restoration:
            if restored is not None:
                with isolated_record(getattr(restored, "job_id", "")):
                    self._add_restored(restored)
            if self._timer.now_ms() >= end_ms:
                asyncio.get_running_loop().call_soon(self.tell_self, message)
                return
        self._complete_restoring()

    def _add_restored(self, restored: Restored) -> None:
        match restored:
            case Job(ended=False):
                self._add_restored_job(restored)
            case Job() | EndedJob():
                self._add_restored_end(restored)
            case Cancellation():
                self._cancellations.append(restored)
            case MalformedRecord():
                self._malformed.add(restored.key, restored.error)
            case UnknownKey():
                self._dropped_keys.append(restored.key)
            case FurtherPart():
                self._add_restored_part(restored)
            case OmittedJob():
                parts = frozenset({restored.part})
                self._unloaded.add(UnloadedJob(restored.job_id, None, None, 0, parts))

    def _add_restored_part(self, further: FurtherPart) -> None:
        if further.job_id in self._unloaded:
            self._unloaded.add_part(further.job_id, further.part)
            return
        job = self._restored_jobs.get(further.job_id)
        if job is not None:
            self._add_part(job, further.part)

    def _add_restored_end(self, job: Job | EndedJob) -> None:
        if isinstance(job, EndedJob):
            job.account = EARLIER_ENDS
            self._memory.jobs.take(job.account, ENDED_JOB_BYTES)
        else:
            job.take_memory()
            self._restore_runs(job)
            for task in list(job.kept_tasks()):
                self._stop_task(task)
                self._stop_copies(task)
            if not job.has_runs:
                job = job.condense()
        self._restored_jobs[job.job_id] = job
        self._retain(job)

    def _restore_runs(self, job: Job) -> None:
        for task in list(job.kept_tasks()):
            if task.placed:
                self._placed_count += 1
                self._restore_placed_task(task)
            elif task.bound_to:
                self._restore_bound_task(task)
            self._restore_copies(task)

    def _add_restored_job(self, job: Job) -> None:
        left = self._unloaded.remove(job.job_id)
        if left is not None:
            job.parts |= left.parts
        size_bytes = job_bytes(job.submission)
        admitted = self._memory.jobs.admits(job.submission.account, size_bytes)
        if not job.has_had_runs and not admitted:
            self._leave_in_store(job.submission, frozenset(job.parts))
            return
        self._restored_jobs[job.job_id] = job
        job.take_memory()
        self._restore_runs(job)
        if job.has_had_runs:
            job.phase = jobmodel.RUNNING
            job.start_uncertain = not job.has_left_traces
        self._admit(job)

    def _complete_restoring(self) -> None:
        assert self._accepted is not None
        self._jobs, self._restored_jobs = self._restored_jobs, {}
        self._loaded = True
        self._intake_as_of_ms = self._accepted.as_of_ms
        if not self._accepted.complete:
            self._unloaded.note_left_out()
        self._intake.tell(IntakeHandled(self._accepted.size_bytes))
        self._ended = deque(sorted(self._ended, key=lambda job: job.ended_ms))
        for cancellation in self._cancellations:
            with isolated_record(cancellation.job_id):
                self._cancel_job(cancellation.job_id, cancellation.part)
        after_ms = self._timer.now_ms() - self._leader_since_ms
        metrics.TAKEOVER_DURATION.record(after_ms)
        logger.info(
            "state taken over",
            extra={
                "epoch": self._epoch,
                "job_count": len(self._jobs),
                "unfinished_count": len(self._unfinished),
                "left_count": len(self._unloaded),
                "placed_count": self._placed_count,
                "after_ms": round(after_ms),
            },
        )
        self._start_fleet_if_ready()
        self._stored_state, self._accepted, self._stored_bytes = None, None, 0
        self._cancellations, self._restoration = [], iter(())
        self._put_back([*self._held, *self._held_by_upstream.values()])
        self._held, self._held_by_upstream = [], {}
        self._request_pass()

    def _start_fleet_if_ready(self) -> None:
        """Start the owner of the VMs once the tasks and the upstreams that VMs run are known.

        A request to vacate an upstream that is not registered is answered as done.
        """
        ready = self._loaded and self._registrations_read
        if ready and self._fleet is not None and not self._fleet_started:
            self._fleet_started = True
            self._fleet.start()


def find_needed_ids(records: Iterable[tuple[str, bytes]]) -> set[str]:
    """Return the jobs that cannot be left in the store.

    Without the acceptance record of a job that has started its runs would be stopped, and a job
    whose end is unreadable would run again.

    :param records: records of the leader's state that belong to jobs.
    """
    needed_ids = set()
    for key, value in records:
        job_id, _, step = key.partition(".")
        if step or not staterecords.is_end_readable(job_id, value):
            needed_ids.add(job_id)
    return needed_ids


def _has_omissions(accepted: IntakeRead) -> bool:
    return not accepted.complete or any(entry.omitted for _, entry in accepted.entries)


def _lacks(accepted: IntakeRead, needed_ids: set[str]) -> bool:
    """Return whether the record of a job that is needed may have been read without its value."""
    whole_ids = {
        entry.key.removeprefix(JOB_PREFIX) for _, entry in accepted.entries if not entry.omitted
    }
    omitted_ids = {
        entry.key.removeprefix(JOB_PREFIX) for _, entry in accepted.entries if entry.omitted
    }
    if accepted.complete:
        return bool(needed_ids & omitted_ids - whole_ids)
    return bool(needed_ids - whole_ids)


def _job_records(entries: Iterable[Entry]) -> Iterator[tuple[str, bytes]]:
    """Yield the records of the leader's state that belong to jobs."""
    for entry in entries:
        if entry.value and not entry.key.startswith(FLEET_KEY_PREFIX):
            yield entry.key, entry.value
