"""Placements of waiting tasks on upstreams, one of which the leader's settings select."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from attrs import define, field, frozen

from . import assignment
from .assignment import UpstreamSlot, Usage, WaitReason
from .durations import Durations
from .errors import RegistryError, SettingsError
from .jobmodel import StepOccurrence
from .policies import PolicySettings
from .registry import Registry
from .reservations import PoolReservations, ReservationChange, ReservationPass, sum_reserved
from .tasks import Task


@frozen
class PlacementRequest:
    """The waiting tasks of a pool and its upstreams, for one scheduling pass.

    :param steps: waiting steps in the order in which they are served.
    :param wall_ms: Unix time, with which the deadlines of jobs are compared.
    :param usage_of: as for :func:`tarragoncart.assignment.plan`, like the fields below.
    :param observe_holds: called with the reservations before tasks are placed, if there are any.
    """

    pool: str
    steps: list[StepOccurrence]
    slots: list[UpstreamSlot]
    usage_of: Callable[[str], Usage]
    now_ms: float
    wall_ms: float
    reserve: Callable[[Task, UpstreamSlot], None]
    report_wait: Callable[[StepOccurrence, WaitReason], None]
    limit_count: int | None = None
    observe_holds: Callable[[ReservationPass], None] | None = None


class Placement(Protocol):
    """Decides where waiting tasks run."""

    def plan(self, request: PlacementRequest) -> Iterator[Task]:
        """Assign waiting tasks to upstreams, and yield the assigned tasks."""

    def note_idle(self, pool: str) -> None:
        """Process that no task waits in a pool."""

    def note_done(self, task: Task, now_ms: float) -> None:
        """Process that the current run of a task is done."""

    def take_changes(self) -> list[ReservationChange]:
        """Return the changes of reservations since the last call."""

    def copy(self, steps: Mapping[StepOccurrence, StepOccurrence]) -> Placement:
        """Return an independent copy for steps that are copies themselves.

        :param steps: copies by original.
        """


PLACEMENTS: Registry[Callable[[], Placement]] = Registry("placement")


def make_placement(policies: PolicySettings) -> Placement:
    """Return the placement that the settings select.

    :raises SettingsError: if it is unknown; the message lists the known ones.
    """
    try:
        return PLACEMENTS.get(policies.placement)()
    except RegistryError as error:
        raise SettingsError(error.message, step="check options", peer="--placement") from error


@PLACEMENTS.register("first_fit")
@define(eq=False)
class FirstFit:
    """Places each task as soon as an upstream has room for it."""

    def plan(self, request: PlacementRequest) -> Iterator[Task]:
        """Assign waiting tasks in the order of the steps."""
        return assignment.plan(
            request.steps,
            request.slots,
            request.usage_of,
            request.now_ms,
            request.reserve,
            request.report_wait,
            limit_count=request.limit_count,
        )

    def note_idle(self, pool: str) -> None:
        """Do nothing; there are no reservations."""

    def note_done(self, task: Task, now_ms: float) -> None:
        """Do nothing; no decision depends on learned durations."""

    def take_changes(self) -> list[ReservationChange]:
        """Return nothing; there are no reservations."""
        return []

    def copy(self, steps: Mapping[StepOccurrence, StepOccurrence]) -> Placement:
        """Return another one; there is no state."""
        return FirstFit()


@PLACEMENTS.register("backfill")
@define(eq=False)
class Backfill:
    """Holds room for large tasks, which smaller ones use only while it is not needed.

    A new leader starts without learned durations and without reservations.
    """

    durations: Durations = field(factory=Durations)
    pools: dict[str, PoolReservations] = field(factory=dict)
    _changes: list[ReservationChange] = field(factory=list)

    def plan(self, request: PlacementRequest) -> Iterator[Task]:
        """Assign waiting tasks in the order of the steps, and make reservations for large ones."""
        current = ReservationPass(
            self.pools.setdefault(request.pool, PoolReservations()),
            self.durations,
            request.steps,
            request.slots,
            request.usage_of,
            lambda account: sum_reserved(self.pools.values(), account),
            request.now_ms,
            request.wall_ms,
            self._changes,
        )
        if request.observe_holds is not None:
            request.observe_holds(current)

        def reserve(task: Task, slot: UpstreamSlot) -> None:
            request.reserve(task, slot)
            current.note_assigned(task, slot)

        def report_wait(step: StepOccurrence, reason: WaitReason) -> None:
            request.report_wait(step, reason)
            current.note_wait(step, reason is WaitReason.NO_ROOM)

        return assignment.plan(
            request.steps,
            request.slots,
            request.usage_of,
            request.now_ms,
            reserve,
            report_wait,
            assignment.usable_room,
            request.limit_count,
            current,
        )

    def note_idle(self, pool: str) -> None:
        """Drop the reservations of a pool without waiting tasks."""
        reservations = self.pools.pop(pool, None)
        if reservations is not None:
            self._changes += reservations.prune((), (), 0.0)

    def note_done(self, task: Task, now_ms: float) -> None:
        """Learn from the duration of a run."""
        self.durations.observe(task, now_ms)

    def take_changes(self) -> list[ReservationChange]:
        """Return the changes of reservations since the last call."""
        changes = self._changes[:]
        self._changes.clear()
        return changes

    def copy(self, steps: Mapping[StepOccurrence, StepOccurrence]) -> Placement:
        """Return an independent copy whose reservations are those of the copied steps."""
        pools = {pool: reservations.copy(steps) for pool, reservations in self.pools.items()}
        return Backfill(self.durations.copy(), pools)
