"""Decides which VMs move to another pool as the pools' demand changes."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping, Sequence

from attrs import define, frozen

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
# Time until a VM that runs tasks works in another pool: the runs end, then the move takes 1.5 s.
ARRIVAL_MS = 2_000
# Work that cannot be on time any more should be worked off within this time. Callers gain little
# from it, so it gets only capacity that nothing else needs.
CLEAR_DEFERRED_MS = 10_000
# A pool gives up busy VMs only if its excess is at least this share of its cpu, and two VMs: a move
# ends the capacity of a VM for ARRIVAL_MS, which a smaller excess does not repay.
DONOR_EXCESS_RATIO = 0.1
# Largest share of all VMs that may be vacated at one time, because the estimate of a pool's need
# follows its demand with a delay.
VACATING_RATIO = 1 / 3


@frozen
class PoolVm:
    """The state of a VM that decides whether it can move.

    :param idle_ms: how long it has had no runs; 0 if it has some.
    :param long_running_count: number of long-running tasks on it.
    :param movable: whether it is up and part of no other move, maintenance or recent order.
    :param busy_millicores: cpu that is allocated to runs.
    :param vacating: whether its runs end for a move to another pool.
    """

    vm_id: str
    pool: str
    cpu_millicores: int
    idle_ms: float
    long_running_count: int
    movable: bool
    busy_millicores: int = 0
    vacating: bool = False


@frozen
class PoolDemand:
    """A pool's demand and capacity.

    :param spare: whether it is the spare pool, which supplies VMs to the others.
    :param short_millicores: cpu of ready tasks that can run only on an additional VM.
    :param backlog_millicore_ms: estimated work of the other ready tasks that found no upstream and
        can still be on time.
    :param free_millicores: cpu that is not allocated to runs.
    :param total_millicores: cpu of the VMs that stay in the pool.
    :param incoming_millicores: cpu of VMs that are about to arrive in the pool.
    :param offered_millicores: cpu needed to keep up with the jobs of the last seconds.
    :param long_running_millicores: cpu of the long-running tasks.
    :param short_age_ms: time since the pool last lacked capacity.
    :param deferred_millicore_ms: estimated work of the ready tasks that found no upstream and whose
        jobs are late or beyond the share of their account.
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
    deferred_millicore_ms: int = 0

    @property
    def missing_millicores(self) -> int:
        """Cpu that the pool lacks beyond incoming VMs; negative if it has more than it needs."""
        needed_millicores = self._work_millicores(
            self.backlog_millicore_ms + self.deferred_millicore_ms
        )
        missing = max(needed_millicores - self.total_millicores, self.short_millicores)
        return int(missing) - self.incoming_millicores

    @property
    def held_millicores(self) -> int:
        """Cpu of the pool's VMs with the incoming ones."""
        return self.total_millicores + self.incoming_millicores

    @property
    def needed_millicores(self) -> float:
        """Cpu that serves the offered load and works off the backlog in ``CLEAR_BACKLOG_MS``."""
        return self._needed_millicores(self.backlog_millicore_ms)

    @property
    def addable_millicores(self) -> float:
        """Cpu that the pool needs once a VM that is ordered now has arrived.

        Backlog that the pool works off by itself before then does not count.
        """
        spare_millicores = (
            self.held_millicores - self.offered_millicores - self.long_running_millicores
        )
        cleared_millicore_ms = max(0, spare_millicores) * ARRIVAL_MS
        return self._needed_millicores(max(0, self.backlog_millicore_ms - cleared_millicore_ms))

    def _work_millicores(self, backlog_millicore_ms: float) -> float:
        """Return the cpu for the offered load, long-running tasks and a backlog."""
        return (
            OFFERED_HEADROOM_RATIO * self.offered_millicores
            + self.long_running_millicores
            + backlog_millicore_ms / CLEAR_BACKLOG_MS
        )

    def _needed_millicores(self, backlog_millicore_ms: float) -> float:
        needed_millicores = self._work_millicores(backlog_millicore_ms)
        if self.short_millicores:
            return max(needed_millicores, self.total_millicores + self.short_millicores)
        return needed_millicores


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


@define
class _PoolShare:
    """A pool's share of the fleet.

    :param granted_millicores: cpu that the pool may hold.
    :param missing_millicores: cpu that it should get from any pool.
    :param deferrable_millicores: cpu that it should get in addition, from unused VMs only.
    """

    demand: PoolDemand
    granted_millicores: float
    missing_millicores: float
    deferrable_millicores: float

    @property
    def excess_millicores(self) -> float:
        """Cpu that the pool holds beyond its share."""
        return self.demand.held_millicores - self.granted_millicores

    @property
    def missing_ratio(self) -> float:
        """The missing cpu as a share of what the pool may hold."""
        return self.missing_millicores / max(1.0, self.granted_millicores)


@POLICIES.register("share_by_need")
def share_by_need(pools: Sequence[PoolDemand], vms: Sequence[PoolVm]) -> Iterator[MovePlan]:
    """Share the fleet among the pools in proportion to their need.

    This serves several pools whose demand rises by turns, also when their need exceeds the fleet.
    Need is the work of jobs that can be on time; other work gets capacity that is left. Pools below
    their share get spare VMs, then idle ones, then busy ones of pools above their share. Idle VMs
    that no pool needs return to the spare pool.
    """
    by_name = {pool.pool: pool for pool in pools}
    movable_vms = [vm for vm in vms if vm.movable and vm.pool in by_name]
    spare = [vm for vm in movable_vms if by_name[vm.pool].spare]
    idle = list(_idle_vms(by_name, movable_vms))
    shares = _pool_shares(pools, sum(vm.cpu_millicores for vm in spare))
    unused = deque([*spare, *idle])
    busy = deque(_busy_vms(shares, movable_vms, idle, _vacating_limit(vms)))
    for share in _by_missing_ratio(shares):
        vm = _next_vm(unused, share.demand.pool) or _next_vm(busy, share.demand.pool)
        if vm is None:
            share.missing_millicores = 0.0
            continue
        share.missing_millicores -= vm.cpu_millicores
        yield MovePlan(vm.vm_id, vm.pool, share.demand.pool, "tasks wait for capacity")
    for share in shares:
        while share.deferrable_millicores > 0:
            vm = _next_vm(unused, share.demand.pool)
            if vm is None:
                break
            share.deferrable_millicores -= vm.cpu_millicores
            yield MovePlan(vm.vm_id, vm.pool, share.demand.pool, "late tasks wait for capacity")
    spare_pool = next((pool.pool for pool in pools if pool.spare), None)
    if spare_pool is not None:
        for vm in unused:
            if vm.pool != spare_pool:
                yield MovePlan(vm.vm_id, vm.pool, spare_pool, "idle")


def _pool_shares(pools: Sequence[PoolDemand], spare_millicores: int) -> list[_PoolShare]:
    """Divide the fleet among the pools.

    If it does not suffice, long-running tasks keep what they use, and the rest is divided in
    proportion to the other need.
    """
    working = [pool for pool in pools if not pool.spare]
    fleet_millicores = spare_millicores + sum(pool.held_millicores for pool in working)
    reserved_millicores = sum(pool.long_running_millicores for pool in working)
    needed_millicores = sum(pool.needed_millicores for pool in working)
    left_millicores = max(0.0, fleet_millicores - needed_millicores)
    need_ratio = min(
        1.0,
        max(0.0, fleet_millicores - reserved_millicores)
        / max(1.0, needed_millicores - reserved_millicores),
    )
    deferred_millicores = sum(pool.deferred_millicore_ms for pool in working) / CLEAR_DEFERRED_MS
    deferred_ratio = min(1.0, left_millicores / max(1.0, deferred_millicores))
    shares = []
    for pool in working:
        reserved = pool.long_running_millicores
        granted = reserved + need_ratio * (pool.needed_millicores - reserved)
        missing = max(0.0, min(granted, pool.addable_millicores) - pool.held_millicores)
        deferred = deferred_ratio * pool.deferred_millicore_ms / CLEAR_DEFERRED_MS
        deferrable = max(0.0, granted + deferred - pool.held_millicores - missing)
        shares.append(_PoolShare(pool, granted + deferred, missing, min(deferrable, deferred)))
    return shares


def _vacating_limit(vms: Sequence[PoolVm]) -> int:
    """Return how many more VMs may be vacated now."""
    return max(1, int(VACATING_RATIO * len(vms))) - sum(vm.vacating for vm in vms)


def _by_missing_ratio(shares: Sequence[_PoolShare]) -> Iterator[_PoolShare]:
    """Yield the pool that lacks the largest part of its share, until no pool lacks capacity."""
    while True:
        share = max(shares, key=lambda share: share.missing_ratio, default=None)
        if share is None or share.missing_millicores <= 0:
            return
        yield share


def _next_vm(vms: deque[PoolVm], pool: str) -> PoolVm | None:
    """Remove and return the first VM that is not in the pool already."""
    for vm in vms:
        if vm.pool != pool:
            vms.remove(vm)
            return vm
    return None


def _busy_vms(
    shares: Sequence[_PoolShare], vms: Sequence[PoolVm], idle: Sequence[PoolVm], limit: int
) -> Iterator[PoolVm]:
    """Yield VMs without long-running tasks from pools above their share, least busy first."""
    excess = {share.demand.pool: share.excess_millicores for share in shares}
    counts = Counter({share.demand.pool: share.demand.vm_count for share in shares})
    for vm in idle:
        excess[vm.pool] -= vm.cpu_millicores
        counts[vm.pool] -= 1
    held = {share.demand.pool: share.demand.held_millicores for share in shares}
    chosen = {vm.vm_id for vm in idle}
    for vm in sorted(vms, key=lambda vm: (-vm.idle_ms, vm.busy_millicores)):
        if limit <= 0:
            return
        if vm.vm_id in chosen or vm.long_running_count or vm.pool not in excess:
            continue
        margin = max(DONOR_EXCESS_RATIO * held[vm.pool], 2 * vm.cpu_millicores)
        if excess[vm.pool] < margin or counts[vm.pool] <= POOL_MIN_VM_COUNT:
            continue
        excess[vm.pool] -= vm.cpu_millicores
        counts[vm.pool] -= 1
        limit -= 1
        yield vm


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
