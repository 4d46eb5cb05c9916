"""Client library for callers: submits jobs and determines their outcomes."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
from attrs import define, field, frozen

from . import defaults
from .errors import TarragoncartError
from .model import Outcome
from .sessions import make_connector

# Request IDs fetched per call; few enough to be used up before they expire.
ID_BLOCK_COUNT = 50
ID_EXPIRY_MARGIN_MS = 20_000
# A draining entry VM is tried last for this long; it closes its connections within seconds.
AVOID_DRAINING_MS = 5_000


@frozen
class Result:
    """Outcome of a job.

    :param answer: the worker's answer if ``outcome`` is ``answered``.
    :param code: error code if it is not.
    :param entry: address of the entry VM that replied.
    :param config_version: configuration in force at that entry VM; None without a reply, or if
        it has no configuration yet.
    """

    request_id: str
    outcome: Outcome
    answer: Any = None
    succeeded: bool = False
    code: str = ""
    message: str = ""
    status: int = 0
    entry: str = ""
    config_version: int | None = None


class EntryUnreachableError(TarragoncartError):
    """No entry VM could be reached; nothing was submitted."""


@define
class _IdBlock:
    """Unused request IDs of one entry VM."""

    request_ids: deque[str]
    expires_ms: float


Observer = Callable[[str, dict[str, Any]], None]


@define
class Client:
    """Client that submits jobs to a randomly chosen reachable entry VM.

    :param addresses: ``IP:PORT`` of the entry VMs.
    :param key: the team's key, empty for open queues.
    :param observer: called with the name and the fields of each event, for audits and tests.
    :param source_address: local IP address of connections; empty to let the system choose.
    """

    addresses: Sequence[str]
    key: str = ""
    observer: Observer = lambda event, fields: None
    source_address: str = ""
    rng: random.Random = field(factory=random.Random)
    _id_blocks: dict[str, _IdBlock] = field(init=False, factory=dict)
    _avoided_until_ms: dict[str, float] = field(init=False, factory=dict)
    _session: aiohttp.ClientSession | None = field(init=False, default=None)

    async def __aenter__(self) -> Client:
        headers = {"Authorization": f"Bearer {self.key}"} if self.key else {}
        self._session = aiohttp.ClientSession(
            headers=headers, connector=make_connector(self.source_address, 0)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._session is not None
        await self._session.close()

    async def submit(
        self,
        queue: str,
        payload: Any,
        *,
        deadline_ms: float = defaults.DEADLINE_DEFAULT_MS,
        declared_run_ms: float = 0.0,
        note: dict[str, Any] | None = None,
    ) -> Result:
        """Submit a job and return its outcome, as known at the deadline.

        A job that was certainly not sent is submitted to another entry VM under a new request ID.
        One that may have been sent is never resubmitted; its outcome is queried instead.

        :param deadline_ms: time from now.
        :param note: fields added to the observer's ``submit`` events.
        :raises EntryUnreachableError: if no entry VM can be reached.
        """
        ends_ms = _now_ms() + deadline_ms
        for address in self._in_random_order():
            try:
                request_id = await self._next_request_id(address)
            except (aiohttp.ClientError, TimeoutError, EntryUnreachableError):
                continue
            self.observer("submit", {"request_id": request_id, "entry": address, **(note or {})})
            body = {
                "request_id": request_id,
                "payload": payload,
                "deadline_ms": max(1.0, ends_ms - _now_ms()),
                "declared_run_ms": declared_run_ms,
            }
            try:
                result = await self._post(address, queue, body)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
                self.observer("connection_lost", {"request_id": request_id, "sent": False})
                self._id_blocks.pop(address, None)
                continue
            except (aiohttp.ClientError, TimeoutError, ValueError):
                self.observer("connection_lost", {"request_id": request_id, "sent": True})
                self._id_blocks.pop(address, None)
                return await self.find(request_id, wait_ms=max(0.0, ends_ms - _now_ms()))
            if result.code == "draining":
                self._avoided_until_ms[address] = _now_ms() + AVOID_DRAINING_MS
            self._observe("reply", result)
            return result
        raise EntryUnreachableError("no entry VM could be reached", step="submit")

    async def _post(self, address: str, queue: str, body: dict[str, Any]) -> Result:
        assert self._session is not None
        total_ms = body["deadline_ms"] + defaults.PEER_TIMEOUT_MS * 2
        timeout = aiohttp.ClientTimeout(
            total=total_ms / 1_000, sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000
        )
        url = f"http://{address}/v1/queues/{queue}/jobs"
        async with self._session.post(url, json=body, timeout=timeout) as response:
            return _decode_result(
                body["request_id"], response.status, await response.json(), address
            )

    async def find(self, request_id: str, *, wait_ms: float = 0.0) -> Result:
        """Query the outcome of a request until it is final or the time is up.

        :param wait_ms: longest wait for a final outcome; 0 for a single query.
        """
        ends_ms = _now_ms() + wait_ms
        delay_ms = float(defaults.GUARD_QUERY_FIRST_MS)
        result = Result(request_id, Outcome.OUTCOME_UNKNOWN, code="no_answer")
        for address in itertools.chain.from_iterable(iter(self._in_random_order, None)):
            try:
                result = await self._query_outcome(address, request_id)
            except (aiohttp.ClientError, TimeoutError, ValueError):
                pass
            if result.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN) or _now_ms() >= ends_ms:
                break
            await asyncio.sleep(min(delay_ms, max(1.0, ends_ms - _now_ms())) / 1_000)
            delay_ms = min(delay_ms * 2, defaults.GUARD_QUERY_MAX_MS)
        self._observe("query_reply", result)
        return result

    async def _query_outcome(self, address: str, request_id: str) -> Result:
        assert self._session is not None
        url = f"http://{address}/v1/requests/{request_id}"
        timeout = aiohttp.ClientTimeout(total=defaults.PEER_TIMEOUT_MS * 2 / 1_000)
        async with self._session.get(url, timeout=timeout) as response:
            return _decode_query_response(
                request_id, response.status, await response.json(), address
            )

    async def cancel(self, request_id: str) -> Result:
        """Cancel a job that has not started and return its outcome as far as known."""
        assert self._session is not None
        result = Result(request_id, Outcome.OUTCOME_UNKNOWN, code="no_answer")
        for address in self._in_random_order():
            try:
                url = f"http://{address}/v1/requests/{request_id}"
                async with self._session.delete(url) as response:
                    result = _decode_query_response(
                        request_id, response.status, await response.json(), address
                    )
                    break
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
        self._observe("cancel_reply", result)
        return result

    async def _next_request_id(self, address: str) -> str:
        block = self._id_blocks.get(address)
        if block is None or not block.request_ids or _now_ms() > block.expires_ms:
            block = self._id_blocks[address] = await self._fetch_ids(address)
        return block.request_ids.popleft()

    async def _fetch_ids(self, address: str) -> _IdBlock:
        assert self._session is not None
        requested_ms = _now_ms()
        timeout = aiohttp.ClientTimeout(total=defaults.PEER_TIMEOUT_MS / 1_000)
        async with self._session.post(
            f"http://{address}/v1/request-ids", json={"count": ID_BLOCK_COUNT}, timeout=timeout
        ) as response:
            data = await response.json()
            if response.status != 200:
                raise EntryUnreachableError(
                    "entry VM did not issue request IDs", step="issue IDs", peer=address
                )
        expires_ms = requested_ms + data["valid_ms"] - ID_EXPIRY_MARGIN_MS
        return _IdBlock(deque(data["request_ids"]), expires_ms)

    def _in_random_order(self) -> list[str]:
        shuffled = self.rng.sample(list(self.addresses), len(self.addresses))
        now_ms = _now_ms()
        return sorted(shuffled, key=lambda address: self._avoided_until_ms.get(address, 0) > now_ms)

    def _observe(self, event: str, result: Result) -> None:
        self.observer(event, {"result": result, "request_id": result.request_id})


def _now_ms() -> float:
    return time.monotonic() * 1_000


def _decode_query_response(request_id: str, status: int, data: Any, entry: str) -> Result:
    """Decode the response to a query or cancellation of an earlier request.

    A response without the request's ID concerns the query itself. A refused query does not prove
    that the job did not run.
    """
    result = _decode_result(request_id, status, data, entry)
    if data.get("request_id") == request_id:
        return result
    return Result(request_id, Outcome.OUTCOME_UNKNOWN, code=result.code)


def _decode_result(request_id: str, status: int, data: Any, entry: str) -> Result:
    """Decode a response.

    :raises ValueError: if it has no valid outcome, so does not come from an entry VM.
    """
    if not isinstance(data, dict) or "outcome" not in data:
        raise ValueError("response has no outcome")
    error = data.get("error", {})
    return Result(
        request_id=request_id,
        outcome=Outcome(data["outcome"]),
        answer=data.get("answer"),
        succeeded=data.get("succeeded", False),
        code=error.get("code", ""),
        message=error.get("message", ""),
        status=status,
        entry=entry,
        config_version=data.get("config_version"),
    )
