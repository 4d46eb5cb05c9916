"""Tests of invalid and hostile requests to an entry VM with one worker."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import urlsplit

import pytest

from tarragoncart import defaults
from tarragoncart.mailbox import new_reply
from tarragoncart.membership import Terminate

JOB = {"payload": {"run_ms": 1}, "deadline_ms": 2_000}
JOBS = "/v1/queues/holds/jobs"
ISSUED = "entry-1.0123456789abcdef.{}"

# Method, path, body and key of a request; status and error code of the response.
REFUSED = {
    "unknown queue": ("POST", "/v1/queues/nothing/jobs", JOB, "shop-key", 404, "unknown_queue"),
    "no key": ("POST", JOBS, JOB, "", 401, "key_refused"),
    "wrong key": ("POST", JOBS, JOB, "wrong", 401, "key_refused"),
    "withdrawn key": ("POST", JOBS, JOB, "old-key", 401, "key_refused"),
    "key that is not ASCII": ("POST", JOBS, JOB, "k\xe9y", 401, "key_refused"),
    "oversized body": (
        "POST",
        JOBS,
        {"payload": "x" * defaults.BODY_LIMIT_BYTES},
        "shop-key",
        413,
        "body_too_large",
    ),
    "bad JSON": ("POST", JOBS, b'{"payload": ', "shop-key", 400, "bad_json"),
    "empty body": ("POST", JOBS, b"", "shop-key", 400, "bad_json"),
    "not UTF-8": ("POST", JOBS, b'{"payload": "\xff\xfe"}', "shop-key", 400, "bad_json"),
    "deep nesting": ("POST", JOBS, b"[" * 200_000, "shop-key", 400, "bad_json"),
    "not an object": ("POST", JOBS, [JOB], "shop-key", 400, "bad_json"),
    "unknown field": ("POST", JOBS, JOB | {"prio": 1}, "shop-key", 400, "bad_field"),
    "no payload": ("POST", JOBS, {"deadline_ms": 10}, "shop-key", 400, "bad_field"),
    "deadline is text": ("POST", JOBS, JOB | {"deadline_ms": "1"}, "shop-key", 400, "bad_field"),
    "deadline is true": ("POST", JOBS, JOB | {"deadline_ms": True}, "shop-key", 400, "bad_field"),
    "deadline is null": ("POST", JOBS, JOB | {"deadline_ms": None}, "shop-key", 400, "bad_field"),
    "NaN deadline": (
        "POST",
        JOBS,
        b'{"payload": 1, "deadline_ms": NaN}',
        "shop-key",
        400,
        "bad_json",
    ),
    "NaN in the payload": ("POST", JOBS, b'{"payload": [NaN]}', "shop-key", 400, "bad_json"),
    "infinite number": ("POST", JOBS, b'{"payload": [1e400]}', "shop-key", 400, "bad_json"),
    "huge run time": (
        "POST",
        JOBS,
        JOB | {"declared_run_ms": 10**400},
        "shop-key",
        400,
        "bad_field",
    ),
    "negative run time": (
        "POST",
        JOBS,
        JOB | {"declared_run_ms": -1},
        "shop-key",
        400,
        "bad_field",
    ),
    "past deadline": ("POST", JOBS, JOB | {"deadline_ms": -5}, "shop-key", 408, "deadline_in_past"),
    "no time left": ("POST", JOBS, JOB | {"deadline_ms": 0}, "shop-key", 408, "deadline_in_past"),
    "empty request ID": ("POST", JOBS, JOB | {"request_id": ""}, "shop-key", 400, "bad_field"),
    "request ID with slash": (
        "POST",
        JOBS,
        JOB | {"request_id": "a/b"},
        "shop-key",
        400,
        "bad_field",
    ),
    "request ID is a path": (
        "POST",
        JOBS,
        JOB | {"request_id": ".."},
        "shop-key",
        400,
        "bad_field",
    ),
    "request ID is a query": (
        "POST",
        JOBS,
        JOB | {"request_id": "a?b#c"},
        "shop-key",
        400,
        "bad_field",
    ),
    "lone surrogate": ("POST", JOBS, JOB | {"request_id": "\ud800"}, "shop-key", 400, "bad_json"),
    "request ID is a number": ("POST", JOBS, JOB | {"request_id": 7}, "shop-key", 400, "bad_field"),
    "long request ID": (
        "POST",
        JOBS,
        JOB | {"request_id": "a" * 129},
        "shop-key",
        400,
        "bad_field",
    ),
    "digits that are not ASCII": (
        "POST",
        JOBS,
        JOB | {"request_id": ISSUED.format("\u00b2")},
        "shop-key",
        400,
        "bad_field",
    ),
    "unknown request": ("GET", "/v1/requests/nothing", None, "shop-key", 404, "unknown_request"),
    "cancel of an unknown request": (
        "DELETE",
        "/v1/requests/nothing",
        None,
        "shop-key",
        404,
        "unknown_request",
    ),
    "wrong method": ("PUT", JOBS, JOB, "shop-key", 405, "method_not_allowed"),
    "unknown path": ("POST", "/v1/nothing", JOB, "shop-key", 404, "not_found"),
    "empty path segment": ("GET", "/v1/requests/", None, "shop-key", 404, "not_found"),
    "too many IDs": (
        "POST",
        "/v1/request-ids",
        {"count": 10**30},
        "shop-key",
        400,
        "bad_field",
    ),
    "huge key grace": (
        "POST",
        "/v1/keys",
        {"team": "shop", "author": "o", "cutoff_grace_s": 10**400},
        "",
        400,
        "bad_field",
    ),
    "pools that are not names": (
        "POST",
        "/v1/waves",
        {"wave": "w", "pools": [1, {}], "author": "o"},
        "",
        400,
        "bad_field",
    ),
}


async def test_bad_input_is_refused_with_a_clear_error(entry):
    """Guards against invalid input that starts a job or is refused without a reason."""
    for name, (method, path, body, key, status, code) in REFUSED.items():
        answer = await entry.ask(method, path, body, key)
        assert (answer[0], answer[1]["error"]["code"]) == (status, code), name
        is_job_query = path.startswith("/v1/requests/n")
        assert answer[1]["outcome"] == ("outcome_unknown" if is_job_query else "not_run"), name
        assert answer[1]["error"].keys() == {"code", "message", "step", "peer", "limit"}, name
        assert answer[1]["error"]["message"] and answer[1]["error"]["step"], name
    assert await entry.started_count() == 0
    assert (await entry.submit("holds", JOB))[1]["outcome"] == "answered"
    assert await entry.started_count() == 1


async def test_bad_input_from_peers_is_refused(entry, call):
    """Guards against invalid messages of other entry VMs that are refused without a reason."""
    for path, body in {
        "heartbeat": {"name": 1},
        "forward": {"queue": "holds"},
        "query": {},
    }.items():
        status, data = await call("POST", f"{entry.peer_url}/peer/{path}", **body)
        assert (status, data["error"]["code"]) == (400, "bad_field"), path


@pytest.mark.parametrize("close", [True, False])
async def test_a_body_shorter_than_announced_starts_nothing(entry, monkeypatch, caplog, close):
    """Guards against a job started from an incomplete body, and a handler that waits forever."""
    monkeypatch.setattr(defaults, "BODY_TIMEOUT_MS", 50)
    url = urlsplit(entry.url)
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    body = json.dumps(JOB).encode()
    head = f"POST {JOBS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer shop-key\r\n"
    writer.write(f"{head}Content-Length: {len(body) + 1}\r\n\r\n".encode() + body)
    await writer.drain()
    if not close:
        answer = await asyncio.wait_for(reader.read(1_000), 5)
        assert answer.startswith(b"HTTP/1.1 408") and b"body_incomplete" in answer
    writer.close()
    assert (await entry.submit("holds", JOB))[0] == 200
    assert await entry.started_count() == 1
    assert not [record for record in caplog.records if record.levelname == "ERROR"]


async def test_a_request_in_flight_during_shutdown_is_refused(entry):
    """Guards against a shutdown that drops a request whose body arrives a moment later."""
    url = urlsplit(entry.url)
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    body = json.dumps(JOB).encode()
    head = f"POST {JOBS} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer shop-key\r\n"
    writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode())
    await writer.drain()
    terminated = new_reply()
    entry.process.membership.tell(Terminate(terminated))
    await terminated
    stop = asyncio.create_task(entry.process.stop())
    await asyncio.sleep(0.05)
    writer.write(body)
    answer = await asyncio.wait_for(reader.read(), 5)
    assert answer.startswith(b"HTTP/1.1 503") and b"draining" in answer
    assert b"Connection: close" in answer
    await stop


async def test_a_request_that_outlasts_the_shutdown_timeout_is_answered(
    entry, monkeypatch, wait_until
):
    """Guards against a stop that outlasts its time, with callers who wait for the job's end."""
    monkeypatch.setattr(entry.process.membership, "_shutdown_timeout_ms", 50)
    monkeypatch.setattr(defaults, "LINGER_MS", 50)
    job = {"payload": {"never_ends": True}, "deadline_ms": 20_000}
    request = asyncio.create_task(entry.submit("holds", job))

    async def has_started():
        return await entry.started_count() == 1

    await wait_until(has_started)
    terminated = new_reply()
    entry.process.membership.tell(Terminate(terminated))
    await terminated
    await asyncio.wait_for(entry.process.stop(), 3)
    status, data = await request
    assert (status, data["outcome"]) == (504, "outcome_unknown")


async def test_a_repeated_request_id_runs_once(entry):
    """Guards against starting a job twice, and returning its answer for another job."""
    _, issued = await entry.ask("POST", "/v1/request-ids", {"count": 1})
    for request_id in ("made-by-the-caller", issued["request_ids"][0]):
        body = {"request_id": request_id, "payload": {"echo": request_id}}
        first, second = await asyncio.gather(
            entry.submit("holds", body), entry.submit("holds", body)
        )
        assert first == second and first[1]["answer"]["echo"] == request_id
        assert await entry.submit("holds", body) == first
        other = body | {"payload": {"echo": "other"}}
        for queue, wrong, key in [
            ("holds", other, "shop-key"),
            ("events", body, "shop-key"),
            ("holds", body, "studio-key"),
        ]:
            status, data = await entry.submit(queue, wrong, key)
            assert (status, data["error"]["code"]) == (409, "different_body")
    assert await entry.started_count() == 2


async def test_a_forged_request_id_is_not_started(entry):
    """Guards against an ID with a future time of issue, which would still be valid when its first
    start is forgotten."""
    _, issued = await entry.ask("POST", "/v1/request-ids", {"count": 1})
    name, incarnation, number = issued["request_ids"][0].split(".")
    for forged in (10**60, int(number) + (60_000 << 40), 0):
        body = JOB | {"request_id": f"{name}.{incarnation}.{forged}"}
        assert (await entry.submit("holds", body))[1]["error"]["code"] == "request_id_expired"
    assert await entry.started_count() == 0


async def test_an_open_queue_needs_no_key(entry):
    """Guards against an open queue that refuses callers without a team."""
    for key in ("", "wrong"):
        assert (await entry.submit("walk-in", JOB, key))[1]["outcome"] == "answered"


@pytest.mark.parametrize("queue", ["holds", "night", "walk-in"])
async def test_an_outcome_is_visible_to_its_team_only(entry, queue):
    """Guards against one team reading or cancelling another's job."""
    body = JOB | {"request_id": "r-1"}
    await entry.submit(queue, body)
    path = "/v1/requests/r-1"
    assert (await entry.ask("GET", path))[1]["outcome"] in ("answered", "accepted")
    for key in ("studio-key", "old-key", ""):
        for method in ("GET", "DELETE"):
            status, data = await entry.ask(method, path, key=key)
            assert (status == 404) == (queue != "walk-in"), (method, key)
            assert queue == "walk-in" or data["error"]["code"] == "unknown_request"
