"""Runs untrusted clients against the front ends: ``python -m bench.untrusted --connections 300``.

Prints the peak memory and descriptors of the front end's process beside their bounds for each case.
``tests/test_untrusted_clients.py`` runs the same cases with fixed numbers of clients.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from aiohttp import web
from attrs import evolve, field, frozen

from standins.crowd import Crowd, Endpoint, behaviours
from standins.platform import Platform, PlatformSettings
from standins.platform import make_app as make_platform_app
from standins.serving import Listener
from standins.store import StoreStandin
from tarragoncart import defaults
from tarragoncart.platform.boot import METRICS_PORT_OFFSET, SETTINGS_VARIABLE
from tarragoncart.registry import Registry
from tarragoncart.settings import EntrySettings

from .processes import ProcessGroup, settings_json

LOOPBACK = "127.0.0.1"
SAMPLE_INTERVAL_S = 0.02
# Guards against a process that hangs; no requirement on the time of an answer.
ANSWER_TIMEOUT_S = 60.0
RETRY_S = 0.1
START_TIMEOUT_S = 30.0
# The platform reserves this many of a VM's descriptors for files.
FILE_RESERVE_COUNT = 200
# Below the ports that the system gives to outgoing connections: another process may take one of
# those before the front end binds it.
PORT_RANGE = (20_000, 32_000)
HOSTNAME = "shop.example"
PLATFORM_CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "hostname": HOSTNAME,
            "path-prefix": "/q/",
            "backend": "pool",
            "max-attempts": 2,
            "stretch": 1.6,
            "target-latency-ms": 600,
            "public": True,
        }
    ],
    "services": [{"name": "pool", "admission-check": True, "spare": False}],
    "limits": {"max-body-bytes": 262_144},
    "tenants": [],
}
NODE_JOB = {"spec": "x", "steps": [{"count": 1}]}
ENTRY_JOB = {"payload": "x"}
OVERLOAD_STATUSES = (429, 503, 504)
# The configuration is not valid, so that the publication is refused after its body was read.
ENTRY_CONFIG = {"author": "test", "base_version": 0, "config": {}}


@frozen
class VmLimits:
    """Limits of the VM, as its settings state them.

    :param fd_count: descriptors, of which a number is reserved for files.
    """

    memory_mb: int
    fd_count: int

    @property
    def socket_count(self) -> int:
        """Descriptors that are not reserved for files."""
        return self.fd_count - FILE_RESERVE_COUNT


# An idle process uses about 50 MB. The descriptors are those of the smallest VM.
SMALL_MEMORY = VmLimits(memory_mb=96, fd_count=4_100)
FEW_DESCRIPTORS = VmLimits(memory_mb=96, fd_count=320)


# Method, path, headers and body.
Request = tuple[str, str, Mapping[str, str], Any]


@frozen
class FrontEnd:
    """A started front end.

    :param endpoints: listeners by name; ``callers`` is the one of ordinary callers.
    :param ordinary: method, path, headers and body of an ordinary request to the first endpoint.
    :param expected: status and some fields of the complete answer to it.
    :param error_file: error output of the process.
    """

    process: asyncio.subprocess.Process
    endpoints: Mapping[str, Endpoint]
    ordinary: Request
    expected: tuple[int, Mapping[str, Any]]
    error_file: Path


OpenFrontEnd = Callable[[VmLimits, Path], AbstractAsyncContextManager[FrontEnd]]
front_ends: Registry[OpenFrontEnd] = Registry("front end")


@front_ends.register("node")
@contextlib.asynccontextmanager
async def open_node(limits: VmLimits, directory: Path) -> AsyncIterator[FrontEnd]:
    """Start the platform's front end and its store."""
    store = StoreStandin()
    store.put("keyed.op", "config", PLATFORM_CONFIG)
    runner = web.ServerRunner(web.Server(store.handle), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, 0).start()
    callers_port, ready_port, peer_port = _free_ports()
    path = directory / "node.toml"
    path.write_text(f"""\
node = "node-1"
zone = "dc-1"
ip = "{LOOPBACK}"
port-range = [{peer_port}, {peer_port + METRICS_PORT_OFFSET}]
[listen-addrs]
front = "{LOOPBACK}:{callers_port}"
ready = "{LOOPBACK}:{ready_port}"
[platform]
address = "{LOOPBACK}:{runner.addresses[0][1]}"
[limits]
memory-mb = {limits.memory_mb}
max-fds = {limits.fd_count}
[bounds]
revoke-ms = 5000
config-ms = 2000
hold-max-ms = 6000
stop-ms = 200
lease-ms = 3000
status_s = 120
grace-s = 6
""")
    ports = {
        "callers": callers_port,
        "ready": ready_port,
        "peers": peer_port,
        "metrics": peer_port + METRICS_PORT_OFFSET,
    }
    get_paths = {"callers": "/q/", "ready": "/ready", "peers": "/leader", "metrics": "/metrics"}
    endpoints = {
        name: Endpoint(
            f"{LOOPBACK}:{port}",
            HOSTNAME,
            get_paths[name],
            "/q/large-{number}",
            NODE_JOB,
            defaults.BODY_LIMIT_BYTES,
        )
        for name, port in ports.items()
    }
    ordinary = ("POST", "/q/ordinary", {"Host": HOSTNAME}, NODE_JOB)
    error_file = directory / "node.err"
    try:
        with error_file.open("wb") as errors:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "tarragoncart", "node"),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
            )
        try:
            yield FrontEnd(process, endpoints, ordinary, (200, {}), error_file)
        finally:
            await _kill(process)
    finally:
        await runner.cleanup()


@front_ends.register("entry")
@contextlib.asynccontextmanager
async def open_entry(limits: VmLimits, directory: Path) -> AsyncIterator[FrontEnd]:
    """Start the project's own front end and its platform, without a fleet."""
    platform = Listener(make_platform_app(Platform(PlatformSettings("platform"))))
    settings = EntrySettings(
        name="entry-1",
        data_centre="dc-1",
        client_address=f"{LOOPBACK}:0",
        peer_address=f"{LOOPBACK}:0",
        platform_address=await platform.open(f"{LOOPBACK}:0"),
        memory_mb=limits.memory_mb,
        fd_limit_count=limits.fd_count,
    )
    path = directory / "entry.json"
    path.write_text(json.dumps(settings_json(settings)))
    group = ProcessGroup(directory)
    try:
        started = await group.start(settings.name, "tarragoncart", "entry", str(path))
        try:
            yield FrontEnd(
                started.process,
                _entry_endpoints(started.addresses),
                # A submission to a queue that does not exist is refused with a complete answer.
                ("POST", "/v1/queues/none/jobs", {}, ENTRY_JOB),
                (404, {"outcome": "not_run"}),
                directory / f"{settings.name}.err",
            )
        finally:
            await _kill(started.process)
    finally:
        await platform.close()


def entry_caller_endpoint(address: str) -> Endpoint:
    """Return the listener for callers of an entry process."""
    return Endpoint(
        address,
        HOSTNAME,
        "/v1/status",
        "/v1/queues/none/jobs",
        {},
        defaults.BODY_LIMIT_BYTES,
        padding_field="payload",
        items_field="payload",
    )


def _entry_endpoints(addresses: Mapping[str, str]) -> dict[str, Endpoint]:
    callers = entry_caller_endpoint(addresses["client_address"])
    return {
        "callers": callers,
        "operators": evolve(
            callers,
            post_path="/v1/config",
            body=ENTRY_CONFIG,
            body_bytes=defaults.CONFIG_LIMIT_BYTES,
            padding_field="padding",
        ),
        "peers": evolve(
            callers,
            address=addresses["peer_address"],
            get_path="/peer/state",
            post_path="/peer/query",
        ),
    }


def _free_ports() -> tuple[int, int, int]:
    """Return three free ports; the one after the last is free, too."""
    while True:
        first = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for port in range(first, first + 4):
                stack.enter_context(socket.create_server((LOOPBACK, port)))
            return first, first + 1, first + 2


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


@frozen
class Case:
    """Untrusted clients of one behaviour at one listener of a front end.

    :param submits_jobs: whether the outcome is taken once the leader has read the clients' jobs.
    """

    front_end: str
    listener: str
    behaviour: str
    client_count: int
    limits: VmLimits = SMALL_MEMORY
    submits_jobs: bool = False

    @property
    def name(self) -> str:
        """Name of the case in tests and printed lines."""
        return f"{self.front_end}-{self.listener}-{self.behaviour}"


def _cases(
    front_end: str, listener: str, counts: Mapping[str, int], limits: VmLimits = SMALL_MEMORY
) -> Iterator[Case]:
    return (
        Case(front_end, listener, behaviour, count, limits) for behaviour, count in counts.items()
    )


# Each crowd sends more than the memory of its VM has room for, and at most about 100 MB, so that
# holding what it sends shows.
HEAD_COUNTS = {
    "head_without_end": 100,
    "head_over_limit": 100,
    "endless_header_line": 100,
    "endless_empty_lines": 50,
}
BODY_COUNTS = {
    "whole_body": 200,
    "unfinished_body": 200,
    "oversized_announced_body": 100,
    "oversized_chunked_body": 100,
    "compressed_body": 200,
}
HEAD_CASES = tuple(
    case for front_end in ("node", "entry") for case in _cases(front_end, "callers", HEAD_COUNTS)
)
BODY_CASES = (
    *_cases("node", "callers", BODY_COUNTS),
    *_cases("entry", "callers", BODY_COUNTS),
    *_cases("entry", "operators", {"whole_body": 12, "unfinished_body": 24}),
)
# What a client sends after its body, and what a legal body holds when it is decoded.
TRAILER_CASES = tuple(
    Case(front_end, "callers", "endless_trailers", 200) for front_end in ("node", "entry")
)
DECODED_CASES = tuple(
    Case(front_end, "callers", "many_items", 400) for front_end in ("node", "entry")
)
JOB_CASES = (Case("node", "callers", "jobs_of_most_tasks", 20, submits_jobs=True),)
UNREAD_CASES = tuple(
    Case(front_end, "callers", "pipelined_unread", 100) for front_end in ("node", "entry")
)
# 200 connections are more than the descriptors that are not reserved for files.
IDLE_CASES = tuple(
    Case(front_end, listener, "idle", 200, FEW_DESCRIPTORS)
    for front_end, listeners in (
        ("node", ("callers", "ready", "peers", "metrics")),
        ("entry", ("callers", "peers")),
    )
    for listener in listeners
)
OTHER_LISTENER_CASES = (
    *_cases("node", "ready", {"head_without_end": 100, "unfinished_body": 200}),
    *_cases("node", "peers", {"head_without_end": 100, "unfinished_body": 200}),
    *_cases("node", "metrics", {"head_without_end": 100, "pipelined_unread": 50}),
    *_cases(
        "entry", "peers", {"head_without_end": 100, "unfinished_body": 200, "pipelined_unread": 50}
    ),
)
CASES = (
    *HEAD_CASES,
    *BODY_CASES,
    *TRAILER_CASES,
    *DECODED_CASES,
    *JOB_CASES,
    *UNREAD_CASES,
    *IDLE_CASES,
    *OTHER_LISTENER_CASES,
)


@frozen
class Outcome:
    """What a case has shown.

    :param alive: whether the process still ran at the end.
    :param idle_memory_mb: peak memory before the clients came.
    :param peak_memory_mb: peak memory over the process's life.
    :param peak_fd_count: most open descriptors in a sample.
    :param peak_socket_count: most open sockets in a sample.
    :param answered: whether an ordinary request was answered while the clients were connected.
    """

    limits: VmLimits
    alive: bool
    idle_memory_mb: float
    peak_memory_mb: float
    peak_fd_count: int
    peak_socket_count: int
    answered: bool
    sent_bytes: int
    closed_count: int

    def problems(self) -> Iterator[str]:
        """Yield the requirements that are not met."""
        if not self.alive:
            yield "the process has ended"
        if self.peak_memory_mb > self.limits.memory_mb:
            yield f"peak memory {self.peak_memory_mb:.0f} MB over {self.limits.memory_mb}"
        if self.peak_fd_count > self.limits.fd_count:
            yield f"{self.peak_fd_count} descriptors over {self.limits.fd_count}"
        if self.peak_socket_count > self.limits.socket_count:
            yield f"{self.peak_socket_count} sockets over {self.limits.socket_count}"
        if not self.answered:
            yield f"no ordinary answer in {ANSWER_TIMEOUT_S:.0f} s"


def is_running(pid: int) -> bool:
    """Return whether a child process has not ended; its exit status may not be read yet."""
    with contextlib.suppress(OSError):
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
        return state not in "ZX"
    return False


def read_peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1_024
    return 0.0


def read_descriptors(pid: int) -> list[str]:
    """Return the targets of a process's open descriptors, none if it has ended."""
    targets = []
    with contextlib.suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                targets.append(os.readlink(entry.path))
    return targets


@frozen
class DescriptorCounts:
    """Open descriptors in one sample."""

    fd_count: int
    socket_count: int


@frozen
class Sampler:
    """Samples the descriptors of a process until it is stopped."""

    pid: int
    samples: asyncio.Queue[DescriptorCounts] = field(factory=asyncio.Queue)

    async def run(self) -> None:
        """Take samples until cancelled."""
        while True:
            self.take()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def take(self) -> None:
        """Take one sample."""
        targets = read_descriptors(self.pid)
        sockets = sum(target.startswith("socket:") for target in targets)
        self.samples.put_nowait(DescriptorCounts(len(targets), sockets))

    def drain(self) -> Iterator[DescriptorCounts]:
        """Yield the samples that were taken."""
        while not self.samples.empty():
            yield self.samples.get_nowait()


async def ask_ordinary(front_end: FrontEnd, timeout_s: float = ANSWER_TIMEOUT_S) -> bool:
    """Send an ordinary request and return whether it is answered as expected.

    A request that is refused for overload or whose connection is closed is sent again, as callers
    do; the job's ID stays the same.
    """
    return await _ask(front_end, front_end.ordinary, *front_end.expected, timeout_s)


async def submit_and_find(front_end: FrontEnd) -> bool:
    """Submit a job and return whether the leader knows it, and so the jobs submitted before it."""
    _, _, headers, body = front_end.ordinary
    path = "/q/after-the-crowd"
    submitted = await _ask(front_end, ("POST", path, headers, body), 200, {})
    return submitted and await _ask(
        front_end, ("GET", path, headers, None), 200, {}, retried=(410,)
    )


async def _ask(
    front_end: FrontEnd,
    request: Request,
    status: int,
    fields: Mapping[str, Any],
    timeout_s: float = ANSWER_TIMEOUT_S,
    retried: tuple[int, ...] = (),
) -> bool:
    """Send a request until its answer is not one for overload; return whether it is as expected.

    :param retried: further statuses after which the request is sent again.
    """
    method, path, headers, body = request
    url = f"http://{front_end.endpoints['callers'].address}{path}"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while front_end.process.returncode is None:
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with (
                        aiohttp.ClientSession() as session,
                        session.request(method, url, json=body, headers=headers) as response,
                    ):
                        content = await response.read()
                        if response.status not in (*OVERLOAD_STATUSES, *retried):
                            answered = response.status == status
                            return answered and fields.items() <= json.loads(content).items()
                await asyncio.sleep(RETRY_S)
    return False


async def run_case(case: Case, directory: Path) -> Outcome:
    """Start a front end, send the clients of a case to it and return what was seen.

    :param directory: for settings files and error output.
    """
    async with front_ends.get(case.front_end)(case.limits, directory) as front_end:
        if not await ask_ordinary(front_end, START_TIMEOUT_S):
            raise RuntimeError(
                f"front end did not start: {front_end.error_file.read_text()[-500:]}"
            )
        pid = front_end.process.pid
        idle_memory_mb = read_peak_memory_mb(pid)
        sampler = Sampler(pid)
        sampling = asyncio.create_task(sampler.run())
        endpoint = front_end.endpoints[case.listener]
        crowd = Crowd(endpoint, behaviours.get(case.behaviour), case.client_count)
        try:
            await crowd.gather()
            answered = await ask_ordinary(front_end)
            if case.submits_jobs:
                answered = answered and await submit_and_find(front_end)
            sampler.take()
            peak_memory_mb = read_peak_memory_mb(pid)
            alive = is_running(pid)
        finally:
            sampling.cancel()
            await crowd.close()
        samples = list(sampler.drain())
        return Outcome(
            limits=case.limits,
            alive=alive,
            idle_memory_mb=idle_memory_mb,
            peak_memory_mb=peak_memory_mb,
            peak_fd_count=max(sample.fd_count for sample in samples),
            peak_socket_count=max(sample.socket_count for sample in samples),
            answered=answered,
            sent_bytes=crowd.sent_bytes,
            closed_count=crowd.closed_count,
        )


def describe(case: Case, outcome: Outcome) -> str:
    """Return a line with the measured values beside their bounds."""
    limits = case.limits
    return (
        f"{case.name}: {case.client_count} clients sent {outcome.sent_bytes / 1e6:.0f} MB,"
        f" {outcome.closed_count} closed;"
        f" memory {outcome.idle_memory_mb:.0f} idle, {outcome.peak_memory_mb:.0f} of"
        f" {limits.memory_mb} MB; descriptors {outcome.peak_fd_count} of {limits.fd_count},"
        f" sockets {outcome.peak_socket_count} of {limits.socket_count};"
        f" {'; '.join(outcome.problems()) or 'held'}"
    )


def main(
    connections: Annotated[
        int, typer.Option(help="Clients of each case; 0 for the numbers of the tests.")
    ] = 0,
    only: Annotated[str, typer.Option(help="Run the cases whose name contains this text.")] = "",
) -> None:
    """Run the cases one after the other and print a line for each."""
    for case in CASES:
        if only not in case.name:
            continue
        sized = evolve(case, client_count=connections or case.client_count)
        with tempfile.TemporaryDirectory() as directory:
            print(describe(sized, asyncio.run(run_case(sized, Path(directory)))), flush=True)


if __name__ == "__main__":
    typer.run(main)
