"""Bytes that this process exchanges with others, by call."""

from __future__ import annotations

from collections import Counter

from attrs import define, field

# A request and a response have headers of about this size together, on all of our interfaces.
HEADERS_BYTES = 300


@define
class Traffic:
    """Bytes of calls since the last summary.

    :param bytes_by_call: bodies and headers in both directions, by the name of the call.
    :param count_by_call: number of calls.
    """

    bytes_by_call: Counter[str] = field(factory=Counter)
    count_by_call: Counter[str] = field(factory=Counter)

    def add(self, call: str, sent_bytes: int, received_bytes: int) -> None:
        """Count a call that was answered."""
        self.bytes_by_call[call] += HEADERS_BYTES + sent_bytes + received_bytes
        self.count_by_call[call] += 1

    def take(self) -> dict[str, tuple[int, int]]:
        """Return the number of calls and the bytes of each kind of call, and start again from 0."""
        taken = {
            call: (self.count_by_call[call], size_bytes)
            for call, size_bytes in self.bytes_by_call.most_common()
        }
        self.bytes_by_call.clear()
        self.count_by_call.clear()
        return taken


TRAFFIC = Traffic()
