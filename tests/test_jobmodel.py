"""The leader's model of jobs and the encoding of their state in the store."""

from __future__ import annotations

import pytest

from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.jobmodel import Job
from tarragoncart.staterecords import decode_step, encode_step
from tarragoncart.tasks import RunHistory


@pytest.fixture
def make_step():
    """Return a factory of steps with three tasks, in a queue with two attempts."""

    def make(**spec):
        job_spec = JobSpec("text", (StepSpec(3, Demand(1_000), **spec),))
        job = Job(Submission("a", "q", "pool", "shop", 0, 2, 1.6, 600, 0, job_spec))
        return job.release(0)[0]

    return make


def test_a_failed_run_counts_once_across_leaders(make_step):
    """Guards against a job that fails after fewer failed runs than its queue allows.

    A new leader processes the end of a run again that an earlier leader has already counted.
    """
    step, restored = make_step(), make_step()
    step.tasks[0].run, step.tasks[0].history.failed_runs = 1, {1}
    decode_step(restored, encode_step(step).value)
    task = restored.tasks[0]
    task.history.failed_runs.add(1)
    assert not task.exhausted and task.startable
    task.history.failed_runs.add(2)
    assert task.exhausted and not task.startable


def test_a_step_record_restores_the_state_of_its_tasks(make_step):
    """Guards against runs, saved progress or failures that are lost when the leader changes."""
    step, restored = make_step(), make_step()
    first, second, _ = step.tasks
    first.state, first.run, first.upstream_id = "running", 3, "i-1"
    first.history = RunHistory({1, 2}, "saved")
    second.state, second.run = "done", 1
    decode_step(restored, encode_step(step).value)
    copy = restored.tasks[0]
    assert (copy.state, copy.run, copy.upstream_id) == ("started", 3, "i-1")
    assert (copy.history.failed_runs, copy.history.checkpoint) == ({1, 2}, "saved")
    assert restored.tasks[1].state == "done" and restored.done_count == 1
    assert restored.tasks[2].startable


def test_a_step_record_restores_the_other_runs_of_its_tasks(make_step):
    """Guards against a task that a new leader starts while a lost run of it is still active."""
    step, restored = make_step(), make_step()
    waiting, placed, done = step.tasks
    waiting.run, waiting.copies = 1, {1: "i-1"}
    placed.state, placed.run, placed.upstream_id = "running", 3, "i-3"
    placed.copies = {1: "i-1", 2: "i-2"}
    done.state, done.run, done.copies = "done", 2, {1: "i-1"}
    decode_step(restored, encode_step(step).value)
    assert [task.copies for task in restored.tasks] == [task.copies for task in step.tasks]
    assert [(task.state, task.run) for task in restored.tasks] == [
        ("waiting", 1),
        ("started", 3),
        ("done", 2),
    ]
    assert not restored.tasks[0].startable


@pytest.mark.parametrize(("speculative", "startable"), [(False, False), (True, True)])
def test_a_task_with_another_run_starts_only_if_speculative(make_step, speculative, startable):
    """Guards against two runs at once of a task whose earlier run is still listed."""
    task = make_step(speculative=speculative).tasks[0]
    task.run, task.copies = 1, {1: "i-1"}
    assert task.startable is startable


def test_long_running_and_gang_tasks_are_not_copyable(make_step):
    """Guards against copies of long-running tasks and of tasks of a gang."""
    for spec in ({"long_running": True}, {"gang": True}):
        task = make_step(speculative=True, **spec).tasks[0]
        task.state = "running"
        assert not task.copyable


def test_a_step_record_restores_the_upstream_to_which_a_task_is_bound(make_step):
    """Guards against a new leader that starts a task elsewhere beside a late start of it."""
    step, restored = make_step(), make_step()
    bound, placed, free = step.tasks
    bound.run, bound.bound_to = 1, "i-1"
    placed.state, placed.run, placed.upstream_id, placed.bound_to = "running", 2, "i-2", "i-2"
    free.run = 1
    decode_step(restored, encode_step(step).value)
    assert [task.bound_to for task in restored.tasks] == ["i-1", "", ""]
    assert [task.state for task in restored.tasks] == ["waiting", "started", "waiting"]
