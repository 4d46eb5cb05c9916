"""Attempts to run jobs at upstreams: start, evidence of the outcome, retries and deadlines."""

from __future__ import annotations

import heapq
from typing import Any

from attrs import evolve

from . import admission, defaults, metrics, records
from .attempts import Evidence
from .dispatchbase import DispatchBase
from .errors import RequestError
from .jobs import JOB_CHART, FenceDue, JobEntry, PlaceWaiting, SweepDeadlines
from .mailbox import implements_action, receives
from .model import Attempt, Mode, Outcome, Reply
from .placement import PoolPlacement
from .replies import refusal_reply, unknown_reply
from .upstream import AttemptEnded, FenceRequest, Transmit


class Delivery(DispatchBase):
    """Sends jobs to upstreams and replies to the jobs' callers."""

    # Actions of the job chart

    @implements_action("enqueue")
    def _enqueue(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        # A late report on the previous attempt must not be mistaken for one on the next attempt.
        entry.attempt = None
        weight = self._share_weight(job.team)
        self._pool(job.pool).enqueue(job, weight, self._timer.now_ms())
        self._waiting_counts[job.team] += 1

    def _share_weight(self, team: str) -> float:
        for spec in self._view.config.teams:
            if spec.name == team:
                return spec.share_weight
        return 1.0

    @implements_action("append_accept")
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

    @implements_action("append_cancel")
    def _append_cancel(self, entry: JobEntry, **_: Any) -> None:
        expires_ms = self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS
        self._append(records.CancelJob(entry.job.request_id), expires_ms)

    @implements_action("append_claim")
    def _append_claim(self, entry: JobEntry, **_: Any) -> None:
        job = entry.job
        logged_job = self._logged_jobs.get(job.request_id)
        record = records.ClaimJob(
            request_id=job.request_id,
            epoch=(logged_job.claim_epoch if logged_job else entry.claim_epoch) + 1,
            incarnation=self.incarnation,
            worker=entry.placed_on,
            boot_id=entry.boot_id,
            body_digest="" if job.mode is Mode.DEFERRED else job.body_digest,
            team=job.team,
        )
        self._append(record, job.deadline_ms)

    @implements_action("start_attempt")
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
            # The deadline of a deferred job applies to its acceptance only.
            deadline_ms=float("inf") if job.mode is Mode.DEFERRED else job.deadline_ms,
            number=entry.attempt_count,
            placed_at_ms=entry.placed_at_ms,
        )
        upstream = self._upstreams.get(entry.placed_on)
        if upstream is None:
            self.tell_self(AttemptEnded(entry.attempt, Evidence("not_started", None, "gone")))
        else:
            upstream.tell(Transmit(entry.attempt))

    @implements_action("fence_request")
    def _fence_request(self, entry: JobEntry, **_: Any) -> None:
        assert entry.attempt is not None
        if entry.no_answer_at_ms is None:
            entry.no_answer_at_ms = self._timer.now_ms()
        upstream = self._upstreams.get(entry.attempt.worker)
        if upstream is None:
            # The VM was removed from the fleet, so its guard can no longer be queried.
            self.tell_self(AttemptEnded(entry.attempt, Evidence("guard_lost"), from_guard=True))
        else:
            upstream.tell(FenceRequest(entry.attempt, entry.boot_id))

    @implements_action("fence_later")
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

    @implements_action("free_slot")
    def _free_slot(self, entry: JobEntry, **_: Any) -> None:
        if not entry.placed_on:
            return
        pool = self._pool(entry.job.pool)
        pool.release(entry.placed_on)
        ran_ms = self._timer.now_ms() - entry.placed_at_ms if JOB_CHART.is_final(entry.state) else 0
        pool.charge(entry.job, ran_ms)
        self._ledger.job_ended(entry.job.team)
        entry.placed_on = ""

    @implements_action("record_result")
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

    @implements_action("record_unknown")
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

    @implements_action("reply_accepted")
    def _reply_accepted(self, entry: JobEntry, **_: Any) -> None:
        self._reply_to_waiters(
            entry, Reply(entry.job.request_id, Outcome.ACCEPTED, status=202), final=False
        )

    @implements_action("reply_answer")
    def _reply_answer(self, entry: JobEntry, **_: Any) -> None:
        self._reply_to_waiters(entry, Reply(entry.job.request_id, Outcome.ANSWERED, entry.answer))

    @implements_action("reply_not_run")
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
        # An outcome read from the log, a claim, or an ID that this incarnation issued rules out
        # that another entry VM has started the job.
        sole_starter = recorded or entry.claim_epoch > 0 or self._is_sole_starter(request_id)
        certain = sole_starter and not entry.may_have_run
        self._reply_to_waiters(
            entry, refusal_reply(request_id, error, certain=certain), final=certain
        )
        if not certain and entry.state == "not_run":
            # The same ID may be submitted again; its outcome is then taken from the log.
            self._jobs.pop(request_id, None)

    @implements_action("reply_unknown")
    def _reply_unknown(self, entry: JobEntry, **_: Any) -> None:
        peer = entry.attempt.worker if entry.attempt else "log"
        reply = unknown_reply(entry.job.request_id, "no_answer", "attempt", peer)
        self._reply_to_waiters(entry, reply, final=False)

    def _place_jobs(self, name: str) -> None:
        """Place waiting jobs of a pool on its upstreams until no further one can start."""
        pool = self._pool(name)
        now_ms = self._timer.now_ms()
        if not self._is_view_current(now_ms):
            return
        while placement := pool.next_placement(
            self._ledger.may_start, lambda request_id: self._jobs[request_id].excluded, now_ms
        ):
            request_id, worker = placement
            entry = self._jobs[request_id]
            self._waiting_counts[entry.job.team] -= 1
            try:
                admission.check_start(entry.job, self._admission_context())
            except RequestError as error:
                pool.release(worker)
                self._step(entry, "refuse", error=error)
                continue
            self._ledger.running[entry.job.team] += 1
            entry.placed_on = worker
            entry.placed_at_ms = now_ms
            entry.boot_id = self._upstream_facts[worker].boot_id
            metrics.WAIT_DURATION.record(now_ms - entry.admitted_ms)
            claim = admission.needs_claim(entry.job)
            self._step(entry, "place_claimed" if claim else "place")

    def _is_view_current(self, now_ms: float) -> bool:
        """Detect a pause of this process and return whether the view is newer than the last pause.

        An entry VM that was paused for longer than a lease may have been retired, and its rights
        may be in use elsewhere. It starts no job until its view is newer than the pause.
        """
        if now_ms - self._last_tick_ms > defaults.PROCESS_PAUSE_MS:
            self._pause_detected_ms = now_ms
            self._last_tick_ms = now_ms
        return self._fresh_as_of_ms >= self._pause_detected_ms

    @receives(AttemptEnded)
    def _on_attempt_ended(self, message: AttemptEnded) -> None:
        entry = self._jobs.get(message.attempt.request_id)
        evidence = message.evidence
        current = entry is not None and entry.attempt is message.attempt
        if not message.delayed:
            self._count_attempt(message)
        if evidence.verdict is not None and not message.from_guard and not message.delayed:
            pool = self._pool_of_upstream(message.attempt.worker)
            if pool is not None:
                pool.health.record(message.attempt.worker, evidence.verdict, self._timer.now_ms())
        if not current or entry is None:
            self._end_superseded_attempt(message)
            return
        if JOB_CHART.is_final(entry.state):
            return
        if self._delay_repeated_refusal(entry, message):
            return
        event = self._next_event(entry, evidence, message.from_guard)
        self._step(entry, event)
        self._place_jobs(entry.job.pool)

    def _delay_repeated_refusal(self, entry: JobEntry, message: AttemptEnded) -> bool:
        """Delay the message if it reports a repeated refusal, and return whether it is delayed.

        Without the delay, a job that only one worker could run, and which that worker refuses,
        would be claimed again at once; each claim costs an append to the log.
        """
        refused = message.evidence.event == "not_started" and message.evidence.code != "busy"
        if not refused or message.delayed:
            return False
        entry.refusal_count += 1
        exponent = entry.refusal_count - defaults.REFUSALS_BEFORE_DELAY_COUNT
        if exponent <= 0:
            return False
        delay_ms = min(defaults.REFUSAL_DELAY_MS * 2.0**exponent, defaults.REFUSAL_DELAY_MAX_MS)
        self.subscribe_once(self._timer.after(delay_ms), evolve(message, delayed=True))
        return True

    def _count_attempt(self, message: AttemptEnded) -> None:
        if message.from_guard:
            metrics.GUARD_QUERIES.add(1)
            return
        verdict = message.evidence.code or message.evidence.event
        metrics.ATTEMPTS.add(1, metrics.labels(verdict=verdict))
        if message.evidence.code in ("mismatched_answer", "undecodable_answer"):
            metrics.DISCARDED_ANSWERS.add(1)

    def _next_event(self, entry: JobEntry, evidence: Evidence, from_guard: bool) -> str:
        """Record the evidence on the current attempt and return the resulting job chart event."""
        now_ms = self._timer.now_ms()
        pool = self._pool(entry.job.pool)
        if evidence.event == "result":
            entry.answer = evidence.answer
            failed = evidence.answer is not None and not evidence.answer.succeeded
            if failed and self._try_acquire_retry(entry, pool):
                entry.answer = None
                return "retry"
        elif evidence.event == "not_started":
            if evidence.code == "busy":
                pool.mark_busy(entry.placed_on, now_ms)
                self.subscribe_once(
                    self._timer.after(defaults.UPSTREAM_BUSY_BACKOFF_MS), PlaceWaiting()
                )
            else:
                entry.excluded.add(entry.placed_on)
        elif evidence.event == "guard_lost" and self._try_acquire_retry(entry, pool, lost=True):
            return "retry"
        elif evidence.event == "no_answer" and from_guard and not evidence.running:
            waited_ms = now_ms - (entry.no_answer_at_ms or now_ms)
            waited = waited_ms >= defaults.IDEMPOTENT_FENCE_MS
            if waited and self._try_acquire_retry(entry, pool, lost=True):
                self._supersede_attempt(entry)
                return "retry"
        return evidence.event

    def _try_acquire_retry(
        self, entry: JobEntry, pool: PoolPlacement, *, lost: bool = False
    ) -> bool:
        # An accepted deferred job has no deadline and must run in the end, so lost attempts are
        # retried without limit.
        unlimited = lost and entry.job.mode is Mode.DEFERRED
        allowed = (
            not entry.job.guarded
            and entry.state in ("attempting", "resolving")
            and (unlimited or entry.attempt_count < defaults.ATTEMPT_LIMIT_COUNT)
            and (unlimited or pool.retries.try_acquire())
        )
        if allowed:
            metrics.RETRIES.add(1)
            entry.excluded.add(entry.placed_on)
            entry.may_have_run = True
        return allowed

    def _supersede_attempt(self, entry: JobEntry) -> None:
        # The lost attempt may still be running, so it counts against the team's rights until the
        # guard proves that it has ended or never started.
        assert entry.attempt is not None
        self._superseded_attempts[entry.attempt.attempt_id] = entry.attempt, entry.boot_id
        self._ledger.running[entry.job.team] += 1

    def _end_superseded_attempt(self, message: AttemptEnded) -> None:
        evidence = message.evidence
        age_ms = self._timer.now_ms() - message.attempt.placed_at_ms
        # An attempt that the guard does not know after this time was lost with its connection.
        never_arrived = evidence.code == "unknown" and age_ms > defaults.ATTEMPT_TIMEOUT_MS
        ended = evidence.event in ("result", "not_started", "guard_lost") or never_arrived
        if ended and message.attempt.attempt_id in self._superseded_attempts:
            del self._superseded_attempts[message.attempt.attempt_id]
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
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        # Scheduled on demand: a periodic sweep would wake an idle process 50 times a second.
        if not self._deadlines:
            return
        now_ms = self._timer.now_ms()
        due_ms = max(self._deadlines[0][0], now_ms + defaults.DEADLINE_SWEEP_MS)
        if due_ms < self._sweep_due_ms:
            self._sweep_due_ms = due_ms
            self.subscribe_once(self._timer.after(due_ms - now_ms), SweepDeadlines())

    def _expire(self, entry: JobEntry) -> None:
        if entry.job.mode is Mode.DEFERRED and entry.state not in ("recording", "elsewhere"):
            # The deadline of a deferred job applies to its acceptance only.
            return
        if JOB_CHART.accepts(entry.state, "expire"):
            if entry.state == "queued":
                self._remove_from_queue(entry)
            self._step(entry, "expire")

    def _remove_from_queue(self, entry: JobEntry) -> None:
        if self._pool(entry.job.pool).waiting_jobs.remove(entry.job.request_id):
            self._waiting_counts[entry.job.team] -= 1
