"""Leader election among entry VMs, by membership of a group in the store and claimed epochs.

The owner of one partition checks that there is a leader. It claims a new epoch only if the leader
recorded in the store does not answer or does not lead, so that the leadership does not move when
members join or leave the group or its partitions are reassigned.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define, frozen

from . import defaults, metrics
from .charts import load_chart
from .errors import PeerError, StoreConflictError, StoreRefusedError, StoreUnknownError
from .follower import ReadStore, read_newest
from .mailbox import Actor, implements_action, receives
from .storage import Appended, Membership
from .timer import Timer

logger = logging.getLogger(__name__)

GROUP = "schedulers"
TOPIC = "keyed.leader"
LEADER_KEY = "leader"
# The owner of this partition claims an epoch if there is no leader.
LEADER_PART = 0


class GroupStore(ReadStore, Protocol):
    """The methods of the store's client that an election uses."""

    async def append(
        self, topic: str, records: Any, *, part: int = 0, expected_end: int | None = None
    ) -> Appended: ...

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Membership: ...

    async def leave(self, group: str, member: str) -> None: ...


@frozen
class Leader:
    """The entry VM that schedules, with the epoch that fences earlier leaders."""

    name: str
    address: str
    epoch: int


@frozen
class LeadershipGained:
    """This entry VM has claimed an epoch."""

    epoch: int


@frozen
class LeadershipConfirmed:
    """The store has confirmed the leadership; orders may be sent until ``valid_until_ms``."""

    valid_until_ms: float


@frozen
class LeadershipLost:
    """This entry VM must stop scheduling."""

    epoch: int
    reason: str


@frozen
class LeaderFound:
    """The leader recorded in the store."""

    leader: Leader


@frozen
class FindLeader:
    """Look up the leader again: the known one does not answer or does not lead."""


@frozen
class Fenced:
    """The store or an upstream has seen a higher epoch than this one."""

    epoch: int


@frozen
class Leave:
    """Leave the group at once, for a planned stop."""

    reply: asyncio.Future[None]


@frozen
class _Joined:
    membership: Membership
    sent_ms: float


@frozen
class _Probed:
    vacant: bool
    reason: str
    sent_ms: float
    end_offset: int = 0


@frozen
class _Claimed:
    epoch: int


@frozen
class _ClaimFailed:
    reason: str


@frozen
class _Tick:
    """Check whether the confirmation of the leadership has expired."""


@define
class _Candidate:
    state: str


class Election(Actor):
    """Maintains this entry VM's group membership and claims the leadership if it is vacant.

    :param name: incarnation of this entry VM, unique across its restarts.
    :param address: address at which other entry VMs reach this one.
    :param listener: actor that receives the messages about the leadership.
    :param is_leader: asks the entry VM at an address whether it leads; raises PeerError.
    """

    chart = load_chart("leadership")

    def __init__(
        self,
        name: str,
        address: str,
        store: GroupStore,
        listener: Actor,
        timer: Timer,
        is_leader: Callable[[str], Awaitable[bool]],
        *,
        ttl_ms: int = defaults.MEMBERSHIP_TTL_MS,
    ) -> None:
        super().__init__("election")
        self._member = name
        self._address = address
        self._store = store
        self._listener = listener
        self._timer = timer
        self._is_leader = is_leader
        self._ttl_ms = ttl_ms
        self._candidate = _Candidate(self.chart.initial)
        self._generation = 0
        self._epoch = 0
        self._confirmed_ms = 0.0
        self._checked_ms = timer.now_ms()
        self._leader_answered_ms = float("-inf")
        self._lookup_running = False
        self._leaving = False

    async def on_open(self) -> None:
        """Start to join the group and to check the confirmation."""
        self.spawn(self._renew_membership())
        self.subscribe(self._timer.every(defaults.LEADERSHIP_CHECK_MS), _Tick())

    async def _renew_membership(self) -> None:
        while not self._leaving:
            sent_ms = self._timer.now_ms()
            try:
                membership = await self._store.join(
                    GROUP, self._member, TOPIC, self._ttl_ms, self._generation
                )
            except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
                logger.warning("cannot join the group", extra={"reason": str(error)})
            else:
                self.tell(_Joined(membership, sent_ms))
            await asyncio.sleep(self._ttl_ms / defaults.JOINS_PER_TTL_COUNT / 1_000)

    @receives(_Joined)
    def on_joined(self, message: _Joined) -> None:
        """Update the election state from the partitions that this entry VM owns."""
        if self._leaving:
            return
        membership = message.membership
        if membership.generation != self._generation:
            logger.info(
                "group membership changed",
                extra={"generation": membership.generation, "parts": sorted(membership.parts)},
            )
            self._generation = membership.generation
            self._start_leader_lookup()
        self._confirmed_ms = message.sent_ms
        owned = LEADER_PART in membership.parts
        self.step(self.chart, self._candidate, "owned" if owned else "disowned")

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """Resign if the store has not confirmed the leadership for too long."""
        self._measure_event_loop_delay()
        age_ms = self._timer.now_ms() - self._confirmed_ms
        if self._candidate.state == "leader" and age_ms > defaults.LEADERSHIP_VALID_MS:
            self.step(self.chart, self._candidate, "expired")

    def _measure_event_loop_delay(self) -> None:
        """Record how late the periodic check is; a suspended process shows as a delay as well."""
        now_ms = self._timer.now_ms()
        delay_ms = max(0.0, now_ms - self._checked_ms - defaults.LEADERSHIP_CHECK_MS)
        self._checked_ms = now_ms
        metrics.EVENT_LOOP_DELAY.record(delay_ms)
        if delay_ms > defaults.EVENT_LOOP_DELAY_LOG_MS:
            logger.info(
                "event loop was delayed",
                extra={
                    "delay_ms": round(delay_ms),
                    "leadership": self._candidate.state,
                    "confirmation_age_ms": round(now_ms - self._confirmed_ms),
                },
            )

    @implements_action("probe")
    def _start_probe(self, candidate: _Candidate) -> None:
        self.spawn(self._probe())

    async def _probe(self) -> None:
        """Ask the leader recorded in the store whether it still leads."""
        sent_ms = self._timer.now_ms()
        try:
            recorded, end_offset = await self._read_leader_record()
        except (StoreUnknownError, StoreRefusedError) as error:
            self.tell(_Probed(False, str(error), sent_ms))
            return
        if recorded is None:
            self.tell(_Probed(True, "no leader is recorded", sent_ms, end_offset))
            return
        try:
            is_leader = await self._is_leader(recorded.address)
        except PeerError as error:
            metrics.PROBES.add(1, metrics.labels(result="unanswered"))
            self.tell(_Probed(True, str(error), sent_ms, end_offset))
            return
        reason = recorded.name if is_leader else f"{recorded.name} does not lead"
        metrics.PROBES.add(1, metrics.labels(result="leads" if is_leader else "does not lead"))
        if is_leader:
            self._leader_answered_ms = self._timer.now_ms()
        self.tell(_Probed(not is_leader, reason, sent_ms, end_offset))

    @receives(_Probed)
    def on_probed(self, message: _Probed) -> None:
        """Claim an epoch if no entry VM leads."""
        if self._candidate.state != "probing":
            return
        if message.vacant:
            now_ms = self._timer.now_ms()
            answer_age_ms = now_ms - self._leader_answered_ms
            logger.info(
                "nobody leads",
                extra={
                    "reason": message.reason,
                    "probe_ms": round(now_ms - message.sent_ms),
                    "last_answer_age_ms": round(answer_age_ms) if answer_age_ms < 1e9 else None,
                    "confirmation_age_ms": round(now_ms - self._confirmed_ms),
                },
            )
            self.step(self.chart, self._candidate, "vacant", end_offset=message.end_offset)
        else:
            self.step(self.chart, self._candidate, "occupied")

    @implements_action("claim")
    def _start_claim(self, candidate: _Candidate, end_offset: int) -> None:
        self.spawn(self._claim(end_offset))

    async def _claim(self, end_offset: int) -> None:
        """Append a leader record on condition that no epoch was claimed since the probe."""
        value = json.dumps({"name": self._member, "address": self._address}).encode()
        try:
            appended = await self._store.append(
                TOPIC, [(LEADER_KEY, value)], part=LEADER_PART, expected_end=end_offset
            )
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            self.tell(_ClaimFailed(str(error)))
            return
        self.tell(_Claimed(appended.offset + 1))

    @receives(_Claimed)
    def on_claimed(self, message: _Claimed) -> None:
        """Become leader, unless the partition was lost in the meantime."""
        self._epoch = message.epoch
        if self._candidate.state == "claiming":
            self.step(self.chart, self._candidate, "claimed")

    @receives(_ClaimFailed)
    def on_claim_failed(self, message: _ClaimFailed) -> None:
        """Return to the state ``follower``; renewing the membership starts a new attempt."""
        logger.warning("cannot claim an epoch", extra={"reason": message.reason})
        if self._candidate.state == "claiming":
            self.step(self.chart, self._candidate, "claim_failed")

    @implements_action("take_over")
    def _take_over(self, candidate: _Candidate) -> None:
        logger.info("leadership gained", extra={"epoch": self._epoch})
        self._listener.tell(LeaderFound(Leader(self._member, self._address, self._epoch)))
        self._listener.tell(LeadershipGained(self._epoch))
        self._confirm(candidate)

    @implements_action("confirm")
    def _confirm(self, candidate: _Candidate) -> None:
        self._listener.tell(LeadershipConfirmed(self._confirmed_ms + defaults.LEADERSHIP_VALID_MS))

    @implements_action("resign")
    def _resign(self, candidate: _Candidate) -> None:
        age_ms = round(self._timer.now_ms() - self._confirmed_ms)
        logger.info("leadership lost", extra={"epoch": self._epoch, "confirmation_age_ms": age_ms})
        self._listener.tell(LeadershipLost(self._epoch, "not confirmed by the store"))

    @receives(Fenced)
    def on_fenced(self, message: Fenced) -> None:
        """Resign: another entry VM has a higher epoch."""
        if self._candidate.state == "leader" and message.epoch == self._epoch:
            self.step(self.chart, self._candidate, "fenced")

    @receives(FindLeader)
    def on_find_leader(self, message: FindLeader) -> None:
        """Look up the leader; at most one lookup runs at a time."""
        self._start_leader_lookup()

    def _start_leader_lookup(self) -> None:
        if not self._lookup_running:
            self._lookup_running = True
            self.spawn(self._look_up_leader())

    async def _look_up_leader(self) -> None:
        try:
            leader, _ = await self._read_leader_record()
        except (StoreUnknownError, StoreRefusedError) as error:
            logger.warning("cannot look up the leader", extra={"reason": str(error)})
            return
        finally:
            await asyncio.sleep(defaults.LEADER_LOOKUP_PAUSE_MS / 1_000)
            self._lookup_running = False
        if leader is not None:
            self._listener.tell(LeaderFound(leader))

    async def _read_leader_record(self) -> tuple[Leader | None, int]:
        """Return the leader recorded in the store, if any, and the partition's end offset."""
        newest = await read_newest(self._store, TOPIC)
        for entry in newest.entries:
            if entry.key == LEADER_KEY:
                data = json.loads(entry.value)
                leader = Leader(data["name"], data["address"], entry.offset + 1)
                return leader, newest.end_offset
        return None, newest.end_offset

    @receives(Leave)
    async def on_leave(self, message: Leave) -> None:
        """Resign and leave the group, so that another entry VM takes over at once."""
        self._leaving = True
        if self._candidate.state == "leader":
            self.step(self.chart, self._candidate, "leave")
        try:
            await self._store.leave(GROUP, self._member)
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.warning("cannot leave the group", extra={"reason": str(error)})
        if not message.reply.done():
            message.reply.set_result(None)

    async def on_close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()
