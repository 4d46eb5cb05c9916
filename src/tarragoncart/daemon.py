"""Assembly, start and shutdown of an entry VM's process."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import json
import random
import secrets
import signal
import socket

from aiohttp import web
from attrs import define

from . import defaults, logs, metrics
from .connectionlimits import BodyBudget, derive_limits
from .connections import AdmissionControl, BoundedAppRunner, ListenerSpec, start_server
from .dispatch import Dispatch
from .inventory import Inventory
from .journal import Journal
from .mailbox import Actor, new_reply
from .membership import Membership, Terminate, new_incarnation
from .model import Member
from .operations import Operations
from .peers import Peers
from .registry import Registry
from .server import (
    CLIENT_ROUTES,
    PEER_ROUTES,
    Front,
    Handler,
    build_app,
    client_body_limit,
    peer_body_limit,
    refuse,
)
from .settings import EntrySettings
from .timer import LoopTimer


def run(settings: EntrySettings) -> None:
    """Run an entry VM's process until SIGTERM or SIGINT."""
    logs.setup_logging(settings.log_level, settings.name)
    metrics.start_metrics(settings.metrics_exporter, {"entry": settings.name})
    asyncio.run(serve(settings))


@define
class Entry:
    """A running entry VM.

    :param member: its identity, with the addresses that others connect to.
    :param client_address: bound address for callers and operators.
    :param peer_address: bound address for other entry VMs.
    :param actors: in the order in which they were started.
    """

    member: Member
    client_address: str
    peer_address: str
    membership: Membership
    actors: list[Actor]
    runners: list[web.AppRunner]

    async def stop(self) -> None:
        """Keep serving for a short time, so that late requests are refused, then close.

        A server that is being closed drops requests whose body has not arrived completely.
        """
        await asyncio.sleep(defaults.LINGER_MS / 1_000)
        for runner in self.runners:
            for site in tuple(runner.sites):
                await site.stop()
        await asyncio.sleep(defaults.LINGER_CLOSED_MS / 1_000)
        await self.close()

    async def close(self) -> None:
        """Close the listeners and stop the actors at once."""
        for runner in self.runners:
            await runner.cleanup()
        for actor in reversed(self.actors):
            await actor.stop()


async def serve(settings: EntrySettings) -> None:
    """Run an entry VM until a signal; prints its bound addresses as JSON."""
    entry = await open_entry(settings)
    addresses = {"client_address": entry.client_address, "peer_address": entry.peer_address}
    print(json.dumps(addresses), flush=True)
    # Objects loaded at the start live as long as the process, so collections can skip them.
    gc.collect()
    gc.freeze()
    # Jobs live for minutes; with the default threshold the collector would scan them repeatedly.
    gc.set_threshold(defaults.GC_THRESHOLD_COUNT, 20, 50)
    _return_free_memory()
    await _wait_for_signal()
    terminated = new_reply()
    entry.membership.tell(Terminate(terminated))
    await terminated
    await entry.stop()


def _return_free_memory() -> None:
    """Return memory freed during the start to the system, if the C library is glibc."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


async def open_entry(settings: EntrySettings) -> Entry:
    """Bind the sockets, start the actors and serve both interfaces."""
    timer = LoopTimer()
    rng = random.Random(secrets.randbits(64))
    journal = Journal(
        settings.name,
        settings.platform_address,
        timer,
        flush_window_ms=settings.flush_window_ms,
        source_address=settings.source_address,
    )
    client_socket, client_address = _bind(settings.client_address)
    peer_socket, peer_address = _bind(settings.peer_address)
    member = Member(
        settings.name,
        new_incarnation(),
        settings.data_centre,
        settings.advertised_peer_address or peer_address,
        settings.advertised_client_address or client_address,
    )
    dispatch = Dispatch(
        settings.name,
        settings.data_centre,
        member.incarnation,
        journal,
        timer,
        rng,
        source_address=settings.source_address,
        key_freshness_ms=settings.key_freshness_ms,
    )
    addresses = [peer.peer_address for peer in settings.peers]
    peers = Peers(member, addresses, journal, dispatch, timer, rng, settings.source_address)
    dispatch.peers = peers
    membership = Membership(member, journal, dispatch, peers, timer, settings.shutdown_timeout_ms)
    inventory = Inventory(settings.platform_address, dispatch, timer, settings.source_address)
    operations = Operations(
        settings.name,
        settings.platform_address,
        journal,
        dispatch,
        peers,
        timer,
        settings.source_address,
    )
    dispatch.operations = operations
    membership.add_listener(operations)
    actors: list[Actor] = [journal, dispatch, peers, membership, inventory, operations]
    for listener in (dispatch, peers, membership, operations):
        journal.add_listener(listener)
    for actor in actors:
        actor.start()
    front = Front(journal, dispatch, peers, membership, timer)
    limits = derive_limits(
        settings.memory_mb,
        settings.fd_limit_count,
        defaults.CONFIG_LIMIT_BYTES,
        defaults.FORWARD_LIMIT_BYTES,
    )
    clients = ListenerSpec(
        "client",
        limits.callers,
        BodyBudget(limits.large_bytes, limits.small_bytes),
        client_body_limit,
        refuse,
    )
    inner = ListenerSpec(
        "peer", limits.peers, BodyBudget(limits.peer_bytes, 0), peer_body_limit, refuse
    )
    control = AdmissionControl(timer)
    runners = [
        await _serve(front, CLIENT_ROUTES, client_socket, clients, control),
        await _serve(front, PEER_ROUTES, peer_socket, inner, control),
    ]
    return Entry(member, client_address, peer_address, membership, actors, runners)


def _bind(address: str) -> tuple[socket.socket, str]:
    """Return a listening socket and its bound address; port 0 takes a free port."""
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=defaults.LISTEN_BACKLOG_COUNT)
    host, port = listener.getsockname()[:2]
    return listener, f"{host}:{port}"


async def _serve(
    front: Front,
    routes: Registry[Handler],
    sock: socket.socket,
    listener: ListenerSpec,
    control: AdmissionControl,
) -> web.AppRunner:
    runner = BoundedAppRunner(build_app(front, routes), listener, control, access_log=None)
    await start_server(runner, sock)
    return runner


async def _wait_for_signal() -> None:
    received = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, received.set)
    await received.wait()
