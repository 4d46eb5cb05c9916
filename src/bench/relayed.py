"""A deployment whose links between data centres and to the platform pass through a relay."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
from attrs import define, evolve, field

from tarragoncart.settings import EntrySettings, PeerSettings

from .processes import Deployment, StartedProcess

PLATFORM = "platform"
# Target of the route to an entry VM that has not been started yet; nothing listens there.
UNREACHABLE_ADDRESS = "127.0.0.1:1"


@define
class RelayedDeployment(Deployment):
    """A deployment that can cut the links of a data centre.

    Entry VMs of data centre number N use addresses 127.0.N.x, by which the relay identifies the
    data centre of a connection. Peers, workers and the platform are configured with addresses of
    the relay, so that a replaced process keeps its address.
    """

    relay_address: str = field(init=False, default="")
    platform_direct_address: str = field(init=False, default="")
    worker_direct_addresses: dict[str, str] = field(init=False, factory=dict)
    _routes: dict[str, str] = field(init=False, factory=dict)
    _session: aiohttp.ClientSession = field(init=False)

    def centre_number(self, centre: str) -> int:
        """Return the number N of a data centre, whose addresses are 127.0.N.x."""
        return self.data_centres.index(centre) + 1

    def other_centres(self, centre: str) -> list[str]:
        """Return the other data centres."""
        return [other for other in self.data_centres if other != centre]

    def processes_in(self, centre: str) -> list[str]:
        """Return the names of a data centre's entry VMs and workers."""
        entries = [name for name, e in self.entries.items() if e.data_centre == centre]
        return entries + [vm.name for vm in self.config.vms if vm.data_centre == centre]

    async def start(self) -> None:
        """Start all processes, the entry VMs concurrently."""
        self._session = aiohttp.ClientSession()
        relay, platform = await asyncio.gather(
            self.group.start("network", "standins.network"),
            self.group.start(
                PLATFORM,
                "standins.platform",
                "--history",
                str(self.directory / "platform.jsonl"),
                *self.platform_options,
            ),
        )
        self.relay_address = relay.addresses["address"]
        self.platform_direct_address = platform.addresses["address"]
        self.platform_address = await self._route(PLATFORM, self.platform_direct_address, PLATFORM)
        await asyncio.gather(*(self.restart(vm.name) for vm in self.config.vms))
        vms = tuple(evolve(vm, address=self._routes[vm.name]) for vm in self.config.vms)
        self.config = evolve(self.config, vms=vms)
        for vm in vms:
            url = f"http://{self.platform_direct_address}/vms/{vm.name}"
            async with self._session.put(url, json={"address": vm.address}) as response:
                response.raise_for_status()
        centres = self.data_centres
        names = [f"entry-{number + 1}" for number in range(self.entry_count)]
        for entry_index, name in enumerate(names):
            centre = centres[entry_index % len(centres)]
            await self._route(name, UNREACHABLE_ADDRESS, self.centre_number(centre))
            self.entries[name] = self._entry_settings(name, centre, entry_index)
        # Entry VMs reach their peers by addresses of the relay, which all exist by now.
        for name, settings in self.entries.items():
            peers = tuple(PeerSettings(n, self._routes[n]) for n in names if n != name)
            self.entries[name] = evolve(settings, peers=peers)
        await asyncio.gather(*(self.restart(name) for name in names))

    def _entry_settings(self, name: str, centre: str, entry_index: int) -> EntrySettings:
        number = self.centre_number(centre)
        listen_address = f"127.0.{number}.{100 + entry_index}:0"
        return EntrySettings(
            name=name,
            data_centre=centre,
            client_address=listen_address,
            peer_address=listen_address,
            platform_address=self.platform_address,
            advertised_peer_address=self._routes[name],
            source_address=f"127.0.{number}.{10 + entry_index}",
        )

    async def restart(self, name: str) -> StartedProcess:
        """Start a worker or an entry VM, or a replacement without state at the same addresses."""
        if name in self.entries:
            started = await self.launch_entry(self.entries[name])
            target = started.addresses["peer_address"]
            settings = self.entries[name]
            # Callers keep using this client address, so a replacement must listen there.
            self.entries[name] = evolve(settings, client_address=self.client_addresses[name])
            await self._route(name, target, self.centre_number(settings.data_centre))
            return started
        vm = next(vm for vm in self.config.vms if vm.name == name)
        started = await self.start_worker(name)
        self.worker_direct_addresses[name] = started.addresses["address"]
        await self._route(
            name, self.worker_direct_addresses[name], self.centre_number(vm.data_centre)
        )
        return started

    async def _route(self, name: str, target: str, centre: int | str) -> str:
        body = {"name": name, "target": target, "data_centre": centre}
        self._routes[name] = (await self._post_to_relay("/routes", body))["address"]
        return self._routes[name]

    async def set_cut(self, centre: str, *, others: bool, platform: bool, on: bool) -> None:
        """Cut or restore the links of a data centre to the others and to the platform."""
        number = self.centre_number(centre)
        pairs: list[tuple[int | str, int | str]] = [(number, PLATFORM)] if platform else []
        for other in self.other_centres(centre) if others else ():
            pairs += [(number, self.centre_number(other)), (self.centre_number(other), number)]
        for source, to in pairs:
            await self._post_to_relay("/cuts", {"from": source, "to": to, "on": on})

    async def _post_to_relay(self, path: str, body: dict[str, Any]) -> Any:
        url = f"http://{self.relay_address}{path}"
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()
            return await response.json()

    async def stop(self) -> None:
        """Stop all processes."""
        await Deployment.stop(self)
        await self._session.close()
