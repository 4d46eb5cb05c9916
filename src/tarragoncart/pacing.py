"""Decides how fast tasks that fill may work beside tasks that serve."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from .ledger import Task

# Filling tasks slow down when a tail comes this near to its target, and speed up again below the
# lower share; between the two they stay, so that the pace does not swing.
SLOW_DOWN_RATIO = 0.85
SPEED_UP_RATIO = 0.6
# Halving reaches 0 within five looks, well before a tail counts as harmed.
SLOW_DOWN_FACTOR = 0.5
PACE_STOP_PERCENT = 10
SPEED_UP_PERCENT = 20
FULL_PERCENT = 100
# A tail that a change of pace has not reached yet says nothing about it.
SETTLE_MS = 700


@frozen
class PaceChange:
    """A decision to change a task's pace."""

    task: Task
    percent: int
    tail_ms: int
    target_ms: int


def worst_tail(tasks: Iterable[Task]) -> Task | None:
    """Return the serving task whose tail is nearest to its target, or furthest above it."""
    serving = [
        task
        for task in tasks
        if task.step.spec.target_tail_ms and task.state == "running" and task.load
    ]
    if not serving:
        return None
    return max(serving, key=lambda task: task.load / task.step.spec.target_tail_ms)


def pace_changes(tasks: Iterable[Task], now_ms: float) -> Iterator[PaceChange]:
    """Yield the changes of pace for the filling tasks of one upstream.

    All filling tasks slow down at once, as it is not known which one disturbs; they speed up one
    after the other.
    """
    here = list(tasks)
    filling = [task for task in here if task.step.spec.fills and task.state == "running"]
    if not filling:
        return
    worst = worst_tail(here)
    tail_ms = worst.load if worst else 0
    target_ms = worst.step.spec.target_tail_ms if worst else 0
    share = tail_ms / target_ms if target_ms else 0.0
    for task in filling:
        if now_ms - task.paced_ms < SETTLE_MS:
            continue
        if share >= SLOW_DOWN_RATIO and task.pace > 0:
            percent = int(task.pace * SLOW_DOWN_FACTOR)
            if percent < PACE_STOP_PERCENT:
                percent = 0
            yield PaceChange(task, percent, tail_ms, target_ms)
        elif share <= SPEED_UP_RATIO and task.pace < FULL_PERCENT:
            percent = min(FULL_PERCENT, task.pace + SPEED_UP_PERCENT)
            yield PaceChange(task, percent, tail_ms, target_ms)
            return
