"""Outgoing HTTP sessions and their connectors."""

from __future__ import annotations

import aiohttp

DEFAULT_LIMIT_COUNT = 100


def open_session(
    limit_count: int, keepalive_s: float, timeout_ms: float | None = None
) -> aiohttp.ClientSession:
    """Return a session that stores no cookies and omits headers that none of the servers reads.

    :param limit_count: maximum number of concurrent connections.
    :param keepalive_s: time for which an idle connection is kept open.
    :param timeout_ms: limit for a whole call; None if each call sets its own.
    """
    total_s = None if timeout_ms is None else timeout_ms / 1_000
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=limit_count, keepalive_timeout=keepalive_s),
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(total=total_s),
    )


def make_connector(
    source_address: str, limit_count: int = DEFAULT_LIMIT_COUNT
) -> aiohttp.TCPConnector:
    """Return a connector for a session.

    :param source_address: local IP address of connections; empty to let the system choose.
    :param limit_count: maximum number of concurrent connections, 0 for no limit.
    """
    local = (source_address, 0) if source_address else None
    return aiohttp.TCPConnector(limit=limit_count, local_addr=local)
