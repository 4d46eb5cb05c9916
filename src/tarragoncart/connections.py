"""Admission control in front of all listeners: applies the limits to connections and requests.

The decisions are in :mod:`tarragoncart.connectionlimits`. Each connection is read in small pieces,
and memory for a body is reserved before the body is read and before its handler starts.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import reactivex.abc
from aiohttp import web
from aiohttp.http import HttpProcessingError, HttpRequestParser
from attrs import define, field, frozen

from . import defaults, metrics
from .connectionlimits import (
    BODY_ENCODING,
    BODY_INCOMPLETE,
    BODY_MEMORY,
    BODY_STALLED,
    BODY_TIMEOUT,
    BODY_TOO_LARGE,
    EMPTY_LINES,
    EVICTED,
    HEAD_TOO_LARGE,
    JOB_MEMORY,
    MALFORMED,
    TRAILERS_TOO_LARGE,
    UNREAD_ANSWER,
    UNREAD_COUNT,
    BodyBudget,
    ConnectionLimits,
    ConnectionTable,
    RefusalKind,
    RefusalLog,
    decoded_bytes,
)
from .errors import RequestError
from .timer import Timer

logger = logging.getLogger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# All connections of the event loop read into the same buffer, and copy what they have received.
_receive_buffer = memoryview(bytearray(defaults.READ_SIZE_BYTES))


class BodyGivenUpError(TimeoutError):
    """A body did not arrive in time, or its room is needed.

    As a time-out, it also ends the reading of the rest of the body after the refusal.
    """

    def __init__(self, kind: RefusalKind) -> None:
        super().__init__(kind.message)
        self.kind = kind


def lend_nothing() -> int:
    """Lend no memory of connections to other data."""
    return 0


@frozen
class ListenerSpec:
    """What the admission control needs to know about a listener.

    :param budget: memory for bodies; listeners may share it.
    :param body_limit: returns the largest body that a request may have.
    :param refuse: encodes a refusal in the listener's protocol.
    :param lent_bytes: returns how much of the memory of its connections other data uses.
    """

    name: str
    limits: ConnectionLimits
    budget: BodyBudget[Any]
    body_limit: Callable[[web.BaseRequest], int]
    refuse: Callable[[web.BaseRequest, RequestError], web.Response]
    lent_bytes: Callable[[], int] = lend_nothing


def refuse_plainly(request: web.BaseRequest, error: RequestError) -> web.Response:
    """Encode a refusal as its status only."""
    return web.Response(status=error.status)


def side_body_limit(request: web.BaseRequest) -> int:
    """Return the limit of bodies on listeners whose requests have none."""
    return defaults.SIDE_BODY_LIMIT_BYTES


def side_listener(name: str, limits: ConnectionLimits) -> ListenerSpec:
    """Return a listener for small requests whose bodies are not used."""
    budget: BodyBudget[Any] = BodyBudget(
        defaults.SIDE_BODY_LIMIT_BYTES * defaults.BODY_COST_RATIO, 0
    )
    return ListenerSpec(name, limits, budget, side_body_limit, refuse_plainly)


@define
class AdmissionControl:
    """The admission control of a process: its servers and the sweep over their connections."""

    timer: Timer
    _servers: list[BoundedServer] = field(init=False, factory=list)
    _refusals: RefusalLog = field(init=False, factory=RefusalLog)
    _sweep: reactivex.abc.DisposableBase | None = field(init=False, default=None)

    def add(self, server: BoundedServer) -> None:
        """Include a server in the sweep."""
        self._servers.append(server)
        if self._sweep is None:
            period = self.timer.every(defaults.CONNECTION_SWEEP_MS)
            self._sweep = period.subscribe(lambda _: self.sweep())

    def remove(self, server: BoundedServer) -> None:
        """Take a server out of the sweep, which ends with the last server."""
        if server in self._servers:
            self._servers.remove(server)
        if not self._servers and self._sweep is not None:
            self._sweep.dispose()
            self._sweep = None

    def sweep(self) -> None:
        """Close the connections that have waited for their clients for too long."""
        now_ms = self.timer.now_ms()
        for server in self._servers:
            try:
                server.sweep(now_ms)
            except Exception:
                # An error would end the subscription, and with it all time-outs.
                logger.exception("connections cannot be checked")

    def count_refusal(self, kind: RefusalKind, listener: str) -> None:
        """Count a refusal, and log it if no line about its kind was logged within a second."""
        metrics.CONNECTION_REFUSALS.add(1, metrics.labels(kind=kind.name, listener=listener))
        count = self._refusals.add(kind, self.timer.now_ms())
        if count:
            logger.warning(
                "refused by a limit of connections",
                extra={
                    "kind": kind.name,
                    "listener": listener,
                    "reason": kind.message,
                    "count": count,
                },
            )


class Connection(web.RequestHandler, asyncio.BufferedProtocol):
    """A connection of a bounded server.

    Reads are small, and stop while a request is handled and the next ones wait.
    """

    __slots__ = (
        "_blank_bytes",
        "_bounds",
        "_head_bytes",
        "_newest_payload",
        "_socket_transport",
        "_trailer_bytes",
        "_unread_bytes",
    )

    def __init__(self, server: BoundedServer, **kwargs: Any) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            server,
            loop=loop,
            read_bufsize=defaults.READ_SIZE_BYTES,
            auto_decompress=False,
            max_headers=defaults.HEADER_LIMIT_COUNT,
            lingering_time=defaults.REFUSED_BODY_LINGER_MS / 1_000,
            **kwargs,
        )
        # The number of parsed requests that wait for the handler has no option of its own.
        self._max_msg_queue_size = defaults.PIPELINED_REQUEST_LIMIT_COUNT
        self._msg_queue_resume_size = defaults.PIPELINED_REQUEST_LIMIT_COUNT - 1
        self._parser = HttpRequestParser(
            self,
            loop,
            defaults.READ_SIZE_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=defaults.PIPELINED_REQUEST_LIMIT_COUNT,
        )
        self._bounds = server
        self._socket_transport: asyncio.Transport | None = None
        self._newest_payload: Any = None
        self._head_bytes = 0
        self._blank_bytes = 0
        self._trailer_bytes = 0
        self._unread_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it at once."""
        assert isinstance(transport, asyncio.Transport)
        if not self._bounds.open(self, transport):
            # Without a server, the loss of the connection is not handled any further.
            self._manager = None
            transport.abort()
            return
        self._socket_transport = transport
        transport.set_write_buffer_limits(defaults.UNREAD_ANSWER_LIMIT_BYTES)
        super().connection_made(transport)

    async def start(self) -> None:
        """Handle the requests of the connection, which holds no memory for bodies afterwards."""
        try:
            await super().start()
        finally:
            self._bounds.budget.release(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._bounds.table.close(self)
        self._socket_transport = None
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what was read, within the limits of heads, empty lines and trailer fields."""
        payload = self._newest_payload
        in_body = payload is not None and not payload.is_eof()
        body_bytes = payload.total_bytes if in_body else 0
        request_count = self._request_count
        super().data_received(data)
        # What is sent while a request is handled does not end the wait for its answer to be read.
        waiting = not self._request_in_progress
        if self._request_count != request_count:
            self._head_bytes = self._blank_bytes = self._trailer_bytes = 0
            if self._messages:
                self._newest_payload = self._messages[-1][1]
            if waiting:
                self._bounds.fire(self, "request")
        elif in_body:
            self._add_to_trailers(payload, len(data), payload.total_bytes - body_bytes)
        elif data:
            if waiting:
                self._bounds.fire(self, "bytes")
            self._add_to_head(data)

    def _add_to_trailers(self, payload: Any, read_bytes: int, body_bytes: int) -> None:
        """Count what was read since the body last grew; the parser keeps all trailer fields."""
        self._trailer_bytes = 0 if body_bytes else self._trailer_bytes + read_bytes
        if self._trailer_bytes <= defaults.TRAILER_LIMIT_BYTES or payload.is_eof():
            return
        if self._force_close or self._close:
            return
        self._bounds.count_refusal(TRAILERS_TOO_LARGE)
        payload.set_exception(BodyGivenUpError(TRAILERS_TOO_LARGE))
        # Nothing more is parsed; the answer is sent before the connection is closed.
        self.close()

    def _add_to_head(self, data: bytes) -> None:
        if self._head_bytes == self._blank_bytes and not data.strip(b"\r\n"):
            self._blank_bytes += len(data)
            if self._blank_bytes > defaults.EMPTY_LINE_LIMIT_BYTES:
                self._refuse_head(EMPTY_LINES)
        self._head_bytes += len(data)
        if self._head_bytes > defaults.HEAD_LIMIT_BYTES:
            self._refuse_head(HEAD_TOO_LARGE)

    def _refuse_head(self, kind: RefusalKind) -> None:
        if self._force_close or self._close:
            return
        self._bounds.count_refusal(kind)
        if self._bounds.table.state(self) == "head" and self.transport is not None:
            # No request is in progress whose answer this could be taken for.
            self.transport.write(
                f"HTTP/1.1 {kind.status} {kind.message}\r\n"
                "Content-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
            self.force_close()
        else:
            # The answer of the request in progress is sent before the connection is closed.
            self.close()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it is paused.

        A body asks for this with each read; unless reading is paused, nothing is left to parse.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def pause_writing(self) -> None:
        """Note that the client does not read its answers."""
        super().pause_writing()
        self._unread_bytes = self.unsent_bytes()
        self._bounds.fire(self, "unread")

    def resume_writing(self) -> None:
        """Note that the client has read its answers."""
        super().resume_writing()
        self._bounds.fire(self, self.read_event)

    @property
    def read_event(self) -> str:
        """Event of the connection's state when the client has read its answers."""
        return "read" if self._request_in_progress else "answered"

    def unsent_bytes(self) -> int:
        """Return the size of what waits in this process to be sent."""
        transport = self._socket_transport
        return transport.get_write_buffer_size() if transport is not None else 0

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send the response, then wait for the client again."""
        if self.writing_paused:
            self._bounds.fire(self, "unread")
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            _drop_bodies(request, resp)
            self._bounds.budget.release(self)
            self._unread_bytes = self.unsent_bytes()
            if self._unread_bytes:
                self._bounds.fire(self, "unread")
            else:
                self._bounds.fire(self, "answered")
            if self._messages:
                self._bounds.fire(self, "request")
            elif self._head_bytes:
                self._bounds.fire(self, "bytes")

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error of a handler; invalid requests are counted only."""
        if isinstance(kw.get("exc_info"), HttpProcessingError | web.RequestPayloadError):
            self._bounds.count_refusal(MALFORMED)
        else:
            super().log_exception(*args, **kw)

    def send_continue(self) -> None:
        """Ask the client to send the body that it has announced."""
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def poll_read_progress(self) -> bool:
        """Return whether the client has read from its answers since the last question."""
        unread_bytes, self._unread_bytes = self._unread_bytes, self.unsent_bytes()
        return self._unread_bytes < unread_bytes

    def give_up_body(self, kind: RefusalKind) -> None:
        """Refuse the request whose body is being read."""
        if self._current_request is not None:
            self._current_request.content.set_exception(BodyGivenUpError(kind))

    def abort(self) -> None:
        """Close the connection without sending what has not been sent."""
        transport = self._socket_transport
        self.force_close()
        if transport is not None:
            transport.abort()


def _drop_bodies(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Release the bodies of a request that has been answered.

    The connection refers to both objects until its next request, however long it is idle.
    """
    request._read_bytes = None
    if isinstance(response, web.Response):
        response.body = None


class BoundedServer(web.Server):
    """HTTP server whose connections and requests are within the limits of a listener."""

    def __init__(
        self,
        handler: Handler,
        listener: ListenerSpec,
        control: AdmissionControl,
        request_factory: Any = None,
    ) -> None:
        super().__init__(self._admit, request_factory=request_factory)
        self._handler = handler
        self._listener = listener
        self._control = control
        self._now_ms = control.timer.now_ms
        self.budget = listener.budget
        self.table: ConnectionTable[Connection] = ConnectionTable(listener.limits)
        control.add(self)

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return Connection(self, access_log=None)

    def _make_request(
        self,
        message: Any,
        payload: Any,
        protocol: web.RequestHandler,
        writer: Any,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        # Announced bodies are checked before they are read; 0 means that reading has no limit.
        return web.BaseRequest(
            message, payload, protocol, writer, task, self._loop, client_max_size=0
        )

    async def shutdown(self, timeout: float | None = None) -> None:
        """Answer the requests that have been read, and close all connections."""
        await super().shutdown(timeout)
        self._control.remove(self)

    def open(self, connection: Connection, transport: asyncio.Transport) -> bool:
        """Return whether a new connection is admitted."""
        peer = transport.get_extra_info("peername")
        address = str(peer[0]) if peer else ""
        self._update_limits()
        admission = self.table.open(connection, address, self._now_ms())
        if admission.refusal is not None:
            self.count_refusal(admission.refusal)
            return False
        if admission.victim is not None:
            self.count_refusal(EVICTED)
            admission.victim.abort()
        return True

    def _update_limits(self) -> None:
        self.table.limits = self._listener.limits.lend(self._listener.lent_bytes())

    def fire(self, connection: Connection, event: str) -> None:
        """Apply an event to the state of a connection."""
        self.table.fire(connection, event, self._now_ms())
        if event == "unread":
            self._close_excess_unread()

    def _close_excess_unread(self) -> None:
        self._note_read_answers()
        for victim in self.table.pop_excess_unread(Connection.unsent_bytes):
            self.count_refusal(UNREAD_COUNT)
            victim.abort()

    def _note_read_answers(self) -> None:
        """Process that clients have read their answers.

        The transport does not tell if the rest of an answer was small when it was written.
        """
        for connection in self.table.unread():
            if not connection.unsent_bytes():
                self.table.fire(connection, connection.read_event, self._now_ms())

    def count_refusal(self, kind: RefusalKind) -> None:
        """Count a refusal of this listener."""
        self._control.count_refusal(kind, self._listener.name)

    def sweep(self, now_ms: float) -> None:
        """Give up the requests and connections that have waited for their clients for too long."""
        self._note_read_answers()
        self._update_limits()
        for connection in self.table.pop_excess():
            self.count_refusal(JOB_MEMORY)
            connection.abort()
        for connection, kind in self.table.expired(now_ms):
            if kind is UNREAD_ANSWER and connection.poll_read_progress():
                self.table.renew(connection, now_ms)
                continue
            self.count_refusal(kind)
            if kind is BODY_TIMEOUT:
                connection.give_up_body(kind)
            else:
                connection.abort()

    async def _admit(self, request: web.BaseRequest) -> web.StreamResponse:
        if not request.body_exists:
            return await self._handler(request)
        limit_bytes = self._listener.body_limit(request)
        announced = request.content_length
        if announced is not None and announced > limit_bytes:
            return self._refuse(request, BODY_TOO_LARGE)
        if request.headers.get("Content-Encoding", "identity").lower() != "identity":
            # A kilobyte may expand to a megabyte before its size is known.
            return self._refuse(request, BODY_ENCODING)
        if announced is None:
            announced = limit_bytes
            request = request.clone(client_max_size=max(1, limit_bytes))
        connection = request.protocol
        assert isinstance(connection, Connection)
        if not self._reserve(connection, announced):
            return self._refuse(request, BODY_MEMORY)
        missing = not request.content.is_eof()
        try:
            if missing:
                self.fire(connection, "body_missing")
                if request.headers.get("Expect", "").lower() == "100-continue":
                    # The client sends the body only now that there is room for it.
                    connection.send_continue()
            body = await request.read()
        except BodyGivenUpError as error:
            return self._refuse(request, error.kind, counted=True)
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(request, BODY_TOO_LARGE)
        except (ConnectionError, web.RequestPayloadError):
            return self._refuse(request, BODY_INCOMPLETE)
        finally:
            if missing:
                self.fire(connection, "body_ended")
        if not self.budget.extend(connection, decoded_bytes(body)):
            return self._refuse(request, BODY_MEMORY)
        # The request refers to its body until the response has been sent.
        return await self._handler(request)

    def _reserve(self, connection: Connection, size_bytes: int) -> bool:
        if self.budget.reserve(connection, size_bytes):
            return True
        stalled = self.table.stalled_bodies(self._now_ms())
        for victim in self.budget.find_victims(size_bytes, stalled):
            self.count_refusal(BODY_STALLED)
            self.budget.release(victim)
            victim.give_up_body(BODY_STALLED)
        return self.budget.reserve(connection, size_bytes)

    def _refuse(
        self, request: web.BaseRequest, kind: RefusalKind, counted: bool = False
    ) -> web.StreamResponse:
        if not counted:
            self.count_refusal(kind)
        error = RequestError(kind.message, code=kind.name, status=kind.status, step="admit")
        response = self._listener.refuse(request, error)
        # The rest of the body is not kept for a later request.
        response.force_close()
        return response


class BoundedAppRunner(web.AppRunner):
    """Runner of an application whose server is within the limits of a listener."""

    def __init__(
        self, app: web.Application, listener: ListenerSpec, control: AdmissionControl, **kwargs: Any
    ) -> None:
        super().__init__(app, **kwargs)
        self._listener = listener
        self._control = control

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            self._listener,
            self._control,
            request_factory=server.request_factory,
        )


async def start_server(runner: web.BaseRunner, listener: socket.socket) -> None:
    """Start the server of a runner on a listening socket.

    The kernel's memory for a connection's data is limited; accepted connections inherit the limits.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, defaults.RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, defaults.UNSENT_LIMIT_BYTES)
    await runner.setup()
    await web.SockSite(runner, listener, backlog=defaults.ACCEPT_BATCH_COUNT).start()
    # The event loop has set the queue of new connections to the size of a batch.
    listener.listen(defaults.LISTEN_BACKLOG_COUNT)
