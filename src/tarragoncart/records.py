"""Log records as typed classes, and their encoding."""

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
    """A configuration, valid only if ``base_version`` is the version in force."""

    base_version: int
    config: FleetConfig


@record_kind("key_grant")
@frozen
class GrantKey:
    """A key starts to work."""

    grant: KeyGrant


@record_kind("key_withdraw")
@frozen
class WithdrawKey:
    """A key stops working."""

    key_id: str


@record_kind("join")
@frozen
class Join:
    """An entry VM has started."""

    member: Member


@record_kind("retire")
@frozen
class Retire:
    """An incarnation ends; its rights are held until released."""

    incarnation: str
    cause: str


@record_kind("take")
@frozen
class TakeRights:
    """A holder draws unassigned rights."""

    team: str
    incarnation: str
    count: int


@record_kind("transfer")
@frozen
class TransferRights:
    """A giver passes rights on; an empty ``receiver`` returns them to the unassigned."""

    team: str
    giver: str
    receiver: str
    count: int


@record_kind("settle")
@frozen
class SettleRights:
    """A member frees rights that a lower limit has held back, once their jobs have ended.

    :param held_count: what the member knows to be held; another limit may have changed it.
    """

    team: str
    incarnation: str
    held_count: int
    count: int


@record_kind("release")
@frozen
class ReleaseRights:
    """The held rights of a retired incarnation are free: no task of it can run any more."""

    incarnation: str


@record_kind("accept")
@frozen
class AcceptJob:
    """A deferred job is accepted."""

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
    """An incarnation alone may attempt a job, at the named worker.

    :param boot_id: of the worker; a guard that has restarted since proves nothing.
    :param body_digest: set for a job that has no ``accept`` record.
    :param team: whose job it is, empty for an open queue.
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
    """A job has its final outcome.

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
    """A caller no longer wants a deferred job."""

    request_id: str


@record_kind("reserve_stop")
@frozen
class ReserveStop:
    """A planned stop of a VM, subject to its pool's budget.

    :param revision: here and in the other records about a VM, the revision that the author
        decided on; any other one rejects the record, so that a late copy of a step cannot act on
        a later operation. ``ANY_REVISION`` for no such condition.
    """

    vm: str
    wave: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("begin_stop")
@frozen
class BeginStop:
    """A reserved stop begins, if the budget still holds.

    :param boot_id: of the worker before its reboot, empty if unknown.
    """

    vm: str
    boot_id: str = ""
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("cancel_stop")
@frozen
class CancelStop:
    """A reserved stop or a move is given up."""

    vm: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("move")
@frozen
class MoveVm:
    """A VM starts to drain in order to change its pool."""

    vm: str
    from_pool: str
    to_pool: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("drained")
@frozen
class VmDrained:
    """A moving VM has no work left and joins its new pool."""

    vm: str
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("vm_failed")
@frozen
class VmFailed:
    """A VM is out of service without a plan."""

    vm: str
    cause: str
    revision: int = ANY_REVISION


@record_kind("vm_back")
@frozen
class VmBack:
    """A stopped, moved or failed VM serves again and is no longer drained."""

    vm: str
    cause: str = ""
    revision: int = ANY_REVISION


@record_kind("wave_start")
@frozen
class StartWave:
    """A maintenance wave over the VMs of some pools."""

    wave: str
    pools: tuple[str, ...]
    cause: str


@record_kind("wave_control")
@frozen
class ControlWave:
    """An operator resumes or cancels a wave; ``event`` is an event of the wave chart."""

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
    """A record with who wrote it and when.

    :param batch_id: the append it came in.
    :param index: position in the batch; a second copy of a batch is recognised by both.
    :param author: operator or entry VM.
    :param at_ms: wall-clock milliseconds since the epoch, for the audit trail and for expiry.
    """

    batch_id: str
    index: int
    author: str
    at_ms: int
    record: Any


@functools.cache
def converter() -> cattrs.Converter:
    """Return the shared converter; unknown keys are errors."""
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
    """Return the record that a JSON form stands for.

    :raises RecordError: if the kind is unknown or a field is missing or wrong.
    """
    try:
        record: Any = converter().structure(data["record"], RECORD_KINDS.get(data["kind"]))
        return Envelope(data["batch_id"], data["index"], data["author"], data["at_ms"], record)
    except Exception as error:
        raise RecordError(f"undecodable record: {error}", step="decode record") from error
