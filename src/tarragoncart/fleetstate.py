"""State that is replayed from the log, and the registry of the record handlers that change it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from attrs import Factory, define, field, frozen

from . import defaults
from .charts import load_chart
from .model import FleetConfig, KeyGrant, Member, Outcome, VmSpec
from .records import Envelope

VM_CHART = load_chart("vm")
WAVE_CHART = load_chart("wave")


@frozen
class TeamRights:
    """Division of a team's upper limit into rights; each right allows one running job.

    :param limit_count: the team's upper limit, 0 if the team is not configured.
    :param holders: number of rights of each live incarnation.
    :param held: number of rights, by incarnation, under which jobs may still run but none may
        start: those of retired incarnations, and those that a lower limit has taken from live
        ones.
    """

    limit_count: int
    unassigned_count: int
    holders: Mapping[str, int] = Factory(dict)
    held: Mapping[str, int] = Factory(dict)


@frozen
class VmState:
    """Pool and state of a VM, and the operation on it; ``state`` is a state of the VM chart.

    :param boot_id: boot ID of the worker when its stop began.
    :param drain_asked: an operation has begun to drain the VM and ``vm_back`` has not been recorded
        since; the platform may still drain the VM although the operation has ended.
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
    """A job that is recorded in the log; ``owner`` is the incarnation that accepted it."""

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
    """One entry of the audit trail: who changed what, when, why, and whether it was accepted."""

    offset: int
    at_ms: int
    author: str
    kind: str
    subjects: tuple[str, ...]
    accepted: bool
    reason: str


@frozen
class Ruling:
    """Decision of a handler on one record: accepted or rejected, and the reason."""

    subjects: tuple[str, ...]
    accepted: bool = True
    reason: str = ""


@define
class FleetState:
    """State that replay derives from the log.

    :param finished: request IDs of finished jobs, oldest first.
    :param expired: digests of the request IDs of evicted jobs, so that none of them starts a second
        time.
    :param batches: highest replayed index of recent batches, by batch ID.
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
    audit: deque[AuditEntry] = Factory(lambda: deque(maxlen=defaults.AUDIT_ENTRY_LIMIT_COUNT))


@frozen
class FleetView:
    """Read-only copy of the state, without jobs, for other actors."""

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
    """Effect of one record on the state.

    :param sections: names of the state's attributes that may have changed.
    """

    entry: AuditEntry
    sections: frozenset[str]


Handler = Callable[[FleetState, Any, Envelope], Ruling]
HANDLERS: dict[type, tuple[Handler, frozenset[str]]] = {}


def handles(record_type: type, *sections: str) -> Callable[[Handler], Handler]:
    """Register the handler of a record type, and the sections of the state that it may change."""

    def decorate(handler: Handler) -> Handler:
        HANDLERS[record_type] = handler, frozenset(sections)
        return handler

    return decorate


def rejected(reason: str, *subjects: str) -> Ruling:
    return Ruling(subjects, accepted=False, reason=reason)
