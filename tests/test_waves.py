"""Policies that decide which VMs a maintenance wave stops next."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart import records, replay
from tarragoncart.model import FleetConfig, PoolSpec, VmSpec
from tarragoncart.records import Envelope
from tarragoncart.waves import WAVES, next_stops


@pytest.fixture
def two_rack_config():
    """A configuration of one pool of six VMs, four of them in one rack, with a budget of two."""
    return FleetConfig(
        pools=(PoolSpec("holds", 2, 2),),
        vms=tuple(
            VmSpec(f"vm-{n}", "holds", "dc-1", "rack-1" if n < 4 else "rack-2", "")
            for n in range(6)
        ),
    )


def start_wave(config):
    """Return a fleet with a running wave over all pools, and a function that applies records."""
    fleet = replay.FleetState()

    def submit(record):
        offset = fleet.offset + 1
        applied = replay.apply(fleet, offset, Envelope(f"b-{offset}", 0, "test", 0, record))
        return applied.entry.accepted

    assert submit(records.Publish(0, config))
    assert submit(records.StartWave("w", tuple(p.name for p in config.pools), "kernel"))
    return fleet, submit


def stop(submit, name):
    assert submit(records.ReserveStop(name, "w", "kernel"))
    assert submit(records.BeginStop(name))


@pytest.mark.parametrize(("policy", "count"), [("budgeted", 2), ("one_by_one", 1)])
def test_stops_use_the_budget(two_rack_config, policy, count):
    """Guards against waves that use less than the budget, and a baseline that stops several VMs."""
    fleet, submit = start_wave(two_rack_config)
    names = next_stops(policy, fleet, "w")
    assert len(names) == count
    for name in names:
        stop(submit, name)
    assert next_stops(policy, fleet, "w") == []


def test_every_rack_failure_leaves_a_survivor(two_rack_config):
    """Guards against a wave and a rack failure that together leave a service without VMs."""
    fleet, submit = start_wave(two_rack_config)
    rng = random.Random(1)
    while fleet.waves["w"].state == "running":
        for name in next_stops("budgeted", fleet, "w"):
            stop(submit, name)
        in_service = [vm for vm in fleet.vms.values() if vm.state == "in_service"]
        racks = Counter(vm.spec.rack for vm in in_service)
        assert len(in_service) - max(racks.values()) >= 1
        stopping = sorted(n for n, vm in fleet.vms.items() if vm.state == "stopping")
        submit(records.VmBack(rng.choice(stopping)))
    assert fleet.waves["w"].state == "finished"


def test_a_service_in_one_rack_is_still_maintained(config):
    """Guards against a wave that never stops a VM of a pool because all are in one rack."""
    fleet, _ = start_wave(config)
    assert [n for n in next_stops("budgeted", fleet, "w") if fleet.vms[n].pool == "holds"] == [
        "vm-0"
    ]


def test_a_halted_wave_gets_no_stops(two_rack_config):
    """Guards against a bad image being rolled out to further VMs after the failure limit."""
    fleet, submit = start_wave(two_rack_config)
    for name in next_stops("budgeted", fleet, "w"):
        stop(submit, name)
        submit(records.VmFailed(name, "did not come back"))
    assert fleet.waves["w"].state == "halted"
    for vm in ("vm-0", "vm-1", "vm-4"):
        submit(records.VmBack(vm))
    assert next_stops("budgeted", fleet, "w") == []


@settings(derandomize=True, deadline=None, max_examples=40)
@given(st.sampled_from(list(WAVES)), st.integers(0, 10_000))
def test_waves_finish_and_replay_accepts_every_stop(policy, seed):
    """Guards against stops that exceed a budget, and waves that never finish."""
    rng = random.Random(seed)
    config = FleetConfig(
        pools=tuple(PoolSpec(p, rng.randint(1, 3), rng.randint(0, 2)) for p in "ab"),
        vms=tuple(
            VmSpec(f"{pool}{n}", pool, "dc-1", f"rack-{rng.randint(0, 2)}", "")
            for pool in "ab"
            for n in range(rng.randint(3, 7))
        ),
    )
    fleet, submit = start_wave(config)
    for _ in range(100):
        if fleet.waves["w"].state != "running":
            break
        for name in next_stops(policy, fleet, "w"):
            stop(submit, name)
        stopping = sorted(n for n, vm in fleet.vms.items() if vm.state == "stopping")
        assert stopping
        submit(records.VmBack(rng.choice(stopping)))
    assert fleet.waves["w"].state == "finished"
