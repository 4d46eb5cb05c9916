"""Upstreams whose runs take far longer than estimated."""

from __future__ import annotations

import logging

from . import defaults
from .assignment import UpstreamSlot, choose_slot, home_first
from .losses import Losses
from .progress import mostly_slow
from .runstate import KnownUpstream
from .tasks import Task

logger = logging.getLogger(__name__)

# Maximum number of values in one field of a log record.
LOGGED_COUNT = 8


class SlowUpstreams(Losses):
    """Detects slow upstreams, and runs their tasks again where they end sooner elsewhere."""

    def _detect_slow_upstream(self, upstream: KnownUpstream) -> None:
        """Decide whether an upstream is slow; if so, rerun tasks that end sooner elsewhere."""
        slot = upstream.slot
        now_ms = self._timer.now_ms()
        measured: list[tuple[Task, float]] = []
        for task in slot.tasks.values():
            spec = task.step.spec
            if task.state != "running" or spec.long_running or not spec.estimate_ms:
                continue
            slowness = task.tracker.slowness(spec.estimate_ms)
            if slowness is not None:
                measured.append((task, slowness))
        slow = mostly_slow([slowness for _, slowness in measured])
        if slow is None:
            return
        slot.slow_measured_ms = now_ms
        if slow != slot.slow:
            slot.slow = slow
            logger.info(
                "upstream is slow" if slow else "upstream is no longer slow",
                extra={
                    "upstream": slot.entry.upstream_id,
                    "run_count": len(slot.tasks),
                    "slowness": [round(slowness, 1) for _, slowness in measured[:LOGGED_COUNT]],
                },
            )
        if slow:
            self._rerun_slow_tasks(slot, measured, now_ms)

    def _rerun_slow_tasks(
        self, slot: UpstreamSlot, measured: list[tuple[Task, float]], now_ms: float
    ) -> None:
        others = [
            upstream.slot
            for upstream in self._upstreams.values()
            if upstream.slot.entry.pool == slot.entry.pool and not upstream.slot.degraded
        ]
        for task, slowness in measured:
            spec = task.step.spec
            resumes = spec.checkpointing and bool(task.history.checkpoint)
            if spec.gang or task.restart_count >= defaults.RESTART_LIMIT_COUNT:
                continue
            if not task.tracker.restart_ends_sooner(spec.estimate_ms, slowness, resumes):
                continue
            counts = task.step.upstream_counts()
            if choose_slot(task, others, counts, now_ms, home_first) is None:
                continue
            task.restart_count += 1
            if task.copyable:
                self._allow_copy(task, "its upstream is slow")
                continue
            logger.info(
                "run is given up because its upstream is slow",
                extra={
                    "job": task.step.job.job_id,
                    "task": task.name,
                    "run": task.run,
                    "upstream": slot.entry.upstream_id,
                    "slowness": round(slowness, 1),
                    "percent": task.percent,
                    "estimate_ms": spec.estimate_ms,
                },
            )
            self._stop_task(task)
