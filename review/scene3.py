"""A small deployment of stand-ins and entry machines, and what the cases share."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from attrs import define
from platform3 import Machine, Platform, Record
from standins3 import Client, Machines, Server, Store, Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX, KEY, POOL = "holds.example", "/holds/", "key-1", "holds"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
FINISH_S = 14.0
START_S = 5.0
TIME_LIMIT_S = 110.0


def make_config(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a configuration with one queue, one service and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-holds",
                "hostname": HOST,
                "path-prefix": PREFIX,
                "timeout-ms": 3000,
                "backend": POOL,
                "max-attempts": 3,
                "stretch": 1.6,
                "target-latency-ms": 600,
                **route,
            }
        ],
        "services": [{"name": POOL, "admission-check": True}],
        "tenants": [{"name": "tenant-1", "api-keys": [KEY], "weight": 10, "cap": {}}],
        "limits": {"max-body-bytes": 262_144},
    }


@define
class Scene:
    """A running deployment."""

    record: Record
    store: Store
    workers: list[Worker]
    machines: list[Machine]
    platform: Platform
    client: Client

    async def submit(self, job_id: str, spec: str, steps: list[Any], **fields: Any) -> int:
        """Hand a job in and return the status."""
        body = {"spec": spec, "steps": steps, **fields}
        status, _ = await self.client.call("POST", PREFIX + job_id, body)
        tasks = sum(step.get("count", 1) for step in steps)
        self.record("submitted", job=job_id, status=status, tasks=tasks)
        return status

    async def ask(self, job_id: str) -> tuple[int, str]:
        """Query a job; return the status and the phase."""
        status, answer = await self.client.call("GET", PREFIX + job_id)
        phase = (answer or {}).get("phase", "")
        self.record("asked", job=job_id, status=status, phase=phase)
        return status, phase

    async def settle(self) -> None:
        """Wait until the first leader serves; raises OSError if a process did not stay."""
        await asyncio.sleep(START_S)
        if any(machine.own_end_count for machine in self.machines):
            raise OSError("a process ended at its start")


@asynccontextmanager
async def open_scene(
    record: Record, folder: Path, machine_count: int = 3, worker_count: int = 6
) -> AsyncIterator[Scene]:
    """Start stand-ins and entry machines, and end them all."""
    store = Store()
    store_server = Server(store.handle)
    store_address = await store_server.open()
    store.put("keyed.op", "config", make_config())
    workers = [Worker(f"i-{number}", POOL, store, record) for number in range(worker_count)]
    for worker in workers:
        await worker.start()
    cloud = Machines(workers)
    cloud_address = await cloud.server.open()
    machines = [
        Machine(f"front-{number}", folder, record, store_address, cloud_address)
        for number in range(machine_count)
    ]
    platform = Platform(machines)
    client = Client(platform.fronts, HOST, KEY)
    try:
        await platform.open()
        yield Scene(record, store, workers, machines, platform, client)
    finally:
        await client.close()
        await platform.close()
        for worker in workers:
            await worker.stop()
        await cloud.server.close()
        await store_server.close()


def run_case(case_folder: Path, play: Callable[[Record, Path], Awaitable[int]]) -> int:
    """Play a case and return the exit status; KEEP_LOGS names a folder for the logs."""
    random.seed(case_folder.name)
    # Ends what the case has started if the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(case_folder)
    record("case", folder=case_folder.name, trouble=TROUBLE)
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, Path(folder)), TIME_LIMIT_S))
        except TimeoutError:
            record("verdict", reason="time is up")
            return COULD_NOT_RUN
        except OSError as error:
            record("verdict", reason=repr(error))
            return COULD_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            record.close()
