"""The audit trail: what happened to a job, a VM or a team, and why."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from typing import Any

import attrs

from .replay import AuditEntry

# Position of the thing in the subjects of each kind of record. Positions rather than membership,
# because a pool, a team and a VM may have the same name.
_POSITIONS: dict[str, dict[str, tuple[int, ...]]] = {
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

EXPLAINED_KINDS = tuple(_POSITIONS)

# What each kind of record asks for; the numbers are positions in its subjects.
_REQUESTS = {
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
    "cancel_stop": "give up the stop or move of VM {0}",
    "move": "move VM {0} out of pool {1}",
    "drained": "VM {0} has drained and changes its pool",
    "vm_failed": "VM {0} is out of service without a plan",
    "vm_back": "VM {0} is back in service",
    "wave_start": "start wave {0}",
    "wave_control": "control wave {0}",
    "snapshot": "write snapshot {0}",
}


def entries_about(entries: Iterable[AuditEntry], kind: str, name: str) -> Iterator[AuditEntry]:
    """Yield the entries that concern one thing, in the order of the log.

    :param kind: one of :data:`EXPLAINED_KINDS`.
    :raises KeyError: if the kind is another.
    """
    positions = _POSITIONS[kind]
    for entry in entries:
        if any(
            position < len(entry.subjects) and entry.subjects[position] == name
            for position in positions.get(entry.kind, ())
        ):
            yield entry


def entry_json(entry: AuditEntry) -> dict[str, Any]:
    """Return the JSON form of an entry, as ``GET /v1/explain`` answers it."""
    return {**attrs.asdict(entry), "subjects": list(entry.subjects)}


def entry_from_json(data: dict[str, Any]) -> AuditEntry:
    """Return the entry that a JSON form stands for; fields it does not know are ignored."""
    known = {field.name: data[field.name] for field in attrs.fields(AuditEntry)}
    return AuditEntry(**{**known, "subjects": tuple(known["subjects"])})


def sentence(entry: AuditEntry) -> str:
    """Describe an entry in one line for operators."""
    # Records that are rejected early name fewer subjects.
    subjects = (*entry.subjects, "?", "?", "?")
    request = _REQUESTS.get(entry.kind, entry.kind).format(*subjects)
    at = datetime.fromtimestamp(entry.at_ms / 1_000, UTC).isoformat(timespec="milliseconds")
    ruling = "accepted" if entry.accepted else "rejected"
    reason = f" ({entry.reason})" if entry.reason else ""
    return f"{entry.offset} {at} {entry.author}: {request}: {ruling}{reason}"
