"""Which VMs a leader has given orders for lately, stored before each order is sent."""

from __future__ import annotations

import json

from attrs import define, field

# Key of the record in the topic of the leader's state.
ORDERS_KEY = "fleet/ordered"


@define
class RecentOrders:
    """The VMs that this leader, or one before it, has given orders for lately.

    Two leaders must not take turns with orders for one VM. A leader stores a VM's ID before it
    sends an order for it, and its successor leaves just these VMs alone for a while.

    :param quiet_ms: least time between the orders of two leaders for one VM.
    :param inherited: VMs that earlier leaders have given orders for.
    :param inherited_until_ms: no orders for those before.
    """

    quiet_ms: float
    inherited: frozenset[str] = frozenset()
    inherited_until_ms: float = 0.0
    _ordered_ms: dict[str, float] = field(factory=dict, init=False)

    def allows(self, vm_id: str, now_ms: float) -> bool:
        """Tell whether this leader may give an order for a VM."""
        return now_ms >= self.inherited_until_ms or vm_id not in self.inherited

    def add(self, vm_id: str, now_ms: float) -> tuple[str, bytes]:
        """Take in an order that is about to be sent and return the record to store before."""
        self._ordered_ms[vm_id] = now_ms
        horizon_ms = now_ms - self.quiet_ms
        self._ordered_ms = {key: at for key, at in self._ordered_ms.items() if at >= horizon_ms}
        recent = set(self._ordered_ms)
        if now_ms < self.inherited_until_ms:
            recent |= self.inherited
        return ORDERS_KEY, json.dumps(sorted(recent), separators=(",", ":")).encode()


def decode_orders(value: bytes | None) -> frozenset[str]:
    """Decode a record of recent orders; None stands for no record."""
    return frozenset(json.loads(value)) if value else frozenset()
