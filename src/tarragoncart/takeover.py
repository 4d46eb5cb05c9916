"""Take-over: a new leader fences earlier ones and restores the stored jobs in short slices."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

from attrs import frozen

from . import defaults, jobmodel, metrics
from .errors import StoreRefusedError, StoreUnknownError
from .follower import read_newest
from .intake import IntakeRead
from .jobmodel import EndedJob, Job
from .leadership import Fenced
from .mailbox import new_reply, receives
from .restoration import Cancellation, MalformedRecord, Restored, UnknownKey, restore
from .retention import Retention
from .runorders import ExtendPermission, PollFailed, ReportReceived
from .storage import Entry
from .vmorders import FLEET_KEY_PREFIX
from .writer import STORED, Write

logger = logging.getLogger(__name__)

STATE_TOPIC = "keyed.state"


@frozen
class _StateRead:
    """The stored state, read after earlier leaders have been fenced."""

    entries: tuple[Entry, ...]


@frozen
class _RestoreSlice:
    """Restore jobs for the duration of a slice."""


@contextmanager
def isolated_record(key: str) -> Iterator[None]:
    """Log an error in the processing of one record, so that it costs only that record.

    Records are read once in an epoch: without this the others of a message would have no effect
    until the next take-over.
    """
    try:
        yield
    except Exception:
        logger.exception("record cannot be processed", extra={"key": key})


class TakeOver(Retention):
    """Restores the stored jobs; the event loop runs and other messages are handled in between.

    Handlers marked with ``needs_jobs`` process their messages once all jobs are restored. Of each
    link only the newest message is kept until then, as every report is complete.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._stored_state: tuple[Entry, ...] | None = None
        self._accepted: IntakeRead | None = None
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

    def handle(self, message: Any) -> Any:
        """Handle a message, or hold it until all jobs are restored if its handler needs them."""
        handler = self._handlers[type(message)]
        if self._loaded or not getattr(handler, "needs_jobs", False):
            return super().handle(message)
        if isinstance(message, IntakeRead) and self._accepted is None:
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
        records = _job_records(self._stored_state)
        self._restoration = restore(self._accepted.entries, records, self._timer.wall_ms())
        self.tell_self(_RestoreSlice())

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

    def _add_restored_end(self, job: Job | EndedJob) -> None:
        if job.job_id in self._restored_jobs:
            self._release_parts(job)
            return
        self._restored_jobs[job.job_id] = job
        if isinstance(job, Job):
            self._restore_runs(job)
            for task in job.tasks():
                self._stop_task(task)
                self._stop_copies(task)
        self._retain(job)

    def _restore_runs(self, job: Job) -> None:
        for task in job.tasks():
            if task.placed:
                self._placed_count += 1
                self._restore_placed_task(task)
            elif task.bound_to:
                self._restore_bound_task(task)
            self._restore_copies(task)

    def _add_restored_job(self, job: Job) -> None:
        self._restored_jobs[job.job_id] = job
        self._restore_runs(job)
        if any(task.run for task in job.tasks()):
            job.phase = jobmodel.RUNNING
            job.start_uncertain = not any(task.has_left_traces for task in job.tasks())
        self._admit(job)

    def _complete_restoring(self) -> None:
        assert self._accepted is not None
        self._jobs = self._restored_jobs
        self._loaded = True
        self._intake_as_of_ms = self._accepted.as_of_ms
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
                "placed_count": self._placed_count,
                "after_ms": round(after_ms),
            },
        )
        self._start_fleet_if_ready()
        self._stored_state, self._accepted = None, None
        self._cancellations, self._restored_jobs = [], {}
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


def _job_records(entries: Iterable[Entry]) -> Iterator[tuple[str, bytes]]:
    """Yield the records of the leader's state that belong to jobs."""
    for entry in entries:
        if entry.value and not entry.key.startswith(FLEET_KEY_PREFIX):
            yield entry.key, entry.value
