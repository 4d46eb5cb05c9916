"""Faults that the model tests inject into a simulation, one at a time and at random."""

from __future__ import annotations

import asyncio
import os

FAULT_S = 25.0
SEEDS = range(int(os.environ.get("MODEL_SEEDS", "4")))


async def inject_faults(simulation, faults, duration_s=FAULT_S):
    """Inject random faults one after the other."""
    end_s = simulation.now_s() + duration_s
    while simulation.now_s() < end_s:
        await asyncio.sleep(simulation.rng.uniform(0.2, 2.0))
        await simulation.rng.choice(faults)(simulation)


async def kill_a_node(simulation):
    name = simulation.rng.choice(list(simulation.nodes))
    if len(simulation.nodes) > 1:
        await simulation.kill_node(name)
        await asyncio.sleep(simulation.rng.uniform(0.1, 3.0))
        await simulation.start_node(name, simulation.rng.choice((0, -2_000, 2_000)))


async def kill_the_leader(simulation):
    for name, node in list(simulation.nodes.items()):
        if node.scheduler is not None and len(simulation.nodes) > 1:
            await simulation.kill_node(name)
            await asyncio.sleep(simulation.rng.uniform(0.1, 3.0))
            await simulation.start_node(name)
            return


async def refuse_store_calls_of_a_node(simulation):
    await add_a_node_for_a_while(simulation, simulation.store.refused_entries)


async def add_a_node_for_a_while(simulation, entries):
    """Add the name of a random entry VM to those with a fault of the store."""
    name = simulation.rng.choice(list(simulation.nodes))
    entries.add(name)
    await asyncio.sleep(simulation.rng.uniform(0.5, 6.0))
    entries.discard(name)


async def lose_store_answers(simulation):
    simulation.store.lost_response_ratio = 0.3
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))
    simulation.store.lost_response_ratio = 0.0


async def disconnect_a_worker(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.unreachable = True
    await asyncio.sleep(simulation.rng.uniform(0.2, 6.0))
    worker.unreachable = False


async def crash_a_worker(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.advance()
    worker.restart()
    worker.unreachable = True
    # Longer than the timeout of a call, as a process takes time to start.
    await asyncio.sleep(simulation.rng.uniform(1.5, 4.0))
    worker.unreachable = False
    simulation.register(worker)


async def delay_answers_of_a_worker(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.delayed_call_ratio, worker.lost_response_ratio = 0.2, 0.2
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))
    worker.delayed_call_ratio = worker.lost_response_ratio = 0.0


async def slow_a_worker_down(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.speed = 0.15
    await asyncio.sleep(simulation.rng.uniform(0.5, 4.0))
    worker.speed = 1.0


async def fail_runs(simulation):
    worker = simulation.rng.choice(list(simulation.workers.values()))
    worker.fail_ratio = 0.2
    await asyncio.sleep(simulation.rng.uniform(0.2, 1.0))
    worker.fail_ratio = 0.0


async def silence_the_store_for_a_node(simulation):
    await add_a_node_for_a_while(simulation, simulation.store.silent_entries)


async def slow_the_store_down(simulation):
    simulation.store.max_append_delay_s = simulation.rng.choice((0.3, 1.0, 5.0))
    await asyncio.sleep(simulation.rng.uniform(1.0, 6.0))
    simulation.store.max_append_delay_s = 0.0


async def cut_workers_from_a_node(simulation):
    rng = simulation.rng
    name = rng.choice(list(simulation.nodes))
    workers = [worker for worker in simulation.live_workers() if rng.random() < 0.5]
    for worker in workers:
        worker.cut_entries.add(name)
    await asyncio.sleep(rng.uniform(0.5, 9.0))
    for worker in workers:
        worker.cut_entries.discard(name)


async def lose_all_answers_of_a_worker(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    worker.one_way = True
    await asyncio.sleep(simulation.rng.uniform(0.5, 7.0))
    worker.one_way = False


async def disconnect_a_live_worker(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    worker.unreachable = True
    await asyncio.sleep(simulation.rng.uniform(0.2, 7.0))
    worker.unreachable = worker.gone


async def let_a_worker_flap(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    for _ in range(simulation.rng.randint(2, 5)):
        worker.unreachable = True
        await asyncio.sleep(simulation.rng.uniform(0.2, 1.5))
        worker.unreachable = worker.gone
        await asyncio.sleep(simulation.rng.uniform(0.05, 1.5))


async def restart_a_worker(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    worker.advance()
    worker.restart()
    worker.unreachable = True
    await asyncio.sleep(simulation.rng.uniform(0.8, 3.0))
    worker.unreachable = worker.gone
    if not worker.gone:
        simulation.register(worker)


async def delay_calls_to_a_worker(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    worker.delayed_call_ratio, worker.delayed_hold_ratio = 0.2, 0.1
    await asyncio.sleep(simulation.rng.uniform(1.0, 6.0))
    worker.delayed_call_ratio = worker.delayed_hold_ratio = 0.0


async def remove_a_registration(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    simulation.unregister(worker)
    await asyncio.sleep(simulation.rng.uniform(0.5, 5.0))
    if not worker.gone:
        simulation.register(worker)


async def fail_most_runs_of_a_worker(simulation):
    worker = simulation.rng.choice(simulation.live_workers())
    worker.fail_ratio = 0.7
    await asyncio.sleep(simulation.rng.uniform(1.0, 5.0))
    worker.fail_ratio = 0.0


async def lose_answers_to_vm_orders(simulation):
    simulation.lost_vm_response_ratio, simulation.late_vm_order_ratio = 0.3, 0.2
    await asyncio.sleep(simulation.rng.uniform(1.0, 6.0))
    simulation.lost_vm_response_ratio = simulation.late_vm_order_ratio = 0.0


async def delay_calls_to_half_the_workers(simulation):
    rng = simulation.rng
    workers = [worker for worker in simulation.live_workers() if rng.random() < 0.5]
    for worker in workers:
        worker.delayed_call_ratio, worker.delayed_hold_ratio = 0.5, 0.1
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for worker in workers:
        worker.delayed_call_ratio = worker.delayed_hold_ratio = 0.0


async def replace_the_leader(simulation):
    simulation.probes_lost = True
    simulation.store.reassign_partitions()
    await asyncio.sleep(simulation.rng.uniform(1.0, 2.5))
    simulation.probes_lost = False
