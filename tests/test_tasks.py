"""The objects that the leader keeps of a job's steps and tasks."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import tracemalloc
from collections import Counter

import pytest

from tarragoncart import intake, jobmodel
from tarragoncart.entrance import Accepted
from tarragoncart.graph import Demand, JobSpec, QueueRule, StepSpec, Submission
from tarragoncart.jobmemory import ENDED_JOB_BYTES, OPEN_STEP_LIMIT_COUNT, job_bytes
from tarragoncart.jobmodel import COMPLETED, Job
from tarragoncart.platform.callers import decode_job
from tarragoncart.restoration import restore
from tarragoncart.staterecords import decode_step, encode_step
from tarragoncart.storage import Entry
from tarragoncart.tasks import TASK_BYTES

QUEUE = QueueRule("q", "pool", "q.example", "/q/", max_attempts=3)
RECORD_BYTES = 262_144
JOB_ID = f"{0:016x}"


def largest(count, make_step):
    """Return as many steps as one record of the store holds."""
    return [make_step(number) for number in range(count)]


# Bodies of jobs of the shapes that take most memory.
SHAPES = {
    "small": {"steps": [{"count": 4, "cpu": 500, "mem-mb": 256, "est-ms": 300}]},
    "most tasks": {"steps": [{"count": 2_000}] * 10},
    "most steps": {"steps": [{"count": 1}] * 9_000},
    "most different steps": {"steps": largest(5_000, lambda n: {"est-ms": 1_000 + n})},
    "chain": {"steps": largest(5_000, lambda n: {"depends-on": [n - 1] if n else []})},
    "most dependencies": {"steps": largest(300, lambda n: {"depends-on": list(range(n))})},
    "long names": {"steps": largest(700, lambda n: {"image": f"{n:04}" + 50 * "é"})},
    "most occurrences": {"steps": [{"count": 1}], "times": 20_000},
    "occurrences of many steps": {"steps": [{"count": 2}] * 100, "times": 100},
    "text": {"spec": 4_000 * "é", "steps": [{"count": 1}]},
}


def record_of(body):
    spec = decode_job(json.dumps({"spec": "x"} | body).encode())
    submission = Submission.to_queue(QUEUE, "0123456789abcdef", "shop", 1, spec)
    key, value = intake.submission_record(submission)
    assert len(key) + len(value) < RECORD_BYTES
    return key, value


def load(record):
    """Return a job as the leader holds it once all occurrences are due."""
    key, value = record
    job = Job(intake.decode_submission(key.removeprefix(intake.JOB_PREFIX), value))
    job.release_due(float("inf"))
    assert all(step.has_waiting for step in job.steps.values())
    assert job.note_step_done(next(iter(job.steps.values()))) is not None
    return job


@pytest.mark.parametrize("shape", SHAPES)
def test_a_job_takes_no_more_memory_than_is_counted_for_it(shape):
    """Guards against jobs of a legal shape that exceed the memory of the leader uncounted."""
    record = record_of(SHAPES[shape])
    load(record)
    gc.collect()
    tracemalloc.start()
    try:
        job = load(record)
        gc.collect()
        ready = dict.fromkeys(job.steps.values())
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert len(ready) == len(job.steps)
    assert used_bytes <= job_bytes(job.submission)


def test_tasks_and_ended_jobs_take_no_more_memory_than_is_counted_for_them():
    """Guards against runs and ends of jobs that exceed the memory of the leader uncounted."""
    job = load(record_of({"steps": [{"count": 2_000, "cpu": 1}]}))
    (step,) = job.steps.values()
    tracemalloc.start()
    try:
        slot_tasks = {}
        for task in step.tasks:
            task.run, task.state, task.upstream_id = 1, "running", "i-1"
            task.tracker.observe(2_000.5, 1)
            for number in range(10):
                task.tracker.observe(3_000.5 + 100.0 * number, number)
            task.assigned_ms = task.must_list_after_ms = 1_000.5 + task.index
            slot_tasks[task.name] = task
        tasks_bytes = tracemalloc.get_traced_memory()[0]
        jobs = {}
        for number in range(1_000):
            ended = Job(job.submission, 1_000_000 + number, {1}).summary()
            ended.job_id = f"{number:016x}"
            jobs[ended.job_id] = ended
        ends_bytes = tracemalloc.get_traced_memory()[0] - tasks_bytes
    finally:
        tracemalloc.stop()
    assert tasks_bytes <= 2_000 * TASK_BYTES
    assert ends_bytes <= 1_000 * ENDED_JOB_BYTES


def test_only_tasks_with_runs_are_objects():
    """Guards against a leader that holds an object for each task of each accepted job."""
    job = load(record_of({"steps": [{"count": 2_000}]}))
    (step,) = job.steps.values()
    assert step.waiting_count == 2_000 and not step.tasks.kept
    for number, task in enumerate(step.waiting()):
        if number == 3:
            break
        step.tasks.keep(task)
        task.run, task.state, task.upstream_id = 1, "running", "i-1"
    assert step.waiting_count == 1_997 and len(step.tasks.kept) == 3
    assert step.upstream_counts() == {"i-1": 3}
    done = step.tasks[1]
    done.state = "done"
    step.tasks.condense(done)
    assert len(step.tasks.kept) == 2 and step.tasks.done_count == 1
    found = step.tasks.find(1)
    assert (found.state, found.run) == ("done", 1) and found not in step.tasks
    # The first untouched tasks come next, without those that have had runs.
    assert [task.index for task in step.waiting()][:2] == [3, 4]


@pytest.mark.parametrize("seed", range(5))
def test_a_step_with_tasks_in_any_state_is_restored(seed):
    """Guards against runs, ends or failures that are lost as their tasks are no objects."""
    rng = random.Random(seed)
    submission = Submission.to_queue(QUEUE, "a", "shop", 0, JobSpec("", (StepSpec(50, Demand(1)),)))
    step, restored = (Job(submission).release(0)[0] for _ in range(2))
    for index in rng.sample(range(50), 30):
        task = step.tasks[index]
        task.run, task.state = rng.randint(1, 9), rng.choice(["done", "started", "waiting"])
        task.upstream_id = "i-1" if task.state == "started" else ""
        task.history.failed_runs = {1} if task.state != "done" and rng.random() < 0.5 else set()
        step.tasks.condense(task)
    decode_step(restored, encode_step(step).value)

    def states(step):
        found = [step.tasks.find(index) for index in range(50)]
        return [(t.state, t.run, t.upstream_id, t.history.failed_runs) for t in found]

    assert states(restored) == states(step)
    assert restored.done_count == step.tasks.done_count == restored.tasks.done_count
    assert restored.waiting_count == step.waiting_count
    assert [t.index for t in restored.waiting()] == [t.index for t in step.waiting()]


def test_occurrences_that_are_due_together_are_opened_step_by_step():
    """Guards against a leader that holds all steps of thousands of occurrences at once."""
    job = load(record_of({"steps": [{"count": 1}, {"count": 1}], "times": 5_000}))
    assert len(job.steps) == OPEN_STEP_LIMIT_COUNT
    for occurrence in range(5_000):
        for number in range(2):
            step = job.steps[occurrence, number]
            assert not job.done
            (task,) = step.tasks
            task.run, task.state = 1, "done"
            step.tasks.condense(task)
            step.done_count = 1
        job.count_undone(occurrence)
        job.close_if_done(occurrence)
        job.release_due(float("inf"))
        assert len(job.steps) <= OPEN_STEP_LIMIT_COUNT
    assert job.done and not job.steps
    assert len(list(job.closed_step_names())) == 10_000


def test_occurrences_that_are_done_are_closed_in_a_take_over():
    """Guards against a new leader that holds all occurrences that are done, or runs one again."""
    key, value = record_of({"steps": [{"count": 2}], "times": 3_000})
    job_id = key.removeprefix(intake.JOB_PREFIX)
    state = [(f"{job_id}.{n}.0", b'[[0,"d",1],[1,"d",2]]') for n in range(0, 2_000, 2)]
    restored = restore([(0, Entry(key, value, 0))], state, 1)
    (job,) = [value for value in restored if isinstance(value, Job)]
    assert not job.steps
    job.release_due(float("inf"))
    assert len(job.steps) == OPEN_STEP_LIMIT_COUNT
    assert {occurrence for occurrence, _ in job.steps} == set(range(1, 2_000, 2))


def test_jobs_with_state_are_restored_before_others():
    """Guards against a take-over that exceeds its memory because of the order of the records."""
    keys_and_values = [
        intake.submission_record(
            Submission.to_queue(
                QUEUE, name, "shop", 1, JobSpec("text", (StepSpec(1, Demand(1), 1),))
            )
        )
        for name in ("not-started", "started")
    ]
    accepted = [(0, Entry(key, value, n)) for n, (key, value) in enumerate(keys_and_values)]
    stored = [("started.0.0", b'[[0,"p",1,"i-0"]]'), ("ended", b'{"phase":"completed","at":1}')]
    restored = [item.job_id for item in restore(accepted, stored, 1) if item is not None]
    assert restored == ["started", "ended", "not-started"]


async def _run_a_wide_job(simulation, config):
    """Run a job of many tasks and occurrences, with a change of the leader in the middle."""
    simulation.store.put("keyed.op", "config", config)
    for number in range(4):
        simulation.add_worker(f"i-{number}", Demand(16_000, 1_000_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    steps = (StepSpec(60, Demand(400), 100), StepSpec(2, Demand(400), 100, depends_on=(0,)))
    spec = JobSpec("text", steps, occurrence_count=12, first_due_ms=1, interval_ms=1)
    assert isinstance(await simulation.submit(node, JOB_ID, spec), Accepted)
    await asyncio.sleep(1.0)
    await simulation.kill_node("n-1")
    node = await simulation.start_node("n-2")
    await asyncio.sleep(40.0)
    simulation.phases[JOB_ID] = node.scheduler._jobs[JOB_ID].phase
    simulation.check_at_rest(node.scheduler, [JOB_ID])
    keys = simulation.store.newest_values("keyed.state")
    left = {key for key in keys if key.startswith(f"{JOB_ID}.")}
    assert not left, "records of steps are left"
    await simulation.kill_node("n-2")
    return simulation


@pytest.mark.parametrize("open_count", [OPEN_STEP_LIMIT_COUNT, 4])
def test_a_job_of_many_occurrences_and_tasks_runs_each_task(
    simulate_scenario, monkeypatch, open_count
):
    """Guards against tasks that are left out or run again, as only some of them are objects."""
    monkeypatch.setattr(jobmodel, "OPEN_STEP_LIMIT_COUNT", open_count)
    simulation = simulate_scenario(_run_a_wide_job, 1)
    assert simulation.phases == {JOB_ID: COMPLETED}
    assert not simulation.violations
    done = Counter(run.task for run in simulation.completed_runs)
    assert len(done) == 12 * 62
    assert set(done.values()) == {1}
