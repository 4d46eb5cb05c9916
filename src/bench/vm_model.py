"""Independent model of VMs, pools and waves for checking recorded runs.

It applies the rules of section 4.4 of ``docs/design.md`` to the JSON form of the log's records. It
shares no code with ``tarragoncart.replay``, so that a fault there shows as a difference.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from attrs import Factory, define

# By ``docs/design.md``, a wave halts after 2 of its VMs have failed to come back.
WAVE_FAILURE_LIMIT_COUNT = 2


@define
class Vm:
    """A VM in state ``in_service``, ``reserved``, ``stopping``, ``draining`` or ``failed``.

    :param revision: number of state changes; a record based on another revision has no effect.
    """

    pool: str
    state: str = "in_service"
    wave: str = ""
    target_pool: str = ""
    revision: int = 0


@define
class Wave:
    """A maintenance wave in state ``running``, ``halted`` or ``over``.

    :param pending: VMs that have not been stopped and come back yet.
    """

    pending: set[str]
    state: str = "running"
    failure_count: int = 0

    def end_if_done(self) -> None:
        """End a running wave that has no pending VMs."""
        if not self.pending and self.state == "running":
            self.state = "over"


@define
class VmModel:
    """State of VMs, pools and waves after the applied records.

    :param budgets: ``(max_unavailable_count, min_available_count)`` of each pool.
    """

    version: int = 0
    budgets: dict[str, tuple[int, int]] = Factory(dict)
    vms: dict[str, Vm] = Factory(dict)
    waves: dict[str, Wave] = Factory(dict)

    def apply(self, kind: str, record: Mapping[str, Any]) -> None:
        """Apply one record; kinds without effect on VMs are ignored."""
        if kind == "publish":
            self._publish(record)
        elif kind == "wave_start":
            self._start_wave(record)
        elif kind == "wave_control":
            self._control_wave(record)
        elif record.get("vm") in self.vms:
            self._change_vm(kind, record, self.vms[record["vm"]])

    def members(self, pool: str) -> list[str]:
        """Return the VMs of a pool."""
        return [name for name, vm in self.vms.items() if vm.pool == pool]

    def within_budget(self, pool: str, out_count: int) -> bool:
        """Return whether the budget of a pool allows ``out_count`` VMs out of service."""
        max_unavailable_count, min_available_count = self.budgets.get(pool, (-1, 0))
        available_count = len(self.members(pool)) - out_count
        return out_count <= max_unavailable_count and available_count >= min_available_count

    def _out_count(self, pool: str) -> int:
        return sum(self.vms[name].state != "in_service" for name in self.members(pool))

    def _publish(self, record: Mapping[str, Any]) -> None:
        if record["base_version"] != self.version:
            return
        self.version += 1
        config = record["config"]
        self.budgets = {
            pool["name"]: (pool["max_unavailable_count"], pool["min_available_count"])
            for pool in config["pools"]
        }
        vms = {vm["name"]: vm["pool"] for vm in config["vms"]}
        self.vms = {name: self.vms.get(name) or Vm(pool) for name, pool in vms.items()}
        for name, vm in self.vms.items():
            if vm.pool not in self.budgets:
                vm.pool = vms[name]
        for wave in self.waves.values():
            wave.pending &= set(vms)
            wave.end_if_done()

    def _start_wave(self, record: Mapping[str, Any]) -> None:
        pending = {name for pool in record["pools"] for name in self.members(pool)}
        if pending and record["wave"] not in self.waves:
            self.waves[record["wave"]] = Wave(pending)

    def _control_wave(self, record: Mapping[str, Any]) -> None:
        wave = self.waves.get(record["wave"])
        if wave is None or wave.state == "over":
            return
        if record["event"] == "cancel":
            wave.state = "over"
        elif record["event"] == "resume" and wave.state == "halted":
            wave.state, wave.failure_count = "running", 0
            wave.end_if_done()

    def _change_vm(self, kind: str, record: Mapping[str, Any], vm: Vm) -> None:
        before = vm.state
        if record.get("revision", -1) not in (-1, vm.revision):
            return
        if kind == "reserve_stop" and before == "in_service":
            wave = self.waves.get(record["wave"])
            in_wave = wave and wave.state == "running" and record["vm"] in wave.pending
            if (in_wave or not record["wave"]) and self.within_budget(
                vm.pool, self._out_count(vm.pool) + 1
            ):
                vm.state, vm.wave = "reserved", record["wave"]
        elif kind == "begin_stop" and before == "reserved":
            vm.state = (
                "stopping"
                if self.within_budget(vm.pool, self._out_count(vm.pool))
                else "in_service"
            )
        elif kind == "cancel_stop" and before in ("reserved", "draining"):
            vm.state = "in_service"
        elif kind == "move" and before == "in_service" and vm.pool == record["from_pool"]:
            known = record["to_pool"] in self.budgets
            if known and self.within_budget(vm.pool, self._out_count(vm.pool) + 1):
                vm.state, vm.target_pool = "draining", record["to_pool"]
        elif kind == "drained" and before == "draining":
            vm.state = "in_service"
            vm.pool = vm.target_pool if vm.target_pool in self.budgets else vm.pool
        elif kind == "vm_failed" and before != "failed":
            vm.state = "failed"
            if before in ("reserved", "stopping"):
                self._leave_wave(record["vm"], vm, failed=True)
        elif kind == "vm_back" and before in ("stopping", "failed"):
            vm.state = "in_service"
            if before == "stopping":
                self._leave_wave(record["vm"], vm, failed=False)
        vm.revision += vm.state != before
        if vm.state == "in_service":
            vm.wave = vm.target_pool = ""

    def _leave_wave(self, name: str, vm: Vm, *, failed: bool) -> None:
        wave = self.waves.get(vm.wave)
        if wave is None or wave.state == "over":
            return
        wave.pending.discard(name)
        wave.failure_count += failed
        if wave.failure_count >= WAVE_FAILURE_LIMIT_COUNT:
            wave.state = "halted"
        wave.end_if_done()
