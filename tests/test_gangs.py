"""Tests of gangs: tasks that are started, saved, retried and done together."""

from __future__ import annotations

import asyncio

import pytest
from attrs import define

from standins.polling import wait_until
from standins.taskworker import Run, TaskWorker, WorkerFaults
from tarragoncart.intake import CANCEL_PREFIX, STEP_TASK_LIMIT_COUNT, IntakeRead
from tarragoncart.storage import Entry
from tarragoncart.tasks import TaskSet
from tarragoncart.vmorders import UpstreamEnded, VacateUpstream

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "00000000000000aa"
PATH = f"/q/{JOB_ID}"
FIRST, SECOND = f"{JOB_ID}.0.0.0", f"{JOB_ID}.0.0.1"
# A worker has room for one task, so that each of them runs on a worker of its own.
GANG = {"count": 2, "cpu": 9_000, "mem-mb": 256, "est-ms": 30_000, "gang": True}
LARGEST_GANG = {"count": STEP_TASK_LIMIT_COUNT, "cpu": 10, "mem-mb": 1}
# A run at an upstream that is lost is given up with the end of its lease.
START_TIMEOUT_S = 8.0


@define
class RunningGang:
    """A job of one gang of two tasks, and the workers that run it."""

    node: object
    workers: tuple[TaskWorker, ...]

    def worker(self, task):
        """Return the worker that runs a task."""
        return next(worker for worker in self.workers if task in worker.runs)

    def checkpoints(self, run):
        """Return the saved progress with which each task of a run was started."""
        rows = [row for worker in self.workers for row in worker.checkpoints]
        return sorted((task, saved) for task, number, saved in rows if number == run)

    async def started(self, run):
        """Wait until both tasks run with a number, and return whether they do."""
        return await wait_until(
            lambda: sorted(r.task for w in self.workers for r in w.runs.values() if r.run == run)
            == [FIRST, SECOND],
            START_TIMEOUT_S,
        )

    async def listed(self, run):
        """Wait until the leader knows that both tasks run, and return whether it does."""
        tasks = list(self.node.scheduler._jobs[JOB_ID].tasks())
        return await wait_until(
            lambda: all(task.run == run and task.state == "running" for task in tasks)
        )


@pytest.fixture
def submit_gang(run_node, add_worker):
    """Submit a gang of two endless tasks to an entry VM with three workers."""

    async def submit(prepare=lambda node, workers: None, **step):
        workers = [await add_worker(f"i-{n}", TaskWorker(work_ms=0)) for n in range(3)]
        node = await run_node()
        assert await wait_until(lambda: node.scheduler is not None)
        assert await wait_until(
            lambda: sum(u.slot.usable for u in node.scheduler._upstreams.values()) == len(workers)
        )
        prepare(node, workers)
        job = {"spec": "text", "steps": [{**GANG, **step}]}
        assert await node.caller.submit(PATH, job) == 200
        return RunningGang(node, tuple(workers))

    return submit


@pytest.fixture
def run_gang(submit_gang):
    """Submit a gang of two endless tasks and return it when both are known to run."""

    async def start(**step):
        gang = await submit_gang(**step)
        assert await gang.started(1)
        assert await gang.listed(1)
        return gang

    return start


@pytest.fixture
def assign_gang(submit_gang, store):
    """Submit a gang of endless tasks whose assignment the store refuses, so that none starts."""

    def refuse_appends(node, workers):
        store.standin.faults.refused_parts = {"keyed.state": {0}}

    async def assign(**step):
        gang = await submit_gang(refuse_appends, **step)
        jobs = gang.node.scheduler._jobs
        assert await wait_until(lambda: JOB_ID in jobs)
        tasks = list(jobs[JOB_ID].tasks())
        assert await wait_until(lambda: all(task.state == "assigned" for task in tasks))
        return gang

    return assign


async def test_a_gang_resumes_from_one_checkpoint(run_gang):
    """Guards against tasks of a gang that resume from values of their own and never meet."""
    gang = await run_gang(checkpointing=True)
    lost, kept = gang.worker(SECOND), gang.worker(FIRST)
    kept.runs[FIRST].saved, lost.runs[SECOND].saved = "saved-first", "saved-second"
    await asyncio.sleep(1.5)
    kept.runs[FIRST].saved = "saved-at-the-end"
    kept.finish(FIRST, "broken")
    lost.restart()
    assert await gang.started(2)
    assert gang.checkpoints(2) == [(FIRST, "saved-at-the-end"), (SECOND, "saved-at-the-end")]


async def test_a_gang_resumes_from_one_checkpoint_under_a_new_leader(run_gang, run_node, store):
    """Guards against a new leader that restores another value for each task of a gang."""
    gang = await run_gang(checkpointing=True)
    await gang.node.stop()
    # A record of an earlier version, with two values.
    rows = [[0, "w", 1, "", [], "saved-first"], [1, "w", 1, "", [], "saved-second"]]
    store.standin.put("keyed.state", f"{JOB_ID}.0.0", rows)
    for worker in gang.workers:
        worker.restart()
    gang.node = await run_node("node-2")
    assert await gang.started(2)
    saved = {value for _, value in gang.checkpoints(2)}
    assert len(saved) == 1 and saved <= {"saved-first", "saved-second"}


async def test_a_gang_fails_as_often_as_its_queue_allows(run_gang):
    """Guards against a gang that runs more often than allowed, as its tasks fail in turn."""
    gang = await run_gang()
    for run, failing, other in ((1, FIRST, SECOND), (2, SECOND, FIRST)):
        assert await gang.started(run)
        gang.worker(failing).finish(failing, "failed")
        gang.worker(other).finish(other, "broken")
    assert await gang.node.caller.phase(PATH, "failed") == "failed"
    assert not gang.checkpoints(3)


async def test_a_run_of_a_gang_fails_once(run_gang):
    """Guards against a gang that fails too early, as two of its tasks fail in one run."""
    gang = await run_gang()
    for task in (FIRST, SECOND):
        gang.worker(task).finish(task, "failed")
    assert await gang.started(2)
    for task in (FIRST, SECOND):
        gang.worker(task).finish(task)
    assert await gang.node.caller.phase(PATH, "completed") == "completed"


async def test_one_end_of_a_gang_represents_all(run_gang):
    """Guards against a job that never ends, as a worker was lost with its end of a gang."""
    gang = await run_gang()
    lost = gang.worker(SECOND)
    gang.worker(FIRST).finish(FIRST)
    lost.restart()
    assert await gang.node.caller.phase(PATH, "completed") == "completed"
    assert not gang.checkpoints(2)


async def test_one_end_of_the_largest_gang_represents_all(assign_gang, store):
    """Guards against a job that never ends, as the end of its gang exhausts the stack."""
    gang = await assign_gang(**LARGEST_GANG)
    scheduler = gang.node.scheduler
    tasks = list(scheduler._jobs[JOB_ID].tasks())
    for task in tasks:
        worker = gang.workers[int(task.upstream_id.removeprefix("i-"))]
        worker.runs[task.name] = Run(task.name, task.run, float("inf"), "done")
    assert await gang.listed(1)
    store.standin.faults.refused_parts = {}
    gang.worker(FIRST).finish(FIRST)
    assert await gang.node.caller.phase(PATH, "completed") == "completed"
    assert not any(upstream.slot.tasks for upstream in scheduler._upstreams.values())


async def test_the_end_of_the_largest_gang_does_not_search_its_step_for_each_task(
    assign_gang, monkeypatch
):
    """Guards against an event loop that stands still for tasks times tasks when a gang ends."""
    gang = await assign_gang(**LARGEST_GANG)
    scheduler = gang.node.scheduler
    first, *_ = scheduler._jobs[JOB_ID].tasks()
    searched = []
    kept = TaskSet.kept.fget
    monkeypatch.setattr(
        TaskSet, "kept", property(lambda tasks: searched.append(tasks) or kept(tasks))
    )
    monkeypatch.setattr(TaskSet, "waiting", searched.append)
    monkeypatch.setattr(TaskSet, "has_waiting", property(searched.append))
    monkeypatch.setattr(TaskSet, "waiting_count", property(searched.append))
    scheduler._apply_event(first, "done")
    assert first.step.done
    # Once for the other tasks of the gang, and once for those that the end of the job stops.
    assert searched == [first.step.tasks] * 2


async def test_a_gang_done_in_part_under_an_earlier_version_is_done(run_gang, run_node, store):
    """Guards against a job that an earlier version has left waiting for one task of a done gang."""
    gang = await run_gang()
    await gang.node.stop()
    store.standin.put("keyed.state", f"{JOB_ID}.0.0", [[0, "d", 1], [1, "w", 1]])
    for worker in gang.workers:
        worker.restart()
    gang.node = await run_node("node-2")
    assert await gang.node.caller.phase(PATH, "completed") == "completed"


async def test_the_rest_of_a_gang_is_stopped_if_one_start_is_refused(submit_gang):
    """Guards against tasks of a gang that wait in vain for one whose start was refused."""

    faults = WorkerFaults(refuse_start_count=1)

    def refuse_one_start(node, workers):
        for worker in workers:
            worker.faults = faults

    gang = await submit_gang(refuse_one_start)
    assert await gang.started(2)
    assert len(gang.checkpoints(1)) == 1


async def test_a_gang_is_withdrawn_as_a_whole(submit_gang, store):
    """Guards against the start of a part of a gang, as an upstream of another part is vacated."""

    def refuse_appends(node, workers):
        store.standin.faults.refused_parts = {"keyed.state": {0}}

    gang = await submit_gang(refuse_appends)
    scheduler = gang.node.scheduler
    assert await wait_until(lambda: JOB_ID in scheduler._jobs)
    tasks = list(scheduler._jobs[JOB_ID].tasks())
    assert await wait_until(lambda: all(task.state == "assigned" for task in tasks))
    scheduler.tell(VacateUpstream(tasks[0].upstream_id, None))
    assert await wait_until(lambda: tasks[0].state == "waiting")
    store.standin.faults.refused_parts = {}
    assert await gang.started(2)
    assert not gang.checkpoints(1)


async def test_cancellations_read_with_that_of_the_largest_gang_are_applied(assign_gang, store):
    """Guards against tasks that run on, as the withdrawal of a gang exhausts the stack."""
    gang = await assign_gang(**LARGEST_GANG)
    scheduler, caller = gang.node.scheduler, gang.node.caller
    other_path = f"/q/{OTHER_JOB_ID}"
    job = {"spec": "text", "steps": [{**GANG, "count": 1}]}
    assert await caller.submit(other_path, job) == 200
    assert await wait_until(lambda: OTHER_JOB_ID in scheduler._jobs)
    cancelled = [(0, Entry(f"{CANCEL_PREFIX}{name}", b"1", 0)) for name in (JOB_ID, OTHER_JOB_ID)]
    scheduler.tell(IntakeRead(tuple(cancelled), scheduler._intake_as_of_ms))
    store.standin.faults.refused_parts = {}
    assert await caller.phase(other_path, "cancelled") == "cancelled"
    assert await caller.phase(PATH, "cancelled") == "cancelled"
    assert not any(upstream.slot.tasks for upstream in scheduler._upstreams.values())


async def test_the_largest_gang_is_withdrawn_as_a_whole(assign_gang):
    """Guards against a gang that is left assigned in part, as its withdrawal exhausts the stack."""
    gang = await assign_gang(**LARGEST_GANG)
    scheduler = gang.node.scheduler
    tasks = list(scheduler._jobs[JOB_ID].tasks())
    scheduler.tell(VacateUpstream(tasks[0].upstream_id, None))
    assert await wait_until(lambda: all(task.state == "waiting" for task in tasks))


async def test_a_new_leader_stops_the_rest_of_a_gang(run_gang, run_node, store):
    """Guards against a run that waits in vain, as only the earlier leader was to stop it."""
    gang = await run_gang()
    kept, lost = gang.worker(FIRST), gang.worker(SECOND)
    first, _ = gang.node.scheduler._jobs[JOB_ID].tasks()
    rows = [[0, "p", 1, first.upstream_id], [1, "w", 1]]
    await gang.node.stop()
    lost.restart()
    store.standin.put("keyed.state", f"{JOB_ID}.0.0", rows)
    gang.node = await run_node("node-2")
    assert await gang.started(2)
    assert (FIRST, 1, "stopped") in kept.ends


async def test_a_gang_whose_upstream_is_removed_before_its_start_is_placed_again(
    submit_gang, store
):
    """Guards against tasks of a gang at one upstream, each of which ends the other's assignment."""

    def refuse_appends(node, workers):
        store.standin.faults.refused_parts = {"keyed.state": {0}}

    gang = await submit_gang(refuse_appends, cpu=1_000)
    scheduler = gang.node.scheduler
    assert await wait_until(lambda: JOB_ID in scheduler._jobs)
    first, second = scheduler._jobs[JOB_ID].tasks()
    assert await wait_until(lambda: first.state == second.state == "assigned")
    removed = first.upstream_id
    assert second.upstream_id == removed
    scheduler.tell(UpstreamEnded(removed))
    assert await wait_until(lambda: removed not in scheduler._upstreams)
    store.standin.faults.refused_parts = {}
    assert await gang.started(2)
