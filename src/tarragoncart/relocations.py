"""Moves VMs between pools as the demand of the pools changes."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Iterator

from attrs import frozen

from . import defaults
from .charts import load_chart
from .evacuations import EvacuationsChanged
from .graph import VmEntry
from .leadership import Fenced
from .loads import Loads
from .mailbox import implements_action, receives
from .orders import VmOrder
from .pools import POLICIES, MovePlan, PoolDemand, PoolVm
from .upkeep import Wave
from .vmorders import Move, UpstreamEnded, VmOrders

logger = logging.getLogger(__name__)

RELOCATION_CHART = load_chart("relocation")


@frozen
class _MoveEnded:
    vm_id: str
    event: str
    reason: str


class Relocations(VmOrders):
    """Plans and orders moves from the loads that the scheduler reports."""

    @receives(Loads)
    def on_loads(self, message: Loads) -> None:
        """Store the loads, and plan moves at once if a pool lacks capacity."""
        self._loads = message
        now_ms = self._timer.now_ms()
        short = message.short_millicores.keys() | message.backlog_millicore_ms.keys()
        self._last_short_ms.update(dict.fromkeys(short, now_ms))
        self._log_pools(now_ms)
        if (short or message.deferred_millicore_ms) and self._vms:
            self._plan_moves()
        idle = {load.upstream_id for load in message.upstreams.values() if not load.run_count}
        self._idle_since_ms = {key: self._idle_since_ms.get(key, now_ms) for key in idle}

    @receives(EvacuationsChanged)
    def on_evacuations_changed(self, message: EvacuationsChanged) -> None:
        """Take evacuated data centres out of the pools' capacity, and replace it at once."""
        self._evacuated = message.data_centres
        if self._vms:
            self._give_up_evacuated_moves()
            self._plan_moves()

    def _is_evacuated(self, vm: VmEntry) -> bool:
        return vm.data_centre in self._evacuated

    def _give_up_evacuated_moves(self) -> None:
        """Keep VMs in evacuated data centres in their pools, unless an order may move them yet."""
        for vm_id, move in list(self._moves.items()):
            entry = self._vms.get(vm_id)
            evacuated = entry is not None and self._is_evacuated(entry)
            if evacuated and move.state == "vacating" and vm_id not in self._orders.unsettled:
                self._move_event(move, "give_up")
                del self._moves[vm_id]

    def _log_pools(self, now_ms: float) -> None:
        """Log once a second what each pool needs, has and awaits."""
        if now_ms - self._pools_logged_ms < defaults.LEADER_SUMMARY_MS:
            return
        self._pools_logged_ms = now_ms
        moves = Counter(move.plan.from_pool for move in self._moves.values())
        movable = Counter(vm.pool for vm in self._pool_vms() if vm.movable)
        for demand in self._demands():
            logger.info(
                "pool summary",
                extra={
                    "pool": demand.pool,
                    "vm_count": demand.vm_count,
                    "total_millicores": demand.total_millicores,
                    "free_millicores": demand.free_millicores,
                    "incoming_millicores": demand.incoming_millicores,
                    "offered_millicores": demand.offered_millicores,
                    "backlog_millicore_ms": demand.backlog_millicore_ms,
                    "deferred_millicore_ms": demand.deferred_millicore_ms,
                    "short_millicores": demand.short_millicores,
                    "long_running_millicores": demand.long_running_millicores,
                    "needed_millicores": round(demand.needed_millicores),
                    "leaving_vms": moves[demand.pool],
                    "movable_vms": movable[demand.pool],
                    "list_age_ms": round(now_ms - self._listed_ms),
                },
            )

    def _advance_moves(self) -> None:
        now_ms = self._timer.now_ms()
        for vm_id, move in list(self._moves.items()):
            entry = self._vms.get(vm_id)
            if move.state == "ordered" and entry is not None and entry.pool == move.plan.to_pool:
                # An order without an answer was carried out.
                self._note_moved(move)
                continue
            self._follow_upstream(move)
            late = now_ms - move.since_ms > defaults.MOVE_TIMEOUT_MS
            if move.state == "vacating" and late and vm_id not in self._orders.unsettled:
                self._move_event(move, "give_up")
            elif entry is None and move.state in ("ordered", "moving"):
                self._move_event(move, "gone")
            elif move.state == "moving" and self._listed_ms > move.since_ms:
                assert entry is not None
                if entry.state == "up":
                    self._move_event(move, "returned")
            if move.state == "done":
                del self._moves[vm_id]

    def _resume_moves(self) -> None:
        """Repeat the moves without a known outcome, as the platform may still carry them out.

        The order for a wave that includes the VM fences the move as well.
        """
        if not self._may_order():
            return
        now_ms = self._timer.now_ms()
        in_waves = self._pending_wave_vms()
        for vm_id, order in self._orders.unsettled.items():
            entry = self._vms.get(vm_id)
            if order.wave is not None or vm_id in self._moves or vm_id in in_waves:
                continue
            if entry is None or entry.state != "up":
                continue
            if not entry.upstream_id and not self._orders.allows(vm_id, now_ms):
                continue
            plan = MovePlan(vm_id, entry.pool, order.to_pool, "unanswered order")
            move = Move(plan, "due", entry.upstream_id, now_ms)
            self._moves[vm_id] = move
            logger.info(
                "unanswered VM order is repeated",
                extra={"vm": vm_id, "to_pool": order.to_pool, "epoch": self._epoch},
            )
            self._move_event(move, "vacate" if entry.upstream_id else "already_off")

    def _pending_wave_vms(self) -> set[str]:
        """Return the VMs that a wave has not finished with."""
        return {
            vm.vm_id
            for wave in self._waves.values()
            for vm in wave.vms.values()
            if vm.state != "done"
        }

    @staticmethod
    def _busy_vms(waves: Iterable[Wave]) -> set[str]:
        """Return the VMs that a wave vacates or orders, or that are down for it."""
        return {vm.vm_id for wave in waves for vm in wave.vms.values() if vm.in_progress}

    def _plan_moves(self) -> None:
        if not self._may_order():
            return
        policy = POLICIES.get(defaults.POOL_POLICY)
        demands, vms = list(self._demands()), list(self._pool_vms())
        for plan in policy(demands, vms):
            entry = self._vms[plan.vm_id]
            move = Move(plan, "due", entry.upstream_id, self._timer.now_ms())
            self._moves[plan.vm_id] = move
            logger.info(
                "VM moves",
                extra={
                    "vm": plan.vm_id,
                    "from_pool": plan.from_pool,
                    "to_pool": plan.to_pool,
                    "reason": plan.reason,
                    "short_millicores": self._loads.short_millicores.get(plan.to_pool, 0),
                    "backlog_millicore_ms": self._loads.backlog_millicore_ms.get(plan.to_pool, 0),
                    "offered_millicores": self._loads.offered_millicores.get(plan.to_pool, 0),
                    "list_age_ms": round(self._timer.now_ms() - self._listed_ms),
                },
            )
            self._move_event(move, "vacate" if entry.upstream_id else "already_off")

    def _demands(self) -> Iterator[PoolDemand]:
        now_ms = self._timer.now_ms()
        free: Counter[str] = Counter()
        total: Counter[str] = Counter()
        long_running: Counter[str] = Counter()
        evacuated = {vm.upstream_id for vm in self._vms.values() if self._is_evacuated(vm)}
        # A registration can outlast its VM's move, and a VM that leaves serves its pool no more.
        staying = {vm.upstream_id for vm in self._vms.values() if vm.vm_id not in self._moves}
        for load in self._loads.upstreams.values():
            if load.upstream_id in evacuated:
                # Its long-running tasks need capacity elsewhere. It is not free for others until
                # they have moved, or its VMs would return to the spare pool and be fetched again.
                long_running[load.pool] += load.long_running_millicores
                free[load.pool] -= load.long_running_millicores
                continue
            if load.upstream_id not in staying:
                continue
            total[load.pool] += load.capacity_millicores
            free[load.pool] += load.capacity_millicores - load.busy_millicores
            long_running[load.pool] += load.long_running_millicores
        counts = Counter(vm.pool for vm in self._vms.values())
        counts.subtract(
            move.plan.from_pool
            for vm_id, move in self._moves.items()
            if vm_id in self._vms
            and self._vms[vm_id].pool == move.plan.from_pool
            and not self._is_evacuated(self._vms[vm_id])
        )
        counts.subtract(vm.pool for vm in self._vms.values() if self._is_evacuated(vm))
        incoming: Counter[str] = Counter()
        for vm_id, move in self._moves.items():
            if vm_id not in self._vms or self._is_evacuated(self._vms[vm_id]):
                continue
            if move.state != "done":
                incoming[move.plan.to_pool] += self._vms[vm_id].capacity.cpu_millicores
        for vm in self._vms.values():
            # Includes VMs that an earlier leader has moved and VMs that return from maintenance.
            arriving = vm.state != "down" and vm.upstream_id not in self._loads.upstreams
            arriving = arriving and not self._is_evacuated(vm)
            if arriving and vm.vm_id not in self._moves and not self._is_spare_pool(vm.pool):
                incoming[vm.pool] += vm.capacity.cpu_millicores
        # A spare pool without any VMs left appears only in the configuration.
        for pool in counts.keys() | self._pool_rules().keys():
            yield PoolDemand(
                pool,
                self._is_spare_pool(pool),
                self._loads.short_millicores.get(pool, 0),
                self._loads.backlog_millicore_ms.get(pool, 0),
                free[pool],
                total[pool],
                incoming[pool],
                counts[pool],
                self._loads.offered_millicores.get(pool, 0),
                long_running[pool],
                now_ms - self._last_short_ms.get(pool, 0.0),
                self._loads.deferred_millicore_ms.get(pool, 0),
            )

    def _is_spare_pool(self, pool: str) -> bool:
        rule = self._pool_rules().get(pool)
        return rule is not None and rule.spare

    def _pool_vms(self) -> Iterator[PoolVm]:
        now_ms = self._timer.now_ms()
        pending = self._pending_wave_vms() & self._orders.unsettled.keys()
        in_waves = self._busy_vms(self._waves.values())
        for vm in self._vms.values():
            if self._is_evacuated(vm):
                continue
            load = self._loads.upstreams.get(vm.upstream_id)
            idle_since_ms = self._idle_since_ms.get(vm.upstream_id)
            yield PoolVm(
                vm.vm_id,
                vm.pool,
                vm.capacity.cpu_millicores,
                0.0 if idle_since_ms is None else now_ms - idle_since_ms,
                load.long_running_count if load else 0,
                vm.state == "up"
                and vm.vm_id not in in_waves
                and vm.vm_id not in self._moves
                and vm.vm_id not in pending
                and self._orders.allows(vm.vm_id, now_ms),
                load.busy_millicores if load else 0,
                vm.vm_id in self._moves and self._moves[vm.vm_id].state == "vacating",
            )

    def _move_event(self, move: Move, event: str) -> None:
        self.step(RELOCATION_CHART, move, event)

    @implements_action("order_move")
    def _order_move(self, move: Move) -> None:
        self._request_vacating(move)
        self.spawn(self._send_move_order(move, 0))

    @implements_action("retry_move")
    def _retry_move(self, move: Move) -> None:
        self.spawn(self._send_move_order(move, defaults.FLEET_RETRY_MS))

    async def _send_move_order(self, move: Move, delay_ms: float) -> None:
        plan = move.plan
        event, reason = await self._send_order(
            move,
            VmOrder(to_pool=plan.to_pool),
            lambda: self._calls.move(plan.vm_id, plan.to_pool, self._epoch),
            delay_ms,
        )
        self.tell_self(_MoveEnded(plan.vm_id, event, reason))

    @receives(_MoveEnded)
    def on_move_ended(self, message: _MoveEnded) -> None:
        """Process the outcome of a move order."""
        move = self._moves.get(message.vm_id)
        if move is None or move.state != "ordered":
            return
        logger.info(
            "move ordered",
            extra={
                "to_pool": move.plan.to_pool,
                "outcome": message.event,
                "reason": message.reason,
                **self._describe_order(move),
            },
        )
        if message.reason == "fence":
            self._election.tell(Fenced(self._epoch))
            return
        if message.event == "accepted":
            self._note_moved(move)
            return
        move.since_ms = self._timer.now_ms()
        self._move_event(move, message.event)

    def _note_moved(self, move: Move) -> None:
        """Note that an order was carried out, which has ended everything on the VM."""
        move.since_ms = self._timer.now_ms()
        if move.upstream_id:
            self._scheduler.tell(UpstreamEnded(move.upstream_id))
        self._move_event(move, "accepted")
