"""Capacity policies: moves of VMs between pools, and lending of slots."""

from __future__ import annotations

import random

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart import capacity
from tarragoncart.capacity import BORROWING, CAPACITY, PoolLoad, PoolSlots, VmLoad, plan


@pytest.fixture
def pools():
    """Two idle services and a spare pool of six VMs each, two VMs in a rack."""
    return [
        PoolLoad(
            name,
            tuple(VmLoad(f"{name}-{n}", 0, 8, f"rack-{n // 2}") for n in range(6)),
            max_unavailable_count=2,
            min_available_count=2,
            spare=name == "spare",
        )
        for name in ("holds", "events", "spare")
    ]


def run_passes(pools, demands, policy="forecast", history=None, start=0):
    """Run one pass per item of ``demands`` for the first pool and return the moves."""
    moves = []
    for number, demand in enumerate(demands, start):
        pools = [evolve(pools[0], demand_count=demand), *pools[1:]]
        now_ms = number * capacity.SIMULATION_CAPACITY_PERIOD_MS
        planned, history = plan(policy, pools, now_ms, history)
        moves += planned
    return moves, history


def test_short_bursts_cause_no_growth(pools):
    """Guards against moves that complete only after the burst that caused them."""
    demands = [65.0, 20.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0] * 10
    moves, _ = run_passes(pools, demands)
    assert not [move for move in moves if move.to_pool == "holds"]


def test_lasting_demand_brings_a_vm(pools):
    """Guards against a service that runs on borrowed slots permanently."""
    moves, _ = run_passes(pools, [60.0] * 40)
    assert {move.from_pool for move in moves if move.to_pool == "holds"} == {"spare"}


def test_no_move_before_demand_is_known(pools):
    """Guards against pools that shrink each time a driver starts without demand history."""
    moves, _ = run_passes(pools, [0.0] * (capacity.WARM_UP_COUNT - 1))
    assert not moves


def test_a_pool_that_grew_keeps_the_vm(pools):
    """Guards against a VM that moves back and forth between two pools."""
    pools = [evolve(p, vms=p.vms * (1 + p.spare)) for p in pools]
    moves, history = run_passes(pools, [60.0] * 30)
    assert moves
    pass_count = int(capacity.SHRINK_COOLDOWN_MS / capacity.SIMULATION_CAPACITY_PERIOD_MS) // 2
    later, _ = run_passes(pools, [0.0] * pass_count, history=history, start=30)
    assert not [move for move in later if move.from_pool == "holds"]


def test_shrinking_leaves_the_racks_even(pools):
    """Guards against moves that leave the remaining VMs of a pool in one rack."""
    moves, _ = run_passes(pools, [0.0] * (capacity.WARM_UP_COUNT + 1))
    racks = [int(move.vm[-1]) // 2 for move in moves if move.from_pool == "events"]
    assert len(racks) == len(set(racks)) == 2


def test_no_move_while_vms_are_out(pools):
    """Guards against moves that compete with a wave or with failures for the budget."""
    pools = [evolve(pool, unavailable_count=1) for pool in pools]
    assert not run_passes(pools, [0.0] * 40)[0]


def test_static_pools_never_move(pools):
    """Guards against a baseline for comparisons that moves VMs."""
    assert not run_passes(pools, [0.0, 90.0] * 20, "static")[0]


def test_spare_slots_are_lent_first():
    """Guards against services lending slots that the spare pool has free."""
    lend = BORROWING.get("spare_first")
    slots = [
        PoolSlots("events", 24, 20),
        PoolSlots("busy", 24, 20, waiting_count=1),
        PoolSlots("spare", 48, 2, spare=True),
        PoolSlots("returns", 24, 5),
    ]
    assert lend("holds", slots, True) == ["spare", "events", "returns"]
    assert lend("holds", slots, False) == ["events"]
    assert BORROWING.get("none")("holds", slots, True) == []


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.sampled_from(list(CAPACITY)), st.integers(0, 10_000))
def test_moves_stay_within_the_budgets(policy, seed):
    """Guards against plans that take a pool below its availability budget."""
    rng = random.Random(seed)
    sizes = {"a": rng.randint(0, 7), "b": rng.randint(0, 7), "s": rng.randint(0, 7)}
    history = None
    for number in range(40):
        pools = [
            PoolLoad(
                name,
                tuple(
                    VmLoad(f"{name}-{n}", rng.randint(0, 8), 8, f"r{n % 3}") for n in range(size)
                ),
                rng.randint(1, 2),
                rng.randint(0, 3),
                name == "s",
                unavailable_count=rng.randint(0, 1) * (rng.random() < 0.2),
                demand_count=rng.uniform(0, 80),
            )
            for name, size in sizes.items()
        ]
        moves, history = plan(policy, pools, number * 5_000.0, history)
        assert len({move.vm for move in moves}) == len(moves)
        for pool in pools:
            leaving = [move for move in moves if move.from_pool == pool.name]
            assert len(leaving) <= max(0, pool.removable_vm_count)
            assert {move.vm for move in leaving} <= {vm.name for vm in pool.vms}
