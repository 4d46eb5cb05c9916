"""Encoding, decoding and assembly of snapshots of the fleet state."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, get_type_hints

import pytest
from attrs import evolve, fields
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart import defaults, replay, snapshots
from tarragoncart.model import KeyGrant, Member, Outcome, VmSpec

NAMES = st.text(max_size=4)
COUNTS = st.integers(0, 9)
NUMBERS = st.floats(allow_nan=False)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | NUMBERS | NAMES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3),
    max_leaves=4,
)
KINDS = {
    str: NAMES,
    int: COUNTS,
    float: NUMBERS,
    bool: st.booleans(),
    Any: JSON,
    tuple[str, ...]: st.lists(NAMES, max_size=2).map(tuple),
    Mapping[str, int]: st.dictionaries(NAMES, COUNTS, max_size=3),
    Outcome | None: st.sampled_from([None, *Outcome]),
    VmSpec: st.just(VmSpec("vm", "pool", "dc", "rack", "127.0.0.1:1")),
}


def instances_of(cls):
    """Return a strategy for instances of an attrs class, with each field drawn by its type."""
    hints = get_type_hints(cls)
    return st.builds(cls, **{field.name: KINDS[hints[field.name]] for field in fields(cls)})


def dictionaries_of(values):
    """Return a strategy for dictionaries from names to values of the given strategy."""
    return st.dictionaries(NAMES, values, max_size=3)


STATES = st.builds(
    replay.FleetState,
    offset=COUNTS,
    config_version=COUNTS,
    keys=dictionaries_of(instances_of(KeyGrant)),
    members=dictionaries_of(instances_of(Member)),
    retired=dictionaries_of(NAMES),
    rights=dictionaries_of(instances_of(replay.TeamRights)),
    vms=dictionaries_of(instances_of(replay.VmState)),
    waves=dictionaries_of(instances_of(replay.WaveState)),
    jobs=dictionaries_of(instances_of(replay.JobState)),
    finished=st.lists(NAMES, max_size=3).map(deque),
    expired=st.lists(NAMES, max_size=3).map(dict.fromkeys),
    batches=dictionaries_of(COUNTS),
    audit=st.lists(instances_of(replay.AuditEntry), max_size=3).map(
        lambda entries: deque(entries, defaults.AUDIT_ENTRY_LIMIT_COUNT)
    ),
)


@pytest.fixture
def small_parts(monkeypatch):
    """Limit parts to 64 bytes, so that small states need several."""
    monkeypatch.setattr(defaults, "SNAPSHOT_PART_BYTES", 64)


def assemble(parts):
    """Add the parts to an assembler and return the result for each part."""
    assembler = snapshots.SnapshotAssembler()
    return [assembler.add(part) for part in parts]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(state=STATES, seed=st.randoms(use_true_random=False))
def test_any_state_survives_a_round_trip_in_any_order(state, seed):
    """Guards against an entry VM that starts from a snapshot and differs from the others."""
    parts = snapshots.encode_snapshot(state, "s")
    seed.shuffle(parts)
    restored = assemble(parts)[-1]
    assert restored == state
    assert list(restored.batches) == list(state.batches)
    assert restored.audit.maxlen == state.audit.maxlen


def test_a_replayed_state_survives_in_small_parts(small_parts, fleet, submit):
    """Guards against parts that exceed the size limit of an append, and a missing section."""
    parts = snapshots.encode_snapshot(fleet, "s")
    assert len(parts) > 1
    assert all(len(part.data) <= 64 for part in parts)
    assert {part.through_offset for part in parts} == {fleet.offset}
    *early, restored = assemble(parts)
    assert early == [None] * (len(parts) - 1)
    assert restored == fleet


@pytest.mark.parametrize(
    "damage",
    [
        lambda parts: parts[1:],
        lambda parts: [parts[0]] * len(parts),
        lambda parts: [evolve(parts[0], snapshot_id="t"), *parts[1:]],
        lambda parts: [evolve(parts[0], part=len(parts)), *parts[1:]],
        lambda parts: [evolve(part, through_offset=99) for part in parts],
        lambda parts: [evolve(part, data=part.data[::-1]) for part in parts],
        lambda parts: [evolve(parts[0], data="?" + parts[0].data[1:]), *parts[1:]],
    ],
)
def test_incomplete_or_damaged_parts_give_no_state(small_parts, fleet, damage):
    """Guards against an entry VM that starts from an incomplete state."""
    parts = snapshots.encode_snapshot(fleet, "s")
    assert not any(assemble(damage(parts)))


def test_another_format_is_ignored(monkeypatch, fleet):
    """Guards against an old entry VM that misreads a newer one's snapshot."""
    monkeypatch.setattr(snapshots, "FORMAT_NUMBER", snapshots.FORMAT_NUMBER + 1)
    parts = snapshots.encode_snapshot(fleet, "s")
    monkeypatch.undo()
    assert not any(assemble(parts))


def test_interleaved_snapshots_are_kept_apart_and_bounded(small_parts, fleet):
    """Guards against mixing the parts of two writers, and unlimited growth of incomplete ones."""
    first, second = (snapshots.encode_snapshot(fleet, name) for name in "ab")
    mixed = [part for pair in zip(first, second, strict=True) for part in pair]
    assert [result for result in assemble(mixed) if result] == [fleet, fleet]
    abandoned = [evolve(first[0], snapshot_id=str(n)) for n in range(100)]
    assert assemble([first[0], *abandoned, *first[1:]])[-1] is None


def test_only_the_newest_audit_entries_are_kept(monkeypatch, fleet):
    """Guards against snapshots that grow with the age of the fleet."""
    monkeypatch.setattr(snapshots, "AUDIT_ENTRY_LIMIT_COUNT", 2)
    restored = assemble(snapshots.encode_snapshot(fleet, "s"))[-1]
    assert list(restored.audit) == list(fleet.audit)[-2:]
