"""Dispatch actor of an entry VM: submissions, queries, cancellations and shutdown."""

from __future__ import annotations

import asyncio
import heapq
from typing import Any

from attrs import evolve

from . import admission, defaults, limits
from .admission import Submission
from .attempts import Evidence
from .errors import RequestError
from .fleetfollower import FleetFollower
from .jobs import (
    AnswerUnfinished,
    Cancel,
    Drain,
    FenceAndCountTasks,
    ForwardSubmission,
    JobEntry,
    Query,
    ReadLoggedOutcome,
    ReadReachability,
    ReadUsage,
    Rebalance,
    SetIncarnation,
    Submit,
    Usage,
)
from .journal import ReadJob
from .mailbox import new_reply, receives, resolve
from .model import Job, Mode, Outcome, Reply
from .replay import JobState
from .replies import (
    cancelled_error,
    different_body_error,
    issue_time_ms,
    logged_reply,
    pending_reply,
    refusal_reply,
    unknown_reply,
)
from .upstream import FenceIncarnation, FindResult


class Dispatch(FleetFollower):
    """Actor that owns the jobs of an entry VM, their queues and the upstreams' actors.

    :param rng: random number generator of the routing policies.
    """

    async def on_open(self) -> None:
        """Schedule the periodic rebalancing of rights."""
        self.subscribe(self._timer.every(defaults.RIGHTS_REBALANCE_MS), Rebalance())

    async def on_close(self) -> None:
        """Stop the upstreams' actors."""
        await asyncio.gather(*(upstream.stop() for upstream in self._upstreams.values()))

    # Submissions

    @receives(Submit)
    def _on_submit(self, message: Submit) -> None:
        submission = message.submission
        try:
            job = admission.admit(submission, self._admission_context())
            self._forward_or_admit(job, submission, message.reply)
        except RequestError as error:
            certain = self._has_not_started(submission.request_id)
            resolve(message.reply, refusal_reply(submission.request_id, error, certain=certain))

    def _forward_or_admit(
        self, job: Job, submission: Submission, reply: asyncio.Future[Reply]
    ) -> None:
        if job.guarded and job.issued_by and job.issued_by != self.incarnation:
            self._forward(job, submission, reply)
            return
        existing = self._jobs.get(job.request_id)
        if existing is not None:
            self._join_existing_job(existing, job, reply)
            return
        if job.guarded and job.issued_by:
            self._check_issue_time(job.request_id)
        queue = self._view.config.queue(job.queue)
        if (
            queue is not None
            and len(self._pool(job.pool).waiting_jobs) >= queue.waiting_limit_count
        ):
            raise RequestError(
                "queue is full",
                code="queue_full",
                status=429,
                step="admission",
                limit="waiting_limit_count",
            )
        self._admit(job, reply)

    def _forward(self, job: Job, submission: Submission, reply: asyncio.Future[Reply]) -> None:
        if submission.forwarded or self.peers is None:
            # A submission is forwarded only once, to the entry VM that issued its ID. This entry VM
            # has started a new incarnation since.
            resolve(reply, unknown_reply(job.request_id, "issuer_gone", "forward"))
            return
        self.peers.tell(ForwardSubmission(submission, job.issued_by, reply))

    def _join_existing_job(
        self, existing: JobEntry, job: Job, reply: asyncio.Future[Reply]
    ) -> None:
        same = (job.body_digest, job.queue, job.team)
        if same != (existing.job.body_digest, existing.job.queue, existing.job.team):
            raise RequestError(
                "request ID was already used with a different body",
                code="different_body",
                status=409,
                step="admission",
            )
        if existing.reply is not None:
            resolve(reply, existing.reply)
        elif existing.state in ("unresolved", "lost"):
            resolve(reply, unknown_reply(job.request_id, "no_answer", "attempt"))
        elif job.mode is Mode.DEFERRED and existing.state not in ("recording", "unconfirmed"):
            resolve(reply, Reply(job.request_id, Outcome.ACCEPTED, status=202))
        else:
            existing.waiters.append(reply)
            heapq.heappush(self._deadlines, (job.deadline_ms, job.request_id))
            self._schedule_sweep()

    def _check_issue_time(self, request_id: str) -> None:
        age_ms = self._timer.now_ms() - issue_time_ms(request_id)
        # An ID with a future issue time is forged. It would still be valid after its job has been
        # evicted here, so the job could run twice.
        if not 0 <= age_ms <= defaults.REQUEST_ID_VALIDITY_MS:
            raise RequestError(
                "request ID has expired or has an issue time in the future",
                code="request_id_expired",
                status=504,
                step="admission",
                limit="request_id_validity_ms",
            )

    def _admit(self, job: Job, reply: asyncio.Future[Reply]) -> None:
        entry = JobEntry(job, waiters=[reply], admitted_ms=self._timer.now_ms())
        logged_job = self._logged_jobs.get(job.request_id)
        if logged_job is not None and (logged_job.body_digest, logged_job.team) != (
            job.body_digest,
            job.team,
        ):
            raise different_body_error()
        if logged_job is None and admission.needs_claim(job) and not self._log_available:
            raise RequestError(
                "the log is unavailable",
                code="log_unavailable",
                status=503,
                step="admission",
                peer="log",
            )
        self._jobs[job.request_id] = entry
        heapq.heappush(self._deadlines, (job.deadline_ms, job.request_id))
        self._schedule_sweep()
        if logged_job is not None:
            self._step(entry, "known_elsewhere")
            self._apply_logged_state(entry, logged_job)
        elif job.mode is Mode.DEFERRED:
            self._step(entry, "admit_durable")
        else:
            self._step(entry, "admit")
            self._place_jobs(job.pool)

    # Queries

    def _find_visible_job(self, message: Query | Cancel) -> JobEntry | None:
        entry = self._jobs.get(message.request_id)
        if entry is not None and self._may_see(entry.job.team, message.key_id):
            return entry
        return None

    def _may_see(self, team: str, key_id: str) -> bool:
        return admission.may_see(team, key_id, self._admission_context())

    @receives(Query)
    async def _on_query(self, message: Query) -> None:
        entry = self._find_visible_job(message)
        if entry is None or entry.state == "elsewhere":
            resolve(message.reply, None)
        elif entry.reply is not None:
            resolve(message.reply, entry.reply)
        else:
            resolve(message.reply, pending_reply(entry))

    @receives(Cancel)
    def _on_cancel(self, message: Cancel) -> None:
        entry = self._find_visible_job(message)
        if entry is None:
            resolve(message.reply, None)
            return
        if entry.state == "queued" and entry.job.mode is not Mode.DEFERRED:
            self._remove_from_queue(entry)
            self._step(entry, "cancel", error=cancelled_error())
        elif entry.state == "queued" and not entry.claim_epoch:
            # Another entry VM may have adopted the job, so the log decides whether it is cancelled.
            self._remove_from_queue(entry)
            entry.waiters.append(message.reply)
            self._step(entry, "cancel_recorded")
            return
        resolve(message.reply, entry.reply or pending_reply(entry))

    @receives(ReadLoggedOutcome)
    def _on_read_logged_outcome(self, message: ReadLoggedOutcome) -> None:
        self.spawn(self._read_logged(message))

    async def _read_logged(self, message: ReadLoggedOutcome) -> None:
        reply_future: asyncio.Future[JobState | None] = new_reply()
        self._journal.tell(ReadJob(message.request_id, reply_future))
        logged_job = await reply_future
        if logged_job is not None and not self._may_see(logged_job.team, message.key_id):
            logged_job = None
        if logged_job is not None and logged_job.outcome is None and logged_job.claimed_worker:
            logged_job = await self._ask_claimed_worker(logged_job)
        resolve(message.reply, None if logged_job is None else logged_reply(logged_job))

    async def _ask_claimed_worker(self, logged_job: JobState) -> JobState:
        upstream = self._upstreams.get(logged_job.claimed_worker)
        if upstream is None:
            return logged_job
        reply_future: asyncio.Future[Evidence] = new_reply()
        upstream.tell(FindResult(logged_job.request_id, reply_future))
        answer = (await reply_future).answer
        if answer is None:
            return logged_job
        return evolve(
            logged_job, outcome=Outcome.ANSWERED, body=answer.body, succeeded=answer.succeeded
        )

    @receives(FindResult)
    def _on_find_result(self, message: FindResult) -> None:
        self.spawn(self._query_all_guards(message))

    async def _query_all_guards(self, message: FindResult) -> None:
        replies = []
        for upstream in self._upstreams.values():
            replies.append(new_reply())
            upstream.tell(FindResult(message.request_id, replies[-1]))
        found = await _collect_replies(replies)
        results = [
            evidence
            for evidence in found
            if evidence is not None
            and evidence.event == "result"
            and self._may_see(evidence.team, message.key_id)
        ]
        resolve(message.reply, results[0] if results else Evidence("no_answer"))

    @receives(FenceAndCountTasks)
    def _on_fence_and_count_tasks(self, message: FenceAndCountTasks) -> None:
        self.spawn(self._count_tasks(message))

    async def _count_tasks(self, message: FenceAndCountTasks) -> None:
        idle_boot_ids = self._idle_boot_ids.setdefault(message.incarnation, {})
        replies: dict[str, asyncio.Future[tuple[int, str] | None]] = {}
        for name, upstream in self._upstreams.items():
            if (
                name not in idle_boot_ids
                or idle_boot_ids[name] != self._upstream_facts[name].boot_id
            ):
                replies[name] = new_reply()
                upstream.tell(FenceIncarnation(message.incarnation, replies[name]))
        if replies:
            # An upstream's actor that is stopped in the meantime never replies.
            await asyncio.wait(replies.values(), timeout=2 * defaults.CONTROL_TIMEOUT_MS / 1_000)
        running_count: int | None = 0
        for name, reply in replies.items():
            found = reply.result() if reply.done() else None
            if found is None or running_count is None:
                running_count = None
            else:
                running_count += found[0]
            if found is not None and not found[0]:
                idle_boot_ids[name] = found[1]
        if running_count == 0:
            self._idle_boot_ids.pop(message.incarnation, None)
        resolve(message.reply, running_count)

    @receives(ReadUsage)
    def _on_read_usage(self, message: ReadUsage) -> None:
        rights = {team: self._ledger.held_count(team) for team in self._view.rights}
        usage = Usage(dict(self._ledger.running), dict(self._waiting_counts), rights)
        resolve(message.reply, usage)

    @receives(ReadReachability)
    def _on_read_reachability(self, message: ReadReachability) -> None:
        now_ms = self._timer.now_ms()
        pools = [pool for pool in self._pools.values() if pool.upstreams]
        all_unreachable = pools and all(pool.health.unreachable(now_ms) for pool in pools)
        resolve(message.reply, not all_unreachable)

    # Shutdown and new incarnations

    @receives(Drain)
    def _on_drain(self, message: Drain) -> None:
        self._is_draining = True
        self._drain_replies.append(message.reply)
        for entry in list(self._jobs.values()):
            if entry.state == "queued" and entry.job.mode is Mode.DEFERRED:
                # Another entry VM adopts the job once this incarnation is retired.
                self._remove_from_queue(entry)
                self._jobs.pop(entry.job.request_id, None)
        self._check_drained()

    @receives(AnswerUnfinished)
    def _on_answer_unfinished(self, _: AnswerUnfinished) -> None:
        for entry in self._jobs.values():
            if entry.waiters:
                self._reply_to_waiters(entry, pending_reply(entry), final=False)

    @receives(SetIncarnation)
    def _on_set_incarnation(self, message: SetIncarnation) -> None:
        self.incarnation = message.incarnation
        self._ledger = limits.RightsLedger(
            message.incarnation, self._view.rights, running=self._ledger.running
        )
        for name in list(self._upstreams):
            self._drop_upstream(name)
        self._vms_changed()


async def _collect_replies(replies: list[asyncio.Future[Any]]) -> list[Any]:
    """Return the replies of upstreams' actors, None for each that has not replied in time."""
    if replies:
        await asyncio.wait(replies, timeout=2 * defaults.CONTROL_TIMEOUT_MS / 1_000)
    return [reply.result() if reply.done() else None for reply in replies]
