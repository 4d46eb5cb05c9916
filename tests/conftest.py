"""Fixtures shared by all tests."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import Factory, define, evolve

from standins.guard import Attempt, Guard, Work
from standins.network import Relay
from standins.network import make_app as make_network_app
from standins.platform import Platform, PlatformSettings
from standins.platform import make_app as make_platform_app
from standins.serving import Listener
from standins.settings import make_node_settings
from standins.store import StoreStandin
from standins.taskworker import TaskWorker
from standins.virtual import Simulation, patch_peer_client, run_in_virtual_time
from standins.worker import Worker, WorkerSettings
from tarragoncart import defaults, operations, replay
from tarragoncart.attempts import Evidence
from tarragoncart.daemon import Entry, open_entry
from tarragoncart.dispatch import Dispatch
from tarragoncart.journal import Append, AppendEnded, Chunk, Flush, Journal
from tarragoncart.mailbox import Actor, new_reply
from tarragoncart.model import Attempt as ModelAttempt
from tarragoncart.model import (
    FleetConfig,
    HealthVerdict,
    KeyGrant,
    Member,
    Mode,
    PoolSpec,
    QueueSpec,
    TeamSpec,
    VmSpec,
    digest_key,
)
from tarragoncart.node import NodeSettings, OpenedNode, open_node
from tarragoncart.peers import Peers
from tarragoncart.platform.main import make_adapter
from tarragoncart.records import Envelope, GrantKey, Join, Publish, WithdrawKey, encode_record
from tarragoncart.scheduler import Scheduler
from tarragoncart.settings import EntrySettings
from tarragoncart.timer import LoopTimer, ManualTimer
from tarragoncart.upstream import AttemptEnded, FenceRequest, Transmit, Upstream, UpstreamChanged


@pytest.fixture
def config() -> FleetConfig:
    """A small fleet: one pool of four VMs, a spare pool of two, and two teams."""
    return FleetConfig(
        queues=(QueueSpec("holds", "holds", guarded=True),),
        teams=(TeamSpec("shop", 2.0, 10), TeamSpec("studio", 1.0, 5)),
        pools=(
            PoolSpec("holds", max_unavailable_count=1, min_available_count=2),
            PoolSpec("spare", max_unavailable_count=2, min_available_count=0, spare=True),
        ),
        vms=tuple(
            VmSpec(f"vm-{n}", "holds" if n < 4 else "spare", "dc-1", "rack-1", "127.0.0.1:1")
            for n in range(6)
        ),
    )


@pytest.fixture
def fleet(config: FleetConfig) -> replay.FleetState:
    """Fleet state after publishing the configuration and joining the entry VMs ``a`` and ``b``."""
    state = replay.FleetState()
    records: list[Any] = [Publish(0, config)]
    records += [Join(Member(n, n, "dc-1", "127.0.0.1:2", "127.0.0.1:3")) for n in "ab"]
    for offset, record in enumerate(records):
        replay.apply(state, offset, Envelope(f"setup-{offset}", 0, "test", 0, record))
    return state


@pytest.fixture
def submit(fleet: replay.FleetState) -> Callable[..., replay.AuditEntry]:
    """Apply a record at the next offset and return its audit entry."""
    numbers = itertools.count()

    def apply(record: Any, at_ms: int = 0) -> replay.AuditEntry:
        envelope = Envelope(f"batch-{next(numbers)}", 0, "test", at_ms, record)
        applied = replay.apply(fleet, fleet.offset + 1, envelope)
        assert applied is not None
        return applied.entry

    return apply


@define
class SimWorker:
    """A simulated worker.

    :param task_end_ms: time until which it runs a task.
    :param back_ms: time until which it is down.
    :param returns: whether it returns from a reboot.
    """

    boot: int = 0
    leaving: bool = False
    task_end_ms: float = 0.0
    back_ms: float = 0.0
    returns: bool = True


@define
class SimDriver:
    """Observations of a simulated driver, empty at its start."""

    workers: dict[str, operations.WorkerObservations] = Factory(dict)
    revisions: dict[str, int] = Factory(dict)
    since_ms: dict[str, float] = Factory(dict)


@define
class SimFleet:
    """A fleet of simulated workers for drivers to act on, with simulated time."""

    fleet: replay.FleetState
    submit: Callable[..., replay.AuditEntry]
    workers: dict[str, SimWorker]
    now_ms: float = 0.0
    unreachable: set[str] = Factory(set)

    def plan(self, driver: SimDriver) -> list[operations.Step]:
        """Update a driver's observations of all workers and return the steps that it plans."""
        for name, vm in self.fleet.vms.items():
            observations = driver.workers.get(name, operations.WorkerObservations(self.now_ms))
            if driver.revisions.get(name) != vm.revision:
                driver.since_ms[name] = self.now_ms
                driver.revisions[name] = vm.revision
            driver.workers[name] = observations.after(self._call(name))
        observations = operations.Observations(driver.workers, driver.since_ms)
        return operations.plan_steps(self.view(), observations, self.now_ms)

    def _call(self, name: str) -> UpstreamChanged:
        worker = self.workers[name]
        if name in self.unreachable or self.now_ms < worker.back_ms:
            return UpstreamChanged(name, False, verdict=HealthVerdict.NO_ANSWER)
        return UpstreamChanged(
            name,
            True,
            leaving=worker.leaving,
            running_count=int(worker.task_end_ms > self.now_ms),
            boot_id=f"boot-{worker.boot}",
            requested_at_ms=self.now_ms,
        )

    def view(self) -> replay.FleetView:
        """Return the current view."""
        return replay.view_of(self.fleet, replay.FleetView(), frozenset(("vms", "waves", "config")))

    def carry_out(self, step: operations.Step) -> None:
        """Apply a step as the log, the platform and the worker would."""
        if isinstance(step, operations.AppendRecord):
            self.submit(step.record)
            return
        worker = self.workers[step.vm]
        down = self.now_ms < worker.back_ms
        if down or step.boot_id not in ("", f"boot-{worker.boot}"):
            return
        if step.action == "reboot":
            # A reboot would interrupt a task that still runs.
            assert worker.task_end_ms <= self.now_ms
            worker.boot += 1
            worker.back_ms = self.now_ms + 2_000 if worker.returns else float("inf")
        worker.leaving = step.action == "drain"

    def run(self, driver: SimDriver, duration_ms: float, until: Callable[[], bool]) -> bool:
        """Apply the steps of a driver until a condition holds; return whether it did.

        :param duration_ms: longest simulated time.
        """
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms and not until():
            for step in self.plan(driver):
                self.carry_out(step)
            self.now_ms += 250
        return until()


@pytest.fixture
def sim_fleet(fleet: replay.FleetState, submit: Callable[..., replay.AuditEntry]) -> SimFleet:
    """The small fleet with a simulated worker for each VM; each runs a task for 600 ms."""
    workers = {name: SimWorker(task_end_ms=600) for name in fleet.vms}
    return SimFleet(fleet, submit, workers)


@define
class StandInFleet:
    """Actors of one entry VM that run against in-process stand-ins, without callers."""

    platform: str
    workers: list[Worker]
    worker_urls: dict[str, str]
    journal: Journal
    operations: operations.Operations

    async def record(self, record: Any) -> None:
        """Append a record and wait until its replay has accepted it."""
        reply = new_reply()
        self.journal.tell(Append(record, "test", reply))
        assert (await asyncio.wait_for(reply, 5)).accepted


@pytest.fixture
async def standin_fleet(
    serve: Callable[[Listener], Awaitable[str]], platform: str, call: Any, config: FleetConfig
) -> AsyncIterator[StandInFleet]:
    """The small fleet with three workers; only the spare pool has a single VM."""
    workers = [Worker(WorkerSettings(f"vm-{n}", time_scale=0.02)) for n in range(3)]
    addresses = {worker.name: await serve(worker.listener) for worker in workers}
    for name, address in addresses.items():
        await call("PUT", f"{platform}/vms/{name}", address=address)
    pools = {"vm-0": "holds", "vm-1": "holds", "vm-2": "spare"}
    vms = tuple(VmSpec(n, pools[n], "dc-1", "rack-1", a) for n, a in addresses.items())
    holds, spare = config.pools
    config = evolve(config, vms=vms, pools=(evolve(holds, min_available_count=1), spare))
    timer, rng, address = LoopTimer(), random.Random(1), platform.removeprefix("http://")
    member = Member("a", "i", "dc-1", "127.0.0.1:2", "127.0.0.1:3")
    journal = Journal("a", address, timer)
    dispatch = Dispatch("a", "dc-1", "i", journal, timer, rng)
    peers = Peers(member, [], journal, dispatch, timer, rng)
    driver = operations.Operations("a", address, journal, dispatch, peers, timer)
    dispatch.operations = driver
    for listener in (dispatch, peers, driver):
        journal.add_listener(listener)
    for actor in (journal, dispatch, peers, driver):
        actor.start()
    urls = {name: f"http://{address}" for name, address in addresses.items()}
    fleet = StandInFleet(platform, workers, urls, journal, driver)
    await fleet.record(Publish(0, config))
    yield fleet
    for actor in (driver, peers, dispatch, journal):
        await actor.stop()


@pytest.fixture
def new_driver() -> Callable[[], SimDriver]:
    """Create a driver without any observations."""
    return SimDriver


@pytest.fixture
def guard() -> Guard:
    """A worker's guard with two slots; incarnation ``i`` has a lease from 0 to 1,000 ms."""
    guard = Guard(slot_count=2, lease_ms=1_000, epoch_floor=0)
    guard.grant_lease("i", 0)
    return guard


@pytest.fixture
def attempt() -> Callable[..., Attempt]:
    """Create an attempt at request ``r`` under the first lease of incarnation ``i``."""
    numbers = itertools.count()

    def make(request_id: str = "r", **changes: Any) -> Attempt:
        fields = {"incarnation": "i", "lease_epoch": 1, "team": "shop", "guarded": True}
        return Attempt(f"a-{next(numbers)}", request_id, work=Work(), **(fields | changes))

    return make


@pytest.fixture
async def http() -> AsyncIterator[aiohttp.ClientSession]:
    """An HTTP session that opens a new connection for each call."""
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


@pytest.fixture
def call(http: aiohttp.ClientSession) -> Callable[..., Awaitable[tuple[int, Any]]]:
    """Send a request and return the status and the decoded body."""

    async def send(method: str, url: str, **body: Any) -> tuple[int, Any]:
        async with http.request(method, url, json=body) as answer:
            return answer.status, await answer.json()

    return send


@pytest.fixture
async def serve() -> AsyncIterator[Callable[[Listener], Awaitable[str]]]:
    """Open a listener on a free port and return its address."""
    listeners: list[Listener] = []

    async def open_listener(listener: Listener) -> str:
        listeners.append(listener)
        return await listener.open("127.0.0.1:0")

    yield open_listener
    for listener in reversed(listeners):
        await listener.close()


@pytest.fixture
async def worker(serve: Callable[[Listener], Awaitable[str]], tmp_path: Any) -> str:
    """URL of a worker stand-in with two slots and four connections."""
    settings = WorkerSettings(
        "w", 2, connection_limit_count=4, usage_lag_ms=0, history=str(tmp_path / "history")
    )
    return "http://" + await serve(Worker(settings).listener)


@pytest.fixture
async def platform(serve: Callable[[Listener], Awaitable[str]], tmp_path: Any) -> str:
    """URL of a platform stand-in."""
    settings = PlatformSettings(history=str(tmp_path / "history"))
    return "http://" + await serve(Listener(make_platform_app(Platform(settings))))


@pytest.fixture
async def network(serve: Callable[[Listener], Awaitable[str]]) -> str:
    """URL of a relay."""
    return "http://" + await serve(Listener(make_network_app(Relay("127.0.0.1"))))


@pytest.fixture
def submit_attempt(call: Callable[..., Awaitable[tuple[int, Any]]], worker: str) -> Any:
    """Acquire a lease and send an attempt to the worker; the keywords are its payload."""

    async def send(request_id: str, guarded: bool = True, **payload: Any) -> tuple[int, Any]:
        _, lease = await call("POST", f"{worker}/lease", incarnation="i", entry="e")
        fields = {"attempt_id": f"a-{request_id}", "request_id": request_id, "team": "shop"}
        lease_fields = {"incarnation": "i", "lease_epoch": lease["epoch"], "guarded": guarded}
        body = fields | lease_fields | {"declared_run_ms": 1, "payload": payload}
        return await call("POST", f"{worker}/attempts", **body)

    return send


@pytest.fixture
def wait_until() -> Callable[[Callable[[], Awaitable[bool]]], Awaitable[None]]:
    """Repeat a check until it holds, for at most 5 s."""

    async def wait(check: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(5):
            while not await check():
                await asyncio.sleep(0.01)

    return wait


@pytest.fixture
def wait_for_task(call: Any, worker: str, wait_until: Any) -> Callable[[], Awaitable[None]]:
    """Wait until the worker runs a task."""

    async def running() -> bool:
        return bool((await call("GET", f"{worker}/tasks"))[1]["tasks"])

    return lambda: wait_until(running)


@pytest.fixture
def entry_data() -> dict[str, Any]:
    """Valid decoded settings of an entry VM."""
    return {
        "name": "entry-1",
        "data_centre": "dc-1",
        "client_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:9000",
        "peers": [{"name": "entry-2", "peer_address": "127.0.0.1:9001"}],
    }


@pytest.fixture
def fleet_data() -> dict[str, Any]:
    """A valid decoded fleet configuration."""
    vm = {"pool": "holds", "data_centre": "dc-1", "rack": "rack-1"}
    return {
        "pools": [{"name": "holds", "max_unavailable_count": 1}],
        "queues": [{"name": "holds", "pool": "holds", "guarded": True}],
        "teams": [{"name": "shop", "share_weight": 2, "upper_limit_count": 10}],
        "vms": [{**vm, "name": f"vm-{n}", "address": f"10.0.0.{n}:7000"} for n in (1, 2)],
    }


@define
class EntryStub:
    """Stub of an entry VM that records calls and returns prepared responses.

    :param answers: status and body of each response, by method and path; the last one is repeated.
    """

    address: str = ""
    calls: list[tuple[str, str, Any]] = Factory(list)
    answers: dict[tuple[str, str], list[tuple[int, Any]]] = Factory(dict)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Return the next prepared response; close the connection if there is none."""
        body = await request.json() if request.can_read_body else dict(request.query)
        self.calls.append((request.method, request.path, body))
        answers = self.answers.get((request.method, request.path))
        if not answers:
            request.transport.close()  # type: ignore[union-attr]
            return web.Response()
        status, data = answers.pop(0) if len(answers) > 1 else answers[0]
        return web.json_response(data, status=status)


@pytest.fixture
async def entry_stub() -> AsyncIterator[EntryStub]:
    """A running stub of an entry VM on a free port."""
    stub = EntryStub()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", stub.handle)
    async with TestServer(app, host="127.0.0.1") as server:
        stub.address = f"127.0.0.1:{server.port}"
        yield stub


@define
class RunningEntry:
    """An entry VM in this process, connected to the worker and the platform of the fixtures."""

    url: str
    peer_url: str
    worker: str
    actors: list[Any]
    http: aiohttp.ClientSession
    process: Entry

    async def ask(
        self, method: str, path: str, body: Any = None, key: str = "shop-key"
    ) -> tuple[int, Any]:
        """Send a request with a key and return the status and the decoded body.

        :param body: sent unchanged if it is ``bytes``, otherwise as JSON.
        """
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        request = self.http.request(method, self.url + path, data=data, headers=headers)
        async with request as answer:
            return answer.status, await answer.json()

    async def submit(self, queue: str, body: Any, key: str = "shop-key") -> tuple[int, Any]:
        """Submit a job."""
        return await self.ask("POST", f"/v1/queues/{queue}/jobs", body, key)

    async def started_count(self) -> int:
        """Return the number of requests that the worker has started."""
        async with self.http.get(f"{self.worker}/control/state") as answer:
            return (await answer.json())["guard_entries"]


@pytest.fixture
def append(call: Any, platform: str) -> Callable[..., Awaitable[int]]:
    """Append records directly to the platform's log and return the first offset."""
    numbers = itertools.count()

    async def send(*items: Any, batch_id: str = "") -> int:
        batch_id = batch_id or f"test-{next(numbers)}"
        encoded = [
            encode_record(Envelope(batch_id, index, "test", 0, item))
            for index, item in enumerate(items)
        ]
        url = f"{platform}/log/fleet/records"
        return (await call("POST", url, records=encoded))[1]["first_offset"]

    return send


@pytest.fixture
async def entry(
    append: Any,
    platform: str,
    worker: str,
    http: aiohttp.ClientSession,
    wait_until: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[RunningEntry]:
    """A ready entry VM; ``shop-key`` and ``studio-key`` are valid, ``old-key`` is withdrawn."""
    queues = (
        QueueSpec("holds", "holds", guarded=True),
        QueueSpec("events", "holds"),
        QueueSpec("walk-in", "holds", open_to_all=True),
        QueueSpec("night", "holds", Mode.DEFERRED, guarded=True),
    )
    address = worker.removeprefix("http://")
    config = FleetConfig(
        queues=queues,
        teams=(TeamSpec("shop", 2.0, 10), TeamSpec("studio", 1.0, 5)),
        pools=(PoolSpec("holds", 1, 0),),
        vms=(VmSpec("w", "holds", "dc-1", "rack-1", address, slot_count=2, connection_count=4),),
    )
    keys = {"shop-key": "shop", "studio-key": "studio", "old-key": "shop"}
    grants = [GrantKey(KeyGrant(digest_key(key), team)) for key, team in keys.items()]
    await append(Publish(0, config), *grants, WithdrawKey(digest_key("old-key")))
    settings = EntrySettings(
        "entry-1", "dc-1", "127.0.0.1:0", "127.0.0.1:0", platform.removeprefix("http://")
    )
    # Shortens the wait for rights below.
    monkeypatch.setattr(defaults, "RIGHTS_REBALANCE_MS", 20)
    running = await open_entry(settings)
    urls = [f"http://{address}" for address in (running.client_address, running.peer_address)]
    entry = RunningEntry(*urls, worker, running.actors, http, running)

    async def has_rights() -> bool:
        _, status = await entry.ask("GET", "/v1/status")
        return all(team["rights_count"] > 0 for team in status["teams"].values()) and bool(
            status["teams"]
        )

    await wait_until(has_rights)
    yield entry
    await running.close()


@define
class JournalHarness:
    """A journal without sockets, whose log and clock the test controls.

    :param posts: encoded records of each append that the journal has sent.
    :param log: records by offset, as the log would return them.
    """

    journal: Journal
    timer: ManualTimer
    posts: list[list[dict[str, Any]]] = Factory(list)
    log: list[dict[str, Any]] = Factory(list)

    def append(self, record: Any, expires_at_ms: float = float("inf")) -> asyncio.Future[Any]:
        """Request an append, end the flush window and return the reply's future."""
        reply = new_reply()
        self.journal.handle(Append(record, "test", reply, expires_at_ms))
        self.journal.handle(Flush())
        return reply

    def end(self, event: str, post: int = -1) -> None:
        """End the append call of a batch with an event."""
        batch_id = self.posts[post][0]["batch_id"]
        self.journal.handle(AppendEnded(batch_id, event, 1.0))

    def write(self, *encoded: dict[str, Any]) -> None:
        """Add records to the log."""
        self.log += [
            {"offset": offset, "record": item} for offset, item in enumerate(encoded, len(self.log))
        ]

    def chunk(self, start: int = 0, end: int | None = None, limit: int = 10**6) -> Chunk:
        """Return the response to a read of the log at the current time.

        :param start: offset of the oldest retained record.
        :param end: end offset of the log; by default that of the records.
        :param limit: maximum number of records returned.
        """
        first = max(start, self.journal.next_offset)
        items = self.log[first : first + limit]
        end_offset = len(self.log) if end is None else end
        return Chunk(items, start, end_offset, self.timer.now_ms())

    def read(self, **options: Any) -> None:
        """Pass the response to a read of the log to the journal."""
        self.journal.handle(self.chunk(**options))


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> JournalHarness:
    """A journal whose messages the test delivers itself."""
    timer = ManualTimer()
    harness = JournalHarness(Journal("entry-1", "127.0.0.1:1", timer), timer)
    sent = harness.posts

    def post(_: str, texts: list[str]) -> None:
        sent.append([json.loads(text) for text in texts])

    monkeypatch.setattr(harness.journal, "_post", post)
    monkeypatch.setattr(harness.journal, "spawn", lambda _: None)
    return harness


@pytest.fixture
async def journal(platform: str) -> AsyncIterator[Journal]:
    """A running journal that uses the platform's log."""
    journal = Journal("entry-1", platform.removeprefix("http://"), LoopTimer())
    journal.start()
    yield journal
    await journal.stop()


class ReportCollector(Actor):
    """Actor that stores the reports of an upstream's actor."""

    def __init__(self) -> None:
        super().__init__("owner")
        self.ended: asyncio.Queue[AttemptEnded] = asyncio.Queue()
        self.changes: list[UpstreamChanged] = []

    def tell(self, message: Any) -> None:
        """Store a report."""
        if isinstance(message, AttemptEnded):
            self.ended.put_nowait(message)
        else:
            self.changes.append(message)


@define
class UpstreamHarness:
    """An upstream's actor that has a lease, with a timer that the test advances."""

    upstream: Upstream
    owner: ReportCollector
    timer: ManualTimer

    async def send(self, request_id: str = "r", **payload: Any) -> Evidence:
        """Send an attempt that runs for 1 ms and return the evidence."""
        self.transmit(request_id, **payload)
        return await self.report()

    def transmit(self, request_id: str, deadline_ms: float = 2_500, **payload: Any) -> None:
        """Send an attempt."""
        attempt = ModelAttempt(
            f"a-{request_id}", request_id, "w", {"run_ms": 1} | payload, True, "shop"
        )
        self.upstream.tell(Transmit(evolve(attempt, deadline_ms=deadline_ms)))

    async def fence(
        self, request_id: str, boot_id: str, placed_at_ms: float = 0.0, guarded: bool = True
    ) -> Evidence:
        """Query the guard about an attempt and return the evidence."""
        attempt = ModelAttempt(
            f"a-{request_id}", request_id, "w", guarded=guarded, placed_at_ms=placed_at_ms
        )
        self.upstream.tell(FenceRequest(attempt, boot_id))
        return await self.report()

    async def report(self) -> Evidence:
        """Wait for the next ended attempt and return its evidence."""
        return (await asyncio.wait_for(self.owner.ended.get(), 5)).evidence


@pytest.fixture
async def open_upstream(
    wait_until: Any,
) -> AsyncIterator[Callable[..., Awaitable[UpstreamHarness]]]:
    """Start the actor of an upstream and wait for its first lease call to end."""
    opened: list[Upstream] = []

    async def start(url: str, connection_count: int = 4) -> UpstreamHarness:
        owner, timer = ReportCollector(), ManualTimer()
        upstream = Upstream(
            "w",
            url.removeprefix("http://"),
            entry="entry-1",
            incarnation="i",
            owner=owner,
            timer=timer,
            connection_count=connection_count,
        )
        opened.append(upstream)
        upstream.start()

        async def has_lease_result() -> bool:
            return bool(owner.changes)

        await wait_until(has_lease_result)
        return UpstreamHarness(upstream, owner, timer)

    yield start
    for upstream in opened:
        await upstream.stop()


@define
class RunningStandin:
    """A running stand-in and its address."""

    standin: Any
    address: str


@pytest.fixture
async def serve_standin() -> AsyncIterator[Callable[[Any], Awaitable[RunningStandin]]]:
    """Start a stand-in with a ``handle`` method and return it with its address."""
    runners: list[web.ServerRunner] = []

    async def start(standin: Any) -> RunningStandin:
        runner = web.ServerRunner(web.Server(standin.handle), shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        runners.append(runner)
        host, port = runner.addresses[0][:2]
        return RunningStandin(standin, f"{host}:{port}")

    yield start
    for runner in runners:
        await runner.cleanup()


@pytest.fixture
async def store(serve_standin: Callable[[Any], Awaitable[RunningStandin]]) -> RunningStandin:
    """A running stand-in for the platform's store."""
    return await serve_standin(StoreStandin())


@pytest.fixture
async def add_worker(
    store: RunningStandin, serve_standin: Callable[[Any], Awaitable[RunningStandin]]
) -> Callable[..., Awaitable[TaskWorker]]:
    """Start a worker and register it with the store."""

    async def add(name: str = "i-1", worker: TaskWorker | None = None) -> TaskWorker:
        worker = worker or TaskWorker()
        served = await serve_standin(worker)

        def register() -> None:
            entry = {
                "backend": "pool",
                "address": served.address,
                "zone": "dc-1",
                "phase": "ready",
                "capacity": {"cpu": worker.cpu_millicores, "mem-mb": 65_536, "gpu": 0},
                "labels": ["a", "r1"],
                "born": worker.started_ms,
                "sequence": 1,
            }
            store.standin.put("keyed.servers", name, entry)

        worker.register = register
        register()
        return worker

    return add


@pytest.fixture
def node_settings(store: RunningStandin) -> Callable[[str], NodeSettings]:
    """Create the settings of an entry VM on free ports."""

    def make(name: str) -> NodeSettings:
        return make_node_settings(name, store_address=store.address)

    return make


@define
class Caller:
    """Client that calls an entry VM as the platform's callers do."""

    session: aiohttp.ClientSession
    address: str

    async def call(
        self, method: str, path: str, data: Any = None, key: str = "key-1"
    ) -> tuple[int, Any]:
        """Send a request and return the status and the decoded body."""
        headers = {"Host": "shop.example", "Api-Key": key}
        url = f"http://{self.address}{path}"
        async with self.session.request(method, url, json=data, headers=headers) as response:
            return response.status, json.loads(await response.read() or b"null")

    async def submit(self, path: str, job: Any) -> int:
        """Submit a job repeatedly until the answer is not 503; return the last status."""
        for _ in range(200):
            status, _ = await self.call("POST", path, job)
            if status != 503:
                return status
            await asyncio.sleep(0.02)
        return status

    async def phase(self, path: str, wanted: str, timeout_s: float = 5.0) -> str:
        """Poll a job until it reaches a phase or the time is up, and return the last phase.

        :param path: path of the job.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            status, data = await self.call("GET", path)
            found = data.get("phase", status)
            if found == wanted or asyncio.get_running_loop().time() > deadline_s:
                return found
            await asyncio.sleep(0.02)


PLATFORM_CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "hostname": "shop.example",
            "path-prefix": "/q/",
            "backend": "pool",
            "max-attempts": 2,
            "stretch": 1.6,
            "target-latency-ms": 600,
            "public": False,
        }
    ],
    "services": [{"name": "pool", "admission-check": True, "spare": False}],
    "limits": {"max-body-bytes": 262144},
    "tenants": [{"name": "shop", "api-keys": ["key-1"], "weight": 1, "cap": {"cpu": 0}}],
}


@pytest.fixture
def platform_config() -> dict[str, Any]:
    """A configuration with one queue, one pool and one account, in the operators' format."""
    return json.loads(json.dumps(PLATFORM_CONFIG))


@pytest.fixture
def simulate_scenario(
    monkeypatch: pytest.MonkeyPatch, platform_config: dict[str, Any]
) -> Callable[..., Simulation]:
    """Return a function that runs a scenario in virtual time and returns its simulation."""
    platform_config["routes"][0] |= {"max-attempts": 5, "public": True}
    # Each restored job is a slice of its own, so that all other messages come in between.
    monkeypatch.setattr(defaults, "RESTORE_SLICE_MS", 0)

    def run(scenario: Callable[..., Any], seed: int, *args: Any) -> Simulation:
        simulation = Simulation(random.Random(seed))
        patch_peer_client(simulation, monkeypatch.setattr)
        config = json.dumps(platform_config).encode()
        result = run_in_virtual_time(scenario(simulation, config, *args))
        assert isinstance(result, Simulation)
        return result

    return run


@define
class RunningNode:
    """A running entry VM with a caller's session."""

    opened: OpenedNode
    session: aiohttp.ClientSession
    stopped: bool = False

    @property
    def caller(self) -> Caller:
        """A client that calls it as the platform's callers do."""
        return Caller(self.session, self.opened.settings.caller_address)

    @property
    def scheduler(self) -> Scheduler | None:
        """Its scheduler, None unless it is the leader."""
        return self.opened.node.scheduler

    async def wait_to_lead(self) -> Scheduler:
        """Wait until it leads and return its scheduler; a job may be accepted before that."""
        while self.scheduler is None:
            await asyncio.sleep(0.01)
        return self.scheduler

    async def stop(self) -> None:
        """Stop it without a graceful shutdown, as in a crash."""
        self.stopped = True
        await self.opened.close()


@pytest.fixture
def settle_ms() -> int:
    """How long an entry VM waits at a first start for abler ones; 0, as most tests start one."""
    return 0


@pytest.fixture
async def run_node(
    store: RunningStandin,
    node_settings: Callable[[str], NodeSettings],
    platform_config: dict[str, Any],
    settle_ms: int,
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[Callable[[str], Awaitable[RunningNode]]]:
    """Start an entry VM against the stand-in store."""
    monkeypatch.setattr(defaults, "ELECTION_SETTLE_MS", settle_ms)
    store.standin.put("keyed.op", "config", platform_config)
    running: list[RunningNode] = []
    session = aiohttp.ClientSession()

    async def start(name: str = "node-1", **changes: Any) -> RunningNode:
        settings = evolve(node_settings(name), **changes)
        node = RunningNode(await open_node(settings, make_adapter(settings)), session)
        running.append(node)
        return node

    yield start
    for node in running:
        if not node.stopped:
            await node.stop()
    await session.close()
