"""The leader's answers to requests for an explanation of where a job would be placed."""

from __future__ import annotations

import asyncio

from attrs import frozen

from . import assignment, defaults
from .assignment import Usage
from .explanation import Explanation, PoolState, explain
from .graph import JobSpec, Submission
from .jobmodel import Job
from .mailbox import receives, resolve
from .takeover import TakeOver

# ID of a job that is not submitted, in the names of its tasks.
GIVEN_JOB_ID = "given"


@frozen
class GivenJob:
    """A job that is not submitted, of which an explanation is requested.

    :param account: account whose limit applies, empty for none.
    """

    queue: str
    account: str
    spec: JobSpec


@frozen
class NoExplanation:
    """Why the placement of a job cannot be explained.

    :param unknown: there is no such job or queue; otherwise another attempt may succeed.
    """

    reason: str
    unknown: bool = False


@frozen
class ExplainPlace:
    """Request to explain where the tasks of a job would be placed now; it changes nothing.

    :param job: ID of an accepted job, or a job that is not submitted.
    """

    job: str | GivenJob
    reply: asyncio.Future[Explanation | NoExplanation]


class PlaceAnswers(TakeOver):
    """Explains placements from the leader's state, without changing it."""

    @receives(ExplainPlace)
    def on_explain_place(self, message: ExplainPlace) -> None:
        """Explain where the tasks of a job would be placed."""
        resolve(message.reply, self._explain_place(message.job))

    def _explain_place(self, wanted: str | GivenJob) -> Explanation | NoExplanation:
        now_ms = self._timer.now_ms()
        if not self._loaded:
            return NoExplanation("the leader has not restored the accepted jobs yet")
        if now_ms >= self._permitted_until_ms:
            return NoExplanation("the leadership is not confirmed")
        if isinstance(wanted, GivenJob):
            job = self._make_given_job(wanted)
            if job is None:
                return NoExplanation(f"there is no queue {wanted.queue}", unknown=True)
        else:
            found = self._jobs.get(wanted)
            if found is None:
                return NoExplanation(f"the leader knows no job {wanted}", unknown=True)
            if not isinstance(found, Job) or found.ended:
                return NoExplanation(f"the job has ended: {found.phase}", unknown=True)
            job = found
        upstreams = [u for u in self._upstreams.values() if u.slot.entry.pool == job.pool]
        held = "operators' records are too old, so nothing is started"
        state = PoolState(
            job.pool,
            tuple(self._ready_steps.get(job.pool, ())),
            [upstream.slot for upstream in upstreams],
            frozenset(u.slot.entry.upstream_id for u in upstreams if u.link is not None),
            self._read_usage,
            self._placement,
            assignment.ORDERS.get(defaults.STEP_ORDER),
            now_ms,
            self._timer.wall_ms(),
            held if now_ms >= self._evacuations.starts_until_ms else "",
        )
        return explain(job, state)

    def _make_given_job(self, given: GivenJob) -> Job | None:
        """Return a job that is not submitted, None if there is no such queue."""
        rules = {rule.name: rule for rule in self._rules.queues}
        rule = rules.get(given.queue)
        if rule is None:
            return None
        submission = Submission.to_queue(
            rule, GIVEN_JOB_ID, given.account, self._timer.wall_ms(), given.spec
        )
        job = Job(submission)
        job.release(0)
        return job

    def _read_usage(self, account: str) -> Usage:
        """Return the usage of an account without storing a new one."""
        usage = self._usages.get(account)
        if usage is None:
            usage = Usage()
            self._apply_rule(account, usage)
        return usage
