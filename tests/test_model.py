"""Model test: invariants of the scheduler in virtual time, under random faults from a seed."""

from __future__ import annotations

import asyncio
import json
import math

import pytest

import model_faults
from model_faults import FAULT_S, SEEDS
from standins import virtual
from tarragoncart import assignment, defaults, jobmodel, reports, staterecords
from tarragoncart import node as node_module
from tarragoncart.entrance import Accepted
from tarragoncart.graph import Demand, JobSpec, StepSpec
from tarragoncart.leases import LeaseEstimate
from tarragoncart.reports import Reports
from tarragoncart.runorders import Acknowledge
from tarragoncart.runstate import RunState
from tarragoncart.stops import PlannedStops
from tarragoncart.taskplacement import Backfill
from tarragoncart.vms import Fleet

# A gang that still ends alone so long after the last fault does so for another reason: a lease, the
# wait for the others and a start without an answer fit into it.
CALM_AFTER_S = 12.0
# Time for all accepted jobs to end after the last fault.
SETTLE_S = 60.0
# The same for tasks of several seconds.
LONG_SETTLE_S = 120.0
# Rounds of faults, each followed by a calm stretch of `contact-ms`, `cancel_ms` and `stop-ms`, and
# three seconds of jobs that are cancelled in it.
LOST_ORDERS_FAULT_S = 5.0
LOST_ORDERS_SETTLE_S = 20.0
LOST_ORDERS_CALM_S = virtual.CONTACT_S + virtual.CANCEL_S + virtual.STOP_S + 3.0
# Seeds with which the leaders in series have violated an invariant.
SUCCESSION_SEEDS = sorted({*SEEDS, 33, 36, 77, 88})

# Seeds with which restarts of workers have violated an invariant.
RESTART_SEEDS = sorted({*SEEDS, 0, 6, 9, 10, 11, 13, 20, 23})

# Seeds with which late calls to busy workers have started second runs.
LATE_CALL_SEEDS = sorted({*SEEDS, 17, 27, 30})

# Seeds with which lost orders have violated an invariant.
LOST_ORDER_SEEDS = sorted({*SEEDS, 26, 46})


@pytest.fixture
def simulate(simulate_scenario):
    """Return a function that runs a simulation and returns it once all jobs should have ended."""

    def run(seed, faults=True, scenario=_simulate):
        return simulate_scenario(scenario, seed, faults)

    return run


def random_job(rng, speculative_ratio=0.4, estimates_ms=(200, 600, 1_500)):
    """Return a random job of one to three steps, some of them speculative."""
    steps = []
    for number in range(rng.randint(1, 3)):
        demand = Demand(rng.choice((500, 1_000, 2_500)), 100)
        depends_on = (number - 1,) if number else ()
        speculative = rng.random() < speculative_ratio
        estimate_ms = rng.choice(estimates_ms)
        steps.append(
            StepSpec(rng.randint(1, 5), demand, estimate_ms, depends_on, speculative=speculative)
        )
    return JobSpec("text", tuple(steps))


async def _simulate(simulation, config, faults):
    rng = simulation.rng
    simulation.store.put("keyed.op", "config", config)
    for number in range(4):
        simulation.add_worker(f"i-{number}", Demand(4_000, 1_000_000))
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name, rng.choice((0, -2_000, 2_000)))
    await asyncio.sleep(2.0)
    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, random_job))
    if faults:
        injectors = [model_faults.inject_faults(simulation, FAULTS) for _ in range(2)]
        await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    return await _settle(simulation, callers, accepted)


async def _settle(simulation, callers, accepted, settle_s=SETTLE_S, check=None):
    """Wait until all accepted jobs should have ended, and make the final checks.

    :param check: check of the scenario before the entry VMs are stopped.
    """
    await callers
    await asyncio.sleep(settle_s)
    simulation.check_starts_after_end()
    leader = next(node for node in simulation.nodes.values() if node.scheduler is not None)
    for job_id in accepted:
        job = leader.scheduler._jobs.get(job_id)
        simulation.phases[job_id] = job.phase if job else "unknown"
    if check is not None:
        check(leader.scheduler)
    for name in list(simulation.nodes):
        await simulation.kill_node(name)
    return simulation


async def _simulate_leader_changes(simulation, config, faults):
    """Simulate leaders that follow each other within seconds, and a maintenance wave."""
    rng = simulation.rng
    rules = json.loads(config)
    rules["routes"][0]["max-attempts"] = 2
    simulation.store.put("keyed.op", "config", json.dumps(rules).encode())
    for number in range(5):
        vm = simulation.add_vm(f"m-{number}", Demand(4_000, 1_000_000))
        vm.worker.clock_ratio = rng.choice((0.98, 1.0, 1.02))
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name, rng.choice((0, -2_000, 2_000)))
    await asyncio.sleep(2.0)
    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, _long_job, 0.8, 0.15))
    wave = {"wave": 1, "machines": list(simulation.vms), "within-s": 20, "cap": 2}
    simulation.store.put("keyed.op", "wave/1", json.dumps(wave).encode())
    if faults:
        injectors = [model_faults.inject_faults(simulation, SUCCESSION_FAULTS) for _ in range(3)]
        injectors.append(_change_leaders(simulation))
        await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    await _settle(simulation, callers, accepted)
    simulation.check_starts_after_failures(2)
    return simulation


def _long_job(rng):
    """Return a random job, with tasks that outlast the grace period of a planned stop."""
    return random_job(rng, 0.3, (300, 1_500, 3_000, 7_000))


async def _change_leaders(simulation):
    """Let leaders follow each other every one to three seconds, in series."""
    end_s = simulation.now_s() + FAULT_S
    while simulation.now_s() < end_s:
        simulation.probes_lost = True
        for _ in range(simulation.rng.randint(1, 5)):
            simulation.store.reassign_partitions()
            await asyncio.sleep(simulation.rng.uniform(0.6, 2.5))
        simulation.probes_lost = False
        await asyncio.sleep(simulation.rng.uniform(0.0, 8.0))


def _gang_job(rng):
    """Return a random job of a gang, which may save its progress, and a step that depends on it."""
    gang = StepSpec(
        rng.randint(2, 4),
        Demand(rng.choice((500, 1_500)), 100),
        rng.choice((500, 1_500, 4_000)),
        gang=True,
        checkpointing=rng.random() < 0.6,
    )
    return JobSpec("text", (gang, StepSpec(1, Demand(500, 100), 200, (0,))))


async def _simulate_gangs(simulation, config, faults):
    """Simulate gangs; that a run ends alone long after the last fault is a violation."""
    simulation.store.put("keyed.op", "config", config)
    for number in range(5):
        simulation.add_worker(f"i-{number}", Demand(4_000, 1_000_000))
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name)
    await asyncio.sleep(2.0)
    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, _gang_job, 1.5))
    if faults:
        injectors = [model_faults.inject_faults(simulation, GANG_FAULTS) for _ in range(2)]
        await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    calm_from_s = simulation.now_s() + CALM_AFTER_S
    await _settle(simulation, callers, accepted)
    simulation.violations += simulation.gangs.violations
    simulation.violations += [str(e) for e in simulation.gangs.alone if e.at_s > calm_from_s]
    return simulation


async def _submit_jobs(simulation, accepted, make_job, jobs_per_s=2.0, failing_ratio=0.0):
    end_s = simulation.now_s() + FAULT_S
    count = 0
    repeated = []
    while simulation.now_s() < end_s:
        await asyncio.sleep(simulation.rng.expovariate(jobs_per_s))
        node = simulation.rng.choice(list(simulation.nodes.values()))
        job_id = f"{count:016x}"
        count += 1
        if failing_ratio and simulation.rng.random() < failing_ratio:
            simulation.failing_jobs.add(job_id)
        answer = await simulation.submit(node, job_id, make_job(simulation.rng))
        if isinstance(answer, Accepted):
            accepted.append(job_id)
        if simulation.rng.random() < 0.2:
            again = _submit_again(simulation, job_id, simulation.rng.uniform(0.0, 8.0))
            repeated.append(asyncio.ensure_future(again))
    await asyncio.gather(*repeated)


async def _submit_again(simulation, job_id, delay_s):
    """Submit a job once more, at any entry VM; a caller does so after a lost answer."""
    await asyncio.sleep(delay_s)
    node = simulation.rng.choice(list(simulation.nodes.values()))
    await simulation.submit(node, job_id, simulation.jobs[job_id])


FAULTS = (
    model_faults.kill_a_node,
    model_faults.kill_the_leader,
    model_faults.refuse_store_calls_of_a_node,
    model_faults.lose_store_answers,
    model_faults.disconnect_a_worker,
    model_faults.crash_a_worker,
    model_faults.delay_answers_of_a_worker,
    model_faults.slow_a_worker_down,
    model_faults.fail_runs,
)


SUCCESSION_FAULTS = (
    model_faults.kill_the_leader,
    model_faults.refuse_store_calls_of_a_node,
    model_faults.silence_the_store_for_a_node,
    model_faults.slow_the_store_down,
    model_faults.lose_store_answers,
    model_faults.cut_workers_from_a_node,
    model_faults.lose_all_answers_of_a_worker,
    model_faults.disconnect_a_live_worker,
    model_faults.let_a_worker_flap,
    model_faults.restart_a_worker,
    model_faults.delay_calls_to_a_worker,
    model_faults.remove_a_registration,
    model_faults.lose_answers_to_vm_orders,
    model_faults.fail_most_runs_of_a_worker,
)


async def _lose_an_end_with_its_worker(simulation):
    """Cut a busy worker off, and restart it behind the cut once a run has ended there."""
    workers = simulation.live_workers()
    worker = simulation.rng.choice([w for w in workers if w.runs] or workers)
    worker.unreachable = True
    for _ in range(25):
        await asyncio.sleep(0.1)
        worker.advance()
        if worker.unacknowledged_ends:
            break
    worker.restart()
    await asyncio.sleep(simulation.rng.uniform(0.8, 2.0))
    worker.unreachable = worker.gone
    if not worker.gone:
        simulation.register(worker)


GANG_FAULTS = (
    _lose_an_end_with_its_worker,
    model_faults.kill_the_leader,
    model_faults.refuse_store_calls_of_a_node,
    model_faults.lose_store_answers,
    model_faults.cut_workers_from_a_node,
    model_faults.lose_all_answers_of_a_worker,
    model_faults.disconnect_a_live_worker,
    model_faults.let_a_worker_flap,
    model_faults.restart_a_worker,
    model_faults.delay_calls_to_a_worker,
    model_faults.fail_runs,
)


async def _change_leaders_while_registrations_are_away(simulation):
    """Remove registrations, change the leader, and write them again up to 1.5 s later.

    Before, calls to the upstreams may be delayed. Meanwhile jobs with runs there are cancelled.
    """
    rng = simulation.rng
    workers = [worker for worker in simulation.live_workers() if rng.random() < 0.5]
    if rng.random() < 0.5:
        for worker in workers:
            worker.delayed_call_ratio = 0.7
        await asyncio.sleep(rng.uniform(0.3, 1.0))
    for worker in workers:
        simulation.unregister(worker)
    earlier = {id(node.scheduler) for node in simulation.nodes.values()}
    change = rng.choice((model_faults.kill_the_leader, model_faults.replace_the_leader))
    changes = [asyncio.ensure_future(change(simulation))]
    job_ids = sorted({name.partition(".")[0] for worker in workers for name in worker.runs})
    for job_id in rng.sample(job_ids, min(3, len(job_ids))):
        cancel = _cancel_job(simulation, job_id, rng.uniform(0.0, 2.0))
        changes.append(asyncio.ensure_future(cancel))
    for _ in range(100):
        await asyncio.sleep(0.05)
        schedulers = [node.scheduler for node in simulation.nodes.values() if node.scheduler]
        if any(s._loaded for s in schedulers if id(s) not in earlier):
            break
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    for worker in workers:
        worker.delayed_call_ratio = 0.0
        if not worker.gone:
            simulation.register(worker)
    await asyncio.gather(*changes)


LOST_ORDER_FAULTS = (
    _change_leaders_while_registrations_are_away,
    _change_leaders_while_registrations_are_away,
    _change_leaders_while_registrations_are_away,
    model_faults.cut_workers_from_a_node,
    model_faults.disconnect_a_live_worker,
    model_faults.lose_all_answers_of_a_worker,
    model_faults.delay_calls_to_half_the_workers,
    model_faults.restart_a_worker,
    model_faults.restart_a_worker,
    model_faults.remove_a_registration,
    model_faults.lose_store_answers,
    model_faults.refuse_store_calls_of_a_node,
    model_faults.lose_answers_to_vm_orders,
)


def _long_running_or_short_job(rng):
    if rng.random() < 0.4:
        return random_job(rng)
    step = StepSpec(rng.randint(1, 3), Demand(500, 100), 0, long_running=True)
    return JobSpec("text", (step,))


async def _submit_and_cancel_jobs(simulation, accepted, until):
    """Submit jobs until an event is set, and cancel most of them, promptly or later."""
    rng = simulation.rng
    cancels = []
    while not until.is_set():
        await asyncio.sleep(rng.expovariate(1.0))
        job_id = f"{len(simulation.jobs):016x}"
        node = rng.choice(list(simulation.nodes.values()))
        answer = await simulation.submit(node, job_id, _long_running_or_short_job(rng))
        if isinstance(answer, Accepted):
            accepted.append(job_id)
        if rng.random() < 0.85:
            delay_s = rng.choice((rng.uniform(0.0, 0.3), rng.uniform(0.5, 10.0)))
            cancels.append(asyncio.ensure_future(_cancel_job(simulation, job_id, delay_s)))
    await asyncio.gather(*cancels)


async def _cancel_job(simulation, job_id, delay_s):
    """Cancel a job at any entry VM; a caller does so again without an acknowledgement."""
    for _ in range(3):
        await asyncio.sleep(delay_s)
        node = simulation.rng.choice(list(simulation.nodes.values()))
        if await simulation.cancel(node, job_id):
            return


async def _check_cancelled_while_calm(simulation):
    calm_from_s = simulation.now_s()
    while simulation.now_s() < calm_from_s + LOST_ORDERS_CALM_S:
        await asyncio.sleep(0.1)
        simulation.check_cancelled(calm_from_s)


async def _simulate_lost_orders(simulation, config, faults):
    """Simulate cancelled jobs, and leaders that follow each other while upstreams are away."""
    rng = simulation.rng
    simulation.store.put("keyed.op", "config", config)
    for number in range(6):
        vm = simulation.add_vm(f"m-{number}", Demand(4_000, 1_000_000))
        vm.worker.clock_ratio = rng.choice((0.98, 1.0, 1.02))
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name)
    await asyncio.sleep(2.0)
    accepted, ended = [], asyncio.Event()
    callers = asyncio.ensure_future(_submit_and_cancel_jobs(simulation, accepted, ended))
    for number in range(3):
        if number == 1:
            wave = {"wave": 1, "machines": list(simulation.vms), "within-s": 20, "cap": 2}
            simulation.store.put("keyed.op", "wave/1", json.dumps(wave).encode())
        if faults:
            injectors = [
                model_faults.inject_faults(simulation, LOST_ORDER_FAULTS, LOST_ORDERS_FAULT_S)
                for _ in range(2)
            ]
            await asyncio.gather(*injectors)
        await _check_cancelled_while_calm(simulation)
    ended.set()

    def check(leader):
        simulation.check_at_rest(leader, accepted)

    return await _settle(simulation, callers, accepted, LOST_ORDERS_SETTLE_S, check)


async def _restart_a_worker_within_a_call(simulation):
    """Restart a busy worker for less than the timeout of a call, and mostly cut it off then."""
    rng = simulation.rng
    workers = [worker for worker in simulation.live_workers() if not worker.down]
    if not workers:
        return
    worker = rng.choice([w for w in workers if w.runs] or workers)
    worker.go_down()
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    worker.come_up()
    simulation.register(worker)
    if rng.random() < 0.3:
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        await model_faults.kill_the_leader(simulation)
    if rng.random() < 0.8:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        worker.unreachable = True
        await asyncio.sleep(rng.uniform(3.0, 9.0))
        worker.unreachable = worker.gone


RESTART_FAULTS = (
    _restart_a_worker_within_a_call,
    _restart_a_worker_within_a_call,
    _restart_a_worker_within_a_call,
    model_faults.kill_the_leader,
    model_faults.cut_workers_from_a_node,
    model_faults.delay_calls_to_a_worker,
    model_faults.lose_all_answers_of_a_worker,
)


def _job_of_seconds(rng):
    """Return a random job whose tasks last for several seconds."""
    return random_job(rng, 0.2, (600, 3_000, 6_000))


async def _simulate_restarts(simulation, config, faults):
    """Simulate workers that restart within the timeout of a call and are then cut off."""
    rng = simulation.rng
    simulation.store.put("keyed.op", "config", config)
    for number in range(5):
        worker = simulation.add_worker(f"i-{number}", Demand(4_000, 1_000_000))
        worker.clock_ratio = rng.choice((0.98, 1.0, 1.02))
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name)
    await asyncio.sleep(2.0)
    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, _job_of_seconds, 0.8))
    if faults:
        injectors = [model_faults.inject_faults(simulation, RESTART_FAULTS) for _ in range(3)]
        await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    return await _settle(simulation, callers, accepted, LONG_SETTLE_S)


def test_all_jobs_complete_without_faults(simulate):
    """Guards against a model that violates invariants or loses jobs without any fault."""
    simulation = simulate(1, faults=False)
    assert simulation.violations == []
    assert simulation.phases and set(simulation.phases.values()) == {jobmodel.COMPLETED}


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_faults(simulate, seed):
    """Guards against duplicate runs, runs after an end, overloaded workers and lost jobs."""
    simulation = simulate(seed)
    assert simulation.violations == []
    assert simulation.phases
    assert set(simulation.phases.values()) <= {jobmodel.COMPLETED, jobmodel.FAILED}
    assert list(simulation.phases.values()).count(jobmodel.COMPLETED) >= 0.9 * len(
        simulation.phases
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_faults_with_reservations(simulate, monkeypatch, seed):
    """Guards against reservations that break an invariant or keep a job from its end."""
    monkeypatch.setattr(node_module, "make_placement", lambda policies: Backfill())
    test_invariants_hold_under_faults(simulate, seed)


def test_all_gangs_complete_without_faults(simulate):
    """Guards against gangs whose tasks wait for each other in vain, with no fault at all."""
    simulation = simulate(1, faults=False, scenario=_simulate_gangs)
    assert not simulation.violations and not simulation.gangs.alone
    assert simulation.phases and set(simulation.phases.values()) == {jobmodel.COMPLETED}


@pytest.mark.parametrize("seed", SEEDS)
def test_gangs_end_under_faults(simulate, seed):
    """Guards against gangs that start with two saved values, never meet, or run after their end."""
    simulation = simulate(seed, scenario=_simulate_gangs)
    assert simulation.violations == []
    assert simulation.phases
    assert set(simulation.phases.values()) <= {jobmodel.COMPLETED, jobmodel.FAILED}


@pytest.mark.parametrize("seed", SUCCESSION_SEEDS)
def test_no_task_runs_twice_while_leaders_follow_each_other(simulate, seed):
    """Guards against runs beside another, after an end or beyond the attempts after take-overs."""
    simulation = simulate(seed, scenario=_simulate_leader_changes)
    assert simulation.violations == []
    assert simulation.phases
    assert set(simulation.phases.values()) <= {jobmodel.COMPLETED, jobmodel.FAILED}


@pytest.mark.parametrize("seed", LOST_ORDER_SEEDS)
def test_orders_follow_from_reports_while_leaders_change(simulate, seed):
    """Guards against stops, starts and requests to vacate that are lost with a leader or a link."""
    simulation = simulate(seed, scenario=_simulate_lost_orders)
    assert simulation.violations == []
    assert simulation.cancelled_s and simulation.phases


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_orders_for_an_earlier_incarnation_break_no_invariant(simulate, seed):
    """Guards against orders that the next incarnation of an upstream carries out (TWICE)."""
    simulation = simulate(seed, scenario=_simulate_restarts)
    assert simulation.violations == []
    assert simulation.phases
    assert set(simulation.phases.values()) <= {jobmodel.COMPLETED, jobmodel.FAILED}


async def _simulate_restarts_with_any_clock(simulation, config, faults):
    """Simulate restarts after which the worker's clock is ahead of the earlier one or behind."""
    simulation.clock_start_max_s = 2 * simulation.now_s()
    return await _simulate_restarts(simulation, config, faults)


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_for_an_earlier_clock_break_no_invariant(simulate, seed):
    """Guards against orders by the clock of an earlier incarnation, whether ahead or behind."""
    simulation = simulate(seed, scenario=_simulate_restarts_with_any_clock)
    assert simulation.violations == []
    assert simulation.phases
    assert set(simulation.phases.values()) <= {jobmodel.COMPLETED, jobmodel.FAILED}


async def _break_off_a_busy_worker(simulation):
    """Restart a worker within a fraction of a second while it gets starts, then cut it off."""
    rng = simulation.rng
    workers = [worker for worker in simulation.live_workers() if not worker.unreachable]
    if not workers:
        return
    worker = rng.choice(workers)
    worker.go_down()
    await asyncio.sleep(rng.uniform(0.05, 0.4))
    worker.come_up()
    simulation.register(worker)
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    worker.unreachable = True
    await asyncio.sleep(rng.uniform(4.0, 8.0))
    worker.unreachable = False


async def _simulate_breaks_of_busy_workers(simulation, config, faults):
    """Simulate restarts and cuts of workers that get many tasks which outlast a lease."""
    simulation.store.put("keyed.op", "config", config)
    for number in range(6):
        simulation.add_worker(f"i-{number}", Demand(8_000, 1_000_000))
    await simulation.start_node("n-1")
    await asyncio.sleep(2.0)

    def make_job(rng):
        return JobSpec("text", (StepSpec(rng.randint(1, 3), Demand(500, 100), 8_000),))

    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, make_job, 4.0))
    if faults:
        injectors = [
            model_faults.inject_faults(simulation, (_break_off_a_busy_worker,)) for _ in range(2)
        ]
        await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    return await _settle(simulation, callers, accepted, LONG_SETTLE_S)


async def _simulate_late_calls_to_busy_workers(simulation, config, faults):
    """Simulate restarts, cuts and leaders in series while calls are carried out 2 to 12 s late."""
    simulation.store.put("keyed.op", "config", config)
    for number in range(6):
        worker = simulation.add_worker(f"i-{number}", Demand(8_000, 1_000_000))
        worker.delayed_call_ratio, worker.delayed_hold_ratio = 0.15, 0.05
        worker.call_delays_s = (2.0, 12.0)
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name)
    await asyncio.sleep(2.0)

    def make_job(rng):
        return JobSpec("text", (StepSpec(rng.randint(1, 3), Demand(500, 100), 12_000),))

    accepted = []
    callers = asyncio.ensure_future(_submit_jobs(simulation, accepted, make_job, 4.0))
    faults = (
        (_break_off_a_busy_worker,),
        (_break_off_a_busy_worker,),
        (model_faults.kill_the_leader,),
    )
    injectors = [model_faults.inject_faults(simulation, kinds) for kinds in faults]
    await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    return await _settle(simulation, callers, accepted, LONG_SETTLE_S)


@pytest.mark.parametrize("seed", LATE_CALL_SEEDS)
def test_late_calls_to_busy_workers_start_no_second_run(simulate, seed):
    """Guards against two runs at once as a late start outlasts what its leader knew of it."""
    simulation = simulate(seed, scenario=_simulate_late_calls_to_busy_workers)
    assert not [text for text in simulation.violations if "two runs at once" in text]
    assert simulation.phases


@pytest.mark.parametrize("seed", SEEDS)
def test_starts_that_the_next_incarnation_takes_break_no_invariant(simulate, seed):
    """Guards against a run with the longest lease of which the leader counts its own (TWICE)."""
    simulation = simulate(seed, scenario=_simulate_breaks_of_busy_workers)
    assert simulation.violations == []
    assert simulation.phases


def _is_detected(broken, simulate, scenario, seeds):
    """Return whether a scenario has a violation of a kind with one of the seeds."""
    simulations = (simulate(seed, scenario=scenario) for seed in seeds)
    return any(
        broken in violation for simulation in simulations for violation in simulation.violations
    )


def _ignore_leases(patch):
    # The runs of an upstream that does not answer count as ended immediately.
    patch.setattr(defaults, "LEASE_MARGIN_MS", -2 * defaults.UPSTREAM_LEASE_MS)


def _ignore_dependencies(patch):
    patch.setattr(jobmodel.StepOccurrence, "ready", True)


def _ignore_capacity(patch):
    patch.setattr(assignment, "admits", lambda slot, spec, now_ms: slot.usable)


def _lose_recorded_ends(patch):
    patch.setattr(staterecords, "_STATE_CODES", {})


@pytest.mark.parametrize(
    ("inject_bug", "broken"),
    [
        (_ignore_leases, "two runs at once"),
        (_ignore_dependencies, "before a step it depends on"),
        (_ignore_capacity, "more than the worker has"),
        (_lose_recorded_ends, "after its end"),
    ],
)
def test_a_violation_of_each_invariant_is_detected(simulate, monkeypatch, inject_bug, broken):
    """Guards against a model test that passes because it checks nothing."""
    inject_bug(monkeypatch)
    assert _is_detected(broken, simulate, _simulate, range(10))


def _allow_any_number_of_attempts(patch):
    patch.setattr(jobmodel.Task, "exhausted", False)


@pytest.mark.parametrize(
    ("inject_bug", "broken"),
    [
        (_ignore_leases, "two runs at once"),
        (_lose_recorded_ends, "after its end"),
        (_allow_any_number_of_attempts, "after 2 failures"),
    ],
)
def test_violations_in_a_series_of_leaders_are_detected(simulate, monkeypatch, inject_bug, broken):
    """Guards against a test of leaders in series that passes because nothing happens in it."""
    inject_bug(monkeypatch)
    assert _is_detected(broken, simulate, _simulate_leader_changes, range(10))


def _acknowledge_the_next_end(patch):
    def acknowledge(number, started_ms):
        return Acknowledge(number + 1, started_ms)

    patch.setattr(reports, "Acknowledge", acknowledge)


@pytest.mark.parametrize(
    ("inject_bug", "broken"),
    [
        (_ignore_leases, "two runs at once"),
        (_lose_recorded_ends, "after its end"),
        (_acknowledge_the_next_end, "end acknowledged that nobody has read"),
    ],
)
def test_violations_beside_restarts_are_detected(simulate, monkeypatch, inject_bug, broken):
    """Guards against a test of restarts that passes because nothing happens in it."""
    inject_bug(monkeypatch)
    assert _is_detected(broken, simulate, _simulate_restarts, range(10))


def _count_only_leases_that_were_asked_for(patch):
    patch.setattr(LeaseEstimate, "note_granted", lambda self, *args: None)
    patch.setattr(LeaseEstimate, "note_misdirected", lambda self, *args: None)


def test_leases_of_starts_for_an_earlier_incarnation_are_detected(simulate, monkeypatch):
    """Guards against a test of broken-off workers that passes because no start is misdirected."""
    _count_only_leases_that_were_asked_for(monkeypatch)
    scenario = _simulate_breaks_of_busy_workers
    assert _is_detected("two runs at once", simulate, scenario, range(4))


def _repeat_no_stop(patch):
    patch.setattr(RunState, "_repeat_stops", lambda *args: None)


def _lose_requests_to_vacate_with_their_upstreams(patch):
    vacate = PlannedStops._vacate

    def vacate_if_answering(self, upstream, now_ms):
        if upstream.slot.answering:
            vacate(self, upstream, now_ms)

    patch.setattr(Fleet, "_repeat_vacating", lambda self: None)
    patch.setattr(Reports, "_resume_vacating", lambda self, upstream: None)
    patch.setattr(PlannedStops, "_vacate", vacate_if_answering)


@pytest.mark.parametrize(
    ("inject_bug", "broken", "first_seed"),
    [
        (_repeat_no_stop, "at work after it was cancelled", 0),
        (_lose_requests_to_vacate_with_their_upstreams, "without its maintenance", 15),
    ],
)
def test_lost_orders_are_detected(simulate, monkeypatch, inject_bug, broken, first_seed):
    """Guards against a test of lost orders that passes because none is lost in it."""
    inject_bug(monkeypatch)
    seeds = range(first_seed, first_seed + 20)
    assert _is_detected(broken, simulate, _simulate_lost_orders, seeds)


async def _take_over_with_a_late_fence(simulation, config, faults):
    """Let a leader end whose upstream is cut off, while the successor's fence takes four seconds.

    The earlier leader may have assigned tasks until the fence was stored.
    """
    store_client = virtual.VirtualStoreClient
    simulation.store.put("keyed.op", "config", config)
    for name in ("i-0", "i-1"):
        simulation.add_worker(name, Demand(1_000, 1_000))
    await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    step = StepSpec(1, Demand(1_000, 100), 60_000)
    await simulation.submit(simulation.nodes["n-1"], f"{0:016x}", JobSpec("text", (step,)))
    await asyncio.sleep(0.5)
    (worker,) = (worker for worker in simulation.workers.values() if worker.runs)
    await simulation.kill_node("n-1")
    worker.unreachable = True
    append = store_client.append

    async def append_late(client, topic, records, **options):
        if topic == "keyed.state":
            store_client.append = append
            await asyncio.sleep(4.0)
            simulation.fenced_s = simulation.now_s()
        return await append(client, topic, records, **options)

    store_client.append = append_late
    await simulation.start_node("n-2")
    await asyncio.sleep(15.0)
    await simulation.kill_node("n-2")
    return simulation


def test_runs_of_an_earlier_leader_are_given_up_a_lease_after_its_fence(simulate):
    """Guards against a second run of a task that an earlier leader started before its fence."""
    simulation = simulate(1, scenario=_take_over_with_a_late_fence)
    _, second = simulation.starts["0000000000000000.0.0.0"]
    waited_s = second[0] - simulation.fenced_s
    needed_ms = defaults.LEADERSHIP_VALID_MS + defaults.UPSTREAM_LEASE_MS
    assert needed_ms <= 1_000 * waited_s < needed_ms + 1_500


async def _fail_a_run_while_its_worker_is_silent(simulation, config, faults):
    """Let the only worker be silent while its run of a speculative task fails."""
    simulation.store.put("keyed.op", "config", config)
    worker = simulation.add_worker("i-0", Demand(1_000, 1_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    worker.fail_ratio = 1.0
    step = StepSpec(1, Demand(1_000, 100), 1_500, speculative=True)
    await simulation.submit(node, f"{0:016x}", JobSpec("text", (step,)))
    await asyncio.sleep(0.3)
    # The leader keeps no tasks of a job that has ended.
    simulation.tasks = list(node.scheduler._jobs[f"{0:016x}"].tasks())
    worker.fail_ratio, worker.unreachable = 0.0, True
    await asyncio.sleep(2.2)
    worker.unreachable = False
    await asyncio.sleep(5.0)
    await simulation.kill_node("n-1")
    return simulation


def test_a_failure_counts_for_a_task_that_waits_for_a_copy(simulate):
    """Guards against more runs than the maximum of attempts after an upstream was silent."""
    (task,) = simulate(1, scenario=_fail_a_run_while_its_worker_is_silent).tasks
    assert (task.state, task.run, task.history.failed_runs) == ("done", 2, {1})


async def _delay_a_start_at_a_silent_worker(simulation, config, faults, unlisted=False):
    """Let a start be carried out late, at a worker that is silent until its lease has expired.

    :param unlisted: the worker's registration is missing while it is silent.
    """
    simulation.store.put("keyed.op", "config", config)
    for name in ("i-0", "i-1"):
        simulation.add_worker(name, Demand(1_000, 1_000)).delayed_call_ratio = 1.0
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    step = StepSpec(1, Demand(1_000, 100), 10_000)
    await simulation.submit(node, f"{0:016x}", JobSpec("text", (step,)))
    await asyncio.sleep(0.2)
    (task,) = node.scheduler._jobs[f"{0:016x}"].tasks()
    for worker in simulation.workers.values():
        worker.delayed_call_ratio = 0.0
    worker = simulation.workers[task.upstream_id]
    worker.unreachable = True
    if unlisted:
        simulation.unregister(worker)
    await asyncio.sleep(4.0)
    worker.unreachable = False
    if unlisted:
        simulation.register(worker)
    await asyncio.sleep(4.0)
    await simulation.kill_node("n-1")
    return simulation


@pytest.mark.parametrize("seed", range(8))
def test_a_start_carried_out_after_the_lease_does_not_run(simulate, seed):
    """Guards against a second run because of a start that an upstream carries out late."""
    assert simulate(seed, scenario=_delay_a_start_at_a_silent_worker).violations == []


async def _delay_a_start_at_an_unlisted_worker(simulation, config, faults):
    return await _delay_a_start_at_a_silent_worker(simulation, config, faults, unlisted=True)


@pytest.mark.parametrize("seed", range(8))
def test_a_late_start_does_not_run_once_its_upstream_is_registered_again(simulate, seed):
    """Guards against an upstream that is forgotten, with its uncertain starts, while it is away."""
    assert simulate(seed, scenario=_delay_a_start_at_an_unlisted_worker).violations == []


async def _take_over_a_task_without_attempts_left(simulation, config, faults):
    """Let a leader take a task over that waits, with as many failed runs as are allowed."""
    simulation.store.put("keyed.op", "config", config)
    simulation.add_worker("i-0", Demand(1_000, 1_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    job_id = f"{0:016x}"
    step = StepSpec(1, Demand(1_000, 100), 60_000, speculative=True)
    await simulation.submit(node, job_id, JobSpec("text", (step,)))
    await asyncio.sleep(0.5)
    await simulation.kill_node("n-1")
    simulation.store.put("keyed.state", f"{job_id}.0.0", b'[[0,"w",5,"",[1,2,3,4,5]]]')
    node = await simulation.start_node("n-2")
    await asyncio.sleep(5.0)
    simulation.phases[job_id] = node.scheduler._jobs[job_id].phase
    await simulation.kill_node("n-2")
    return simulation


def test_a_job_whose_attempts_were_used_up_before_a_take_over_fails(simulate):
    """Guards against a job that stays running because its last copy was lost in a take-over."""
    simulation = simulate(1, scenario=_take_over_a_task_without_attempts_left)
    assert list(simulation.phases.values()) == [jobmodel.FAILED]


async def _cut_a_leader_off_from_its_successor(simulation, config, faults):
    """Let a leader without changes to store keep the only upstream that its successor lacks."""
    simulation.store.put("keyed.op", "config", config)
    for name in ("i-0", "i-1"):
        simulation.add_worker(name, Demand(1_000, 1_000))
    names = ("n-1", "n-2", "n-3")
    for name in names:
        await simulation.start_node(name)
    await asyncio.sleep(3.0)
    (leader,) = (name for name in names if simulation.nodes[name].scheduler is not None)
    others = [name for name in names if name != leader]
    step = StepSpec(1, Demand(1_000, 100), 60_000)
    await simulation.submit(simulation.nodes[leader], f"{0:016x}", JobSpec("text", (step,)))
    await asyncio.sleep(0.5)
    for worker in simulation.workers.values():
        worker.cut_entries.update(others if worker.runs else [leader])
    simulation.cut_paths.update((leader, name) for name in others)
    if next(iter(simulation.store.members)) == simulation.nodes[leader].incarnation:
        # Another entry VM gets the partition whose owner checks the leader.
        del simulation.store.members[simulation.nodes[leader].incarnation]
    await asyncio.sleep(25.0)
    for name in names:
        await simulation.kill_node(name)
    return simulation


def test_a_leader_that_stores_nothing_learns_of_its_successor(simulate):
    """Guards against a second run of a task whose lease the earlier leader goes on renewing."""
    simulation = simulate(1, scenario=_cut_a_leader_off_from_its_successor)
    assert len(simulation.starts["0000000000000000.0.0.0"]) == 2
    assert simulation.violations == []


async def _cancel_beside_a_lost_read(simulation, config, offset_s):
    """Cancel a job while the answer to the leader's read of accepted jobs is lost."""
    simulation.store.put("keyed.op", "config", config)
    worker = simulation.add_worker("i-0", Demand(4_000, 1_000_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(3.0)
    job_id = f"{0:016x}"
    step = StepSpec(2, Demand(500, 100), 0, long_running=True)
    await simulation.submit(node, job_id, JobSpec("text", (step,)))
    await asyncio.sleep(1.0 + offset_s)
    assert len(worker.runs) == 2
    simulation.store.lost_intake_reads_count = 1
    assert await simulation.cancel(node, job_id)
    await asyncio.sleep(virtual.CANCEL_S)
    simulation.violations += [run.task for run in worker.runs.values() if run.stops_s == math.inf]
    await simulation.kill_node("n-1")
    return simulation


@pytest.mark.parametrize("offset_ms", range(0, 1_500, 100))
def test_a_cancellation_beside_one_lost_read_is_carried_out_in_time(simulate, offset_ms):
    """Guards against a read that hangs for longer than a cancelled run may go on (UNASKED)."""
    simulation = simulate(1, faults=offset_ms / 1_000, scenario=_cancel_beside_a_lost_read)
    assert simulation.violations == []
