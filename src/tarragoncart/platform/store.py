"""Client of the platform's store: append-only partitions, compacted topics and groups."""

from __future__ import annotations

import base64
import struct
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any, TypeVar

import aiohttp
from attrs import frozen

from ..decoding import (
    MalformedLog,
    check_int,
    check_list,
    check_object,
    check_str,
    decoder,
    get_bool,
    get_int,
    get_items,
    get_str,
    parse_object,
)
from ..errors import (
    DecodeError,
    StoreConflictError,
    StoreRefusedError,
    StoreRejectedError,
    StoreUnknownError,
)
from ..sessions import open_session
from ..storage import (
    DEFAULT_LIMITS,
    Appended,
    Chunk,
    Entry,
    Expired,
    Membership,
    Producer,
    StoreLimits,
)
from ..traffic import TRAFFIC
from .wire import dump_json

CALL_TIMEOUT_MS = 1_500
CONNECT_TIMEOUT_MS = 1_000
# A page of 1 MB takes this long on a link of 1 Mbit/s.
TRANSFER_MAX_MS = 8_000
# An election has up to 7 calls without an answer at the same time.
CONNECTION_COUNT = 8
KEEPALIVE_S = 30
READ_MAX_KB = 1_024
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
# Refusals below 500 that may end by themselves: too slow, too early, too many calls.
TRANSIENT_STATUSES = (408, 425, 429)

T = TypeVar("T")


class Store:
    """HTTP client of the store; each actor that uses the store creates its own.

    :param address: ``IP:PORT`` of the store.
    :param limits: every append is checked against these before it is sent.
    """

    def __init__(self, address: str, limits: StoreLimits = DEFAULT_LIMITS) -> None:
        self.address = address
        self._limits = limits
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self._malformed = MalformedLog("store")

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = open_session(CONNECTION_COUNT, KEEPALIVE_S)
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def append(
        self,
        topic: str,
        records: Iterable[tuple[str, bytes]],
        *,
        part: int = 0,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> Appended:
        """Append keyed records, all or none; an empty value deletes the key.

        :param producer: makes repeated calls idempotent and fences lower epochs.
        :param expected_end: append only if this is the partition's end offset.
        :raises StoreRejectedError: nothing was appended, nor will it be if the call is repeated.
        :raises StoreRefusedError: nothing was appended; another attempt may succeed.
        :raises StoreConflictError: another writer was first.
        :raises StoreUnknownError: no answer; the append may take effect later.
        """
        query: dict[str, str] = {"topic": topic, "part": str(part)}
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = str(producer.epoch)
            query["sequence"] = str(producer.sequence)
        if expected_end is not None:
            query["as-of"] = str(expected_end)
        records = tuple(records)
        self._limits.check(records, self.address)
        body = b"".join(_encode_record(key, value) for key, value in records)
        return await self._call("append", "POST", "/log-append", query, body, decode_appended)

    async def read(self, topic: str, offset: int, wait_ms: int, part: int = 0) -> Chunk | Expired:
        """Read keyed records from an offset on.

        :param wait_ms: how long the store may wait for the first record.
        :raises StoreRefusedError: the store refused the call.
        :raises StoreUnknownError: no answer.
        """
        query = {
            "topic": topic,
            "part": str(part),
            "from": str(offset),
            "wait-ms": str(wait_ms),
            "max-kb": str(READ_MAX_KB),
        }
        status, body = await self._send("read", "GET", "/log-read", query, None, wait_ms)
        if status == 410:
            return Expired()
        if status != 200:
            raise _refusal("read", self.address, status)
        return self._decode("read", decode_chunk, body, offset)

    async def newest(self, topic: str, part: int = 0) -> AsyncIterator[Chunk]:
        """Yield pages of the newest record of each key.

        The pages are no consistent snapshot: records may be appended between two pages.
        """
        after = ""
        while True:
            page = await self._read_page(topic, part, after)
            yield self._decode_page_entries(topic, part, page)
            if not page.has_more:
                return
            # A malformed record is skipped, but not the pages after it.
            keys = [key for key in map(_key_of, page.items) if key]
            if not keys:
                raise StoreUnknownError("page without a key", step="newest", peer=self.address)
            after = keys[-1]

    async def newest_page(self, topic: str, part: int, after: str) -> Chunk:
        """Return a page of the newest record of each key, without any after the last page.

        :param after: the page begins with the first key after this one.
        """
        return self._decode_page_entries(topic, part, await self._read_page(topic, part, after))

    async def _read_page(self, topic: str, part: int, after: str) -> Page:
        query = {"topic": topic, "part": str(part)}
        if after:
            query["depends-on"] = after
        return await self._call("newest", "GET", "/log-newest", query, None, decode_page)

    def _decode_page_entries(self, topic: str, part: int, page: Page) -> Chunk:
        entries = []
        for item in page.items:
            try:
                entries.append(decode_item(item))
            except DecodeError as error:
                self._malformed.add(f"{topic} {part}", error)
        return Chunk(0, page.end_offset, tuple(entries))

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group, or renew the membership.

        :param ttl_ms: time after which the membership expires without a renewal.
        :param generation: last generation of the group that the member knows, 0 for none.
        :raises StoreRefusedError: the store refused the call.
        :raises StoreUnknownError: no answer.
        """
        body = dump_json(
            {
                "group": group,
                "member": member,
                "topics": [topic],
                "ttl-ms": ttl_ms,
                "generation": generation,
            }
        )
        return await self._call(
            "join", "POST", "/log-join", {}, body, lambda content: decode_membership(topic, content)
        )

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        body = dump_json({"group": group, "member": member})
        await self._call("leave", "POST", "/log-leave", {}, body, lambda content: None)

    async def _call(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        decode: Callable[[bytes], T],
    ) -> T:
        status, content = await self._send(step, method, path, query, body, 0)
        if status == 200:
            return self._decode(step, decode, content)
        if status in (409, 412):
            reason, expected = self._decode(step, decode_conflict, status, content)
            raise StoreConflictError(reason, expected, step=step, peer=self.address)
        raise _refusal(step, self.address, status)

    def _decode(self, step: str, decode: Callable[..., T], *args: Any) -> T:
        """Decode a response.

        :raises StoreUnknownError: if it cannot be decoded; the call may have taken effect.
        """
        try:
            return decode(*args)
        except DecodeError as error:
            raise StoreUnknownError(str(error), step=step, peer=self.address) from error

    async def _send(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        wait_ms: int,
    ) -> tuple[int, bytes]:
        silence_s = (CALL_TIMEOUT_MS + wait_ms) / 1_000
        # A response with many records may take longer than that on a slow link while it progresses.
        reads = method == "GET"
        timeout = aiohttp.ClientTimeout(
            total=silence_s + TRANSFER_MAX_MS / 1_000 if reads else silence_s,
            sock_read=silence_s if reads else None,
            sock_connect=CONNECT_TIMEOUT_MS / 1_000,
        )
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            async with self._open_session().request(
                method,
                self._base + path,
                params=query or None,
                data=body,
                headers=headers,
                timeout=timeout,
            ) as response:
                content = await response.read()
                topic = query.get("topic", "")
                TRAFFIC.add(f"{step} {topic}".strip(), len(body or b""), len(content))
                return response.status, content
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Without a connection, the call cannot have been sent.
            raise StoreRefusedError(str(error), step=step, peer=self.address) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnknownError(repr(error), step=step, peer=self.address) from error


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    return _LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value


def _refusal(step: str, peer: str, status: int) -> StoreRefusedError:
    """Return the error of a refusal, which only changes if the store is the reason for it."""
    rejected = 400 <= status < 500 and status not in TRANSIENT_STATUSES
    error = StoreRejectedError if rejected else StoreRefusedError
    return error(f"status {status}", step=step, peer=peer)


@decoder("append response")
def decode_appended(body: bytes) -> Appended:
    """Decode the response to an append."""
    data = parse_object(body)
    return Appended(check_int(data.get("offset"), "offset"), check_int(data.get("end"), "end"))


@decoder("conflict response")
def decode_conflict(status: int, body: bytes) -> tuple[str, int]:
    """Decode the refusal of a conditional call: the reason, and the expected number."""
    data = parse_object(body) if body else {}
    if status == 412:
        return "end", get_int(data, "end")
    return get_str(data, "reason"), get_int(data, "sequence")


@frozen
class Page:
    """A page of the newest records.

    :param items: the records, not decoded yet.
    """

    items: tuple[Any, ...]
    has_more: bool
    end_offset: int


@decoder("page of records")
def decode_page(body: bytes) -> Page:
    """Decode a page of the newest records, without the records."""
    data = parse_object(body)
    items = tuple(check_list(data.get("items", []), "items"))
    return Page(items, get_bool(data, "has-more"), get_int(data, "end"))


def _key_of(item: Any) -> str:
    """Return the key of a record that may be malformed, empty if there is none."""
    key = item.get("key") if isinstance(item, dict) else None
    return key if isinstance(key, str) else ""


@decoder("record of a page")
def decode_item(item: Any) -> Entry:
    """Decode a record of a page."""
    check_object(item)
    key = check_str(item.get("key"), "key")
    value = base64.b64decode(get_str(item, "value"), validate=True)
    return Entry(key, value, get_int(item, "offset"))


@decoder("membership")
def decode_membership(topic: str, body: bytes) -> Membership:
    """Decode the response to a join: the partitions of a topic that the member owns."""
    data = parse_object(body)
    rows = get_items(data, "parts", check_list)
    parts = frozenset(check_int(row[1], "parts") for row in rows if row[0] == topic)
    return Membership(check_int(data.get("generation"), "generation"), parts)


@decoder("chunk of records")
def decode_chunk(body: bytes, offset: int) -> Chunk:
    """Decode the response to a read from an offset on.

    A key that is not valid UTF-8 gets replacement characters.
    """
    if len(body) < _OFFSETS.size:
        raise DecodeError("too short for its offsets")
    end_offset, first_offset = _OFFSETS.unpack_from(body)
    offset = max(offset, first_offset)
    entries: list[Entry] = []
    position = _OFFSETS.size
    while position < len(body):
        if position + _LENGTH.size > len(body):
            raise DecodeError("cut off in the length of a record")
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + size]
        if len(record) < size:
            raise DecodeError("cut off in a record")
        position += size
        name_size = record[0] if record else 0
        key = record[1 : 1 + name_size].decode(errors="replace")
        entries.append(Entry(key, bytes(record[1 + name_size :]), offset + len(entries)))
    return Chunk(first_offset, end_offset, tuple(entries))
