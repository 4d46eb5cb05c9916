"""Arrival of accepted jobs at the leader, which loads as many as it has memory for."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import Factory, frozen

from . import defaults, intake, jobmodel, metrics
from .errors import DecodeError
from .graph import Submission
from .intake import IntakeHandled, IntakeRead, PageRead, ReadPage
from .jobmemory import ENDED_JOB_BYTES, job_bytes
from .jobmodel import EndedJob, Job
from .leadership import SmallestCandidateKnown
from .mailbox import receives, resolve
from .retention import Retention
from .runstate import needs_jobs
from .storage import Entry
from .unloaded import UnloadedJob

logger = logging.getLogger(__name__)

# Comes after all characters of job IDs.
KEY_END = "~"


@frozen
class Backlog:
    """Accounts that have left so many jobs in the store that entry VMs refuse more of them.

    :param pauses_ms: by account, expected time until there is room for another one of its jobs;
        infinite if that is not known.
    """

    pauses_ms: Mapping[str, float] = Factory(dict)


@frozen
class QueryBacklog:
    """Request for the :class:`Backlog`."""

    reply: asyncio.Future[Backlog]


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


class Loading(Retention):
    """Loads accepted jobs while there is memory for them, and leaves the others in the store.

    What is left there is read again, page by page, when jobs that have ended make room. The memory
    of the leader is thus bounded whatever was accepted, also by entry VMs that cannot ask it.
    """

    @receives(IntakeRead)
    @needs_jobs
    def on_intake(self, message: IntakeRead) -> None:
        """Process accepted and cancelled jobs."""
        self._intake_as_of_ms = message.as_of_ms
        if not message.complete:
            self._unloaded.note_left_out()
        self._process_records(message.entries)
        self._intake.tell(IntakeHandled(message.size_bytes))
        self._request_pass()

    def _process_records(self, entries: tuple[tuple[int, Entry], ...]) -> None:
        """Add jobs before they are cancelled, whatever the order of their records."""
        cancelled: list[tuple[str, int]] = []
        for part, entry in entries:
            if entry.key.startswith(intake.JOB_PREFIX):
                with isolated_record(entry.key):
                    self._add_job(entry, part)
            elif entry.key.startswith(intake.CANCEL_PREFIX) and entry.value:
                cancelled.append((entry.key.removeprefix(intake.CANCEL_PREFIX), part))
        for job_id, part in cancelled:
            with isolated_record(intake.CANCEL_PREFIX + job_id):
                self._cancel_job(job_id, part)

    def _add_job(self, entry: Entry, part: int) -> None:
        job_id, value = entry.key.removeprefix(intake.JOB_PREFIX), entry.value
        if job_id in self._jobs:
            # The same job was also submitted through another entry VM.
            self._add_part(self._jobs[job_id], part)
        elif job_id in self._unloaded:
            self._unloaded.add_part(job_id, part)
        elif entry.omitted:
            self._unloaded.add(UnloadedJob(job_id, None, None, 0, frozenset({part})))
        elif value:
            submission = self._decode_submission(entry)
            if submission is not None:
                self._load_or_leave(submission, frozenset({part}))

    def _decode_submission(self, entry: Entry) -> Submission | None:
        """Return the submission of a record, None if it is malformed."""
        job_id = entry.key.removeprefix(intake.JOB_PREFIX)
        try:
            return intake.decode_submission(job_id, entry.value)
        except DecodeError as error:
            self._malformed.add(entry.key, error, entry.offset)
            return None

    def _load_or_leave(self, submission: Submission, parts: frozenset[int]) -> None:
        account, size_bytes = submission.account, job_bytes(submission)
        if self._unloaded.delays(account) or not self._memory.jobs.admits(account, size_bytes):
            self._leave_in_store(submission, parts)
        else:
            self._load(submission, parts)

    def _leave_in_store(self, submission: Submission, parts: frozenset[int]) -> None:
        """Leave a job in the store until there is memory for it."""
        job_id, account, size_bytes = (
            submission.job_id,
            submission.account,
            job_bytes(submission),
        )
        known = self._unloaded.add(
            UnloadedJob(job_id, account, submission.queue, size_bytes, parts)
        )
        metrics.JOBS_LEFT.add(1)
        logger.info(
            "job left in the store for want of memory",
            extra={
                "job": job_id,
                "account": account,
                "size_bytes": size_bytes,
                "account_bytes": self._memory.jobs.used_by(account),
                "used_bytes": self._memory.jobs.used_bytes,
                "limit_bytes": self._memory.jobs.limit_bytes,
                "left_count": len(self._unloaded),
                "known": known,
            },
        )

    def _load(self, submission: Submission, parts: frozenset[int]) -> None:
        job_id, account = submission.job_id, submission.account
        arrived_ms = self._timer.wall_ms()
        job = Job(submission, arrived_ms, memory=self._memory)
        job.take_memory()
        job.parts |= parts
        self._jobs[job_id] = job
        weight = self._usage(account).weight
        if account and self._shares.exceeds(self._timer.now_ms(), account, weight):
            job.beyond_share = True
        if not submission.spec.long_running and not job.beyond_share:
            work = submission.spec.work_millicore_ms
            self._offered_load.add(self._timer.now_ms(), submission.pool, work)
        self._admit(job)
        early_cancel = self._take_early_cancel(job_id)
        if early_cancel is not None:
            for early_part in early_cancel.parts:
                self._cancel_job(job_id, early_part)

    def _cancel_job(self, job_id: str, part: int) -> None:
        if not self._unloaded.cancel(job_id, part):
            super()._cancel_job(job_id, part)
            return
        logger.info("job left in the store is cancelled", extra={"job": job_id})
        self._end_cancelled(job_id)

    def _end_cancelled(self, job_id: str) -> None:
        """End a cancelled job that is left in the store, if there is memory for its end.

        It has no runs and needs no record but that of its end.
        """
        left = self._unloaded.find(job_id)
        if left is None or not self._memory.jobs.admits(left.account or "", ENDED_JOB_BYTES):
            return
        self._unloaded.remove(job_id)
        account, ended_ms, parts = left.account or "", self._timer.wall_ms(), set(left.parts)
        job = EndedJob(job_id, jobmodel.CANCELLED, ended_ms, parts, account, stored=False)
        self._memory.jobs.take(account, ENDED_JOB_BYTES)
        self._jobs[job_id] = job
        self._dirty_jobs[job] = None
        self._request_pass()

    @receives(SmallestCandidateKnown)
    def on_smallest_candidate(self, message: SmallestCandidateKnown) -> None:
        """Keep no more of jobs than the smallest VM that may lead next can take over.

        A successor has to load all jobs with runs, whatever its memory.
        """
        if self._memory.limit_to(message.memory_mb):
            logger.info(
                "memory for jobs has changed",
                extra={
                    "smallest_vm_mb": message.memory_mb,
                    "job_limit_bytes": self._memory.jobs.limit_bytes,
                    "task_limit_bytes": self._memory.tasks.limit_bytes,
                },
            )
            self._request_pass()

    @receives(QueryBacklog)
    def on_query_backlog(self, message: QueryBacklog) -> None:
        """Tell for which accounts no more jobs should be accepted."""
        resolve(message.reply, Backlog(dict(self._unloaded.full_accounts(self._timer.now_ms()))))

    # Reading what was left in the store.

    def _read_unloaded(self) -> None:
        """Request a page of the store that holds a job for which there is memory now."""
        for job_id in self._unloaded.cancelled_ids():
            self._end_cancelled(job_id)
        if self._page_requested:
            return
        job = self._unloaded.next_loadable(self._memory.jobs.admits)
        if job is not None:
            self._wanted_id = job.job_id
            self._request_page(min(job.parts), _key_before(intake.JOB_PREFIX + job.job_id))
        elif self._reread_from is not None:
            self._request_page(*self._reread_from)
        elif not self._unloaded.complete and self._must_read_again():
            self._unloaded.begin_reading()
            self._reread_wall_ms = self._timer.wall_ms()
            self._reread_from = 0, ""
            self._request_page(*self._reread_from)

    def _must_read_again(self) -> bool:
        """Return whether to look for unknown jobs: there is room for some, or it is long ago."""
        age_ms = self._timer.wall_ms() - self._reread_wall_ms
        return self._unloaded.has_room or age_ms >= defaults.REREAD_INTERVAL_MS

    def _request_page(self, part: int, after: str) -> None:
        self._page_requested = True
        self._intake.tell(ReadPage(part, after))

    @receives(PageRead)
    def on_page_read(self, message: PageRead) -> None:
        """Load the jobs of a page for which there is memory, and note those that are not known."""
        self._page_requested = False
        if message.entries is None:
            return
        left_ids = {
            job_id for job_id in map(_job_id_of, message.entries) if self._unloaded.waits(job_id)
        }
        for entry in message.entries:
            if _job_id_of(entry) in left_ids:
                with isolated_record(entry.key):
                    self._load_if_possible(entry, message.part)
        if (message.part, message.after) == self._reread_from:
            others = (entry for entry in message.entries if _job_id_of(entry) not in left_ids)
            self._process_records(tuple((message.part, entry) for entry in others))
            self._advance_reading(message.part, message.entries)
        elif self._wanted_id not in left_ids and self._unloaded.waits(self._wanted_id):
            # Its record is not where it was; it is looked for everywhere.
            self._unloaded.remove(self._wanted_id)
            self._unloaded.note_left_out()
        self._request_pass()

    def _load_if_possible(self, entry: Entry, part: int) -> None:
        job_id = entry.key.removeprefix(intake.JOB_PREFIX)
        submission = self._decode_submission(entry)
        left = self._unloaded.remove(job_id)
        if submission is None or left is None:
            return
        parts, account = left.parts | {part}, submission.account
        if not self._memory.jobs.admits(account, job_bytes(submission)):
            self._leave_in_store(submission, parts)
            return
        self._unloaded.note_load(account, self._timer.now_ms())
        logger.info(
            "job loaded that was left in the store",
            extra={"job": job_id, "account": account, "left_count": len(self._unloaded)},
        )
        self._load(submission, parts)

    def _advance_reading(self, part: int, entries: tuple[Entry, ...]) -> None:
        """Go on to the next page, or to the next partition after its last page."""
        if entries:
            self._reread_from = part, entries[-1].key
        elif part + 1 < self._intake_part_count:
            self._reread_from = part + 1, ""
        else:
            self._reread_from = None
            self._parts_known_until_ms = self._reread_wall_ms
            self._unloaded.end_reading()


def _job_id_of(entry: Entry) -> str:
    """Return the ID of the job of a record of acceptance, empty for other records."""
    if not entry.key.startswith(intake.JOB_PREFIX):
        return ""
    return entry.key.removeprefix(intake.JOB_PREFIX)


def _key_before(key: str) -> str:
    """Return a key that comes directly before another one, of which no record exists."""
    return key[:-1] + chr(ord(key[-1]) - 1) + KEY_END
