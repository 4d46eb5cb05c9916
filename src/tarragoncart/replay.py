"""Deterministic replay of the log: the same records give the same state on every entry VM."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

from attrs import Factory, define, evolve, field, frozen

from . import defaults, records
from .charts import load_chart
from .model import FleetConfig, KeyGrant, Member, Outcome, PoolSpec, VmSpec
from .records import Envelope
from .registry import Registry

VM_CHART = load_chart("vm")
WAVE_CHART = load_chart("wave")
VM_ACTIONS: Registry[Callable[[FleetState, VmState], None]] = Registry("VM action")
WAVE_ACTIONS: Registry[Callable[[WaveState], WaveState]] = Registry("wave action")


@frozen
class TeamRights:
    """Division of a team's upper limit.

    :param holders: rights of live incarnations.
    :param held: rights under which tasks may still run although nothing may start: those of
        retired incarnations, and those that a lower limit has taken from live ones.
    """

    limit_count: int
    unassigned_count: int
    holders: Mapping[str, int] = Factory(dict)
    held: Mapping[str, int] = Factory(dict)


@frozen
class VmState:
    """Where a VM is and what happens to it; ``state`` is a state of the VM chart.

    :param boot_id: of the worker when its stop began.
    :param drain_asked: the platform may still drain the VM for an operation that has ended.
    :param revision: number of changes of ``state``.
    """

    spec: VmSpec
    pool: str
    state: str = VM_CHART.initial
    wave: str = ""
    target_pool: str = ""
    cause: str = ""
    boot_id: str = ""
    drain_asked: bool = False
    revision: int = 0


@frozen
class WaveState:
    """Progress of a maintenance wave; ``state`` is a state of the wave chart."""

    wave: str
    pending: tuple[str, ...]
    state: str = WAVE_CHART.initial
    failed: tuple[str, ...] = ()
    failure_count: int = 0


@frozen
class JobState:
    """A job that the log knows; ``owner`` is the incarnation that accepted it."""

    request_id: str
    queue: str
    team: str
    body_digest: str
    payload: Any = field(repr=False, default=None)
    declared_run_ms: float = 0.0
    owner: str = ""
    claim_epoch: int = 0
    claimed_by: str = ""
    claimed_worker: str = ""
    claimed_boot_id: str = ""
    claimed_at_ms: int = 0
    outcome: Outcome | None = None
    body: Any = field(repr=False, default=None)
    succeeded: bool = True
    code: str = ""


@frozen
class AuditEntry:
    """One line of the audit trail: who changed what, when, why, and whether it counted."""

    offset: int
    at_ms: int
    author: str
    kind: str
    subjects: tuple[str, ...]
    accepted: bool
    reason: str


@frozen
class Ruling:
    """Decision of a handler on one record."""

    subjects: tuple[str, ...]
    accepted: bool = True
    reason: str = ""


@define
class FleetState:
    """All state that replay derives from the log.

    :param finished: request IDs of ended jobs, oldest first.
    :param expired: digests of request IDs whose jobs have been dropped, so that none of them
        starts a second time.
    """

    offset: int = -1
    config_version: int = 0
    config: FleetConfig = FleetConfig()
    keys: dict[str, KeyGrant] = Factory(dict)
    members: dict[str, Member] = Factory(dict)
    retired: dict[str, str] = Factory(dict)
    rights: dict[str, TeamRights] = Factory(dict)
    vms: dict[str, VmState] = Factory(dict)
    waves: dict[str, WaveState] = Factory(dict)
    jobs: dict[str, JobState] = Factory(dict)
    finished: deque[str] = Factory(deque)
    expired: dict[str, None] = Factory(dict)
    batches: dict[str, int] = Factory(dict)
    audit: deque[AuditEntry] = Factory(lambda: deque(maxlen=defaults.AUDIT_ENTRY_COUNT))


@frozen
class FleetView:
    """Read-only copy of the state, without jobs, that other actors get."""

    offset: int = -1
    config_version: int = 0
    config: FleetConfig = FleetConfig()
    keys: Mapping[str, KeyGrant] = MappingProxyType({})
    members: Mapping[str, Member] = MappingProxyType({})
    retired: Mapping[str, str] = MappingProxyType({})
    rights: Mapping[str, TeamRights] = MappingProxyType({})
    vms: Mapping[str, VmState] = MappingProxyType({})
    waves: Mapping[str, WaveState] = MappingProxyType({})


@frozen
class Applied:
    """What one record did.

    :param sections: names of the state's attributes that changed.
    """

    entry: AuditEntry
    sections: frozenset[str]


Handler = Callable[[FleetState, Any, Envelope], Ruling]
_HANDLERS: dict[type, tuple[Handler, frozenset[str]]] = {}

# Enough to recognise every batch that may still be in flight: the log takes some hundred appends
# a second and a batch is sent again within seconds.
BATCH_MEMORY_COUNT = 4_096


def handles(record_type: type, *sections: str) -> Callable[[Handler], Handler]:
    """Register the handler of a record type and the sections that it may change."""

    def decorate(handler: Handler) -> Handler:
        _HANDLERS[record_type] = handler, frozenset(sections)
        return handler

    return decorate


def apply(state: FleetState, offset: int, envelope: Envelope) -> Applied | None:
    """Apply one record; returns None for a copy that has been seen before."""
    state.offset = max(state.offset, offset)
    if _is_copy(state, envelope):
        return None
    handler, sections = _HANDLERS[type(envelope.record)]
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


def _is_copy(state: FleetState, envelope: Envelope) -> bool:
    if envelope.index <= state.batches.get(envelope.batch_id, -1):
        return True
    state.batches[envelope.batch_id] = envelope.index
    while len(state.batches) > BATCH_MEMORY_COUNT:
        del state.batches[next(iter(state.batches))]
    return False


def view_of(state: FleetState, previous: FleetView, sections: frozenset[str]) -> FleetView:
    """Return a view that copies the changed sections and shares the others with ``previous``."""
    changes: dict[str, Any] = {"offset": state.offset}
    for section in sections - {"jobs"}:
        value = getattr(state, section)
        changes[section] = MappingProxyType(dict(value)) if isinstance(value, dict) else value
    return evolve(previous, **changes)


def _rejected(reason: str, *subjects: str) -> Ruling:
    return Ruling(subjects, accepted=False, reason=reason)


# Configuration and keys


@handles(records.Publish, "config", "config_version", "rights", "vms", "waves")
def _publish(state: FleetState, record: records.Publish, _: Envelope) -> Ruling:
    if record.base_version != state.config_version:
        return _rejected(f"version {state.config_version} is in force", "config")
    state.config = record.config
    state.config_version += 1
    _update_vms(state)
    _update_rights(state)
    return Ruling(("config",), reason=f"version {state.config_version}")


def _update_vms(state: FleetState) -> None:
    # A known VM keeps the pool that moves have given it; a publish adds and removes VMs only.
    specs = {spec.name: spec for spec in state.config.vms}
    pools = {pool.name for pool in state.config.pools}
    for name in set(state.vms) - set(specs):
        del state.vms[name]
    for wave in state.waves.values():
        pending = tuple(name for name in wave.pending if name in specs)
        state.waves[wave.wave] = _finish_wave(evolve(wave, pending=pending))
    for name, spec in specs.items():
        known = state.vms.get(name)
        if known is None:
            state.vms[name] = VmState(spec, spec.pool)
        else:
            # A VM whose pool is gone joins its first one in the state that it is in: it may be
            # out of service.
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
    # Held rights outlast their team: if it is configured again, the tasks that may still run
    # count against its new limit.
    if configured or rights.held:
        state.rights[team] = rights
    else:
        state.rights.pop(team, None)


def resize_rights(rights: TeamRights, limit_count: int) -> TeamRights:
    """Return the division under a new limit.

    A limit below what is assigned holds back all rights: jobs may run under each of them, and
    only their holders know how many do. What a holder settles becomes unassigned again.
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
        return _rejected("key is not granted", record.key_id)
    return Ruling((record.key_id, grant.team))


# Members and rights


@handles(records.Join, "members")
def _join(state: FleetState, record: records.Join, _: Envelope) -> Ruling:
    member = record.member
    if member.incarnation in state.retired:
        return _rejected("incarnation is retired", member.name)
    state.members[member.incarnation] = member
    return Ruling((member.name, member.incarnation))


@handles(records.Retire, "members", "retired", "rights")
def _retire(state: FleetState, record: records.Retire, _: Envelope) -> Ruling:
    member = state.members.pop(record.incarnation, None)
    if member is None:
        return _rejected("incarnation is not a member", record.incarnation)
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
        return _rejected("incarnation is not retired", record.incarnation)
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
        return _rejected("unknown team or incarnation", record.team, record.incarnation)
    if record.held_count != held_count or not 0 < record.count <= held_count:
        return _rejected(f"{held_count} rights are held", record.team, record.incarnation)
    held = _add(rights.held, record.incarnation, -record.count)
    rights = resize_rights(evolve(rights, held=held), rights.limit_count)
    _set_rights(state, record.team, rights, record.team in _team_names(state))
    return Ruling((record.team, record.incarnation), reason=f"{record.count} rights")


@handles(records.TakeRights, "rights")
def _take(state: FleetState, record: records.TakeRights, _: Envelope) -> Ruling:
    rights = state.rights.get(record.team)
    if rights is None or record.incarnation not in state.members:
        return _rejected("unknown team or incarnation", record.team, record.incarnation)
    count = min(record.count, rights.unassigned_count)
    if count <= 0:
        return _rejected("no rights are unassigned", record.team, record.incarnation)
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
        return _rejected("unknown team or giver", record.team, record.giver)
    # A publish may have lowered the giver's rights after it sent the record.
    count = min(record.count, rights.holders.get(record.giver, 0))
    if count <= 0:
        return _rejected("the giver has no rights", record.team, record.giver)
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
        return _rejected("duplicate" if same else "different_body", record.request_id)
    if _short_digest(record.request_id) in state.expired:
        return _rejected("expired", record.request_id)
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
        return _rejected("incarnation is not a member", *subjects)
    job = state.jobs.get(record.request_id)
    if job is None:
        if not record.body_digest:
            return _rejected("unknown job", *subjects)
        if _short_digest(record.request_id) in state.expired:
            return _rejected("expired", *subjects)
        job = JobState(
            record.request_id, queue="", team=record.team, body_digest=record.body_digest
        )
        _evict_finished(state)
    elif record.body_digest and (record.body_digest, record.team) != (job.body_digest, job.team):
        return _rejected("different_body", *subjects)
    refusal = _claim_refusal(state, job, record)
    if refusal:
        return _rejected(refusal, *subjects)
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
        return _rejected("unknown job", record.request_id)
    if job.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        return _rejected("finished", record.request_id)
    # Only the present claimant knows that a job did not run; a result is true from anyone.
    if record.outcome is not Outcome.ANSWERED and record.epoch != job.claim_epoch:
        return _rejected(f"claimed in epoch {job.claim_epoch}", record.request_id)
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
        return _rejected("unknown or finished job", record.request_id)
    if job.claim_epoch:
        return _rejected("claimed", record.request_id)
    state.jobs[record.request_id] = evolve(
        job, outcome=Outcome.NOT_RUN, code="cancelled", payload=None
    )
    state.finished.append(record.request_id)
    return Ruling((record.request_id,))


def _evict_finished(state: FleetState) -> None:
    # By count and not by time: the clock of one entry VM must not make all others forget.
    while len(state.finished) > defaults.FINISHED_JOB_COUNT:
        request_id = state.finished.popleft()
        del state.jobs[request_id]
        state.expired[_short_digest(request_id)] = None
    while len(state.expired) > defaults.EXPIRED_JOB_COUNT:
        del state.expired[next(iter(state.expired))]


def _short_digest(request_id: str) -> str:
    return hashlib.blake2b(request_id.encode(), digest_size=8).hexdigest()


# VMs and waves


def unavailable_count(state: FleetState | FleetView, pool: str) -> int:
    """Return how many VMs of a pool are out of service, planned or not."""
    return sum(
        vm.pool == pool and vm.state not in ("in_service", "reserved") for vm in state.vms.values()
    )


def budget_refusal(state: FleetState | FleetView, pool: str, extra_count: int) -> str:
    """Tell why ``extra_count`` more VMs of a pool may not leave service; empty if they may.

    Reserved stops count as out of service, so that two accepted records cannot both use the
    last unit of the budget.
    """
    spec = next((spec for spec in state.config.pools if spec.name == pool), None)
    if spec is None:
        return f"unknown pool {pool}"
    return pool_refusal(spec, [vm for vm in state.vms.values() if vm.pool == pool], extra_count)


def pool_refusal(spec: PoolSpec, vms: Sequence[VmState], extra_count: int) -> str:
    """Tell what :func:`budget_refusal` tells, for a pool whose VMs are at hand."""
    out_count = sum(vm.state != "in_service" for vm in vms) + extra_count
    if out_count > spec.max_unavailable_count:
        limit_count = spec.max_unavailable_count
        return f"budget of {spec.name}: {out_count} of at most {limit_count} unavailable"
    if len(vms) - out_count < spec.min_available_count:
        return f"budget of {spec.name}: fewer than {spec.min_available_count} available"
    return ""


def _stale(vm: VmState | None, record: Any) -> bool:
    return vm is not None and record.revision not in (records.ANY_REVISION, vm.revision)


def _step_vm(
    state: FleetState, record: Any, event: str, reason: str = "", **changes: Any
) -> Ruling:
    name = record.vm
    vm = state.vms.get(name)
    if vm is None:
        return _rejected("unknown VM", name)
    if _stale(vm, record):
        return _rejected(f"VM is {vm.state} in a later revision", name)
    if not VM_CHART.accepts(vm.state, event):
        return _rejected(f"VM is {vm.state}", name)
    step = VM_CHART.step(vm.state, event)
    revision = vm.revision + (step.state != vm.state)
    state.vms[name] = evolve(vm, state=step.state, revision=revision, **changes)
    for action in step.actions:
        VM_ACTIONS.get(action)(state, vm)
    return Ruling((name, vm.pool), reason=reason or str(changes.get("cause", "")))


@handles(records.ReserveStop, "vms")
def _reserve_stop(state: FleetState, record: records.ReserveStop, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "in_service":
        return _rejected("VM is not in service", record.vm)
    if record.wave:
        wave = state.waves.get(record.wave)
        if wave is None or wave.state != "running" or record.vm not in wave.pending:
            return _rejected("the wave is not running or the VM is not in it", record.vm)
    refusal = budget_refusal(state, vm.pool, 1)
    if refusal:
        return _rejected(refusal, record.vm, vm.pool)
    return _step_vm(state, record, "reserve_stop", wave=record.wave, cause=record.cause)


@handles(records.BeginStop, "vms")
def _begin_stop(state: FleetState, record: records.BeginStop, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "reserved":
        return _rejected("VM has no reserved stop", record.vm)
    if _stale(vm, record):
        return _rejected("VM is reserved in a later revision", record.vm)
    refusal = budget_refusal(state, vm.pool, 0)
    if refusal:
        _step_vm(state, record, "cancel_stop", cause=refusal, wave="")
        return Ruling((record.vm, vm.pool), reason=f"cancelled: {refusal}")
    return _step_vm(
        state, record, "begin_stop", record.cause, boot_id=record.boot_id, drain_asked=True
    )


@handles(records.CancelStop, "vms")
def _cancel_stop(state: FleetState, record: records.CancelStop, _: Envelope) -> Ruling:
    return _step_vm(state, record, "cancel_stop", cause=record.cause, wave="", target_pool="")


@handles(records.MoveVm, "vms")
def _move(state: FleetState, record: records.MoveVm, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "in_service" or vm.pool != record.from_pool:
        return _rejected("VM is not in service in that pool", record.vm, record.from_pool)
    if record.to_pool not in {pool.name for pool in state.config.pools}:
        return _rejected(f"unknown pool {record.to_pool}", record.vm)
    refusal = budget_refusal(state, vm.pool, 1)
    if refusal:
        return _rejected(refusal, record.vm, vm.pool)
    return _step_vm(
        state,
        record,
        "move",
        target_pool=record.to_pool,
        cause=record.cause,
        drain_asked=True,
    )


@handles(records.VmDrained, "vms")
def _drained(state: FleetState, record: records.VmDrained, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is None or vm.state != "draining":
        return _rejected("VM is not draining", record.vm)
    if vm.target_pool not in {pool.name for pool in state.config.pools}:
        cause = f"cancelled: unknown pool {vm.target_pool}"
        return _step_vm(state, record, "cancel_stop", cause=cause, target_pool="")
    reason = f"joins {vm.target_pool}: {record.cause}" if record.cause else ""
    return _step_vm(state, record, "drained", reason)


@handles(records.VmFailed, "vms", "waves")
def _vm_failed(state: FleetState, record: records.VmFailed, _: Envelope) -> Ruling:
    return _step_vm(state, record, "vm_failed", cause=record.cause, target_pool="")


@handles(records.VmBack, "vms", "waves")
def _vm_back(state: FleetState, record: records.VmBack, _: Envelope) -> Ruling:
    vm = state.vms.get(record.vm)
    if vm is not None and vm.state == "in_service" and not vm.drain_asked:
        return _rejected("VM is in_service", record.vm)
    return _step_vm(
        state,
        record,
        "vm_back",
        record.cause,
        cause="",
        wave="",
        boot_id="",
        drain_asked=False,
    )


@handles(records.StartWave, "waves")
def _start_wave(state: FleetState, record: records.StartWave, _: Envelope) -> Ruling:
    if record.wave in state.waves:
        return _rejected("wave exists", record.wave)
    pending = tuple(sorted(name for name, vm in state.vms.items() if vm.pool in record.pools))
    if not pending:
        return _rejected("no VM is in these pools", record.wave)
    state.waves[record.wave] = WaveState(record.wave, pending)
    return Ruling((record.wave, *record.pools), reason=record.cause)


@handles(records.ControlWave, "waves")
def _control_wave(state: FleetState, record: records.ControlWave, _: Envelope) -> Ruling:
    wave = state.waves.get(record.wave)
    if wave is None or record.event not in ("resume", "cancel"):
        return _rejected("unknown wave or event", record.wave)
    if not WAVE_CHART.accepts(wave.state, record.event):
        return _rejected(f"wave is {wave.state}", record.wave)
    state.waves[record.wave] = _finish_wave(_step_wave(wave, record.event))
    return Ruling((record.wave,), reason=record.event)


def _step_wave(wave: WaveState, event: str) -> WaveState:
    step = WAVE_CHART.step(wave.state, event)
    wave = evolve(wave, state=step.state)
    for action in step.actions:
        wave = WAVE_ACTIONS.get(action)(wave)
    return wave


@WAVE_ACTIONS.register("count_failure")
def _count_failure(wave: WaveState) -> WaveState:
    return evolve(wave, failure_count=wave.failure_count + 1)


@WAVE_ACTIONS.register("reset_failures")
def _reset_failures(wave: WaveState) -> WaveState:
    return evolve(wave, failure_count=0)


@VM_ACTIONS.register("change_pool")
def _change_pool(state: FleetState, vm: VmState) -> None:
    moved = state.vms[vm.spec.name]
    state.vms[vm.spec.name] = evolve(moved, pool=vm.target_pool, target_pool="")


@VM_ACTIONS.register("count_wave_failure")
def _count_wave_failure(state: FleetState, vm: VmState) -> None:
    wave = state.waves.get(vm.wave)
    if wave is None or WAVE_CHART.is_final(wave.state):
        return
    wave = evolve(_step_wave(wave, "vm_failed"), failed=(*wave.failed, vm.spec.name))
    limit_met = wave.failure_count >= defaults.WAVE_FAILURE_LIMIT_COUNT
    if limit_met and WAVE_CHART.accepts(wave.state, "failure_limit"):
        wave = _step_wave(wave, "failure_limit")
    state.waves[vm.wave] = _without(wave, vm)


@VM_ACTIONS.register("count_wave_done")
def _count_wave_done(state: FleetState, vm: VmState) -> None:
    wave = state.waves.get(vm.wave)
    if wave is not None and not WAVE_CHART.is_final(wave.state):
        state.waves[vm.wave] = _without(_step_wave(wave, "vm_done"), vm)


def _without(wave: WaveState, vm: VmState) -> WaveState:
    """Take a VM off the pending ones, and finish the wave with the last of them."""
    pending = tuple(name for name in wave.pending if name != vm.spec.name)
    return _finish_wave(evolve(wave, pending=pending))


def _finish_wave(wave: WaveState) -> WaveState:
    """Finish a wave that has no VM left to come."""
    if wave.pending or not WAVE_CHART.accepts(wave.state, "all_done"):
        return wave
    return _step_wave(wave, "all_done")


@handles(records.SnapshotPart)
def _snapshot_part(_: FleetState, record: records.SnapshotPart, __: Envelope) -> Ruling:
    # The journal assembles snapshots when it starts; a running replay has no use for them.
    return Ruling((record.snapshot_id,))
