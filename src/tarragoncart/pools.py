"""Decides which VMs change their pool as demand turns."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

from attrs import frozen

from .registry import Registry

# A pool keeps at least this many VMs, for what may come and for its tasks that must stay apart.
POOL_MIN_COUNT = 3
# A VM without runs goes back to the spare pool after this time. A move costs about as much as a VM
# in a pool for one second, and its return as much again; demand that falls seldom returns sooner.
IDLE_RETURN_MS = 500
# A pool that was short sends none back for this long: bursts come with gaps.
SHORT_MEMORY_MS = 500
# A pool that was short so long ago may give VMs to one that is short now.
DONOR_CALM_MS = 700
# Tasks do not fill a VM without gaps.
OFFERED_FACTOR = 1.2
# Work that waits should be done within this time, beside the work that comes; a move takes most
# of it.
CLEAR_BACKLOG_MS = 2_500
# Free share of a pool's cpu that stays after a VM has gone back.
KEPT_FREE_RATIO = 0.25


@frozen
class PoolVm:
    """A VM as far as moves are concerned.

    :param idle_ms: how long it has had no runs; 0 if it has some.
    :param lasting_count: runs on it that last.
    :param movable: it is up and no other plan concerns it.
    """

    vm_id: str
    pool: str
    cpu_millicores: int
    idle_ms: float
    lasting_count: int
    movable: bool


@frozen
class PoolDemand:
    """A pool's demand.

    :param short_millicores: cpu of ready tasks that only another VM can take.
    :param backlog_millicore_ms: estimated work of the other ready tasks that found no upstream.
    :param free_millicores: cpu that no run has.
    :param incoming_millicores: cpu of VMs on their way here.
    :param offered_millicores: cpu needed to keep up with the jobs of the last seconds.
    :param lasting_millicores: cpu of the runs that last.
    :param short_age_ms: time since it was short last.
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
    lasting_millicores: int
    short_age_ms: float

    @property
    def missing_millicores(self) -> int:
        """Cpu that it lacks, as far as nothing is on its way; negative if it has too much."""
        needed_millicores = (
            OFFERED_FACTOR * self.offered_millicores
            + self.lasting_millicores
            + self.backlog_millicore_ms / CLEAR_BACKLOG_MS
        )
        missing = max(needed_millicores - self.total_millicores, self.short_millicores)
        return int(missing) - self.incoming_millicores


@frozen
class Relocation:
    """A decision to move a VM."""

    vm_id: str
    from_pool: str
    to_pool: str
    reason: str


Policy = Callable[[Sequence[PoolDemand], Sequence[PoolVm]], Iterator[Relocation]]
POLICIES: Registry[Policy] = Registry("pool policy")


@POLICIES.register("static")
def static(pools: Sequence[PoolDemand], vms: Sequence[PoolVm]) -> Iterator[Relocation]:
    """Baseline: no VM moves."""
    return iter(())


@POLICIES.register("follow_demand")
def follow_demand(pools: Sequence[PoolDemand], vms: Sequence[PoolVm]) -> Iterator[Relocation]:
    """Give short pools spare VMs, then idle ones of others, then some of those with short tasks.

    Answers bursts that exceed a pool while other pools have little to do. Idle VMs that no pool
    is short of go back to the spare pool.
    """
    by_name = {pool.pool: pool for pool in pools}
    known = [vm for vm in vms if vm.movable and vm.pool in by_name]
    idle = list(_idle_vms(by_name, known))
    spare = [vm for vm in known if by_name[vm.pool].spare]
    donors = [*spare, *idle, *_excess_vms(by_name, known, idle)]
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
            yield Relocation(vm.vm_id, vm.pool, pool.pool, "tasks wait for room")
    spare_pool = next((pool.pool for pool in pools if pool.spare), None)
    if spare_pool is not None:
        for vm in idle:
            if vm.vm_id not in taken:
                yield Relocation(vm.vm_id, vm.pool, spare_pool, "idle")


def _idle_vms(by_name: Mapping[str, PoolDemand], vms: Sequence[PoolVm]) -> Iterator[PoolVm]:
    """Yield VMs without runs whose pools keep enough without them."""
    free = {name: pool.free_millicores for name, pool in by_name.items()}
    counts = {name: pool.vm_count for name, pool in by_name.items()}
    for vm in vms:
        pool = by_name[vm.pool]
        if pool.spare or vm.idle_ms < IDLE_RETURN_MS or pool.short_age_ms < SHORT_MEMORY_MS:
            continue
        left_millicores = free[vm.pool] - vm.cpu_millicores
        kept_millicores = math.ceil(KEPT_FREE_RATIO * pool.total_millicores)
        if counts[vm.pool] <= POOL_MIN_COUNT or left_millicores < kept_millicores:
            continue
        free[vm.pool] = left_millicores
        counts[vm.pool] -= 1
        yield vm


def _excess_vms(
    by_name: Mapping[str, PoolDemand], vms: Sequence[PoolVm], idle: Sequence[PoolVm]
) -> Iterator[PoolVm]:
    """Yield VMs with nothing but short tasks, of pools that have at least two too many."""
    counts = Counter({name: pool.vm_count for name, pool in by_name.items()})
    counts.subtract(vm.pool for vm in idle)
    chosen = {vm.vm_id for vm in idle}
    for vm in sorted(vms, key=lambda vm: vm.idle_ms, reverse=True):
        pool = by_name[vm.pool]
        if vm.vm_id in chosen or pool.spare or vm.lasting_count:
            continue
        if pool.short_age_ms < DONOR_CALM_MS or pool.missing_millicores > -2 * vm.cpu_millicores:
            continue
        if counts[vm.pool] > POOL_MIN_COUNT:
            counts[vm.pool] -= 1
            yield vm
