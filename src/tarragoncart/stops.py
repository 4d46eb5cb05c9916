"""Planned stops: moves tasks off upstreams that are leaving or whose VM is about to go down."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterator
from functools import reduce

from . import assignment
from .assignment import UpstreamSlot
from .graph import Demand
from .jobmodel import Task
from .loads import UpstreamLoad
from .mailbox import receives
from .reports import Reports
from .runstate import KnownUpstream, VacatingRequest, needs_jobs
from .vmorders import ReadmitUpstream, UpstreamEnded, UpstreamVacated, VacateUpstream

logger = logging.getLogger(__name__)


class PlannedStops(Reports):
    """Moves tasks off upstreams; vacating keeps to the disruption budgets of the tasks' steps."""

    def _stop_tasks_on_leaving_upstream(self, upstream: KnownUpstream) -> None:
        """Stop the long-running and checkpointing tasks on an upstream that is leaving.

        They are placed again on other upstreams.
        """
        if not upstream.slot.entry.draining:
            return
        for task in list(upstream.slot.tasks.values()):
            spec = task.step.spec
            if task.state == "running" and (spec.long_running or spec.checkpointing):
                self._stop_task(task)

    def _upstream_loads(self) -> Iterator[UpstreamLoad]:
        waiting: Counter[str] = Counter()
        for pool, steps in self._ready_steps.items():
            waiting[pool] = sum(1 for step in steps for _ in step.waiting())
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
        request = self._vacating_requests[message.upstream_id] = VacatingRequest(
            self._timer.now_ms(), message.grace_period_ms, message.order_pending
        )
        upstream = self._upstreams.get(message.upstream_id)
        if upstream is None:
            self._send_vacated(message.upstream_id)
            return
        repeated = upstream.vacating_since_ms > 0
        repeated = repeated and upstream.grace_period_ms == request.grace_period_ms
        self._apply_vacating_request(upstream, request)
        if not repeated:
            self._vacate(upstream, upstream.vacating_since_ms)

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
        if assignment.within_disruption_budget(slot.tasks.values()):
            upstream.may_go_down = True
            for task in slot.tasks.values():
                task.percent = 0
            self._send_vacated(slot.entry.upstream_id)
        elif not upstream.order_pending:
            # Its tasks are at work and count again, so that another VM may go down instead.
            upstream.may_go_down = False

    def _stop_if_movable(self, task: Task, slots: list[UpstreamSlot], now_ms: float) -> bool:
        """Stop a task that can continue elsewhere; returns whether it was stopped."""
        spec = task.step.spec
        movable = spec.long_running or spec.checkpointing
        if task.state != "running" or not movable:
            return False
        if not assignment.within_disruption_budget([task]):
            return False
        counts = task.step.upstream_counts()
        if assignment.choose_slot(task, slots, counts, now_ms, assignment.spread) is None:
            return False
        logger.info(
            "task moves away from its upstream",
            extra={"task": task.name, "run": task.run, "upstream": task.upstream_id},
        )
        self._stop_task(task)
        return True

    def _send_vacated(self, upstream_id: str) -> None:
        if self._fleet is not None:
            self._fleet.tell(UpstreamVacated(upstream_id))
