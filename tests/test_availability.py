"""Disruption budgets of long-running steps, in virtual time and under random faults from a seed."""

from __future__ import annotations

import asyncio
import json

import pytest

import model_faults
from model_faults import SEEDS
from tarragoncart.entrance import Accepted
from tarragoncart.graph import Demand, JobSpec, StepSpec

FAULT_S = 40.0
# Seeds with which orders have ended tasks beyond a budget.
AVAILABILITY_SEEDS = sorted({*SEEDS, 67, 96, 148, 173})


async def _replace_a_worker(simulation):
    vm = simulation.rng.choice(list(simulation.vms.values()))
    simulation.replace_worker(vm, simulation.rng.choice((0.3, 1.0, 5.0)))
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))


FAULTS = (
    model_faults.kill_the_leader,
    model_faults.replace_the_leader,
    _replace_a_worker,
    _replace_a_worker,
    model_faults.cut_workers_from_a_node,
    model_faults.delay_calls_to_a_worker,
    model_faults.disconnect_a_live_worker,
    model_faults.let_a_worker_flap,
    model_faults.lose_all_answers_of_a_worker,
    model_faults.lose_answers_to_vm_orders,
    model_faults.lose_store_answers,
    model_faults.refuse_store_calls_of_a_node,
    model_faults.remove_a_registration,
    model_faults.restart_a_worker,
    model_faults.slow_the_store_down,
)


async def _start_nodes(simulation):
    for name in ("n-1", "n-2", "n-3"):
        await simulation.start_node(name)
    await asyncio.sleep(2.0)


def _service(rng, max_task_count, upstream_limits):
    """Return a random service with a disruption budget.

    :param upstream_limits: limits of tasks on one upstream, of which one is drawn.
    """
    spec = StepSpec(
        rng.randint(4, max_task_count),
        Demand(500, 100),
        long_running=True,
        max_away_count=rng.randint(1, 2),
        max_per_upstream_count=rng.choice(upstream_limits),
    )
    return JobSpec("text", (spec,))


async def _inject_until_over(simulation, faults, load, settle_s):
    """Inject faults beside a load, let the simulation settle and end it."""
    injectors = [model_faults.inject_faults(simulation, faults, FAULT_S) for _ in range(2)]
    await asyncio.wait({asyncio.ensure_future(injector) for injector in injectors})
    await load
    await asyncio.sleep(settle_s)
    for name in list(simulation.nodes):
        await simulation.kill_node(name)
    return simulation


async def simulate_waves(simulation, config, faults):
    """Simulate services with disruption budgets while waves follow each other."""
    rng = simulation.rng
    simulation.store.put("keyed.op", "config", config)
    for number in range(10):
        simulation.add_vm(f"m-{number}", Demand(4_000, 1_000_000))
    await _start_nodes(simulation)
    node = simulation.nodes["n-1"]
    for number in range(4):
        answer = await simulation.submit(node, f"{number:016x}", _service(rng, 8, (0, 1, 2)))
        assert isinstance(answer, Accepted)
    await asyncio.sleep(4.0)
    waves = asyncio.ensure_future(_request_waves(simulation))
    return await _inject_until_over(simulation, faults, waves, 20.0)


async def _request_waves(simulation):
    end_s = simulation.now_s() + FAULT_S
    number = 0
    while simulation.now_s() < end_s:
        number += 1
        wave = {"wave": number, "machines": list(simulation.vms), "within-s": 20, "cap": 3}
        simulation.store.put("keyed.op", f"wave/{number}", json.dumps(wave).encode())
        await asyncio.sleep(simulation.rng.uniform(8.0, 20.0))


OTHER_PREFIX = "/other/"


async def simulate_moves(simulation, config, faults):
    """Simulate services with disruption budgets in two pools that take VMs from each other."""
    rng = simulation.rng
    rules = json.loads(config)
    other = {**rules["routes"][0], "name": "other", "path-prefix": OTHER_PREFIX, "backend": "other"}
    rules["routes"].append(other)
    rules["services"] += [{"name": "other", "admission-check": True}, {"name": "s", "spare": True}]
    simulation.store.put("keyed.op", "config", json.dumps(rules).encode())
    for number in range(8):
        simulation.add_vm(f"m-{number}", Demand(4_000, 1_000_000))
        simulation.add_vm(f"o-{number}", Demand(4_000, 1_000_000), "other")
    await _start_nodes(simulation)
    for number in range(6):
        _submit(simulation, f"{number:016x}", _service(rng, 6, (1, 2)), number % 2)
    await asyncio.sleep(4.0)
    bursts = asyncio.ensure_future(_submit_bursts(simulation))
    return await _inject_until_over(simulation, faults, bursts, 10.0)


def _submit(simulation, job_id, spec, to_other):
    """Submit a job to one of the two queues, at any entry VM, without waiting for the answer."""
    node = simulation.rng.choice(list(simulation.nodes.values()))
    prefix = OTHER_PREFIX if to_other else "/q/"
    return asyncio.ensure_future(simulation.submit(node, job_id, spec, prefix))


async def _submit_bursts(simulation):
    """Submit more work to one queue than its pool can do, then to the other one."""
    rng, end_s = simulation.rng, simulation.now_s() + FAULT_S
    number, submitted = 100, []
    while simulation.now_s() < end_s:
        to_other = rng.random() < 0.5
        for _ in range(6):
            spec = StepSpec(rng.randint(4, 10), Demand(2_000, 100), rng.choice((400, 900)))
            job = JobSpec("text", (spec,))
            submitted.append(_submit(simulation, f"{number:016x}", job, to_other))
            number += 1
            await asyncio.sleep(rng.uniform(0.1, 0.6))
        await asyncio.sleep(rng.uniform(0.0, 3.0))
    await asyncio.gather(*submitted)


@pytest.mark.parametrize("seed", AVAILABILITY_SEEDS)
def test_no_move_ends_a_task_beyond_its_disruption_budget(simulate_scenario, seed):
    """Guards against stops and moves while too many tasks of a step are away (AVAIL)."""
    simulation = simulate_scenario(simulate_moves, seed, FAULTS)
    assert simulation.availability.order_count > 10
    assert simulation.availability.violations == []


@pytest.mark.parametrize("seed", AVAILABILITY_SEEDS)
def test_no_order_ends_a_task_beyond_its_disruption_budget(simulate_scenario, seed):
    """Guards against stops and maintenance while too many tasks of a step are away (AVAIL)."""
    simulation = simulate_scenario(simulate_waves, seed, FAULTS)
    assert simulation.availability.order_count > 10
    assert simulation.availability.violations == []
