"""Measures the leader's handlers at the size of a grown fleet: ``python -m bench.leader_cost``.

Entry VMs, store and workers run in virtual time, and only processor time is measured; sockets and
log lines are left out. As time stands still during a handler, jobs are restored in one slice.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import random
import time
from collections.abc import Callable, Iterator
from typing import Annotated, Any

import typer
from attrs import define

from standins.virtual import (
    POOL,
    QUEUE_HOST,
    Simulation,
    patch_peer_client,
    run_in_virtual_time,
)
from tarragoncart import defaults
from tarragoncart.graph import Demand, JobSpec, StepSpec
from tarragoncart.platform import operator
from tarragoncart.takeover import TakeOver

WORKER_CAPACITY = Demand(64_000, 1_000_000)
TASK_DEMAND = Demand(6_000, 100)
TASKS_PER_STEP_COUNT = 10
ESTIMATE_MS = 2_500
ROUND_S = 2.0
SHOWN_COUNT = 5
CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "hostname": QUEUE_HOST,
            "path-prefix": "/q/",
            "backend": POOL,
            "max-attempts": 5,
            "stretch": 1.6,
            "target-latency-ms": 600,
            "public": True,
        }
    ],
    "services": [{"name": POOL, "admission-check": True, "spare": False}],
    "limits": {"max-body-bytes": 262_144},
    "tenants": [],
}


@define
class HandlerCost:
    """Calls of a message's handler and their processor time."""

    count: int = 0
    total_ms: float = 0.0
    longest_ms: float = 0.0


class CostMeter:
    """Measures the processor time of the scheduler's handlers by message type."""

    def __init__(self) -> None:
        self._costs: dict[str, HandlerCost] = {}

    def measure(self, handle: Callable[[Any, Any], Any]) -> Callable[[Any, Any], Any]:
        """Return a method ``handle`` of an actor that is measured."""

        def measured(actor: Any, message: Any) -> Any:
            started_s = time.thread_time()
            result = handle(actor, message)
            elapsed_ms = (time.thread_time() - started_s) * 1_000
            cost = self._costs.setdefault(type(message).__name__, HandlerCost())
            cost.count += 1
            cost.total_ms += elapsed_ms
            cost.longest_ms = max(cost.longest_ms, elapsed_ms)
            return result

        return measured

    def drain(self) -> Iterator[str]:
        """Yield the handlers with the longest calls, and start again from zero."""
        ranked = sorted(self._costs.items(), key=lambda item: -item[1].longest_ms)
        self._costs = {}
        for name, cost in ranked[:SHOWN_COUNT]:
            mean_ms, longest_ms = cost.total_ms / cost.count, cost.longest_ms
            times = f"mean {mean_ms:.2f} ms, longest {longest_ms:.1f} ms"
            yield f"  {name}: {cost.count} calls, {times}"


async def _submit(simulation: Simulation, first: int, count: int) -> None:
    node = next(iter(simulation.nodes.values()))
    step = StepSpec(TASKS_PER_STEP_COUNT, TASK_DEMAND, ESTIMATE_MS)
    second = StepSpec(TASKS_PER_STEP_COUNT, TASK_DEMAND, ESTIMATE_MS, (0,))
    spec = JobSpec("x" * 600, (step, second))
    jobs = (simulation.submit(node, f"{n:016x}", spec) for n in range(first, first + count))
    await asyncio.gather(*jobs)


async def _run(simulation: Simulation, meter: CostMeter, upstreams: int, jobs: int) -> None:
    simulation.store.put(operator.OPERATOR_TOPIC, operator.CONFIG_KEY, json.dumps(CONFIG).encode())
    for number in range(upstreams):
        simulation.add_worker(f"i-{number}", WORKER_CAPACITY)
    await simulation.start_node("n-1")
    await asyncio.sleep(ROUND_S)
    list(meter.drain())
    for first in (0, jobs):
        await _submit(simulation, first, jobs)
        await asyncio.sleep(ROUND_S)
        scheduler = simulation.nodes["n-1"].scheduler
        assert scheduler is not None
        waiting = sum(len(steps) for steps in scheduler._ready_steps.values())
        print(f"{ROUND_S} s after {jobs} more jobs, {waiting} steps wait")
        print(*meter.drain(), sep="\n")
    await simulation.start_node("n-2")
    await simulation.kill_node("n-1")
    await asyncio.sleep(2 * ROUND_S)
    print(f"{2 * ROUND_S} s after the loss of the leader")
    print(*meter.drain(), sep="\n")
    await simulation.kill_node("n-2")


def main(
    upstreams: Annotated[int, typer.Option(help="Upstreams of ten tasks each.")] = 185,
    jobs: Annotated[int, typer.Option(help="Jobs of 20 tasks in each of two bursts.")] = 700,
    seed: Annotated[int, typer.Option(help="Seed of the simulation.")] = 1,
) -> None:
    """Print the handlers of the scheduler with the longest calls."""
    logging.disable()
    gc.set_threshold(defaults.GC_THRESHOLD_COUNT, 20, 50)
    meter = CostMeter()
    TakeOver.handle = meter.measure(TakeOver.handle)  # type: ignore[method-assign]
    simulation = Simulation(random.Random(seed))
    patch_peer_client(simulation, setattr)
    print(f"seed {seed}, {upstreams} upstreams")
    run_in_virtual_time(_run(simulation, meter, upstreams, jobs))


if __name__ == "__main__":
    typer.run(main)
