"""Compares throughput and latency of an entry process and a plain forwarder in the same run."""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import psutil
import typer
from aiohttp import web
from attrs import asdict, frozen
from hdrh.histogram import HdrHistogram

from tarragoncart.attempts import digest_answer
from tarragoncart.model import FleetConfig, PoolSpec, QueueSpec, TeamSpec, VmSpec
from tarragoncart.operator_api import Operator
from tarragoncart.settings import EntrySettings

from .processes import ProcessGroup

app = typer.Typer(add_completion=False)
# Far more than the callers need, so that no limit is reached.
SLOT_COUNT = 4_096
BODY = {"echo": "x" * 64}
DIGEST = digest_answer(BODY)


async def _listen(application: web.Application) -> None:
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    print(json.dumps({"address": f"127.0.0.1:{port}"}), flush=True)
    await asyncio.Event().wait()


@app.command()
def worker() -> None:
    """Answer attempts immediately and without a guard, as the fastest possible upstream."""

    async def lease(_: web.Request) -> web.Response:
        grant = {"epoch": 1, "duration_ms": 3_000, "slots": SLOT_COUNT}
        return web.json_response({**grant, "running": 0, "leaving": False, "boot_id": "1"})

    async def attempt(request: web.Request) -> web.Response:
        data = await request.json()
        ids = {name: data.get(name) for name in ("attempt_id", "request_id")}
        return web.json_response({**ids, "status": "completed", "body": BODY, "digest": DIGEST})

    application = web.Application()
    application.add_routes([web.post("/lease", lease), web.post("/attempts", attempt)])
    asyncio.run(_listen(application))


@app.command()
def forwarder(target: str) -> None:
    """Forward every request body to ``/attempts`` of the target, as the baseline."""

    async def serve() -> None:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

        async def forward(request: web.Request) -> web.Response:
            body = await request.json()
            async with session.post(f"http://{target}/attempts", json=body) as answer:
                return web.json_response(await answer.json())

        application = web.Application()
        application.add_routes([web.post("/attempts", forward)])
        await _listen(application)

    asyncio.run(serve())


@frozen
class Load:
    """Throughput and latencies under load.

    :param cpu_us: processor time per request of the process under load.
    """

    requests_per_s: float
    cpu_us: float
    p50_ms: float
    p99_ms: float


async def load(
    post: Callable[[], Awaitable[None]], caller_count: int, duration_s: float, process_id: int
) -> Load:
    """Measure the process while callers call ``post`` concurrently.

    :param caller_count: concurrent callers; each waits for its response before its next call.
    """
    process = psutil.Process(process_id)
    used_s = _cpu_s(process)
    histogram = HdrHistogram(1, 60_000_000, 3)
    end_s = time.monotonic() + duration_s

    async def call() -> None:
        while (started_s := time.monotonic()) < end_s:
            await post()
            histogram.record_value(int((time.monotonic() - started_s) * 1e6))

    await asyncio.gather(*(call() for _ in range(caller_count)))
    used_s = _cpu_s(process) - used_s
    return Load(
        round(histogram.get_total_count() / duration_s, 1),
        round(used_s / histogram.get_total_count() * 1e6, 1),
        histogram.get_value_at_percentile(50) / 1e3,
        histogram.get_value_at_percentile(99) / 1e3,
    )


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


def _make_post(
    session: aiohttp.ClientSession, url: str, body: dict[str, Any]
) -> Callable[[], Awaitable[None]]:
    async def post() -> None:
        async with session.post(url, json=body) as response:
            data = await response.json()
            assert response.status == 200 and data, data

    return post


async def _measure(rounds: int, duration_s: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        group = ProcessGroup(Path(name))
        try:
            return await _measure_group(group, rounds, duration_s)
        finally:
            await group.stop()


async def _measure_group(group: ProcessGroup, rounds: int, duration_s: float) -> dict[str, Any]:
    module = "bench.throughput"
    upstream = (await group.start("worker", module, "worker")).addresses["address"]
    bare = (await group.start("forwarder", module, "forwarder", upstream)).addresses["address"]
    processes = {"direct": "worker", "bare": "forwarder", "entry": "entry-1"}
    platform = (await group.start("platform", "standins.platform")).addresses["address"]
    entry, key = await _start_entry(group, platform, upstream)
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(
        headers=headers, connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        variants = {
            "direct": _make_post(session, f"http://{upstream}/attempts", {"payload": BODY}),
            "bare": _make_post(session, f"http://{bare}/attempts", {"payload": BODY}),
            "entry": _make_post(
                session, f"http://{entry}/v1/queues/checks/jobs", {"payload": BODY}
            ),
        }
        results: dict[str, list[Load]] = {}
        for _ in range(rounds):
            for caller_count in (32, 1):
                for variant, post in variants.items():
                    process_id = group.started[processes[variant]].process.pid
                    await load(post, caller_count, 0.5, process_id)
                    results.setdefault(f"{variant} {caller_count}", []).append(
                        await load(post, caller_count, duration_s, process_id)
                    )
    return _summary(results)


async def _start_entry(group: ProcessGroup, platform: str, upstream: str) -> tuple[str, str]:
    settings = EntrySettings("entry-1", "dc-1", "127.0.0.1:0", "127.0.0.1:0", platform)
    path = group.directory / "entry.json"
    path.write_text(json.dumps(asdict(settings)), encoding="utf-8")
    started = await group.start("entry-1", "tarragoncart", "entry", str(path))
    address = started.addresses["client_address"]
    config = FleetConfig(
        queues=(QueueSpec("checks", "checks"),),
        teams=(TeamSpec("desk", 1.0, SLOT_COUNT),),
        pools=(PoolSpec("checks", 1),),
        vms=(VmSpec("vm-1", "checks", "dc-1", "rack-1", upstream, SLOT_COUNT, SLOT_COUNT),),
    )
    async with Operator([address], "bench") as operator:
        while (await operator.status())["state"] != "ready":
            await asyncio.sleep(0.05)
        await operator.publish(config)
        key = (await operator.grant_key("desk"))["key"]
    await asyncio.sleep(2)
    return address, key


def _summary(results: dict[str, list[Load]]) -> dict[str, Any]:
    def median(name: str, figure: str) -> float:
        return statistics.median(getattr(load, figure) for load in results[name])

    figures = {
        name: {figure: round(median(name, figure), 3) for figure in asdict(loads[0])}
        for name, loads in results.items()
    }
    ratios = [
        entry.requests_per_s / bare.requests_per_s
        for entry, bare in zip(results["entry 32"], results["bare 32"], strict=True)
    ]
    return {
        **figures,
        "entry_to_bare_ratio": round(statistics.median(ratios), 3),
        "entry_to_bare_ratio_range": [round(min(ratios), 3), round(max(ratios), 3)],
        "added_p50_ms": round(median("entry 1", "p50_ms") - median("bare 1", "p50_ms"), 3),
    }


@app.command()
def run(
    rounds: Annotated[int, typer.Option(help="Interleaved rounds.")] = 3,
    duration_s: Annotated[float, typer.Option(help="Duration of one load in s.")] = 5.0,
) -> None:
    """Measure the worker, the forwarder and the entry process and print one JSON document."""
    print(json.dumps(asyncio.run(_measure(rounds, duration_s)), indent=2))


if __name__ == "__main__":
    app()
