"""Explains where the tasks of a job would be placed now, and what each upstream lacks for them.

Addresses this load: an operator asks why a job waits while the leader schedules thousands of
tasks. An explanation runs the placement on copies, for at most the assignments of one scheduling
pass, and describes a bounded number of tasks and upstreams. It changes nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from itertools import islice

from attrs import define, evolve, field, frozen

from . import assignment, defaults
from .assignment import Holds, Order, UpstreamSlot, Usage, WaitReason
from .jobmodel import Job, StepOccurrence
from .registry import Registry
from .reservations import ReservationPass
from .taskplacement import Placement, PlacementRequest
from .tasks import Task

# Tasks of a job and candidates of a task that are described; the others are counted. Steps have at
# most 32 tasks.
TASK_LIMIT_COUNT = 32
CANDIDATE_LIMIT_COUNT = 20

PASS_FULL = "other tasks come first and fill this scheduling pass"
NOT_READY = "earlier steps of the job are not done"
GANG_INCOMPLETE = "another task of its gang cannot start yet"


@frozen
class Candidate:
    """An upstream of the pool, and why a task would not be placed there.

    :param lacks: what keeps the task off it; empty if it would do.
    :param ranked_last: why it ranks behind others that would do.
    """

    upstream_id: str
    lacks: tuple[str, ...] = ()
    ranked_last: tuple[str, ...] = ()


@frozen
class TaskPlace:
    """Where a task would be placed now.

    :param upstream_id: the upstream, or the one of its current run; empty if it waits.
    :param reason: why it is not placed; empty if it would be.
    :param order: position of its step among the waiting steps of the pool, 0 if it is not among
        them.
    :param ahead_count: waiting tasks of the steps before it.
    :param start_in_ms: time until its expected start, None if it is unknown.
    :param omitted_count: upstreams of the pool that are not among the candidates.
    """

    task: str
    state: str
    upstream_id: str = ""
    reason: str = ""
    order: int = 0
    ahead_count: int = 0
    start_in_ms: float | None = None
    candidates: tuple[Candidate, ...] = ()
    omitted_count: int = 0


@frozen
class Explanation:
    """Where the tasks of a job would be placed now.

    :param step_count: waiting steps of the pool, those of the job included.
    :param omitted_count: tasks that are not described.
    """

    job_id: str
    pool: str
    step_count: int
    tasks: tuple[TaskPlace, ...]
    omitted_count: int = 0


@frozen
class PoolState:
    """The leader's state of a pool, which an explanation only reads.

    :param steps: ready steps of the pool.
    :param slots: upstreams of the pool, also those that take no tasks.
    :param linked: IDs of the upstreams to which the leader has a link.
    :param usage_of: returns the usage of an account without changing the leader's state.
    :param order: order in which steps are served.
    :param held: why no task of any pool is started now, empty if tasks are started.
    """

    pool: str
    steps: Iterable[StepOccurrence]
    slots: Iterable[UpstreamSlot]
    linked: frozenset[str]
    usage_of: Callable[[str], Usage]
    placement: Placement
    order: Order
    now_ms: float
    wall_ms: float
    held: str = ""


@frozen
class Trial:
    """A task for which an upstream is tried.

    :param counts: number of the step's runs on each upstream.
    :param linked: IDs of the upstreams to which the leader has a link.
    """

    task: Task
    counts: Mapping[str, int]
    usage: Usage
    linked: frozenset[str]
    now_ms: float
    holds: Holds | None = None


Check = Callable[[UpstreamSlot, Trial], str]
# Each check returns what an upstream lacks for a task, empty if nothing.
CHECKS: Registry[Check] = Registry("check of a candidate")


@CHECKS.register("lease")
def check_lease(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that the leader knows the runs of the current incarnation."""
    if not slot.listed:
        return "not registered"
    if slot.outdated:
        return "registration is that of an earlier incarnation"
    if not slot.known:
        return "has not listed its runs to this leader"
    if slot.entry.upstream_id not in trial.linked:
        return "the leader has no link to it"
    return "runs unknown tasks" if slot.unknown_run_count else ""


@CHECKS.register("health")
def check_health(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that the upstream answers and has not refused a start as full."""
    if not slot.answering:
        return "does not answer"
    if slot.full_until_ms > trial.now_ms:
        return f"refused a start, not used for {slot.full_until_ms - trial.now_ms:.0f} ms"
    return ""


@CHECKS.register("draining")
def check_draining(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that the upstream is not leaving."""
    return "draining" if slot.entry.draining else ""


@CHECKS.register("cordoned")
def check_cordoned(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that no planned stop of the upstream is due."""
    return "cordoned for a planned stop" if slot.cordoned else ""


@CHECKS.register("evacuated")
def check_evacuated(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that the data centre is not evacuated."""
    return f"data centre {slot.entry.data_centre} is evacuated" if slot.evacuated else ""


@CHECKS.register("label")
def check_label(slot: UpstreamSlot, trial: Trial) -> str:
    """Check the label that the step requires."""
    label = trial.task.step.spec.label
    return f"no label {label}" if label and label not in slot.entry.labels else ""


@CHECKS.register("room")
def check_room(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that the demand fits into the free capacity."""
    demand, free = trial.task.step.spec.counted, slot.free
    if demand.fits(free):
        return ""
    amounts = (
        ("cpu millicores", demand.cpu_millicores, free.cpu_millicores),
        ("memory MB", demand.memory_mb, free.memory_mb),
        ("gpu", demand.gpu_count, free.gpu_count),
    )
    short = (f"{name} {free} of {need}" for name, need, free in amounts if need > free)
    return "room: " + ", ".join(short)


@CHECKS.register("limit")
def check_limit(slot: UpstreamSlot, trial: Trial) -> str:
    """Check the limit of the account."""
    step = trial.task.step
    factor = len(step.tasks) if step.spec.gang else 1
    if not trial.usage.allows(step.spec.demand.plus(step.spec.demand, factor - 1)):
        return "the account is at its limit"
    if trial.holds is not None and trial.holds.blocks_account(step, trial.usage):
        return "the rest of the account's limit is reserved"
    return ""


@CHECKS.register("spread")
def check_spread(slot: UpstreamSlot, trial: Trial) -> str:
    """Check the step's maximum of tasks on one upstream."""
    max_count = trial.task.step.spec.max_per_upstream_count
    count = trial.counts.get(slot.entry.upstream_id, 0)
    return f"has {count} of at most {max_count} tasks" if max_count and count >= max_count else ""


@CHECKS.register("earlier run")
def check_earlier_run(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that no earlier run of the task forbids the upstream."""
    task, upstream_id = trial.task, slot.entry.upstream_id
    if task.bound_to not in ("", upstream_id):
        return f"an earlier run may still start at {task.bound_to}"
    return "has another run of the task" if upstream_id in task.copies.values() else ""


@CHECKS.register("ticket")
def check_ticket(slot: UpstreamSlot, trial: Trial) -> str:
    """Check the permission of the advice service."""
    step = trial.task.step
    if not step.job.submission.needs_advice:
        return ""
    valid = trial.now_ms < step.tickets_until_ms
    return "" if valid and slot.entry.upstream_id in step.tickets else "no ticket"


@CHECKS.register("reservation")
def check_reservation(slot: UpstreamSlot, trial: Trial) -> str:
    """Check that room is not held for a larger task."""
    if trial.holds is None or not assignment.admits(slot, trial.task.step.spec, trial.now_ms):
        return ""
    return "its room is reserved" if trial.holds.blocks(slot, trial.task) else ""


def describe_candidate(slot: UpstreamSlot, trial: Trial) -> Candidate:
    """Return what an upstream lacks for a task, and why it ranks behind others."""
    task, upstream_id = trial.task, slot.entry.upstream_id
    lacks = [lack for _, check in CHECKS.items() if (lack := check(slot, trial))]
    if not lacks and not _admits(slot, trial):
        lacks = ["not admitted"]
    rack = task.step.spec.rack
    notes = (
        ("the task failed there", upstream_id in task.failed_on),
        ("outside the rack with the data", bool(rack) and rack not in slot.entry.labels),
        ("degraded", slot.degraded),
        ("cold", slot.cold_until_ms > trial.now_ms),
    )
    return Candidate(upstream_id, tuple(lacks), tuple(text for text, holds in notes if holds))


def _admits(slot: UpstreamSlot, trial: Trial) -> bool:
    ranking, counts = assignment.home_first, dict(trial.counts)
    return (
        assignment.choose_slot(trial.task, [slot], counts, trial.now_ms, ranking, trial.holds)
        is not None
    )


def explain(job: Job, state: PoolState) -> Explanation:
    """Describe where the tasks of a job would be placed if a scheduling pass began now.

    :param job: a job that the leader knows, or one that is not submitted.
    """
    own = [step for step in job.steps.values() if step.ready and step.has_waiting]
    waiting = [step for step in state.steps if step.has_waiting]
    originals = sorted(
        dict.fromkeys((*waiting, *own)), key=lambda step: state.order(step, state.wall_ms)
    )
    copies = {step: copy_step(step) for step in originals}
    positions, ahead_count = {}, 0
    for number, step in enumerate(originals, 1):
        if step in own:
            positions[copies[step]] = Position(number, ahead_count)
        ahead_count += step.waiting_count
    rehearsal = Rehearsal(state, positions, [evolve(s, tasks=dict(s.tasks)) for s in state.slots])
    if own:
        rehearsal.run(list(copies.values()), state.placement.copy(copies))
    task_count = sum(len(step.tasks) for step in job.steps.values())
    tasks = (
        step.tasks.find(index) for step in job.steps.values() for index in range(len(step.tasks))
    )
    return Explanation(
        job.job_id,
        state.pool,
        len(originals),
        tuple(
            rehearsal.places.get(task.name) or _describe_other(task)
            for task in islice(tasks, TASK_LIMIT_COUNT)
        ),
        max(0, task_count - TASK_LIMIT_COUNT),
    )


def _describe_other(task: Task) -> TaskPlace:
    """Describe a task that does not wait for an upstream."""
    reason = NOT_READY if task.startable and not task.step.ready else ""
    return TaskPlace(task.name, task.state, task.upstream_id if task.placed else "", reason)


def copy_step(step: StepOccurrence) -> StepOccurrence:
    """Return a copy of a step whose waiting tasks can be assigned without changing the original."""
    copied = evolve(step)
    copied.tasks = step.tasks.rehearsed(copied)
    return copied


@frozen
class Position:
    """Position of a step among the waiting steps of its pool, from 1.

    :param ahead_count: waiting tasks of the steps before it.
    """

    number: int
    ahead_count: int


@define(eq=False)
class Rehearsal:
    """A scheduling pass of one pool on copies, which describes the tasks of one job.

    :param positions: copies of the waiting steps of the job.
    :param slots: copies of the upstreams.
    :param places: what was found out, by name of the task.
    """

    state: PoolState
    positions: dict[StepOccurrence, Position]
    slots: list[UpstreamSlot]
    places: dict[str, TaskPlace] = field(factory=dict)
    _usages: dict[str, Usage] = field(factory=dict)
    _holds: ReservationPass | None = None

    def run(self, ordered: list[StepOccurrence], placement: Placement) -> None:
        """Place the copied steps.

        :param ordered: copies of all waiting steps of the pool, in the order of service.
        :param placement: a copy, whose reservations are those of the copied steps.
        """
        state = self.state
        request = PlacementRequest(
            state.pool,
            ordered,
            [s for s in self.slots if s.usable and s.entry.upstream_id in state.linked],
            self._usage,
            state.now_ms,
            state.wall_ms,
            self._reserve,
            self._report_wait,
            defaults.ASSIGNMENT_LIMIT_COUNT,
            self._observe_holds,
        )
        deque(placement.plan(request), maxlen=0)
        for step in self.positions:
            # No reason was reported: the pass has ended before the step, or tasks wait for a retry.
            self._describe_waiting(step, GANG_INCOMPLETE if _incomplete(step, state) else PASS_FULL)

    def _usage(self, account: str) -> Usage:
        if account not in self._usages:
            self._usages[account] = evolve(self.state.usage_of(account))
        return self._usages[account]

    def _observe_holds(self, holds: ReservationPass) -> None:
        self._holds = holds

    def _reserve(self, task: Task, slot: UpstreamSlot) -> None:
        """Assign a copied task to a copied upstream, as the scheduler does."""
        if task.step in self.positions:
            self._describe(task, slot.entry.upstream_id, "", 0.0)
        task.state, task.upstream_id = "assigned", slot.entry.upstream_id
        task.run, task.assigned_ms = task.run + 1, self.state.now_ms
        slot.occupy(task)
        slot.tasks[task.name] = task
        slot.long_running_count += task.step.spec.long_running
        usage = self._usage(task.step.job.submission.account)
        usage.running = usage.running.plus(task.step.spec.demand)

    def _report_wait(self, step: StepOccurrence, reason: WaitReason) -> None:
        if step in self.positions:
            self._describe_waiting(step, reason)

    def _describe_waiting(self, step: StepOccurrence, reason: str) -> None:
        """Describe the tasks of a step that are not assigned."""
        for task in step.waiting():
            if len(self.places) >= TASK_LIMIT_COUNT:
                return
            if task.name in self.places:
                continue
            retry_in_ms = task.retry_ms - self.state.now_ms
            if retry_in_ms > 0:
                self._describe(task, "", f"its next run may start in {retry_in_ms:.0f} ms", None)
                continue
            start_ms = None
            if self._holds is not None and reason == WaitReason.NO_ROOM:
                start_ms = self._holds.room_expected_ms(task)
            start_in_ms = None if start_ms is None else max(0.0, start_ms - self.state.now_ms)
            self._describe(task, "", reason, start_in_ms)

    def _describe(
        self, task: Task, upstream_id: str, reason: str, start_in_ms: float | None
    ) -> None:
        if len(self.places) >= TASK_LIMIT_COUNT:
            return
        step, state = task.step, self.state
        # Gangs ignore reservations.
        holds = None if step.spec.gang else self._holds
        usage = self._usage(step.job.submission.account)
        trial = Trial(task, step.upstream_counts(), usage, state.linked, state.now_ms, holds)
        candidates = sorted(
            self.slots,
            key=lambda s: (
                s.entry.upstream_id != upstream_id,
                not s.usable,
                -s.free.cpu_millicores,
            ),
        )[:CANDIDATE_LIMIT_COUNT]
        if state.held:
            upstream_id, reason, start_in_ms = "", state.held, None
        position = self.positions[step]
        self.places[task.name] = TaskPlace(
            task.name,
            task.state,
            upstream_id,
            reason,
            position.number,
            position.ahead_count,
            start_in_ms,
            tuple(describe_candidate(slot, trial) for slot in candidates),
            len(self.slots) - len(candidates),
        )


def _incomplete(step: StepOccurrence, state: PoolState) -> bool:
    """Return whether a step is a gang of which a task cannot start now."""
    return step.spec.gang and (
        step.waiting_count < len(step.tasks)
        or any(task.retry_ms > state.now_ms for task in step.tasks.kept)
    )
