"""Paces best-effort tasks, so that serving tasks beside them keep their target latency."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import frozen

from .tasks import Task

# Best-effort tasks slow down when the ratio of a tail latency to its target reaches the higher
# value, and speed up when it falls to the lower one. The gap keeps the pace from oscillating.
SLOW_DOWN_RATIO = 0.85
SPEED_UP_RATIO = 0.6
# The fourth halving reaches 0 before a missed latency target counts as a violation.
SLOW_DOWN_FACTOR = 0.5
PACE_MIN_PERCENT = 10
SPEED_UP_STEP_PERCENT = 20
FULL_PERCENT = 100
# First order to a task of unknown pace beside a serving task that keeps its target. At full speed
# it might disturb the serving task again, at 0 it would do no work.
UNKNOWN_PACE_PERCENT = 50
# Time until the tail latency reflects a change of pace.
SETTLE_MS = 700
# Interval at which a pause is ordered again while the target is missed. An earlier order that is
# carried out late may undo it; a target may be missed for 4 s.
PAUSE_REPEAT_MS = 1_000


@frozen
class PaceChange:
    """A change of a task's pace.

    :param percent: new pace.
    :param tail_ms: tail latency of the serving task beside it that has the highest ratio of tail
        latency to target; 0 if there is none.
    :param target_ms: target of that tail latency.
    :param reason: why it is ordered, if not for the tail latency.
    """

    task: Task
    percent: int
    tail_ms: int
    target_ms: int
    reason: str = ""


def worst_serving_task(tasks: Iterable[Task]) -> Task | None:
    """Return the serving task with the highest ratio of tail latency to target, None if none."""
    serving = [
        task
        for task in tasks
        if task.step.spec.target_tail_ms and task.state == "running" and task.load
    ]
    if not serving:
        return None
    return max(serving, key=lambda task: task.load / task.step.spec.target_tail_ms)


def pace_changes(tasks: Iterable[Task], now_ms: float) -> Iterator[PaceChange]:
    """Yield the changes of pace for the best-effort tasks of one upstream.

    All of them slow down at once, as it is not known which one causes the latency. They speed up
    one at a time. An unknown pace is replaced by a known one.
    """
    all_tasks = list(tasks)
    best_effort = [task for task in all_tasks if task.step.spec.fills and task.state == "running"]
    if not best_effort:
        return
    worst = worst_serving_task(all_tasks)
    tail_ms = worst.load if worst else 0
    target_ms = worst.step.spec.target_tail_ms if worst else 0
    tail_ratio = tail_ms / target_ms if target_ms else 0.0
    for task in best_effort:
        if now_ms - task.paced_ms < SETTLE_MS:
            continue
        if task.pace is None:
            percent = _initial_percent(tail_ratio)
            reason = "pace is unknown after a take-over"
            yield PaceChange(task, percent, tail_ms, target_ms, reason)
        elif tail_ratio >= SLOW_DOWN_RATIO and task.pace > 0:
            percent = int(task.pace * SLOW_DOWN_FACTOR)
            if percent < PACE_MIN_PERCENT:
                percent = 0
            yield PaceChange(task, percent, tail_ms, target_ms)
        elif tail_ratio <= SPEED_UP_RATIO and task.pace < FULL_PERCENT:
            percent = min(FULL_PERCENT, task.pace + SPEED_UP_STEP_PERCENT)
            yield PaceChange(task, percent, tail_ms, target_ms)
            return
        elif not task.pace_confirmed:
            reason = "the last order was not confirmed"
            yield PaceChange(task, task.pace, tail_ms, target_ms, reason)
        elif task.pace == 0 and tail_ratio >= 1 and now_ms - task.paced_ms >= PAUSE_REPEAT_MS:
            reason = "the target is missed although the task is paused"
            yield PaceChange(task, task.pace, tail_ms, target_ms, reason)


def order_pace(change: PaceChange, now_ms: float) -> None:
    """Note that a change is being ordered. The order may be lost, so it needs a confirmation."""
    task = change.task
    task.pace, task.pace_confirmed, task.paced_ms = change.percent, False, now_ms


def note_outcome(task: Task, percent: int, outcome: str) -> None:
    """Note the outcome of an order for a pace: ``accepted``, ``refused`` or ``unanswered``.

    An order is refused if the run is not there. It need not be repeated.
    """
    if percent == task.pace and outcome != "unanswered":
        task.pace_confirmed = True


def _initial_percent(tail_ratio: float) -> int:
    """Return the pace for a task of unknown pace."""
    if not tail_ratio:
        return FULL_PERCENT
    return 0 if tail_ratio >= SLOW_DOWN_RATIO else UNKNOWN_PACE_PERCENT
