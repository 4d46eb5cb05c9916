"""Reader of the platform's list of live and leaving VMs."""

from __future__ import annotations

import aiohttp
from attrs import frozen

from . import defaults
from .jobs import LeavingVmsListed
from .mailbox import Actor, receives
from .sessions import make_connector
from .timer import Timer


@frozen
class ReadVms:
    """Read the list."""


class Inventory(Actor):
    """Polls the list of VMs and tells its owner which VMs are leaving.

    The list lags and may be wrong, so it only supplements what workers report themselves.

    :param owner: actor that receives :class:`LeavingVmsListed`.
    """

    def __init__(
        self, platform_address: str, owner: Actor, timer: Timer, source_address: str = ""
    ) -> None:
        super().__init__("inventory")
        self._url = f"http://{platform_address}/vms"
        self._owner = owner
        self._timer = timer
        self._source_address = source_address
        self._reading = False
        self._session: aiohttp.ClientSession

    async def on_open(self) -> None:
        """Open the session and subscribe to the timer."""
        self._session = aiohttp.ClientSession(connector=make_connector(self._source_address))
        self.subscribe(self._timer.every(defaults.VM_LIST_POLL_MS), ReadVms())

    async def on_close(self) -> None:
        """Close the session."""
        await self._session.close()

    @receives(ReadVms)
    def _on_read_vms(self, _: ReadVms) -> None:
        if not self._reading:
            self._reading = True
            self.spawn(self._read())

    async def _read(self) -> None:
        timeout = aiohttp.ClientTimeout(total=defaults.CONTROL_TIMEOUT_MS / 1_000)
        try:
            async with self._session.get(self._url, timeout=timeout) as response:
                data = await response.json()
            leaving = frozenset(vm["name"] for vm in data["vms"] if vm["state"] == "leaving")
            self._owner.tell(LeavingVmsListed(leaving))
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            # Without the list, the workers' own reports decide.
            pass
        finally:
            self._reading = False
