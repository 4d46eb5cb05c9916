"""Client of one upstream: starts, stops and throttles runs, renews the lease and lists the runs."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp

from .. import defaults, metrics
from ..bodytrim import StringTrimmer
from ..decoding import (
    UNIX_MS_MAX,
    check_address,
    check_float,
    check_int,
    check_list,
    check_str,
    decoder,
    get_int,
    get_items,
    get_str,
    parse_object,
)
from ..errors import (
    DecodeError,
    UpstreamRefusedError,
    UpstreamUnknownError,
    UpstreamUnreachableError,
)
from ..runs import EndedRun, LiveRun, StartOrder, UpstreamReport
from ..sessions import open_session
from ..traffic import TRAFFIC
from .wire import dump_json

CONNECT_TIMEOUT_MS = 500
REACH_TIMEOUT_MS = 350
CONNECTION_COUNT = 8
KEEPALIVE_S = 10
# A report with much saved progress may take this much longer while it progresses.
TRANSFER_MAX_MS = 2_000
# Responses up to this size are kept whole. Of larger ones saved progress is left out: values from
# the first size on, and what goes beyond the second one in total.
WHOLE_BODY_BYTES = 256 * 1024
SAVED_VALUE_MAX_BYTES = 64 * 1024
SAVED_TOTAL_MAX_BYTES = 1024 * 1024
# Largest response without saved progress that is left out.
BODY_MAX_BYTES = 4 * 1024 * 1024

T = TypeVar("T")

logger = logging.getLogger(__name__)

# Maps the platform's codes for the end of a run to the outcomes used in this package.
_OUTCOMES = {
    "done": "done",
    "failed": "failed",
    "stopped": "stopped",
    "lapsed": "lapsed",
    "broken": "broken",
    "alone": "alone",
}


async def reaches_upstream(address: str) -> bool:
    """Return whether an upstream accepts a connection."""
    try:
        host, _, port = check_address(address).rpartition(":")
        async with asyncio.timeout(REACH_TIMEOUT_MS / 1_000):
            _, writer = await asyncio.open_connection(host, int(port))
    except (TimeoutError, OSError, DecodeError):
        return False
    writer.close()
    return True


class UpstreamClient:
    """HTTP client of one upstream; owned by one actor.

    :param upstream_id: incarnation that the calls are meant for; other incarnations refuse them.
    """

    def __init__(self, upstream_id: str, address: str) -> None:
        self.upstream_id = upstream_id
        self.address = address
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._headers = {"Expect-Instance": upstream_id, "Content-Type": "application/json"}

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def start(self, order: StartOrder, until_ms: int, token: int) -> int:
        """Start a run and return the upstream's clock in ms.

        :param until_ms: end of the lease by the upstream's clock.
        :raises UpstreamRefusedError: the run was not started.
        :raises UpstreamUnknownError: the run may have been started, or may still be started later.
        """
        body: dict[str, Any] = {
            "task": order.task_name,
            "run": order.run,
            "spec": order.text,
            "until-ms": until_ms,
            "fencing-token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._call("start", "/run-start", body, decode_clock_ms)

    async def stop(self, task_name: str, run: int, token: int) -> int:
        """Stop a run and return the upstream's clock in ms.

        Also stops a run whose start reaches the upstream only later.
        """
        body = {"task": task_name, "run": run, "fencing-token": token}
        return await self._call("stop", "/run-stop", body, decode_clock_ms)

    async def pace(self, task_name: str, run: int, percent: int, token: int) -> int:
        """Limit a run to a percentage of its speed and return the upstream's clock in ms."""
        body = {"task": task_name, "run": run, "percent": percent, "fencing-token": token}
        return await self._call("pace", "/pace", body, decode_clock_ms)

    async def renew_lease(
        self, *, until_ms: int | None, acknowledged: int, wait_ms: int, token: int
    ) -> UpstreamReport:
        """Renew the lease of all runs, acknowledge ended runs, list live and newly ended runs.

        :param until_ms: new end of the lease by the upstream's clock, None for no renewal.
        :param acknowledged: number up to which ended runs are acknowledged, 0 for none.
        :param wait_ms: how long the upstream may wait for a run to end before it answers.
        """
        body: dict[str, Any] = {"fencing-token": token, "ack-cursor": acknowledged}
        if until_ms is not None:
            body["until-ms"] = until_ms
        if wait_ms:
            body["wait-ms"] = wait_ms
        return await self._call("hold", "/hold", body, decode_report, wait_ms)

    async def _call(
        self,
        step: str,
        path: str,
        body: dict[str, Any],
        decode: Callable[[bytes], T],
        wait_ms: int = 0,
    ) -> T:
        if self._session is None:
            self._session = open_session(CONNECTION_COUNT, KEEPALIVE_S)
        silence_ms = defaults.UPSTREAM_CALL_TIMEOUT_MS + wait_ms
        transfer_ms = TRANSFER_MAX_MS if step == "hold" else 0
        timeout = aiohttp.ClientTimeout(
            total=(silence_ms + transfer_ms) / 1_000,
            sock_read=silence_ms / 1_000,
            sock_connect=CONNECT_TIMEOUT_MS / 1_000,
        )
        encoded = dump_json(body)
        try:
            async with self._session.post(
                self._base + path, data=encoded, headers=self._headers, timeout=timeout
            ) as response:
                status, content = response.status, await self._read_body(step, response)
                TRAFFIC.add(step, len(encoded), len(content))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamUnreachableError(str(error), step=step, peer=self.address) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise UpstreamUnknownError(repr(error), step=step, peer=self.address) from error
        reasons = {421: "instance", 400: "invalid", 429: "unhealthy", 503: "unhealthy"}
        try:
            if status == 200:
                return decode(content)
            reason = decode_reason(content) if status == 409 else reasons.get(status)
        except DecodeError as error:
            raise UpstreamUnknownError(str(error), step=step, peer=self.address) from error
        if not reason:
            raise UpstreamUnknownError(f"status {status}", step=step, peer=self.address)
        raise UpstreamRefusedError(reason, step=step, peer=self.address)

    async def _read_body(self, step: str, response: aiohttp.ClientResponse) -> bytes:
        """Read a response of limited size, without saved progress that goes beyond it.

        :raises UpstreamUnknownError: if it is still too large.
        """
        trimmer: StringTrimmer | None = None
        content = bytearray()
        async for chunk in response.content.iter_any():
            content += chunk
            if trimmer is None and len(content) <= WHOLE_BODY_BYTES:
                continue
            if trimmer is None:
                trimmer = StringTrimmer(SAVED_VALUE_MAX_BYTES, SAVED_TOTAL_MAX_BYTES)
            trimmer.feed(bytes(content))
            content.clear()
            if trimmer.size_bytes > BODY_MAX_BYTES:
                raise UpstreamUnknownError("response is too large", step=step, peer=self.address)
        if trimmer is None:
            return bytes(content)
        if trimmer.left_out_count:
            metrics.CHECKPOINTS_DROPPED.add(trimmer.left_out_count, metrics.labels(reason="report"))
            logger.warning(
                "saved progress is left out of a report",
                extra={"upstream": self.upstream_id, "count": trimmer.left_out_count},
            )
        return trimmer.body()


@decoder("clock of an upstream")
def decode_clock_ms(body: bytes) -> int:
    """Decode the response to an order: the upstream's clock in ms."""
    return get_int(parse_object(body), "clock-ms")


@decoder("refusal of an upstream")
def decode_reason(body: bytes) -> str:
    """Decode the reason of a refused order."""
    return get_str(parse_object(body), "reason")


@decoder("report of an upstream")
def decode_report(body: bytes) -> UpstreamReport:
    """Decode the runs that an upstream lists."""
    data = parse_object(body)
    return UpstreamReport(
        clock_ms=check_int(data.get("clock-ms"), "clock-ms"),
        started_ms=get_int(data, "born", high=UNIX_MS_MAX),
        live=get_items(data, "running", _decode_live_run),
        ended=get_items(data, "finished", _decode_ended_run),
    )


def _decode_live_run(row: Any) -> LiveRun:
    check_list(row)
    return LiveRun(
        check_str(row[0], "task"),
        check_int(row[1], "run"),
        check_str(row[2], "saved"),
        int(check_float(row[3], "percent")),
        int(check_float(row[4], "load")) if row[4:] else 0,
    )


def _decode_ended_run(row: Any) -> EndedRun:
    check_list(row)
    outcome = check_str(row[3], "how")
    return EndedRun(
        check_int(row[0], "number"),
        check_str(row[1], "task"),
        check_int(row[2], "run"),
        _OUTCOMES.get(outcome, outcome),
        check_str(row[4], "saved"),
    )
