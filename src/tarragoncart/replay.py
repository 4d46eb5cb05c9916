"""Deterministic replay of the log: the same records give the same state on every entry VM."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

from attrs import evolve

from . import defaults, records
from .fleetstate import (
    HANDLERS,
    VM_CHART,
    WAVE_CHART,
    Applied,
    AuditEntry,
    FleetState,
    FleetView,
    JobState,
    Ruling,
    TeamRights,
    VmState,
    WaveState,
    handles,
    rejected,
)
from .model import Outcome
from .records import Envelope
from .vmhandlers import (
    VM_ACTIONS,
    WAVE_ACTIONS,
    budget_refusal,
    finish_wave_if_done,
    pool_refusal,
    unavailable_count,
)

# Includes names of ``fleetstate`` and ``vmhandlers`` that other modules import from here.
__all__ = [
    "Applied",
    "AuditEntry",
    "FleetState",
    "FleetView",
    "JobState",
    "TeamRights",
    "VM_ACTIONS",
    "VM_CHART",
    "VmState",
    "WAVE_ACTIONS",
    "WAVE_CHART",
    "WaveState",
    "apply",
    "budget_refusal",
    "handles",
    "pool_refusal",
    "resize_rights",
    "unavailable_count",
    "view_of",
]

# Number of recent batches in which duplicates are detected. This covers every batch that may still
# be in flight: the log takes a few hundred appends per second and a batch is resent within seconds.
DEDUPLICATED_BATCH_COUNT = 4_096


def apply(state: FleetState, offset: int, envelope: Envelope) -> Applied | None:
    """Apply one record to the state; return None for a duplicate, which has no effect."""
    state.offset = max(state.offset, offset)
    if _is_duplicate(state, envelope):
        return None
    handler, sections = HANDLERS[type(envelope.record)]
    ruling = handler(state, envelope.record, envelope)
    entry = AuditEntry(
        offset=offset,
        at_ms=envelope.at_ms,
        author=envelope.author,
        kind=envelope.record.kind,
        subjects=ruling.subjects,
        accepted=ruling.accepted,
        reason=ruling.reason,
    )
    state.audit.append(entry)
    return Applied(entry, sections if ruling.accepted else frozenset())


def _is_duplicate(state: FleetState, envelope: Envelope) -> bool:
    if envelope.index <= state.batches.get(envelope.batch_id, -1):
        return True
    state.batches[envelope.batch_id] = envelope.index
    while len(state.batches) > DEDUPLICATED_BATCH_COUNT:
        del state.batches[next(iter(state.batches))]
    return False


def view_of(state: FleetState, previous: FleetView, sections: frozenset[str]) -> FleetView:
    """Return a view that copies the changed sections and shares the others with ``previous``."""
    changes: dict[str, Any] = {"offset": state.offset}
    for section in sections - {"jobs"}:
        value = getattr(state, section)
        changes[section] = MappingProxyType(dict(value)) if isinstance(value, dict) else value
    return evolve(previous, **changes)


# Configuration and keys


@handles(records.Publish, "config", "config_version", "rights", "vms", "waves")
def _publish(state: FleetState, record: records.Publish, _: Envelope) -> Ruling:
    if record.base_version != state.config_version:
        return rejected(f"version {state.config_version} is in force", "config")
    state.config = record.config
    state.config_version += 1
    _update_vms(state)
    _update_rights(state)
    return Ruling(("config",), reason=f"version {state.config_version}")


def _update_vms(state: FleetState) -> None:
    # A publish adds and removes VMs; a known VM stays in the pool to which it has been moved.
    specs = {spec.name: spec for spec in state.config.vms}
    pools = {pool.name for pool in state.config.pools}
    for name in set(state.vms) - set(specs):
        del state.vms[name]
    for wave in state.waves.values():
        pending = tuple(name for name in wave.pending if name in specs)
        state.waves[wave.wave] = finish_wave_if_done(evolve(wave, pending=pending))
    for name, spec in specs.items():
        known = state.vms.get(name)
        if known is None:
            state.vms[name] = VmState(spec, spec.pool)
        else:
            # A VM whose pool was removed joins its configured pool and keeps its state, because it
            # may be out of service.
            pool = known.pool if known.pool in pools else spec.pool
            state.vms[name] = evolve(known, spec=spec, pool=pool)


def _update_rights(state: FleetState) -> None:
    limits = {team.name: team.upper_limit_count for team in state.config.teams}
    for team in {**state.rights, **limits}:
        known = state.rights.get(team, TeamRights(0, 0))
        _set_rights(state, team, resize_rights(known, limits.get(team, 0)), team in limits)


def _team_names(state: FleetState) -> set[str]:
    return {team.name for team in state.config.teams}


def _set_rights(state: FleetState, team: str, rights: TeamRights, configured: bool) -> None:
    # Held rights are kept after their team is removed: if it is configured again, the jobs that
    # may still run count against its new limit.
    if configured or rights.held:
        state.rights[team] = rights
    else:
        state.rights.pop(team, None)


def resize_rights(rights: TeamRights, limit_count: int) -> TeamRights:
    """Return the division of rights under a new limit.

    If more rights are assigned and held than the limit allows, all become held: jobs may run under
    each, and only the holders know how many do. Rights that a holder settles become unassigned.
    """
    held = rights.held
    holders = rights.holders
    if sum(holders.values()) + sum(held.values()) > limit_count:
        held = {name: held.get(name, 0) + holders.get(name, 0) for name in {**held, **holders}}
        holders = {}
    assigned = sum(holders.values()) + sum(held.values())
    return evolve(
        rights,
        limit_count=limit_count,
        unassigned_count=max(0, limit_count - assigned),
        holders=holders,
        held=held,
    )


@handles(records.GrantKey, "keys")
def _grant_key(state: FleetState, record: records.GrantKey, _: Envelope) -> Ruling:
    state.keys[record.grant.key_id] = record.grant
    return Ruling((record.grant.key_id, record.grant.team))


@handles(records.WithdrawKey, "keys")
def _withdraw_key(state: FleetState, record: records.WithdrawKey, _: Envelope) -> Ruling:
    grant = state.keys.pop(record.key_id, None)
    if grant is None:
        return rejected("key is not granted", record.key_id)
    return Ruling((record.key_id, grant.team))


# Members and rights


@handles(records.Join, "members")
def _join(state: FleetState, record: records.Join, _: Envelope) -> Ruling:
    member = record.member
    if member.incarnation in state.retired:
        return rejected("incarnation is retired", member.name)
    state.members[member.incarnation] = member
    return Ruling((member.name, member.incarnation))


@handles(records.Retire, "members", "retired", "rights")
def _retire(state: FleetState, record: records.Retire, _: Envelope) -> Ruling:
    member = state.members.pop(record.incarnation, None)
    if member is None:
        return rejected("incarnation is not a member", record.incarnation)
    state.retired[record.incarnation] = member.name
    for team, rights in state.rights.items():
        holders = dict(rights.holders)
        count = holders.pop(record.incarnation, 0)
        if count:
            held = _add(rights.held, record.incarnation, count)
            state.rights[team] = evolve(rights, holders=holders, held=held)
    return Ruling((member.name, record.incarnation), reason=record.cause)


@handles(records.ReleaseRights, "retired", "rights")
def _release(state: FleetState, record: records.ReleaseRights, _: Envelope) -> Ruling:
    if record.incarnation not in state.retired:
        return rejected("incarnation is not retired", record.incarnation)
    configured = _team_names(state)
    for team, rights in list(state.rights.items()):
        if record.incarnation in rights.held:
            held = {k: v for k, v in rights.held.items() if k != record.incarnation}
            rights = resize_rights(evolve(rights, held=held), rights.limit_count)
            _set_rights(state, team, rights, team in configured)
    return Ruling((state.retired[record.incarnation], record.incarnation))


@handles(records.SettleRights, "rights")
def _settle(state: FleetState, record: records.SettleRights, _: Envelope) -> Ruling:
    rights = state.rights.get(record.team)
    held_count = rights.held.get(record.incarnation, 0) if rights else 0
    if rights is None or record.incarnation not in state.members:
        return rejected("unknown team or incarnation", record.team, record.incarnation)
    if record.held_count != held_count or not 0 < record.count <= held_count:
        return rejected(f"{held_count} rights are held", record.team, record.incarnation)
    held = _add(rights.held, record.incarnation, -record.count)
    rights = resize_rights(evolve(rights, held=held), rights.limit_count)
    _set_rights(state, record.team, rights, record.team in _team_names(state))
    return Ruling((record.team, record.incarnation), reason=f"{record.count} rights")


@handles(records.TakeRights, "rights")
def _take(state: FleetState, record: records.TakeRights, _: Envelope) -> Ruling:
    rights = state.rights.get(record.team)
    if rights is None or record.incarnation not in state.members:
        return rejected("unknown team or incarnation", record.team, record.incarnation)
    count = min(record.count, rights.unassigned_count)
    if count <= 0:
        return rejected("no rights are unassigned", record.team, record.incarnation)
    state.rights[record.team] = evolve(
        rights,
        unassigned_count=rights.unassigned_count - count,
        holders=_add(rights.holders, record.incarnation, count),
    )
    return Ruling((record.team, record.incarnation), reason=f"{count} rights")


@handles(records.TransferRights, "rights")
def _transfer(state: FleetState, record: records.TransferRights, _: Envelope) -> Ruling:
    rights = state.rights.get(record.team)
    if rights is None or record.giver not in state.members:
        return rejected("unknown team or giver", record.team, record.giver)
    # A publish may have reduced the giver's rights after the giver had sent the record.
    count = min(record.count, rights.holders.get(record.giver, 0))
    if count <= 0:
        return rejected("the giver has no rights", record.team, record.giver)
    holders = _add(rights.holders, record.giver, -count)
    unassigned_count = rights.unassigned_count
    if record.receiver in state.members:
        holders = _add(holders, record.receiver, count)
    else:
        unassigned_count += count
    state.rights[record.team] = evolve(rights, holders=holders, unassigned_count=unassigned_count)
    return Ruling((record.team, record.giver, record.receiver), reason=f"{count} rights")


def _add(counts: Mapping[str, int], name: str, count: int) -> dict[str, int]:
    result = {**counts, name: counts.get(name, 0) + count}
    if not result[name]:
        del result[name]
    return result


# Jobs


@handles(records.AcceptJob, "jobs")
def _accept(state: FleetState, record: records.AcceptJob, envelope: Envelope) -> Ruling:
    known = state.jobs.get(record.request_id)
    if known is not None:
        same = (known.body_digest, known.team) == (record.body_digest, record.team)
        return rejected("duplicate" if same else "different_body", record.request_id)
    if _short_digest(record.request_id) in state.expired:
        return rejected("expired", record.request_id)
    state.jobs[record.request_id] = JobState(
        request_id=record.request_id,
        queue=record.queue,
        team=record.team,
        body_digest=record.body_digest,
        payload=record.payload,
        declared_run_ms=record.declared_run_ms,
        owner=record.incarnation,
    )
    _evict_finished(state)
    return Ruling((record.request_id, record.team))


@handles(records.ClaimJob, "jobs")
def _claim(state: FleetState, record: records.ClaimJob, envelope: Envelope) -> Ruling:
    subjects = (record.request_id, record.incarnation, record.worker)
    if record.incarnation not in state.members:
        return rejected("incarnation is not a member", *subjects)
    job = state.jobs.get(record.request_id)
    if job is None:
        if not record.body_digest:
            return rejected("unknown job", *subjects)
        if _short_digest(record.request_id) in state.expired:
            return rejected("expired", *subjects)
        job = JobState(
            record.request_id, queue="", team=record.team, body_digest=record.body_digest
        )
        _evict_finished(state)
    elif record.body_digest and (record.body_digest, record.team) != (job.body_digest, job.team):
        return rejected("different_body", *subjects)
    refusal = _claim_refusal(state, job, record)
    if refusal:
        return rejected(refusal, *subjects)
    state.jobs[record.request_id] = evolve(
        job,
        claim_epoch=record.epoch,
        claimed_by=record.incarnation,
        claimed_worker=record.worker,
        claimed_boot_id=record.boot_id,
        claimed_at_ms=envelope.at_ms,
    )
    return Ruling(subjects)


def _claim_refusal(state: FleetState, job: JobState, record: records.ClaimJob) -> str:
    if job.outcome is not None:
        return "finished"
    if record.epoch != job.claim_epoch + 1:
        return f"claimed in epoch {job.claim_epoch}"
    if job.claimed_by in state.members and job.claimed_by != record.incarnation:
        return "the claimant is a member"
    return ""


@handles(records.FinishJob, "jobs")
def _finish(state: FleetState, record: records.FinishJob, envelope: Envelope) -> Ruling:
    job = state.jobs.get(record.request_id)
    if job is None:
        return rejected("unknown job", record.request_id)
    if job.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        return rejected("finished", record.request_id)
    # Only the current claimant knows whether a job did not run; a result is valid from any author.
    if record.outcome is not Outcome.ANSWERED and record.epoch != job.claim_epoch:
        return rejected(f"claimed in epoch {job.claim_epoch}", record.request_id)
    state.jobs[record.request_id] = evolve(
        job,
        outcome=record.outcome,
        body=record.body,
        succeeded=record.succeeded,
        code=record.code,
        payload=None,
    )
    if job.outcome is None:
        state.finished.append(record.request_id)
    _evict_finished(state)
    return Ruling((record.request_id,), reason=record.outcome)


@handles(records.CancelJob, "jobs")
def _cancel(state: FleetState, record: records.CancelJob, envelope: Envelope) -> Ruling:
    job = state.jobs.get(record.request_id)
    if job is None or job.outcome is not None:
        return rejected("unknown or finished job", record.request_id)
    if job.claim_epoch:
        return rejected("claimed", record.request_id)
    state.jobs[record.request_id] = evolve(
        job, outcome=Outcome.NOT_RUN, code="cancelled", payload=None
    )
    state.finished.append(record.request_id)
    return Ruling((record.request_id,))


def _evict_finished(state: FleetState) -> None:
    # Evicts by count and not by time, so that a wrong clock of one entry VM does not make the
    # others evict jobs.
    while len(state.finished) > defaults.FINISHED_JOB_LIMIT_COUNT:
        request_id = state.finished.popleft()
        del state.jobs[request_id]
        state.expired[_short_digest(request_id)] = None
    while len(state.expired) > defaults.EXPIRED_JOB_LIMIT_COUNT:
        del state.expired[next(iter(state.expired))]


def _short_digest(request_id: str) -> str:
    return hashlib.blake2b(request_id.encode(), digest_size=8).hexdigest()
