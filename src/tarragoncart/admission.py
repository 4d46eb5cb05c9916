"""Admission control: decides whether a submission becomes a job."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from . import defaults
from .errors import RequestError
from .model import Job, Mode, QueueSpec, issuer_of
from .replay import FleetView

STEP = "admission"


@frozen
class Submission:
    """A decoded submission.

    :param key_id: digest of the caller's key, empty if none was sent.
    :param deadline_ms: time from arrival until the caller needs an outcome, in ms.
    :param forwarded: whether a peer has forwarded it.
    """

    request_id: str
    queue: str
    key_id: str
    payload: Any
    body_digest: str
    deadline_ms: float
    declared_run_ms: float
    forwarded: bool = False


@frozen
class AdmissionContext:
    """State of the entry VM on which admission decides.

    :param view_age_ms: age of the view; above a bound, submissions with a key are refused.
    :param loaded: whether the view has been loaded since the start.
    :param withdrawn: IDs of keys withdrawn through a peer while the log is unavailable.
    """

    view: FleetView
    view_age_ms: float
    loaded: bool
    draining: bool
    now_ms: float
    key_freshness_ms: float = defaults.KEY_FRESHNESS_MS
    withdrawn: frozenset[str] = frozenset()


def admit(submission: Submission, context: AdmissionContext) -> Job:
    """Return the job for a submission.

    :raises RequestError: if the submission is refused; nothing of it has run.
    """
    if context.draining or not context.loaded:
        state = "draining" if context.draining else "starting"
        raise RequestError(f"entry VM is {state}", code=state, status=503, step=STEP)
    queue = context.view.config.queue(submission.queue)
    if queue is None:
        raise RequestError(
            f"unknown queue {submission.queue!r}", code="unknown_queue", status=404, step=STEP
        )
    if submission.deadline_ms <= 0:
        raise RequestError(
            "deadline is in the past", code="deadline_in_past", status=408, step=STEP
        )
    team = "" if queue.open_to_all else _team_of(submission.key_id, context)
    if team and team not in context.view.rights:
        raise RequestError(f"unknown team {team!r}", code="unknown_team", status=401, step=STEP)
    return _job(submission, queue, team, context.now_ms)


def check_start(job: Job, context: AdmissionContext) -> None:
    """Check an interactive job's key again before it starts.

    The key may have been withdrawn while the job waited, and must be refused within a fixed time.

    :raises RequestError: if the key is no longer accepted; the job has not run.
    """
    if job.key_id:
        _team_of(job.key_id, context)


def _team_of(key_id: str, context: AdmissionContext) -> str:
    grant = context.view.keys.get(key_id)
    if grant is None or key_id in context.withdrawn:
        raise RequestError("missing or unknown key", code="key_refused", status=401, step=STEP)
    bound_ms = context.key_freshness_ms + grant.cutoff_grace_s * 1_000
    if context.view_age_ms > bound_ms:
        raise RequestError(
            f"view is {context.view_age_ms:.0f} ms old and may lack the withdrawal of a key",
            code="view_too_old",
            status=503,
            step=STEP,
            limit="key_freshness_ms",
        )
    return grant.team


def may_see(team: str, key_id: str, context: AdmissionContext) -> bool:
    """Return whether a key gives access to a team's jobs; jobs of open queues have no team.

    The age of the view is ignored, so that a partitioned entry VM still returns outcomes.
    """
    grant = context.view.keys.get(key_id)
    granted = grant is not None and grant.team == team and key_id not in context.withdrawn
    return not team or granted


def _job(submission: Submission, queue: QueueSpec, team: str, now_ms: float) -> Job:
    issuer = issuer_of(submission.request_id)
    keyed = bool(team) and queue.mode is Mode.INTERACTIVE
    return Job(
        request_id=submission.request_id,
        queue=queue.name,
        team=team,
        payload=submission.payload,
        body_digest=submission.body_digest,
        declared_run_ms=submission.declared_run_ms,
        deadline_ms=now_ms + min(submission.deadline_ms, defaults.DEADLINE_MAX_MS),
        guarded=queue.guarded,
        mode=queue.mode,
        pool=queue.pool,
        issued_by=issuer[1] if issuer else "",
        key_id=submission.key_id if keyed else "",
    )


def needs_claim(job: Job) -> bool:
    """Return whether a job must be claimed in the log before each attempt.

    A request ID that an entry VM issued can be started only by that incarnation. Any other guarded
    job, and any deferred job, could otherwise be started by two entry VMs at once.
    """
    return job.mode is Mode.DEFERRED or (job.guarded and not job.issued_by)
