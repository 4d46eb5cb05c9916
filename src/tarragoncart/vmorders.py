"""Orders for VMs: what is asked of the scheduler before, and how they are given."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from attrs import define, frozen

from .errors import FleetRefusedError, FleetUnknownError
from .graph import PoolRule, VmEntry, WaveRequest
from .link import Permit
from .loads import Loads
from .mailbox import Actor, new_reply, receives, resolve
from .orders import ORDERS_KEY, RecentOrders
from .pools import Relocation
from .timer import Timer
from .upkeep import Wave
from .writer import FENCED, Write

# Keys of what the owner of the VMs keeps in the topic of the leader's state.
FLEET_KEY_PREFIX = "fleet/"
WAVE_KEY_PREFIX = f"{FLEET_KEY_PREFIX}wave/"


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


@define(eq=False)
class Move:
    """A move of a VM to another pool."""

    plan: Relocation
    state: str
    upstream_id: str
    since_ms: float


class VmOrders(Actor):
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
        self._moves: dict[str, Move] = {}
        self._idle_since_ms: dict[str, float] = {}
        self._short_ms: dict[str, float] = {}
        self._listed_ms = 0.0
        self._permitted_ms = 0.0
        self._listing = False

    @receives(Permit)
    def on_permit(self, message: Permit) -> None:
        """Keep until when orders may be given."""
        self._permitted_ms = message.valid_until_ms

    def _may_order(self) -> bool:
        return self._timer.now_ms() < self._permitted_ms

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
