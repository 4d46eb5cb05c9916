"""What an upstream's answer, or the lack of one, says about an attempt."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from .model import Answer, Attempt, Verdict

# Refusals by the guard: each proves that nothing was started.
REFUSALS = frozenset(("busy", "leaving", "stale_lease", "fenced"))


@frozen
class Evidence:
    """What is known after a call to a worker.

    :param event: event of the job chart: ``result``, ``not_started``, ``no_answer`` or
        ``guard_lost``.
    :param verdict: what the call says about the upstream's health, None if nothing.
    :param running: the worker says that the job is running.
    :param team: whose job the guard has found, empty for a job of an open queue.
    """

    event: str
    verdict: Verdict | None = None
    code: str = ""
    answer: Answer | None = None
    running: bool = False
    team: str = ""


def digest_answer(body: Any) -> str:
    """Return the SHA-256 digest of a worker's answer in its canonical JSON form."""
    canonical = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def is_own_answer(request_id: str, data: Mapping[str, Any]) -> bool:
    """Tell whether a decoded answer is whole and belongs to the request."""
    return (
        data.get("request_id") == request_id
        and data.get("status") in ("completed", "failed")
        and data.get("digest") == digest_answer(data.get("body"))
    )


def judge_response(attempt: Attempt, status: int, data: Any) -> Evidence:
    """Judge the response to an attempt.

    A swapped or damaged answer counts as none: the job may have run.

    :param data: the decoded body, None if it could not be decoded.
    """
    if not isinstance(data, Mapping):
        return Evidence("no_answer", Verdict.ERROR_ANSWER, "undecodable_answer")
    if status == 200:
        if not is_own_answer(attempt.request_id, data):
            return Evidence("no_answer", Verdict.ERROR_ANSWER, "mismatched_answer")
        return _result(attempt.worker, data)
    code = str(data.get("code", "error"))
    if code in REFUSALS and data.get("started") is False:
        # A full or leaving worker is healthy.
        return Evidence("not_started", None, code)
    return Evidence("no_answer", Verdict.ERROR_ANSWER, code, running=code == "running")


def judge_guard(request_id: str, worker: str, data: Any, *, kept: bool) -> Evidence:
    """Judge a guard's answer to a fence of one request.

    :param kept: the guard has kept all that it knew since the attempt was sent; one that was
        emptied by a restart, or has forgotten old results, proves nothing.
    """
    if not isinstance(data, Mapping):
        return Evidence("no_answer")
    state = data.get("state")
    if state in ("completed", "failed") and is_own_answer(request_id, data):
        return _result(worker, data)
    if state == "running":
        return Evidence("no_answer", running=True)
    if not kept:
        return Evidence("guard_lost")
    if state == "fenced":
        return Evidence("not_started")
    return Evidence("no_answer", code="unknown" if state == "unknown" else "")


def _result(worker: str, data: Mapping[str, Any]) -> Evidence:
    succeeded = data["status"] == "completed"
    verdict = Verdict.RESULT if succeeded else Verdict.ERROR_ANSWER
    answer = Answer(data["body"], succeeded, worker)
    return Evidence("result", verdict, answer=answer, team=str(data.get("team", "")))
