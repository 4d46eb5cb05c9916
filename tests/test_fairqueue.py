"""Queue orders of waiting jobs."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart.fairqueue import QUEUE_ORDERS, RunTimes, SlotTimeLedger, WeightedFair


@pytest.fixture(params=list(QUEUE_ORDERS))
def any_order(request):
    """Each registered queue order in turn."""
    return QUEUE_ORDERS.get(request.param)()


@pytest.fixture
def fair():
    """A weighted fair queue."""
    return QUEUE_ORDERS.get("weighted_fair")()


def any_team(_: str) -> bool:
    return True


def serve(order, count, actual_ms=lambda team: 100.0):
    """Pop ``count`` jobs named ``TEAM-NUMBER``, charge them, and return the run time per team."""
    used_ms: dict[str, float] = {}
    for _ in range(count):
        team = order.pop(any_team).split("-")[0]
        spent_ms = actual_ms(team)
        used_ms[team] = used_ms.get(team, 0.0) + spent_ms
        order.charge(team, spent_ms)
    return used_ms


def test_teams_get_slot_time_by_weight(fair):
    """Guards against a team with many waiting jobs starving the others."""
    for number in range(900):
        fair.push(f"large-{number}", "large", 1.0, 100.0, 0.0)
    for number in range(300):
        fair.push(f"small-{number}", "small", 2.0, 100.0, 0.0)
    used_ms = serve(fair, 300)
    assert used_ms["small"] == pytest.approx(2 * used_ms["large"], rel=0.02)


def test_actual_run_times_count_rather_than_expected_ones(fair):
    """Guards against a team that gains by declaring run times that are too short."""
    for number in range(2_000):
        fair.push(f"honest-{number}", "honest", 1.0, 100.0, 0.0)
        fair.push(f"liar-{number}", "liar", 1.0, 100.0, 0.0)
    used_ms = serve(fair, 1_000, lambda team: 400.0 if team == "liar" else 100.0)
    assert used_ms["liar"] == pytest.approx(used_ms["honest"], rel=0.02)


def test_running_jobs_follow_the_weights_whatever_their_run_times(fair):
    """Guards against long jobs holding most slots while short ones wait."""
    for number in range(100):
        fair.push(f"long-{number}", "long", 1.0, 9_000.0, 0.0)
        fair.push(f"short-{number}", "short", 3.0, 10.0, 0.0)
    started = [fair.pop(any_team).split("-")[0] for _ in range(40)]
    assert started.count("long") == 10


def test_a_shared_ledger_counts_use_in_all_pools():
    """Guards against a team exceeding its share by spreading over pools."""
    ledger = SlotTimeLedger()
    first, second = WeightedFair(ledger=ledger), WeightedFair(ledger=ledger)
    for number in range(10):
        first.push(f"a-{number}", "a", 1.0, 100.0, 0.0)
        second.push(f"a-{number}", "a", 1.0, 100.0, 0.0)
        second.push(f"b-{number}", "b", 1.0, 100.0, 0.0)
    for _ in range(4):
        first.pop(any_team)
    assert [second.pop(any_team)[0] for _ in range(6)] == ["b"] * 4 + ["a", "b"]
    for _ in range(5):
        first.charge("a", 0.0)
    assert [second.pop(any_team)[0] for _ in range(4)] == ["a"] * 4


def test_an_idle_team_gains_no_credit(fair):
    """Guards against a team that blocks the others with credit from an idle period."""
    for number in range(100):
        fair.push(f"busy-{number}", "busy", 1.0, 100.0, 0.0)
    serve(fair, 50)
    for number in range(50):
        fair.push(f"idle-{number}", "idle", 1.0, 100.0, 0.0)
    used_ms = serve(fair, 20)
    assert used_ms["idle"] == pytest.approx(used_ms["busy"], abs=100.0)


def test_urgent_jobs_go_first_within_a_team_only(fair):
    """Guards against urgent jobs waiting behind deferred ones, or taking another team's share."""
    fair.push("a-1", "a", 1.0, 100.0, 0.0)
    fair.push("a-2", "a", 1.0, 100.0, 0.0, urgent=True)
    fair.push("a-3", "a", 1.0, 100.0, 0.0, urgent=True)
    fair.push("b-1", "b", 1.0, 100.0, 0.0)
    assert [fair.pop(any_team) for _ in range(4)] == ["a-2", "b-1", "a-3", "a-1"]


def test_a_team_at_its_limit_is_skipped(any_order):
    """Guards against a team at its upper limit that blocks the pool or loses its position."""
    any_order.push("a-1", "a", 1.0, 100.0, 0.0)
    any_order.push("b-1", "b", 1.0, 100.0, 0.0)
    assert any_order.pop(lambda team: team == "b") == "b-1"
    assert any_order.pop(lambda team: team == "b") is None
    assert any_order.pop(any_team) == "a-1"


def test_removed_jobs_leave_no_heap_entries(any_order):
    """Guards against memory growth under bursts of cancellations."""
    any_order.push("b-0", "b", 1.0, 100.0, 0.0)
    for number in range(1_000):
        any_order.push(f"a-{number}", "a", 1.0, 100.0, 0.0)
        assert any_order.remove(f"a-{number}")
    assert len(any_order) == 1
    assert len(any_order._heap) < 50
    assert any_order.pop(any_team) == "b-0"


def test_run_times_are_learned():
    """Guards against using declared run times after many observations."""
    times = RunTimes()
    assert times.expected_ms("holds", 5.0) == 5.0
    rng = random.Random(1)
    for _ in range(500):
        times.observe("holds", rng.expovariate(1 / 200.0))
    assert times.expected_ms("holds", 5.0) == pytest.approx(200.0, rel=0.3)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.sampled_from(list(QUEUE_ORDERS)),
    st.lists(
        st.tuples(
            st.sampled_from(["push", "pop", "remove", "charge"]),
            st.sampled_from("abc"),
            st.floats(0.0, 500.0),
            st.booleans(),
        ),
        max_size=150,
    ),
)
def test_every_job_leaves_exactly_once(name, steps):
    """Guards against jobs that are lost or popped twice by any mix of operations."""
    order = QUEUE_ORDERS.get(name)()
    waiting: dict[str, str] = {}
    for number, (step, team, run_time_ms, flag) in enumerate(steps):
        if step == "push":
            order.push(f"{team}-{number}", team, 1.0, run_time_ms, number, urgent=flag)
            waiting[f"{team}-{number}"] = team
        elif step == "pop":
            job_id = order.pop(lambda candidate, t=team: candidate != t)
            assert (job_id is None) == all(owner == team for owner in waiting.values())
            if job_id is not None:
                assert waiting.pop(job_id) != team
        elif step == "remove" and waiting:
            job_id = min(waiting)
            assert order.remove(job_id)
            assert not order.remove(job_id)
            del waiting[job_id]
        elif step == "charge":
            order.charge(team, run_time_ms)
        assert len(order) == len(waiting)
    assert {order.pop(any_team) for _ in range(len(waiting))} == set(waiting)
