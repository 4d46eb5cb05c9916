"""Seeded demand in virtual time, with which recorded placement decisions are compared."""

from __future__ import annotations

import heapq
import itertools
import random

from tarragoncart.assignment import UpstreamSlot, Usage, by_deadline
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import Job

STEP_MS = 20
SUBMITTED_MS = 4_000
END_MS = 12_000


def _random_spec(rng):
    """Return a job with one or two steps; some are large, labelled, limited or gangs."""
    steps = []
    for number in range(rng.randint(1, 2)):
        large = rng.random() < 0.2
        demand = (
            Demand(rng.randrange(8_000, 20_000), rng.randrange(20_000, 70_000))
            if large
            else Demand(rng.randrange(500, 5_000), rng.randrange(500, 16_000))
        )
        steps.append(
            StepSpec(
                rng.randint(1, 10),
                demand,
                rng.choice((0, 300, 900, 1_500)),
                (number - 1,) if number else (),
                gang=rng.random() < 0.05,
                label=rng.choice(("", "", "", "k")),
                max_per_upstream_count=rng.choice((0, 0, 0, 2)),
            )
        )
    return JobSpec("", tuple(steps))


def record_decisions(plan, seed):
    """Return each assignment as time, task and upstream.

    :param plan: a function with the parameters of ``assignment.plan``.
    """
    rng = random.Random(seed)
    slots = [
        UpstreamSlot(
            UpstreamEntry(
                f"i-{n}",
                "pool",
                "x:1",
                "dc",
                False,
                Demand(32_000, 128_000),
                {"k"} if n % 2 else set(),
            ),
            Demand(32_000, 128_000),
            known=True,
        )
        for n in range(8)
    ]
    usages = {"a": Usage(), "b": Usage(limit=Demand(90_000))}
    order, waiting, running, decisions = itertools.count(), [], [], []
    for now_ms in range(0, END_MS, STEP_MS):
        while running and running[0][0] <= now_ms:
            _, _, task, slot = heapq.heappop(running)
            slot.occupy(task, -1)
            usage = usages[task.step.job.submission.account]
            usage.running = usage.running.plus(task.step.spec.demand, -1)
            task.state = "done"
            task.step.done_count += 1
            if task.step.done:
                later = task.step.job.steps.get((0, task.step.number + 1))
                waiting += [later] if later else []
        if now_ms < SUBMITTED_MS and rng.random() < 0.35:
            submission = Submission(
                f"j{now_ms}",
                "q",
                "pool",
                rng.choice("ab"),
                rng.choice((0, 1)),
                3,
                1.6,
                600,
                now_ms,
                _random_spec(rng),
            )
            job = Job(submission)
            job.release(0)
            waiting.append(job.steps[0, 0])
        waiting.sort(key=lambda step, now_ms=now_ms: by_deadline(step, now_ms))

        def reserve(task, slot, now_ms=now_ms):
            task.state, task.upstream_id = "assigned", slot.entry.upstream_id
            slot.occupy(task)
            usage = usages[task.step.job.submission.account]
            usage.running = usage.running.plus(task.step.spec.demand)
            decisions.append([now_ms, task.name, slot.entry.upstream_id])
            work_ms = (task.step.spec.estimate_ms or 700) * rng.uniform(0.5, 1.9)
            heapq.heappush(running, (now_ms + work_ms, next(order), task, slot))

        list(plan(waiting, slots, usages.__getitem__, now_ms, reserve, lambda *_: None))
        waiting = [step for step in waiting if any(True for _ in step.waiting())]
    return decisions
