"""Client of ``tarragoncart explain place``: asks an entry VM and describes its answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import aiohttp

from . import defaults
from .decoding import parse_object
from .errors import DecodeError, RequestError, SettingsError

PATH = "/explain/place"
# The listener refuses request lines above 8,190 bytes.
QUERY_LIMIT_BYTES = 8_000
# An entry VM that does not lead waits up to 2 s for the leader.
TIMEOUT_MS = 5_000


def query_of_job(job_id: str) -> str:
    """Return the query for an accepted job."""
    return urlencode({"id": job_id})


def query_of_file(path: Path, queue: str, account: str) -> str:
    """Return the query for a job that is not submitted.

    The text for its tasks is left out, as the placement does not depend on it.

    :raises SettingsError: if the file cannot be read, is not a job, or is too large for a query.
    """
    try:
        data = parse_object(path.read_bytes())
    except (OSError, DecodeError) as error:
        raise SettingsError(str(error), step="read job", peer=str(path)) from None
    job = json.dumps({**data, "spec": ""}, separators=(",", ":"))
    query = urlencode({"queue": queue, "account": account, "job": job})
    if len(query) > QUERY_LIMIT_BYTES:
        message = f"job has {len(query)} bytes as a query, at most {QUERY_LIMIT_BYTES} are sent"
        raise SettingsError(message, step="read job", peer=str(path))
    return query


def fetch(peer: str, query: str) -> dict[str, Any]:
    """Return the answer of an entry VM.

    :raises RequestError: if it refuses the request or does not answer.
    """
    return asyncio.run(_fetch(peer, query))


async def _fetch(peer: str, query: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(
        total=TIMEOUT_MS / 1_000, sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000
    )
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{peer}{PATH}?{query}") as response,
        ):
            status, body = response.status, await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
        raise _error(repr(error), "unreachable", 503, peer) from error
    try:
        data = parse_object(body)
    except DecodeError:
        message = f"status {status} without a JSON object"
        raise _error(message, "invalid_answer", status, peer) from None
    if status != 200:
        code = "not_found" if status == 404 else "unavailable" if status == 503 else "refused"
        raise _error(str(data.get("reason", f"status {status}")), code, status, peer)
    return data


def _error(message: str, code: str, status: int, peer: str) -> RequestError:
    return RequestError(message, code=code, status=status, step="explain place", peer=peer)


def describe(answer: dict[str, Any]) -> Iterator[str]:
    """Yield a line for each task and for each of its candidates."""
    yield f"job {answer['job_id']} in pool {answer['pool']}, {answer['step_count']} waiting steps"
    if not answer["tasks"]:
        yield "no occurrence of the job is due"
    for task in answer["tasks"]:
        yield _describe_task(task)
        for candidate in task["candidates"]:
            lacks = "; ".join(candidate["lacks"]) or "would do"
            ranked_last = ", ".join(candidate["ranked_last"])
            yield f"    {candidate['upstream_id']}: {lacks}" + (
                f" (ranked last: {ranked_last})" if ranked_last else ""
            )
        if task["omitted_count"]:
            yield f"    and {task['omitted_count']} more upstreams"
    if answer["omitted_count"]:
        yield f"and {answer['omitted_count']} more tasks"


def _describe_task(task: dict[str, Any]) -> str:
    name = task["task"]
    if not task["order"]:
        where = f" at {task['upstream_id']}" if task["upstream_id"] else ""
        reason = f": {task['reason']}" if task["reason"] else ""
        return f"{name} {task['state']}{where}{reason}"
    place = f"goes to {task['upstream_id']}" if task["upstream_id"] else f"waits: {task['reason']}"
    start_in_ms = task["start_in_ms"]
    start = (
        "unknown" if start_in_ms is None else f"in {start_in_ms:.0f} ms" if start_in_ms else "now"
    )
    return (
        f"{name} {place}; step {task['order']} in the order, {task['ahead_count']} tasks before it;"
        f" expected start: {start}"
    )
