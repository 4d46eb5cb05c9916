"""Handlers of records about VMs and maintenance waves, and checks of availability budgets."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from attrs import evolve

from . import defaults, records
from .fleetstate import (
    VM_CHART,
    WAVE_CHART,
    FleetState,
    FleetView,
    Ruling,
    VmState,
    WaveState,
    handles,
    rejected,
)
from .model import PoolSpec
from .records import Envelope
from .registry import Registry

VM_ACTIONS: Registry[Callable[[FleetState, VmState], None]] = Registry("VM action")
WAVE_ACTIONS: Registry[Callable[[WaveState], WaveState]] = Registry("wave action")


def unavailable_count(state: FleetState | FleetView, pool: str) -> int:
    """Return how many VMs of a pool are stopped, moving or failed; reserved stops do not count."""
    return sum(
        vm.pool == pool and vm.state not in ("in_service", "reserved") for vm in state.vms.values()
    )


def budget_refusal(state: FleetState | FleetView, pool: str, extra_count: int) -> str:
    """Return why ``extra_count`` more VMs of a pool may not leave service; empty if they may.

    VMs with a reserved stop count as out of service, so that two accepted records cannot both use
    the last unit of the budget.
    """
    spec = next((spec for spec in state.config.pools if spec.name == pool), None)
    if spec is None:
        return f"unknown pool {pool}"
    return pool_refusal(spec, [vm for vm in state.vms.values() if vm.pool == pool], extra_count)


def pool_refusal(spec: PoolSpec, vms: Sequence[VmState], extra_count: int) -> str:
    """Return the same as :func:`budget_refusal`, given a pool's configuration and VMs."""
    out_count = sum(vm.state != "in_service" for vm in vms) + extra_count
    if out_count > spec.max_unavailable_count:
        limit_count = spec.max_unavailable_count
        return f"budget of {spec.name}: {out_count} of at most {limit_count} unavailable"
    if len(vms) - out_count < spec.min_available_count:
        return f"budget of {spec.name}: fewer than {spec.min_available_count} available"
    return ""


def _has_other_revision(vm: VmState | None, record: Any) -> bool:
    return vm is not None and record.revision not in (records.ANY_REVISION, vm.revision)


def _step_vm(
    state: FleetState, record: Any, event: str, reason: str = "", **changes: Any
) -> Ruling:
    name = record.vm
    vm = state.vms.get(name)
    if vm is None:
        return rejected("unknown VM", name)
    if _has_other_revision(vm, record):
        return rejected(f"VM is {vm.state} in a later revision", name)
    if not VM_CHART.accepts(vm.state, event):
        return rejected(f"VM is {vm.state}", name)
    step = VM_CHART.step(vm.state, event)
    revision = vm.revision + (step.state != vm.state)
    state.vms[name] = evolve(vm, state=step.state, revision=revision, **changes)
    for action in step.actions:
        VM_ACTIONS.get(action)(state, vm)
    return Ruling((name, vm.pool), reason=reason or str(changes.get("cause", "")))


@handles(records.ReserveStop, "vms")
def _reserve_stop(state: FleetState, record: records.ReserveStop, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "in_service":
        return rejected("VM is not in service", record.vm)
    if record.wave:
        wave = state.waves.get(record.wave)
        if wave is None or wave.state != "running" or record.vm not in wave.pending:
            return rejected("the wave is not running or the VM is not in it", record.vm)
    refusal = budget_refusal(state, vm.pool, 1)
    if refusal:
        return rejected(refusal, record.vm, vm.pool)
    return _step_vm(state, record, "reserve_stop", wave=record.wave, cause=record.cause)


@handles(records.BeginStop, "vms")
def _begin_stop(state: FleetState, record: records.BeginStop, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "reserved":
        return rejected("VM has no reserved stop", record.vm)
    if _has_other_revision(vm, record):
        return rejected("VM is reserved in a later revision", record.vm)
    refusal = budget_refusal(state, vm.pool, 0)
    if refusal:
        _step_vm(state, record, "cancel_stop", cause=refusal, wave="")
        return Ruling((record.vm, vm.pool), reason=f"cancelled: {refusal}")
    return _step_vm(
        state, record, "begin_stop", record.cause, boot_id=record.boot_id, drain_asked=True
    )


@handles(records.CancelStop, "vms")
def _cancel_stop(state: FleetState, record: records.CancelStop, _: Envelope) -> Ruling:
    return _step_vm(state, record, "cancel_stop", cause=record.cause, wave="", target_pool="")


@handles(records.MoveVm, "vms")
def _move(state: FleetState, record: records.MoveVm, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "in_service" or vm.pool != record.from_pool:
        return rejected("VM is not in service in that pool", record.vm, record.from_pool)
    if record.to_pool not in {pool.name for pool in state.config.pools}:
        return rejected(f"unknown pool {record.to_pool}", record.vm)
    refusal = budget_refusal(state, vm.pool, 1)
    if refusal:
        return rejected(refusal, record.vm, vm.pool)
    return _step_vm(
        state,
        record,
        "move",
        target_pool=record.to_pool,
        cause=record.cause,
        drain_asked=True,
    )


@handles(records.VmDrained, "vms")
def _drained(state: FleetState, record: records.VmDrained, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "draining":
        return rejected("VM is not draining", record.vm)
    if vm.target_pool not in {pool.name for pool in state.config.pools}:
        cause = f"cancelled: unknown pool {vm.target_pool}"
        return _step_vm(state, record, "cancel_stop", cause=cause, target_pool="")
    reason = f"joins {vm.target_pool}: {record.cause}" if record.cause else ""
    return _step_vm(state, record, "drained", reason)


@handles(records.VmFailed, "vms", "waves")
def _vm_failed(state: FleetState, record: records.VmFailed, _: Envelope) -> Ruling:
    return _step_vm(state, record, "vm_failed", cause=record.cause, target_pool="")


@handles(records.VmBack, "vms", "waves")
def _vm_back(state: FleetState, record: records.VmBack, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is not None and vm.state == "in_service" and not vm.drain_asked:
        return rejected("VM is in_service", record.vm)
    return _step_vm(
        state,
        record,
        "vm_back",
        record.cause,
        cause="",
        wave="",
        boot_id="",
        drain_asked=False,
    )


@handles(records.StartWave, "waves")
def _start_wave(state: FleetState, record: records.StartWave, _: Envelope) -> Ruling:
    if record.wave in state.waves:
        return rejected("wave exists", record.wave)
    pending = tuple(sorted(name for name, vm in state.vms.items() if vm.pool in record.pools))
    if not pending:
        return rejected("no VM is in these pools", record.wave)
    state.waves[record.wave] = WaveState(record.wave, pending)
    return Ruling((record.wave, *record.pools), reason=record.cause)


@handles(records.ControlWave, "waves")
def _control_wave(state: FleetState, record: records.ControlWave, _: Envelope) -> Ruling:
    wave = state.waves.get(record.wave)
    if wave is None or record.event not in ("resume", "cancel"):
        return rejected("unknown wave or event", record.wave)
    if not WAVE_CHART.accepts(wave.state, record.event):
        return rejected(f"wave is {wave.state}", record.wave)
    state.waves[record.wave] = finish_wave_if_done(_step_wave(wave, record.event))
    return Ruling((record.wave,), reason=record.event)


def _step_wave(wave: WaveState, event: str) -> WaveState:
    step = WAVE_CHART.step(wave.state, event)
    wave = evolve(wave, state=step.state)
    for action in step.actions:
        wave = WAVE_ACTIONS.get(action)(wave)
    return wave


@WAVE_ACTIONS.register("count_failure")
def _count_failure(wave: WaveState) -> WaveState:
    return evolve(wave, failure_count=wave.failure_count + 1)


@WAVE_ACTIONS.register("reset_failures")
def _reset_failures(wave: WaveState) -> WaveState:
    return evolve(wave, failure_count=0)


@VM_ACTIONS.register("change_pool")
def _change_pool(state: FleetState, vm: VmState) -> None:
    moved = state.vms[vm.spec.name]
    state.vms[vm.spec.name] = evolve(moved, pool=vm.target_pool, target_pool="")


@VM_ACTIONS.register("count_wave_failure")
def _count_wave_failure(state: FleetState, vm: VmState) -> None:
    wave = state.waves.get(vm.wave)
    if wave is None or WAVE_CHART.is_final(wave.state):
        return
    wave = evolve(_step_wave(wave, "vm_failed"), failed=(*wave.failed, vm.spec.name))
    limit_met = wave.failure_count >= defaults.WAVE_FAILURE_LIMIT_COUNT
    if limit_met and WAVE_CHART.accepts(wave.state, "failure_limit"):
        wave = _step_wave(wave, "failure_limit")
    state.waves[vm.wave] = _remove_pending(wave, vm)


@VM_ACTIONS.register("count_wave_done")
def _count_wave_done(state: FleetState, vm: VmState) -> None:
    wave = state.waves.get(vm.wave)
    if wave is not None and not WAVE_CHART.is_final(wave.state):
        state.waves[vm.wave] = _remove_pending(_step_wave(wave, "vm_done"), vm)


def _remove_pending(wave: WaveState, vm: VmState) -> WaveState:
    """Remove a VM from the pending ones; finish the wave if none is left."""
    pending = tuple(name for name in wave.pending if name != vm.spec.name)
    return finish_wave_if_done(evolve(wave, pending=pending))


def finish_wave_if_done(wave: WaveState) -> WaveState:
    """Finish a running wave that has no pending VMs; return any other wave unchanged."""
    if wave.pending or not WAVE_CHART.accepts(wave.state, "all_done"):
        return wave
    return _step_wave(wave, "all_done")


@handles(records.SnapshotPart)
def _snapshot_part(_: FleetState, record: records.SnapshotPart, __: Envelope) -> Ruling:
    # The journal assembles snapshots while it bootstraps; replay itself does not use them.
    return Ruling((record.snapshot_id,))
