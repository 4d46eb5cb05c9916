"""Policies that decide which VMs a maintenance wave stops next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from .model import PoolSpec
from .registry import Registry
from .replay import FleetState, FleetView, VmState, WaveState, budget_refusal, pool_refusal

Fleet = FleetState | FleetView
WAVES: Registry[Callable[[Fleet, WaveState], list[str]]] = Registry("wave policy")


def next_stops(policy: str, fleet: Fleet, wave: str) -> list[str]:
    """Return the VMs for which the driver should reserve a stop now.

    A wave that is not running gets none; replay halts a wave after ``WAVE_FAILURE_LIMIT_COUNT``
    failures. Replay checks each reservation again.

    :param policy: a name in :data:`WAVES`.
    :raises RegistryError: for an unknown policy.
    """
    state = fleet.waves.get(wave)
    if state is None or state.state != "running":
        return []
    return WAVES.get(policy)(fleet, state)


def _candidates(fleet: Fleet, wave: WaveState) -> list[VmState]:
    known = (fleet.vms.get(name) for name in wave.pending)
    return [vm for vm in known if vm is not None and vm.state == "in_service"]


def _in_progress_count(fleet: Fleet, wave: WaveState) -> int:
    return sum(vm.wave == wave.wave and vm.state != "in_service" for vm in fleet.vms.values())


@WAVES.register("one_by_one")
def one_by_one(fleet: Fleet, wave: WaveState) -> list[str]:
    """Baseline: stop one VM of the whole wave at a time."""
    if _in_progress_count(fleet, wave):
        return []
    return next(
        (
            [vm.spec.name]
            for vm in _candidates(fleet, wave)
            if not budget_refusal(fleet, vm.pool, 1)
        ),
        [],
    )


@WAVES.register("budgeted")
def budgeted(fleet: Fleet, wave: WaveState) -> list[str]:
    """Stop as many VMs at once as each pool's budget allows, spread over racks.

    A stop after which the failure of one rack would leave a pool without any VM in service is
    added only if all other VMs of the pool are in service.
    """
    candidates: dict[str, list[VmState]] = {}
    for vm in _candidates(fleet, wave):
        candidates.setdefault(vm.pool, []).append(vm)
    members: dict[str, list[VmState]] = {pool: [] for pool in candidates}
    for vm in fleet.vms.values():
        if vm.pool in candidates:
            members[vm.pool].append(vm)
    specs = {spec.name: spec for spec in fleet.config.pools}
    return [
        name
        for pool in sorted(candidates.keys() & specs.keys())
        for name in _select_stops(specs[pool], candidates[pool], members[pool])
    ]


def _select_stops(
    spec: PoolSpec, candidates: list[VmState], members: list[VmState]
) -> Iterator[str]:
    in_service = [vm for vm in members if vm.state == "in_service"]
    remaining = Counter(vm.spec.rack for vm in in_service)
    pending = Counter(vm.spec.rack for vm in candidates)
    stopped: Counter[str] = Counter()
    all_in_service = len(members) == len(in_service)
    while candidates and not pool_refusal(spec, members, sum(stopped.values()) + 1):
        # Prefers the rack with most pending VMs, so that the last stops are not all in one rack.
        vm = min(
            candidates,
            key=lambda v: (stopped[v.spec.rack], -pending[v.spec.rack], v.spec.rack, v.spec.name),
        )
        rack = vm.spec.rack
        remaining[rack] -= 1
        total_count = sum(remaining.values())
        survivor_count = total_count - max(remaining.values(), default=0)
        if survivor_count < 1 and (stopped or not all_in_service):
            return
        candidates.remove(vm)
        pending[rack] -= 1
        stopped[rack] += 1
        yield vm.spec.name
