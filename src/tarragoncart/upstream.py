"""Actor that owns the HTTP sessions to one worker and this entry VM's lease there."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from attrs import define, evolve, frozen
from yarl import URL

from . import attempts, defaults
from .attempts import Evidence
from .charts import load_chart
from .mailbox import Actor, implements_action, receives, resolve
from .model import Attempt, HealthVerdict
from .sessions import make_connector
from .timer import Timer

logger = logging.getLogger(__name__)
ATTEMPT_CHART = load_chart("attempt")
LEASE_FIELDS = frozenset(("epoch", "duration_ms", "leaving", "slots", "running"))
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
    """Query the worker's guard about the request of an attempt.

    The guard is the worker's record of started requests. For a guarded job the query also fences
    the request: if it has not started, the worker refuses to start it from now on.

    :param boot_id: boot ID of the worker when the attempt was placed there.
    """

    attempt: Attempt
    boot_id: str


@frozen
class FenceIncarnation:
    """Make the worker refuse all later starts by an incarnation.

    The reply is the number of the incarnation's running tasks and the worker's boot ID, None if
    the worker did not answer.
    """

    incarnation: str
    reply: asyncio.Future[tuple[int, str] | None]


@frozen
class FindResult:
    """Query the guard for a request's result; the reply is the evidence.

    :param key_id: caller's key; the dispatch actor returns only results that this key may see.
    """

    request_id: str
    reply: asyncio.Future[Evidence]
    key_id: str = ""


@frozen
class RenewLease:
    """Renew the lease now."""


@frozen
class AttemptEnded:
    """A call to the worker about an attempt has ended.

    :param from_guard: whether the call was a query to the guard.
    :param delayed: whether the message has been delayed to pace repeated refusals.
    """

    attempt: Attempt
    evidence: Evidence
    from_guard: bool = False
    delayed: bool = False


@frozen
class UpstreamChanged:
    """State of a worker after a lease call.

    :param boot_id: changes when the worker restarts, which empties its guard.
    :param requested_at_ms: time when the call was sent.
    """

    name: str
    leased: bool
    leaving: bool = False
    slot_count: int = 0
    running_count: int = 0
    boot_id: str = ""
    verdict: HealthVerdict = HealthVerdict.RESULT
    requested_at_ms: float = 0.0


@define
class Transmission:
    """An attempt that is being sent; ``state`` is a state of the attempt chart."""

    attempt: Attempt
    state: str = ATTEMPT_CHART.initial
    evidence: Evidence | None = None


class GatedPayload(aiohttp.JsonPayload):
    """JSON body that is sent only if ``may_send`` allows it once a connection is available.

    A lease or a deadline may expire while the request waits for a connection.
    """

    def __init__(self, body: Any, may_send: Callable[[], bool]) -> None:
        super().__init__(body)
        self._may_send = may_send

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body.

        :raises ValueError: if ``may_send`` returns False; the connection is then closed.
        """
        if not self._may_send():
            raise ValueError("lease or deadline expired before the body was sent")
        await super().write_with_length(writer, content_length)


class Upstream(Actor):
    """Renews the lease at one worker, sends attempts to it and queries its guard.

    :param owner: actor that receives :class:`AttemptEnded` and :class:`UpstreamChanged`.
    :param connection_count: maximum number of connections for attempts to the worker.
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
        # Parsed once, because parsing a URL is a measurable part of a request's cost.
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

    async def on_open(self) -> None:
        """Open the sessions and request a lease."""
        connector = make_connector(self._source_address, self._connection_count)
        self._session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar(), timeout=ATTEMPT_TIMEOUT
        )
        # Control calls use a separate session, so that attempts cannot delay a lease renewal.
        self._control = aiohttp.ClientSession(connector=make_connector(self._source_address, 2))
        self.subscribe(self._timer.every(defaults.LEASE_RENEWAL_MS), RenewLease())
        self.tell_self(RenewLease())

    async def on_close(self) -> None:
        """Close the sessions and reply to the messages that are left in the inbox."""
        await self._session.close()
        await self._control.close()
        while self._inbox:
            message = self._inbox.popleft()
            if isinstance(message, Transmit):
                evidence = Evidence("not_started", None, "gone")
                self._owner.tell(AttemptEnded(message.attempt, evidence))
            elif isinstance(message, FenceRequest):
                evidence = Evidence("no_answer")
                self._owner.tell(AttemptEnded(message.attempt, evidence, from_guard=True))
            elif isinstance(message, FindResult):
                resolve(message.reply, Evidence("no_answer"))
            elif isinstance(message, FenceIncarnation):
                resolve(message.reply, None)

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
        if status == 200 and isinstance(data, dict) and data.keys() >= LEASE_FIELDS:
            self._epoch = data["epoch"]
            # Counted from the time of sending, so that the lease expires here before it expires
            # at the worker.
            self._leased_until_ms = sent_at_ms + data["duration_ms"]
            self._boot_id = data.get("boot_id", "")
            change = UpstreamChanged(
                self.worker,
                leased=True,
                leaving=data["leaving"],
                slot_count=data["slots"],
                running_count=data["running"],
                boot_id=self._boot_id,
                requested_at_ms=sent_at_ms,
            )
        else:
            verdict = HealthVerdict.ERROR_ANSWER if status else HealthVerdict.NO_ANSWER
            leased = self._timer.now_ms() < self._leased_until_ms
            change = UpstreamChanged(
                self.worker,
                leased,
                boot_id=self._boot_id,
                verdict=verdict,
                requested_at_ms=sent_at_ms,
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
        transmission = Transmission(message.attempt)
        if refusal := self._reason_not_to_send(transmission):
            transmission.evidence = refusal
            self.step(ATTEMPT_CHART, transmission, "abandon")
        else:
            self.step(ATTEMPT_CHART, transmission, "connect")

    def _reason_not_to_send(self, transmission: Transmission) -> Evidence | None:
        """Return evidence of why an attempt may not be sent now, None if it may be sent."""
        now_ms = self._timer.now_ms()
        if now_ms >= self._leased_until_ms:
            return Evidence("not_started", None, "no_lease")
        if now_ms >= transmission.attempt.deadline_ms:
            return Evidence("not_started", None, "deadline")
        return None

    def _start_sending(self, transmission: Transmission) -> bool:
        transmission.evidence = self._reason_not_to_send(transmission)
        if transmission.evidence is None:
            self.step(ATTEMPT_CHART, transmission, "send")
        return transmission.evidence is None

    @implements_action("transmit")
    def _transmit(self, transmission: Transmission) -> None:
        def ended(task: asyncio.Task[None]) -> None:
            # The task is cancelled when the worker leaves the fleet; its job still needs a report.
            if task.cancelled() or task.exception():
                transmission.evidence = Evidence("no_answer", None, "gone")
                self._finish(transmission)

        self.spawn(self._send(transmission, self._epoch)).add_done_callback(ended)

    async def _send(self, transmission: Transmission, epoch: int) -> None:
        attempt = transmission.attempt
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
        payload = GatedPayload(body, lambda: self._start_sending(transmission))
        try:
            async with self._session.post(self._attempts_url, data=payload) as response:
                data = await _decode(response)
            transmission.evidence = attempts.evidence_from_response(attempt, response.status, data)
        except (aiohttp.ClientError, TimeoutError) as error:
            if transmission.state != "never_sent" or transmission.evidence is None:
                transmission.evidence = Evidence(
                    "no_answer", HealthVerdict.NO_ANSWER, type(error).__name__
                )
        self._finish(transmission)

    def _finish(self, transmission: Transmission) -> None:
        evidence = transmission.evidence
        assert evidence is not None
        event = evidence.event
        if transmission.state == "never_sent":
            # No byte of the body was sent, so the worker cannot have started the job.
            transmission.evidence = evolve(evidence, event="not_started")
            event = "connection_refused" if evidence.verdict else "abandon"
        elif event == "not_started":
            event = "guard_refusal"
        self.step(ATTEMPT_CHART, transmission, event)

    @implements_action("report_result")
    @implements_action("report_not_started")
    @implements_action("report_no_answer")
    def _report(self, transmission: Transmission) -> None:
        assert transmission.evidence is not None
        self._owner.tell(AttemptEnded(transmission.attempt, transmission.evidence))

    # Guard

    @receives(FenceRequest)
    def _on_fence_request(self, message: FenceRequest) -> None:
        def ended(task: asyncio.Task[Evidence]) -> None:
            failed = task.cancelled() or task.exception() is not None
            evidence = Evidence("no_answer") if failed else task.result()
            self._owner.tell(AttemptEnded(message.attempt, evidence, from_guard=True))

        self.spawn(self._query_guard(message.attempt, message.boot_id)).add_done_callback(ended)

    async def _query_guard(self, attempt: Attempt, boot_id: str) -> Evidence:
        request_id = attempt.request_id
        try:
            if attempt.guarded:
                status, data = await self._call("POST", "/guard/fence", {"request_id": request_id})
            else:
                # An idempotent job may be sent again, and a fence would make this worker refuse it.
                status, data = await self._call("GET", f"/guard/{request_id}", None)
        except (aiohttp.ClientError, TimeoutError):
            return Evidence("no_answer", HealthVerdict.NO_ANSWER)
        if status != 200 or not isinstance(data, dict):
            return Evidence("no_answer", HealthVerdict.ERROR_ANSWER)
        age_ms = self._timer.now_ms() - attempt.placed_at_ms
        guard_intact = data.get("boot_id", "") == boot_id and age_ms < defaults.GUARD_RETENTION_MS
        return attempts.evidence_from_guard(
            request_id, self.worker, data, guard_intact=guard_intact
        )

    @receives(FindResult)
    def _on_find_result(self, message: FindResult) -> None:
        found = self.spawn(self._find_result(message))
        found.add_done_callback(lambda _: resolve(message.reply, Evidence("no_answer")))

    async def _find_result(self, message: FindResult) -> None:
        try:
            _, data = await self._call("GET", f"/guard/{message.request_id}", None)
        except (aiohttp.ClientError, TimeoutError):
            data = None
        evidence = attempts.evidence_from_guard(
            message.request_id, self.worker, data, guard_intact=True
        )
        resolve(message.reply, evidence)

    @receives(FenceIncarnation)
    def _on_fence_incarnation(self, message: FenceIncarnation) -> None:
        fenced = self.spawn(self._fence_incarnation(message))
        fenced.add_done_callback(lambda _: resolve(message.reply, None))

    async def _fence_incarnation(self, message: FenceIncarnation) -> None:
        body = {"incarnation": message.incarnation}
        found = None
        try:
            status, data = await self._call("POST", "/guard/fence", body)
            if status == 200 and isinstance(data, dict):
                found = len(data["running"]), data.get("boot_id", "")
        except (aiohttp.ClientError, TimeoutError):
            logger.debug("worker did not fence the incarnation", extra={"worker": self.worker})
        resolve(message.reply, found)


async def _decode(response: aiohttp.ClientResponse) -> Any:
    """Return the JSON body, None if there is no valid one."""
    try:
        return await response.json()
    except (ValueError, aiohttp.ContentTypeError):
        return None
