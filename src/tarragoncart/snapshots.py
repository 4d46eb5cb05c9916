"""The fleet state as ``snapshot`` records, and back."""

from __future__ import annotations

import base64
import functools
import json
import logging
import zlib
from collections import deque
from collections.abc import Iterator

import cattrs
from attrs import define, evolve, field
from cattrs.gen import make_dict_unstructure_fn, override

from . import defaults
from .records import SnapshotPart
from .replay import FleetState, JobState

# A reader ignores any other format and waits for a snapshot that it knows.
logger = logging.getLogger(__name__)

FORMAT_NUMBER = 2
# Newest part of the audit trail that a new entry VM can still explain; the rest stays with the
# entry VMs that have it.
AUDIT_ENTRY_COUNT = 2_000
# An entry VM that dies half way leaves an incomplete snapshot behind.
INCOMPLETE_COUNT = 8
# Level 1 takes most of the repetition out of the field names; higher levels cost far more time.
COMPRESSION_LEVEL = 1


@functools.cache
def _converter() -> cattrs.Converter:
    # Payloads are JSON already; without the hook each of their items would be visited.
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)
    as_it_is = override(unstruct_hook=lambda value: value)
    converter.register_unstructure_hook(
        JobState,
        make_dict_unstructure_fn(JobState, converter, payload=as_it_is, body=as_it_is),
    )
    return converter


def encode_snapshot(state: FleetState, snapshot_id: str) -> list[SnapshotPart]:
    """Return the parts of a snapshot of the state after ``state.offset``.

    Data is JSON, deflated and in base64; a part holds at most 64 KiB of it. All of the state is in
    it but the older audit entries.
    """
    newest = deque(state.audit, AUDIT_ENTRY_COUNT)
    content = _converter().unstructure(evolve(state, audit=newest))
    text = json.dumps({"format": FORMAT_NUMBER, "state": content}, separators=(",", ":"))
    data = base64.b64encode(zlib.compress(text.encode(), COMPRESSION_LEVEL)).decode()
    pieces = list(_slices(data, defaults.SNAPSHOT_PART_BYTES))
    return [
        SnapshotPart(snapshot_id, state.offset, part, len(pieces), piece)
        for part, piece in enumerate(pieces)
    ]


def _slices(data: str, size: int) -> Iterator[str]:
    return (data[start : start + size] for start in range(0, len(data), size))


def decode_snapshot(data: str) -> FleetState | None:
    """Return the state of a whole snapshot, None if its content is damaged or of another format."""
    try:
        content = json.loads(zlib.decompress(base64.b64decode(data, validate=True)))
        if content["format"] != FORMAT_NUMBER:
            return None
        state = _converter().structure(content["state"], FleetState)
    except Exception as error:
        logger.warning("snapshot cannot be used", extra={"reason": repr(error)})
        return None
    state.audit = deque(state.audit, defaults.AUDIT_ENTRY_COUNT)
    return state


@define
class SnapshotAssembler:
    """Collects parts, of several snapshots at once if need be."""

    _incomplete: dict[tuple[str, int, int], dict[int, str]] = field(factory=dict, init=False)

    def add(self, part: SnapshotPart) -> FleetState | None:
        """Return the state once the last missing part of a snapshot has been added.

        Copies of a part, impossible part numbers and snapshots that cannot be decoded are ignored.
        """
        if not 0 <= part.part < part.part_count:
            return None
        key = part.snapshot_id, part.through_offset, part.part_count
        pieces = self._incomplete.setdefault(key, {})
        pieces[part.part] = part.data
        if len(pieces) < part.part_count:
            while len(self._incomplete) > INCOMPLETE_COUNT:
                del self._incomplete[next(iter(self._incomplete))]
            return None
        del self._incomplete[key]
        state = decode_snapshot("".join(pieces[n] for n in range(part.part_count)))
        return state if state is not None and state.offset == part.through_offset else None
