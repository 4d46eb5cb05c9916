"""Detection of slow runs and slow upstreams."""

from __future__ import annotations

import pytest

from tarragoncart.progress import SLOW_FACTOR, Track, mostly_slow

ESTIMATE_MS = 800.0


@pytest.fixture
def make_track():
    """Return a factory of tracks: a report each 200 ms, at a multiple of the estimated speed."""

    def make(speed, for_ms, percent=0.0):
        track = Track()
        for at_ms in range(0, for_ms + 1, 200):
            track.observe(float(at_ms), min(99, int(percent + speed * at_ms * 100 / ESTIMATE_MS)))
        return track

    return make


@pytest.mark.parametrize("speed", [0.5, 1.0, 1.5])
def test_a_run_whose_estimate_is_off_is_not_slow(make_track, speed):
    """Guards against restarts because of an estimate that is off by a factor of two."""
    assert make_track(speed, 600).slowness(ESTIMATE_MS) < SLOW_FACTOR


def test_a_slow_run_is_seen_within_its_estimate(make_track):
    """Guards against a job that waits several times its estimate for one slow upstream."""
    track = make_track(0.15, 600)
    assert track.slowness(ESTIMATE_MS) > SLOW_FACTOR
    assert track.restart_gains(ESTIMATE_MS, track.slowness(ESTIMATE_MS), False)


def test_a_run_that_stands_still_late_is_seen(make_track):
    """Guards against an average over the whole run that hides that it has stopped progressing."""
    track = make_track(1.0, 600)
    for at_ms in range(800, 1_801, 200):
        track.observe(float(at_ms), 75)
    assert track.slowness(ESTIMATE_MS) > SLOW_FACTOR


def test_a_slow_run_that_is_nearly_done_goes_on():
    """Guards against a restart that ends later than the slow run would have."""
    track = Track()
    track.observe(0.0, 85)
    track.observe(500.0, 95)
    slowness = track.slowness(ESTIMATE_MS)
    assert slowness > SLOW_FACTOR
    assert not track.restart_gains(ESTIMATE_MS, slowness, False)


def test_too_few_reports_say_nothing(make_track):
    """Guards against measuring the speed of a run that has just started."""
    assert Track().slowness(ESTIMATE_MS) is None
    assert make_track(0.0, 200).slowness(ESTIMATE_MS) is None


def test_many_reports_are_kept_as_few_samples():
    """Guards against memory that grows with the number of reports."""
    track = Track()
    for at_ms in range(0, 60_000, 5):
        track.observe(float(at_ms), 0)
    assert len(track.samples) < 25


def test_an_upstream_is_slow_if_most_of_its_runs_are():
    """Guards against taking an upstream for slow because of one job with a wrong estimate."""
    assert mostly_slow([]) is None
    assert mostly_slow([6.0, 5.0, 1.0]) is True
    assert mostly_slow([6.0, 1.0, 1.0]) is False
