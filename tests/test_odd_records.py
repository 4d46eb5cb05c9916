"""Entry VMs that read records, answers and requests which they cannot decode.

Each record or answer costs only itself: the others are applied, and no actor stops.
"""

from __future__ import annotations

import asyncio
import json
import logging

import pytest
from aiohttp import web
from attrs import frozen

from standins.polling import wait_until
from standins.taskworker import TaskWorker
from tarragoncart.entrance import CurrentLeader
from tarragoncart.intake import IntakeRead
from tarragoncart.leadership import Leader
from tarragoncart.orders import RecentOrders
from tarragoncart.scheduler import Scheduler
from tarragoncart.storage import Entry

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "00000000000000aa"
TASK = {"count": 2, "cpu": 1_000, "mem-mb": 256, "est-ms": 30}
JOB = {"spec": "text", "steps": [TASK]}
REGISTRATION = {
    "backend": "pool",
    "address": "127.0.0.1:9",
    "zone": "dc-1",
    "phase": "ready",
    "capacity": {"cpu": 16_000, "mem-mb": 65_536, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 5,
}


def registration(**changes):
    """Return the bytes of a registration; a value of bytes replaces the JSON of its field."""
    fields = REGISTRATION | changes
    parts = [
        json.dumps(name).encode() + b":" + (v if isinstance(v, bytes) else json.dumps(v).encode())
        for name, v in fields.items()
    ]
    return b"{" + b",".join(parts) + b"}"


NESTED = b"[" * 200_000 + b"]" * 200_000
# Nested less deeply than the decoder allows, but too deeply for a function that recurses.
NESTED_ONCE_MORE = b"[" * 900 + b"]" * 900
ODD_BODIES = {
    "empty": b"",
    "nested list": NESTED,
    "nested object": b'{"a":' * 200_000 + b"1" + b"}" * 200_000,
    "list": b"[1,2]",
    "number": b"7",
    "null": b"null",
    "no UTF-8": b"\xff\xfe\x00",
    "NaN": b'{"a":NaN}',
    "cut off": b'{"a":[1,',
}
ODD_REGISTRATIONS = {
    **{name: body for name, body in ODD_BODIES.items() if body},
    "nested field": registration(extra=NESTED),
    "nested pool": registration(backend=NESTED_ONCE_MORE),
    "nested label": registration(labels=b"[" + NESTED_ONCE_MORE + b"]"),
    "infinite start": registration(born=b"1e999"),
    "start beyond 64 bits": registration(born=2**70),
    "start in a distant future": registration(born=2**52),
    "negative start": registration(born=-1),
    "5,000 digits": registration(born=b"1" * 5_000),
    "port out of range": registration(address="127.0.0.1:99999"),
    "port 0": registration(address="127.0.0.1:0"),
    "no port number": registration(address="127.0.0.1:abc"),
    "no host": registration(address=":80"),
    "address with a path": registration(address="127.0.0.1:80/x"),
    "negative capacity": registration(capacity={"cpu": -5}),
    "capacity beyond 64 bits": registration(capacity={"cpu": 2**70}),
    "lone surrogate": registration(zone=b'"\\ud800"'),
    "label of another type": registration(labels=[["a"]]),
    "labels of another type": registration(labels={"a": 1}),
    "unknown phase": registration(phase="odd"),
}


@frozen
class ConstantPeer:
    """An entry VM that answers each query with the same body."""

    body: bytes

    async def handle(self, request):
        """Answer a query."""
        return web.Response(body=self.body)


@pytest.fixture
def run_job():
    """Return a function that submits a job and returns its last phase."""

    async def run(node, job_id=JOB_ID, timeout_s=5.0):
        status = await node.caller.submit(f"/q/{job_id}", JOB)
        if status != 200:
            return status
        return await node.caller.phase(f"/q/{job_id}", "completed", timeout_s)

    return run


@pytest.fixture
def wait_for():
    """Return a function that waits until a condition holds and returns whether it does."""
    return wait_until


@pytest.mark.parametrize("body", ODD_REGISTRATIONS.values(), ids=ODD_REGISTRATIONS)
async def test_an_odd_registration_costs_only_itself(run_node, add_worker, store, run_job, body):
    """Guards against a leader without upstreams, as one record ended the processing of all."""
    store.standin.put_bytes("keyed.servers", "i-0", body)
    worker = await add_worker("i-1")
    node = await run_node()
    assert await run_job(node) == "completed"
    assert len(worker.starts) == 2
    assert set(node.scheduler._upstreams) == {"i-1"}


async def test_odd_registrations_that_come_later_cost_only_themselves(
    run_node, add_worker, store, run_job, wait_for, caplog
):
    """Guards against a follower that ends, and against a log line for each copy of a record."""
    node = await run_node()
    await add_worker("i-1")
    assert await run_job(node) == "completed"
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            for body in ODD_REGISTRATIONS.values():
                store.standin.put_bytes("keyed.servers", "i-0", body)
        await add_worker("i-2")
        assert await wait_for(lambda: "i-2" in node.scheduler._upstreams)
    skipped = [record for record in caplog.records if record.message == "record skipped"]
    assert [record.key for record in skipped] == ["i-0"]
    assert skipped[0].offset is not None
    assert not [record for record in caplog.records if record.levelno >= logging.ERROR]


@pytest.mark.parametrize("body", ODD_REGISTRATIONS.values(), ids=ODD_REGISTRATIONS)
async def test_a_known_upstream_keeps_its_last_good_registration(
    run_node, add_worker, store, run_job, body
):
    """Guards against an upstream that is lost because another writer used its key."""
    worker = await add_worker("i-1")
    node = await run_node()
    assert await run_job(node) == "completed"
    store.standin.put_bytes("keyed.servers", "i-1", body)
    await asyncio.sleep(0.3)
    assert await run_job(node, OTHER_JOB_ID) == "completed"
    assert len(worker.starts) == 4


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
async def test_a_leader_takes_over_with_odd_records_in_all_topics(
    run_node, add_worker, store, run_job, body
):
    """Guards against a take-over, a probe or a survey that one record of another writer ends."""
    if body:
        for key in (JOB_ID, f"{JOB_ID}.0.0", f"{OTHER_JOB_ID}.0.0", f"{JOB_ID}.x.0", "x.y"):
            store.standin.put_bytes("keyed.state", key, body)
        for key in ("fleet/ordered", "fleet/wave/1", "fleet/odd"):
            store.standin.put_bytes("keyed.state", key, body)
        store.standin.put_bytes("keyed.intake", f"j/{JOB_ID}", body)
        store.standin.put_bytes("keyed.intake", f"c/{JOB_ID}", body, 1)
        store.standin.put_bytes("keyed.intake", "odd", body)
        store.standin.put_bytes("keyed.candidates", "node-0", body)
        store.standin.put_bytes("keyed.leader", "leader", body)
        store.standin.put_bytes("keyed.op", "wave/1", body)
    worker = await add_worker("i-1")
    node = await run_node()
    assert await run_job(node, "00000000000000bb", 8.0) == "completed"
    assert len(worker.starts) == 2


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (f"{JOB_ID}.0.0", [[0, "p", 1, "i-1"], [99, "p", 1, "i-1"]]),
        (f"{JOB_ID}.0.0", [[0, "?", 1]]),
        (f"{JOB_ID}.0.0", [["0", "p", 1, "i-1"]]),
        (f"{JOB_ID}.0.0", [[0, "p", 2**70, "i-1"]]),
        (f"{JOB_ID}.0.0", {"0": "p"}),
        (f"{JOB_ID}.0.7", [[0, "p", 1, "i-1"]]),
        (f"{JOB_ID}.99999999.0", [[0, "p", 1, "i-1"]]),
        (f"{JOB_ID}.-1.0", [[0, "p", 1, "i-1"]]),
    ],
)
async def test_a_step_whose_state_cannot_be_read_does_not_run_again(
    run_node, add_worker, store, run_job, key, value
):
    """Guards against tasks that run twice, or a take-over that never ends, after an odd record."""
    first = await run_node("node-1")
    assert await first.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    await first.stop()
    store.standin.put("keyed.state", key, value)
    worker = await add_worker("i-1")
    second = await run_node("node-2")
    assert await run_job(second, OTHER_JOB_ID, 8.0) == "completed"
    own = [task for task, _, _ in worker.starts if task.startswith(JOB_ID)]
    if key == f"{JOB_ID}.0.0":
        assert own == []
        assert (await second.caller.call("DELETE", f"/q/{JOB_ID}"))[0] == 200
        assert await second.caller.phase(f"/q/{JOB_ID}", "cancelled") == "cancelled"


@pytest.fixture
def fail_for_job(monkeypatch):
    """Return a function that lets a method of the scheduler fail for one job."""

    def patch(name, job_id):
        method = getattr(Scheduler, name)

        def call_or_fail(scheduler, job, *args):
            if getattr(job, "job_id", job) == job_id:
                raise RuntimeError("injected")
            return method(scheduler, job, *args)

        monkeypatch.setattr(Scheduler, name, call_or_fail)

    return patch


async def test_a_cancellation_that_fails_costs_only_itself(run_node, wait_for, fail_for_job):
    """Guards against cancellations that are lost because another one in the message failed."""
    node = await run_node()
    scheduler = await node.wait_to_lead()
    for job_id in (JOB_ID, OTHER_JOB_ID):
        assert await node.caller.submit(f"/q/{job_id}", JOB) == 200
    assert await wait_for(lambda: scheduler._jobs.keys() == {JOB_ID, OTHER_JOB_ID})
    fail_for_job("_cancel_job", JOB_ID)
    entries = [(0, Entry(f"c/{job_id}", b"1", 0)) for job_id in (JOB_ID, OTHER_JOB_ID)]
    scheduler.tell(IntakeRead(tuple(entries), scheduler._intake_as_of_ms))
    assert await node.caller.phase(f"/q/{OTHER_JOB_ID}", "cancelled") == "cancelled"


async def test_a_job_that_cannot_be_restored_costs_only_itself(
    run_node, add_worker, run_job, fail_for_job
):
    """Guards against a take-over that never ends because the restoration of one job failed."""
    first = await run_node("node-1")
    assert await first.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    await first.stop()
    fail_for_job("_admit", JOB_ID)
    await add_worker("i-1")
    second = await run_node("node-2")
    assert await run_job(second, OTHER_JOB_ID, 8.0) == "completed"


async def test_a_stored_cancellation_that_fails_costs_only_itself(run_node, store, fail_for_job):
    """Guards against tasks of cancelled jobs that a new leader starts as another one failed."""
    first = await run_node("node-1")
    for job_id in (JOB_ID, OTHER_JOB_ID):
        assert await first.caller.submit(f"/q/{job_id}", JOB) == 200
    await first.stop()
    for job_id in (JOB_ID, OTHER_JOB_ID):
        store.standin.put_bytes("keyed.intake", f"c/{job_id}", b"1")
    # The store lists this one first.
    fail_for_job("_cancel_job", OTHER_JOB_ID)
    second = await run_node("node-2")
    assert await second.caller.phase(f"/q/{JOB_ID}", "cancelled", 8.0) == "cancelled"


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
async def test_a_bad_configuration_leaves_the_one_in_force(
    run_node, store, platform_config, body, wait_for
):
    """Guards against an entry VM that follows no configuration any more, or uses half of one."""
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    if body:
        store.standin.put_bytes("keyed.op", "config", body)
    for change in ({"routes": [7]}, {"tenants": {"a": 1}}, {"version": 10**30}):
        store.standin.put("keyed.op", "config", platform_config | {"version": 9} | change)
    await asyncio.sleep(0.2)
    assert (await node.caller.call("GET", f"/q/{JOB_ID}"))[0] == 200
    platform_config["version"] = 12
    platform_config["tenants"][0]["api-keys"] = ["key-2"]
    store.standin.put("keyed.op", "config", platform_config)
    assert await wait_for(lambda: node.opened.node._rules.version == 12)
    assert (await node.caller.call("GET", f"/q/{JOB_ID}", key="key-2"))[0] == 200


@pytest.mark.parametrize("path", ["/hold", "/run-start"])
@pytest.mark.parametrize(
    "body",
    [
        *ODD_BODIES.values(),
        b'{"clock-ms":"x"}',
        b'{"clock-ms":1e999,"born":1}',
        b'{"clock-ms":5,"born":1,"running":[[]],"finished":[]}',
        b'{"clock-ms":5,"born":1,"running":[],"finished":[[1,"t",1e999,"done",""]]}',
        b'{"clock-ms":5,"born":1,"running":7,"finished":[]}',
    ],
)
async def test_an_odd_answer_of_an_upstream_is_no_answer(run_node, add_worker, run_job, path, body):
    """Guards against a link that polls no more, and a start whose outcome is never known."""
    worker = TaskWorker()
    worker.faults.bodies = {path: body}
    await add_worker("i-1", worker)
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    await asyncio.sleep(0.4)
    worker.faults.bodies = {}
    assert await node.caller.phase(f"/q/{JOB_ID}", "completed", 8.0) == "completed"


@pytest.mark.parametrize("path", ["/log-read", "/log-newest", "/log-join", "/log-append"])
@pytest.mark.parametrize(
    "body",
    [
        *ODD_BODIES.values(),
        b'{"items":[{"value":"AA=="}],"end":3}',
        b'{"items":[{"key":"k","value":"A"}],"end":3}',
        b'{"items":7,"end":1e999}',
        b'{"offset":"x","end":1e999}',
        b'{"generation":1,"parts":[["keyed.leader"]]}',
        b'{"generation":1e999,"parts":[]}',
        bytes(16) + b"\x00\x00\xff\xff" + b"cut off",
        bytes(16) + b"\x00\x00\x00\x02" + b"\xffk",
    ],
)
async def test_an_odd_answer_of_the_store_is_no_answer(
    run_node, add_worker, store, run_job, path, body
):
    """Guards against followers, writers and elections that end for good with one odd answer."""
    worker = await add_worker("i-1")
    node = await run_node()
    assert await run_job(node) == "completed"
    store.standin.faults.bodies = {path: body}
    await asyncio.sleep(0.3)
    store.standin.faults.bodies = {}
    assert await run_job(node, OTHER_JOB_ID, 8.0) == "completed"
    assert len(worker.starts) == 4


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES)
async def test_an_odd_answer_of_the_leader_is_no_answer(run_node, serve_standin, wait_for, body):
    """Guards against a caller that waits until its deadline, as its request failed silently."""

    served = await serve_standin(ConstantPeer(body))
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    # Once it leads itself, nothing replaces the leader that it is told of next.
    assert await wait_for(lambda: node.scheduler is not None)
    node.opened.node.request_handler.tell(CurrentLeader(Leader("other", served.address, 9), None))
    statuses = [
        (await asyncio.wait_for(node.caller.call("GET", path), 2.0))[0]
        for path in (f"/q/{JOB_ID}", "/q/")
    ]
    assert statuses == [503, 503]


@pytest.mark.parametrize("job_id", ["x" * 300, "a.0.1", "a/b", "%ED%A0%80", "%00", "é", "", "a b"])
async def test_an_odd_job_id_is_refused(run_node, add_worker, run_job, job_id):
    """Guards against a key that the store cannot hold: it stopped the entry VM's writer."""
    await add_worker("i-1")
    node = await run_node()
    assert await run_job(node) == "completed"
    assert (await node.caller.call("POST", f"/q/{job_id}", JOB))[0] == 400
    if job_id:
        assert (await node.caller.call("GET", f"/q/{job_id}"))[0] == 410
        assert (await node.caller.call("DELETE", f"/q/{job_id}"))[0] == 410
    assert await run_job(node, OTHER_JOB_ID) == "completed"


@pytest.mark.parametrize("value", ["²", "9" * 5_000, "-1", "x", "1e9"])
async def test_an_odd_deadline_is_ignored(run_node, value):
    """Guards against an error of the server for a header that is not a number."""
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    # A job is accepted before there is a leader, but only a leader knows its phase.
    assert await node.caller.phase(f"/q/{JOB_ID}", "queued") == "queued"
    headers = {"Host": "shop.example", "Api-Key": "key-1", "Deadline-Ms": value}
    url = f"http://{node.caller.address}/q/{JOB_ID}"
    async with node.session.get(url, headers=headers) as response:
        assert response.status == 200


@pytest.mark.parametrize(
    "body",
    [
        *(body for body in ODD_BODIES.values()),
        b'{"spec":"x","steps":[{"count":2}],"first-ms":1e999}',
        b'{"spec":"x","steps":[{"count":2,"cpu":-1}]}',
        b'{"spec":"x","steps":[{"count":2,"cpu":1e300}]}',
        b'{"spec":"x","steps":[{"count":2},{"depends-on":[0.5]}]}',
        b'{"spec":"x","steps":[{"count":2},{"depends-on":"0"}]}',
        b'{"spec":"x","steps":[{"count":2,"depends-on":[1e999]}]}',
        b'{"spec":"\\ud800","steps":[{"count":2}]}',
        b'{"spec":"x","steps":[{"count":20000}]}',
        b'{"spec":"' + b"x" * 300_000 + b'","steps":[{"count":2}]}',
    ],
)
async def test_an_odd_job_is_refused_and_the_next_one_runs(run_node, add_worker, run_job, body):
    """Guards against a body that stops the handler or the writer, or that no record can hold."""
    await add_worker("i-1")
    node = await run_node()
    assert await run_job(node) == "completed"
    headers = {"Host": "shop.example", "Api-Key": "key-1"}
    url = f"http://{node.caller.address}/q/{OTHER_JOB_ID}"
    async with node.session.post(url, data=body, headers=headers) as response:
        assert response.status in (400, 413)
    assert await run_job(node, "00000000000000bb") == "completed"


def test_orders_for_vms_wait_after_a_record_that_cannot_be_read():
    """Guards against two leaders that order the same VM, as the first one's orders are unknown."""
    orders = RecentOrders.restore(3_000.0, NESTED, 10_000.0)
    assert not orders.allows("m-1", 12_999.0)
    assert orders.allows("m-1", 13_000.0)


async def test_a_full_inbox_does_not_end_a_follower(run_node, add_worker, run_job, wait_for):
    """Guards against a process that stops following a topic as its inbox was full for a moment."""
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    scheduler = await node.wait_to_lead()
    limit_count, scheduler._inbox_limit_count = scheduler._inbox_limit_count, 0
    await add_worker("i-1")
    await asyncio.sleep(0.4)
    scheduler._inbox_limit_count = limit_count
    assert await node.caller.phase(f"/q/{JOB_ID}", "completed") == "completed"


async def test_an_unexpected_error_does_not_end_a_follower(
    run_node, add_worker, run_job, monkeypatch
):
    """Guards against a loop that ends with an error which nobody expected."""
    node = await run_node()
    assert await node.caller.submit(f"/q/{JOB_ID}", JOB) == 200
    follower = (await node.wait_to_lead())._upstream_follower
    read, failures = follower._store.read, iter([ZeroDivisionError("unexpected")])

    async def fail_once(*args):
        for error in failures:
            raise error
        return await read(*args)

    monkeypatch.setattr(follower._store, "read", fail_once)
    await asyncio.sleep(0.4)
    await add_worker("i-1")
    assert await node.caller.phase(f"/q/{JOB_ID}", "completed") == "completed"


async def test_a_leader_record_without_an_address_is_replaced(run_node, store, wait_for):
    """Guards against entry VMs that wait forever for a leader which cannot exist."""
    store.standin.put("keyed.leader", "leader", {"name": "x", "address": "nowhere"})
    node = await run_node()
    assert await wait_for(lambda: node.scheduler is not None)
