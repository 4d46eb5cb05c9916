"""Appends with an unknown result, gaps in the log, and the freshness of the view."""

from __future__ import annotations

import asyncio
import json

import pytest
from attrs import evolve

from tarragoncart import defaults, records, replay, snapshots
from tarragoncart.errors import LogUnavailableError
from tarragoncart.journal import (
    AdoptState,
    Append,
    Chunk,
    Journal,
    ReadFailed,
    ReadTail,
    RetryBatch,
)
from tarragoncart.mailbox import new_reply
from tarragoncart.model import FleetConfig, KeyGrant, Member, PoolSpec, TeamSpec, VmSpec
from tarragoncart.timer import ManualTimer

MEMBER = Member("entry-1", "a", "dc-1", "", "")
CONFIG = FleetConfig(teams=(TeamSpec("shop", 1.0, 10),))
SETUP = (records.Publish(0, CONFIG), records.Join(MEMBER))
TAKE = records.TakeRights("shop", "a", 4)


def encode(*items, batch_id="other"):
    return [
        records.encode_record(records.Envelope(batch_id, index, "test", 0, item))
        for index, item in enumerate(items)
    ]


def rights_of(journal):
    return dict(journal.state.rights["shop"].holders)


async def ask(journal, record, expires_at_ms=float("inf")):
    reply = new_reply()
    journal.tell(Append(record, "test", reply, expires_at_ms))
    return await asyncio.wait_for(reply, 5)


async def set_fault(call, platform, fault, on=True, **params):
    await call("POST", f"{platform}/control/faults", fault=fault, on=on, **params)


async def counts(call, platform):
    state = (await call("GET", f"{platform}/state"))[1]
    return state["counts"], state["streams"]["fleet"]["end_offset"]


# With sockets, against the platform stand-in


async def test_a_lost_answer_is_resolved_by_reading_back(journal, append, call, platform):
    """Guards against applying a record twice, or a false refusal, if only the answer is lost."""
    await append(*SETUP)
    await set_fault(call, platform, "lose_answers")
    entry = await ask(journal, TAKE)
    assert entry.accepted and rights_of(journal) == {"a": 4}
    seen, end_offset = await counts(call, platform)
    assert (seen["appended"], seen["lost_answers"], end_offset) == (2, 1, 3)


@pytest.mark.parametrize("fault", ["outage", "rate_cap"])
async def test_a_refused_append_is_tried_again_or_given_up(journal, append, call, platform, fault):
    """Guards against a record that is reported as refused and written later."""
    await append(*SETUP)
    await set_fault(call, platform, fault, **({"per_s": 0} if fault == "rate_cap" else {}))
    now_ms = journal._timer.now_ms()
    given_up = asyncio.create_task(ask(journal, TAKE, now_ms + 100))
    kept = asyncio.create_task(ask(journal, records.WithdrawKey("k")))
    assert isinstance(await given_up, LogUnavailableError)
    await set_fault(call, platform, fault, on=False, **({} if fault == "outage" else {"per_s": 1}))
    assert (await kept).reason == "key is not granted"
    assert rights_of(journal) == {}
    assert (await counts(call, platform))[1] == 3


async def test_the_largest_configuration_is_appended(journal, append, call, platform):
    """Guards against a record larger than the flush size limit that is never appended."""
    pools = tuple(PoolSpec(f"pool-{number}", 1) for number in range(68))
    vms = tuple(
        VmSpec(f"{pool.name}-{n}", pool.name, f"data-centre-{n % 11}", f"rack-{n}", "10.0.0.1:7000")
        for pool in pools
        for n in range(19)
    )
    record = records.Publish(0, FleetConfig(pools=pools, vms=vms))
    assert len(vms) == 1_292 and len(json.dumps(encode(record))) > defaults.FLUSH_SIZE_BYTES
    assert (await ask(journal, record)).accepted
    assert journal.view.config == record.config


async def test_a_read_is_dated_from_its_start(journal, append, call, platform):
    """Guards against a view that counts as fresh although the answer to its read was slow."""
    await append(*SETUP)
    await set_fault(call, platform, "slow", delay_ms=100)
    sent_at_ms = journal._timer.now_ms()
    assert (await journal._read(0)).fresh_as_of_ms <= sent_at_ms + 50


# Without sockets


async def test_a_resent_batch_is_applied_once(harness):
    """Guards against a batch that is applied twice when both copies arrive."""
    harness.write(*encode(*SETUP))
    harness.read()
    reply = harness.append(TAKE)
    harness.end("no_answer")
    harness.timer.advance(defaults.APPEND_RESEND_DELAY_MS)
    harness.read()
    assert len(harness.posts) == 1
    harness.timer.advance(1)
    harness.read()
    assert len(harness.posts) == 2 and harness.posts[0] == harness.posts[1]
    harness.write(*harness.posts[0], *harness.posts[1])
    harness.read()
    assert reply.result().accepted and rights_of(harness.journal) == {"a": 4}
    harness.end("acknowledged")
    assert not harness.journal._batches


async def test_a_refused_resend_does_not_fail_the_first_copy(harness):
    """Guards against a false refusal, and a reader that fails, when the first copy is delayed."""
    harness.write(*encode(*SETUP))
    harness.read()
    reply = harness.append(TAKE, expires_at_ms=1)
    harness.end("no_answer")
    harness.timer.advance(defaults.APPEND_RESEND_DELAY_MS + 1)
    harness.read()
    harness.end("refused")
    assert not reply.done()
    harness.write(*harness.posts[0], *encode(records.Publish(1, CONFIG), batch_id="later"))
    harness.read()
    assert reply.result().accepted and harness.journal.state.config_version == 2


async def test_a_resend_waits_for_a_read_that_reached_the_end(harness):
    """Guards against a resend while the first copy may be in the part of the log not yet read."""
    reply = harness.append(SETUP[0])
    harness.end("no_answer")
    harness.timer.advance(defaults.APPEND_RESEND_DELAY_MS + 1)
    harness.write(*encode(*SETUP[1:] * 3), *harness.posts[0])
    harness.read(limit=2)
    assert len(harness.posts) == 1
    harness.read()
    assert len(harness.posts) == 1 and reply.result().accepted


async def test_a_batch_stays_within_the_flush_size_limit(harness):
    """Guards against a batch that the log never accepts because it has grown without limit."""
    half = "x" * (defaults.FLUSH_SIZE_BYTES // 2)
    jobs = [records.AcceptJob(f"r-{n}", "night", "shop", "d", half, 1.0) for n in range(3)]
    large = evolve(jobs[0], request_id="large", payload=half * 3)
    for record in (*jobs, large, jobs[0]):
        harness.journal.handle(Append(record, "test"))
    harness.append(records.WithdrawKey("k"))
    sizes = [[item["record"].get("request_id") for item in post] for post in harness.posts]
    assert sizes == [["r-0"], ["r-1"], ["r-2"], ["large"], ["r-0", None]]


async def test_an_expired_append_does_not_affect_the_rest_of_its_batch(harness):
    """Guards against a reply to the wrong append after expired ones were dropped from the batch."""
    harness.write(*encode(*SETUP))
    harness.read()
    expired, kept = new_reply(), new_reply()
    harness.journal.handle(Append(TAKE, "test", expired, 10.0))
    harness.journal.handle(Append(records.WithdrawKey("k"), "test", kept))
    harness.append(records.TakeRights("shop", "a", 1))
    harness.timer.advance(100)
    harness.end("refused")
    assert isinstance(expired.result(), LogUnavailableError)
    harness.journal.handle(RetryBatch(harness.posts[0][0]["batch_id"]))
    harness.write(*harness.posts[1])
    harness.read()
    assert kept.result().kind == "key_withdraw" and rights_of(harness.journal) == {"a": 1}


async def test_a_gap_keeps_the_state_until_a_newer_snapshot_is_complete(harness, fleet):
    """Guards against a configuration that reverts, or a view that misses records."""
    harness.write(*encode(*SETUP))
    harness.read()
    state = harness.journal.state
    harness.write(*encode(TAKE, batch_id="lost"), *encode(records.WithdrawKey("x"), batch_id="x"))
    whole = replay.FleetState()
    for item in harness.log:
        envelope = records.decode_record(item["record"])
        replay.apply(whole, item["offset"], envelope)
    parts = snapshots.encode_snapshot(whole, "s")
    text = parts[0].data
    halves = [
        evolve(parts[0], part=0, part_count=2, data=text[:10]),
        evolve(parts[0], part=1, part_count=2, data=text[10:]),
    ]
    harness.write(*encode(halves[0], batch_id="s0"))
    harness.timer.advance(10)
    fresh_as_of_ms = harness.journal.fresh_as_of_ms
    harness.read(start=4)
    assert harness.journal.state is state and harness.journal.view.config == CONFIG
    assert harness.journal.fresh_as_of_ms == fresh_as_of_ms
    harness.write(*encode(records.TakeRights("shop", "a", 2), batch_id="later"))
    harness.write(*encode(halves[1], batch_id="s1"))
    harness.read(start=4)
    assert rights_of(harness.journal) == {"a": 6}
    assert harness.journal.fresh_as_of_ms == harness.timer.now_ms()


async def test_a_new_journal_starts_from_a_snapshot(harness, fleet):
    """Guards against an entry VM that starts with an empty state once the log has been trimmed."""
    harness.log = [{"offset": n, "record": {}} for n in range(fleet.offset + 1)]
    harness.read(start=fleet.offset + 1)
    assert not harness.journal.loaded
    harness.write(*encode(*snapshots.encode_snapshot(fleet, "s"), batch_id="s"))
    harness.read(start=fleet.offset + 1)
    assert harness.journal.loaded and harness.journal.state.config == fleet.config


async def test_an_unknown_record_kind_is_skipped_and_passed_on(harness):
    """Guards against a reader that stops at a newer version's record or withholds it from peers."""
    unknown = encode(SETUP[1], batch_id="new")[0] | {"kind": "unheard_of"}
    harness.write(*encode(SETUP[0]), unknown)
    harness.read()
    assert harness.journal.loaded and harness.journal.state.offset == 1
    reply = new_reply()
    harness.journal.handle(ReadTail(0, reply))
    assert [item["record"] for item in reply.result().records] == [unknown]
    harness.write(*encode(records.GrantKey(KeyGrant("k", "shop")), batch_id="k"))
    harness.read()
    assert "k" in harness.journal.view.keys


async def test_an_older_state_is_not_adopted(harness, fleet):
    """Guards against a configuration that reverts because a peer is behind."""
    harness.write(*encode(records.Publish(0, CONFIG)))
    harness.write(*encode(*SETUP[1:] * 3, batch_id="joins"))
    harness.read()
    assert fleet.offset < harness.journal.state.offset
    harness.journal.handle(AdoptState(fleet, harness.timer.now_ms()))
    assert harness.journal.view.config == CONFIG


async def test_records_read_while_waiting_survive_a_peers_state(harness, fleet):
    """Guards against skipping records between a peer's state and the end of the log."""
    harness.log = [{"offset": n, "record": {}} for n in range(fleet.offset + 3)]
    harness.write(*encode(records.GrantKey(KeyGrant("k", "shop")), batch_id="k"))
    start = fleet.offset + 2
    harness.read(start=start)
    # The peer's state ends before the start of the log, so records in between are missing.
    harness.journal.handle(AdoptState(fleet, harness.timer.now_ms()))
    harness.read(start=start)
    assert not harness.journal.loaded and "k" not in harness.journal.view.keys
    later = evolve(fleet, offset=start)
    harness.journal.handle(AdoptState(later, harness.timer.now_ms()))
    assert harness.journal.loaded and "k" in harness.journal.view.keys


@pytest.mark.parametrize("from_peer_end", [4, 6, 8])
async def test_a_peer_fills_a_gap_in_two_parts(harness, from_peer_end):
    """Guards against an entry VM that keeps an old state although a peer has the records."""
    for n in range(8):
        harness.write(*encode(records.GrantKey(KeyGrant(f"k{n}", "shop")), batch_id=f"b{n}"))
    log = harness.log
    harness.journal.handle(Chunk(log[:2], 0, 2, 0.0))
    harness.journal.handle(Chunk(log[4:6], 4, 6, 1.0))
    assert harness.journal.state.offset == 1
    part = Chunk(log[2:3], 2, 3, 2.0, from_log=False)
    harness.journal.handle(part)
    assert harness.journal.state.offset == 2
    harness.journal.handle(Chunk(log[2:from_peer_end], 2, from_peer_end, 2.0, from_log=False))
    assert set(harness.journal.state.keys) == {f"k{n}" for n in range(max(6, from_peer_end))}
    assert harness.journal.fresh_as_of_ms == 2.0


async def test_peers_get_no_records_past_a_gap(harness, fleet):
    """Guards against a peer that applies records after a gap as if they followed its own state."""
    harness.write(*encode(*SETUP))
    harness.read()
    harness.log += [{"offset": n, "record": {}} for n in range(2, 10)]
    harness.journal.handle(AdoptState(evolve(fleet, offset=9), harness.timer.now_ms()))
    harness.write(*encode(records.GrantKey(KeyGrant("k", "shop")), batch_id="k"))
    harness.read()
    replies = {after: new_reply() for after in (0, 8, 9)}
    for after, reply in replies.items():
        harness.journal.handle(ReadTail(after, reply))
    assert replies[0].result() is None and replies[8].result() is None
    assert [item["offset"] for item in replies[9].result().records] == [10]


async def test_the_records_kept_for_peers_hold_few_configurations(harness):
    """Guards against hundreds of MB of old configurations in the memory of an entry VM."""
    harness.write(*encode(*(records.Publish(n, CONFIG) for n in range(20)), records.Join(MEMBER)))
    harness.read()
    replies = {after: new_reply() for after in (14, 15)}
    for after, reply in replies.items():
        harness.journal.handle(ReadTail(after, reply))
    assert replies[14].result() is None
    assert [item["offset"] for item in replies[15].result().records] == [16, 17, 18, 19, 20]


async def test_an_append_within_an_adopted_state_is_answered(harness):
    """Guards against a job that waits endlessly because its record was part of a peer's state."""
    harness.write(*encode(*SETUP))
    harness.read()
    accepted, rejected = harness.append(TAKE), harness.append(records.WithdrawKey("k"))
    harness.end("no_answer", post=0)
    state = replay.FleetState()
    for offset, item in enumerate([*encode(*SETUP), *harness.posts[0], *harness.posts[1]]):
        replay.apply(state, offset, records.decode_record(item))
    harness.journal.handle(AdoptState(state, harness.timer.now_ms()))
    assert accepted.result().accepted and not rejected.result().accepted
    assert not harness.journal._batches


async def test_freshness_counts_from_the_sending_of_a_complete_read(harness):
    """Guards against accepting a withdrawn key because a read was slow or partial."""
    harness.write(*encode(*SETUP))
    chunk = harness.chunk()
    harness.timer.advance(800)
    harness.journal.handle(chunk)
    assert harness.journal.fresh_as_of_ms == 0
    harness.write(*encode(records.WithdrawKey("k"), records.WithdrawKey("k"), batch_id="k"))
    harness.read(limit=1)
    assert harness.journal.fresh_as_of_ms == 0
    harness.read()
    assert harness.journal.fresh_as_of_ms == 800
    harness.journal.handle(ReadFailed())
    assert harness.journal.fresh_as_of_ms == 800


# A gap that a peer can fill


def grant_records(first, end):
    """Return records in the log's form, each of which grants another key."""
    grants = [records.GrantKey(KeyGrant(f"k{n}", "shop")) for n in range(first, end)]
    return [
        {"offset": first + n, "record": encode(grant, batch_id=f"b{first + n}")[0]}
        for n, grant in enumerate(grants)
    ]


@pytest.fixture
def journal_with_gap():
    """A journal that has replayed records 0 and 1 and then read records 4 and 5."""
    journal = Journal("e", "127.0.0.1:1", ManualTimer())
    journal.handle(Chunk(grant_records(0, 2), 0, 2, 0.0))
    journal.handle(Chunk(grant_records(4, 6), 4, 6, 1.0))
    return journal


@pytest.mark.parametrize("end", [4, 6, 8])
def test_a_peer_fills_the_gap_that_retention_has_left(journal_with_gap, end):
    """Guards against an entry VM that keeps an old state although a peer has the records."""
    assert journal_with_gap.state.offset == 1
    journal_with_gap.handle(Chunk(grant_records(2, end), 2, end, 2.0, from_log=False))
    assert set(journal_with_gap.state.keys) == {f"k{n}" for n in range(max(6, end))}
    # A peer that lacks the newest records does not prove that the state is fresh.
    assert journal_with_gap.fresh_as_of_ms == 2.0


def test_records_after_a_gap_that_is_partly_filled_wait(journal_with_gap):
    """Guards against skipping records when a peer's state ends before the start of the log."""
    journal_with_gap.handle(Chunk(grant_records(2, 3), 2, 3, 2.0, from_log=False))
    assert journal_with_gap.state.offset == 2
    journal_with_gap.handle(Chunk(grant_records(3, 4), 3, 4, 3.0, from_log=False))
    assert journal_with_gap.state.offset == 5
