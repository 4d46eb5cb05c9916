"""Connections to other entry VMs: heartbeats, view freshness, relayed records, forwarding."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from typing import Any

import aiohttp
import cattrs
from attrs import Factory, define, evolve, frozen

from . import defaults, limits, metrics, records, snapshots
from .attempts import Evidence
from .jobs import ForwardSubmission, OwnDemand, PeersChanged
from .journal import AdoptState, Append, Chunk, Journal, ReadTail, ViewChanged
from .mailbox import Actor, new_reply, receives, resolve
from .model import Member, Outcome, Reply
from .replay import FleetView
from .replies import unknown_reply
from .sessions import make_connector
from .timer import Timer
from .upstream import FindResult

logger = logging.getLogger(__name__)


@frozen
class HeartbeatDue:
    """Timer tick: send heartbeats."""


@frozen
class Heartbeat:
    """Body of a heartbeat and of the answer to it.

    :param offset: newest log offset in the sender's view.
    :param age_ms: age of the sender's view at the time of sending.
    :param withdrawn: IDs of withdrawn keys whose withdrawal is not in the log yet.
    :param wanted: number of additional rights that the sender needs, by team.
    :param loads: counts of the sender's running and waiting jobs, by pool.
    """

    name: str
    incarnation: str
    peer_address: str
    offset: int
    age_ms: float
    log_available: bool
    withdrawn: tuple[str, ...] = ()
    wanted: dict[str, int] = Factory(dict)
    loads: dict[str, tuple[int, int]] = Factory(dict)


@frozen
class HeartbeatReceived:
    """A peer sent a heartbeat; the reply is this entry VM's own and the records the peer lacks."""

    heartbeat: Heartbeat
    reply: asyncio.Future[tuple[Heartbeat, Chunk | None]]


@frozen
class HeartbeatAnswered:
    """A peer answered the heartbeat that was sent to it at ``sent_at_ms``."""

    address: str
    heartbeat: Heartbeat
    chunk: Chunk | None
    sent_at_ms: float


@frozen
class HeartbeatFailed:
    """A peer did not answer a heartbeat, or the answer was invalid."""

    address: str


@frozen
class WithdrawKeyNow:
    """Withdraw a key here at once and tell all peers, even if the log is unavailable."""

    key_id: str


@frozen
class PeerStatus:
    """Status of a member.

    :param offset: newest log offset that the member reported, -1 if none.
    :param silent_ms: time since the member was last heard from.
    """

    member: Member
    offset: int
    silent_ms: float


@frozen
class ReadPeers:
    """Request the status of all members."""

    reply: asyncio.Future[list[PeerStatus]]


@frozen
class ReadLoads:
    """Request running and waiting jobs by pool, summed over the responding entry VMs."""

    reply: asyncio.Future[dict[str, tuple[int, int]]]


@frozen
class ForwardQuery:
    """Ask the entry VM that issued a request ID for the outcome.

    The reply is looked up at the upstreams if the issuer does not know or cannot be reached.
    """

    request_id: str
    incarnation: str
    key_id: str
    reply: asyncio.Future[Reply | None]


@frozen
class SetIdentity:
    """Set the name, incarnation and addresses that heartbeats carry."""

    member: Member


@define
class KnownPeer:
    """An entry VM to which heartbeats are sent, and what its last heartbeat said."""

    address: str
    incarnation: str = ""
    offset: int = -1
    log_available: bool = True
    heard_at_ms: float = float("-inf")
    contacted_at_ms: float = float("-inf")
    in_flight: bool = False
    wanted: dict[str, int] = Factory(dict)
    loads: dict[str, tuple[int, int]] = Factory(dict)


class Peers(Actor):
    """Actor that owns the connections to the other entry VMs.

    :param addresses: peer addresses known from the settings.
    """

    def __init__(
        self,
        member: Member,
        addresses: list[str],
        journal: Journal,
        dispatch: Actor,
        timer: Timer,
        rng: random.Random,
        source_address: str = "",
    ) -> None:
        super().__init__("peers")
        self._member = member
        self._journal = journal
        self._dispatch = dispatch
        self._timer = timer
        self._rng = rng
        self._source_address = source_address
        self._known_peers = {a: KnownPeer(a) for a in addresses if a != member.peer_address}
        self._view = FleetView()
        self._fresh_as_of_ms = float("-inf")
        self._log_available = False
        self._loaded = False
        self._started_ms = timer.now_ms()
        self._first_seen_ms: dict[str, float] = {}
        self._withdrawn_key_ids: set[str] = set()
        self._demand: dict[str, int] = {}
        self._loads: dict[str, tuple[int, int]] = {}
        self._session: aiohttp.ClientSession

    async def on_open(self) -> None:
        """Open the session and start the heartbeats."""
        self._session = aiohttp.ClientSession(connector=make_connector(self._source_address))
        self.subscribe(self._timer.every(defaults.HEARTBEAT_PERIOD_MS), HeartbeatDue())
        self.tell_self(HeartbeatDue())

    async def on_close(self) -> None:
        """Close the session."""
        await self._session.close()

    @receives(SetIdentity)
    def _on_set_identity(self, message: SetIdentity) -> None:
        self._member = message.member

    # Heartbeats

    @receives(HeartbeatDue)
    def _on_heartbeat_due(self, _: HeartbeatDue) -> None:
        now_ms = self._timer.now_ms()
        peers = [p for p in self._known_peers.values() if not p.in_flight]
        # The shuffle keeps entry VMs that start together from contacting peers in the same order.
        self._rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.contacted_at_ms)
        due = [
            peer
            for number, peer in enumerate(peers)
            if number < defaults.HEARTBEAT_FANOUT_COUNT
            or now_ms - peer.contacted_at_ms > defaults.HEARTBEAT_MAX_INTERVAL_MS
        ]
        for peer in due:
            peer.contacted_at_ms = now_ms
            peer.in_flight = True
            self.spawn(self._send_heartbeat(peer.address, self._own_heartbeat()))

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            name=self._member.name,
            incarnation=self._member.incarnation,
            peer_address=self._member.peer_address,
            offset=self._view.offset,
            age_ms=min(self._timer.now_ms() - self._fresh_as_of_ms, 1e12),
            log_available=self._log_available,
            withdrawn=tuple(sorted(self._withdrawn_key_ids)),
            wanted=self._demand,
            loads={name: load for name, load in self._loads.items() if any(load)},
        )

    async def _send_heartbeat(self, address: str, heartbeat: Heartbeat) -> None:
        sent_at_ms = self._timer.now_ms()
        try:
            data = await self._post(address, "/peer/heartbeat", encode(heartbeat))
            answer = decode(data["beat"], Heartbeat)
            chunk = decode(data["chunk"], Chunk) if data.get("chunk") else None
            self.tell_self(HeartbeatAnswered(address, answer, chunk, sent_at_ms))
        except (
            aiohttp.ClientError,
            TimeoutError,
            ValueError,
            KeyError,
            cattrs.BaseValidationError,
        ):
            self.tell_self(HeartbeatFailed(address))

    async def _post(
        self, address: str, path: str, body: Any, timeout_ms: float = defaults.PEER_TIMEOUT_MS
    ) -> Any:
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1_000, sock_connect=defaults.CONNECT_TIMEOUT_MS / 1_000
        )
        async with self._session.post(
            f"http://{address}{path}", json=body, timeout=timeout
        ) as response:
            response.raise_for_status()
            return await response.json()

    @receives(HeartbeatFailed)
    def _on_heartbeat_failed(self, message: HeartbeatFailed) -> None:
        metrics.HEARTBEATS.add(1, metrics.labels(result="failed"))
        peer = self._known_peers.get(message.address)
        if peer is not None:
            peer.in_flight = False

    @receives(HeartbeatAnswered)
    def _on_heartbeat_answered(self, message: HeartbeatAnswered) -> None:
        metrics.HEARTBEATS.add(1, metrics.labels(result="answered"))
        peer = self._known_peers.get(message.address)
        if peer is None:
            return
        peer.in_flight = False
        peer.heard_at_ms = message.sent_at_ms
        self._update_peer(peer, message.heartbeat)
        if message.chunk is not None:
            # The time in transit is unknown, so the peer's view is dated from the request.
            fresh_ms = message.sent_at_ms - message.heartbeat.age_ms
            self._journal.tell(evolve(message.chunk, fresh_as_of_ms=fresh_ms, from_log=False))
        elif message.heartbeat.offset > self._view.offset or not self._loaded:
            self.spawn(self._fetch_state(message.address))
        self._report_freshness()

    def _update_peer(self, peer: KnownPeer, heartbeat: Heartbeat) -> None:
        peer.incarnation = heartbeat.incarnation
        peer.offset = heartbeat.offset
        peer.log_available = heartbeat.log_available
        peer.wanted = heartbeat.wanted
        peer.loads = heartbeat.loads
        self._add_withdrawn_keys(heartbeat.withdrawn)
        self._tell_dispatch()

    @receives(HeartbeatReceived)
    async def _on_heartbeat_received(self, message: HeartbeatReceived) -> None:
        heartbeat = message.heartbeat
        if heartbeat.peer_address not in self._known_peers:
            self._known_peers[heartbeat.peer_address] = KnownPeer(heartbeat.peer_address)
        self._update_peer(self._known_peers[heartbeat.peer_address], heartbeat)
        chunk = None
        if heartbeat.offset <= self._view.offset and self._loaded:
            chunk_reply = new_reply()
            self._journal.tell(ReadTail(heartbeat.offset, chunk_reply))
            chunk = await chunk_reply
        resolve(message.reply, (self._own_heartbeat(), chunk))

    async def _fetch_state(self, address: str) -> None:
        """Fetch the full state of a peer that has records which cannot be read otherwise."""
        sent_at_ms = self._timer.now_ms()
        timeout = aiohttp.ClientTimeout(total=defaults.LOG_READ_TIMEOUT_MS / 1_000)
        try:
            async with self._session.get(f"http://{address}/peer/state", timeout=timeout) as answer:
                data = await answer.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        assembler = snapshots.SnapshotAssembler()
        for part in data["parts"]:
            state = assembler.add(decode(part, records.SnapshotPart))
            if state is not None:
                self._journal.tell(AdoptState(state, sent_at_ms - data["age_ms"]))

    def _report_freshness(self) -> None:
        """While the log is unavailable, treat heartbeats from all members as proof of freshness.

        Keys are withdrawn only through entry VMs, so a withdrawal that no member knows of has
        not been accepted.
        """
        if self._log_available or self._member.incarnation not in self._view.members:
            return
        others = [inc for inc in self._view.members if inc != self._member.incarnation]
        heard = {p.incarnation: p for p in self._known_peers.values()}
        if not all(inc in heard and not heard[inc].log_available for inc in others):
            return
        peers = [heard[inc] for inc in others]
        oldest_ms = min((p.heard_at_ms for p in peers), default=self._timer.now_ms())
        newest_offset = max((p.offset for p in peers), default=self._view.offset)
        after = self._view.offset + 1
        self._journal.tell(Chunk([], after, newest_offset + 1, oldest_ms, from_log=False))

    # Demand and withdrawals

    @receives(OwnDemand)
    def _on_own_demand(self, message: OwnDemand) -> None:
        self._demand = dict(message.wanted_count)
        self._loads = dict(message.loads)

    @receives(ReadLoads)
    def _on_read_loads(self, message: ReadLoads) -> None:
        oldest_ms = self._timer.now_ms() - defaults.MEMBER_RETIRE_MS
        heard = [p.loads for p in self._known_peers.values() if p.heard_at_ms >= oldest_ms]
        running: Counter[str] = Counter()
        waiting: Counter[str] = Counter()
        for loads in (self._loads, *heard):
            for pool, (running_count, waiting_count) in loads.items():
                running[pool] += running_count
                waiting[pool] += waiting_count
        resolve(message.reply, {pool: (running[pool], waiting[pool]) for pool in running})

    def _tell_dispatch(self) -> None:
        now_ms = self._timer.now_ms()
        peer_demands = [
            limits.PeerDemand(p.incarnation, p.wanted)
            for p in self._known_peers.values()
            if p.wanted and now_ms - p.heard_at_ms < defaults.HEARTBEAT_MAX_INTERVAL_MS * 2
        ]
        self._dispatch.tell(PeersChanged(peer_demands, frozenset(self._withdrawn_key_ids)))

    @receives(WithdrawKeyNow)
    def _on_withdraw_key_now(self, message: WithdrawKeyNow) -> None:
        self._add_withdrawn_keys((message.key_id,))
        self._tell_dispatch()
        self._on_heartbeat_due(HeartbeatDue())

    def _add_withdrawn_keys(self, key_ids: tuple[str, ...]) -> None:
        for key_id in set(key_ids) - self._withdrawn_key_ids:
            if key_id in self._view.keys:
                self._withdrawn_key_ids.add(key_id)
                # Every entry VM that learns of a withdrawal appends it, as any of them may fail.
                self._journal.tell(Append(records.WithdrawKey(key_id), self._member.name))

    @receives(ViewChanged)
    def _on_view_changed(self, message: ViewChanged) -> None:
        self._view = message.view
        self._fresh_as_of_ms = message.fresh_as_of_ms
        self._log_available = message.log_available
        self._loaded = message.loaded
        self._withdrawn_key_ids = {
            key_id for key_id in self._withdrawn_key_ids if key_id in message.view.keys
        }
        known = {member.peer_address for member in message.view.members.values()}
        for address in known - {self._member.peer_address} - set(self._known_peers):
            self._known_peers[address] = KnownPeer(address)
        now_ms = self._timer.now_ms()
        for incarnation in message.view.members:
            self._first_seen_ms.setdefault(incarnation, now_ms)

    @receives(ReadPeers)
    def _on_read_peers(self, message: ReadPeers) -> None:
        heard = {p.incarnation: p for p in self._known_peers.values()}
        resolve(message.reply, [self._status(m, heard) for m in self._view.members.values()])

    def _status(self, member: Member, heard: dict[str, KnownPeer]) -> PeerStatus:
        now_ms = self._timer.now_ms()
        if member.incarnation == self._member.incarnation:
            return PeerStatus(member, self._view.offset, 0.0)
        peer = heard.get(member.incarnation)
        known_ms = max(self._first_seen_ms.get(member.incarnation, now_ms), self._started_ms)
        if peer is None:
            return PeerStatus(member, -1, now_ms - known_ms)
        heard_ms = max(peer.heard_at_ms, known_ms)
        return PeerStatus(member, peer.offset, now_ms - heard_ms)

    # Forwarding

    @receives(ForwardSubmission)
    def _on_forward_submission(self, message: ForwardSubmission) -> None:
        metrics.FORWARDS.add(1)
        self.spawn(self._forward(message))

    async def _forward(self, message: ForwardSubmission) -> None:
        submission = message.submission
        reply = None
        member = self._view.members.get(message.incarnation)
        if member is not None:
            body = encode(evolve(submission, forwarded=True))
            timeout_ms = submission.deadline_ms + defaults.PEER_TIMEOUT_MS
            try:
                data = await self._post(member.peer_address, "/peer/forward", body, timeout_ms)
                reply = decode(data, Reply)
            except (aiohttp.ClientError, TimeoutError, ValueError, cattrs.BaseValidationError):
                logger.debug("forwarding a submission failed", extra={"peer": member.peer_address})
        if reply is None:
            # The issuer may have received the submission, so it is not certain that it did not run.
            reply = await self._find_result(
                submission.request_id, message.incarnation, submission.key_id
            )
        resolve(message.reply, reply)

    async def _find_result(self, request_id: str, incarnation: str, key_id: str) -> Reply:
        evidence_reply: asyncio.Future[Evidence] = new_reply()
        self._dispatch.tell(FindResult(request_id, evidence_reply, key_id))
        evidence = await evidence_reply
        if evidence.answer is not None:
            return Reply(request_id, Outcome.ANSWERED, evidence.answer)
        return unknown_reply(request_id, "issuer_unreachable", "forward", incarnation)

    @receives(ForwardQuery)
    def _on_forward_query(self, message: ForwardQuery) -> None:
        self.spawn(self._forward_query(message))

    async def _forward_query(self, message: ForwardQuery) -> None:
        reply = None
        member = self._view.members.get(message.incarnation)
        if member is not None:
            try:
                body = {"request_id": message.request_id, "key_id": message.key_id}
                data = await self._post(member.peer_address, "/peer/query", body)
                reply = decode(data, Reply) if data else None
            except (aiohttp.ClientError, TimeoutError, ValueError, cattrs.BaseValidationError):
                logger.debug("forwarding a query failed", extra={"peer": member.peer_address})
        if reply is None:
            reply = await self._find_result(message.request_id, message.incarnation, message.key_id)
        resolve(message.reply, reply)


# Message encodings for the peer routes in server.py


def encode(value: Any) -> Any:
    """Return the JSON-compatible form of an ``attrs`` value."""
    return records.converter().unstructure(value)


def decode(data: Any, cls: type[Any]) -> Any:
    """Return the ``attrs`` value that decoded JSON represents.

    :raises cattrs.BaseValidationError: if it does not match ``cls``.
    """
    return records.converter().structure(data, cls)
