"""Order in which a maintenance wave stops VMs; registered policies."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from .model import PoolSpec
from .registry import Registry
from .replay import FleetState, FleetView, VmState, WaveState, budget_refusal, pool_refusal

Fleet = FleetState | FleetView
WAVES: Registry[Callable[[Fleet, WaveState], list[str]]] = Registry("wave policy")


def next_stops(policy: str, fleet: Fleet, wave: str) -> list[str]:
    """Return the VMs whose stop the driver should reserve now.

    A halted wave gets none; replay halts it after ``WAVE_FAILURE_LIMIT_COUNT`` failures and
    decides on each reservation again.

    :param policy: a name in :data:`WAVES`.
    :raises RegistryError: for an unknown policy.
    """
    state = fleet.waves.get(wave)
    if state is None or state.state != "running":
        return []
    return WAVES.get(policy)(fleet, state)


def _waiting(fleet: Fleet, wave: WaveState) -> list[VmState]:
    known = (fleet.vms.get(name) for name in wave.pending)
    return [vm for vm in known if vm is not None and vm.state == "in_service"]


def _under_way(fleet: Fleet, wave: WaveState) -> int:
    return sum(vm.wave == wave.wave and vm.state != "in_service" for vm in fleet.vms.values())


@WAVES.register("one_by_one")
def one_by_one(fleet: Fleet, wave: WaveState) -> list[str]:
    """Baseline: one VM of the whole wave at a time."""
    if _under_way(fleet, wave):
        return []
    return next(
        ([vm.spec.name] for vm in _waiting(fleet, wave) if not budget_refusal(fleet, vm.pool, 1)),
        [],
    )


@WAVES.register("budgeted")
def budgeted(fleet: Fleet, wave: WaveState) -> list[str]:
    """Stop as many VMs at once as each pool's budget allows, spread over racks.

    No stop is added that would leave a service without any VM if one rack failed meanwhile,
    unless the service has no other stop under way.
    """
    waiting: dict[str, list[VmState]] = {}
    for vm in _waiting(fleet, wave):
        waiting.setdefault(vm.pool, []).append(vm)
    members: dict[str, list[VmState]] = {pool: [] for pool in waiting}
    for vm in fleet.vms.values():
        if vm.pool in waiting:
            members[vm.pool].append(vm)
    specs = {spec.name: spec for spec in fleet.config.pools}
    return [
        name
        for pool in sorted(waiting.keys() & specs.keys())
        for name in _pool_stops(specs[pool], waiting[pool], members[pool])
    ]


def _pool_stops(spec: PoolSpec, waiting: list[VmState], members: list[VmState]) -> Iterator[str]:
    in_service = [vm for vm in members if vm.state == "in_service"]
    remaining = Counter(vm.spec.rack for vm in in_service)
    pending = Counter(vm.spec.rack for vm in waiting)
    stopped: Counter[str] = Counter()
    all_in_service = len(members) == len(in_service)
    while waiting and not pool_refusal(spec, members, sum(stopped.values()) + 1):
        # The rack with most pending VMs first, so that the last stops are not all in one rack.
        vm = min(
            waiting,
            key=lambda v: (stopped[v.spec.rack], -pending[v.spec.rack], v.spec.rack, v.spec.name),
        )
        rack = vm.spec.rack
        remaining[rack] -= 1
        total_count = sum(remaining.values())
        survivor_count = total_count - max(remaining.values(), default=0)
        if survivor_count < 1 and (stopped or not all_in_service):
            return
        waiting.remove(vm)
        pending[rack] -= 1
        stopped[rack] += 1
        yield vm.spec.name
