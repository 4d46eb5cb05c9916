"""Runs that are lost: those that their upstream does not list, or whose lease has expired."""

from __future__ import annotations

import logging

from . import defaults
from .assignment import UpstreamSlot
from .leases import last_misdirected_ms, max_lease_ms
from .runorders import RejectLateStart
from .runstate import KnownUpstream, RunState
from .tasks import Task

logger = logging.getLogger(__name__)


class Losses(RunState):
    """Decides when a run at an upstream is gone, so that its task may run elsewhere."""

    @property
    def _last_inherited_order_ms(self) -> float:
        """Time until which earlier leaders may have sent orders."""
        return self._fenced_ms + defaults.LEADERSHIP_VALID_MS

    @property
    def _inherited_orders_until_ms(self) -> float:
        """Time until which upstreams may carry out orders of earlier leaders."""
        return self._last_inherited_order_ms + defaults.ORDER_DELAY_MAX_MS

    def _note_inherited_lease(self, upstream: KnownUpstream) -> None:
        """Count the leases that earlier leaders may have been granted.

        An upstream that has started again may have granted its longest lease, also late.
        """
        entry = upstream.slot.entry
        birth_ms = self._timer.now_ms() - (self._timer.wall_ms() - entry.started_ms)
        misdirected_ms = last_misdirected_ms(birth_ms, self._inherited_orders_until_ms)
        upstream.note_lease_end(
            self._last_inherited_order_ms + max_lease_ms(self._lease_ms),
            misdirected_ms - defaults.ORDER_DELAY_MAX_MS,
        )

    def _drop_unlisted_runs(
        self, upstream: KnownUpstream, listed: set[tuple[str, int]], requested_ms: float
    ) -> None:
        for task in list(upstream.slot.tasks.values()):
            if (task.name, task.run) in listed or task.state in ("assigned", "starting"):
                continue
            if not task.placed:
                # The loss of another task has ended its job, which has withdrawn it.
                continue
            if requested_ms <= task.must_list_after_ms:
                continue
            if task.state == "unsure":
                self._apply_event(task, "unlisted")
                task.must_list_after_ms = float("inf")
            else:
                self._bind_task(upstream, task)
                self._mark_lost(task, "not listed by its upstream")
        for key, orphan in list(upstream.orphans.items()):
            if key not in listed and requested_ms > orphan.conclusive_after_ms:
                self._release_orphan(upstream, key)

    def _bind_task(self, upstream: KnownUpstream, task: Task) -> None:
        """Let a task run only where the start of its run may still be carried out.

        A later run at the same upstream rules the start out. If it starts again, that run is gone
        before the next incarnation, which does not know of a stop, can carry the start out.
        """
        now_ms = self._timer.now_ms()
        until_ms = min(task.start_pending_until_ms, now_ms + defaults.ORDER_DELAY_MAX_MS)
        if until_ms <= now_ms or task.step.job.ended or task.step.spec.copyable:
            return
        task.bound_to = upstream.slot.entry.upstream_id
        upstream.bound_until_ms[task] = until_ms
        self._log_run("task is bound to its upstream", task, "its start may be carried out late")

    def _release_bound_tasks(self, upstream: KnownUpstream, requested_ms: float) -> None:
        """Let tasks run elsewhere whose starts cannot have been carried out after a report.

        :param requested_ms: when the report was requested.
        """
        for task, until_ms in list(upstream.bound_until_ms.items()):
            if requested_ms > until_ms:
                _release_bound_task(upstream, task)
                self._request_pass()

    @staticmethod
    def _assume_tasks_away(slot: UpstreamSlot) -> None:
        """Count the tasks of a silent upstream as away until it reports them again.

        Its runs may have ended well before the time at which all leases have expired for certain.
        """
        for task in slot.tasks.values():
            task.percent = 0

    def _mark_all_lost(
        self,
        upstream: KnownUpstream,
        reason: str,
        *,
        assigned: bool = True,
        as_of_ms: float = float("inf"),
    ) -> int:
        """Treat all runs at an upstream as lost; return how many were.

        :param assigned: include runs whose start has not been sent.
        :param as_of_ms: leave out the runs that another incarnation may have taken and that may go
            on after this time. At an upstream that has not reported in this epoch these are all.
        """
        known = upstream.slot.known
        lost_count = 0
        for key, orphan in list(upstream.orphans.items()):
            stop_unconfirmed = orphan.must_stop and orphan.conclusive_after_ms == float("inf")
            long_running = orphan.task is not None and orphan.task.step.spec.long_running
            goes_on = self._uncertain_run_end_ms(upstream, long_running) > as_of_ms
            if goes_on and (stop_unconfirmed or not known):
                continue
            if stop_unconfirmed:
                self._reject_late_start(upstream, key)
            self._release_orphan(upstream, key)
            lost_count += 1
        for task in list(upstream.slot.tasks.values()):
            start_uncertain = _start_is_uncertain(task)
            long_running = task.step.spec.long_running
            goes_on = self._uncertain_run_end_ms(upstream, long_running) > as_of_ms
            if goes_on and (start_uncertain or not known):
                continue
            if start_uncertain:
                self._reject_late_start(upstream, (task.name, task.run))
            # The loss of one task of a gang withdraws the others that are assigned here as well.
            if task.placed and (assigned or task.state != "assigned"):
                self._mark_lost(task, reason)
                lost_count += 1
        for task in list(upstream.bound_until_ms):
            if self._uncertain_run_end_ms(upstream, task.step.spec.long_running) <= as_of_ms:
                _release_bound_task(upstream, task)
        return lost_count

    def _uncertain_run_end_ms(self, upstream: KnownUpstream, long_running: bool) -> float:
        """Return the time by which a run ends that an unknown incarnation may have taken.

        Without a registration of a later incarnation no order is counted as carried out late. A
        registration that the known one wrote after the call shows that there was no other when an
        order in time was carried out. Once it has expired, long-running tasks do not wait:
        they must be at work again within seconds.
        """
        slot = upstream.slot
        lease_ms = max_lease_ms(self._lease_max_ms)
        if not slot.known or slot.entry.started_ms > upstream.started_ms:
            return upstream.unanswered_sent_ms + defaults.ORDER_DELAY_MAX_MS + lease_ms
        taken_ms = upstream.unanswered_sent_ms + defaults.UPSTREAM_CALL_TIMEOUT_MS
        if upstream.registered_ms > taken_ms or (long_running and not slot.listed):
            return 0.0
        return taken_ms + lease_ms

    def _reject_late_start(self, upstream: KnownUpstream, key: tuple[str, int]) -> None:
        """Have a start rejected that a silent upstream may still carry out.

        Kept beyond the link: an upstream that is removed, as it is silent and not listed, may be
        registered again, and its new link must reject the start as well.
        """
        if upstream.link is not None:
            self._late_starts.setdefault(upstream.slot.entry.upstream_id, set()).add(key)
            upstream.link.tell(RejectLateStart(*key))

    def _remove_upstream(self, upstream: KnownUpstream, reason: str) -> None:
        upstream_id = upstream.slot.entry.upstream_id
        self._mark_all_lost(upstream, reason)
        self._upstreams.pop(upstream_id, None)
        if upstream.link is not None:
            self.spawn(upstream.link.stop())
        logger.info("upstream removed", extra={"upstream": upstream_id, "reason": reason})


def _release_bound_task(upstream: KnownUpstream, task: Task) -> None:
    del upstream.bound_until_ms[task]
    task.bound_to = ""


def _start_is_uncertain(task: Task) -> bool:
    """Return whether the start of a task's run may still be carried out, or may have been.

    A confirmed stop does not rule that out, as the next incarnation does not know of it.
    """
    stop_unconfirmed = task.state == "stopping" and task.must_list_after_ms == float("inf")
    return stop_unconfirmed or task.start_pending_until_ms > 0
