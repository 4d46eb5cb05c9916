"""Tests what a seed determines in a failure run, and the recovery times of a history."""

from __future__ import annotations

import pytest

from bench.failures import FAILURES, plan_failures
from bench.history import Event, merge_events
from bench.prove import draw_fleet, recovery_times_ms
from tarragoncart.settings import check_fleet_config


@pytest.mark.parametrize("seed", [0, 1, 17, 10**9])
def test_a_seed_determines_fleet_and_schedule(seed):
    """Guards against a run that cannot be repeated with its seed."""
    assert draw_fleet(seed) == draw_fleet(seed)
    plan = plan_failures(seed, 20_000)
    assert plan == plan_failures(seed, 20_000)
    assert plan and all(0 <= planned.start_ms < 20_000 for planned in plan)


@pytest.mark.parametrize("seed", range(10))
def test_a_drawn_fleet_is_valid_and_small(seed):
    """Guards against a seed that cannot be run at all."""
    _, config, entry_count = draw_fleet(seed)
    check_fleet_config(config)
    assert 4 <= entry_count <= 7 and len(config.vms) <= 12


def test_every_failure_is_scheduled_for_some_seeds():
    """Guards against a failure that is never scheduled."""
    scheduled = {planned.name for seed in range(20) for planned in plan_failures(seed, 20_000)}
    assert scheduled == {name for name, _ in FAILURES.items()}


def test_recovery_ends_with_the_next_successful_reply_of_the_entry_vm():
    """Guards against a recovery time measured at another entry VM or by a refused job."""

    def runner(at, event, target, **fields):
        return Event(at, "runner", "run", event, {"target": target, **fields})

    def reply(at, entry, outcome):
        return Event(at, "caller", "c", "reply", {"entry": entry, "outcome": outcome})

    events = [
        Event(0, "runner", "run", "config", {"data_centres": {"a": "dc-1", "b": "dc-2"}}),
        runner(10, "resume", "a"),
        reply(20, "b", "accepted"),
        reply(30, "a", "not_run"),
        reply(50, "a", "answered"),
        runner(60, "heal", "dc-2"),
        reply(75, "b", "answered"),
        runner(80, "fault_end", "platform", fault="outage"),
        reply(85, "a", "answered"),
        reply(90, "b", "accepted"),
    ]
    assert list(recovery_times_ms(merge_events([events]))) == [40, 15, 10]
