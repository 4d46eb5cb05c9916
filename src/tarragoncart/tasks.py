"""Tasks of a step, of which only those with a state of their own are objects."""

from __future__ import annotations

import sys
from array import array
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

from attrs import define, evolve, field

from .charts import load_chart
from .progress import ProgressTracker

if TYPE_CHECKING:
    from .jobmodel import StepOccurrence

TASK_CHART = load_chart("task")

# States of a task whose current run is at an upstream or assigned to one.
PLACED = frozenset(("assigned", "starting", "started", "unsure", "running", "stopping"))

FINAL = frozenset(TASK_CHART.final)

# Memory of a task that is an object, with its progress and its entries in the tables of its
# upstream.
TASK_BYTES = 1_900
NO_RUNS = array("Q")
# Saved progress that is longer is not kept, so that a record of the store has room for it.
CHECKPOINT_LIMIT_CHARS = 32 * 1024


def checkpoint_bytes(checkpoint: str) -> int:
    """Return the memory of saved progress."""
    return sys.getsizeof(checkpoint) if checkpoint else 0


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
    failed_on: frozenset[str] = frozenset()
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
class TaskSet:
    """The tasks of one occurrence of a step.

    Only tasks that have had a run, or of which something else must be remembered, are kept as
    objects. Of a task that is done the number of its run is kept, and of any other one nothing, so
    that the memory of a step follows its runs and not its number of tasks.

    :param counted: its objects count against the memory that the job's account may use.
    """

    _step: StepOccurrence
    _counted: bool = True
    _kept: dict[int, Task] = field(factory=dict, init=False)
    # Run number plus 1 of each task that is done and no object; 0 for all others, empty for none.
    _done_runs: array[int] = field(default=NO_RUNS, init=False)
    _done_count: int = field(default=0, init=False)
    # All tasks before this one are kept or done.
    _first_untouched: int = field(default=0, init=False)
    # What earlier runs have left, which the tasks of a gang share; None for other steps.
    _gang_history: RunHistory | None = field(init=False)

    @_gang_history.default
    def _make_gang_history(self) -> RunHistory | None:
        return RunHistory() if self._step.spec.gang else None

    def __len__(self) -> int:
        return self._step.spec.task_count

    def __contains__(self, task: Task) -> bool:
        return self._kept.get(task.index) is task

    def __iter__(self) -> Iterator[Task]:
        return (self[index] for index in range(len(self)))

    def __getitem__(self, index: int) -> Task:
        """Return a task, which is kept as an object from now on."""
        if not 0 <= index < len(self):
            raise IndexError(index)
        return self.keep(self.find(index))

    @property
    def kept(self) -> Collection[Task]:
        """The tasks that are kept as objects."""
        return self._kept.values()

    @property
    def done_count(self) -> int:
        """Number of tasks that are done."""
        return self._done_count + sum(task.state == "done" for task in self._kept.values())

    @property
    def untouched_count(self) -> int:
        """Number of tasks of which nothing is kept."""
        return len(self) - len(self._kept) - self._done_count

    @property
    def has_had_runs(self) -> bool:
        """Whether a run of a task is known."""
        return self._done_count > 0 or any(task.run for task in self._kept.values())

    def find(self, index: int) -> Task:
        """Return a task without keeping it; changes of a task that is not kept are lost."""
        task = self._kept.get(index)
        if task is not None:
            return task
        task = Task(self._step, index, history=self._gang_history or RunHistory())
        if run := self._done_run(index):
            task.state, task.run = "done", run - 1
        return task

    def keep(self, task: Task) -> Task:
        """Keep a task of this step as an object."""
        if task.index in self._kept:
            return task
        if self._done_run(task.index):
            self._done_runs[task.index] = 0
            self._done_count -= 1
        self._kept[task.index] = task
        if self._counted:
            self._step.job.memory.tasks.take(self._step.job.submission.account, TASK_BYTES)
        self._advance()
        return task

    def condense(self, task: Task) -> None:
        """Keep only the run of a task that is done, unless other runs of it are left."""
        if task.state != "done" or task.copies:
            return
        if self._kept.pop(task.index, None) is not None:
            self._release(1)
            if self._gang_history is None:
                self._drop_checkpoint(task.history)
        if not self._done_runs:
            self._done_runs = array("Q", bytes(array("Q").itemsize * len(self)))
        if not self._done_runs[task.index]:
            self._done_count += 1
        self._done_runs[task.index] = task.run + 1
        self._advance()

    def _advance(self) -> None:
        while self._first_untouched < len(self) and not self._is_untouched(self._first_untouched):
            self._first_untouched += 1

    def keep_checkpoint(self, task: Task, checkpoint: str) -> bool:
        """Keep the saved progress of a task that is an object; return False if it is too much.

        The progress that was saved before stays then.
        """
        added_bytes = checkpoint_bytes(checkpoint) - checkpoint_bytes(task.history.checkpoint)
        memory, account = self._step.job.memory.checkpoints, self._step.job.submission.account
        if len(checkpoint) > CHECKPOINT_LIMIT_CHARS:
            return False
        if added_bytes > 0 and not memory.admits(account, added_bytes):
            return False
        task.history.checkpoint = checkpoint
        if self._counted:
            memory.take(account, added_bytes)
        return True

    def _drop_checkpoint(self, history: RunHistory) -> None:
        """Drop saved progress that no run needs any more."""
        if self._counted:
            size_bytes = checkpoint_bytes(history.checkpoint)
            account = self._step.job.submission.account
            self._step.job.memory.checkpoints.give_back(account, size_bytes)
        history.checkpoint = ""

    def release_memory(self) -> None:
        """Stop counting the objects, as the job is dropped."""
        histories = {id(task.history): task.history for task in self._kept.values()}
        if self._gang_history is not None:
            histories[id(self._gang_history)] = self._gang_history
        for history in histories.values():
            self._drop_checkpoint(history)
        self._release(len(self._kept))
        self._counted = False

    def _release(self, count: int) -> None:
        if self._counted:
            account = self._step.job.submission.account
            self._step.job.memory.tasks.give_back(account, count * TASK_BYTES)

    def _done_run(self, index: int) -> int:
        return self._done_runs[index] if self._done_runs else 0

    def _is_untouched(self, index: int) -> bool:
        return index not in self._kept and not self._done_run(index)

    @property
    def _untouched_startable(self) -> bool:
        """Whether there are tasks of which nothing is kept, and they may start."""
        if self.untouched_count <= 0 or self._step.job.unreadable:
            return False
        history = self._gang_history
        if history is None or not history.failed_runs:
            return True
        return self.find(self._first_untouched).startable

    @property
    def waiting_count(self) -> int:
        """Number of tasks that wait for a new run."""
        kept_count = sum(task.startable for task in self._kept.values())
        return kept_count + (self.untouched_count if self._untouched_startable else 0)

    @property
    def has_waiting(self) -> bool:
        """Whether a task waits for a new run."""
        return self._untouched_startable or any(task.startable for task in self._kept.values())

    def waiting(self) -> Iterator[Task]:
        """Yield the tasks that wait for a new run, those that are kept as objects first.

        The others are not kept by this; keeping them meanwhile is allowed.
        """
        yield from [self._kept[i] for i in sorted(self._kept) if self._kept[i].startable]
        if not self._untouched_startable:
            return
        for index in range(self._first_untouched, len(self)):
            if self._is_untouched(index):
                yield self.find(index)

    def done_runs(self) -> Iterator[tuple[int, int]]:
        """Yield index and run of each task that is done and no object."""
        return ((index, run - 1) for index, run in enumerate(self._done_runs) if run)

    def rehearsed(self, step: StepOccurrence) -> TaskSet:
        """Return a copy for a copied step, whose waiting tasks can change without the original."""
        copied = TaskSet(step, counted=False)
        copied._kept = {
            index: evolve(task, step=step) if task.startable else task
            for index, task in self._kept.items()
        }
        copied._done_runs, copied._done_count = self._done_runs, self._done_count
        copied._first_untouched = self._first_untouched
        copied._gang_history = self._gang_history
        return copied
