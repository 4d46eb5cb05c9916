"""The leader: owns all jobs, decides which task runs where and sees each job to its end."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from attrs import define, field, frozen

from . import assignment, defaults, intake, ledger, metrics, pacing
from .assignment import Slot, Usage
from .election import Fenced, LeadershipConfirmed
from .errors import StoreRefusedError, StoreUnknownError
from .follower import Follower, ReadStore, TopicChanges, TopicSnapshot, read_newest
from .graph import Demand, Rules, UpstreamEntry
from .ledger import TASK_CHART, Job, StepRun, Task
from .link import (
    Acknowledge,
    ClientFactory,
    FencedByUpstream,
    Link,
    Look,
    Pace,
    Permit,
    Reported,
    Silent,
    Start,
    StartEnded,
    Stop,
    StopEnded,
)
from .loads import Loads, Offered, Shares, UpstreamLoad
from .mailbox import Actor, carries_out, new_reply, receives, resolve
from .runs import EndedRun, LiveRun, StartOrder
from .storage import Entry
from .timer import Timer
from .vms import WAVE_KEY_PREFIX, Ended, Readmit, Vacate, Vacated, WaveAsked
from .writer import FENCED, STORED, Write, Writer

logger = logging.getLogger(__name__)

STATE_TOPIC = "keyed.state"
PRODUCER = "scheduler"
# An upstream lists this many ends at a time; with as many, others may be missing.
ENDED_PAGE_COUNT = 500


@frozen
class RulesChanged:
    """A newer configuration is in force."""

    rules: Rules


@frozen
class JobView:
    """What the leader says of a job.

    :param phase: empty if the job is not known.
    :param view_age_ms: age of the leader's view of accepted jobs.
    """

    phase: str
    view_age_ms: float


@frozen
class Lookup:
    """Ask for a job."""

    job_id: str
    reply: asyncio.Future[JobView]


@frozen
class CountPending:
    """Ask how many jobs of a queue have not begun."""

    queue: str
    reply: asyncio.Future[int]


@frozen
class _Pass:
    """Time to place tasks and to store changes."""


@frozen
class _Tick:
    """Time to look at what depends on time."""


@frozen
class _Committed:
    outcome: str
    effects: _Effects


@frozen
class _Dropped:
    job: Job
    outcome: str


@define
class _Effects:
    """What may be done once the changes before it are stored."""

    starts: list[tuple[Task, int]] = field(factory=list)
    acknowledgements: dict[str, int] = field(factory=dict)
    ended_jobs: list[Job] = field(factory=list)


@define(eq=False)
class _Upstream:
    """An upstream with its link.

    :param link: None for one that is only known from the runs that it had.
    :param ended_seen: number of the last end taken in.
    :param lease_end_ms: when all its runs have ended if it is not reached any more.
    :param vacate_ms: since when it is being emptied for a planned stop, 0 if it is not.
    :param patience_ms: how long tasks without saved progress are waited for, None for any time.
    :param closing: what still runs there counts as away: its VM may go down any moment.
    """

    slot: Slot
    link: Link | None
    lease_end_ms: float
    born_ms: int = 0
    ended_seen: int = 0
    reported_ms: float = 0.0
    vacate_ms: float = 0.0
    patience_ms: float | None = None
    closing: bool = False
    strays: set[tuple[str, int]] = field(factory=set)


class Scheduler(Actor):
    """Schedules for one epoch.

    :param decode_upstream: decodes an upstream's registration; raises ValueError.
    :param election: is told when a higher epoch shows.
    """

    def __init__(
        self,
        epoch: int,
        rules: Rules,
        read_store: Callable[[], ReadStore],
        writer: Writer,
        intake_writer: Actor,
        election: Actor,
        make_client: ClientFactory,
        upstream_topic: str,
        decode_upstream: Callable[[str, bytes], UpstreamEntry],
        timer: Timer,
        *,
        lease_ms: int,
        stop_ms: int,
        retention_ms: int,
        make_fleet: Callable[[Scheduler, dict[str, bytes]], Actor] | None = None,
    ) -> None:
        super().__init__("scheduler")
        self._epoch = epoch
        self._rules = rules
        self._read_store = read_store
        self._writer = writer
        self._intake_writer = intake_writer
        self._election = election
        self._make_client = make_client
        self._upstream_topic = upstream_topic
        self._decode_upstream = decode_upstream
        self._timer = timer
        self._lease_ms = lease_ms
        self._stop_ms = stop_ms
        self._retention_ms = retention_ms
        self._make_fleet = make_fleet
        self._fleet: Actor | None = None
        self._permitted_ms = 0.0
        self._jobs: dict[str, Job] = {}
        self._early_cancels: set[str] = set()
        self._upstreams: dict[str, _Upstream] = {}
        self._usages: dict[str, Usage] = {}
        self._ready: dict[str, dict[StepRun, None]] = {}
        self._unfinished: dict[str, Job] = {}
        self._restored: tuple[Entry, ...] | None = None
        self._loaded = False
        self._intake_as_of_ms = 0.0
        self._effects = _Effects()
        self._dirty_steps: dict[StepRun, None] = {}
        self._dirty_jobs: dict[Job, None] = {}
        self._dropped_keys: list[str] = []
        self._committing = False
        self._pass_due = False
        self._followers: list[Follower] = []
        self._short_millicores: Counter[str] = Counter()
        # Jobs whose end is stored, oldest first.
        self._ended: deque[Job] = deque()
        self._shares = Shares()
        self._offered = Offered(defaults.OFFERED_WINDOW_MS)
        self._malformed: set[str] = set()
        # Registrations of these linger in the store; another life gets another id.
        self._ended_ids: set[str] = set()
        self._gained_ms = timer.now_ms()

    @property
    def epoch(self) -> int:
        """The epoch for which it schedules."""
        return self._epoch

    # Start and stop.

    async def opened(self) -> None:
        """Fence earlier leaders, read their state and start reading jobs and upstreams."""
        self._writer.start()
        reply = new_reply()
        self._writer.tell(Write((), reply))
        if await reply != STORED:
            self._election.tell(Fenced(self._epoch))
            return
        self._restored = await self._read_state()
        if self._make_fleet is not None:
            waves = {e.key: e.value for e in self._restored if e.key.startswith(WAVE_KEY_PREFIX)}
            self._fleet = self._make_fleet(self, waves)
            self._fleet.start()
        for topic, wait_ms, pause_ms in (
            (intake.TOPIC, defaults.INTAKE_WAIT_MS, 0),
            (self._upstream_topic, 0, defaults.UPSTREAM_LIST_PAUSE_MS),
        ):
            follower = Follower(
                self._read_store(), topic, self, self._timer, wait_ms=wait_ms, pause_ms=pause_ms
            )
            self._followers.append(follower)
            follower.start()
        self.subscribe(self._timer.every(defaults.SCHEDULER_TICK_MS), _Tick())

    async def _read_state(self) -> tuple[Entry, ...]:
        store = self._read_store()
        try:
            while True:
                try:
                    return (await read_newest(store, STATE_TOPIC)).entries
                except (StoreRefusedError, StoreUnknownError) as error:
                    logger.warning("state cannot be read", extra={"reason": str(error)})
                    await asyncio.sleep(defaults.STORE_RETRY_MS / 1_000)
        finally:
            await store.close()

    async def closed(self) -> None:
        """Stop what belongs to this epoch."""
        links = [upstream.link for upstream in self._upstreams.values() if upstream.link]
        fleet = [self._fleet] if self._fleet else []
        await asyncio.gather(
            *(actor.stop() for actor in (*self._followers, *links, *fleet, self._writer)),
            return_exceptions=True,
        )

    @receives(LeadershipConfirmed)
    def on_confirmed(self, message: LeadershipConfirmed) -> None:
        """Orders may be given for some time more."""
        self._permitted_ms = message.valid_until_ms
        for upstream in self._upstreams.values():
            if upstream.link is not None:
                upstream.link.tell(Permit(message.valid_until_ms))

    @receives(WaveAsked)
    def on_wave(self, message: WaveAsked) -> None:
        """Pass a request for maintenance on."""
        if self._fleet is not None:
            self._fleet.tell(message)

    @receives(FencedByUpstream)
    def on_fenced(self, message: FencedByUpstream) -> None:
        """Another leader has reached an upstream: resign."""
        logger.info(
            "upstream has seen a higher epoch",
            extra={"epoch": self._epoch, "upstream": message.upstream_id},
        )
        self._election.tell(Fenced(self._epoch))

    # Configuration.

    @receives(RulesChanged)
    def on_rules(self, message: RulesChanged) -> None:
        """Apply limits and weights."""
        self._rules = message.rules
        for name, usage in self._usages.items():
            self._apply_rule(name, usage)
        self._request_pass()

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

    # Topics.

    @receives(TopicSnapshot)
    def on_snapshot(self, message: TopicSnapshot) -> None:
        """Take in all keys of a topic."""
        if message.topic == intake.TOPIC:
            self._take_intake(message.entries, message.as_of_ms)
        else:
            present = {entry.key for entry in message.entries if entry.value}
            for upstream_id in list(self._upstreams):
                if upstream_id not in present:
                    self._unlist(upstream_id)
            self._take_upstreams(message.entries)

    @receives(TopicChanges)
    def on_changes(self, message: TopicChanges) -> None:
        """Take in the newest records of a topic."""
        if message.topic == intake.TOPIC:
            self._take_intake(message.entries, message.as_of_ms)
        elif message.entries:
            self._take_upstreams(message.entries)

    def _take_intake(self, entries: Iterable[Entry], as_of_ms: float) -> None:
        self._intake_as_of_ms = as_of_ms
        cancelled: list[str] = []
        for entry in entries:
            if entry.key.startswith(intake.JOB_PREFIX):
                self._take_job(entry.key.removeprefix(intake.JOB_PREFIX), entry.value)
            elif entry.key.startswith(intake.CANCEL_PREFIX) and entry.value:
                cancelled.append(entry.key.removeprefix(intake.CANCEL_PREFIX))
        if not self._loaded:
            self._load()
        for job_id in cancelled:
            self._cancel(job_id)
        self._request_pass()

    def _take_job(self, job_id: str, value: bytes) -> None:
        if not value or job_id in self._jobs:
            return
        try:
            submission = intake.decode_submission(value)
        except ValueError as error:
            self._note_malformed(job_id, error)
            return
        job = Job(submission)
        self._jobs[job_id] = job
        if self._loaded:
            account = submission.account
            weight = self._usage(account).weight
            if account and self._shares.exceeds(self._timer.now_ms(), account, weight):
                job.beyond_share = True
            if not submission.spec.long_running:
                work = submission.spec.work_millicore_ms
                self._offered.add(self._timer.now_ms(), submission.pool, work)
            self._admit(job)
            if job_id in self._early_cancels:
                self._early_cancels.discard(job_id)
                self._cancel(job_id)

    def _note_malformed(self, key: str, error: Exception) -> None:
        if key not in self._malformed:
            self._malformed.add(key)
            logger.warning("record skipped", extra={"key": key, "reason": str(error)})

    def _load(self) -> None:
        """Apply the state that the store has to the jobs read."""
        self._loaded = True
        entries = self._restored or ()
        unknown = ledger.restore(self._jobs, _job_records(entries))
        self._dropped_keys.extend(unknown)
        self._restored = None
        placed_count = 0
        for job in self._jobs.values():
            for task in job.tasks():
                if task.placed:
                    placed_count += 1
                    self._attach(task)
            if job.phase == ledger.QUEUED and any(task.run for task in job.tasks()):
                job.phase = ledger.RUNNING
            self._admit(job)
        self._ended = deque(sorted(self._ended, key=lambda job: job.ended_ms))
        logger.info(
            "state taken over",
            extra={
                "epoch": self._epoch,
                "job_count": len(self._jobs),
                "unfinished_count": len(self._unfinished),
                "placed_count": placed_count,
                "after_ms": round(self._timer.now_ms() - self._gained_ms),
            },
        )

    def _attach(self, task: Task) -> None:
        """Count a run of an earlier epoch at its upstream."""
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is None:
            entry = UpstreamEntry(task.upstream_id, task.step.job.pool, "", "", False, Demand())
            upstream = _Upstream(Slot(entry, Demand()), None, self._inherited_lease_end_ms())
            upstream.slot.answering = False
            self._upstreams[task.upstream_id] = upstream
        self._take_capacity(task, upstream.slot)

    def _inherited_lease_end_ms(self) -> float:
        """Return when runs that an earlier leader may have started have ended for sure."""
        lease_ms = self._lease_ms / (1 - defaults.CLOCK_DRIFT_RATIO) + defaults.LEASE_MARGIN_MS
        return self._gained_ms + defaults.LEADERSHIP_VALID_MS + lease_ms

    def _take_upstreams(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            if not entry.value:
                self._unlist(entry.key)
                continue
            try:
                registered = self._decode_upstream(entry.key, entry.value)
            except (ValueError, TypeError, AttributeError) as error:
                self._note_malformed(entry.key, error)
                continue
            self._list(registered)
        self._request_pass()

    def _list(self, entry: UpstreamEntry) -> None:
        upstream = self._upstreams.get(entry.upstream_id)
        if entry.upstream_id in self._ended_ids:
            return
        if upstream is None or upstream.link is None:
            self._open(entry, upstream)
            return
        slot = upstream.slot
        if slot.entry.address != entry.address:
            logger.warning(
                "upstream has changed its address; the new one is ignored",
                extra={"upstream": entry.upstream_id, "address": entry.address},
            )
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
        slot.entry = entry
        slot.listed = True

    def _open(self, entry: UpstreamEntry, known: _Upstream | None) -> None:
        slot = Slot(entry, entry.capacity)
        link = Link(entry, self._epoch, self._lease_ms, self._make_client, self, self._timer)
        upstream = _Upstream(slot, link, self._inherited_lease_end_ms())
        self._upstreams[entry.upstream_id] = upstream
        if known is not None:
            for task in known.slot.tasks.values():
                self._take_capacity(task, slot, again=True)
        link.start()
        link.tell(Permit(self._permitted_ms))

    def _unlist(self, upstream_id: str) -> None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None and upstream.slot.listed:
            upstream.slot.listed = False
            logger.info(
                "upstream is no longer listed",
                extra={"upstream": upstream_id, "run_count": len(upstream.slot.tasks)},
            )

    # Jobs.

    def _admit(self, job: Job) -> None:
        """Release the due occurrences of a job and see which steps may run."""
        if job.ended:
            self._ended.append(job)
            return
        self._unfinished[job.job_id] = job
        now_ms = self._timer.wall_ms()
        while job.released_count < job.occurrence_count:
            if job.due_ms(job.released_count) > now_ms:
                break
            job.release(job.released_count)
        for step in job.steps.values():
            self._note_step(step)
        self._finish_if_done(job)

    def _note_step(self, step: StepRun) -> None:
        if step.ready and any(True for _ in step.waiting()):
            self._ready.setdefault(step.job.pool, {})[step] = None

    def _cancel(self, job_id: str) -> None:
        job = self._jobs.get(job_id)
        if job is None:
            self._early_cancels.add(job_id)
            return
        if job.cancelled or job.ended:
            return
        job.cancelled = True
        self._end(job, ledger.CANCELLED, "cancelled by the caller")

    def _end(self, job: Job, phase: str, reason: str) -> None:
        job.phase = phase
        job.ended_ms = self._timer.wall_ms()
        self._unfinished.pop(job.job_id, None)
        ready = self._ready.get(job.pool, {})
        for step in job.steps.values():
            ready.pop(step, None)
            for task in step.tasks:
                self._stop(task)
        self._dirty_jobs[job] = None
        metrics.JOBS.add(1, metrics.labels(phase=phase))
        metrics.JOB_DURATION.record(
            job.ended_ms - job.submission.accepted_ms, metrics.labels(phase=phase)
        )
        logger.info(
            "job has ended",
            extra={
                "job": job.job_id,
                "queue": job.submission.queue,
                "account": job.submission.account,
                "phase": phase,
                "reason": reason,
                "age_ms": job.ended_ms - job.submission.accepted_ms,
                "objective_ms": round(job.objective_ms()),
            },
        )
        self._request_pass()

    def _finish_if_done(self, job: Job) -> None:
        if job.ended or job.released_count < job.occurrence_count:
            return
        if all(step.done for step in job.steps.values()):
            self._end(job, ledger.COMPLETED, "all tasks are done")

    # Runs: events of the chart of a task, and what they cause.

    def _event(self, task: Task, event: str, **details: Any) -> None:
        self.step(TASK_CHART, task, event, **details)

    def _take_capacity(self, task: Task, slot: Slot, again: bool = False) -> None:
        spec = task.step.spec
        slot.free = slot.free.plus(spec.counted, -1)
        slot.tasks[task.name] = task
        slot.lasting_count += spec.long_running
        if not again:
            usage = self._usage(task.step.job.submission.account)
            usage.running = usage.running.plus(spec.demand)

    def _reserve(self, task: Task, slot: Slot) -> None:
        """Assign a task to an upstream and take the capacity."""
        self._event(task, "assign", slot=slot)

    @carries_out("reserve")
    def _reserve_capacity(self, task: Task, slot: Slot) -> None:
        task.run += 1
        task.upstream_id = slot.entry.upstream_id
        task.assigned_ms = self._timer.now_ms()
        task.confirmed_ms = 0.0
        task.percent, task.pace, task.load = 0, pacing.FULL_PERCENT, 0
        task.paced_ms = 0.0
        self._take_capacity(task, slot)
        self._effects.starts.append((task, task.run))
        self._dirty_steps[task.step] = None

    @carries_out("free")
    def _free(self, task: Task, **details: Any) -> None:
        spec = task.step.spec
        usage = self._usage(task.step.job.submission.account)
        usage.running = usage.running.plus(spec.demand, -1)
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is not None and upstream.slot.tasks.pop(task.name, None) is not None:
            upstream.slot.free = upstream.slot.free.plus(spec.counted)
            upstream.slot.lasting_count -= spec.long_running
        task.percent = 0
        self._dirty_steps[task.step] = None
        self._wake_step(task)

    def _wake_step(self, task: Task) -> None:
        """Let the step be placed again, unless its job has ended."""
        if not task.step.job.ended:
            self._note_step(task.step)
        self._request_pass()

    @carries_out("finish")
    def _finish(self, task: Task, **details: Any) -> None:
        step = task.step
        job = step.job
        self._dirty_steps[step] = None
        if step.spec.long_running:
            self._event(task, "restart")
            self._wake_step(task)
            return
        step.done_count += 1
        if job.ended or not step.done:
            return
        for other in job.steps.values():
            if other.occurrence == step.occurrence:
                self._note_step(other)
        self._finish_if_done(job)

    @carries_out("count_failure")
    def _count_failure(self, task: Task, **details: Any) -> None:
        job = task.step.job
        task.failed_on.add(task.upstream_id)
        if task.step.spec.long_running:
            return
        task.failed_count += 1
        if task.failed_count < job.submission.max_attempts or job.ended:
            return
        self._event(task, "abandon")
        self._end(job, ledger.FAILED, f"task {task.name} failed {task.failed_count} times")

    @carries_out("send_start")
    def _send_start(self, task: Task) -> None:
        upstream = self._upstreams[task.upstream_id]
        order = StartOrder(task.name, task.run, task.step.job.submission.spec.text, task.checkpoint)
        if upstream.link is not None:
            upstream.link.tell(Start(order))

    @carries_out("send_stop")
    def _send_stop(self, task: Task, **details: Any) -> None:
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is not None and upstream.link is not None:
            upstream.link.tell(Stop(task.name, task.run))

    def _stop(self, task: Task) -> None:
        """Stop a run, or take back one whose start has not been sent."""
        if task.state == "assigned":
            self._event(task, "withdraw")
        elif task.placed and task.state != "stopping":
            if task.state in ("starting", "unsure"):
                # The start may still arrive; only the stop's answer excludes that.
                task.confirmed_ms = float("inf")
            self._event(task, "stop")

    @receives(StartEnded)
    def on_start_ended(self, message: StartEnded) -> None:
        """Take in the answer to a start."""
        metrics.STARTS.add(1, metrics.labels(outcome=message.outcome))
        task = self._find(message.task_name)
        if task is None or task.run != message.run or not task.placed:
            return
        job = task.step.job
        if message.outcome == "accepted":
            task.confirmed_ms = self._timer.now_ms()
            if task.state in ("starting", "running", "stopping"):
                self._event(task, "accepted")
            if job.phase == ledger.QUEUED:
                job.phase = ledger.RUNNING
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
            # The stop may still be on its way; it settles the run.
            return
        if message.outcome == "refused":
            self._note_refusal(message)
        if task.state in ("starting", "running"):
            task.confirmed_ms = self._timer.now_ms()
            task.retry_ms = self._timer.now_ms() + defaults.START_RETRY_MS
            self._event(task, message.outcome)
            if message.outcome == "unanswered":
                self._look_at(task)

    def _note_refusal(self, message: StartEnded) -> None:
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            return
        now_ms = self._timer.now_ms()
        if message.reason in ("room", "unhealthy"):
            upstream.slot.full_until_ms = now_ms + defaults.UPSTREAM_FULL_MS
        elif message.reason not in ("old", "late", "fence", "ticket"):
            upstream.slot.answering = False

    @receives(StopEnded)
    def on_stop_ended(self, message: StopEnded) -> None:
        """A stop is confirmed: a report asked for from now on lists the run or it is gone."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            upstream.strays.discard((message.task_name, message.run))
        task = self._find(message.task_name)
        if task is not None and task.run == message.run and task.state == "stopping":
            # A run that is being stopped is in neither list until it has ended.
            settle_ms = self._stop_ms + defaults.STOP_MARGIN_MS
            task.confirmed_ms = self._timer.now_ms() + settle_ms
            self._event(task, "stopped")
            self._look_at(task, settle_ms + 1)

    def _look_at(self, task: Task, delay_ms: float = 0.0) -> None:
        """Have the runs of a task's upstream listed soon."""
        upstream = self._upstreams.get(task.upstream_id)
        if upstream is not None and upstream.link is not None:
            upstream.link.tell(Look(delay_ms))

    def _find(self, task_name: str) -> Task | None:
        parsed = ledger.parse_task_name(task_name)
        if parsed is None:
            return None
        job_id, occurrence, number, index = parsed
        job = self._jobs.get(job_id)
        step = job.steps.get((occurrence, number)) if job else None
        if step is None or index >= len(step.tasks):
            return None
        return step.tasks[index]

    # Reports.

    @receives(Reported)
    def on_reported(self, message: Reported) -> None:
        """Compare what an upstream lists with what it should run."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None or not self._loaded:
            return
        report = message.report
        slot = upstream.slot
        if upstream.born_ms and report.born_ms and report.born_ms != upstream.born_ms:
            logger.info(
                "upstream has started again",
                extra={"upstream": message.upstream_id, "run_count": len(slot.tasks)},
            )
            upstream.ended_seen = 0
        upstream.born_ms = report.born_ms or upstream.born_ms
        upstream.lease_end_ms = message.lease_end_ms
        upstream.reported_ms = self._timer.now_ms()
        if not slot.known:
            # An earlier leader may have stopped some of its runs just now.
            for task in slot.tasks.values():
                task.confirmed_ms = max(
                    task.confirmed_ms,
                    upstream.reported_ms + self._stop_ms + defaults.STOP_MARGIN_MS,
                )
        if not slot.known or not slot.answering:
            slot.known = slot.answering = True
            self._request_pass()
        listed = {(run.task_name, run.run) for run in report.live}
        for live in report.live:
            self._take_live(upstream, live)
        for ended in report.ended:
            listed.add((ended.task_name, ended.run))
            if ended.number > upstream.ended_seen:
                upstream.ended_seen = ended.number
                self._take_ended(upstream, ended)
        if report.ended:
            self._effects.acknowledgements[message.upstream_id] = report.ended[-1].number
            self._request_pass()
        if len(report.ended) < ENDED_PAGE_COUNT:
            self._drop_unlisted(upstream, listed, message.asked_ms)
        self._set_paces(upstream)

    def _set_paces(self, upstream: _Upstream) -> None:
        """Slow down or speed up what fills beside what serves."""
        now_ms = self._timer.now_ms()
        if upstream.link is None:
            return
        for change in list(pacing.pace_changes(upstream.slot.tasks.values(), now_ms)):
            task = change.task
            task.pace, task.paced_ms = change.percent, now_ms
            upstream.link.tell(Pace(task.name, task.run, change.percent))
            logger.info(
                "pace changed",
                extra={
                    "task": task.name,
                    "run": task.run,
                    "upstream": task.upstream_id,
                    "percent": change.percent,
                    "tail_ms": change.tail_ms,
                    "target_ms": change.target_ms,
                },
            )

    def _take_live(self, upstream: _Upstream, live: LiveRun) -> None:
        task = self._find(live.task_name)
        slot = upstream.slot
        if (
            task is None
            or task.run != live.run
            or task.upstream_id != slot.entry.upstream_id
            or not task.placed
        ):
            self._stop_stray(upstream, live)
            return
        if live.checkpoint:
            task.checkpoint = live.checkpoint
        task.percent = 0 if upstream.closing else live.percent
        task.load = live.load
        if task.state != "running":
            # Looks overlap: one that was asked for before now says nothing about the run.
            task.confirmed_ms = max(task.confirmed_ms, self._timer.now_ms())
            self._event(task, "listed")
            job = task.step.job
            if job.phase == ledger.QUEUED:
                job.phase = ledger.RUNNING
            if job.ended:
                self._stop(task)

    def _stop_stray(self, upstream: _Upstream, live: LiveRun) -> None:
        key = (live.task_name, live.run)
        if key in upstream.strays or upstream.link is None:
            return
        upstream.strays.add(key)
        logger.warning(
            "upstream runs what is not wanted there; stopping it",
            extra={
                "task": live.task_name,
                "run": live.run,
                "upstream": upstream.slot.entry.upstream_id,
            },
        )
        upstream.link.tell(Stop(live.task_name, live.run))

    def _take_ended(self, upstream: _Upstream, ended: EndedRun) -> None:
        task = self._find(ended.task_name)
        upstream_id = upstream.slot.entry.upstream_id
        if task is None or task.run != ended.run or task.upstream_id != upstream_id:
            logger.info(
                "end of another run ignored",
                extra={"task": ended.task_name, "run": ended.run, "outcome": ended.outcome},
            )
            return
        if ended.checkpoint:
            task.checkpoint = ended.checkpoint
        if ended.outcome in ("done", "failed"):
            upstream.slot.note_outcome(ended.outcome == "failed")
        metrics.RUNS.add(1, metrics.labels(outcome=ended.outcome))
        event = ended.outcome if ended.outcome in ("done", "failed") else "ended"
        if event != "done":
            logger.info(
                "run has ended without a result",
                extra={
                    "job": task.step.job.job_id,
                    "task": task.name,
                    "run": task.run,
                    "upstream": upstream_id,
                    "outcome": ended.outcome,
                    "failed_count": task.failed_count,
                },
            )
        if (task.placed or event == "done") and TASK_CHART.accepts(task.state, event):
            self._event(task, event)

    def _drop_unlisted(
        self, upstream: _Upstream, listed: set[tuple[str, int]], asked_ms: float
    ) -> None:
        for task in list(upstream.slot.tasks.values()):
            if (task.name, task.run) in listed or task.state in ("assigned", "starting"):
                continue
            if asked_ms <= task.confirmed_ms:
                continue
            if task.state == "unsure":
                self._event(task, "unlisted")
                task.confirmed_ms = float("inf")
            else:
                self._vanish(task, "not listed by its upstream")

    def _vanish(self, task: Task, reason: str) -> None:
        logger.info(
            "run is lost",
            extra={
                "job": task.step.job.job_id,
                "task": task.name,
                "run": task.run,
                "upstream": task.upstream_id,
                "state": task.state,
                "reason": reason,
            },
        )
        self._event(task, "vanish")

    @receives(Silent)
    def on_silent(self, message: Silent) -> None:
        """An upstream did not answer: give it nothing new."""
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
        upstream.lease_end_ms = max(upstream.lease_end_ms, message.lease_end_ms)
        if message.gone:
            self._remove(upstream, "another incarnation answers at its address")

    def _remove(self, upstream: _Upstream, reason: str) -> None:
        upstream_id = upstream.slot.entry.upstream_id
        for task in list(upstream.slot.tasks.values()):
            self._vanish(task, reason)
        self._upstreams.pop(upstream_id, None)
        if upstream.link is not None:
            self.spawn(upstream.link.stop())
        logger.info("upstream removed", extra={"upstream": upstream_id, "reason": reason})

    # Placement and commit.

    def _request_pass(self) -> None:
        if not self._pass_due:
            self._pass_due = True
            self.subscribe_once(self._timer.after(defaults.PLACEMENT_DELAY_MS), _Pass())

    @receives(_Pass)
    def on_pass(self, message: _Pass) -> None:
        """Place waiting tasks, then store all changes."""
        self._pass_due = False
        if not self._loaded:
            return
        if self._timer.now_ms() < self._permitted_ms and not self._committing:
            self._place()
        self._commit()

    def _place(self) -> None:
        now_ms = self._timer.now_ms()
        wall_ms = self._timer.wall_ms()
        order = assignment.ORDERS.get(defaults.STEP_ORDER)
        slots_by_pool: dict[str, list[Slot]] = {}
        for upstream in self._upstreams.values():
            if upstream.slot.usable:
                slots_by_pool.setdefault(upstream.slot.entry.pool, []).append(upstream.slot)
        self._short_millicores = Counter()
        for pool, steps in self._ready.items():
            for step in [s for s in steps if not any(True for _ in s.waiting())]:
                del steps[step]
            slots = slots_by_pool.get(pool, [])
            if not steps:
                continue
            ordered = sorted(steps, key=lambda step: order(step, wall_ms))
            placed = assignment.plan(
                ordered, slots, self._usages, now_ms, self._reserve, self._note_short
            )
            for name, count in Counter(task.step.name for task in placed).items():
                logger.info(
                    "tasks assigned",
                    extra={"step": name, "count": count, "pool": pool, "upstreams": len(slots)},
                )

    def _note_short(self, step: StepRun) -> None:
        """Count what found no upstream, for the pools' sizes."""
        waiting_count = sum(1 for _ in step.waiting())
        cpu_millicores = max(step.spec.counted.cpu_millicores, defaults.SHORT_MIN_MILLICORES)
        self._short_millicores[step.job.pool] += waiting_count * cpu_millicores

    def _commit(self) -> None:
        effects = self._effects
        if self._committing:
            return
        records = tuple(self._records())
        if not records and not effects.acknowledgements:
            return
        effects.ended_jobs.extend(self._dirty_jobs)
        self._effects = _Effects()
        self._dirty_steps = {}
        self._dirty_jobs = {}
        self._dropped_keys = []
        if not records:
            self._carry_out(effects)
            return
        self._committing = True
        reply = new_reply()
        reply.add_done_callback(
            lambda done: None if done.cancelled() else self.tell(_Committed(done.result(), effects))
        )
        self._writer.tell(Write(records, reply))

    def _records(self) -> Iterator[tuple[str, bytes]]:
        for job in self._dirty_jobs:
            yield job.job_id, ledger.encode_phase(job)
            for step in job.steps.values():
                if any(task.run for task in step.tasks):
                    yield step.name, b""
        for step in self._dirty_steps:
            if not step.job.ended:
                yield step.name, ledger.encode_step(step)
        for key in self._dropped_keys:
            yield key, b""

    @receives(_Committed)
    def on_committed(self, message: _Committed) -> None:
        """Do what had to wait for the store."""
        self._committing = False
        if message.outcome == FENCED:
            self._election.tell(Fenced(self._epoch))
            return
        self._carry_out(message.effects)
        self._request_pass()

    def _carry_out(self, effects: _Effects) -> None:
        for task, run in effects.starts:
            if task.state == "assigned" and task.run == run:
                self._event(task, "commit")
        for upstream_id, number in effects.acknowledgements.items():
            upstream = self._upstreams.get(upstream_id)
            if upstream is not None and upstream.link is not None:
                upstream.link.tell(Acknowledge(number))
        for job in effects.ended_jobs:
            job.stored = True
            self._ended.append(job)

    # Time.

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """Look at what depends on time."""
        if not self._loaded:
            return
        now_ms = self._timer.now_ms()
        for upstream in list(self._upstreams.values()):
            self._check_upstream(upstream, now_ms)
        for job in list(self._unfinished.values()):
            if job.released_count < job.occurrence_count:
                self._admit(job)
        self._forget_old()
        if self._fleet is not None:
            loads = {load.upstream_id: load for load in self._loads()}
            short = dict(self._short_millicores)
            self._fleet.tell(Loads(loads, short, self._offered.rates(now_ms)))
        if any(self._ready.values()):
            self._request_pass()

    def _forget_old(self) -> None:
        """Drop jobs whose end has been told for long enough, here and in the store."""
        horizon_ms = self._timer.wall_ms() - self._retention_ms - defaults.RETENTION_MARGIN_MS
        while self._ended and self._ended[0].ended_ms < horizon_ms:
            self._forget(self._ended.popleft())

    def _forget(self, job: Job) -> None:
        """Drop a job: its end stays in the store until its acceptance is gone, or it would run."""
        prefixes = (intake.JOB_PREFIX, intake.CANCEL_PREFIX)
        records = tuple((prefix + job.job_id, b"") for prefix in prefixes)
        reply = new_reply()
        reply.add_done_callback(
            lambda done: None if done.cancelled() else self.tell(_Dropped(job, done.result()))
        )
        self._intake_writer.tell(Write(records, reply))

    @receives(_Dropped)
    def on_dropped(self, message: _Dropped) -> None:
        """Forget a job whose acceptance is gone, or try again later."""
        if message.outcome != STORED:
            self._ended.append(message.job)
            return
        self._jobs.pop(message.job.job_id, None)
        self._dropped_keys.append(message.job.job_id)
        self._request_pass()

    def _check_upstream(self, upstream: _Upstream, now_ms: float) -> None:
        slot = upstream.slot
        if slot.answering:
            if now_ms - upstream.reported_ms > defaults.UPSTREAM_SILENT_MS and slot.known:
                slot.answering = False
                return
            self._evacuate(upstream)
            self._vacate(upstream, now_ms)
            return
        if now_ms < upstream.lease_end_ms:
            if now_ms - upstream.reported_ms > defaults.SPECULATE_AFTER_MS:
                self._speculate(upstream)
            return
        for task in list(slot.tasks.values()):
            if task.state != "assigned":
                self._vanish(task, "its upstream is silent and the lease has expired")
        if (upstream.link is None or not slot.listed) and not slot.tasks:
            self._remove(upstream, "not listed and silent")

    def _speculate(self, upstream: _Upstream) -> None:
        """Run tasks again that may run twice, without waiting for the end of the lease."""
        for task in list(upstream.slot.tasks.values()):
            if task.step.spec.speculative and task.state not in ("assigned", "stopping"):
                self._vanish(task, "its upstream is silent and a copy may run")

    def _evacuate(self, upstream: _Upstream) -> None:
        """Move tasks that last off an upstream that is leaving."""
        if not upstream.slot.entry.draining:
            return
        for task in list(upstream.slot.tasks.values()):
            spec = task.step.spec
            if task.state == "running" and (spec.long_running or spec.checkpointing):
                self._stop(task)

    # Planned stops of VMs.

    def _loads(self) -> Iterator[UpstreamLoad]:
        waiting: Counter[str] = Counter()
        for pool, steps in self._ready.items():
            waiting[pool] = sum(1 for step in steps for _ in step.waiting())
        for upstream_id, upstream in self._upstreams.items():
            slot = upstream.slot
            pool = slot.entry.pool
            tasks = slot.tasks.values()
            lasting = [task.step.spec for task in tasks if task.step.spec.long_running]
            yield UpstreamLoad(
                upstream_id,
                pool,
                len(slot.tasks),
                len(lasting),
                sum(spec.counted.cpu_millicores for spec in lasting),
                sum(task.step.spec.counted.cpu_millicores for task in tasks),
                slot.entry.capacity.cpu_millicores,
                waiting[pool],
            )

    @receives(Vacate)
    def on_vacate(self, message: Vacate) -> None:
        """Give an upstream nothing new and move away what can be moved."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            self._tell_vacated(message.upstream_id)
            return
        upstream.slot.cordoned = True
        upstream.vacate_ms = self._timer.now_ms()
        upstream.patience_ms = message.patience_ms
        self._vacate(upstream, upstream.vacate_ms)

    @receives(Readmit)
    def on_readmit(self, message: Readmit) -> None:
        """Let an upstream run tasks again."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            upstream.slot.cordoned = upstream.closing = False
            upstream.vacate_ms = 0.0
            self._request_pass()

    @receives(Ended)
    def on_vm_ended(self, message: Ended) -> None:
        """Forget an upstream whose VM is down."""
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            self._ended_ids.add(message.upstream_id)
            self._remove(upstream, "its VM is down")

    def _vacate(self, upstream: _Upstream, now_ms: float) -> None:
        if not upstream.vacate_ms:
            return
        slot = upstream.slot
        patience_ms = upstream.patience_ms
        patient = patience_ms is None or now_ms - upstream.vacate_ms < patience_ms
        slots = [u.slot for u in self._upstreams.values() if u.slot.entry.pool == slot.entry.pool]
        waited_for = 0
        for task in list(slot.tasks.values()):
            if task.state == "assigned":
                self._event(task, "withdraw")
            elif task.state == "stopping" or self._move_away(task, slots, now_ms):
                waited_for += 1
            elif patient and not task.step.spec.long_running:
                waited_for += 1
        if waited_for and patient:
            return
        if upstream.closing or assignment.may_take_away(slot.tasks.values()):
            upstream.closing = True
            for task in slot.tasks.values():
                task.percent = 0
            self._tell_vacated(slot.entry.upstream_id)

    def _move_away(self, task: Task, slots: list[Slot], now_ms: float) -> bool:
        """Stop a task that can go on elsewhere; returns whether it was stopped."""
        spec = task.step.spec
        movable = spec.long_running or spec.checkpointing
        if task.state != "running" or not movable:
            return False
        if not assignment.may_take_away([task]):
            return False
        counts = task.step.upstream_counts()
        if assignment.choose_slot(task, slots, counts, now_ms, assignment.spread) is None:
            return False
        logger.info(
            "task moves away from its upstream",
            extra={"task": task.name, "run": task.run, "upstream": task.upstream_id},
        )
        self._stop(task)
        return True

    def _tell_vacated(self, upstream_id: str) -> None:
        if self._fleet is not None:
            self._fleet.tell(Vacated(upstream_id))

    # Questions.

    @receives(Lookup)
    def on_lookup(self, message: Lookup) -> None:
        """Say what is known of a job."""
        job = self._jobs.get(message.job_id)
        age_ms = self._timer.now_ms() - self._intake_as_of_ms
        if not self._loaded or self._timer.now_ms() >= self._permitted_ms:
            age_ms = float("inf")
        phase = ""
        if job is not None:
            # An end is shown once it is stored, so that it stays.
            phase = job.phase if not job.ended or job.stored else ledger.RUNNING
        resolve(message.reply, JobView(phase, age_ms))

    @receives(CountPending)
    def on_count_pending(self, message: CountPending) -> None:
        """Count the jobs of a queue that have not begun."""
        count = sum(
            job.submission.queue == message.queue and job.phase == ledger.QUEUED
            for job in self._unfinished.values()
        )
        resolve(message.reply, count)


def _job_records(entries: Iterable[Entry]) -> Iterator[tuple[str, bytes]]:
    """Yield the records of jobs among those of the leader's state."""
    for entry in entries:
        if entry.value and not entry.key.startswith(WAVE_KEY_PREFIX):
            yield entry.key, entry.value
