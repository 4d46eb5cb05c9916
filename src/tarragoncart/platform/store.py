"""Client of the platform's store: append-only partitions, compacted topics and groups."""

from __future__ import annotations

import base64
import struct
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

import aiohttp

from ..errors import StoreConflictError, StoreRefusedError, StoreUnknownError
from ..sessions import open_session
from ..storage import Appended, Chunk, Entry, Expired, Membership, Producer
from .wire import dump_json, load_json

CALL_TIMEOUT_MS = 1_500
CONNECT_TIMEOUT_MS = 1_000
CONNECTION_COUNT = 4
KEEPALIVE_S = 30
READ_MAX_KB = 1_024
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Store:
    """HTTP client of the store; each actor that uses the store creates its own.

    :param address: ``IP:PORT`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None

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
        :raises StoreRefusedError: nothing was appended.
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
        body = b"".join(_encode_record(key, value) for key, value in records)
        answer = await self._call("append", "POST", "/log-append", query, body)
        return Appended(int(answer["offset"]), int(answer["end"]))

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
        end, first = _OFFSETS.unpack_from(body)
        return Chunk(first, end, tuple(_decode_records(body, max(offset, first))))

    async def newest(self, topic: str, part: int = 0) -> AsyncIterator[Chunk]:
        """Yield pages of the newest record of each key.

        The pages are no consistent snapshot: records may be appended between two pages.
        """
        after = ""
        while True:
            query = {"topic": topic, "part": str(part)}
            if after:
                query["depends-on"] = after
            page = await self._call("newest", "GET", "/log-newest", query, None)
            entries = tuple(
                Entry(item["key"], base64.b64decode(item.get("value", "")), item.get("offset", 0))
                for item in page.get("items", ())
            )
            yield Chunk(0, int(page.get("end", 0)), entries)
            if not page.get("has-more") or not entries:
                return
            after = entries[-1].key

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
        answer = await self._call("join", "POST", "/log-join", {}, body)
        parts = frozenset(int(row[1]) for row in answer.get("parts", ()) if row[0] == topic)
        return Membership(int(answer["generation"]), parts)

    async def leave(self, group: str, member: str) -> None:
        """Leave a group at once."""
        body = dump_json({"group": group, "member": member})
        await self._call("leave", "POST", "/log-leave", {}, body)

    async def _call(
        self, step: str, method: str, path: str, query: dict[str, str], body: bytes | None
    ) -> dict[str, Any]:
        status, content = await self._send(step, method, path, query, body, 0)
        if status == 200:
            try:
                return load_json(content)
            except ValueError as error:
                raise StoreUnknownError(str(error), step=step, peer=self.address) from error
        if status in (409, 412):
            detail = load_json(content) if content else {}
            reason = detail.get("reason", "") if status == 409 else "end"
            expected = detail.get("end" if status == 412 else "sequence", 0)
            raise StoreConflictError(reason, int(expected or 0), step=step, peer=self.address)
        raise _refusal(step, self.address, status)

    async def _send(
        self,
        step: str,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        wait_ms: int,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=(CALL_TIMEOUT_MS + wait_ms) / 1_000, sock_connect=CONNECT_TIMEOUT_MS / 1_000
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
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Without a connection, the call cannot have been sent.
            raise StoreRefusedError(str(error), step=step, peer=self.address) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise StoreUnknownError(repr(error), step=step, peer=self.address) from error


def _refusal(step: str, peer: str, status: int) -> StoreRefusedError:
    return StoreRefusedError(f"status {status}", step=step, peer=peer)


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    return _LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value


def _decode_records(body: bytes, offset: int) -> Iterator[Entry]:
    position = _OFFSETS.size
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + size]
        position += size
        name_size = record[0] if record else 0
        key = record[1 : 1 + name_size].decode(errors="replace")
        yield Entry(key, bytes(record[1 + name_size :]), offset)
        offset += 1
