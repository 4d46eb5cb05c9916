"""Classification of an upstream's answer, or of a missing one, to an attempt or guard query."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

from attrs import frozen

from .model import Answer, Attempt, HealthVerdict

# Codes with which a guard refuses an attempt; each proves that nothing was started.
GUARD_REFUSAL_CODES = frozenset(("busy", "leaving", "stale_lease", "fenced"))


@frozen
class Evidence:
    """What a call to a worker has shown about an attempt.

    :param event: event of the job chart: ``result``, ``not_started``, ``no_answer`` or
        ``guard_lost``.
    :param verdict: what the call shows about the upstream's health, None if nothing.
    :param code: the worker's error code or the kind of failure, empty if there is none.
    :param running: whether the worker has answered that the job is running.
    :param team: team of the job whose result was found, empty for a job of an open queue.
    """

    event: str
    verdict: HealthVerdict | None = None
    code: str = ""
    answer: Answer | None = None
    running: bool = False
    team: str = ""


def digest_answer(body: Any) -> str:
    """Return the SHA-256 digest of a worker's answer in its canonical JSON form."""
    canonical = json.dumps(body, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(canonical.encode()).hexdigest()


def is_valid_answer(request_id: str, data: Mapping[str, Any]) -> bool:
    """Return whether a decoded answer is intact and belongs to the request."""
    return (
        data.get("request_id") == request_id
        and data.get("status") in ("completed", "failed")
        and data.get("digest") == digest_answer(data.get("body"))
    )


def evidence_from_response(attempt: Attempt, status: int, data: Any) -> Evidence:
    """Return the evidence from the response to an attempt.

    A damaged answer, or one to another request, counts as no answer: the job may have run.

    :param status: HTTP status of the response.
    :param data: decoded body, None if it could not be decoded.
    """
    if not isinstance(data, Mapping):
        return Evidence("no_answer", HealthVerdict.ERROR_ANSWER, "undecodable_answer")
    if status == 200:
        if not is_valid_answer(attempt.request_id, data):
            return Evidence("no_answer", HealthVerdict.ERROR_ANSWER, "mismatched_answer")
        return _result(attempt.worker, data)
    code = str(data.get("code", "error"))
    if code in GUARD_REFUSAL_CODES and data.get("started") is False:
        # A full or leaving worker is healthy.
        return Evidence("not_started", None, code)
    return Evidence("no_answer", HealthVerdict.ERROR_ANSWER, code, running=code == "running")


def evidence_from_guard(request_id: str, worker: str, data: Any, *, guard_intact: bool) -> Evidence:
    """Return the evidence from a guard's answer about one request.

    :param data: decoded body, None if there is none.
    :param guard_intact: whether the guard still holds all its entries since the attempt was sent.
        A guard that was emptied by a restart, or that has evicted old results, does not prove that
        the job did not start.
    """
    if not isinstance(data, Mapping):
        return Evidence("no_answer")
    state = data.get("state")
    if state in ("completed", "failed") and is_valid_answer(request_id, data):
        return _result(worker, data)
    if state == "running":
        return Evidence("no_answer", running=True)
    if not guard_intact:
        return Evidence("guard_lost")
    if state == "fenced":
        return Evidence("not_started")
    return Evidence("no_answer", code="unknown" if state == "unknown" else "")


def _result(worker: str, data: Mapping[str, Any]) -> Evidence:
    succeeded = data["status"] == "completed"
    verdict = HealthVerdict.RESULT if succeeded else HealthVerdict.ERROR_ANSWER
    answer = Answer(data["body"], succeeded, worker)
    return Evidence("result", verdict, answer=answer, team=str(data.get("team", "")))
