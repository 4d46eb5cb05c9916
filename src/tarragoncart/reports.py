"""Registrations and reports of upstreams, reconciled with the runs that the leader expects."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from attrs import frozen

from . import defaults, metrics, pacing
from .assignment import UpstreamSlot
from .errors import DecodeError
from .fencing import FencingTokens
from .graph import Demand, UpstreamEntry
from .leases import NEVER_MS
from .link import Link
from .mailbox import receives
from .runorders import (
    Acknowledge,
    ExtendPermission,
    PaceOutcome,
    PollFailed,
    RejectLateStart,
    ReportReceived,
    SetPace,
)
from .runs import EndedRun, LiveRun
from .runstate import KnownUpstream, OrphanRun, VacatingRequest, needs_jobs
from .slowness import SlowUpstreams
from .storage import Entry
from .tasks import FINAL, TASK_CHART, Task

logger = logging.getLogger(__name__)

# An upstream lists at most this many ended runs in a report; a full list may be incomplete.
ENDED_PAGE_COUNT = 500


@frozen
class _StartLinks:
    """Start the links to some of the upstreams that were registered last."""


class Reports(SlowUpstreams):
    """Processes registrations and reports of upstreams."""

    def _restore_placed_task(self, task: Task) -> None:
        """Assign a run of an earlier epoch to its upstream and count its capacity."""
        upstream = self._find_inherited_upstream(task.upstream_id, task.step.job.pool)
        task.pace = None
        task.start_pending_until_ms = self._inherited_orders_until_ms
        self._occupy_capacity(task, upstream.slot)

    def _restore_bound_task(self, task: Task) -> None:
        """Let a task run only where an earlier leader has bound it."""
        upstream = self._find_inherited_upstream(task.bound_to, task.step.job.pool)
        upstream.bound_until_ms[task] = self._inherited_orders_until_ms

    def _restore_copies(self, task: Task) -> None:
        """Count the other runs of a task, from an earlier epoch, until they are gone."""
        for run, upstream_id in task.copies.items():
            upstream = self._find_inherited_upstream(upstream_id, task.step.job.pool)
            upstream.orphans[task.name, run] = OrphanRun(task, self._timer.now_ms())
            upstream.slot.occupy(task)
            self._add_usage(task)

    def _find_inherited_upstream(self, upstream_id: str, pool: str) -> KnownUpstream:
        """Return an upstream with runs of an earlier epoch, which may not be registered."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            entry = UpstreamEntry(upstream_id, pool, "", "", False, Demand())
            upstream = KnownUpstream(UpstreamSlot(entry, Demand()), None)
            self._note_inherited_lease(upstream)
            upstream.slot.answering = False
            self._upstreams[upstream_id] = upstream
        return upstream

    def _process_registrations(
        self, entries: Iterable[Entry], written_after_ms: float = NEVER_MS
    ) -> None:
        """Apply registrations.

        :param written_after_ms: time after which all of them were written.
        """
        for entry in entries:
            if not entry.value:
                self._mark_unlisted(entry.key)
                continue
            try:
                registered = self._decode_upstream(entry.key, entry.value)
            except DecodeError as error:
                self._malformed.add(entry.key, error, entry.offset)
                continue
            self._update_registration(registered, written_after_ms)
        self._request_pass()

    def _update_registration(self, entry: UpstreamEntry, written_after_ms: float) -> None:
        upstream = self._upstreams.get(entry.upstream_id)
        if entry.started_ms <= self._ended_incarnations.get(entry.upstream_id, -1):
            return
        if upstream is None or upstream.link is None:
            self._connect(entry, upstream)
            return
        slot = upstream.slot
        if entry.started_ms < max(upstream.started_ms, slot.entry.started_ms):
            # A record that an earlier incarnation wrote, carried out late by the store.
            return
        if slot.entry.address != entry.address:
            self._remove_upstream(upstream, f"restarted at {entry.address}")
            self._connect(entry, None)
            return
        if entry.draining and not slot.entry.draining:
            logger.info(
                "upstream is leaving",
                extra={
                    "upstream": entry.upstream_id,
                    "pool": entry.pool,
                    "leaving_ms": entry.leaving_ms,
                    "run_count": len(slot.tasks),
                },
            )
        slot.free = slot.free.plus(entry.capacity).plus(slot.entry.capacity, -1)
        restarted = entry.started_ms > slot.entry.started_ms
        slot.entry = entry
        self._apply_evacuation(upstream)
        if restarted:
            self._note_cold_start(slot)
        if entry.started_ms == upstream.started_ms:
            # The time at which it was read would be too late while the store is slow.
            upstream.registered_ms = max(upstream.registered_ms, written_after_ms)
        self._compare_registration(upstream)
        if restarted and not slot.known:
            self._note_inherited_lease(upstream)
        slot.listed = True

    def _connect(self, entry: UpstreamEntry, known: KnownUpstream | None) -> None:
        slot = UpstreamSlot(entry, entry.capacity)
        link = self._make_link(entry)
        upstream = KnownUpstream(slot, link, inherited=not self._registrations_read)
        self._note_inherited_lease(upstream)
        self._upstreams[entry.upstream_id] = upstream
        self._apply_evacuation(upstream)
        self._note_cold_start(slot)
        if known is not None:
            for task in known.slot.tasks.values():
                self._occupy_capacity(task, slot, already_counted=True)
            for orphan in known.orphans.values():
                if orphan.task is not None:
                    slot.occupy(orphan.task)
            slot.unknown_run_count = known.slot.unknown_run_count
            upstream.orphans = known.orphans
            upstream.bound_until_ms = known.bound_until_ms
        self._resume_vacating(upstream)
        for task_name, run in self._late_starts.get(entry.upstream_id, ()):
            link.tell(RejectLateStart(task_name, run))
        if not self._unstarted:
            self.tell_self(_StartLinks())
        self._unstarted.append(upstream)

    def _make_link(self, entry: UpstreamEntry) -> Link:
        tokens = self._fencing_tokens.setdefault(entry.upstream_id, FencingTokens(self._epoch))
        return Link(
            entry,
            tokens,
            self._lease_ms,
            self._lease_max_ms,
            self._make_client,
            self,
            self._timer,
        )

    def _resume_vacating(self, upstream: KnownUpstream) -> None:
        """Go on vacating an upstream that was registered again, so that it gets no tasks."""
        now_ms = self._timer.now_ms()
        self._vacating_requests = {
            upstream_id: request
            for upstream_id, request in self._vacating_requests.items()
            if now_ms - request.requested_ms <= defaults.VACATING_REQUEST_MAX_AGE_MS
        }
        request = self._vacating_requests.get(upstream.slot.entry.upstream_id)
        if request is not None:
            self._apply_vacating_request(upstream, request)

    def _apply_vacating_request(self, upstream: KnownUpstream, request: VacatingRequest) -> None:
        upstream.slot.cordoned = True
        upstream.order_pending = request.order_pending
        if request.order_pending:
            upstream.let_go_down()
        if not upstream.vacating_since_ms or upstream.grace_period_ms != request.grace_period_ms:
            upstream.vacating_since_ms = self._timer.now_ms()
            upstream.grace_period_ms = request.grace_period_ms

    @receives(_StartLinks)
    def on_start_links(self, message: _StartLinks) -> None:
        """Start the next links, and the others after a pause."""
        for _ in range(min(defaults.LINK_START_COUNT, len(self._unstarted))):
            upstream = self._unstarted.popleft()
            if self._upstreams.get(upstream.slot.entry.upstream_id) is upstream and upstream.link:
                upstream.link.start()
                upstream.link.tell(ExtendPermission(self._permitted_until_ms))
        if self._unstarted:
            self.subscribe_once(self._timer.after(defaults.LINK_START_PAUSE_MS), message)

    def _mark_unlisted(self, upstream_id: str) -> None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None and upstream.slot.listed:
            upstream.slot.listed = False
            logger.info(
                "upstream is no longer listed",
                extra={"upstream": upstream_id, "run_count": len(upstream.slot.tasks)},
            )

    # Reports.

    def _note_first_report(self, upstream: KnownUpstream) -> None:
        upstream.first_reported_ms = min(upstream.first_reported_ms, self._timer.now_ms())

    @receives(ReportReceived)
    @needs_jobs
    def on_report_received(self, message: ReportReceived) -> None:
        """Reconcile the runs that an upstream lists with those that it should have."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            return
        self._note_first_report(upstream)
        report = message.report
        slot = upstream.slot
        if upstream.started_ms and report.started_ms and report.started_ms != upstream.started_ms:
            logger.info(
                "upstream has started again",
                extra={
                    "upstream": message.upstream_id,
                    "run_count": len(slot.tasks),
                    "live_count": len(report.live),
                    "started_ms": report.started_ms,
                    "earlier_started_ms": upstream.started_ms,
                    "lease_left_ms": round(message.lease_end_ms - self._timer.now_ms()),
                },
            )
            upstream.last_ended_number = 0
        upstream.started_ms = report.started_ms or upstream.started_ms
        self._compare_registration(upstream)
        if slot.known:
            # A start that was sent since this poll may have extended the lease.
            upstream.note_lease_end(message.lease_end_ms)
        else:
            upstream.lease_end_ms = message.lease_end_ms
        upstream.reported_ms = self._timer.now_ms()
        if not slot.known:
            # An earlier leader may just have sent stops. A run that is being stopped is not listed,
            # but takes capacity; if its job has ended, the stored state does not name it either.
            stopped_ms = upstream.first_reported_ms + self._stop_ms + defaults.STOP_MARGIN_MS
            if upstream.inherited:
                slot.full_until_ms = max(slot.full_until_ms, stopped_ms)
            for task in slot.tasks.values():
                task.must_list_after_ms = max(task.must_list_after_ms, stopped_ms)
            for orphan in upstream.orphans.values():
                orphan.conclusive_after_ms = max(orphan.conclusive_after_ms, stopped_ms)
        if not slot.known or not slot.answering:
            slot.known = slot.answering = True
            self._request_pass()
        live_keys = {(run.task_name, run.run) for run in report.live}
        listed = set(live_keys)
        for live in report.live:
            self._process_live_run(upstream, live)
        for ended in report.ended:
            listed.add((ended.task_name, ended.run))
            if ended.number > upstream.last_ended_number:
                upstream.last_ended_number = ended.number
                self._process_ended_run(upstream, ended)
        if report.ended:
            self._effects.acknowledgements[message.upstream_id] = Acknowledge(
                report.ended[-1].number, report.started_ms
            )
            self._request_pass()
        if len(report.ended) < ENDED_PAGE_COUNT:
            self._drop_unlisted_runs(upstream, listed, message.requested_ms)
            self._release_bound_tasks(upstream, message.requested_ms)
        self._repeat_stops(upstream, live_keys)
        self._set_paces(upstream)
        self._detect_slow_upstream(upstream)

    def _compare_registration(self, upstream: KnownUpstream) -> None:
        """Place nothing at an incarnation that is not registered yet; it may be of another kind."""
        slot = upstream.slot
        outdated = slot.entry.started_ms < upstream.started_ms
        if outdated == slot.outdated:
            return
        slot.outdated = outdated
        if not outdated:
            self._request_pass()
            return
        self._withdraw_assigned(slot)

    def _apply_evacuation(self, upstream: KnownUpstream) -> None:
        """Place nothing in an evacuated data centre."""
        slot = upstream.slot
        slot.evacuated = slot.entry.data_centre in self._evacuations.data_centres
        if slot.evacuated:
            self._withdraw_assigned(slot)

    def _withdraw_assigned(self, slot: UpstreamSlot) -> None:
        """Withdraw the tasks whose start has not been sent."""
        for task in list(slot.tasks.values()):
            # The tasks of a gang are withdrawn together.
            if task.state == "assigned":
                self._apply_event(task, "withdraw")

    def _note_cold_start(self, slot: UpstreamSlot) -> None:
        if self._evacuations.enabled:
            slot.cold_until_ms = self._timer.now_ms() + slot.entry.cold_left_ms

    def _set_paces(self, upstream: KnownUpstream) -> None:
        """Slow down or speed up the best-effort tasks beside the serving tasks."""
        now_ms = self._timer.now_ms()
        if upstream.link is None:
            return
        for change in list(pacing.pace_changes(upstream.slot.tasks.values(), now_ms)):
            task = change.task
            text = "pace ordered again" if change.percent == task.pace else "pace changed"
            pacing.order_pace(change, now_ms)
            upstream.link.tell(SetPace(task.name, task.run, change.percent))
            logger.info(
                text,
                extra={
                    "task": task.name,
                    "run": task.run,
                    "upstream": task.upstream_id,
                    "percent": change.percent,
                    "tail_ms": change.tail_ms,
                    "target_ms": change.target_ms,
                    "reason": change.reason,
                },
            )

    @receives(PaceOutcome)
    def on_pace_outcome(self, message: PaceOutcome) -> None:
        """Process the outcome of an order for a pace."""
        task = self._find_task(message.task_name)
        if task is not None and task.run == message.run:
            pacing.note_outcome(task, message.percent, message.outcome)

    def _process_live_run(self, upstream: KnownUpstream, live: LiveRun) -> None:
        task = self._find_task(live.task_name)
        key = (live.task_name, live.run)
        if key in upstream.orphans or task is None or not self._is_current_run(upstream, task, key):
            self._process_orphan(upstream, key)
            return
        if live.checkpoint:
            self._keep_checkpoint(task, live.checkpoint)
        task.percent = 0 if upstream.may_go_down else live.percent
        task.load = live.load
        now_ms = self._timer.now_ms()
        resuming = task.history.checkpoint and now_ms - task.assigned_ms < defaults.RESUME_GRACE_MS
        if not resuming and not task.step.spec.long_running:
            task.tracker.observe(now_ms, live.percent)
        if task.state == "stopping":
            self._log_run("upstream lists a run that is being stopped", task, "")
        task.start_pending_until_ms = 0.0
        if task.state != "running":
            # Polls overlap: a report that was requested before now may not list the run yet.
            task.must_list_after_ms = max(task.must_list_after_ms, self._timer.now_ms())
            self._apply_event(task, "listed")
            job = task.step.job
            job.note_start()
            if job.ended or (task.step.spec.gang and task.step.has_left(task.run)):
                self._stop_task(task)

    @staticmethod
    def _is_current_run(upstream: KnownUpstream, task: Task, key: tuple[str, int]) -> bool:
        same_upstream = task.upstream_id == upstream.slot.entry.upstream_id
        return same_upstream and task.run == key[1] and task.placed

    def _keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the saved progress of a task unless it is too much; an earlier value stays then."""
        tasks = task.step.tasks
        if checkpoint == task.history.checkpoint or tasks.keep_checkpoint(task, checkpoint):
            return
        metrics.CHECKPOINTS_DROPPED.add(1, metrics.labels(reason="memory"))
        if task.step.note_dropped_checkpoint(self._timer.now_ms()):
            logger.warning(
                "saved progress is not kept",
                extra={
                    "job": task.step.job.job_id,
                    "task": task.name,
                    "run": task.run,
                    "size_chars": len(checkpoint),
                    "used_bytes": task.step.job.memory.checkpoints.used_bytes,
                    "limit_bytes": task.step.job.memory.checkpoints.limit_bytes,
                },
            )

    def _process_orphan(self, upstream: KnownUpstream, key: tuple[str, int]) -> None:
        """Stop an orphan, unless it is a copy that may be done before the task's current run.

        :meth:`_repeat_stops` sends the stop again while the orphan is listed.
        """
        orphan = upstream.orphans.get(key) or self._add_orphan(upstream, key)
        task = orphan.task
        wanted = task is not None and task.step.spec.copyable and not task.step.job.ended
        if orphan.must_stop or (wanted and task is not None and task.state not in FINAL):
            return
        logger.warning(
            "upstream lists a run that is not expected there; stopping it",
            extra={"task": key[0], "run": key[1], "upstream": upstream.slot.entry.upstream_id},
        )
        self._stop_run(upstream, key, orphan)

    def _process_ended_run(self, upstream: KnownUpstream, ended: EndedRun) -> None:
        task = self._find_task(ended.task_name)
        upstream_id = upstream.slot.entry.upstream_id
        if task is None or task.run != ended.run or task.upstream_id != upstream_id:
            self._process_ended_orphan(upstream, task, ended)
            return
        task.step.job.note_start()
        if ended.checkpoint and ended.outcome != "done":
            self._keep_checkpoint(task, ended.checkpoint)
        if ended.outcome in ("done", "failed"):
            upstream.slot.record_outcome(ended.outcome == "failed")
        metrics.RUNS.add(1, metrics.labels(outcome=ended.outcome))
        event = ended.outcome if ended.outcome in ("done", "failed") else "ended"
        if event == "done" and task.placed:
            self._placement.note_done(task, self._timer.now_ms())
        if event != "done":
            logger.info(
                "run has ended without a result",
                extra={
                    "job": task.step.job.job_id,
                    "task": task.name,
                    "run": task.run,
                    "upstream": upstream_id,
                    "outcome": ended.outcome,
                    "failed_count": len(task.history.failed_runs),
                },
            )
        if (task.placed or event == "done") and TASK_CHART.accepts(task.state, event):
            self._apply_event(task, event)
        elif event == "failed" and not task.step.job.ended:
            # The task waits for a copy, or its run was counted as lost.
            self._record_failure(task, ended.run, upstream_id)
        if (task.name, ended.run) in upstream.orphans:
            self._release_orphan(upstream, (task.name, ended.run))

    def _process_ended_orphan(
        self, upstream: KnownUpstream, task: Task | None, ended: EndedRun
    ) -> None:
        """Process the end of a run that is not the current run of its task."""
        key = (ended.task_name, ended.run)
        logger.info(
            "another run of a task has ended",
            extra={"task": key[0], "run": key[1], "outcome": ended.outcome, "known": bool(task)},
        )
        if task is not None and not task.step.job.ended:
            if ended.outcome == "failed":
                self._record_failure(task, ended.run, upstream.slot.entry.upstream_id)
            elif ended.outcome == "done" and (key in upstream.orphans or task.step.spec.copyable):
                # A run that was listed ended under its lease, so that the task must not run again.
                event = "done" if task.state == "waiting" else "done_elsewhere"
                if TASK_CHART.accepts(task.state, event):
                    self._apply_event(task, event)
        if key in upstream.orphans:
            self._release_orphan(upstream, key)

    @receives(PollFailed)
    @needs_jobs
    def on_poll_failed(self, message: PollFailed) -> None:
        """Assign no new tasks to an upstream that did not answer."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            return
        slot = upstream.slot
        if slot.answering:
            slot.answering = False
            logger.info(
                "upstream does not answer",
                extra={
                    "upstream": message.upstream_id,
                    "reason": message.reason,
                    "run_count": len(slot.tasks),
                    "report_age_ms": round(self._timer.now_ms() - upstream.reported_ms),
                },
            )
        self._assume_tasks_away(slot)
        upstream.note_lease_end(message.lease_end_ms, message.unanswered_sent_ms)
        if message.gone:
            self._remove_upstream(upstream, "another incarnation answered at its address")
