"""Calls to a worker: evidence from each kind of failure, leases, and checks before sending."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from tarragoncart import defaults
from tarragoncart import upstream as upstream_module
from tarragoncart.model import HealthVerdict
from tarragoncart.upstream import FenceIncarnation, FindResult, RenewLease


async def set_fault(call, worker, fault, on=True, **params):
    await call("POST", f"{worker}/control/faults", fault=fault, on=on, **params)


async def test_refusals_by_the_guard(open_upstream, worker, call, wait_for_task):
    """Guards against a job whose outcome is reported as unknown although the guard refused it."""
    harness = await open_upstream(worker)
    await call("POST", f"{worker}/guard/fence", request_id="fenced")
    refusals = [await harness.send("fenced")]
    harness.transmit("first", never_ends=True)
    harness.transmit("second", never_ends=True)
    await wait_for_task()
    refusals.append(await harness.send("third"))
    assert (await harness.send("first")).running
    await call("POST", f"{worker}/control/drain")
    refusals.append(await harness.send("fourth"))
    harness.upstream._epoch -= 1
    refusals.append(await harness.send("fifth"))
    assert [evidence.event for evidence in refusals] == ["not_started"] * 4
    assert [e.code for e in refusals] == ["fenced", "busy", "leaving", "stale_lease"]


async def test_a_refused_connection_proves_that_nothing_started(open_upstream, worker):
    """Guards against a job that is stuck at a worker that no longer exists."""
    harness = await open_upstream("http://127.0.0.1:1")
    harness.upstream._leased_until_ms = 1_000
    evidence = await harness.send()
    assert (evidence.event, evidence.verdict) == ("not_started", HealthVerdict.NO_ANSWER)


@pytest.mark.parametrize(
    ("fault", "verdict"),
    [
        ("drop_answers", HealthVerdict.NO_ANSWER),
        ("truncated_answers", HealthVerdict.NO_ANSWER),
        ("crossed_answers", HealthVerdict.ERROR_ANSWER),
        ("late_answers", HealthVerdict.NO_ANSWER),
    ],
)
async def test_a_lost_answer_is_found_in_the_guard(
    open_upstream, worker, call, monkeypatch, fault, verdict
):
    """Guards against a reply of "not run" for a job that has run, and against delivery of a
    partial answer or of one to another request."""
    timeout = aiohttp.ClientTimeout(total=0.2 if fault == "late_answers" else 2)
    monkeypatch.setattr(upstream_module, "ATTEMPT_TIMEOUT", timeout)
    harness = await open_upstream(worker)
    assert (await harness.send("other")).event == "result"
    await set_fault(call, worker, fault)
    evidence = await harness.send("r", echo="mine")
    assert (evidence.event, evidence.verdict, evidence.answer) == ("no_answer", verdict, None)
    found = await harness.fence("r", harness.upstream._boot_id)
    assert found.event == "result" and found.answer.body["echo"] == "mine"


async def test_a_guard_that_has_lost_its_entries_proves_nothing(
    open_upstream, worker, call, wait_until
):
    """Guards against a second start, or a reply of "not run", after a guard has lost an entry."""
    harness = await open_upstream(worker)
    boot_id = harness.upstream._boot_id
    assert (await harness.fence("new", boot_id)).event == "not_started"
    assert (await harness.fence("new", boot_id, guarded=False)).event == "not_started"
    assert (await harness.fence("idempotent", boot_id, guarded=False)).code == "unknown"
    old_ms = -defaults.GUARD_RETENTION_MS
    assert (await harness.fence("old", boot_id, placed_at_ms=old_ms)).event == "guard_lost"
    assert (await harness.fence("r", "another boot")).event == "guard_lost"


async def test_a_lease_starts_when_its_call_is_sent(open_upstream, worker, monkeypatch):
    """Guards against an entry VM that uses a lease which has expired at the worker."""
    harness = await open_upstream(worker)
    call = harness.upstream._call

    async def answer_late(*args):
        answer = await call(*args)
        harness.timer.advance(600)
        return answer

    monkeypatch.setattr(harness.upstream, "_call", answer_late)
    harness.timer.advance(100)
    await harness.upstream._renew()
    assert harness.upstream._leased_until_ms == 100 + defaults.LEASE_DURATION_MS


async def test_no_job_is_sent_after_the_lease_or_the_deadline(open_upstream, worker, call):
    """Guards against jobs sent by an entry VM that was paused past its lease or the deadline."""
    harness = await open_upstream(worker)
    harness.upstream._renewing = True
    assert (await harness.send(deadline_ms=0)).code == "deadline"
    harness.timer.advance(defaults.LEASE_DURATION_MS)
    evidence = await harness.send(deadline_ms=1e6)
    assert (evidence.event, evidence.code) == ("not_started", "no_lease")
    assert (await call("GET", f"{worker}/control/state"))[1]["guard_entries"] == 0


@pytest.mark.parametrize(("late_ms", "code"), [(2_000, "deadline"), (3_000, "no_lease")])
async def test_the_wait_for_a_connection_counts_towards_lease_and_deadline(
    open_upstream, worker, call, wait_for_task, late_ms, code
):
    """Guards against a job that waits for a free connection and is sent after its deadline or
    the lease has expired."""
    harness = await open_upstream(worker, connection_count=1)
    harness.upstream._renewing = True
    harness.transmit("first", never_ends=True)
    await wait_for_task()
    harness.transmit("second", deadline_ms=1_500)
    await asyncio.sleep(0.01)
    harness.timer.advance(late_ms)
    await call("POST", f"{worker}/tasks/first/stop")
    reports = [await harness.report(), await harness.report()]
    assert [(e.event, e.code) for e in reports if e.event == "not_started"] == [
        ("not_started", code)
    ]
    assert (await call("GET", f"{worker}/control/state"))[1]["guard_entries"] == 1


async def test_a_malformed_lease_is_an_error_answer(open_upstream, entry_stub):
    """Guards against renewals that stop for good, or use of a lease that was never granted."""
    entry_stub.answers["POST", "/lease"] = [(200, {"epoch": 1}), (200, [])]
    harness = await open_upstream(entry_stub.address)
    change = harness.owner.changes[0]
    assert (change.verdict, change.leased) == (HealthVerdict.ERROR_ANSWER, False)
    harness.upstream.tell(RenewLease())
    assert (await harness.send()).code == "no_lease"


async def test_every_job_of_a_dropped_upstream_gets_a_report(open_upstream, worker, wait_for_task):
    """Guards against jobs that hang and keep their rights after a worker has left the fleet."""
    harness = await open_upstream(worker)
    harness.transmit("sent", never_ends=True)
    await wait_for_task()
    harness.transmit("waits")
    loop = asyncio.get_running_loop()
    found, fenced = loop.create_future(), loop.create_future()
    harness.upstream.tell(FindResult("sent", found))
    harness.upstream.tell(FenceIncarnation("i", fenced))
    await harness.upstream.stop()
    reports = {(await harness.report()).event for _ in range(2)}
    assert reports == {"no_answer", "not_started"}
    assert (await found).event == "no_answer" and await fenced is None
