"""Data types of the store client's interface."""

from __future__ import annotations

from attrs import frozen


@frozen
class Entry:
    """A keyed record; an empty value deletes the key.

    :param omitted: its reader had no memory for the value, which is empty here only.
    """

    key: str
    value: bytes
    offset: int
    omitted: bool = False


@frozen
class Chunk:
    """Result of a read.

    :param first_offset: oldest offset that the partition still keeps.
    :param end_offset: offset after the last record of the partition.
    """

    first_offset: int
    end_offset: int
    entries: tuple[Entry, ...]


@frozen
class Expired:
    """The requested records are no longer kept; read the newest record of each key instead."""


@frozen
class Appended:
    """Offset of the first record of an append, and the partition's end offset after it."""

    offset: int
    end_offset: int


@frozen
class Producer:
    """Identity of an append: appends with the same epoch and sequence take effect once."""

    name: str
    epoch: int
    sequence: int


@frozen
class Membership:
    """Membership of a group.

    :param generation: number that increases with each change of the group.
    :param parts: partitions that the member owns.
    """

    generation: int
    parts: frozenset[int]
