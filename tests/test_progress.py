"""Detection of slow runs and slow upstreams."""

from __future__ import annotations

import pytest

from tarragoncart.progress import SLOW_FACTOR, ProgressTracker, mostly_slow

ESTIMATE_MS = 800.0


@pytest.fixture
def make_tracker():
    """Return a factory of trackers: a report each 200 ms, at a multiple of the estimated speed."""

    def make(speed, for_ms, percent=0.0):
        tracker = ProgressTracker()
        for at_ms in range(0, for_ms + 1, 200):
            tracker.observe(float(at_ms), min(99, int(percent + speed * at_ms * 100 / ESTIMATE_MS)))
        return tracker

    return make


@pytest.mark.parametrize("speed", [0.5, 1.0, 1.5])
def test_a_run_whose_estimate_is_off_is_not_slow(make_tracker, speed):
    """Guards against restarts because of an estimate that is off by a factor of two."""
    assert make_tracker(speed, 600).slowness(ESTIMATE_MS) < SLOW_FACTOR


def test_a_slow_run_is_detected_within_its_estimate(make_tracker):
    """Guards against a job that waits several times its estimate for one slow upstream."""
    tracker = make_tracker(0.15, 600)
    assert tracker.slowness(ESTIMATE_MS) > SLOW_FACTOR
    assert tracker.restart_ends_sooner(ESTIMATE_MS, tracker.slowness(ESTIMATE_MS), False)


def test_a_run_that_stalls_late_is_detected(make_tracker):
    """Guards against an average over the whole run that hides that it has stopped progressing."""
    tracker = make_tracker(1.0, 600)
    for at_ms in range(800, 1_801, 200):
        tracker.observe(float(at_ms), 75)
    assert tracker.slowness(ESTIMATE_MS) > SLOW_FACTOR


def test_a_slow_run_that_is_nearly_done_is_not_restarted():
    """Guards against a restart that ends later than the slow run would have."""
    tracker = ProgressTracker()
    tracker.observe(0.0, 85)
    tracker.observe(500.0, 95)
    slowness = tracker.slowness(ESTIMATE_MS)
    assert slowness > SLOW_FACTOR
    assert not tracker.restart_ends_sooner(ESTIMATE_MS, slowness, False)


def test_too_few_reports_give_no_slowness(make_tracker):
    """Guards against measuring the speed of a run that has just started."""
    assert ProgressTracker().slowness(ESTIMATE_MS) is None
    assert make_tracker(0.0, 200).slowness(ESTIMATE_MS) is None


def test_many_reports_are_kept_as_few_samples():
    """Guards against memory that grows with the number of reports."""
    tracker = ProgressTracker()
    for at_ms in range(0, 60_000, 5):
        tracker.observe(float(at_ms), 0)
    assert len(tracker.samples) < 25


def test_an_upstream_is_slow_if_most_of_its_runs_are():
    """Guards against taking an upstream for slow because of one job with a wrong estimate."""
    assert mostly_slow([]) is None
    assert mostly_slow([6.0, 5.0, 1.0]) is True
    assert mostly_slow([6.0, 1.0, 1.0]) is False
