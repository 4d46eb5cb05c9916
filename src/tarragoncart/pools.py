"""Decides which VMs move to another pool as the pools' demand changes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

from attrs import frozen

from .registry import Registry

# A pool keeps at least this many VMs, for jobs to come and for tasks that must run on separate VMs.
POOL_MIN_VM_COUNT = 3
# A VM without runs returns to the spare pool after this time. A move costs about as much as one
# second of a VM in a pool, and moving the VM back the same; demand that has fallen seldom rises
# again within these two seconds.
IDLE_RETURN_MS = 500
# A pool that lacked capacity returns no VMs for this long, because bursts have gaps.
RETURN_COOLDOWN_MS = 500
# A pool may give busy VMs to another pool once it has not lacked capacity for this long.
DONOR_COOLDOWN_MS = 700
# Ratio of needed capacity to offered load: tasks do not fill a VM completely.
OFFERED_HEADROOM_RATIO = 1.2
# The backlog should be worked off within this time, in addition to new work; a move takes most of
# this time.
CLEAR_BACKLOG_MS = 2_500
# Share of a pool's cpu that must remain free after a VM has returned to the spare pool.
MIN_FREE_RATIO = 0.25


@frozen
class PoolVm:
    """The state of a VM that decides whether it can move.

    :param idle_ms: how long it has had no runs; 0 if it has some.
    :param long_running_count: number of long-running tasks on it.
    :param movable: whether it is up and part of no other move, maintenance or recent order.
    """

    vm_id: str
    pool: str
    cpu_millicores: int
    idle_ms: float
    long_running_count: int
    movable: bool


@frozen
class PoolDemand:
    """A pool's demand and capacity.

    :param spare: whether it is the spare pool, which supplies VMs to the others.
    :param short_millicores: cpu of ready tasks that can run only on an additional VM.
    :param backlog_millicore_ms: estimated work of the other ready tasks that found no upstream.
    :param free_millicores: cpu that is not allocated to runs.
    :param incoming_millicores: cpu of VMs that are about to arrive in the pool.
    :param offered_millicores: cpu needed to keep up with the jobs of the last seconds.
    :param long_running_millicores: cpu of the long-running tasks.
    :param short_age_ms: time since the pool last lacked capacity.
    """

    pool: str
    spare: bool
    short_millicores: int
    backlog_millicore_ms: int
    free_millicores: int
    total_millicores: int
    incoming_millicores: int
    vm_count: int
    offered_millicores: int
    long_running_millicores: int
    short_age_ms: float

    @property
    def missing_millicores(self) -> int:
        """Cpu that the pool lacks beyond incoming VMs; negative if it has more than it needs."""
        needed_millicores = (
            OFFERED_HEADROOM_RATIO * self.offered_millicores
            + self.long_running_millicores
            + self.backlog_millicore_ms / CLEAR_BACKLOG_MS
        )
        missing = max(needed_millicores - self.total_millicores, self.short_millicores)
        return int(missing) - self.incoming_millicores


@frozen
class MovePlan:
    """A decision to move a VM."""

    vm_id: str
    from_pool: str
    to_pool: str
    reason: str


Policy = Callable[[Sequence[PoolDemand], Sequence[PoolVm]], Iterator[MovePlan]]
POLICIES: Registry[Policy] = Registry("pool policy")


@POLICIES.register("static")
def static(pools: Sequence[PoolDemand], vms: Sequence[PoolVm]) -> Iterator[MovePlan]:
    """Baseline: no VM moves."""
    return iter(())


@POLICIES.register("follow_demand")
def follow_demand(pools: Sequence[PoolDemand], vms: Sequence[PoolVm]) -> Iterator[MovePlan]:
    """Give pools that lack capacity spare VMs, then idle VMs of others, then lightly used ones.

    This serves bursts that exceed one pool while others have little load. The lightly used VMs run
    no long-running tasks and belong to pools with excess capacity. Idle VMs that no pool needs
    return to the spare pool.
    """
    by_name = {pool.pool: pool for pool in pools}
    movable_vms = [vm for vm in vms if vm.movable and vm.pool in by_name]
    idle = list(_idle_vms(by_name, movable_vms))
    spare = [vm for vm in movable_vms if by_name[vm.pool].spare]
    donors = [*spare, *idle, *_excess_vms(by_name, movable_vms, idle)]
    taken: set[str] = set()
    for pool in sorted(pools, key=lambda p: p.missing_millicores, reverse=True):
        missing = pool.missing_millicores
        if pool.spare:
            continue
        for vm in donors:
            if missing <= 0:
                break
            if vm.vm_id in taken or vm.pool == pool.pool:
                continue
            taken.add(vm.vm_id)
            missing -= vm.cpu_millicores
            yield MovePlan(vm.vm_id, vm.pool, pool.pool, "tasks wait for capacity")
    spare_pool = next((pool.pool for pool in pools if pool.spare), None)
    if spare_pool is not None:
        for vm in idle:
            if vm.vm_id not in taken:
                yield MovePlan(vm.vm_id, vm.pool, spare_pool, "idle")


def _idle_vms(by_name: Mapping[str, PoolDemand], vms: Sequence[PoolVm]) -> Iterator[PoolVm]:
    """Yield VMs without runs whose pools keep enough VMs and free cpu without them."""
    free = {name: pool.free_millicores for name, pool in by_name.items()}
    counts = {name: pool.vm_count for name, pool in by_name.items()}
    for vm in vms:
        pool = by_name[vm.pool]
        if pool.spare or vm.idle_ms < IDLE_RETURN_MS or pool.short_age_ms < RETURN_COOLDOWN_MS:
            continue
        remaining_millicores = free[vm.pool] - vm.cpu_millicores
        min_free_millicores = math.ceil(MIN_FREE_RATIO * pool.total_millicores)
        if counts[vm.pool] <= POOL_MIN_VM_COUNT or remaining_millicores < min_free_millicores:
            continue
        free[vm.pool] = remaining_millicores
        counts[vm.pool] -= 1
        yield vm


def _excess_vms(
    by_name: Mapping[str, PoolDemand], vms: Sequence[PoolVm], idle: Sequence[PoolVm]
) -> Iterator[PoolVm]:
    """Yield VMs without long-running tasks, from pools with at least two VMs more than needed."""
    counts = Counter({name: pool.vm_count for name, pool in by_name.items()})
    counts.subtract(vm.pool for vm in idle)
    chosen = {vm.vm_id for vm in idle}
    for vm in sorted(vms, key=lambda vm: vm.idle_ms, reverse=True):
        pool = by_name[vm.pool]
        if vm.vm_id in chosen or pool.spare or vm.long_running_count:
            continue
        if (
            pool.short_age_ms < DONOR_COOLDOWN_MS
            or pool.missing_millicores > -2 * vm.cpu_millicores
        ):
            continue
        if counts[vm.pool] > POOL_MIN_VM_COUNT:
            counts[vm.pool] -= 1
            yield vm
