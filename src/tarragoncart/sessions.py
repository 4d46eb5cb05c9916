"""Connectors of outgoing HTTP sessions."""

from __future__ import annotations

import aiohttp

DEFAULT_LIMIT_COUNT = 100


def make_connector(
    source_address: str, limit_count: int = DEFAULT_LIMIT_COUNT
) -> aiohttp.TCPConnector:
    """Return a connector for a session.

    :param source_address: local IP of its connections, empty for the system's choice.
    :param limit_count: most connections at once, 0 for no limit.
    """
    local = (source_address, 0) if source_address else None
    return aiohttp.TCPConnector(limit=limit_count, local_addr=local)
