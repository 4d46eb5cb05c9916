"""Which VMs a leader has given orders for lately, stored before each order is sent."""

from __future__ import annotations

import json
from collections.abc import Mapping

from attrs import define, field

# Key of the record in the topic of the leader's state: IDs of VMs with the ages of their orders.
ORDERS_KEY = "fleet/ordered"
# The stored ages are renewed this often while some order is recent.
RENEWAL_MS = 500

Record = tuple[str, bytes]


@define
class RecentOrders:
    """The VMs that this leader, or one before it, has given orders for lately.

    Two leaders must not take turns with orders for one VM. A leader stores a VM's ID before it
    sends an order for it, and its successor leaves just these VMs alone for a while. Ages instead
    of times make this independent of the clocks of entry VMs: an order is at least as old as its
    age in the record.

    :param quiet_ms: least time between the orders of two leaders for one VM.
    :param ordered_ms: latest order for each VM, by the steady clock of this entry VM.
    :param inherited: the VMs of which an earlier leader gave that order.
    """

    quiet_ms: float
    ordered_ms: dict[str, float] = field(factory=dict)
    inherited: frozenset[str] = frozenset()
    _stored_ms: float = field(default=float("-inf"), init=False)

    @classmethod
    def restore(cls, quiet_ms: float, value: bytes | None, now_ms: float) -> RecentOrders:
        """Take over from an earlier leader; ``value`` is its record, None if there is none."""
        ages_ms: Mapping[str, float] = json.loads(value) if value else {}
        ordered_ms = {vm_id: now_ms - age_ms for vm_id, age_ms in ages_ms.items()}
        return cls(quiet_ms, ordered_ms, frozenset(ordered_ms))

    def allows(self, vm_id: str, now_ms: float) -> bool:
        """Tell whether this leader may give an order for a VM."""
        if vm_id not in self.inherited:
            return True
        return now_ms >= self.ordered_ms.get(vm_id, float("-inf")) + self.quiet_ms

    def add(self, vm_id: str, now_ms: float) -> Record:
        """Take in an order that is about to be sent and return the record to store before."""
        self.ordered_ms[vm_id] = now_ms
        self.inherited -= {vm_id}
        return self._record(now_ms)

    def renewal(self, now_ms: float) -> Record | None:
        """Return the record with the present ages, None if none is due."""
        if not self.ordered_ms or now_ms < self._stored_ms + RENEWAL_MS:
            return None
        return self._record(now_ms)

    def _record(self, now_ms: float) -> Record:
        self._stored_ms = now_ms
        horizon_ms = now_ms - self.quiet_ms
        self.ordered_ms = {key: at for key, at in self.ordered_ms.items() if at > horizon_ms}
        ages_ms = {key: int(now_ms - at) for key, at in sorted(self.ordered_ms.items())}
        return ORDERS_KEY, json.dumps(ages_ms, separators=(",", ":")).encode()
