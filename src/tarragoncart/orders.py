"""Record of the VMs with recent orders, which a leader stores before it sends each order."""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping

from attrs import define, field, frozen

from .decoding import check_float, check_object, check_str, decoder, get_int, parse_object
from .errors import DecodeError

logger = logging.getLogger(__name__)

# Key of the record in the topic of the leader's state, which maps VM IDs to the ages of orders.
ORDERS_KEY = "fleet/ordered"
# Key of the record that maps VM IDs to their orders without a known outcome. It is separate from
# the ages, so that leaders of earlier releases can still read those.
UNSETTLED_KEY = "fleet/unsettled"
# The stored ages are renewed at this interval while there is a recent order.
RENEWAL_INTERVAL_MS = 500

Record = tuple[str, bytes]


@decoder("recent orders")
def decode_ages_ms(value: bytes) -> dict[str, float]:
    """Decode the ages of the recent orders, by VM ID."""
    return {vm_id: check_float(age_ms, vm_id) for vm_id, age_ms in parse_object(value).items()}


@frozen
class VmOrder:
    """What an order asks for.

    :param wave: number of the maintenance wave, None for a move.
    :param to_pool: destination of a move, empty for maintenance.
    """

    wave: int | None = None
    to_pool: str = ""


@decoder("unsettled orders")
def decode_unsettled(value: bytes) -> dict[str, VmOrder]:
    """Decode the orders without a known outcome, by VM ID."""
    orders = {}
    for vm_id, item in parse_object(value).items():
        fields = check_object(item, vm_id)
        if "wave" in fields:
            orders[vm_id] = VmOrder(wave=get_int(fields, "wave"))
        else:
            orders[vm_id] = VmOrder(to_pool=check_str(fields.get("to_pool"), vm_id))
    return orders


def encode_unsettled(orders: Mapping[str, VmOrder]) -> bytes:
    """Encode the orders without a known outcome."""
    items = {
        vm_id: {"to_pool": order.to_pool} if order.wave is None else {"wave": order.wave}
        for vm_id, order in sorted(orders.items())
    }
    return json.dumps(items, separators=(",", ":")).encode()


@define
class RecentOrders:
    """The VMs for which this leader or an earlier one has sent orders recently.

    The orders of two leaders for one VM must not interleave. A leader stores a VM's ID before it
    sends an order for it, and its successor sends no orders for exactly these VMs for some time.
    Storing ages instead of times makes this independent of the entry VMs' clocks: an order is at
    least as old as its age in the record.

    An order without an answer may be carried out seconds later, and fences apply to each VM
    separately. Such an order therefore stays unsettled, beyond the pause, until an accepted order
    of a later leader has fenced it or the list of VMs shows that it has been carried out.

    :param handover_pause_ms: minimum time between the orders of two leaders for one VM.
    :param ordered_ms: monotonic time of the latest order for each VM.
    :param inherited: the VMs whose latest order was sent by an earlier leader.
    :param allowed_from_ms: monotonic time before which no VM may get an order, as the earlier
        leader's record could not be read.
    :param unsettled: the orders of this leader and earlier ones without a known outcome.
    :param uncertain: the VMs with an earlier order that may still be carried out, so that the
        refusal of a later one does not settle it.
    """

    handover_pause_ms: float
    ordered_ms: dict[str, float] = field(factory=dict)
    inherited: frozenset[str] = frozenset()
    allowed_from_ms: float = float("-inf")
    unsettled: dict[str, VmOrder] = field(factory=dict)
    uncertain: set[str] = field(factory=set)
    _stored_ms: float = field(default=float("-inf"), init=False)
    _stored_unsettled: bytes = field(default=b"{}", init=False)

    @classmethod
    def restore(
        cls,
        handover_pause_ms: float,
        value: bytes | None,
        now_ms: float,
        unsettled_value: bytes | None = None,
    ) -> RecentOrders:
        """Restore the orders from an earlier leader's records; a value is None without one."""
        orders = cls._restore_ages(handover_pause_ms, value, now_ms)
        try:
            orders.unsettled = decode_unsettled(unsettled_value) if unsettled_value else {}
        except DecodeError as error:
            logger.error("unsettled orders for VMs cannot be read", extra={"reason": str(error)})
        orders.uncertain = set(orders.unsettled)
        orders._stored_unsettled = unsettled_value or b"{}"
        return orders

    @classmethod
    def _restore_ages(
        cls, handover_pause_ms: float, value: bytes | None, now_ms: float
    ) -> RecentOrders:
        try:
            ages_ms = decode_ages_ms(value) if value else {}
        except DecodeError as error:
            logger.error(
                "recent orders for VMs cannot be read; pausing", extra={"reason": str(error)}
            )
            return cls(handover_pause_ms, allowed_from_ms=now_ms + handover_pause_ms)
        ordered_ms = {vm_id: now_ms - age_ms for vm_id, age_ms in ages_ms.items()}
        return cls(handover_pause_ms, ordered_ms, frozenset(ordered_ms))

    def allows(self, vm_id: str, now_ms: float) -> bool:
        """Return whether this leader may send an order for a VM."""
        if now_ms < self.allowed_from_ms:
            return False
        if vm_id not in self.inherited:
            return True
        return now_ms >= self.ordered_ms.get(vm_id, float("-inf")) + self.handover_pause_ms

    def add(self, vm_id: str, now_ms: float, order: VmOrder | None = None) -> Record:
        """Add an order that is about to be sent; return the record to store before sending it."""
        if order is not None:
            self.unsettled[vm_id] = order
        self.ordered_ms[vm_id] = now_ms
        self.inherited -= {vm_id}
        return self._record(now_ms)

    def settle(self, vm_id: str) -> None:
        """Note that no order for the VM can take effect any more."""
        self.unsettled.pop(vm_id, None)
        self.uncertain.discard(vm_id)

    def refuse(self, vm_id: str) -> None:
        """Note that the VM's latest order was not carried out; an earlier one still may be."""
        if vm_id not in self.uncertain:
            self.settle(vm_id)

    def unsettled_record(self) -> Record | None:
        """Return the record of the unsettled orders, None if the stored one is current."""
        value = encode_unsettled(self.unsettled)
        if value == self._stored_unsettled:
            return None
        self._stored_unsettled = value
        return UNSETTLED_KEY, value

    def renewal_record(self, now_ms: float) -> Record | None:
        """Return the record with the current ages, None if no renewal is due."""
        if not self.ordered_ms or now_ms < self._stored_ms + RENEWAL_INTERVAL_MS:
            return None
        return self._record(now_ms)

    def _record(self, now_ms: float) -> Record:
        self._stored_ms = now_ms
        horizon_ms = now_ms - self.handover_pause_ms
        self.ordered_ms = {key: at for key, at in self.ordered_ms.items() if at > horizon_ms}
        ages_ms = {key: int(now_ms - at) for key, at in sorted(self.ordered_ms.items())}
        return ORDERS_KEY, json.dumps(ages_ms, separators=(",", ":")).encode()
