"""Clients that respect no limit: many connections with requests that no well-behaved caller sends.

Each client is a task that owns its socket and never reads from it. It reports what it does to the
crowd by messages. What a client sends is bounded, and it stays connected until the crowd is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import zlib
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from attrs import define, field, frozen

from tarragoncart.registry import Registry

# Below the 8,190 bytes that aiohttp accepts for a header field, so that only their sum is over a
# limit.
HEADER_FIELD_BYTES = 8_000
HEADER_FIELD_COUNT = 120
ENDLESS_LINE_BYTES = 1_000_000
EMPTY_LINES_BYTES = 1_000_000
PIECE_BYTES = 16_384
WHOLE_BODY_COUNT = 2
OVERSIZED_SENT_BYTES = 1_000_000
OVERSIZED_ANNOUNCED_BYTES = 64 * 1024 * 1024
# Compressed, this is about a kilobyte.
COMPRESSED_BODY_BYTES = 1_000_000
PIPELINED_COUNT = 2_000
# A job of the most tasks that it may have.
STEP_TASK_COUNT = 2_000
STEP_COUNT = 10
# With a small receive buffer, answers that are not read soon stay with the server.
RECEIVE_BUFFER_BYTES = 4_096
# A server that stops reading, or is busy, keeps a crowd from making progress. A crowd without
# progress for this long has arrived.
QUIET_S = 1.0
ARRIVAL_TIMEOUT_S = 20.0


@frozen
class Endpoint:
    """A listener and the requests that it accepts.

    :param address: ``IP:PORT``.
    :param hostname: value of the header ``Host``.
    :param get_path: path of a ``GET`` request.
    :param post_path: path of a ``POST`` request; ``{number}`` stands for the client's number.
    :param body: JSON body of a ``POST`` request without the field that fills it up.
    :param body_bytes: size of the largest legal body.
    :param padding_field: field whose text fills a body up.
    :param items_field: field that holds a list of items.
    """

    address: str
    hostname: str
    get_path: str
    post_path: str
    body: Mapping[str, Any]
    body_bytes: int
    padding_field: str = "padding"
    items_field: str = "steps"

    def head(self, method: str, path: str, *fields: str) -> bytes:
        """Return the complete head of a request."""
        lines = (f"{method} {path} HTTP/1.1", f"Host: {self.hostname}", *fields, "", "")
        return "\r\n".join(lines).encode()

    def post_head(self, number: int, *fields: str) -> bytes:
        """Return the complete head of the ``POST`` request of a client."""
        content_type = "Content-Type: application/json"
        return self.head("POST", self.post_path.format(number=number), content_type, *fields)

    def encode_body(self, fields: Mapping[str, Any]) -> bytes:
        """Return a body with some other fields."""
        return json.dumps({**self.body, **fields}, separators=(",", ":")).encode()

    def body_of_items(self) -> bytes:
        """Return a body of at most the largest legal size, with as many small items as fit."""
        item = {"count": 1}
        item_bytes = len(json.dumps(item, separators=(",", ":"))) + 1
        left_bytes = self.body_bytes - len(self.encode_body({self.items_field: []}))
        return self.encode_body({self.items_field: [item] * (left_bytes // item_bytes)})

    def padded_body(self) -> bytes:
        """Return a body of the largest legal size."""
        empty = json.dumps({**self.body, self.padding_field: ""})
        padding = "x" * (self.body_bytes - len(empty))
        return json.dumps({**self.body, self.padding_field: padding}).encode()


# Yields what a client sends, piece by piece, from the endpoint and the client's number.
Behaviour = Callable[[Endpoint, int], Iterator[bytes]]
behaviours: Registry[Behaviour] = Registry("behaviour of untrusted clients")


@behaviours.register("head_without_end")
def _head_without_end(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield endpoint.head("GET", endpoint.get_path).removesuffix(b"\r\n")
    yield from _header_fields()


@behaviours.register("head_over_limit")
def _head_over_limit(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield from _head_without_end(endpoint, number)
    yield b"\r\n"


def _header_fields() -> Iterator[bytes]:
    for number in range(HEADER_FIELD_COUNT):
        name = f"X-{number}: ".encode()
        yield name + b"x" * (HEADER_FIELD_BYTES - len(name)) + b"\r\n"


@behaviours.register("endless_header_line")
def _endless_header_line(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield endpoint.head("GET", endpoint.get_path).removesuffix(b"\r\n") + b"X-1: "
    yield from _pieces(b"x" * ENDLESS_LINE_BYTES)


@behaviours.register("endless_empty_lines")
def _endless_empty_lines(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield from _pieces(b"\r\n" * (EMPTY_LINES_BYTES // 2))


@behaviours.register("whole_body")
def _whole_body(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = endpoint.padded_body()
    # The server takes the second request while the first one is in progress.
    for _ in range(WHOLE_BODY_COUNT):
        yield endpoint.post_head(number, f"Content-Length: {len(body)}") + body


@behaviours.register("unfinished_body")
def _unfinished_body(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = endpoint.padded_body()
    yield endpoint.post_head(number, f"Content-Length: {len(body)}")
    yield from _pieces(body[:-1])


@behaviours.register("oversized_announced_body")
def _oversized_announced_body(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield endpoint.post_head(number, f"Content-Length: {OVERSIZED_ANNOUNCED_BYTES}")
    yield from _pieces(b"x" * OVERSIZED_SENT_BYTES)


@behaviours.register("oversized_chunked_body")
def _oversized_chunked_body(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield endpoint.post_head(number, "Transfer-Encoding: chunked")
    for piece in _pieces(b"x" * OVERSIZED_SENT_BYTES):
        yield f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


@behaviours.register("endless_trailers")
def _endless_trailers(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = endpoint.encode_body({})
    yield endpoint.post_head(number, "Transfer-Encoding: chunked")
    yield f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n"
    yield from _header_fields()


@behaviours.register("many_items")
def _many_items(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = endpoint.body_of_items()
    yield endpoint.post_head(number, f"Content-Length: {len(body)}") + body


@behaviours.register("jobs_of_most_tasks")
def _jobs_of_most_tasks(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = endpoint.encode_body({endpoint.items_field: [{"count": STEP_TASK_COUNT}] * STEP_COUNT})
    yield endpoint.post_head(number, f"Content-Length: {len(body)}") + body


@behaviours.register("compressed_body")
def _compressed_body(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    body = zlib.compress(b"x" * COMPRESSED_BODY_BYTES)
    yield endpoint.post_head(
        number, "Content-Encoding: deflate", f"Content-Length: {len(body)}"
    ) + body


@behaviours.register("pipelined_unread")
def _pipelined_unread(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield from _pieces(endpoint.head("GET", endpoint.get_path) * PIPELINED_COUNT)


@behaviours.register("idle")
def _idle(endpoint: Endpoint, number: int) -> Iterator[bytes]:
    yield from ()


def _pieces(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


@frozen
class Sent:
    """A client has sent bytes."""

    byte_count: int


@frozen
class Arrived:
    """A client has sent everything, or its connection was refused or closed.

    :param closed: whether the server closed or refused the connection.
    """

    closed: bool


@define
class Crowd:
    """Clients of the same behaviour at one endpoint.

    :param sent_bytes: bytes that the system has taken for all clients so far.
    :param arrived_count: clients that have sent everything or were closed.
    :param closed_count: clients whose connection the server closed while they were sending.
    """

    endpoint: Endpoint
    behaviour: Behaviour
    client_count: int
    sent_bytes: int = 0
    arrived_count: int = 0
    closed_count: int = 0
    _messages: asyncio.Queue[Sent | Arrived] = field(factory=asyncio.Queue)
    _clients: list[asyncio.Task[None]] = field(factory=list)

    async def gather(self) -> None:
        """Start all clients and wait until they have arrived or make no more progress."""
        self._clients = [
            asyncio.create_task(self._run_client(number)) for number in range(self.client_count)
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
                while self.arrived_count < self.client_count:
                    self._count(await asyncio.wait_for(self._messages.get(), QUIET_S))

    def _count(self, message: Sent | Arrived) -> None:
        match message:
            case Sent(byte_count):
                self.sent_bytes += byte_count
            case Arrived(closed):
                self.arrived_count += 1
                self.closed_count += closed

    async def _run_client(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = self.endpoint.address.rpartition(":")
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            connection.setblocking(False)
            closed = False
            try:
                await loop.sock_connect(connection, (host, int(port)))
                for piece in self.behaviour(self.endpoint, number):
                    await loop.sock_sendall(connection, piece)
                    self._messages.put_nowait(Sent(len(piece)))
                    # A send that need not wait does not let the other clients run.
                    await asyncio.sleep(0)
            except OSError:
                closed = True
            self._messages.put_nowait(Arrived(closed))
            # Stays connected until it is cancelled.
            await loop.create_future()

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.cancel()
        await asyncio.gather(*self._clients, return_exceptions=True)
