"""Measures placement passes: ``python -m bench.placement_pass``.

Three cases: an empty fleet, a full one, and reserved upstreams with free room that small tasks fit.
"""

from __future__ import annotations

import random
import statistics
import time
from typing import Annotated

import typer

from tarragoncart import assignment
from tarragoncart.assignment import UpstreamSlot, Usage
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import Job, StepOccurrence
from tarragoncart.policies import PolicySettings
from tarragoncart.taskplacement import PLACEMENTS, Placement, PlacementRequest, make_placement
from tarragoncart.tasks import Task

TASKS_PER_STEP_COUNT = 8
POOL_COUNT = 5
ACCOUNT_COUNT = 20
CAPACITY = Demand(16_000, 65_536)
START_MS = 10_000.0
PASS_INTERVAL_MS = 20.0
# Ages of the runs on the full fleet, so that their expected ends differ.
RUN_AGE_MAX_MS = 800
# Reserved upstreams have this much free room, the others none.
RESERVED_GAP = Demand(4_000, 16_000)
RESERVED_COUNT = 3
RUNNING = Demand(2_000, 8_000)
LARGE = Demand(12_000, 40_000)


def make_steps(rng: random.Random, task_count: int) -> list[StepOccurrence]:
    """Return steps of equal tasks, with demands like those of the users' queues."""
    steps = []
    for number in range(task_count // TASKS_PER_STEP_COUNT):
        demand = Demand(rng.randrange(400, 5_700), rng.randrange(500, 20_000))
        spec = JobSpec("", (StepSpec(TASKS_PER_STEP_COUNT, demand, 1_000),))
        pool = f"pool-{rng.randrange(POOL_COUNT)}"
        account = f"account-{rng.randrange(ACCOUNT_COUNT)}"
        submission = Submission(str(number), "q", pool, account, 0, 3, 1.6, 600, number, spec)
        steps.extend(Job(submission).release(0))
    return steps


def make_slots(upstream_count: int) -> dict[str, list[UpstreamSlot]]:
    """Return idle upstreams by pool."""
    slots: dict[str, list[UpstreamSlot]] = {}
    for number in range(upstream_count):
        pool = f"pool-{number % POOL_COUNT}"
        entry = UpstreamEntry(f"i-{number}", pool, "", "dc", False, CAPACITY)
        slots.setdefault(pool, []).append(UpstreamSlot(entry, CAPACITY, known=True))
    return slots


def run_pass(
    placement: Placement,
    steps: list[StepOccurrence],
    slots: dict[str, list[UpstreamSlot]],
    now_ms: float,
    rng: random.Random,
) -> tuple[float, int]:
    """Place all tasks that fit and return the time in ms and the number of tasks placed."""
    usages = {f"account-{number}": Usage() for number in range(ACCOUNT_COUNT)}
    placed: list[Task] = []

    def reserve(task: Task, slot: UpstreamSlot) -> None:
        task.state, task.upstream_id = "assigned", slot.entry.upstream_id
        task.assigned_ms = now_ms - rng.uniform(0, RUN_AGE_MAX_MS)
        slot.free = slot.free.plus(task.step.spec.counted, -1)
        slot.tasks[task.name] = task
        placed.append(task)

    started_s = time.perf_counter()
    for pool, pool_slots in slots.items():
        waiting = [step for step in steps if step.job.pool == pool]
        waiting.sort(key=lambda step: assignment.by_deadline(step, 0.0))
        request = PlacementRequest(
            pool,
            waiting,
            pool_slots,
            usages.__getitem__,
            now_ms,
            0.0,
            reserve,
            lambda step, reason: None,
        )
        for _ in placement.plan(request):
            pass
    return (time.perf_counter() - started_s) * 1_000, len(placed)


def submit(
    number: int, pool: str, demand: Demand, task_count: int, arrived_ms: int = 0
) -> StepOccurrence:
    """Return the step of a job that has time until its deadline."""
    spec = JobSpec("", (StepSpec(task_count, demand, 1_000),))
    submission = Submission(
        str(number), "q", pool, "account-0", 0, 3, 9.0, 60_000, arrived_ms, spec
    )
    return Job(submission).release(0)[0]


def measure_reserved(
    placement: Placement, rng: random.Random, task_count: int, upstream_count: int, per_step: int
) -> float:
    """Return the time in ms of a pass that finds free room only where it is reserved.

    Each pool has a step of large tasks, which reserves the upstreams with the most free room, and
    small tasks that wait: they fit that room and would outlast the time until it is needed.
    """
    slots = make_slots(upstream_count)
    steps = [submit(n, pool, LARGE, RESERVED_COUNT) for n, pool in enumerate(slots)]
    number = len(steps)
    for pool, pool_slots in slots.items():
        for index, slot in enumerate(pool_slots):
            gap = RESERVED_GAP if index < RESERVED_COUNT else Demand()
            while RUNNING.plus(gap).fits(slot.free):
                task = submit(number, pool, RUNNING, 1).tasks[0]
                number += 1
                task.state, task.upstream_id = "running", slot.entry.upstream_id
                task.assigned_ms = START_MS - rng.uniform(0, RUN_AGE_MAX_MS / 2)
                slot.occupy(task)
                slot.tasks[task.name] = task
    run_pass(placement, steps, slots, START_MS, rng)
    for _ in range(task_count // per_step):
        demand = Demand(rng.randrange(1_100, 2_000), rng.randrange(2_000, 4_500))
        steps.append(submit(number, f"pool-{number % POOL_COUNT}", demand, per_step, 1))
        number += 1
    # The first pass places what fits beside the reservations, the second one finds none.
    for index in (1, 2):
        now_ms = START_MS + PASS_INTERVAL_MS * index
        steps = [step for step in steps if any(True for _ in step.waiting())]
        pass_ms, _ = run_pass(placement, steps, slots, now_ms, rng)
    return pass_ms


def main(
    tasks: Annotated[int, typer.Option(help="Waiting tasks.")] = 2_000,
    upstreams: Annotated[int, typer.Option(help="Upstreams.")] = 180,
    rounds: Annotated[int, typer.Option(help="Repetitions.")] = 15,
    seed: Annotated[int, typer.Option(help="Seed of the demands.")] = 1,
) -> None:
    """Print the median time of a first pass and of two more that find the fleet full.

    With reservations, the second pass makes them and the third one places tasks beside them.
    """
    print(f"seed {seed}, {tasks} tasks, {upstreams} upstreams, {rounds} rounds")
    for name in PLACEMENTS:
        elapsed_ms: list[list[float]] = [[], [], []]
        counts = []
        for number in range(rounds):
            rng = random.Random(seed + number)
            steps = make_steps(rng, tasks)
            slots = make_slots(upstreams)
            placement = make_placement(PolicySettings(placement=name))
            for index, times in enumerate(elapsed_ms):
                now_ms = START_MS + PASS_INTERVAL_MS * index
                pass_ms, count = run_pass(placement, steps, slots, now_ms, rng)
                times.append(pass_ms)
                counts.append(count)
        first, second, third = (statistics.median(times) for times in elapsed_ms)
        print(
            f"{name}: first pass {first:.1f} ms, places {statistics.median(counts[::3])}; "
            f"full fleet {second:.1f} ms, then {third:.1f} ms"
        )
        for per_step in (TASKS_PER_STEP_COUNT, 1):
            reserved_ms = statistics.median(
                measure_reserved(
                    make_placement(PolicySettings(placement=name)),
                    random.Random(seed + number),
                    tasks,
                    upstreams,
                    per_step,
                )
                for number in range(rounds)
            )
            print(
                f"{name}: room only where it is reserved, {per_step} tasks per step "
                f"{reserved_ms:.1f} ms"
            )


if __name__ == "__main__":
    typer.run(main)
