"""Selects the VMs of a maintenance wave that go down next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Iterable, Mapping

from attrs import define, field

from .charts import load_chart
from .graph import VmEntry, WaveRequest
from .loads import UpstreamLoad
from .registry import Registry

UPKEEP_CHART = load_chart("upkeep")

# Largest share of a pool's VMs that one wave may take out of service at once.
POOL_MAX_DOWN_RATIO = 1 / 3


@define(eq=False)
class VmUpkeep:
    """Progress of one VM's maintenance.

    :param upstream_id: upstream that ran on the VM when it was selected; empty if none did.
    :param upstream_ended: the scheduler has been told that this upstream has ended.
    :param since_ms: monotonic time of the latest step of the maintenance.
    """

    vm_id: str
    state: str = UPKEEP_CHART.initial
    upstream_id: str = ""
    upstream_ended: bool = False
    since_ms: float = 0.0

    @property
    def in_progress(self) -> bool:
        """Whether its VM is being vacated, has an order or is down."""
        return self.state in ("vacating", "ordered", "down")


@define(eq=False)
class Wave:
    """A maintenance wave and its progress."""

    request: WaveRequest
    deadline_ms: float
    vms: dict[str, VmUpkeep] = field(factory=dict)
    stored_status: str = ""

    @property
    def completed(self) -> bool:
        """Whether the maintenance of every VM has at least started."""
        return all(vm.state in ("down", "done") for vm in self.vms.values())

    def down_count(self, listed: Mapping[str, VmEntry], may_go_down: Container[str] = ()) -> int:
        """Return how many VMs are down or may be going down.

        :param listed: the platform's list of VMs, which shows those that an earlier leader has
            taken down.
        :param may_go_down: VMs with an order, perhaps of an earlier leader, which may still take
            effect.
        """
        return sum(
            vm.state in ("ordered", "down")
            or vm.vm_id in may_go_down
            or (vm.vm_id in listed and listed[vm.vm_id].state == "upkeep")
            for vm in self.vms.values()
        )


Candidate = tuple[VmUpkeep, VmEntry]
Preference = Callable[[Candidate, UpstreamLoad | None], tuple[float, ...]]
PREFERENCES: Registry[Preference] = Registry("order of maintenance")


@PREFERENCES.register("listed")
def as_listed(candidate: Candidate, load: UpstreamLoad | None) -> tuple[float, ...]:
    """Baseline: keep the order in which operators have listed the VMs."""
    return ()


@PREFERENCES.register("idle_first")
def idle_first(candidate: Candidate, load: UpstreamLoad | None) -> tuple[float, ...]:
    """Prefer VMs of pools with few waiting tasks, then few long-running tasks, then low load."""
    if load is None:
        return (0, 0, 0)
    return (load.pool_waiting_count, load.long_running_count, load.busy_millicores)


def next_vms(
    wave: Wave,
    listed: Mapping[str, VmEntry],
    loads: Mapping[str, UpstreamLoad],
    pool_sizes: Mapping[str, int],
    prefer: Preference = idle_first,
    unsettled: Container[str] = (),
) -> Iterable[VmUpkeep]:
    """Yield the VMs to vacate now.

    The VMs that are vacating, ordered or down exceed the wave's limit by at most one, so that the
    next VM is vacated in advance. The limit is checked again before each order.

    :param unsettled: VMs with an order that may still take effect; they come first.
    """
    in_progress = Counter(
        listed[vm.vm_id].pool for vm in wave.vms.values() if vm.in_progress and vm.vm_id in listed
    )
    remaining_count = wave.request.concurrent_count + 1 - sum(in_progress.values())
    candidates = [
        (vm, listed[vm.vm_id])
        for vm in wave.vms.values()
        if vm.state == "due" and vm.vm_id in listed and listed[vm.vm_id].state == "up"
    ]
    candidates.sort(
        key=lambda item: (
            item[0].vm_id not in unsettled,
            prefer(item, loads.get(item[1].upstream_id)),
        )
    )
    for vm, entry in candidates:
        if remaining_count <= 0:
            return
        pool_limit_count = max(1, int(pool_sizes.get(entry.pool, 0) * POOL_MAX_DOWN_RATIO))
        limited = entry.upstream_id and vm.vm_id not in unsettled
        if limited and in_progress[entry.pool] >= pool_limit_count:
            continue
        in_progress[entry.pool] += 1
        remaining_count -= 1
        yield vm
