"""Decodes the records of operators and upstreams in the store, and encodes status records."""

from __future__ import annotations

from typing import Any

from ..graph import (
    AccountRule,
    Demand,
    PoolRule,
    QueueRule,
    Rules,
    UpstreamEntry,
    WaveRequest,
)
from .wire import dump_json, get_bool, get_int, get_str, load_json

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"


def decode_demand(data: Any) -> Demand:
    """Decode resources; fields left out are zero.

    :raises ValueError: for fields of another type.
    """
    if not isinstance(data, dict):
        raise ValueError(f"resources are not an object: {data!r}")
    return Demand(get_int(data, "cpu"), get_int(data, "mem-mb"), get_int(data, "gpu"))


def decode_rules(body: bytes) -> Rules:
    """Decode a configuration.

    :raises ValueError: if it is malformed.
    """
    data = load_json(body)
    if not isinstance(data, dict):
        raise ValueError("configuration is not an object")
    tenants = data.get("tenants", ())
    return Rules(
        version=get_int(data, "version"),
        queues=tuple(_decode_queue(route) for route in data.get("routes", ())),
        pools={
            service["name"]: PoolRule(
                service["name"], get_bool(service, "spare"), get_bool(service, "admission-check")
            )
            for service in data.get("services", ())
        },
        accounts={
            tenant["name"]: AccountRule(
                tenant["name"],
                float(tenant.get("weight", 1) or 1),
                decode_demand(tenant.get("cap") or {}),
            )
            for tenant in tenants
        },
        accounts_by_key={
            key: tenant["name"] for tenant in tenants for key in tenant.get("api-keys", ())
        },
        body_size_bytes=get_int(data.get("limits", {}), "max-body-bytes", 256 * 1024),
    )


def _decode_queue(route: dict[str, Any]) -> QueueRule:
    return QueueRule(
        name=route["name"],
        pool=get_str(route, "backend"),
        hostname=get_str(route, "hostname"),
        path_prefix=get_str(route, "path-prefix"),
        priority=get_int(route, "priority-class"),
        max_attempts=max(1, get_int(route, "max-attempts", 1)),
        stretch=float(route.get("stretch", 1) or 1),
        target_latency_ms=get_int(route, "target-latency-ms"),
        public=get_bool(route, "public"),
        needs_advice=bool(route.get("advice")),
    )


def decode_wave(body: bytes) -> WaveRequest:
    """Decode a request for a maintenance wave.

    :raises ValueError: if it is malformed.
    """
    data = load_json(body)
    return WaveRequest(
        number=get_int(data, "wave"),
        vm_ids=tuple(str(vm) for vm in data.get("machines", ())),
        within_s=float(data.get("within-s", 0)),
        # Here, ``cap`` is the number of VMs that may be down at once.
        concurrent_count=max(1, get_int(data, "cap", 1)),
    )


def wave_status_record(number: int, completed: bool) -> tuple[str, bytes]:
    """Return the status record of a wave."""
    phase = "completed" if completed else "running"
    return f"wave/{number}", dump_json({"wave": number, "phase": phase})


def decode_upstream(upstream_id: str, body: bytes) -> UpstreamEntry:
    """Decode an upstream's registration.

    :raises ValueError: if fields are missing, have another type or an unknown value.
    """
    data = load_json(body)
    if not isinstance(data, dict):
        raise ValueError("upstream's registration is not an object")
    phase = get_str(data, "phase")
    if phase not in ("ready", "draining"):
        raise ValueError(f"unknown phase {phase!r}")
    address = get_str(data, "address")
    if ":" not in address:
        raise ValueError(f"address lacks a port: {address!r}")
    pool = get_str(data, "backend")
    if not pool:
        raise ValueError("backend is missing or empty")
    labels = data.get("labels", ())
    if not isinstance(labels, list):
        raise ValueError("labels is not a list")
    return UpstreamEntry(
        upstream_id=upstream_id,
        pool=pool,
        address=address,
        data_centre=get_str(data, "zone"),
        draining=phase == "draining",
        capacity=decode_demand(data.get("capacity")),
        labels=frozenset(str(label) for label in labels),
        started_ms=get_int(data, "born"),
        leaving_ms=get_int(data, "remaining-ms"),
        cold_left_ms=get_int(data, "cold-left-ms"),
    )
