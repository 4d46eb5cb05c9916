"""Owns the VMs: lists them, drives maintenance waves and moves between pools."""

from __future__ import annotations

import json
import logging
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Mapping
from typing import Any, Protocol

from attrs import define, frozen

from . import defaults
from .charts import load_chart
from .election import Fenced
from .errors import FleetRefusedError, FleetUnknownError
from .graph import PoolRule, VmEntry, WaveRequest
from .link import Permit
from .loads import Loads
from .mailbox import Actor, carries_out, new_reply, receives, resolve
from .orders import ORDERS_KEY, RecentOrders
from .pools import POLICIES, PoolDemand, PoolVm, Relocation
from .timer import Timer
from .upkeep import UPKEEP_CHART, VmUpkeep, Wave, next_vms
from .writer import FENCED, Write

logger = logging.getLogger(__name__)

# Keys of what the owner of the VMs keeps in the topic of the leader's state.
FLEET_KEY_PREFIX = "fleet/"
WAVE_KEY_PREFIX = f"{FLEET_KEY_PREFIX}wave/"
RELOCATION_CHART = load_chart("relocation")


class FleetCalls(Protocol):
    """The calls for VMs."""

    async def list_vms(self) -> tuple[VmEntry, ...]: ...

    async def move(self, vm_id: str, pool: str, epoch: int) -> None: ...

    async def maintain(self, vm_id: str, wave: int, epoch: int) -> None: ...

    async def close(self) -> None: ...


@frozen
class WaveAsked:
    """Operators ask for maintenance."""

    wave: WaveRequest


@frozen
class Vacate:
    """Empty an upstream: its VM is about to go down.

    :param patience_ms: how long tasks without saved progress are waited for before they may be
        ended; None for as long as they take.
    """

    upstream_id: str
    patience_ms: float | None


@frozen
class Readmit:
    """The VM stays: its upstream may run tasks again."""

    upstream_id: str


@frozen
class Vacated:
    """What still runs at the upstream may be ended."""

    upstream_id: str


@frozen
class Ended:
    """The VM is down: everything that ran at its upstream has ended."""

    upstream_id: str


@frozen
class _Listed:
    vms: tuple[VmEntry, ...]
    asked_ms: float


@frozen
class _MoveEnded:
    vm_id: str
    event: str
    reason: str


@define(eq=False)
class _Move:
    plan: Relocation
    state: str
    upstream_id: str
    since_ms: float


@frozen
class _OrderEnded:
    wave: int
    vm_id: str
    event: str
    reason: str


@frozen
class _Tick:
    """Time to see what can be done next."""


class Fleet(Actor):
    """Gives the orders for VMs in one epoch.

    :param scheduler: empties upstreams on demand.
    :param restored: records of waves and orders that an earlier leader has stored.
    :param status_record: encodes the status that operators read.
    :param quiet_ms: pause before orders for a VM that an earlier leader has given orders for.
    :param pool_rules: returns what the configuration says of the pools.
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
        quiet_ms: float,
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
        self._orders = RecentOrders.restore(quiet_ms, restored.get(ORDERS_KEY), timer.now_ms())
        self._waves: dict[int, Wave] = {}
        self._vms: dict[str, VmEntry] = {}
        self._pool_rules = pool_rules
        self._loads = Loads({}, {}, {}, {})
        self._moves: dict[str, _Move] = {}
        self._idle_since_ms: dict[str, float] = {}
        self._short_ms: dict[str, float] = {}
        self._listed_ms = 0.0
        self._permitted_ms = 0.0
        self._listing = False

    async def opened(self) -> None:
        """Start the clock and the writer of the status."""
        self._status_writer.start()
        self.subscribe(self._timer.every(defaults.FLEET_TICK_MS), _Tick())

    async def closed(self) -> None:
        """Close the connections."""
        await self._status_writer.stop()
        await self._calls.close()

    @receives(Permit)
    def on_permit(self, message: Permit) -> None:
        """Keep until when orders may be given."""
        self._permitted_ms = message.valid_until_ms

    @receives(Loads)
    def on_loads(self, message: Loads) -> None:
        """Keep what runs where."""
        self._loads = message
        now_ms = self._timer.now_ms()
        short = message.short_millicores.keys() | message.backlog_millicore_ms.keys()
        self._short_ms.update(dict.fromkeys(short, now_ms))
        if short and self._vms:
            self._plan_moves()
        idle = {load.upstream_id for load in message.upstreams.values() if not load.run_count}
        self._idle_since_ms = {key: self._idle_since_ms.get(key, now_ms) for key in idle}

    @receives(WaveAsked)
    def on_wave(self, message: WaveAsked) -> None:
        """Take on a wave, or what an earlier leader has left of it."""
        request = message.wave
        if request.number in self._waves:
            return
        wave = Wave(request, self._timer.now_ms() + request.within_s * 1_000)
        begun: set[str] = set()
        value = self._restored.get(f"{WAVE_KEY_PREFIX}{request.number}")
        if value:
            begun = set(json.loads(value)["begun"])
        for vm_id in request.vm_ids:
            state = "done" if vm_id in begun else UPKEEP_CHART.initial
            wave.vms[vm_id] = VmUpkeep(vm_id, state)
        self._waves[request.number] = wave
        self._store_status(wave)

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """List the VMs: often while some wave is under way, otherwise from time to time."""
        renewal = self._orders.renewal(self._timer.now_ms())
        if renewal is not None:
            self._state_writer.tell(Write((renewal,), new_reply()))
        settled = all(self._settled(wave) for wave in self._waves.values())
        age_ms = self._timer.now_ms() - self._listed_ms
        if self._listing or (settled and age_ms < defaults.FLEET_LIST_MS):
            return
        self._listing = True
        self.spawn(self._list())

    def _settled(self, wave: Wave) -> bool:
        return all(vm.state == "done" for vm in wave.vms.values())

    async def _list(self) -> None:
        asked_ms = self._timer.now_ms()
        try:
            vms = await self._calls.list_vms()
        except (FleetRefusedError, FleetUnknownError, ValueError) as error:
            logger.warning("VMs cannot be listed", extra={"reason": str(error)})
            return
        finally:
            self._listing = False
        self.tell(_Listed(vms, asked_ms))

    @receives(_Listed)
    def on_listed(self, message: _Listed) -> None:
        """Take the next steps of all waves."""
        self._vms = {vm.vm_id: vm for vm in message.vms}
        self._listed_ms = message.asked_ms
        for wave in self._waves.values():
            for vm in wave.vms.values():
                self._compare(wave, vm)
            self._advance(wave)
        self._follow_moves()
        self._plan_moves()

    def _compare(self, wave: Wave, vm: VmUpkeep) -> None:
        """See whether a VM has left for good or has come back."""
        entry = self._vms.get(vm.vm_id)
        if entry is None:
            if vm.state != "done":
                self._event(wave, vm, "gone")
            return
        if vm.state != "down" or self._listed_ms <= vm.since_ms:
            return
        pool_is_off = not entry.upstream_id and not vm.upstream_id
        if entry.state == "up" and (pool_is_off or entry.upstream_id != vm.upstream_id):
            self._event(wave, vm, "returned")

    def _may_order(self) -> bool:
        return self._timer.now_ms() < self._permitted_ms

    def _may_go_down(self, wave: Wave) -> bool:
        """Tell whether one more VM of the wave may be down."""
        now_ms = self._timer.now_ms()
        unsettled = {key for key in wave.vms if not self._orders.allows(key, now_ms)}
        return wave.away_count(self._vms, unsettled) < wave.request.concurrent_count

    def _advance(self, wave: Wave) -> None:
        if not self._may_order():
            return
        sizes = Counter(vm.pool for vm in self._vms.values())
        now_ms = self._timer.now_ms()
        free = {key: vm for key, vm in self._vms.items() if self._orders.allows(key, now_ms)}
        for vm in list(next_vms(wave, free, self._loads.upstreams, sizes)):
            entry = self._vms[vm.vm_id]
            vm.upstream_id = entry.upstream_id
            if entry.upstream_id:
                self._event(wave, vm, "select")
            elif self._may_go_down(wave):
                self._event(wave, vm, "already_off")

    # Moves between pools.

    def _follow_moves(self) -> None:
        now_ms = self._timer.now_ms()
        for vm_id, move in list(self._moves.items()):
            entry = self._vms.get(vm_id)
            if move.state == "vacating" and now_ms - move.since_ms > defaults.MOVE_GIVE_UP_MS:
                self._move_event(move, "give_up")
            elif entry is None and move.state in ("ordered", "moving"):
                self._move_event(move, "gone")
            elif move.state == "moving" and self._listed_ms > move.since_ms:
                assert entry is not None
                if entry.state == "up":
                    self._move_event(move, "returned")
            if move.state == "done":
                del self._moves[vm_id]

    def _plan_moves(self) -> None:
        if not self._may_order():
            return
        policy = POLICIES.get(defaults.POOL_POLICY)
        demands, vms = list(self._demands()), list(self._pool_vms())
        for plan in policy(demands, vms):
            entry = self._vms[plan.vm_id]
            move = _Move(plan, "due", entry.upstream_id, self._timer.now_ms())
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
        lasting: Counter[str] = Counter()
        for load in self._loads.upstreams.values():
            total[load.pool] += load.capacity_millicores
            free[load.pool] += load.capacity_millicores - load.busy_millicores
            lasting[load.pool] += load.lasting_millicores
        counts = Counter(vm.pool for vm in self._vms.values())
        incoming: Counter[str] = Counter()
        for vm_id, move in self._moves.items():
            if vm_id in self._vms and move.state != "done":
                incoming[move.plan.to_pool] += self._vms[vm_id].capacity.cpu_millicores
        for vm in self._vms.values():
            # Also one that an earlier leader has moved, and one that comes back from maintenance.
            arriving = vm.state != "down" and vm.upstream_id not in self._loads.upstreams
            if arriving and vm.vm_id not in self._moves and not self._spare_pool(vm.pool):
                incoming[vm.pool] += vm.capacity.cpu_millicores
        # A spare pool that has given all its VMs is listed by the configuration only.
        for pool in counts.keys() | self._pool_rules().keys():
            yield PoolDemand(
                pool,
                self._spare_pool(pool),
                self._loads.short_millicores.get(pool, 0),
                self._loads.backlog_millicore_ms.get(pool, 0),
                free[pool],
                total[pool],
                incoming[pool],
                counts[pool],
                self._loads.offered_millicores.get(pool, 0),
                lasting[pool],
                now_ms - self._short_ms.get(pool, 0.0),
            )

    def _spare_pool(self, pool: str) -> bool:
        rule = self._pool_rules().get(pool)
        return rule is not None and rule.spare

    def _pool_vms(self) -> Iterator[PoolVm]:
        now_ms = self._timer.now_ms()
        in_waves = {
            vm.vm_id
            for wave in self._waves.values()
            for vm in wave.vms.values()
            if vm.state in ("vacating", "ordered", "down")
        }
        for vm in self._vms.values():
            load = self._loads.upstreams.get(vm.upstream_id)
            idle_since_ms = self._idle_since_ms.get(vm.upstream_id)
            yield PoolVm(
                vm.vm_id,
                vm.pool,
                vm.capacity.cpu_millicores,
                0.0 if idle_since_ms is None else now_ms - idle_since_ms,
                load.lasting_count if load else 0,
                vm.state == "up"
                and vm.vm_id not in in_waves
                and vm.vm_id not in self._moves
                and self._orders.allows(vm.vm_id, now_ms),
            )

    def _move_event(self, move: _Move, event: str) -> None:
        self.step(RELOCATION_CHART, move, event)

    @carries_out("order_move")
    def _order_move(self, move: _Move) -> None:
        self.spawn(self._relocate(move.plan, 0))

    @carries_out("order_move_again")
    def _order_move_again(self, move: _Move) -> None:
        self.spawn(self._relocate(move.plan, defaults.FLEET_RETRY_MS))

    async def _relocate(self, plan: Relocation, delay_ms: float) -> None:
        event, reason = await self._call(
            plan.vm_id,
            lambda: self._calls.move(plan.vm_id, plan.to_pool, self._epoch),
            delay_ms,
        )
        self.tell(_MoveEnded(plan.vm_id, event, reason))

    @receives(_MoveEnded)
    def on_move_ended(self, message: _MoveEnded) -> None:
        """Take in the answer to a move."""
        move = self._moves.get(message.vm_id)
        if move is None or move.state != "ordered":
            return
        logger.info(
            "move ordered",
            extra={
                "vm": message.vm_id,
                "to_pool": move.plan.to_pool,
                "outcome": message.event,
                "reason": message.reason,
                "after_ms": round(self._timer.now_ms() - move.since_ms),
                "epoch": self._epoch,
            },
        )
        if message.reason == "fence":
            self._election.tell(Fenced(self._epoch))
            return
        move.since_ms = self._timer.now_ms()
        if message.event == "accepted" and move.upstream_id:
            self._scheduler.tell(Ended(move.upstream_id))
        self._move_event(move, message.event)

    # Waves.

    def _event(self, wave: Wave, vm: VmUpkeep, event: str, **details: Any) -> None:
        self.step(UPKEEP_CHART, vm, event, wave=wave, **details)

    @carries_out("vacate")
    def _vacate(self, vm: VmUpkeep | _Move, wave: Wave | None = None) -> None:
        vm.since_ms = self._timer.now_ms()
        # A move is no reason to end a task; maintenance has a deadline.
        patience_ms = None if wave is None else defaults.VACATE_PATIENCE_MS
        self._scheduler.tell(Vacate(vm.upstream_id, patience_ms))
        if wave is None or isinstance(vm, _Move):
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

    @carries_out("readmit")
    def _readmit(self, vm: VmUpkeep | _Move, wave: Wave | None = None) -> None:
        if vm.upstream_id:
            self._scheduler.tell(Readmit(vm.upstream_id))

    @receives(Vacated)
    def on_vacated(self, message: Vacated) -> None:
        """Order the maintenance, as far as not too many VMs are down."""
        for wave in self._waves.values():
            for vm in wave.vms.values():
                if vm.upstream_id != message.upstream_id or vm.state != "vacating":
                    continue
                if self._may_go_down(wave):
                    self._event(wave, vm, "vacated")
                return
        for move in self._moves.values():
            if move.upstream_id == message.upstream_id and move.state == "vacating":
                self._move_event(move, "vacated")

    @carries_out("order")
    def _order(self, vm: VmUpkeep, wave: Wave) -> None:
        self.spawn(self._maintain(wave.request.number, vm.vm_id, 0))

    @carries_out("order_again")
    def _order_again(self, vm: VmUpkeep, wave: Wave) -> None:
        self.spawn(self._maintain(wave.request.number, vm.vm_id, defaults.FLEET_RETRY_MS))

    async def _maintain(self, wave: int, vm_id: str, delay_ms: float) -> None:
        event, reason = await self._call(
            vm_id, lambda: self._calls.maintain(vm_id, wave, self._epoch), delay_ms
        )
        self.tell(_OrderEnded(wave, vm_id, event, reason))

    async def _call(
        self, vm_id: str, call: Callable[[], Awaitable[None]], delay_ms: float
    ) -> tuple[str, str]:
        """Give an order and return the chart's event for its outcome, with the reason."""
        if delay_ms:
            await self._timer_sleep(delay_ms)
        stored = new_reply()
        record = self._orders.add(vm_id, self._timer.now_ms())
        self._state_writer.tell(Write((record,), stored))
        if await stored == FENCED:
            return "unanswered", "fence"
        if self._timer.now_ms() >= self._permitted_ms:
            # A successor may give orders by now, and together they could exceed a wave's bound.
            return "unanswered", "leadership is not confirmed"
        try:
            await call()
        except FleetRefusedError as error:
            # Beyond its rate the platform answers 429, and 503 while it is down.
            event = "unanswered" if error.reason.startswith("status") else "refused"
            return event, error.reason
        except FleetUnknownError as error:
            return "unanswered", str(error)
        return "accepted", ""

    async def _timer_sleep(self, delay_ms: float) -> None:
        done = new_reply()
        self._timer.after(delay_ms).subscribe(lambda _: resolve(done, None))
        await done

    @receives(_OrderEnded)
    def on_order_ended(self, message: _OrderEnded) -> None:
        """Take in the answer to an order."""
        wave = self._waves[message.wave]
        vm = wave.vms[message.vm_id]
        logger.info(
            "maintenance ordered",
            extra={
                "wave": message.wave,
                "vm": message.vm_id,
                "upstream": vm.upstream_id,
                "outcome": message.event,
                "reason": message.reason,
                "after_ms": round(self._timer.now_ms() - vm.since_ms),
                "epoch": self._epoch,
            },
        )
        if message.reason == "fence":
            self._election.tell(Fenced(self._epoch))
            return
        if vm.state == "ordered":
            vm.since_ms = self._timer.now_ms()
            if message.event == "accepted" and vm.upstream_id:
                self._scheduler.tell(Ended(vm.upstream_id))
            self._event(wave, vm, message.event)

    @carries_out("note_done")
    def _note_done(self, vm: VmUpkeep, wave: Wave) -> None:
        begun = [other.vm_id for other in wave.vms.values() if other.state in ("down", "done")]
        value = json.dumps({"begun": begun}, separators=(",", ":")).encode()
        key = f"{WAVE_KEY_PREFIX}{wave.request.number}"
        self._state_writer.tell(Write(((key, value),), new_reply()))
        self._store_status(wave)

    def _store_status(self, wave: Wave) -> None:
        status = "completed" if wave.completed else "running"
        if wave.status_stored != status:
            wave.status_stored = status
            logger.info(
                "status of maintenance", extra={"wave": wave.request.number, "status": status}
            )
            record = self._status_record(wave.request.number, wave.completed)
            self._status_writer.tell(Write((record,), new_reply()))
