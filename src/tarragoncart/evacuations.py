"""Evacuations of data centres: which are in force, and which long-running tasks move away.

Operators request an evacuation with a record; the upstreams of the data centre then get no more
tasks until the record is removed.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from attrs import define, field, frozen

from . import assignment
from .assignment import UpstreamSlot, Usage
from .graph import Demand
from .jobmodel import StepOccurrence
from .storage import Entry
from .tasks import Task

# The leader starts nothing if its view of the operators' records is older than this share of the
# bound. The rest of the bound is for the call that carries a start: 0.15 of 5,000 ms exceeds
# UPSTREAM_CALL_TIMEOUT_MS.
VIEW_MAX_AGE_RATIO = 0.85
# The topic is read at least this many times within the bound, so that one read whose answer is lost
# does not make the view too old: with a bound of 5,000 ms two waits, the timeout of 1,500 ms and
# STORE_RETRY_MS are 4,100 ms.
READS_PER_BOUND_COUNT = 4


@frozen
class EvacuationsChanged:
    """The operators' topic has been read.

    :param data_centres: the evacuated data centres.
    :param as_of_ms: the set includes everything that was requested before this time.
    """

    data_centres: frozenset[str]
    as_of_ms: float


def requested(
    prefix: str, entries: Iterable[Entry], earlier: frozenset[str] = frozenset()
) -> frozenset[str]:
    """Return the data centres whose evacuation is requested.

    A record counts whatever its value is, also one that cannot be decoded; an empty value removes
    it. A key without a name requests nothing, as upstreams without a data centre would match it.

    :param prefix: prefix of the keys.
    :param entries: all records, or the changes since ``earlier``.
    """
    data_centres = set(earlier)
    for entry in entries:
        name = entry.key.removeprefix(prefix)
        if not entry.key.startswith(prefix) or not name:
            continue
        if entry.value:
            data_centres.add(name)
        else:
            data_centres.discard(name)
    return frozenset(data_centres)


@define
class Evacuations:
    """The leader's view of the evacuations.

    :param bound_ms: time within which an evacuated data centre gets no more tasks; None if the
        platform has no evacuations.
    """

    bound_ms: int | None = None
    data_centres: frozenset[str] = field(factory=frozenset, init=False)
    _as_of_ms: float = field(default=float("-inf"), init=False)

    @property
    def enabled(self) -> bool:
        """Whether the platform has evacuations."""
        return self.bound_ms is not None

    @property
    def starts_until_ms(self) -> float:
        """Time until which tasks may be started without a newer view."""
        if self.bound_ms is None:
            return float("inf")
        return self._as_of_ms + VIEW_MAX_AGE_RATIO * self.bound_ms

    def update(self, change: EvacuationsChanged) -> tuple[frozenset[str], frozenset[str]]:
        """Apply a view; return the data centres whose evacuation has begun or has ended."""
        begun = change.data_centres - self.data_centres
        ended = self.data_centres - change.data_centres
        self.data_centres, self._as_of_ms = change.data_centres, change.as_of_ms
        return begun, ended

    def view_age_ms(self, now_ms: float) -> float:
        """Return the age of the view."""
        return now_ms - self._as_of_ms


def remaining_slots(slots: Sequence[UpstreamSlot]) -> Sequence[UpstreamSlot]:
    """Return the upstreams outside evacuated data centres, or all of them if there are none.

    They show what a VM that is added to the pool can run. A pool must not get VMs for a step that
    only fits upstreams in the evacuated data centre.
    """
    return [slot for slot in slots if not slot.evacuated] or slots


@define
class MovesAway:
    """Decision about the long-running tasks in evacuated data centres of one pool.

    :param moving: tasks that leave their upstreams now.
    :param short_millicores: cpu of tasks that find no room elsewhere, one for each step. Another VM
        helps also where a limit per upstream is the reason, but not where tickets are missing.
    """

    moving: list[Task] = field(factory=list)
    short_millicores: int = 0


def plan_moves_away(
    tasks: Iterable[Task],
    to_be_placed: Iterable[Task],
    slots: Sequence[UpstreamSlot],
    usage_of: Callable[[str], Usage],
    now_ms: float,
) -> MovesAway:
    """Decide which long-running tasks leave an evacuated data centre now.

    A task moves only within the disruption budget of its step, and only if another upstream has
    room that none of the other moves needs. Addresses 300 upstreams with a few long-running tasks
    each: upstreams are searched once for each task that moves or is to be placed, and once for each
    step that finds no room.

    :param tasks: the pool's long-running tasks at evacuated upstreams.
    :param to_be_placed: the pool's long-running tasks that are about to be placed.
    :param slots: upstreams of the pool.
    """
    usable = [slot for slot in slots if slot.usable]
    room = _Room(usable, now_ms)
    moves = MovesAway()
    leaving = [task for task in tasks if _may_leave(task, usage_of)]
    if not any(assignment.within_disruption_budget([task]) for task in leaving):
        return moves
    try:
        full_steps: set[StepOccurrence] = set()
        for task in to_be_placed:
            if task.step in full_steps or not _may_start(task, usage_of):
                continue
            # Upstreams that one task may not use, because of its other runs, may suit the others.
            if not room.take(task) and not (task.bound_to or task.copies):
                full_steps.add(task.step)
        moving_by_step: dict[StepOccurrence, list[Task]] = {}
        unmovable_steps: set[StepOccurrence] = set()
        for task in leaving:
            step = task.step
            moving = moving_by_step.setdefault(step, [])
            if step in unmovable_steps:
                continue
            if not assignment.within_disruption_budget([*moving, task]):
                continue
            if room.take(task):
                moving.append(task)
                moves.moving.append(task)
                continue
            unmovable_steps.add(step)
            if room.is_short(step):
                moves.short_millicores += step.spec.counted.cpu_millicores
    finally:
        room.release()
    return moves


def _may_leave(task: Task, usage_of: Callable[[str], Usage]) -> bool:
    """Return whether a task may be stopped in order to run elsewhere.

    The tasks of a gang would all stop. A task of an account above its limit could not start again.
    """
    spec = task.step.spec
    if task.state != "running" or not spec.long_running or spec.gang:
        return False
    return usage_of(task.step.job.submission.account).allows(Demand())


def _may_start(task: Task, usage_of: Callable[[str], Usage]) -> bool:
    """Return whether a task that is to be placed may use room elsewhere soon.

    A waiting gang starts only as a whole, and a waiting task only within the limit of its account.
    The demand of a task that is being stopped still counts as running.
    """
    if task.state == "stopping":
        return True
    spec = task.step.spec
    return not spec.gang and usage_of(task.step.job.submission.account).allows(spec.demand)


class _Room:
    """Free capacity of upstreams while moves are planned."""

    def __init__(self, slots: Sequence[UpstreamSlot], now_ms: float) -> None:
        self._slots = slots
        self._now_ms = now_ms
        self._taken: list[tuple[UpstreamSlot, Task]] = []
        self._counts: dict[StepOccurrence, Counter[str]] = {}

    def take(self, task: Task) -> bool:
        """Reserve capacity for a task; return whether there is any."""
        counts = self._counts.get(task.step)
        if counts is None:
            counts = self._counts[task.step] = Counter(task.step.upstream_counts())
        ranking = assignment.home_first
        slot = assignment.choose_slot(task, self._slots, counts, self._now_ms, ranking)
        if slot is None:
            return False
        slot.occupy(task)
        counts[slot.entry.upstream_id] += 1
        self._taken.append((slot, task))
        return True

    def is_short(self, step: StepOccurrence) -> bool:
        """Return whether an added VM would have room for a step that found none.

        A step that needs advice may lack tickets only, which another VM does not change.
        """
        spec, max_count = step.spec, step.spec.max_per_upstream_count
        if step.job.submission.needs_advice:
            return False
        counts = self._counts[step]
        for slot in self._slots:
            below_limit = not max_count or counts[slot.entry.upstream_id] < max_count
            if below_limit and assignment.admits(slot, spec, self._now_ms):
                return False
        return any(assignment.admits_when_empty(slot, spec) for slot in self._slots)

    def release(self) -> None:
        """Release all reserved capacity."""
        for slot, task in self._taken:
            slot.occupy(task, -1)
