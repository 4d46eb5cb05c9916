"""Durations of tasks, learned from the runs that have ended.

Load that this answers: estimates are off by up to 0.9 of the true duration, and a few runs take
several times as long as usual. A reservation needs the time at which room becomes available.
"""

from __future__ import annotations

import math
from collections import OrderedDict

from attrs import define, field

from . import defaults
from .jobmodel import StepOccurrence
from .tasks import Task

# Kinds of tasks that are kept; the least recently used one is dropped.
KIND_LIMIT_COUNT = 512
# Weight that an observation keeps with each later one of its kind: about the last 100 runs count.
OBSERVATION_DECAY = 0.99
# Observations that the estimate itself, with the prior spread, counts as.
PRIOR_COUNT = 3.0
# Standard deviation of the logarithm of a duration over its estimate before any run has ended. An
# estimate that is off by up to 0.9 of the true duration has about this one.
PRIOR_SPREAD = 0.6
# Weight of the prior slope of 1, in observations times the variance of their logarithms. Estimates
# of one kind that differ little cannot show how durations depend on them.
PRIOR_SLOPE_WEIGHT = 0.5
# Error of a reported progress, in percent: it is rounded down and can be one report late.
PROGRESS_ERROR_PERCENT = 5.0
# A run that has taken longer than expected is expected to take this share of its age more, as the
# few very long runs are a growing part of those still at work.
OVERDUE_RATIO = 1.0


@define
class KindDurations:
    """Durations of the runs of one kind: a regression of their logarithms on those of estimates.

    Sums of decaying weights, so that memory and time per observation are constant.
    """

    weight: float = 0.0
    x_sum: float = 0.0
    y_sum: float = 0.0
    xx_sum: float = 0.0
    xy_sum: float = 0.0
    yy_sum: float = 0.0

    def observe(self, estimate_ms: float, actual_ms: float) -> None:
        """Add the duration of a run."""
        x, y = math.log(estimate_ms), math.log(actual_ms)
        self.weight = OBSERVATION_DECAY * self.weight + 1.0
        self.x_sum = OBSERVATION_DECAY * self.x_sum + x
        self.y_sum = OBSERVATION_DECAY * self.y_sum + y
        self.xx_sum = OBSERVATION_DECAY * self.xx_sum + x * x
        self.xy_sum = OBSERVATION_DECAY * self.xy_sum + x * y
        self.yy_sum = OBSERVATION_DECAY * self.yy_sum + y * y

    def predict(self, estimate_ms: float) -> tuple[float, float]:
        """Return the expected logarithm of a duration and its standard deviation."""
        x = math.log(estimate_ms)
        if not self.weight:
            return x, PRIOR_SPREAD
        weight = self.weight
        x_mean, y_mean = self.x_sum / weight, self.y_sum / weight
        x_var = max(0.0, self.xx_sum / weight - x_mean * x_mean)
        y_var = max(0.0, self.yy_sum / weight - y_mean * y_mean)
        covariance = self.xy_sum / weight - x_mean * y_mean
        slope = (weight * covariance + PRIOR_SLOPE_WEIGHT) / (weight * x_var + PRIOR_SLOPE_WEIGHT)
        slope = min(1.0, max(0.0, slope))
        residual_var = max(0.0, y_var - 2 * slope * covariance + slope * slope * x_var)
        learned = weight / (weight + PRIOR_COUNT)
        mean = learned * (y_mean + slope * (x - x_mean)) + (1 - learned) * x
        variance = learned * residual_var + (1 - learned) * PRIOR_SPREAD**2
        return mean, math.sqrt(variance)


@define
class Durations:
    """Learned durations by kind of task, which is its queue.

    A new leader starts without any. A wrong duration costs waiting time only.
    """

    _kinds: OrderedDict[str, KindDurations] = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._kinds)

    def copy(self) -> Durations:
        """Return a copy for predictions; observations of either one may change the other."""
        return Durations(self._kinds.copy())

    def observe(self, task: Task, now_ms: float) -> None:
        """Add the duration of a run that is done, from its assignment to now.

        Runs that an earlier leader assigned, that were slowed down or that resumed saved progress
        are ignored, as they say nothing about the duration of a whole run.
        """
        spec = task.step.spec
        if not task.assigned_ms or spec.long_running or spec.fills:
            return
        if task.run > 1 and task.history.checkpoint:
            return
        actual_ms = max(1.0, now_ms - task.assigned_ms)
        kind = task.step.job.submission.queue
        durations = self._kinds.get(kind)
        if durations is None:
            durations = self._kinds[kind] = KindDurations()
            if len(self._kinds) > KIND_LIMIT_COUNT:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        durations.observe(_estimate_ms(task.step), actual_ms)

    def predict(self, step: StepOccurrence) -> tuple[float, float]:
        """Return the expected logarithm of the duration of a step's tasks and its spread."""
        kind = step.job.submission.queue
        durations = self._kinds.get(kind)
        if durations is None:
            return math.log(_estimate_ms(step)), PRIOR_SPREAD
        self._kinds.move_to_end(kind)
        return durations.predict(_estimate_ms(step))

    def expected_ms(self, step: StepOccurrence) -> float:
        """Return the expected duration of a task of a step: half of them take longer."""
        return math.exp(self.predict(step)[0])

    def expected_end_ms(self, task: Task, now_ms: float) -> float:
        """Return when the current run of a task is expected to end; infinite if it never does."""
        if task.step.spec.long_running:
            return math.inf
        mean, spread = self.predict(task.step)
        from_progress = _end_from_progress(task, spread)
        if from_progress is not None:
            return max(now_ms, from_progress)
        if not task.assigned_ms:
            # An earlier leader assigned it, at an unknown time.
            return now_ms + math.exp(mean)
        for duration_ms in (math.exp(mean), math.exp(mean + spread)):
            if now_ms < task.assigned_ms + duration_ms:
                return task.assigned_ms + duration_ms
        return now_ms + OVERDUE_RATIO * (now_ms - task.assigned_ms)


def _estimate_ms(step: StepOccurrence) -> float:
    return float(step.spec.estimate_ms or defaults.ESTIMATE_DEFAULT_MS)


def _end_from_progress(task: Task, spread: float) -> float | None:
    """Return the end according to the reported progress.

    None while the learned durations have the smaller spread.
    """
    samples = task.tracker.samples
    if not samples:
        return None
    (from_ms, from_percent), (to_ms, to_percent) = samples[0], samples[-1]
    if len(samples) == 1:
        from_ms, from_percent = task.assigned_ms, 0
    done_percent = to_percent - from_percent
    if not from_ms or done_percent <= 0 or PROGRESS_ERROR_PERCENT / done_percent >= spread:
        return None
    return to_ms + (to_ms - from_ms) / done_percent * (100 - to_percent)
