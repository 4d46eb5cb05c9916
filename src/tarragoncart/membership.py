"""Lifecycle of this entry VM, and retirement of members that no longer respond."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import Any

from attrs import evolve, frozen

from . import defaults, records
from .charts import load_chart
from .dispatch import Dispatch
from .jobs import AnswerUnfinished, Drain, FenceAndCountTasks, ReadReachability, SetIncarnation
from .journal import Append, Journal, ViewChanged
from .mailbox import Actor, implements_action, new_reply, receives, resolve
from .model import Member
from .peers import Peers, PeerStatus, ReadPeers, SetIdentity
from .replay import FleetView
from .timer import Timer

logger = logging.getLogger(__name__)
ENTRY_CHART = load_chart("entry")


@frozen
class CheckMembers:
    """Timer tick: check for members that no longer respond."""


@frozen
class Terminate:
    """Request a graceful shutdown; the reply is sent when the process may exit."""

    reply: asyncio.Future[None]


@frozen
class Drained:
    """Draining has ended.

    :param event: ``drained`` if no job is left, ``timeout`` after the shutdown timeout.
    """

    event: str


@frozen
class DriverRoleChanged:
    """Tells whether this entry VM is now the driver, which runs operations for the whole fleet."""

    driving: bool


@frozen
class ReadEntry:
    """Request the state and the identity of this entry VM."""

    reply: asyncio.Future[tuple[str, Member]]


def new_incarnation() -> str:
    """Return a random incarnation ID of 64 bits in hexadecimal."""
    return secrets.token_hex(8)


class Membership(Actor):
    """Actor that joins the fleet, retires unresponsive members and handles shutdown.

    :param member: identity of this entry VM.
    """

    def __init__(
        self,
        member: Member,
        journal: Journal,
        dispatch: Dispatch,
        peers: Peers,
        timer: Timer,
        shutdown_timeout_ms: float = defaults.SHUTDOWN_TIMEOUT_MS,
    ) -> None:
        super().__init__("membership")
        self.member = member
        self.state = ENTRY_CHART.initial
        self._journal = journal
        self._dispatch = dispatch
        self._peers = peers
        self._timer = timer
        self._shutdown_timeout_ms = shutdown_timeout_ms
        self._view = FleetView()
        self._log_available = False
        self._releasing: set[str] = set()
        self._retiring: set[str] = set()
        self._terminate_replies: list[asyncio.Future[None]] = []
        self._driving = False
        self._listeners: list[Actor] = []

    def add_listener(self, actor: Actor) -> None:
        """Send :class:`DriverRoleChanged` to the actor whenever the driver role changes."""
        self._listeners.append(actor)

    async def on_open(self) -> None:
        """Subscribe to the timer."""
        self.subscribe(self._timer.every(defaults.MEMBER_CHECK_MS), CheckMembers())

    def _apply_event(self, event: str) -> None:
        if ENTRY_CHART.accepts(self.state, event):
            before = self.state
            self.step(ENTRY_CHART, self, event)
            logger.info("entry VM changed state", extra={"from": before, "to": self.state})

    @receives(ViewChanged)
    def _on_view_changed(self, message: ViewChanged) -> None:
        self._view = message.view
        self._log_available = message.log_available
        if message.loaded:
            self._apply_event("state_loaded")
        if self.member.incarnation in message.view.retired:
            self._apply_event("retired")

    @implements_action("join_fleet")
    def _join_fleet(self, _: Any) -> None:
        # An append without a reply future is retried until the log accepts it.
        self._journal.tell(Append(records.Join(self.member), self.member.name))

    @implements_action("new_incarnation")
    def _new_incarnation(self, _: Any) -> None:
        self.member = evolve(self.member, incarnation=new_incarnation())
        self._dispatch.tell(SetIncarnation(self.member.incarnation))
        self._peers.tell(SetIdentity(self.member))

    # Retirement of other members

    @receives(CheckMembers)
    async def _on_check_members(self, _: CheckMembers) -> None:
        reach_reply: asyncio.Future[bool] = new_reply()
        self._dispatch.tell(ReadReachability(reach_reply))
        # If no upstream answers, this entry VM may itself be cut off from the network.
        self._apply_event("reconnected" if await reach_reply else "isolated")
        statuses: list[PeerStatus] = []
        if self._log_available and self.member.incarnation in self._view.members:
            statuses_reply: asyncio.Future[list[PeerStatus]] = new_reply()
            self._peers.tell(ReadPeers(statuses_reply))
            statuses = await statuses_reply
        self._set_driving(is_driver(self.member.name, statuses))
        if self._driving:
            self._retire_silent(statuses)
            self._release_retired()

    def _set_driving(self, driving: bool) -> None:
        if driving == self._driving:
            return
        self._driving = driving
        logger.info("driver role changed", extra={"driving": driving})
        for listener in self._listeners:
            listener.tell(DriverRoleChanged(driving))

    def _retire_silent(self, statuses: list[PeerStatus]) -> None:
        replaced = _replaced_incarnations(statuses)
        for status in statuses:
            incarnation = status.member.incarnation
            gone = status.silent_ms >= defaults.MEMBER_RETIRE_MS or incarnation in replaced
            if gone and incarnation not in self._retiring:
                self._retiring.add(incarnation)
                record = records.Retire(incarnation, f"silent for {status.silent_ms:.0f} ms")
                self.spawn(self._retire(record))

    def _release_retired(self) -> None:
        held = {inc for rights in self._view.rights.values() for inc in rights.held}
        for incarnation in (held & self._view.retired.keys()) - self._releasing:
            self._releasing.add(incarnation)
            self.spawn(self._release(incarnation))

    async def _release(self, incarnation: str) -> None:
        """Release the rights of a retired incarnation once none of its tasks can still run."""
        try:
            count_reply: asyncio.Future[int | None] = new_reply()
            self._dispatch.tell(FenceAndCountTasks(incarnation, count_reply))
            if await count_reply == 0:
                await self._append(records.ReleaseRights(incarnation))
        finally:
            self._releasing.discard(incarnation)

    async def _retire(self, record: records.Retire) -> None:
        await self._append(record)
        self._retiring.discard(record.incarnation)

    def _append(self, record: Any) -> asyncio.Future[Any]:
        reply = new_reply()
        expires_ms = self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS
        self._journal.tell(Append(record, self.member.name, reply, expires_ms))
        return reply

    # Shutdown

    @receives(Terminate)
    def _on_terminate(self, message: Terminate) -> None:
        self._terminate_replies.append(message.reply)
        self._apply_event("terminate")
        if self.state == "stopped":
            self._close(None)

    @implements_action("withdraw_readiness")
    @implements_action("restore_readiness")
    def _log_readiness(self, _: Any) -> None:
        logger.info("readiness changed", extra={"ready": self.state == "ready"})

    @implements_action("drain_and_retire")
    def _start_drain(self, _: Any) -> None:
        self.spawn(self._drain_and_retire())

    async def _drain_and_retire(self) -> None:
        drained = new_reply()
        self._dispatch.tell(Drain(drained))
        try:
            await asyncio.wait_for(drained, self._shutdown_timeout_ms / 1_000)
            event = "drained"
        except TimeoutError:
            event = "timeout"
            self._dispatch.tell(AnswerUnfinished())
        recorded = self._append(records.Retire(self.member.incarnation, "shutdown"))
        try:
            await asyncio.wait_for(recorded, defaults.LOG_UNAVAILABLE_MS / 1_000)
        except TimeoutError:
            logger.warning(
                "the log did not confirm the retirement; another entry VM will record it"
            )
        self.tell_self(Drained(event))

    @receives(Drained)
    def _on_drained(self, message: Drained) -> None:
        self._apply_event(message.event)

    @implements_action("close")
    def _close(self, _: Any) -> None:
        for reply in self._terminate_replies:
            resolve(reply, None)

    @receives(ReadEntry)
    def _on_read_entry(self, message: ReadEntry) -> None:
        resolve(message.reply, (self.state, self.member))


def is_driver(name: str, statuses: list[PeerStatus]) -> bool:
    """Return whether ``name`` is the lowest name among the live members.

    For some seconds two entry VMs may both act as the driver, so each of a driver's actions must
    be harmless if another driver takes it as well.
    """
    live = [s.member.name for s in statuses if s.silent_ms < defaults.MEMBER_RETIRE_MS]
    return bool(live) and min(live) == name


def _replaced_incarnations(statuses: list[PeerStatus]) -> set[str]:
    """Return silent incarnations whose name a newer, live incarnation uses."""
    silent_ms = defaults.HEARTBEAT_MAX_INTERVAL_MS * 2
    names = {s.member.name for s in statuses if s.silent_ms < silent_ms}
    return {
        s.member.incarnation
        for s in statuses
        if s.silent_ms >= silent_ms and s.member.name in names
    }
