"""Settings of entry VMs that run against stand-ins."""

from __future__ import annotations

from typing import Any

from tarragoncart.node import NodeSettings

FREE_ADDRESS = "127.0.0.1:0"


def make_node_settings(name: str, **changes: Any) -> NodeSettings:
    """Return test settings of an entry VM: free ports, no platform services.

    :param changes: settings that differ from these.
    """
    values: dict[str, Any] = {
        "name": name,
        "data_centre": "dc-1",
        "peer_address": FREE_ADDRESS,
        "caller_address": FREE_ADDRESS,
        "ready_address": FREE_ADDRESS,
        "metrics_address": FREE_ADDRESS,
        "store_address": "",
        "fleet_address": "",
        "advice_address": "",
        "key_freshness_ms": 5_000,
        "config_freshness_ms": 2_000,
        "lease_max_ms": 6_000,
        "stop_ms": 200,
        "fence_quiet_ms": 3_000,
        "retention_ms": 120_000,
        "shutdown_ms": 6_000,
        "store_call_bytes": 2_097_152,
        "store_record_bytes": 262_144,
        "membership_ttl_min_ms": 1_000,
        "topic_part_count": 2,
        "cpu_millicores": 1_000,
        "link_mbps": 1_000.0,
    }
    return NodeSettings(**values | changes)
