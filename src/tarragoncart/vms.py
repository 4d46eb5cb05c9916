"""Lists the VMs and runs maintenance waves; its base class moves VMs between pools."""

from __future__ import annotations

import json
import logging
from collections import Counter
from typing import Any

from attrs import frozen

from . import defaults
from .decoding import check_str, decoder, get_items, parse_object
from .errors import DecodeError, FleetRefusedError, FleetUnknownError
from .graph import VmEntry
from .leadership import Fenced
from .mailbox import implements_action, new_reply, receives
from .orders import VmOrder
from .relocations import Relocations
from .upkeep import UPKEEP_CHART, VmUpkeep, Wave, next_vms
from .vmorders import (
    WAVE_KEY_PREFIX,
    Move,
    ReadmitUpstream,
    UpstreamEnded,
    UpstreamVacated,
    WaveRequested,
)
from .writer import Write

logger = logging.getLogger(__name__)


@frozen
class _VmsListed:
    vms: tuple[VmEntry, ...]
    requested_ms: float


@frozen
class _OrderEnded:
    wave_number: int
    vm_id: str
    event: str
    reason: str


@frozen
class _Tick:
    """Read the list of VMs if it is due."""


@decoder("progress of a wave")
def decode_begun(value: bytes) -> frozenset[str]:
    """Decode the IDs of the VMs whose maintenance has begun."""
    return frozenset(get_items(parse_object(value), "begun", check_str))


class Fleet(Relocations):
    """Runs maintenance waves and moves between pools in one epoch of the leadership."""

    async def on_open(self) -> None:
        """Start the status writer and the timer."""
        self._status_writer.start()
        self.subscribe(self._timer.every(defaults.FLEET_TICK_MS), _Tick())

    async def on_close(self) -> None:
        """Stop the status writer and close the connections to the platform."""
        await self._status_writer.stop()
        await self._calls.close()

    @receives(WaveRequested)
    def on_wave(self, message: WaveRequested) -> None:
        """Start a wave, or resume one that an earlier leader has started."""
        request = message.wave
        if request.number in self._waves:
            return
        wave = Wave(request, self._timer.now_ms() + request.within_s * 1_000)
        begun = self._restore_begun(f"{WAVE_KEY_PREFIX}{request.number}")
        for vm_id in request.vm_ids:
            state = "done" if vm_id in begun else UPKEEP_CHART.initial
            wave.vms[vm_id] = VmUpkeep(vm_id, state)
            if vm_id in begun and self._orders.unsettled.get(vm_id) == VmOrder(request.number):
                self._settle(vm_id, "maintenance has begun")
        self._waves[request.number] = wave
        self._store_status(wave)

    def _restore_begun(self, key: str) -> frozenset[str]:
        """Return the VMs of a wave whose maintenance had begun under earlier leaders.

        The platform answers a repeated order as done, so nothing is lost with a malformed record.
        """
        value = self._restored.get(key)
        try:
            return decode_begun(value) if value else frozenset()
        except DecodeError as error:
            logger.error("record skipped", extra={"key": key, "reason": str(error)})
            return frozenset()

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """Renew the stored orders, repeat the requests to vacate, and list the VMs.

        The list is read at each tick while a wave is in progress, otherwise only if it is at least
        ``FLEET_LIST_MS`` old.
        """
        renewal = self._orders.renewal_record(self._timer.now_ms())
        unsettled = self._orders.unsettled_record()
        records = tuple(record for record in (renewal, unsettled) if record is not None)
        if records:
            self._state_writer.tell(Write(records, new_reply()))
        self._repeat_vacating()
        all_finished = all(self._is_finished(wave) for wave in self._waves.values())
        age_ms = self._timer.now_ms() - self._listed_ms
        if self._listing or (all_finished and age_ms < defaults.FLEET_LIST_MS):
            return
        self._listing = True
        self.spawn(self._list())

    def _is_finished(self, wave: Wave) -> bool:
        return all(vm.state == "done" for vm in wave.vms.values())

    async def _list(self) -> None:
        requested_ms = self._timer.now_ms()
        try:
            vms = await self._calls.list_vms()
        except (FleetRefusedError, FleetUnknownError) as error:
            logger.warning("cannot list VMs", extra={"reason": str(error)})
            return
        finally:
            self._listing = False
        self.tell_self(_VmsListed(vms, requested_ms))

    @receives(_VmsListed)
    def on_listed(self, message: _VmsListed) -> None:
        """Advance all waves and moves according to the new list."""
        self._vms = {vm.vm_id: vm for vm in message.vms}
        self._listed_ms = message.requested_ms
        self._settle_listed()
        for wave in self._waves.values():
            for vm in wave.vms.values():
                self._follow_upstream(vm)
                self._check_vm(wave, vm)
            self._advance_wave(wave)
        self._advance_moves()
        self._resume_moves()
        self._plan_moves()

    def _settle_listed(self) -> None:
        """Settle the orders that the list shows as carried out, and those for VMs that are gone."""
        for vm_id, order in list(self._orders.unsettled.items()):
            if self._listed_ms <= self._orders.ordered_ms.get(vm_id, float("-inf")):
                continue
            entry = self._vms.get(vm_id)
            if entry is None:
                self._settle(vm_id, "not listed")
            elif order.wave is not None and entry.state == "upkeep":
                self._settle(vm_id, "in maintenance")
            elif order.wave is None and entry.pool == order.to_pool:
                self._settle(vm_id, "in its new pool")

    def _settle(self, vm_id: str, reason: str) -> None:
        if vm_id in self._orders.uncertain:
            logger.info(
                "unanswered VM order settled",
                extra={"vm": vm_id, "reason": reason, "epoch": self._epoch},
            )
        self._orders.settle(vm_id)

    def _check_vm(self, wave: Wave, vm: VmUpkeep) -> None:
        """Check whether a VM has left the list, went down or has returned from its maintenance.

        An order is also accepted if the VM had its maintenance before, perhaps by the order of an
        earlier leader; nothing has ended then. Only the list shows whether the VM went down.
        """
        entry = self._vms.get(vm.vm_id)
        if entry is None:
            if vm.state == "down":
                self._end_upstream(vm)
            if vm.state != "done":
                self._apply_event(wave, vm, "gone")
            return
        if vm.state != "down" or self._listed_ms <= vm.since_ms:
            return
        if entry.state == "up" and vm.upstream_id and entry.upstream_id == vm.upstream_id:
            logger.info(
                "VM had its maintenance before; its upstream stays",
                extra={
                    "wave": wave.request.number,
                    "vm": vm.vm_id,
                    "upstream": vm.upstream_id,
                    "epoch": self._epoch,
                },
            )
            self._apply_event(wave, vm, "unaffected")
            return
        self._end_upstream(vm)
        if entry.state == "up":
            self._apply_event(wave, vm, "returned")

    def _end_upstream(self, vm: VmUpkeep) -> None:
        if vm.upstream_id and not vm.upstream_ended:
            vm.upstream_ended = True
            self._scheduler.tell(UpstreamEnded(vm.upstream_id))

    def _may_go_down(self, wave: Wave, vm: VmUpkeep) -> bool:
        """Return whether a VM may get its order now, and the wave's limit allows it to be down.

        A VM with an unsettled order may go down anyway, so its own order does not wait for those of
        other VMs to be settled.
        """
        now_ms = self._timer.now_ms()
        if not self._orders.allows(vm.vm_id, now_ms):
            return False
        may_go_down = {key for key in wave.vms if not self._orders.allows(key, now_ms)}
        unsettled = self._unsettled_vms(wave)
        if vm.vm_id not in unsettled:
            may_go_down |= unsettled
        return wave.down_count(self._vms, may_go_down) < wave.request.concurrent_count

    def _unsettled_vms(self, wave: Wave) -> set[str]:
        """Return the VMs of a wave that an unsettled order for maintenance may take down."""
        order, orders = VmOrder(wave.request.number), self._orders.unsettled
        return {
            key for key, vm in wave.vms.items() if vm.state != "done" and orders.get(key) == order
        }

    def _advance_wave(self, wave: Wave) -> None:
        if not self._may_order():
            return
        sizes = Counter(vm.pool for vm in self._vms.values())
        now_ms = self._timer.now_ms()
        unsettled = self._orders.unsettled.keys() - self._moves.keys()
        in_other_waves = self._busy_vms(
            other for other in self._waves.values() if other is not wave
        )
        # The upstream of a VM that may go down at any time is vacated before the pause has ended.
        free = {
            key: vm
            for key, vm in self._vms.items()
            if key not in in_other_waves
            and (key in unsettled or (self._orders.allows(key, now_ms) and key not in self._moves))
        }
        selected = next_vms(wave, free, self._loads.upstreams, sizes, unsettled=unsettled)
        for vm in list(selected):
            entry = self._vms[vm.vm_id]
            if vm.vm_id in unsettled:
                logger.info(
                    "unanswered VM order is repeated",
                    extra={"wave": wave.request.number, "vm": vm.vm_id, "epoch": self._epoch},
                )
            vm.upstream_id, vm.upstream_ended = entry.upstream_id, False
            if entry.upstream_id:
                self._apply_event(wave, vm, "select")
            elif self._may_go_down(wave, vm):
                self._apply_event(wave, vm, "already_off")

    def _apply_event(self, wave: Wave, vm: VmUpkeep, event: str, **details: Any) -> None:
        self.step(UPKEEP_CHART, vm, event, wave=wave, **details)

    def _repeat_vacating(self) -> None:
        """Request again that upstreams are vacated.

        An upstream that was registered again is new to the scheduler and would get tasks.
        """
        for wave in self._waves.values():
            for vm in wave.vms.values():
                if vm.state in ("vacating", "ordered"):
                    self._request_vacating(vm)
        for move in self._moves.values():
            if move.state in ("vacating", "ordered"):
                self._request_vacating(move)

    @implements_action("vacate")
    def _vacate(self, vm: VmUpkeep | Move, wave: Wave | None = None) -> None:
        vm.since_ms = self._timer.now_ms()
        self._request_vacating(vm)
        if wave is None or isinstance(vm, Move):
            return
        logger.info(
            "VM selected for maintenance",
            extra={
                "wave": wave.request.number,
                "vm": vm.vm_id,
                "upstream": vm.upstream_id,
                "list_age_ms": round(self._timer.now_ms() - self._listed_ms),
                "left_ms": round(wave.deadline_ms - self._timer.now_ms()),
            },
        )

    @implements_action("readmit")
    def _readmit(self, vm: VmUpkeep | Move, wave: Wave | None = None) -> None:
        # The VM stays vacated, and is selected again, while an earlier order may be carried out.
        if vm.upstream_id and vm.vm_id not in self._orders.unsettled:
            self._scheduler.tell(ReadmitUpstream(vm.upstream_id))

    @receives(UpstreamVacated)
    def on_vacated(self, message: UpstreamVacated) -> None:
        """Order the maintenance or the move of a vacated VM.

        Maintenance is ordered only if the wave's limit allows one more VM to be down.
        """
        self._note_vacated(message.upstream_id)
        for wave in self._waves.values():
            for vm in wave.vms.values():
                if vm.upstream_id != message.upstream_id or vm.state != "vacating":
                    continue
                if self._may_go_down(wave, vm):
                    self._apply_event(wave, vm, "vacated")
                return
        for move in self._moves.values():
            if move.upstream_id != message.upstream_id or move.state != "vacating":
                continue
            if self._orders.allows(move.plan.vm_id, self._timer.now_ms()):
                self._move_event(move, "vacated")

    @implements_action("order")
    def _order(self, vm: VmUpkeep, wave: Wave) -> None:
        self._request_vacating(vm)
        self.spawn(self._send_maintenance_order(wave.request.number, vm, 0))

    @implements_action("retry_order")
    def _retry_order(self, vm: VmUpkeep, wave: Wave) -> None:
        self.spawn(self._send_maintenance_order(wave.request.number, vm, defaults.FLEET_RETRY_MS))

    async def _send_maintenance_order(
        self, wave_number: int, vm: VmUpkeep, delay_ms: float
    ) -> None:
        vm_id = vm.vm_id
        event, reason = await self._send_order(
            vm,
            VmOrder(wave_number),
            lambda: self._calls.maintain(vm_id, wave_number, self._epoch),
            delay_ms,
        )
        self.tell_self(_OrderEnded(wave_number, vm_id, event, reason))

    @receives(_OrderEnded)
    def on_order_ended(self, message: _OrderEnded) -> None:
        """Process the outcome of a maintenance order."""
        wave = self._waves[message.wave_number]
        vm = wave.vms[message.vm_id]
        logger.info(
            "maintenance ordered",
            extra={
                "wave": message.wave_number,
                "outcome": message.event,
                "reason": message.reason,
                **self._describe_order(vm),
            },
        )
        if message.reason == "fence":
            self._election.tell(Fenced(self._epoch))
            return
        if vm.state == "ordered":
            vm.since_ms = self._timer.now_ms()
            self._apply_event(wave, vm, message.event)

    @implements_action("store_progress")
    def _store_progress(self, vm: VmUpkeep, wave: Wave) -> None:
        begun = [other.vm_id for other in wave.vms.values() if other.state in ("down", "done")]
        value = json.dumps({"begun": begun}, separators=(",", ":")).encode()
        key = f"{WAVE_KEY_PREFIX}{wave.request.number}"
        self._state_writer.tell(Write(((key, value),), new_reply()))
        self._store_status(wave)

    def _store_status(self, wave: Wave) -> None:
        status = "completed" if wave.completed else "running"
        if wave.stored_status != status:
            wave.stored_status = status
            logger.info(
                "maintenance status changed",
                extra={"wave": wave.request.number, "status": status},
            )
            record = self._status_record(wave.request.number, wave.completed)
            self._status_writer.tell(Write((record,), new_reply()))
