"""Leaves long strings out of a JSON body while it is received, so that its size has a bound."""

from __future__ import annotations

import re

from attrs import define, field

# Strings up to this size, such as names, are always kept.
SHORT_STRING_BYTES = 256
_STRING_MARK = re.compile(rb'["\\]')


@define(eq=False)
class StringTrimmer:
    """Receives a JSON body in pieces and keeps it without strings for which there is no room.

    Such a string becomes empty, so that the body stays valid.

    :param string_max_bytes: size from which on a string is left out.
    :param long_max_bytes: total size of the strings that are kept, without short ones.
    """

    string_max_bytes: int
    long_max_bytes: int
    left_out_count: int = field(default=0, init=False)
    _kept: bytearray = field(factory=bytearray, init=False)
    _long_bytes: int = field(default=0, init=False)
    # The string that is being received, None between strings.
    _string: bytearray | None = field(default=None, init=False)
    _too_long: bool = field(default=False, init=False)
    _escaped: bool = field(default=False, init=False)

    @property
    def size_bytes(self) -> int:
        """Size of what has been kept."""
        return len(self._kept)

    def body(self) -> bytes:
        """Return what has been kept."""
        return bytes(self._kept)

    def feed(self, data: bytes) -> None:
        """Receive the next piece."""
        position = 0
        while position < len(data):
            if self._string is None:
                position = self._skip_to_string(data, position)
            else:
                position = self._receive_string(data, position, self._string)

    def _skip_to_string(self, data: bytes, position: int) -> int:
        start = data.find(b'"', position)
        end = len(data) if start < 0 else start + 1
        self._kept += data[position:end]
        if start >= 0:
            self._string, self._too_long = bytearray(), False
        return end

    def _receive_string(self, data: bytes, position: int, string: bytearray) -> int:
        """Receive the string up to its end or the next escape; return the next position."""
        if self._escaped:
            self._escaped = False
            self._extend(string, data[position : position + 1])
            return position + 1
        mark = _STRING_MARK.search(data, position)
        end = len(data) if mark is None else mark.start()
        self._extend(string, data[position:end])
        if mark is None:
            return end
        if mark.group() == b"\\":
            self._escaped = True
            self._extend(string, b"\\")
        else:
            self._end_string(string)
        return end + 1

    def _extend(self, string: bytearray, data: bytes) -> None:
        if len(string) + len(data) > self.string_max_bytes:
            self._too_long = True
            string.clear()
        elif not self._too_long:
            string += data

    def _end_string(self, string: bytearray) -> None:
        is_long = len(string) > SHORT_STRING_BYTES
        if self._too_long or (is_long and self._long_bytes + len(string) > self.long_max_bytes):
            self.left_out_count += 1
        else:
            self._long_bytes += len(string) * is_long
            self._kept += string
        self._kept += b'"'
        self._string = None
