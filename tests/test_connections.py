"""Tests of the admission control: its decisions without a network, and its servers on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import tracemalloc
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from attrs import define, field

from tarragoncart import connectionlimits, defaults, server
from tarragoncart.connectionlimits import (
    ADDRESS_COUNT,
    BODY_TIMEOUT,
    CONNECTION_COUNT,
    EVICTED,
    HEAD_TIMEOUT,
    IDLE_TIMEOUT,
    MEGABYTE,
    STATE_TIMEOUTS,
    UNREAD_ANSWER,
    BodyBudget,
    ConnectionLimits,
    ConnectionTable,
    RefusalLog,
    decoded_bytes,
    derive_limits,
    side_limits,
)
from tarragoncart.connections import (
    AdmissionControl,
    BoundedServer,
    ListenerSpec,
    lend_nothing,
    start_server,
)
from tarragoncart.errors import DecodeError, RequestError
from tarragoncart.jobmemory import LeaderMemory
from tarragoncart.platform.callers import CallerServer, decode_job
from tarragoncart.timer import LoopTimer, ManualTimer

SMALL = defaults.SMALL_BODY_LIMIT_BYTES
SMALL_COST = SMALL * defaults.BODY_COST_RATIO
BODY_LIMIT = 65_536
ROOMY = side_limits(50)


@pytest.mark.parametrize("memory_mb", [0, 96, 160, 552])
@pytest.mark.parametrize("fd_limit_count", [0, 1_024, 4_100, 8_192])
def test_limits_fit_into_the_memory_and_descriptors_of_the_vm(memory_mb, fd_limit_count):
    """Guards against limits whose sum is above what a VM has."""
    limits = derive_limits(memory_mb, fd_limit_count, defaults.BODY_LIMIT_BYTES, 65_536)
    listeners = (limits.callers, limits.peers, limits.ready, limits.metrics)
    connection_count = sum(listener.total_count for listener in listeners)
    connection_bytes = connection_count * defaults.CONNECTION_COST_BYTES
    body_bytes = limits.large_bytes + limits.small_bytes + limits.peer_bytes
    free_bytes = (
        (memory_mb or defaults.VM_MEMORY_DEFAULT_MB) - defaults.IDLE_PROCESS_MB
    ) * MEGABYTE
    assert connection_bytes + body_bytes <= free_bytes
    side_listeners = (limits.peers, limits.ready, limits.metrics)
    side_count = sum(listener.total_count for listener in side_listeners)
    fd_count = (fd_limit_count or defaults.VM_FD_LIMIT_DEFAULT_COUNT) - defaults.FILE_FD_COUNT
    assert limits.callers.total_count + side_count < fd_count


def test_all_listeners_fit_into_few_descriptors():
    """Guards against listeners that take the descriptors of others or those for files."""
    limits = derive_limits(96, 320, defaults.BODY_LIMIT_BYTES, 65_536)
    listeners = (limits.callers, limits.peers, limits.ready, limits.metrics)
    assert sum(listener.total_count for listener in listeners) < 320 - defaults.FILE_FD_COUNT


def test_the_smallest_vm_takes_a_usual_burst_from_one_address():
    """Guards against limits that refuse the callers behind one load balancer."""
    limits = derive_limits(160, 4_100, defaults.BODY_LIMIT_BYTES, 65_536)
    assert limits.callers.per_address_count >= 600


def test_the_largest_body_fits_into_any_budget():
    """Guards against a budget in which a single request within the limits never fits."""
    limits = derive_limits(64, 0, defaults.CONFIG_LIMIT_BYTES, defaults.FORWARD_LIMIT_BYTES)
    budget = BodyBudget[str](limits.large_bytes, limits.small_bytes)
    assert budget.reserve("operator", defaults.CONFIG_LIMIT_BYTES)
    assert BodyBudget[str](limits.peer_bytes, 0).reserve("peer", defaults.FORWARD_LIMIT_BYTES)


def test_reserved_memory_never_exceeds_the_budget():
    """Guards against a sum of bodies that the VM's memory does not hold."""
    budget = BodyBudget[int](4 * MEGABYTE, MEGABYTE)
    admitted = [n for n in range(1_000) if budget.reserve(n, SMALL if n % 2 else 10 * SMALL)]
    assert 0 < len(admitted) < 1_000
    assert budget.used_bytes <= 5 * MEGABYTE
    for holder in admitted:
        budget.release(holder)
        budget.release(holder)
    assert budget.used_bytes == 0


def test_large_bodies_leave_room_for_small_ones():
    """Guards against a crowd with large bodies that keeps ordinary callers out."""
    budget = BodyBudget[str](MEGABYTE, 2 * SMALL_COST)
    while budget.reserve(f"large {budget.used_bytes}", SMALL + 1):
        pass
    assert budget.reserve("first", SMALL) and budget.reserve("second", SMALL)
    assert not budget.reserve("third", SMALL)


def test_stalled_bodies_make_room_but_only_if_that_is_enough():
    """Guards against requests given up in vain, and against memory kept by stalled bodies."""
    budget = BodyBudget[str](4 * SMALL_COST, SMALL_COST)
    assert budget.reserve("small", SMALL)
    assert budget.reserve("large", 2 * SMALL) and budget.reserve("other", 2 * SMALL)
    assert budget.find_victims(2 * SMALL, ["small", "other", "large"]) == ["other"]
    assert budget.find_victims(4 * SMALL, ["small", "other"]) == []
    assert budget.find_victims(SMALL, ["small", "other"]) == ["small"]


@pytest.fixture
def table() -> ConnectionTable[str]:
    """A table with room for three connections, two of them from one address."""
    return ConnectionTable(ConnectionLimits(3, 2))


def advance(table: ConnectionTable[str], connection: str, now_ms: float, *events: str) -> None:
    """Apply events to a connection."""
    for event in events:
        table.fire(connection, event, now_ms)


def test_the_longest_waiting_connection_makes_room(table):
    """Guards against idle or slow clients that keep ordinary callers out."""
    for n, address in enumerate(("a", "b", "c")):
        table.open(address, address, n)
    advance(table, "a", 5, "bytes")
    assert table.open("d", "d", 6).victim == "b"
    assert table.open("e", "e", 7).victim == "c"
    assert table.open("f", "f", 8).victim == "a"
    assert table.count == 3


def test_requests_in_progress_are_never_closed_for_new_connections(table):
    """Guards against an accepted job whose caller gets no answer because of other callers."""
    for address in ("a", "b", "c"):
        table.open(address, address, 0)
        advance(table, address, 1, "bytes", "request")
    admission = table.open("d", "d", 2)
    assert admission.refusal is CONNECTION_COUNT and admission.victim is None
    assert table.state("d") is None and table.count == 3


def test_an_address_at_its_limit_replaces_its_own_connections_only(table):
    """Guards against one address that takes the connections of others."""
    table.open("other", "b", 0)
    table.open("first", "a", 1)
    table.open("second", "a", 2)
    assert table.open("third", "a", 3).victim == "first"
    for connection in ("second", "third"):
        advance(table, connection, 4, "bytes", "request")
    assert table.open("fourth", "a", 5).refusal is ADDRESS_COUNT
    assert table.state("other") == "idle"


@pytest.mark.parametrize(
    ("events", "timeout_ms", "kind"),
    [
        ((), defaults.IDLE_CONNECTION_TIMEOUT_MS, IDLE_TIMEOUT),
        (("bytes",), defaults.HEAD_TIMEOUT_MS, HEAD_TIMEOUT),
        (("bytes", "request", "body_missing"), defaults.BODY_TIMEOUT_MS, BODY_TIMEOUT),
        (("bytes", "request", "unread"), defaults.UNREAD_ANSWER_TIMEOUT_MS, UNREAD_ANSWER),
    ],
)
def test_each_wait_for_a_client_ends(table, events, timeout_ms, kind):
    """Guards against clients that stop at any point of a request and hold memory forever."""
    table.open("a", "a", 0)
    advance(table, "a", 10, *events)
    assert table.expired(timeout_ms - 1) == []
    assert table.expired(timeout_ms + 10) == [("a", kind)]


def test_bytes_of_a_head_do_not_extend_its_time(table):
    """Guards against a head that is sent byte by byte without end."""
    table.open("a", "a", 0)
    for now_ms in range(0, defaults.HEAD_TIMEOUT_MS, 100):
        advance(table, "a", now_ms, "bytes")
    assert table.expired(defaults.HEAD_TIMEOUT_MS) == [("a", HEAD_TIMEOUT)]


def test_a_client_that_reads_keeps_its_connection(table):
    """Guards against large answers that are cut off while a slow client reads them."""
    table.open("a", "a", 0)
    advance(table, "a", 0, "bytes", "request", "unread")
    table.renew("a", 15_000)
    assert table.expired(defaults.UNREAD_ANSWER_TIMEOUT_MS + 1) == []
    advance(table, "a", 16_000, "read")
    assert table.state("a") == "handling"


def test_unread_answers_are_bounded_in_number():
    """Guards against the kernel's memory for answers of many clients that do not read."""
    table: ConnectionTable[int] = ConnectionTable(ConnectionLimits(8, 8))
    victims = []
    for n in range(4):
        table.open(n, "a", n)
        for event in ("bytes", "request", "unread"):
            table.fire(n, event, n)
        victims.append(table.pop_excess_unread(lambda connection: 0))
    assert victims == [[], [], [0], [1]]


def test_unread_answers_are_bounded_in_size():
    """Guards against large answers that use up the memory though they are few."""
    table: ConnectionTable[int] = ConnectionTable(ConnectionLimits(16, 16))
    limit_bytes = 4 * defaults.UNREAD_ANSWER_COST_BYTES
    victims = []
    for n in range(4):
        table.open(n, "a", n)
        for event in ("bytes", "request", "unread"):
            table.fire(n, event, n)
        victims += table.pop_excess_unread(lambda connection: limit_bytes // 2)
    assert victims == [0, 1]


def test_a_single_large_answer_may_stay_unread():
    """Guards against a limit that closes an ordinary reader of an answer above it."""
    table: ConnectionTable[int] = ConnectionTable(ConnectionLimits(16, 16))
    table.open(0, "a", 0)
    for event in ("bytes", "request", "unread"):
        table.fire(0, event, 0)
    assert table.pop_excess_unread(lambda connection: 10 * MEGABYTE) == []


@pytest.mark.parametrize("event", ["unread", "read", "bytes", "request"])
def test_only_the_end_of_a_body_ends_the_wait_for_it(table, event):
    """Guards against a body that never comes and holds its memory without a time-out."""
    table.open("a", "a", 0)
    advance(table, "a", 10, "bytes", "request", "body_missing", event)
    assert table.expired(defaults.BODY_TIMEOUT_MS + 10) == [("a", BODY_TIMEOUT)]


def test_decoded_bodies_count_with_their_containers():
    """Guards against bodies of empty lists, which take many times their size once decoded."""
    body = b"[" + b"[]," * 100_000 + b"[]]"
    budget = BodyBudget[str](4 * MEGABYTE, 0)
    assert budget.reserve("a", len(body))
    assert not budget.extend("a", decoded_bytes(body))
    assert budget.extend("a", decoded_bytes(b"x" * len(body)))
    budget.release("a")
    assert budget.used_bytes == 0


REFUSED_KINDS = [
    connectionlimits.BODY_ENCODING,
    connectionlimits.BODY_INCOMPLETE,
    connectionlimits.BODY_MEMORY,
    connectionlimits.BODY_STALLED,
    connectionlimits.BODY_TIMEOUT,
    connectionlimits.BODY_TOO_LARGE,
    connectionlimits.TRAILERS_TOO_LARGE,
]


@pytest.mark.parametrize("kind", REFUSED_KINDS, ids=lambda kind: kind.name)
@pytest.mark.parametrize(
    "refuse", [server.refuse, CallerServer(None, ManualTimer()).refuse], ids=["own", "platform"]
)
def test_each_refusal_can_be_encoded(refuse, kind):
    """Guards against a refusal that becomes an internal error."""
    request = make_mocked_request("POST", "/v1/queues/q/jobs")
    error = RequestError(kind.message, code=kind.name, status=kind.status, step="admit")
    assert refuse(request, error).status == kind.status


def test_an_error_in_the_sweep_does_not_end_the_others(monkeypatch):
    """Guards against connections without time-outs after one unexpected error."""
    control = AdmissionControl(ManualTimer())
    swept = []

    class Server:
        def sweep(self, now_ms):
            swept.append(now_ms)
            raise ValueError("test")

    control.add(Server())
    control.sweep()
    control.sweep()
    assert len(swept) == 2


def test_closed_connections_leave_nothing_behind(table):
    """Guards against a table that grows with each connection, and against late events."""
    for n in range(100):
        table.open(f"c{n}", f"a{n % 5}", n)
        advance(table, f"c{n}", n, "bytes", "request", "answered")
        table.close(f"c{n}")
        table.close(f"c{n}")
        advance(table, f"c{n}", n, "bytes")
    assert table.count == 0 and not table._addresses and not table._address_counts
    assert not any(table._waiting.values())


def test_only_states_of_the_chart_have_timeouts(table):
    """Guards against a timeout for a state that no connection is ever in."""
    assert set(STATE_TIMEOUTS) == table.chart.states - {"handling"}


def test_each_kind_of_refusal_logs_one_line_a_second():
    """Guards against a log that grows with the number of refused clients."""
    log = RefusalLog()
    assert [log.add(EVICTED, now_ms) for now_ms in (0, 1, 999, 1_000, 1_001)] == [1, 0, 0, 3, 0]
    assert log.add(IDLE_TIMEOUT, 1_001) == 1


# On loopback


@define
class Bounded:
    """A bounded server on a loopback address.

    :param handled: bodies of the requests that were handed on.
    :param release: until it is set, requests to ``/wait`` are not answered.
    """

    port: int
    server: BoundedServer
    runner: web.ServerRunner
    budget: BodyBudget[Any]
    handled: list[bytes]
    release: asyncio.Event = field(factory=asyncio.Event)

    async def exchange(self, request: bytes, *, end: bool = False) -> bytes:
        """Send bytes and return all that is received until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(request)
            if end:
                writer.write_eof()
            async with asyncio.timeout(20):
                received = b""
                with contextlib.suppress(ConnectionError):
                    while data := await reader.read(65_536):
                        received += data
                return received
        finally:
            writer.close()


# Resident memory of a process that serves nobody.
IDLE_PROCESS_BYTES = 50 * MEGABYTE


@pytest.mark.parametrize("memory_mb", [96, 128, 160, 200, 300, 552, 4_000])
@pytest.mark.parametrize("fd_limit_count", [320, 4_100, 65_536])
def test_all_limits_together_fit_the_memory_of_a_leader(memory_mb, fd_limit_count):
    """Guards against connections and bodies at their limits beside as many jobs as fit (LOST)."""
    limits = derive_limits(
        memory_mb, fd_limit_count, defaults.BODY_LIMIT_BYTES, defaults.SIDE_BODY_LIMIT_BYTES
    )
    jobs = LeaderMemory.of_vm(memory_mb)
    shares = (jobs.jobs, jobs.tasks, jobs.checkpoints, jobs.unloaded)
    for share in shares:
        share.take("", int(share.limit_bytes))
    assert (
        jobs.used_bytes >= sum(int(share.limit_bytes) for share in shares) + jobs.intake_bytes - 1
    )
    callers = limits.callers.lend(jobs.used_bytes)
    assert callers.total_count >= defaults.CONNECTION_KEPT_RATIO * limits.callers.total_count
    listeners = (callers, limits.peers, limits.ready, limits.metrics)
    connections_bytes = defaults.CONNECTION_COST_BYTES * sum(
        listener.total_count for listener in listeners
    )
    bodies_bytes = limits.large_bytes + limits.small_bytes + limits.peer_bytes
    total_bytes = IDLE_PROCESS_BYTES + connections_bytes + bodies_bytes + jobs.used_bytes
    assert total_bytes <= memory_mb * MEGABYTE


def refuse_as_json(request: web.BaseRequest, error: RequestError) -> web.Response:
    """Encode a refusal with its code."""
    return web.json_response({"error": error.code}, status=error.status)


@pytest.fixture
async def make_bounded() -> AsyncIterator[Callable[..., Any]]:
    """Return a factory of bounded servers."""
    opened: list[Bounded] = []

    async def make(
        limits: ConnectionLimits = ROOMY,
        budget: BodyBudget[Any] | None = None,
        lent_bytes: Callable[[], int] = lend_nothing,
    ) -> Bounded:
        handled: list[bytes] = []
        release = asyncio.Event()

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            body = await request.read()
            handled.append(body)
            if request.path == "/wait":
                await release.wait()
            return web.Response(body=b"y" * (20_000 if request.path == "/large" else 2))

        budget = budget or BodyBudget(4 * BODY_LIMIT * defaults.BODY_COST_RATIO, 4 * SMALL_COST)
        listener = ListenerSpec(
            "test", limits, budget, lambda _: BODY_LIMIT, refuse_as_json, lent_bytes
        )
        sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        port = sock.getsockname()[1]
        server = BoundedServer(handle, listener, AdmissionControl(LoopTimer()))
        runner = web.ServerRunner(server, shutdown_timeout=1)
        await start_server(runner, sock)
        opened.append(Bounded(port, server, runner, budget, handled, release))
        return opened[-1]

    yield make
    for bounded in opened:
        bounded.release.set()
        await bounded.runner.cleanup()


def post(body: bytes, path: str = "/", announced: int | None = None) -> bytes:
    """Return a request that closes its connection."""
    length = len(body) if announced is None else announced
    head = (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    )
    return head.encode() + body


def post_chunked(*chunks: bytes) -> bytes:
    """Return a request whose body is not announced, without its end."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


async def test_a_single_request_at_the_limits_is_served(make_bounded):
    """Guards against limits that refuse what they allow."""
    bounded = await make_bounded()
    body = b"x" * BODY_LIMIT
    head = b"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nA: " + b"a" * 8_000 + b"\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    for request in (post(body), post_chunked(body, b"")[:-2] + b"\r\n", head + length + body):
        assert (await bounded.exchange(request)).startswith(b"HTTP/1.1 200")
    assert bounded.handled == [body] * 3
    assert bounded.budget.used_bytes == 0


async def test_trailer_fields_over_the_limit_get_431_and_few_are_accepted(make_bounded):
    """Guards against fields after a body that are kept without end, and a limit that takes all."""
    bounded = await make_bounded()
    start = post_chunked(b"x" * 10) + b"0\r\n"
    assert (await bounded.exchange(start + b"A: b\r\n\r\n")).startswith(b"HTTP/1.1 200")
    # More than one read, which is what the parser may hold before they are counted.
    fields = b"".join(b"A%d: " % number + b"a" * 2_000 + b"\r\n" for number in range(40))
    answer = await bounded.exchange(start + fields)
    assert answer.startswith(b"HTTP/1.1 431") and json.loads(answer.split(b"\r\n\r\n")[1])
    assert len(bounded.handled) == 1
    assert bounded.budget.used_bytes == 0


async def test_connections_make_room_for_jobs(make_bounded):
    """Guards against a leader that ends by the connections it had when its jobs came (LOST)."""
    lent = [0]
    bounded = await make_bounded(ConnectionLimits(8, 8), lent_bytes=lambda: lent[0])
    connections = [await asyncio.open_connection("127.0.0.1", bounded.port) for _ in range(8)]
    connections[0][1].write(post(b"x", "/wait"))
    await wait_until(lambda: bounded.server.table.count == 8 and bool(bounded.handled))
    lent[0] = 3 * defaults.CONNECTION_COST_BYTES
    await wait_until(lambda: bounded.server.table.count == 5)
    lent[0] = 100 * defaults.CONNECTION_COST_BYTES
    await wait_until(lambda: bounded.server.table.count == 2)
    # A new one takes the place of the one that waits.
    assert (await bounded.exchange(post(b"y"))).startswith(b"HTTP/1.1 200")
    bounded.release.set()
    assert (await connections[0][0].read()).startswith(b"HTTP/1.1 200")
    lent[0] = 0
    for _ in range(8):
        connections.append(await asyncio.open_connection("127.0.0.1", bounded.port))
    await wait_until(lambda: bounded.server.table.count == 8)
    for _, writer in connections:
        writer.close()


async def test_a_compressed_body_is_refused_and_not_handed_on(make_bounded):
    """Guards against small bodies that expand beyond the memory reserved for them."""
    bounded = await make_bounded()
    encoding = b"\r\nContent-Encoding: deflate\r\n\r\n"
    answer = await bounded.exchange(post(b"x" * 10).replace(b"\r\n\r\n", encoding, 1))
    assert answer.startswith(b"HTTP/1.1 415")
    assert not bounded.handled
    assert bounded.budget.used_bytes == 0


@pytest.mark.parametrize(
    "request_bytes",
    [
        post(b"x" * 10, announced=BODY_LIMIT + 1),
        post_chunked(*[b"x" * 10_000] * 7),
    ],
    ids=["announced", "chunked"],
)
async def test_a_body_over_the_limit_gets_413_and_is_not_handed_on(make_bounded, request_bytes):
    """Guards against bodies that are buffered beyond the limit, and against untrue refusals."""
    bounded = await make_bounded()
    answer = await bounded.exchange(request_bytes)
    assert answer.startswith(b"HTTP/1.1 413") and json.loads(answer.split(b"\r\n\r\n")[1])
    assert not bounded.handled and bounded.budget.used_bytes == 0


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"\r\n" * (defaults.EMPTY_LINE_LIMIT_BYTES + 1),
        b"GET / HTTP/1.1\r\n" + b"A: " + b"a" * defaults.HEAD_LIMIT_BYTES,
        b"GET / HTTP/1.1\r\n" + b"".join(b"A%d: b\r\n" % n for n in range(9_000)),
        b"GET /" + b"a" * 20_000,
        b"nonsense\r\n\r\n",
    ],
    ids=["empty lines", "long header", "many headers", "long path", "not HTTP"],
)
async def test_heads_without_end_are_refused(make_bounded, request_bytes):
    """Guards against memory that grows with a head, which ends neither the reading nor the wait."""
    bounded = await make_bounded()
    answer = await bounded.exchange(request_bytes)
    assert answer == b"" or answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4"))
    assert not bounded.handled
    await wait_until(lambda: bounded.server.table.count == 0)
    assert (await bounded.exchange(post(b"next"))).startswith(b"HTTP/1.1 200")


async def test_empty_lines_within_the_limit_are_skipped(make_bounded):
    """Guards against refused clients that send an empty line between requests."""
    bounded = await make_bounded()
    assert (await bounded.exchange(b"\r\n\r\n" + post(b"x"))).startswith(b"HTTP/1.1 200")


async def test_a_body_without_room_gets_503_until_others_are_released(make_bounded):
    """Guards against bodies beyond the memory, and against reservations that are never released."""
    cost = BODY_LIMIT * defaults.BODY_COST_RATIO
    bounded = await make_bounded(budget=BodyBudget(cost, SMALL_COST))
    first = asyncio.create_task(bounded.exchange(post(b"x" * BODY_LIMIT, "/wait")))
    await wait_until(lambda: len(bounded.handled) == 1)
    refused = await bounded.exchange(post(b"z" * BODY_LIMIT))
    assert refused.startswith(b"HTTP/1.1 503") and b"Connection: close" in refused
    assert (await bounded.exchange(post(b"small"))).startswith(b"HTTP/1.1 200")
    assert b"z" * BODY_LIMIT not in bounded.handled
    bounded.release.set()
    assert (await first).startswith(b"HTTP/1.1 200")
    assert (await bounded.exchange(post(b"x" * BODY_LIMIT))).startswith(b"HTTP/1.1 200")


async def test_a_stalled_body_is_given_up(make_bounded, monkeypatch):
    """Guards against memory that is held by clients that stop just short of a body's end."""
    monkeypatch.setattr(defaults, "BODY_TIMEOUT_MS", 50)
    bounded = await make_bounded()
    answer = await bounded.exchange(post(b"x" * 99, announced=100))
    assert answer.startswith(b"HTTP/1.1 408")
    assert not bounded.handled and bounded.budget.used_bytes == 0


async def test_a_stalled_body_makes_room_for_a_complete_one(make_bounded, monkeypatch):
    """Guards against stalled bodies that keep ordinary callers out until their time is over."""
    monkeypatch.setattr(defaults, "STALLED_BODY_MS", 0)
    cost = BODY_LIMIT * defaults.BODY_COST_RATIO
    bounded = await make_bounded(budget=BodyBudget(cost, SMALL_COST))
    stalled = asyncio.create_task(bounded.exchange(post(b"x" * 50_000, announced=BODY_LIMIT)))
    await wait_until(lambda: bounded.budget.used_bytes > 0)
    assert (await bounded.exchange(post(b"y" * BODY_LIMIT))).startswith(b"HTTP/1.1 200")
    assert (await stalled).startswith(b"HTTP/1.1 408")
    assert bounded.handled == [b"y" * BODY_LIMIT] and bounded.budget.used_bytes == 0


async def test_a_client_that_waits_for_permission_gets_it(make_bounded):
    """Guards against a client and a server that wait for each other before a body is sent."""
    bounded = await make_bounded()
    reader, writer = await asyncio.open_connection("127.0.0.1", bounded.port)
    writer.write(post(b"", announced=5).replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n"))
    async with asyncio.timeout(10):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"hello")
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
    writer.close()
    assert bounded.handled == [b"hello"]


async def test_a_lost_connection_releases_its_memory(make_bounded):
    """Guards against memory that is held by clients that vanish in the middle of a body."""
    bounded = await make_bounded()
    await bounded.exchange(post(b"x" * 50, announced=100), end=True)
    await wait_until(lambda: bounded.server.table.count == 0)
    assert not bounded.handled and bounded.budget.used_bytes == 0


async def test_idle_connections_make_room_for_callers(make_bounded):
    """Guards against connections that are opened and left idle until no caller gets one."""
    bounded = await make_bounded(side_limits(5))
    idle = [await asyncio.open_connection("127.0.0.1", bounded.port) for _ in range(10)]
    for _ in range(3):
        assert (await bounded.exchange(post(b"x"))).startswith(b"HTTP/1.1 200")
    assert bounded.server.table.count <= 5 and len(bounded.server.connections) <= 5
    for _, writer in idle:
        writer.close()


async def test_clients_that_do_not_read_are_closed(make_bounded, monkeypatch):
    """Guards against answers that are kept for clients that pipeline requests and never read."""
    monkeypatch.setattr(defaults, "UNREAD_ANSWER_TIMEOUT_MS", 100)
    bounded = await make_bounded()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, ("127.0.0.1", bounded.port))
    with contextlib.suppress(ConnectionError):
        async with asyncio.timeout(10):
            while True:
                await loop.sock_sendall(client, b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n" * 100)
    await wait_until(lambda: bounded.server.table.count == 0)
    # What was handed on was answered one by one, into the buffers.
    assert len(bounded.handled) < 100
    client.close()


async def test_pipelined_requests_are_answered_in_order(make_bounded):
    """Guards against requests that are lost when reading stops and goes on."""
    bounded = await make_bounded()
    request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n"
    bodies = [b"%03d" % n for n in range(500)]
    answer = await bounded.exchange(b"".join(request + body for body in bodies) + post(b"end"))
    assert answer.count(b"HTTP/1.1 200") == 501
    assert bounded.handled == [*bodies, b"end"]


async def test_a_planned_stop_answers_the_requests_that_were_read(make_bounded):
    """Guards against a stop that closes connections with requests in progress."""
    bounded = await make_bounded()
    pending = asyncio.create_task(bounded.exchange(post(b"x", "/wait")))
    await wait_until(lambda: len(bounded.handled) == 1)
    stopping = asyncio.create_task(bounded.runner.cleanup())
    await asyncio.sleep(0.05)
    bounded.release.set()
    assert (await pending).startswith(b"HTTP/1.1 200")
    await stopping
    assert bounded.budget.used_bytes == 0 and bounded.server.table.count == 0


def steps_body(item, count):
    """Return the body of a job with a number of equal steps."""
    return b'{"spec":"x","steps":[' + b",".join([item] * count) + b"]}"


@pytest.mark.parametrize(
    "body",
    [
        steps_body(b'{"count":1}', 20_000),
        steps_body(b"{}", 20_000),
        steps_body(b'{"affinity":"abcdefgh"}', 9_000),
        steps_body(b'{"depends-on":[0]}', 13_000),
        b'{"spec":"x","steps":[' + b",".join([b"1.5"] * 60_000) + b"]}",
        b"{" + b",".join(b'"%06d":"%06d"' % (n, n) for n in range(14_000)) + b"}",
    ],
    ids=["fields", "empty", "texts", "lists", "numbers", "names"],
)
def test_the_memory_reserved_for_a_body_covers_what_is_made_of_it(body):
    """Guards against legal bodies whose objects take more than was reserved for them."""
    assert len(body) <= defaults.BODY_LIMIT_BYTES
    tracemalloc.start()
    with contextlib.suppress(DecodeError):
        decode_job(body)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    # The body itself exists twice beside its objects.
    assert peak_bytes + 2 * len(body) <= decoded_bytes(body)


def test_the_largest_job_fits_the_smallest_vm():
    """Guards against limits that refuse each job of many steps, also in calm."""
    body = steps_body(b'{"count":1}', 20_000)
    limits = derive_limits(96, 0, defaults.BODY_LIMIT_BYTES, defaults.FORWARD_LIMIT_BYTES)
    assert decoded_bytes(body) <= limits.large_bytes
