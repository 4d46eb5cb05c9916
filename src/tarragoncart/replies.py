"""Replies and errors for callers, and request IDs issued by entry VMs."""

from __future__ import annotations

import secrets

from .errors import LogUnavailableError, RequestError
from .jobs import JobEntry
from .model import Answer, Mode, Outcome, Reply
from .replay import JobState


def refusal_reply(request_id: str, error: RequestError, *, certain: bool = True) -> Reply:
    """Return the reply for a request that this entry VM did not run.

    :param certain: whether nothing else can have run it under this request ID. If not, the outcome
        is unknown, because the same ID may have been submitted to another entry VM.
    """
    certainly_not_run = certain and error.status != 504 and error.code != "different_body"
    outcome = Outcome.NOT_RUN if certainly_not_run else Outcome.OUTCOME_UNKNOWN
    return Reply(
        request_id,
        outcome,
        code=error.code,
        message=error.message,
        step=error.step,
        peer=error.peer,
        limit=error.limit,
        status=error.status,
    )


def pending_reply(entry: JobEntry) -> Reply:
    """Return the reply for a job that has not ended: "accepted" if it is deferred and recorded."""
    recorded = entry.job.mode is Mode.DEFERRED and entry.state not in ("recording", "unconfirmed")
    if recorded and entry.state != "lost":
        return Reply(entry.job.request_id, Outcome.ACCEPTED, code="pending", status=202)
    return unknown_reply(entry.job.request_id, "no_answer", "query")


def cancelled_error() -> RequestError:
    return RequestError("cancelled by the caller", code="cancelled", status=200, step="cancel")


def unknown_reply(request_id: str, code: str, step: str, peer: str = "") -> Reply:
    """Return the reply for a request that may have run."""
    return Reply(
        request_id,
        Outcome.OUTCOME_UNKNOWN,
        code=code,
        message="the job may have run; query the request ID for its outcome",
        step=step,
        peer=peer,
        status=504,
    )


def logged_reply(logged_job: JobState) -> Reply:
    """Return the reply for a job from its state in the log."""
    if logged_job.outcome is Outcome.ANSWERED:
        answer = Answer(logged_job.body, logged_job.succeeded, logged_job.claimed_worker)
        return Reply(logged_job.request_id, Outcome.ANSWERED, answer)
    if logged_job.outcome is Outcome.NOT_RUN:
        return refusal_reply(logged_job.request_id, recorded_not_run_error(logged_job.code))
    if logged_job.outcome is Outcome.OUTCOME_UNKNOWN:
        return unknown_reply(
            logged_job.request_id, logged_job.code, "attempt", logged_job.claimed_worker
        )
    if not logged_job.queue:
        # Only deferred jobs are accepted in the log, with their queue; of others it has the claim.
        return unknown_reply(
            logged_job.request_id, "no_answer", "attempt", logged_job.claimed_worker
        )
    return Reply(logged_job.request_id, Outcome.ACCEPTED, code="pending", status=202)


def issue_request_ids(entry: str, incarnation: str, now_ms: float, count: int) -> list[str]:
    """Return new request IDs; each contains the time of issue and 40 random bits."""
    issued_ms = int(now_ms)
    return [f"{entry}.{incarnation}.{issued_ms << 40 | secrets.randbits(40)}" for _ in range(count)]


def issue_time_ms(request_id: str) -> float:
    """Return when a request ID was issued, on the issuer's monotonic clock."""
    return int(request_id.rsplit(".", 1)[1]) >> 40


def log_unavailable_error(error: LogUnavailableError) -> RequestError:
    return RequestError(
        error.message, code="log_unavailable", status=503, step=error.step, peer=error.peer
    )


def expired_error() -> RequestError:
    return RequestError(
        "request ID is too old to be started; its job may have run",
        code="request_id_expired",
        status=504,
        step="admission",
    )


def different_body_error() -> RequestError:
    return RequestError(
        "request ID was already used with a different body",
        code="different_body",
        status=409,
        step="replay",
    )


def recorded_not_run_error(code: str) -> RequestError:
    return RequestError("the job was not run", code=code or "not_run", status=503, step="replay")
