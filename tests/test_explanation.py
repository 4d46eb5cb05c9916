"""Explanations of where a job would be placed."""

from __future__ import annotations

import asyncio
import json

import pytest
from attrs import asdict, evolve
from typer.testing import CliRunner

from standins.polling import wait_until
from standins.taskworker import TaskWorker
from tarragoncart import assignment, cli, placequery
from tarragoncart.assignment import UpstreamSlot, Usage
from tarragoncart.errors import SettingsError
from tarragoncart.explanation import (
    CANDIDATE_LIMIT_COUNT,
    CHECKS,
    GANG_INCOMPLETE,
    NOT_READY,
    PASS_FULL,
    TASK_LIMIT_COUNT,
    PoolState,
    Trial,
    describe_candidate,
    explain,
)
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission, UpstreamEntry
from tarragoncart.jobmodel import Job
from tarragoncart.taskplacement import Backfill, FirstFit, PlacementRequest

NOW_MS = 100_000.0
CAPACITY = Demand(32_000, 128_000)
LARGE = Demand(16_000, 32_000)
SMALL = Demand(2_000, 4_000)
JOB_ID = "5c0e7a21d94b36f8"
JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 3_000, "mem-mb": 256, "est-ms": 30}]}


class Pool:
    """A pool of upstreams with running and waiting tasks, as a leader has it."""

    def __init__(self, placement=None, upstream_count=2):
        self.placement = placement or FirstFit()
        self.slots = [make_slot(f"i-{n}") for n in range(upstream_count)]
        self.usages = {}
        self.steps = []
        self.jobs = []
        self.held = ""

    def submit(self, *specs, account="a", **changes):
        """Add a job with steps and queue those that are ready."""
        job = make_job(f"{len(self.jobs) + 1}", *specs, account=account, **changes)
        self.jobs.append(job)
        self.steps += [step for step in job.steps.values() if step.ready]
        return job

    def usage(self, account):
        return self.usages.setdefault(account, Usage())

    def start(self, task, slot):
        """Start a task as the scheduler does."""
        task.state, task.upstream_id = "running", slot.entry.upstream_id
        task.run, task.assigned_ms = task.run + 1, NOW_MS
        slot.occupy(task)
        slot.tasks[task.name] = task
        slot.long_running_count += task.step.spec.long_running
        usage = self.usage(task.step.job.submission.account)
        usage.running = usage.running.plus(task.step.spec.demand)

    def place(self):
        """Run a scheduling pass and return the upstreams by task."""
        order = assignment.ORDERS.get("deadline")
        request = PlacementRequest(
            "pool",
            sorted(self.steps, key=lambda step: order(step, NOW_MS)),
            [slot for slot in self.slots if slot.usable],
            self.usage,
            NOW_MS,
            NOW_MS,
            self.start,
            lambda step, reason: None,
            60,
        )
        return {task.name: task.upstream_id for task in self.placement.plan(request)}

    def state(self, unlinked=()):
        """Return the state that an explanation reads."""
        ids = {slot.entry.upstream_id for slot in self.slots}
        return PoolState(
            "pool",
            self.steps,
            self.slots,
            frozenset(ids - set(unlinked)),
            lambda account: self.usages.get(account, Usage()),
            self.placement,
            assignment.ORDERS.get("deadline"),
            NOW_MS,
            NOW_MS,
            self.held,
        )

    def explain(self, job):
        return explain(job, self.state())

    def dump(self):
        """Return everything that a placement can change."""
        tasks = [task for job in self.jobs for task in job.tasks()]
        pools = getattr(self.placement, "pools", {})
        durations = getattr(self.placement, "durations", None)
        return (
            [(asdict(s, recurse=False) | {"tasks": list(s.tasks)}) for s in self.slots],
            [asdict(task, recurse=False) | {"copies": dict(task.copies)} for task in tasks],
            [asdict(step, recurse=False) | {"tasks": list(step.tasks)} for step in self.steps],
            [list(job.steps) for job in self.jobs],
            {name: asdict(usage) for name, usage in self.usages.items()},
            {
                name: (dict(p.by_upstream), dict(p.paused_until_ms), dict(p.held_since_ms))
                for name, p in pools.items()
            },
            [] if durations is None else list(durations._kinds.items()),
            list(getattr(self.placement, "_changes", ())),
        )


def make_slot(upstream_id):
    entry = UpstreamEntry(upstream_id, "pool", "", "dc", False, CAPACITY, frozenset({"k"}))
    return UpstreamSlot(entry, CAPACITY, known=True)


def make_job(job_id, *specs, account="a", queue="q", needs_advice=False, priority=0):
    submission = Submission(
        job_id,
        queue,
        "pool",
        account,
        priority,
        2,
        9.0,
        60_000,
        int(NOW_MS),
        JobSpec("", specs),
        needs_advice=needs_advice,
    )
    job = Job(submission)
    job.release(0)
    return job


def small(count=1, **step):
    return StepSpec(count, SMALL, 1_000, **step)


def large(count=1, **step):
    return StepSpec(count, LARGE, 1_000, **step)


def fill(pool, slot, demand=LARGE, count=2, **step):
    """Start tasks on an upstream."""
    for task in pool.submit(StepSpec(count, demand, 1_000, **step)).tasks():
        pool.start(task, slot)


def lacks(explanation, number=0):
    """Return what each candidate of a task lacks."""
    return {c.upstream_id: c.lacks for c in explanation.tasks[number].candidates}


@pytest.mark.parametrize("placement", [FirstFit, Backfill])
def test_tasks_are_placed_as_in_the_next_pass(placement):
    """Guards against an explanation by other rules than those of the placement."""
    pool = Pool(placement(), upstream_count=6)
    jobs = [
        pool.submit(large(3, max_per_upstream_count=1)),
        pool.submit(small(5), large(2, depends_on=(0,))),
        pool.submit(large(4, gang=True), account="b"),
        pool.submit(StepSpec(2, SMALL, 0, long_running=True)),
        pool.submit(large(3), priority=1),
    ]
    explained = {
        task.task: task.upstream_id
        for job in jobs
        for task in pool.explain(job).tasks
        if task.upstream_id
    }
    placed = pool.place()
    assert len(placed) >= 14 and explained == placed


def make_busy_pool():
    """Return a pool that backfills, with reservations, learned durations and waiting tasks."""
    pool = Pool(Backfill(), upstream_count=8)
    for slot in pool.slots:
        fill(pool, slot, Demand(16_000, 50_000), 1, long_running=True)
        fill(pool, slot, Demand(12_000, 50_000), 1)
    fill(pool, pool.slots[0], SMALL, 1, speculative=True)
    for task in list(pool.slots[0].tasks.values()):
        pool.placement.note_done(task, NOW_MS + 700)
    pool.submit(large(4), queue="r")
    pool.place()
    assert pool.placement.pools["pool"].by_upstream
    # A prediction for the other kind would make this one the least recently used.
    ended = make_job("ended", small(), queue="s").steps[0, 0].tasks[0]
    ended.assigned_ms = NOW_MS - 500
    pool.placement.note_done(ended, NOW_MS)
    return pool


def test_an_explanation_changes_nothing():
    """Guards against slots, tasks, usages, durations or reservations changed by a question."""
    pool = make_busy_pool()
    jobs = [
        pool.submit(large(3), account="b"),
        pool.submit(small(40)),
        pool.submit(small(2, gang=True), needs_advice=True),
    ]
    given = make_job("given", small(3), large(2, depends_on=(0,)), account="new", queue="new")
    before = pool.dump()
    for job in (*jobs, *pool.jobs, given):
        pool.explain(job)
    assert pool.dump() == before


def test_a_reservation_is_named_and_gives_the_expected_start():
    """Guards against room that is shown as free although it is held for a larger task."""
    pool = make_busy_pool()
    reserved = set(pool.placement.pools["pool"].by_upstream)
    holder = pool.explain(pool.jobs[-1]).tasks[0]
    assert holder.reason == "no upstream has room"
    assert holder.start_in_ms is not None and 0 < holder.start_in_ms <= 3_000
    for slot in pool.slots:
        slot.entry = evolve(slot.entry, draining=slot.entry.upstream_id not in reserved)
    # Beside the reserved room, nothing remains free once the short runs have ended.
    long = make_job("given", StepSpec(1, SMALL, 60_000))
    found = lacks(pool.explain(long))
    assert {found[upstream_id] for upstream_id in reserved} == {("its room is reserved",)}


def test_without_learned_durations_the_expected_start_is_unknown():
    """Guards against an expected start that nothing supports."""
    pool = Pool()
    for slot in pool.slots:
        fill(pool, slot)
    task = pool.explain(pool.submit(large())).tasks[0]
    assert task.reason == "no upstream has room" and task.start_in_ms is None


CASES = [
    ("lease", {"known": False}, {}, "has not listed"),
    ("lease", {"listed": False}, {}, "not registered"),
    ("lease", {"outdated": True}, {}, "earlier incarnation"),
    ("lease", {"unknown_run_count": 1}, {}, "unknown tasks"),
    ("health", {"answering": False}, {}, "does not answer"),
    ("health", {"full_until_ms": NOW_MS + 50}, {}, "50 ms"),
    ("cordoned", {"cordoned": True}, {}, "planned stop"),
    ("evacuated", {"evacuated": True}, {}, "dc is evacuated"),
    ("room", {"free": Demand(1_000, 128_000)}, {}, "cpu millicores 1000 of 2000"),
    ("label", {}, {"label": "gpu"}, "no label gpu"),
]


@pytest.mark.parametrize(("check", "slot_changes", "step_changes", "text"), CASES)
def test_what_an_upstream_lacks_is_named(check, slot_changes, step_changes, text):
    """Guards against an upstream that does not admit a task without the reason for it."""
    pool = Pool()
    for name, value in slot_changes.items():
        setattr(pool.slots[0], name, value)
    explanation = pool.explain(pool.submit(small(**step_changes)))
    (lack,) = lacks(explanation)["i-0"]
    assert text in lack
    assert check in CHECKS
    assert explanation.tasks[0].upstream_id == ("" if "label" in step_changes else "i-1")


def test_draining_upstreams_and_those_without_a_link_are_named():
    """Guards against an upstream that looks usable although nothing can be sent to it."""
    pool = Pool()
    pool.slots[0].entry = evolve(pool.slots[0].entry, draining=True)
    job = pool.submit(small())
    explanation = explain(job, pool.state(unlinked=("i-1",)))
    assert lacks(explanation) == {
        "i-0": ("draining",),
        "i-1": ("the leader has no link to it",),
    }
    assert not explanation.tasks[0].upstream_id


def test_spread_tickets_and_earlier_runs_are_named():
    """Guards against limits of a step or of a task that are not shown."""
    pool = Pool()
    spread = pool.submit(small(3, max_per_upstream_count=1))
    third = pool.explain(spread).tasks[2]
    assert [c.lacks for c in third.candidates] == 2 * [("has 1 of at most 1 tasks",)]
    advised = pool.submit(small(), needs_advice=True)
    assert set(lacks(pool.explain(advised)).values()) == {("no ticket",)}
    bound = pool.submit(small())
    bound.steps[0, 0].tasks[0].bound_to = "i-9"
    explanation = pool.explain(bound)
    assert "still start at i-9" in lacks(explanation)["i-0"][0]
    assert "may still be carried out" in explanation.tasks[0].reason


def test_a_limit_of_the_account_is_named():
    """Guards against room that is shown as usable above an account's limit."""
    pool = Pool()
    pool.usages["a"] = Usage(Demand(1_000), Demand(2_500))
    task = pool.explain(pool.submit(small())).tasks[0]
    assert task.reason == "the account is at its limit" and not task.upstream_id
    assert {c.lacks for c in task.candidates} == {("the account is at its limit",)}


def test_a_candidate_lacks_something_exactly_if_the_placement_does_not_choose_it():
    """Guards against a check that the placement has and the explanation has not."""
    step = make_job("1", small()).steps[0, 0]
    linked = frozenset({"i-0"})
    for _, changes, _, _ in CASES:
        trial = Trial(step.tasks[0], {}, Usage(), linked, NOW_MS)
        slot = evolve(make_slot("i-0"), **changes)
        chosen = assignment.choose_slot(
            step.tasks[0], [slot], {}, NOW_MS, assignment.home_first, None
        )
        assert (chosen is not None) == (not describe_candidate(slot, trial).lacks)


def test_degraded_upstreams_are_ranked_last():
    """Guards against a choice that cannot be understood from the candidates."""
    pool = Pool()
    pool.slots[0].slow = True
    pool.slots[1].cold_until_ms = NOW_MS + 1
    task = pool.explain(pool.submit(small())).tasks[0]
    notes = {c.upstream_id: c.ranked_last for c in task.candidates}
    assert task.upstream_id == "i-1" and notes == {"i-0": ("degraded",), "i-1": ("cold",)}


def test_the_order_of_service_is_told():
    """Guards against a wrong position among the waiting steps, and against an ignored limit."""
    pool = Pool(upstream_count=8)
    pool.submit(small(70))
    last = pool.submit(small(2), priority=1)
    explanation = pool.explain(last)
    task = explanation.tasks[0]
    assert (task.order, task.ahead_count, explanation.step_count) == (2, 70, 2)
    assert task.reason == PASS_FULL and not task.upstream_id


def test_tasks_that_cannot_be_placed_yet_say_why():
    """Guards against an upstream named for a task that waits for something else."""
    pool = Pool()
    job = pool.submit(small(), small(depends_on=(0,)))
    assert [task.reason for task in pool.explain(job).tasks] == ["", NOT_READY]
    gang = pool.submit(small(2, gang=True))
    gang.steps[0, 0].tasks[1].retry_ms = NOW_MS + 40
    reasons = [task.reason for task in pool.explain(gang).tasks]
    assert reasons == [GANG_INCOMPLETE, "its next run may start in 40 ms"]
    pool.start(job.steps[0, 0].tasks[0], pool.slots[1])
    running = pool.explain(job).tasks[0]
    assert (running.state, running.upstream_id, running.order) == ("running", "i-1", 0)
    pool.held = "held"
    assert pool.explain(pool.submit(small())).tasks[0].reason == "held"


def test_an_explanation_is_bounded():
    """Guards against an answer that grows with the pool and the job."""
    pool = Pool(upstream_count=CANDIDATE_LIMIT_COUNT + 5)
    explanation = pool.explain(pool.submit(small(TASK_LIMIT_COUNT + 3)))
    assert len(explanation.tasks) == TASK_LIMIT_COUNT and explanation.omitted_count == 3
    assert {len(task.candidates) for task in explanation.tasks} == {CANDIDATE_LIMIT_COUNT}
    assert {task.omitted_count for task in explanation.tasks} == {5}
    lines = list(placequery.describe(json.loads(json.dumps(asdict(explanation)))))
    assert len(lines) == 2 + TASK_LIMIT_COUNT * (2 + CANDIDATE_LIMIT_COUNT)


def test_a_job_too_large_for_a_query_is_refused_by_the_command(tmp_path):
    """Guards against a request line that the listener cuts off."""
    path = tmp_path / "job.json"
    path.write_text(json.dumps({"spec": "x" * 4_000, "steps": JOB["steps"]}))
    assert "xxx" not in placequery.query_of_file(path, "q", "")
    path.write_text(json.dumps({"steps": 200 * JOB["steps"]}))
    with pytest.raises(SettingsError):
        placequery.query_of_file(path, "q", "")


def test_a_job_that_is_not_due_is_described():
    """Guards against an answer without tasks that looks like a failure."""
    pool = Pool()
    answer = asdict(explain(Job(make_job("1", small()).submission), pool.state()))
    assert list(placequery.describe(answer))[1:] == ["no occurrence of the job is due"]


async def explain_place(node, *args):
    """Run the command against the peer address of an entry VM."""
    command = ["explain", "place", "--peer", node.opened.settings.peer_address, *args]
    return await asyncio.to_thread(CliRunner().invoke, cli.app, command)


async def test_the_command_explains_and_sends_and_stores_nothing(
    run_node, add_worker, store, tmp_path
):
    """Guards against a question that starts, stores or accepts anything, at any entry VM."""
    worker = await add_worker(worker=TaskWorker(work_ms=0, cpu_millicores=4_000))
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    assert await wait_until(lambda: len(worker.starts) == 1)
    other = await run_node("node-2")
    assert await wait_until(lambda: other.opened.node.find_other_leader())
    path = tmp_path / "job.json"
    path.write_text(json.dumps(JOB))
    topics = ("keyed.intake", "keyed.state")
    scheduler = node.scheduler
    task = scheduler._jobs[JOB_ID].steps[0, 0].tasks[0]
    assert await wait_until(lambda: task.state == "running")
    # The commit of the assignment may still be under way.
    assert await wait_until(lambda: not scheduler._committing and not scheduler._dirty_steps)
    stored = [dict(store.standin.newest(topic)) for topic in topics]
    jobs, starts = list(scheduler._jobs), list(worker.starts)
    for asked in (node, other):
        result = await explain_place(asked, "--job", JOB_ID)
        assert result.exit_code == 0, result.output
        assert f"{JOB_ID}.0.0.0 running at i-1" in result.stdout
        assert f"{JOB_ID}.0.0.1 waits: no upstream has room" in result.stdout
        assert "    i-1: room: cpu millicores 1000 of 3000" in result.stdout
        options = ("--file", str(path), "--queue", "q", "--account", "shop")
        result = await explain_place(asked, *options)
        assert result.exit_code == 0, result.output
        assert "job given in pool pool, 2 waiting steps" in result.stdout
        assert "given.0.0.0 waits: no upstream has room; step " in result.stdout
        result = await explain_place(asked, "--job", "00000000000000bb")
        assert result.exit_code == 1 and "knows no job" in result.stderr
        result = await explain_place(asked, "--file", str(path), "--queue", "other")
        assert result.exit_code == 1 and "no queue other" in result.stderr
    assert [dict(store.standin.newest(topic)) for topic in topics] == stored
    assert list(scheduler._jobs) == jobs and worker.starts == starts


async def test_an_entry_vm_without_a_leader_says_so(run_node, add_worker, store):
    """Guards against a question that waits for a leader, or is forwarded for ever."""
    node = await run_node()
    await node.wait_to_lead()
    scheduler, node.opened.node.scheduler = node.scheduler, None
    result = await explain_place(node, "--job", JOB_ID)
    node.opened.node.scheduler = scheduler
    assert result.exit_code == 1 and "knows no leader" in result.stderr
    result = await explain_place(node)
    assert result.exit_code == 2
