"""Learned durations, and the expected ends of runs."""

from __future__ import annotations

import math
import random

import pytest

from tarragoncart.durations import KIND_LIMIT_COUNT, Durations
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.jobmodel import Job

ASSIGNED_MS = 10_000.0


@pytest.fixture
def make_task():
    """Return a factory of tasks whose run was assigned at ``ASSIGNED_MS``."""

    def make(estimate_ms=1_000, queue="q", **step):
        spec = StepSpec(1, Demand(1_000), estimate_ms, **step)
        submission = Submission("1", queue, "pool", "a", 0, 2, 2.0, 500, 0, JobSpec("", (spec,)))
        task = Job(submission).release(0)[0].tasks[0]
        task.state, task.run, task.assigned_ms = "running", 1, ASSIGNED_MS
        return task

    return make


@pytest.fixture
def learned(make_task):
    """Return a function that observes runs of one queue: pairs of estimate and duration."""

    def learn(pairs, queue="q"):
        durations = Durations()
        for estimate_ms, actual_ms in pairs:
            durations.observe(make_task(estimate_ms, queue), ASSIGNED_MS + actual_ms)
        return durations

    return learn


def test_estimates_count_before_any_run_has_ended(make_task):
    """Guards against a new leader that has no expectation until it has learned."""
    assert Durations().expected_ms(make_task(800).step) == pytest.approx(800)
    assert Durations().expected_ms(make_task(0).step) == pytest.approx(1_000)


def test_a_constant_error_of_estimates_is_learned(learned, make_task):
    """Guards against expected ends that are as wrong as the estimates."""
    rng = random.Random(1)
    durations = learned([(e, 1.8 * e) for e in (rng.uniform(300, 3_000) for _ in range(200))])
    assert durations.expected_ms(make_task(1_000).step) == pytest.approx(1_800, rel=0.05)
    assert durations.predict(make_task(1_000).step)[1] < 0.2


def test_estimates_without_information_are_ignored(learned, make_task):
    """Guards against trust in estimates that say nothing about the durations of their queue."""
    rng = random.Random(1)
    durations = learned([(1_000 * rng.uniform(0.1, 1.9), 1_000) for _ in range(200)])
    assert durations.expected_ms(make_task(150).step) == pytest.approx(1_000, rel=0.1)
    assert durations.expected_ms(make_task(1_900).step) == pytest.approx(1_000, rel=0.1)


def test_the_spread_covers_most_runs(learned, make_task):
    """Guards against a run that counts as overdue while most others still go on."""
    rng = random.Random(2)

    def draw():
        true_ms = rng.uniform(700, 1_300)
        return true_ms * (1 + rng.uniform(-0.9, 0.9)), true_ms

    durations = learned([draw() for _ in range(300)])
    within = [
        math.log(actual_ms) <= sum(durations.predict(make_task(estimate_ms).step))
        for estimate_ms, actual_ms in (draw() for _ in range(300))
    ]
    assert sum(within) / len(within) > 0.75


def test_a_few_very_long_runs_change_little(learned, make_task):
    """Guards against expectations that follow the 3 % of runs that take seven times as long."""
    rng = random.Random(3)
    durations = learned([(1_000, 7_000 if rng.random() < 0.03 else 1_000) for _ in range(300)])
    assert durations.expected_ms(make_task(1_000).step) < 1_300


@pytest.mark.parametrize(
    "changes",
    [
        {"step": {"fills": True}},
        {"step": {"long_running": True}},
        {"assigned_ms": 0.0},
        {"run": 2, "checkpoint": "saved"},
    ],
    ids=["throttled", "long-running", "of an earlier leader", "resumed"],
)
def test_runs_that_are_no_measure_do_not_count(make_task, changes):
    """Guards against durations learned from runs that did another amount of work."""
    task = make_task(1_000, **changes.get("step", {}))
    task.assigned_ms = changes.get("assigned_ms", ASSIGNED_MS)
    task.run, task.history.checkpoint = changes.get("run", 1), changes.get("checkpoint", "")
    durations = Durations()
    durations.observe(task, ASSIGNED_MS + 5_000)
    assert not len(durations)


def test_memory_is_bounded(make_task):
    """Guards against growth with the number of queues; the least recently used one is dropped."""
    durations = Durations()
    for number in range(KIND_LIMIT_COUNT):
        durations.observe(make_task(queue=f"q-{number}"), ASSIGNED_MS + 3_000)
    durations.expected_ms(make_task(queue="q-0").step)
    durations.observe(make_task(queue="new"), ASSIGNED_MS + 3_000)
    assert len(durations) == KIND_LIMIT_COUNT
    assert durations.expected_ms(make_task(queue="q-0").step) > 1_200
    assert durations.expected_ms(make_task(queue="q-1").step) == pytest.approx(1_000)


def test_progress_counts_once_it_says_more(make_task):
    """Guards against a very long run that is expected to end at any moment."""
    durations = Durations()
    task = make_task(1_000)
    task.tracker.observe(ASSIGNED_MS + 200, 1)
    assert durations.expected_end_ms(task, ASSIGNED_MS + 200) == ASSIGNED_MS + 1_000
    task.tracker.observe(ASSIGNED_MS + 1_200, 15)
    expected_ms = ASSIGNED_MS + 1_200 + 1_000 * 85 / 14
    assert durations.expected_end_ms(task, ASSIGNED_MS + 1_200) == pytest.approx(expected_ms)


def test_the_expected_end_of_an_overdue_run_lies_ahead(make_task):
    """Guards against reservations for room that was expected in the past."""
    durations, task = Durations(), make_task(1_000)
    ends_ms = [
        durations.expected_end_ms(task, ASSIGNED_MS + age_ms) - ASSIGNED_MS
        for age_ms in (500, 1_500, 3_000)
    ]
    assert ends_ms == [pytest.approx(1_000), pytest.approx(1_000 * math.exp(0.6)), 6_000]


def test_a_run_of_an_earlier_leader_has_an_expected_end(make_task):
    """Guards against ends in the past for runs whose start is not known."""
    task = make_task(1_000)
    task.assigned_ms = 0.0
    assert Durations().expected_end_ms(task, 50_000.0) == pytest.approx(51_000)


def test_a_long_running_task_never_ends(make_task):
    """Guards against reservations for the room of services."""
    assert Durations().expected_end_ms(make_task(long_running=True), 0.0) == math.inf
