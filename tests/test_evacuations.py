"""Evacuations of data centres: decisions without a network, and behaviour in virtual time."""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter

import pytest

from standins import polling, virtual
from tarragoncart import assignment, defaults, evacuations
from tarragoncart.assignment import UpstreamSlot, Usage, WaitReason, home_first
from tarragoncart.entrance import Accepted
from tarragoncart.evacuations import (
    Evacuations,
    EvacuationsChanged,
    plan_moves_away,
    remaining_slots,
    requested,
)
from tarragoncart.graph import (
    Demand,
    JobSpec,
    PoolRule,
    StepSpec,
    Submission,
    UpstreamEntry,
    VmEntry,
)
from tarragoncart.jobmodel import Job
from tarragoncart.loads import Loads, UpstreamLoad
from tarragoncart.orders import VmOrder
from tarragoncart.platform import operator
from tarragoncart.pools import POLICIES, MovePlan
from tarragoncart.storage import Entry
from tarragoncart.timer import LoopTimer, ManualTimer
from tarragoncart.vmorders import Move
from tarragoncart.vms import Fleet

PREFIX = operator.EVACUATION_PREFIX
CPU = 4_000
BOUND_MS = 5_000
# The same and `outer-ms`, for the time in which an entry VM does not reach the store.
BOUND_S = BOUND_MS / 1_000
OUTER_S = 6.0
# A start arrives this long after it was sent at the latest.
START_CALL_S = 0.011
SEEDS = range(int(os.environ.get("MODEL_SEEDS", "4")))


def entries(**values):
    """Return records of evacuations by data centre."""
    return [Entry(f"{PREFIX}{name}", value, 0) for name, value in values.items()]


# Which evacuations are requested.


@pytest.mark.parametrize("value", [b"{}", b"null", b"\xff{", b"false"])
def test_any_value_requests_an_evacuation(value):
    """Guards against an evacuation that is ignored because its value cannot be decoded."""
    assert requested(PREFIX, entries(a=value)) == {"a"}


def test_an_empty_value_ends_an_evacuation():
    """Guards against a data centre that stays evacuated after the key was removed."""
    changes = entries(a=b"", b=b"{}")
    assert requested(PREFIX, changes, frozenset("ac")) == {"b", "c"}
    assert requested(PREFIX, entries(a=b""), frozenset()) == frozenset()


def test_a_snapshot_without_the_key_ends_an_evacuation():
    """Guards against a data centre that stays evacuated as the removal itself was not read."""
    assert requested(PREFIX, entries(b=b"{}")) == {"b"}


def test_other_records_request_no_evacuation():
    """Guards against an evacuation of all upstreams that name no data centre, or by a wave."""
    others = [Entry(key, b"{}", 0) for key in ("config", "wave/1", PREFIX, "evacuated/a")]
    assert requested(PREFIX, others) == frozenset()


# When tasks may be started.


def test_without_the_setting_tasks_may_always_be_started():
    """Guards against placement that waits for records that the platform does not have."""
    assert Evacuations(None).starts_until_ms == float("inf")
    assert not Evacuations(None).enabled


def test_nothing_is_started_without_a_recent_view():
    """Guards against a start after the bound by a leader that has not read the request."""
    view = Evacuations(BOUND_MS)
    assert view.starts_until_ms == float("-inf")
    view.update(EvacuationsChanged(frozenset(), 1_000.0))
    assert view.starts_until_ms == 1_000.0 + 0.85 * BOUND_MS
    # A start that is sent at the last moment arrives within the bound.
    sent_until_ms = view.starts_until_ms + defaults.UPSTREAM_CALL_TIMEOUT_MS
    assert sent_until_ms <= 1_000.0 + BOUND_MS


def test_one_lost_read_does_not_hold_placement():
    """Guards against placement that stops because a single answer of the store is lost."""
    wait_ms = BOUND_MS / evacuations.READS_PER_BOUND_COUNT
    next_view_ms = 2 * wait_ms + virtual.STORE_TIMEOUT_S * 1_000 + defaults.STORE_RETRY_MS
    assert next_view_ms < evacuations.VIEW_MAX_AGE_RATIO * BOUND_MS


def test_an_update_tells_what_has_changed():
    """Guards against evacuations that are logged and counted again after each read."""
    view = Evacuations(BOUND_MS)
    assert view.update(EvacuationsChanged(frozenset("ab"), 1.0)) == ({"a", "b"}, frozenset())
    assert view.update(EvacuationsChanged(frozenset("ab"), 2.0)) == (frozenset(), frozenset())
    assert view.update(EvacuationsChanged(frozenset("bc"), 3.0)) == ({"c"}, {"a"})


# Placement.


@pytest.fixture
def make_slot():
    """Return a factory of upstreams."""

    def make(name, data_centre="a", cpu=CPU, **state):
        entry = UpstreamEntry(name, "pool", "x:1", data_centre, False, Demand(cpu, 99), {"k"})
        return UpstreamSlot(entry, entry.capacity, **{"known": True} | state)

    return make


@pytest.fixture
def make_job():
    """Return a factory of jobs with one step of long-running tasks."""

    def make(job_id="1", task_count=1, cpu=1_000, long_running=True, needs_advice=False, **step):
        spec = StepSpec(task_count, Demand(cpu), 1_000, long_running=long_running, **step)
        submission = Submission(
            job_id, "q", "pool", "a", 0, 2, 2.0, 500, 0, JobSpec("", (spec,)), needs_advice
        )
        job = Job(submission)
        job.release(0)
        return job

    return make


@pytest.fixture
def run_on():
    """Return a function that lets a task run at full speed at an upstream."""

    def run(task, slot):
        task.state, task.upstream_id, task.percent, task.run = (
            "running",
            slot.entry.upstream_id,
            100,
            task.run + 1,
        )
        slot.tasks[task.name] = task
        slot.occupy(task)

    return run


def plan(steps, slots, now_ms=0.0):
    """Place waiting tasks; return their upstreams and the reasons for waiting."""
    placed, waits = {}, []

    def reserve(task, slot):
        task.state, task.upstream_id = "assigned", slot.entry.upstream_id
        slot.occupy(task)
        placed[task.name] = slot.entry.upstream_id

    reasons = assignment.plan(
        steps, slots, lambda _: Usage(), now_ms, reserve, lambda _, reason: waits.append(reason)
    )
    list(reasons)
    return placed, waits


def test_an_evacuated_upstream_gets_no_task(make_slot, make_job):
    """Guards against a task that starts in an evacuated data centre because it has most room."""
    slots = [make_slot("i-1", evacuated=True), make_slot("i-2", "b")]
    job = make_job(task_count=5)
    placed, waits = plan(job.steps.values(), slots)
    assert set(placed.values()) == {"i-2"} and len(placed) == 4
    assert waits == [WaitReason.NO_ROOM]


def test_a_bound_task_waits_for_its_upstream_in_the_evacuated_data_centre(make_slot, make_job):
    """Guards against a second run of a guarded task elsewhere while its first may still start."""
    slots = [make_slot("i-1", evacuated=True), make_slot("i-2", "b")]
    job = make_job(long_running=False)
    (task,) = job.tasks()
    task.bound_to = "i-1"
    assert plan(job.steps.values(), slots) == ({}, [WaitReason.BOUND])
    slots[0].evacuated = False
    assert plan(job.steps.values(), slots)[0] == {task.name: "i-1"}


def test_a_gang_does_not_start_with_a_task_in_an_evacuated_data_centre(make_slot, make_job):
    """Guards against a gang of which one task starts in an evacuated data centre."""
    slots = [make_slot("i-1", evacuated=True), make_slot("i-2", "b")]
    job = make_job(task_count=5, gang=True, long_running=False)
    assert plan(job.steps.values(), slots) == ({}, [WaitReason.NO_ROOM])


@pytest.mark.parametrize("gang", [False, True])
def test_a_cold_upstream_ranks_behind_warm_ones_with_room(make_slot, make_job, gang):
    """Guards against tasks that start on a slow upstream while a warm one has room."""
    cold, warm = make_slot("i-1", cpu=8_000, cold_until_ms=50.0), make_slot("i-2")
    job = make_job(task_count=5, gang=gang, long_running=False)
    placed, waits = plan(job.steps.values(), [cold, warm], now_ms=10.0)
    assert Counter(placed.values()) == {"i-2": 4, "i-1": 1} and not waits


def test_a_cold_upstream_ranks_before_a_degraded_one(make_slot, make_job):
    """Guards against tasks that go to an upstream where most runs fail, as the other is cold."""
    slots = [make_slot("i-1", slow=True), make_slot("i-2", cold_until_ms=50.0)]
    (task,) = make_job().tasks()
    assert assignment.choose_slot(task, slots, {}, 10.0, home_first) is slots[1]


def test_an_upstream_that_is_no_longer_cold_ranks_as_before(make_slot, make_job):
    """Guards against upstreams that stay last for ever after their start."""
    slots = [make_slot("i-1", cold_until_ms=10.0, long_running_count=1), make_slot("i-2")]
    (task,) = make_job().tasks()
    assert assignment.choose_slot(task, slots, {}, 10.0, home_first) is slots[0]


def test_upstreams_in_the_evacuated_data_centre_do_not_show_what_a_new_vm_can_run(make_slot):
    """Guards against a pool that gets VM after VM for a label that only the evacuated ones have."""
    slots = [make_slot("i-1", evacuated=True), make_slot("i-2", "b")]
    assert remaining_slots(slots) == slots[1:]
    assert remaining_slots(slots[:1]) == slots[:1]


# Long-running tasks.


@pytest.fixture
def plan_away():
    """Return a function that decides which tasks leave the evacuated upstreams."""

    def decide(slots, to_be_placed=(), usage=None):
        tasks = [task for slot in slots if slot.evacuated for task in slot.tasks.values()]
        free = [slot.free for slot in slots]
        moves = plan_moves_away(tasks, to_be_placed, slots, lambda _: usage or Usage(), 0.0)
        assert [slot.free for slot in slots] == free
        return moves

    return decide


def test_long_running_tasks_move_within_the_disruption_budget(
    make_slot, make_job, run_on, plan_away
):
    """Guards against an evacuation that stops more tasks of a step at once than it allows."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    job = make_job(task_count=4, max_away_count=2)
    for task in job.tasks():
        run_on(task, evacuated)
    assert len(plan_away([evacuated, other]).moving) == 2
    next(job.tasks()).state = "stopping"
    assert len(plan_away([evacuated, other]).moving) == 1


def test_tasks_move_only_into_room_that_no_other_move_needs(make_slot, make_job, run_on, plan_away):
    """Guards against tasks that all stop for the same room, of which only one starts again."""
    evacuated, other = make_slot("i-1", evacuated=True, cpu=8_000), make_slot("i-2", "b")
    jobs = [make_job(str(n), cpu=1_500) for n in range(4)]
    for job in jobs:
        run_on(*job.tasks(), evacuated)
    assert len(plan_away([evacuated, other]).moving) == 2
    (stopping,) = jobs[0].tasks()
    stopping.state = "stopping"
    assert len(plan_away([evacuated, other], [stopping]).moving) == 1


def test_tasks_without_room_elsewhere_stay_and_count_as_a_shortage(
    make_slot, make_job, run_on, plan_away
):
    """Guards against a task that stops though it can run nowhere else."""
    evacuated, full = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    full.free = Demand()
    job = make_job(task_count=3)
    for task in job.tasks():
        run_on(task, evacuated)
    moves = plan_away([evacuated, full])
    assert not moves.moving and moves.short_millicores == 1_000
    # More VMs would not help a step that fits none of those outside the data centre.
    small = make_slot("i-2", "b", cpu=500)
    assert plan_away([evacuated, small]).short_millicores == 0


@pytest.mark.parametrize("free_cpu", [CPU, 0])
def test_a_task_without_tickets_is_no_shortage(make_slot, make_job, run_on, plan_away, free_cpu):
    """Guards against VM after VM for a step that waits for advice at every tick."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    other.free = Demand(free_cpu, 99)
    run_on(*make_job(needs_advice=True).tasks(), evacuated)
    moves = plan_away([evacuated, other])
    assert not moves.moving and moves.short_millicores == 0


def test_a_task_that_may_not_use_free_room_is_no_shortage(make_slot, make_job, run_on, plan_away):
    """Guards against added VMs while an upstream has room that the task may use later."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    job = make_job()
    (task,) = job.tasks()
    run_on(task, evacuated)
    task.copies[1] = "i-2"
    assert plan_away([evacuated, other]).short_millicores == 0


def test_a_limit_per_upstream_is_a_shortage(make_slot, make_job, run_on, plan_away):
    """Guards against a task that stays for ever as the only other upstream has one of its step."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    job = make_job(task_count=2, max_per_upstream_count=1)
    for task, slot in zip(job.tasks(), (evacuated, other), strict=True):
        run_on(task, slot)
    moves = plan_away([evacuated, other])
    assert not moves.moving and moves.short_millicores == 1_000


def test_a_limit_per_upstream_holds_for_moves(make_slot, make_job, run_on, plan_away):
    """Guards against two tasks of a step that move for one place under the limit per upstream."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    far = make_slot("i-3", evacuated=True)
    job = make_job(task_count=2, max_per_upstream_count=1)
    for task, slot in zip(job.tasks(), (evacuated, far), strict=True):
        run_on(task, slot)
    assert len(plan_away([evacuated, far, other]).moving) == 1


def test_gangs_and_short_tasks_finish_in_place(make_slot, make_job, run_on, plan_away):
    """Guards against work that is lost because a short task or a gang is stopped."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    for options in ({"gang": True}, {"long_running": False, "checkpointing": True}):
        job = make_job(str(options), **options)
        run_on(*job.tasks(), evacuated)
    assert not plan_away([evacuated, other]).moving


def test_a_task_of_an_account_above_its_limit_stays(make_slot, make_job, run_on, plan_away):
    """Guards against a task that stops and may not start again."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    run_on(*make_job().tasks(), evacuated)
    above = Usage(running=Demand(2_000), limit=Demand(1_000))
    assert not plan_away([evacuated, other], usage=above).moving
    at_limit = Usage(running=Demand(1_000), limit=Demand(1_000))
    assert len(plan_away([evacuated, other], usage=at_limit).moving) == 1


@pytest.fixture
def searched(monkeypatch):
    """The tasks for which upstreams were searched."""
    tasks, choose = [], assignment.choose_slot

    def record(task, *args):
        tasks.append(task)
        return choose(task, *args)

    monkeypatch.setattr(assignment, "choose_slot", record)
    return tasks


def test_waiting_tasks_of_a_step_without_room_are_not_searched_for(
    make_slot, make_job, run_on, plan_away, searched
):
    """Guards against a tick of seconds: each of 2,000 waiting tasks searches 300 upstreams."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b", cpu=2_500)
    run_on(*make_job().tasks(), evacuated)
    jobs = [make_job(str(n), task_count=20) for n in range(2, 12)]
    bound, *_ = jobs[0].tasks()
    bound.bound_to = "i-1"
    moves = plan_away([evacuated, other], [task for job in jobs for task in job.tasks()])
    assert not moves.moving
    # The bound task, two tasks that find room, one of each step that finds none, and the move.
    assert len(searched) == 1 + 2 + len(jobs) + 1


@pytest.mark.parametrize("away", [True, False], ids=["budget", "stopping"])
def test_nothing_is_searched_for_if_no_task_may_leave(
    make_slot, make_job, run_on, plan_away, searched, away
):
    """Guards against ticks that search for all waiting tasks while nothing can move."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    job = make_job(task_count=2, max_away_count=1)
    task, last = job.tasks()
    run_on(task, evacuated)
    run_on(last, other)
    if away:
        last.percent = 0
    else:
        task.state = "stopping"
    waiting = make_job("2", task_count=20)
    assert not plan_away([evacuated, other], list(waiting.tasks())).moving
    assert not searched


@pytest.mark.parametrize("gang", [False, True], ids=["account at its limit", "gang"])
def test_waiting_tasks_that_cannot_start_take_no_room_of_moves(
    make_slot, make_job, run_on, plan_away, gang
):
    """Guards against a shortage without end: waiting tasks use up the room of each added VM."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b")
    run_on(*make_job().tasks(), evacuated)
    waiting = make_job("2", task_count=6, gang=gang)
    usage = None if gang else Usage(running=Demand(1_000), limit=Demand(1_000))
    moves = plan_away([evacuated, other], list(waiting.tasks()), usage)
    assert len(moves.moving) == 1 and moves.short_millicores == 0


def test_a_task_that_is_being_stopped_takes_room_at_the_limit_of_its_account(
    make_slot, make_job, run_on, plan_away
):
    """Guards against a second move into the room of a task whose demand still counts."""
    evacuated, other = make_slot("i-1", evacuated=True), make_slot("i-2", "b", cpu=1_000)
    jobs = [make_job(str(n)) for n in range(2)]
    for job in jobs:
        run_on(*job.tasks(), evacuated)
    (stopping,) = jobs[0].tasks()
    stopping.state = "stopping"
    at_limit = Usage(running=Demand(2_000), limit=Demand(2_000))
    assert not plan_away([evacuated, other], [stopping], at_limit).moving


def test_planning_for_a_large_fleet_searches_upstreams_once_a_step(
    make_slot, make_job, run_on, plan_away, monkeypatch
):
    """Guards against a tick of seconds: each of 600 tasks without room searches 300 upstreams."""
    slots = [make_slot(f"i-{n}", evacuated=n < 100) for n in range(300)]
    for slot in slots[100:]:
        slot.free = Demand()
    jobs = [make_job(str(n), task_count=10) for n in range(60)]
    tasks = [task for job in jobs for task in job.tasks()]
    for number, task in enumerate(tasks):
        run_on(task, slots[number % 100])
    calls = []
    choose = assignment.choose_slot
    monkeypatch.setattr(
        assignment, "choose_slot", lambda *args: calls.append(args) or choose(*args)
    )
    assert not plan_away(slots).moving
    assert len(calls) == len(jobs)


# Pools.


@pytest.fixture
def pool_fleet():
    """The owner of eight VMs of a pool in two data centres and four spare ones, without a task."""
    rules = {"pool": PoolRule("pool"), "spare": PoolRule("spare", spare=True)}
    timer = ManualTimer()
    timer.advance(100_000)
    fleet = Fleet(7, *[None] * 6, {}, timer, 3_000.0, lambda: rules)
    fleet._permitted_until_ms = float("inf")
    for number in range(12):
        pool = "pool" if number < 8 else "spare"
        centre = "ab"[number % 2]
        entry = VmEntry(f"m-{number}", pool, "up", centre, "r", Demand(CPU), f"i-{number}")
        fleet._vms[entry.vm_id] = entry
    fleet._scheduler = fleet._state_writer = Sink()
    return fleet


class Sink:
    """Stand-in for another actor that keeps the messages to it."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        """Keep a message."""
        self.messages.append(message)


def load(number, long_running_millicores=0, busy_millicores=0, pool="pool"):
    """Return the load of an upstream."""
    count = int(long_running_millicores > 0)
    return UpstreamLoad(
        f"i-{number}", pool, count, count, long_running_millicores, busy_millicores, CPU, 0
    )


def planned(fleet):
    """Return the target pools of the moves that are under way or that the policy plans, by VM."""
    policy = POLICIES.get("share_by_need")
    plans = [move.plan for move in fleet._moves.values()]
    plans += policy(list(fleet._demands()), list(fleet._pool_vms()))
    return {plan.vm_id: plan.to_pool for plan in plans}


def test_capacity_in_an_evacuated_data_centre_is_not_the_pools(pool_fleet):
    """Guards against a pool without usable VMs that gets none, as the evacuated ones count."""
    pool_fleet._loads = Loads({f"i-{n}": load(n) for n in range(8)}, {}, {}, {"pool": 3 * CPU})
    pool_fleet._last_short_ms["pool"] = 100_000.0
    assert not planned(pool_fleet)
    pool_fleet.on_evacuations_changed(EvacuationsChanged(frozenset("a"), 0.0))
    (demand,) = (d for d in pool_fleet._demands() if d.pool == "pool")
    assert demand.total_millicores == demand.free_millicores == 4 * CPU
    assert demand.vm_count == 4
    pool_fleet._loads = Loads({f"i-{n}": load(n) for n in range(8)}, {}, {}, {"pool": 5 * CPU})
    assert set(planned(pool_fleet)) == {"m-9", "m-11"}


def test_no_vm_of_an_evacuated_data_centre_moves(pool_fleet):
    """Guards against VMs that go back and forth between pools though nothing can run on them."""
    pool_fleet._loads = Loads({f"i-{n}": load(n) for n in range(8)}, {}, {}, {})
    pool_fleet._idle_since_ms = {f"i-{n}": 0.0 for n in range(8)}
    assert any(int(vm[2:]) % 2 == 0 for vm in planned(pool_fleet))
    pool_fleet.on_evacuations_changed(EvacuationsChanged(frozenset("a"), 0.0))
    assert all(int(vm[2:]) % 2 for vm in planned(pool_fleet))


def test_capacity_for_long_running_tasks_stays_until_they_have_moved(pool_fleet):
    """Guards against VMs that replace evacuated ones, idle first, and return before the moves."""
    evacuated = {f"i-{n}": load(n, 3_000, 3_000) for n in (0, 2, 4, 6)}
    others = {f"i-{n}": load(n) for n in (1, 3, 5, 7)}
    pool_fleet._loads = Loads(evacuated | others, {}, {}, {})
    pool_fleet._idle_since_ms = {f"i-{n}": 0.0 for n in (1, 3, 5, 7)}
    pool_fleet.on_evacuations_changed(EvacuationsChanged(frozenset("a"), 0.0))
    (demand,) = (d for d in pool_fleet._demands() if d.pool == "pool")
    assert demand.long_running_millicores == 4 * 3_000
    assert not planned(pool_fleet)


def test_a_move_that_has_not_been_ordered_is_given_up(pool_fleet):
    """Guards against a pool that waits for a VM of an evacuated data centre."""
    for number in (0, 1, 2):
        plan = MovePlan(f"m-{number}", "pool", "other", "")
        pool_fleet._moves[plan.vm_id] = Move(plan, "vacating", f"i-{number}", 0.0)
    # The platform may still carry out the order of an earlier leader.
    pool_fleet._orders.unsettled["m-2"] = VmOrder(to_pool="other")
    pool_fleet.on_evacuations_changed(EvacuationsChanged(frozenset("a"), 0.0))
    assert set(pool_fleet._moves) == {"m-1", "m-2"}


# Behaviour in virtual time.


@pytest.fixture
def simulate(simulate_scenario):
    """Return a function that runs a scenario and checks that it violates no invariant."""

    def run(scenario, seed=1, *args):
        simulation = simulate_scenario(scenario, seed, *args)
        assert not simulation.violations
        return simulation

    return run


async def start(simulation, config, names=("n-1",), worker_count=2, **settings):
    """Start entry VMs, and workers in the data centres a and b."""
    simulation.store.put("keyed.op", "config", config)
    for data_centre in "ab" if worker_count else "":
        for number in range(worker_count):
            name = f"i-{data_centre}{number}"
            simulation.add_worker(name, Demand(CPU, 1_000_000), data_centre=data_centre)
    settings = {"evacuation_ms": BOUND_MS} | settings
    for name in names:
        await simulation.start_node(name, **settings)
    await asyncio.sleep(2.0)


def evacuate(simulation, data_centre="a", value=b"{}"):
    """Request an evacuation, or remove the request with an empty value; return the time."""
    simulation.store.put("keyed.op", f"{PREFIX}{data_centre}", value)
    return simulation.now_s()


def leader_of(simulation):
    """Return the scheduler of the leader, None if nobody leads."""
    nodes = (node for node in simulation.nodes.values() if node.scheduler is not None)
    node = next(nodes, None)
    return node.scheduler if node else None


async def submit_jobs(simulation, accepted, duration_s, jobs_per_s=8.0, estimate_ms=150):
    """Submit jobs of two short tasks at a constant rate."""
    end_s = simulation.now_s() + duration_s
    while simulation.now_s() < end_s:
        await asyncio.sleep(1 / jobs_per_s)
        nodes = list(simulation.nodes.values())
        if not nodes:
            continue
        job_id = f"{len(simulation.jobs):016x}"
        spec = JobSpec("text", (StepSpec(2, Demand(500, 100), estimate_ms),))
        answer = await simulation.submit(simulation.rng.choice(nodes), job_id, spec)
        if isinstance(answer, Accepted):
            accepted.append(job_id)


async def overflow(simulation, accepted):
    """Submit a job with more tasks than the upstreams of one data centre can run at once."""
    job_id = f"{len(simulation.jobs):016x}"
    spec = JobSpec("text", (StepSpec(24, Demand(500, 100), 300),))
    answer = await simulation.submit(next(iter(simulation.nodes.values())), job_id, spec)
    assert isinstance(answer, Accepted)
    accepted.append(job_id)
    await asyncio.sleep(1.0)


def starts_in(simulation, data_centre, from_s, until_s=float("inf")):
    """Return the times of starts in a data centre that were not carried out late."""
    starts = simulation.starts_by_data_centre.get(data_centre, ())
    return [at_s for at_s, late in starts if from_s < at_s < until_s and not late]


def check_completed(simulation, accepted):
    """Check that all accepted jobs have completed."""
    jobs = leader_of(simulation)._jobs
    phases = Counter(jobs[job_id].phase if job_id in jobs else "unknown" for job_id in accepted)
    assert phases == {"completed": len(accepted)}


async def stop(simulation):
    """Stop all entry VMs."""
    for name in list(simulation.nodes):
        await simulation.kill_node(name)
    return simulation


async def evacuate_for_a_while(simulation, config):
    accepted = []
    await start(simulation, config)
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 30.0))
    await asyncio.sleep(5.0)
    assert starts_in(simulation, "a", 0.0)
    begun_s = evacuate(simulation)
    await asyncio.sleep(1.0)
    await overflow(simulation, accepted)
    await asyncio.sleep(10.0)
    ended_s = evacuate(simulation, value=b"")
    await overflow(simulation, accepted)
    assert starts_in(simulation, "a", ended_s)
    await callers
    await asyncio.sleep(5.0)
    # The record is read as soon as it is there, well before the bound.
    assert not starts_in(simulation, "a", begun_s + 0.1, ended_s)
    assert len(starts_in(simulation, "b", begun_s, ended_s)) > 100
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_no_task_starts_in_an_evacuated_data_centre(simulate):
    """Guards against starts after the bound, and an evacuation that never ends (rule EVAC)."""
    simulate(evacuate_for_a_while)


async def evacuate_without_the_setting(simulation, config):
    accepted = []
    await start(simulation, config, evacuation_ms=None)
    evacuate(simulation)
    simulation.store.silent_topics.add(("n-1", "keyed.op"))
    from_s = simulation.now_s() + BOUND_S
    await submit_jobs(simulation, accepted, 10.0)
    await asyncio.sleep(3.0)
    assert starts_in(simulation, "a", from_s)
    scheduler = leader_of(simulation)
    assert not any(upstream.slot.cold_until_ms for upstream in scheduler._upstreams.values())
    return await stop(simulation)


def test_without_the_setting_nothing_changes(simulate):
    """Guards against evacuations, or placement that is held, where the platform has none."""
    simulate(evacuate_without_the_setting)


async def evacuate_while_starts_are_stored(simulation, config):
    accepted = []
    await start(simulation, config)
    simulation.store.call_delay_s = 0.4
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 8.0))
    await asyncio.sleep(2.0)
    scheduler = leader_of(simulation)
    withdrawn_count = 0
    for _ in range(4):
        evacuate(simulation)
        before = 0
        while not scheduler._evacuations.data_centres:
            slots = [upstream.slot for upstream in scheduler._upstreams.values()]
            tasks = [t for s in slots if s.entry.data_centre == "a" for t in s.tasks.values()]
            before = sum(task.state == "assigned" for task in tasks)
            await asyncio.sleep(0.001)
        withdrawn_count += before
        in_force_s = simulation.now_s()
        await asyncio.sleep(1.0)
        evacuate(simulation, value=b"")
        ended_s = simulation.now_s()
        assert not starts_in(simulation, "a", in_force_s + START_CALL_S, ended_s)
        while scheduler._evacuations.data_centres:
            await asyncio.sleep(0.001)
    assert withdrawn_count
    simulation.store.call_delay_s = virtual.STORE_DELAY_S
    await callers
    await asyncio.sleep(8.0)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_starts_that_are_stored_but_not_sent_are_withdrawn(simulate):
    """Guards against a start that is sent after the evacuation because it was stored before."""
    simulate(evacuate_while_starts_are_stored)


async def store_starts_slowly(simulation, config):
    accepted = []
    await start(simulation, config)
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 20.0))
    await asyncio.sleep(3.0)
    simulation.store.silent_topics.add(("n-1", "keyed.op"))
    for _ in range(40):
        # The records are too old before starts that were assigned in time are stored.
        simulation.store.call_delay_s = simulation.rng.choice((0.005, 0.3))
        await asyncio.sleep(0.2)
    simulation.store.silent_topics.clear()
    simulation.store.call_delay_s = virtual.STORE_DELAY_S
    await callers
    await asyncio.sleep(5.0)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_starts_that_are_stored_too_late_are_withdrawn(simulate, caplog):
    """Guards against starts that are left to the links, which then take upstreams for silent."""
    caplog.set_level("INFO")
    simulate(store_starts_slowly)
    texts = Counter(record.message for record in caplog.records)
    assert texts["placement held: operators' records are too old"] == 1
    assert texts["placement resumed: operators' records are recent"] == 1
    assert not texts["start was not accepted"]


async def change_leaders(simulation, config):
    accepted = []
    await start(simulation, config, ("n-1", "n-2", "n-3"))
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 40.0, 4.0))
    await asyncio.sleep(3.0)
    begun_s = evacuate(simulation)
    for _ in range(3):
        await asyncio.sleep(4.0)
        name = next(n for n, node in simulation.nodes.items() if node.scheduler is not None)
        await simulation.kill_node(name)
        await asyncio.sleep(4.0)
        await simulation.start_node(name, evacuation_ms=BOUND_MS)
    ended_s = evacuate(simulation, value=b"")
    await callers
    await asyncio.sleep(15.0)
    await overflow(simulation, accepted)
    await asyncio.sleep(5.0)
    assert not starts_in(simulation, "a", begun_s + BOUND_S, ended_s)
    assert starts_in(simulation, "b", begun_s + 16.0, ended_s)
    assert starts_in(simulation, "a", ended_s)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_an_evacuation_outlasts_its_leader(simulate, caplog):
    """Guards against a new leader that starts tasks in the data centre, or waits for a read."""
    caplog.set_level("INFO")
    simulate(change_leaders)
    texts = Counter(record.message for record in caplog.records)
    # The first leader and its three successors.
    assert texts["evacuation in force"] == 4
    assert texts["evacuation ended"] == 1
    assert not any("placement held" in text for text in texts)


async def restart_all(simulation, config):
    accepted = []
    names = ("n-1", "n-2", "n-3")
    await start(simulation, config, names)
    begun_s = evacuate(simulation)
    simulation.store.expire("keyed.op")
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 25.0, 4.0))
    await asyncio.sleep(6.0)
    await stop(simulation)
    await asyncio.sleep(2.0)
    restarted_s = simulation.now_s()
    for name in names:
        await simulation.start_node(name, evacuation_ms=BOUND_MS)
    await callers
    await asyncio.sleep(15.0)
    assert not starts_in(simulation, "a", begun_s + BOUND_S)
    assert starts_in(simulation, "b", restarted_s)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_an_evacuation_outlasts_a_restart_of_all_entry_vms(simulate):
    """Guards against an evacuation that only the processes know that read its request."""
    simulate(restart_all)


async def cut_off_the_leader(simulation, config, by_expiry):
    accepted = []
    await start(simulation, config)
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 30.0))
    await asyncio.sleep(3.0)
    cut_s = simulation.now_s()
    simulation.store.silent_topics.add(("n-1", "keyed.op"))
    await asyncio.sleep(1.0)
    begun_s = evacuate(simulation)
    await asyncio.sleep(9.0)
    # The leader starts nothing anywhere, as it can't know of the request.
    held_s = cut_s + 0.85 * BOUND_S + defaults.RULES_WAIT_MS / 1_000
    assert starts_in(simulation, "a", begun_s, held_s)
    assert leader_of(simulation)._placement_held
    assert not starts_in(simulation, "b", held_s + START_CALL_S)
    simulation.store.silent_topics.clear()
    await asyncio.sleep(6.0)
    assert not starts_in(simulation, "a", begun_s + BOUND_S)
    assert starts_in(simulation, "b", held_s + 5.0)
    ended_s = await end_evacuation(simulation, by_expiry)
    await asyncio.sleep(5.0)
    await overflow(simulation, accepted)
    await callers
    await asyncio.sleep(10.0)
    assert not starts_in(simulation, "a", begun_s + BOUND_S, ended_s)
    assert starts_in(simulation, "a", ended_s)
    check_completed(simulation, accepted)
    return await stop(simulation)


async def end_evacuation(simulation, by_expiry):
    """Remove the request; with ``by_expiry`` the leader only reads a later snapshot without it."""
    if not by_expiry:
        return evacuate(simulation, value=b"")
    simulation.store.silent_topics.add(("n-1", "keyed.op"))
    await asyncio.sleep(2.0)
    ended_s = evacuate(simulation, value=b"")
    simulation.store.expire("keyed.op")
    simulation.store.silent_topics.clear()
    return ended_s


@pytest.mark.parametrize("by_expiry", [False, True])
def test_a_leader_that_cannot_read_the_records_starts_nothing(simulate, by_expiry):
    """Guards against starts by a leader that misses a request, or its removal (rule EVAC)."""
    simulate(cut_off_the_leader, 1, by_expiry)


async def register_again(simulation, config):
    worker = simulation.add_worker("i-1", Demand(CPU, 1_000_000), data_centre="a")

    def register(started_ms):
        data = {"id": "i-1", "cpu": CPU, "pool": worker.pool, "zone": "a", "born": started_ms}
        value = json.dumps(data | {"cold-left-ms": 10_000}).encode()
        simulation.store.put(operator.UPSTREAM_TOPIC, "i-1", value)

    register(worker.started_ms)
    await start(simulation, config, worker_count=0)
    slot = leader_of(simulation)._upstreams["i-1"].slot
    cold_until_ms = slot.cold_until_ms
    assert cold_until_ms > 0
    register(worker.started_ms)
    await asyncio.sleep(2.0)
    assert slot.cold_until_ms == cold_until_ms
    register(worker.started_ms + 1)
    await asyncio.sleep(2.0)
    assert slot.cold_until_ms >= cold_until_ms + 2_000
    return await stop(simulation)


def test_an_upstream_is_cold_only_after_its_start(simulate):
    """Guards against an upstream that ranks last for ever as it repeats its registration."""
    simulate(register_again)


async def evacuate_the_only_data_centre(simulation, config):
    accepted = []
    simulation.add_worker("i-1", Demand(CPU, 1_000_000), data_centre="a")
    await start(simulation, config, worker_count=0)
    begun_s = evacuate(simulation)
    await asyncio.sleep(1.0)
    await submit_jobs(simulation, accepted, 4.0, 2.0)
    assert len(accepted) == len(simulation.jobs)
    assert not starts_in(simulation, "a", begun_s)
    evacuate(simulation, value=b"")
    await asyncio.sleep(5.0)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_jobs_wait_if_the_pool_has_no_other_data_centre(simulate):
    """Guards against refusing or losing jobs while all upstreams of their pool are evacuated."""
    simulate(evacuate_the_only_data_centre)


LONG_RUNNING = JobSpec(
    "text", (StepSpec(6, Demand(500, 100), long_running=True, max_away_count=2),)
)


async def move_long_running_tasks(simulation, config):
    await start(simulation, config, worker_count=1)
    assert isinstance(
        await simulation.submit(simulation.nodes["n-1"], f"{0:016x}", LONG_RUNNING), Accepted
    )
    # Some long, short tasks finish in place.
    spec = JobSpec("text", (StepSpec(4, Demand(250, 100), 6_000),))
    await simulation.submit(simulation.nodes["n-1"], f"{1:016x}", spec)
    await asyncio.sleep(3.0)
    busy = next(w for w in simulation.workers.values() if any(".0.0." in r for r in w.runs))
    moved = [name for name in busy.runs if name.startswith(f"{0:016x}")]
    assert len(moved) == 6
    begun_s = evacuate(simulation, busy.data_centre)
    highest_away = 0
    while simulation.now_s() < begun_s + 12.0:
        at_work = [
            run
            for worker in simulation.workers.values()
            for run in worker.runs.values()
            if run.ends_s == float("inf")
            and run.stops_s == float("inf")
            and simulation.now_s() - run.started_s >= virtual.RAMP_UP_S
        ]
        highest_away = max(highest_away, 6 - len(at_work))
        await asyncio.sleep(0.01)
    other = next(w for w in simulation.workers.values() if w is not busy)
    assert 0 < highest_away <= 2
    assert sum(name.startswith(f"{0:016x}") for name in other.runs) == 6
    assert not busy.runs
    # Each moved once; nothing moves back after the evacuation.
    evacuate(simulation, busy.data_centre, b"")
    await asyncio.sleep(3.0)
    counts = [len(simulation.starts[name]) for name in moved]
    assert counts == [2] * 6
    assert all(len(simulation.starts[f"{1:016x}.0.0.{index}"]) == 1 for index in range(4))
    return await stop(simulation)


def test_long_running_tasks_leave_within_their_disruption_budget(simulate):
    """Guards against an evacuation that takes a service down or moves its tasks repeatedly."""
    simulate(move_long_running_tasks)


async def replace_capacity(simulation, config, spec, round_count):
    rules = json.loads(config)
    rules["services"].append({"name": "spare", "spare": True})
    for number in range(4):
        simulation.add_vm(f"m-a{number}", Demand(CPU, 1_000_000), data_centre="a")
    for number in range(8):
        centre = "ab"[number % 2]
        simulation.add_vm(f"s-{centre}{number}", Demand(CPU, 1_000_000), "spare", centre)
    accepted = []
    await start(simulation, json.dumps(rules).encode(), worker_count=0)
    await simulation.submit(simulation.nodes["n-1"], f"{0:016x}", JobSpec("text", (spec,)))
    await asyncio.sleep(4.0)
    for _ in range(round_count):
        begun_s = evacuate(simulation)
        callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 20.0, 2.0))
        await asyncio.sleep(20.0)
        await callers
        await asyncio.sleep(2.0)
        assert not starts_in(simulation, "a", begun_s + BOUND_S)
        assert starts_in(simulation, "b", begun_s)
        check_completed(simulation, accepted)
        evacuate(simulation, value=b"")
        await asyncio.sleep(10.0)
    vms = simulation.vms.values()
    long_running = [
        (worker.data_centre, name)
        for worker in simulation.live_workers()
        for name in worker.runs
        if name.startswith(f"{0:016x}")
    ]
    assert len(long_running) == spec.task_count
    assert {centre for centre, _ in long_running} == {"b"}
    # Each VM joins the pool once and leaves it once at most for each round.
    assert all(len(vm.moved) <= 2 * round_count for vm in vms)
    assert sum(len(vm.moved) for vm in vms if vm.data_centre == "b") >= 1
    return await stop(simulation)


@pytest.mark.parametrize(("task_count", "away_count", "round_count"), [(6, 2, 1), (12, 1, 2)])
def test_vms_elsewhere_replace_the_evacuated_capacity(
    simulate, task_count, away_count, round_count
):
    """Guards against a pool that stays without VMs, and VMs that go back and forth.

    With a small budget the VMs that have replaced others stay idle for many seconds.
    """
    spec = StepSpec(task_count, Demand(900, 100), long_running=True, max_away_count=away_count)
    simulation = simulate(replace_capacity, 1, spec, round_count)
    assert all(vm.data_centre == "b" for vm in simulation.vms.values() if "pool" in vm.moved)


async def take_down_evacuated_vms(simulation, config):
    for centre in "ab":
        for number in range(3):
            simulation.add_vm(f"m-{centre}{number}", Demand(CPU, 1_000_000), data_centre=centre)
    accepted = []
    await start(simulation, config, worker_count=0)
    begun_s = evacuate(simulation)
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 15.0, 2.0))
    wave = {"wave": 1, "machines": list(simulation.vms), "within-s": 30, "cap": 2}
    simulation.store.put("keyed.op", "wave/1", json.dumps(wave).encode())
    await callers
    await asyncio.sleep(25.0)
    assert all(vm.maintained_waves for vm in simulation.vms.values())
    assert not starts_in(simulation, "a", begun_s + BOUND_S)
    check_completed(simulation, accepted)
    return await stop(simulation)


def test_waves_continue_during_an_evacuation(simulate):
    """Guards against a wave that stops, and VMs that return from it and get tasks again."""
    simulate(take_down_evacuated_vms)


# With the platform's store and its formats.


JOB = {"spec": "", "steps": [{"count": 2, "cpu": 1_000, "mem-mb": 256, "est-ms": 30}]}


async def test_a_record_that_cannot_be_decoded_evacuates(run_node, add_worker, store):
    """Guards against a key or a value of the platform's format that is not taken as a request."""
    worker = await add_worker()
    node = await run_node("node-1", evacuation_ms=BOUND_MS)
    scheduler = await node.wait_to_lead()
    store.standin.put_bytes("keyed.op", f"{PREFIX}dc-1", b"\xff{")
    assert await polling.wait_until(lambda: scheduler._evacuations.data_centres == {"dc-1"}, 4.0)
    assert await node.caller.submit(f"/q/{1:016x}", JOB) == 200
    await asyncio.sleep(0.5)
    assert not worker.starts
    store.standin.put("keyed.op", f"{PREFIX}dc-1", None)
    assert await node.caller.phase(f"/q/{1:016x}", "completed") == "completed"


@pytest.mark.parametrize("evacuation_ms", [None, BOUND_MS])
async def test_a_registration_tells_how_long_an_upstream_is_cold(
    run_node, add_worker, store, evacuation_ms
):
    """Guards against a cold upstream that ranks as a warm one, or without the setting behind it."""
    await add_worker()
    registration = json.loads(store.standin.newest("keyed.servers")["i-1"])
    store.standin.put("keyed.servers", "i-1", registration | {"cold-left-ms": 60_000})
    node = await run_node("node-1", evacuation_ms=evacuation_ms)
    scheduler = await node.wait_to_lead()
    assert await polling.wait_until(lambda: "i-1" in scheduler._upstreams, 4.0)
    cold_until_ms = scheduler._upstreams["i-1"].slot.cold_until_ms
    assert (cold_until_ms > LoopTimer().now_ms() + 30_000) == (evacuation_ms is not None)


# Random faults.


async def lose_the_leader(simulation):
    names = [name for name, node in simulation.nodes.items() if node.scheduler is not None]
    if names and len(simulation.nodes) > 1:
        await simulation.kill_node(names[0])
        await asyncio.sleep(simulation.rng.uniform(0.1, 3.0))
        await simulation.start_node(names[0], evacuation_ms=BOUND_MS)


async def cut_a_node_off(simulation):
    pair = simulation.rng.choice(list(simulation.nodes)), "keyed.op"
    simulation.store.silent_topics.add(pair)
    await asyncio.sleep(simulation.rng.uniform(0.5, 8.0))
    simulation.store.silent_topics.discard(pair)


async def silence_a_node(simulation):
    name = simulation.rng.choice(list(simulation.nodes))
    simulation.store.silent_entries.add(name)
    await asyncio.sleep(simulation.rng.uniform(0.5, 6.0))
    simulation.store.silent_entries.discard(name)


async def slow_the_store(simulation):
    simulation.store.call_delay_s = simulation.rng.uniform(0.1, 0.8)
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))
    simulation.store.call_delay_s = virtual.STORE_DELAY_S


async def disconnect_a_worker(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.unreachable = True
    await asyncio.sleep(simulation.rng.uniform(0.2, 6.0))
    worker.unreachable = False


async def delay_calls_to_a_worker(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.delayed_call_ratio = 0.3
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))
    worker.delayed_call_ratio = 0.0


FAULTS = (
    lose_the_leader,
    cut_a_node_off,
    silence_a_node,
    slow_the_store,
    disconnect_a_worker,
    delay_calls_to_a_worker,
)


async def inject(simulation, end_s):
    """Inject random faults one after the other."""
    while simulation.now_s() < end_s:
        await asyncio.sleep(simulation.rng.uniform(0.2, 2.0))
        await simulation.rng.choice(FAULTS)(simulation)


async def evacuate_by_turns(simulation, config):
    accepted, spans = [], []
    await start(simulation, config, ("n-1", "n-2", "n-3"))
    await simulation.submit(simulation.nodes["n-1"], f"{0:016x}", LONG_RUNNING)
    callers = asyncio.ensure_future(submit_jobs(simulation, accepted, 60.0, 3.0, 800))
    end_s = simulation.now_s() + 60.0
    injectors = [asyncio.ensure_future(inject(simulation, end_s)) for _ in range(2)]
    while simulation.now_s() < end_s:
        centre = simulation.rng.choice("ab")
        begun_s = evacuate(simulation, centre)
        await asyncio.sleep(simulation.rng.uniform(1.0, 15.0))
        spans.append((centre, begun_s, evacuate(simulation, centre, b"")))
        await asyncio.sleep(simulation.rng.uniform(0.0, 4.0))
    await asyncio.gather(callers, *injectors)
    await asyncio.sleep(60.0)
    for centre, begun_s, ended_s in spans:
        assert not starts_in(simulation, centre, begun_s + BOUND_S, ended_s)
    simulation.check_starts_after_end()
    check_completed(simulation, accepted)
    return await stop(simulation)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_fault_lets_a_task_start_in_an_evacuated_data_centre(simulate, seed):
    """Guards against starts after the bound when a machine, a link or the store fails halfway."""
    simulate(evacuate_by_turns, seed)
