"""Simulated gangs: their tasks work only while all of a run are present, and end together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from .virtual import VirtualWorker, WorkerRun

# A run ends as ``alone`` if the others are not present within this time.
WAIT_S = 3.0
SAVE_INTERVAL_S = 0.5


@frozen
class AloneEnd:
    """A run that ended because the others of its gang were not present."""

    task: str
    run: int
    at_s: float


@define
class GangRun:
    """A run of a gang.

    :param members: workers and runs of the tasks that are present, by task.
    :param working_since_s: time from which all were present, None before.
    :param resumed_s: work that the value stands for from which it has resumed.
    """

    members: dict[str, tuple[VirtualWorker, WorkerRun]] = Factory(dict)
    working_since_s: float | None = None
    resumed_s: float = 0.0


def _key(run: WorkerRun) -> tuple[str, int]:
    return run.task.rpartition(".")[0], run.run


@define
class Gangs:
    """All runs of gangs, with checks of what the tasks of a run have in common.

    :param saved_s: work that each saved value stands for.
    :param alone: runs that waited for the others in vain.
    :param violations: descriptions of runs whose tasks were started with different saved values.
    """

    runs: dict[tuple[str, int], GangRun] = Factory(dict)
    saved_s: dict[str, float] = Factory(lambda: {"": 0.0})
    alone: list[AloneEnd] = Factory(list)
    violations: list[str] = Factory(list)

    def join(
        self, worker: VirtualWorker, run: WorkerRun, task_count: int, work_s: float, now_s: float
    ) -> None:
        """Add a task to a run; with the last one the gang begins to work.

        :param work_s: duration of its whole work.
        """
        gang = self.runs.setdefault(_key(run), GangRun())
        gang.members[run.task] = worker, run
        run.final_outcome, run.outcome = run.outcome, "alone"
        run.ends_s = now_s + WAIT_S
        runs = [member for _, member in gang.members.values()]
        if len({member.checkpoint for member in runs}) > 1:
            self.violations.append(f"different saved values: {run.task} run {run.run}")
            return
        stopping = any(member.stops_s != float("inf") for member in runs)
        if len(runs) < task_count or stopping:
            return
        gang.working_since_s, gang.resumed_s = now_s, self.saved_s[run.checkpoint]
        for member in runs:
            member.outcome = member.final_outcome
            member.ends_s = now_s + max(0.0, work_s - gang.resumed_s)

    def is_working(self, run: WorkerRun) -> bool:
        """Return whether all tasks of a run are present."""
        gang = self.runs.get(_key(run))
        return gang is not None and gang.working_since_s is not None

    def outcome_at_end(self, run: WorkerRun) -> str:
        """Return how a run ends when its work is over.

        It is broken if another task's lease has ended earlier, or another task fails.
        """
        others = [
            (worker, other)
            for worker, other in self.runs[_key(run)].members.values()
            if other is not run
        ]
        lapsed = any(worker.lease_end_s < other.ends_s for worker, other in others)
        failed = any(other.final_outcome == "failed" for _, other in others)
        if run.outcome == "done" and (lapsed or failed):
            return "broken"
        return run.outcome

    def saved(self, run: WorkerRun, now_s: float) -> str:
        """Return the value that a task has saved last, which is one of its own."""
        gang = self.runs[_key(run)]
        if gang.working_since_s is None:
            return run.checkpoint
        count = int((now_s - gang.working_since_s) / SAVE_INTERVAL_S)
        if not count:
            return run.checkpoint
        value = f"{run.task}/{run.run}/{count}"
        self.saved_s[value] = gang.resumed_s + count * SAVE_INTERVAL_S
        return value

    def leave(self, run: WorkerRun, outcome: str, at_s: float) -> None:
        """Remove a task from a run; the others of a gang at work end as broken."""
        gang = self.runs[_key(run)]
        gang.members.pop(run.task, None)
        if outcome == "alone":
            self.alone.append(AloneEnd(run.task, run.run, at_s))
        if outcome == "done" or gang.working_since_s is None:
            return
        for worker, other in list(gang.members.values()):
            worker.break_run(other, at_s)
