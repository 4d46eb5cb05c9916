"""Requests tickets, which permit a step to run on an upstream, from the advice service."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol

from attrs import frozen

from .errors import AdviceError
from .mailbox import Actor, receives
from .timer import Timer

logger = logging.getLogger(__name__)

# Maximum number of upstreams named in a request; each one adds to the response time of the service.
ADVICE_UPSTREAM_COUNT = 30


class AdviceCalls(Protocol):
    """The calls to the advice service that an advisor uses."""

    async def advise(
        self, step_name: str, upstream_ids: tuple[str, ...]
    ) -> tuple[dict[str, str], int]: ...

    async def close(self) -> None: ...


@frozen
class RequestAdvice:
    """Request for the upstreams among these that may run a step."""

    step_name: str
    upstream_ids: tuple[str, ...]


@frozen
class AdviceReceived:
    """Answer of the advice service.

    :param tickets: by upstream; empty if the call failed.
    :param valid_until_ms: when the tickets expire.
    """

    step_name: str
    tickets: dict[str, str]
    valid_until_ms: float


class Advisor(Actor):
    """Owns the connection to the advice service, which handles one call at a time."""

    def __init__(self, calls: AdviceCalls, listener: Actor, timer: Timer) -> None:
        super().__init__("advisor")
        self._calls = calls
        self._listener = listener
        self._timer = timer
        self._queue: deque[RequestAdvice] = deque()
        self._wake = asyncio.Event()

    async def on_open(self) -> None:
        """Start processing requests."""
        self.spawn(self._process_requests())

    @receives(RequestAdvice)
    def on_request_advice(self, message: RequestAdvice) -> None:
        """Queue a request, unless one for the same step is queued."""
        if all(waiting.step_name != message.step_name for waiting in self._queue):
            self._queue.append(message)
            self._wake.set()

    async def _process_requests(self) -> None:
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            request = self._queue.popleft()
            requested_ms = self._timer.now_ms()
            try:
                tickets, valid_ms = await self._calls.advise(
                    request.step_name, request.upstream_ids
                )
            except AdviceError as error:
                logger.warning(
                    "advice request failed",
                    extra={"step": request.step_name, "reason": str(error)},
                )
                tickets, valid_ms = {}, 0
            # The validity is counted from the request on, as the answer may have been delayed.
            self._listener.tell(AdviceReceived(request.step_name, tickets, requested_ms + valid_ms))

    async def on_close(self) -> None:
        """Close the connection."""
        await self._calls.close()
