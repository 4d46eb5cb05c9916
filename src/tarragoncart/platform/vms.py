"""Client of the platform's VM interface: lists VMs, moves them between pools and maintains them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp
from attrs import frozen

from .. import defaults
from ..decoding import (
    MalformedLog,
    check_list,
    check_object,
    check_str,
    decoder,
    get_items,
    get_object,
    get_str,
    parse_object,
)
from ..errors import DecodeError, FleetRefusedError, FleetUnknownError
from ..graph import VmEntry
from ..sessions import open_session
from ..traffic import TRAFFIC
from .operator import decode_demand
from .wire import dump_json

CALL_TIMEOUT_MS = 2_000
# The list is read over a connection of its own, so that it does not wait for orders.
CONNECTION_COUNTS = {"list": 1, "orders": defaults.VM_ORDER_LIMIT_COUNT}
KEEPALIVE_S = 30

T = TypeVar("T")


class VmClient:
    """HTTP client of the platform's VM interface; owned by one actor.

    :param holder: name of the entry VM, sent as the holder of the lease with each order.
    """

    def __init__(self, address: str, holder: str) -> None:
        self.address = address
        self._holder = holder
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self._malformed = MalformedLog("VMs")

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
            page = await self._call("list VMs", "GET", path, None, {}, decode_vm_page)
            for number, item in enumerate(page.items):
                try:
                    entries.append(decode_vm(item))
                except DecodeError as error:
                    self._malformed.add(f"{path} {number}", error)
            token = page.next_token
            if not token:
                return tuple(entries)

    async def move(self, vm_id: str, pool: str, epoch: int) -> None:
        """Move a VM to another pool, which ends everything that runs on it.

        :raises FleetRefusedError: with the reason; nothing was done.
        :raises FleetUnknownError: it may have been moved.
        """
        body = {"host-machine": vm_id, "pool": pool}
        headers = self._fencing_headers(epoch)
        await self._call("move VM", "POST", "/machine-move", body, headers, _ignore)

    async def maintain(self, vm_id: str, wave: int, epoch: int) -> None:
        """Take a VM down for its maintenance, which ends everything that runs on it.

        :raises FleetRefusedError: with the reason; nothing was done.
        :raises FleetUnknownError: it may have been taken down.
        """
        body = {"host-machine": vm_id, "wave": wave}
        headers = self._fencing_headers(epoch)
        await self._call("maintain VM", "POST", "/machine-upkeep", body, headers, _ignore)

    def _fencing_headers(self, epoch: int) -> dict[str, str]:
        return {"Lease-Holder": self._holder, "Fencing-Token": str(epoch)}

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str],
        decode: Callable[[bytes], T],
    ) -> T:
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
                TRAFFIC.add(step, 0, len(content))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise FleetUnknownError(repr(error), step=step, peer=self.address) from error
        try:
            if status == 200:
                return decode(content)
            reason = (decode_refusal(content) if content else "") or f"status {status}"
        except DecodeError as error:
            raise FleetUnknownError(str(error), step=step, peer=self.address) from error
        raise FleetRefusedError(reason, step=step, peer=self.address)


@frozen
class VmPage:
    """A page of the list of VMs.

    :param items: the VMs, not decoded yet.
    :param next_token: token of the next page, empty for none.
    """

    items: tuple[Any, ...]
    next_token: str


def _ignore(body: bytes) -> None:
    """Ignore the response to an order, which says nothing beyond its status."""


@decoder("refusal of an order for a VM")
def decode_refusal(body: bytes) -> str:
    """Decode the reason of a refused order."""
    return get_str(parse_object(body), "reason")


@decoder("page of VMs")
def decode_vm_page(body: bytes) -> VmPage:
    """Decode a page of the list of VMs, without the VMs."""
    data = parse_object(body)
    items = tuple(check_list(data.get("machines", []), "machines"))
    return VmPage(items, check_str(data.get("next-token") or "", "next-token"))


@decoder("VM")
def decode_vm(item: Any) -> VmEntry:
    """Decode a VM of a page."""
    check_object(item)
    labels = get_items(item, "labels", check_str)
    # The first label is the VM's kind, the second one its rack.
    rack = labels[1] if len(labels) > 1 else ""
    return VmEntry(
        vm_id=check_str(item.get("host-machine"), "host-machine"),
        pool=get_str(item, "pool"),
        state=get_str(item, "phase"),
        data_centre=get_str(item, "zone"),
        rack=rack,
        capacity=decode_demand(get_object(item, "capacity")),
        upstream_id=check_str(item.get("id") or "", "id"),
    )
