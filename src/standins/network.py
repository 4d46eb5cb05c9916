"""TCP relay in front of the other processes, with which tests cut links between data centres."""

from __future__ import annotations

import asyncio
import ipaddress
import socket
import struct
from typing import Annotated, Any

import typer
from aiohttp import web
from attrs import define, field, frozen

from tarragoncart.mailbox import Actor, receives, resolve
from tarragoncart.registry import Registry

from .serving import (
    History,
    Listener,
    ask,
    json_response,
    load_chart,
    read_json,
    run_until_terminated,
)

CHART = load_chart("link")
CONNECT_TIMEOUT_S = 2.0
# Reading from a connection pauses once this many bytes wait for the opposite connection.
BUFFER_LIMIT_BYTES = 64 * 1024
# SO_LINGER with a timeout of 0 makes a close send a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)

# Chart event of a link while a cut is in force, by the mode of the cut.
CUT_EVENTS = {"blackhole": "freeze", "reset": "reset"}

actions: Registry[Any] = Registry("link action")

# The number of a data centre, or "platform".
Location = int | str


@define(eq=False)
class Connection(asyncio.Protocol):
    """One of the two connections of a link.

    :param unsent: bytes received while the link is not open.
    :param write_paused: whether the transport's write buffer is full.
    """

    link: Link
    transport: asyncio.Transport | None = None
    unsent: bytearray = field(factory=bytearray)
    write_paused: bool = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and report the connection to the link."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.link.report_opened(self)

    def data_received(self, data: bytes) -> None:
        """Forward bytes, or buffer them while the link is not open."""
        if self.link.state == "open":
            self.link.opposite(self).write(data)
            return
        self.unsent += data
        if len(self.unsent) >= BUFFER_LIMIT_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Report the connection as lost; HTTP peers do not close one direction only."""
        self.link.report_lost()
        return False

    def connection_lost(self, _: Exception | None) -> None:
        """Report the connection as lost."""
        self.link.report_lost()

    def pause_writing(self) -> None:
        """Stop reading from the opposite connection while the write buffer is full."""
        self.write_paused = True
        self.link.opposite(self).set_reading(False)

    def resume_writing(self) -> None:
        """Resume reading from the opposite connection if the link is open."""
        self.write_paused = False
        self.link.opposite(self).set_reading(self.link.state == "open")

    def write(self, data: bytes | bytearray) -> None:
        """Send bytes if the connection is open."""
        if self.transport is not None and data:
            self.transport.write(bytes(data))

    def set_reading(self, on: bool) -> None:
        """Resume or pause reading; while paused, new bytes stay in the kernel's buffer."""
        if self.transport is None or self.transport.is_closing():
            return
        if on:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()


class Link:
    """A client's connection through the relay to a destination, controlled by a state chart."""

    def __init__(self, relay: Relay, route: str) -> None:
        self.state = CHART.initial
        self.source: Location = 0
        self.route = route
        self._relay = relay
        self._client = Connection(self)
        self._target = Connection(self)

    @property
    def client_protocol(self) -> Connection:
        """The protocol of the client's connection."""
        return self._client

    def opposite(self, connection: Connection) -> Connection:
        """Return the opposite connection."""
        return self._target if connection is self._client else self._client

    def report_opened(self, connection: Connection) -> None:
        """Report an accepted client or a connected destination to the relay."""
        if connection is self._client:
            assert connection.transport is not None
            self.source = find_data_centre(connection.transport.get_extra_info("peername")[0])
            self._relay.tell(LinkAccepted(self))
        else:
            self._relay.tell(LinkEvent(self, "connected"))

    def report_lost(self) -> None:
        """Report a closed connection to the relay."""
        if not CHART.is_final(self.state):
            self._relay.tell(LinkEvent(self, "lost"))

    def handle(self, event: str) -> None:
        """Apply a chart event and run its actions; events that the state rejects are ignored."""
        if CHART.accepts(self.state, event):
            step = CHART.step(self.state, event)
            self.state = step.state
            for action in step.actions:
                actions.get(action)(self)

    @actions.register("connect")
    def _connect(self) -> None:
        self._relay.connect(self, self._target)

    @actions.register("hold_bytes")
    def _hold_bytes(self) -> None:
        self._client.set_reading(False)
        self._target.set_reading(False)

    @actions.register("pass_bytes")
    def _pass_bytes(self) -> None:
        for connection in (self._client, self._target):
            self.opposite(connection).write(connection.unsent)
            connection.unsent.clear()
            connection.set_reading(not self.opposite(connection).write_paused)

    @actions.register("abort")
    def _abort(self) -> None:
        for connection in (self._client, self._target):
            if connection.transport is not None and not connection.transport.is_closing():
                raw_socket = connection.transport.get_extra_info("socket")
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                connection.transport.abort()

    @actions.register("close")
    def _close(self) -> None:
        for connection in (self._client, self._target):
            if connection.transport is not None:
                connection.transport.close()


def find_data_centre(ip: str) -> int:
    """Return N for an address 127.0.N.x; 0 stands for no data centre."""
    address = ipaddress.IPv4Address(ip)
    return address.packed[2] if address.is_loopback else 0


@define
class Route:
    """A destination and the relay's listening port for it.

    :param target: address of the destination as ``IP:PORT``.
    :param data_centre: location of the destination.
    :param address: address that the relay listens on, as ``IP:PORT``.
    """

    name: str
    target: str
    data_centre: Location
    server: asyncio.Server | None = None
    address: str = ""


@frozen
class LinkAccepted:
    """A client has connected."""

    link: Link


@frozen
class LinkEvent:
    """An event for a link's chart."""

    link: Link
    event: str


@frozen
class PutRoute:
    """Add a route, or change the target of an existing one, which keeps its port."""

    name: str
    target: str
    data_centre: Location
    reply: asyncio.Future[Route]


@frozen
class SetCut:
    """Cut or restore the links from one location to another."""

    source: Location
    to: Location
    on: bool
    mode: str
    reply: asyncio.Future[dict[str, Any]]


@frozen
class GetState:
    """Return the routes, the cuts and the number of links in each state."""

    reply: asyncio.Future[dict[str, Any]]


class Relay(Actor):
    """Actor that owns the routes, the cuts in force and the links.

    :param host: IP address that the routes listen on.
    :param history: path of the event file, empty for none.
    :param name: name in the event file.
    """

    def __init__(self, host: str, history: str = "", name: str = "network") -> None:
        super().__init__(name)
        self._host = host
        self._history = History(history, "network", name)
        self._routes: dict[str, Route] = {}
        self._cuts: dict[tuple[Location, Location], str] = {}
        self._links: set[Link] = set()

    async def on_close(self) -> None:
        """Close all routes and links."""
        for route in self._routes.values():
            if route.server is not None:
                route.server.close()
        for link in self._links:
            link.handle("lost")
        self._history.close()

    @receives(PutRoute)
    async def _put_route(self, message: PutRoute) -> None:
        route = self._routes.get(message.name)
        if route is None:
            route = Route(message.name, message.target, message.data_centre)
            route.server = await asyncio.get_running_loop().create_server(
                lambda: Link(self, message.name).client_protocol, self._host, 0, backlog=512
            )
            route.address = "{}:{}".format(*route.server.sockets[0].getsockname()[:2])
            self._routes[message.name] = route
        route.target, route.data_centre = message.target, message.data_centre
        resolve(message.reply, route)

    @receives(SetCut)
    def _set_cut(self, message: SetCut) -> None:
        direction = (message.source, message.to)
        if message.on:
            self._cuts[direction] = message.mode
        else:
            self._cuts.pop(direction, None)
        self._history.write(
            "link_cut" if message.on else "link_restored",
            source_data_centre=message.source,
            to=message.to,
            mode=message.mode,
        )
        for link in list(self._links):
            if self._direction(link) == direction:
                self._apply_cuts(link)
        resolve(message.reply, self._describe_cuts())

    def _describe_cuts(self) -> dict[str, Any]:
        cuts = [{"from": a, "to": b, "mode": mode} for (a, b), mode in self._cuts.items()]
        return {"cuts": cuts}

    def _direction(self, link: Link) -> tuple[Location, Location]:
        return (link.source, self._routes[link.route].data_centre)

    def _apply_cuts(self, link: Link) -> None:
        mode = self._cuts.get(self._direction(link))
        link.handle(CUT_EVENTS[mode] if mode is not None else "restore")
        self._discard_if_closed(link)

    def _discard_if_closed(self, link: Link) -> None:
        if CHART.is_final(link.state):
            self._links.discard(link)

    @receives(LinkAccepted)
    def _link_accepted(self, message: LinkAccepted) -> None:
        self._links.add(message.link)
        self._apply_cuts(message.link)

    @receives(LinkEvent)
    def _link_event(self, message: LinkEvent) -> None:
        message.link.handle(message.event)
        self._discard_if_closed(message.link)
        if message.event == "connected":
            self._apply_cuts(message.link)

    def connect(self, link: Link, connection: Connection) -> None:
        """Connect to a link's destination in the background; a message reports the result."""
        self.spawn(self._connect(link, connection, self._routes[link.route].target))

    async def _connect(self, link: Link, connection: Connection, target: str) -> None:
        host, _, port = target.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, host, int(port))
        except (OSError, TimeoutError):
            # The client sees a reset, where a destination without a listener would refuse the
            # connection: the relay accepts the client before it connects to the destination.
            self.tell(LinkEvent(link, "reset"))
            return
        if CHART.is_final(link.state) and connection.transport is not None:
            connection.transport.close()

    @receives(GetState)
    def _get_state(self, message: GetState) -> None:
        route_states = {
            route.name: {
                "address": route.address,
                "target": route.target,
                "data_centre": route.data_centre,
            }
            for route in self._routes.values()
        }
        states = [link.state for link in self._links]
        links = {state: states.count(state) for state in sorted(set(states))}
        resolve(message.reply, {"routes": route_states, "links": links} | self._describe_cuts())


RELAY = web.AppKey("relay", Relay)
routes = web.RouteTableDef()


@routes.post("/routes")
async def _put_route(request: web.Request) -> web.Response:
    body = await read_json(request, "name", "target")
    data_centre = body.get("data_centre") or 0
    if not isinstance(data_centre, int) and data_centre != "platform":
        return json_response({"code": "bad_request", "message": "data_centre"}, 400)
    route = await ask(request.app[RELAY], PutRoute, body["name"], body["target"], data_centre)
    return json_response({"address": route.address})


@routes.post("/cuts")
async def _set_cut(request: web.Request) -> web.Response:
    body = await read_json(request, "from", "to", "on")
    mode = body.get("mode", "blackhole")
    if mode not in CUT_EVENTS or 0 in (body["from"], body["to"]):
        return json_response({"code": "bad_request", "message": "invalid mode, from or to"}, 400)
    return json_response(
        await ask(request.app[RELAY], SetCut, body["from"], body["to"], bool(body["on"]), mode)
    )


@routes.get("/state")
async def _get_state(request: web.Request) -> web.Response:
    return json_response(await ask(request.app[RELAY], GetState))


def make_app(relay: Relay) -> web.Application:
    """Return the relay's HTTP application, which starts and stops the actor."""
    app = web.Application()
    app[RELAY] = relay
    app.add_routes(routes)

    async def run_actor(_: web.Application) -> Any:
        relay.start()
        yield
        await relay.stop()

    app.cleanup_ctx.append(run_actor)
    return app


def main(
    address: Annotated[
        str, typer.Option(help="IP:PORT to listen on; port 0 binds a free port.")
    ] = ("127.0.0.1:0"),
    history: Annotated[str, typer.Option(help="File to append events to.")] = "",
    name: Annotated[str, typer.Option(help="Name in the event file.")] = "network",
) -> None:
    """Run the relay until SIGTERM."""

    async def run() -> None:
        relay = Relay(address.rpartition(":")[0], history, name)
        listener = Listener(make_app(relay))
        await run_until_terminated(lambda: listener.open(address), listener.close)

    asyncio.run(run())


if __name__ == "__main__":
    typer.run(main)
