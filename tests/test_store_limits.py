"""Records, writes and reports that are larger than the store or the leader takes."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from standins.polling import wait_until
from standins.taskworker import Run, TaskWorker
from tarragoncart import intake
from tarragoncart.bodytrim import SHORT_STRING_BYTES, StringTrimmer
from tarragoncart.errors import StoreConflictError, StoreRefusedError, StoreRejectedError
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.jobmemory import LeaderMemory, SharedMemory
from tarragoncart.jobmodel import Job
from tarragoncart.mailbox import Actor, new_reply, receives
from tarragoncart.platform.store import Store
from tarragoncart.platform.upstreams import UpstreamClient
from tarragoncart.staterecords import decode_step, encode_step
from tarragoncart.storage import Appended, StoreLimits, record_bytes
from tarragoncart.tasks import CHECKPOINT_LIMIT_CHARS
from tarragoncart.timer import LoopTimer
from tarragoncart.writer import REJECTED, STORED, RecordRejected, Write, Writer

WIDE_ID, SMALL_ID = "00000000000f0001", "00000000000f0002"
WIDE_STEP = {"count": 300, "cpu": 100, "mem-mb": 64, "est-ms": 90_000, "checkpointing": True}
SMALL_JOB = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "mem-mb": 256, "est-ms": 30}]}


@pytest.fixture
def run_wide_step(run_node, add_worker, store):
    """Return a function that runs a step of 300 tasks on three workers, with saved progress."""

    async def run(saved_chars):
        workers = [await add_worker(f"i-{n}", TaskWorker(work_ms=0)) for n in range(3)]
        node = await run_node()
        job = {"spec": "text", "steps": [WIDE_STEP]}
        assert await node.caller.submit(f"/q/{WIDE_ID}", job) == 200
        assert await wait_until(lambda: sum(len(w.runs) for w in workers) == 300, 20.0)
        for worker in workers:
            for name, run in worker.runs.items():
                run.saved = name.ljust(saved_chars, "c")
        return workers, node

    return run


def drain(store, worker_id):
    """Let a worker report that it drains."""
    entry = json.loads(store.standin.newest("keyed.servers")[worker_id])
    store.standin.put("keyed.servers", worker_id, entry | {"phase": "draining", "sequence": 9})


# Saved progress with which the record of the step fits, with which it does not, and of which a
# single value is too long to be kept.
@pytest.mark.parametrize("saved_chars", [100, 1_000, 50_000])
async def test_saved_progress_of_a_wide_step_does_not_hold_up_other_jobs(
    run_wide_step, store, saved_chars
):
    """Guards against a leader that repeats an append that the store can never take (LOST)."""
    workers, node = await run_wide_step(saved_chars)
    await asyncio.sleep(1.0)
    drain(store, "i-0")
    assert await wait_until(lambda: not workers[0].runs, 10.0)
    moved = {task for task, _, outcome in workers[0].ends if outcome == "stopped"}
    for worker in workers[1:]:
        worker.work_ms = 30.0
    assert await node.caller.submit(f"/q/{SMALL_ID}", SMALL_JOB) == 200
    assert await node.caller.phase(f"/q/{SMALL_ID}", "completed") == "completed"

    def started_again():
        return {task for w in workers[1:] for task, run, _ in w.starts if run > 1}

    assert moved and await wait_until(lambda: moved <= started_again(), 10.0)
    resumed = {task for w in workers[1:] for task, run, saved in w.checkpoints if run > 1 and saved}
    assert resumed == (moved if saved_chars < CHECKPOINT_LIMIT_CHARS else set())
    assert store.standin.rejected_count == 0
    values = store.standin.newest("keyed.state")
    assert len(values[f"{WIDE_ID}.0.0"]) <= 262_144


@pytest.mark.parametrize("told", [True, False])
async def test_a_state_that_can_never_be_stored_costs_only_its_job(
    run_node, add_worker, store, told
):
    """Guards against one job whose record the store rejects and that blocks all others (LOST).

    The limit is known from the settings, or only the store knows it.
    """
    store.standin.record_bytes = 2_000
    worker = await add_worker(worker=TaskWorker(work_ms=0))
    node = await run_node(**({"store_record_bytes": 2_000} if told else {}))
    job = {"spec": "text", "steps": [WIDE_STEP | {"count": 150}]}
    assert await node.caller.submit(f"/q/{WIDE_ID}", job) == 200
    assert await node.caller.phase(f"/q/{WIDE_ID}", "failed") == "failed"
    worker.work_ms = 30.0
    assert await node.caller.submit(f"/q/{SMALL_ID}", SMALL_JOB) == 200
    assert await node.caller.phase(f"/q/{SMALL_ID}", "completed") == "completed"
    assert (store.standin.rejected_count > 0) is not told
    assert await wait_until(lambda: not worker.runs, 5.0)


async def test_an_acceptance_that_exceeds_a_record_only_with_its_key_is_refused(run_node, store):
    """Guards against a check without the key: the store refuses the record and its batch."""
    node = await run_node(store_record_bytes=1_500)
    store.standin.record_bytes = 1_500
    empty = {"spec": "", "steps": [{"count": 1}]}
    assert await node.caller.submit(f"/q/{SMALL_ID}", empty) == 200
    key, value = next(
        (key, value)
        for key, value in store.standin.newest(intake.TOPIC).items()
        if key.endswith(SMALL_ID)
    )
    # The time of acceptance has the same number of digits.
    room = 1_500 - record_bytes((key, value))
    fits = empty | {"spec": room * "x"}
    statuses = await asyncio.gather(
        node.caller.submit("/q/00000000000f0003", fits),
        node.caller.submit("/q/00000000000f0004", empty | {"spec": (room + 1) * "x"}),
        node.caller.submit("/q/00000000000f0005", empty),
    )
    assert statuses == [200, 413, 200]
    assert store.standin.rejected_count == 0


class LimitedStore:
    """Store in memory that rejects records for good, and notes all appends."""

    def __init__(self, rejected_keys=(), refuse_count=0):
        self.rejected_keys = set(rejected_keys)
        self.refuse_count = refuse_count
        self.appends = []
        self.records = []
        self.sequences = []

    async def append(self, topic, records, *, part=0, producer=None, expected_end=None):
        await asyncio.sleep(0)
        records = tuple(records)
        if self.refuse_count:
            self.refuse_count -= 1
            raise StoreRefusedError("status 503", step="append")
        self.appends.append(records)
        if self.rejected_keys & {key for key, _ in records}:
            raise StoreRejectedError("status 413", step="append")
        if producer.sequence != len(self.sequences):
            raise StoreConflictError("seq", len(self.sequences), step="append")
        self.sequences.append(producer.sequence)
        self.records += records
        return Appended(0, len(self.records))

    async def close(self):
        """Do nothing."""


class Listener(Actor):
    """Notes the records that were rejected."""

    def __init__(self):
        super().__init__("listener")
        self.keys = []

    @receives(RecordRejected)
    def on_rejected(self, message):
        self.keys.append(message.key)


@pytest.fixture
async def write():
    """Return a function that writes to a store and returns the outcomes and the rejected keys."""
    actors = []

    async def run(store, *writes, listens=True):
        limits = StoreLimits(record_bytes=1_000, call_bytes=4_000)
        writer = Writer("w", store, "t", "p", 1, LoopTimer(), retry_refused=True, limits=limits)
        listener = Listener()
        actors.extend((writer, listener))
        writer.start()
        listener.start()
        replies = [new_reply() for _ in writes]
        for records, reply in zip(writes, replies, strict=True):
            writer.tell(Write(tuple(records), reply, listener if listens else None))
        outcomes = await asyncio.wait_for(asyncio.gather(*replies), 5.0)
        await asyncio.sleep(0)
        return outcomes, listener.keys

    yield run
    for actor in actors:
        await actor.stop()


def records_of(*sizes, start=0):
    return [(f"k{start + n:03}", size * b"v") for n, size in enumerate(sizes)]


async def test_a_write_larger_than_a_call_is_stored_in_several(write):
    """Guards against an append beyond the size of a call, which the store never takes."""
    store = LimitedStore()
    records = records_of(*[900] * 20)
    outcomes, _ = await write(store, records, records_of(10, start=50), [])
    assert outcomes == [STORED] * 3
    assert store.records == records + records_of(10, start=50)
    for append in store.appends:
        assert sum(4 + record_bytes(record) for record in append) <= 4_000


@pytest.mark.parametrize("listens", [True, False])
@pytest.mark.parametrize("bad", [{"k003"}, {"k000", "k011"}, {"k020"}, set()])
async def test_only_what_the_store_rejects_is_left_out(write, bad, listens):
    """Guards against a rejected record that is sent again for good, or that takes others along."""
    store = LimitedStore(bad)
    first, second, third = (records_of(*[50] * 10, start=start) for start in (0, 10, 20))
    outcomes, keys = await write(store, first, second, third[:1], listens=listens)
    stored = [key for key, _ in store.records]
    assert stored == [key for key, _ in first + second + third[:1] if key not in bad]
    assert keys == (sorted(bad) if listens else [])
    for outcome, records in zip(outcomes, (first, second, third[:1]), strict=True):
        rejected = not listens and bad & {key for key, _ in records}
        assert outcome == (REJECTED if rejected else STORED)
    # No append is repeated unchanged.
    assert len(store.appends) == len(set(store.appends))


async def test_a_record_beyond_the_limits_is_not_sent(write):
    """Guards against a call of the store for what it can never take."""
    store = LimitedStore(refuse_count=2)
    long_key = ("k" * 256, b"v")
    records = [*records_of(995), *records_of(996, start=1), long_key, *records_of(5, start=2)]
    outcomes, keys = await write(store, records, [long_key])
    assert outcomes == [STORED, STORED]
    assert keys == ["k001", long_key[0], long_key[0]]
    assert [key for key, _ in store.records] == ["k000", "k002"]
    assert all(record_bytes(record) <= 1_000 for append in store.appends for record in append)


@pytest.mark.parametrize(
    ("status", "final"), [(400, True), (413, True), (429, False), (503, False), (507, False)]
)
async def test_refusals_that_can_change_are_told_from_those_that_cannot(store, status, final):
    """Guards against a final refusal that counts as one that a repetition may end."""
    client = Store(store.address)
    store.standin.faults.refuse_status = status
    with pytest.raises(StoreRefusedError) as raised:
        await client.append("t", [("k", b"v")])
    await client.close()
    assert isinstance(raised.value, StoreRejectedError) is final


@pytest.mark.parametrize(
    "records",
    [[("k" * 256, b"")], [("k", 99 * b"v")], [(f"k{n}", 80 * b"v") for n in range(5)]],
    ids=["key", "record", "call"],
)
async def test_no_path_sends_the_store_what_it_can_never_take(store, records):
    """Guards against a writer beside the group commit that knows no limits."""
    client = Store(store.address, StoreLimits(100, 400))
    with pytest.raises(StoreRejectedError):
        await client.append("t", records)
    await client.append("t", [("k", 98 * b"v")])
    await client.close()
    assert store.standin.append_count == 1


def make_step(count, gang=False):
    spec = StepSpec(count, Demand(1), gang=gang, checkpointing=True)
    submission = Submission("a", "q", "pool", "shop", 0, 3, 1.0, 0, 0, JobSpec("", (spec,)))
    return Job(submission).release(0)[0]


@pytest.mark.parametrize("seed", range(6))
def test_a_record_of_a_step_keeps_to_its_size_and_to_the_states(seed):
    """Guards against records beyond the limit, and against states that are left out for it."""
    rng = random.Random(seed)
    step, restored = make_step(200), make_step(200)
    for task in step.tasks:
        task.run, task.state = rng.randint(1, 20), rng.choice(["started", "waiting", "done"])
        task.upstream_id = "i-1" if task.state == "started" else ""
        task.history.checkpoint = rng.choice(["", 'é"\\', "c"]) * rng.randint(0, 400)
    max_bytes = rng.randint(9_000, 40_000)
    whole, encoded = encode_step(step), encode_step(step, max_bytes)
    assert len(encoded.value) <= max_bytes < len(whole.value)
    assert encoded.left_out_count and not whole.left_out_count
    decode_step(restored, encoded.value)

    def states(step):
        tasks = [step.tasks.find(index) for index in range(200)]
        return [(t.state, t.run, t.upstream_id) for t in tasks]

    assert states(restored) == states(step)
    kept = [t.history.checkpoint for t in restored.tasks]
    saved = [t.history.checkpoint if t.state != "done" else "" for t in step.tasks]
    assert all(value in ("", own) for value, own in zip(kept, saved, strict=True))
    left_out = [own for value, own in zip(kept, saved, strict=True) if own and not value]
    assert len(left_out) == encoded.left_out_count


def test_the_saved_progress_of_a_gang_is_stored_once():
    """Guards against a record with the same value for each of a thousand tasks."""
    step, restored = make_step(1_000, gang=True), make_step(1_000, gang=True)
    for task in step.tasks:
        task.run, task.state, task.upstream_id = 1, "started", "i-1"
    step.tasks[0].history.checkpoint = 1_000 * "c"
    value = encode_step(step).value
    assert value.count(1_000 * b"c") == 1
    decode_step(restored, value)
    assert {task.history.checkpoint for task in restored.tasks} == {1_000 * "c"}


def test_saved_progress_keeps_to_its_memory():
    """Guards against checkpoints that exceed the memory of the leader."""
    memory = LeaderMemory(
        *(SharedMemory(float("inf")) for _ in range(2)),
        *(SharedMemory(limit) for limit in (20_000, float("inf"))),
    )
    spec = StepSpec(100, Demand(1), checkpointing=True)
    submission = Submission("a", "q", "pool", "shop", 0, 3, 1.0, 0, 0, JobSpec("", (spec,)))
    job = Job(submission, memory=memory)
    step = job.release(0)[0]
    kept = [step.tasks.keep_checkpoint(task, 400 * "c") for task in step.tasks]
    assert 0 < sum(kept) < 50
    assert memory.checkpoints.used_bytes <= 10_000
    first = step.tasks[0]
    # A value that is not kept leaves the one before it, from which a run can resume as well.
    assert not step.tasks.keep_checkpoint(first, 2_000 * "d")
    assert first.history.checkpoint == 400 * "c"
    assert step.tasks.keep_checkpoint(first, "d")
    assert not step.tasks.keep_checkpoint(first, (CHECKPOINT_LIMIT_CHARS + 1) * "e")
    first.state = "done"
    step.tasks.condense(first)
    job.condense()
    assert memory.checkpoints.used_bytes == 0


def random_json(rng, depth=3):
    kind = rng.randrange(6 if depth else 3)
    if kind == 0:
        return rng.randrange(10**9)
    if kind <= 2:
        return rng.choice(['"', "\\", "é", "c", "\n"]) * rng.choice([0, 3, 100, 400, 1_500])
    if kind == 3:
        return {str(n): random_json(rng, depth - 1) for n in range(rng.randrange(5))}
    return [random_json(rng, depth - 1) for n in range(rng.randrange(8))]


def shorten(value, max_bytes):
    """Return a decoded body without the strings that are too long when encoded."""
    match value:
        case str():
            return "" if len(json.dumps(value)) - 2 > max_bytes else value
        case dict():
            return {key: shorten(item, max_bytes) for key, item in value.items()}
        case list():
            return [shorten(item, max_bytes) for item in value]
    return value


@pytest.mark.parametrize("seed", range(30))
def test_long_strings_are_left_out_of_a_body_however_it_arrives(seed):
    """Guards against a body that becomes invalid, or loses more than its long strings."""
    rng = random.Random(seed)
    value = [random_json(rng) for _ in range(10)]
    body = json.dumps(value).encode()
    trimmer = StringTrimmer(1_000, 10**9)
    position = 0
    while position < len(body):
        size = rng.choice([1, 2, 50, 5_000])
        trimmer.feed(body[position : position + size])
        position += size
    assert json.loads(trimmer.body()) == shorten(value, 1_000)


def test_strings_beyond_the_total_size_are_left_out():
    """Guards against a body of many strings that each are short enough."""
    body = json.dumps([300 * "a", "b", 300 * "c", SHORT_STRING_BYTES * "d"]).encode()
    trimmer = StringTrimmer(1_000, 500)
    trimmer.feed(body)
    assert json.loads(trimmer.body()) == [300 * "a", "b", "", SHORT_STRING_BYTES * "d"]
    assert trimmer.left_out_count == 1


@pytest.mark.parametrize("saved_chars", [10, 9_000, 100_000])
async def test_a_report_with_much_saved_progress_lists_its_runs(serve_standin, saved_chars):
    """Guards against an upstream that counts as silent, or a leader that ends by its memory."""
    worker = TaskWorker(work_ms=0)
    served = await serve_standin(worker)
    client = UpstreamClient("i-1", served.address)
    for number in range(300):
        name = f"{WIDE_ID}.0.0.{number}"
        worker.runs[name] = Run(name, 1, float("inf"), "done", saved=saved_chars * "c")
    report = await client.renew_lease(until_ms=None, acknowledged=0, wait_ms=0, token=1)
    await client.close()
    assert {run.task_name for run in report.live} == set(worker.runs)
    kept = sum(len(run.checkpoint) for run in report.live)
    assert kept <= 1024 * 1024
    assert (kept == 300 * saved_chars) is (saved_chars == 10)
