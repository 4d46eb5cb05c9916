"""Assignment of waiting tasks to upstreams."""

from __future__ import annotations

import heapq
import itertools
import random

import pytest

from tarragoncart import assignment
from tarragoncart.assignment import (
    UpstreamSlot,
    Usage,
    WaitReason,
    by_deadline,
    choose_slot,
    plan,
    within_disruption_budget,
)
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import Job
from tarragoncart.loads import SubmissionShares

CPU = 4_000


@pytest.fixture
def make_job():
    """Return a factory of jobs with one step."""

    def make(job_id="1", account="a", priority=0, accepted_ms=0, **step):
        spec = StepSpec(step.pop("task_count", 2), step.pop("demand", Demand(1_000)), 1_000, **step)
        submission = Submission(
            job_id, "q", "pool", account, priority, 2, 2.0, 500, accepted_ms, JobSpec("", (spec,))
        )
        job = Job(submission)
        job.release(0)
        return job

    return make


@pytest.fixture
def slots():
    """Two upstreams with four cores each, in different racks."""
    return [
        UpstreamSlot(
            UpstreamEntry(f"i-{n}", "pool", "x:1", "dc", False, Demand(CPU, 99), {"k", f"r{n}"}),
            Demand(CPU, 99),
            known=True,
        )
        for n in (1, 2)
    ]


def no_limit(account):
    """Return the usage of an account without a limit."""
    return Usage()


@pytest.fixture
def simulate_overload():
    """Run jobs of two steps on ten upstreams in virtual time, 1.5 times what these can run.

    The function returns the share of the jobs that end on time. A task takes up to 1.2 times its
    estimate.
    """

    def simulate(order, seed):
        rng, ended, number = random.Random(seed), [], itertools.count()
        slots = [
            UpstreamSlot(
                UpstreamEntry(f"i-{n}", "pool", "x:1", "dc", False, Demand(CPU), set()),
                Demand(CPU),
                known=True,
            )
            for n in range(10)
        ]
        waiting, running, left = [], [], {}
        for now_ms in range(0, 60_000, 20):
            while running and running[0][0] <= now_ms:
                _, _, step, slot = heapq.heappop(running)
                slot.free = slot.free.plus(step.spec.counted)
                left[step] -= 1
                if not left[step] and step.number == 0:
                    waiting.append(step.job.steps[0, 1])
                elif not left[step]:
                    ended.append(now_ms <= step.job.arrived_ms + step.job.objective_ms())
            if now_ms < 20_000 and rng.random() < 0.15:
                spec = StepSpec(4, Demand(1_000), 1_000)
                steps = (spec, StepSpec(4, Demand(1_000), 1_000, depends_on=(0,)))
                job = Job(
                    Submission("1", "q", "pool", "a", 0, 2, 1.6, 600, now_ms, JobSpec("", steps))
                )
                left.update((step, 4) for step in job.release(0))
                waiting.append(job.steps[0, 0])

            def reserve(task, slot, now_ms=now_ms):
                task.state, task.upstream_id = "assigned", slot.entry.upstream_id
                slot.free = slot.free.plus(task.step.spec.counted, -1)
                end_ms = now_ms + 1_000 * rng.uniform(0.7, 1.2)
                heapq.heappush(running, (end_ms, next(number), task.step, slot))

            waiting.sort(key=lambda step, now_ms=now_ms: order(step, now_ms))
            list(plan(waiting, slots, no_limit, now_ms, reserve, lambda step, reason: None))
            waiting = [step for step in waiting if any(True for _ in step.waiting())]
        return sum(ended) / len(ended)

    return simulate


@pytest.fixture
def assign(slots):
    """Return a function that plans jobs; it returns upstreams by task and steps without room."""

    def run(*jobs, usages=None, now_ms=0.0, limit_count=None):
        places, short = {}, []

        def reserve(task, slot):
            task.state, task.upstream_id = "assigned", slot.entry.upstream_id
            slot.free = slot.free.plus(task.step.spec.counted, -1)
            places[task.name] = task.upstream_id

        steps = [step for job in jobs for step in job.steps.values()]
        usage_of = usages.__getitem__ if usages else no_limit

        def report_wait(step, reason):
            if reason is WaitReason.NO_ROOM:
                short.append(step)

        placed = plan(steps, slots, usage_of, now_ms, reserve, report_wait, limit_count=limit_count)
        list(placed)
        return places, short

    return run


def test_upstreams_are_not_overcommitted(assign, make_job):
    """Guards against starts that an upstream refuses because it has no room."""
    places, short = assign(make_job(task_count=12))
    assert sorted(places.values()) == ["i-1"] * 4 + ["i-2"] * 4
    assert len(short) == 1


def test_an_account_stays_within_its_limit(assign, make_job):
    """Guards against an account that runs more than its upper limit."""
    usages = {"a": Usage(Demand(2_000), Demand(2_500))}
    places, short = assign(make_job(), usages=usages)
    assert not places
    # More VMs would not help, so that the step does not count as short of room.
    assert not short


def test_the_limit_of_tasks_per_upstream_is_kept(assign, make_job):
    """Guards against more tasks of a step on one upstream than the step allows."""
    places, _ = assign(make_job(task_count=3, max_per_upstream_count=1))
    assert sorted(places.values()) == ["i-1", "i-2"]


def test_a_required_label_is_kept(assign, make_job):
    """Guards against a start on an upstream without the label."""
    places, _ = assign(make_job(label="r2"))
    assert set(places.values()) == {"i-2"}


def test_a_copy_counts_against_the_spread_constraint(assign, make_job):
    """Guards against a task started beside a superseded run of another task of its step."""
    job = make_job(task_count=3, max_per_upstream_count=1, speculative=True)
    copied, other, third = job.tasks()
    copied.state, copied.upstream_id, copied.run = "running", "i-2", 2
    copied.copies = {1: "i-1"}
    assert assign(job)[0] == {}
    copied.copies = {}
    assert assign(job)[0] == {other.name: "i-1"}
    assert third.state == "waiting"


def test_a_gang_waits_until_no_earlier_run_of_it_is_left(assign, make_job):
    """Guards against a second run of a gang's task beside one that an upstream still lists."""
    job = make_job(task_count=2, gang=True)
    first, _ = job.tasks()
    first.copies = {1: "i-1"}
    assert assign(job)[0] == {}
    first.copies = {}
    assert len(assign(job)[0]) == 2


def test_a_gang_is_placed_as_a_whole_or_not_at_all(assign, make_job):
    """Guards against tasks of a gang that occupy capacity while they wait for the others."""
    assert assign(make_job(task_count=9, gang=True))[0] == {}
    job = make_job("2", task_count=8, gang=True)
    assert len(assign(job)[0]) == 8
    assert len({task.run for task in job.tasks()}) == 1


def test_a_smaller_step_overtakes_one_that_does_not_fit(assign, make_job):
    """Guards against a large task that blocks smaller ones for which the pool has room."""
    places, _ = assign(make_job("1", demand=Demand(9_000)), make_job("2"))
    assert {name[0] for name in places} == {"2"}


def test_an_upstream_on_which_the_task_failed_comes_last(slots, make_job):
    """Guards against all attempts of a task being made on one faulty upstream."""
    task = next(make_job().tasks())
    task.failed_on |= {"i-1"}
    slot = choose_slot(task, slots, {}, 0.0, assignment.home_first)
    assert slot is slots[1]


def test_a_bound_task_waits_for_its_upstream_and_delays_no_other(slots, make_job):
    """Guards against a task that runs elsewhere while an earlier start of it may be carried out."""
    job = make_job(task_count=3)
    bound, *others = job.tasks()
    bound.bound_to, slots[1].free = "i-2", Demand()
    placed, waits = [], []

    def reserve(task, slot):
        task.state, task.upstream_id = "assigned", slot.entry.upstream_id

    def report_wait(step, reason):
        waits.append(reason)

    def assign_waiting():
        steps = list(job.steps.values())
        placed.extend(plan(steps, slots, no_limit, 0.0, reserve, report_wait))

    assign_waiting()
    assert (placed, waits) == (others, [WaitReason.BOUND])
    slots[1].free = Demand(CPU, 99)
    assign_waiting()
    assert (placed[-1], bound.upstream_id) == (bound, "i-2")


def test_a_gang_leaves_room_for_its_bound_task(make_job, assign):
    """Guards against a gang that waits because its other tasks take the room of the bound one."""
    job = make_job(task_count=8, gang=True)
    *_, bound = job.tasks()
    bound.bound_to = "i-1"
    places, _ = assign(job)
    assert len(places) == 8 and places[bound.name] == "i-1"


def test_a_cordoned_or_silent_upstream_gets_no_tasks(slots, make_job):
    """Guards against starts on an upstream that is about to go down or does not answer."""
    task = next(make_job().tasks())
    slots[0].cordoned = True
    slots[1].answering = False
    assert choose_slot(task, slots, {}, 0.0, assignment.home_first) is None


def test_jobs_that_can_be_on_time_come_before_late_ones(make_job):
    """Guards against a late job that delays others under overload."""
    late, timely = make_job("1", accepted_ms=0), make_job("2", accepted_ms=4_000)
    now_ms = 4_500.0
    steps = [next(iter(job.steps.values())) for job in (late, timely)]
    assert sorted(steps, key=lambda step: by_deadline(step, now_ms))[0] is steps[1]


@pytest.mark.parametrize("seed", range(3))
def test_under_overload_most_of_what_can_be_served_is_on_time(simulate_overload, seed):
    """Guards against starting each job just too late to be on time."""
    assert simulate_overload(assignment.ORDERS.get("first_come"), seed) < 0.3
    assert simulate_overload(by_deadline, seed) > 0.6


def test_steps_that_run_in_parallel_do_not_make_a_job_late(make_job):
    """Guards against counting the estimates of parallel steps one after the other."""
    spec = StepSpec(1, Demand(1_000), 1_000)
    submission = Submission("1", "q", "pool", "a", 0, 2, 1.6, 600, 0, JobSpec("", (spec,) * 4))
    job = Job(submission)
    assert {assignment.lateness(step, 0.0) for step in job.release(0)} == {0.0}


def test_a_limit_per_upstream_needs_vms_only_if_the_pool_has_too_few(slots, make_job):
    """Guards against adding VMs for tasks that only wait until other tasks end."""

    def needs(**step):
        return assignment.needs_added_vms(next(make_job(**step).tasks()).step.spec, slots)

    slots[0].free = slots[1].free = Demand()
    assert not needs(task_count=4, max_per_upstream_count=2)
    assert needs(task_count=5, max_per_upstream_count=2)
    assert not needs(label="r1")
    assert needs(label="r3")
    assert needs(gang=True)
    assert needs(long_running=True)


def test_submissions_beyond_the_share_of_an_account_are_detected():
    """Guards against one account that floods a queue and starves the others."""
    shares = SubmissionShares()
    assert [shares.exceeds(0.0, "loud", 2.0) for _ in range(4)] == [False, False, True, True]
    assert not shares.exceeds(0.0, "quiet", 2.0)
    assert not shares.exceeds(1_001.0, "loud", 2.0)


def test_jobs_within_their_share_come_before_earlier_deadlines(make_job):
    """Guards against one account's many jobs that come first because they are older."""
    flood, other = make_job("1", accepted_ms=0), make_job("2", accepted_ms=100)
    flood.beyond_share = True
    steps = [next(iter(job.steps.values())) for job in (flood, other)]
    assert sorted(steps, key=lambda step: by_deadline(step, 200.0))[0] is steps[1]


def test_planned_stops_stay_within_the_disruption_budget(make_job):
    """Guards against stopping a second task of a step while the first is still unavailable."""
    job = make_job(task_count=3, long_running=True, max_away_count=1)
    tasks = list(job.tasks())
    for task in tasks:
        task.state, task.percent = "running", 100
    assert within_disruption_budget(tasks[:1])
    assert not within_disruption_budget(tasks[:2])
    tasks[1].state = "stopping"
    assert not within_disruption_budget(tasks[:1])


def test_a_starting_task_counts_against_the_disruption_budget(make_job):
    """Guards against planned stops of two tasks that became available just before.

    Tasks that were starting at the last report did not count as available, although they could
    have reached full speed since. Stopping them exceeded the disruption budget.
    """
    tasks = list(make_job(task_count=3, long_running=True, max_away_count=1).tasks())
    for task in tasks:
        task.state, task.percent = "running", 100
    tasks[0].percent = tasks[1].percent = 0
    assert not within_disruption_budget(tasks[:2])


def test_a_limited_pass_assigns_the_first_tasks_and_whole_gangs(make_job, assign):
    """Guards against starts that are all sent at once, and against a gang that is split."""
    places, short = assign(make_job("1", task_count=6), limit_count=4)
    assert len(places) == 4 and not short
    places, _ = assign(make_job("2"), make_job("3", gang=True), make_job("4"), limit_count=3)
    assert sorted(places) == ["2.0.0.0", "2.0.0.1", "3.0.0.0", "3.0.0.1"]
