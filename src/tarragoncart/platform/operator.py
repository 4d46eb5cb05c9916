"""Decodes the records of operators and upstreams in the store, and encodes status records."""

from __future__ import annotations

from typing import Any

from ..decoding import (
    UNIX_MS_MAX,
    check_address,
    check_object,
    check_str,
    decoder,
    get_bool,
    get_float,
    get_int,
    get_items,
    get_object,
    get_str,
    parse_object,
)
from ..errors import DecodeError
from ..graph import (
    AccountRule,
    Demand,
    PoolRule,
    QueueRule,
    Rules,
    UpstreamEntry,
    WaveRequest,
)
from .wire import dump_json

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
# The rest of the key names a data centre.
EVACUATION_PREFIX = "evacuate/"


def decode_demand(data: Any) -> Demand:
    """Decode resources; fields left out are zero.

    :raises DecodeError: for fields of another type or negative ones.
    """
    check_object(data, "resources")
    return Demand(get_int(data, "cpu"), get_int(data, "mem-mb"), get_int(data, "gpu"))


@decoder("configuration")
def decode_rules(body: bytes) -> Rules:
    """Decode a configuration.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(body)
    if "version" not in data:
        raise DecodeError("missing", place="version")
    tenants = get_items(data, "tenants", check_object)
    pools = get_items(data, "services", _decode_pool)
    accounts = tuple(_decode_account(tenant) for tenant in tenants)
    return Rules(
        version=get_int(data, "version"),
        queues=get_items(data, "routes", _decode_queue),
        pools={pool.name: pool for pool in pools},
        accounts={account.name: account for account in accounts},
        accounts_by_key={
            key: get_str(tenant, "name")
            for tenant in tenants
            for key in get_items(tenant, "api-keys", check_str)
        },
        body_size_bytes=get_int(get_object(data, "limits"), "max-body-bytes", 256 * 1024),
    )


def _decode_pool(service: Any) -> PoolRule:
    check_object(service)
    return PoolRule(
        check_str(service.get("name"), "name"),
        get_bool(service, "spare"),
        get_bool(service, "admission-check"),
    )


def _decode_account(tenant: dict[str, Any]) -> AccountRule:
    return AccountRule(
        check_str(tenant.get("name"), "name"),
        get_float(tenant, "weight", 1) or 1.0,
        decode_demand(get_object(tenant, "cap")),
    )


def _decode_queue(route: Any) -> QueueRule:
    check_object(route)
    return QueueRule(
        name=check_str(route.get("name"), "name"),
        pool=get_str(route, "backend"),
        hostname=get_str(route, "hostname"),
        path_prefix=get_str(route, "path-prefix"),
        priority=get_int(route, "priority-class"),
        max_attempts=max(1, get_int(route, "max-attempts", 1)),
        stretch=get_float(route, "stretch", 1) or 1.0,
        target_latency_ms=get_int(route, "target-latency-ms"),
        public=get_bool(route, "public"),
        needs_advice=bool(route.get("advice")),
    )


@decoder("maintenance wave")
def decode_wave(body: bytes) -> WaveRequest:
    """Decode a request for a maintenance wave.

    :raises DecodeError: if it is malformed.
    """
    data = parse_object(body)
    return WaveRequest(
        number=get_int(data, "wave"),
        vm_ids=get_items(data, "machines", check_str),
        within_s=get_float(data, "within-s"),
        # Here, ``cap`` is the number of VMs that may be down at once.
        concurrent_count=max(1, get_int(data, "cap", 1)),
    )


def wave_status_record(number: int, completed: bool) -> tuple[str, bytes]:
    """Return the status record of a wave."""
    phase = "completed" if completed else "running"
    return f"wave/{number}", dump_json({"wave": number, "phase": phase})


@decoder("registration")
def decode_upstream(upstream_id: str, body: bytes) -> UpstreamEntry:
    """Decode an upstream's registration.

    :raises DecodeError: if fields are missing, have another type, an unknown value or one that is
        out of range.
    """
    data = parse_object(body)
    phase = get_str(data, "phase")
    if phase not in ("ready", "draining"):
        raise DecodeError("neither ready nor draining", place="phase")
    pool = get_str(data, "backend")
    if not pool:
        raise DecodeError("missing or empty", place="backend")
    return UpstreamEntry(
        upstream_id=upstream_id,
        pool=pool,
        address=check_address(data.get("address"), "address"),
        data_centre=get_str(data, "zone"),
        draining=phase == "draining",
        capacity=decode_demand(data.get("capacity")),
        labels=frozenset(get_items(data, "labels", check_str)),
        started_ms=get_int(data, "born", high=UNIX_MS_MAX),
        leaving_ms=get_int(data, "remaining-ms"),
        cold_left_ms=get_int(data, "cold-left-ms"),
    )
