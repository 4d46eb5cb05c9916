"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from typing import Any

from ..errors import SettingsError
from ..node import NodeSettings

SETTINGS_VARIABLE = "TARRAGONCART_SETTINGS"
# Offset of the metrics port from the peer port; deploy/system.toml contains the resulting port.
METRICS_PORT_OFFSET = 1
LINK_DEFAULT_MBPS = 1_000.0


def load_settings(environ: Mapping[str, str] = os.environ) -> NodeSettings:
    """Read the settings file that the environment variable names.

    :raises SettingsError: if the file is missing, unreadable or lacks a field.
    """
    path = environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(
            "environment variable is not set", step="load settings", peer=SETTINGS_VARIABLE
        )
    try:
        with open(path, "rb") as file:
            return decode_settings(tomllib.load(file))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(str(error), step="load settings", peer=path) from error


def decode_settings(data: Mapping[str, Any]) -> NodeSettings:
    """Convert the decoded file to settings; unknown fields are ignored.

    :raises SettingsError: naming the missing or malformed field.
    """
    try:
        bounds = data["bounds"]
        limits = data.get("limits", {})
        core_count = float(limits.get("cpu-share", 1.0)) * float(limits.get("cores", 1))
        inner_port = int(data["port-range"][0])
        return NodeSettings(
            name=data["node"],
            data_centre=data["zone"],
            # The platform reserves this port range for traffic between entry VMs.
            peer_address=f"{data['ip']}:{inner_port}",
            metrics_address=f"{data['ip']}:{inner_port + METRICS_PORT_OFFSET}",
            caller_address=data["listen-addrs"]["front"],
            ready_address=data["listen-addrs"]["ready"],
            store_address=data["platform"]["address"],
            store_call_bytes=int(data["platform"].get("call-bytes", 2_097_152)),
            store_record_bytes=int(data["platform"].get("record-bytes", 262_144)),
            membership_ttl_min_ms=int(data["platform"].get("ttl-min-ms", 1_000)),
            topic_part_count=max(1, int(data["platform"].get("parts", 1))),
            fleet_address=data.get("cloud", {}).get("address", ""),
            advice_address=data.get("advice", ""),
            key_freshness_ms=int(bounds["revoke-ms"]),
            config_freshness_ms=int(bounds["config-ms"]),
            # ``hold-max-ms`` is the longest lease that an upstream grants.
            lease_max_ms=int(bounds["hold-max-ms"]),
            stop_ms=int(bounds["stop-ms"]),
            fence_quiet_ms=int(bounds["lease-ms"]),
            retention_ms=int(bounds["status_s"] * 1_000),
            shutdown_ms=int(bounds["grace-s"] * 1_000),
            cpu_millicores=round(1_000 * core_count),
            link_mbps=float(limits.get("link-mbps", LINK_DEFAULT_MBPS)),
            memory_mb=int(limits.get("memory-mb", 0)),
            fd_limit_count=int(limits.get("max-fds", 0)),
            # ``evacuate-ms`` is there only if operators may evacuate data centres.
            evacuation_ms=int(bounds["evacuate-ms"]) if "evacuate-ms" in bounds else None,
        )
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise SettingsError(
            f"missing or malformed field: {error!r}", step="load settings", peer="settings"
        ) from error
