"""Assembles the actors of an entry VM that runs on a platform with a durable store."""

from __future__ import annotations

import asyncio
import gc
import logging
import secrets
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from attrs import define, evolve, frozen

from . import defaults, evacuations, intake, logs, metrics
from .advisor import AdviceCalls, Advisor
from .candidates import Candidate
from .connectionlimits import BodyBudget, derive_limits
from .connections import (
    AdmissionControl,
    BoundedServer,
    Handler,
    ListenerSpec,
    refuse_plainly,
    side_body_limit,
    side_listener,
    start_server,
)
from .decoding import MalformedLog
from .election import Election
from .entrance import CurrentLeader, CurrentRules, Finish, RequestHandler
from .errors import DecodeError
from .evacuations import EvacuationsChanged
from .follower import Follower, TopicChanges, TopicSnapshot
from .graph import JobSpec, PoolRule, Rules, UpstreamEntry, WaveRequest
from .leaderapi import PeerClient, PeerServer
from .leadership import (
    Fenced,
    Leader,
    LeaderFound,
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
    Leave,
    SmallestCandidateKnown,
)
from .link import ClientFactory
from .mailbox import Actor, new_reply, receives
from .policies import PolicySettings
from .scheduler import PRODUCER, RulesChanged, Scheduler
from .storage import Entry, StoreLimits
from .takeover import STATE_TOPIC
from .taskplacement import make_placement
from .timer import LoopTimer, Timer
from .vmorders import FleetCalls, WaveRequested
from .vms import Fleet
from .writer import Writer

logger = logging.getLogger(__name__)


@frozen
class NodeSettings:
    """Settings of an entry VM.

    :param metrics_address: listener that serves the metrics as text.
    :param key_freshness_ms: longest time for which a withdrawn API key may still be accepted.
    :param config_freshness_ms: time within which a new configuration must be in force.
    :param lease_max_ms: longest lease that an upstream grants.
    :param fence_quiet_ms: minimum time between the orders of two leaders for the same VM.
    :param retention_ms: how long the phase of an ended job can be queried.
    :param store_record_bytes: maximum size of a record in the store.
    :param topic_part_count: partitions of each topic of the store.
    :param cpu_millicores: processor time that the entry VM may use a second.
    :param memory_mb: memory that the process may use; 0 if it is not known.
    :param fd_limit_count: file descriptors that the process may open; 0 if it is not known.
    :param evacuation_ms: time within which an evacuated data centre gets no more tasks; None if
        the platform has no evacuations.
    :param policies: policies of the leader.
    """

    name: str
    data_centre: str
    peer_address: str
    caller_address: str
    ready_address: str
    metrics_address: str
    store_address: str
    fleet_address: str
    advice_address: str
    key_freshness_ms: int
    config_freshness_ms: int
    lease_max_ms: int
    stop_ms: int
    fence_quiet_ms: int
    retention_ms: int
    shutdown_ms: int
    store_call_bytes: int
    store_record_bytes: int
    membership_ttl_min_ms: int
    topic_part_count: int
    cpu_millicores: int
    link_mbps: float
    memory_mb: int = 0
    fd_limit_count: int = 0
    evacuation_ms: int | None = None
    policies: PolicySettings = PolicySettings()

    @property
    def store_limits(self) -> StoreLimits:
        """What the store accepts."""
        return StoreLimits(self.store_record_bytes, self.store_call_bytes)


@frozen
class Adapter:
    """The platform-specific part of an entry VM: clients, topics and codecs."""

    make_store: Callable[[], Any]
    make_client: ClientFactory
    reaches_upstream: Callable[[str], Awaitable[bool]]
    make_fleet: Callable[[], FleetCalls] | None
    make_advice: Callable[[], AdviceCalls] | None
    operator_topic: str
    upstream_topic: str
    status_topic: str
    config_key: str
    wave_prefix: str
    evacuation_prefix: str
    decode_rules: Callable[[bytes], Rules]
    decode_wave: Callable[[bytes], WaveRequest]
    decode_upstream: Callable[[str, bytes], UpstreamEntry]
    decode_job: Callable[[bytes], JobSpec]
    wave_status_record: Callable[[int, bool], tuple[str, bytes]]
    make_caller_server: Callable[[RequestHandler, Timer], Any]


class Node(Actor):
    """Applies the operators' records, follows the election and runs the scheduler while leading."""

    def __init__(self, settings: NodeSettings, adapter: Adapter, timer: Timer) -> None:
        super().__init__("node")
        self._settings = settings
        self._adapter = adapter
        self._timer = timer
        self.incarnation = f"{settings.name}/{secrets.token_hex(4)}"
        self._rules: Rules | None = None
        self._waves: dict[str, WaveRequest] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._records_as_of_ms = float("-inf")
        self._malformed = MalformedLog("operators")
        self._leader: Leader | None = None
        self.scheduler: Scheduler | None = None
        self._intake_writers = tuple(
            Writer(
                f"intake writer {part}",
                adapter.make_store(),
                intake.TOPIC,
                self.incarnation,
                1,
                timer,
                part=part,
                limits=settings.store_limits,
            )
            for part in intake.partitions_of(settings.name, settings.topic_part_count)
        )
        # One connection for the leader and one for each candidate of a round of a survey.
        self._probe_client = PeerClient(defaults.SURVEY_ROUND_COUNT + 1)
        self._recent_until_ms = 0.0
        self.election = Election(
            self.incarnation,
            Candidate(
                settings.name,
                settings.peer_address,
                settings.cpu_millicores,
                settings.link_mbps,
                settings.memory_mb,
            ),
            adapter.make_store(),
            self,
            timer,
            self._probe_client,
            adapter.reaches_upstream,
            part_count=settings.topic_part_count,
            ttl_ms=max(defaults.MEMBERSHIP_TTL_MS, settings.membership_ttl_min_ms),
        )
        self.request_handler = RequestHandler(
            self._intake_writers,
            PeerClient(),
            self.election,
            timer,
            key_freshness_ms=settings.key_freshness_ms,
            config_freshness_ms=settings.config_freshness_ms,
        )
        self._follower = Follower(
            adapter.make_store(),
            adapter.operator_topic,
            self,
            timer,
            wait_ms=self._read_wait_ms(),
        )

    async def on_open(self) -> None:
        """Start the child actors; the election starts with the first configuration."""
        for actor in (*self._intake_writers, self.request_handler, self._follower):
            actor.start()

    async def on_close(self) -> None:
        """Stop the child actors."""
        scheduler = [self.scheduler] if self.scheduler else []
        others = (self.election, self._follower, self.request_handler, *self._intake_writers)
        actors = (*scheduler, *others)
        for actor in actors:
            await actor.stop()
        await self._probe_client.close()

    @receives(TopicSnapshot)
    def on_snapshot(self, message: TopicSnapshot) -> None:
        """Apply all records that operators have written."""
        self._evacuated = evacuations.requested(self._adapter.evacuation_prefix, message.entries)
        self._apply_records(message.entries, message.as_of_ms)

    @receives(TopicChanges)
    def on_changes(self, message: TopicChanges) -> None:
        """Apply the records that operators have written since the last message."""
        prefix = self._adapter.evacuation_prefix
        self._evacuated = evacuations.requested(prefix, message.entries, self._evacuated)
        self._apply_records(message.entries, message.as_of_ms)

    def _apply_records(self, entries: tuple[Entry, ...], as_of_ms: float) -> None:
        for entry in entries:
            if not entry.value:
                continue
            try:
                if entry.key == self._adapter.config_key:
                    self._apply_rules(self._adapter.decode_rules(entry.value), entry)
                elif entry.key.startswith(self._adapter.wave_prefix):
                    self._apply_wave(entry.key, self._adapter.decode_wave(entry.value))
            except DecodeError as error:
                self._malformed.add(entry.key, error, entry.offset)
        if self._rules is not None:
            self.request_handler.tell(CurrentRules(self._rules, as_of_ms))
        self._records_as_of_ms = as_of_ms
        self._publish_evacuations()

    def _read_wait_ms(self) -> int:
        """Return how long the store may hold a read of the operators' records open."""
        bound_ms = self._settings.evacuation_ms
        if bound_ms is None:
            return defaults.RULES_WAIT_MS
        wait_ms = bound_ms // evacuations.READS_PER_BOUND_COUNT
        return min(defaults.RULES_WAIT_MS, max(defaults.STORE_RETRY_MS, wait_ms))

    def _publish_evacuations(self) -> None:
        if self.scheduler is not None and self._settings.evacuation_ms is not None:
            self.scheduler.tell(EvacuationsChanged(self._evacuated, self._records_as_of_ms))

    def _apply_rules(self, rules: Rules, entry: Entry) -> None:
        if self._rules is not None and rules.version <= self._rules.version:
            return
        logger.info(
            "configuration in force",
            extra={
                "version": rules.version,
                "offset": entry.offset,
                "queue_count": len(rules.queues),
                "account_count": len(rules.accounts),
            },
        )
        first = self._rules is None
        self._rules = rules
        if first:
            self.election.start()
        elif self.scheduler is not None:
            self.scheduler.tell(RulesChanged(rules))

    def _apply_wave(self, key: str, wave: WaveRequest) -> None:
        if self._waves.get(key) == wave:
            return
        self._waves[key] = wave
        logger.info(
            "maintenance wave requested",
            extra={
                "wave": wave.number,
                "vm_count": len(wave.vm_ids),
                "within_s": wave.within_s,
                "concurrent_count": wave.concurrent_count,
            },
        )
        if self.scheduler is not None:
            self.scheduler.tell(WaveRequested(wave))

    @receives(LeadershipGained)
    def on_gained(self, message: LeadershipGained) -> None:
        """Start a scheduler with the claimed epoch."""
        metrics.TAKEOVERS.add(1)
        assert self._rules is not None
        adapter, settings = self._adapter, self._settings
        writer = Writer(
            "state writer",
            adapter.make_store(),
            STATE_TOPIC,
            PRODUCER,
            message.epoch,
            self._timer,
            retry_refused=True,
            limits=settings.store_limits,
        )
        self.scheduler = Scheduler(
            message.epoch,
            self._rules,
            adapter.make_store,
            writer,
            self.election,
            adapter.make_client,
            adapter.upstream_topic,
            adapter.decode_upstream,
            self._timer,
            lease_ms=min(settings.lease_max_ms, defaults.UPSTREAM_LEASE_MS),
            lease_max_ms=settings.lease_max_ms,
            stop_ms=settings.stop_ms,
            retention_ms=settings.retention_ms,
            intake_part_count=settings.topic_part_count,
            store_limits=settings.store_limits,
            link_mbps=settings.link_mbps,
            make_fleet=self._fleet_factory(message.epoch, writer),
            make_advisor=self._make_advisor if adapter.make_advice else None,
            memory_mb=settings.memory_mb,
            # Until the recorded candidates have been read.
            successor_memory_mb=defaults.SMALLEST_VM_MB,
            evacuation_ms=settings.evacuation_ms,
            placement=make_placement(settings.policies),
        )
        self.scheduler.start()
        self._publish_evacuations()
        for wave in self._waves.values():
            self.scheduler.tell(WaveRequested(wave))
        self._publish_leader()

    def _make_advisor(self, scheduler: Actor) -> Actor:
        assert self._adapter.make_advice is not None
        return Advisor(self._adapter.make_advice(), scheduler, self._timer)

    def _fleet_factory(
        self, epoch: int, state_writer: Writer
    ) -> Callable[[Actor, dict[str, bytes]], Fleet] | None:
        adapter, settings = self._adapter, self._settings
        make_calls = adapter.make_fleet
        if make_calls is None:
            return None

        def make(scheduler: Actor, restored: dict[str, bytes]) -> Fleet:
            status_writer = Writer(
                "status writer",
                adapter.make_store(),
                adapter.status_topic,
                PRODUCER,
                epoch,
                self._timer,
                retry_refused=True,
                limits=settings.store_limits,
            )
            return Fleet(
                epoch,
                make_calls(),
                scheduler,
                self.election,
                state_writer,
                status_writer,
                adapter.wave_status_record,
                restored,
                self._timer,
                settings.fence_quiet_ms,
                self._pool_rules,
            )

        return make

    def find_other_leader(self) -> str:
        """Return the address of another entry VM that leads as far as is known, or nothing."""
        leader = self._leader
        return leader.address if leader and leader.name != self.incarnation else ""

    def is_leader(self) -> bool:
        """Return whether this entry VM leads and the store has confirmed that recently."""
        return self.scheduler is not None and self._timer.now_ms() < self._recent_until_ms

    def _pool_rules(self) -> dict[str, PoolRule]:
        return self._rules.pools if self._rules else {}

    def body_limit(self, request: web.BaseRequest) -> int:
        """Return the largest body that the configuration allows."""
        rules = self._rules
        return rules.body_size_bytes if rules else defaults.BODY_LIMIT_BYTES

    def job_memory_bytes(self) -> int:
        """Return the memory that jobs use while this entry VM leads."""
        return self.scheduler.memory_bytes if self.scheduler else 0

    @receives(LeadershipConfirmed)
    def on_confirmed(self, message: LeadershipConfirmed) -> None:
        """Tell the scheduler until when the leadership is valid."""
        self._recent_until_ms = message.recent_until_ms
        if self.scheduler is not None:
            self.scheduler.tell(message)

    @receives(SmallestCandidateKnown)
    def on_smallest_candidate(self, message: SmallestCandidateKnown) -> None:
        """Tell the scheduler what its successor can take over."""
        if self.scheduler is not None:
            self.scheduler.tell(message)

    @receives(LeadershipLost)
    def on_lost(self, message: LeadershipLost) -> None:
        """Stop the scheduler."""
        scheduler, self.scheduler = self.scheduler, None
        if scheduler is not None:
            self.spawn(scheduler.stop())
        self._publish_leader()

    @receives(LeaderFound)
    def on_leader_found(self, message: LeaderFound) -> None:
        """Keep the leader with the highest epoch."""
        if self._leader is not None and message.leader.epoch <= self._leader.epoch:
            return
        self._leader = message.leader
        if self.scheduler is not None and message.leader.name != self.incarnation:
            self.election.tell(Fenced(self.scheduler.epoch))
        logger.info(
            "leader known", extra={"leader": message.leader.name, "epoch": message.leader.epoch}
        )
        self._publish_leader()

    def _publish_leader(self) -> None:
        self.request_handler.tell(CurrentLeader(self._leader, self.scheduler))


def _bind(address: str) -> tuple[socket.socket, str]:
    """Bind a listening socket and return it with its address; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=defaults.LISTEN_BACKLOG_COUNT)
    return listener, f"{host}:{listener.getsockname()[1]}"


async def _listen(
    sock: socket.socket, handler: Handler, listener: ListenerSpec, control: AdmissionControl
) -> web.ServerRunner:
    """Serve HTTP on a socket with one handler, without an application and its router."""
    runner = web.ServerRunner(
        BoundedServer(handler, listener, control),
        shutdown_timeout=defaults.CONNECTION_CLOSE_MS / 1_000,
    )
    await start_server(runner, sock)
    return runner


def _listeners(settings: NodeSettings, node: Node, caller_server: Any) -> dict[str, ListenerSpec]:
    """Return the limits of each listener of an entry VM."""
    limits = derive_limits(
        settings.memory_mb,
        settings.fd_limit_count,
        settings.store_record_bytes,
        defaults.SIDE_BODY_LIMIT_BYTES,
    )
    caller_budget: BodyBudget[Any] = BodyBudget(limits.large_bytes, limits.small_bytes)
    peer_budget: BodyBudget[Any] = BodyBudget(limits.peer_bytes, 0)
    listeners = (
        ListenerSpec(
            "caller",
            limits.callers,
            caller_budget,
            node.body_limit,
            caller_server.refuse,
            node.job_memory_bytes,
        ),
        ListenerSpec("peer", limits.peers, peer_budget, side_body_limit, refuse_plainly),
        side_listener("ready", limits.ready),
        side_listener("metrics", limits.metrics),
    )
    return {listener.name: listener for listener in listeners}


async def _serve_metrics(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(text=metrics.render_text())


@define
class OpenedNode:
    """A running entry VM with its listeners.

    :param settings: settings with the addresses that were actually bound.
    """

    settings: NodeSettings
    node: Node
    caller_server: Any
    peers: PeerServer
    runners: list[web.ServerRunner]

    async def drain(self) -> None:
        """Resign and serve until callers have moved to other entry VMs, then close the listeners.

        Requests that have been read are answered before the connections are closed.
        """
        loop = asyncio.get_running_loop()
        answer_until_s = (
            loop.time() + defaults.DRAIN_ANSWER_RATIO * self.settings.shutdown_ms / 1_000
        )
        self.caller_server.draining = True
        leave_reply = new_reply()
        self.node.election.tell(Leave(leave_reply))
        # The load balancer takes two readiness checks to send new callers elsewhere.
        await asyncio.sleep(min(defaults.DRAIN_SERVE_MS, self.settings.shutdown_ms / 2) / 1_000)
        for runner in self.runners:
            for site in tuple(runner.sites):
                await site.stop()
        await asyncio.sleep(defaults.DRAIN_CLOSE_MS / 1_000)
        answered = new_reply()
        timeout_ms = max(0.0, answer_until_s - loop.time()) * 1_000
        self.node.request_handler.tell(Finish(timeout_ms, answered))
        await answered
        await self._close_connections()

    async def _close_connections(self) -> None:
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))
        await self.peers.close()

    async def close(self) -> None:
        """Close the listeners and stop all tasks at once."""
        await self._close_connections()
        await self.node.stop()


async def open_node(settings: NodeSettings, adapter: Adapter) -> OpenedNode:
    """Bind the listeners and start an entry VM."""
    timer = LoopTimer()
    ready, ready_address = _bind(settings.ready_address)
    peer, peer_address = _bind(settings.peer_address)
    caller, caller_address = _bind(settings.caller_address)
    metrics_listener, metrics_address = _bind(settings.metrics_address)
    settings = evolve(
        settings,
        ready_address=ready_address,
        peer_address=peer_address,
        caller_address=caller_address,
        metrics_address=metrics_address,
    )
    node = Node(settings, adapter, timer)
    caller_server = adapter.make_caller_server(node.request_handler, timer)
    peers = PeerServer(
        lambda: node.scheduler,
        node.is_leader,
        node.election,
        node.find_other_leader,
        adapter.decode_job,
    )
    control = AdmissionControl(timer)
    listeners = _listeners(settings, node, caller_server)
    runners = [
        await _listen(ready, caller_server.handle_ready, listeners["ready"], control),
        await _listen(peer, peers.handle, listeners["peer"], control),
        await _listen(caller, caller_server.handle, listeners["caller"], control),
        await _listen(metrics_listener, _serve_metrics, listeners["metrics"], control),
    ]
    node.start()
    return OpenedNode(settings, node, caller_server, peers, runners)


async def serve(settings: NodeSettings, adapter: Adapter) -> None:
    """Run an entry VM until SIGTERM or SIGINT."""
    opened = await open_node(settings, adapter)
    identity = {"incarnation": opened.node.incarnation, "data_centre": settings.data_centre}
    logger.info("started", extra=identity)
    gc.collect()
    gc.freeze()
    gc.set_threshold(defaults.GC_THRESHOLD_COUNT, 20, 50)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _log_hangup)
    await stopped.wait()
    logger.info("stopping", extra=identity)
    await opened.drain()
    await opened.node.stop()
    logger.info("stopped", extra=identity)


def _log_hangup() -> None:
    logger.info("SIGHUP ignored: settings cannot be changed while running")


def run(settings: NodeSettings, adapter: Adapter) -> None:
    """Run an entry VM."""
    logs.setup_bounded_logging("info", settings.name, sys.stdout)
    metrics.start_metrics("memory", {"entry": settings.name})
    asyncio.run(serve(settings, adapter))
