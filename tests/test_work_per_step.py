"""Work of the leader for jobs of many steps, counted in calls and not in time."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from tarragoncart import assignment
from tarragoncart.entrance import Accepted
from tarragoncart.graph import Demand, JobSpec, QueueRule, StepSpec, Submission
from tarragoncart.jobmodel import COMPLETED, Job
from tarragoncart.runstate import RunState
from tarragoncart.scheduler import LOGGED_WAITS_LIMIT_COUNT, Scheduler

JOB_ID = f"{1:016x}"
QUEUE = QueueRule("q", "pool", "q.example", "/q/", max_attempts=3)


class CountedDuration(float):
    """A duration that counts how often it is compared."""

    comparison_count = 0

    def _count(self, compare, other):
        CountedDuration.comparison_count += 1
        return compare(float(self), float(other))

    def __lt__(self, other):
        return self._count(float.__lt__, other)

    def __gt__(self, other):
        return self._count(float.__gt__, other)


@pytest.mark.parametrize("order", [assignment.by_deadline, assignment.deferrable])
def test_the_order_of_steps_does_not_walk_all_steps_of_the_job_for_each(monkeypatch, order):
    """Guards against passes over thousands of steps that keep a leader busy for seconds (LOST)."""
    count = 500
    monkeypatch.setattr(CountedDuration, "comparison_count", 0)
    spec = JobSpec("text", (StepSpec(1, Demand(100), 300),) * count)
    job = Job(Submission.to_queue(QUEUE, JOB_ID, "shop", 1, spec))
    job.path_ms_by_step = tuple(map(CountedDuration, job.path_ms_by_step))
    for step in job.release(0):
        order(step, 10.0**7)
    assert CountedDuration.comparison_count <= 2 * count


@pytest.fixture
def count_calls(monkeypatch):
    """Return a function that counts the calls of a function or method by its name."""
    calls = Counter()

    def watch(owner, name):
        original = getattr(owner, name)

        def counted(*args, **kwargs):
            calls[name] += 1
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, counted)
        return calls

    return watch


async def run_steps(simulation, config, step_count, millicores):
    """Run a job of many equal steps, of which most wait."""
    simulation.store.put("keyed.op", "config", config)
    simulation.add_worker("i-0", Demand(1_000, 1_000_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    spec = JobSpec("text", (StepSpec(1, Demand(millicores), 100),) * step_count)
    assert isinstance(await simulation.submit(node, JOB_ID, spec), Accepted)
    await asyncio.sleep(60.0)
    simulation.phases[JOB_ID] = node.scheduler._jobs[JOB_ID].phase
    await simulation.kill_node("n-1")
    return simulation


def test_the_end_of_a_task_does_not_walk_all_steps_of_the_job(simulate_scenario, count_calls):
    """Guards against work that grows with the square of a job's steps while they end (LOST)."""
    step_count = 150
    calls = count_calls(RunState, "_queue_if_ready")
    simulation = simulate_scenario(run_steps, 1, step_count, 100)
    assert simulation.phases == {JOB_ID: COMPLETED}
    # Once on arrival and once after each task, whose run may have failed.
    assert calls["_queue_if_ready"] <= 3 * step_count


def test_a_pass_does_not_look_at_the_upstreams_for_each_equal_step(simulate_scenario, count_calls):
    """Guards against passes whose work is that of waiting steps times upstreams (LOST)."""
    calls = count_calls(assignment, "admits_when_empty")
    count_calls(Scheduler, "_place")
    simulation = simulate_scenario(run_steps, 1, 150, 500)
    assert simulation.phases == {JOB_ID: COMPLETED}
    assert calls["_place"] > 50
    # One upstream and two reasons to look at it: whether it fits, whether VMs must be added.
    assert calls["admits_when_empty"] <= 2 * calls["_place"]


def test_the_log_of_a_pass_does_not_grow_with_the_waiting_steps(
    simulate_scenario, count_calls, caplog
):
    """Guards against thousands of log lines in one pass, which hold it up (LOST)."""
    caplog.set_level("INFO", "tarragoncart.scheduler")
    calls = count_calls(Scheduler, "_place")
    counts = Counter()

    def count_lines(record):
        if record.getMessage() == "step waits":
            counts[calls["_place"]] += 1
        return True

    caplog.handler.addFilter(count_lines)
    simulate_scenario(run_steps, 1, 4 * LOGGED_WAITS_LIMIT_COUNT, 500)
    caplog.handler.removeFilter(count_lines)
    assert max(counts.values()) == LOGGED_WAITS_LIMIT_COUNT
