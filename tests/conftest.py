"""Fixtures shared by all tests."""

from __future__ import annotations

import itertools
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import Factory, define

from tarragoncart import replay
from tarragoncart.model import FleetConfig, Member, PoolSpec, QueueSpec, TeamSpec, VmSpec
from tarragoncart.records import Envelope, Join, Publish


@pytest.fixture
def config() -> FleetConfig:
    """A small fleet: one pool of four VMs, a spare pool of two, and two teams."""
    return FleetConfig(
        queues=(QueueSpec("holds", "holds", guarded=True),),
        teams=(TeamSpec("shop", 2.0, 10), TeamSpec("studio", 1.0, 5)),
        pools=(
            PoolSpec("holds", max_unavailable_count=1, min_available_count=2),
            PoolSpec("spare", max_unavailable_count=2, min_available_count=0, spare=True),
        ),
        vms=tuple(
            VmSpec(f"vm-{n}", "holds" if n < 4 else "spare", "dc-1", "rack-1", "127.0.0.1:1")
            for n in range(6)
        ),
    )


@pytest.fixture
def fleet(config: FleetConfig) -> replay.FleetState:
    """State after the configuration and two entry VMs, ``a`` and ``b``."""
    state = replay.FleetState()
    records: list[Any] = [Publish(0, config)]
    records += [Join(Member(n, n, "dc-1", "127.0.0.1:2", "127.0.0.1:3")) for n in "ab"]
    for offset, record in enumerate(records):
        replay.apply(state, offset, Envelope(f"setup-{offset}", 0, "test", 0, record))
    return state


@pytest.fixture
def submit(fleet: replay.FleetState) -> Callable[..., replay.AuditEntry]:
    """Apply a record at the next offset and return its audit entry."""
    numbers = itertools.count()

    def apply(record: Any, at_ms: int = 0) -> replay.AuditEntry:
        envelope = Envelope(f"batch-{next(numbers)}", 0, "test", at_ms, record)
        applied = replay.apply(fleet, fleet.offset + 1, envelope)
        assert applied is not None
        return applied.entry

    return apply


@pytest.fixture
def entry_data() -> dict[str, Any]:
    """Decoded settings of an entry VM, without a fault."""
    return {
        "name": "entry-1",
        "data_centre": "dc-1",
        "client_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:9000",
        "peers": [{"name": "entry-2", "peer_address": "127.0.0.1:9001"}],
    }


@pytest.fixture
def fleet_data() -> dict[str, Any]:
    """A decoded fleet configuration without a fault."""
    vm = {"pool": "holds", "data_centre": "dc-1", "rack": "rack-1"}
    return {
        "pools": [{"name": "holds", "max_unavailable_count": 1}],
        "queues": [{"name": "holds", "pool": "holds", "guarded": True}],
        "teams": [{"name": "shop", "share_weight": 2, "upper_limit_count": 10}],
        "vms": [{**vm, "name": f"vm-{n}", "address": f"10.0.0.{n}:7000"} for n in (1, 2)],
    }


@define
class EntryStub:
    """An entry VM that records its calls and gives prepared answers, the last one repeatedly.

    :param answers: status and body of each answer, by method and path.
    """

    address: str = ""
    calls: list[tuple[str, str, Any]] = Factory(list)
    answers: dict[tuple[str, str], list[tuple[int, Any]]] = Factory(dict)

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer a request; without a prepared answer, close the connection."""
        body = await request.json() if request.can_read_body else dict(request.query)
        self.calls.append((request.method, request.path, body))
        answers = self.answers.get((request.method, request.path))
        if not answers:
            request.transport.close()  # type: ignore[union-attr]
            return web.Response()
        status, data = answers.pop(0) if len(answers) > 1 else answers[0]
        return web.json_response(data, status=status)


@pytest.fixture
async def entry_stub() -> AsyncIterator[EntryStub]:
    """A stub of the operators' interface on a free port."""
    stub = EntryStub()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", stub.handle)
    async with TestServer(app, host="127.0.0.1") as server:
        stub.address = f"127.0.0.1:{server.port}"
        yield stub
