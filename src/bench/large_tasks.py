"""Large tasks beside small ones in virtual time, for the comparison of placements.

A pool of upstreams runs a seeded demand like that of docs/hard-load.md, part 3. The decisions are
those of :mod:`tarragoncart.taskplacement`; upstreams, reports and callers are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable

from attrs import Factory, define, frozen

from tarragoncart import assignment
from tarragoncart.assignment import UpstreamSlot, Usage
from tarragoncart.durations import Durations
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import Job, StepOccurrence
from tarragoncart.reservations import ReservationChange, is_large
from tarragoncart.taskplacement import Backfill, FirstFit, Placement, PlacementRequest
from tarragoncart.tasks import Task

CAPACITY = Demand(32_000, 128_000)
PASS_MS = 20
REPORT_MS = 200
# From an assignment to the start, and from an end to its report.
START_MS = 30
STEP_TASKS_MAX_COUNT = 32
# The largest tasks of a kind need this many times the mean.
LARGEST_RATIO = 3.0
ESTIMATE_ERROR_RATIO = 0.9
VERY_LONG_RATIO = 0.03
VERY_LONG_FACTOR = 7
STRETCH = 1.6
TARGET_LATENCY_MS = 600
ACCOUNT_WEIGHTS = (4.0, 2.0, 1.0, 1.0)


@frozen
class Kind:
    """A queue with tasks of similar size and duration.

    :param mean: mean demand of a task.
    :param weight: its share of the jobs.
    :param task_mean_count: mean number of tasks of a step.
    """

    queue: str
    mean: Demand
    duration_ms: float
    weight: float
    task_mean_count: int = 8


DEMANDS = {
    "all sizes": (
        Kind("short-1", Demand(3_100, 8_800), 700, 0.3),
        Kind("short-2", Demand(3_100, 8_800), 1_000, 0.3),
        Kind("long-1", Demand(6_700, 25_000), 1_400, 0.2),
        Kind("long-2", Demand(6_700, 25_000), 2_100, 0.2),
    ),
    "few large": (
        Kind("small", Demand(2_000, 5_000), 800, 0.9),
        Kind("large", Demand(14_000, 50_000), 1_500, 0.1, task_mean_count=1),
    ),
}


@define
class KnownDurations(Durations):
    """Baseline that knows the duration of each task.

    :param work_ms: duration by name of the task.
    """

    work_ms: dict[str, float] = Factory(dict)

    def expected_ms(self, step: StepOccurrence) -> float:
        """Return the longest duration of the waiting tasks."""
        return max((self.work_ms[task.name] for task in step.waiting()), default=0.0) + START_MS

    def expected_end_ms(self, task: Task, now_ms: float) -> float:
        """Return when the current run of a task ends."""
        return task.assigned_ms + START_MS + self.work_ms[task.name]


@define
class DemandSource:
    """Seeded jobs of one step each, with the true durations of their tasks.

    :param load_ratio: offered cores as a share of the pool's.
    """

    seed: int
    upstream_count: int
    duration_s: float
    load_ratio: float
    kinds: tuple[Kind, ...] = DEMANDS["all sizes"]
    work_ms: dict[str, float] = Factory(dict)

    def jobs(self) -> list[tuple[float, Job]]:
        """Return the jobs by the time of their arrival."""
        rng = random.Random(self.seed)
        arrivals, at_ms, number = [], 0.0, 0
        weights = [kind.weight for kind in self.kinds]
        mean_work = sum(
            kind.task_mean_count * kind.mean.cpu_millicores * kind.duration_ms * kind.weight
            for kind in self.kinds
        ) / sum(weights)
        mean_work *= 1 + VERY_LONG_RATIO * (VERY_LONG_FACTOR - 1)
        rate = self.load_ratio * self.upstream_count * CAPACITY.cpu_millicores / mean_work
        while True:
            at_ms += rng.expovariate(rate)
            if at_ms >= self.duration_s * 1_000:
                return arrivals
            number += 1
            kind = rng.choices(self.kinds, weights)[0]
            arrivals.append((at_ms, self._make_job(rng, kind, number, int(at_ms))))

    def _make_job(self, rng: random.Random, kind: Kind, number: int, at_ms: int) -> Job:
        mean_count = kind.task_mean_count
        count = 1 + int(rng.expovariate(1 / (mean_count - 0.5))) if mean_count > 1 else 1
        count = min(STEP_TASKS_MAX_COUNT, count)
        # Mean 1, cores and memory drawn apart.
        cpu, memory = (min(LARGEST_RATIO, rng.gammavariate(2.0, 0.5)) for _ in range(2))
        demand = Demand(
            min(CAPACITY.cpu_millicores, max(100, round(cpu * kind.mean.cpu_millicores))),
            min(CAPACITY.memory_mb, max(100, round(memory * kind.mean.memory_mb))),
        )
        true_ms = kind.duration_ms * rng.uniform(0.7, 1.3)
        error = rng.uniform(-ESTIMATE_ERROR_RATIO, ESTIMATE_ERROR_RATIO)
        spec = StepSpec(count, demand, max(1, round(true_ms * (1 + error))))
        account = f"account-{rng.randrange(len(ACCOUNT_WEIGHTS))}"
        submission = Submission(
            f"j{number}",
            kind.queue,
            "pool",
            account,
            0,
            3,
            STRETCH,
            TARGET_LATENCY_MS,
            at_ms,
            JobSpec("", (spec,)),
        )
        job = Job(submission)
        for task in job.release(0)[0].tasks:
            factor = VERY_LONG_FACTOR if rng.random() < VERY_LONG_RATIO else 1
            self.work_ms[task.name] = factor * true_ms * rng.uniform(0.9, 1.1)
        return job


PLACEMENTS: dict[str, Callable[[dict[str, float]], Placement]] = {
    "first_fit": lambda work_ms: FirstFit(),
    "backfill": lambda work_ms: Backfill(),
    "known durations": lambda work_ms: Backfill(KnownDurations(work_ms=work_ms)),
}


@define
class Outcome:
    """Figures of one simulation.

    :param waits_ms: by size of the task, from the arrival of its job to its assignment.
    :param on_time: by kind, the size of each job's tasks as a share of an upstream, and whether it
        ended within its true duration times the stretch and the target latency.
    :param used_ratio: share of the pool's cores that were at work while jobs arrived.
    """

    waits_ms: dict[str, list[float]] = Factory(dict)
    on_time: dict[str, list[tuple[float, bool]]] = Factory(dict)
    changes: Counter[str] = Factory(Counter)
    pass_ms: list[float] = Factory(list)
    used_ratio: float = 0.0

    def mean_wait_ms(self, size: str) -> float:
        """Return the mean wait of the tasks of a size."""
        return statistics.mean(self.waits_ms.get(size) or [0.0])

    def wait_percentile_ms(self, size: str, percent: float) -> float:
        """Return a percentile of the waits of the tasks of a size."""
        waits = sorted(self.waits_ms.get(size) or [0.0])
        return waits[min(len(waits) - 1, math.ceil(percent / 100 * len(waits)) - 1)]

    def on_time_ratio(self) -> float:
        """Return the share of jobs that were on time."""
        jobs = [on_time for jobs in self.on_time.values() for _, on_time in jobs]
        return sum(jobs) / max(1, len(jobs))

    def on_time_ratio_of(self, from_ratio: float, to_ratio: float) -> float:
        """Return the share of jobs on time among jobs of a size, over that of all of their kind.

        The lowest value of all kinds; a caller needs at least 0.5.

        :param from_ratio: share of the kind's jobs that are larger than the first one.
        :param to_ratio: share of the kind's jobs that are larger than the last one.
        """
        ratios = []
        for jobs in self.on_time.values():
            ordered = sorted(jobs, reverse=True)
            part = ordered[int(from_ratio * len(jobs)) : max(1, int(to_ratio * len(jobs)))]
            kind_ratio = sum(on_time for _, on_time in jobs) / len(jobs)
            ratios.append(sum(on_time for _, on_time in part) / len(part) / (kind_ratio or 1.0))
        return min(ratios)


@define
class PoolSimulation:
    """Runs a demand on one pool.

    :param choose_lost: returns the upstream that is lost at a time, None if none is.
    """

    placement: Placement
    source: DemandSource
    limits: dict[str, Demand] = Factory(dict)
    choose_lost: Callable[[float], str | None] = lambda now_ms: None
    outcome: Outcome = Factory(Outcome)
    changes: list[ReservationChange] = Factory(list)
    violations: list[str] = Factory(list)

    def run(self) -> Outcome:
        """Simulate until all jobs have ended and return the figures."""
        slots = {}
        for number in range(self.source.upstream_count):
            entry = UpstreamEntry(f"i-{number}", "pool", "", "dc", False, CAPACITY)
            slots[entry.upstream_id] = UpstreamSlot(entry, CAPACITY, known=True)
        usages = {
            f"account-{n}": Usage(weight=weight, limit=self.limits.get(f"account-{n}", Demand()))
            for n, weight in enumerate(ACCOUNT_WEIGHTS)
        }
        arrivals = self.source.jobs()[::-1]
        running: list[tuple[float, int, int, Task, UpstreamSlot]] = []
        order = itertools.count()
        waiting: list[StepOccurrence] = []
        now_ms, used = 0.0, 0.0

        def release(task: Task, slot: UpstreamSlot, state: str) -> None:
            slot.occupy(task, -1)
            del slot.tasks[task.name]
            usage = usages[task.step.job.submission.account]
            usage.running = usage.running.plus(task.step.spec.demand, -1)
            task.state = state

        def reserve(task: Task, slot: UpstreamSlot) -> None:
            task.state, task.upstream_id = "running", slot.entry.upstream_id
            task.run += 1
            task.assigned_ms = now_ms
            task.tracker.samples.clear()
            slot.occupy(task)
            slot.tasks[task.name] = task
            if not Demand().fits(slot.free):
                self.violations.append(f"beyond the capacity of {slot.entry.upstream_id}")
            usage = usages[task.step.job.submission.account]
            if not usage.allows(task.step.spec.demand):
                self.violations.append(f"beyond the limit of {task.step.job.submission.account}")
            usage.running = usage.running.plus(task.step.spec.demand)
            size = "large" if is_large(task.step.spec, CAPACITY) else "small"
            if task.run == 1:
                wait_ms = now_ms - task.step.job.arrived_ms
                self.outcome.waits_ms.setdefault(size, []).append(wait_ms)
            end_ms = now_ms + START_MS + self.source.work_ms[task.name]
            heapq.heappush(running, (end_ms, next(order), task.run, task, slot))

        while arrivals or running or waiting:
            now_ms += PASS_MS
            lost_id = self.choose_lost(now_ms)
            if lost_id is not None:
                lost = slots.pop(lost_id)
                for task in list(lost.tasks.values()):
                    release(task, lost, "waiting")
                    if task.step not in waiting:
                        waiting.append(task.step)
            while running and running[0][0] <= now_ms:
                _, _, run, task, slot = heapq.heappop(running)
                if task.run != run or task.state != "running":
                    continue
                self.placement.note_done(task, now_ms)
                release(task, slot, "done")
                task.step.done_count += 1
                if task.step.done:
                    self._record_end(task.step.job, now_ms)
            while arrivals and arrivals[-1][0] <= now_ms:
                waiting.append(arrivals.pop()[1].steps[0, 0])
            if now_ms % REPORT_MS < PASS_MS:
                for _, _, _, task, _ in running:
                    self._report_progress(task, now_ms)
            if arrivals:
                used += sum(
                    CAPACITY.cpu_millicores - slot.free.cpu_millicores for slot in slots.values()
                )
            wall_ms = now_ms
            waiting.sort(key=lambda step: assignment.by_deadline(step, wall_ms))
            started_s = time.perf_counter()
            request = PlacementRequest(
                "pool",
                waiting,
                list(slots.values()),
                usages.__getitem__,
                now_ms,
                now_ms,
                reserve,
                lambda step, reason: None,
            )
            for _ in self.placement.plan(request):
                pass
            self.outcome.pass_ms.append((time.perf_counter() - started_s) * 1_000)
            changes = self.placement.take_changes()
            self.changes += changes
            self.outcome.changes.update(str(change.change) for change in changes)
            waiting = [step for step in waiting if any(True for _ in step.waiting())]
        busy_ms = self.source.duration_s * 1_000
        total = self.source.upstream_count * CAPACITY.cpu_millicores * busy_ms / PASS_MS
        self.outcome.used_ratio = used / total
        return self.outcome

    def _report_progress(self, task: Task, now_ms: float) -> None:
        started_ms = task.assigned_ms + START_MS
        if task.state == "running" and now_ms > started_ms:
            share = (now_ms - started_ms) / self.source.work_ms[task.name]
            task.tracker.observe(now_ms, min(99, int(100 * share)))

    def _record_end(self, job: Job, now_ms: float) -> None:
        tasks = job.steps[0, 0].tasks
        true_ms = statistics.median(self.source.work_ms[task.name] for task in tasks)
        due_ms = job.arrived_ms + STRETCH * true_ms + TARGET_LATENCY_MS
        size = job.steps[0, 0].spec.counted.share_of(CAPACITY)
        jobs = self.outcome.on_time.setdefault(job.submission.queue, [])
        jobs.append((size, now_ms <= due_ms))


def run_placement(name: str, seed: int, load_ratio: float, demand: str) -> dict[str, float]:
    """Simulate 60 s of a demand with a placement and return the figures."""
    source = DemandSource(seed, 20, 60, load_ratio, DEMANDS[demand])
    outcome = PoolSimulation(PLACEMENTS[name](source.work_ms), source).run()
    return {
        "large_wait_ms": outcome.mean_wait_ms("large"),
        "large_p95_ms": outcome.wait_percentile_ms("large", 95),
        "small_wait_ms": outcome.mean_wait_ms("small"),
        "small_p95_ms": outcome.wait_percentile_ms("small", 95),
        "on_time_ratio": outcome.on_time_ratio(),
        "largest_tenth_ratio": outcome.on_time_ratio_of(0.0, 0.1),
        "next_fifth_ratio": outcome.on_time_ratio_of(0.1, 0.3),
        "used_ratio": outcome.used_ratio,
        "made_count": outcome.changes["made"],
        "used_count": outcome.changes["used"],
        "expired_count": outcome.changes["expired"],
        "dropped_count": outcome.changes["dropped"],
        "pass_ms": statistics.mean(outcome.pass_ms),
        "pass_max_ms": max(outcome.pass_ms),
    }
