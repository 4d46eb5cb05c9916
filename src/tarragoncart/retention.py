"""Retention of ended jobs: which of their records the leader deletes from the store, and when."""

from __future__ import annotations

import asyncio
import logging
from itertools import islice

from attrs import frozen

from . import defaults
from .intake import DeleteJobRecords
from .jobmemory import ENDED_JOB_BYTES
from .jobmodel import EndedJob, Job
from .mailbox import new_reply, receives
from .stops import PlannedStops

logger = logging.getLogger(__name__)


@frozen
class _RecordsDeleted:
    """Outcome of a deletion of records of ended jobs from a partition."""

    part: int
    job_ids: tuple[str, ...]
    cancelled_ids: tuple[str, ...]
    succeeded: bool


def _take_batch(job_ids: dict[str, None]) -> tuple[str, ...]:
    """Remove and return the job IDs of the next deletion."""
    batch = tuple(islice(job_ids, defaults.ENDED_RECORDS_BATCH_COUNT))
    for job_id in batch:
        del job_ids[job_id]
    return batch


class Retention(PlannedStops):
    """Deletes the acceptance records of ended jobs soon, and those of their ends later.

    A new leader reads all acceptance records, and most of them would be those of ended jobs. The
    record of an end is stored before the acceptance record is deleted, and is deleted itself after
    the retention time and only while no partition holds a record of the job. Until then it shows
    that a submission that is repeated must not run again.
    """

    def _retain(self, job: Job | EndedJob) -> None:
        """Retain a job whose end is stored, and have its acceptance records deleted."""
        if isinstance(job, Job) and not job.has_runs:
            job = self._condense(job)
        self._ended.append(job if isinstance(job, EndedJob) else job.summary())
        self._release_parts(job)

    def _condense(self, job: Job) -> EndedJob:
        """Keep only the end of a job whose end is stored and that has no runs."""
        known = self._jobs.get(job.job_id)
        if isinstance(known, EndedJob):
            return known
        ended = self._jobs[job.job_id] = job.condense()
        return ended

    def _forget(self, job_id: str) -> None:
        """Remove a job from memory after its retention time."""
        job = self._jobs.pop(job_id, None)
        if job is not None:
            ended = job.condense() if isinstance(job, Job) else job
            self._memory.jobs.give_back(ended.account, ENDED_JOB_BYTES)

    def _release_parts(self, job: Job | EndedJob) -> None:
        """Have the acceptance records of an ended job deleted unless runs of it are left."""
        for part in job.parts:
            self._add_part(job, part)

    def _delete_records_of_ended_jobs(self, now_ms: float) -> None:
        """Send the due deletions, at most one at a time to each partition."""
        if now_ms - self._deletions_sent_ms < defaults.ENDED_RECORDS_DELETE_MS:
            return
        self._deletions_sent_ms = now_ms
        for part in (self._deletable.keys() | self._expired_cancels.keys()) - self._deleting_parts:
            job_ids = _take_batch(self._deletable.get(part, {}))
            cancelled_ids = _take_batch(self._expired_cancels.get(part, {}))
            if job_ids or cancelled_ids:
                self._deleting_parts.add(part)
                self._send_deletion(part, job_ids, cancelled_ids)

    def _send_deletion(
        self, part: int, job_ids: tuple[str, ...], cancelled_ids: tuple[str, ...]
    ) -> None:
        reply = new_reply()

        def report(done: asyncio.Future[bool]) -> None:
            if not done.cancelled():
                self.tell_self(_RecordsDeleted(part, job_ids, cancelled_ids, done.result()))

        reply.add_done_callback(report)
        self._intake.tell(DeleteJobRecords(job_ids, cancelled_ids, part, reply))

    @receives(_RecordsDeleted)
    def on_records_deleted(self, message: _RecordsDeleted) -> None:
        """Note which jobs have no record in a partition any more, or delete again later.

        A job that was submitted again in the meantime has another record there.
        """
        self._deleting_parts.discard(message.part)
        if not message.succeeded:
            expired = self._expired_cancels.setdefault(message.part, {})
            expired.update(dict.fromkeys(message.cancelled_ids))
        deletable = self._deletable.setdefault(message.part, {})
        for job_id in message.job_ids:
            job = self._jobs.get(job_id)
            if not message.succeeded:
                deletable[job_id] = None
            elif job is not None and job_id not in deletable:
                job.parts.discard(message.part)

    def _drop_expired_cancels(self, now_ms: float) -> None:
        """Have cancellations deleted whose jobs have not been read within the retention time.

        A record of acceptance that is appended now belongs to a job that must run.
        """
        if not self._unloaded.complete:
            # Some may be of jobs that are left in the store.
            return
        if any(self._expired_cancels.values()):
            # Otherwise the list would have no bound while the store does not delete them.
            return
        horizon_ms = now_ms - self._retention_ms - defaults.RETENTION_MARGIN_MS
        while self._early_cancels:
            job_id, cancel = next(iter(self._early_cancels.items()))
            if cancel.read_ms >= horizon_ms:
                return
            self._take_early_cancel(job_id)
            for part in cancel.parts:
                self._expired_cancels.setdefault(part, {})[job_id] = None
            logger.info("cancellation of an unknown job dropped", extra={"job": job_id})

    def _drop_expired_jobs(self) -> None:
        """Drop jobs that ended longer ago than the retention time, in memory and in the store.

        The record of an end is deleted only while no acceptance record is left; otherwise a new
        leader would run the job again.
        """
        horizon_ms = self._timer.wall_ms() - self._retention_ms - defaults.RETENTION_MARGIN_MS
        if not self._unloaded.complete:
            horizon_ms = min(horizon_ms, self._parts_known_until_ms)
        kept = []
        while self._ended and self._ended[0].ended_ms < horizon_ms:
            job = self._ended.popleft()
            if job.parts:
                kept.append(job)
                continue
            self._forget(job.job_id)
            self._dropped_keys.append(job.job_id)
            logger.info("job dropped after its retention time", extra={"job": job.job_id})
        self._ended.extendleft(reversed(kept))
        if self._dropped_keys:
            self._request_pass()
