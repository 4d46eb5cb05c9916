"""Encoding of the fleet state as ``snapshot`` records, and decoding."""

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

logger = logging.getLogger(__name__)

# A reader ignores snapshots of any other format and waits for one of this format.
FORMAT_NUMBER = 2
# Number of newest audit entries in a snapshot. An entry VM that starts from it cannot explain older
# ones; entry VMs that have replayed these can.
AUDIT_ENTRY_LIMIT_COUNT = 2_000
# An entry VM that fails while it appends the parts leaves an incomplete snapshot in the log.
INCOMPLETE_SNAPSHOT_COUNT = 8
# Level 1 removes most of the repetition of field names; higher levels take far more time.
COMPRESSION_LEVEL = 1


@functools.cache
def _converter() -> cattrs.Converter:
    # Payloads are JSON values already; without the hook the converter would visit each item.
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)
    unchanged = override(unstruct_hook=lambda value: value)
    converter.register_unstructure_hook(
        JobState,
        make_dict_unstructure_fn(JobState, converter, payload=unchanged, body=unchanged),
    )
    return converter


def encode_snapshot(state: FleetState, snapshot_id: str) -> list[SnapshotPart]:
    """Return the parts of a snapshot of the state after ``state.offset``.

    The data is JSON, compressed with zlib and encoded in base64, in parts of at most 64 KiB. It
    holds the whole state except for the older audit entries.
    """
    newest = deque(state.audit, AUDIT_ENTRY_LIMIT_COUNT)
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
    """Return the state of a complete snapshot, None if it is damaged or of another format.

    :param data: data of all parts, joined in order.
    """
    try:
        content = json.loads(zlib.decompress(base64.b64decode(data, validate=True)))
        if content["format"] != FORMAT_NUMBER:
            return None
        state = _converter().structure(content["state"], FleetState)
    except Exception as error:
        logger.warning("snapshot cannot be decoded", extra={"reason": repr(error)})
        return None
    state.audit = deque(state.audit, defaults.AUDIT_ENTRY_LIMIT_COUNT)
    return state


@define
class SnapshotAssembler:
    """Assembles snapshots from parts; parts of several snapshots may arrive interleaved."""

    _incomplete: dict[tuple[str, int, int], dict[int, str]] = field(factory=dict, init=False)

    def add(self, part: SnapshotPart) -> FleetState | None:
        """Add a part, and return the state if this completes its snapshot, otherwise None.

        Duplicate parts, invalid part numbers and snapshots that cannot be decoded are ignored.
        """
        if not 0 <= part.part < part.part_count:
            return None
        key = part.snapshot_id, part.through_offset, part.part_count
        pieces = self._incomplete.setdefault(key, {})
        pieces[part.part] = part.data
        if len(pieces) < part.part_count:
            while len(self._incomplete) > INCOMPLETE_SNAPSHOT_COUNT:
                del self._incomplete[next(iter(self._incomplete))]
            return None
        del self._incomplete[key]
        state = decode_snapshot("".join(pieces[n] for n in range(part.part_count)))
        return state if state is not None and state.offset == part.through_offset else None
