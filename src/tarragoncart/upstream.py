"""One actor per worker: owns the HTTP session to it and the lease there."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import aiohttp
from attrs import define, frozen
from yarl import URL

from . import attempts, defaults
from .attempts import Evidence
from .charts import load_chart
from .mailbox import Actor, carries_out, receives, resolve
from .model import Attempt, Verdict
from .timer import Timer

logger = logging.getLogger(__name__)
ATTEMPT_CHART = load_chart("attempt")
ATTEMPT_TIMEOUT = aiohttp.ClientTimeout(
    total=defaults.ATTEMPT_TIMEOUT_MS / 1_000,
    sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000,
)


@frozen
class Transmit:
    """Send an attempt to the worker."""

    attempt: Attempt


@frozen
class FenceRequest:
    """Ask the guard about a request and fence it if it has not started."""

    attempt: Attempt
    boot_id: str


@frozen
class FenceIncarnation:
    """Stop all later starts of an incarnation.

    The reply is the number of its running tasks, None if the worker did not answer.
    """

    incarnation: str
    reply: asyncio.Future[int | None]


@frozen
class FindResult:
    """Ask the guard for a request's result; the reply is the evidence.

    :param key_id: key of the caller, for the dispatcher, which shows results to their team only.
    """

    request_id: str
    reply: asyncio.Future[Evidence]
    key_id: str = ""


@frozen
class RenewLease:
    """Time to renew the lease."""


@frozen
class AttemptEnded:
    """A call to the worker about an attempt has ended."""

    attempt: Attempt
    evidence: Evidence
    fenced: bool = False


@frozen
class UpstreamChanged:
    """What the entry VM knows about a worker after a lease call.

    :param boot_id: changes when the worker has restarted and lost its guard.
    :param asked_at_ms: when the call was sent.
    """

    name: str
    leased: bool
    leaving: bool = False
    slot_count: int = 0
    running_count: int = 0
    boot_id: str = ""
    verdict: Verdict = Verdict.RESULT
    asked_at_ms: float = 0.0


@define
class Sending:
    """State of one attempt on the wire."""

    attempt: Attempt
    state: str = ATTEMPT_CHART.initial
    evidence: Evidence | None = None


class Upstream(Actor):
    """Talks to one worker.

    :param owner: actor that gets :class:`AttemptEnded` and :class:`UpstreamChanged`.
    :param connection_count: most connections that this entry VM opens to the worker.
    """

    def __init__(
        self,
        name: str,
        address: str,
        *,
        entry: str,
        incarnation: str,
        owner: Actor,
        timer: Timer,
        connection_count: int,
        source_address: str = "",
    ) -> None:
        super().__init__(f"upstream {name}")
        self.worker = name
        self.address = address
        self._url = f"http://{address}"
        # Parsed once: parsing a URL is a measurable part of a request's cost.
        self._attempts_url = URL(f"{self._url}/attempts")
        self._entry = entry
        self._incarnation = incarnation
        self._owner = owner
        self._timer = timer
        self._connection_count = connection_count
        self._source_address = source_address
        self._epoch = -1
        self._leased_until_ms = float("-inf")
        self._renewing = False
        self._boot_id = ""
        self._session: aiohttp.ClientSession

    async def opened(self) -> None:
        """Open the session and ask for a lease."""
        local = (self._source_address, 0) if self._source_address else None
        connector = aiohttp.TCPConnector(limit=self._connection_count, local_addr=local)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), timeout=ATTEMPT_TIMEOUT
        )
        # Leases have a session of their own: attempts must not keep a renewal waiting.
        self._control = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=2, local_addr=local)
        )
        self.subscribe(self._timer.every(defaults.LEASE_RENEWAL_MS), RenewLease())
        self.tell(RenewLease())

    async def closed(self) -> None:
        """Close the sessions."""
        await self._session.close()
        await self._control.close()

    # Lease

    @receives(RenewLease)
    def _on_renew_lease(self, _: RenewLease) -> None:
        if not self._renewing:
            self._renewing = True
            self.spawn(self._renew())

    async def _renew(self) -> None:
        sent_at_ms = self._timer.now_ms()
        body = {"incarnation": self._incarnation, "entry": self._entry}
        try:
            status, data = await self._call("POST", "/lease", body)
        except (aiohttp.ClientError, TimeoutError):
            status, data = 0, None
        finally:
            self._renewing = False
        if status == 200 and isinstance(data, dict):
            self._epoch = data["epoch"]
            # Counted from the sending, so that it ends here before it ends at the worker.
            self._leased_until_ms = sent_at_ms + data["duration_ms"]
            self._boot_id = data.get("boot_id", "")
            change = UpstreamChanged(
                self.worker,
                leased=True,
                leaving=data["leaving"],
                slot_count=data["slots"],
                running_count=data["running"],
                boot_id=self._boot_id,
                asked_at_ms=sent_at_ms,
            )
        else:
            verdict = Verdict.ERROR_ANSWER if status else Verdict.NO_ANSWER
            leased = self._timer.now_ms() < self._leased_until_ms
            change = UpstreamChanged(
                self.worker,
                leased,
                boot_id=self._boot_id,
                verdict=verdict,
                asked_at_ms=sent_at_ms,
            )
        self._owner.tell(change)

    async def _call(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        timeout = aiohttp.ClientTimeout(total=defaults.CONTROL_TIMEOUT_MS / 1_000)
        async with self._control.request(
            method, self._url + path, json=body, timeout=timeout
        ) as response:
            return response.status, await _decode(response)

    # Attempts

    @receives(Transmit)
    def _on_transmit(self, message: Transmit) -> None:
        sending = Sending(message.attempt)
        now_ms = self._timer.now_ms()
        if now_ms >= self._leased_until_ms or now_ms >= message.attempt.deadline_ms:
            code = "no_lease" if now_ms >= self._leased_until_ms else "deadline"
            sending.evidence = Evidence("not_started", None, code)
            self.step(ATTEMPT_CHART, sending, "abandon")
        else:
            self.step(ATTEMPT_CHART, sending, "send")

    @carries_out("transmit")
    def _transmit(self, sending: Sending) -> None:
        self.spawn(self._send(sending, self._epoch))

    async def _send(self, sending: Sending, epoch: int) -> None:
        attempt = sending.attempt
        body = {
            "attempt_id": attempt.attempt_id,
            "request_id": attempt.request_id,
            "incarnation": self._incarnation,
            "lease_epoch": epoch,
            "team": attempt.team,
            "guarded": attempt.guarded,
            "declared_run_ms": attempt.declared_run_ms,
            "payload": attempt.payload,
        }
        try:
            async with self._session.post(self._attempts_url, json=body) as response:
                data = await _decode(response)
            sending.evidence = attempts.judge_response(attempt, response.status, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # There was no connection, so no byte of the attempt has left.
            sending.evidence = Evidence("not_started", Verdict.NO_ANSWER, type(error).__name__)
        except (aiohttp.ClientError, TimeoutError) as error:
            sending.evidence = Evidence("no_answer", Verdict.NO_ANSWER, type(error).__name__)
        event = sending.evidence.event
        refused = "connection_refused" if sending.evidence.verdict else "guard_refusal"
        self.step(ATTEMPT_CHART, sending, refused if event == "not_started" else event)

    @carries_out("report_result")
    @carries_out("report_not_started")
    @carries_out("report_no_answer")
    def _report(self, sending: Sending) -> None:
        assert sending.evidence is not None
        self._owner.tell(AttemptEnded(sending.attempt, sending.evidence))

    # Guard

    @receives(FenceRequest)
    def _on_fence_request(self, message: FenceRequest) -> None:
        self.spawn(self._fence_request(message))

    async def _fence_request(self, message: FenceRequest) -> None:
        attempt = message.attempt
        evidence = await self._ask_guard(attempt.request_id, message.boot_id)
        self._owner.tell(AttemptEnded(attempt, evidence, fenced=True))

    async def _ask_guard(self, request_id: str, boot_id: str) -> Evidence:
        try:
            status, data = await self._call("POST", "/guard/fence", {"request_id": request_id})
        except (aiohttp.ClientError, TimeoutError):
            return Evidence("no_answer", Verdict.NO_ANSWER)
        if status != 200 or not isinstance(data, dict):
            return Evidence("no_answer", Verdict.ERROR_ANSWER)
        same_boot = data.get("boot_id", "") == boot_id
        return attempts.judge_guard(request_id, self.worker, data, same_boot=same_boot)

    @receives(FindResult)
    def _on_find_result(self, message: FindResult) -> None:
        self.spawn(self._find_result(message))

    async def _find_result(self, message: FindResult) -> None:
        try:
            _, data = await self._call("GET", f"/guard/{message.request_id}", None)
        except (aiohttp.ClientError, TimeoutError):
            data = None
        evidence = attempts.judge_guard(message.request_id, self.worker, data, same_boot=True)
        resolve(message.reply, evidence)

    @receives(FenceIncarnation)
    def _on_fence_incarnation(self, message: FenceIncarnation) -> None:
        self.spawn(self._fence_incarnation(message))

    async def _fence_incarnation(self, message: FenceIncarnation) -> None:
        body = {"incarnation": message.incarnation}
        count = None
        try:
            status, data = await self._call("POST", "/guard/fence", body)
            if status == 200 and isinstance(data, dict):
                count = len(data["running"])
        except (aiohttp.ClientError, TimeoutError):
            logger.debug("fence failed", extra={"worker": self.worker})
        resolve(message.reply, count)


async def _decode(response: aiohttp.ClientResponse) -> Any:
    """Return the JSON body, None if there is no valid one."""
    try:
        return await response.json()
    except (ValueError, aiohttp.ContentTypeError):
        return None
