"""Record of the VMs with recent orders, which a leader stores before it sends each order."""

from __future__ import annotations

import json
import logging

from attrs import define, field

from .decoding import check_float, decoder, parse_object
from .errors import DecodeError

logger = logging.getLogger(__name__)

# Key of the record in the topic of the leader's state, which maps VM IDs to the ages of orders.
ORDERS_KEY = "fleet/ordered"
# The stored ages are renewed at this interval while there is a recent order.
RENEWAL_INTERVAL_MS = 500

Record = tuple[str, bytes]


@decoder("recent orders")
def decode_ages_ms(value: bytes) -> dict[str, float]:
    """Decode the ages of the recent orders, by VM ID."""
    return {vm_id: check_float(age_ms, vm_id) for vm_id, age_ms in parse_object(value).items()}


@define
class RecentOrders:
    """The VMs for which this leader or an earlier one has sent orders recently.

    The orders of two leaders for one VM must not interleave. A leader stores a VM's ID before it
    sends an order for it, and its successor sends no orders for exactly these VMs for some time.
    Storing ages instead of times makes this independent of the entry VMs' clocks: an order is at
    least as old as its age in the record.

    :param handover_pause_ms: minimum time between the orders of two leaders for one VM.
    :param ordered_ms: monotonic time of the latest order for each VM.
    :param inherited: the VMs whose latest order was sent by an earlier leader.
    :param allowed_from_ms: monotonic time before which no VM may get an order, as the earlier
        leader's record could not be read.
    """

    handover_pause_ms: float
    ordered_ms: dict[str, float] = field(factory=dict)
    inherited: frozenset[str] = frozenset()
    allowed_from_ms: float = float("-inf")
    _stored_ms: float = field(default=float("-inf"), init=False)

    @classmethod
    def restore(cls, handover_pause_ms: float, value: bytes | None, now_ms: float) -> RecentOrders:
        """Restore the orders from an earlier leader's record; ``value`` is None without one."""
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

    def add(self, vm_id: str, now_ms: float) -> Record:
        """Add an order that is about to be sent; return the record to store before sending it."""
        self.ordered_ms[vm_id] = now_ms
        self.inherited -= {vm_id}
        return self._record(now_ms)

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
