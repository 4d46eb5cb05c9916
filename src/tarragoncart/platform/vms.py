"""Client of the platform's VM interface: lists VMs, moves them between pools and maintains them."""

from __future__ import annotations

from typing import Any

import aiohttp

from .. import defaults
from ..errors import FleetRefusedError, FleetUnknownError
from ..graph import VmEntry
from ..sessions import open_session
from .operator import decode_demand
from .wire import dump_json, get_str, load_json

CALL_TIMEOUT_MS = 2_000
# The list is read over a connection of its own, so that it does not wait for orders.
CONNECTION_COUNTS = {"list": 1, "orders": defaults.VM_ORDER_LIMIT_COUNT}
KEEPALIVE_S = 30


class VmClient:
    """HTTP client of the platform's VM interface; owned by one actor.

    :param holder: name of the entry VM, sent as the holder of the lease with each order.
    """

    def __init__(self, address: str, holder: str) -> None:
        self.address = address
        self._holder = holder
        self._sessions: dict[str, aiohttp.ClientSession] = {}

    async def close(self) -> None:
        """Close the connections."""
        while self._sessions:
            _, session = self._sessions.popitem()
            await session.close()

    def _session(self, purpose: str) -> aiohttp.ClientSession:
        session = self._sessions.get(purpose)
        if session is None:
            session = open_session(CONNECTION_COUNTS[purpose], KEEPALIVE_S, CALL_TIMEOUT_MS)
            self._sessions[purpose] = session
        return session

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """Read all pages of the list of VMs.

        :raises FleetRefusedError: the platform refused the call.
        :raises FleetUnknownError: no answer.
        """
        entries: list[VmEntry] = []
        token = ""
        while True:
            path = "/machines" + (f"?page-token={token}" if token else "")
            data = await self._call("list VMs", "GET", path, None, {})
            entries.extend(_decode_vm(item) for item in data.get("machines", ()))
            token = data.get("next-token") or ""
            if not token:
                return tuple(entries)

    async def move(self, vm_id: str, pool: str, epoch: int) -> None:
        """Move a VM to another pool, which ends everything that runs on it.

        :raises FleetRefusedError: with the reason; nothing was done.
        :raises FleetUnknownError: it may have been moved.
        """
        body = {"host-machine": vm_id, "pool": pool}
        await self._call("move VM", "POST", "/machine-move", body, self._fencing_headers(epoch))

    async def maintain(self, vm_id: str, wave: int, epoch: int) -> None:
        """Take a VM down for its maintenance, which ends everything that runs on it.

        :raises FleetRefusedError: with the reason; nothing was done.
        :raises FleetUnknownError: it may have been taken down.
        """
        body = {"host-machine": vm_id, "wave": wave}
        await self._call(
            "maintain VM", "POST", "/machine-upkeep", body, self._fencing_headers(epoch)
        )

    def _fencing_headers(self, epoch: int) -> dict[str, str]:
        return {"Lease-Holder": self._holder, "Fencing-Token": str(epoch)}

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
    ) -> dict[str, Any]:
        session = self._session("list" if method == "GET" else "orders")
        if body is not None:
            headers = {**headers, "Content-Type": "application/json"}
        try:
            async with session.request(
                method,
                f"http://{self.address}{path}",
                data=None if body is None else dump_json(body),
                headers=headers,
            ) as response:
                status, content = response.status, await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise FleetUnknownError(repr(error), step=step, peer=self.address) from error
        try:
            data = load_json(content) if content else {}
        except ValueError as error:
            raise FleetUnknownError(repr(error), step=step, peer=self.address) from error
        if status == 200:
            return data
        reason = str(data.get("reason", "")) or f"status {status}"
        raise FleetRefusedError(reason, step=step, peer=self.address)


def _decode_vm(item: dict[str, Any]) -> VmEntry:
    labels = [str(label) for label in item.get("labels", ())]
    # The first label is the VM's kind, the second one its rack.
    rack = labels[1] if len(labels) > 1 else ""
    return VmEntry(
        vm_id=get_str(item, "host-machine"),
        pool=get_str(item, "pool"),
        state=get_str(item, "phase"),
        data_centre=get_str(item, "zone"),
        rack=rack,
        capacity=decode_demand(item.get("capacity") or {}),
        upstream_id=item.get("id") or "",
    )
