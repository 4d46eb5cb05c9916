"""What the store's client and its users exchange."""

from __future__ import annotations

from attrs import frozen


@frozen
class Entry:
    """A keyed record; an empty value means that the key was dropped."""

    key: str
    value: bytes
    offset: int


@frozen
class Chunk:
    """Records read.

    :param first_offset: oldest offset that is still kept.
    :param end_offset: offset after the last record of the partition.
    """

    first_offset: int
    end_offset: int
    entries: tuple[Entry, ...]


@frozen
class Expired:
    """The records asked for are no longer kept; read the newest of each key instead."""


@frozen
class Appended:
    """Offset of the first record of an append, and the partition's end after it."""

    offset: int
    end_offset: int


@frozen
class Producer:
    """Identity of an append: a repeat with the same numbers takes effect once."""

    name: str
    epoch: int
    sequence: int


@frozen
class Membership:
    """A member's place in a group.

    :param generation: rises with each change of the group.
    :param parts: partitions that the member owns.
    """

    generation: int
    parts: frozenset[int]
