"""Data types of the store client's interface."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from .errors import StoreRejectedError

# Maximum length of a key, whose length is stored in one byte.
KEY_MAX_BYTES = 255
# A call has the length of each record in as many bytes.
LENGTH_BYTES = 4

Record = tuple[str, bytes]


def record_bytes(record: Record) -> int:
    """Return the size of a record as the store counts it: the key, its length and the value."""
    key, value = record
    return 1 + len(key.encode()) + len(value)


@frozen
class StoreLimits:
    """What the store accepts.

    :param record_bytes: maximum size of a record.
    :param call_bytes: maximum size of the records of one call.
    """

    record_bytes: int
    call_bytes: int

    def excess_of(self, record: Record) -> str:
        """Return which limit a record exceeds, empty for none."""
        key_size_bytes, size_bytes = len(record[0].encode()), record_bytes(record)
        if key_size_bytes > KEY_MAX_BYTES:
            return f"key of {key_size_bytes} bytes, at most {KEY_MAX_BYTES}"
        if size_bytes > self.record_bytes:
            return f"record of {size_bytes} bytes, at most {self.record_bytes}"
        return ""

    def check(self, records: Iterable[Record], peer: str) -> None:
        """Check the records of one call.

        :raises StoreRejectedError: if the store can never accept the call.
        """
        total_bytes = 0
        for record in records:
            if excess := self.excess_of(record):
                raise StoreRejectedError(excess, step=f"append {record[0][:64]}", peer=peer)
            total_bytes += LENGTH_BYTES + record_bytes(record)
        if total_bytes > self.call_bytes:
            excess = f"records of {total_bytes} bytes, at most {self.call_bytes}"
            raise StoreRejectedError(excess, step="append", peer=peer)


# What the store of the platform accepts if its settings do not tell.
DEFAULT_LIMITS = StoreLimits(record_bytes=262_144, call_bytes=2_097_152)


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
