"""Pace of best-effort tasks beside serving tasks."""

from __future__ import annotations

import pytest

from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.jobmodel import Job
from tarragoncart.pacing import PAUSE_REPEAT_MS, SETTLE_MS, note_outcome, order_pace, pace_changes

SERVING = StepSpec(1, Demand(1_000), long_running=True, target_tail_ms=100)
BEST_EFFORT = StepSpec(2, Demand(1_000), long_running=True, fills=True)


@pytest.fixture
def tasks():
    """One serving and two best-effort tasks, all running at full speed."""
    spec = JobSpec("", (SERVING, BEST_EFFORT))
    job = Job(Submission("1", "q", "pool", "", 0, 1, 1.0, 0, 0, spec))
    job.release(0)
    found = list(job.tasks())
    for task in found:
        task.state, task.percent = "running", 100
    return found


def apply_changes(tasks, now_ms):
    """Apply the changes and return the paces of the best-effort tasks."""
    for change in list(pace_changes(tasks, now_ms)):
        order_pace(change, now_ms)
    return [task.pace for task in tasks if task.step.spec.fills]


def test_best_effort_tasks_stop_while_a_latency_target_is_missed(tasks):
    """Guards against best-effort tasks that run for 4 s while a serving task misses its target."""
    tasks[0].load = 150
    now_ms, paces = 10_000.0, [100]
    while any(paces):
        paces = apply_changes(tasks, now_ms)
        now_ms += SETTLE_MS
    assert now_ms - 10_000.0 < 4_000


def test_best_effort_tasks_speed_up_one_at_a_time(tasks):
    """Guards against a pace that oscillates between zero and full speed."""
    for task in tasks[1:]:
        task.pace = 0
    tasks[0].load = 30
    assert apply_changes(tasks, 10_000.0) == [20, 0]
    assert apply_changes(tasks, 10_100.0) == [20, 20]


def test_a_latency_between_the_thresholds_keeps_the_pace(tasks):
    """Guards against a change of pace at each poll."""
    tasks[0].load = 75
    tasks[1].pace = 50
    assert apply_changes(tasks, 10_000.0) == [50, 100]


def test_best_effort_tasks_alone_run_at_full_speed(tasks):
    """Guards against a pace that stays low after the serving task has left the upstream."""
    tasks[0].state = "waiting"
    tasks[1].pace = 90
    assert apply_changes(tasks, 10_000.0) == [100, 100]


@pytest.mark.parametrize(("tail_ms", "paces"), [(0, [100, 100]), (70, [50, 50]), (150, [0, 0])])
def test_a_pace_that_an_earlier_leader_may_have_set_is_set_again(tasks, tail_ms, paces):
    """Guards against tasks that stay slowed down, or harm others, after a take-over."""
    for task in tasks[1:]:
        task.pace = None
    tasks[0].load = tail_ms
    assert apply_changes(tasks, 10_000.0) == paces


@pytest.mark.parametrize("outcome", ["unanswered", "lost"])
def test_an_order_that_is_not_confirmed_is_repeated(tasks, outcome):
    """Guards against a task that is taken for stopped and works on beside a missed target."""
    tasks[0].load = 150
    tasks[1].state = "waiting"
    tasks[2].pace = 10
    assert apply_changes(tasks, 10_000.0) == [100, 0]
    if outcome != "lost":
        note_outcome(tasks[2], 0, outcome)
    tasks[0].load = 75
    assert not list(pace_changes(tasks, 10_000.0 + SETTLE_MS - 1))
    repeated = list(pace_changes(tasks, 10_000.0 + SETTLE_MS))
    assert [(change.task, change.percent) for change in repeated] == [(tasks[2], 0)]


@pytest.mark.parametrize("outcome", ["accepted", "refused"])
def test_an_order_that_was_answered_is_not_repeated(tasks, outcome):
    """Guards against a call with each report to an upstream that follows or has no such run."""
    tasks[0].load = 150
    tasks[1].pace = tasks[2].pace = 10
    assert apply_changes(tasks, 10_000.0) == [0, 0]
    for task in tasks[1:]:
        note_outcome(task, 0, outcome)
    tasks[0].load = 75
    assert not list(pace_changes(tasks, 10_000.0 + SETTLE_MS))


def test_the_answer_to_an_earlier_order_confirms_no_later_one(tasks):
    """Guards against a late answer that hides the loss of a later order."""
    tasks[0].load = 150
    assert apply_changes(tasks, 10_000.0) == [50, 50]
    assert apply_changes(tasks, 10_000.0 + SETTLE_MS) == [25, 25]
    note_outcome(tasks[1], 50, "accepted")
    note_outcome(tasks[2], 25, "accepted")
    tasks[0].load = 75
    repeated = list(pace_changes(tasks, 10_000.0 + 2 * SETTLE_MS))
    assert [(change.task, change.percent) for change in repeated] == [(tasks[1], 25)]


def test_a_pause_is_ordered_again_while_the_target_is_missed(tasks):
    """Guards against a task that an earlier order, carried out late, has set to work again."""
    tasks[0].load = 150
    tasks[1].state = "waiting"
    tasks[2].pace = 0
    ordered_ms = []
    for now_ms in range(10_000, 14_000, 100):
        if apply_changes(tasks[::2], now_ms) and tasks[2].paced_ms == now_ms:
            ordered_ms.append(now_ms)
            note_outcome(tasks[2], 0, "accepted")
    assert ordered_ms == list(range(10_000, 14_000, PAUSE_REPEAT_MS))


def test_a_pause_is_not_ordered_again_while_the_target_is_kept(tasks):
    """Guards against calls to each upstream whose best-effort tasks are paused."""
    tasks[0].load = 95
    tasks[1].pace = tasks[2].pace = 0
    assert not list(pace_changes(tasks, 10_000.0))
