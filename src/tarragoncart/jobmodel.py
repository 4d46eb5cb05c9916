"""The leader's model of jobs and steps."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from functools import cached_property
from types import MappingProxyType
from typing import ClassVar

from attrs import Factory, define, field

from .decoding import parse_decimal
from .graph import StepSpec, Submission
from .jobmemory import ENDED_JOB_BYTES, OPEN_STEP_LIMIT_COUNT, LeaderMemory, job_bytes
from .tasks import TASK_BYTES, Task, TaskSet

QUEUED = "queued"
RUNNING = "running"
COMPLETED = "completed"
FAILED = "failed"
CANCELLED = "cancelled"
ENDED = frozenset((COMPLETED, FAILED, CANCELLED))

# Saved progress of a step that is not kept is logged this often.
DROPPED_CHECKPOINTS_LOG_MS = 5_000


_NO_TICKETS: Mapping[str, str] = MappingProxyType({})


@define(eq=False)
class StepOccurrence:
    """One occurrence of a step, with its tasks.

    :param number: index of the step in its job.
    :param done_count: tasks that are done.
    :param tickets: permissions of the advice service by upstream, if the queue needs advice.
    :param tickets_until_ms: when the tickets expire.
    :param wait_reason: why its tasks waited in the last scheduling pass, empty if none did.
    :param queued_ms: since when it has had waiting tasks without a pause.
    :param unstored_count: tasks whose saved progress its record in the store has no room for.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: TaskSet = field(default=Factory(TaskSet, takes_self=True))
    done_count: int = 0
    tickets: Mapping[str, str] = _NO_TICKETS
    tickets_until_ms: float = 0.0
    advice_requested_ms: float = float("-inf")
    wait_reason: str = ""
    queued_ms: float = 0.0
    unstored_count: int = 0
    _dropped_logged_ms: float = field(default=float("-inf"), init=False)

    @property
    def name(self) -> str:
        """Name of the step occurrence, a prefix of the names of its tasks."""
        return step_name(self.job.job_id, self.occurrence, self.number)

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return self.done_count == len(self.tasks) and not self.spec.long_running

    @property
    def has_runs(self) -> bool:
        """Whether runs of its tasks may still be active."""
        return any(task.placed or task.copies for task in self.tasks.kept)

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

    @property
    def has_waiting(self) -> bool:
        """Whether a task waits for a new run."""
        return self.tasks.has_waiting

    @property
    def waiting_count(self) -> int:
        """Number of tasks that wait for a new run."""
        return self.tasks.waiting_count

    def waiting(self) -> Iterator[Task]:
        """Yield the tasks that wait for a new run."""
        return self.tasks.waiting()

    def drop_ticket(self, upstream_id: str) -> None:
        """Drop a ticket that its upstream has refused."""
        self.tickets = {key: value for key, value in self.tickets.items() if key != upstream_id}

    def note_dropped_checkpoint(self, now_ms: float) -> bool:
        """Return whether to log that saved progress of its tasks is not kept, once in a while."""
        if now_ms - self._dropped_logged_ms < DROPPED_CHECKPOINTS_LOG_MS:
            return False
        self._dropped_logged_ms = now_ms
        return True

    def has_left(self, run: int) -> bool:
        """Return whether one of its tasks has left a run without being done."""
        return any(task.state == "waiting" and task.run == run for task in self.tasks.kept)

    def upstream_counts(self) -> dict[str, int]:
        """Return the number of its runs on each upstream, current ones and others."""
        counts = Counter(task.upstream_id for task in self.tasks.kept if task.placed)
        for task in self.tasks.kept:
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
    :param steps: occurrences of steps, by number of the occurrence and number of the step, without
        those of closed occurrences.
    :param memory: memory that the objects of the job are counted against.
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
    start_uncertain: bool = False
    unreadable: bool = False
    memory: LeaderMemory = field(factory=LeaderMemory.unlimited)
    # By open occurrence, number of its steps that are not done.
    _undone_counts: dict[int, int] = field(factory=dict, init=False)
    # A bit for each closed occurrence: its steps are done, and none has runs.
    _closed: int = field(default=0, init=False)
    # All occurrences before this one are open or closed.
    _next_occurrence: int = field(default=0, init=False)

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

    @property
    def next_occurrence(self) -> int | None:
        """The first occurrence whose steps have not been created, None if there is none."""
        while self._next_occurrence in self._undone_counts or self._is_closed(
            self._next_occurrence
        ):
            self._next_occurrence += 1
        return self._next_occurrence if self._next_occurrence < self.occurrence_count else None

    def release_due(self, now_ms: float) -> list[StepOccurrence]:
        """Create the steps of the occurrences that are due, and return them.

        Not more than ``OPEN_STEP_LIMIT_COUNT`` steps are open, but for those of one occurrence: of
        occurrences that are due together, the others follow when earlier ones are done.
        """
        created: list[StepOccurrence] = []
        while (occurrence := self.next_occurrence) is not None:
            step_count = len(self.submission.spec.steps)
            too_many = len(self.steps) + step_count > OPEN_STEP_LIMIT_COUNT
            if self.due_ms(occurrence) > now_ms or (self.steps and too_many):
                break
            created += self.release(occurrence)
        return created

    def release(self, occurrence: int) -> list[StepOccurrence]:
        """Create the steps of an occurrence."""
        created = []
        for number, spec in enumerate(self.submission.spec.steps):
            step = self.steps[occurrence, number] = StepOccurrence(self, occurrence, number, spec)
            created.append(step)
        self._undone_counts[occurrence] = len(created)
        return created

    def is_open(self, occurrence: int) -> bool:
        """Return whether the steps of an occurrence have been created and are kept."""
        return occurrence in self._undone_counts

    def _is_closed(self, occurrence: int) -> bool:
        return bool(self._closed >> occurrence & 1)

    def closed_step_names(self) -> Iterator[str]:
        """Yield the names of the steps of closed occurrences."""
        for occurrence in range(self._closed.bit_length()):
            if self._is_closed(occurrence):
                for number in range(len(self.submission.spec.steps)):
                    yield step_name(self.job_id, occurrence, number)

    def note_step_done(self, step: StepOccurrence) -> list[StepOccurrence]:
        """Note that all tasks of a step are done; return the steps that depend on it."""
        occurrence = step.occurrence
        self._undone_counts[occurrence] -= 1
        return [self.steps[occurrence, number] for number in self._dependents[step.number]]

    def count_undone(self, occurrence: int) -> None:
        """Count the steps of an open occurrence that are not done, once it has been restored."""
        numbers = range(len(self.submission.spec.steps))
        undone = [number for number in numbers if not self.steps[occurrence, number].done]
        self._undone_counts[occurrence] = len(undone)

    def close_if_done(self, occurrence: int) -> None:
        """Drop the steps of an occurrence that is done and has no runs.

        A job that runs once keeps them, as it ends with them.
        """
        if self._undone_counts.get(occurrence) != 0 or self.occurrence_count == 1:
            return
        numbers = range(len(self.submission.spec.steps))
        if any(self.steps[occurrence, number].has_runs for number in numbers):
            return
        for number in numbers:
            self.steps.pop((occurrence, number)).tasks.release_memory()
        del self._undone_counts[occurrence]
        self._closed |= 1 << occurrence

    @property
    def done(self) -> bool:
        """Whether all tasks of all its occurrences are done."""
        return self.next_occurrence is None and not any(self._undone_counts.values())

    @property
    def has_had_runs(self) -> bool:
        """Whether a run of a task is known."""
        return bool(self._closed) or any(step.tasks.has_had_runs for step in self.steps.values())

    @property
    def has_left_traces(self) -> bool:
        """Whether its state shows that a run of a task has started."""
        return bool(self._closed) or any(
            step.tasks.done_count or any(task.has_left_traces for task in step.tasks.kept)
            for step in self.steps.values()
        )

    def may_keep_more(self, count: int) -> bool:
        """Return whether the account may have more tasks that are objects."""
        return not count or self.memory.tasks.admits(self.submission.account, count * TASK_BYTES)

    def may_keep(self, task: Task) -> bool:
        """Return whether a task that is about to start may become an object, if it is none."""
        return task in task.step.tasks or self.may_keep_more(1)

    def take_memory(self) -> None:
        """Count the memory of the job, whether or not there is enough."""
        self.memory.jobs.take(self.submission.account, job_bytes(self.submission))

    def summary(self) -> EndedJob:
        """Return what is needed of the job after its end."""
        account = self.submission.account
        return EndedJob(self.job_id, self.phase, self.ended_ms, self.parts, account)

    def condense(self) -> EndedJob:
        """Return what is kept of the job once its end is stored and no run is left."""
        for step in self.steps.values():
            step.tasks.release_memory()
        account = self.submission.account
        self.memory.jobs.give_back(account, job_bytes(self.submission))
        self.memory.jobs.take(account, ENDED_JOB_BYTES)
        return self.summary()

    def kept_tasks(self) -> Iterator[Task]:
        """Yield the tasks that are kept as objects."""
        return (task for step in self.steps.values() for task in step.tasks.kept)

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks of all open occurrences, which are kept as objects from now on."""
        return (task for step in self.steps.values() for task in step.tasks)

    @cached_property
    def _dependents(self) -> tuple[tuple[int, ...], ...]:
        """Numbers of the steps that depend on each step."""
        steps = self.submission.spec.steps
        dependents: list[list[int]] = [[] for _ in steps]
        for number, step in enumerate(steps):
            for earlier in dict.fromkeys(step.depends_on):
                dependents[earlier].append(number)
        return tuple(map(tuple, dependents))

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

    @cached_property
    def _critical_path_ms(self) -> float:
        """Estimated duration of the longest chain of steps."""
        return max(self.path_ms_by_step, default=0.0)

    def objective_ms(self) -> float:
        """Return how long the job may take and still be on time."""
        submission = self.submission
        return submission.stretch * self._critical_path_ms + submission.target_latency_ms


@define(eq=False)
class EndedJob:
    """A job that has ended and has no runs; its submission is not needed.

    :param ended_ms: Unix time of its end.
    :param parts: partitions that hold records of the job.
    :param account: client account whose share of the memory it is counted against.
    :param stored: its end is in the store.
    """

    job_id: str
    phase: str
    ended_ms: int
    parts: set[int] = field(factory=set)
    account: str = ""
    stored: bool = True
    cancelled: ClassVar[bool] = False
    ended: ClassVar[bool] = True
    has_runs: ClassVar[bool] = False
    steps: ClassVar[Mapping[tuple[int, int], StepOccurrence]] = {}


def step_name(job_id: str, occurrence: int, number: int) -> str:
    """Return the name of a step occurrence."""
    return f"{job_id}.{occurrence}.{number}"


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Split a task's name into job ID, occurrence, step and index; None if it is malformed."""
    parts = name.rsplit(".", 3)
    match [parts[0], *map(parse_decimal, parts[1:])]:
        case [job_id, int(occurrence), int(step), int(index)]:
            return str(job_id), occurrence, step, index
    return None
