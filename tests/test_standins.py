"""Tests of the stand-ins for the platform, the workers and the network."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import sys
import time

import aiohttp
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import network as network_module
from standins import platform as platform_module
from standins import virtual
from standins import worker as worker_module
from standins.guard import RETENTION_MS, Attempt, Guard, Refusal, Result, Start, Work
from standins.log import RateCap, Stream
from standins.serving import Lagged


def read_events(path):
    return [json.loads(line) for line in (path / "history").read_text().splitlines()]


def test_guard_starts_a_guarded_request_once(guard, attempt):
    """Guards against a second start of a guarded request that is running or has failed."""
    first = attempt()
    assert guard.admit(first, 1, leaving=False) == Start()
    assert guard.admit(attempt(), 2, leaving=True) == Refusal("running", started=True)
    guard.end("r", "fail", {}, 3)
    known = guard.admit(attempt(), 4, leaving=True)
    assert isinstance(known, Result) and known.attempt_id == first.attempt_id


def test_guard_restarts_only_failed_idempotent_requests(guard, attempt):
    """Guards against a completed request that runs again, or a failed one that may not."""
    guard.admit(attempt(guarded=False), 1, leaving=False)
    guard.end("r", "fail", {}, 2)
    assert isinstance(guard.admit(attempt(guarded=True), 3, leaving=False), Result)
    assert guard.admit(attempt(guarded=False), 3, leaving=False) == Start()
    guard.end("r", "complete", {}, 4)
    assert isinstance(guard.admit(attempt(guarded=False), 5, leaving=False), Result)


def test_guard_refuses_a_lease_that_has_expired(guard, attempt):
    """Guards against attempts of an entry VM that was paused until its lease had expired."""
    assert guard.admit(attempt(), 1_000, leaving=False) == Refusal("stale_lease")
    assert guard.grant_lease("i", 1_000).epoch == 2
    assert guard.grant_lease("i", 1_999).epoch == 2
    assert guard.admit(attempt(), 2_000, leaving=False) == Refusal("stale_lease")
    assert guard.admit(attempt(lease_epoch=2), 2_000, leaving=False) == Start()


def test_guard_refuses_without_a_free_slot_or_while_leaving(guard, attempt):
    """Guards against more tasks than slots and against new work on a leaving worker."""
    assert guard.admit(attempt(), 1, leaving=True) == Refusal("leaving")
    assert guard.admit(attempt(), 1, leaving=False, no_capacity=True) == Refusal("busy")
    for request_id in "ab":
        assert guard.admit(attempt(request_id), 1, leaving=False) == Start()
    assert guard.admit(attempt("c"), 1, leaving=False) == Refusal("busy")
    assert guard.find("c").state == "unknown"


def test_fences_outlive_results(guard, attempt):
    """Guards against a delayed attempt that starts after its request's result has expired."""
    late_ms = RETENTION_MS + 10
    guard.admit(attempt(), 1, leaving=False)
    assert guard.fence_request("r").state == "running"
    guard.end("r", "complete", {}, 2)
    guard.grant_lease("j", late_ms)
    assert guard.admit(attempt(incarnation="j"), late_ms, leaving=False) == Refusal("fenced")
    assert guard.find("r").result is None
    guard.fence_incarnation("j")
    assert guard.admit(attempt("s", incarnation="j"), late_ms, leaving=False) == Refusal("fenced")
    assert guard.grant_lease("j", late_ms) == Refusal("fenced")


REQUESTS = st.sampled_from("rst")
INCARNATIONS = st.sampled_from("ij")
OPERATIONS = st.one_of(
    st.tuples(st.just("attempt"), REQUESTS, INCARNATIONS, st.integers(1, 2)),
    st.tuples(st.just("end"), REQUESTS, st.sampled_from(["complete", "fail", "stop"])),
    st.tuples(st.just("fence_request"), REQUESTS),
    st.tuples(st.just("fence_incarnation"), INCARNATIONS),
    st.tuples(st.just("lease"), INCARNATIONS),
)


@settings(deadline=None)
@given(st.lists(OPERATIONS, max_size=40))
def test_no_order_of_calls_starts_guarded_work_twice(operations):
    """Guards against a second start, or one after a fence, in any order of calls."""
    guard = Guard(slot_count=2, lease_ms=5, epoch_floor=0)
    started, fenced = set(), set()
    for now_ms, (operation, *fields) in enumerate(operations):
        if operation == "attempt":
            request_id, incarnation, epoch = fields
            sent = Attempt("a", request_id, incarnation, epoch, "shop", True, Work())
            decision = guard.admit(sent, now_ms, leaving=False)
            if decision == Start():
                assert not {request_id, incarnation} & (started | fenced)
                started.add(request_id)
            elif isinstance(decision, Refusal) and not decision.started:
                assert request_id not in started
        elif operation == "end" and fields[0] in guard.running:
            guard.end(*fields, {}, now_ms)
        elif operation == "fence_request":
            state = guard.fence_request(*fields).state
            assert (state in ("unknown", "fenced")) == (fields[0] not in started)
            fenced.add(fields[0])
        elif operation == "fence_incarnation":
            guard.fence_incarnation(*fields)
            fenced.add(fields[0])
        elif operation == "lease":
            guard.grant_lease(*fields, now_ms)


async def test_response_carries_its_ids_and_digest(call, submit_attempt, worker, tmp_path):
    """Guards against results that cannot be matched to their request and attempt."""
    status, result = await submit_attempt("r", echo=[1])
    assert (status, result["status"], result["attempt_id"]) == (200, "completed", "a-r")
    assert result["body"] == {"echo": [1], "worker": "w", "request_id": "r"}
    text = json.dumps(result["body"], sort_keys=True, separators=(",", ":"))
    assert result["digest"] == hashlib.sha256(text.encode()).hexdigest()
    _, found = await call("GET", f"{worker}/guard/r")
    assert found.items() >= (result | {"state": "completed"}).items()
    assert (await submit_attempt("f", fail=True))[1]["status"] == "failed"
    events = [(e["event"], e["request_id"], e["guarded"]) for e in read_events(tmp_path)]
    assert events[:2] == [("started", "r", True), ("finished", "r", True)]


async def test_a_disconnected_caller_does_not_stop_the_task(
    call, submit_attempt, worker, wait_until
):
    """Guards against an attempt that ends or is forgotten when its caller disconnects."""
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(submit_attempt("r", run_ms=300), 0.1)
    assert (await submit_attempt("r"))[1] == {"code": "running", "started": True}

    async def ended():
        return (await call("GET", f"{worker}/guard/r"))[1]["state"] == "completed"

    await wait_until(ended)


@pytest.mark.parametrize("fault", ["truncated_answers", "drop_answers"])
async def test_the_guard_keeps_the_result_of_an_incomplete_response(
    call, submit_attempt, worker, fault
):
    """Guards against an incomplete response that looks complete, or a lost result."""
    await call("POST", f"{worker}/control/faults", fault=fault, on=True)
    with pytest.raises(aiohttp.ClientError):
        await submit_attempt("r")
    await call("POST", f"{worker}/control/faults", fault=fault, on=False)
    assert (await submit_attempt("r"))[1]["status"] == "completed"


async def test_worker_faults_apply_until_they_are_switched_off(call, submit_attempt, worker):
    """Guards against faults that have no effect or stay after they are switched off."""
    await submit_attempt("r")
    for fault in ("crossed_answers", "fail_all"):
        await call("POST", f"{worker}/control/faults", fault=fault, on=True)
    assert (await submit_attempt("s"))[1]["request_id"] == "r"
    await call("POST", f"{worker}/control/faults", fault="crossed_answers", on=False)
    assert (await submit_attempt("s"))[1]["status"] == "failed"
    await call("POST", f"{worker}/control/faults", fault="refuse_all", on=True)
    assert (await submit_attempt("t"))[1] == {"code": "busy", "started": False}
    status, body = await call("POST", f"{worker}/control/faults", fault="unknown", on=True)
    assert status == 400 and "refuse_all" in body["message"]


async def test_refusals_over_the_connection_limit_tell_whether_the_request_started(
    http, call, submit_attempt, worker
):
    """Guards against a refusal that says "not started" for a request that was started."""
    await submit_attempt("r")
    _, lease = await call("POST", f"{worker}/lease", incarnation="i", entry="e")
    host, port = worker.removeprefix("http://").split(":")
    idle = [await asyncio.open_connection(host, int(port)) for _ in range(4)]
    async with http.get(f"{worker}/usage") as answer:
        assert answer.status == 503
    fields = {"incarnation": "i", "lease_epoch": lease["epoch"], "team": "shop", "guarded": True}
    url = f"{worker}/attempts"
    refused = await call("POST", url, attempt_id="a", request_id="s", **fields)
    assert refused == (503, {"code": "busy", "started": False})
    status, known = await call("POST", url, attempt_id="a", request_id="r", **fields)
    assert (status, known["attempt_id"]) == (200, "a-r")
    for _, writer in idle:
        writer.close()


async def test_tasks_can_be_throttled_and_stopped(
    call, submit_attempt, worker, wait_for_task, tmp_path
):
    """Guards against a stop that frees no slot or is missing from the history."""
    running = asyncio.ensure_future(submit_attempt("r", never_ends=True))
    await wait_for_task()
    assert (await call("POST", f"{worker}/tasks/r/throttle", ratio=0.5))[0] == 200
    assert (await call("POST", f"{worker}/tasks/r/throttle", ratio=0))[0] == 400
    assert (await call("POST", f"{worker}/tasks/r/checkpoint"))[1]["done_ms"] > 0
    _, usage = await call("GET", f"{worker}/usage")
    assert usage["running"] == 1 and usage["cpu_ms_total"] > 0
    assert (await call("POST", f"{worker}/tasks/r/stop"))[1]["state"] == "failed"
    assert (await running)[1]["status"] == "failed"
    assert (await call("POST", f"{worker}/tasks/r/stop"))[0] == 404
    assert read_events(tmp_path)[-1]["event"] == "cut"


async def test_a_graceful_reboot_interrupts_no_task(
    call, submit_attempt, worker, platform, wait_for_task, wait_until, tmp_path
):
    """Guards against a reboot that stops running tasks or leaves old leases valid."""
    _, lease = await call("POST", f"{worker}/lease", incarnation="i", entry="e")
    await call("PUT", f"{platform}/vms/w", address=worker.removeprefix("http://"))
    await call("POST", f"{platform}/control/faults", fault="vm_list_lag", on=True, lag_ms=0)
    running = asyncio.ensure_future(submit_attempt("r", run_ms=200))
    await wait_for_task()
    status, vm = await call("POST", f"{platform}/vms/w/reboot", graceful=True, duration_ms=100)
    assert (status, vm["state"]) == (200, "leaving")
    assert (await submit_attempt("s"))[1] == {"code": "leaving", "started": False}
    assert (await running)[1]["status"] == "completed"

    async def refused():
        try:
            await call("GET", f"{worker}/guard/r")
        except aiohttp.ClientConnectorError:
            return True
        return False

    await wait_until(refused)

    async def live():
        return (await call("GET", f"{platform}/vms"))[1]["vms"][0]["state"] == "live"

    await wait_until(live)
    assert (await call("GET", f"{worker}/guard/r"))[1]["state"] == "unknown"
    assert (await call("POST", f"{worker}/lease", incarnation="i", entry="e"))[1]["epoch"] > lease[
        "epoch"
    ]
    events = [event["event"] for event in read_events(tmp_path)]
    assert "cut" not in events and events.index("finished") < events.index("rebooted")


async def test_a_terminated_worker_records_its_tasks_as_cut(call, serve, tmp_path):
    """Guards against a history in which tasks of a terminated worker seem to run on."""
    path = str(tmp_path / "history")
    listener = worker_module.Worker(worker_module.WorkerSettings(history=path)).listener
    url = "http://" + await serve(listener)
    _, lease = await call("POST", f"{url}/lease", incarnation="i", entry="e")
    fields = {"incarnation": "i", "lease_epoch": lease["epoch"], "team": "shop", "guarded": True}
    payload = {"never_ends": True}
    body = fields | {"attempt_id": "a", "request_id": "r", "payload": payload}
    running = asyncio.ensure_future(call("POST", f"{url}/attempts", **body))
    async with asyncio.timeout(5):
        while not (await call("GET", f"{url}/tasks"))[1]["tasks"]:
            await asyncio.sleep(0.01)
        await listener.close()
        with pytest.raises(aiohttp.ClientError):
            await running
    assert [event["event"] for event in read_events(tmp_path)] == ["started", "cut"]


def test_reads_before_the_start_are_answered_from_the_start():
    """Guards against wrong offsets in a page when retention has dropped the oldest records."""
    stream = Stream()
    stream.append(list("abcde"))
    stream.retain(2)
    page = stream.read(0, 10)
    assert (page.start_offset, page.end_offset) == (3, 5)
    assert [json.loads(text)["offset"] for text in page.encoded] == [3, 4]
    assert stream.append(["f"]) == 5


def test_rate_cap_counts_one_second():
    """Guards against a cap that accepts too many appends or never accepts any again."""
    cap = RateCap()
    assert [cap.accept(now_ms, 2) for now_ms in (0, 500, 999, 1_000, 1_001)] == [
        True,
        True,
        False,
        True,
        False,
    ]


def test_lagged_values_change_after_the_lag():
    """Guards against values that change without the lag, or are dropped while still needed."""
    lagged = Lagged("before")
    lagged.push(100, "after")
    lagged.push(200, "last", keep_ms=50)
    assert [lagged.at(ms) for ms in (150, 199, 200)] == ["after", "after", "last"]


async def test_a_read_waits_for_the_next_record(call, platform):
    """Guards against reads that do not wait for a record, and against waits without an end."""
    url = f"{platform}/log/fleet/records"
    reading = asyncio.ensure_future(call("GET", f"{url}?from=1&wait_ms=5000"))
    assert await call("POST", url, records=[{"kind": "a"}]) == (
        200,
        {"first_offset": 0, "end_offset": 1},
    )
    await call("POST", url, records=[2, 3])
    _, page = await reading
    assert [record["record"] for record in page["records"]] == [2, 3]
    _, page = await call("GET", f"{url}?from=3&wait_ms=20")
    assert (page["end_offset"], page["records"]) == (3, [])


async def test_log_faults_take_effect(call, platform, wait_until, tmp_path):
    """Guards against injected faults of the log that have no effect or the wrong one."""
    url, control = f"{platform}/log/fleet/records", f"{platform}/control/faults"
    await call("POST", control, fault="lose_answers", on=True, ratio=1)
    with pytest.raises(aiohttp.ClientError):
        await call("POST", url, records=[{"kind": "a"}])
    await call("POST", control, fault="lose_answers", on=False)
    reading = asyncio.ensure_future(call("GET", f"{url}?from=1&wait_ms=5000"))

    async def waiting():
        return (await call("GET", f"{platform}/state"))[1]["waiting_reads"] == 1

    await wait_until(waiting)
    await call("POST", control, fault="outage", on=True)
    assert (await reading)[0] == 503
    assert (await call("POST", url, records=[1]))[0] == 503
    await call("POST", control, fault="outage", on=False)
    assert len((await call("GET", url))[1]["records"]) == 1
    await call("POST", control, fault="rate_cap", on=True, per_s=0)
    assert (await call("POST", url, records=[1]))[0] == 429
    assert (await call("POST", control, fault="slow", on=True, delay_ms="x"))[0] == 400
    append = next(event for event in read_events(tmp_path) if event["event"] == "append")
    assert (append["stream"], append["first_offset"]) == ("fleet", 0)
    assert [record["kind"] for record in append["records"]] == ["a"]


async def test_vm_list_lags_and_has_injected_errors(call, platform):
    """Guards against a VM list without the lag and errors that the platform's list has."""
    control = f"{platform}/control/faults"
    await call("PUT", f"{platform}/vms/w", address="127.0.0.1:1")
    assert (await call("GET", f"{platform}/vms"))[1]["vms"] == []
    await call("POST", control, fault="vm_list_lag", on=True, lag_ms=0)
    vms = (await call("GET", f"{platform}/vms"))[1]["vms"]
    assert vms == [{"name": "w", "address": "127.0.0.1:1", "state": "live"}]
    await call("POST", control, fault="wrong_vm_list", on=True, hidden=["w"], added=["x"])
    assert [vm["name"] for vm in (await call("GET", f"{platform}/vms"))[1]["vms"]] == ["x"]
    # The worker cannot be reached, but the platform marks it as leaving.
    assert (await call("POST", f"{platform}/vms/w/drain"))[0] == 502
    state = (await call("GET", f"{platform}/state"))[1]
    assert state["vms"][0]["state"] == "leaving"
    assert (await call("DELETE", f"{platform}/vms/w"))[0] == 200
    assert (await call("POST", f"{platform}/vms/w/drain"))[0] == 404


async def test_cuts_freeze_or_reset_links(call, platform, network):
    """Guards against cuts that let bytes pass or affect other links."""
    route = {"target": platform.removeprefix("http://"), "data_centre": "platform"}
    _, body = await call("POST", f"{network}/routes", name="platform", **route)
    url = f"http://{body['address']}/vms"
    connector = aiohttp.TCPConnector(local_addr=("127.0.2.1", 0), limit=1)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def get_status():
            async with session.get(url) as answer:
                return answer.status

        assert await get_status() == 200
        await call("POST", f"{network}/cuts", on=True, to="platform", **{"from": 2})
        held = asyncio.ensure_future(get_status())
        done, _ = await asyncio.wait([held], timeout=0.1)
        assert not done
        assert (await call("GET", url))[0] == 200
        await call("POST", f"{network}/cuts", on=False, to="platform", **{"from": 2})
        assert await held == 200
        cut = {"from": 2, "to": "platform", "mode": "reset"}
        await call("POST", f"{network}/cuts", on=True, **cut)
        with pytest.raises(aiohttp.ClientError):
            await get_status()


async def test_a_request_is_not_delivered_if_its_client_disconnects_during_a_cut(
    call, worker, network
):
    """Guards against delivery of a request whose client disconnected during the cut."""
    route = {"target": worker.removeprefix("http://"), "data_centre": 1}
    _, body = await call("POST", f"{network}/routes", name="w", **route)
    await call("POST", f"{network}/cuts", on=True, to=1, **{"from": 2})
    connector = aiohttp.TCPConnector(local_addr=("127.0.2.1", 0))
    async with aiohttp.ClientSession(connector=connector) as session:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await session.post(
                    f"http://{body['address']}/guard/fence", json={"request_id": "r"}
                )
    await call("POST", f"{network}/cuts", on=False, to=1, **{"from": 2})
    assert (await call("GET", f"{worker}/guard/r"))[1]["state"] == "unknown"
    assert (await call("GET", f"{network}/state"))[1]["links"] == {}


@pytest.mark.parametrize("module", [platform_module, worker_module, network_module])
async def test_process_prints_its_address_and_ends_on_sigterm(module):
    """Guards against processes that do not report their address or do not stop cleanly."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module.__name__, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    assert set(json.loads(await process.stdout.readline())) == {"address"}
    process.send_signal(signal.SIGTERM)
    rest, _ = await asyncio.wait_for(process.communicate(), 5)
    assert (process.returncode, rest) == (0, b"")


async def test_delayed_and_slow_workers_still_respond(call, submit_attempt, worker):
    """Guards against delays that have no effect or lose the response."""
    control = f"{worker}/control/faults"
    await call("POST", control, fault="late_answers", on=True, delay_ms=100)
    late = asyncio.ensure_future(submit_attempt("r"))
    done, _ = await asyncio.wait([late], timeout=0.05)
    assert not done and (await late)[1]["request_id"] == "r"
    await call("POST", control, fault="late_answers", on=False)
    await call("POST", control, fault="slow", on=True, factor=100)
    slow = asyncio.ensure_future(submit_attempt("s", run_ms=2))
    done, _ = await asyncio.wait([slow], timeout=0.05)
    assert not done and (await slow)[1]["status"] == "completed"


async def test_a_failed_reboot_keeps_the_worker_down(call, worker, wait_until):
    """Guards against a worker that comes back although its reboot is made to fail."""
    await call("POST", f"{worker}/control/faults", fault="fail_reboot", on=True)
    await call("POST", f"{worker}/control/reboot", duration_ms=0)

    async def refused():
        try:
            await call("GET", f"{worker}/usage")
        except aiohttp.ClientConnectorError:
            return True
        return False

    await wait_until(refused)
    await asyncio.sleep(0.1)
    assert await refused()


def test_periods_in_virtual_time_do_not_depend_on_the_processor():
    """Guards against simulations that differ beside load, as each period was cut by real time."""

    async def record():
        timer = virtual.VirtualTimer()
        ticks_ms = []

        def act(_):
            ticks_ms.append(timer.now_ms())
            time.sleep(0.005)

        started_ms = timer.now_ms()
        subscription = timer.every(250.0).subscribe(act)
        await asyncio.sleep(1.1)
        subscription.dispose()
        return [round(at_ms - started_ms, 3) for at_ms in ticks_ms]

    assert virtual.run_in_virtual_time(record()) == [250.0, 500.0, 750.0, 1_000.0]
