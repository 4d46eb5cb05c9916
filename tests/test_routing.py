"""Routing policies, retry budget and ejection of upstreams."""

from __future__ import annotations

import random

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart import defaults
from tarragoncart.errors import ChartError
from tarragoncart.model import HealthVerdict
from tarragoncart.routing import EJECTION, ROUTING, RetryBudget, UpstreamView, choose


@pytest.fixture
def views():
    """Six idle upstreams in three data centres."""
    return [UpstreamView(f"w{n}", f"dc-{n % 3}", f"r{n // 4}", "in_use", 8) for n in range(6)]


@pytest.fixture
def health():
    """Health of a pool of six upstreams under the production policy."""
    return EJECTION.get("three_valued")([f"w{n}" for n in range(6)])


def record_results(health, names, now_ms):
    for name in names:
        health.record(name, HealthVerdict.RESULT, now_ms)


@pytest.mark.parametrize("policy", list(ROUTING))
def test_unusable_upstreams_get_no_jobs(policy, views):
    """Guards against jobs on leaving, ejected, full or excluded upstreams."""
    views[0] = evolve(views[0], state="leaving")
    views[1] = evolve(views[1], state="ejected")
    views[2] = evolve(views[2], in_flight_count=8)
    views[3] = evolve(views[3], in_flight_count=2, connection_limit_count=2)
    rng = random.Random(1)
    chosen = {choose(policy, views, rng, "dc-0", {"w4"}) for _ in range(50)}
    assert chosen == {"w5"}
    assert choose(policy, views, rng, "dc-0", {"w4", "w5"}) is None


def test_equal_loads_prefer_the_own_data_centre(views):
    """Guards against needless traffic between data centres, and against ignoring the load."""
    pair = [views[0], views[1]]
    rng = random.Random(1)
    assert {choose("two_choices", pair, rng, "dc-1") for _ in range(30)} == {"w1"}
    pair[1] = evolve(pair[1], in_flight_count=1)
    assert {choose("two_choices", pair, rng, "dc-1") for _ in range(30)} == {"w0"}


def test_an_old_usage_report_counts_only_jobs_of_others(views):
    """Guards against counting the entry VM's own jobs in an old usage report twice."""
    view = evolve(views[0], running_count=6, reported_own_count=4, in_flight_count=1)
    assert view.estimated_count == 3


def test_a_failing_upstream_gets_at_most_three_jobs(views):
    """Guards against a fast-failing upstream that attracts jobs because it looks idle."""
    views = [evolve(view, in_flight_count=6) for view in views[1:]] + [views[0]]
    for failure_count in range(3):
        views[-1] = evolve(views[-1], failure_count=failure_count, has_result=False)
        rng = random.Random(failure_count)
        assert "w0" in {choose("two_choices", views, rng, "dc-0") for _ in range(50)}
    views[-1] = evolve(views[-1], failure_count=3)
    assert "w0" not in {choose("two_choices", views, rng, "dc-0") for _ in range(50)}


def test_a_pool_wide_failure_leaves_usable_upstreams(views):
    """Guards against a pool-wide failure that leaves no usable upstream."""
    views = [evolve(view, failure_count=5) for view in views]
    assert choose("two_choices", views, random.Random(1), "dc-0") is not None


def test_retries_are_at_most_a_tenth_of_attempts():
    """Guards against retries that multiply an overload."""
    budget = RetryBudget()
    retry_count = 0
    for _ in range(5_000):
        budget.record_attempt()
        retry_count += budget.try_acquire()
    assert retry_count <= 0.1 * 5_000 + defaults.RETRY_BUDGET_MIN_COUNT
    assert retry_count >= 0.1 * 5_000 * 0.99


def test_three_failures_eject_when_others_have_results(health):
    """Guards against a worker that fails all its jobs and still gets more."""
    record_results(health, ["w1", "w2", "w3"], 0.0)
    for at_ms in (1.0, 2.0):
        health.record("w0", HealthVerdict.ERROR_ANSWER, at_ms)
    assert not health.ejected(3.0)
    health.record("w0", HealthVerdict.ERROR_ANSWER, 3.0)
    assert health.ejected(3.0) == {"w0"}


def test_results_before_an_idle_period_count(health):
    """Guards against a failing upstream that is never ejected because traffic is low."""
    health.record("w0", HealthVerdict.ERROR_ANSWER, 0.0)
    record_results(health, ["w1", "w2", "w3"], 1_000.0)
    health.record("w0", HealthVerdict.ERROR_ANSWER, 30_000.0)
    health.record("w0", HealthVerdict.ERROR_ANSWER, 60_000.0)
    assert health.ejected(60_000.0) == {"w0"}


def test_later_results_of_the_others_eject(health):
    """Guards against a fourth job on an upstream that failed while the others were idle."""
    for at_ms in (0.0, 1.0, 2.0):
        health.record("w0", HealthVerdict.ERROR_ANSWER, at_ms)
    assert not health.ejected(2.0)
    record_results(health, ["w1", "w2", "w3"], 10_000.0)
    assert health.ejected(10_000.0) == {"w0"}


@pytest.mark.parametrize("verdict", [HealthVerdict.ERROR_ANSWER, HealthVerdict.NO_ANSWER])
def test_a_pool_wide_failure_ejects_none(health, verdict):
    """Guards against a faulty release of the service, or a partition, emptying the pool."""
    record_results(health, health.upstreams, 0.0)
    for round_number in range(10):
        for name in health.upstreams:
            health.record(name, verdict, 10_000.0 + round_number)
    assert not health.ejected(10_010.0)
    assert health.unreachable(10_010.0) == (verdict is HealthVerdict.NO_ANSWER)


def test_results_just_before_a_pool_wide_failure_eject_none(health):
    """Guards against ejections at the start of a pool-wide failure, while results are recent."""
    record_results(health, health.upstreams, 0.0)
    for round_number in range(5):
        for name in health.upstreams:
            health.record(name, HealthVerdict.ERROR_ANSWER, 1.0 + round_number)
    assert not health.ejected(10.0)


def test_the_end_of_a_pool_wide_failure_ejects_none(health):
    """Guards against ejecting upstreams that have had no job since a pool-wide failure ended."""
    for _ in range(3):
        for name in health.upstreams:
            health.record(name, HealthVerdict.ERROR_ANSWER, 1.0)
    record_results(health, ["w1", "w2", "w3"], 100.0)
    assert not health.ejected(100.0)
    for at_ms in (200.0, 201.0, 202.0):
        record_results(health, ["w1", "w2", "w3"], at_ms)
        health.record("w0", HealthVerdict.ERROR_ANSWER, at_ms)
    assert health.ejected(202.0) == {"w0"}


def test_two_valued_baseline_ejects_on_a_pool_wide_failure():
    """Guards against a baseline that behaves like the production policy."""
    baseline = EJECTION.get("two_valued")([f"w{n}" for n in range(6)])
    for name in baseline.upstreams:
        for _ in range(3):
            baseline.record(name, HealthVerdict.ERROR_ANSWER, 0.0)
    assert len(baseline.ejected(0.0)) == 2


def test_two_missing_answers_eject(health):
    """Guards against a dead VM that gets jobs until three have timed out."""
    health.record("w1", HealthVerdict.ERROR_ANSWER, 0.0)
    health.record("w0", HealthVerdict.NO_ANSWER, 1.0)
    health.record("w0", HealthVerdict.NO_ANSWER, 2.0)
    assert health.ejected(2.0) == {"w0"}


def test_a_single_probe_decides_on_the_end_of_an_ejection(health):
    """Guards against a recovered upstream staying ejected, or a failing one getting many probes."""
    record_results(health, ["w1", "w2", "w3"], 0.0)
    for _ in range(3):
        health.record("w0", HealthVerdict.ERROR_ANSWER, 0.0)
    assert health.claim_probe(4_999.0) is None
    assert health.claim_probe(5_000.0) == "w0"
    assert health.claim_probe(5_001.0) is None
    health.record("w0", HealthVerdict.ERROR_ANSWER, 5_100.0)
    assert health.claim_probe(10_099.0) is None
    assert health.claim_probe(10_100.0) == "w0"
    health.record("w0", HealthVerdict.RESULT, 10_200.0)
    assert health.ejected(10_200.0) == set()
    assert health.failure_count("w0") == 0


def test_a_probe_without_a_verdict_is_repeated(health):
    """Guards against a cancelled probe that keeps an upstream ejected for good."""
    record_results(health, ["w1", "w2", "w3"], 0.0)
    for _ in range(3):
        health.record("w0", HealthVerdict.ERROR_ANSWER, 0.0)
    health.claim_probe(5_000.0)
    later_ms = 5_000.0 + defaults.ATTEMPT_TIMEOUT_MS
    assert health.ejected(later_ms) == {"w0"}
    assert health.claim_probe(later_ms) == "w0"


def test_events_must_be_accepted_by_the_chart(health):
    """Guards against a verdict that returns a leaving upstream to use."""
    health.step("w0", "leaving")
    health.record("w0", HealthVerdict.RESULT, 0.0)
    assert health.state("w0") == "leaving"
    with pytest.raises(ChartError):
        health.step("w0", "probe_due")


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from(list(EJECTION)),
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(list(HealthVerdict)), st.floats(0.0, 3_000.0)),
        max_size=120,
    ),
)
def test_at_most_a_third_is_ejected(policy, verdicts):
    """Guards against ejections that leave the pool without capacity."""
    health = EJECTION.get(policy)([f"w{n}" for n in range(6)])
    now_ms = 0.0
    for number, verdict, wait_ms in verdicts:
        now_ms += wait_ms
        health.record(f"w{number}", verdict, now_ms)
        health.claim_probe(now_ms)
        assert len(health.ejected(now_ms)) <= 2
