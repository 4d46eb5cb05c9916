"""Small stand-ins and helpers for the scripts of the second review (cases 6 to 10).

The store, the workers and the clients follow the users' pages (PROTOCOL, DEPLOY). The entry VMs are
the project's own programs, started with the command of ``deploy/system.toml``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "target" / "deps"))

import aiohttp  # noqa: E402
from aiohttp import web  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 11, 12
LENGTH, OFFSETS = struct.Struct(">I"), struct.Struct(">QQ")
APPEND_S = 0.004
READ_S = 0.004
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 10_000
STOP_MS = 400
HOST = "jobs.example"


def now_s() -> float:
    """Return the time on this machine's steady clock."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started_s = now_s()

    def add(self, text: str, at_s: float | None = None) -> None:
        """Add a line with the seconds since the start of the script."""
        seconds = (now_s() if at_s is None else at_s) - self.started_s
        self._file.write(f"{seconds:9.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port of a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def reply(data: Any, status: int = 200) -> web.Response:
    """Return a JSON response."""
    body = json.dumps(data).encode()
    return web.Response(status=status, body=body, content_type="application/json")


async def listen(handler: Callable[[web.BaseRequest], Any], port: int = 0) -> tuple[Any, str]:
    """Serve HTTP on a loopback address; return the runner and the address."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    bound = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    return runner, f"127.0.0.1:{bound}"


class Part:
    """A partition of a topic of the store."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.recent: dict[str, list[tuple[int, int, dict[str, int]]]] = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def extend(self, records: list[bytes]) -> int:
        """Append records, wake the readers and return the first offset."""
        offset = len(self.records)
        self.records.extend(records)
        if records:
            self.changed.set()
            self.changed = asyncio.Event()
        return offset


def keyed(key: str, value: bytes) -> bytes:
    """Return the content of a record of a keyed topic."""
    name = key.encode()
    return bytes((len(name),)) + name + value


class Store:
    """The platform's store: partitions, keyed topics and one consumer group.

    :param conditional_writers: times and callers of appends under a condition, the last one last.
    """

    def __init__(self, part_count: int = 8) -> None:
        self.part_count = part_count
        self.parts: dict[tuple[str, int], Part] = {}
        self.members: dict[str, float] = {}
        self.generation = 0
        self.conditional_writers: list[tuple[float, str]] = []
        self.runners: list[Any] = []

    async def open(self, caller: str) -> str:
        """Open an address for one caller, so that its calls can be told apart."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            return await self.handle(request, caller)

        runner, address = await listen(handle)
        self.runners.append(runner)
        return address

    async def close(self) -> None:
        for runner in self.runners:
            await runner.cleanup()

    def part(self, topic: str, number: int = 0) -> Part:
        return self.parts.setdefault((topic, number), Part())

    async def put(self, topic: str, key: str, value: Any) -> float:
        """Write a record as the operator or a worker does; return when it was acknowledged."""
        part = self.part(topic)
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            part.extend([keyed(key, b"" if value is None else json.dumps(value).encode())])
        return now_s()

    def newest(self, topic: str, number: int = 0) -> dict[str, tuple[bytes, int]]:
        """Return value and offset of the newest record of each key that is not deleted."""
        found: dict[str, tuple[bytes, int]] = {}
        for offset, record in enumerate(self.part(topic, number).records):
            key = record[1 : 1 + record[0]].decode()
            found[key] = (record[1 + record[0] :], offset)
        return {key: item for key, item in found.items() if item[0]}

    async def handle(self, request: web.BaseRequest, caller: str) -> web.StreamResponse:
        """Answer a call."""
        body = await request.read()
        match request.path:
            case "/log-append":
                return await self._append(request.query, body, caller)
            case "/log-read":
                return await self._read(request.query)
            case "/log-newest":
                await asyncio.sleep(READ_S)
                return self._newest(request.query)
            case "/log-join":
                return self._join(json.loads(body))
            case "/log-leave":
                self.members.pop(json.loads(body)["member"], None)
                self.generation += 1
                return reply({})
        return web.Response(status=404)

    async def _append(self, query: Any, body: bytes, caller: str) -> web.StreamResponse:
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        part = self.part(topic, int(query["part"]))
        records, position = [], 0
        while position < len(body):
            (size,) = LENGTH.unpack_from(body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if "as-of" in query:
                if int(query["as-of"]) != len(part.records):
                    return reply({"end": len(part.records)}, 412)
                self.conditional_writers.append((now_s(), caller))
            producer = query.get("producer")
            if producer is not None:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = part.epochs.get(producer)
                if known is not None and epoch < known:
                    return reply({"reason": "fenced"}, 409)
                for number, of_epoch, answer in part.recent.get(producer, []):
                    if (number, of_epoch) == (sequence, epoch):
                        return reply(answer)
                if known == epoch and sequence != part.sequences[producer] + 1:
                    expected = part.sequences[producer] + 1
                    return reply({"reason": "seq", "sequence": expected}, 409)
                part.epochs[producer], part.sequences[producer] = epoch, sequence
            offset = part.extend(records)
            answer = {"offset": offset, "end": len(part.records)}
            if producer is not None:
                recent = part.recent.setdefault(producer, [])
                recent.append((sequence, epoch, answer))
                del recent[:-5]
            return reply(answer)

    async def _read(self, query: Any) -> web.StreamResponse:
        part = self.part(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset >= len(part.records) and int(query.get("wait-ms", 0)):
            try:
                await asyncio.wait_for(part.changed.wait(), int(query["wait-ms"]) / 1_000)
            except TimeoutError:
                pass
        await asyncio.sleep(READ_S)
        content = bytearray(OFFSETS.pack(len(part.records), 0))
        limit = int(query.get("max-kb", 1_024)) * 1_024
        for number, record in enumerate(part.records[offset:]):
            if number and len(content) + 4 + len(record) > limit:
                break
            content += LENGTH.pack(len(record)) + record
        return web.Response(body=bytes(content))

    def _newest(self, query: Any) -> web.StreamResponse:
        topic, number = query["topic"], int(query["part"])
        found = self.newest(topic, number)
        keys = sorted(key for key in found if key > query.get("depends-on", ""))
        items, size = [], 0
        for key in keys[:500]:
            value, offset = found[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        end = len(self.part(topic, number).records)
        return reply({"items": items, "has-more": len(items) < len(keys), "end": end})

    def _join(self, data: dict[str, Any]) -> web.StreamResponse:
        now, member = now_s(), data["member"]
        alive = {name: until for name, until in self.members.items() if until >= now}
        if alive.keys() != self.members.keys() or member not in alive:
            self.generation += 1
        self.members = alive | {member: now + data["ttl-ms"] / 1_000}
        names = sorted(self.members)
        topic = data["topics"][0]
        mine = [n for n in range(self.part_count) if names[n % len(names)] == member]
        return reply({"generation": self.generation, "parts": [[topic, n, 0] for n in mine]})


class Relay:
    """A TCP relay before one address, which can be cut silently: bytes are held up and dropped."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.cut = False
        self._server: Any = None
        self._pairs: set[tuple[Any, Any]] = set()
        self._tasks: set[Any] = set()

    async def open(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=512)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def set_cut(self, cut: bool) -> None:
        """Cut the path, or heal it; connections that were cut are reset when it heals."""
        self.cut = cut
        if not cut:
            for pair in list(self._pairs):
                for writer in pair:
                    writer.transport.abort()

    async def close(self) -> None:
        self._server.close()
        self.set_cut(False)
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: Any, writer: Any) -> None:
        self._tasks.add(asyncio.current_task())
        while self.cut:
            await asyncio.sleep(0.02)
        try:
            host, _, port = self.target.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))
        finally:
            self._pairs.discard(pair)
            for end in pair:
                end.transport.abort()

    async def _pump(self, reader: Any, writer: Any) -> None:
        try:
            while data := await reader.read(65_536):
                if self.cut:
                    # Held up by the cut; lost, as the connections are reset when it ends.
                    continue
                writer.write(data)
                await writer.drain()
            if not self.cut:
                writer.transport.abort()
        except (OSError, ConnectionError):
            if not self.cut:
                writer.transport.abort()


class Worker:
    """A worker that guards its capacity and runs each task for a time that the case sets.

    :param run_s: returns how long a task runs; infinite for a task that lasts.
    :param demand: returns the cpu of a task, in thousandths of a core.
    :param starts: (time, task, run, cpu in thousandths of a core) of each run that began.
    """

    def __init__(
        self,
        worker_id: str,
        store: Store,
        record: Record,
        run_s: Callable[[str], float],
        demand: Callable[[str], int],
        *,
        backend: str = "svc",
        cpu: int = 16_000,
        labels: tuple[str, ...] = ("a", "r1-1"),
        address: str = "",
    ) -> None:
        self.worker_id, self.store, self.record = worker_id, store, record
        self.run_s, self.demand = run_s, demand
        self.backend, self.cpu, self.labels = backend, cpu, labels
        self.public_address = address
        self.address = ""
        self.phase = "ready"
        self.heartbeat = True
        self.starts: list[tuple[float, str, int, int]] = []
        self.ended: list[tuple[float, str, int, str]] = []
        self._runner: Any = None
        self._beat: Any = None
        self._checker: Any = None
        self.reset()

    def reset(self) -> None:
        """Begin a new incarnation, which holds and knows nothing of before."""
        self.born = int(time.time() * 1_000)
        self._clock_base_s = now_s() - 1.0
        self.token = 0
        self.until_ms = 0.0
        self.runs: dict[str, tuple[int, float]] = {}
        self.stopping: dict[str, float] = {}
        self.highest_ended: dict[str, int] = {}
        self.unacked: list[list[Any]] = []
        self.end_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        return int((now_s() - self._clock_base_s) * 1_000)

    async def open(self) -> None:
        self._runner, self.address = await listen(self.handle)
        self.public_address = self.public_address or self.address
        await self.register()
        self._beat = asyncio.create_task(self._beats())
        self._checker = asyncio.create_task(self._check())

    async def close(self) -> None:
        for task in (self._beat, self._checker):
            task.cancel()
        await self._runner.cleanup()

    async def register(self) -> None:
        """Write the worker's entry."""
        self.sequence += 1
        entry = {
            "backend": self.backend,
            "address": self.public_address,
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "phase": self.phase,
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "capacity": {"cpu": self.cpu, "mem-mb": 65_536},
            "labels": list(self.labels),
            "born": self.born,
        }
        await self.store.put("keyed.servers", self.worker_id, entry)

    async def _beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1_000)
            if self.heartbeat:
                await self.register()

    async def _check(self) -> None:
        while True:
            self.advance()
            await asyncio.sleep(0.005)

    def advance(self) -> None:
        """End the runs whose time has come, whose stop is done or whose lease has expired."""
        now = now_s()
        for task, (_, end_s) in list(self.runs.items()):
            if task in self.stopping:
                if now >= self.stopping[task]:
                    self._end(task, "stopped")
            elif now >= end_s:
                self._end(task, "done")
        if self.runs and self.clock_ms() > self.until_ms:
            for task in list(self.runs):
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run, _ = self.runs.pop(task)
        self.stopping.pop(task, None)
        self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        self.end_count += 1
        self.unacked.append([self.end_count, task, run, how, ""])
        self.ended.append((now_s(), task, run, how))
        self.record.add(f"{self.worker_id}: run {run} of {task} ended: {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call of an entry VM."""
        if request.path == "/health":
            return web.Response(status=200, headers={"Instance-Id": self.worker_id})
        data = json.loads(await request.read())
        if request.headers.get("Expect-Instance", self.worker_id) != self.worker_id:
            return reply({"clock-ms": self.clock_ms()}, 421)
        self.advance()
        token = data.get("fencing-token", 0)
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        until_ms = data.get("until-ms")
        if until_ms is not None:
            self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))
        match request.path:
            case "/run-start":
                return self._start(data)
            case "/run-stop":
                return self._stop(data)
            case "/hold":
                return await self._hold(data)
            case "/pace":
                return reply({"clock-ms": self.clock_ms()})
        return web.Response(status=404)

    def _refuse(self, reason: str) -> web.Response:
        return reply({"clock-ms": self.clock_ms(), "reason": reason}, 409)

    def _start(self, data: dict[str, Any]) -> web.Response:
        task, run = data["task"], data["run"]
        if task in self.runs and self.runs[task][0] == run:
            return reply({"clock-ms": self.clock_ms()})
        if data["until-ms"] <= self.clock_ms():
            return self._refuse("late")
        if run <= self.highest_ended.get(task, 0) or task in self.runs:
            return self._refuse("old")
        used = sum(self.demand(other) for other in self.runs)
        if used + self.demand(task) > self.cpu:
            return self._refuse("room")
        self.runs[task] = (run, now_s() + self.run_s(task))
        self.starts.append((now_s(), task, run, self.demand(task)))
        self.on_start(task)
        labels = ",".join(self.labels)
        self.record.add(
            f"{self.worker_id} ({labels}): run {run} of {task} starts, token {self.token}"
        )
        return reply({"clock-ms": self.clock_ms()})

    def on_start(self, task: str) -> None:
        """Called for each run that begins, for the checks of a case."""

    def _stop(self, data: dict[str, Any]) -> web.Response:
        task, run = data["task"], data["run"]
        if task in self.runs and self.runs[task][0] == run:
            self.stopping.setdefault(task, now_s() + STOP_MS / 2_000)
        else:
            self.highest_ended[task] = max(run, self.highest_ended.get(task, 0))
        return reply({"clock-ms": self.clock_ms()})

    async def _hold(self, data: dict[str, Any]) -> web.Response:
        cursor = data.get("ack-cursor", 0)
        self.unacked = [row for row in self.unacked if row[0] > cursor]
        if not self.unacked and data.get("wait-ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), data["wait-ms"] / 1_000)
            except TimeoutError:
                pass
        running = [
            [t, run, "", 100, 0] for t, (run, _) in self.runs.items() if t not in self.stopping
        ]
        return reply(
            {
                "clock-ms": self.clock_ms(),
                "born": self.born,
                "running": running,
                "finished": self.unacked[:500],
            }
        )


class Node:
    """An entry VM: the program of the deploy file with settings as on the platform."""

    def __init__(
        self, name: str, host: str, ports: list[int], folder: Path, record: Record
    ) -> None:
        self.name, self.host, self.ports, self.folder, self.record = (
            name,
            host,
            ports,
            folder,
            record,
        )
        self.zone = "zone-a"
        self.process: Any = None
        self.ready = f"{host}:{ports[1]}"
        self.front = f"{host}:{ports[0]}"

    def write_settings(self, store_address: str, seeds: list[str]) -> None:
        """Write the settings file."""
        text = f"""
node = "{self.name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "{self.host}"
zone = "{self.zone}"
region = "region-a"
port-range = [{self.ports[3]},{self.ports[3] + 1}]
seeds = {json.dumps(seeds)}
bootstrap = true
counts-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform"]
commands = "rpc"
[zones]
zone-a = "region-a"
zone-b = "region-a"
[listen-addrs]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.host}:{self.ports[2]}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
slack-ms = 200
config-ms = 2000
strict-revoke = true
revoke-ms = 5000
quota-overage = 0.1
hold-max-ms = {HOLD_MAX_MS}
stop-ms = {STOP_MS}
gang-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
status_s = 120
lease-ms = 3000
[platform]
address = "{store_address}"
form = "log"
writes-per-s = 800
reads-per-s = 2000
parts = 8
append-ms = 4.0
part-mb-s = 20.0
read-mb-s = 80.0
record-bytes = 262144
call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
"""
        (self.folder / f"{self.name}.toml").write_text(text)

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TARRAGONCART_SETTINGS": str(self.folder / f"{self.name}.toml"),
        }
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.add(f"{self.name}: started, process {self.process.pid}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process, if it still runs, and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Deployment:
    """A store, entry VMs and workers of one case.

    :param config: the operator's first configuration.
    :param zone_size: number of entry VMs in the first zone; the others are in the second one.
    """

    def __init__(self, case: Path, node_count: int, config: dict[str, Any], zone_size: int) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.config = config
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self.store_relays: dict[str, Relay] = {}
        self._others: list[Any] = []
        for number in range(node_count):
            host = f"127.0.1.{number + 1}"
            ports = [free_port(host) for _ in range(3)]
            inner = free_port(host)
            while inner in ports or inner + 1 in ports or inner > 65_000:
                inner = free_port(host)
            node = Node(f"front-{number + 1}", host, [*ports, inner], self.folder, self.record)
            node.zone = "zone-a" if number < zone_size else "zone-b"
            self.nodes.append(node)

    async def open(self) -> None:
        """Write the configuration, then start the entry VMs and wait until all are ready."""
        await self.store.put("keyed.op", "config", self.config)
        seeds = [f"{node.host}:{node.ports[2]}" for node in self.nodes[:3]]
        for node in self.nodes:
            relay = Relay(await self.store.open(node.name))
            self.store_relays[node.name] = relay
            node.write_settings(await relay.open(), seeds)
            await node.start()
        deadline_s = now_s() + 20
        while not await self._all_ready():
            if now_s() > deadline_s:
                raise RuntimeError("the entry VMs are not ready after 20 s")
            await asyncio.sleep(0.1)
        while not self.store.conditional_writers:
            if now_s() > deadline_s:
                raise RuntimeError("no entry VM has taken the lead after 20 s")
            await asyncio.sleep(0.05)
        self.record.add("all entry VMs are ready")

    async def _all_ready(self) -> bool:
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1)) as session:
            for node in self.nodes:
                try:
                    async with session.get(f"http://{node.ready}/ready") as response:
                        if response.status != 200:
                            return False
                except (aiohttp.ClientError, TimeoutError):
                    return False
        return True

    @property
    def leader(self) -> Node:
        """The entry VM that last wrote to the store under a condition."""
        name = self.store.conditional_writers[-1][1]
        return next(node for node in self.nodes if node.name == name)

    async def add_worker(self, worker: Worker, relay: bool = False) -> Relay | None:
        """Open a worker, behind a relay if it is to be cut off."""
        self.workers.append(worker)
        if not relay:
            await worker.open()
            return None
        worker._runner, worker.address = await listen(worker.handle)
        path = Relay(worker.address)
        self._others.append(path)
        worker.public_address = await path.open()
        await worker.register()
        worker._beat = asyncio.create_task(worker._beats())
        worker._checker = asyncio.create_task(worker._check())
        return path

    async def call(
        self, node: Node, method: str, path: str, key: str, body: Any = None, session: Any = None
    ) -> tuple[int, Any]:
        """Send a client's request; the status is 0 if the connection ends without an answer."""
        headers = {"Host": HOST, "Api-Key": key, "Deadline-Ms": "3000"}
        own = session is None
        session = session or aiohttp.ClientSession()
        sent_s = now_s()
        try:
            async with session.request(
                method,
                f"http://{node.front}{path}",
                headers=headers,
                json=body,
                timeout=aiohttp.ClientTimeout(total=3.0),
            ) as response:
                status, content = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, content = 0, repr(error).encode()
        finally:
            if own:
                await session.close()
        text = content.decode(errors="replace")
        self.record.add(
            f"client: {method} {path} at {node.name} sent at {sent_s - self.record.started_s:.3f}:"
            f" {status} {text[:90]}"
        )
        try:
            return status, json.loads(content)
        except ValueError:
            return status, text

    async def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            await node.end()
        for item in (*self.workers, *self.store_relays.values(), *self._others, self.store):
            try:
                await item.close()
            except Exception as error:  # noqa: BLE001
                self.record.add(f"closing failed: {error!r}")
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def main(
    case: Path, node_count: int, config: dict[str, Any], play: Any, zone_size: int = 100
) -> None:
    """Run a case within 110 s and exit with its result."""

    async def run() -> int:
        deployment = Deployment(case, node_count, config, zone_size)
        try:
            await deployment.open()
            async with asyncio.timeout(85):
                broken = await play(deployment, os.environ.get("TROUBLE", "1") != "0")
            deployment.record.add("rule broken" if broken else "rule held")
            return BROKEN if broken else HELD
        except Exception as error:  # noqa: BLE001
            deployment.record.add(f"the case could not run: {error!r}")
            return CANNOT_RUN
        finally:
            await deployment.close()

    result = asyncio.run(run())
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[result])
    sys.exit(result)
