"""The leader's state of jobs, runs and upstreams, and the actions of the task chart."""

from __future__ import annotations

import logging
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field, frozen

from . import defaults, jobmodel, metrics, pacing
from .assignment import UpstreamSlot, Usage
from .decoding import MalformedLog
from .evacuations import Evacuations
from .fencing import FencingTokens
from .follower import Follower, open_bulk_reads
from .graph import Rules, UpstreamEntry
from .intake import IntakeReader
from .jobmemory import LeaderMemory
from .jobmodel import EndedJob, Job, StepOccurrence
from .leases import NEVER_MS, max_lease_ms
from .link import ClientFactory, Link
from .loads import OfferedLoad, SubmissionShares
from .mailbox import Actor, Handler, implements_action, receives
from .progress import ProgressTracker
from .reservations import is_large
from .runorders import (
    NOT_SENT_IN_TIME,
    Acknowledge,
    PollUpstream,
    Start,
    StartOutcome,
    Stop,
    StopConfirmed,
)
from .runs import StartOrder
from .storage import DEFAULT_LIMITS, StoreLimits
from .taskplacement import FirstFit, Placement
from .tasks import TASK_CHART, Task
from .timer import Timer
from .unloaded import UnloadedJobs
from .writer import Writer

logger = logging.getLogger(__name__)

# Memory of a cancellation of an unknown job, and the account that it is counted for.
EARLY_CANCEL_BYTES = 600
CANCELLATIONS = "/cancellations"


def needs_jobs(handler: Handler) -> Handler:
    """Mark a handler whose messages wait until a new leader has restored all jobs."""
    handler.needs_jobs = True  # type: ignore[attr-defined]
    return handler


@frozen
class SchedulingPass:
    """Trigger of a scheduling pass: place waiting tasks and store state changes."""


@define
class DeferredEffects:
    """Effects that are applied once the state changes before them are stored.

    :param starts: runs to start, as tasks with the number of the run.
    :param acknowledgements: by upstream, acknowledgement of the last ended run that it has listed.
    :param ended_jobs: jobs whose end becomes visible.
    :param cleared_jobs: jobs whose end is stored and whose last run is gone.
    """

    starts: list[tuple[Task, int]] = field(factory=list)
    acknowledgements: dict[str, Acknowledge] = field(factory=dict)
    ended_jobs: list[Job | EndedJob] = field(factory=list)
    cleared_jobs: list[Job] = field(factory=list)


@define
class EarlyCancel:
    """A cancellation of a job that has not been read, and may never be.

    :param read_ms: when it was read first.
    :param parts: partitions that hold a record of it.
    """

    read_ms: float
    parts: set[int] = field(factory=set)


@define(eq=False)
class OrphanRun:
    """A run that is not the current run of its task. It occupies capacity until it is gone.

    :param task: None if no such task is known.
    :param conclusive_after_ms: the run is gone if a report requested after this time does not list
        it.
    :param must_stop: a stop was ordered, and is repeated until the run is gone.
    """

    task: Task | None
    conclusive_after_ms: float
    must_stop: bool = False


@frozen
class VacatingRequest:
    """The latest request to vacate an upstream, which its owner repeats.

    :param requested_ms: when it was received.
    :param grace_period_ms: how long to wait for tasks without saved progress; None for no limit.
    :param order_pending: an order for its VM has been sent or is about to be.
    """

    requested_ms: float
    grace_period_ms: float | None
    order_pending: bool


@define(eq=False)
class KnownUpstream:
    """An upstream with its link and the runs on it.

    :param link: None if the upstream is only known from runs of an earlier epoch.
    :param started_ms: Unix time at which the incarnation that answered last was started.
    :param last_ended_number: number of the last ended run that has been processed.
    :param lease_end_ms: time by which all runs end that it has confirmed, if its lease is not
        renewed again.
    :param unanswered_sent_ms: when the latest order without an answer was sent to it that may have
        started a run or extended a lease; an incarnation that is not known yet may have taken it.
    :param reported_ms: time of its last report.
    :param registered_ms: time after which the known incarnation wrote its latest registration.
    :param first_reported_ms: time of its first report in this epoch, infinite before. From then on
        it refuses the orders of earlier leaders.
    :param inherited: it was registered before this epoch and may have runs of earlier ones.
    :param vacating_since_ms: when vacating it for a planned stop began, 0 if it is not vacated.
    :param grace_period_ms: how long to wait for tasks without saved progress while vacating; None
        for no limit.
    :param may_go_down: its VM may go down at any moment, so that the tasks on it no longer count as
        available.
    :param order_pending: an order for its VM has been sent or is about to be.
    :param bound_until_ms: tasks that may run nowhere else until a report that was requested after
        this time.
    """

    slot: UpstreamSlot
    link: Link | None
    lease_end_ms: float = 0.0
    unanswered_sent_ms: float = NEVER_MS
    started_ms: int = 0
    last_ended_number: int = 0
    reported_ms: float = 0.0
    registered_ms: float = 0.0
    first_reported_ms: float = float("inf")
    inherited: bool = False
    vacating_since_ms: float = 0.0
    grace_period_ms: float | None = None
    may_go_down: bool = False
    order_pending: bool = False
    orphans: dict[tuple[str, int], OrphanRun] = field(factory=dict)
    bound_until_ms: dict[Task, float] = field(factory=dict)

    def note_lease_end(self, end_ms: float, unanswered_sent_ms: float = NEVER_MS) -> None:
        """Note a later end of its lease, and a later order without an answer."""
        self.lease_end_ms = max(self.lease_end_ms, end_ms)
        self.unanswered_sent_ms = max(self.unanswered_sent_ms, unanswered_sent_ms)

    def let_go_down(self) -> None:
        """Note that its VM may go down at any moment, and count its tasks as away at once."""
        self.may_go_down = True
        for task in self.slot.tasks.values():
            task.percent = 0


class RunState(Actor):
    """Owns the jobs, their runs and the capacity that the runs occupy.

    :param decode_upstream: decodes an upstream's registration; raises DecodeError.
    :param election: notified when a higher epoch is seen.
    :param lease_ms: duration of the lease of an upstream's runs.
    :param lease_max_ms: longest lease that an upstream grants.
    :param stop_ms: how long an upstream may take to stop a run.
    :param retention_ms: how long an ended job can be looked up.
    :param store_limits: what the store accepts.
    :param link_mbps: capacity of this entry VM's link.
    :param evacuation_ms: time within which an evacuated data centre gets no more tasks; None if the
        platform has no evacuations.
    :param memory_mb: memory of this entry VM; 0 if it is not known.
    :param successor_memory_mb: memory of the smallest entry VM that may lead next; 0 for that of
        this one.
    :param placement: decides where waiting tasks run; ``first_fit`` if None.
    """

    def __init__(
        self,
        epoch: int,
        rules: Rules,
        make_store: Callable[[], Any],
        writer: Writer,
        election: Actor,
        make_client: ClientFactory,
        upstream_topic: str,
        decode_upstream: Callable[[str, bytes], UpstreamEntry],
        timer: Timer,
        *,
        lease_ms: int,
        lease_max_ms: int,
        stop_ms: int,
        retention_ms: int,
        intake_part_count: int,
        store_limits: StoreLimits = DEFAULT_LIMITS,
        link_mbps: float,
        make_fleet: Callable[[Actor, dict[str, bytes]], Actor] | None = None,
        make_advisor: Callable[[Actor], Actor] | None = None,
        memory_mb: int = 0,
        successor_memory_mb: int = 0,
        evacuation_ms: int | None = None,
        placement: Placement | None = None,
    ) -> None:
        super().__init__("scheduler")
        self._memory = LeaderMemory.of_vm(memory_mb)
        if successor_memory_mb:
            self._memory.limit_to(successor_memory_mb)
        self._store_limits = store_limits
        self._epoch = epoch
        self._rules = rules
        self._make_store = make_store
        self._writer = writer
        self._election = election
        self._make_client = make_client
        self._decode_upstream = decode_upstream
        self._timer = timer
        self._lease_ms = lease_ms
        self._lease_max_ms = lease_max_ms
        self._stop_ms = stop_ms
        self._retention_ms = retention_ms
        self._bulk_reads = open_bulk_reads(link_mbps)
        self._intake_part_count = intake_part_count
        self._intake = IntakeReader(
            epoch,
            intake_part_count,
            make_store,
            self,
            timer,
            self._bulk_reads,
            store_limits=store_limits,
            memory_bytes=self._memory.intake_bytes,
        )
        self._unloaded = UnloadedJobs(self._memory.unloaded)
        self._page_requested = False
        # Job for which the page was requested that is read now.
        self._wanted_id = ""
        # Partition and key after which the next page is read while the whole store is read again.
        self._reread_from: tuple[int, str] | None = None
        self._reread_wall_ms = 0
        # Unix time before which all partitions are known that hold records of ended jobs, also
        # while some accepted jobs are not known.
        self._parts_known_until_ms = 0
        self._make_fleet = make_fleet
        self._fleet: Actor | None = None
        self._make_advisor = make_advisor
        self._advisor: Actor | None = None
        self._placement = placement or FirstFit()
        self._permitted_until_ms = 0.0
        self._evacuations = Evacuations(evacuation_ms)
        self._placement_held = False
        self._jobs: dict[str, Job | EndedJob] = {}
        # By job ID, cancellations that were read before their jobs, the oldest ones first.
        self._early_cancels: dict[str, EarlyCancel] = {}
        self._upstreams: dict[str, KnownUpstream] = {}
        # Upstreams whose links are not started yet.
        self._unstarted: deque[KnownUpstream] = deque()
        # By upstream; outlasts the record of an upstream that is registered again.
        self._vacating_requests: dict[str, VacatingRequest] = {}
        self._usages: dict[str, Usage] = {}
        self._ready_steps: dict[str, dict[StepOccurrence, None]] = {}
        # Upstreams with links at the last scheduling pass.
        self._slots_by_pool: dict[str, list[UpstreamSlot]] = {}
        # What the waiting steps of a pass have in common, computed once in it.
        self._remaining_slots: dict[str, Sequence[UpstreamSlot]] = {}
        self._fits_empty: dict[tuple[str, int], bool] = {}
        self._logged_wait_count = 0
        self._unfinished: dict[str, Job] = {}
        self._loaded = False
        self._intake_as_of_ms = 0.0
        self._effects = DeferredEffects()
        self._dirty_steps: dict[StepOccurrence, None] = {}
        self._dirty_jobs: dict[Job | EndedJob, None] = {}
        self._dropped_keys: list[str] = []
        self._committing = False
        self._pass_due = False
        self._pass_duration_ms = 0.0
        self._upstream_follower = Follower(
            make_store(),
            upstream_topic,
            self,
            timer,
            wait_ms=0,
            pause_ms=defaults.UPSTREAM_LIST_PAUSE_MS,
            bulk_reads=self._bulk_reads,
        )
        self._short_millicores: Counter[str] = Counter()
        # By pool, cpu of long-running tasks that cannot leave an evacuated data centre.
        self._unmovable_millicores: Counter[str] = Counter()
        self._backlog_millicore_ms: Counter[str] = Counter()
        self._deferred_millicore_ms: Counter[str] = Counter()
        self._loads_sent_ms = 0.0
        self._summary_logged_ms = 0.0
        # Jobs whose end is stored, in the order of their ends.
        self._ended: deque[EndedJob] = deque()
        # By partition, ended jobs of which it may hold records that are not needed any more.
        self._deletable: dict[int, dict[str, None]] = {}
        # By partition, cancellations of unknown jobs that are not needed any more.
        self._expired_cancels: dict[int, dict[str, None]] = {}
        self._deleting_parts: set[int] = set()
        self._deletions_sent_ms = 0.0
        self._shares = SubmissionShares()
        self._offered_load = OfferedLoad(defaults.OFFERED_WINDOWS_MS, defaults.OFFERED_MIN_COUNT)
        self._malformed = MalformedLog("leader")
        self._registrations_read = False
        # All registrations that were written before this time have been read.
        self._registrations_as_of_ms = NEVER_MS
        # By upstream, start time of the incarnation that has ended: its registration stays in the
        # store for some time and must be ignored.
        self._ended_incarnations: dict[str, int] = {}
        # By upstream; outlasts the link of an upstream that is registered again.
        self._fencing_tokens: dict[str, FencingTokens] = {}
        # By upstream, runs that were given up though their starts may still be carried out there.
        self._late_starts: dict[str, set[tuple[str, int]]] = {}
        self._leader_since_ms = timer.now_ms()
        # From this time on, no earlier leader can store another assignment.
        self._fenced_ms = float("inf")
        self._rng = random.Random(epoch)

    @property
    def epoch(self) -> int:
        """The epoch of leadership for which it schedules."""
        return self._epoch

    @property
    def memory_bytes(self) -> int:
        """Memory that its jobs use."""
        return self._memory.used_bytes

    def _usage(self, account: str) -> Usage:
        usage = self._usages.get(account)
        if usage is None:
            usage = self._usages[account] = Usage()
            self._apply_rule(account, usage)
        return usage

    def _apply_rule(self, name: str, usage: Usage) -> None:
        rule = self._rules.accounts.get(name)
        if rule is not None:
            usage.limit, usage.weight = rule.limit, rule.weight

    # Jobs.

    def _add_part(self, job: Job | EndedJob, part: int) -> None:
        """Note that a partition holds a record of a job.

        It is not needed any more once the job has ended and no run of it is left; a new leader
        takes the demand of the runs from it.
        """
        job.parts.add(part)
        if job.ended and job.stored and not job.has_runs:
            self._deletable.setdefault(part, {})[job.job_id] = None

    def _admit(self, job: Job) -> None:
        """Release the due occurrences of a job and queue the steps that are ready."""
        self._unfinished[job.job_id] = job
        job.release_due(self._timer.wall_ms())
        for step in job.steps.values():
            self._queue_if_ready(step)
        for task in list(job.kept_tasks()):
            if task.history.failed_runs and task.exhausted:
                # An earlier leader may have waited for a copy, which is not in the stored state.
                self._requeue_step(task)
        self._complete_job_if_done(job)

    def _release_due(self, job: Job) -> None:
        """Release the occurrences of a job that have become due, and queue their ready steps."""
        for step in job.release_due(self._timer.wall_ms()):
            self._queue_if_ready(step)

    def _queue_if_ready(self, step: StepOccurrence) -> None:
        if step.has_waiting and step.ready:
            steps = self._ready_steps.setdefault(step.job.pool, {})
            if step not in steps:
                step.queued_ms = self._timer.now_ms()
                steps[step] = None

    def _cancel_job(self, job_id: str, part: int) -> None:
        job = self._jobs.get(job_id)
        logger.info(
            "cancellation read",
            extra={
                "job": job_id,
                "part": part,
                "epoch": self._epoch,
                "phase": job.phase if job else "unknown",
                "intake_age_ms": round(self._timer.now_ms() - self._intake_as_of_ms),
            },
        )
        if job is None:
            self._note_early_cancel(job_id, part)
            return
        self._add_part(job, part)
        if isinstance(job, EndedJob) or job.cancelled or job.ended:
            return
        job.cancelled = True
        self._end_job(job, jobmodel.CANCELLED, "cancelled by the caller")

    def _note_early_cancel(self, job_id: str, part: int) -> None:
        """Remember a cancellation of a job that is not known."""
        known = self._early_cancels.get(job_id)
        if known is not None:
            known.parts.add(part)
        elif self._memory.unloaded.admits(CANCELLATIONS, EARLY_CANCEL_BYTES):
            self._memory.unloaded.take(CANCELLATIONS, EARLY_CANCEL_BYTES)
            self._early_cancels[job_id] = EarlyCancel(self._timer.now_ms(), {part})
        else:
            # It is found when the store is read again.
            self._unloaded.note_left_out()

    def _take_early_cancel(self, job_id: str) -> EarlyCancel | None:
        """Remove and return the cancellation of a job that was not known, None if there is none."""
        cancel = self._early_cancels.pop(job_id, None)
        if cancel is not None:
            self._memory.unloaded.give_back(CANCELLATIONS, EARLY_CANCEL_BYTES)
        return cancel

    def _end_job(self, job: Job, phase: str, reason: str) -> None:
        job.phase = phase
        job.ended_ms = self._timer.wall_ms()
        self._unfinished.pop(job.job_id, None)
        ready = self._ready_steps.get(job.pool, {})
        for step in job.steps.values():
            ready.pop(step, None)
            for task in list(step.tasks.kept):
                self._stop_task(task)
                self._stop_copies(task)
        self._dirty_jobs[job] = None
        metrics.JOBS.add(1, metrics.labels(phase=phase))
        metrics.JOB_DURATION.record(job.ended_ms - job.arrived_ms, metrics.labels(phase=phase))
        logger.info(
            "job has ended",
            extra={
                "job": job.job_id,
                "queue": job.submission.queue,
                "account": job.submission.account,
                "phase": phase,
                "reason": reason,
                "age_ms": job.ended_ms - job.arrived_ms,
                "objective_ms": round(job.objective_ms()),
            },
        )
        self._request_pass()

    def _complete_job_if_done(self, job: Job) -> None:
        if not job.ended and job.done:
            self._end_job(job, jobmodel.COMPLETED, "all tasks are done")

    # Runs: events and actions of the task chart.

    def _apply_event(self, task: Task, event: str, **details: Any) -> None:
        self.step(TASK_CHART, task, event, **details)

    def _occupy_capacity(
        self, task: Task, slot: UpstreamSlot, already_counted: bool = False
    ) -> None:
        slot.tasks[task.name] = task
        slot.long_running_count += task.step.spec.long_running
        slot.occupy(task)
        if not already_counted:
            self._add_usage(task)

    def _add_usage(self, task: Task, factor: int = 1) -> None:
        """Add the demand of a task's run to its account's usage; a factor of -1 removes it."""
        usage = self._usage(task.step.job.submission.account)
        usage.running = usage.running.plus(task.step.spec.demand, factor)

    def _assign(self, task: Task, slot: UpstreamSlot) -> None:
        """Assign a task to an upstream and reserve the capacity."""
        size = "large" if is_large(task.step.spec, slot.entry.capacity) else "small"
        wait_ms = self._timer.now_ms() - task.step.queued_ms
        metrics.TASK_WAIT.record(wait_ms, metrics.labels(size=size))
        self._apply_event(task, "assign", slot=slot)

    @implements_action("reserve")
    def _reserve_capacity(self, task: Task, slot: UpstreamSlot) -> None:
        task.run += 1
        task.upstream_id = slot.entry.upstream_id
        task.assigned_ms = self._timer.now_ms()
        task.must_list_after_ms = 0.0
        task.start_pending_until_ms = float("inf")
        task.percent, task.pace, task.load = 0, pacing.FULL_PERCENT, 0
        task.tracker = ProgressTracker()
        task.pace_confirmed, task.paced_ms = True, 0.0
        self._occupy_capacity(task, slot)
        self._effects.starts.append((task, task.run))
        self._dirty_steps[task.step] = None

    @implements_action("free")
    def _free(self, task: Task, **details: Any) -> None:
        self._add_usage(task, -1)
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is not None and upstream.slot.tasks.pop(task.name, None) is not None:
            upstream.slot.occupy(task, -1)
            upstream.slot.long_running_count -= task.step.spec.long_running
        task.percent = 0
        self._dirty_steps[task.step] = None
        self._requeue_step(task)

    @implements_action("stop_gang")
    def _stop_rest_of_gang(self, task: Task, **details: Any) -> None:
        """Stop the other tasks of a run of a gang that one of them has left.

        Those that were at work end anyway; those still waiting for the others would do so in vain.
        """
        if not task.step.spec.gang:
            return
        for other in list(task.step.tasks.kept):
            if other.run != task.run:
                continue
            if other.state == "assigned":
                self._apply_event(other, "gang_left")
            else:
                self._stop_task(other)

    @implements_action("detach")
    def _detach(self, task: Task, start_uncertain: bool = False, **details: Any) -> None:
        """Turn the current run of a task into an orphan, which may continue at its upstream.

        :param start_uncertain: the start may still reach the upstream; the orphan is stopped, as
            only a stop rules that out. Without a link the start was sent by an earlier leader, and
            the higher epoch of the first poll rules it out.
        """
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is None:
            self._free(task)
            return
        upstream.slot.tasks.pop(task.name, None)
        key = (task.name, task.run)
        orphan = upstream.orphans[key] = OrphanRun(task, self._timer.now_ms())
        task.copies[task.run] = task.upstream_id
        if start_uncertain and upstream.link is not None:
            self._stop_run(upstream, key, orphan)
        task.percent = 0
        self._dirty_steps[task.step] = None
        self._requeue_step(task)

    def _release_orphan(self, upstream: KnownUpstream, key: tuple[str, int]) -> None:
        """Release the capacity of an orphan that is gone."""
        orphan = upstream.orphans.pop(key)
        if orphan.task is None:
            upstream.slot.unknown_run_count -= 1
            self._request_pass()
            return
        orphan.task.copies.pop(key[1], None)
        upstream.slot.occupy(orphan.task, -1)
        self._add_usage(orphan.task, -1)
        self._dirty_steps[orphan.task.step] = None
        orphan.task.step.tasks.condense(orphan.task)
        self._close_if_done(orphan.task.step)
        self._requeue_step(orphan.task)

    def _add_orphan(self, upstream: KnownUpstream, key: tuple[str, int]) -> OrphanRun:
        """Add an orphan for a run that an upstream lists, and count its capacity."""
        task = self._find_task(key[0])
        orphan = upstream.orphans[key] = OrphanRun(task, self._timer.now_ms())
        if task is not None:
            task.step.tasks.keep(task)
            task.copies[key[1]] = upstream.slot.entry.upstream_id
            upstream.slot.occupy(task)
            self._add_usage(task)
            self._dirty_steps[task.step] = None
        else:
            upstream.slot.unknown_run_count += 1
        return orphan

    def _allow_copy(self, task: Task, reason: str) -> None:
        """Allow a second run of a task while the first continues; the run done first counts."""
        self._log_run("second run of a task", task, reason)
        self._apply_event(task, "copy", start_uncertain=task.state == "unsure")

    def _stop_copies(self, task: Task) -> None:
        """Stop all runs of a task other than its current one."""
        for run, upstream_id in task.copies.items():
            upstream = self._upstreams.get(upstream_id)
            orphan = upstream.orphans.get((task.name, run)) if upstream else None
            if upstream is not None and orphan is not None:
                self._stop_run(upstream, (task.name, run), orphan)

    def _stop_run(self, upstream: KnownUpstream, key: tuple[str, int], orphan: OrphanRun) -> None:
        if not orphan.must_stop:
            orphan.must_stop, orphan.conclusive_after_ms = True, float("inf")
            self._order_stop(upstream, key)

    def _order_stop(self, upstream: KnownUpstream | None, key: tuple[str, int]) -> None:
        """Send a stop; without a link it is sent with the first report that calls for it."""
        if upstream is not None and upstream.link is not None:
            upstream.link.tell(Stop(*key))
            return
        logger.info(
            "stop cannot be sent",
            extra={
                "task": key[0],
                "run": key[1],
                "upstream": upstream.slot.entry.upstream_id if upstream else "",
                "reason": "there is no link to its upstream",
            },
        )

    def _repeat_stops(self, upstream: KnownUpstream, live: set[tuple[str, int]]) -> None:
        """Send the stops again that an upstream has not confirmed, or that it has not followed.

        An order can be lost with its link, or was given while there was none. Links ignore the
        order to stop a run whose stop they are sending.
        """
        unconfirmed_ms = float("inf")
        for task in upstream.slot.tasks.values():
            key = (task.name, task.run)
            unconfirmed = task.must_list_after_ms == unconfirmed_ms
            if task.state == "stopping" and (unconfirmed or key in live):
                self._order_stop(upstream, key)
        for key, orphan in upstream.orphans.items():
            unconfirmed = orphan.conclusive_after_ms == unconfirmed_ms
            if orphan.must_stop and (unconfirmed or key in live):
                self._order_stop(upstream, key)

    def _requeue_step(self, task: Task) -> None:
        """Queue the step of a task without a current run; fail the job if the task is exhausted.

        Does nothing if the job has ended.
        """
        job = task.step.job
        if job.ended:
            return
        if task.state == "waiting" and task.exhausted and not task.copies:
            self._apply_event(task, "abandon")
            self._end_job(
                job,
                jobmodel.FAILED,
                f"task {task.name} failed {len(task.history.failed_runs)} times",
            )
            return
        if task.startable:
            self._queue_if_ready(task.step)
        self._request_pass()

    @implements_action("finish")
    def _finish(self, task: Task, **details: Any) -> None:
        step = task.step
        job = step.job
        self._dirty_steps[step] = None
        self._stop_copies(task)
        if step.spec.long_running:
            self._apply_event(task, "restart")
            self._requeue_step(task)
            return
        step.done_count += 1
        step.tasks.condense(task)
        if job.ended or not step.done:
            return
        for dependent in job.note_step_done(step):
            self._queue_if_ready(dependent)
        self._close_if_done(step)
        self._complete_job_if_done(job)

    def _close_if_done(self, step: StepOccurrence) -> None:
        """Drop the occurrence of a step if it is done, which may make room for later ones."""
        if not step.job.ended:
            step.job.close_if_done(step.occurrence)
            self._release_due(step.job)

    @implements_action("finish_gang")
    def _finish_rest_of_gang(self, task: Task, **details: Any) -> None:
        """Finish the other tasks of a gang, which ends as a whole.

        Their own ends may never be listed, as an upstream that is lost takes them along.
        """
        spec = task.step.spec
        if not spec.gang or spec.long_running:
            return
        for other in list(task.step.tasks.kept):
            if other.run == task.run and TASK_CHART.accepts(other.state, "gang_done"):
                self._apply_event(other, "gang_done")

    @implements_action("count_failure")
    def _count_failure(self, task: Task, **details: Any) -> None:
        self._record_failure(task, task.run, task.upstream_id)

    def _record_failure(self, task: Task, run: int, upstream_id: str) -> None:
        task.failed_on |= {upstream_id}
        if task.state != "done":
            task.step.tasks.keep(task)
        if not task.step.spec.long_running:
            task.history.failed_runs.add(run)
            self._dirty_steps[task.step] = None
            self._requeue_step(task)

    @implements_action("send_start")
    def _send_start(self, task: Task) -> None:
        upstream = self._upstreams[task.upstream_id]
        order = StartOrder(
            task.name,
            task.run,
            task.step.job.submission.spec.text,
            task.history.checkpoint,
            task.step.tickets.get(task.upstream_id, ""),
        )
        if upstream.link is not None:
            upstream.note_lease_end(self._timer.now_ms() + max_lease_ms(self._lease_ms))
            upstream.link.tell(Start(order, self._evacuations.starts_until_ms))

    @implements_action("send_stop")
    def _send_stop(self, task: Task, **details: Any) -> None:
        self._order_stop(self._upstreams.get(task.upstream_id), (task.name, task.run))

    def _stop_task(self, task: Task) -> None:
        """Stop the current run of a task, or withdraw it if its start has not been sent."""
        if task.state == "assigned":
            self._apply_event(task, "withdraw")
        elif task.placed and task.state != "stopping":
            if task.state in ("starting", "unsure"):
                # The start may still reach the upstream; only the answer to the stop rules it out.
                task.must_list_after_ms = float("inf")
            self._apply_event(task, "stop")

    @receives(StartOutcome)
    def on_start_outcome(self, message: StartOutcome) -> None:
        """Process the outcome of a start."""
        metrics.STARTS.add(1, metrics.labels(outcome=message.outcome))
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            upstream.note_lease_end(message.lease_end_ms, message.unanswered_sent_ms)
        task = self._find_task(message.task_name)
        if task is None or task.run != message.run or not task.placed:
            return
        task.start_pending_until_ms = 0.0
        if message.outcome == "unanswered":
            sent_ms = message.unanswered_sent_ms
            task.start_pending_until_ms = sent_ms + defaults.ORDER_DELAY_MAX_MS
        job = task.step.job
        if message.outcome == "accepted":
            task.must_list_after_ms = self._timer.now_ms()
            if task.state in ("starting", "running", "stopping"):
                self._apply_event(task, "accepted")
            job.note_start()
            return
        logger.info(
            "start was not accepted",
            extra={
                "job": job.job_id,
                "task": message.task_name,
                "run": message.run,
                "upstream": message.upstream_id,
                "outcome": message.outcome,
                "reason": message.reason,
            },
        )
        if message.outcome == "refused" and task.state == "stopping":
            # The stop may still be in transit; its outcome decides whether the run is gone.
            return
        if message.outcome == "refused":
            self._record_refusal(message)
            if message.reason == "ticket":
                task.step.drop_ticket(message.upstream_id)
        if task.state in ("starting", "running"):
            task.must_list_after_ms = self._timer.now_ms()
            task.retry_ms = self._timer.now_ms() + defaults.START_RETRY_MS
            self._apply_event(task, message.outcome)
            if message.outcome == "unanswered":
                self._poll_upstream_of(task)

    def _record_refusal(self, message: StartOutcome) -> None:
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            return
        now_ms = self._timer.now_ms()
        if message.reason in ("room", "unhealthy"):
            upstream.slot.full_until_ms = now_ms + defaults.UPSTREAM_FULL_BACKOFF_MS
        elif message.reason not in ("old", "late", "fence", "ticket", NOT_SENT_IN_TIME):
            upstream.slot.answering = False

    @receives(StopConfirmed)
    def on_stop_confirmed(self, message: StopConfirmed) -> None:
        """Process the upstream's confirmation of a stop.

        A run that is being stopped is listed neither as live nor as ended. After the time that a
        stop may take, a run that a report does not list is gone.
        """
        key = (message.task_name, message.run)
        self._late_starts.get(message.upstream_id, set()).discard(key)
        upstream = self._upstreams.get(message.upstream_id)
        orphan = upstream.orphans.get(key) if upstream else None
        if orphan is not None:
            orphan.conclusive_after_ms = (
                self._timer.now_ms() + self._stop_ms + defaults.STOP_MARGIN_MS
            )
        task = self._find_task(message.task_name)
        if task is not None and task.run == message.run and task.state == "stopping":
            settle_ms = self._stop_ms + defaults.STOP_MARGIN_MS
            task.must_list_after_ms = self._timer.now_ms() + settle_ms
            self._apply_event(task, "stopped")
            self._poll_upstream_of(task, settle_ms + 1)

    def _poll_upstream_of(self, task: Task, delay_ms: float = 0.0) -> None:
        """Poll the upstream of a task after a delay."""
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is not None and upstream.link is not None:
            upstream.link.tell(PollUpstream(delay_ms))

    def _find_task(self, task_name: str) -> Task | None:
        parsed = jobmodel.parse_task_name(task_name)
        if parsed is None:
            return None
        job_id, occurrence, number, index = parsed
        job = self._jobs.get(job_id)
        step = job.steps.get((occurrence, number)) if job else None
        if step is None or index >= len(step.tasks):
            return None
        return step.tasks.find(index)

    @staticmethod
    def _log_run(text: str, task: Task, reason: str) -> None:
        logger.info(
            text,
            extra={
                "job": task.step.job.job_id,
                "task": task.name,
                "run": task.run,
                "upstream": task.upstream_id,
                "state": task.state,
                "reason": reason,
            },
        )

    def _mark_lost(self, task: Task, reason: str) -> None:
        self._log_run("run is lost", task, reason)
        self._apply_event(task, "vanish")

    def _request_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            pause_ms = defaults.PASS_PAUSE_RATIO * self._pass_duration_ms
            pause_ms = min(pause_ms, defaults.PASS_PAUSE_MAX_MS)
            delay_ms = max(defaults.PLACEMENT_DELAY_MS, pause_ms)
            self.subscribe_once(self._timer.after(delay_ms), SchedulingPass())
