"""Dispatch actor of one entry VM, driven by messages without sockets."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest
from attrs import Factory, define, evolve

from tarragoncart import defaults, fleetfollower, jobs, records, replay, replies
from tarragoncart.admission import Submission
from tarragoncart.attempts import Evidence
from tarragoncart.dispatch import Dispatch
from tarragoncart.jobs import Submit
from tarragoncart.journal import Append, JobChanged, ReadJob, ViewChanged
from tarragoncart.mailbox import new_reply
from tarragoncart.membership import CheckMembers, Membership
from tarragoncart.model import (
    Answer,
    HealthVerdict,
    KeyGrant,
    Member,
    Mode,
    Outcome,
    QueueSpec,
    Reply,
)
from tarragoncart.timer import ManualTimer
from tarragoncart.upstream import (
    AttemptEnded,
    FenceIncarnation,
    FenceRequest,
    Transmit,
    UpstreamChanged,
)


@define
class ActorStub:
    """Actor that only stores the messages sent to it."""

    address: str = ""
    messages: list[Any] = Factory(list)

    def tell(self, message: Any) -> None:
        """Store a message."""
        self.messages.append(message)

    def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def of(self, kind: type) -> list[Any]:
        """Return the stored messages of a type."""
        return [message for message in self.messages if isinstance(message, kind)]


@define
class DispatchHarness:
    """A dispatch actor with stubs for its journal and upstreams, which handles single messages."""

    dispatch: Dispatch
    journal: ActorStub
    state: replay.FleetState
    timer: ManualTimer
    upstreams: list[ActorStub]

    async def settle(self) -> None:
        """Handle the messages that the actor has sent to itself."""
        for _ in range(3):
            await asyncio.sleep(0)
            for message in self.dispatch.drain_inbox():
                self.handle(message)

    def tell(self, message: Any) -> None:
        """Handle one message from another actor at once."""
        self.handle(message)

    def handle(self, message: Any) -> None:
        """Handle one message."""
        result = self.dispatch.handle(message)
        if result is not None:
            self.dispatch.spawn(result)

    def send_view(self, fresh_as_of_ms: float | None = None) -> None:
        """Send the current state of the log to the actor."""
        view = replay.view_of(self.state, replay.FleetView(), VIEW_SECTIONS)
        fresh_ms = self.timer.now_ms() if fresh_as_of_ms is None else fresh_as_of_ms
        self.handle(ViewChanged(view, fresh_ms, log_available=True, loaded=True))

    async def replay_appends(self) -> list[Any]:
        """Replay all appended records, answer the appends, and return the records."""
        appended = []
        await self.settle()
        while appends := self.journal.of(Append):
            for append in appends:
                self.journal.messages.remove(append)
                appended.append(append.record)
                self.apply(append)
            await self.settle()
        return appended

    def apply(self, append: Append, author: str = "a") -> None:
        """Replay one record and answer its append."""
        offset = self.state.offset + 1
        envelope = records.Envelope(f"batch-{offset}", 0, author, 0, append.record)
        applied = replay.apply(self.state, offset, envelope)
        assert applied is not None
        if "jobs" in applied.sections:
            job = self.state.jobs[applied.entry.subjects[0]]
            self.handle(JobChanged(job))
        self.send_view()
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
        """Return the attempts that were sent to upstreams."""
        found = [message for stub in self.upstreams for message in stub.of(Transmit)]
        return [message.attempt for message in found]


VIEW_SECTIONS = frozenset(
    ("config", "config_version", "keys", "members", "retired", "rights", "vms", "waves")
)


@pytest.fixture
async def harness(fleet: replay.FleetState, monkeypatch: pytest.MonkeyPatch) -> DispatchHarness:
    """Entry VM ``a`` with all rights of team shop, and upstreams that have granted leases."""
    stubs: list[ActorStub] = []

    def make_upstream(name: str, address: str, **_: Any) -> ActorStub:
        stubs.append(ActorStub(address))
        return stubs[-1]

    monkeypatch.setattr(fleetfollower, "Upstream", make_upstream)
    queues = (*fleet.config.queues, QueueSpec("packs", "holds", Mode.DEFERRED, guarded=True))
    fleet.config = evolve(fleet.config, queues=queues)
    fleet.keys["k"] = KeyGrant("k", "shop")
    fleet.rights["shop"] = replay.TeamRights(10, 0, {"a": 10})
    timer, journal = ManualTimer(), ActorStub()
    actor = Dispatch("a", "dc-1", "a", journal, timer, random.Random(1))  # type: ignore[arg-type]
    harness = DispatchHarness(actor, journal, fleet, timer, stubs)
    harness.send_view()
    for name in fleet.vms:
        harness.handle(UpstreamChanged(name, leased=True, slot_count=8, boot_id="boot"))
    return harness


async def test_a_deferred_job_starts_after_the_deadline_of_its_acceptance(harness):
    """Guards against endless claims of a deferred job whose deadline passed while it waited."""
    reply = await harness.submit(queue="packs")
    await harness.replay_appends()
    assert reply.result().outcome is Outcome.ACCEPTED
    assert [attempt.deadline_ms for attempt in harness.sent()] == [float("inf")]


async def test_a_conflict_of_bodies_is_not_kept_as_outcome_of_the_request_id(harness):
    """Guards against a reply of "not run" for a job that another entry VM has accepted."""
    reply = await harness.submit(queue="packs", digest="other")
    harness.apply(Append(records.AcceptJob("r", "packs", "shop", "d", {}, 10, "b"), "b"), "b")
    await harness.replay_appends()
    assert (reply.result().status, reply.result().code) == (409, "different_body")
    asked = new_reply()
    harness.handle(jobs.Query("r", "k", asked))
    await harness.settle()
    assert asked.result() is None
    again = await harness.submit(queue="packs", digest="other")
    assert again.result().status == 409


async def test_a_cancelled_job_is_recorded_as_cancelled(harness):
    """Guards against a log from which other entry VMs cannot read why a job did not run."""
    harness.state.rights["shop"] = replay.TeamRights(10, 10)
    harness.send_view()
    await harness.submit(queue="packs")
    await harness.replay_appends()
    reply = new_reply()
    harness.handle(jobs.Cancel("r", "k", reply))
    assert not reply.done()
    await harness.replay_appends()
    assert (reply.result().outcome, reply.result().code) == (Outcome.NOT_RUN, "cancelled")
    logged = harness.state.jobs["r"]
    assert (logged.outcome, logged.code) == (Outcome.NOT_RUN, "cancelled")


async def test_a_new_incarnation_queries_the_guards_about_running_attempts(harness):
    """Guards against attempts that are lost when an entry VM starts a new incarnation."""
    reply = await harness.submit(f"a.{'a' * 16}.1")
    assert reply.result().outcome is Outcome.OUTCOME_UNKNOWN
    reply = await harness.submit("own")
    await harness.replay_appends()
    (attempt,) = harness.sent()
    harness.handle(jobs.SetIncarnation("a2"))
    await harness.settle()
    (fence,) = [fence for stub in harness.upstreams for fence in stub.of(FenceRequest)]
    assert fence.attempt == attempt
    harness.handle(AttemptEnded(attempt, Evidence("result", answer=Answer({})), from_guard=True))
    assert reply.result().outcome is Outcome.ANSWERED


async def test_the_outcome_of_a_job_claimed_elsewhere_is_read_from_the_log(harness):
    """Guards against a job that stays pending because it ended before its claim was lost."""
    reply = await harness.submit("own")
    (claim,) = harness.journal.of(Append)
    first = records.ClaimJob("own", 1, "b", "vm-0", "boot", "d", "shop")
    done = records.FinishJob("own", Outcome.ANSWERED, 1, {"echo": 1})
    for record in (first, done):
        harness.apply(Append(record, "b"), "b")
    harness.journal.messages.clear()
    harness.apply(claim)
    await harness.settle()
    (asked,) = harness.journal.of(ReadJob)
    asked.reply.set_result(harness.state.jobs["own"])
    await harness.settle()
    assert reply.result().outcome is Outcome.ANSWERED


async def test_a_paused_process_starts_no_job_before_its_view_is_current(harness):
    """Guards against starts by a process that was retired while it was paused past its lease."""
    harness.timer.advance(4_000)
    await harness.submit("own")
    assert not harness.journal.of(Append)
    harness.send_view(fresh_as_of_ms=3_999)
    await harness.settle()
    assert not harness.journal.of(Append)
    harness.send_view()
    await harness.settle()
    (claim,) = harness.journal.of(Append)
    assert claim.record.request_id == "own"


@pytest.mark.parametrize(
    ("withdrawn", "age_ms", "code"),
    [(False, 5_001, "view_too_old"), (True, 0, "key_refused"), (False, 5_000, "")],
)
async def test_the_key_of_a_waiting_job_is_checked_when_it_starts(harness, withdrawn, age_ms, code):
    """Guards against starts of waiting jobs after their key has been withdrawn."""
    harness.state.rights["shop"] = replay.TeamRights(10, 10)
    harness.send_view()
    reply = await harness.submit("own")
    if withdrawn:
        del harness.state.keys["k"]
    harness.state.rights["shop"] = replay.TeamRights(10, 0, {"a": 10})
    harness.send_view(fresh_as_of_ms=harness.timer.now_ms() - age_ms)
    await harness.settle()
    assert bool(harness.journal.of(Append)) is not bool(code)
    assert not code or reply.result().code == code


async def test_a_job_also_submitted_here_is_adopted_from_its_retired_owner(harness):
    """Guards against a job that is never adopted because its adopter has the same submission."""
    harness.apply(Append(records.AcceptJob("r", "packs", "shop", "d", {}, 10, "b"), "b"), "b")
    await harness.submit(queue="packs")
    harness.apply(Append(records.Retire("b", "silent"), "a"))
    harness.handle(jobs.Rebalance())
    appended = await harness.replay_appends()
    assert [(r.request_id, r.incarnation) for r in appended if isinstance(r, records.ClaimJob)] == [
        ("r", "a")
    ]


@pytest.mark.parametrize("change", [{"leaving": True}, {"boot_id": "other"}, {"leased": False}])
async def test_a_claim_for_a_worker_that_has_left_is_repeated(harness, change):
    """Guards against jobs sent to a worker that began to leave while the claim was appended."""
    reply = await harness.submit(queue="packs")
    await harness.settle()
    (accept,) = harness.journal.of(Append)
    harness.journal.messages.clear()
    harness.apply(accept)
    await harness.settle()
    (claim,) = harness.journal.of(Append)
    harness.journal.messages.clear()
    known = {"leased": True, "slot_count": 8, "boot_id": "boot"}
    harness.handle(UpstreamChanged(claim.record.worker, **known | change))
    harness.apply(claim)
    await harness.settle()
    assert reply.result().outcome is Outcome.ACCEPTED
    assert not harness.sent()
    (again,) = [r for r in await harness.replay_appends() if isinstance(r, records.ClaimJob)]
    assert again.epoch == 2
    assert (again.worker != claim.record.worker) or "boot_id" in change


async def test_an_entry_vm_without_reachable_upstreams_is_not_ready(harness):
    """Guards against routing callers to an entry VM that is partitioned from every upstream."""
    member = Member("a", "a", "dc-1", "", "")
    membership = Membership(member, harness.journal, harness, ActorStub(), harness.timer)
    membership.handle(ViewChanged(replay.FleetView(), 0.0, log_available=False, loaded=True))
    states = []
    for verdict, answering in (
        (HealthVerdict.NO_ANSWER, 0),
        (HealthVerdict.RESULT, 1),
        (HealthVerdict.NO_ANSWER, 0),
    ):
        harness.timer.advance(2 * defaults.EJECT_WINDOW_MS)
        for number, name in enumerate(harness.state.vms):
            changed = HealthVerdict.NO_ANSWER if number >= answering else verdict
            harness.handle(UpstreamChanged(name, leased=False, verdict=changed, boot_id="boot"))
        await membership.handle(CheckMembers())
        states.append(membership.state)
    assert states == ["isolated", "ready", "isolated"]


async def test_workers_report_tasks_of_a_retired_incarnation_one_by_one(harness):
    """Guards against rights that are never released because during a wave some worker always
    reboots."""

    async def count(answers: dict[int, tuple[int, str]]) -> tuple[list[int], int | None]:
        reply = new_reply()
        harness.handle(jobs.FenceAndCountTasks("gone", reply))
        await harness.settle()
        asked = []
        for number, stub in enumerate(harness.upstreams):
            for fence in stub.of(FenceIncarnation):
                asked.append(number)
                stub.messages.remove(fence)
                fence.reply.set_result(answers.get(number))
        return asked, await reply

    idle = (0, "boot")
    assert await count(dict.fromkeys(range(5), idle)) == ([0, 1, 2, 3, 4, 5], None)
    assert await count({5: (1, "boot")}) == ([5], 1)
    harness.handle(UpstreamChanged("vm-0", leased=True, slot_count=8, boot_id="later boot"))
    assert await count({5: idle}) == ([0, 5], None)
    assert await count({0: (0, "later boot")}) == ([0], 0)


async def test_a_claim_of_an_adopter_overrides_a_cancellation(harness):
    """Guards against a reply of "not run" for a job that another entry VM has claimed meanwhile."""
    harness.state.rights["shop"] = replay.TeamRights(10, 10)
    harness.send_view()
    await harness.submit(queue="packs")
    await harness.replay_appends()
    reply = new_reply()
    harness.handle(jobs.Cancel("r", "k", reply))
    harness.apply(Append(records.ClaimJob("r", 1, "b", "vm-0", "boot"), "b"), "b")
    await harness.replay_appends()
    assert reply.result().outcome is Outcome.ACCEPTED
    assert harness.state.jobs["r"].outcome is None


@pytest.mark.parametrize("queue", ["packs", "holds"])
async def test_a_job_that_is_not_recorded_is_not_reported_as_accepted(harness, queue):
    """Guards against an acceptance that becomes invalid when the log refuses the record."""
    await harness.submit("own", queue=queue)
    reply = new_reply()
    harness.handle(jobs.Query("own", "k", reply))
    await harness.settle()
    assert reply.result().outcome is Outcome.OUTCOME_UNKNOWN


@pytest.mark.parametrize("ending", ["key_refused", "deadline"])
async def test_a_retried_job_is_never_reported_as_not_run(harness, ending):
    """Guards against a reply of "not run" for an idempotent job with a failed attempt."""
    queues = (*harness.state.config.queues, QueueSpec("events", "holds"))
    harness.state.config = evolve(harness.state.config, queues=queues)
    harness.send_view()
    reply = await harness.submit("own", queue="events")
    (attempt,) = harness.sent()
    if ending == "key_refused":
        del harness.state.keys["k"]
    else:
        harness.state.rights["shop"] = replay.TeamRights(10, 10)
    harness.send_view()
    harness.handle(AttemptEnded(attempt, Evidence("result", answer=Answer({}, succeeded=False))))
    harness.timer.advance(1_000)
    harness.handle(jobs.SweepDeadlines())
    await harness.settle()
    assert (reply.result().outcome, reply.result().code) == (Outcome.OUTCOME_UNKNOWN, ending)


async def test_each_deadline_is_swept_without_periodic_wake_ups(harness: DispatchHarness) -> None:
    """Guards against a job that outlives its deadline because another one has a later deadline,
    and against periodic wake-ups."""
    swept: list[float] = []

    def handle() -> None:
        for message in harness.dispatch.drain_inbox():
            swept.append(harness.timer.now_ms())
            harness.handle(message)

    harness.state.rights["shop"] = replay.TeamRights(10, 10)
    harness.send_view()
    replies = []
    for request_id, deadline_ms in (("r1", 5_000), ("r2", 1_000)):
        replies.append(new_reply())
        submission = Submission(request_id, "holds", "k", {}, request_id, deadline_ms, 10)
        harness.handle(Submit(submission, replies[-1]))
    for _ in range(100):
        harness.timer.advance(100)
        handle()
    assert [reply.result().outcome for reply in replies] == [Outcome.OUTCOME_UNKNOWN] * 2
    assert len(swept) <= 3 and swept[0] <= 1_100 and 5_000 <= swept[-1] <= 5_100


async def test_a_refusal_of_a_known_request_is_not_reported_as_not_run(harness):
    """Guards against a reply of "not run" for an issued ID whose job has run already."""
    harness.dispatch.incarnation = "a" * 16
    (request_id,) = replies.issue_request_ids("a", "a" * 16, harness.timer.now_ms(), 1)
    fresh = await harness.submit(request_id, key="other")
    assert fresh.result().outcome is Outcome.NOT_RUN
    await harness.submit(request_id)
    assert harness.sent()
    again = await harness.submit(request_id, key="other")
    assert (again.result().status, again.result().outcome) == (401, Outcome.OUTCOME_UNKNOWN)


async def test_an_idempotent_deferred_job_survives_any_number_of_lost_guards(harness):
    """Guards against an accepted job that is abandoned because its workers keep failing."""
    queue = QueueSpec("cleaning", "holds", Mode.DEFERRED)
    harness.state.config = evolve(
        harness.state.config, queues=(*harness.state.config.queues, queue)
    )
    harness.send_view()
    await harness.submit(queue="cleaning")
    await harness.replay_appends()
    for _ in range(defaults.ATTEMPT_LIMIT_COUNT + 2):
        attempt = max(harness.sent(), key=lambda attempt: attempt.number)
        harness.handle(AttemptEnded(attempt, Evidence("no_answer", HealthVerdict.NO_ANSWER)))
        harness.handle(AttemptEnded(attempt, Evidence("guard_lost"), from_guard=True))
        await harness.replay_appends()
    assert harness.state.jobs["r"].outcome is None
    assert len(harness.sent()) == defaults.ATTEMPT_LIMIT_COUNT + 3


async def test_repeated_refusals_are_delayed(harness):
    """Guards against endless claims of a job that its only worker refuses."""
    await harness.submit(queue="packs")
    await harness.replay_appends()
    for _ in range(10):
        attempt = max(harness.sent(), key=lambda attempt: attempt.number)
        harness.handle(AttemptEnded(attempt, Evidence("not_started", None, "fenced")))
        await harness.replay_appends()
    assert len(harness.sent()) == 1 + defaults.REFUSALS_BEFORE_DELAY_COUNT
    harness.timer.advance(defaults.REFUSAL_DELAY_MAX_MS)
    await harness.replay_appends()
    assert len(harness.sent()) == 2 + defaults.REFUSALS_BEFORE_DELAY_COUNT
