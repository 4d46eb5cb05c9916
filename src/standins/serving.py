"""Shared code of the stand-ins: HTTP listener, event file, fault switches, delayed values."""

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

# Time that a rebooting worker allows for sending the responses of ended tasks.
SUSPEND_TIMEOUT_S = 2.0
# A terminated stand-in breaks its connections like a VM that crashes, so this is short.
CLOSE_TIMEOUT_S = 0.05
BODY_LIMIT_BYTES = 16 * 1024 * 1024


def now_ms() -> float:
    """Return the time of the machine's monotonic clock, in ms."""
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1_000


@functools.cache
def load_chart(name: str) -> Chart:
    """Load ``charts/NAME.json`` of this package."""
    source = resources.files(__package__) / "charts" / f"{name}.json"
    return parse_chart(name, json.loads(source.read_text(encoding="utf-8")))


def switch_fault(
    registry: Registry[FaultFunction],
    current: FaultsT,
    default_faults: FaultsT,
    name: str,
    on: bool,
    params: Mapping[str, Any],
) -> FaultsT:
    """Return the faults in force after one of them is switched on or off.

    :param registry: for each fault, a function that returns the fields it sets.
    :param current: the faults in force.
    :param default_faults: field values without any fault, restored when a fault is switched off.
    :param params: keyword arguments of the fault's function.
    :raises RegistryError: if the registry has no fault of that name.
    :raises TypeError: if the fault does not take these parameters.
    """
    changes = registry.get(name)(**params)
    if not on:
        changes = {key: getattr(default_faults, key) for key in changes}
    return evolve(current, **changes)  # type: ignore[misc]


class Lagged(Generic[T]):
    """A value with the history of its changes, so that it can be read as of an earlier time.

    :param initial: the value before the first change.
    """

    def __init__(self, initial: T) -> None:
        self._changes: deque[tuple[float, T]] = deque([(float("-inf"), initial)])

    def push(self, at_ms: float, value: T, keep_ms: float = 60_000) -> None:
        """Record a change and drop values that were replaced more than ``keep_ms`` before it."""
        self._changes.append((at_ms, value))
        while len(self._changes) > 1 and self._changes[1][0] < at_ms - keep_ms:
            self._changes.popleft()

    def at(self, at_ms: float) -> T:
        """Return the value as of a time in ms."""
        for changed_at_ms, value in reversed(self._changes):
            if changed_at_ms <= at_ms:
                return value
        return self._changes[0][1]


class History:
    """Event file of JSON lines, which several processes may share.

    :param path: path of the file, empty for none.
    :param source: kind of process, written with each event.
    :param name: name of the process, written with each event.
    """

    def __init__(self, path: str, source: str, name: str) -> None:
        self._source = source
        self._name = name
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644) if path else -1

    def write(self, event: str, **fields: Any) -> None:
        """Append one event, in a single write so that lines of processes do not interleave."""
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
    """HTTP server of an application, with its listening socket and connections."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        self._site: web.SockSite | None = None
        self._bound_socket: socket.socket | None = None
        self._endpoint = ("", 0)

    @property
    def address(self) -> str:
        """The address that the server listens on, as ``IP:PORT``."""
        return "{}:{}".format(*self._endpoint)

    async def open(self, address: str) -> str:
        """Start listening and return the actual address; port 0 binds a free port."""
        host, _, port = address.rpartition(":")
        await self._runner.setup()
        self._bound_socket = _bind((host, int(port)))
        self._endpoint = self._bound_socket.getsockname()[:2]
        await self.resume()
        return self.address

    async def suspend(self) -> None:
        """Refuse new connections but keep the port, and wait for responses in progress."""
        assert self._site is not None and self._runner.server is not None
        await self._site.stop()
        self._site = None
        # With a socket that is bound but does not listen, the kernel refuses connections, and
        # other processes cannot bind the port.
        self._bound_socket = _bind(self._endpoint)
        await self._runner.server.shutdown(SUSPEND_TIMEOUT_S)

    async def resume(self) -> None:
        """Listen again after :meth:`suspend`."""
        assert self._bound_socket is not None
        self._site = web.SockSite(self._runner, self._bound_socket, backlog=512)
        self._bound_socket = None
        await self._site.start()

    def is_over_limit(self, request: web.Request, limit_count: int) -> bool:
        """Return whether the request's connection exceeds a limit on open connections.

        :param limit_count: number of connections, oldest first, that are within the limit.
        """
        assert self._runner.server is not None
        connections = self._runner.server.connections
        return len(connections) > limit_count and request.protocol in connections[limit_count:]

    async def close(self) -> None:
        """Close the socket and all connections, and run the application's cleanup."""
        if self._bound_socket is not None:
            self._bound_socket.close()
        await self._runner.cleanup()


def _bind(endpoint: tuple[str, int]) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(endpoint)
    bound.setblocking(False)
    return bound


async def ask(actor: Actor, message_type: Callable[..., Any], *fields: Any) -> Any:
    """Send a message to an actor and wait for the reply.

    :param message_type: message class whose last field is the reply future.
    :param fields: the other fields.
    """
    reply = new_reply()
    actor.tell(message_type(*fields, reply))
    return await reply


async def read_json(request: web.Request, *required: str) -> dict[str, Any]:
    """Decode the request body, a JSON object; an empty body counts as an empty object.

    :param required: fields that the object must have.
    :raises web.HTTPBadRequest: if the body is not an object or lacks a required field.
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
    """Close the connection without sending a response."""
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


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return a JSON response with a value, which may contain ``attrs`` objects."""
    text = json.dumps(value, default=lambda item: asdict(item, recurse=False))
    return web.Response(text=text, status=status, content_type="application/json")
