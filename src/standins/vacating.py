"""Stand-in for the owner of the VMs, which has an upstream vacated."""

from __future__ import annotations

import asyncio

from tarragoncart.loads import Loads
from tarragoncart.mailbox import Actor, receives
from tarragoncart.runorders import ExtendPermission
from tarragoncart.vmorders import UpstreamVacated, VacateUpstream


class VacatingFleet(Actor):
    """Requests that an upstream is vacated, and records when the scheduler reports it.

    :param scheduler: actor that vacates the upstream.
    :param grace_period_ms: as in the request.
    :param repeat_ms: time after which the request is repeated, 0 for a single request.
    :param upstream_id: the upstream.
    """

    def __init__(
        self,
        scheduler: Actor,
        grace_period_ms: float | None,
        repeat_ms: float = 0.0,
        upstream_id: str = "i-1",
    ) -> None:
        super().__init__("fleet")
        self.scheduler = scheduler
        self._request = VacateUpstream(upstream_id, grace_period_ms)
        self._repeat_ms = repeat_ms
        self.vacated: list[str] = []

    async def on_open(self) -> None:
        """Send the request, and repeat it if that is required."""
        self.scheduler.tell(self._request)
        if self._repeat_ms:
            self.spawn(self._request_repeatedly())

    async def _request_repeatedly(self) -> None:
        while True:
            await asyncio.sleep(self._repeat_ms / 1_000)
            self.scheduler.tell(self._request)

    @receives(UpstreamVacated)
    def on_vacated(self, message: UpstreamVacated) -> None:
        """Record the upstream."""
        self.vacated.append(message.upstream_id)

    @receives(ExtendPermission)
    def on_extend_permission(self, message: ExtendPermission) -> None:
        """Ignore the message."""

    @receives(Loads)
    def on_loads(self, message: Loads) -> None:
        """Ignore the message."""
