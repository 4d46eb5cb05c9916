"""Owner of jobs, queues and rights in use on one entry VM."""

from __future__ import annotations

import asyncio
import functools
import hashlib
import heapq
import logging
import random
from collections import Counter
from typing import Any

from attrs import evolve

from . import admission, defaults, fairqueue, limits, metrics, records
from .admission import Standing, Submission
from .attempts import Evidence
from .errors import LogUnavailableError, RequestError
from .jobs import (
    JOB_CHART,
    Cancel,
    CountTasks,
    Drain,
    FenceDue,
    ForwardSubmission,
    JobEntry,
    OwnDemand,
    PeersChanged,
    PlaceWaiting,
    ProbeUpstreams,
    Query,
    ReadLogged,
    ReadReach,
    ReadUsage,
    Rebalance,
    RecordEnded,
    Submit,
    SweepDeadlines,
    Usage,
    UseIncarnation,
    VmsListed,
)
from .journal import Append, JobChanged, Journal, ReadJob, ViewChanged
from .mailbox import Actor, carries_out, new_reply, receives, resolve
from .model import Answer, Attempt, Job, Mode, Outcome, Reply, VmSpec, issuer_of
from .placement import PoolPlacement, UpstreamFacts
from .replay import AuditEntry, FleetView, JobState
from .replies import (
    cancelled,
    different_body,
    expired,
    issue_time_ms,
    log_refused,
    logged_reply,
    pending,
    recorded_not_run,
    refusal,
    unknown,
)
from .timer import Timer
from .upstream import (
    AttemptEnded,
    FenceIncarnation,
    FenceRequest,
    FindResult,
    RenewLease,
    Transmit,
    Upstream,
    UpstreamChanged,
)

logger = logging.getLogger(__name__)


class Dispatch(Actor):
    """Owns all jobs of an entry VM.

    :param rng: source of randomness of the routing policies.
    """

    def __init__(
        self,
        entry: str,
        data_centre: str,
        incarnation: str,
        journal: Journal,
        timer: Timer,
        rng: random.Random,
        source_address: str = "",
        key_freshness_ms: float = defaults.KEY_FRESHNESS_MS,
    ) -> None:
        super().__init__("dispatch")
        self.entry = entry
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.peers: Actor | None = None
        self.operations: Actor | None = None
        self._journal = journal
        self._timer = timer
        self._rng = rng
        self._source_address = source_address
        self._key_freshness_ms = key_freshness_ms
        self._view = FleetView()
        self._fresh_as_of_ms = float("-inf")
        self._loaded = False
        self._log_available = False
        self._draining: list[asyncio.Future[None]] = []
        self._is_draining = False
        self._jobs: dict[str, JobEntry] = {}
        self._log_jobs: dict[str, JobState] = {}
        self._finished: dict[str, float] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._pool_names: dict[str, str] = {}
        self._sweep_due_ms = float("inf")
        self._pools: dict[str, PoolPlacement] = {}
        self._slot_use = fairqueue.Ledger()
        self._upstreams: dict[str, Upstream] = {}
        self._facts: dict[str, UpstreamFacts] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._ledger = limits.RightsLedger(incarnation)
        self._waiting: Counter[str] = Counter()
        # Attempts of retried idempotent jobs that may still run; they keep their right.
        self._stranded: dict[str, tuple[Attempt, str]] = {}
        # Boot IDs of the workers at which a retired incarnation is fenced and runs nothing.
        self._fenced: dict[str, dict[str, str]] = {}
        self._wants: list[limits.PeerWants] = []
        self._withdrawn: frozenset[str] = frozenset()
        self._attempt_number = 0
        self._ticked_ms = timer.now_ms()
        self._resumed_ms = float("-inf")

    @property
    def view(self) -> FleetView:
        """The present view, read-only."""
        return self._view

    @property
    def config_version(self) -> int | None:
        """Version of the configuration in force here."""
        return self._view.config_version if self._loaded else None

    @property
    def draining(self) -> bool:
        """Whether this entry VM refuses new work because it is about to stop."""
        return self._is_draining

    @property
    def view_age_ms(self) -> float:
        """Age of the view."""
        return min(self._timer.now_ms() - self._fresh_as_of_ms, 1e12)

    async def opened(self) -> None:
        """Subscribe to the timer."""
        self.subscribe(self._timer.every(defaults.RIGHTS_REBALANCE_MS), Rebalance())

    async def closed(self) -> None:
        """Stop the upstreams' actors."""
        await asyncio.gather(*(upstream.stop() for upstream in self._upstreams.values()))

    # Submissions

    @receives(Submit)
    def _on_submit(self, message: Submit) -> None:
        submission = message.submission
        try:
            job = admission.admit(submission, self._standing())
            self._take(job, submission, message.reply)
        except RequestError as error:
            certain = self._has_not_started(submission.request_id)
            resolve(message.reply, refusal(submission.request_id, error, certain=certain))

    def _has_not_started(self, request_id: str) -> bool:
        """Tell whether nothing can have started this request ID, which is not among the jobs."""
        if not self._is_sole_starter(request_id) or request_id in self._jobs:
            return False
        # Jobs stay known for longer than their IDs may be submitted.
        return self._timer.now_ms() - issue_time_ms(request_id) <= defaults.REQUEST_ID_VALIDITY_MS

    def _is_sole_starter(self, request_id: str) -> bool:
        """Tell whether no other entry VM can have started this request ID."""
        return issuer_of(request_id) == (self.entry, self.incarnation)

    def _standing(self) -> Standing:
        now_ms = self._timer.now_ms()
        return Standing(
            view=self._view,
            view_age_ms=now_ms - self._fresh_as_of_ms,
            loaded=self._loaded,
            draining=self._is_draining,
            now_ms=now_ms,
            key_freshness_ms=self._key_freshness_ms,
            withdrawn=self._withdrawn,
        )

    def _take(self, job: Job, submission: Submission, reply: asyncio.Future[Reply]) -> None:
        if job.guarded and job.issued_by and job.issued_by != self.incarnation:
            self._forward(job, submission, reply)
            return
        known = self._jobs.get(job.request_id)
        if known is not None:
            self._join_known(known, job, reply)
            return
        if job.guarded and job.issued_by:
            self._check_issue_time(job.request_id)
        queue = self._view.config.queue(job.queue)
        if queue is not None and len(self._pool(job.pool).order) >= queue.waiting_limit_count:
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
            # Forwarding is limited to one hop; the issuer has taken a new incarnation since.
            resolve(reply, unknown(job.request_id, "issuer_gone", "forward"))
            return
        self.peers.tell(ForwardSubmission(submission, job.issued_by, reply))

    def _join_known(self, known: JobEntry, job: Job, reply: asyncio.Future[Reply]) -> None:
        same = (job.body_digest, job.queue, job.team)
        if same != (known.job.body_digest, known.job.queue, known.job.team):
            raise RequestError(
                "request ID was used with another body",
                code="different_body",
                status=409,
                step="admission",
            )
        if known.reply is not None:
            resolve(reply, known.reply)
        elif known.state in ("unresolved", "lost"):
            resolve(reply, unknown(job.request_id, "no_answer", "attempt"))
        elif job.mode is Mode.DEFERRED and known.state not in ("recording", "unconfirmed"):
            resolve(reply, Reply(job.request_id, Outcome.ACCEPTED, status=202))
        else:
            known.waiters.append(reply)
            heapq.heappush(self._deadlines, (job.deadline_ms, job.request_id))
            self._plan_sweep()

    def _check_issue_time(self, request_id: str) -> None:
        age_ms = self._timer.now_ms() - issue_time_ms(request_id)
        # An ID of the future is forged; it could be started again once it has been forgotten here.
        if not 0 <= age_ms <= defaults.REQUEST_ID_VALIDITY_MS:
            raise RequestError(
                "request ID was not issued recently, so it cannot be started",
                code="request_id_expired",
                status=504,
                step="admission",
                limit="request_id_validity_ms",
            )

    def _admit(self, job: Job, reply: asyncio.Future[Reply]) -> None:
        entry = JobEntry(job, waiters=[reply], admitted_ms=self._timer.now_ms())
        known = self._log_jobs.get(job.request_id)
        if known is not None and (known.body_digest, known.team) != (job.body_digest, job.team):
            raise different_body()
        if known is None and admission.needs_claim(job) and not self._log_available:
            raise RequestError(
                "the log is unavailable",
                code="log_unavailable",
                status=503,
                step="admission",
                peer="log",
            )
        self._jobs[job.request_id] = entry
        heapq.heappush(self._deadlines, (job.deadline_ms, job.request_id))
        self._plan_sweep()
        if known is not None:
            self._step(entry, "known_elsewhere")
            self._follow_log(entry, known)
        elif job.mode is Mode.DEFERRED:
            self._step(entry, "admit_durable")
        else:
            self._step(entry, "admit")
            self._pump(job.pool)

    def _step(self, entry: JobEntry, event: str, **details: Any) -> None:
        self.step(JOB_CHART, entry, event, **details)
        if JOB_CHART.is_final(entry.state) and entry is self._jobs.get(entry.job.request_id):
            self._finished[entry.job.request_id] = self._timer.now_ms()

    # Records

    def _append(self, record: Any, expires_at_ms: float = float("inf")) -> None:
        reply = new_reply()

        def ended(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                self.tell(RecordEnded(record, done.result()))

        reply.add_done_callback(ended)
        self._journal.tell(Append(record, self.entry, reply, expires_at_ms))

    @receives(RecordEnded)
    def _on_record_ended(self, message: RecordEnded) -> None:
        self._record_ended(message.record, message.entry)

    @functools.singledispatchmethod
    def _record_ended(self, record: Any, entry: AuditEntry | LogUnavailableError) -> None:
        """Other records need no answer: replay shows their effect."""

    @_record_ended.register
    def _accept_ended(
        self, record: records.AcceptJob, entry: AuditEntry | LogUnavailableError
    ) -> None:
        job = self._jobs[record.request_id]
        if isinstance(entry, LogUnavailableError):
            self._step(job, "refuse", error=log_refused(entry))
        elif entry.accepted:
            self._step(job, "recorded")
            self._pump(job.job.pool)
        elif entry.reason == "different_body":
            self._forget_conflicting(job)
        elif entry.reason == "expired":
            self._step(job, "refuse", error=expired())
        else:
            self._step(job, "record_rejected")
            self._follow_logged(job)

    @_record_ended.register
    def _claim_ended(
        self, record: records.ClaimJob, entry: AuditEntry | LogUnavailableError
    ) -> None:
        job = self._jobs[record.request_id]
        if isinstance(entry, LogUnavailableError):
            if job.job.mode is Mode.DEFERRED or job.state == "abandoned":
                self._step(job, "log_unavailable")
            else:
                self._step(job, "refuse", error=log_refused(entry))
        elif entry.accepted:
            job.claim_epoch = record.epoch
            left = job.state == "claiming" and not self._is_usable(job)
            self._step(job, "worker_left" if left else "claimed")
        elif entry.reason == "different_body":
            self._forget_conflicting(job)
        elif entry.reason == "expired":
            self._step(job, "refuse", error=expired())
        else:
            self._step(job, "claim_lost")
            self._follow_logged(job)
        self._pump(job.job.pool)

    @_record_ended.register
    def _cancel_ended(
        self, record: records.CancelJob, entry: AuditEntry | LogUnavailableError
    ) -> None:
        job = self._jobs.get(record.request_id)
        if job is None or job.state != "cancelling":
            return
        if isinstance(entry, LogUnavailableError):
            self._step(job, "log_unavailable")
            self._pump(job.job.pool)
        elif entry.accepted:
            self._step(job, "cancelled", error=cancelled())
        else:
            self._step(job, "claim_lost")
            self._follow_logged(job)

    def _is_usable(self, entry: JobEntry) -> bool:
        """Tell whether the worker of a claim can still take the job; an append may take seconds."""
        pool = self._pool(entry.job.pool)
        facts = pool.upstreams.get(entry.placed_on)
        if facts is None or facts.boot_id != entry.boot_id:
            return False
        return pool.health.state(entry.placed_on) in ("in_use", "probing")

    def _forget_conflicting(self, entry: JobEntry) -> None:
        """Refuse a job whose request ID another entry VM has taken for another body.

        The refusal is about this body only, so later questions about the ID must not get it.
        """
        self._step(entry, "refuse", error=different_body())
        self._jobs.pop(entry.job.request_id, None)
        self._finished.pop(entry.job.request_id, None)

    def _follow_logged(self, entry: JobEntry) -> None:
        """Take the state of a job of another entry VM from the log; it may have ended there."""
        asked: asyncio.Future[JobState | None] = new_reply()

        def read(done: asyncio.Future[JobState | None]) -> None:
            if not done.cancelled() and (known := done.result()) is not None:
                self.tell(JobChanged(known))

        asked.add_done_callback(read)
        self._journal.tell(ReadJob(entry.job.request_id, asked))

    @_record_ended.register
    def _transfer_ended(
        self, record: records.TransferRights, entry: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    @_record_ended.register
    def _settle_ended(
        self, record: records.SettleRights, entry: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    @_record_ended.register
    def _take_ended(
        self, record: records.TakeRights, entry: AuditEntry | LogUnavailableError
    ) -> None:
        self._ledger.ended(record)

    # Actions of the job chart

    @carries_out("enqueue")
    def _enqueue(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        # A late report on the previous attempt must not be taken for one on the next.
        entry.attempt = None
        weight = self._share_weight(job.team)
        self._pool(job.pool).enqueue(job, weight, self._timer.now_ms())
        self._waiting[job.team] += 1

    def _share_weight(self, team: str) -> float:
        for spec in self._view.config.teams:
            if spec.name == team:
                return spec.share_weight
        return 1.0

    @carries_out("append_accept")
    def _append_accept(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        record = records.AcceptJob(
            request_id=job.request_id,
            queue=job.queue,
            team=job.team,
            body_digest=job.body_digest,
            payload=job.payload,
            declared_run_ms=job.declared_run_ms,
            incarnation=self.incarnation,
        )
        self._append(record, job.deadline_ms)

    @carries_out("append_cancel")
    def _append_cancel(self, entry: JobEntry, **_: Any) -> None:
        expires_ms = self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS
        self._append(records.CancelJob(entry.job.request_id), expires_ms)

    @carries_out("append_claim")
    def _append_claim(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        known = self._log_jobs.get(job.request_id)
        record = records.ClaimJob(
            request_id=job.request_id,
            epoch=(known.claim_epoch if known else entry.claim_epoch) + 1,
            incarnation=self.incarnation,
            worker=entry.placed_on,
            boot_id=entry.boot_id,
            body_digest="" if job.mode is Mode.DEFERRED else job.body_digest,
            team=job.team,
        )
        self._append(record, job.deadline_ms)

    @carries_out("start_attempt")
    def _start_attempt(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        self._attempt_number += 1
        entry.attempt_count += 1
        entry.no_answer_at_ms = None
        entry.fence_delay_ms = defaults.GUARD_QUERY_FIRST_MS
        entry.attempt = Attempt(
            attempt_id=f"{self.incarnation}-{self._attempt_number}",
            request_id=job.request_id,
            worker=entry.placed_on,
            payload=job.payload,
            guarded=job.guarded,
            team=job.team,
            declared_run_ms=job.declared_run_ms,
            # The deadline of a deferred job is for its acceptance only.
            deadline_ms=float("inf") if job.mode is Mode.DEFERRED else job.deadline_ms,
            number=entry.attempt_count,
            placed_at_ms=entry.placed_at_ms,
        )
        upstream = self._upstreams.get(entry.placed_on)
        if upstream is None:
            self.tell(AttemptEnded(entry.attempt, Evidence("not_started", None, "gone")))
        else:
            upstream.tell(Transmit(entry.attempt))

    @carries_out("fence_request")
    def _fence_request(self, entry: JobEntry, **_: Any) -> None:
        assert entry.attempt is not None
        if entry.no_answer_at_ms is None:
            entry.no_answer_at_ms = self._timer.now_ms()
        upstream = self._upstreams.get(entry.attempt.worker)
        if upstream is None:
            # The VM has left the fleet, and its guard with it.
            self.tell(AttemptEnded(entry.attempt, Evidence("guard_lost"), fenced=True))
        else:
            upstream.tell(FenceRequest(entry.attempt, entry.boot_id))

    @carries_out("fence_later")
    def _fence_later(self, entry: JobEntry, **_: Any) -> None:
        assert entry.attempt is not None
        due = FenceDue(entry.job.request_id, entry.attempt.attempt_id)
        self.subscribe_once(self._timer.after(entry.fence_delay_ms), due)
        entry.fence_delay_ms = min(entry.fence_delay_ms * 2, defaults.GUARD_QUERY_MAX_MS)

    @receives(FenceDue)
    def _on_fence_due(self, message: FenceDue) -> None:
        entry = self._jobs.get(message.request_id)
        if entry is None or entry.attempt is None:
            return
        unresolved = entry.state in ("resolving", "unresolved")
        if unresolved and entry.attempt.attempt_id == message.attempt_id:
            self._fence_request(entry)

    @carries_out("free_slot")
    def _free_slot(self, entry: JobEntry, **_: Any) -> None:
        if not entry.placed_on:
            return
        pool = self._pool(entry.job.pool)
        pool.release(entry.placed_on)
        ran_ms = self._timer.now_ms() - entry.placed_at_ms if JOB_CHART.is_final(entry.state) else 0
        pool.charge(entry.job, ran_ms)
        self._ledger.job_ended(entry.job.team)
        entry.placed_on = ""

    @carries_out("record_result")
    def _record_result(self, entry: JobEntry, error: RequestError | None = None, **_: Any) -> None:
        if entry.job.mode is not Mode.DEFERRED and not entry.claim_epoch:
            return
        answer = entry.answer
        record = records.FinishJob(
            request_id=entry.job.request_id,
            outcome=Outcome.ANSWERED if answer else Outcome.NOT_RUN,
            epoch=entry.claim_epoch,
            body=answer.body if answer else None,
            succeeded=answer.succeeded if answer else False,
            code=error.code if error else "",
        )
        self._append(record)

    @carries_out("record_unknown")
    def _record_unknown(self, entry: JobEntry, **_: Any) -> None:
        if entry.claim_epoch:
            self._append(
                records.FinishJob(
                    entry.job.request_id,
                    Outcome.OUTCOME_UNKNOWN,
                    epoch=entry.claim_epoch,
                    code="guard_lost",
                )
            )

    @carries_out("reply_accepted")
    def _reply_accepted(self, entry: JobEntry, **_: Any) -> None:
        self._answer(entry, Reply(entry.job.request_id, Outcome.ACCEPTED, status=202), final=False)

    @carries_out("reply_answer")
    def _reply_answer(self, entry: JobEntry, **_: Any) -> None:
        self._answer(entry, Reply(entry.job.request_id, Outcome.ANSWERED, entry.answer))

    @carries_out("reply_not_run")
    def _reply_not_run(
        self,
        entry: JobEntry,
        error: RequestError | None = None,
        recorded: bool = False,
        **_: Any,
    ) -> None:
        error = error or RequestError(
            "deadline passed before the job could start",
            code="deadline",
            status=503,
            step="queue",
            limit="deadline_ms",
        )
        request_id = entry.job.request_id
        # A claim excludes other starters as well; without either, this entry VM speaks for itself.
        alone = recorded or entry.claim_epoch > 0 or self._is_sole_starter(request_id)
        certain = alone and not entry.may_have_run
        self._answer(entry, refusal(request_id, error, certain=certain), final=certain)
        if not certain and entry.state == "not_run":
            # The same ID may be submitted again, and the log tells its outcome.
            self._jobs.pop(request_id, None)

    @carries_out("reply_unknown")
    def _reply_unknown(self, entry: JobEntry, **_: Any) -> None:
        peer = entry.attempt.worker if entry.attempt else "log"
        reply = unknown(entry.job.request_id, "no_answer", "attempt", peer)
        self._answer(entry, reply, final=False)

    def _answer(self, entry: JobEntry, reply: Reply, *, final: bool = True) -> None:
        if final:
            entry.reply = reply
        for waiter in entry.waiters:
            resolve(waiter, reply)
        entry.waiters.clear()

    # Placement

    def _pool(self, name: str) -> PoolPlacement:
        pool = self._pools.get(name)
        if pool is None:
            policies = self._view.config.policies
            pool = PoolPlacement.create(policies, self.data_centre, self._rng, self._slot_use)
            self._pools[name] = pool
        return pool

    def _pump(self, name: str) -> None:
        """Start as many waiting jobs of a pool as may start now."""
        pool = self._pool(name)
        now_ms = self._timer.now_ms()
        if not self._is_current(now_ms):
            return
        while placement := pool.next_placement(
            self._ledger.may_start, lambda job_id: self._jobs[job_id].excluded, now_ms
        ):
            request_id, worker = placement
            entry = self._jobs[request_id]
            self._waiting[entry.job.team] -= 1
            try:
                admission.check_start(entry.job, self._standing())
            except RequestError as error:
                pool.release(worker)
                self._step(entry, "refuse", error=error)
                continue
            self._ledger.running[entry.job.team] += 1
            entry.placed_on = worker
            entry.placed_at_ms = now_ms
            entry.boot_id = self._facts[worker].boot_id
            metrics.WAIT_DURATION.record(now_ms - entry.admitted_ms)
            claim = admission.needs_claim(entry.job)
            self._step(entry, "place_claimed" if claim else "place")

    def _is_current(self, now_ms: float) -> bool:
        """Tell whether the view holds what happened during the last pause of this process.

        A process that was stopped for a lease may have been retired meanwhile, and its rights
        may be in use elsewhere; it starts nothing before it has read on.
        """
        if now_ms - self._ticked_ms > defaults.PAUSE_MS:
            self._resumed_ms = now_ms
            self._ticked_ms = now_ms
        return self._fresh_as_of_ms >= self._resumed_ms

    @receives(AttemptEnded)
    def _on_attempt_ended(self, message: AttemptEnded) -> None:
        entry = self._jobs.get(message.attempt.request_id)
        evidence = message.evidence
        current = entry is not None and entry.attempt is message.attempt
        if not message.delayed:
            self._count_attempt(message)
        if evidence.verdict is not None and not message.fenced and not message.delayed:
            pool = self._pool_of_worker(message.attempt.worker)
            if pool is not None:
                pool.health.record(message.attempt.worker, evidence.verdict, self._timer.now_ms())
        if not current or entry is None:
            self._stranded_ended(message)
            return
        if JOB_CHART.is_final(entry.state):
            return
        if self._is_held_back(entry, message):
            return
        event = self._next_event(entry, evidence, message.fenced)
        self._step(entry, event)
        self._pump(entry.job.pool)

    def _is_held_back(self, entry: JobEntry, message: AttemptEnded) -> bool:
        """Hold back repeated refusals, so that a job that only one worker could take, and that
        worker refuses, does not claim it again at once and spend the log's appends."""
        refused = message.evidence.event == "not_started" and message.evidence.code != "busy"
        if not refused or message.delayed:
            return False
        entry.refusal_count += 1
        exponent = entry.refusal_count - defaults.REFUSAL_FREE_COUNT
        if exponent <= 0:
            return False
        delay_ms = min(defaults.REFUSAL_DELAY_MS * 2.0**exponent, defaults.REFUSAL_DELAY_MAX_MS)
        self.subscribe_once(self._timer.after(delay_ms), evolve(message, delayed=True))
        return True

    def _count_attempt(self, message: AttemptEnded) -> None:
        if message.fenced:
            metrics.GUARD_QUERIES.add(1)
            return
        verdict = message.evidence.code or message.evidence.event
        metrics.ATTEMPTS.add(1, metrics.labels(verdict=verdict))
        if message.evidence.code in ("mismatched_answer", "undecodable_answer"):
            metrics.DISCARDED_ANSWERS.add(1)

    def _next_event(self, entry: JobEntry, evidence: Evidence, fenced: bool) -> str:
        """Return the job chart's event for what is known about the present attempt."""
        now_ms = self._timer.now_ms()
        pool = self._pool(entry.job.pool)
        if evidence.event == "result":
            entry.answer = evidence.answer
            failed = evidence.answer is not None and not evidence.answer.succeeded
            if failed and self._may_retry(entry, pool):
                entry.answer = None
                return "retry"
        elif evidence.event == "not_started":
            if evidence.code == "busy":
                pool.mark_busy(entry.placed_on, now_ms)
                self.subscribe_once(self._timer.after(defaults.UPSTREAM_BUSY_MS), PlaceWaiting())
            else:
                entry.excluded.add(entry.placed_on)
        elif evidence.event == "guard_lost" and self._may_retry(entry, pool, lost=True):
            return "retry"
        elif evidence.event == "no_answer" and fenced and not evidence.running:
            waited_ms = now_ms - (entry.no_answer_at_ms or now_ms)
            waited = waited_ms >= defaults.IDEMPOTENT_FENCE_MS
            if waited and self._may_retry(entry, pool, lost=True):
                self._strand(entry)
                return "retry"
        return evidence.event

    def _may_retry(self, entry: JobEntry, pool: PoolPlacement, *, lost: bool = False) -> bool:
        # An accepted deferred job has no deadline; giving it up because its attempts were lost
        # would break its acceptance.
        unlimited = lost and entry.job.mode is Mode.DEFERRED
        allowed = (
            not entry.job.guarded
            and entry.state in ("attempting", "resolving")
            and (unlimited or entry.attempt_count < defaults.ATTEMPT_COUNT)
            and (unlimited or pool.retries.take())
        )
        if allowed:
            metrics.RETRIES.add(1)
            entry.excluded.add(entry.placed_on)
            entry.may_have_run = True
        return allowed

    def _strand(self, entry: JobEntry) -> None:
        # The lost attempt may still run, so its right stays in use until the guard says otherwise.
        assert entry.attempt is not None
        self._stranded[entry.attempt.attempt_id] = entry.attempt, entry.boot_id
        self._ledger.running[entry.job.team] += 1

    def _stranded_ended(self, message: AttemptEnded) -> None:
        evidence = message.evidence
        age_ms = self._timer.now_ms() - message.attempt.placed_at_ms
        # What has not arrived after so long was lost with its connection.
        never_arrived = evidence.code == "unknown" and age_ms > defaults.ATTEMPT_TIMEOUT_MS
        ended = evidence.event in ("result", "not_started", "guard_lost") or never_arrived
        if ended and message.attempt.attempt_id in self._stranded:
            del self._stranded[message.attempt.attempt_id]
            self._ledger.job_ended(message.attempt.team)

    # Deadlines

    @receives(SweepDeadlines)
    def _on_sweep_deadlines(self, _: SweepDeadlines) -> None:
        now_ms = self._timer.now_ms()
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            request_id = heapq.heappop(self._deadlines)[1]
            entry = self._jobs.get(request_id)
            if entry is not None:
                self._expire(entry)
        if now_ms >= self._sweep_due_ms:
            self._sweep_due_ms = float("inf")
        self._plan_sweep()

    def _plan_sweep(self) -> None:
        # A periodic sweep would wake an idle process 50 times a second.
        if not self._deadlines:
            return
        now_ms = self._timer.now_ms()
        due_ms = max(self._deadlines[0][0], now_ms + defaults.DEADLINE_SWEEP_MS)
        if due_ms < self._sweep_due_ms:
            self._sweep_due_ms = due_ms
            self.subscribe_once(self._timer.after(due_ms - now_ms), SweepDeadlines())

    def _expire(self, entry: JobEntry) -> None:
        if entry.job.mode is Mode.DEFERRED and entry.state not in ("recording", "elsewhere"):
            # The deadline of a deferred job is for its acceptance only.
            return
        if JOB_CHART.accepts(entry.state, "expire"):
            if entry.state == "queued":
                self._unqueue(entry)
            self._step(entry, "expire")

    def _unqueue(self, entry: JobEntry) -> None:
        if self._pool(entry.job.pool).order.remove(entry.job.request_id):
            self._waiting[entry.job.team] -= 1

    # What the log and the platform say

    @receives(ViewChanged)
    def _on_view_changed(self, message: ViewChanged) -> None:
        previous, self._view = self._view, message.view
        was_behind = self._fresh_as_of_ms < self._resumed_ms
        self._fresh_as_of_ms = message.fresh_as_of_ms
        self._log_available = message.log_available
        self._loaded = message.loaded
        self._ledger.update(message.view.rights)
        if previous.config is not message.view.config or previous.members is not (
            message.view.members
        ):
            self._pools_changed(previous)
        if previous.vms is not message.view.vms:
            self._vms_changed()
        if previous.rights is not message.view.rights or was_behind:
            self._pump_all()

    def _pools_changed(self, previous: FleetView) -> None:
        if previous.config.policies != self._view.config.policies:
            self._rebuild_pools()
        for facts in self._facts.values():
            self._share_connections(facts)

    def _rebuild_pools(self) -> None:
        """Let other policies take over the waiting jobs and the upstreams."""
        self._pools = {}
        self._pool_names = {}
        self._slot_use = fairqueue.Ledger()
        for name in self._upstreams.keys() & self._view.vms.keys():
            self._assign_pool(name, self._view.vms[name].pool)
        for entry in self._jobs.values():
            if entry.state == "queued":
                weight = self._share_weight(entry.job.team)
                self._pool(entry.job.pool).enqueue(entry.job, weight, self._timer.now_ms())

    def _share_connections(self, facts: UpstreamFacts) -> None:
        # A worker's connections are divided among the entry VMs.
        members_count = max(1, len(self._view.members))
        facts.connection_limit_count = max(1, facts.spec.connection_count // members_count)

    def _vms_changed(self) -> None:
        for name in set(self._upstreams) - set(self._view.vms):
            self._drop_upstream(name)
        for name, vm in self._view.vms.items():
            known = self._upstreams.get(name)
            if known is not None and known.address != vm.spec.address:
                self._drop_upstream(name)
                known = None
            if known is None:
                self._add_upstream(vm.spec)
                self._facts[name] = UpstreamFacts(vm.spec)
            facts = self._facts[name]
            facts.spec = vm.spec
            self._share_connections(facts)
            facts.in_service = vm.state in ("in_service", "failed")
            self._assign_pool(name, vm.pool)

    def _assign_pool(self, name: str, pool_name: str) -> None:
        # A walk over all pools for each VM took 15 ms at 1,300 VMs and 68 pools.
        previous = self._pools.get(self._pool_names.get(name, pool_name))
        pool = self._pool(pool_name)
        if previous is not None and previous is not pool:
            previous.discard(name)
        self._pool_names[name] = pool_name
        pool.add(self._facts[name])
        pool.refresh(name)

    def _add_upstream(self, spec: VmSpec) -> None:
        upstream = Upstream(
            spec.name,
            spec.address,
            entry=self.entry,
            incarnation=self.incarnation,
            owner=self,
            timer=self._timer,
            connection_count=spec.connection_count,
            source_address=self._source_address,
        )
        self._upstreams[spec.name] = upstream
        upstream.start()

    def _drop_upstream(self, name: str) -> None:
        self.spawn(self._upstreams.pop(name).stop())
        self._pool_names.pop(name, None)
        for pool in self._pools.values():
            pool.discard(name)
        self._resolve_attempts_at(name)

    def _resolve_attempts_at(self, name: str) -> None:
        """Ask the guard about the attempts whose calls end with an upstream's actor."""
        attempts = [entry.attempt for entry in self._jobs.values() if entry.attempt is not None]
        attempts += [attempt for attempt, _ in self._stranded.values()]
        for attempt in attempts:
            if attempt.worker == name:
                self.tell(AttemptEnded(attempt, Evidence("no_answer")))

    def _pool_of_worker(self, worker: str) -> PoolPlacement | None:
        return self._pools.get(self._pool_names.get(worker, ""))

    @receives(UpstreamChanged)
    def _on_upstream_changed(self, message: UpstreamChanged) -> None:
        if self.operations is not None:
            self.operations.tell(message)
        pool = self._pool_of_worker(message.name)
        if pool is None:
            return
        if message.name in self._listed_leaving:
            message = evolve(message, leaving=True)
        pool.observe(message, self._timer.now_ms())
        self._fence_stranded(message.name)
        self._pump(self._view.vms[message.name].pool)

    @receives(ProbeUpstreams)
    def _on_probe_upstreams(self, message: ProbeUpstreams) -> None:
        for name in message.names:
            if name in self._upstreams:
                self._upstreams[name].tell(RenewLease())

    def _fence_stranded(self, worker: str) -> None:
        for attempt, boot_id in list(self._stranded.values()):
            if attempt.worker == worker:
                self._upstreams[worker].tell(FenceRequest(attempt, boot_id))

    @receives(VmsListed)
    def _on_vms_listed(self, message: VmsListed) -> None:
        for name in message.leaving - self._listed_leaving:
            if name in self._facts and (pool := self._pool_of_worker(name)):
                self._facts[name].leaving = True
                pool.refresh(name)
        self._listed_leaving = message.leaving

    @receives(JobChanged)
    def _on_job_changed(self, message: JobChanged) -> None:
        known = message.job
        if known.outcome is None or known.outcome is Outcome.OUTCOME_UNKNOWN:
            self._log_jobs[known.request_id] = known
        else:
            self._log_jobs.pop(known.request_id, None)
        entry = self._jobs.get(known.request_id)
        if entry is not None:
            self._follow_log(entry, known)

    def _follow_log(self, entry: JobEntry, known: JobState) -> None:
        if known.outcome is Outcome.ANSWERED and JOB_CHART.accepts(entry.state, "recorded_result"):
            entry.answer = Answer(known.body, known.succeeded)
            self._step(entry, "recorded_result")
        elif known.outcome is Outcome.NOT_RUN and JOB_CHART.accepts(
            entry.state, "recorded_not_run"
        ):
            self._step(entry, "recorded_not_run", error=recorded_not_run(known.code), recorded=True)
        elif entry.state == "queued" and known.claimed_by not in ("", self.incarnation):
            self._unqueue(entry)
            self._step(entry, "claim_lost")

    @receives(PeersChanged)
    def _on_peers_changed(self, message: PeersChanged) -> None:
        self._wants = message.wants
        self._withdrawn = message.withdrawn

    # Rights and adoption

    @receives(Rebalance)
    def _on_rebalance(self, _: Rebalance) -> None:
        now_ms = self._timer.now_ms()
        self._is_current(now_ms)
        self._ticked_ms = now_ms
        if self._log_available and self._loaded and self.incarnation in self._view.members:
            self._move_rights()
            self._adopt_jobs()
        else:
            # No rights move, so none is kept free for others.
            self._ledger.withheld.clear()
        if self.peers is not None:
            lacking = {
                team: limits.lacking_count(self._ledger, team, count)
                for team, count in self._waiting.items()
                if team
            }
            wanted = {team: count for team, count in lacking.items() if count}
            self.peers.tell(OwnDemand(wanted, self._loads()))
        self._evict_finished()
        self._pump_all()
        self._check_drained()

    @receives(PlaceWaiting)
    def _on_place_waiting(self, _: PlaceWaiting) -> None:
        self._pump_all()

    def _loads(self) -> dict[str, tuple[int, int]]:
        return {
            name: (sum(f.in_flight_count for f in pool.upstreams.values()), len(pool.order))
            for name, pool in self._pools.items()
        }

    def _pump_all(self) -> None:
        for name, pool in self._pools.items():
            if len(pool.order):
                self._pump(name)

    def _move_rights(self) -> None:
        members_count = len(self._view.members)
        waiting = {team: n for team, n in self._waiting.items() if n > 0}
        for record in limits.plan_rights(
            self._ledger, waiting, self._wants, members_count, draining=self._is_draining
        ):
            metrics.RIGHTS_MOVED.add(record.count)
            self._ledger.sent(record)
            self._append(record, self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS)

    def _adopt_jobs(self) -> None:
        """Take over deferred jobs whose owner is no longer a member."""
        for known in list(self._log_jobs.values()):
            entry = self._jobs.get(known.request_id)
            # A job that was submitted here too may still have to be taken over.
            own = entry is not None and entry.state != "elsewhere"
            if own or known.outcome is not None or not known.queue:
                continue
            owner = known.claimed_by or known.owner
            if owner not in self._view.members and self._is_adopter(known.request_id):
                self._adopt(known)

    def _is_adopter(self, request_id: str) -> bool:
        members = sorted(self._view.members)
        # Rendezvous choice: all members agree on it as soon as they see the same members.
        best = max(members, key=lambda inc: _rendezvous(request_id, inc))
        return best == self.incarnation and not self._is_draining

    def _adopt(self, known: JobState) -> None:
        queue = self._view.config.queue(known.queue)
        if queue is None:
            return
        job = Job(
            request_id=known.request_id,
            queue=known.queue,
            team=known.team,
            payload=known.payload,
            body_digest=known.body_digest,
            declared_run_ms=known.declared_run_ms,
            deadline_ms=float("inf"),
            guarded=queue.guarded,
            mode=Mode.DEFERRED,
            pool=queue.pool,
        )
        submitted = self._jobs.get(known.request_id)
        waiters = submitted.waiters if submitted else []
        entry = JobEntry(job, claim_epoch=known.claim_epoch, waiters=waiters)
        self._jobs[job.request_id] = entry
        if not known.claimed_by:
            self._step(entry, "adopt")
            return
        entry.boot_id = known.claimed_boot_id
        age_ms = max(0, self._timer.wall_ms() - known.claimed_at_ms)
        entry.attempt = Attempt(
            f"claim-{known.claim_epoch}",
            job.request_id,
            known.claimed_worker,
            guarded=job.guarded,
            team=job.team,
            placed_at_ms=self._timer.now_ms() - age_ms,
        )
        self._step(entry, "adopt_claimed")

    def _evict_finished(self) -> None:
        oldest_ms = self._timer.now_ms() - defaults.RESULT_RETENTION_MS
        while self._finished:
            request_id = next(iter(self._finished))
            if self._finished[request_id] > oldest_ms:
                return
            del self._finished[request_id]
            self._jobs.pop(request_id, None)

    # Queries

    def _find(self, message: Query | Cancel) -> JobEntry | None:
        entry = self._jobs.get(message.request_id)
        if entry is not None and self._may_see(entry.job.team, message.key_id):
            return entry
        return None

    def _may_see(self, team: str, key_id: str) -> bool:
        return admission.may_see(team, key_id, self._standing())

    @receives(Query)
    async def _on_query(self, message: Query) -> None:
        entry = self._find(message)
        if entry is None or entry.state == "elsewhere":
            resolve(message.reply, None)
        elif entry.reply is not None:
            resolve(message.reply, entry.reply)
        else:
            resolve(message.reply, pending(entry))

    @receives(Cancel)
    def _on_cancel(self, message: Cancel) -> None:
        entry = self._find(message)
        if entry is None:
            resolve(message.reply, None)
            return
        if entry.state == "queued" and entry.job.mode is not Mode.DEFERRED:
            self._unqueue(entry)
            self._step(entry, "cancel", error=cancelled())
        elif entry.state == "queued" and not entry.claim_epoch:
            # Another entry VM may have adopted the job, so only the log can tell.
            self._unqueue(entry)
            entry.waiters.append(message.reply)
            self._step(entry, "cancel_recorded")
            return
        resolve(message.reply, entry.reply or pending(entry))

    @receives(ReadLogged)
    def _on_read_logged(self, message: ReadLogged) -> None:
        self.spawn(self._read_logged(message))

    async def _read_logged(self, message: ReadLogged) -> None:
        asked: asyncio.Future[JobState | None] = new_reply()
        self._journal.tell(ReadJob(message.request_id, asked))
        known = await asked
        if known is not None and not self._may_see(known.team, message.key_id):
            known = None
        if known is not None and known.outcome is None and known.claimed_worker:
            known = await self._ask_claimed_worker(known)
        resolve(message.reply, None if known is None else logged_reply(known))

    async def _ask_claimed_worker(self, known: JobState) -> JobState:
        upstream = self._upstreams.get(known.claimed_worker)
        if upstream is None:
            return known
        asked: asyncio.Future[Evidence] = new_reply()
        upstream.tell(FindResult(known.request_id, asked))
        answer = (await asked).answer
        if answer is None:
            return known
        return evolve(known, outcome=Outcome.ANSWERED, body=answer.body, succeeded=answer.succeeded)

    @receives(FindResult)
    def _on_find_result(self, message: FindResult) -> None:
        self.spawn(self._search_guards(message))

    async def _search_guards(self, message: FindResult) -> None:
        replies = []
        for upstream in self._upstreams.values():
            replies.append(new_reply())
            upstream.tell(FindResult(message.request_id, replies[-1]))
        found = await _replies_in_time(replies)
        results = [
            evidence
            for evidence in found
            if evidence is not None
            and evidence.event == "result"
            and self._may_see(evidence.team, message.key_id)
        ]
        resolve(message.reply, results[0] if results else Evidence("no_answer"))

    @receives(CountTasks)
    def _on_count_tasks(self, message: CountTasks) -> None:
        self.spawn(self._count_tasks(message))

    async def _count_tasks(self, message: CountTasks) -> None:
        idle = self._fenced.setdefault(message.incarnation, {})
        replies: dict[str, asyncio.Future[tuple[int, str] | None]] = {}
        for name, upstream in self._upstreams.items():
            if name not in idle or idle[name] != self._facts[name].boot_id:
                replies[name] = new_reply()
                upstream.tell(FenceIncarnation(message.incarnation, replies[name]))
        if replies:
            # An upstream that is removed meanwhile never replies.
            await asyncio.wait(replies.values(), timeout=2 * defaults.CONTROL_TIMEOUT_MS / 1_000)
        running_count: int | None = 0
        for name, reply in replies.items():
            found = reply.result() if reply.done() else None
            if found is None or running_count is None:
                running_count = None
            else:
                running_count += found[0]
            if found is not None and not found[0]:
                idle[name] = found[1]
        if running_count == 0:
            self._fenced.pop(message.incarnation, None)
        resolve(message.reply, running_count)

    @receives(ReadUsage)
    def _on_read_usage(self, message: ReadUsage) -> None:
        rights = {team: self._ledger.held_count(team) for team in self._view.rights}
        usage = Usage(dict(self._ledger.running), dict(self._waiting), rights)
        resolve(message.reply, usage)

    @receives(ReadReach)
    def _on_read_reach(self, message: ReadReach) -> None:
        now_ms = self._timer.now_ms()
        pools = [pool for pool in self._pools.values() if pool.upstreams]
        silent = pools and all(pool.health.unreachable(now_ms) for pool in pools)
        resolve(message.reply, not silent)

    # Shutdown and new incarnations

    @receives(Drain)
    def _on_drain(self, message: Drain) -> None:
        self._is_draining = True
        self._draining.append(message.reply)
        for entry in list(self._jobs.values()):
            if entry.state == "queued" and entry.job.mode is Mode.DEFERRED:
                # Another entry VM adopts it once this incarnation is retired.
                self._unqueue(entry)
                self._jobs.pop(entry.job.request_id, None)
        self._check_drained()

    def _check_drained(self) -> None:
        if not self._is_draining:
            return
        if all(JOB_CHART.is_final(e.state) or e.state == "elsewhere" for e in self._jobs.values()):
            for reply in self._draining:
                resolve(reply, None)

    @receives(UseIncarnation)
    def _on_use_incarnation(self, message: UseIncarnation) -> None:
        self.incarnation = message.incarnation
        self._ledger = limits.RightsLedger(
            message.incarnation, self._view.rights, running=self._ledger.running
        )
        for name in list(self._upstreams):
            self._drop_upstream(name)
        self._vms_changed()


async def _replies_in_time(replies: list[asyncio.Future[Any]]) -> list[Any]:
    """Return what upstreams' actors have replied, None for each that has ended without a reply."""
    if replies:
        await asyncio.wait(replies, timeout=2 * defaults.CONTROL_TIMEOUT_MS / 1_000)
    return [reply.result() if reply.done() else None for reply in replies]


def _rendezvous(request_id: str, incarnation: str) -> int:
    digest = hashlib.blake2b(f"{request_id}/{incarnation}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
