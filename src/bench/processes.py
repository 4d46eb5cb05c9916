"""Starts the processes of a fleet on the loopback interface and sends signals to them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TextIO

import aiohttp
from attrs import define, evolve, field, frozen

from tarragoncart.model import FleetConfig
from tarragoncart.records import converter
from tarragoncart.settings import EntrySettings, PeerSettings

START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 10


@define
class HistoryWriter:
    """Appends the events of one process to a history file."""

    path: Path
    source: str
    name: str
    _file: TextIO = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._file = self.path.open("a", encoding="utf-8", buffering=1)

    def write(self, event: str, **fields: Any) -> None:
        """Append one event with the current time."""
        line = {
            "at_ms": time.monotonic() * 1_000,
            "source": self.source,
            "name": self.name,
            "event": event,
            **fields,
        }
        self._file.write(json.dumps(line, default=str) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@frozen
class StartedProcess:
    """A started process and the addresses that it printed."""

    name: str
    process: asyncio.subprocess.Process
    addresses: Mapping[str, str]


@define
class ProcessGroup:
    """Processes that the runner has started, by name.

    :param directory: directory for settings, histories and error output.
    """

    directory: Path
    started: dict[str, StartedProcess] = field(factory=dict)

    async def start(self, name: str, module: str, *arguments: str) -> StartedProcess:
        """Start ``python -m MODULE`` and wait until it prints the line with its addresses.

        :raises RuntimeError: if the process exits before it prints them.
        """
        error_file = (self.directory / f"{name}.err").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=error_file,
            stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        error_file.close()
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise RuntimeError(
                f"{name} exited before it printed its addresses; see {error_file.name}"
            )
        started = StartedProcess(name, process, json.loads(line))
        self.started[name] = started
        return started

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the group unless it has ended."""
        process = self.started[name].process
        if process.returncode is None:
            process.send_signal(number)

    async def wait(self, name: str) -> None:
        """Wait until a process has ended and remove it from the group."""
        await self.started[name].process.wait()
        self.started.pop(name, None)

    async def stop(self) -> None:
        """Terminate all processes and kill those that still run after a timeout."""
        running = [s for s in self.started.values() if s.process.returncode is None]
        for started in running:
            started.process.send_signal(signal.SIGCONT)
            started.process.terminate()
        waits = [asyncio.ensure_future(started.process.wait()) for started in running]
        if waits:
            await asyncio.wait(waits, timeout=8)
        for started in running:
            if started.process.returncode is None:
                started.process.kill()
        await asyncio.gather(*waits)
        self.started.clear()


@define
class Deployment:
    """One firm's fleet as separate processes: platform, workers and entry VMs.

    :param config: the fleet; the addresses of its VMs are replaced by those of the stand-ins.
    """

    directory: Path
    config: FleetConfig
    entry_count: int = 7
    time_scale: float = 1.0
    platform_options: tuple[str, ...] = ()
    group: ProcessGroup = field(init=False)
    platform_address: str = field(init=False, default="")
    entries: dict[str, EntrySettings] = field(init=False, factory=dict)
    client_addresses: dict[str, str] = field(init=False, factory=dict)
    peer_addresses: dict[str, str] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self.group = ProcessGroup(self.directory)

    @property
    def data_centres(self) -> list[str]:
        """Names of the data centres, in the order of the configuration."""
        return list(dict.fromkeys(vm.data_centre for vm in self.config.vms))

    async def start(self) -> None:
        """Start all processes and register the VMs with the platform."""
        started = await self.group.start(
            "platform",
            "standins.platform",
            "--history",
            str(self.directory / "platform.jsonl"),
            *self.platform_options,
        )
        self.platform_address = started.addresses["address"]
        workers = await asyncio.gather(*(self.start_worker(vm.name) for vm in self.config.vms))
        addresses = {worker.name: worker.addresses["address"] for worker in workers}
        vms = tuple(evolve(vm, address=addresses[vm.name]) for vm in self.config.vms)
        self.config = evolve(self.config, vms=vms)
        async with aiohttp.ClientSession() as session:
            for vm in vms:
                url = f"http://{self.platform_address}/vms/{vm.name}"
                async with session.put(url, json={"address": vm.address}) as response:
                    response.raise_for_status()
        centres = self.data_centres
        for number in range(self.entry_count):
            await self.start_entry(f"entry-{number + 1}", centres[number % len(centres)])

    async def start_worker(self, name: str, address: str = "127.0.0.1:0") -> StartedProcess:
        """Start the stand-in for one worker."""
        return await self.group.start(
            name,
            "standins.worker",
            "--name",
            name,
            "--address",
            address,
            "--time-scale",
            str(self.time_scale),
            "--history",
            str(self.directory / f"{name}.jsonl"),
        )

    async def start_entry(self, name: str, data_centre: str) -> StartedProcess:
        """Start an entry VM, or a replacement without state for one that has ended."""
        settings = EntrySettings(
            name=name,
            data_centre=data_centre,
            client_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            platform_address=self.platform_address,
            peers=tuple(
                PeerSettings(other, address)
                for other, address in self.peer_addresses.items()
                if other != name
            ),
        )
        return await self.launch_entry(settings)

    async def launch_entry(self, settings: EntrySettings) -> StartedProcess:
        """Write the settings file of an entry VM and start it."""
        path = self.directory / f"{settings.name}.settings.json"
        text = json.dumps(settings_json(settings), indent=2)
        path.write_text(f"// Written by the runner.\n{text}\n", encoding="utf-8")
        started = await self.group.start(settings.name, "tarragoncart", "entry", str(path))
        self.entries[settings.name] = settings
        self.client_addresses[settings.name] = started.addresses["client_address"]
        self.peer_addresses[settings.name] = started.addresses["peer_address"]
        return started

    async def wait_ready(self, timeout_s: float = 20) -> None:
        """Wait until all entry VMs are ready and know each other as members.

        :raises TimeoutError: if that takes longer than ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s), aiohttp.ClientSession() as session:
            for address in self.client_addresses.values():
                while not await self._is_ready(session, address):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, session: aiohttp.ClientSession, address: str) -> bool:
        try:
            async with session.get(f"http://{address}/v1/status") as response:
                data = await response.json()
        except aiohttp.ClientError:
            return False
        return data["state"] == "ready" and len(data["members"]) >= len(self.client_addresses)

    async def stop_entries(self) -> None:
        """Stop the entry VMs gracefully; the log and the workers must still run for this."""
        for name in self.entries:
            if name in self.group.started:
                self.group.send(name, signal.SIGTERM)
        waits = [self.group.wait(name) for name in self.entries if name in self.group.started]
        try:
            await asyncio.wait_for(asyncio.gather(*waits), STOP_TIMEOUT_S)
        except TimeoutError:
            pass

    async def stop(self) -> None:
        """Stop the entry VMs first, then all other processes."""
        await self.stop_entries()
        await self.group.stop()


def settings_json(settings: EntrySettings) -> dict[str, Any]:
    """Return the settings of an entry VM in the JSON form of a settings file."""
    return converter().unstructure(settings)
