"""Detects slow runs and slow upstreams from reported progress."""

from __future__ import annotations

from attrs import define, field

# A run is slow if its recent progress took this many times as long as estimated. Estimates can be
# off by a factor of two.
SLOW_FACTOR = 3.0
# Speed is measured over a window between these two lengths.
WINDOW_MS = 1_000.0
WINDOW_MIN_MS = 400.0
# Reports within this time of each other are merged into one sample.
SAMPLE_GAP_MS = 100.0
# Speed is only measured if at least this much progress was expected within the window.
EXPECTED_MIN_PERCENT = 20.0
# Time to stop a run, assign its task again and start it.
RESTART_MS = 400.0
# The remaining time must exceed the time after a restart by this factor, as a restart discards
# work.
RESTART_MIN_GAIN_RATIO = 2.0


@define
class ProgressTracker:
    """Recent progress of one run.

    :param samples: time in ms and percent done of the latest reports, oldest first.
    """

    samples: list[tuple[float, int]] = field(factory=list)

    def observe(self, now_ms: float, percent: int) -> None:
        """Add the progress from a report."""
        samples = self.samples
        while len(samples) > 1 and samples[1][0] <= now_ms - WINDOW_MS:
            del samples[0]
        if len(samples) > 1 and now_ms - samples[-2][0] < SAMPLE_GAP_MS:
            samples.pop()
        samples.append((now_ms, percent))

    def slowness(self, estimate_ms: float) -> float | None:
        """Return the ratio of actual to estimated time for the progress, None if not known yet."""
        if len(self.samples) < 2:
            return None
        (from_ms, from_percent), (to_ms, to_percent) = self.samples[0], self.samples[-1]
        expected = 100.0 * (to_ms - from_ms) / estimate_ms
        if to_ms - from_ms < WINDOW_MIN_MS or expected < EXPECTED_MIN_PERCENT:
            return None
        return expected / max(to_percent - from_percent, 0.1)

    def restart_ends_sooner(self, estimate_ms: float, slowness: float, resumes: bool) -> bool:
        """Return whether a new run at the estimated speed would end well before this one.

        :param resumes: the new run resumes from saved progress.
        """
        left_percent = 100 - self.samples[-1][1]
        continue_ms = slowness * estimate_ms * left_percent / 100
        restart_ms = estimate_ms * (left_percent / 100 if resumes else 1.0) + RESTART_MS
        return continue_ms > RESTART_MIN_GAIN_RATIO * restart_ms


def mostly_slow(slownesses: list[float]) -> bool | None:
    """Return whether most runs of an upstream are slow, None without any measurement."""
    if not slownesses:
        return None
    slow_count = sum(slowness >= SLOW_FACTOR for slowness in slownesses)
    return 2 * slow_count > len(slownesses)
