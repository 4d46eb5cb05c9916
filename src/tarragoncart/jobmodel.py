"""The leader's model of jobs, steps and tasks, and the encoding of their state in the store."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Mapping
from functools import cached_property
from typing import Any, ClassVar

from attrs import Factory, define, field, frozen

from .charts import load_chart
from .decoding import (
    UNIX_MS_MAX,
    check_int,
    check_list,
    check_str,
    decoder,
    parse_decimal,
    parse_json,
    parse_object,
)
from .errors import DecodeError
from .graph import StepSpec, Submission
from .progress import ProgressTracker

TASK_CHART = load_chart("task")

# States of a task whose current run is at an upstream or assigned to one.
PLACED = frozenset(("assigned", "starting", "started", "unsure", "running", "stopping"))

FINAL = frozenset(TASK_CHART.final)

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ENDED = frozenset((COMPLETED, FAILED, CANCELLED))


@define(eq=False)
class RunHistory:
    """What earlier runs of a task have left for the next one; the tasks of a gang share it.

    A gang saves progress and fails as a whole: the value that any of its tasks has saved resumes
    all of them, and a run counts as failed once, whichever of its tasks fails.

    :param failed_runs: numbers of the runs that failed. They count against the queue's maximum of
        attempts; as a set of numbers, each counts once even if two leaders process its end.
    :param checkpoint: saved progress from which the next run resumes, empty for none.
    """

    failed_runs: set[int] = field(factory=set)
    checkpoint: str = ""


@define(eq=False)
class Task:
    """A task of one occurrence of a step.

    :param run: number of its current or latest run, 0 before the first.
    :param upstream_id: upstream of that run.
    :param history: failures and saved progress, shared by the tasks of a gang.
    :param failed_on: upstreams on which a run failed.
    :param percent: as reported by the upstream: share of full speed of a long-running task,
        completed share of the work of any other task.
    :param tracker: progress of its current run.
    :param copies: upstreams of other runs that may still be active, by the number of the run.
    :param restart_count: runs that were replaced because their upstream was slow.
    :param pace: share of full speed last ordered, in percent; None if an earlier leader may have
        ordered another one.
    :param load: tail latency in ms of a serving task, otherwise cpu use in millicores.
    :param pace_confirmed: whether the upstream has answered the last order for its pace.
    :param paced_ms: time of the last order for its pace.
    :param retry_ms: it is not assigned again before this time.
    :param must_list_after_ms: the current run is gone if a report requested after this time does
        not list it; earlier reports may miss it.
    :param start_pending_until_ms: until when the start of the current run may be carried out; 0
        once its upstream has answered it or listed the run.
    :param bound_to: the only upstream at which it may run, empty for any. An incarnation that is
        not known yet may carry out the start of an earlier run there.
    """

    step: StepOccurrence
    index: int
    state: str = TASK_CHART.initial
    run: int = 0
    upstream_id: str = ""
    history: RunHistory = field(factory=RunHistory)
    failed_on: set[str] = field(factory=set)
    percent: int = 0
    tracker: ProgressTracker = field(factory=ProgressTracker)
    copies: dict[int, str] = field(factory=dict)
    restart_count: int = 0
    pace: int | None = 100
    pace_confirmed: bool = True
    load: int = 0
    assigned_ms: float = 0.0
    must_list_after_ms: float = 0.0
    start_pending_until_ms: float = 0.0
    bound_to: str = ""
    paced_ms: float = 0.0
    retry_ms: float = 0.0

    @property
    def name(self) -> str:
        """Name of the task in calls to upstreams."""
        return f"{self.step.name}.{self.index}"

    @property
    def has_left_traces(self) -> bool:
        """Whether its state shows that a run of it has started."""
        history = self.history
        return self.state in FINAL or bool(history.failed_runs or history.checkpoint)

    @property
    def placed(self) -> bool:
        """Whether it has a current run, at an upstream or assigned to one."""
        return self.state in PLACED

    @property
    def exhausted(self) -> bool:
        """Whether its runs have failed as often as its queue allows attempts."""
        if self.step.spec.long_running:
            return False
        return len(self.history.failed_runs) >= self.step.job.submission.max_attempts

    @property
    def startable(self) -> bool:
        """Whether its state and its other runs allow a new run."""
        if (
            self.step.job.unreadable
            or self.state != "waiting"
            or (self.history.failed_runs and self.exhausted)
        ):
            return False
        return not self.copies or self.step.spec.copyable

    @property
    def copyable(self) -> bool:
        """Whether a second run may start while the current one continues."""
        present = self.state in ("started", "unsure", "running")
        return present and self.step.spec.copyable and not self.copies

    @property
    def at_full_speed(self) -> bool:
        """Whether it runs at full speed, according to the last report."""
        return self.state == "running" and self.percent >= 100


@define(eq=False)
class StepOccurrence:
    """One occurrence of a step, with its tasks.

    :param number: index of the step in its job.
    :param done_count: tasks that are done.
    :param tickets: permissions of the advice service by upstream, if the queue needs advice.
    :param tickets_until_ms: when the tickets expire.
    :param wait_reason: why its tasks waited in the last scheduling pass, empty if none did.
    :param queued_ms: since when it has had waiting tasks without a pause.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(factory=list)
    done_count: int = 0
    tickets: dict[str, str] = field(factory=dict)
    tickets_until_ms: float = 0.0
    advice_requested_ms: float = float("-inf")
    wait_reason: str = ""
    queued_ms: float = 0.0

    @property
    def name(self) -> str:
        """Name of the step occurrence, a prefix of the names of its tasks."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return self.done_count == len(self.tasks) and not self.spec.long_running

    @property
    def has_runs(self) -> bool:
        """Whether runs of its tasks may still be active."""
        return any(task.placed or task.copies for task in self.tasks)

    @property
    def ready(self) -> bool:
        """Whether the steps that it depends on are done."""
        steps = self.job.steps
        return all(steps[self.occurrence, number].done for number in self.spec.depends_on)

    @property
    def deadline_ms(self) -> float:
        """Unix time until which the job is on time."""
        return self.job.due_ms(self.occurrence) + self.job.objective_ms()

    @property
    def remaining_path_ms(self) -> float:
        """Estimated duration of the longest chain of steps that begins with the step."""
        return self.job.path_ms_by_step[self.number]

    def waiting(self) -> Iterator[Task]:
        """Yield the tasks that wait for a new run."""
        return (task for task in self.tasks if task.startable)

    def has_left(self, run: int) -> bool:
        """Return whether one of its tasks has left a run without being done."""
        return any(task.state == "waiting" and task.run == run for task in self.tasks)

    def upstream_counts(self) -> dict[str, int]:
        """Return the number of its runs on each upstream, current ones and others."""
        counts = Counter(task.upstream_id for task in self.tasks if task.placed)
        for task in self.tasks:
            counts.update(task.copies.values())
        return counts


@define(eq=False)
class Job:
    """An accepted job.

    :param arrived_ms: Unix time of its arrival by the leader's clock; the clock of the entry VM
        that accepted it may differ by seconds.
    :param parts: partitions that hold records of the job.
    :param ended_ms: Unix time of its end.
    :param stored: its end is in the store, so that callers may be told of it.
    :param beyond_share: its account had used up its share of submissions when the job arrived.
    :param steps: occurrences of steps, by number of the occurrence and number of the step.
    :param released_count: occurrences whose steps have been created.
    :param start_uncertain: it was restored, and nothing shows yet that a run of it has started.
    :param unreadable: some of its stored state cannot be decoded. Tasks without a known state may
        have run, so none is started until the job is cancelled.
    """

    submission: Submission
    arrived_ms: int = Factory(lambda job: job.submission.accepted_ms, takes_self=True)
    parts: set[int] = field(factory=set)
    cancelled: bool = False
    phase: str = QUEUED
    ended_ms: int = 0
    stored: bool = False
    beyond_share: bool = False
    steps: dict[tuple[int, int], StepOccurrence] = field(factory=dict)
    released_count: int = 0
    start_uncertain: bool = False
    unreadable: bool = False

    @property
    def job_id(self) -> str:
        """ID of the job."""
        return self.submission.job_id

    @property
    def pool(self) -> str:
        """Pool of the upstreams that run the job."""
        return self.submission.pool

    @property
    def ended(self) -> bool:
        """Whether the job has ended, so that none of its tasks may run."""
        return self.phase in ENDED

    @property
    def pending(self) -> bool:
        """Whether no task is known to have started."""
        return self.phase == QUEUED or (self.start_uncertain and not self.ended)

    def note_start(self) -> None:
        """Note that a run of a task has started."""
        self.start_uncertain = False
        if self.phase == QUEUED:
            self.phase = RUNNING

    @property
    def has_runs(self) -> bool:
        """Whether runs of its tasks may still be active."""
        return any(step.has_runs for step in self.steps.values())

    @property
    def occurrence_count(self) -> int:
        """Number of times that its steps run."""
        return max(1, self.submission.spec.occurrence_count)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence may start."""
        spec = self.submission.spec
        if not spec.scheduled:
            return self.arrived_ms
        return spec.first_due_ms + occurrence * spec.interval_ms

    def release(self, occurrence: int) -> list[StepOccurrence]:
        """Create the steps and tasks of an occurrence."""
        created = []
        for number, spec in enumerate(self.submission.spec.steps):
            step = StepOccurrence(self, occurrence, number, spec)
            shared = RunHistory()
            step.tasks = [
                Task(step, index, history=shared if spec.gang else RunHistory())
                for index in range(spec.task_count)
            ]
            self.steps[occurrence, number] = step
            created.append(step)
        self.released_count = max(self.released_count, occurrence + 1)
        return created

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of all released occurrences."""
        return (task for step in self.steps.values() for task in step.tasks)

    @cached_property
    def path_ms_by_step(self) -> tuple[float, ...]:
        """Estimated duration of the longest chain of steps that begins with each step.

        Computed once, as scheduling passes need it for each waiting step.
        """
        steps = self.submission.spec.steps
        paths_ms = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            paths_ms[number] += steps[number].estimate_ms
            for earlier in steps[number].depends_on:
                paths_ms[earlier] = max(paths_ms[earlier], paths_ms[number])
        return tuple(paths_ms)

    def objective_ms(self) -> float:
        """Return how long the job may take and still be on time."""
        submission = self.submission
        critical_path_ms = max(self.path_ms_by_step, default=0.0)
        return submission.stretch * critical_path_ms + submission.target_latency_ms


@define(eq=False)
class EndedJob:
    """A job that has ended under an earlier leader and has no runs; its submission is not needed.

    :param ended_ms: Unix time of its end.
    :param parts: partitions that hold records of the job.
    """

    job_id: str
    phase: str
    ended_ms: int
    parts: set[int] = field(factory=set)
    cancelled: ClassVar[bool] = False
    ended: ClassVar[bool] = True
    stored: ClassVar[bool] = True
    has_runs: ClassVar[bool] = False
    steps: ClassVar[Mapping[tuple[int, int], StepOccurrence]] = {}


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Split a task's name into job ID, occurrence, step and index; None if it is malformed."""
    parts = name.rsplit(".", 3)
    match [parts[0], *map(parse_decimal, parts[1:])]:
        case [job_id, int(occurrence), int(step), int(index)]:
            return str(job_id), occurrence, step, index
    return None


# Records of the state topic: key ``ID`` holds the phase of an ended job. Key ``ID.K.S`` (job,
# occurrence, step) holds rows of [index, state, run, upstream, failed runs, checkpoint], one for
# each task that has had a run; empty values at the end of a row are left out. The upstream of a
# waiting task is the one to which it is bound. After the end of a job it is kept until the runs of
# the step are gone, as these count against the account's limit. Of the rows of one task the last
# one holds its state, and each earlier one another run of it that may still be active; a version
# that does not know of such rows reads the last one only.
_STATE_CODES = {"done": "d", "exhausted": "x"}
_PLACED_CODE = "p"
_WAITING_CODE = "w"
_DECODED_STATES = {
    "d": "done",
    "x": "exhausted",
    _WAITING_CODE: "waiting",
    _PLACED_CODE: "started",
}


def encode_step(step: StepOccurrence) -> bytes:
    """Encode the state of a step's tasks."""
    rows: list[list[Any]] = []
    for task in step.tasks:
        rows += [[task.index, _PLACED_CODE, run, at] for run, at in sorted(task.copies.items())]
        if not task.run and task.state == TASK_CHART.initial and not task.copies:
            continue
        placed = task.state in PLACED
        code = _PLACED_CODE if placed else _STATE_CODES.get(task.state, _WAITING_CODE)
        row: list[Any] = [task.index, code, task.run]
        if code != "d":
            failed_runs = sorted(task.history.failed_runs)
            row += [
                task.upstream_id if placed else task.bound_to,
                failed_runs,
                task.history.checkpoint,
            ]
            while not row[-1] and len(row) > 3:
                row.pop()
        rows.append(row)
    return json.dumps(rows, separators=(",", ":")).encode()


@frozen
class _TaskRow:
    index: int
    state: str
    run: int
    upstream_id: str
    failed_runs: tuple[int, ...]
    checkpoint: str


def _decode_rows(value: bytes, task_count: int) -> list[_TaskRow]:
    return [_decode_row(row, task_count) for row in check_list(parse_json(value))]


def _decode_row(row: Any, task_count: int) -> _TaskRow:
    """Decode the state of a task; values at the end of a row may be left out."""
    index, code, run, *rest = check_list(row)
    upstream_id, failed_runs, checkpoint = rest + ["", [], ""][len(rest) :]
    if check_str(code, "code") not in _DECODED_STATES:
        raise DecodeError("unknown state", place="code")
    return _TaskRow(
        check_int(index, "index", high=task_count - 1),
        _DECODED_STATES[code],
        check_int(run, "run"),
        check_str(upstream_id, "upstream"),
        tuple(check_int(failed, "failed_runs") for failed in check_list(failed_runs)),
        check_str(checkpoint, "checkpoint"),
    )


def decode_step(step: StepOccurrence, value: bytes) -> None:
    """Set the state of a step's tasks from a record; placed tasks become ``started``.

    The first report of their upstream then shows whether their runs still exist.
    """
    rows = _decode_rows(value, len(step.tasks))
    last_rows = {row.index: row for row in rows}
    for row in rows:
        task = step.tasks[row.index]
        if row is not last_rows[row.index]:
            task.copies[row.run] = row.upstream_id
            continue
        task.state = row.state
        task.run = row.run
        task.upstream_id = row.upstream_id
        task.bound_to = row.upstream_id if task.state == "waiting" else ""
        task.history.failed_runs.update(row.failed_runs)
        # Earlier versions stored a value for each task of a gang; any of them is valid for all.
        task.history.checkpoint = row.checkpoint or task.history.checkpoint
    if step.spec.gang and any(task.state == "done" for task in step.tasks):
        # Earlier versions waited for an end of each task of a gang.
        for task in step.tasks:
            task.state = "done"
    step.done_count = sum(task.state == "done" for task in step.tasks)


def encode_phase(job: Job) -> bytes:
    """Encode the phase and the time of the end of a job."""
    return json.dumps({"phase": job.phase, "at": job.ended_ms}, separators=(",", ":")).encode()


@decoder("state of a step")
def restore_step(job: Job, key: str, value: bytes) -> None:
    """Apply the record of a step occurrence to its job.

    If the record of an existing step cannot be decoded, the job becomes unreadable.

    :raises DecodeError: if it is malformed, or belongs to no step of the job.
    """
    occurrence, number = _parse_step_key(key)
    if occurrence >= job.occurrence_count or number >= len(job.submission.spec.steps):
        raise DecodeError("the job has no such step", place=key)
    while job.released_count <= occurrence:
        job.release(job.released_count)
    try:
        decode_step(job.steps[occurrence, number], value)
    except DecodeError:
        job.unreadable = True
        raise


def _parse_step_key(key: str) -> tuple[int, int]:
    numbers = [parse_decimal(part) for part in key.split(".")[1:]]
    match numbers:
        case [int(occurrence), int(number)]:
            return occurrence, number
    raise DecodeError("not the key of a step", place=key)


@decoder("end of a job")
def decode_end(job_id: str, value: bytes) -> EndedJob:
    """Decode the record of the end of a job.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(value)
    phase = check_str(data.get("phase"), "phase")
    if phase not in ENDED:
        raise DecodeError("not the phase of an ended job", place="phase")
    return EndedJob(job_id, phase, check_int(data.get("at"), "at", high=UNIX_MS_MAX))
