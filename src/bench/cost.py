"""Measures the time of single decisions at fractions of the projected fleet size."""

from __future__ import annotations

import itertools
import math
import random
import statistics
import time
from collections.abc import Callable

from attrs import evolve, frozen

from tarragoncart import capacity
from tarragoncart.fairqueue import SlotTimeLedger, WeightedFair
from tarragoncart.routing import UpstreamView, choose

WORKER_COUNT = 1_300
POOL_COUNT = 68
TEAM_COUNT = 80
DATA_CENTRE_COUNT = 11
SLOT_COUNT = 8
SIZE_RATIOS = (0.1, 0.3, 1.0)
CAPACITY_PASS_MAX_CORE_RATIO = 0.019
WAITING_JOB_COUNT = 2_000


@frozen
class Cost:
    """Times per call at one size, medians over rounds, in µs."""

    worker_count: int
    placement_us: float
    full_pool_us: float
    one_pool_us: float
    capacity_pass_us: float


def _views(count: int, rng: random.Random) -> list[UpstreamView]:
    return [
        UpstreamView(
            f"w-{n}",
            f"dc-{n % DATA_CENTRE_COUNT}",
            f"rack-{n // 20}",
            "in_use",
            SLOT_COUNT,
            in_flight_count=rng.randrange(SLOT_COUNT + 1),
        )
        for n in range(count)
    ]


def _median_us(call: Callable[[], object], count: int, rounds: int = 9) -> float:
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        for _ in range(count):
            call()
        times.append((time.perf_counter() - started) / count * 1e6)
    return statistics.median(times)


def _placement(
    views: list[UpstreamView], pool_count: int, team_count: int, seed: int
) -> Callable[[], object]:
    """Return a function that chooses an upstream, pops and charges a job and pushes the next one.

    The jobs wait in the queues of all pools, which share a ledger.
    """
    rng = random.Random(seed)
    ledger = SlotTimeLedger()
    queues = [WeightedFair(ledger=ledger) for _ in range(pool_count)]
    team_by_job = {}
    numbers = itertools.count()

    def push(queue: WeightedFair) -> None:
        number = next(numbers)
        job_id, team = f"j-{number}", f"t-{rng.randrange(team_count)}"
        team_by_job[job_id] = team
        queue.push(job_id, team, 1.0 + number % 3, 500.0, 0.0, number % 2 == 0)

    for number in range(WAITING_JOB_COUNT):
        push(queues[number % pool_count])

    def place() -> None:
        queue = queues[next(numbers) % pool_count]
        choose("two_choices", views, rng, "dc-0", ())
        job_id = queue.pop(lambda _: True)
        assert job_id is not None
        queue.charge(team_by_job.pop(job_id), rng.expovariate(1 / 500))
        push(queue)

    return place


def _capacity_pass(pool_count: int, worker_count: int, seed: int) -> Callable[[], object]:
    rng = random.Random(seed)
    pools = [
        capacity.PoolLoad(
            f"p-{number}",
            tuple(
                capacity.VmLoad(f"w-{n}", rng.randrange(9), SLOT_COUNT, f"rack-{n // 20}")
                for n in range(number, worker_count, pool_count)
            ),
            2,
            2,
            spare=number == 0,
        )
        for number in range(pool_count)
    ]
    state = {"memory": None, "now_ms": 0.0}

    def run_pass() -> None:
        loads = [evolve(pool, demand_count=rng.uniform(0, 150)) for pool in pools]
        state["now_ms"] += capacity.SIMULATION_CAPACITY_PERIOD_MS
        _, state["memory"] = capacity.plan("forecast", loads, state["now_ms"], state["memory"])

    for _ in range(capacity.HISTORY_COUNT):
        run_pass()
    return run_pass


def measure_costs(seed: int) -> list[Cost]:
    """Return the costs at each fraction of the projected fleet size."""
    costs = []
    for ratio in SIZE_RATIOS:
        worker_count = round(WORKER_COUNT * ratio)
        pool_count = max(2, round(POOL_COUNT * ratio))
        team_count = max(2, round(TEAM_COUNT * ratio))
        rng = random.Random(seed)
        pool_views = _views(math.ceil(worker_count / pool_count), rng)
        # All slots are in use: the random sample contains no free one, so all upstreams are tried.
        full_views = [evolve(v, in_flight_count=SLOT_COUNT) for v in pool_views]
        one_pool_views = _views(worker_count, rng)
        costs.append(
            Cost(
                worker_count,
                _median_us(_placement(pool_views, pool_count, team_count, seed), 2_000),
                _median_us(lambda v=full_views, r=rng: choose("two_choices", v, r, "dc-0"), 1_000),
                _median_us(_placement(one_pool_views, 1, team_count, seed), 2_000),
                _median_us(_capacity_pass(pool_count, worker_count, seed), 5),
            )
        )
    return costs


def slope(costs: list[Cost], name: str) -> float:
    """Return the exponent of a cost's growth with the number of workers.

    Compares the smallest with the largest size.

    :param name: a field of :class:`Cost`.
    """
    first, last = costs[0], costs[-1]
    growth = math.log(getattr(last, name) / getattr(first, name))
    return growth / math.log(last.worker_count / first.worker_count)


def log_growth_ratio(costs: list[Cost]) -> float:
    """Return the growth of the placement time, divided by that of log(number of workers).

    The target is at most 1.
    """
    first, last = costs[0], costs[-1]
    growth = last.placement_us / first.placement_us
    return growth / (math.log(last.worker_count) / math.log(first.worker_count))
