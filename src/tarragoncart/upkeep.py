"""Decides which VMs of a maintenance wave go down next."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Iterable, Mapping

from attrs import define, field

from .charts import load_chart
from .graph import VmEntry, WaveRequest
from .loads import UpstreamLoad
from .registry import Registry

UPKEEP_CHART = load_chart("upkeep")

# Share of a pool's VMs that one wave may take out of service at once.
POOL_AWAY_RATIO = 1 / 3


@define(eq=False)
class VmUpkeep:
    """Maintenance of one VM.

    :param upstream_id: upstream that ran on it when it was selected.
    """

    vm_id: str
    state: str = UPKEEP_CHART.initial
    upstream_id: str = ""
    since_ms: float = 0.0


@define(eq=False)
class Wave:
    """A maintenance wave and how far it is."""

    request: WaveRequest
    deadline_ms: float
    vms: dict[str, VmUpkeep] = field(factory=dict)
    status_stored: str = ""

    @property
    def completed(self) -> bool:
        """Whether each VM's maintenance has at least begun."""
        return all(vm.state in ("down", "done") for vm in self.vms.values())

    def away_count(self, listed: Mapping[str, VmEntry], unsettled: Container[str] = ()) -> int:
        """Return how many VMs are down or may be.

        :param listed: the platform's list; an earlier leader may have sent some of them down.
        :param unsettled: VMs with a recent order of an earlier leader whose effect may still come.
        """
        return sum(
            vm.state in ("ordered", "down")
            or vm.vm_id in unsettled
            or (vm.vm_id in listed and listed[vm.vm_id].state == "upkeep")
            for vm in self.vms.values()
        )


Candidate = tuple[VmUpkeep, VmEntry]
Preference = Callable[[Candidate, UpstreamLoad | None], tuple[float, ...]]
PREFERENCES: Registry[Preference] = Registry("order of maintenance")


@PREFERENCES.register("listed")
def as_listed(candidate: Candidate, load: UpstreamLoad | None) -> tuple[float, ...]:
    """Baseline: as the operators have listed them."""
    return ()


@PREFERENCES.register("idle_first")
def idle_first(candidate: Candidate, load: UpstreamLoad | None) -> tuple[float, ...]:
    """Prefer VMs of pools without waiting tasks, then those with least to move or to wait for."""
    if load is None:
        return (0, 0, 0)
    return (load.pool_waiting_count, load.lasting_count, load.busy_millicores)


def next_vms(
    wave: Wave,
    listed: Mapping[str, VmEntry],
    loads: Mapping[str, UpstreamLoad],
    pool_sizes: Mapping[str, int],
    prefer: Preference = idle_first,
) -> Iterable[VmUpkeep]:
    """Yield the VMs to take out of service now.

    As many are vacated ahead as may be down at once; the bound on those down is checked again
    before each order.
    """
    under_way = Counter(
        listed[vm.vm_id].pool
        for vm in wave.vms.values()
        if vm.state in ("vacating", "ordered", "down") and vm.vm_id in listed
    )
    room = wave.request.concurrent_count + 1 - sum(under_way.values())
    candidates = [
        (vm, listed[vm.vm_id])
        for vm in wave.vms.values()
        if vm.state == "due" and vm.vm_id in listed and listed[vm.vm_id].state == "up"
    ]
    candidates.sort(key=lambda item: prefer(item, loads.get(item[1].upstream_id)))
    for vm, entry in candidates:
        if room <= 0:
            return
        bound = max(1, int(pool_sizes.get(entry.pool, 0) * POOL_AWAY_RATIO))
        if entry.upstream_id and under_way[entry.pool] >= bound:
            continue
        under_way[entry.pool] += 1
        room -= 1
        yield vm
