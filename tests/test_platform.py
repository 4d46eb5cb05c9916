"""Tests of the platform adapter: decoding, encoding and the store's client."""

from __future__ import annotations

import json

import pytest
from aiohttp import web

from standins.store import StoreStandin
from tarragoncart.errors import (
    SettingsError,
    StoreConflictError,
    StoreRefusedError,
    StoreUnknownError,
)
from tarragoncart.follower import read_newest
from tarragoncart.graph import Demand
from tarragoncart.platform.boot import decode_settings, load_settings
from tarragoncart.platform.callers import decode_job
from tarragoncart.platform.operator import decode_rules, decode_upstream, decode_wave
from tarragoncart.platform.store import Store
from tarragoncart.storage import Entry, Expired, Producer

ENTRY = {
    "backend": "pool",
    "address": "10.0.0.1:80",
    "zone": "dc",
    "phase": "draining",
    "capacity": {"cpu": 5, "mem-mb": 6},
    "labels": ["a", "r1"],
    "born": 7,
    "remaining-ms": 900,
    "unknown-field": 1,
}
BOOT = {
    "node": "n",
    "zone": "dc",
    "ip": "10.0.0.1",
    "port-range": [7000, 7015],
    "listen-addrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "platform": {"address": "10.0.0.9:3", "call-bytes": 1000},
    "bounds": {
        "revoke-ms": 5000,
        "config-ms": 2000,
        "hold-max-ms": 6000,
        "stop-ms": 200,
        "lease-ms": 3000,
        "status_s": 120,
        "grace-s": 6,
    },
}


@pytest.fixture
async def client(serve_standin):
    """A store client connected to a stand-in, and the stand-in."""
    served = await serve_standin(StoreStandin())
    client = Store(served.address)
    yield client, served.standin
    await client.close()


class PagedStore:
    """Store whose first page has one record, followed by a page with a readable record."""

    def __init__(self, first_item):
        self._pages = {
            "": {"items": [first_item], "has-more": True, "end": 2},
            "a": {"items": [{"key": "b", "value": "e30=", "offset": 1}], "end": 2},
        }

    async def handle(self, request):
        """Answer with the page after a key."""
        return web.json_response(self._pages[request.query.get("depends-on", "")])


@pytest.fixture
async def read_pages(serve_standin):
    """Return a function that reads the pages of a store whose first record is given."""

    async def read(first_item):
        client = Store((await serve_standin(PagedStore(first_item))).address)
        try:
            return (await read_newest(client, "topic")).entries
        finally:
            await client.close()

    return read


async def test_a_page_of_malformed_records_does_not_hide_the_pages_after_it(read_pages):
    """Guards against taking the newest records for complete that end at a malformed page."""
    assert await read_pages({"key": "a", "value": "!"}) == (Entry("b", b"{}", 1),)
    with pytest.raises(StoreUnknownError):
        await read_pages({"value": "e30="})


def test_a_step_keeps_what_the_caller_asked_for():
    """Guards against mixing up fields with misleading names: a rack, a number and a label."""
    step = {
        "count": 3,
        "cpu": 10,
        "affinity": "r1-3",
        "anti-affinity": 2,
        "requirements": "big",
        "may-miss": 1,
        "fills": True,
    }
    spec = decode_job(json.dumps({"spec": "x", "steps": [step]}).encode()).steps[0]
    assert (spec.rack, spec.max_per_upstream_count, spec.label) == ("r1-3", 2, "big")
    assert spec.max_away_count == 1
    assert spec.counted == Demand()


@pytest.mark.parametrize(
    "steps",
    [
        [{"count": 1, "depends-on": [0]}],
        [{"count": "1"}],
        [{"count": 10**9}],
        [{"gang": "yes"}],
        [7],
    ],
)
def test_a_malformed_step_is_an_error(steps):
    """Guards against accepting a job that can never be scheduled or that exhausts the memory."""
    with pytest.raises(ValueError):
        decode_job(json.dumps({"spec": "", "steps": steps}).encode())


def test_a_registration_is_decoded_with_its_start_time():
    """Guards against taking a restarted upstream with the same ID for the earlier incarnation."""
    entry = decode_upstream("i-1", json.dumps(ENTRY).encode())
    assert (entry.started_ms, entry.draining, entry.leaving_ms) == (7, True, 900)
    assert entry.capacity == Demand(5, 6)


@pytest.mark.parametrize(
    "change",
    [{"phase": "odd"}, {"address": 5}, {"capacity": "much"}, {"labels": "a"}, {"backend": ""}],
)
def test_a_malformed_registration_is_an_error(change):
    """Guards against using an upstream from another writer's malformed record."""
    with pytest.raises(ValueError):
        decode_upstream("i-1", json.dumps({**ENTRY, **change}).encode())


def test_the_longest_prefix_selects_the_queue(platform_config):
    """Guards against routing a request to a queue with a shorter prefix."""
    route = platform_config["routes"][0]
    platform_config["routes"].append({**route, "name": "deep", "path-prefix": "/q/deep/"})
    rules = decode_rules(json.dumps(platform_config).encode())
    assert rules.find_queue("shop.example", "/q/deep/1").name == "deep"
    assert rules.find_queue("shop.example", "/q/1").name == "q"
    assert rules.find_queue("other.example", "/q/1") is None


def test_a_wave_is_decoded():
    """Guards against decoding a wave's ``cap`` as an account's limit."""
    wave = decode_wave(b'{"wave":3,"machines":["m-1"],"within-s":20,"cap":2}')
    assert (wave.number, wave.vm_ids, wave.concurrent_count) == (3, ("m-1",), 2)


def test_settings_that_lack_a_field_name_it():
    """Guards against a start that fails without naming the missing setting."""
    assert decode_settings(BOOT).peer_address == "10.0.0.1:7000"
    with pytest.raises(SettingsError, match="bounds"):
        decode_settings({key: value for key, value in BOOT.items() if key != "bounds"})
    with pytest.raises(SettingsError):
        load_settings({})


async def test_a_repeated_append_takes_effect_once(client):
    """Guards against a record that is stored twice after a lost answer."""
    store, standin = client
    producer = Producer("p", 1, 0)
    for _ in range(2):
        await store.append("keyed.x", [("a", b"1")], producer=producer)
    assert len(standin.part("keyed.x").records) == 1


async def test_a_lower_epoch_is_fenced(client):
    """Guards against a former leader that still changes the stored state."""
    store, _ = client
    await store.append("keyed.x", [], producer=Producer("p", 2, 0))
    with pytest.raises(StoreConflictError) as caught:
        await store.append("keyed.x", [("a", b"1")], producer=Producer("p", 1, 9))
    assert caught.value.reason == "fenced"


async def test_records_survive_a_round_trip(client):
    """Guards against wrong boundaries of keys, values and offsets in the binary format."""
    store, standin = client
    await store.append("keyed.x", [("k", b"\x00\xff"), ("gone", b"")])
    chunk = await store.read("keyed.x", 0, 0)
    assert [(e.key, e.value, e.offset) for e in chunk.entries] == [
        ("k", b"\x00\xff", 0),
        ("gone", b"", 1),
    ]
    standin.expire("keyed.x")
    assert isinstance(await store.read("keyed.x", 0, 0), Expired)


async def test_an_append_without_a_connection_is_refused():
    """Guards against treating a call that was never sent as one that may have taken effect."""
    store = Store("127.0.0.1:1")
    with pytest.raises(StoreRefusedError):
        await store.append("keyed.x", [("a", b"1")])
    await store.close()
