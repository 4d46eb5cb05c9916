"""Restores jobs from the records that earlier leaders and the entry VMs have stored."""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator

from attrs import Factory, define, frozen

from . import intake, jobmodel
from .errors import DecodeError
from .jobmodel import EndedJob, Job
from .storage import Entry


@frozen
class Cancellation:
    """A stored cancellation of a job, with the partition that holds it."""

    job_id: str
    part: int


@frozen
class MalformedRecord:
    """A record that cannot be decoded."""

    key: str
    error: DecodeError


@frozen
class UnknownKey:
    """Key of a state record that belongs to no accepted job."""

    key: str


Restored = Job | EndedJob | Cancellation | MalformedRecord | UnknownKey


@define
class StoredState:
    """Records of the leader's state that belong to jobs, by job ID.

    :param ends: records of ends.
    :param steps: pairs of key and record of each step occurrence.
    """

    ends: dict[str, bytes] = Factory(dict)
    steps: dict[str, list[tuple[str, bytes]]] = Factory(dict)

    def add(self, key: str, value: bytes) -> None:
        """Add a record."""
        job_id, _, rest = key.partition(".")
        if rest:
            self.steps.setdefault(job_id, []).append((key, value))
        else:
            self.ends[job_id] = value


def restore(
    accepted: Iterable[tuple[int, Entry]], stored: Iterable[tuple[str, bytes]], wall_ms: int
) -> Iterator[Restored | None]:
    """Yield what the records contain, one record after the other; None for nothing new.

    A job that has ended is yielded again for each further partition that holds a record of it, as
    the record must be deleted there as well.

    The work between two values is at most that of one job, so that a caller can pause anywhere. The
    submissions of ended jobs without runs are not decoded, as their number grows with the time of
    operation.

    :param accepted: records of jobs and cancellations, with their partitions.
    :param stored: records of the leader's state that belong to jobs.
    :param wall_ms: Unix time now; a job whose entry VM has a clock that is ahead arrived by then.
    """
    state = StoredState()
    for key, value in stored:
        state.add(key, value)
        yield None
    jobs: dict[str, Job | EndedJob] = {}
    for part, entry in accepted:
        if entry.key.startswith(intake.CANCEL_PREFIX) and entry.value:
            yield Cancellation(entry.key.removeprefix(intake.CANCEL_PREFIX), part)
        elif entry.key.startswith(intake.JOB_PREFIX) and entry.value:
            yield from _restore_job(jobs, part, entry, state, wall_ms)
    for job_id in state.ends.keys() - jobs.keys():
        # The acceptance record is deleted first, so that only the end is left.
        try:
            yield jobmodel.decode_end(job_id, state.ends[job_id])
        except DecodeError as error:
            yield MalformedRecord(job_id, error)
    for job_id in state.steps.keys() - jobs.keys() - state.ends.keys():
        yield from (UnknownKey(key) for key, _ in state.steps[job_id])


def _restore_job(
    jobs: dict[str, Job | EndedJob], part: int, entry: Entry, state: StoredState, wall_ms: int
) -> Iterator[Restored | None]:
    job_id = entry.key.removeprefix(intake.JOB_PREFIX)
    known = jobs.get(job_id)
    if known is not None:
        # The same job was also submitted through another entry VM.
        known.parts.add(part)
        yield known if known.ended else None
        return
    ended: EndedJob | None = None
    if job_id in state.ends:
        try:
            ended = jobmodel.decode_end(job_id, state.ends[job_id])
        except DecodeError as error:
            yield MalformedRecord(job_id, error)
    job: Job | EndedJob | None = ended
    if ended is None or job_id in state.steps:
        job = (yield from _decode_job(job_id, entry, state, wall_ms)) or ended
    if job is None:
        return
    if ended is not None and isinstance(job, Job):
        job.phase, job.ended_ms, job.stored = ended.phase, ended.ended_ms, True
    job.parts.add(part)
    jobs[job_id] = job
    yield job


def _decode_job(
    job_id: str, entry: Entry, state: StoredState, wall_ms: int
) -> Generator[MalformedRecord, None, Job | None]:
    """Decode a submission and the state of its steps; return None if it is malformed."""
    try:
        submission = intake.decode_submission(job_id, entry.value)
    except DecodeError as error:
        yield MalformedRecord(entry.key, error)
        return None
    # A record of its end, even an unreadable one, shows that it must not run again.
    job = Job(submission, min(submission.accepted_ms, wall_ms), unreadable=job_id in state.ends)
    for key, value in state.steps.get(job_id, ()):
        try:
            jobmodel.restore_step(job, key, value)
        except DecodeError as error:
            yield MalformedRecord(key, error)
    return job
