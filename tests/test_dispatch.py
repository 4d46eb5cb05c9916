"""Jobs of one entry VM, driven by messages without sockets."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from attrs import Factory, define, evolve

from tarragoncart import dispatch as module
from tarragoncart import records, replay
from tarragoncart.admission import Submission
from tarragoncart.attempts import Evidence
from tarragoncart.dispatch import Dispatch, Submit
from tarragoncart.journal import Append, ViewChanged
from tarragoncart.mailbox import new_reply
from tarragoncart.model import Answer, KeyGrant, Mode, Outcome, QueueSpec, Reply
from tarragoncart.timer import ManualTimer
from tarragoncart.upstream import AttemptEnded, FenceRequest, Transmit, UpstreamChanged


@define
class ActorStub:
    """Keeps the messages that it is sent."""

    address: str = ""
    messages: list[Any] = Factory(list)

    def tell(self, message: Any) -> None:
        """Keep a message."""
        self.messages.append(message)

    def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def of(self, kind: type) -> list[Any]:
        """Return the kept messages of a type."""
        return [message for message in self.messages if isinstance(message, kind)]


@define
class Desk:
    """A dispatch actor that is handed messages one by one, and what it has sent."""

    dispatch: Dispatch
    journal: ActorStub
    state: replay.FleetState
    timer: ManualTimer
    upstreams: list[ActorStub]

    async def settle(self) -> None:
        """Handle what the actor has told itself."""
        for _ in range(3):
            await asyncio.sleep(0)
            for message in self.dispatch.take_messages():
                self.handle(message)

    def handle(self, message: Any) -> None:
        """Handle one message."""
        result = self.dispatch.handle(message)
        if result is not None:
            self.dispatch.spawn(result)

    def show(self, fresh_as_of_ms: float | None = None) -> None:
        """Hand over the present state of the log."""
        view = replay.view_of(self.state, replay.FleetView(), module_sections)
        fresh_ms = self.timer.now_ms() if fresh_as_of_ms is None else fresh_as_of_ms
        self.handle(ViewChanged(view, fresh_ms, log_available=True, loaded=True))

    async def log(self) -> list[Any]:
        """Replay all appended records, answer the appends, and return the records."""
        taken = []
        await self.settle()
        while appends := self.journal.of(Append):
            for append in appends:
                self.journal.messages.remove(append)
                taken.append(append.record)
                self.apply(append)
            await self.settle()
        return taken

    def apply(self, append: Append, author: str = "a") -> None:
        """Replay one record and answer its append."""
        offset = self.state.offset + 1
        envelope = records.Envelope(f"batch-{offset}", 0, author, 0, append.record)
        applied = replay.apply(self.state, offset, envelope)
        assert applied is not None
        if "jobs" in applied.sections:
            job = self.state.jobs[applied.entry.subjects[0]]
            self.handle(module.JobChanged(job))
        self.show()
        if append.reply is not None:
            append.reply.set_result(applied.entry)

    async def submit(
        self, request_id: str = "r", digest: str = "d", queue: str = "holds", key: str = "k"
    ) -> asyncio.Future[Reply]:
        """Submit a job with a deadline of 1,000 ms."""
        reply: asyncio.Future[Reply] = new_reply()
        submission = Submission(request_id, queue, key, {}, digest, 1_000, 10)
        self.handle(Submit(submission, reply))
        await self.settle()
        return reply

    def sent(self) -> list[Any]:
        """Return the attempts that were handed to upstreams."""
        found = [message for stub in self.upstreams for message in stub.of(Transmit)]
        return [message.attempt for message in found]


module_sections = frozenset(
    ("config", "config_version", "keys", "members", "retired", "rights", "vms", "waves")
)


@pytest.fixture
async def desk(fleet: replay.FleetState, monkeypatch: pytest.MonkeyPatch) -> Desk:
    """Entry VM ``a`` with all rights of team shop, and upstreams that have granted leases."""
    stubs: list[ActorStub] = []

    def make_upstream(name: str, address: str, **_: Any) -> ActorStub:
        stubs.append(ActorStub(address))
        return stubs[-1]

    monkeypatch.setattr(module, "Upstream", make_upstream)
    queues = (*fleet.config.queues, QueueSpec("packs", "holds", Mode.DEFERRED, guarded=True))
    fleet.config = evolve(fleet.config, queues=queues)
    fleet.keys["k"] = KeyGrant("k", "shop")
    fleet.rights["shop"] = replay.TeamRights(10, 0, {"a": 10})
    timer, journal = ManualTimer(), ActorStub()
    actor = Dispatch("a", "dc-1", "a", journal, timer, random.Random(1))  # type: ignore[arg-type]
    desk = Desk(actor, journal, fleet, timer, stubs)
    desk.show()
    for name in fleet.vms:
        desk.handle(UpstreamChanged(name, leased=True, slot_count=8, boot_id="boot"))
    return desk


async def test_a_deferred_job_starts_after_the_deadline_of_its_acceptance(desk):
    """Guards against claims without end of a job whose deadline passed while it waited."""
    reply = await desk.submit(queue="packs")
    await desk.log()
    assert reply.result().outcome is Outcome.ACCEPTED
    assert [attempt.deadline_ms for attempt in desk.sent()] == [float("inf")]


async def test_a_conflicting_body_is_no_outcome_of_the_request_id(desk):
    """Guards against "not run" for a job that another entry VM has accepted under this ID."""
    reply = await desk.submit(queue="packs", digest="other")
    desk.apply(Append(records.AcceptJob("r", "packs", "shop", "d", {}, 10, "b"), "b"), "b")
    await desk.log()
    assert (reply.result().status, reply.result().code) == (409, "different_body")
    asked = new_reply()
    desk.handle(module.Query("r", "k", asked))
    await desk.settle()
    assert asked.result() is None
    again = await desk.submit(queue="packs", digest="other")
    assert again.result().status == 409


async def test_a_cancelled_job_is_recorded_as_cancelled(desk):
    """Guards against a log from which no other entry VM can tell why a job did not run."""
    desk.state.rights["shop"] = replay.TeamRights(10, 10)
    desk.show()
    await desk.submit(queue="packs")
    await desk.log()
    desk.handle(module.Cancel("r", "k", new_reply()))
    finish = [record for record in await desk.log() if isinstance(record, records.FinishJob)]
    assert [(record.outcome, record.code) for record in finish] == [(Outcome.NOT_RUN, "cancelled")]


async def test_a_new_incarnation_asks_the_guards_about_its_attempts(desk):
    """Guards against jobs whose attempt is lost when an entry VM takes a new incarnation."""
    reply = await desk.submit(f"a.{'a' * 16}.1")
    assert reply.result().outcome is Outcome.OUTCOME_UNKNOWN
    reply = await desk.submit("own")
    await desk.log()
    (attempt,) = desk.sent()
    desk.handle(module.UseIncarnation("a2"))
    await desk.settle()
    (fence,) = [fence for stub in desk.upstreams for fence in stub.of(FenceRequest)]
    assert fence.attempt == attempt
    desk.handle(AttemptEnded(attempt, Evidence("result", answer=Answer({})), fenced=True))
    assert reply.result().outcome is Outcome.ANSWERED


async def test_a_job_that_ended_elsewhere_is_followed(desk):
    """Guards against a job that stays pending because it ended before its claim was lost."""
    reply = await desk.submit("own")
    (claim,) = desk.journal.of(Append)
    first = records.ClaimJob("own", 1, "b", "vm-0", "boot", "d", "shop")
    done = records.FinishJob("own", Outcome.ANSWERED, 1, {"echo": 1})
    for record in (first, done):
        desk.apply(Append(record, "b"), "b")
    desk.journal.messages.clear()
    desk.apply(claim)
    await desk.settle()
    (asked,) = desk.journal.of(module.ReadJob)
    asked.reply.set_result(desk.state.jobs["own"])
    await desk.settle()
    assert reply.result().outcome is Outcome.ANSWERED


async def test_each_deadline_is_swept_with_no_timer_in_between(desk: Desk) -> None:
    """Guards against jobs kept past an earlier deadline, and wake-ups of an idle process."""
    swept: list[float] = []

    def handle() -> None:
        for message in desk.dispatch.take_messages():
            swept.append(desk.timer.now_ms())
            desk.handle(message)

    desk.state.rights["shop"] = replay.TeamRights(10, 10)
    desk.show()
    replies = []
    for request_id, deadline_ms in (("r1", 5_000), ("r2", 1_000)):
        replies.append(new_reply())
        submission = Submission(request_id, "holds", "k", {}, request_id, deadline_ms, 10)
        desk.handle(Submit(submission, replies[-1]))
    for _ in range(100):
        desk.timer.advance(100)
        handle()
    assert [reply.result().outcome for reply in replies] == [Outcome.NOT_RUN] * 2
    assert len(swept) <= 3 and swept[0] <= 1_100 and 5_000 <= swept[-1] <= 5_100
