"""Policies that move VMs between pools and lend free slots to other pools."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from attrs import frozen

from .registry import Registry

# Period of the passes in simulations; the driver uses ``defaults.CAPACITY_PERIOD_MS``. Changing
# a VM's pool takes tens of seconds (drain and reboot), so a shorter period would only see the same
# state again.
SIMULATION_CAPACITY_PERIOD_MS = 5_000


@frozen
class VmLoad:
    """Load of a VM in service.

    :param busy_count: running jobs, of its own pool and of pools that borrow its slots.
    """

    name: str
    busy_count: int
    slot_count: int
    rack: str = ""


@frozen
class PoolLoad:
    """Load of a pool at a capacity pass.

    :param vms: VMs in service that answer and are not draining.
    :param unavailable_count: VMs with a reserved stop, and those stopped, failed or moving to
        another pool.
    :param incoming_count: VMs that are moving to this pool.
    :param demand_count: the pool's jobs, waiting or running in any pool, averaged since the last
        pass.
    :param waiting_count: the pool's jobs that are waiting now.
    """

    name: str
    vms: tuple[VmLoad, ...]
    max_unavailable_count: int
    min_available_count: int
    spare: bool = False
    unavailable_count: int = 0
    incoming_count: int = 0
    demand_count: float = 0.0
    waiting_count: int = 0

    @property
    def slot_count(self) -> int:
        """Slots of ``vms``."""
        return sum(vm.slot_count for vm in self.vms)

    @property
    def busy_count(self) -> int:
        """Slots in use."""
        return sum(vm.busy_count for vm in self.vms)

    @property
    def removable_vm_count(self) -> int:
        """VMs that may leave the pool now within its availability budget."""
        return min(
            self.max_unavailable_count - self.unavailable_count,
            len(self.vms) - self.min_available_count,
        )

    def least_busy(self) -> VmLoad:
        """Return the VM with the fewest running jobs, which should drain first."""
        return min(self.vms, key=lambda vm: (vm.busy_count, vm.name))


@frozen
class Move:
    """A VM to move to another pool, and the reason."""

    vm: str
    from_pool: str
    to_pool: str
    cause: str


Plan = tuple[list[Move], Any]
CAPACITY: Registry[Callable[[Sequence[PoolLoad], float, Any], Plan]] = Registry("capacity policy")


def plan(policy: str, pools: Sequence[PoolLoad], now_ms: float, history: Any = None) -> Plan:
    """Return the moves to request now and the policy's state for the next pass.

    :param policy: a name in :data:`CAPACITY`.
    :param history: state returned by the previous pass, None for the first pass.
    :raises RegistryError: for an unknown policy.
    """
    return CAPACITY.get(policy)(pools, now_ms, history)


@CAPACITY.register("static")
def static(pools: Sequence[PoolLoad], now_ms: float, history: Any) -> Plan:
    """Baseline: no moves."""
    return [], history


REACTIVE_HIGH_RATIO = 0.8
REACTIVE_LOW_RATIO = 0.2


@CAPACITY.register("reactive_threshold")
def reactive_threshold(pools: Sequence[PoolLoad], now_ms: float, history: Any) -> Plan:
    """Baseline: move VMs by thresholds on the utilisation of pools.

    A pool above 80% gets a VM from the spare pool or else from the least used pool; a pool below
    20% passes one to the spare pool.
    """
    moves: list[Move] = []
    spares = [pool for pool in pools if pool.spare]
    ratios = {p.name: p.demand_count / p.slot_count if p.slot_count else 1.0 for p in pools}
    # A wave could never stop a VM of a pool that has only its minimum number of VMs.
    donors = sorted(
        (
            p
            for p in pools
            if p.removable_vm_count > 0
            and len(p.vms) > p.min_available_count + 1
            and ratios[p.name] < REACTIVE_HIGH_RATIO
        ),
        key=lambda p: (not p.spare, ratios[p.name]),
    )
    for pool in pools:
        if ratios[pool.name] > REACTIVE_HIGH_RATIO and not pool.incoming_count:
            donor = next((d for d in donors if d.name != pool.name), None)
            if donor is not None:
                donors.remove(donor)
                moves.append(Move(donor.least_busy().name, donor.name, pool.name, "high use"))
        elif ratios[pool.name] < REACTIVE_LOW_RATIO and not pool.spare and pool in donors:
            spare = next(iter(spares), None)
            if spare is not None:
                donors.remove(pool)
                moves.append(Move(pool.least_busy().name, pool.name, spare.name, "low use"))
    return moves, history


# Passes of demand history: 10 min in simulations, 20 min at the driver's period.
HISTORY_COUNT = 120
# Passes before the first move, so that the quantiles cover several bursts.
WARM_UP_COUNT = 12
# Demand above this quantile is met by borrowed slots. A queue bursts for a few seconds at a time,
# about a fifth of the time in all, but a burst can affect up to three of eight passes.
DEMAND_QUANTILE = 0.5
GROW_AFTER_COUNT = 4
SHRINK_AFTER_COUNT = 2
# A move takes a VM out of service for about 45 s and the move back takes as long. A pool that has
# grown does not shrink for twice the sum of both.
SHRINK_COOLDOWN_MS = 180_000


@frozen
class PoolHistory:
    """What the ``forecast`` policy keeps about a pool between passes.

    :param demands: demand in slots at the last passes, oldest first.
    :param short_count: consecutive passes in which the pool was too small.
    :param surplus_count: consecutive passes in which the pool was too large.
    :param grown_at_ms: time of the last move to the pool.
    """

    demands: tuple[float, ...] = ()
    short_count: int = 0
    surplus_count: int = 0
    grown_at_ms: float = -math.inf


History = Mapping[str, PoolHistory]


@frozen
class _PoolSize:
    """Target and current number of VMs of a pool.

    :param current_count: VMs in service, out of service or moving to the pool.
    """

    pool: PoolLoad
    target_count: int
    current_count: int

    @property
    def surplus_count(self) -> int:
        return self.current_count - self.target_count


def quantile(values: Iterable[float], ratio: float) -> float:
    """Return the nearest-rank quantile of the values; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else 0.0


def _pool_size(pool: PoolLoad, history: PoolHistory) -> _PoolSize:
    current_count = len(pool.vms) + pool.unavailable_count + pool.incoming_count
    # A wave could never stop a VM of a pool that has only its minimum number of VMs.
    floor_count = pool.min_available_count + 1
    slots_per_vm = pool.vms[0].slot_count if pool.vms else 1
    target_count = math.ceil(quantile(history.demands, DEMAND_QUANTILE) / slots_per_vm)
    return _PoolSize(pool, max(floor_count, target_count), current_count)


@CAPACITY.register("forecast")
def forecast(pools: Sequence[PoolLoad], now_ms: float, history: History | None) -> Plan:
    """Size each pool for its usual demand and keep the other VMs in the spare pool.

    Bursts are met by borrowed slots, see :func:`spare_first`. A pool grows or shrinks only after
    its size has been wrong for several consecutive passes, and a pool that has grown does not
    shrink for ``SHRINK_COOLDOWN_MS``.
    """
    known = history or {}
    updated: dict[str, PoolHistory] = {}
    sizes: dict[str, _PoolSize] = {}
    for pool in pools:
        old = known.get(pool.name, PoolHistory())
        demands = (*old.demands[1 - HISTORY_COUNT :], pool.demand_count)
        size = _pool_size(pool, PoolHistory(demands))
        sizes[pool.name] = size
        updated[pool.name] = PoolHistory(
            demands,
            old.short_count + 1 if size.surplus_count < 0 else 0,
            old.surplus_count + 1 if size.surplus_count > 0 else 0,
            old.grown_at_ms,
        )
    moves = list(_forecast_moves(sizes, updated, now_ms))
    for move in moves:
        for name in (move.from_pool, move.to_pool):
            old = updated[name]
            grown_at_ms = now_ms if name == move.to_pool else old.grown_at_ms
            updated[name] = PoolHistory(old.demands, grown_at_ms=grown_at_ms)
    return moves, updated


def _forecast_moves(
    sizes: Mapping[str, _PoolSize], history: History, now_ms: float
) -> Iterable[Move]:
    removable_counts = {name: size.pool.removable_vm_count for name, size in sizes.items()}
    spares = [size for size in sizes.values() if size.pool.spare]
    selected: set[str] = set()
    for size in sizes.values():
        pool, past = size.pool, history[size.pool.name]
        if pool.spare or len(past.demands) < WARM_UP_COUNT:
            continue
        if past.short_count >= GROW_AFTER_COUNT and not pool.incoming_count:
            donor = next((s for s in spares if removable_counts[s.pool.name] > 0), None)
            if donor is not None:
                removable_counts[donor.pool.name] -= 1
                vm = _select_vm(donor.pool, selected)
                yield Move(vm, donor.pool.name, pool.name, "usual demand exceeds the pool")
        elif (
            spares
            and past.surplus_count >= SHRINK_AFTER_COUNT
            # VMs that a wave has stopped or that have failed use the same budget as a move.
            and not pool.unavailable_count
            and not pool.waiting_count
            and now_ms - past.grown_at_ms >= SHRINK_COOLDOWN_MS
        ):
            for _ in range(min(size.surplus_count, removable_counts[pool.name])):
                removable_counts[pool.name] -= 1
                yield Move(_select_vm(pool, selected), pool.name, spares[0].pool.name, "surplus")


def _select_vm(pool: PoolLoad, selected: set[str]) -> str:
    remaining = [vm for vm in pool.vms if vm.name not in selected]
    racks = Counter(vm.rack for vm in remaining)
    # Takes the VM from the rack with most VMs, so that the failure of a rack affects as few of
    # the pool's remaining VMs as possible.
    vm = min(remaining, key=lambda vm: (-racks[vm.rack], vm.busy_count, vm.name))
    selected.add(vm.name)
    return vm.name


# Lending of free slots


@frozen
class PoolSlots:
    """Slots and waiting jobs of a pool at the time of a lending decision."""

    name: str
    slot_count: int
    free_count: int
    waiting_count: int = 0
    spare: bool = False


BORROWING: Registry[Callable[[str, Sequence[PoolSlots], bool], list[str]]] = Registry(
    "borrowing policy"
)

# Share of a pool's slots that deferred jobs of other pools leave free for its own urgent jobs.
LENDING_RESERVE_RATIO = 0.25


@BORROWING.register("none")
def no_borrowing(pool: str, slots: Sequence[PoolSlots], urgent: bool) -> list[str]:
    """Baseline: a pool's jobs run in that pool only."""
    return []


@BORROWING.register("spare_first")
def spare_first(pool: str, slots: Sequence[PoolSlots], urgent: bool) -> list[str]:
    """Return the pools whose free slots may run a job of ``pool``, best first.

    Only pools without waiting jobs of their own lend slots. The VM stays in its pool.

    :param urgent: whether the pool has urgent jobs waiting; for deferred jobs the lending pool
        keeps ``LENDING_RESERVE_RATIO`` of its slots free.
    """
    lenders = [
        s
        for s in slots
        if s.name != pool
        and not s.waiting_count
        and s.free_count > (0 if urgent else LENDING_RESERVE_RATIO * s.slot_count)
    ]
    lenders.sort(key=lambda s: (not s.spare, -s.free_count / s.slot_count, s.name))
    return [s.name for s in lenders]
