"""Measures how costs grow, as input for docs/CAPACITY.md: ``python -m bench.slopes [PART]``.

Times are processor time, so that other load on the machine has little effect, unless the unit says
wall time.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import psutil
import typer
from aiohttp import web
from attrs import asdict, frozen

from tarragoncart import limits, operations, records, replay, settings, snapshots
from tarragoncart.capacity import CAPACITY
from tarragoncart.dispatch import Dispatch
from tarragoncart.journal import Journal, ViewChanged
from tarragoncart.model import FleetConfig, PoolSpec, QueueSpec, TeamSpec, VmSpec
from tarragoncart.operator_api import Operator
from tarragoncart.registry import Registry
from tarragoncart.timer import ManualTimer

from .processes import Deployment
from .snapshot_cost import Size, assemble, build_records, build_state, median_ms

app = typer.Typer(add_completion=False)
KIB_PER_MIB = 1024.0
RUN_COUNT = 3
WINDOW_S = 10.0
# Long enough for members to join, rights to be divided and the first lease calls to be answered.
SETTLE_S = 5.0
WORKER_COUNTS = (0, 10, 30, 60, 120)
ENTRY_COUNTS = (1, 3, 9, 18)
VM_COUNTS = (30, 130, 390, 1_300)
# Pairs of VM and entry process counts, limited to 1,170 lease calls per second on one machine.
IN_FORCE_COUNTS = ((30, 9), (130, 9), (390, 3))
SHARES = (0.1, 0.3, 1.0)
IMPORTS = (
    "",
    "asyncio",
    "attrs",
    "cattrs",
    "reactivex",
    "aiohttp",
    "aiohttp.web",
    "json5",
    "opentelemetry.metrics",
    "opentelemetry.sdk.metrics",
    "pythonjsonlogger.json",
    "typer",
    "tarragoncart.settings",
    "tarragoncart.operator_api",
    "tarragoncart.cli",
    "tarragoncart.daemon",
)


@frozen
class Row:
    """A figure: the median, minimum and maximum of its runs."""

    name: str
    value: float
    unit: str
    run_count: int
    least: float
    greatest: float


def row(name: str, unit: str, values: Sequence[float]) -> Row:
    """Return the row for the values that the runs of a figure gave."""
    median = statistics.median(values)
    numbers = (round(value, 3) for value in (median, min(values), max(values)))
    value, least, greatest = numbers
    return Row(name, value, unit, len(values), least, greatest)


Part = Callable[[], Iterator[Row]]
PARTS: Registry[Part] = Registry("part")


def projected_size(share: float) -> Size:
    """Return the projected fleet size of the design page, multiplied by a share."""
    counts = (round(count * share) for count in (1_300, 68, 80, 40, 10_000))
    return Size(f"{share:.0%}", *counts)


def fleet_config(
    vm_count: int, pool_count: int, team_count: int, addresses: Sequence[str] = ()
) -> FleetConfig:
    """Return a configuration of a fleet.

    :param addresses: of the first VMs; nothing listens at those of the remaining ones.
    """
    pools = [f"pool-{n}" for n in range(pool_count)]
    address = dict(enumerate(addresses))
    return FleetConfig(
        tuple(QueueSpec(f"queue-{n}", pool) for n, pool in enumerate(pools)),
        tuple(TeamSpec(f"team-{n}", 1.0, 40) for n in range(team_count)),
        tuple(PoolSpec(pool, 1) for pool in pools),
        tuple(
            VmSpec(
                f"vm-{n}",
                pools[n % pool_count],
                f"dc-{n % 11}",
                f"rack-{n // 4}",
                address.get(n, f"127.0.0.1:{n + 1}"),
            )
            for n in range(vm_count)
        ),
    )


def memory_mib(process_id: int) -> tuple[float, float]:
    """Return resident and private memory of a process in MiB."""
    fields: Counter[str] = Counter()
    text = Path(f"/proc/{process_id}/smaps_rollup").read_text(encoding="ascii")
    for line in text.splitlines()[1:]:
        name, value = line.split(":")
        fields[name] = int(value.split()[0])
    private_kib = fields["Private_Clean"] + fields["Private_Dirty"]
    return fields["Rss"] / KIB_PER_MIB, private_kib / KIB_PER_MIB


# Memory


@PARTS.register("imports")
def imports() -> Iterator[Row]:
    """Memory of a fresh interpreter after each import."""
    for module in IMPORTS:
        figures = [_memory_of_import(module) for _ in range(RUN_COUNT)]
        name = module or "interpreter"
        yield row(f"{name} resident", "MiB", [figure[0] for figure in figures])
        yield row(f"{name} private", "MiB", [figure[1] for figure in figures])


def _memory_of_import(module: str) -> tuple[float, float]:
    code = f"import {module}\n" if module else ""
    code += "import sys; print(flush=True); sys.stdin.read()"
    with subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        return memory_mib(process.pid)


BASE_SIZE = Size("small", 100, 10, 10, 5, 0)
GROWN_SIZES = {
    "VM": Size("vm", 1_300, 10, 10, 5, 0),
    "team": Size("team", 100, 10, 80, 5, 0),
    "member": Size("member", 100, 10, 10, 40, 0),
}


@PARTS.register("objects")
def objects() -> Iterator[Row]:
    """Heap that the records of an added object use in the replayed state and view."""
    base_bytes = _heap_bytes(_encode_records(BASE_SIZE))
    for name, size in GROWN_SIZES.items():
        count = sum(getattr(size, f"{kind}_count") for kind in ("vm", "team", "member"))
        count -= BASE_SIZE.vm_count + BASE_SIZE.team_count + BASE_SIZE.member_count
        grown_bytes = _heap_bytes(_encode_records(size))
        yield row(name, "bytes", [(grown_bytes - base_bytes) / count])
    job_count = 2_000
    texts = _encode_records(Size("jobs", 100, 10, 10, 5, job_count))
    waiting = [text for text in texts if json.loads(text)["kind"] not in ("claim", "finish")]
    yield row("waiting job", "bytes", [(_heap_bytes(waiting) - base_bytes) / job_count])
    # Only every second job finishes.
    finished_bytes = _heap_bytes(texts) - _heap_bytes(
        [text for text in texts if json.loads(text)["kind"] != "finish"]
    )
    claimed_bytes = (
        _heap_bytes([text for text in texts if json.loads(text)["kind"] != "finish"]) - base_bytes
    )
    yield row("claimed job", "bytes", [claimed_bytes / job_count])
    yield row(
        "finished job", "bytes", [claimed_bytes / job_count + finished_bytes / (job_count / 2)]
    )


@PARTS.register("tail")
def tail() -> Iterator[Row]:
    """Heap of one publish record in the journal's tail for peers, at the projected size."""
    text = json.dumps(_publish_record(1_300))
    gc.collect()
    tracemalloc.start()
    items = [json.loads(text) for _ in range(10)]
    size_bytes = tracemalloc.get_traced_memory()[0] / len(items)
    tracemalloc.stop()
    yield row("publish record, 1,300 VMs, 68 pools, 81 teams", "bytes", [size_bytes])


def _publish_record(vm_count: int) -> dict[str, Any]:
    config = fleet_config(vm_count, max(1, vm_count // 19), max(1, vm_count // 16))
    envelope = records.Envelope("0" * 16, 0, "entry-0", 1, records.Publish(0, config))
    return records.encode_record(envelope)


@PARTS.register("vm-change")
def vm_change() -> Iterator[Row]:
    """Processor time of the dispatcher for one changed VM, at shares of the projected size."""
    for share in SHARES:
        values = [asyncio.run(_vm_change_ms(share)) for _ in range(RUN_COUNT)]
        yield row(f"{share:.0%}: dispatcher", "ms", values)


async def _vm_change_ms(share: float) -> float:
    size = projected_size(share)
    state = build_state(Size(size.name, *list(asdict(size).values())[1:5], 0))
    journal = Journal("entry-0", "127.0.0.1:1", ManualTimer())
    dispatcher = Dispatch("entry-0", "dc-0", "0" * 16, journal, ManualTimer(), random.Random(1))
    sections = frozenset(("config", "members", "rights", "vms"))
    view = replay.view_of(state, replay.FleetView(), sections)
    # Creates the upstreams' actors, but they never run, so that no sockets are opened.
    dispatcher.handle(ViewChanged(view, 0.0, log_available=True, loaded=True))
    changed = replay.view_of(state, view, frozenset(("vms",)))
    message = ViewChanged(changed, 0.0, log_available=True, loaded=True)
    started_ns = time.process_time_ns()
    dispatcher.handle(message)
    spent_ms = (time.process_time_ns() - started_ns) / 1e6
    for upstream in dispatcher._upstreams.values():
        assert upstream._runner is not None
        upstream._runner.cancel()
    return spent_ms


@PARTS.register("vm-list")
def vm_list() -> Iterator[Row]:
    """Size and decoding of the platform's list of VMs, which each entry VM reads every second."""
    for share in SHARES:
        count = projected_size(share).vm_count
        listed = [
            {"name": f"vm-{n}", "address": "10.0.0.1:8000", "state": "live"} for n in range(count)
        ]
        text = json.dumps({"vms": listed})
        yield row(f"{count} VMs: size", "bytes", [len(text)])
        values = [median_ms(lambda text=text: json.loads(text)) for _ in range(RUN_COUNT)]
        yield row(f"{count} VMs: decode", "ms", values)


def _encode_records(size: Size) -> list[str]:
    return [json.dumps(records.encode_record(envelope)) for envelope in build_records(size)]


def _heap_bytes(texts: list[str]) -> int:
    gc.collect()
    tracemalloc.start()
    state, view = replay.FleetState(), replay.FleetView()
    for offset, text in enumerate(texts):
        applied = replay.apply(state, offset, records.decode_record(json.loads(text)))
        if applied is not None and applied.sections - {"jobs"}:
            view = replay.view_of(state, view, applied.sections)
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size_bytes


# Processes


@app.command()
def workers(count: int) -> None:
    """Serve the lease calls of many workers, each on its own port."""

    async def lease(_: web.Request) -> web.Response:
        grant = {"epoch": 1, "duration_ms": 3_000, "slots": 8}
        return web.json_response({**grant, "running": 0, "leaving": False, "boot_id": "1"})

    async def serve() -> None:
        application = web.Application()
        application.add_routes([web.post("/lease", lease)])
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        for _ in range(count):
            await web.SockSite(runner, socket.create_server(("127.0.0.1", 0))).start()
        print(json.dumps([f"{host}:{port}" for host, port in runner.addresses]), flush=True)
        await asyncio.Event().wait()

    asyncio.run(serve())


@app.command()
def counted(settings_path: Path, counts_path: Path) -> None:
    """Run an entry process that counts bytes by connection and writes the counts on SIGUSR1."""
    counts: Counter[str] = Counter()
    send, receive = socket.socket.send, socket.socket.recv

    def add_bytes(connection: socket.socket, size_bytes: int) -> int:
        try:
            ports = connection.getsockname()[1], connection.getpeername()[1]
        except (OSError, IndexError):
            return size_bytes
        counts[f"{ports[0]} {ports[1]}"] += size_bytes
        return size_bytes

    def counted_send(self: socket.socket, *arguments: Any) -> int:
        return add_bytes(self, send(self, *arguments))

    def counted_receive(self: socket.socket, *arguments: Any) -> bytes:
        data = receive(self, *arguments)
        add_bytes(self, len(data))
        return data

    socket.socket.send = counted_send  # type: ignore[method-assign]
    socket.socket.recv = counted_receive  # type: ignore[method-assign]
    signal.signal(signal.SIGUSR1, lambda *_: counts_path.write_text(json.dumps(counts)))
    from tarragoncart import daemon

    daemon.run(settings.load_entry_settings(settings_path))


@frozen
class Fleet:
    """Running entry processes, of which the last one may count its bytes.

    :param plain_entry_pids: process IDs of the entry processes that do not count bytes.
    """

    deployment: Deployment
    addresses: tuple[str, ...]
    plain_entry_pids: tuple[int, ...]
    counting_entry: str

    async def read_byte_counts(self) -> Counter[str]:
        """Return the bytes that the counting entry process has sent and received, by kind of peer.

        Connections of callers do not count.
        """
        path = self.deployment.directory / "counts.json"
        path.unlink(missing_ok=True)
        self.deployment.group.send(self.counting_entry, signal.SIGUSR1)
        while not path.exists() or not path.read_text():
            await asyncio.sleep(0.01)
        kinds: Counter[str] = Counter()
        platform_port = self.deployment.platform_address.rpartition(":")[2]
        client_port = self.deployment.client_addresses[self.counting_entry].rpartition(":")[2]
        worker_ports = {address.rpartition(":")[2] for address in self.addresses}
        for ports, size_bytes in json.loads(path.read_text()).items():
            local, remote = ports.split()
            if local == client_port:
                continue
            kind = "platform" if remote == platform_port else "entries"
            kinds["workers" if remote in worker_ports else kind] += size_bytes
        return kinds


@asynccontextmanager
async def running_fleet(
    worker_count: int, entry_count: int, *, with_counter: bool
) -> AsyncIterator[Fleet]:
    """Start a fleet whose workers are all served by one process, and publish its configuration."""
    with tempfile.TemporaryDirectory() as name:
        deployment = Deployment(Path(name), FleetConfig())
        group = deployment.group
        try:
            platform = await group.start("platform", "standins.platform")
            deployment.platform_address = platform.addresses["address"]
            started = await group.start("workers", "bench.slopes", "workers", str(worker_count))
            addresses: list[str] = list(started.addresses)
            names = [f"entry-{number}" for number in range(entry_count)]
            for entry in names:
                await deployment.start_entry(entry, "dc-0")
            if with_counter:
                await _restart_with_counter(deployment, names[-1])
            await deployment.wait_ready(60)
            config = fleet_config(worker_count, max(1, worker_count // 19), 8, addresses)
            if worker_count:
                operator = Operator(tuple(deployment.client_addresses.values())[:1], "slopes")
                async with operator:
                    await operator.publish(config)
            await asyncio.sleep(SETTLE_S)
            plain_entries = names[:-1] if with_counter else names
            pids = tuple(group.started[entry].process.pid for entry in plain_entries)
            yield Fleet(deployment, tuple(addresses), pids, names[-1])
        finally:
            await deployment.stop()


async def _restart_with_counter(deployment: Deployment, name: str) -> None:
    group = deployment.group
    group.send(name, signal.SIGTERM)
    await group.wait(name)
    path = deployment.directory / f"{name}.settings.json"
    counts = deployment.directory / "counts.json"
    started = await group.start(name, "bench.slopes", "counted", str(path), str(counts))
    deployment.client_addresses[name] = started.addresses["client_address"]
    deployment.peer_addresses[name] = started.addresses["peer_address"]


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def _measure_idle(worker_count: int, entry_count: int) -> list[Row]:
    name = f"{worker_count} workers, {entry_count} entries:"
    rows = []
    core_percents: list[float] = []
    async with running_fleet(worker_count, entry_count, with_counter=False) as fleet:
        processes = [psutil.Process(number) for number in fleet.plain_entry_pids]
        for _ in range(RUN_COUNT):
            before = [_cpu_s(process) for process in processes]
            await asyncio.sleep(WINDOW_S)
            after = [_cpu_s(process) for process in processes]
            used_s = statistics.fmean(after) - statistics.fmean(before)
            core_percents.append(used_s / WINDOW_S * 100)
        memory = [memory_mib(number) for number in fleet.plain_entry_pids]
    rows.append(row(f"{name} processor", "% of a core", core_percents))
    rows.append(row(f"{name} resident", "MiB", [figure[0] for figure in memory]))
    rows.append(row(f"{name} private", "MiB", [figure[1] for figure in memory]))
    return rows


async def _measure_bytes(worker_count: int, entry_count: int) -> list[Row]:
    rates: dict[str, list[float]] = defaultdict(list)
    async with running_fleet(worker_count, entry_count, with_counter=True) as fleet:
        for _ in range(RUN_COUNT):
            before = await fleet.read_byte_counts()
            await asyncio.sleep(WINDOW_S)
            after = await fleet.read_byte_counts()
            for kind in after:
                rates[kind].append((after[kind] - before[kind]) / WINDOW_S)
    name = f"{worker_count} workers, {entry_count} entries: bytes with"
    return [row(f"{name} {kind}", "bytes/s", values) for kind, values in sorted(rates.items())]


@PARTS.register("idle-workers")
def idle_workers() -> Iterator[Row]:
    """Processor time and memory of one idle entry process against the number of workers."""
    for worker_count in WORKER_COUNTS:
        yield from asyncio.run(_measure_idle(worker_count, 1))


@PARTS.register("idle-entries")
def idle_entries() -> Iterator[Row]:
    """Processor time and memory of an idle entry process against the number of entry VMs."""
    for entry_count in ENTRY_COUNTS:
        yield from asyncio.run(_measure_idle(0, entry_count))


@PARTS.register("bytes")
def control_bytes() -> Iterator[Row]:
    """Bytes per second that an idle entry process sends and receives, without TCP headers."""
    for worker_count in (0, 30, 120):
        yield from asyncio.run(_measure_bytes(worker_count, 1))
    for entry_count in ENTRY_COUNTS[1:]:
        yield from asyncio.run(_measure_bytes(0, entry_count))


# Replay


@PARTS.register("records")
def record_costs() -> Iterator[Row]:
    """Cost of decoding and applying a record and updating the view, by kind, at projected size."""
    costs: dict[str, list[list[float]]] = defaultdict(list)
    rates = []
    texts = _encode_records(projected_size(1.0))
    for _ in range(RUN_COUNT):
        totals = _replay_costs(texts)
        for kind, (count, *spent_ns) in totals.items():
            costs[kind].append([spent / count / 1e3 for spent in spent_ns])
        rates.append(len(texts) / sum(sum(t[1:3]) for t in totals.values()) * 1e9)
    for kind, runs in costs.items():
        for step, values in zip(("decode", "apply", "view"), zip(*runs, strict=True), strict=True):
            yield row(f"{kind} {step}", "us/record", values)
    yield row(f"boot, mix of {len(texts)} records", "records/s", rates)


def _replay_costs(texts: list[str]) -> dict[str, list[float]]:
    totals: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0, 0])
    state, view = replay.FleetState(), replay.FleetView()
    for offset, text in enumerate(texts):
        times = [time.process_time_ns()]
        envelope = records.decode_record(json.loads(text))
        times.append(time.process_time_ns())
        applied = replay.apply(state, offset, envelope)
        times.append(time.process_time_ns())
        assert applied is not None
        view = replay.view_of(state, view, applied.sections)
        times.append(time.process_time_ns())
        total = totals[envelope.record.kind]
        total[0] += 1
        for step in range(3):
            total[step + 1] += times[step + 1] - times[step]
    return totals


@PARTS.register("publish")
def publish() -> Iterator[Row]:
    """Cost of a configuration at one entry VM, and time until several entry processes use it."""
    for vm_count in VM_COUNTS:
        yield from _publish_costs(vm_count)
    for vm_count, entry_count in IN_FORCE_COUNTS:
        times = asyncio.run(_times_until_in_force_ms(vm_count, entry_count))
        name = f"{vm_count} VMs: in force at {entry_count} entries"
        yield row(name, "ms wall", times)


def _publish_costs(vm_count: int) -> Iterator[Row]:
    config = fleet_config(vm_count, max(1, vm_count // 19), max(1, vm_count // 16))
    data = records.converter().unstructure(config)
    envelope = records.Envelope("0" * 16, 0, "entry-0", 1, records.Publish(0, config))
    text = json.dumps(records.encode_record(envelope))
    decoded = records.decode_record(json.loads(text))
    sections = frozenset(("config", "config_version", "rights", "vms"))

    def applied() -> replay.FleetState:
        state = replay.FleetState()
        replay.apply(state, 0, decoded)
        return state

    state = applied()
    steps: dict[str, Callable[[], Any]] = {
        "check": lambda: settings.parse_fleet_config(data),
        "encode": lambda: json.dumps(records.encode_record(envelope)),
        "decode": lambda: records.decode_record(json.loads(text)),
        "apply": applied,
        "view": lambda: replay.view_of(state, replay.FleetView(), sections),
    }
    yield row(f"{vm_count} VMs: record", "bytes", [len(text)])
    for name, step in steps.items():
        values = [median_ms(step) for _ in range(RUN_COUNT)]
        yield row(f"{vm_count} VMs: {name}", "ms", values)


async def _times_until_in_force_ms(vm_count: int, entry_count: int) -> list[float]:
    times = []
    async with (
        running_fleet(vm_count, entry_count, with_counter=False) as fleet,
        aiohttp.ClientSession() as session,
    ):
        addresses = list(fleet.deployment.client_addresses.values())
        async with Operator((addresses[0],), "slopes") as operator:
            for _ in range(RUN_COUNT):
                status = await operator.status()
                config = fleet_config(vm_count, max(1, vm_count // 19), 8, fleet.addresses)
                started_s = time.monotonic()
                answer = await operator.publish(config, status["config_version"])
                waits = (_wait_for_version(session, a, answer["version"]) for a in addresses)
                await asyncio.gather(*waits)
                times.append((time.monotonic() - started_s) * 1e3)
    return times


async def _wait_for_version(session: aiohttp.ClientSession, address: str, version: int) -> None:
    while True:
        async with session.get(f"http://{address}/v1/status") as response:
            if (await response.json())["config_version"] >= version:
                return
        await asyncio.sleep(0.02)


# Snapshots and plans


@PARTS.register("snapshot")
def snapshot() -> Iterator[Row]:
    """Size, encoding and decoding of a snapshot, at shares of the projected size."""
    for share in SHARES:
        state = build_state(projected_size(share))
        parts = snapshots.encode_snapshot(state, "s")
        size_bytes = sum(len(part.data) for part in parts)
        yield row(f"{share:.0%}: size", "bytes", [size_bytes])
        for name, step in (
            ("encode", lambda state=state: snapshots.encode_snapshot(state, "s")),
            ("decode", lambda parts=parts: assemble(parts)),
        ):
            values = [median_ms(step) for _ in range(RUN_COUNT)]
            yield row(f"{share:.0%}: {name}", "ms", values)


@PARTS.register("passes")
def passes() -> Iterator[Row]:
    """Time of one pass: division of rights, driver with a wave over all VMs, capacity policies."""
    for share in SHARES:
        size = projected_size(share)
        state = build_state(Size(size.name, *list(asdict(size).values())[1:5], 0))
        state.waves["w"] = replay.WaveState("w", tuple(state.vms))
        sections = frozenset(("config", "members", "rights", "vms", "waves"))
        view = replay.view_of(state, replay.FleetView(), sections)
        for name, step in _pass_steps(view).items():
            values = [median_ms(step) for _ in range(RUN_COUNT)]
            yield row(f"{share:.0%}: {name}", "ms", values)


def _pass_steps(view: replay.FleetView) -> dict[str, Callable[[], Any]]:
    now_ms = 10_000.0
    seen = operations.WorkerObservations(0.0, now_ms, 0, now_ms, "boot", 4)
    observations = operations.Observations(
        dict.fromkeys(view.vms, seen), dict.fromkeys(view.vms, 0.0), float("-inf")
    )
    incarnation = next(iter(view.members))
    ledger = limits.RightsLedger(incarnation, view.rights)
    waiting = dict.fromkeys(view.rights, 1)
    peer_demands = [limits.PeerDemand(name, waiting) for name in view.members]
    count = len(view.members)
    demands = {pool.name: (6.0, 1) for pool in view.config.pools}
    loads = operations.pool_loads(view, observations, demands)
    steps: dict[str, Callable[[], Any]] = {
        "rights": lambda: list(limits.plan_rights(ledger, waiting, peer_demands, count)),
        "driver with wave": lambda: operations.plan_steps(view, observations, now_ms),
        "pool loads": lambda: operations.pool_loads(view, observations, demands),
    }
    for name, policy in CAPACITY.items():
        steps[f"capacity {name}"] = lambda policy=policy: policy(loads, now_ms, None)
    return steps


@app.command()
def measure(
    part: Annotated[str, typer.Argument(help="Part; all by default.")] = "",
    json_path: Annotated[Path | None, typer.Option("--json")] = None,
) -> None:
    """Measure the costs and print a line for each figure."""
    results: dict[str, list[dict[str, Any]]] = {}
    for name, function in PARTS.items():
        if part not in ("", name):
            continue
        typer.echo(f"{name}: {function.__doc__}")
        results[name] = []
        for item in function():
            results[name].append(asdict(item))
            typer.echo(
                f"  {item.name}: {item.value:g} {item.unit}"
                f" ({item.run_count} runs, {item.least:g} to {item.greatest:g})"
            )
            if json_path is not None:
                json_path.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")


def main() -> None:
    """Run the measurement of parts, or a stand-in process that a part starts."""
    if sys.argv[1:2] not in (["workers"], ["counted"], ["--help"]):
        sys.argv.insert(1, "measure")
    app()


if __name__ == "__main__":
    main()
