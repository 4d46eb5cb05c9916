"""HTTP client for the operators' interface of the entry VMs."""

from __future__ import annotations

import asyncio
import functools
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib.parse import quote

import aiohttp
from attrs import define, field, frozen

from . import defaults
from .errors import RequestError
from .model import FleetConfig
from .records import converter

# Every change waits for an append to the log and its read-back; this is longer than both.
REQUEST_TIMEOUT_MS = 10_000
WITHDRAWAL_POLL_MS = 200

# Idempotent methods, which may be repeated at another entry VM.
_IDEMPOTENT_METHODS = ("GET", "DELETE")


@frozen
class Withdrawal:
    """Progress of the withdrawal of a key.

    :param offset: log offset of the withdrawal, None if it is not in the log yet.
    :param complete: no entry VM accepts the key any more.
    :param missing: names of entry VMs that may still accept the key.
    """

    offset: int | None
    complete: bool
    missing: tuple[str, ...] = ()


@define
class Operator:
    """Client of the first reachable entry VM; an asynchronous context manager.

    :param addresses: client addresses ``IP:PORT`` of entry VMs, in order of preference.
    :param author: name recorded in the audit trail.
    :param timeout_ms: limit for each call to an entry VM.
    """

    addresses: tuple[str, ...]
    author: str
    timeout_ms: int = REQUEST_TIMEOUT_MS
    _session: aiohttp.ClientSession | None = field(default=None, init=False, repr=False)

    async def __aenter__(self) -> Operator:
        timeout = aiohttp.ClientTimeout(
            total=self.timeout_ms / 1_000, sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000
        )
        self._session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the decoded response of the first entry VM that can be reached.

        A change that may have been sent is not repeated at another entry VM.

        :raises RequestError: with the entry VM's error; with code ``unreachable`` if no entry VM
            could be reached; with code ``outcome_unknown`` if a change may have been sent but was
            not answered.
        """
        assert self._session is not None, "use Operator as a context manager"
        request = functools.partial(
            self._session.request, method, json=body, params=params, headers=headers
        )
        step = f"{method} {path}"
        last_error: Exception | None = None
        for address in self.addresses:
            try:
                async with request(f"http://{address}{path}") as response:
                    return await _decode(response, step, address)
            except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
                last_error = error
            except (aiohttp.ClientError, TimeoutError) as error:
                if method not in _IDEMPOTENT_METHODS:
                    cause = str(error) or type(error).__name__
                    raise RequestError(
                        f"the request was sent but not answered; it may have taken effect: {cause}",
                        code="outcome_unknown",
                        status=504,
                        step=step,
                        peer=address,
                    ) from error
                last_error = error
        raise RequestError(
            f"no entry VM could be reached: {last_error}",
            code="unreachable",
            status=503,
            step=step,
            peer=", ".join(self.addresses),
        ) from last_error

    async def status(self) -> dict[str, Any]:
        """Return the state of the fleet as the entry VM that answers sees it."""
        return await self.call("GET", "/v1/status")

    async def publish(self, config: FleetConfig, base_version: int | None = None) -> dict[str, Any]:
        """Publish a configuration and return its version and offset.

        :param base_version: version that it replaces; the one in force by default.
        :raises RequestError: with code ``version_conflict`` if another version is in force.
        """
        if base_version is None:
            base_version = (await self.status())["config_version"]
        body = {
            "base_version": base_version,
            "config": converter().unstructure(config),
            "author": self.author,
        }
        return await self.call("POST", "/v1/config", body)

    async def grant_key(self, team: str, cutoff_grace_s: float = 0.0) -> dict[str, Any]:
        """Grant a team a new key; the returned key is not shown again.

        :param cutoff_grace_s: how much longer an entry VM that is cut off accepts the key.
        """
        body = {"team": team, "cutoff_grace_s": cutoff_grace_s, "author": self.author}
        return await self.call("POST", "/v1/keys", body)

    async def withdraw_key(
        self,
        key_id: str,
        timeout_s: float = 30.0,
        report: Callable[[Withdrawal], None] = lambda _: None,
    ) -> Withdrawal:
        """Withdraw a key and wait until no entry VM accepts it any more.

        An entry VM that has not reached the withdrawal's offset rejects the key by itself once
        its view is older than the freshness bound plus the key's grace. This rule is applied only
        if the response contains ``cutoff_grace_s``.

        :param timeout_s: longest wait; the last progress is returned when it ends.
        :param report: called with the progress whenever the missing entry VMs change.
        """
        # The bound is measured from the response; measured from the request, it would pass too
        # early by the duration of the call.
        path = f"/v1/keys/{quote(key_id, safe='')}"
        answer = await self.call("DELETE", path, params={"author": self.author})
        started_s = time.monotonic()
        offset = answer.get("offset")
        progress = Withdrawal(offset, answer["complete"], tuple(answer.get("missing", ())))
        bound_s = None
        if "cutoff_grace_s" in answer:
            bound_s = defaults.KEY_FRESHNESS_MS / 1_000 + answer["cutoff_grace_s"]
        report(progress)
        while not progress.complete:
            elapsed_s = time.monotonic() - started_s
            if bound_s is not None and elapsed_s > bound_s:
                return Withdrawal(offset, True)
            if elapsed_s > timeout_s:
                return progress
            await asyncio.sleep(WITHDRAWAL_POLL_MS / 1_000)
            try:
                missing = _still_missing(progress.missing, offset, await self.status())
            except RequestError:
                continue
            complete = offset is not None and not missing
            if missing != progress.missing or complete:
                progress = Withdrawal(offset, complete, missing)
                report(progress)
        return progress

    async def explain(self, kind: str, name: str) -> list[dict[str, Any]]:
        """Return the audit entries about a ``job``, ``vm`` or ``team``."""
        path = f"/v1/explain/{quote(kind, safe='')}/{quote(name, safe='')}"
        return (await self.call("GET", path))["entries"]

    async def start_wave(self, wave: str, pools: Sequence[str]) -> dict[str, Any]:
        """Start a maintenance wave over all VMs of some pools."""
        body = {"wave": wave, "pools": list(pools), "author": self.author}
        return await self.call("POST", "/v1/waves", body)

    async def control_wave(self, wave: str, event: str) -> dict[str, Any]:
        """Resume or cancel a wave.

        :param event: ``resume`` or ``cancel``.
        """
        path = f"/v1/waves/{quote(wave, safe='')}/{event}"
        return await self.call("POST", path, {"author": self.author})

    async def move_vm(self, vm: str, to_pool: str) -> dict[str, Any]:
        """Move a VM to another pool once it has drained."""
        body = {"vm": vm, "to_pool": to_pool, "author": self.author}
        return await self.call("POST", "/v1/moves", body)

    async def submit(
        self,
        queue: str,
        payload: Any,
        *,
        key: str = "",
        deadline_ms: int = defaults.DEADLINE_DEFAULT_MS,
        declared_run_ms: int = 0,
    ) -> dict[str, Any]:
        """Submit one job with a random request ID, to try out a queue.

        :param deadline_ms: time from now.
        """
        body = {
            "request_id": uuid.uuid4().hex,
            "deadline_ms": deadline_ms,
            "payload": payload,
            "declared_run_ms": declared_run_ms,
        }
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        return await self.call(
            "POST", f"/v1/queues/{quote(queue, safe='')}/jobs", body, headers=headers
        )


def _still_missing(
    missing: tuple[str, ...], offset: int | None, status: dict[str, Any]
) -> tuple[str, ...]:
    """Return the missing entry VMs that have not reached the offset.

    A name that is no longer among the members stays: that entry VM may be cut off, not gone.
    """
    if offset is None:
        return missing
    # A replacement and its predecessor may both be listed under the same name.
    behind = {item["name"] for item in status["members"] if item["offset"] < offset}
    reached = {item["name"] for item in status["members"]} - behind
    return tuple(name for name in missing if name not in reached)


async def _decode(response: aiohttp.ClientResponse, step: str, address: str) -> Any:
    try:
        answer = await response.json(content_type=None)
    except ValueError:
        answer = {"error": {"code": "invalid_answer", "message": "response is not JSON"}}
    error = answer.get("error") if isinstance(answer, dict) else None
    if response.status < 400 and not error:
        return answer
    error = error or {}
    raise RequestError(
        error.get("message") or f"status {response.status}",
        code=error.get("code", "unknown"),
        status=response.status,
        step=error.get("step") or step,
        peer=error.get("peer") or address,
        limit=error.get("limit") or "",
    )


def run(addresses: Sequence[str], author: str, work: Callable[[Operator], Awaitable[Any]]) -> Any:
    """Run a coroutine function with an :class:`Operator` from synchronous code."""

    async def session() -> Any:
        async with Operator(tuple(addresses), author) as operator:
            return await work(operator)

    return asyncio.run(session())
