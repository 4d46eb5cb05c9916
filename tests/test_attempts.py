"""Evidence from an upstream's answer, or from a missing one."""

from __future__ import annotations

import pytest

from tarragoncart.attempts import (
    Evidence,
    digest_answer,
    evidence_from_guard,
    evidence_from_response,
)
from tarragoncart.model import Answer, Attempt, HealthVerdict

ATTEMPT = Attempt("a-1", "r", "w")
RESULT = {"request_id": "r", "status": "completed", "body": {"x": 1}, "team": "shop"}
RESULT["digest"] = digest_answer(RESULT["body"])
ANSWERED = Evidence("result", HealthVerdict.RESULT, answer=Answer({"x": 1}, True, "w"), team="shop")
LOST = "no_answer", HealthVerdict.ERROR_ANSWER


@pytest.mark.parametrize("code", ["busy", "leaving", "stale_lease", "fenced"])
def test_a_guard_refusal_proves_that_nothing_started(code):
    """Guards against a refused job whose outcome is reported as unknown, and against a refusal
    after an earlier start that is taken as proof that nothing was started."""
    refusal = {"code": code, "started": False}
    assert evidence_from_response(ATTEMPT, 409, refusal) == Evidence("not_started", None, code)
    for data in (refusal | {"started": True}, {"code": code}, {"code": code, "started": 0}):
        assert evidence_from_response(ATTEMPT, 409, data).event == "no_answer"


@pytest.mark.parametrize(
    "data",
    [
        None,
        "text",
        [],
        {},
        RESULT | {"request_id": "s"},
        RESULT | {"body": {"x": 2}},
        RESULT | {"digest": None},
        RESULT | {"status": "stopped"},
        {k: v for k, v in RESULT.items() if k != "digest"},
    ],
)
def test_a_damaged_or_crossed_answer_proves_nothing(data):
    """Guards against delivery of a damaged answer or of one to another request."""
    evidence = evidence_from_response(ATTEMPT, 200, data)
    assert (evidence.event, evidence.verdict) == LOST and evidence.answer is None
    assert evidence_from_guard("r", "w", data, guard_intact=True).event == "no_answer"


def test_other_errors_of_a_worker_prove_nothing():
    """Guards against a reply of "not run" for a job that a failing worker may have started."""
    for status, data in [(500, {}), (400, {"code": "bad_request"}), (409, RESULT)]:
        evidence = evidence_from_response(ATTEMPT, status, data)
        assert (evidence.event, evidence.verdict) == LOST
    assert evidence_from_response(ATTEMPT, 409, {"code": "running", "started": True}).running


def test_a_guard_that_has_lost_entries_does_not_prove_a_job_not_started():
    """Guards against a reply of "not run" based on a guard that has lost the entry of the start."""
    for guard_intact in (True, False):
        assert (
            evidence_from_guard(
                "r", "w", RESULT | {"state": "completed"}, guard_intact=guard_intact
            )
            == ANSWERED
        )
        assert evidence_from_guard(
            "r", "w", {"state": "running"}, guard_intact=guard_intact
        ).running
    assert (
        evidence_from_guard("r", "w", {"state": "fenced"}, guard_intact=True).event == "not_started"
    )
    assert (
        evidence_from_guard("r", "w", {"state": "unknown"}, guard_intact=True).event == "no_answer"
    )
    assert (
        evidence_from_guard("r", "w", {"state": "fenced"}, guard_intact=False).event == "guard_lost"
    )
    assert evidence_from_guard("r", "w", None, guard_intact=False).event == "no_answer"
