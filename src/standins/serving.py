"""What the stand-ins share: the listening socket, the history file, faults and lagged views."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import signal
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from importlib import resources
from typing import Any, Generic, TypeVar

from aiohttp import web
from attrs import AttrsInstance, asdict, evolve

from tarragoncart.charts import Chart, parse_chart
from tarragoncart.mailbox import Actor, new_reply
from tarragoncart.registry import Registry

T = TypeVar("T")
FaultsT = TypeVar("FaultsT", bound=AttrsInstance)
FaultFunction = Callable[..., dict[str, Any]]

# Answers of ended tasks that are still being sent when a worker reboots get this long.
SUSPEND_TIMEOUT_S = 2.0
# A stand-in that is terminated breaks its connections, as a VM that dies does.
CLOSE_TIMEOUT_S = 0.05
BODY_LIMIT_BYTES = 16 * 1024 * 1024


def now_ms() -> float:
    """Return milliseconds on the machine's monotonic clock."""
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1_000


@functools.cache
def load_chart(name: str) -> Chart:
    """Load ``charts/NAME.json`` of this package."""
    source = resources.files(__package__) / "charts" / f"{name}.json"
    return parse_chart(name, json.loads(source.read_text(encoding="utf-8")))


def switch_fault(
    registry: Registry[FaultFunction],
    current: FaultsT,
    normal: FaultsT,
    name: str,
    on: bool,
    params: Mapping[str, Any],
) -> FaultsT:
    """Return the faults after one was switched on or off.

    :param registry: functions that return the fields which the fault changes.
    :param normal: the fields without any fault.
    :raises RegistryError: if there is no such fault.
    :raises TypeError: if it does not take these parameters.
    """
    changes = registry.get(name)(**params)
    if not on:
        changes = {key: getattr(normal, key) for key in changes}
    return evolve(current, **changes)  # type: ignore[misc]


class Lagged(Generic[T]):
    """A value that others see as it was some time ago.

    :param initial: the value before the first change.
    """

    def __init__(self, initial: T) -> None:
        self._changes: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def push(self, at_ms: float, value: T, keep_ms: float = 60_000) -> None:
        """Record a change and forget values that ended longer than ``keep_ms`` ago."""
        self._changes.append((at_ms, value))
        while len(self._changes) > 1 and self._changes[1][0] < at_ms - keep_ms:
            self._changes.popleft()

    def at(self, at_ms: float) -> T:
        """Return the value in force at a time."""
        for changed_at_ms, value in reversed(self._changes):
            if changed_at_ms <= at_ms:
                return value
        return self._changes[0][1]


class History:
    """Appends events as JSON lines; several processes may share the file.

    :param path: empty for no history.
    """

    def __init__(self, path: str, source: str, name: str) -> None:
        self._source = source
        self._name = name
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644) if path else -1

    def write(self, event: str, **fields: Any) -> None:
        """Append one event; a single write keeps lines of several processes whole."""
        if self._file < 0:
            return
        head = {"at_ms": now_ms(), "source": self._source, "name": self._name, "event": event}
        os.write(self._file, (json.dumps(head | fields) + "\n").encode())

    def close(self) -> None:
        """Close the file."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


class Listener:
    """Owns the listening socket of an application and its connections."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        self._site: web.SockSite | None = None
        self._reserved: socket.socket | None = None
        self._endpoint = ("", 0)

    @property
    def address(self) -> str:
        """The address as ``IP:PORT``."""
        return "{}:{}".format(*self._endpoint)

    async def open(self, address: str) -> str:
        """Listen and return the address in use; port 0 binds a free port."""
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        self._reserved = _bind((host, int(port)))
        self._endpoint = self._reserved.getsockname()[:2]
        await self.resume()
        return self.address

    async def suspend(self) -> None:
        """Refuse connections but keep the port; answers in progress are completed first."""
        assert self._site is not None and self._runner.server is not None
        await self._site.stop()
        self._site = None
        # A socket that is bound but does not listen makes the kernel refuse connections and
        # keeps other processes from taking the port.
        self._reserved = _bind(self._endpoint)
        await self._runner.server.shutdown(SUSPEND_TIMEOUT_S)

    async def resume(self) -> None:
        """Listen again after :meth:`suspend`."""
        assert self._reserved is not None
        self._site = web.SockSite(self._runner, self._reserved, backlog=512)
        self._reserved = None
        await self._site.start()

    def is_over(self, request: web.Request, limit_count: int) -> bool:
        """Tell whether the request's connection is beyond the first ``limit_count`` open ones."""
        assert self._runner.server is not None
        connections = self._runner.server.connections
        return len(connections) > limit_count and request.protocol in connections[limit_count:]

    async def close(self) -> None:
        """Close the socket and all connections, and clean the application up."""
        if self._reserved is not None:
            self._reserved.close()
        await self._runner.cleanup()


def _bind(endpoint: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(endpoint)
    bound.setblocking(False)
    return bound


async def ask(actor: Actor, message_type: Callable[..., Any], *fields: Any) -> Any:
    """Send a message whose last field is a reply future, and wait for the reply."""
    reply = new_reply()
    actor.tell(message_type(*fields, reply))
    return await reply


async def read_json(request: web.Request, *required: str) -> dict[str, Any]:
    """Return the body, which must be an object with the required fields.

    :raises web.HTTPBadRequest: if it is not.
    """
    try:
        body = json.loads(await request.text() or "{}")
    except ValueError:
        body = None
    missing = [name for name in required if name not in body] if isinstance(body, dict) else ["{}"]
    if missing:
        raise web.HTTPBadRequest(
            text=json.dumps({"code": "bad_request", "missing": missing}),
            content_type="application/json",
        )
    return body


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection without an answer."""
    if request.transport is not None:
        request.transport.close()
    return web.Response()


async def run_until_terminated(
    open_server: Callable[[], Awaitable[str]], close_server: Callable[[], Awaitable[None]]
) -> None:
    """Open a server, print its address as one JSON line, and close it on SIGTERM or SIGINT."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminated.set)
    address = await open_server()
    print(json.dumps({"address": address}), flush=True)
    await terminated.wait()
    await close_server()


def json_answer(value: Any, status: int = 200) -> web.Response:
    """Encode a value, which may contain ``attrs`` objects, as an answer."""
    text = json.dumps(value, default=lambda item: asdict(item, recurse=False))
    return web.Response(text=text, status=status, content_type="application/json")
