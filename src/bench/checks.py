"""Checks a recorded run against the guarantees in section 1 of ``docs/design.md``.

The bounds are those of that page. ``python -m bench.checks DIR`` checks the histories in a
directory.
"""

from __future__ import annotations

import json
import math
import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import Factory, evolve, frozen

from tarragoncart.registry import Registry

from .history import (
    Event,
    History,
    LogRecord,
    log_records,
    outages,
    pairwise_drops,
    reachable_deadline_ms,
    read_history,
    targets_of,
    task_spans,
)
from .vm_model import VmModel

CONFIG_BOUND_MS = 9_000
KEY_BOUND_MS = 5_000
LEAVING_BOUND_MS = 5_000
LEASE_MS = 3_000
# Longest planned stop of an entry VM; connections lost within it count as interruptions.
STOP_DURATION_MS = 30_000
# A caller may record a lost connection up to this long after the entry VM process has ended.
STOP_MARGIN_MS = 1_000

LIVE_VM_STATES = frozenset({"live", "in_service", "up"})
FAILED_VM_STATES = frozenset({"down", "dead", "failed"})
SUCCESS_OUTCOMES = frozenset({"answered", "accepted"})
PRINTED_DETAIL_COUNT = 10


class Verdict(StrEnum):
    """Result of a check; ``NOT_COVERED`` if the history holds no event to check."""

    HELD = "held"
    BROKEN = "broken"
    NOT_COVERED = "not covered"


@frozen
class Finding:
    """Result of one check with its details.

    :param event_count: number of checked events.
    :param details: one message for each violation.
    :param figures: measured totals by name.
    """

    name: str
    verdict: Verdict
    event_count: int
    details: tuple[str, ...] = ()
    figures: Mapping[str, float] = Factory(dict)


Check = Callable[[History], Finding]
CHECKS: Registry[Check] = Registry("history check")


def check(name: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check under the name of its guarantee."""
    return CHECKS.register(name)


def make_finding(name: str, results: Iterable[str], **figures: float) -> Finding:
    """Return the finding of a check.

    :param results: for each checked event the message of its violation, or an empty string.
    """
    messages = list(results)
    details = tuple(message for message in messages if message)
    verdict = Verdict.BROKEN if details else Verdict.HELD if messages else Verdict.NOT_COVERED
    return Finding(name, verdict, len(messages), details, figures)


# Configuration versions and key grants in the history


@frozen
class ConfigVersion:
    """A configuration version.

    :param known_ms: earliest time at which a process can have known the version.
    :param accepted_ms: when an operator or caller first saw it in force; infinite if none did.
    :param limits: upper limit by team; None if the history does not contain it.
    :param queue_pools: pool by queue.
    :param open_queues: queues that need no key.
    """

    version: int
    known_ms: float
    accepted_ms: float = math.inf
    limits: Mapping[str, int] | None = None
    queue_pools: Mapping[str, str] = Factory(dict)
    open_queues: frozenset[str] = frozenset()


def config_versions(history: History) -> list[ConfigVersion]:
    """Return all versions from the log's records, or from replies to operators if it has none.

    Version 0 is the runner's ``config`` event, if that has ``limits``.
    """
    versions: dict[int, ConfigVersion] = {}
    for event in history.select("runner", "config"):
        if "limits" in event.fields:
            versions[0] = ConfigVersion(0, event.at_ms, event.at_ms, event["limits"])
    for record in log_records(history.select("platform", "append")):
        if record.kind == "publish" and record.record["base_version"] == max(versions, default=0):
            version = record.record["base_version"] + 1
            versions[version] = _logged_version(version, record)
    sent_ms: dict[str, float] = {}
    for event in history.select("operator", "publish", "publish_reply"):
        if event.event == "publish":
            sent_ms[event.name] = event.at_ms
        elif event.get("accepted"):
            known_ms = sent_ms.get(event.name, event.at_ms)
            versions.setdefault(
                event["version"],
                ConfigVersion(event["version"], known_ms, limits=event.get("limits")),
            )
    seen = _first_seen_ms(history)
    return [
        evolve(version, accepted_ms=min(version.accepted_ms, _seen_in_force_ms(seen, number)))
        for number, version in sorted(versions.items())
    ]


def _logged_version(version: int, record: LogRecord) -> ConfigVersion:
    config = record.record["config"]
    return ConfigVersion(
        version,
        record.at_ms,
        limits={team["name"]: team["upper_limit_count"] for team in config["teams"]},
        queue_pools={queue["name"]: queue["pool"] for queue in config["queues"]},
        open_queues=frozenset(q["name"] for q in config["queues"] if q.get("open_to_all")),
    )


def _first_seen_ms(history: History) -> dict[int, float]:
    seen: dict[int, float] = {}
    accepted = (e for e in history.select("operator", "publish_reply") if e.get("accepted"))
    observations = [(e.at_ms, e["version"]) for e in accepted]
    observations += [(e.at_ms, e["config_version"]) for e in history.select("operator", "status")]
    replies = history.select("caller", "reply", "query_reply")
    observations += [(e.at_ms, e.get("config_version") or 0) for e in replies]
    for at_ms, version in observations:
        seen[version] = min(at_ms, seen.get(version, math.inf))
    return seen


def _seen_in_force_ms(seen: Mapping[int, float], version: int) -> float:
    return min((at_ms for number, at_ms in seen.items() if number >= version), default=math.inf)


def open_queues(history: History) -> frozenset[str]:
    """Return the queues that need no key in at least one configuration version."""
    named = {event["queue"] for event in history.select("runner", "open_queue")}
    return frozenset(named.union(*(v.open_queues for v in config_versions(history))))


@frozen
class Grant:
    """Grant of a key to a team.

    :param grace_ms: added to ``KEY_BOUND_MS`` after the key's withdrawal.
    """

    key_id: str
    team: str
    at_ms: float
    grace_ms: float


def key_grants(history: History) -> dict[str, list[Grant]]:
    """Return the grants by key ID: the log's records, or replies to operators if it has none."""
    grants: dict[str, list[Grant]] = defaultdict(list)
    for record in log_records(history.select("platform", "append")):
        if record.kind == "key_grant":
            grants[record.record["grant"]["key_id"]].append(
                _decode_grant(record.at_ms, record.record["grant"])
            )
    logged = set(grants)
    for event in history.select("operator", "key_grant_reply"):
        if event["key_id"] not in logged and event.get("accepted", True):
            grants[event["key_id"]].append(_decode_grant(event.at_ms, event.fields))
    return grants


def _decode_grant(at_ms: float, data: Mapping[str, Any]) -> Grant:
    grace_ms = 1_000 * data.get("cutoff_grace_s", 0)
    return Grant(data["key_id"], data["team"], at_ms, grace_ms)


# Teams and keys


@check("upper_limit")
def upper_limit(history: History) -> Finding:
    """Check at every task start that the team's running tasks do not exceed its upper limit.

    Tasks on all workers count, including the one that starts. A raised limit applies as soon as
    its record is appended. A lowered limit applies to starts later than ``CONFIG_BOUND_MS`` after
    it was first seen in force; tasks that already run may finish, but they count. A team that is
    not in the configuration has a limit of 0. Tasks without a team come from open queues and are
    not checked.
    """
    limits = _limit_spans(config_versions(history))
    changes: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for span in task_spans(history):
        # A task that ends at its start time overlaps no other task.
        if span.team and span.end_ms > span.start_ms:
            changes[span.team] += [(span.start_ms, 1), (span.end_ms, -1)]
    limited_starts = [
        (team, at_ms, running_count, limit_count)
        for team, at_ms, running_count in _running_counts(changes)
        for limit_count in [_limit_at(limits, team, at_ms)]
        if limit_count is not None
    ]
    return make_finding(
        "upper_limit",
        (
            f"{team} ran {count} tasks (limit {limit}) at {at_ms:.0f} ms" if count > limit else ""
            for team, at_ms, count, limit in limited_starts
        ),
        max_over_limit=max(
            (max(0, count - limit) for _, _, count, limit in limited_starts), default=0
        ),
    )


def _running_counts(
    changes: Mapping[str, list[tuple[float, int]]],
) -> Iterator[tuple[str, float, int]]:
    for team, points in changes.items():
        running_count = 0
        for at_ms, change in sorted(points):
            running_count += change
            if change > 0:
                yield team, at_ms, running_count


def _limit_spans(
    versions: list[ConfigVersion],
) -> list[tuple[float, float, Mapping[str, int]]]:
    """Return the limits of each version with the first and last time at which they may apply."""
    limit_versions = [version for version in versions if version.limits is not None]
    spans = []
    for n, version in enumerate(limit_versions):
        later_ms = min((later.accepted_ms for later in limit_versions[n + 1 :]), default=math.inf)
        spans.append((version.known_ms, later_ms + CONFIG_BOUND_MS, version.limits or {}))
    return spans


def _limit_at(
    spans: list[tuple[float, float, Mapping[str, int]]], team: str, at_ms: float
) -> int | None:
    usable = [limits for from_ms, to_ms, limits in spans if from_ms <= at_ms <= to_ms]
    return max((limits.get(team, 0) for limits in usable), default=None)


@check("key_required")
def key_required(history: History) -> Finding:
    """Check that jobs are submitted with a key of their team, except to open queues.

    For each job that starts, is answered or is accepted, at least one of the keys submitted with
    its request ID must have been granted to the job's team before. A start of a request that
    nobody submitted is a violation. Withdrawal of keys is checked by ``key_withdrawn``.
    """
    submissions = history.by_request("caller", "submit")
    grants = key_grants(history)
    exempt = open_queues(history)

    def evaluate(event: Event, verb: str, team: str | None) -> str | None:
        sent = [s for s in submissions.get(event["request_id"], []) if s.at_ms <= event.at_ms]
        if any(s["queue"] in exempt for s in sent):
            return None
        teams = {
            grant.team
            for s in sent
            for grant in grants.get(s.get("key_id") or "", [])
            if grant.at_ms <= event.at_ms
        }
        if teams and (team is None or team in teams):
            return ""
        return f"{event['request_id']} {verb} for {team or 'a team'} without a key of that team"

    started = (
        evaluate(event, "started", event.get("team") or "no team")
        for event in history.select("worker", "started")
    )
    answered = (
        evaluate(event, event["outcome"], None)
        for event in history.select("caller", "reply")
        if event["outcome"] in SUCCESS_OUTCOMES
    )
    results = [*started, *answered]
    return make_finding("key_required", (message for message in results if message is not None))


@check("key_withdrawn")
def key_withdrawn(history: History) -> Finding:
    """Check that a key stops working in time after its withdrawal was accepted.

    The bound is ``KEY_BOUND_MS`` after the acceptance, plus the grace period of the grant. An
    interactive job submitted after the withdrawal must not start past the bound. A job submitted
    past the bound must not be answered or accepted either. Jobs submitted before the withdrawal,
    and deferred jobs accepted before the bound, may run later. Events after a later grant of the
    same key are not checked.
    """
    submissions: dict[str, list[Event]] = defaultdict(list)
    for event in history.select("caller", "submit"):
        submissions[event.get("key_id") or ""].append(event)
    starts = history.by_request("worker", "started")
    replies = history.by_request("caller", "reply")
    grants = key_grants(history)
    exempt = open_queues(history)
    results: list[str] = []
    last_use_ms: list[float] = []
    for reply in history.select("operator", "key_withdraw_reply"):
        if not reply.get("accepted"):
            continue
        granted = grants.get(reply["key_id"], [])
        end_ms = min((g.at_ms for g in granted if g.at_ms > reply.at_ms), default=math.inf)
        grace_ms = max((g.grace_ms for g in granted if g.at_ms <= reply.at_ms), default=0)
        bound_ms = KEY_BOUND_MS + grace_ms
        sent = [s for s in submissions[reply["key_id"]] if s["queue"] not in exempt]
        earlier = {s["request_id"] for s in sent if s.at_ms <= reply.at_ms}
        for event in sent:
            request_id = event["request_id"]
            if not reply.at_ms < event.at_ms < end_ms or request_id in earlier:
                continue
            uses = [
                start.at_ms - reply.at_ms
                for start in starts.get(request_id, [])
                if event["mode"] == "interactive" and start.at_ms < end_ms
            ]
            last_use_ms += uses
            late = max(uses, default=0) > bound_ms
            if event.at_ms > reply.at_ms + bound_ms:
                late |= any(
                    r["outcome"] in SUCCESS_OUTCOMES and event.at_ms <= r.at_ms < end_ms
                    for r in replies.get(request_id, [])
                )
            results.append(
                f"{request_id} used key {reply['key_id']} past the bound of its withdrawal"
                if late
                else ""
            )
    figures = {"key_last_use_max_ms": max(last_use_ms)} if last_use_ms else {}
    return make_finding("key_withdrawn", results, **figures)


# Jobs


@check("whole_answer")
def whole_answer(history: History) -> Finding:
    """Check that every answer is complete and that no accepted job is lost.

    An answer must not be truncated and must echo the payload token submitted under its request
    ID. An accepted job must be answered by the end of the history; the runner waits for a quiet
    phase before it ends the run. Two other outcomes are not a loss: the job was cancelled, or it
    is guarded, its outcome is ``outcome_unknown``, and one of these holds:

    - the job started;
    - the worker that it was claimed for was killed after the claim, or at most the duration of a
      lease (``LEASE_MS``) before it;
    - that worker rebooted after the claim, and between the claim and the reboot a link between
      data centres was interrupted or the claiming entry VM was killed.

    In the last two cases only that worker's guard recorded whether the job ran, and that record
    was lost (section 4.2 of ``docs/design.md``).
    """
    submissions = history.by_request("caller", "submit")
    starts = history.by_request("worker", "started")
    replies = history.by_request("caller", "reply", "query_reply")
    without_evidence = _requests_without_evidence(history)
    results: list[str] = []
    lost_count = 0
    for request_id, received in replies.items():
        sent = submissions.get(request_id, [])
        for event in received:
            if event["outcome"] == "answered":
                results.append(_answer_violation(event, sent))
        if not any(event["outcome"] == "accepted" for event in received):
            continue
        last = next(e for e in reversed(received) if e["outcome"] in _JOB_OUTCOMES)
        guarded = any(s.get("guarded") for s in sent)
        resolved = (
            any(event["outcome"] == "answered" for event in received)
            or (last["outcome"] == "not_run" and last.get("code") == "cancelled")
            or (
                last["outcome"] == "outcome_unknown"
                and guarded
                and (request_id in starts or request_id in without_evidence)
            )
        )
        lost_count += not resolved
        results.append(
            "" if resolved else f"{request_id} was accepted and ended as {last['outcome']}"
        )
    return make_finding("whole_answer", results, lost=lost_count)


def _entries_of_incarnations(history: History) -> dict[str, str]:
    joins = log_records(history.select("platform", "append"))
    members = (join.record["member"] for join in joins if join.kind == "join")
    return {member["incarnation"]: member["name"] for member in members}


def _requests_without_evidence(history: History) -> frozenset[str]:
    """Return the requests whose only record of a start may have been lost with a worker's guard.

    An entry VM sends attempts to a killed worker until its lease there expires. A worker that
    reboots as planned finishes its tasks first. The record of an attempt there is only lost if a
    cut link delayed the attempt or the query for its result, or if the claiming entry VM was
    killed before it could query the worker.
    """
    kills = history.select("runner", "kill")
    reboots = history.select("worker", "rebooted")
    cuts = _link_cuts(history)
    entries = _entries_of_incarnations(history)

    def lost(claim: LogRecord) -> bool:
        worker = claim.record["worker"]
        if any(worker in targets_of(k) and claim.at_ms <= k.at_ms + LEASE_MS for k in kills):
            return True
        return any(
            reboot.name == worker
            and claim.at_ms <= reboot.at_ms
            and (
                any(began <= reboot.at_ms and claim.at_ms <= ended for began, ended in cuts)
                or any(
                    entries.get(claim.record["incarnation"]) in targets_of(kill)
                    and claim.at_ms <= kill.at_ms <= reboot.at_ms
                    for kill in kills
                )
            )
            for reboot in reboots
        )

    claims = log_records(history.select("platform", "append"))
    return frozenset(c.record["request_id"] for c in claims if c.kind == "claim" and lost(c))


def _entries_of_incarnations(history: History) -> dict[str, str]:
    joins = log_records(history.select("platform", "append"))
    members = (join.record["member"] for join in joins if join.kind == "join")
    return {member["incarnation"]: member["name"] for member in members}


def _link_cuts(history: History) -> list[tuple[float, float]]:
    """Return start and end of each cut of links between data centres."""
    spans = []
    for cut in history.select("runner", "cut"):
        if set(cut.get("from", ())) - {"platform"}:
            heals = (
                heal.at_ms
                for heal in history.select("runner", "heal")
                if heal.at_ms > cut.at_ms and targets_of(heal) == targets_of(cut)
            )
            spans.append((cut.at_ms, next(heals, math.inf)))
    return spans


_JOB_OUTCOMES = frozenset({"answered", "accepted", "not_run", "outcome_unknown"})


def _answer_violation(event: Event, sent: list[Event]) -> str:
    if event.get("truncated"):
        return f"{event['request_id']} got a truncated answer"
    if event.get("echo") not in {s["payload_token"] for s in sent}:
        return f"{event['request_id']} got an answer with the wrong token {event.get('echo')!r}"
    return ""


@check("not_run_true")
def not_run_true(history: History) -> Finding:
    """Check that a request reported as ``not_run`` has not started.

    The request ID must not have started before the reply, whichever entry VM started it. It may
    start afterwards only if a caller has submitted the request ID again since the reply.
    """
    submissions = history.by_request("caller", "submit")
    starts = history.by_request("worker", "started")
    false_ids: set[str] = set()
    results: list[str] = []
    for event in history.select("caller", "reply", "query_reply"):
        if event["outcome"] != "not_run":
            continue
        request_id = event["request_id"]
        again_ms = min(
            (s.at_ms for s in submissions.get(request_id, []) if s.at_ms >= event.at_ms),
            default=math.inf,
        )
        started = [
            start.at_ms
            for start in starts.get(request_id, [])
            if start.at_ms <= event.at_ms or start.at_ms < again_ms
        ]
        if started:
            false_ids.add(request_id)
        results.append(
            f"{request_id} was reported as not_run at {event.at_ms:.0f} ms but started"
            if started
            else ""
        )
    return make_finding("not_run_true", results, false_not_run=len(false_ids))


@check("at_most_once")
def at_most_once(history: History) -> Finding:
    """Check that a guarded job starts at most once over all workers.

    A job is guarded if the worker or the caller recorded it as guarded.
    """
    submissions = history.by_request("caller", "submit")
    counts = [
        (request_id, len(events))
        for request_id, events in history.by_request("worker", "started").items()
        if any(e.get("guarded") for e in [*events, *submissions.get(request_id, [])])
    ]
    return make_finding(
        "at_most_once",
        (f"{request_id} started {n} times" if n > 1 else "" for request_id, n in counts),
        guarded_started_twice=sum(n > 1 for _, n in counts),
    )


# Planned stops and upstreams


@check("leaving_upstream")
def leaving_upstream(history: History) -> Finding:
    """Check that a leaving worker starts no task after the bound.

    The worker counts as leaving until it reboots, serves again or is killed. The guarantee says
    "a few seconds"; ``LEAVING_BOUND_MS`` is the time that ``docs/design.md`` allows ("within
    seconds") for an entry VM with an outdated view (``key_freshness_ms``). Two other mechanisms
    act earlier: the worker refuses with ``leaving`` at once, and the 3 s lease that an entry VM
    must renew to start tasks expires.
    """
    ends = history.select("worker", "rebooted", "serving", "killed")
    ends += history.select("runner", "kill")
    starts = history.select("worker", "started")
    results: list[str] = []
    last_job_ms: list[float] = []
    for leaving in history.select("worker", "leaving"):
        end_ms = min(
            (
                e.at_ms
                for e in ends
                if e.at_ms > leaving.at_ms
                and e.get("attempt_id") is None
                and leaving.name in (e.name, *targets_of(e))
            ),
            default=math.inf,
        )
        delays = [
            start.at_ms - leaving.at_ms
            for start in starts
            if start.name == leaving.name and leaving.at_ms < start.at_ms < end_ms
        ]
        last_job_ms.append(max(delays, default=0))
        late = last_job_ms[-1] > LEAVING_BOUND_MS
        results.append(
            f"{leaving.name} started a task {delays[-1]:.0f} ms after leaving" if late else ""
        )
    figures = {"leaving_last_job_max_ms": max(last_job_ms)} if last_job_ms else {}
    return make_finding("leaving_upstream", results, **figures)


@check("graceful_stop")
def graceful_stop(history: History) -> Finding:
    """Check that planned stops of entry VMs and workers interrupt nothing.

    An interruption is a task that its worker reports as cut, a task still running when its worker
    rebooted, or a connection that a caller lost to an entry VM during its planned stop. The stop
    lasts ``STOP_DURATION_MS``, or until ``STOP_MARGIN_MS`` after the runner saw the process end if
    that is earlier, since a replacement serves there afterwards. A lost connection does not count
    if the runner killed, paused or cut off that entry VM after the submission. A caller records a
    refused connection as ``not_run``, not as a lost one.
    """
    cuts = [
        f"{span.request_id} was cut at {span.worker} ({span.ended_by})"
        for span in task_spans(history)
        if span.ended_by in ("cut", "rebooted")
    ]
    submissions = history.by_request("caller", "submit")
    stops = history.select("runner", "planned_stop")
    faults = history.select("runner", "kill", "pause", "cut")
    for lost in history.select("caller", "connection_lost"):
        sent = submissions.get(lost["request_id"], [])
        entry = lost.get("entry") or (sent[-1].get("entry") if sent else None)
        sent_ms = sent[-1].at_ms if sent else lost.at_ms
        stopped = any(
            entry in targets_of(stop)
            and stop.at_ms <= lost.at_ms <= _stop_end_ms(history, stop, entry)
            for stop in stops
        )
        excused = any(
            entry in targets_of(fault) and sent_ms <= fault.at_ms <= lost.at_ms for fault in faults
        )
        if stopped and not excused:
            cuts.append(f"{lost['request_id']} lost its connection to {entry}")
    stop_count = len(stops) + len(history.select("worker", "leaving"))
    return make_finding("graceful_stop", [*cuts, *[""] * stop_count], cut_by_planned_stop=len(cuts))


def _stop_end_ms(history: History, stop: Event, entry: str) -> float:
    """Return until when a lost connection is attributed to a planned stop of an entry VM."""
    ends = (
        event.at_ms + STOP_MARGIN_MS
        for event in history.select("runner", "stopped")
        if entry in targets_of(event) and event.at_ms >= stop.at_ms
    )
    return min(stop.at_ms + STOP_DURATION_MS, min(ends, default=math.inf))


@check("availability_budget")
def availability_budget(history: History) -> Finding:
    """Check that planned departures of VMs stay within the availability budget of their pool.

    A VM departs with a worker's ``leaving`` event or a platform state. The log's records up to
    then, replayed by ``VmModel``, must permit it: a begun stop or a move within the pool's budget.
    The pool's VMs that have departed as planned and are not back must also fit the budget.
    Departures that the runner caused by ``planned_stop``, ``kill`` or ``fault`` are not checked.
    The planned ones among them count against the budget once the log has the VM out of service,
    at the latest ``LEAVING_BOUND_MS`` after it left, since the entry VMs notice them with a delay.
    """
    caused_by_runner: set[str] = set()
    runner_departures_ms: dict[str, float] = {}
    departed: set[str] = set()
    serving: set[str] = set()
    results: list[str] = []
    for event, model in _events_with_vm_model(history):
        if event.source == "runner" and event.event in ("planned_stop", "kill", "fault"):
            caused_by_runner |= targets_of(event)
        elif event.source == "runner" and event.get("failure") == "upstream_drained":
            # This failure may drain a VM and then reboot it; until it ends, it caused both.
            if event.event == "failure_ends":
                caused_by_runner &= departed
        elif event.event == "append":
            before = serving
            serving = {name for name, vm in model.vms.items() if vm.state == "in_service"}
            departed -= serving - before
        departure = _departure(event)
        if departure is None or departure[0] not in model.vms:
            continue
        name, departs = departure
        if not departs:
            departed.discard(name)
            if event.event != "serving":
                caused_by_runner.discard(name)
            runner_departures_ms.pop(name, None)
        elif name not in departed:
            departed.add(name)
            if name in caused_by_runner:
                runner_departures_ms[name] = event.at_ms
                continue
            known = {
                vm
                for vm in departed
                if model.vms[vm].state != "in_service"
                or event.at_ms - runner_departures_ms.get(vm, -math.inf) > LEAVING_BOUND_MS
            }
            results.append(_departure_violation(model, known, name))
    return make_finding("availability_budget", results)


def _events_with_vm_model(history: History) -> Iterator[tuple[Event, VmModel]]:
    model = VmModel()
    seen: set[tuple[str, int]] = set()
    for event in history.events:
        if event.event == "append" and event["stream"] == "fleet":
            for data in event["records"]:
                if (data["batch_id"], data["index"]) not in seen:
                    seen.add((data["batch_id"], data["index"]))
                    model.apply(data["kind"], data["record"])
        yield event, model


def _departure(event: Event) -> tuple[str, bool] | None:
    if event.source == "worker" and event.event in ("leaving", "rebooted", "serving"):
        return event.name, event.event == "leaving"
    if event.source == "platform" and event.event == "vm_state":
        if event["state"] in FAILED_VM_STATES:
            return None
        return event["vm"], event["state"] not in LIVE_VM_STATES
    return None


def _departure_violation(model: VmModel, departed: set[str], name: str) -> str:
    vm = model.vms[name]
    if vm.state not in ("stopping", "draining"):
        return f"{name} of pool {vm.pool} departed, but is {vm.state} in the log"
    out_count = len(departed & set(model.members(vm.pool)))
    if not model.within_budget(vm.pool, out_count):
        return f"{out_count} VMs of pool {vm.pool} out as planned, above its budget"
    return ""


@check("one_pool_per_vm")
def one_pool_per_vm(history: History) -> Finding:
    """Check that a VM runs only jobs of its pool, and never jobs of two pools at once.

    At the start of a job whose queue belongs to a pool, the VM must be in that pool or have been
    in it during the last ``CONFIG_BOUND_MS``, by the log's records as replayed by ``VmModel``. No
    task of another pool's queue may still run on the VM.
    """
    queue_pools: dict[str, set[str]] = defaultdict(set)
    for version in config_versions(history):
        for queue, pool in version.queue_pools.items():
            queue_pools[queue].add(pool)
    pools_of = {
        request_id: queue_pools[sent[0]["queue"]]
        for request_id, sent in history.by_request("caller", "submit").items()
    }
    pool_spans = _pool_spans(history)
    running: dict[str, list[tuple[float, str]]] = defaultdict(list)
    results: list[str] = []
    for span in task_spans(history):
        pools = pools_of.get(span.request_id)
        if not pools or span.worker not in pool_spans:
            continue
        running[span.worker] = [task for task in running[span.worker] if task[0] > span.start_ms]
        mixed = any(pools.isdisjoint(pools_of[other]) for _, other in running[span.worker])
        running[span.worker].append((span.end_ms, span.request_id))
        allowed = {
            pool
            for from_ms, to_ms, pool in pool_spans[span.worker]
            if from_ms <= span.start_ms <= to_ms + CONFIG_BOUND_MS
        }
        names = "/".join(sorted(pools))
        if pools.isdisjoint(allowed):
            results.append(
                f"{span.worker} ran {span.request_id} of pool {names} without being in it"
            )
        else:
            results.append(
                f"{span.worker} ran jobs of {names} and of another pool at once" if mixed else ""
            )
    return make_finding("one_pool_per_vm", results)


def _pool_spans(history: History) -> dict[str, list[tuple[float, float, str]]]:
    """Return the start, end and pool of each VM's pool memberships in the model."""
    spans: dict[str, list[tuple[float, float, str]]] = defaultdict(list)
    for event, model in _events_with_vm_model(history):
        if event.event != "append":
            continue
        for name, vm in model.vms.items():
            if spans[name] and spans[name][-1][2] == vm.pool:
                continue
            if spans[name]:
                spans[name][-1] = (spans[name][-1][0], event.at_ms, spans[name][-1][2])
            spans[name].append((event.at_ms, math.inf, vm.pool))
    return dict(spans)


# Configuration


@check("config_in_force")
def config_in_force(history: History) -> Finding:
    """Check that every accepted version is in force at each entry VM within the bound.

    A version is accepted when an operator or caller first sees it. Entry VMs without a status
    before that are not checked. The first status of the entry VM with that version or a later one
    must come within ``CONFIG_BOUND_MS``. The bound restarts at the end of an outage of the entry
    VM that overlaps it (see ``history.outages``). If the outage does not end, or the history ends
    before the bound, the version is not checked at that entry VM.
    """
    statuses_by_entry: dict[str, list[Event]] = defaultdict(list)
    for event in history.select("operator", "status"):
        if event.get("offset", 0) >= 0:
            statuses_by_entry[event["entry"]].append(event)
    results: list[str] = []
    delays_ms: list[float] = [0.0]
    for version in config_versions(history):
        if version.version == 0 or version.accepted_ms == math.inf:
            continue
        for entry, statuses in statuses_by_entry.items():
            if statuses[0].at_ms > version.accepted_ms:
                continue
            spans = outages(history, entry)
            deadline_ms = reachable_deadline_ms(spans, version.accepted_ms, CONFIG_BOUND_MS)
            start_ms = deadline_ms - CONFIG_BOUND_MS
            in_force_ms = next(
                (s.at_ms for s in statuses if s["config_version"] >= version.version), math.inf
            )
            if in_force_ms == math.inf and statuses[-1].at_ms <= deadline_ms:
                continue
            delays_ms.append(min(in_force_ms, statuses[-1].at_ms) - start_ms)
            late = in_force_ms > deadline_ms
            results.append(
                f"{entry} does not have version {version.version} after 9 s" if late else ""
            )
    figures = {"config_in_force_max_ms": max(delays_ms)} if results else {}
    return make_finding("config_in_force", results, **figures)


@check("config_never_reverts")
def config_never_reverts(history: History) -> Finding:
    """Check that no entry VM goes back to an older version and that no publish is lost.

    - The versions in the statuses that one operator gets from one entry VM never decrease, even
      across restarts.
    - A reply to a job that was submitted later than ``CONFIG_BOUND_MS`` after a version was
      accepted carries that version or a later one. The bound restarts at the end of an outage of
      the replying entry VM that overlaps it, as in ``config_in_force``.
    - No two publishes are accepted with the same version, since one of them would be lost.
    """
    results: list[str] = []
    seen: dict[tuple[str, str], list[int]] = defaultdict(list)
    for event in history.select("operator", "status"):
        seen[event.name, event["entry"]].append(event["config_version"])
    for (_, entry), versions in seen.items():
        drops = list(pairwise_drops(versions))
        results += [f"{entry} went back from version {a} to {b}" for a, b in drops]
        results += [""] * (len(versions) - 1 - len(drops))
    published: set[int] = set()
    for event in history.select("operator", "publish_reply"):
        if event.get("accepted"):
            is_duplicate = event["version"] in published
            results.append(
                f"two publishes were accepted as version {event['version']}" if is_duplicate else ""
            )
            published.add(event["version"])
    results += _reply_versions(history)
    return make_finding("config_never_reverts", results)


def _reply_versions(history: History) -> Iterator[str]:
    submissions = history.by_request("caller", "submit")
    versions = [v for v in config_versions(history) if v.accepted_ms < math.inf]
    deadlines: dict[str, list[tuple[float, int]]] = {}
    for event in history.select("caller", "reply", "query_reply"):
        version = event.get("config_version")
        if version is None:
            continue
        entry = event.get("entry") or ""
        if entry not in deadlines:
            spans = outages(history, entry)
            deadlines[entry] = [
                (reachable_deadline_ms(spans, v.accepted_ms, CONFIG_BOUND_MS), v.version)
                for v in versions
            ]
        sent = [s.at_ms for s in submissions.get(event["request_id"], []) if s.at_ms < event.at_ms]
        asked_ms = sent[-1] if sent and event.event == "reply" else event.at_ms
        required_version = max(
            (number for due_ms, number in deadlines[entry] if due_ms < asked_ms), default=0
        )
        yield (
            f"{entry} replied with version {version}, expected {required_version} or later"
            if version < required_version
            else ""
        )


# Running all checks

DEFAULT_FIGURES: Mapping[str, float | None] = {
    "max_over_limit": 0,
    "guarded_started_twice": 0,
    "false_not_run": 0,
    "lost": 0,
    "cut_by_planned_stop": 0,
    "config_in_force_max_ms": None,
    "key_last_use_max_ms": None,
    "leaving_last_job_max_ms": None,
}


def run_checks(history: History) -> list[Finding]:
    """Return the findings of all registered checks."""
    return [evaluate(history) for _, evaluate in CHECKS.items()]


def totals(history: History, findings: Iterable[Finding]) -> dict[str, float | None]:
    """Return job counts and the figures of the findings.

    ``doubled`` counts jobs that finished more than once, ``outcome_unknown`` jobs with that
    outcome in their last reply. A figure in milliseconds is None if nothing was measured.
    """
    replies = history.by_request("caller", "reply", "query_reply")
    received = [{event["outcome"] for event in events} for events in replies.values()]
    finished = history.by_request("worker", "finished").values()
    result: dict[str, float | None] = {
        "accepted": sum("accepted" in outcomes for outcomes in received),
        "answered": sum("answered" in outcomes for outcomes in received),
        "doubled": sum(len(events) > 1 for events in finished),
        "refused_not_run": sum("not_run" in outcomes for outcomes in received),
        "outcome_unknown": sum(e[-1]["outcome"] == "outcome_unknown" for e in replies.values()),
        **DEFAULT_FIGURES,
    }
    for finding in findings:
        result.update(finding.figures)
    return result


def report(
    directory: Annotated[Path, typer.Argument(help="Directory with *.jsonl files.")],
) -> None:
    """Print the verdict of every check and the totals; exit with 1 if a guarantee is broken."""
    history = read_history(directory)
    findings = run_checks(history)
    for finding in findings:
        print(f"{finding.name}: {finding.verdict}  (events judged: {finding.event_count})")
        for detail in finding.details[:PRINTED_DETAIL_COUNT]:
            print(f"{finding.name}: {detail}", file=sys.stderr)
    print(json.dumps(totals(history, findings)))
    raise typer.Exit(int(any(finding.verdict is Verdict.BROKEN for finding in findings)))


if __name__ == "__main__":
    typer.run(report)
