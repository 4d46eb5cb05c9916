"""Calls to a worker: evidence from each kind of failure, leases, and checks before sending."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from tarragoncart import defaults
from tarragoncart import upstream as upstream_module
from tarragoncart.model import Verdict
from tarragoncart.upstream import FenceIncarnation, FindResult, RenewLease


async def set_fault(call, worker, fault, on=True, **params):
    await call("POST", f"{worker}/control/faults", fault=fault, on=on, **params)


async def test_refusals_by_the_guard(open_upstream, worker, call, wait_for_task):
    """Guards against a job whose outcome is reported as unknown although the guard refused it."""
    bench = await open_upstream(worker)
    await call("POST", f"{worker}/guard/fence", request_id="fenced")
    codes = [await bench.send("fenced")]
    bench.transmit("first", never_ends=True)
    bench.transmit("second", never_ends=True)
    await wait_for_task()
    codes.append(await bench.send("third"))
    assert (await bench.send("first")).running
    await call("POST", f"{worker}/control/drain")
    codes.append(await bench.send("fourth"))
    bench.upstream._epoch -= 1
    codes.append(await bench.send("fifth"))
    assert [evidence.event for evidence in codes] == ["not_started"] * 4
    assert [e.code for e in codes] == ["fenced", "busy", "leaving", "stale_lease"]


async def test_a_refused_connection_proves_that_nothing_started(open_upstream, worker):
    """Guards against a job that is stuck at a worker that no longer exists."""
    bench = await open_upstream("http://127.0.0.1:1")
    bench.upstream._leased_until_ms = 1_000
    evidence = await bench.send()
    assert (evidence.event, evidence.verdict) == ("not_started", Verdict.NO_ANSWER)


@pytest.mark.parametrize(
    ("fault", "verdict"),
    [
        ("drop_answers", Verdict.NO_ANSWER),
        ("truncated_answers", Verdict.NO_ANSWER),
        ("crossed_answers", Verdict.ERROR_ANSWER),
        ("late_answers", Verdict.NO_ANSWER),
    ],
)
async def test_a_lost_answer_is_found_in_the_guard(
    open_upstream, worker, call, monkeypatch, fault, verdict
):
    """Guards against a reply of "not run" for a job that has run, and against delivery of a
    partial answer or of one to another request."""
    timeout = aiohttp.ClientTimeout(total=0.2 if fault == "late_answers" else 2)
    monkeypatch.setattr(upstream_module, "ATTEMPT_TIMEOUT", timeout)
    bench = await open_upstream(worker)
    assert (await bench.send("other")).event == "result"
    await set_fault(call, worker, fault)
    evidence = await bench.send("r", echo="mine")
    assert (evidence.event, evidence.verdict, evidence.answer) == ("no_answer", verdict, None)
    found = await bench.fence("r", bench.upstream._boot_id)
    assert found.event == "result" and found.answer.body["echo"] == "mine"


async def test_a_guard_that_has_forgotten_proves_nothing(open_upstream, worker, call, wait_until):
    """Guards against a second start, or a reply of "not run", after a guard has lost an entry."""
    bench = await open_upstream(worker)
    boot_id = bench.upstream._boot_id
    assert (await bench.fence("new", boot_id)).event == "not_started"
    assert (await bench.fence("new", boot_id, guarded=False)).event == "not_started"
    assert (await bench.fence("idempotent", boot_id, guarded=False)).code == "unknown"
    old_ms = -defaults.GUARD_RETENTION_MS
    assert (await bench.fence("old", boot_id, placed_at_ms=old_ms)).event == "guard_lost"
    assert (await bench.fence("r", "another boot")).event == "guard_lost"


async def test_a_lease_counts_from_its_sending(open_upstream, worker, monkeypatch):
    """Guards against an entry VM that uses a lease which has expired at the worker."""
    bench = await open_upstream(worker)
    call = bench.upstream._call

    async def answer_late(*args):
        answer = await call(*args)
        bench.timer.advance(600)
        return answer

    monkeypatch.setattr(bench.upstream, "_call", answer_late)
    bench.timer.advance(100)
    await bench.upstream._renew()
    assert bench.upstream._leased_until_ms == 100 + defaults.LEASE_DURATION_MS


async def test_nothing_is_sent_after_the_lease_or_the_deadline(open_upstream, worker, call):
    """Guards against jobs sent by an entry VM that was paused past its lease or the deadline."""
    bench = await open_upstream(worker)
    bench.upstream._renewing = True
    assert (await bench.send(deadline_ms=0)).code == "deadline"
    bench.timer.advance(defaults.LEASE_DURATION_MS)
    evidence = await bench.send(deadline_ms=1e6)
    assert (evidence.event, evidence.code) == ("not_started", "no_lease")
    assert (await call("GET", f"{worker}/control/state"))[1]["guard_entries"] == 0


@pytest.mark.parametrize(("late_ms", "code"), [(2_000, "deadline"), (3_000, "no_lease")])
async def test_time_that_passes_while_waiting_for_a_connection_counts(
    open_upstream, worker, call, wait_for_task, late_ms, code
):
    """Guards against a job that waits for a free connection and is sent after its deadline or
    the lease has expired."""
    bench = await open_upstream(worker, connection_count=1)
    bench.upstream._renewing = True
    bench.transmit("first", never_ends=True)
    await wait_for_task()
    bench.transmit("second", deadline_ms=1_500)
    await asyncio.sleep(0.01)
    bench.timer.advance(late_ms)
    await call("POST", f"{worker}/tasks/first/stop")
    reports = [await bench.report(), await bench.report()]
    assert [(e.event, e.code) for e in reports if e.event == "not_started"] == [
        ("not_started", code)
    ]
    assert (await call("GET", f"{worker}/control/state"))[1]["guard_entries"] == 1


async def test_a_malformed_lease_is_an_error_answer(open_upstream, entry_stub):
    """Guards against renewals that stop for good, or a lease that was never granted."""
    entry_stub.answers["POST", "/lease"] = [(200, {"epoch": 1}), (200, [])]
    bench = await open_upstream(entry_stub.address)
    change = bench.owner.changes[0]
    assert (change.verdict, change.leased) == (Verdict.ERROR_ANSWER, False)
    bench.upstream.tell(RenewLease())
    assert (await bench.send()).code == "no_lease"


async def test_every_job_of_a_dropped_upstream_gets_a_report(open_upstream, worker, wait_for_task):
    """Guards against jobs that hang and keep their rights after a worker has left the fleet."""
    bench = await open_upstream(worker)
    bench.transmit("sent", never_ends=True)
    await wait_for_task()
    bench.transmit("waits")
    loop = asyncio.get_running_loop()
    found, fenced = loop.create_future(), loop.create_future()
    bench.upstream.tell(FindResult("sent", found))
    bench.upstream.tell(FenceIncarnation("i", fenced))
    await bench.upstream.stop()
    reports = {(await bench.report()).event for _ in range(2)}
    assert reports == {"no_answer", "not_started"}
    assert (await found).event == "no_answer" and await fenced is None
