"""Tests of the callers' client library: which jobs it resubmits and which it only queries."""

from __future__ import annotations

import random
from collections import deque

import pytest

from tarragoncart.client import Client, EntryUnreachableError, _IdBlock
from tarragoncart.model import Outcome

UNREACHABLE = "127.0.0.1:1"
IDS, JOBS = ("POST", "/v1/request-ids"), ("POST", "/v1/queues/holds/jobs")
OUTCOME = ("GET", "/v1/requests/id-1")
ANSWERED = {"outcome": "answered", "answer": {"x": 1}, "succeeded": True, "request_id": "id-1"}
ENTRY_ERROR = {"outcome": "not_run", "error": {"code": "overloaded", "message": "inbox is full"}}


@pytest.fixture
async def events():
    """Name and request ID of each event that the client reported."""
    return []


@pytest.fixture
async def client(entry_stub, events, monkeypatch):
    """A client that first tries an unreachable entry VM, for which it has a request ID left."""
    monkeypatch.setattr(Client, "_in_random_order", lambda self: list(self.addresses))
    entry_stub.answers[IDS] = [(200, {"request_ids": ["id-1"], "valid_ms": 120_000})]

    def observe(event, fields):
        events.append((event, fields["request_id"]))

    addresses = [UNREACHABLE, entry_stub.address]
    async with Client(addresses, "key", observe, rng=random.Random(1)) as client:
        client._id_blocks[UNREACHABLE] = _IdBlock(deque(["id-of-the-dead"]), float("inf"))
        yield client


async def test_a_refused_connection_leads_to_another_entry_vm_and_a_new_id(
    client, entry_stub, events
):
    """Guards against giving up the job, and against an ID that only the dead entry VM may start."""
    entry_stub.answers[JOBS] = [(200, ANSWERED)]
    result = await client.submit("holds", {})
    assert (result.outcome, result.entry) == (Outcome.ANSWERED, entry_stub.address)
    (body,) = [body for method, path, body in entry_stub.calls if (method, path) == JOBS]
    assert body["request_id"] == "id-1"
    lost = [("submit", "id-of-the-dead"), ("connection_lost", "id-of-the-dead")]
    assert events == [*lost, ("submit", "id-1"), ("reply", "id-1")]


@pytest.mark.parametrize("answer", [None, (500, {}), (200, []), (200, {"outcome": "unheard_of"})])
async def test_a_job_that_may_have_been_sent_is_queried_and_not_resubmitted(
    client, entry_stub, answer
):
    """Guards against a second submission after a lost connection or an invalid response."""
    if answer is not None:
        entry_stub.answers[JOBS] = [answer]
    pending = {"outcome": "accepted", "request_id": "id-1"}
    entry_stub.answers[OUTCOME] = [(202, pending), (200, ANSWERED)]
    result = await client.submit("holds", {}, deadline_ms=5_000)
    assert (result.outcome, result.request_id) == (Outcome.ANSWERED, "id-1")
    paths = [(method, path) for method, path, _ in entry_stub.calls]
    assert paths.count(JOBS) == 1 and paths.count(OUTCOME) == 2


async def test_no_entry_vm_means_nothing_was_submitted(client, entry_stub):
    """Guards against an unknown outcome for a job that was never sent."""
    entry_stub.answers[IDS] = [(503, ENTRY_ERROR)]
    with pytest.raises(EntryUnreachableError):
        await client.submit("holds", {})


@pytest.mark.parametrize("answer", [(404, ENTRY_ERROR), (503, ENTRY_ERROR), (500, {}), None])
async def test_a_failed_query_leaves_the_outcome_unknown(client, entry_stub, answer):
    """Guards against reporting a job as not run because the query about it was refused."""
    if answer is not None:
        entry_stub.answers[OUTCOME] = [answer]
    result = await client.find("id-1", wait_ms=120)
    assert result.outcome is Outcome.OUTCOME_UNKNOWN
    entry_stub.answers["DELETE", OUTCOME[1]] = entry_stub.answers.get(OUTCOME, [])
    assert (await client.cancel("id-1")).outcome is Outcome.OUTCOME_UNKNOWN
