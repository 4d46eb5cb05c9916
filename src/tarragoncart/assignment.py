"""Assigns waiting tasks to upstreams."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import Protocol

from attrs import define, field

from .graph import Demand, StepSpec, UpstreamEntry
from .jobmodel import StepOccurrence
from .registry import Registry
from .tasks import Task

# An upstream with at least this ratio of failed runs is ranked last.
FAILING_RATIO = 0.5
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.34
# Ratio of the duration of a step to the estimate of one task: it ends with its slowest task.
STEP_DURATION_RATIO = 1.2
# Weight of the room that a task makes useless against the room that is left, both as shares of the
# upstream's capacity.
USABLE_ROOM_IMBALANCE_WEIGHT = 1.0


@define(eq=False)
class UpstreamSlot:
    """The state of an upstream on which the placement of tasks depends.

    :param free: capacity that no run occupies.
    :param known: it has listed its runs in this epoch.
    :param cordoned: it gets no new tasks, because of a planned stop.
    :param answering: it has answered the latest calls.
    :param listed: its registration is in the store.
    :param outdated: its registration is that of an earlier incarnation, which may have had another
        capacity and other labels.
    :param failure_ratio: exponential moving average of failures among its runs.
    :param slow: most of its runs take far longer than estimated, as of ``slow_measured_ms``.
    :param full_until_ms: it gets no new tasks before this time, as it refused a start.
    :param unknown_run_count: runs on it of tasks that are not known, whose demand ``free`` does not
        include.
    :param tasks: tasks whose current run is on it, by name.
    :param long_running_count: long-running tasks among them.
    :param evacuated: its data centre is evacuated.
    :param cold_until_ms: it is slow until this time, as it has started recently.
    """

    entry: UpstreamEntry
    free: Demand
    known: bool = False
    cordoned: bool = False
    answering: bool = True
    listed: bool = True
    outdated: bool = False
    failure_ratio: float = 0.0
    slow: bool = False
    slow_measured_ms: float = 0.0
    full_until_ms: float = 0.0
    unknown_run_count: int = 0
    tasks: dict[str, Task] = field(factory=dict)
    long_running_count: int = 0
    evacuated: bool = False
    cold_until_ms: float = 0.0

    @property
    def usable(self) -> bool:
        """Whether new tasks may be assigned to it."""
        return (
            self.known
            and self.answering
            and self.listed
            and not self.outdated
            and not self.cordoned
            and not self.entry.draining
            and not self.evacuated
        )

    @property
    def degraded(self) -> bool:
        """Whether most of its runs fail or are slow; such upstreams are ranked last."""
        return self.slow or self.failure_ratio >= FAILING_RATIO

    def occupy(self, task: Task, factor: int = 1) -> None:
        """Reserve the capacity for a run of a task; a factor of -1 releases it."""
        self.free = self.free.plus(task.step.spec.counted, -factor)

    def record_outcome(self, failed: bool) -> None:
        """Add the outcome of a run to the moving average of failures."""
        value = 1.0 if failed else 0.0
        self.failure_ratio += FAILURE_WEIGHT * (value - self.failure_ratio)


@define
class Usage:
    """Running demand of a client account over all pools, with its limit.

    :param limit: zero for a resource without limit.
    """

    running: Demand = field(factory=Demand)
    limit: Demand = field(factory=Demand)
    weight: float = 1.0

    def allows(self, demand: Demand) -> bool:
        """Return whether the account stays within its limit with this additional demand."""
        after, limit = self.running.plus(demand), self.limit
        return (
            (not limit.cpu_millicores or after.cpu_millicores <= limit.cpu_millicores)
            and (not limit.memory_mb or after.memory_mb <= limit.memory_mb)
            and (not limit.gpu_count or after.gpu_count <= limit.gpu_count)
        )


class WaitReason(StrEnum):
    """Reason why a waiting task is not assigned."""

    NO_ROOM = "no upstream has room"
    ACCOUNT_LIMIT = "the account is at its limit"
    MEMORY = "the leader has no memory for more runs of the account"
    BOUND = "the start of an earlier run may still be carried out at its upstream"


class Holds(Protocol):
    """Room that is held for other tasks."""

    def blocks(self, slot: UpstreamSlot, task: Task) -> bool:
        """Return whether a task may not use an upstream that has room for it."""

    def blocks_account(self, step: StepOccurrence, usage: Usage) -> bool:
        """Return whether room held for its account keeps a step at the account's limit."""

    def holds(self, step: StepOccurrence) -> bool:
        """Return whether room is held for a step."""

    def held_back(self, step: StepOccurrence) -> bool:
        """Return whether a task of the step was kept off an upstream with room for it."""

    def note_held_back(self, step: StepOccurrence) -> None:
        """Remember a step that was held back and found no room at any upstream."""

    def blocks_like_another(self, step: StepOccurrence) -> bool:
        """Return whether a step would find no room either, as a remembered one found none."""


Order = Callable[[StepOccurrence, float], tuple[float, ...]]
ORDERS: Registry[Order] = Registry("order of steps")
Ranking = Callable[[UpstreamSlot, StepOccurrence], tuple[float, ...]]
RANKINGS: Registry[Ranking] = Registry("ranking of upstreams")


@ORDERS.register("first_come")
def first_come(step: StepOccurrence, now_ms: float) -> tuple[float, ...]:
    """Baseline: priority class, then the time of acceptance."""
    return (step.job.submission.priority, step.job.arrived_ms, step.number)


@ORDERS.register("deadline")
def by_deadline(step: StepOccurrence, now_ms: float) -> tuple[float, ...]:
    """Order by priority class, account share, lateness and deadline.

    Under overload, neither jobs that are late anyway nor accounts that submit many times their
    share may delay others. Jobs submitted within the share of their account come first, then jobs
    that can still be on time.
    """
    job = step.job
    late = lateness(step, now_ms)
    return (job.submission.priority, float(job.beyond_share), late, step.deadline_ms, step.number)


def lateness(step: StepOccurrence, now_ms: float) -> float:
    """Return 0 if the job can be on time if the step starts now, otherwise 1; 2 if it is far late.

    A job that could be on time only if its tasks took less time than they usually do counts as
    late. Otherwise under overload each job would start just too late to be on time.
    """
    if step.spec.long_running:
        return 0.0
    deadline_ms = step.deadline_ms
    if now_ms + STEP_DURATION_RATIO * step.remaining_path_ms <= deadline_ms:
        return 0.0
    return 1.0 if now_ms < deadline_ms + 2 * step.job.objective_ms() else 2.0


def deferrable(step: StepOccurrence, now_ms: float) -> bool:
    """Return whether others come first: the job is late or beyond the share of its account."""
    if step.spec.long_running or step.spec.gang:
        return False
    return step.job.beyond_share or lateness(step, now_ms) > 0


def needs_added_vms(spec: StepSpec, slots: Iterable[UpstreamSlot]) -> bool:
    """Return whether a step that found no upstream needs more VMs, as ended tasks make no room.

    A label or a limit per upstream alone does not need more if enough upstreams could run the step.
    """
    if spec.long_running or spec.gang:
        return True
    if not spec.max_per_upstream_count and not spec.label:
        return False
    allowed_count = spec.max_per_upstream_count or spec.task_count
    return allowed_count * sum(admits_when_empty(slot, spec) for slot in slots) < spec.task_count


@RANKINGS.register("spread")
def spread(slot: UpstreamSlot, step: StepOccurrence) -> tuple[float, ...]:
    """Prefer upstreams with the most free cpu."""
    return (-slot.free.cpu_millicores,)


@RANKINGS.register("home_first")
def home_first(slot: UpstreamSlot, step: StepOccurrence) -> tuple[float, ...]:
    """Prefer upstreams with the most long-running tasks.

    VMs that were added for a burst thus stay free of long-running tasks and can leave the pool
    when it is over. For the same reason short tasks fill one VM after the other.
    """
    if step.spec.long_running:
        return (-float(slot.long_running_count), -slot.free.cpu_millicores)
    return (-float(slot.long_running_count > 0), slot.free.cpu_millicores)


@RANKINGS.register("pack")
def pack(slot: UpstreamSlot, step: StepOccurrence) -> tuple[float, ...]:
    """Baseline: prefer upstreams with the least free cpu."""
    return (float(slot.free.cpu_millicores),)


@RANKINGS.register("usable_room")
def usable_room(slot: UpstreamSlot, step: StepOccurrence) -> tuple[float, ...]:
    """Like ``home_first``, but short tasks prefer the upstream that they leave with usable room.

    Free cores without memory and free memory without cores are of use to no task. The upstream
    comes first where the task adds least to such room; of equal ones, the one with the least room
    of both, which leaves large room elsewhere.
    """
    if step.spec.long_running:
        return home_first(slot, step)
    capacity, demand = slot.entry.capacity, step.spec.counted
    cpu, memory = capacity.cpu_millicores or 1, capacity.memory_mb or 1
    free_cpu, free_memory = slot.free.cpu_millicores / cpu, slot.free.memory_mb / memory
    left_cpu = free_cpu - demand.cpu_millicores / cpu
    left_memory = free_memory - demand.memory_mb / memory
    added = abs(left_cpu - left_memory) - abs(free_cpu - free_memory)
    return (
        -float(slot.long_running_count > 0),
        USABLE_ROOM_IMBALANCE_WEIGHT * added + min(left_cpu, left_memory),
    )


def _rank_health(slot: UpstreamSlot, now_ms: float) -> tuple[float, ...]:
    """Rank degraded upstreams last, and cold ones behind warm ones; each ranking follows this."""
    return (float(slot.degraded), float(slot.cold_until_ms > now_ms))


def admits(slot: UpstreamSlot, spec: StepSpec, now_ms: float) -> bool:
    """Return whether a task of the step can be assigned to an upstream now."""
    if not slot.usable or slot.unknown_run_count or slot.full_until_ms > now_ms:
        return False
    if spec.label and spec.label not in slot.entry.labels:
        return False
    return spec.counted.fits(slot.free)


def admits_when_empty(slot: UpstreamSlot, spec: StepSpec) -> bool:
    """Return whether a task of the step fits an upstream without any runs."""
    if spec.label and spec.label not in slot.entry.labels:
        return False
    return spec.counted.fits(slot.entry.capacity)


def choose_slot(
    task: Task,
    slots: Iterable[UpstreamSlot],
    counts: dict[str, int],
    now_ms: float,
    ranking: Ranking,
    holds: Holds | None = None,
) -> UpstreamSlot | None:
    """Return the best upstream for a task, None if none admits it now.

    Upstreams on which the task failed come last, then those outside the rack with its data, then
    degraded ones, then cold ones.

    :param counts: number of the step's runs on each upstream.
    :param holds: room that is held for other tasks.
    """
    step = task.step
    spec = step.spec
    needs_advice = step.job.submission.needs_advice
    if needs_advice and now_ms >= step.tickets_until_ms:
        return None
    best: UpstreamSlot | None = None
    best_rank: tuple[float, ...] = ()
    for slot in slots:
        if not admits(slot, spec, now_ms):
            continue
        upstream_id = slot.entry.upstream_id
        if task.bound_to not in ("", upstream_id):
            continue
        if needs_advice and upstream_id not in step.tickets:
            continue
        if upstream_id in task.copies.values():
            continue
        max_count = spec.max_per_upstream_count
        if max_count and counts.get(upstream_id, 0) >= max_count:
            continue
        if holds is not None and holds.blocks(slot, task):
            continue
        rank = (
            float(upstream_id in task.failed_on),
            float(bool(spec.rack) and spec.rack not in slot.entry.labels),
            *_rank_health(slot, now_ms),
            *ranking(slot, step),
        )
        if best is None or rank < best_rank:
            best, best_rank = slot, rank
    return best


def plan(
    steps: Iterable[StepOccurrence],
    slots: list[UpstreamSlot],
    usage_of: Callable[[str], Usage],
    now_ms: float,
    reserve: Callable[[Task, UpstreamSlot], None],
    report_wait: Callable[[StepOccurrence, WaitReason], None],
    ranking: Ranking = home_first,
    limit_count: int | None = None,
    holds: Holds | None = None,
) -> Iterator[Task]:
    """Assign waiting tasks to upstreams in the order of the steps, and yield the assigned tasks.

    :param usage_of: returns the usage of an account, with its limit, also before its first run.
    :param reserve: reserves the capacity; called for each assignment before the next choice.
    :param report_wait: called with the reason for each step of which a task cannot be assigned.
    :param limit_count: maximum of tasks to assign, which only a gang exceeds; None for no limit.
    :param holds: room that is held for other tasks; gangs ignore it.
    """
    refused: list[tuple[StepSpec, Demand]] = []
    left_count = float("inf") if limit_count is None else limit_count
    for step in steps:
        spec = step.spec
        if left_count <= 0:
            return
        has_room_held = holds is not None and holds.holds(step)
        if not has_room_held and any(_needs_at_least(spec, other) for other, _ in refused):
            report_wait(step, WaitReason.NO_ROOM)
            continue
        if holds is not None and not has_room_held and holds.blocks_like_another(step):
            report_wait(step, WaitReason.NO_ROOM)
            continue
        if spec.gang:
            for task in _plan_gang(step, slots, usage_of, now_ms, reserve, report_wait, ranking):
                left_count -= 1
                yield task
            continue
        counts = step.upstream_counts()
        usage = usage_of(step.job.submission.account)
        bound_count = 0
        for task in step.waiting():
            if left_count <= 0:
                return
            if not step.job.may_keep(task):
                report_wait(step, WaitReason.MEMORY)
                break
            if task.retry_ms > now_ms:
                continue
            if not usage.allows(spec.demand) or (
                holds is not None and holds.blocks_account(step, usage)
            ):
                report_wait(step, WaitReason.ACCOUNT_LIMIT)
                break
            slot = choose_slot(task, slots, counts, now_ms, ranking, holds)
            if slot is None and task.bound_to:
                bound_count += 1
                continue
            if slot is None:
                needs_advice = step.job.submission.needs_advice
                unconstrained = not (spec.max_per_upstream_count or spec.label or needs_advice)
                if holds is not None and holds.held_back(step):
                    # Other steps may use the room that was held from this one.
                    if unconstrained and not task.copies:
                        holds.note_held_back(step)
                elif unconstrained:
                    refused.append((spec, spec.counted))
                report_wait(step, WaitReason.NO_ROOM)
                break
            reserve(step.tasks.keep(task), slot)
            counts[slot.entry.upstream_id] = counts.get(slot.entry.upstream_id, 0) + 1
            left_count -= 1
            yield task
        else:
            if bound_count:
                report_wait(step, WaitReason.BOUND)


def _needs_at_least(spec: StepSpec, other: StepSpec) -> bool:
    """Return whether a step needs at least as much of each resource as another one."""
    return other.counted.fits(spec.counted)


def _plan_gang(
    step: StepOccurrence,
    slots: list[UpstreamSlot],
    usage_of: Callable[[str], Usage],
    now_ms: float,
    reserve: Callable[[Task, UpstreamSlot], None],
    report_wait: Callable[[StepOccurrence, WaitReason], None],
    ranking: Ranking,
) -> Iterator[Task]:
    """Assign all tasks of a gang or none, within one rack if the step prefers that."""
    tasks = step.tasks
    if step.waiting_count < len(tasks) or any(task.retry_ms > now_ms for task in tasks.kept):
        return
    if not step.job.may_keep_more(tasks.untouched_count):
        report_wait(step, WaitReason.MEMORY)
        return
    usage = usage_of(step.job.submission.account)
    total = Demand().plus(step.spec.demand, len(tasks))
    if not usage.allows(total):
        report_wait(step, WaitReason.ACCOUNT_LIMIT)
        return
    for group in _group_gang_slots(step.spec, slots):
        places = _choose_gang_slots(step, group, now_ms, ranking)
        if places is not None:
            run = max((task.run for task in tasks.kept), default=0)
            for index, slot in enumerate(places):
                task = tasks[index]
                # The tasks of a gang share one run number.
                task.run = run
                reserve(task, slot)
                yield task
            return
    report_wait(step, WaitReason.NO_ROOM)


def _group_gang_slots(spec: StepSpec, slots: list[UpstreamSlot]) -> Iterator[list[UpstreamSlot]]:
    if not spec.same_rack:
        yield slots
        return
    racks: dict[frozenset[str], list[UpstreamSlot]] = {}
    for slot in slots:
        racks.setdefault(slot.entry.labels, []).append(slot)
    yield from sorted(racks.values(), key=len, reverse=True)
    yield slots


def _choose_gang_slots(
    step: StepOccurrence, slots: list[UpstreamSlot], now_ms: float, ranking: Ranking
) -> list[UpstreamSlot] | None:
    spec = step.spec
    free = {slot.entry.upstream_id: slot.free for slot in slots}
    counts = step.upstream_counts()
    places: dict[int, UpstreamSlot] = {}
    needs_advice = step.job.submission.needs_advice
    if needs_advice and now_ms >= step.tickets_until_ms:
        return None
    allowed = [s for s in slots if not needs_advice or s.entry.upstream_id in step.tickets]
    candidates = sorted(
        (slot for slot in allowed if admits(slot, spec, now_ms)),
        key=lambda s: (*_rank_health(s, now_ms), *ranking(s, step)),
    )
    bound_to = {task.index: task.bound_to for task in step.tasks.kept if task.bound_to}
    # Bound tasks first, as the others may take any upstream.
    for index in sorted(range(len(step.tasks)), key=lambda index: index not in bound_to):
        for slot in candidates:
            upstream_id = slot.entry.upstream_id
            if bound_to.get(index, upstream_id) != upstream_id:
                continue
            max_count = spec.max_per_upstream_count
            if max_count and counts.get(upstream_id, 0) >= max_count:
                continue
            if spec.counted.fits(free[upstream_id]):
                free[upstream_id] = free[upstream_id].plus(spec.counted, -1)
                counts[upstream_id] = counts.get(upstream_id, 0) + 1
                places[index] = slot
                break
        else:
            return None
    return [places[index] for index in range(len(step.tasks))]


def within_disruption_budget(tasks: Iterable[Task]) -> bool:
    """Return whether the disruption budgets of their steps allow a planned stop of these tasks.

    Each of them counts against the budget, also one that was still starting at the last report, as
    it may have reached full speed since.
    """
    affected_by_step: dict[StepOccurrence, set[Task]] = {}
    for task in tasks:
        if task.step.spec.max_away_count is not None:
            affected_by_step.setdefault(task.step, set()).add(task)
    return all(
        len(step.tasks) - _count_staying(step, affected) <= max(1, step.spec.max_away_count or 0)
        for step, affected in affected_by_step.items()
    )


def _count_staying(step: StepOccurrence, affected: set[Task]) -> int:
    """Return the number of tasks that are at full speed and that a planned stop leaves there."""
    return sum(task.at_full_speed for task in step.tasks.kept if task not in affected)
