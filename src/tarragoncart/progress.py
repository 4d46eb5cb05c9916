"""Judges from the progress that upstreams report how fast runs get on."""

from __future__ import annotations

from collections import deque

from attrs import define, field

# A run is slow if it has taken this many times as long as estimated for its latest progress;
# estimates are off by a factor of two at times.
SLOW_FACTOR = 3.0
# Progress is judged over at most the longer and at least the shorter time.
WINDOW_MS = 1_000.0
WINDOW_MIN_MS = 400.0
# Reports that come in quick succession count as one.
SAMPLE_GAP_MS = 100.0
# Progress that should have been made before its lack says something.
EXPECTED_MIN_PERCENT = 20.0
# Time to stop a run, place its task again and start it.
RESTART_MS = 400.0
# A restart must save at least this much of the time that is left, as it throws work away.
RESTART_GAIN = 2.0


@define
class Track:
    """Progress of one run.

    :param samples: time and percent of the latest reports, oldest first.
    """

    samples: deque[tuple[float, int]] = field(factory=deque)

    def observe(self, now_ms: float, percent: int) -> None:
        """Take in a report."""
        samples = self.samples
        while len(samples) > 1 and samples[1][0] <= now_ms - WINDOW_MS:
            samples.popleft()
        if len(samples) > 1 and now_ms - samples[-2][0] < SAMPLE_GAP_MS:
            samples.pop()
        samples.append((now_ms, percent))

    def slowness(self, estimate_ms: float) -> float | None:
        """Return how many times as long as estimated the progress took, None if not known yet."""
        if len(self.samples) < 2:
            return None
        (from_ms, from_percent), (to_ms, to_percent) = self.samples[0], self.samples[-1]
        expected = 100.0 * (to_ms - from_ms) / estimate_ms
        if to_ms - from_ms < WINDOW_MIN_MS or expected < EXPECTED_MIN_PERCENT:
            return None
        return expected / max(to_percent - from_percent, 0.1)

    def restart_gains(self, estimate_ms: float, slowness: float, resumes: bool) -> bool:
        """Tell whether a run elsewhere at the estimated speed ends well before this one.

        :param resumes: it goes on from its saved progress.
        """
        left_percent = 100 - self.samples[-1][1]
        stay_ms = slowness * estimate_ms * left_percent / 100
        again_ms = estimate_ms * (left_percent / 100 if resumes else 1.0) + RESTART_MS
        return stay_ms > RESTART_GAIN * again_ms


def mostly_slow(slownesses: list[float]) -> bool | None:
    """Tell whether an upstream is slow, from its runs; None if there is nothing to judge."""
    if not slownesses:
        return None
    slow_count = sum(slowness >= SLOW_FACTOR for slowness in slownesses)
    return 2 * slow_count > len(slownesses)
