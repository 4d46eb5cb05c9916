"""Planned stops: moves tasks off upstreams that are leaving or whose VM is about to go down."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Iterator
from functools import reduce

from . import assignment, metrics
from .assignment import UpstreamSlot, within_disruption_budget
from .evacuations import EvacuationsChanged, plan_moves_away
from .graph import Demand
from .jobmodel import StepOccurrence
from .loads import UpstreamLoad
from .mailbox import receives
from .reports import Reports
from .runstate import KnownUpstream, VacatingRequest, needs_jobs
from .slowness import LOGGED_COUNT
from .tasks import Task
from .vmorders import ReadmitUpstream, UpstreamEnded, UpstreamVacated, VacateUpstream

logger = logging.getLogger(__name__)


class PlannedStops(Reports):
    """Moves tasks off upstreams; vacating keeps to the disruption budgets of the tasks' steps."""

    def _stop_tasks_on_leaving_upstream(self, upstream: KnownUpstream) -> None:
        """Stop the long-running and checkpointing tasks on an upstream that is leaving.

        They are placed again on other upstreams. These stops need no disruption budget, but count
        against that of their step, which a pending order for the VM of another task may need.
        """
        if not upstream.slot.entry.draining or not upstream.slot.answering:
            return
        for task in list(upstream.slot.tasks.values()):
            spec = task.step.spec
            if task.state != "running" or not (spec.long_running or spec.checkpointing):
                continue
            if not self._has_pending_order(task.step) or within_disruption_budget([task]):
                self._stop_task(task)

    def _has_pending_order(self, step: StepOccurrence) -> bool:
        """Return whether an order that ends a task of a step with a budget is on its way."""
        if step.spec.max_away_count is None:
            return False
        upstreams = (
            self._upstreams.get(task.upstream_id) for task in step.tasks.kept if task.placed
        )
        return any(upstream is not None and upstream.order_pending for upstream in upstreams)

    def _upstream_loads(self) -> Iterator[UpstreamLoad]:
        waiting: Counter[str] = Counter()
        for pool, steps in self._ready_steps.items():
            waiting[pool] = sum(step.waiting_count for step in steps)
        for upstream_id, upstream in self._upstreams.items():
            slot = upstream.slot
            pool = slot.entry.pool
            tasks = slot.tasks.values()
            long_running_specs = [task.step.spec for task in tasks if task.step.spec.long_running]
            capacity = slot.entry.capacity
            reserved = capacity.plus(slot.free, -1)
            long_running_demand = reduce(
                Demand.plus, (spec.counted for spec in long_running_specs), Demand()
            )
            yield UpstreamLoad(
                upstream_id,
                pool,
                len(slot.tasks),
                len(long_running_specs),
                round(long_running_demand.share_of(capacity) * capacity.cpu_millicores),
                round(reserved.share_of(capacity) * capacity.cpu_millicores),
                capacity.cpu_millicores,
                waiting[pool],
            )

    @receives(VacateUpstream)
    @needs_jobs
    def on_vacate(self, message: VacateUpstream) -> None:
        """Assign no new tasks to an upstream and move its tasks elsewhere where possible.

        The request is repeated until the VM is down or moves; each tick vacates further.
        """
        is_new = message.upstream_id not in self._vacating_requests
        request = self._vacating_requests[message.upstream_id] = VacatingRequest(
            self._timer.now_ms(), message.grace_period_ms, message.order_pending
        )
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            if is_new:
                self._log_vacated(message.upstream_id, [])
            self._send_vacated(message.upstream_id)
            return
        repeated = upstream.vacating_since_ms > 0
        repeated = repeated and upstream.grace_period_ms == request.grace_period_ms
        self._apply_vacating_request(upstream, request)
        if not repeated:
            self._vacate(upstream, upstream.vacating_since_ms)

    @receives(EvacuationsChanged)
    def on_evacuations_changed(self, message: EvacuationsChanged) -> None:
        """Start nothing more in evacuated data centres, and use the others again."""
        begun, ended = self._evacuations.update(message)
        for upstream in list(self._upstreams.values()) if begun or ended else ():
            self._apply_evacuation(upstream)
        for data_centre in sorted(begun):
            metrics.EVACUATIONS.add(1)
            self._log_evacuation("evacuation in force", data_centre)
        for data_centre in sorted(ended):
            self._log_evacuation("evacuation ended", data_centre)
        if begun or ended:
            self._unmovable_millicores.clear()
            self._forward_evacuations()
        if begun or ended or self._placement_held:
            self._request_pass()

    def _log_evacuation(self, text: str, data_centre: str) -> None:
        slots = [upstream.slot for upstream in self._upstreams.values()]
        slots = [slot for slot in slots if slot.entry.data_centre == data_centre]
        logger.info(
            text,
            extra={
                "data_centre": data_centre,
                "epoch": self._epoch,
                "upstream_count": len(slots),
                "run_count": sum(len(slot.tasks) for slot in slots),
                "long_running_count": sum(slot.long_running_count for slot in slots),
                "view_age_ms": round(self._evacuations.view_age_ms(self._timer.now_ms())),
            },
        )

    def _forward_evacuations(self) -> None:
        """Send the evacuated data centres to the owner of the VMs."""
        if self._fleet is not None and self._evacuations.enabled:
            as_of_ms = self._timer.now_ms()
            self._fleet.tell(EvacuationsChanged(self._evacuations.data_centres, as_of_ms))

    def _may_start_tasks(self) -> bool:
        """Return whether the operators' records are recent enough for tasks to be started."""
        now_ms = self._timer.now_ms()
        held = now_ms >= self._evacuations.starts_until_ms
        if held != self._placement_held:
            self._placement_held = held
            text = "placement held: operators' records are too old"
            age_ms = self._evacuations.view_age_ms(now_ms)
            logger.info(
                text if held else "placement resumed: operators' records are recent",
                extra={
                    "epoch": self._epoch,
                    "view_age_ms": round(age_ms) if math.isfinite(age_ms) else None,
                },
            )
        return not held

    def _move_evacuated_tasks(self, now_ms: float) -> None:
        """Stop the long-running tasks in evacuated data centres that can continue elsewhere."""
        self._unmovable_millicores.clear()
        if not self._evacuations.data_centres or not self._may_start_tasks():
            return
        slots_by_pool: dict[str, list[UpstreamSlot]] = {}
        for upstream in self._upstreams.values():
            slots_by_pool.setdefault(upstream.slot.entry.pool, []).append(upstream.slot)
        for pool, slots in slots_by_pool.items():
            tasks = [
                task
                for slot in slots
                if slot.evacuated and slot.answering and slot.long_running_count
                for task in slot.tasks.values()
                if task.step.spec.long_running
            ]
            if not tasks:
                continue
            to_be_placed = [task for task in tasks if task.state == "stopping"]
            for step in self._ready_steps.get(pool, ()):
                if step.spec.long_running:
                    to_be_placed.extend(step.waiting())
            moves = plan_moves_away(tasks, to_be_placed, slots, self._usage, now_ms)
            if moves.short_millicores:
                self._unmovable_millicores[pool] = moves.short_millicores
            for task in moves.moving:
                metrics.EVACUATION_MOVES.add(1)
                self._move_away(task, "its data centre is evacuated")

    @receives(ReadmitUpstream)
    def on_readmit(self, message: ReadmitUpstream) -> None:
        """Allow new tasks on an upstream again."""
        self._vacating_requests.pop(message.upstream_id, None)
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            upstream.slot.cordoned = upstream.may_go_down = upstream.order_pending = False
            upstream.vacating_since_ms = 0.0
            self._request_pass()

    @receives(UpstreamEnded)
    def on_upstream_ended(self, message: UpstreamEnded) -> None:
        """Remove an upstream whose VM is down."""
        self._vacating_requests.pop(message.upstream_id, None)
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is not None:
            started_ms = max(upstream.started_ms, upstream.slot.entry.started_ms)
            self._ended_incarnations[message.upstream_id] = started_ms
            self._remove_upstream(upstream, "its VM is down")

    def _vacate(self, upstream: KnownUpstream, now_ms: float) -> None:
        if not upstream.vacating_since_ms:
            return
        slot = upstream.slot
        grace_period_ms = upstream.grace_period_ms
        may_wait = grace_period_ms is None or now_ms - upstream.vacating_since_ms < grace_period_ms
        slots = [u.slot for u in self._upstreams.values() if u.slot.entry.pool == slot.entry.pool]
        pending_count = 0
        for task in list(slot.tasks.values()):
            if task.state == "assigned":
                self._apply_event(task, "withdraw")
            elif task.state == "stopping" or self._stop_if_movable(task, slots, now_ms):
                pending_count += 1
            elif may_wait and not task.step.spec.long_running:
                pending_count += 1
        if pending_count and may_wait:
            return
        self._confirm_vacated(upstream)

    def _confirm_vacated(self, upstream: KnownUpstream) -> None:
        """Report that the VM may go down now, if the disruption budgets allow it."""
        slot = upstream.slot
        if within_disruption_budget(slot.tasks.values()):
            if not upstream.may_go_down:
                self._log_vacated(slot.entry.upstream_id, list(slot.tasks.values()))
            upstream.let_go_down()
            self._send_vacated(slot.entry.upstream_id)
        elif not upstream.order_pending:
            # Its tasks are at work and count again, so that another VM may go down instead.
            upstream.may_go_down = False

    def _log_vacated(self, upstream_id: str, tasks: list[Task]) -> None:
        """Log that an upstream may go down, and which of its tasks are ended then."""
        logger.info(
            "upstream may go down",
            extra={
                "upstream": upstream_id,
                "known": upstream_id in self._upstreams,
                "epoch": self._epoch,
                "run_count": len(tasks),
                "budgeted_tasks": [
                    task.name for task in tasks if task.step.spec.max_away_count is not None
                ][:LOGGED_COUNT],
            },
        )

    def _stop_if_movable(self, task: Task, slots: list[UpstreamSlot], now_ms: float) -> bool:
        """Stop a task that can continue elsewhere; returns whether it was stopped."""
        spec = task.step.spec
        movable = spec.long_running or spec.checkpointing
        if task.state != "running" or not movable:
            return False
        if not within_disruption_budget([task]):
            return False
        counts = task.step.upstream_counts()
        if assignment.choose_slot(task, slots, counts, now_ms, assignment.spread) is None:
            return False
        self._move_away(task, "its upstream is vacated")
        return True

    def _move_away(self, task: Task, reason: str) -> None:
        self._log_run("task moves away from its upstream", task, reason)
        self._stop_task(task)

    def _send_vacated(self, upstream_id: str) -> None:
        if self._fleet is not None:
            self._fleet.tell(UpstreamVacated(upstream_id))
