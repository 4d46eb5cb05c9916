"""Restores jobs from the records that earlier leaders and the entry VMs have stored."""

from __future__ import annotations

from collections import deque
from collections.abc import Generator, Iterable, Iterator

from attrs import Factory, define, frozen

from . import intake, staterecords
from .errors import DecodeError
from .jobmemory import LeaderMemory
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


@frozen
class FurtherPart:
    """Another partition that holds a record of a job that was yielded before."""

    job_id: str
    part: int


@frozen
class OmittedJob:
    """An accepted job whose record was read without its value."""

    job_id: str
    part: int


Restored = Job | EndedJob | Cancellation | MalformedRecord | UnknownKey | FurtherPart | OmittedJob


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
    accepted: Iterable[tuple[int, Entry]],
    stored: Iterable[tuple[str, bytes]],
    wall_ms: int,
    memory: LeaderMemory | None = None,
) -> Iterator[Restored | None]:
    """Yield what the records contain, one record after the other; None for nothing new.

    Jobs of which the leader's state has records come first, as they are loaded in any case: after
    others, which are loaded while there is memory, they would exceed it.

    The work between two values is at most that of one job, so that a caller can pause anywhere. The
    submissions of ended jobs without runs are not decoded, as their number grows with the time of
    operation.

    :param accepted: records of jobs and cancellations, with their partitions.
    :param stored: records of the leader's state that belong to jobs.
    :param wall_ms: Unix time now; a job whose entry VM has a clock that is ahead arrived by then.
    :param memory: that the jobs are counted against; unlimited if None.
    """
    memory = memory or LeaderMemory.unlimited()
    state = StoredState()
    for key, value in stored:
        state.add(key, value)
        yield None
    known_ids = state.ends.keys() | state.steps.keys()
    known: deque[tuple[int, Entry]] = deque()
    others: deque[tuple[int, Entry]] = deque()
    for part, entry in accepted:
        is_known = entry.key.removeprefix(intake.JOB_PREFIX) in known_ids
        (known if is_known else others).append((part, entry))
        yield None
    job_ids: set[str] = set()
    yield from _restore_accepted(known, job_ids, state, wall_ms, memory)
    for job_id in state.ends.keys() - job_ids:
        # The acceptance record is deleted first, so that only the end is left.
        try:
            yield staterecords.decode_end(job_id, state.ends[job_id])
        except DecodeError as error:
            yield MalformedRecord(job_id, error)
    for job_id in state.steps.keys() - job_ids - state.ends.keys():
        yield from (UnknownKey(key) for key, _ in state.steps[job_id])
    yield from _restore_accepted(others, job_ids, state, wall_ms, memory)


def consume(entries: deque[tuple[int, Entry]]) -> Iterator[tuple[int, Entry]]:
    """Yield entries and drop them, so that their memory is free for the jobs made of them."""
    while entries:
        yield entries.popleft()


def _restore_accepted(
    entries: deque[tuple[int, Entry]],
    job_ids: set[str],
    state: StoredState,
    wall_ms: int,
    memory: LeaderMemory,
) -> Iterator[Restored | None]:
    for part, entry in consume(entries):
        if entry.key.startswith(intake.CANCEL_PREFIX) and entry.value:
            yield Cancellation(entry.key.removeprefix(intake.CANCEL_PREFIX), part)
        elif entry.key.startswith(intake.JOB_PREFIX) and (entry.value or entry.omitted):
            yield from _restore_job(job_ids, part, entry, state, wall_ms, memory)


def _restore_job(
    job_ids: set[str],
    part: int,
    entry: Entry,
    state: StoredState,
    wall_ms: int,
    memory: LeaderMemory,
) -> Iterator[Restored | None]:
    job_id = entry.key.removeprefix(intake.JOB_PREFIX)
    if job_id in job_ids:
        # The same job was also submitted through another entry VM.
        yield FurtherPart(job_id, part)
        return
    ended: EndedJob | None = None
    if job_id in state.ends:
        try:
            ended = staterecords.decode_end(job_id, state.ends[job_id])
        except DecodeError as error:
            yield MalformedRecord(job_id, error)
    job: Job | EndedJob | None = ended
    if entry.omitted and (ended is None or job_id in state.steps):
        yield OmittedJob(job_id, part)
        return
    if ended is None or job_id in state.steps:
        job = (yield from _decode_job(job_id, entry, state, wall_ms, memory)) or ended
    if job is None:
        return
    if ended is not None and isinstance(job, Job):
        job.phase, job.ended_ms, job.stored = ended.phase, ended.ended_ms, True
    job.parts.add(part)
    job_ids.add(job_id)
    yield job


def _decode_job(
    job_id: str, entry: Entry, state: StoredState, wall_ms: int, memory: LeaderMemory
) -> Generator[MalformedRecord, None, Job | None]:
    """Decode a submission and the state of its steps; return None if it is malformed."""
    try:
        submission = intake.decode_submission(job_id, entry.value)
    except DecodeError as error:
        yield MalformedRecord(entry.key, error)
        return None
    # A record of its end, even an unreadable one, shows that it must not run again.
    job = Job(
        submission,
        min(submission.accepted_ms, wall_ms),
        unreadable=job_id in state.ends,
        memory=memory,
    )
    yield from _restore_steps(job, state.steps.pop(job_id, ()))
    return job


def _restore_steps(job: Job, records: Iterable[tuple[str, bytes]]) -> Iterator[MalformedRecord]:
    """Apply the records of a job's steps; occurrences that are done are closed one by one."""
    by_occurrence: dict[int, list[tuple[str, bytes]]] = {}
    for key, value in records:
        try:
            by_occurrence.setdefault(staterecords.parse_step_key(key)[0], []).append((key, value))
        except DecodeError as error:
            yield MalformedRecord(key, error)
    for occurrence in sorted(by_occurrence):
        for key, value in by_occurrence.pop(occurrence):
            try:
                staterecords.restore_step(job, key, value)
            except DecodeError as error:
                yield MalformedRecord(key, error)
        if job.is_open(occurrence):
            job.count_undone(occurrence)
            job.close_if_done(occurrence)
