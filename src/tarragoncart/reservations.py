"""Reservations for large waiting tasks, and which smaller ones may use the reserved room.

Addresses this load: on a busy pool, small tasks take each gap at once, so that a task of a sixth
of an upstream or more finds no room for a long time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from itertools import islice

from attrs import define, evolve, field, frozen

from .assignment import UpstreamSlot, Usage, admits, deferrable
from .durations import Durations
from .graph import Demand, StepSpec
from .jobmodel import StepOccurrence
from .tasks import Task

# A task is large if it needs at least this share of an upstream's capacity in any resource.
LARGE_SHARE = 1 / 6
# Reservations hold room for at most this long. A waiting job with room twice over must start within
# 3 s.
RESERVATION_MS = 3_000.0
# A step whose reservation has expired gets no other one for this long.
RESERVATION_PAUSE_MS = 1_000.0
# Reservations of a pool: at most one for this many upstreams, and at most this many.
UPSTREAMS_PER_RESERVATION_COUNT = 4
RESERVATION_LIMIT_COUNT = 16
# Large steps without room that a scheduling pass considers for a reservation, in its order. Those
# that have all their reservations do not count.
CONSIDERED_STEP_COUNT = 4
# A step that only reservations have kept waiting for this long ignores them. With the time to start
# it, this keeps within the 3 s for a waiting job with room twice over.
HOLD_MAX_MS = 1_500.0
# A step without any demand: an upstream that does not admit it admits no tasks at all now.
_ANY_TASK = StepSpec(1, Demand())


class Change(StrEnum):
    """What has happened to a reservation."""

    MADE = "made"
    USED = "used"
    EXPIRED = "expired"
    DROPPED = "dropped"


@frozen(eq=False)
class Reservation:
    """Room on an upstream for a task of a large step.

    :param made_ms: when it was made.
    :param expected_ms: when its room was expected to be available, as of then.
    """

    step: StepOccurrence
    upstream_id: str
    made_ms: float
    expected_ms: float

    @property
    def demand(self) -> Demand:
        """The room that it holds."""
        return self.step.spec.counted

    @property
    def account(self) -> str:
        """Account against whose limit it counts."""
        return self.step.job.submission.account


@frozen(eq=False)
class ReservationChange:
    """A change of a reservation, for the log.

    :param reason: why it was dropped.
    """

    change: Change
    reservation: Reservation
    reason: str = ""


def is_large(spec: StepSpec, capacity: Demand) -> bool:
    """Return whether a task of a step is large for an upstream of this capacity."""
    return spec.counted.share_of(capacity) >= LARGE_SHARE


def may_reserve(spec: StepSpec) -> bool:
    """Return whether reservations help a step.

    A gang starts as a whole, and a long-running task gets an added VM instead of the room of tasks
    that end.
    """
    return not spec.gang and not spec.long_running


@define
class PoolReservations:
    """The reservations of one pool.

    :param by_upstream: reservations by upstream, which has one at most.
    :param paused_until_ms: steps whose reservation has expired.
    :param held_since_ms: steps that only reservations keep waiting, without a pause.
    """

    by_upstream: dict[str, Reservation] = field(factory=dict)
    paused_until_ms: dict[StepOccurrence, float] = field(factory=dict)
    held_since_ms: dict[StepOccurrence, float] = field(factory=dict)

    def demand_of(self, account: str) -> Demand:
        """Return the reserved demand of an account."""
        total = Demand()
        for reservation in self.by_upstream.values():
            if reservation.account == account:
                total = total.plus(reservation.step.spec.demand)
        return total

    def copy(self, steps: Mapping[StepOccurrence, StepOccurrence]) -> PoolReservations:
        """Return a copy for copied steps; steps without a copy stay.

        :param steps: copies by original.
        """
        return PoolReservations(
            {key: evolve(r, step=steps.get(r.step, r.step)) for key, r in self.by_upstream.items()},
            {steps.get(step, step): until_ms for step, until_ms in self.paused_until_ms.items()},
            {steps.get(step, step): since_ms for step, since_ms in self.held_since_ms.items()},
        )

    def prune(
        self, steps: Iterable[StepOccurrence], slots: Iterable[UpstreamSlot], now_ms: float
    ) -> list[ReservationChange]:
        """Remove the reservations that have expired or cannot be used any more."""
        waiting, changes = set(steps), []
        slots_by_id = {slot.entry.upstream_id: slot for slot in slots}
        for upstream_id, reservation in list(self.by_upstream.items()):
            slot = slots_by_id.get(upstream_id)
            change, reason = Change.DROPPED, ""
            if reservation.step not in waiting:
                reason = "its step is no longer waiting"
            elif slot is None:
                reason = "its upstream is lost, draining, cordoned or evacuated"
            elif slot.degraded:
                reason = "its upstream is slow or fails"
            elif not admits(slot, _ANY_TASK, now_ms):
                reason = "its upstream takes no tasks"
            elif now_ms >= reservation.made_ms + RESERVATION_MS:
                change = Change.EXPIRED
                self.paused_until_ms[reservation.step] = now_ms + RESERVATION_PAUSE_MS
            else:
                continue
            del self.by_upstream[upstream_id]
            changes.append(ReservationChange(change, reservation, reason))
        self.paused_until_ms = {
            step: until_ms
            for step, until_ms in self.paused_until_ms.items()
            if until_ms > now_ms and step in waiting
        }
        self.held_since_ms = {
            step: since_ms for step, since_ms in self.held_since_ms.items() if step in waiting
        }
        return changes


@frozen
class HeldBack:
    """What the reserved upstreams kept a step from, which found no room elsewhere.

    :param expected_ms: expected duration of its tasks.
    """

    demand: Demand
    expected_ms: float
    priority: int

    def implies(self, demand: Demand, expected_ms: float, priority: int) -> bool:
        """Return whether a step that asks for this much finds no room either."""
        return (
            self.expected_ms <= expected_ms
            and self.priority <= priority
            and self.demand.fits(demand)
        )


@define(eq=False)
class ReservationPass:
    """Reservations during one scheduling pass of a pool; decides who may use reserved room.

    Expected ends are computed for an upstream only when a decision depends on them.

    :param reserved_demand: returns the reserved demand of an account over all pools.
    :param wall_ms: Unix time, with which deadlines are compared.
    """

    reservations: PoolReservations
    durations: Durations
    steps: list[StepOccurrence]
    slots: list[UpstreamSlot]
    usage_of: Callable[[str], Usage]
    reserved_demand: Callable[[str], Demand]
    now_ms: float
    wall_ms: float
    changes: list[ReservationChange] = field(factory=list)
    _ends: dict[str, list[tuple[float, Demand]]] = field(factory=dict)
    # By upstream with a reservation: when its room is available, and what is free besides it then.
    _forecasts: dict[str, tuple[float, Demand]] = field(factory=dict)
    # Expected durations by queue and estimate.
    _expected_ms: dict[tuple[str, int], float] = field(factory=dict)
    # Steps with reservations.
    _holders: set[StepOccurrence] = field(factory=set)
    _held: set[StepOccurrence] = field(factory=set)
    # Without this list each waiting step would search all upstreams while reserved ones have room.
    _held_back: list[HeldBack] = field(factory=list)
    _considered_count: int = 0
    _limits: dict[str, int] | None = None

    def __attrs_post_init__(self) -> None:
        self.changes += self.reservations.prune(self.steps, self.slots, self.now_ms)
        self._update_holders()

    # Called while tasks are placed.

    def blocks(self, slot: UpstreamSlot, task: Task) -> bool:
        """Return whether a reservation keeps a task off an upstream that has room for it."""
        reservation = self.reservations.by_upstream.get(slot.entry.upstream_id)
        step = task.step
        if reservation is None or reservation.step is step or step.spec.long_running:
            # A planned stop of a long-running task counts on room elsewhere without reservations.
            return False
        holder, other = reservation.step.job.submission, step.job.submission
        if other.priority < holder.priority or self._held_too_long(step):
            return False
        available_ms, left = self._forecast(slot, reservation)
        if self.now_ms + self._expected(step) <= available_ms or step.spec.counted.fits(left):
            return False
        self._held.add(step)
        return True

    def blocks_account(self, step: StepOccurrence, usage: Usage) -> bool:
        """Return whether only the reservations of its account keep a step at the limit."""
        if step.spec.long_running:
            return False
        account = step.job.submission.account
        reserved = self.reserved_demand(account)
        if reserved == Demand() or self.holds(step) or self._held_too_long(step):
            return False
        if usage.allows(step.spec.demand.plus(reserved)):
            return False
        self._held.add(step)
        return True

    def holds(self, step: StepOccurrence) -> bool:
        """Return whether a step has a reservation."""
        return step in self._holders

    def held_back(self, step: StepOccurrence) -> bool:
        """Return whether a reservation has kept a task of the step waiting in this pass."""
        return step in self._held

    def note_held_back(self, step: StepOccurrence) -> None:
        """Remember a step that was held back and found no room at any upstream."""
        spec, priority = step.spec, step.job.submission.priority
        held = HeldBack(spec.counted, self._expected(step), priority)
        self._held_back = [
            other
            for other in self._held_back
            if not held.implies(other.demand, other.expected_ms, other.priority)
        ]
        self._held_back.append(held)

    def blocks_like_another(self, step: StepOccurrence) -> bool:
        """Return whether a step would find no room either, as a remembered one found none."""
        if not self._held_back or step.spec.gang or step.spec.long_running:
            return False
        if self._held_too_long(step):
            return False
        demand, expected_ms = step.spec.counted, self._expected(step)
        priority = step.job.submission.priority
        for held in self._held_back:
            if held.implies(demand, expected_ms, priority):
                self._held.add(step)
                return True
        return False

    def note_assigned(self, task: Task, slot: UpstreamSlot) -> None:
        """Process an assignment: it may use a reservation or outlast the time of another one."""
        upstream_id = slot.entry.upstream_id
        self._ends.pop(upstream_id, None)
        self._forecasts.pop(upstream_id, None)
        by_upstream, step = self.reservations.by_upstream, task.step
        reservation = by_upstream.get(upstream_id)
        if reservation is not None:
            # It is used, or its room is expected at another time than before.
            self._held_back.clear()
        if reservation is not None and reservation.step is step:
            del by_upstream[upstream_id]
            self._update_holders()
            self.changes.append(ReservationChange(Change.USED, reservation))
            return
        own = [r for r in by_upstream.values() if r.step is step]
        if own and len(own) > step.waiting_count:
            self._held_back.clear()
            del by_upstream[own[-1].upstream_id]
            self._update_holders()
            self.changes.append(
                ReservationChange(Change.DROPPED, own[-1], "its task found room elsewhere")
            )

    def note_wait(self, step: StepOccurrence, no_room: bool) -> None:
        """Process that a step still waits; a large one may get reservations.

        :param no_room: it waits for room, not for its account.
        """
        held_since_ms = self.reservations.held_since_ms
        if step in self._held:
            held_since_ms.setdefault(step, self.now_ms)
        else:
            held_since_ms.pop(step, None)
        if no_room:
            self._reserve(step)

    def room_expected_ms(self, task: Task) -> float | None:
        """Return when room for a waiting task is expected, None if not within ``RESERVATION_MS``.

        With a reservation of its step, it is the time at which the reserved room is available.
        """
        by_upstream = self.reservations.by_upstream
        times = [
            self._forecast(slot, reservation)[0]
            for slot in self.slots
            if (reservation := by_upstream.get(slot.entry.upstream_id)) is not None
            and reservation.step is task.step
        ]
        if times:
            return min(times)
        choice = self._choose(task, task.step.upstream_counts())
        return choice[0] if choice is not None else None

    def limit_count(self) -> int:
        """Return how many reservations the pool may have."""
        count = len(self.slots) // UPSTREAMS_PER_RESERVATION_COUNT
        return min(RESERVATION_LIMIT_COUNT, count)

    # Reservations.

    def _reserve(self, step: StepOccurrence) -> None:
        spec = step.spec
        limit_count = self.limit_count()
        if (
            len(self.reservations.by_upstream) >= limit_count
            or self._considered_count >= CONSIDERED_STEP_COUNT
            or not may_reserve(spec)
            or not is_large(spec, self.slots[0].entry.capacity)
            # Room held for jobs that are late anyway makes others late.
            or deferrable(step, self.wall_ms)
            or self.reservations.paused_until_ms.get(step, 0.0) > self.now_ms
        ):
            return
        own_count = sum(r.step is step for r in self.reservations.by_upstream.values())
        free = (t for t in step.waiting() if not t.bound_to and t.retry_ms <= self.now_ms)
        tasks = list(islice(free, limit_count))
        if own_count >= len(tasks):
            return
        self._considered_count += 1
        account = step.job.submission.account
        account_limit_count = self._account_limit(account, limit_count)
        counts = step.upstream_counts() if spec.max_per_upstream_count else {}
        for task in tasks[own_count:]:
            used_count = sum(r.account == account for r in self.reservations.by_upstream.values())
            if len(self.reservations.by_upstream) >= limit_count:
                return
            if used_count >= account_limit_count:
                return
            demand = spec.demand.plus(self.reserved_demand(account))
            if not self.usage_of(account).allows(demand):
                return
            choice = self._choose(task, counts)
            if choice is None:
                return
            expected_ms, slot = choice
            reservation = Reservation(step, slot.entry.upstream_id, self.now_ms, expected_ms)
            self.reservations.by_upstream[reservation.upstream_id] = reservation
            self._holders.add(step)
            counts[reservation.upstream_id] = counts.get(reservation.upstream_id, 0) + 1
            self.changes.append(ReservationChange(Change.MADE, reservation))

    def _account_limit(self, account: str, limit_count: int) -> int:
        """Return how many of the reservations an account may have: its share by weight."""
        if self._limits is None:
            weights = {
                name: self.usage_of(name).weight
                for name in {step.job.submission.account for step in self.steps}
            }
            total = sum(weights.values()) or 1.0
            self._limits = {
                name: max(1, int(limit_count * weight / total)) for name, weight in weights.items()
            }
        return self._limits.get(account, 1)

    def _choose(self, task: Task, counts: dict[str, int]) -> tuple[float, UpstreamSlot] | None:
        """Return the upstream where room for a task becomes available first, and when."""
        step = task.step
        spec = step.spec
        best: tuple[float, UpstreamSlot] | None = None
        for slot in self.slots:
            upstream_id = slot.entry.upstream_id
            if upstream_id in self.reservations.by_upstream or slot.degraded:
                continue
            if not admits(slot, _ANY_TASK, self.now_ms) or not spec.counted.fits(
                slot.entry.capacity
            ):
                continue
            if spec.label and spec.label not in slot.entry.labels:
                continue
            if step.job.submission.needs_advice and upstream_id not in step.tickets:
                continue
            if upstream_id in task.failed_on or upstream_id in task.copies.values():
                continue
            max_count = spec.max_per_upstream_count
            if max_count and counts.get(upstream_id, 0) >= max_count:
                continue
            latest_ms = best[0] if best else self.now_ms + RESERVATION_MS
            available_ms = self._available_ms(slot, spec.counted, latest_ms)
            if available_ms is not None and (best is None or available_ms < best[0]):
                best = available_ms, slot
        return best

    def _available_ms(self, slot: UpstreamSlot, demand: Demand, latest_ms: float) -> float | None:
        """Return when an upstream has room for a demand, None if not by ``latest_ms``."""
        free, at_ms = slot.free, self.now_ms
        for end_ms, released in self._sorted_ends(slot):
            if demand.fits(free):
                return at_ms
            if end_ms > latest_ms:
                return None
            free, at_ms = free.plus(released), end_ms
        return at_ms if demand.fits(free) else None

    def _forecast(self, slot: UpstreamSlot, reservation: Reservation) -> tuple[float, Demand]:
        """Return when reserved room is available, and what is free besides it at that time."""
        forecast = self._forecasts.get(reservation.upstream_id)
        if forecast is not None:
            return forecast
        latest_ms = reservation.made_ms + RESERVATION_MS
        available_ms = self._available_ms(slot, reservation.demand, latest_ms)
        if available_ms is None:
            # It will not be available in time; the room is kept until the reservation expires.
            available_ms = latest_ms
        free = slot.free
        for end_ms, released in self._sorted_ends(slot):
            if end_ms <= available_ms:
                free = free.plus(released)
        forecast = available_ms, free.plus(reservation.demand, -1)
        self._forecasts[reservation.upstream_id] = forecast
        return forecast

    def _sorted_ends(self, slot: UpstreamSlot) -> list[tuple[float, Demand]]:
        upstream_id = slot.entry.upstream_id
        ends = self._ends.get(upstream_id)
        if ends is None:
            ends = [
                (self.durations.expected_end_ms(task, self.now_ms), task.step.spec.counted)
                for task in slot.tasks.values()
                if not task.step.spec.long_running
            ]
            ends.sort(key=lambda end: end[0])
            self._ends[upstream_id] = ends
        return ends

    def _expected(self, step: StepOccurrence) -> float:
        kind = step.job.submission.queue, step.spec.estimate_ms
        expected_ms = self._expected_ms.get(kind)
        if expected_ms is None:
            expected_ms = self._expected_ms[kind] = self.durations.expected_ms(step)
        return expected_ms

    def _update_holders(self) -> None:
        self._holders = {r.step for r in self.reservations.by_upstream.values()}

    def _held_too_long(self, step: StepOccurrence) -> bool:
        since_ms = self.reservations.held_since_ms.get(step)
        return since_ms is not None and self.now_ms - since_ms >= HOLD_MAX_MS


def sum_reserved(pools: Iterable[PoolReservations], account: str) -> Demand:
    """Return the reserved demand of an account over all pools."""
    total = Demand()
    for pool in pools:
        total = total.plus(pool.demand_of(account))
    return total


def unusable_room(slots: Iterable[UpstreamSlot], steps: Iterable[StepOccurrence]) -> Demand:
    """Return the free room of the upstreams that no waiting task fits.

    Only tasks that need no more than another one of any resource are compared.
    """
    smallest: list[Demand] = []
    for demand in sorted(
        {step.spec.counted for step in steps},
        key=lambda d: (d.cpu_millicores, d.memory_mb, d.gpu_count),
    ):
        if not any(other.fits(demand) for other in smallest):
            smallest.append(demand)
    total = Demand()
    for slot in slots:
        if not any(demand.fits(slot.free) for demand in smallest):
            total = total.plus(slot.free)
    return total
