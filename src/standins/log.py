"""Append-only log of the platform stand-in: streams of records with offsets."""

from __future__ import annotations

import json
from collections import deque
from typing import Any

from attrs import define, field, frozen

RATE_WINDOW_MS = 1_000


@frozen
class Page:
    """Records read from a stream.

    :param start_offset: offset of the stream's oldest kept record.
    :param end_offset: offset of the stream's next record.
    :param encoded: the records, each as a JSON object with ``offset`` and ``record``.
    """

    start_offset: int
    end_offset: int
    encoded: tuple[str, ...] = ()


@define
class Stream:
    """A stream of records, whose content the log does not interpret."""

    start_offset: int = 0
    encoded: list[str] = field(factory=list)

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.start_offset + len(self.encoded)

    def append(self, records: list[Any]) -> int:
        """Append records and return the offset of the first."""
        first = self.end_offset
        self.encoded += [
            json.dumps({"offset": offset, "record": record})
            for offset, record in enumerate(records, first)
        ]
        return first

    def retain(self, record_count: int) -> None:
        """Drop all but the last ``record_count`` records."""
        excess = len(self.encoded) - record_count
        if excess > 0:
            del self.encoded[:excess]
            self.start_offset += excess

    def read(self, from_offset: int, limit_count: int) -> Page:
        """Return records from ``from_offset`` on, or from the oldest kept one if that is later."""
        index = max(0, from_offset - self.start_offset)
        chosen = tuple(self.encoded[index : index + limit_count])
        return Page(self.start_offset, self.end_offset, chosen)


@define
class RateCap:
    """Limits the number of appends within a sliding window of one second."""

    accepted_at_ms: deque[float] = field(factory=deque)

    def accept(self, now_ms: float, per_s: float) -> bool:
        """Return whether an append is within the cap of ``per_s``, and count it if so."""
        while self.accepted_at_ms and self.accepted_at_ms[0] <= now_ms - RATE_WINDOW_MS:
            self.accepted_at_ms.popleft()
        if len(self.accepted_at_ms) >= per_s:
            return False
        self.accepted_at_ms.append(now_ms)
        return True
