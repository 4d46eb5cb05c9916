"""Orders that a leader gives while its upstream is away, and those that a take-over interrupts."""

from __future__ import annotations

import asyncio
import json

import pytest
from attrs import evolve

from standins.polling import wait_until
from standins.taskworker import TaskWorker
from standins.vacating import VacatingFleet
from tarragoncart import intake
from tarragoncart.graph import Demand
from tarragoncart.vmorders import ReadmitUpstream, VacateUpstream

JOB_ID = "5c0e7a21d94b36f8"
TASK = {"count": 2, "cpu": 1_000, "mem-mb": 256, "est-ms": 30}
LONG_RUNNING_JOB = {"spec": "text", "steps": [{**TASK, "long-running": True}]}
BEST_EFFORT_JOB = {"spec": "text", "steps": [{**TASK, "long-running": True, "fills": True}]}
SPECULATIVE_JOB = {"spec": "text", "steps": [{**TASK, "speculative": True}]}
PART_COUNT = 2
# Bounds of the deployment: `cancel_ms` and `stop-ms`.
CANCEL_MS, STOP_MS = 3_000, 400
# Interval of the requests to vacate an upstream.
REPEAT_MS = 100


@pytest.fixture
async def runs_under_next_leader(run_node, add_worker, store):
    """Return a function that starts two runs, ends their leader and waits for the next one.

    The upstream is not registered meanwhile. The function returns the worker, the node that leads
    and a function that registers the upstream again.
    """

    async def start(cancelled, job=LONG_RUNNING_JOB):
        worker = await add_worker(worker=TaskWorker(work_ms=0))
        registration = store.standin.newest("keyed.servers")["i-1"]
        first = await run_node("node-1")
        assert await first.caller.submit(f"/q/{JOB_ID}", job) == 200
        assert await wait_until(lambda: len(worker.runs) == 2)
        second = await run_node("node-2")
        store.standin.put("keyed.servers", "i-1", None)
        await first.stop()
        if cancelled:
            part = intake.partitions_of("node-2", PART_COUNT)[0]
            store.standin.put(intake.TOPIC, f"{intake.CANCEL_PREFIX}{JOB_ID}", 1, part)
        assert await wait_until(lambda: second.scheduler and second.scheduler._loaded, 6.0)

        def register():
            store.standin.put_bytes("keyed.servers", "i-1", registration)

        return worker, second, register

    return start


@pytest.mark.parametrize("away_ms", [0, 300, 600])
async def test_a_run_cancelled_while_its_upstream_was_not_registered_is_stopped(
    runs_under_next_leader, away_ms
):
    """Guards against a stop that is lost because the upstream had no link (rule UNASKED)."""
    worker, leader, register = await runs_under_next_leader(cancelled=True)
    await asyncio.sleep(away_ms / 1_000)
    register()
    assert await wait_until(lambda: not worker.runs, (CANCEL_MS + STOP_MS) / 1_000)
    assert [outcome for _, _, outcome in worker.ends] == ["stopped", "stopped"]
    assert await leader.caller.phase(f"/q/{JOB_ID}", "cancelled") == "cancelled"


async def test_a_run_doubled_while_its_upstream_was_not_registered_is_counted_once(
    runs_under_next_leader, add_worker
):
    """Guards against capacity of an account and copies of a task that are never released."""
    worker, leader, register = await runs_under_next_leader(False, SPECULATIVE_JOB)
    scheduler = leader.scheduler
    tasks = scheduler._jobs[JOB_ID].steps[0, 0].tasks
    assert await wait_until(lambda: all(task.copies for task in tasks))
    register()
    await add_worker("i-2", TaskWorker(work_ms=0))
    assert await wait_until(lambda: all(task.upstream_id == "i-2" for task in tasks))
    for name in list(worker.runs):
        worker.finish(name)
    assert await leader.caller.phase(f"/q/{JOB_ID}", "completed") == "completed"
    assert await wait_until(lambda: scheduler._usages["shop"].running == Demand())
    assert not any(task.copies for task in tasks)


async def test_runs_that_an_earlier_leader_slowed_down_get_a_pace_after_a_take_over(
    runs_under_next_leader,
):
    """Guards against best-effort runs that stay at pace 0 as the next leader takes it for 100."""
    worker, _, register = await runs_under_next_leader(False, BEST_EFFORT_JOB)
    register()
    assert await wait_until(lambda: len(worker.paces) == 2)
    assert {percent for _, percent in worker.paces} == {100}
    await asyncio.sleep(1.0)
    assert len(worker.paces) == 2


async def test_an_order_for_a_pace_without_an_answer_is_repeated(runs_under_next_leader):
    """Guards against best-effort runs whose pace counts as set although the order was lost."""
    worker, _, register = await runs_under_next_leader(False, BEST_EFFORT_JOB)
    worker.faults.lose_pace_count = 2
    register()
    assert await wait_until(lambda: len(worker.paces) == 4, 3.0)
    await asyncio.sleep(1.0)
    assert sorted(worker.paces) == sorted(2 * [(name, 100) for name in worker.runs])


async def carry_out_late(worker, leader, store, token, job_id=JOB_ID):
    """Carry out a start of an earlier leader and return the status of the response."""
    registrations = (value for _, value in store.standin.part("keyed.servers").records)
    address = json.loads(next(registrations))["address"]
    late_start = {
        "task": f"{job_id}.0.0.0",
        "run": 1,
        "spec": "text",
        "until-ms": worker.clock_ms() + 3_000,
        "fencing-token": token,
    }
    async with leader.session.post(f"http://{address}/run-start", json=late_start) as response:
        return response.status


@pytest.mark.parametrize("registered", [True, False])
async def test_a_start_carried_out_after_its_job_and_its_leader_ended_does_not_stay(
    runs_under_next_leader, store, registered
):
    """Guards against a run of a cancelled job that no leader knows of, and that nobody stops."""
    worker, leader, register = await runs_under_next_leader(True)
    # The starts of the earlier leader have not been carried out yet.
    worker.runs.clear()
    token = worker.fencing_token
    if registered:
        register()
        assert await wait_until(lambda: worker.fencing_token > token)
    assert await leader.caller.phase(f"/q/{JOB_ID}", "cancelled") == "cancelled"
    status = await carry_out_late(worker, leader, store, token)
    assert status == (409 if registered else 200)
    assert bool(worker.runs) is not registered
    register()
    assert await wait_until(lambda: not worker.runs, (CANCEL_MS + STOP_MS) / 1_000)
    assert registered or worker.ends[-1] == (f"{JOB_ID}.0.0.0", 1, "stopped")


async def test_nothing_starts_beside_a_run_whose_demand_is_not_known(runs_under_next_leader, store):
    """Guards against starts beyond the capacity of an upstream that lists a run of an ended job."""
    worker, leader, register = await runs_under_next_leader(True)
    worker.runs.clear()
    assert await wait_until(lambda: "i-1" not in leader.scheduler._upstreams, 8.0)
    ended_id, next_id = "f" * 16, JOB_ID[::-1]
    assert await carry_out_late(worker, leader, store, worker.fencing_token, ended_id) == 200
    worker.faults.stop_ms = 300.0
    step = {**TASK, "count": 1, "cpu": worker.cpu_millicores}
    assert await leader.caller.submit(f"/q/{next_id}", {"spec": "text", "steps": [step]}) == 200
    register()
    assert await wait_until(lambda: f"{next_id}.0.0.0" in worker.runs)
    assert worker.ends == [(f"{ended_id}.0.0.0", 1, "stopped")]


@pytest.fixture
async def open_fleet():
    """Return a function that lets a stand-in of the owner of the VMs vacate `i-1`."""
    fleets = []

    def open_for(scheduler, grace_period_ms):
        fleet = scheduler._fleet = VacatingFleet(scheduler, grace_period_ms, REPEAT_MS)
        fleet.start()
        fleets.append(fleet)
        return fleet

    yield open_for
    for fleet in fleets:
        await fleet.stop()


@pytest.fixture
def request_vacating(run_node, add_worker, open_fleet):
    """Return a function that vacates an upstream with two tasks and returns it and the fleet."""

    async def request(job, grace_period_ms):
        worker = await add_worker("i-1", TaskWorker(work_ms=0))
        node = await run_node()
        assert await node.caller.submit(f"/q/{JOB_ID}", job) == 200
        assert await wait_until(lambda: len(worker.runs) == 2)
        return worker, open_fleet(node.scheduler, grace_period_ms)

    return request


async def test_repeated_requests_to_vacate_extend_no_grace_period(request_vacating):
    """Guards against a wave that waits for ever for a task without saved progress."""
    _, fleet = await request_vacating({"spec": "text", "steps": [TASK]}, 500.0)
    assert await wait_until(lambda: fleet.vacated, 2.0)


async def test_an_upstream_registered_again_while_it_is_vacated_is_vacated(
    request_vacating, add_worker
):
    """Guards against a wave that waits for ever for an upstream whose request was lost with it."""
    await request_vacating(LONG_RUNNING_JOB, None)
    replacement = await add_worker("i-1", TaskWorker(work_ms=0, started_ms=2))
    other = await add_worker("i-2", TaskWorker(work_ms=0))
    assert await wait_until(lambda: len(other.runs) == 2)
    assert not replacement.runs


BUDGETED_JOB = {
    "spec": "text",
    "steps": [{**TASK, "count": 3, "long-running": True, "may-miss": 2}],
}


@pytest.fixture
def request_vacating_within_budget(run_node, add_worker, open_fleet):
    """Return a function that vacates `i-1`, whose two tasks have no place elsewhere.

    The third task of their step runs on `i-2`, and two of them may be away. The function that the
    fixture returns gets a coroutine that runs on the worker of `i-2` first; it returns the fleet.
    """

    async def request(prepare):
        first = await add_worker("i-1", TaskWorker(work_ms=0, cpu_millicores=2_000))
        second = await add_worker("i-2", TaskWorker(work_ms=0, cpu_millicores=1_000))
        node = await run_node()
        assert await node.caller.submit(f"/q/{JOB_ID}", BUDGETED_JOB) == 200
        assert await wait_until(lambda: len(first.runs) == 2 and len(second.runs) == 1)
        tasks = node.scheduler._jobs[JOB_ID].steps[0, 0].tasks
        assert await wait_until(lambda: all(task.at_full_speed for task in tasks))
        await prepare(node.scheduler, second)
        return second, open_fleet(node.scheduler, None)

    return request


async def nothing(scheduler, worker):
    """Leave the upstreams as they are."""


async def silence(scheduler, worker):
    """Cut an upstream off until the leader has noticed it."""
    worker.faults.silent = True
    slot = scheduler._upstreams["i-2"].slot
    assert await wait_until(lambda: not slot.answering)


async def test_a_vacated_upstream_whose_budget_is_used_up_since_is_not_vacated(
    request_vacating_within_budget,
):
    """Guards against a VM that waits for its order while other tasks go away (rule AVAIL)."""
    worker, fleet = await request_vacating_within_budget(nothing)
    assert await wait_until(lambda: fleet.vacated)
    for run in worker.runs.values():
        run.percent = 0
    await asyncio.sleep(1.2)
    fleet.vacated.clear()
    await asyncio.sleep(0.8)
    assert not fleet.vacated
    for run in worker.runs.values():
        run.percent = 100
    assert await wait_until(lambda: fleet.vacated)


async def test_tasks_on_a_silent_upstream_use_up_the_disruption_budget(
    request_vacating_within_budget,
):
    """Guards against an order while tasks of a cut-off upstream may have ended (rule AVAIL)."""
    _, fleet = await request_vacating_within_budget(silence)
    await asyncio.sleep(0.8)
    assert not fleet.vacated


def tasks_at(scheduler, upstream_id):
    """Return the tasks whose current run is at an upstream."""
    return scheduler._upstreams[upstream_id].slot.tasks.values()


async def test_tasks_count_as_away_from_the_moment_an_order_for_their_vm_is_pending(
    request_vacating_within_budget,
):
    """Guards against a second order until the next report of an upstream that may go down."""
    _, fleet = await request_vacating_within_budget(nothing)
    scheduler = fleet.scheduler
    await fleet.stop()
    scheduler.handle(ReadmitUpstream("i-1"))
    assert await wait_until(lambda: all(t.at_full_speed for t in tasks_at(scheduler, "i-1")))
    # The request counts as repeated, as after a first one that gave way to the budget.
    scheduler._upstreams["i-1"].vacating_since_ms = scheduler._timer.now_ms()
    scheduler._upstreams["i-1"].grace_period_ms = None
    scheduler.handle(VacateUpstream("i-1", None, order_pending=True))
    assert not any(task.at_full_speed for task in tasks_at(scheduler, "i-1"))


async def test_a_leaving_upstream_leaves_the_budget_to_an_order_that_is_pending(
    request_vacating_within_budget,
):
    """Guards against a stop that uses up the budget by which a VM is about to go down (AVAIL)."""
    worker, fleet = await request_vacating_within_budget(nothing)
    scheduler = fleet.scheduler
    await fleet.stop()
    scheduler.tell(VacateUpstream("i-1", None, order_pending=True))
    assert await wait_until(lambda: scheduler._upstreams["i-1"].order_pending)
    slot = scheduler._upstreams["i-2"].slot
    slot.entry = evolve(slot.entry, draining=True)
    await asyncio.sleep(1.0)
    assert len(worker.runs) == 1
    scheduler.tell(ReadmitUpstream("i-1"))
    assert await wait_until(lambda: not worker.runs)


async def test_an_upstream_registered_again_before_its_order_gets_no_tasks(
    request_vacating, add_worker
):
    """Guards against two tasks of a step on a VM whose order has been sent (rule AVAIL)."""
    _, fleet = await request_vacating(LONG_RUNNING_JOB, None)
    scheduler = fleet.scheduler
    assert await wait_until(lambda: scheduler._upstreams["i-1"].slot.cordoned)
    known = scheduler._upstreams["i-1"]
    await fleet.stop()
    replacement = await add_worker("i-1", TaskWorker(work_ms=0, started_ms=2))
    assert await wait_until(lambda: scheduler._upstreams["i-1"] is not known)
    await asyncio.sleep(0.5)
    assert scheduler._upstreams["i-1"].slot.cordoned
    assert not replacement.runs


async def test_one_of_two_vacated_upstreams_may_go_down_once_the_budget_shrinks(
    run_node, add_worker, open_fleet
):
    """Guards against a wave in which VMs that wait for their orders block each other."""
    names = ("i-1", "i-2", "i-3")
    workers = [await add_worker(n, TaskWorker(work_ms=0, cpu_millicores=1_000)) for n in names]
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", BUDGETED_JOB) == 200
    assert await wait_until(lambda: all(len(worker.runs) == 1 for worker in workers))
    scheduler = node.scheduler
    tasks = scheduler._jobs[JOB_ID].steps[0, 0].tasks
    assert await wait_until(lambda: all(task.at_full_speed for task in tasks))
    fleet = open_fleet(scheduler, None)
    assert await wait_until(lambda: "i-1" in fleet.vacated)
    scheduler.tell(VacateUpstream("i-2", None))
    assert await wait_until(lambda: "i-2" in fleet.vacated)
    for run in workers[2].runs.values():
        run.percent = 0
    await asyncio.sleep(1.5)
    fleet.vacated.clear()
    assert await wait_until(lambda: fleet.vacated)


async def test_cancellations_of_unknown_jobs_do_not_add_up_while_they_cannot_be_deleted(
    run_node, store
):
    """Guards against a leader whose list of records to delete grows until it ends (LOST)."""
    node = await run_node()
    scheduler = await node.wait_to_lead()
    scheduler._retention_ms = -1_000_000
    store.standin.faults.refused_parts = {"keyed.intake": {1}}
    for number in range(40):
        store.standin.put("keyed.intake", f"c/{number:016x}", 1, 1)
        if number % 10 == 9:
            await asyncio.sleep(0.5)
    assert await wait_until(lambda: len(scheduler._early_cancels) >= 10)
    assert len(scheduler._expired_cancels[1]) <= 20
    store.standin.faults.refused_parts = {}
    assert await wait_until(lambda: not store.standin.newest("keyed.intake"))
    assert not scheduler._early_cancels


async def test_a_job_submitted_while_its_old_cancellation_expires_keeps_its_record(
    run_node, add_worker, store
):
    """Guards against a job that the next leader does not know (rule LOST)."""
    await add_worker(worker=TaskWorker(work_ms=0))
    node = await run_node()
    assert await node.caller.submit("/q/00000000000000aa", LONG_RUNNING_JOB) == 200
    assert (await node.caller.call("DELETE", f"/q/{JOB_ID}"))[0] == 200
    scheduler = await node.wait_to_lead()
    assert await wait_until(lambda: scheduler._early_cancels)
    retention_ms = scheduler._retention_ms
    scheduler._deletions_sent_ms = scheduler._timer.now_ms()
    scheduler._retention_ms = -1_000_000
    assert await wait_until(lambda: not scheduler._early_cancels)
    scheduler._retention_ms = retention_ms
    assert await node.caller.submit(f"/q/{JOB_ID}", LONG_RUNNING_JOB) == 200
    records = store.standin.newest
    assert await wait_until(lambda: f"c/{JOB_ID}" not in records("keyed.intake"))
    assert f"j/{JOB_ID}" in records("keyed.intake")
