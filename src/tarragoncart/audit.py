"""Queries and descriptions of the audit trail of jobs, VMs and teams."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import attrs

from .replay import AuditEntry

# Index of the name of a job, VM or team in an audit entry's subjects, by kind of record. Searching
# all subjects would be ambiguous, because a pool, a team and a VM may have the same name.
_SUBJECT_INDEXES: dict[str, dict[str, tuple[int, ...]]] = {
    "job": {"accept": (0,), "claim": (0,), "finish": (0,), "cancel": (0,)},
    "vm": {
        "reserve_stop": (0,),
        "begin_stop": (0,),
        "cancel_stop": (0,),
        "move": (0,),
        "drained": (0,),
        "vm_failed": (0,),
        "vm_back": (0,),
        "claim": (2,),
    },
    "team": {
        "key_grant": (1,),
        "key_withdraw": (1,),
        "accept": (1,),
        "take": (0,),
        "transfer": (0,),
        "settle": (0,),
    },
}

EXPLAINED_KINDS = tuple(_SUBJECT_INDEXES)

# Description of each kind of record; the numbers are indexes into the entry's subjects.
_DESCRIPTIONS = {
    "publish": "publish a configuration",
    "key_grant": "grant key {0} to team {1}",
    "key_withdraw": "withdraw key {0}",
    "join": "entry VM {0} joins as {1}",
    "retire": "retire incarnation {1} of entry VM {0}",
    "take": "take rights of team {0} for {1}",
    "transfer": "pass rights of team {0} from {1} to {2}",
    "settle": "free rights of team {0} that a lower limit held back from {1}",
    "release": "release the rights held for {0}",
    "accept": "accept job {0}",
    "claim": "claim job {0} for {1}, to run on {2}",
    "finish": "finish job {0}",
    "cancel": "cancel job {0}",
    "reserve_stop": "reserve a stop of VM {0} in pool {1}",
    "begin_stop": "begin the stop of VM {0} in pool {1}",
    "cancel_stop": "cancel the stop or move of VM {0}",
    "move": "move VM {0} out of pool {1}",
    "drained": "VM {0} has drained and changes its pool",
    "vm_failed": "record VM {0} as failed",
    "vm_back": "VM {0} is back in service",
    "wave_start": "start wave {0}",
    "wave_control": "control wave {0}",
    "snapshot": "write snapshot {0}",
}


def entries_about(entries: Iterable[AuditEntry], kind: str, name: str) -> Iterator[AuditEntry]:
    """Yield the entries about one job, VM or team, in the order of the log.

    :param kind: one of :data:`EXPLAINED_KINDS`.
    :raises KeyError: if the kind is not one of these.
    """
    indexes = _SUBJECT_INDEXES[kind]
    for entry in entries:
        if any(
            index < len(entry.subjects) and entry.subjects[index] == name
            for index in indexes.get(entry.kind, ())
        ):
            yield entry


def entry_json(entry: AuditEntry) -> dict[str, Any]:
    """Return the JSON form of an entry, which ``GET /v1/explain`` returns."""
    return {**attrs.asdict(entry), "subjects": list(entry.subjects)}


def entry_from_json(data: dict[str, Any]) -> AuditEntry:
    """Return the entry of a JSON form; unknown fields are ignored."""
    known = {field.name: data[field.name] for field in attrs.fields(AuditEntry)}
    return AuditEntry(**{**known, "subjects": tuple(known["subjects"])})


def describe_entry(entry: AuditEntry) -> str:
    """Describe an entry in one line for operators."""
    # Handlers that reject a record early name fewer subjects.
    subjects = (*entry.subjects, "?", "?", "?")
    description = _DESCRIPTIONS.get(entry.kind, entry.kind).format(*subjects)
    at = datetime.fromtimestamp(entry.at_ms / 1_000, UTC).isoformat(timespec="milliseconds")
    ruling = "accepted" if entry.accepted else "rejected"
    reason = f" ({entry.reason})" if entry.reason else ""
    return f"{entry.offset} {at} {entry.author}: {description}: {ruling}{reason}"
