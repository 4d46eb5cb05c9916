"""Stand-in for the platform's store: keyed topics and consumer groups over its HTTP protocol."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
import time
from typing import Any

from aiohttp import web
from attrs import Factory, define

LENGTH = struct.Struct(">I")
OFFSETS = struct.Struct(">QQ")
PAGE_KEY_COUNT = 500
READ_MAX_KB = 1_024
PART_COUNT = 8


@define
class Part:
    """A partition of a topic.

    :param records: keys and values by offset; an empty value deletes the key.
    :param first_offset: lowest offset that can be read.
    :param epochs: highest epoch of each producer.
    :param sequences: last sequence number of each producer.
    :param append_responses: response to each append, by producer, epoch and sequence number.
    :param changed: set and replaced at each append.
    """

    records: list[tuple[str, bytes]] = Factory(list)
    first_offset: int = 0
    epochs: dict[str, int] = Factory(dict)
    sequences: dict[str, int] = Factory(dict)
    append_responses: dict[tuple[str, int, int], dict[str, int]] = Factory(dict)
    changed: asyncio.Event = Factory(asyncio.Event)


@define
class StoreFaults:
    """Injected faults in force.

    :param lose_append_count: number of next appends that are applied but get no response.
    :param refuse_count: number of next calls that are refused with status 503.
    :param refuse_status: status with which all calls are refused, 0 for none.
    :param refused_parts: partitions that refuse appends, by topic.
    :param unresponsive_parts: partitions whose appends are neither applied nor answered, by topic.
    :param unreadable_topics: topics whose reads are refused.
    :param bodies: response body to all calls to a path, which are not carried out, by path.
    """

    lose_append_count: int = 0
    refuse_count: int = 0
    refuse_status: int = 0
    refused_parts: dict[str, set[int]] = Factory(dict)
    unresponsive_parts: dict[str, set[int]] = Factory(dict)
    unreadable_topics: frozenset[str] = frozenset()
    bodies: dict[str, bytes] = Factory(dict)


class StoreStandin:
    """The store: its partitions, its consumer group and the handlers of its calls."""

    def __init__(self) -> None:
        self.parts: dict[tuple[str, int], Part] = {}
        self.faults = StoreFaults()
        self.members: dict[str, float] = {}
        self.owner = ""
        self.generation = 0
        self.append_count = 0
        # What it accepts, and how many appends it has rejected for that.
        self.record_bytes, self.call_bytes = 262_144, 2_097_152
        self.rejected_count = 0

    def part(self, topic: str, number: int = 0) -> Part:
        """Return a partition, which is created on first use."""
        return self.parts.setdefault((topic, number), Part())

    def put(self, topic: str, key: str, value: Any, number: int = 0) -> None:
        """Append a record directly; a value of None deletes the key."""
        self.put_bytes(topic, key, b"" if value is None else json.dumps(value).encode(), number)

    def put_bytes(self, topic: str, key: str, value: bytes, number: int = 0) -> None:
        """Append a record with any bytes directly, as another writer may do."""
        part = self.part(topic, number)
        part.records.append((key, value))
        self._wake_readers(part)

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that is not deleted."""
        values: dict[str, bytes] = {}
        for part in self._parts_of(topic):
            values.update(dict(part.records))
        return {key: value for key, value in values.items() if value}

    def expire(self, topic: str) -> None:
        """Expire all records of a topic for reads; the newest values stay available."""
        for part in self._parts_of(topic):
            part.first_offset = len(part.records)

    def _parts_of(self, topic: str) -> list[Part]:
        return [part for (name, _), part in self.parts.items() if name == topic]

    @staticmethod
    def _wake_readers(part: Part) -> None:
        part.changed.set()
        part.changed = asyncio.Event()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle an HTTP request."""
        if self.faults.refuse_status:
            return web.Response(status=self.faults.refuse_status)
        if self.faults.refuse_count:
            self.faults.refuse_count -= 1
            return web.Response(status=503)
        if request.path in self.faults.bodies:
            return web.Response(body=self.faults.bodies[request.path])
        reads = request.path in ("/log-read", "/log-newest")
        if reads and request.query["topic"] in self.faults.unreadable_topics:
            return web.Response(status=503)
        handlers = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/log-join": self._join,
            "/log-leave": self._leave,
        }
        return await handlers[request.path](request)

    async def _append(self, request: web.BaseRequest) -> web.StreamResponse:
        query = request.query
        number = int(query["part"])
        part = self.part(query["topic"], number)
        if number in self.faults.refused_parts.get(query["topic"], ()):
            return web.Response(status=503)
        if number in self.faults.unresponsive_parts.get(query["topic"], ()):
            await asyncio.sleep(60)
        body = await request.read()
        records = list(_decode_records(body))
        self.append_count += 1
        sizes = [1 + len(key.encode()) + len(value) for key, value in records]
        if len(body) > self.call_bytes or max(sizes, default=0) > self.record_bytes:
            self.rejected_count += 1
            return web.Response(status=413)
        if "as-of" in query and int(query["as-of"]) != len(part.records):
            return _json_response({"end": len(part.records)}, 412)
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            latest_epoch = part.epochs.get(producer, -1)
            if epoch < latest_epoch:
                return _json_response({"reason": "fenced"}, 409)
            earlier_response = part.append_responses.get((producer, epoch, sequence))
            if earlier_response is not None:
                return _json_response(earlier_response)
            if epoch == latest_epoch and sequence != part.sequences[producer] + 1:
                return _json_response(
                    {"reason": "seq", "sequence": part.sequences[producer] + 1}, 409
                )
            part.epochs[producer], part.sequences[producer] = epoch, sequence
        offset = len(part.records)
        part.records.extend(records)
        response = {"offset": offset, "end": len(part.records)}
        if producer is not None:
            part.append_responses[producer, epoch, sequence] = response
        self._wake_readers(part)
        if self.faults.lose_append_count:
            self.faults.lose_append_count -= 1
            assert request.transport is not None
            request.transport.abort()
        return _json_response(response)

    async def _read(self, request: web.BaseRequest) -> web.StreamResponse:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        offset = int(query["from"])
        if offset < part.first_offset:
            return _json_response({"first": part.first_offset}, 410)
        if offset >= len(part.records):
            try:
                await asyncio.wait_for(part.changed.wait(), int(query.get("wait-ms", 0)) / 1_000)
            except TimeoutError:
                pass
        max_bytes = 1_024 * int(query.get("max-kb", READ_MAX_KB))
        body = OFFSETS.pack(len(part.records), part.first_offset)
        for key, value in part.records[offset:]:
            name = key.encode()
            record = LENGTH.pack(1 + len(name) + len(value)) + bytes((len(name),)) + name + value
            if len(body) > OFFSETS.size and len(body) + len(record) > max_bytes:
                break
            body += record
        return web.Response(body=body)

    async def _newest(self, request: web.BaseRequest) -> web.StreamResponse:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        newest = {key: (value, n) for n, (key, value) in enumerate(part.records)}
        after = query.get("depends-on", "")
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:PAGE_KEY_COUNT]
        ]
        more = len(keys) > PAGE_KEY_COUNT
        return _json_response({"items": items, "has-more": more, "end": len(part.records)})

    async def _join(self, request: web.BaseRequest) -> web.StreamResponse:
        data = json.loads(await request.read())
        now = time.monotonic()
        expired = [name for name, until in self.members.items() if until < now]
        for name in expired:
            del self.members[name]
        if expired or data["member"] not in self.members:
            self.generation += 1
        self.members[data["member"]] = now + data["ttl-ms"] / 1_000
        if self.owner not in self.members:
            self.owner = data["member"]
        owned = self.owner == data["member"]
        rows = [[data["topics"][0], n, 0] for n in range(PART_COUNT)] if owned else []
        return _json_response({"generation": self.generation, "parts": rows})

    async def _leave(self, request: web.BaseRequest) -> web.StreamResponse:
        data = json.loads(await request.read())
        self.members.pop(data["member"], None)
        self.generation += 1
        return _json_response({})


def _decode_records(body: bytes) -> Any:
    position = 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        record = body[position + 4 : position + 4 + size]
        position += 4 + size
        yield record[1 : 1 + record[0]].decode(), record[1 + record[0] :]


def _json_response(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(data).encode(), content_type="application/json"
    )
