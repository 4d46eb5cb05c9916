"""Orders for VMs: the messages that prepare them at the scheduler, and the calls that send them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Protocol

from attrs import define, frozen

from . import defaults
from .errors import FleetRefusedError, FleetUnknownError
from .graph import PoolRule, VmEntry, WaveRequest
from .loads import Loads
from .mailbox import Actor, new_reply, receives, resolve
from .orders import ORDERS_KEY, UNSETTLED_KEY, RecentOrders, VmOrder
from .pools import MovePlan
from .runorders import ExtendPermission
from .timer import Timer
from .upkeep import VmUpkeep, Wave
from .writer import FENCED, STORED, Write

logger = logging.getLogger(__name__)

# Prefixes of the records that :class:`VmOrders` keeps in the topic of the leader's state.
FLEET_KEY_PREFIX = "fleet/"
WAVE_KEY_PREFIX = f"{FLEET_KEY_PREFIX}wave/"


class FleetCalls(Protocol):
    """The methods of the platform's client for VMs."""

    async def list_vms(self) -> tuple[VmEntry, ...]: ...

    async def move(self, vm_id: str, pool: str, epoch: int) -> None: ...

    async def maintain(self, vm_id: str, wave: int, epoch: int) -> None: ...

    async def close(self) -> None: ...


@frozen
class WaveRequested:
    """Operators have requested a maintenance wave."""

    wave: WaveRequest


@frozen
class VacateUpstream:
    """Free an upstream of tasks: its VM is about to go down or to move. Sent repeatedly.

    :param grace_period_ms: how long tasks without saved progress may continue before they may be
        ended; None for no limit.
    :param order_pending: an order for its VM has been sent or is about to be, so that it may go
        down at any moment.
    """

    upstream_id: str
    grace_period_ms: float | None
    order_pending: bool = False


@frozen
class ReadmitUpstream:
    """The VM stays in service: its upstream may run tasks again."""

    upstream_id: str


@frozen
class UpstreamVacated:
    """The upstream is vacated: any tasks that still run there may be ended now.

    Repeated while this holds, as the disruption budgets of the tasks' steps may forbid it later.
    """

    upstream_id: str


@frozen
class UpstreamEnded:
    """The VM is down or moves: everything that ran at its upstream has ended."""

    upstream_id: str


@define(eq=False)
class Move:
    """Progress of a VM's move to another pool."""

    plan: MovePlan
    state: str
    upstream_id: str
    since_ms: float

    @property
    def vm_id(self) -> str:
        """ID of the VM that moves."""
        return self.plan.vm_id


class VmOrders(Actor):
    """Sends orders for VMs in one epoch of the leadership.

    :param scheduler: actor that vacates upstreams on request.
    :param restored: records of waves and orders that an earlier leader has stored.
    :param status_record: encodes the status of a wave for operators.
    :param handover_pause_ms: minimum time between the orders of two leaders for one VM.
    :param pool_rules: returns the configuration of the pools by name.
    """

    def __init__(
        self,
        epoch: int,
        calls: FleetCalls,
        scheduler: Actor,
        election: Actor,
        state_writer: Actor,
        status_writer: Actor,
        status_record: Callable[[int, bool], tuple[str, bytes]],
        restored: Mapping[str, bytes],
        timer: Timer,
        handover_pause_ms: float,
        pool_rules: Callable[[], Mapping[str, PoolRule]],
    ) -> None:
        super().__init__("fleet")
        self._epoch = epoch
        self._calls = calls
        self._scheduler = scheduler
        self._election = election
        self._state_writer = state_writer
        self._status_writer = status_writer
        self._status_record = status_record
        self._restored = restored
        self._timer = timer
        self._orders = RecentOrders.restore(
            handover_pause_ms,
            restored.get(ORDERS_KEY),
            timer.now_ms(),
            restored.get(UNSETTLED_KEY),
        )
        self._waves: dict[int, Wave] = {}
        self._vms: dict[str, VmEntry] = {}
        self._pool_rules = pool_rules
        self._loads = Loads({}, {}, {}, {})
        self._moves: dict[str, Move] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._idle_since_ms: dict[str, float] = {}
        self._last_short_ms: dict[str, float] = {}
        self._listed_ms = 0.0
        self._pools_logged_ms = 0.0
        self._order_slots = asyncio.Semaphore(defaults.VM_ORDER_LIMIT_COUNT)
        self._permitted_until_ms = 0.0
        # By upstream, when it was last known to be vacated.
        self._vacated_ms: dict[str, float] = {}
        self._listing = False

    @receives(ExtendPermission)
    def on_extend_permission(self, message: ExtendPermission) -> None:
        """Store the time until which orders may be sent."""
        self._permitted_until_ms = message.valid_until_ms

    def _may_order(self) -> bool:
        return self._timer.now_ms() < self._permitted_until_ms

    def _note_vacated(self, upstream_id: str) -> None:
        self._vacated_ms[upstream_id] = self._timer.now_ms()
        self._vacated_ms = {key: at for key, at in self._vacated_ms.items() if self._is_recent(at)}

    def _is_vacated(self, upstream_id: str) -> bool:
        return self._is_recent(self._vacated_ms.get(upstream_id, float("-inf")))

    def _is_recent(self, vacated_ms: float) -> bool:
        return self._timer.now_ms() - vacated_ms <= defaults.VACATED_MAX_AGE_MS

    def _describe_order(self, vm: VmUpkeep | Move) -> dict[str, Any]:
        """Return what the log says of an order when its outcome is known, and of its VM by then."""
        now_ms = self._timer.now_ms()
        entry = self._vms.get(vm.vm_id)
        vacated_ms = self._vacated_ms.get(vm.upstream_id)
        return {
            "vm": vm.vm_id,
            "upstream": vm.upstream_id,
            "listed_upstream": entry.upstream_id if entry else None,
            "list_age_ms": round(now_ms - self._listed_ms),
            "vacated_age_ms": None if vacated_ms is None else round(now_ms - vacated_ms),
            "after_ms": round(now_ms - vm.since_ms),
            "epoch": self._epoch,
        }

    def _request_vacating(self, vm: VmUpkeep | Move) -> None:
        """Request that a VM's upstream is vacated, if there is one."""
        if not vm.upstream_id:
            return
        # Tasks are not ended for a move, however long they take; maintenance has a deadline.
        moves = isinstance(vm, Move)
        grace_period_ms = None if moves else defaults.VACATE_GRACE_PERIOD_MS
        pending = vm.state == "ordered" or vm.vm_id in self._orders.unsettled
        self._scheduler.tell(VacateUpstream(vm.upstream_id, grace_period_ms, pending))

    def _follow_upstream(self, vm: VmUpkeep | Move) -> None:
        """Vacate the upstream that runs on a VM now, if another one ran there before."""
        entry = self._vms.get(vm.vm_id)
        if entry is None or entry.state != "up" or vm.state not in ("vacating", "ordered"):
            return
        if entry.upstream_id in ("", vm.upstream_id):
            return
        logger.info(
            "another upstream runs on a VM that is being vacated",
            extra={
                "vm": vm.vm_id,
                "upstream": entry.upstream_id,
                "earlier_upstream": vm.upstream_id,
                "state": vm.state,
                "epoch": self._epoch,
            },
        )
        if vm.upstream_id:
            self._scheduler.tell(ReadmitUpstream(vm.upstream_id))
        vm.upstream_id = entry.upstream_id
        self._request_vacating(vm)

    async def _send_order(
        self,
        vm: VmUpkeep | Move,
        order: VmOrder,
        call: Callable[[], Awaitable[None]],
        delay_ms: float,
    ) -> tuple[str, str]:
        """Send an order; return the state chart's event for its outcome, and the reason."""
        if delay_ms:
            await self._sleep(delay_ms)
        # The age of an order and the permission for it must not become old in a queue.
        async with self._order_slots:
            return await self._send_order_now(vm, order, call)

    async def _send_order_now(
        self, vm: VmUpkeep | Move, order: VmOrder, call: Callable[[], Awaitable[None]]
    ) -> tuple[str, str]:
        vm_id = vm.vm_id
        if vm.state != "ordered":
            return "unanswered", "carried out before"
        stored = new_reply()
        ages = self._orders.add(vm_id, self._timer.now_ms(), order)
        unsettled = self._orders.unsettled_record()
        records = (ages,) if unsettled is None else (ages, unsettled)
        self._state_writer.tell(Write(records, stored))
        outcome = await stored
        if outcome != STORED:
            return "unanswered", "fence" if outcome == FENCED else "it cannot be stored"
        if vm.state != "ordered":
            if self._orders.unsettled.get(vm_id) == order:
                self._orders.refuse(vm_id)
            return "unanswered", "carried out before"
        if self._timer.now_ms() >= self._permitted_until_ms:
            # A successor may already send orders, and both together could exceed a wave's limit.
            return "unanswered", "leadership is not confirmed"
        if self._timer.now_ms() - self._listed_ms > defaults.VM_LIST_MAX_AGE_MS:
            return "unanswered", "the list of VMs is too old"
        if vm.upstream_id and not self._is_vacated(vm.upstream_id):
            return "unanswered", "upstream is not confirmed as vacated"
        try:
            await call()
        except FleetRefusedError as error:
            self._orders.refuse(vm_id)
            # The platform answers 429 above its rate limit and 503 while it is unavailable.
            event = "unanswered" if error.reason.startswith("status") else "refused"
            return event, error.reason
        except FleetUnknownError as error:
            self._orders.uncertain.add(vm_id)
            return "unanswered", str(error)
        self._orders.settle(vm_id)
        return "accepted", ""

    async def _sleep(self, delay_ms: float) -> None:
        done = new_reply()
        self._timer.after(delay_ms).subscribe(lambda _: resolve(done, None))
        await done
