"""Leader election among entry VMs, by membership of a group in the store and claimed epochs.

The owner of one partition checks that there is a leader. If the leader recorded in the store does
not answer or does not lead, the owner asks the other candidates whether they reach it and whether
they would lead, and the ablest one claims a new epoch. The leadership does not move when members
join or leave the group or its partitions are reassigned.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define, frozen

from . import defaults, metrics
from .candidacy import Candidacy, CandidateStore
from .candidates import (
    Candidate,
    CandidateStatus,
    Decision,
    LeaderView,
    Reach,
    Survey,
    decide,
    is_settled,
    least_memory_mb,
)
from .charts import load_chart
from .decoding import MalformedLog
from .errors import DecodeError, PeerError, StoreConflictError, StoreRefusedError, StoreUnknownError
from .follower import read_newest
from .leadership import (
    Fenced,
    FindLeader,
    Leader,
    LeaderFound,
    LeadershipConfirmed,
    LeadershipGained,
    LeadershipLost,
    Leave,
    QueryCandidate,
    QueryReach,
    ReachMeasured,
    RequestClaim,
    SmallestCandidateKnown,
    decode_leader,
)
from .mailbox import Actor, implements_action, receives, resolve
from .storage import Membership
from .survey import CandidatePeers, Surveyor
from .timer import Timer

logger = logging.getLogger(__name__)

GROUP = "schedulers"
TOPIC = "keyed.leader"
LEADER_KEY = "leader"
# The owner of this partition claims an epoch if there is no leader.
LEADER_PART = 0


class GroupStore(CandidateStore, Protocol):
    """The methods of the store's client that an election uses."""

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Membership: ...

    async def leave(self, group: str, member: str) -> None: ...


@frozen
class _Joined:
    membership: Membership
    sent_ms: float
    answered_ms: float


@frozen
class _RecordConfirmed:
    """The store still records this entry VM as the leader."""

    epoch: int
    sent_ms: float
    answered_ms: float


@frozen
class _Probed:
    decision: Decision
    sent_ms: float
    end_offset: int = 0


@frozen
class _Claimed:
    epoch: int


@frozen
class _ClaimFailed:
    reason: str


@frozen
class _GivesUp:
    """This leader should not lead any more, as it does not reach most upstreams.

    :param event: event of the chart: ``transferred`` to a successor, or ``isolated`` from all other
        candidates, though the group has other members.
    """

    epoch: int
    event: str
    reason: str


@frozen
class _Tick:
    """Check whether the confirmation of the leadership has expired."""


@define
class _Role:
    state: str


class Election(Actor):
    """Maintains this entry VM's group membership and the record of it as a candidate.

    :param name: incarnation of this entry VM, unique across its restarts.
    :param candidate: this entry VM, as other ones see it.
    :param listener: actor that receives the messages about the leadership.
    :param peers: client for calls to other entry VMs.
    :param reaches_upstream: tries to connect to the upstream at an address.
    :param part_count: partitions of the group's topic, which the store distributes evenly.
    """

    chart = load_chart("leadership")

    def __init__(
        self,
        name: str,
        candidate: Candidate,
        store: GroupStore,
        listener: Actor,
        timer: Timer,
        peers: CandidatePeers,
        reaches_upstream: Callable[[str], Awaitable[bool]],
        *,
        part_count: int,
        ttl_ms: int = defaults.MEMBERSHIP_TTL_MS,
    ) -> None:
        super().__init__("election")
        self._part_count = part_count
        self._member = name
        self._candidate = candidate
        self._store = store
        self._listener = listener
        self._timer = timer
        self._peers = peers
        self._reaches_upstream = reaches_upstream
        self._malformed = MalformedLog("election")
        self._candidacy = Candidacy(candidate, store)
        self._publication_tried = asyncio.Event()
        self._surveyor = Surveyor(candidate, store, peers)
        self._ttl_ms = ttl_ms
        self._role = _Role(self.chart.initial)
        self._generation = 0
        self._epoch = 0
        self._confirmed_ms = 0.0
        self._joined_ms = 0.0
        self._recent_until_ms = 0.0
        self._pending_join_count = 0
        self._checked_ms = timer.now_ms()
        self._leader_answered_ms = float("-inf")
        self._lookup_running = False
        self._leaving = False
        self._started_ms = 0.0
        self._unwilling_until_ms = 0.0
        self._stepped_aside_ms = float("-inf")
        self._away_until_ms = 0.0
        self._owned_count = 0
        self._poor_reach_since_ms: float | None = None
        self._next_transfer_ms = 0.0
        self._next_record_check_ms = 0.0
        self._pending_check_count = 0
        self._measuring: asyncio.Task[None] | None = None

    async def on_open(self) -> None:
        """Start to join the group and to check the confirmation."""
        self._started_ms = self._timer.now_ms()
        self.spawn_loop(self._keep_record)
        self.spawn_loop(self._take_part)
        self.subscribe(self._timer.every(defaults.LEADERSHIP_CHECK_MS), _Tick())

    async def _keep_record(self) -> None:
        """Record this entry VM as a candidate and renew the record."""
        # Renewals of entry VMs that start together are spread by the jitter.
        rng = random.Random(self._candidate.name)
        while True:
            recorded = await self._candidacy.publish()
            self._publication_tried.set()
            if self._role.state != "leader":
                self._candidacy.stop_watching()
            elif recorded:
                entries = await self._candidacy.remove_expired()
                self._tell_smallest(self._surveyor.decode(entries))
            jitter = defaults.CANDIDATE_RENEWAL_JITTER_RATIO * rng.uniform(-1.0, 1.0)
            renewal_ms = defaults.CANDIDATE_RENEWAL_MS * (1.0 + jitter)
            delay_ms = renewal_ms if recorded else defaults.CANDIDATE_RETRY_MS
            await asyncio.sleep(delay_ms / 1_000)

    async def _take_part(self) -> None:
        # The record comes before the membership, so that the owner of the partition finds it.
        await self._publication_tried.wait()
        await self._renew_membership()

    async def _renew_membership(self) -> None:
        while not self._leaving:
            # A renewal without an answer must not delay the next one, as a single lost answer would
            # then make the confirmation too old.
            stays_away = self._timer.now_ms() < self._away_until_ms
            if not stays_away and self._pending_join_count < defaults.JOINS_PENDING_LIMIT_COUNT:
                self.spawn(self._join())
            await asyncio.sleep(self._ttl_ms / defaults.JOINS_PER_TTL_COUNT / 1_000)

    async def _join(self) -> None:
        self._pending_join_count += 1
        sent_ms = self._timer.now_ms()
        try:
            membership = await self._store.join(
                GROUP, self._member, TOPIC, self._ttl_ms, self._generation
            )
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.warning("cannot join the group", extra={"reason": str(error)})
        else:
            self.tell_self(_Joined(membership, sent_ms, self._timer.now_ms()))
        finally:
            self._pending_join_count -= 1

    @receives(_Joined)
    def on_joined(self, message: _Joined) -> None:
        """Update the election state from the partitions that this entry VM owns."""
        if self._leaving or message.sent_ms <= self._joined_ms:
            return
        self._joined_ms = message.sent_ms
        membership = message.membership
        if membership.generation != self._generation:
            logger.info(
                "group membership changed",
                extra={"generation": membership.generation, "parts": sorted(membership.parts)},
            )
            self._generation = membership.generation
            self._start_leader_lookup()
            if self._role.state == "leader":
                self._start_measuring()
        self._note_confirmation(message.sent_ms, message.answered_ms)
        self._owned_count = len(membership.parts)
        owned = LEADER_PART in membership.parts
        self.step(self.chart, self._role, "owned" if owned else "disowned")

    def _note_confirmation(self, sent_ms: float, answered_ms: float) -> None:
        """Note that the store has answered a call of a member or a leader."""
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        recent_ms = (
            defaults.LEADERSHIP_CONFIRMATION_MAX_AGE_MS
            + defaults.CONFIRMATION_CALL_RATIO * (answered_ms - sent_ms)
        )
        recent_until_ms = sent_ms + min(recent_ms, defaults.LEADERSHIP_VALID_MS)
        self._recent_until_ms = max(self._recent_until_ms, recent_until_ms)

    @receives(_RecordConfirmed)
    def on_record_confirmed(self, message: _RecordConfirmed) -> None:
        """Extend the leadership, also while answers to renewals of the membership are lost.

        The store's reads are linearizable, so that no successor had claimed when it was sent.
        """
        if self._role.state == "leader" and message.epoch == self._epoch:
            self._note_confirmation(message.sent_ms, message.answered_ms)
            self._confirm(self._role)

    @receives(_Tick)
    def on_tick(self, message: _Tick) -> None:
        """Resign if the store has not confirmed the leadership for too long, or names a successor.

        The membership alone does not show a successor to a leader that writes nothing and is cut
        off from the other entry VMs.
        """
        self._measure_event_loop_delay()
        now_ms = self._timer.now_ms()
        if self._role.state == "leader" and now_ms >= self._next_record_check_ms:
            self._next_record_check_ms = now_ms + defaults.LEADER_RECORD_CHECK_MS
            if self._pending_check_count < defaults.RECORD_CHECKS_PENDING_LIMIT_COUNT:
                self.spawn(self._check_leader_record())
        age_ms = self._timer.now_ms() - self._confirmed_ms
        if self._role.state == "leader" and age_ms > defaults.LEADERSHIP_VALID_MS:
            self.step(self.chart, self._role, "expired", reason="not confirmed by the store")

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
                    "leadership": self._role.state,
                    "confirmation_age_ms": round(now_ms - self._confirmed_ms),
                },
            )

    @implements_action("probe")
    def _start_probe(self, role: _Role) -> None:
        self.spawn(self._probe())

    async def _probe(self) -> None:
        """Ask the leader recorded in the store whether it leads, and if not, the candidates."""
        sent_ms = self._timer.now_ms()
        try:
            recorded, end_offset = await self._read_leader_record()
        except (StoreUnknownError, StoreRefusedError) as error:
            self.tell_self(_Probed(Decision("postponed", str(error)), sent_ms))
            return
        address = recorded.address if recorded else ""
        view, reason = await self._surveyor.query_leader(address)
        if recorded is not None:
            metrics.PROBES.add(1, metrics.labels(result=view.value))
        if view is LeaderView.LEADS:
            self._leader_answered_ms = self._timer.now_ms()
            self.tell_self(_Probed(Decision("occupied", reason), sent_ms, end_offset))
            return
        # Only a leader that did not answer needs to be queried by others.
        queried_address = address if view is LeaderView.UNREACHABLE else ""
        own_ability = self._candidate.ability if self._is_willing() else 0.0
        candidates, statuses = await self._surveyor.query_candidates(
            queried_address, functools.partial(is_settled, own_ability, view, address)
        )
        now_ms = self._timer.now_ms()
        survey = Survey(
            own=self._candidate,
            own_willing=self._is_willing(),
            own_view=view,
            reason=reason,
            uptime_ms=now_ms - self._started_ms,
            sole_member=self._owned_count >= self._part_count,
            candidates=candidates,
            statuses=statuses,
        )
        self.tell_self(_Probed(decide(survey), sent_ms, end_offset))

    def _is_willing(self) -> bool:
        now_ms = self._timer.now_ms()
        return (
            now_ms < self._recent_until_ms
            and not self._leaving
            and now_ms >= self._unwilling_until_ms
        )

    @receives(_Probed)
    def on_probed(self, message: _Probed) -> None:
        """Carry out the decision about the leadership."""
        if self._role.state != "probing":
            return
        decision = message.decision
        if decision.event != "occupied":
            now_ms = self._timer.now_ms()
            answer_age_ms = now_ms - self._leader_answered_ms
            claimable = decision.event in ("vacant", "delegated")
            logger.info(
                "nobody leads" if claimable else "no leader found",
                extra={
                    "decision": decision.event,
                    "reason": decision.reason,
                    "probe_ms": round(now_ms - message.sent_ms),
                    "last_answer_age_ms": round(answer_age_ms) if answer_age_ms < 1e9 else None,
                    "confirmation_age_ms": round(now_ms - self._confirmed_ms),
                    "candidate": decision.candidate.name if decision.candidate else "",
                },
            )
        self.step(self.chart, self._role, decision.event, probed=message)

    @implements_action("delegate")
    def _delegate(self, role: _Role, probed: _Probed) -> None:
        assert probed.decision.candidate is not None
        self.spawn(self._request_claim(probed.decision.candidate, probed.end_offset))

    async def _request_claim(self, candidate: Candidate, end_offset: int) -> bool:
        try:
            accepted = await self._peers.request_claim(candidate.address, end_offset)
            reason = "" if accepted else "not willing any more"
        except PeerError as error:
            accepted, reason = False, str(error)
        logger.info(
            "candidate asked to claim",
            extra={"candidate": candidate.name, "accepted": accepted, "reason": reason},
        )
        return accepted

    @implements_action("step_aside")
    def _step_aside(self, role: _Role, **details: Any) -> None:
        """Leave the group for a while, so that another member decides about the leadership."""
        now_ms = self._timer.now_ms()
        away_ms = defaults.STEP_ASIDE_TTL_RATIO * self._ttl_ms
        if now_ms - self._stepped_aside_ms < defaults.ISOLATION_MEMORY_MS:
            away_ms *= 2
        self._stepped_aside_ms = now_ms
        self._away_until_ms = now_ms + away_ms
        self.spawn(self._leave_group())

    @receives(QueryCandidate)
    def on_query_candidate(self, message: QueryCandidate) -> None:
        """Report whether this entry VM would lead, and whether it reaches the leader."""
        if self._role.state == "leader" or not message.leader_address:
            view = LeaderView.LEADS if self._leads() else LeaderView.UNKNOWN
            resolve(message.reply, self._status(view))
        else:
            self.spawn(self._answer_query(message))

    async def _answer_query(self, message: QueryCandidate) -> None:
        view, _ = await self._surveyor.query_leader(message.leader_address)
        resolve(message.reply, self._status(view))

    def _leads(self) -> bool:
        return self._role.state == "leader" and self._timer.now_ms() < self._recent_until_ms

    def _status(self, view: LeaderView) -> CandidateStatus:
        return CandidateStatus(self._may_claim(), self._role.state == "claiming", view)

    def _may_claim(self) -> bool:
        """Return whether this entry VM would claim an epoch on request."""
        return self._is_willing() and self.chart.accepts(self._role.state, "requested")

    @receives(RequestClaim)
    def on_request_claim(self, message: RequestClaim) -> None:
        """Claim an epoch for the entry VM that has found the leadership vacant."""
        accepted = self._may_claim()
        if accepted:
            logger.info("asked to claim an epoch", extra={"end_offset": message.end_offset})
            decision = Decision("vacant", "another entry VM found no leader")
            probed = _Probed(decision, self._timer.now_ms(), message.end_offset)
            self.step(self.chart, self._role, "requested", probed=probed)
        resolve(message.reply, accepted)

    @implements_action("claim")
    def _start_claim(self, role: _Role, probed: _Probed) -> None:
        self.spawn(self._claim(probed.end_offset))

    async def _claim(self, end_offset: int) -> None:
        """Append a leader record on condition that no epoch was claimed since the probe."""
        leader = Leader(self._member, self._candidate.address, end_offset + 1)
        try:
            appended = await self._store.append(
                TOPIC, [(LEADER_KEY, leader.encode())], part=LEADER_PART, expected_end=end_offset
            )
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            self.tell_self(_ClaimFailed(str(error)))
            return
        self.tell_self(_Claimed(appended.offset + 1))

    @receives(_Claimed)
    def on_claimed(self, message: _Claimed) -> None:
        """Become leader, unless the partition was lost in the meantime."""
        self._epoch = message.epoch
        if self._role.state == "claiming":
            self.step(self.chart, self._role, "claimed")

    @receives(_ClaimFailed)
    def on_claim_failed(self, message: _ClaimFailed) -> None:
        """Return to the state ``follower``; renewing the membership starts a new attempt."""
        logger.warning("cannot claim an epoch", extra={"reason": message.reason})
        self._unwilling_until_ms = self._timer.now_ms() + defaults.CLAIM_RETRY_MS
        if self._role.state == "claiming":
            self.step(self.chart, self._role, "claim_failed")

    @implements_action("take_over")
    def _take_over(self, role: _Role) -> None:
        logger.info("leadership gained", extra={"epoch": self._epoch})
        self._poor_reach_since_ms = None
        self._listener.tell(LeaderFound(Leader(self._member, self._candidate.address, self._epoch)))
        self._listener.tell(LeadershipGained(self._epoch))
        self._start_measuring()
        self._confirm(role)

    def _start_measuring(self) -> None:
        """Find out which candidate has the least memory; the members of the group have changed.

        An entry VM is recorded before it joins the group.
        """
        if self._measuring is not None:
            self._measuring.cancel()
        self._measuring = self.spawn(self._measure_candidates())

    async def _measure_candidates(self) -> None:
        while self._role.state == "leader":
            if self._tell_smallest(await self._surveyor.read_candidates()):
                return
            await asyncio.sleep(defaults.CANDIDATE_RETRY_MS / 1_000)

    def _tell_smallest(self, recorded: tuple[Candidate, ...]) -> bool:
        """Tell what the smallest candidate can take over; return whether some were read."""
        if recorded:
            memory_mb = least_memory_mb((self._candidate, *recorded))
            self._listener.tell(SmallestCandidateKnown(memory_mb))
        return bool(recorded)

    @implements_action("confirm")
    def _confirm(self, role: _Role) -> None:
        valid_until_ms = self._confirmed_ms + defaults.LEADERSHIP_VALID_MS
        self._listener.tell(LeadershipConfirmed(valid_until_ms, self._recent_until_ms))

    @implements_action("resign")
    def _resign(self, role: _Role, reason: str) -> None:
        age_ms = round(self._timer.now_ms() - self._confirmed_ms)
        logger.info(
            "leadership lost",
            extra={"epoch": self._epoch, "reason": reason, "confirmation_age_ms": age_ms},
        )
        self._listener.tell(LeadershipLost(self._epoch, reason))

    @receives(ReachMeasured)
    def on_reach_measured(self, message: ReachMeasured) -> None:
        """Look for a successor if most upstreams have not answered for some time."""
        if self._role.state != "leader" or message.epoch != self._epoch:
            return
        now_ms = self._timer.now_ms()
        if not message.reach.poor:
            self._poor_reach_since_ms = None
            return
        if self._poor_reach_since_ms is None:
            self._poor_reach_since_ms = now_ms
        poor_ms = now_ms - self._poor_reach_since_ms
        if poor_ms >= defaults.REACH_POOR_MS and now_ms >= self._next_transfer_ms:
            self._next_transfer_ms = now_ms + defaults.TRANSFER_RETRY_MS
            self.spawn(self._transfer(self._epoch, message.reach))

    async def _transfer(self, epoch: int, reach: Reach) -> None:
        """Ask a candidate that reaches the upstreams to claim the next epoch."""
        own_count = await self._count_reached(reach.unreached_addresses)
        successor, answered = await self._surveyor.find_successor(
            reach.unreached_addresses, own_count
        )
        if not answered and self._owned_count < self._part_count:
            reason = "neither upstreams nor candidates answer"
            self.tell_self(_GivesUp(epoch, "isolated", reason))
            return
        # The end of the partition is the epoch, as it holds the claims and nothing else.
        if successor is not None and await self._request_claim(successor, epoch):
            self.tell_self(_GivesUp(epoch, "transferred", "most upstreams do not answer"))

    @receives(_GivesUp)
    def on_gives_up(self, message: _GivesUp) -> None:
        """Resign in favour of another member, and do not lead again for a while.

        An isolated leader also leaves the group: as owner of the partition, it would never query
        itself.
        """
        if self._role.state == "leader" and message.epoch == self._epoch:
            self._unwilling_until_ms = self._timer.now_ms() + defaults.UNWILLING_AFTER_TRANSFER_MS
            self.step(self.chart, self._role, message.event, reason=message.reason)

    @receives(QueryReach)
    def on_query_reach(self, message: QueryReach) -> None:
        """Report how many of the upstreams this entry VM reaches."""
        self.spawn(self._answer_reach(message))

    async def _answer_reach(self, message: QueryReach) -> None:
        resolve(message.reply, await self._count_reached(message.upstream_addresses))

    async def _count_reached(self, upstream_addresses: tuple[str, ...]) -> int:
        results = await asyncio.gather(
            *(self._reaches_upstream(address) for address in upstream_addresses)
        )
        return sum(results)

    @receives(Fenced)
    def on_fenced(self, message: Fenced) -> None:
        """Resign: another entry VM has a higher epoch."""
        if self._role.state == "leader" and message.epoch == self._epoch:
            self.step(self.chart, self._role, "fenced", reason="a higher epoch was claimed")

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
            await self._report_recorded_leader()
        finally:
            await asyncio.sleep(defaults.LEADER_LOOKUP_PAUSE_MS / 1_000)
            self._lookup_running = False

    async def _check_leader_record(self) -> None:
        self._pending_check_count += 1
        try:
            await self._report_recorded_leader()
        finally:
            self._pending_check_count -= 1

    async def _report_recorded_leader(self) -> None:
        sent_ms = self._timer.now_ms()
        try:
            leader, _ = await self._read_leader_record()
        except (StoreUnknownError, StoreRefusedError) as error:
            logger.warning("cannot look up the leader", extra={"reason": str(error)})
            return
        if leader is None:
            return
        self._listener.tell(LeaderFound(leader))
        if leader.name == self._member:
            self.tell_self(_RecordConfirmed(leader.epoch, sent_ms, self._timer.now_ms()))

    async def _read_leader_record(self) -> tuple[Leader | None, int]:
        """Return the leader recorded in the store, if any, and the partition's end offset."""
        newest = await read_newest(self._store, TOPIC)
        for entry in newest.entries:
            if entry.key == LEADER_KEY:
                try:
                    return decode_leader(entry.value, entry.offset + 1), newest.end_offset
                except DecodeError as error:
                    # No entry VM can lead under such a record, so the next claim replaces it.
                    self._malformed.add(LEADER_KEY, error, entry.offset)
        return None, newest.end_offset

    @receives(Leave)
    async def on_leave(self, message: Leave) -> None:
        """Resign and leave the group, so that another entry VM takes over at once."""
        self._leaving = True
        if self.chart.accepts(self._role.state, "leave"):
            # A claim that is stored later names an entry VM that does not lead; others claim next.
            self.step(self.chart, self._role, "leave", reason="planned stop")
        await self._leave_group()
        resolve(message.reply, None)

    async def _leave_group(self) -> None:
        try:
            await self._store.leave(GROUP, self._member)
        except (StoreUnknownError, StoreRefusedError, StoreConflictError) as error:
            logger.warning("cannot leave the group", extra={"reason": str(error)})

    async def on_close(self) -> None:
        """Close the connections to the store."""
        await self._store.close()
