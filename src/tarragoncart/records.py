"""Classes of log records, and their JSON encoding."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
from attrs import field, frozen

from .errors import RecordError
from .model import FleetConfig, KeyGrant, Member, Outcome
from .registry import Registry

RECORD_KINDS: Registry[type] = Registry("record kind")

R = TypeVar("R", bound=type)

ANY_REVISION = -1


def record_kind(name: str) -> Callable[[R], R]:
    """Register a class as the record kind ``name``."""
    register = RECORD_KINDS.register(name)

    def decorate(cls: R) -> R:
        cls.kind = name  # type: ignore[attr-defined]
        register(cls)
        return cls

    return decorate


@record_kind("publish")
@frozen
class Publish:
    """Publishes a configuration; rejected unless ``base_version`` is the current version."""

    base_version: int
    config: FleetConfig


@record_kind("key_grant")
@frozen
class GrantKey:
    """Makes an API key valid."""

    grant: KeyGrant


@record_kind("key_withdraw")
@frozen
class WithdrawKey:
    """Makes an API key invalid."""

    key_id: str


@record_kind("join")
@frozen
class Join:
    """Adds a new incarnation of an entry VM to the members."""

    member: Member


@record_kind("retire")
@frozen
class Retire:
    """Removes an incarnation from the members; its rights are held until released."""

    incarnation: str
    cause: str


@record_kind("take")
@frozen
class TakeRights:
    """Assigns unassigned rights of a team to an incarnation."""

    team: str
    incarnation: str
    count: int


@record_kind("transfer")
@frozen
class TransferRights:
    """Transfers rights of a team between incarnations.

    :param receiver: empty to make the rights unassigned.
    """

    team: str
    giver: str
    receiver: str
    count: int


@record_kind("settle")
@frozen
class SettleRights:
    """Makes held rights of a member unassigned, once the jobs that ran under them have ended.

    They are held because the team's limit was lowered.

    :param held_count: number of rights that the member believes to be held. A later limit may have
        changed it; the record is then rejected.
    """

    team: str
    incarnation: str
    held_count: int
    count: int


@record_kind("release")
@frozen
class ReleaseRights:
    """Makes the held rights of a retired incarnation unassigned; its jobs can no longer run."""

    incarnation: str


@record_kind("accept")
@frozen
class AcceptJob:
    """Accepts a deferred job."""

    request_id: str
    queue: str
    team: str
    body_digest: str
    payload: Any
    declared_run_ms: float
    incarnation: str = ""


@record_kind("claim")
@frozen
class ClaimJob:
    """Gives an incarnation the exclusive right to attempt a job at the named worker.

    :param boot_id: boot ID of the worker. If it has restarted since, its guard no longer knows
        whether the job ran.
    :param body_digest: set for a job that has no ``accept`` record.
    :param team: the job's team, empty for an open queue.
    """

    request_id: str
    epoch: int
    incarnation: str
    worker: str = ""
    boot_id: str = ""
    body_digest: str = ""
    team: str = ""


@record_kind("finish")
@frozen
class FinishJob:
    """Records the outcome of a job.

    :param epoch: claim epoch of the author; 0 if the job was never claimed.
    """

    request_id: str
    outcome: Outcome
    epoch: int = 0
    body: Any = None
    succeeded: bool = True
    code: str = ""


@record_kind("cancel")
@frozen
class CancelJob:
    """Cancels a deferred job at its caller's request."""

    request_id: str


@record_kind("reserve_stop")
@frozen
class ReserveStop:
    """Reserves a planned stop of a VM, subject to its pool's availability budget.

    :param revision: here and in the other records about a VM, the VM's revision on which the author
        based its decision. The record is rejected if the revision has changed, so that a delayed
        copy of a step cannot act on a later operation. ``ANY_REVISION`` skips this check.
    """

    vm: str
    wave: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("begin_stop")
@frozen
class BeginStop:
    """Begins a reserved stop, or cancels it if the availability budget is now exceeded.

    :param boot_id: boot ID of the worker before its reboot, empty if unknown.
    """

    vm: str
    boot_id: str = ""
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("cancel_stop")
@frozen
class CancelStop:
    """Cancels a reserved stop or a move."""

    vm: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("move")
@frozen
class MoveVm:
    """Begins the move of a VM to another pool by draining it."""

    vm: str
    from_pool: str
    to_pool: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("drained")
@frozen
class VmDrained:
    """Puts a moving VM that has drained into its new pool."""

    vm: str
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("vm_failed")
@frozen
class VmFailed:
    """Records that a VM has failed, also during a planned operation."""

    vm: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("vm_back")
@frozen
class VmBack:
    """Returns a stopped, moved or failed VM to service; the platform no longer drains it."""

    vm: str
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("wave_start")
@frozen
class StartWave:
    """Starts a maintenance wave over the VMs of some pools."""

    wave: str
    pools: tuple[str, ...]
    cause: str


@record_kind("wave_control")
@frozen
class ControlWave:
    """Resumes or cancels a wave; ``event`` is an event of the wave chart."""

    wave: str
    event: str


@record_kind("snapshot")
@frozen
class SnapshotPart:
    """One part of a snapshot of the state after ``through_offset``."""

    snapshot_id: str
    through_offset: int
    part: int
    part_count: int
    data: str = field(repr=False)


@frozen
class Envelope:
    """A record with its author, time and position in a batch.

    :param batch_id: batch in which the record was appended.
    :param index: position in the batch; with ``batch_id`` it identifies duplicates.
    :param author: operator or entry VM.
    :param at_ms: wall-clock milliseconds since the epoch, for the audit trail and for the ages
        of claims and snapshots.
    """

    batch_id: str
    index: int
    author: str
    at_ms: int
    record: Any


@functools.cache
def converter() -> cattrs.Converter:
    """Return the shared converter, which refuses unknown keys."""
    return cattrs.Converter(forbid_extra_keys=True)


def encode_record(envelope: Envelope) -> dict[str, Any]:
    """Return the JSON form of a record."""
    return {
        "batch_id": envelope.batch_id,
        "index": envelope.index,
        "kind": envelope.record.kind,
        "author": envelope.author,
        "at_ms": envelope.at_ms,
        "record": converter().unstructure(envelope.record),
    }


def decode_record(data: dict[str, Any]) -> Envelope:
    """Return the record of a JSON form.

    :raises RecordError: if the kind is unknown or a field is missing or wrong.
    """
    try:
        record: Any = converter().structure(data["record"], RECORD_KINDS.get(data["kind"]))
        return Envelope(data["batch_id"], data["index"], data["author"], data["at_ms"], record)
    except Exception as error:
        raise RecordError(f"undecodable record: {error}", step="decode record") from error
