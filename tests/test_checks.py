"""Tests that each history check reports a broken guarantee and accepts one that held."""

from __future__ import annotations

import itertools
import json
import math
from collections import Counter
from pathlib import Path

import pytest
import typer
from attrs import evolve

from bench import checks
from bench.checks import Verdict
from bench.history import Event, HistoryError, merge_events, outages, read_history, task_spans
from tarragoncart import records
from tarragoncart.model import FleetConfig, KeyGrant, Member, PoolSpec, QueueSpec, TeamSpec, VmSpec
from tarragoncart.records import BeginStop, MoveVm, ReserveStop, VmDrained, VmFailed

GUARANTEES = [
    line.split("`")[1]
    for line in (Path(__file__).parents[1] / "docs" / "design.md").read_text().splitlines()
    if line.startswith("| `")
][:12]

CONFIG = FleetConfig(
    queues=(QueueSpec("holds", "holds"), QueueSpec("desk", "spare")),
    teams=(TeamSpec("shop", 1.0, 1),),
    pools=(PoolSpec("holds", 1), PoolSpec("spare", 2)),
    vms=tuple(VmSpec(f"v{n}", "holds", "dc", "rack", "127.0.0.1:1") for n in range(3)),
)
RAISED = evolve(CONFIG, teams=(TeamSpec("shop", 1.0, 2),))
BATCHES = itertools.count()


def submit(at, request_id="r", **fields):
    """Return a caller's submission; its payload token is the request ID in upper case."""
    common = {"request_id": request_id, "queue": "holds", "team": "shop", "key_id": "k"}
    common |= {"entry": "e", "guarded": False, "mode": "interactive"}
    common |= {"payload_token": request_id.upper()}
    return Event(at, "caller", "c", "submit", common | fields)


def reply(at, outcome="answered", request_id="r", event="reply", **fields):
    """Return a reply to a caller; an answer echoes the payload token of its request ID."""
    common = {"request_id": request_id, "outcome": outcome, "entry": "e", "truncated": False}
    common |= {"echo": request_id.upper() if outcome == "answered" else None}
    return Event(at, "caller", "c", event, common | fields)


def query(at, outcome="answered", **fields):
    """Return the reply to a later query of a caller."""
    return reply(at, outcome, event="query_reply", **fields)


def worker(at, event, name="v0", **fields):
    """Return an event that a worker recorded."""
    return Event(at, "worker", name, event, fields)


def start(at, request_id="r", name="v0", attempt=None, **fields):
    """Return the start of a task at a worker."""
    common = {"request_id": request_id, "attempt_id": attempt or f"{request_id}@{at}"}
    common |= {"team": "shop", "guarded": False}
    return worker(at, "started", name, **common | fields)


def end(at, started_event, event="finished"):
    """Return the end of a started task at its worker."""
    keys = ("request_id", "attempt_id", "team")
    return worker(at, event, started_event.name, **{key: started_event[key] for key in keys})


def operator(at, event, **fields):
    """Return an event that an operator recorded."""
    return Event(at, "operator", "o", event, {"accepted": True} | fields)


def status(at, version, entry="e"):
    """Return the status of an entry VM as an operator recorded it."""
    return operator(at, "status", entry=entry, config_version=version, offset=1, incarnation="i")


def runner(at, event, target="", **fields):
    """Return an action of the runner on a target."""
    return Event(at, "runner", "run", event, {"target": target} | fields)


def append(at, *written):
    """Return the platform's append of records as one batch."""
    batch_id = f"b{next(BATCHES)}"
    envelopes = [records.Envelope(batch_id, n, "e", 0, record) for n, record in enumerate(written)]
    data = [records.encode_record(envelope) for envelope in envelopes]
    return Event(at, "platform", "p", "append", {"stream": "fleet", "records": data})


def claim(at, vm):
    """Return the append of a job's claim for a worker."""
    return append(at, records.ClaimJob("r", 1, "i", vm))


def joined(at, name, incarnation):
    """Return the append of an entry VM's join."""
    return append(at, records.Join(Member(name, incarnation, "dc", "", "")))


def grant(at, **fields):
    """Return the append of a key grant to team ``shop``."""
    return append(at, records.GrantKey(KeyGrant("k", "shop", **fields)))


def vm_state(at, vm, state):
    """Return a change of a VM's state by the platform."""
    return Event(at, "platform", "p", "vm_state", {"vm": vm, "state": state})


def published(at, version, config=CONFIG):
    """Return the append of a publish and the reply to the operator 10 ms later."""
    publish_reply = operator(at + 10, "publish_reply", version=version, offset=0)
    return [append(at, records.Publish(version - 1, config)), publish_reply]


SETUP = published(0, 1)
GRANTED = [grant(1)]
WITHDRAWN = [*GRANTED, operator(100, "key_withdraw_reply", key_id="k", complete=False)]
DEFERRED = [submit(1, mode="deferred"), reply(2, "accepted")]
TWO_SUBMISSIONS = [
    joined(0, "e", "i-e"),
    joined(0, "other", "i-o"),
    submit(1),
    submit(1, entry="other"),
]
GUARDED_DEFERRED = [submit(1, mode="deferred", guarded=True), reply(2, "accepted")]
FIRST, OTHER = start(10, "r"), start(20, "s", "v1")
STOP = [*SETUP, append(20, ReserveStop("v0", "", "x")), append(30, BeginStop("v0"))]
MOVED = [*SETUP, append(20, MoveVm("v0", "holds", "spare", "x")), append(30, VmDrained("v0"))]

BROKEN = {
    "availability_budget": {
        "departure after the end of an undone drain": [
            *SETUP,
            runner(35, "planned_stop", "v1"),
            worker(36, "leaving", "v1"),
            worker(37, "serving", "v1"),
            runner(38, "failure_ends", "", failure="upstream_drained"),
            worker(39, "leaving", "v1"),
        ],
        "departed without a stop": [*SETUP, worker(40, "leaving")],
        "departed before the stop began": [*STOP[:-1], vm_state(40, "v0", "draining")],
        "second stop above the budget": [
            *STOP,
            append(40, ReserveStop("v1", "", "x"), BeginStop("v1")),
            worker(50, "leaving"),
            worker(50, "leaving", "v1"),
        ],
        "stop begun after a failure": [
            *STOP[:-1],
            append(25, VmFailed("v1", "x")),
            STOP[-1],
            worker(40, "leaving"),
        ],
        "stop beside a drain that the log knows": [
            *SETUP,
            runner(5, "planned_stop", "v1"),
            worker(6, "leaving", "v1"),
            *STOP[1:],
            append(35, VmFailed("v1", "x")),
            worker(40, "leaving"),
        ],
        "stop long after a drain": [
            *STOP,
            runner(35, "planned_stop", "v1"),
            worker(36, "leaving", "v1"),
            worker(5_037, "leaving"),
        ],
        "the permitted stop is used twice": [
            *STOP,
            worker(40, "leaving"),
            worker(50, "rebooted"),
            append(60, records.VmBack("v0")),
            worker(70, "leaving"),
        ],
    },
    "one_pool_per_vm": {
        "work of a pool that it never joined": [*SETUP, submit(30, queue="desk"), start(40)],
        "work of the pool that it left": [*MOVED, submit(40), start(9_040)],
        "work of two pools at once": [
            *MOVED,
            submit(31),
            start(40),
            submit(41, "s", queue="desk"),
            start(50, "s"),
        ],
    },
    "key_required": {
        "no key": [*GRANTED, submit(2, key_id=None), start(3)],
        "unknown key": [*GRANTED, submit(2, key_id="other"), reply(3, "accepted")],
        "key of another team": [*GRANTED, submit(2), start(3, team="studio")],
        "key granted later": [submit(2), start(3), grant(4)],
        "nobody submitted": [*GRANTED, start(3)],
    },
    "key_withdrawn": {
        "started past the bound": [*WITHDRAWN, submit(5_000), start(5_101)],
        "accepted past the bound": [
            *WITHDRAWN,
            submit(5_101, mode="deferred"),
            reply(5_102, "accepted"),
        ],
    },
    "upper_limit": {
        "two at once": [*SETUP, FIRST, OTHER],
        "lowered": [*published(0, 1, RAISED), FIRST, *published(15, 2), start(9_026, "s", "v1")],
        "team without a limit": [*SETUP, start(10, team="studio")],
    },
    "whole_answer": {
        "answer of another request": [submit(1), submit(1, "s"), reply(2, echo="S")],
        "truncated": [submit(1), reply(2, truncated=True)],
        "empty": [submit(1), reply(2, echo=None)],
        "accepted without an answer": DEFERRED,
        "accepted and dropped": [*DEFERRED, query(3, "not_run", code="expired")],
        "accepted and unknown": [*DEFERRED, start(3), query(4, "outcome_unknown")],
        "query with the answer of another request": [*DEFERRED, query(3, echo="S")],
        "claimed at another worker than the killed one": [
            *GUARDED_DEFERRED,
            claim(3, "v1"),
            runner(4, "kill", "v0"),
            query(5, "outcome_unknown"),
        ],
        "claimed at a worker that rebooted": [
            *GUARDED_DEFERRED,
            claim(3, "v0"),
            worker(4, "rebooted"),
            query(5, "outcome_unknown"),
        ],
        "claimed at a worker that rebooted before its claimant was killed": [
            *GUARDED_DEFERRED,
            joined(2, "e", "i"),
            claim(3, "v0"),
            worker(4, "rebooted"),
            runner(5, "kill", "e"),
            query(6, "outcome_unknown"),
        ],
        "claimed at a worker that rebooted after another entry VM was killed": [
            *GUARDED_DEFERRED,
            joined(2, "e", "i"),
            claim(3, "v0"),
            runner(4, "kill", "other"),
            worker(5, "rebooted"),
            query(6, "outcome_unknown"),
        ],
        "claimed at a worker that rebooted after the cut": [
            *GUARDED_DEFERRED,
            runner(2, "cut", "dc", **{"from": ["other"]}),
            runner(3, "heal", "dc"),
            claim(4, "v0"),
            worker(5, "rebooted"),
            query(6, "outcome_unknown"),
        ],
        "claimed at a worker long after its kill": [
            *GUARDED_DEFERRED,
            runner(3, "kill", "v0"),
            claim(3_004, "v0"),
            query(3_005, "outcome_unknown"),
        ],
    },
    "not_run_true": {
        "started before": [submit(1), start(2), reply(3, "not_run")],
        "started after": [submit(1), reply(2, "not_run"), start(3)],
        "started before, submitted again": [
            submit(1),
            start(2),
            submit(3),
            reply(4, "not_run"),
            submit(5),
        ],
        "another entry VM ran its own submission": [
            *TWO_SUBMISSIONS,
            start(2, incarnation="i-o"),
            reply(3, "not_run"),
        ],
        "another body ran": [
            submit(1),
            submit(1, payload_token="R2"),
            start(2),
            reply(3, "not_run", code="different_body", payload_token="R2"),
            reply(4),
        ],
        "started by the entry VM that replied": [
            *TWO_SUBMISSIONS,
            start(2, incarnation="i-e"),
            reply(3, "not_run"),
        ],
        "started where it was not submitted": [
            joined(0, "other", "i-o"),
            submit(1),
            start(2, incarnation="i-o"),
            reply(3, "not_run"),
        ],
        "query after a start elsewhere": [
            *TWO_SUBMISSIONS,
            start(2, incarnation="i-o"),
            query(3, "not_run"),
        ],
        "conflict without another body": [
            submit(1),
            start(2),
            reply(3, "not_run", code="different_body", payload_token="R"),
        ],
        "conflict of the body that ran": [
            submit(1),
            submit(1, payload_token="R2"),
            start(2),
            reply(3, "not_run", code="different_body", payload_token="R2"),
            reply(4, echo="R2"),
        ],
        "conflict as the outcome of the request": [
            submit(1),
            submit(1, payload_token="R2"),
            start(2),
            query(3, "not_run", code="different_body"),
        ],
    },
    "at_most_once": {
        "two workers": [start(1, guarded=True), start(2, name="v1", guarded=True)],
        "one worker after its end": [submit(1, guarded=True), FIRST, end(11, FIRST), start(12)],
    },
    "leaving_upstream": {
        "late start": [worker(1, "leaving"), start(5_002)],
        "late start before it serves": [
            worker(1, "leaving"),
            start(5_002),
            worker(5_003, "serving"),
        ],
        "another worker serves": [worker(1, "leaving"), worker(2, "serving", "v1"), start(5_002)],
    },
    "graceful_stop": {
        "task cut": [runner(1, "planned_stop", "v0"), FIRST, end(20, FIRST, "cut")],
        "rebooted under a task": [worker(1, "leaving"), FIRST, worker(20, "rebooted")],
        "connection lost": [
            submit(1),
            runner(2, "planned_stop", "e"),
            Event(3, "caller", "c", "connection_lost", {"request_id": "r"}),
        ],
        "connection lost as the process ends": [
            submit(1),
            runner(2, "planned_stop", "e"),
            runner(3, "stopped", "e"),
            Event(1_000, "caller", "c", "connection_lost", {"request_id": "r"}),
        ],
    },
    "config_in_force": {
        "late": [status(1, 0), *SETUP, status(5_000, 0), status(9_011, 1)],
        "never": [status(1, 0), *SETUP, status(9_011, 0)],
        "late after an outage": [
            status(1, 0),
            runner(2, "cut", "e"),
            *SETUP,
            runner(20_000, "heal", "e"),
            status(29_001, 1),
        ],
    },
    "config_never_reverts": {
        "one entry": [status(1, 2), status(2, 1)],
        "across a restart": [status(1, 2), runner(2, "kill", "e"), status(3, 0)],
        "old version in a reply": [*SETUP, submit(9_011), reply(9_012, config_version=0)],
        "one version accepted twice": [*SETUP, operator(20, "publish_reply", version=1)],
    },
}

HELD = {
    "availability_budget": {
        "stop right after a drain": [
            *STOP,
            runner(35, "planned_stop", "v1"),
            worker(36, "leaving", "v1"),
            worker(5_036, "leaving"),
        ],
        "drain that is undone before the reboot": [
            *STOP,
            runner(35, "planned_stop", "v1"),
            worker(36, "leaving", "v1"),
            worker(37, "serving", "v1"),
            worker(38, "leaving", "v1"),
            worker(39, "rebooted", "v1"),
            worker(40, "leaving"),
        ],
        "stop after a drain that was undone": [
            *STOP,
            runner(35, "planned_stop", "v1"),
            worker(36, "leaving", "v1"),
            worker(37, "serving", "v1"),
            worker(9_000, "leaving"),
        ],
        "begun stop": [*STOP, worker(40, "leaving"), vm_state(41, "v0", "rebooting")],
        "failed while stopping": [
            *STOP,
            worker(40, "leaving"),
            append(50, VmFailed("v0", "x")),
            vm_state(60, "v0", "rebooting"),
        ],
        "one after the other": [
            *STOP,
            worker(40, "leaving"),
            worker(50, "rebooted"),
            append(60, records.VmBack("v0"), ReserveStop("v1", "", "x"), BeginStop("v1")),
            worker(70, "leaving", "v1"),
        ],
    },
    "one_pool_per_vm": {
        "before and after a move": [
            *MOVED,
            submit(10),
            FIRST,
            end(12, FIRST),
            submit(30, "s", queue="desk"),
            start(40, "s"),
        ],
        "stale view within the bound": [*MOVED, submit(40), start(9_029)],
    },
    "key_required": {
        "key of the team": [*GRANTED, submit(2), start(3), reply(4)],
        "open queue": [runner(0, "open_queue", queue="holds"), *GRANTED]
        + [submit(2, key_id=None), start(3, team=""), submit(4, "s"), start(5, "s")]
        + [submit(6, "t", queue="desk"), start(7, "t")],
        "granted by a reply": [
            operator(1, "key_grant_reply", key_id="k", team="shop"),
            submit(2),
            start(3),
        ],
    },
    "key_withdrawn": {
        "within the bound": [*WITHDRAWN, submit(5_000), start(5_100)],
        "refused": [*WITHDRAWN, submit(6_000), reply(6_001, "not_run")],
        "deferred work runs later": [
            *WITHDRAWN,
            submit(110, mode="deferred"),
            reply(120, "accepted"),
            start(9_000),
        ],
        "granted again": [
            *WITHDRAWN,
            submit(200),
            start(201),
            grant(6_000),
            submit(6_001, "s"),
            start(6_002, "s"),
        ],
        "grace": [
            grant(1, cutoff_grace_s=2.0),
            WITHDRAWN[-1],
            submit(6_000),
            start(7_100),
        ],
    },
    "upper_limit": {
        "one after the other": [*SETUP, FIRST, end(20, FIRST), OTHER],
        "raised": [*SETUP, FIRST, append(15, records.Publish(1, RAISED)), OTHER],
        "lowered within the bound": [
            *published(0, 1, RAISED),
            FIRST,
            *published(15, 2),
            start(9_025, "s", "v1"),
        ],
        "killed worker": [*SETUP, FIRST, runner(15, "kill", "v0"), OTHER],
        "open queue": [*SETUP, FIRST, start(20, "s", "v1", team="")],
    },
    "whole_answer": {
        "own token": [submit(1), reply(2)],
        "accepted, answered later": [*DEFERRED, query(3, "accepted"), query(4)],
        "cancelled": [*DEFERRED, query(3, "not_run", code="cancelled")],
        "guarded and started": [
            submit(1, mode="deferred", guarded=True),
            DEFERRED[1],
            start(3),
            query(4, "outcome_unknown"),
        ],
        "claimed by a killed entry VM at a worker that rebooted then": [
            *GUARDED_DEFERRED,
            joined(2, "e", "i"),
            claim(3, "v0"),
            runner(4, "kill", "e"),
            worker(5, "rebooted"),
            query(6, "outcome_unknown"),
        ],
        "claimed at a worker that rebooted behind a cut link": [
            *GUARDED_DEFERRED,
            runner(2, "cut", "dc", **{"from": ["other"]}),
            claim(3, "v0"),
            worker(4, "rebooted"),
            runner(5, "heal", "dc"),
            query(6, "outcome_unknown"),
        ],
        "claimed at a worker just killed": [
            *GUARDED_DEFERRED,
            runner(3, "kill", "v0"),
            claim(23, "v0"),
            query(4_000, "outcome_unknown"),
        ],
    },
    "not_run_true": {
        "never started": [submit(1), reply(2, "not_run")],
        "submitted again": [submit(1), reply(2, "not_run"), submit(3), start(4)],
    },
    "at_most_once": {
        "once": [start(1, guarded=True), start(2, "s", guarded=True)],
        "idempotent": [start(1, "s", guarded=True), start(2), start(3)],
    },
    "leaving_upstream": {
        "start within the bound": [worker(1, "leaving"), start(5_001)],
        "back after a move": [worker(1, "leaving"), worker(2, "serving"), start(9_000)],
        "back after a reboot": [worker(1, "leaving"), worker(2, "rebooted"), start(9_000)],
    },
    "graceful_stop": {
        "finished first": [worker(1, "leaving"), FIRST, end(20, FIRST), worker(21, "rebooted")],
        "lost by a replacement": [
            runner(1, "planned_stop", "e"),
            runner(2, "stopped", "e"),
            submit(2_000),
            Event(2_001, "caller", "c", "connection_lost", {"request_id": "r"}),
        ],
        "lost to a kill": [
            runner(1, "planned_stop", "e"),
            submit(2),
            runner(3, "kill", "e"),
            Event(4, "caller", "c", "connection_lost", {"request_id": "r"}),
        ],
    },
    "config_in_force": {
        "in time": [status(1, 0), *SETUP, status(9_010, 1)],
        "in time after an outage": [
            status(1, 0),
            runner(2, "cut", "dc-1"),
            runner(0, "config", data_centres={"e": "dc-1"}),
            *SETUP,
            status(15_000, 0),
            runner(20_000, "heal", "dc-1"),
            status(29_000, 1),
        ],
    },
    "config_never_reverts": {
        "rising": [status(1, 1), status(2, 1), status(3, 2), status(2, 0, entry="f")],
        "reply within the bound": [*SETUP, submit(9_009), reply(9_012, config_version=0)],
        "reply during an outage": [
            *SETUP,
            runner(20, "cut", "e"),
            submit(9_011),
            reply(9_012, config_version=0),
        ],
    },
}


def cases(histories):
    """Return one parameter set for each check and history."""
    return [
        pytest.param(name, events, id=f"{name}: {title}")
        for name, by_title in histories.items()
        for title, events in by_title.items()
    ]


@pytest.fixture
def run_check():
    """Return a function that runs one check on events."""
    return lambda name, events: checks.CHECKS.get(name)(merge_events([events]))


@pytest.fixture
def write(tmp_path):
    """Return a function that writes events to a directory of histories, one file per process."""

    def write(events):
        for event in sorted(events, key=lambda event: event.at_ms):
            line = {"at_ms": event.at_ms, "source": event.source, "name": event.name}
            line |= {"event": event.event, **event.fields}
            with (tmp_path / f"{event.name}.jsonl").open("a") as file:
                file.write(json.dumps(line) + "\n")
        return tmp_path

    return write


def test_every_guarantee_has_a_check_and_both_kinds_of_history():
    """Guards against a guarantee whose violation no check reports."""
    assert len(GUARANTEES) == 12
    assert set(checks.CHECKS) == set(GUARANTEES) == set(BROKEN) == set(HELD)


@pytest.mark.parametrize(("name", "events"), cases(BROKEN))
def test_a_broken_guarantee_is_reported(run_check, name, events):
    """Guards against a check that overlooks a violation."""
    finding = run_check(name, events)
    assert finding.verdict is Verdict.BROKEN
    assert finding.details


@pytest.mark.parametrize(("name", "events"), cases(HELD))
def test_a_held_guarantee_is_not_reported(run_check, name, events):
    """Guards against a check that calls allowed behaviour a violation."""
    finding = run_check(name, events)
    assert (finding.verdict, finding.details) == (Verdict.HELD, ())
    assert finding.event_count > 0


@pytest.mark.parametrize("name", GUARANTEES)
def test_an_empty_history_is_not_covered(run_check, name):
    """Guards against a run without events being reported as a guarantee that held."""
    assert run_check(name, []).verdict is Verdict.NOT_COVERED


def test_the_report_prints_verdicts_and_totals_and_fails(write, capsys):
    """Guards against a report that exits with 0 although a guarantee is broken."""
    history = [*SETUP, FIRST, OTHER, submit(1), reply(2), submit(3, "s"), reply(4, "not_run", "s")]
    with pytest.raises(typer.Exit) as ending:
        checks.report(write(history))
    *lines, figures = capsys.readouterr().out.splitlines()
    assert ending.value.exit_code == 1
    assert "upper_limit: broken  (events judged: 2)" in lines
    assert "leaving_upstream: not covered  (events judged: 0)" in lines
    expected = {"answered": 1, "refused_not_run": 1, "max_over_limit": 1, "false_not_run": 1}
    assert expected.items() <= json.loads(figures).items()
    assert json.loads(figures)["key_last_use_max_ms"] is None


def test_the_report_succeeds_without_a_broken_check(write, capsys):
    """Guards against a report that exits with 1 because checks had no events to check."""
    with pytest.raises(typer.Exit) as ending:
        checks.report(write([*GRANTED, submit(2), reply(3)]))
    assert ending.value.exit_code == 0


def test_a_truncated_last_line_is_skipped_and_an_invalid_line_is_located(write):
    """Guards against a killed process that leaves an unreadable history."""
    directory = write([submit(1)])
    with (directory / "c.jsonl").open("a") as file:
        file.write('{"at_ms": 2, "sou')
    assert len(read_history(directory).events) == 1
    with (directory / "c.jsonl").open("a") as file:
        file.write("\n")
    with pytest.raises(HistoryError, match=r"c\.jsonl:2"):
        read_history(directory)


def test_tasks_end_with_their_worker():
    """Guards against tasks that count as running after their worker was killed."""
    events = [FIRST, OTHER, worker(30, "killed"), runner(40, "kill", ["v1"]), start(50, "t")]
    spans = task_spans(merge_events([events]))
    assert Counter((s.end_ms, s.ended_by) for s in spans) == Counter(
        [(30, "killed"), (40, "kill"), (math.inf, "")]
    )


def test_a_cut_is_an_outage_only_if_the_platform_is_unreachable():
    """Guards against an outage being assumed for an entry VM that could still read the log."""
    events = [
        runner(1, "cut", "e", **{"from": ["dc-2"]}),
        runner(2, "heal", "e"),
        runner(3, "cut", "e", **{"from": ["platform"]}),
        runner(4, "heal", "e"),
        runner(5, "pause", "e"),
        runner(6, "resume", "e"),
        runner(7, "kill", "e"),
        status(9, 1),
        runner(10, "pause", "other"),
    ]
    assert outages(merge_events([events]), "e") == [(3, 4), (5, 6), (7, 9)]
