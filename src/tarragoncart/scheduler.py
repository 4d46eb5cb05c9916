"""The leader's scheduler: owns all jobs, places their tasks and tracks each job until it ends."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter
from collections.abc import Iterator, Sequence

from attrs import frozen

from . import assignment, defaults, jobmodel, metrics, staterecords
from .advisor import ADVICE_UPSTREAM_COUNT, AdviceReceived, RequestAdvice
from .assignment import UpstreamSlot, WaitReason
from .candidates import Reach
from .evacuations import remaining_slots
from .explaining import PlaceAnswers
from .follower import TopicChanges, TopicSnapshot
from .graph import Demand, Rules, StepSpec
from .jobmodel import Job, StepOccurrence
from .leadership import Fenced, LeadershipConfirmed, ReachMeasured
from .loads import Loads
from .mailbox import new_reply, receives, resolve
from .reservations import unusable_room
from .runorders import ExtendPermission, FencedByUpstream
from .runstate import DeferredEffects, KnownUpstream, SchedulingPass, needs_jobs
from .storage import Record, record_bytes
from .taskplacement import PlacementRequest
from .traffic import TRAFFIC
from .vmorders import WaveRequested
from .writer import FENCED, RecordRejected, Write

logger = logging.getLogger(__name__)

PRODUCER = "scheduler"
# Steps whose new reason to wait is logged in one pass; a job may have thousands of steps.
LOGGED_WAITS_LIMIT_COUNT = 50


@frozen
class RulesChanged:
    """A newer version of the configuration has taken effect."""

    rules: Rules


@frozen
class JobView:
    """The leader's answer to a :class:`Lookup`.

    :param phase: phase of the job, empty if the job is not known.
    :param view_age_ms: time since the leader last read the accepted jobs; infinite if it has not
        restored their state or its leadership is not confirmed.
    """

    phase: str
    view_age_ms: float


@frozen
class PendingView:
    """The leader's answer to a :class:`CountPending`.

    :param view_age_ms: as for :class:`JobView`.
    """

    count: int
    view_age_ms: float


@frozen
class Lookup:
    """Request for the phase of a job."""

    job_id: str
    reply: asyncio.Future[JobView]


@frozen
class CountPending:
    """Request for the number of jobs of a queue that have not started."""

    queue: str
    reply: asyncio.Future[PendingView]


@frozen
class _Tick:
    """Periodic trigger of the checks that depend on time."""


@frozen
class _Committed:
    outcome: str
    effects: DeferredEffects


class Scheduler(PlaceAnswers):
    """Schedules all jobs during one epoch of leadership.

    :class:`RunState` documents the parameters.
    """

    # Start and stop.

    async def on_open(self) -> None:
        """Start the take-over and the periodic checks."""
        await super().on_open()
        self.subscribe(self._timer.every(defaults.SCHEDULER_TICK_MS), _Tick())

    async def on_close(self) -> None:
        """Stop all actors of this epoch."""
        links = [upstream.link for upstream in self._upstreams.values() if upstream.link]
        fleet = [actor for actor in (self._fleet, self._advisor) if actor]
        readers = (self._intake, self._upstream_follower)
        await asyncio.gather(
            *(actor.stop() for actor in (*readers, *links, *fleet, self._writer)),
            return_exceptions=True,
        )

    @receives(LeadershipConfirmed)
    def on_confirmed(self, message: LeadershipConfirmed) -> None:
        """Extend the time for which orders may be sent."""
        self._permitted_until_ms = message.valid_until_ms
        if self._fleet is not None:
            self._fleet.tell(ExtendPermission(message.valid_until_ms))
        for upstream in self._upstreams.values():
            if upstream.link is not None:
                upstream.link.tell(ExtendPermission(message.valid_until_ms))

    @receives(WaveRequested)
    @needs_jobs
    def on_wave(self, message: WaveRequested) -> None:
        """Forward a request for maintenance to the owner of the VMs."""
        if self._fleet is not None:
            self._fleet.tell(message)

    @receives(FencedByUpstream)
    def on_fenced(self, message: FencedByUpstream) -> None:
        """Resign, as an upstream has seen a leader with a higher epoch."""
        logger.info(
            "upstream has seen a higher epoch",
            extra={"epoch": self._epoch, "upstream": message.upstream_id},
        )
        self._election.tell(Fenced(self._epoch))

    # Configuration.

    @receives(RulesChanged)
    def on_rules(self, message: RulesChanged) -> None:
        """Apply the limits and weights of a new configuration."""
        self._rules = message.rules
        for name, usage in self._usages.items():
            self._apply_rule(name, usage)
        self._request_pass()

    # Topics.

    @receives(TopicSnapshot)
    def on_snapshot(self, message: TopicSnapshot) -> None:
        """Process the complete set of upstream registrations."""
        present = {entry.key for entry in message.entries if entry.value}
        for upstream_id in list(self._upstreams):
            if upstream_id not in present:
                self._mark_unlisted(upstream_id)
        self._process_registrations(message.entries)
        self._registrations_read = True
        self._registrations_as_of_ms = message.as_of_ms
        self._start_fleet_if_ready()

    @receives(TopicChanges)
    def on_changes(self, message: TopicChanges) -> None:
        """Process new upstream registrations."""
        if message.entries:
            self._process_registrations(message.entries, self._registrations_as_of_ms)
        self._registrations_as_of_ms = message.as_of_ms

    # Placement and commit.

    @receives(SchedulingPass)
    def on_pass(self, message: SchedulingPass) -> None:
        """Place waiting tasks, then store all state changes."""
        self._pass_due = False
        if not self._loaded:
            return
        started_ms = self._timer.now_ms()
        permitted = started_ms < self._permitted_until_ms and self._may_start_tasks()
        if permitted and not self._committing:
            self._place()
            self._pass_duration_ms = self._timer.now_ms() - started_ms
        self._commit()

    def _place(self) -> None:
        now_ms = self._timer.now_ms()
        wall_ms = self._timer.wall_ms()
        order = assignment.ORDERS.get(defaults.STEP_ORDER)
        self._slots_by_pool = {}
        for upstream in self._upstreams.values():
            if upstream.link is not None:
                pool = upstream.slot.entry.pool
                self._slots_by_pool.setdefault(pool, []).append(upstream.slot)
        self._remaining_slots, self._fits_empty = {}, {}
        self._logged_wait_count = 0
        self._short_millicores = Counter()
        self._backlog_millicore_ms = Counter()
        # Each pool has its own limit, so that none waits for the assignments of another one. Pools
        # stay in the registry after their last step.
        waiting_pool_count = sum(1 for steps in self._ready_steps.values() if steps)
        limit_count = -(-defaults.ASSIGNMENT_LIMIT_COUNT // max(1, waiting_pool_count))
        self._deferred_millicore_ms = Counter()
        for pool, steps in self._ready_steps.items():
            for step in [s for s in steps if not s.has_waiting]:
                del steps[step]
            slots = [slot for slot in self._slots_by_pool.get(pool, ()) if slot.usable]
            if not steps:
                self._placement.note_idle(pool)
                continue
            ordered = sorted(steps, key=lambda step: order(step, wall_ms))
            self._request_advice(ordered, slots, now_ms)
            placed = self._placement.plan(
                PlacementRequest(
                    pool,
                    ordered,
                    slots,
                    self._usage,
                    now_ms,
                    wall_ms,
                    self._assign,
                    self._record_wait,
                    limit_count,
                )
            )
            for step, count in Counter(task.step for task in placed).items():
                logger.info(
                    "tasks assigned",
                    extra={
                        "step": step.name,
                        "count": count,
                        "pool": pool,
                        "upstreams": len(slots),
                    },
                )
                if not step.has_waiting:
                    step.wait_reason = ""
        self._log_reservations(now_ms)
        has_unplaced = (
            self._short_millicores or self._backlog_millicore_ms or self._deferred_millicore_ms
        )
        if has_unplaced and now_ms - self._loads_sent_ms >= defaults.LOADS_MIN_INTERVAL_MS:
            self._send_loads()

    def _log_reservations(self, now_ms: float) -> None:
        for change in self._placement.take_changes():
            reservation = change.reservation
            metrics.RESERVATIONS.add(1, metrics.labels(change=change.change))
            logger.info(
                f"reservation {change.change}",
                extra={
                    "step": reservation.step.name,
                    "upstream": reservation.upstream_id,
                    "account": reservation.account,
                    "age_ms": round(now_ms - reservation.made_ms),
                    "room_expected_in_ms": round(reservation.expected_ms - now_ms),
                    "reason": change.reason,
                },
            )

    def _measure_unusable_room(self) -> int:
        """Return the free cpu of usable upstreams that no task waiting in their pool fits."""
        total_millicores = 0
        for pool, steps in self._ready_steps.items():
            slots = [slot for slot in self._slots_by_pool.get(pool, ()) if slot.usable]
            room = unusable_room(slots, steps) if steps else Demand()
            metrics.UNUSABLE_ROOM.set(room.cpu_millicores, metrics.labels(pool=pool))
            total_millicores += room.cpu_millicores
        return total_millicores

    def _send_loads(self) -> None:
        """Report the load of the upstreams and the unplaced work to the owner of the VMs."""
        if self._fleet is None:
            return
        self._loads_sent_ms = self._timer.now_ms()
        short_millicores = self._short_millicores.copy()
        short_millicores.update(self._unmovable_millicores)
        self._fleet.tell(
            Loads(
                {load.upstream_id: load for load in self._upstream_loads()},
                dict(short_millicores),
                dict(self._backlog_millicore_ms),
                self._offered_load.rates(self._loads_sent_ms),
                dict(self._deferred_millicore_ms),
            )
        )

    def _request_advice(
        self, steps: list[StepOccurrence], slots: list[UpstreamSlot], now_ms: float
    ) -> None:
        """Request advice for the steps of queues that need it."""
        if self._advisor is None:
            return
        for step in steps:
            needs = step.job.submission.needs_advice and now_ms >= step.tickets_until_ms
            if needs and slots and now_ms - step.advice_requested_ms > defaults.ADVICE_RETRY_MS:
                step.advice_requested_ms = now_ms
                ids = [slot.entry.upstream_id for slot in slots]
                chosen = self._rng.sample(ids, min(len(ids), ADVICE_UPSTREAM_COUNT))
                self._advisor.tell(RequestAdvice(step.name, tuple(chosen)))

    @receives(AdviceReceived)
    def on_advice_received(self, message: AdviceReceived) -> None:
        """Store the tickets of a step."""
        parsed = jobmodel.parse_task_name(f"{message.step_name}.0")
        job = self._jobs.get(parsed[0]) if parsed else None
        step = job.steps.get(parsed[1:3]) if job and parsed else None
        if step is None:
            return
        step.tickets, step.tickets_until_ms = message.tickets, message.valid_until_ms
        logger.info(
            "advice received",
            extra={
                "step": message.step_name,
                "ticket_count": len(message.tickets),
                "age_ms": round(self._timer.now_ms() - step.advice_requested_ms),
            },
        )
        self._request_pass()

    def _record_wait(self, step: StepOccurrence, reason: WaitReason) -> None:
        """Log why a step waits when the reason changes, and count the cpu that found no room."""
        if step.wait_reason != reason:
            step.wait_reason = reason
            self._log_wait(step, reason)
        if reason is WaitReason.NO_ROOM:
            self._count_shortage(step)

    def _log_wait(self, step: StepOccurrence, reason: WaitReason) -> None:
        self._logged_wait_count += 1
        if self._logged_wait_count <= LOGGED_WAITS_LIMIT_COUNT:
            account = step.job.submission.account
            usage = self._usage(account)
            logger.info(
                "step waits",
                extra={
                    "step": step.name,
                    "pool": step.job.pool,
                    "account": account,
                    "reason": reason,
                    "running_millicores": usage.running.cpu_millicores,
                    "limit_millicores": usage.limit.cpu_millicores,
                    "task_millicores": step.spec.demand.cpu_millicores,
                },
            )

    def _count_shortage(self, step: StepOccurrence) -> None:
        """Count the cpu of tasks that found no upstream, as input to the sizing of the pools.

        A step that does not fit even an empty upstream of its pool is left out: the pool would be
        given more and more VMs, none of which could run the step.
        """
        pool, spec = step.job.pool, step.spec
        slots = self._remaining_slots_of(pool)
        if slots and not self._fits_empty_slot(pool, spec):
            return
        cpu_millicores = spec.counted.cpu_millicores
        if slots:
            capacity = slots[0].entry.capacity
            cpu_millicores = round(spec.counted.share_of(capacity) * capacity.cpu_millicores)
        waiting_millicores = step.waiting_count * max(
            cpu_millicores, defaults.SHORTAGE_MIN_MILLICORES
        )
        work_millicore_ms = waiting_millicores * (spec.estimate_ms or defaults.ESTIMATE_DEFAULT_MS)
        if assignment.deferrable(step, self._timer.wall_ms()):
            self._deferred_millicore_ms[pool] += work_millicore_ms
        elif assignment.needs_added_vms(spec, slots):
            self._short_millicores[pool] += waiting_millicores
        else:
            self._backlog_millicore_ms[pool] += work_millicore_ms

    def _remaining_slots_of(self, pool: str) -> Sequence[UpstreamSlot]:
        """Return the upstreams of a pool that show what an added VM can run, once in a pass."""
        slots = self._remaining_slots.get(pool)
        if slots is None:
            slots = remaining_slots(self._slots_by_pool.get(pool, []))
            self._remaining_slots[pool] = slots
        return slots

    def _fits_empty_slot(self, pool: str, spec: StepSpec) -> bool:
        """Return whether an empty upstream of a pool can run a step, once in a pass for equal ones.

        A job may have thousands of equal steps, which are one object.
        """
        key = pool, id(spec)
        fits = self._fits_empty.get(key)
        if fits is None:
            slots = self._remaining_slots_of(pool)
            fits = any(assignment.admits_when_empty(slot, spec) for slot in slots)
            self._fits_empty[key] = fits
        return fits

    def _commit(self) -> None:
        effects = self._effects
        if self._committing:
            return
        records = tuple(self._changed_records())
        if not records and not effects.acknowledgements:
            return
        effects.ended_jobs.extend(self._dirty_jobs)
        changed_jobs = dict.fromkeys(step.job for step in self._dirty_steps)
        effects.cleared_jobs.extend(job for job in changed_jobs if job.stored and not job.has_runs)
        self._effects = DeferredEffects()
        self._dirty_steps = {}
        self._dirty_jobs = {}
        self._dropped_keys = []
        if not records:
            self._apply_effects(effects)
            return
        self._committing = True
        reply = new_reply()
        reply.add_done_callback(
            lambda done: (
                None if done.cancelled() else self.tell_self(_Committed(done.result(), effects))
            )
        )
        self._writer.tell(Write(records, reply, self))

    def _changed_records(self) -> Iterator[Record]:
        for job in self._dirty_jobs:
            yield job.job_id, staterecords.encode_phase(job)
            for step in job.steps.values():
                if step.has_runs:
                    yield self._step_record(step)
                elif step.tasks.has_had_runs:
                    yield step.name, b""
            if isinstance(job, Job):
                yield from ((name, b"") for name in job.closed_step_names())
        for step in self._dirty_steps:
            if not step.job.ended:
                yield self._step_record(step)
            elif step.job not in self._dirty_jobs and not step.has_runs:
                yield step.name, b""
        for key in self._dropped_keys:
            yield key, b""

    def _step_record(self, step: StepOccurrence) -> Record:
        """Return the record of a step, without saved progress for which it has no room."""
        key = step.name
        max_bytes = self._store_limits.record_bytes - record_bytes((key, b""))
        encoded = staterecords.encode_step(step, max_bytes)
        if encoded.left_out_count > step.unstored_count:
            count = encoded.left_out_count - step.unstored_count
            metrics.CHECKPOINTS_DROPPED.add(count, metrics.labels(reason="record"))
            if step.note_dropped_checkpoint(self._timer.now_ms()):
                logger.warning(
                    "saved progress is not stored",
                    extra={
                        "job": step.job.job_id,
                        "step": key,
                        "task_count": encoded.left_out_count,
                        "size_bytes": len(encoded.value),
                        "limit_bytes": max_bytes,
                    },
                )
        step.unstored_count = encoded.left_out_count
        return key, encoded.value

    @receives(RecordRejected)
    def on_record_rejected(self, message: RecordRejected) -> None:
        """Fail the job whose state can never be stored; nothing else waits for it.

        Its starts, which wait for the state, are withdrawn.
        """
        job = self._jobs.get(message.key.partition(".")[0])
        logger.error(
            "state of a job can never be stored",
            extra={
                "job": job.job_id if job else "",
                "key": message.key,
                "size_bytes": message.size_bytes,
                "reason": message.reason,
            },
        )
        if isinstance(job, Job) and not job.ended:
            self._end_job(job, jobmodel.FAILED, f"its state cannot be stored: {message.reason}")

    @receives(_Committed)
    def on_committed(self, message: _Committed) -> None:
        """Apply the effects that had to wait until the state changes were stored."""
        self._committing = False
        if message.outcome == FENCED:
            self._election.tell(Fenced(self._epoch))
            return
        self._apply_effects(message.effects)
        self._request_pass()

    def _apply_effects(self, effects: DeferredEffects) -> None:
        # The view may have become too old while the assignments were stored.
        may_start = not effects.starts or self._may_start_tasks()
        for task, run in effects.starts:
            if task.state == "assigned" and task.run == run:
                self._apply_event(task, "commit" if may_start else "withdraw")
        for upstream_id, acknowledgement in effects.acknowledgements.items():
            upstream = self._upstreams.get(upstream_id)
            if upstream is not None and upstream.link is not None:
                upstream.link.tell(acknowledgement)
        for job in effects.ended_jobs:
            job.stored = True
            self._retain(job)
        for job in effects.cleared_jobs:
            self._condense(job)
            self._release_parts(job)

    # Time.

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """Check upstreams, release due occurrences, drop expired jobs and report the load."""
        if not self._loaded:
            return
        now_ms = self._timer.now_ms()
        # These stops come first: they need no budget, and the orders for VMs leave them theirs.
        for upstream in list(self._upstreams.values()):
            self._stop_tasks_on_leaving_upstream(upstream)
        for upstream in list(self._upstreams.values()):
            self._check_upstream(upstream, now_ms)
        self._move_evacuated_tasks(now_ms)
        for job in list(self._unfinished.values()):
            if job.next_occurrence is not None:
                self._release_due(job)
        self._drop_expired_cancels(now_ms)
        self._read_unloaded()
        self._delete_records_of_ended_jobs(now_ms)
        self._drop_expired_jobs()
        self._send_loads()
        self._report_upstreams(now_ms)
        if any(self._ready_steps.values()):
            self._request_pass()

    def _report_upstreams(self, now_ms: float) -> None:
        """Log a summary once a second, and tell the election which upstreams answer."""
        if now_ms - self._summary_logged_ms < defaults.LEADER_SUMMARY_MS:
            return
        self._summary_logged_ms = now_ms
        slots = [upstream.slot for upstream in self._upstreams.values()]
        self._report_reach(slots)
        self._log_summary(slots, now_ms)

    def _log_summary(self, slots: list[UpstreamSlot], now_ms: float) -> None:
        steps = [step for steps in self._ready_steps.values() for step in steps]
        logger.info(
            "leader summary",
            extra={
                "epoch": self._epoch,
                "registered_upstreams": sum(slot.listed for slot in slots),
                "answering_upstreams": sum(slot.known and slot.answering for slot in slots),
                "usable_upstreams": sum(slot.usable for slot in slots),
                "run_count": sum(len(slot.tasks) for slot in slots),
                "waiting_steps": len(steps),
                "unfinished_jobs": len(self._unfinished),
                "left_jobs": len(self._unloaded),
                "job_bytes": self._memory.jobs.used_bytes,
                "task_bytes": self._memory.tasks.used_bytes,
                "unusable_millicores": self._measure_unusable_room(),
                "intake_age_ms": round(now_ms - self._intake_as_of_ms),
                "permitted_for_ms": round(self._permitted_until_ms - now_ms),
                "traffic": TRAFFIC.take(),
            },
        )

    def _report_reach(self, slots: list[UpstreamSlot]) -> None:
        """Tell the election which upstreams answer, as the leader may be the one cut off."""
        listed = [slot for slot in slots if slot.listed]
        unreached = [slot.entry.address for slot in listed if not (slot.known and slot.answering)]
        # Takes addresses at even distances, so that the sample is not one rack.
        stride = max(1, len(unreached) // defaults.REACH_SAMPLE_COUNT)
        sample = tuple(unreached[::stride][: defaults.REACH_SAMPLE_COUNT])
        reach = Reach(len(listed), len(listed) - len(unreached), sample)
        self._election.tell(ReachMeasured(self._epoch, reach))

    def _check_upstream(self, upstream: KnownUpstream, now_ms: float) -> None:
        slot = upstream.slot
        if slot.slow and now_ms - slot.slow_measured_ms > defaults.SLOW_EXPIRY_MS:
            slot.slow = False
            logger.info(
                "upstream is no longer slow",
                extra={
                    "upstream": slot.entry.upstream_id,
                    "judged_age_ms": round(now_ms - slot.slow_measured_ms),
                },
            )
        if slot.answering:
            report_age_ms = now_ms - upstream.reported_ms
            if report_age_ms > defaults.UPSTREAM_SILENT_MS and slot.known:
                slot.answering = False
                self._assume_tasks_away(slot)
                logger.info(
                    "upstream does not answer",
                    extra={
                        "upstream": slot.entry.upstream_id,
                        "reason": "its last report is too old",
                        "run_count": len(slot.tasks),
                        "report_age_ms": round(report_age_ms),
                    },
                )
                return
            self._vacate(upstream, now_ms)
            return
        if upstream.may_go_down:
            # An order for its VM may have no answer yet and is only repeated while this holds.
            self._confirm_vacated(upstream)
        if now_ms < upstream.lease_end_ms:
            self._allow_copies(upstream, now_ms)
            return
        reason = "its upstream is silent and the lease has expired"
        lost_count = self._mark_all_lost(upstream, reason, assigned=False, as_of_ms=now_ms)
        if lost_count:
            self._log_lease_expired(upstream, lost_count, now_ms)
        self._vacate(upstream, now_ms)
        gone = upstream.link is None or not slot.listed
        if gone and not (slot.tasks or upstream.orphans or upstream.bound_until_ms):
            self._remove_upstream(upstream, "not registered and not answering")

    def _log_lease_expired(self, upstream: KnownUpstream, lost_count: int, now_ms: float) -> None:
        logger.info(
            "lease of a silent upstream has expired",
            extra={
                "upstream": upstream.slot.entry.upstream_id,
                "started_ms": upstream.started_ms,
                "registered_started_ms": upstream.slot.entry.started_ms,
                "lost_count": lost_count,
                "run_count": len(upstream.slot.tasks),
                "orphan_count": len(upstream.orphans),
                "expired_ago_ms": round(now_ms - upstream.lease_end_ms),
                "unanswered_age_ms": _age_ms(upstream.unanswered_sent_ms, now_ms),
                "report_age_ms": round(now_ms - upstream.reported_ms),
                "first_report_age_ms": _age_ms(upstream.first_reported_ms, now_ms),
            },
        )

    def _allow_copies(self, upstream: KnownUpstream, now_ms: float) -> None:
        """Allow copies of the tasks of an upstream that does not answer.

        Without a copy a task would wait until the lease of the upstream has expired.
        """
        if (
            now_ms - max(upstream.reported_ms, self._leader_since_ms)
            < defaults.COPY_AFTER_SILENCE_MS
        ):
            return
        for task in list(upstream.slot.tasks.values()):
            if task.copyable:
                self._allow_copy(task, "its upstream does not answer")

    # Queries.

    @receives(Lookup)
    def on_lookup(self, message: Lookup) -> None:
        """Answer with the phase of a job."""
        job = self._jobs.get(message.job_id)
        phase = ""
        if job is not None:
            # An end that is not stored yet could still be lost with this leader.
            phase = job.phase if not job.ended or job.stored else jobmodel.RUNNING
        elif self._unloaded.is_cancelled(message.job_id):
            # Its cancellation is in the store, and no run of it will start.
            phase = jobmodel.CANCELLED
        elif message.job_id in self._unloaded:
            phase = jobmodel.QUEUED
        complete = self._unloaded.complete or bool(phase)
        age_ms = self._view_age_ms() if complete else float("inf")
        resolve(message.reply, JobView(phase, age_ms))

    @receives(CountPending)
    def on_count_pending(self, message: CountPending) -> None:
        """Count the jobs of a queue that have not started."""
        count = sum(
            job.submission.queue == message.queue and job.pending
            for job in self._unfinished.values()
        )
        left_count = self._unloaded.count_of_queue(message.queue)
        age_ms = self._view_age_ms() if left_count is not None else float("inf")
        resolve(message.reply, PendingView(count + (left_count or 0), age_ms))

    def _view_age_ms(self) -> float:
        """Return the age of the view from which queries are answered."""
        now_ms = self._timer.now_ms()
        if not self._loaded or now_ms >= self._permitted_until_ms:
            return float("inf")
        return now_ms - self._intake_as_of_ms


def _age_ms(since_ms: float, now_ms: float) -> int | None:
    """Return the time since an event, None if it has not happened."""
    return round(now_ms - since_ms) if math.isfinite(since_ms) else None
