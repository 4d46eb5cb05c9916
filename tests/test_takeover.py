"""A new leader's take-over: how it restores the stored jobs, and what it does meanwhile."""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import time

import pytest

from standins.polling import wait_until
from standins.taskworker import TaskWorker
from tarragoncart import defaults, intake
from tarragoncart.assignment import UpstreamSlot
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import COMPLETED, QUEUED
from tarragoncart.link import Link
from tarragoncart.mailbox import Actor, new_reply, receives
from tarragoncart.runstate import KnownUpstream
from tarragoncart.scheduler import CountPending, Lookup
from tarragoncart.vmorders import UpstreamVacated, VacateUpstream

# A processor of a small entry VM does a quarter of the work of this one, and a leader renews its
# membership every 400 ms.
LONGEST_BLOCK_S = defaults.MEMBERSHIP_TTL_MS / defaults.JOINS_PER_TTL_COUNT / 4 / 1_000


def submission(number, **spec):
    """Return a job of two steps with 24 tasks."""
    demand = Demand(1_000, 256)
    steps = (StepSpec(12, demand, 500, **spec), StepSpec(12, demand, 500, (0,), **spec))
    spec = JobSpec("x" * 600, steps)
    return Submission(f"{number:016x}", "q", "pool", "shop", 0, 2, 1.6, 600, 1, spec)


@pytest.fixture
def store_jobs(store):
    """Return a function that stores jobs as earlier leaders left them, and returns their IDs."""

    def put(count, ended=False, first=0, **spec):
        jobs = [submission(number, **spec) for number in range(first, first + count)]
        for job in jobs:
            key, value = intake.submission_record(job)
            store.standin.put(intake.TOPIC, key, json.loads(value), int(job.job_id, 16) % 2)
            if ended:
                now_ms = time.time_ns() // 1_000_000
                store.standin.put("keyed.state", job.job_id, {"phase": COMPLETED, "at": now_ms})
        return [job.job_id for job in jobs]

    return put


@pytest.fixture
def lookup():
    """Return a function that asks a scheduler about a job."""

    async def ask(scheduler, job_id):
        reply = new_reply()
        scheduler.tell(Lookup(job_id, reply))
        return await asyncio.wait_for(reply, 2.0)

    return ask


@pytest.fixture
def count_pending():
    """Return a function that asks a scheduler for the number of pending jobs."""

    async def ask(scheduler):
        reply = new_reply()
        scheduler.tell(CountPending("q", reply))
        return (await asyncio.wait_for(reply, 2.0)).count

    return ask


@pytest.fixture
def leader(run_node):
    """Return a function that starts an entry VM and waits until it leads."""

    async def start():
        node = await run_node()
        while node.scheduler is None:
            await asyncio.sleep(0.001)
        return node.scheduler

    return start


@pytest.fixture
def production_gc():
    """Collect garbage as rarely as the program does."""
    thresholds = gc.get_threshold()
    gc.collect()
    gc.freeze()
    gc.set_threshold(defaults.GC_THRESHOLD_COUNT, 20, 50)
    yield
    gc.set_threshold(*thresholds)
    gc.unfreeze()


async def wait_until_restored(scheduler):
    """Wait until a leader has restored all jobs."""
    while not scheduler._loaded:
        await asyncio.sleep(0.005)


async def longest_block_s(until):
    """Return the longest processor time of an iteration of the event loop until a task ends."""
    longest_s = 0.0
    for _ in itertools.takewhile(lambda _: not until.done(), itertools.count()):
        started_s = time.thread_time()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.thread_time() - started_s)
    return longest_s


async def test_submissions_of_ended_jobs_are_not_decoded(store_jobs, leader, lookup, monkeypatch):
    """Guards against a take-over whose work grows with the number of jobs that have ended."""
    decoded = []
    decode = intake.decode_submission
    monkeypatch.setattr(
        intake, "decode_submission", lambda *args: decoded.append(args) or decode(*args)
    )
    ended = store_jobs(300, ended=True)
    unfinished = store_jobs(3, first=300)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    assert len(decoded) == 3
    assert {(await lookup(scheduler, job_id)).phase for job_id in ended} == {COMPLETED}
    assert {(await lookup(scheduler, job_id)).phase for job_id in unfinished} == {QUEUED}


async def test_a_take_over_of_many_jobs_does_not_block_the_event_loop(
    store_jobs, leader, production_gc
):
    """Guards against a leader that is taken for dead while it restores jobs."""
    store_jobs(2_000)
    scheduler = await leader()
    restored = asyncio.ensure_future(wait_until_restored(scheduler))
    assert await longest_block_s(restored) < LONGEST_BLOCK_S


async def test_an_ended_job_in_two_partitions_is_deleted_from_both(store_jobs, store, leader):
    """Guards against acceptance records that no leader deletes, and ends that are kept for them."""
    (job_id,) = store_jobs(1, ended=True)
    key, value = intake.submission_record(submission(0))
    store.standin.put(intake.TOPIC, key, json.loads(value), 1)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    await asyncio.sleep(2 * defaults.ENDED_RECORDS_DELETE_MS / 1_000)
    assert scheduler._jobs[job_id].parts == set()


async def test_queries_during_a_take_over_are_not_answered_from_a_part_of_the_jobs(
    store_jobs, leader, lookup, monkeypatch
):
    """Guards against a wrong phase or count, and against queries that wait for the restoration."""
    monkeypatch.setattr(defaults, "RESTORE_SLICE_MS", 0)
    job_ids = store_jobs(500)
    scheduler = await leader()
    reply = new_reply()
    scheduler.tell(CountPending("q", reply))
    views = []
    while not scheduler._loaded:
        views += [await lookup(scheduler, job_ids[0]), await lookup(scheduler, job_ids[-1])]
    views = [view for view in views if view.view_age_ms == float("inf")]
    assert views and {view.phase for view in views} == {""}
    assert (await asyncio.wait_for(reply, 2.0)).view_age_ms == float("inf")


@pytest.mark.parametrize(
    ("row", "pending_count"),
    [([0, "p", 1, "i-1"], 1), ([0, "w", 2], 1), ([0, "w", 2, "", [1]], 0), ([0, "d", 1], 0)],
)
async def test_a_job_none_of_whose_starts_was_carried_out_stays_pending_after_a_take_over(
    store_jobs, leader, store, count_pending, row, pending_count
):
    """Guards against a number of pending jobs without those whose starts were refused or lost."""
    (job_id,) = store_jobs(1)
    store.standin.put("keyed.state", f"{job_id}.0.0", [row])
    scheduler = await leader()
    await wait_until_restored(scheduler)
    assert await count_pending(scheduler) == pending_count


async def test_a_job_whose_run_is_listed_after_a_take_over_is_not_pending(
    run_node, add_worker, next_leader, count_pending
):
    """Guards against jobs that count as pending although a new leader sees their runs."""
    worker = await add_worker("i-1", TaskWorker(work_ms=0))
    node = await run_node("node-1")
    step = {"count": 1, "cpu": TASK_CPU_MILLICORES, "mem-mb": 256, "est-ms": 60_000}
    assert await node.caller.submit(f"/q/{JOB_ID}", {"spec": "", "steps": [step]}) == 200
    assert await wait_until(lambda: worker.runs)
    node = await next_leader(node)
    assert await node.caller.phase(f"/q/{JOB_ID}", "running") == "running"
    task = node.scheduler._jobs[JOB_ID].steps[0, 0].tasks[0]
    assert await wait_until(lambda: task.state == "running")
    assert await count_pending(node.scheduler) == 0


class Collector(Actor):
    """Actor that only stores what the scheduler tells it."""

    def __init__(self):
        super().__init__("collector")
        self.messages = []

    def tell(self, message):
        """Store a message."""
        self.messages.append(message)


async def test_no_upstream_is_vacated_before_its_runs_are_restored(leader, store, store_jobs):
    """Guards against maintenance of a VM whose runs the new leader does not know yet."""
    store_jobs(1)
    store.standin.put("keyed.state", f"{0:016x}.0.0", [[0, "p", 1, "i-1"]])
    store.standin.faults.unreadable_topics = frozenset({intake.TOPIC})
    scheduler = await leader()
    scheduler._fleet = fleet = Collector()
    scheduler.tell(VacateUpstream("i-1", None))
    await asyncio.sleep(0.3)
    assert not any(isinstance(m, UpstreamVacated) for m in fleet.messages)


async def test_no_vm_gets_orders_before_the_upstreams_are_known(leader, store):
    """Guards against an order for a VM whose upstream counts as vacated as it is not known yet."""
    store.standin.faults.unreadable_topics = frozenset({"keyed.servers"})
    scheduler = await leader()
    starts = []
    scheduler._make_fleet, scheduler._fleet = None, Collector()
    scheduler._fleet.start = lambda: starts.append(scheduler._registrations_read)
    await wait_until_restored(scheduler)
    await asyncio.sleep(0.2)
    assert not starts
    store.standin.faults.unreadable_topics = frozenset()
    await asyncio.wait_for(wait_for_items(starts), 4.0)
    assert starts == [True]


async def wait_for_items(items):
    """Wait until a list has items."""
    while not items:
        await asyncio.sleep(0.01)


class SlowHandler(Actor):
    """Actor that counts the messages that it has handled."""

    def __init__(self):
        super().__init__("slow")
        self.handled_count = 0

    @receives(int)
    def on_message(self, message):
        """Count a message."""
        self.handled_count += 1


async def test_the_event_loop_runs_while_an_actor_has_a_backlog():
    """Guards against a leader that answers nobody until it has handled the reports of a fleet."""
    actor = SlowHandler()
    for number in range(10 * defaults.INBOX_SLICE_COUNT):
        actor.tell(number)
    actor.start()
    longest_count, last_count = 0, 0
    for _ in range(20):
        await asyncio.sleep(0)
        longest_count = max(longest_count, actor.handled_count - last_count)
        last_count = actor.handled_count
    await actor.stop()
    assert last_count == 10 * defaults.INBOX_SLICE_COUNT
    assert longest_count == defaults.INBOX_SLICE_COUNT


async def test_the_links_to_a_fleet_are_not_all_opened_at_once(leader, store, monkeypatch):
    """Guards against a new leader that answers nobody while it connects to its upstreams."""
    started = []

    def start(link):
        started.append(link)

    monkeypatch.setattr(Link, "start", start)
    monkeypatch.setattr(defaults, "LINK_START_PAUSE_MS", 200)
    for number in range(40):
        entry = {"backend": "pool", "address": "127.0.0.1:1", "zone": "dc-1", "phase": "ready"}
        capacity = {"cpu": 1_000, "mem-mb": 1_024, "gpu": 0}
        more = {"capacity": capacity, "labels": [], "born": 1, "sequence": 1}
        store.standin.put("keyed.servers", f"i-{number}", entry | more)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    await asyncio.sleep(0.1)
    assert len(scheduler._upstreams) == 40
    assert len(started) == defaults.LINK_START_COUNT
    monkeypatch.setattr(defaults, "LINK_START_PAUSE_MS", 1)
    await asyncio.sleep(0.5)
    assert len(started) == 40


class CountedUpstreams(dict):
    """Upstreams that count how often all of them are visited."""

    def __init__(self, *args):
        super().__init__(*args)
        self.visit_count = 0

    def values(self):
        """Count a visit."""
        self.visit_count += 1
        return super().values()


async def test_a_scheduling_pass_does_not_visit_all_upstreams_for_each_waiting_step(
    store_jobs, leader
):
    """Guards against passes that take upstreams times waiting steps and leave no time to answer."""
    store_jobs(50)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    scheduler._upstreams = upstreams = CountedUpstreams(scheduler._upstreams)
    scheduler._place()
    assert upstreams.visit_count == 1
    # The jobs of these tests were accepted in 1970, so that their work counts as late.
    assert scheduler._deferred_millicore_ms["pool"] > 0


def add_upstream(scheduler):
    """Add an upstream with room for all tasks, and return its slot."""
    capacity = Demand(1_000_000, 1_000_000)
    slot = UpstreamSlot(UpstreamEntry("i-1", "pool", "", "dc", False, capacity), capacity, True)
    scheduler._upstreams["i-1"] = KnownUpstream(slot, Collector(), float("inf"))
    return slot


async def test_a_pass_assigns_a_limited_number_of_tasks(store_jobs, leader):
    """Guards against hundreds of starts that are sent at once and leave no time to answer."""
    store_jobs(20)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    slot = add_upstream(scheduler)
    scheduler._place()
    assert len(slot.tasks) == defaults.ASSIGNMENT_LIMIT_COUNT
    assert not scheduler._backlog_millicore_ms
    assert not scheduler._deferred_millicore_ms


@pytest.mark.parametrize(("gang", "assigned_count"), [(False, 4), (True, 0)])
async def test_a_restored_job_keeps_to_the_limit_of_its_account(
    store_jobs, leader, store, platform_config, monkeypatch, gang, assigned_count
):
    """Guards against a new leader that starts the first step of an account without its limit."""
    # The first pass is that of the test.
    monkeypatch.setattr(defaults, "PLACEMENT_DELAY_MS", 60_000)
    platform_config["tenants"][0]["cap"]["cpu"] = 4_000
    store.standin.put("keyed.op", "config", platform_config)
    store_jobs(1, gang=gang)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    slot = add_upstream(scheduler)
    scheduler._place()
    assert len(slot.tasks) == assigned_count


JOB_ID, NEXT_ID = "5c0e7a21d94b36f8", "71ad2c0b9e5f4386"
TASK_CPU_MILLICORES = 1_000


@pytest.fixture
async def runs_at_silent_upstream(run_node, add_worker, store, platform_config, monkeypatch):
    """Return a function that starts two runs, which are the cap of their account, at an upstream.

    The upstream does not answer any more afterwards. The function returns the worker and the entry
    VM that leads.
    """
    monkeypatch.setattr("tarragoncart.defaults.UPSTREAM_CALL_TIMEOUT_MS", 300)
    monkeypatch.setattr(defaults, "UPSTREAM_LEASE_MS", 5_000)
    platform_config["tenants"][0]["cap"]["cpu"] = 2 * TASK_CPU_MILLICORES
    store.standin.put("keyed.op", "config", platform_config)

    async def start(**step):
        worker = await add_worker("i-1", TaskWorker(work_ms=0))
        node = await run_node("node-1")
        task = {"count": 2, "cpu": TASK_CPU_MILLICORES, "mem-mb": 256, "est-ms": 60_000, **step}
        job = {"spec": "", "steps": [task]}
        assert await node.caller.submit(f"/q/{JOB_ID}", job) == 200
        assert await wait_until(lambda: len(worker.runs) == task["count"])
        worker.faults.silent = True
        return worker, node

    return start


@pytest.fixture
def next_leader(run_node):
    """Return a function that ends a leader and returns the next one once it has restored jobs."""

    async def follow(node):
        following = await run_node("node-2")
        await node.stop()
        assert await wait_until(lambda: following.scheduler and following.scheduler._loaded, 6.0)
        return following

    return follow


def running_millicores(node):
    """Return what counts against the cap of the account."""
    return node.scheduler._usage("shop").running.cpu_millicores


async def test_runs_of_a_cancelled_job_count_against_the_cap_after_a_take_over(
    runs_at_silent_upstream, next_leader, add_worker, store
):
    """Guards against an account that runs twice its cap while cancelled runs go on unreachable."""
    first, node = await runs_at_silent_upstream()
    assert (await node.caller.call("DELETE", f"/q/{JOB_ID}"))[0] == 200
    assert await wait_until(lambda: JOB_ID in store.standin.newest("keyed.state"))
    await asyncio.sleep(1.5 * defaults.ENDED_RECORDS_DELETE_MS / 1_000)
    node = await next_leader(node)
    assert running_millicores(node) == 2 * TASK_CPU_MILLICORES
    second = await add_worker("i-2", TaskWorker(work_ms=0))
    step = {"count": 2, "cpu": TASK_CPU_MILLICORES, "mem-mb": 256, "est-ms": 60_000}
    assert await node.caller.submit(f"/q/{NEXT_ID}", {"spec": "", "steps": [step]}) == 200
    while first.clock_ms() < first.until_ms - 100:
        assert not second.starts
        await asyncio.sleep(0.05)
    first.faults.silent = False
    assert await wait_until(lambda: len(second.runs) + len(first.runs) == 2)
    assert await node.caller.phase(f"/q/{JOB_ID}", "cancelled") == "cancelled"


async def test_both_runs_of_a_task_count_against_the_cap_after_a_take_over(
    runs_at_silent_upstream, next_leader, add_worker
):
    """Guards against runs beside the replaced ones of a silent upstream that exceed the cap."""
    first, node = await runs_at_silent_upstream(count=1, speculative=True)
    second = await add_worker("i-2", TaskWorker(work_ms=0))
    assert await wait_until(lambda: second.runs)
    node = await next_leader(node)
    assert first.runs and second.runs
    assert running_millicores(node) == 2 * TASK_CPU_MILLICORES
    first.faults.silent = False
    second.finish(f"{JOB_ID}.0.0.0")
    assert await node.caller.phase(f"/q/{JOB_ID}", "completed") == "completed"
    assert await wait_until(lambda: not running_millicores(node))
    assert [outcome for _, _, outcome in first.ends] == ["stopped"]


async def test_records_of_a_cancelled_job_are_deleted_once_its_runs_are_gone(
    runs_at_silent_upstream, next_leader, store
):
    """Guards against records that every later leader reads, and runs that are counted for ever."""
    worker, node = await runs_at_silent_upstream()
    assert (await node.caller.call("DELETE", f"/q/{JOB_ID}"))[0] == 200
    assert await wait_until(lambda: JOB_ID in store.standin.newest("keyed.state"))
    node = await next_leader(node)
    worker.faults.silent = False
    assert await wait_until(lambda: not running_millicores(node))
    assert [outcome for _, _, outcome in worker.ends] == ["stopped", "stopped"]
    assert await wait_until(lambda: set(store.standin.newest("keyed.state")) == {JOB_ID})
    key = f"{intake.JOB_PREFIX}{JOB_ID}"
    assert await wait_until(lambda: key not in store.standin.newest(intake.TOPIC))
    # The leader learns of the deletion by an answer that comes after it.
    assert await wait_until(lambda: node.scheduler._jobs[JOB_ID].parts == set())


async def test_pools_without_waiting_steps_leave_their_assignments_to_others(store_jobs, leader):
    """Guards against a pool with a backlog that gets a share for each pool that ever had work."""
    store_jobs(20)
    scheduler = await leader()
    await wait_until_restored(scheduler)
    for number in range(29):
        scheduler._ready_steps[f"idle-{number}"] = {}
    slot = add_upstream(scheduler)
    scheduler._place()
    assert len(slot.tasks) == defaults.ASSIGNMENT_LIMIT_COUNT


async def test_a_pass_during_which_the_process_paused_does_not_delay_the_next_one_for_long(leader):
    """Guards against seconds without assignments and commits after a pause of the process."""
    scheduler = await leader()
    await wait_until_restored(scheduler)
    scheduler._pass_due = False
    scheduler._pass_duration_ms = 2_000.0
    scheduler._request_pass()
    await asyncio.sleep(defaults.PASS_PAUSE_MAX_MS / 1_000 + 0.1)
    assert scheduler._pass_duration_ms < 1_000.0


async def test_passes_leave_time_for_other_work(leader, monkeypatch):
    """Guards against a leader that does nothing but scheduling passes while many steps wait."""
    scheduler = await leader()
    await wait_until_restored(scheduler)
    times_s = []

    def place_slowly():
        times_s.append(time.monotonic())
        time.sleep(0.03)
        times_s.append(time.monotonic())
        scheduler._dirty_steps.clear()
        scheduler._pass_due = False
        asyncio.get_running_loop().call_soon(scheduler._request_pass)

    monkeypatch.setattr(scheduler, "_place", place_slowly)
    scheduler._request_pass()
    await asyncio.sleep(0.5)
    pauses_s = [after - before for before, after in zip(times_s[1::2], times_s[2::2], strict=False)]
    assert len(pauses_s) >= 2
    assert min(pauses_s) >= 0.03 * defaults.PASS_PAUSE_RATIO


async def test_a_full_inbox_does_not_end_a_take_over(store_jobs, leader):
    """Guards against a leader that never restores its jobs as its inbox was full for a moment."""
    job_ids = store_jobs(3)
    scheduler = await leader()
    limit_count, scheduler._inbox_limit_count = scheduler._inbox_limit_count, 0
    await asyncio.sleep(0.3)
    scheduler._inbox_limit_count = limit_count
    await asyncio.wait_for(wait_until_restored(scheduler), 3.0)
    assert set(scheduler._jobs) == set(job_ids)


async def test_a_full_inbox_between_two_slices_does_not_end_a_take_over(
    store_jobs, leader, monkeypatch
):
    """Guards against a leader whose next slice of restored jobs is refused and never repeated."""
    monkeypatch.setattr(defaults, "RESTORE_SLICE_MS", 0)
    job_ids = store_jobs(30)
    scheduler = await leader()
    while not scheduler._restored_jobs:
        await asyncio.sleep(0)
    assert not scheduler._loaded
    limit_count, scheduler._inbox_limit_count = scheduler._inbox_limit_count, 0
    await asyncio.sleep(0.3)
    scheduler._inbox_limit_count = limit_count
    await asyncio.wait_for(wait_until_restored(scheduler), 3.0)
    assert set(scheduler._jobs) == set(job_ids)
