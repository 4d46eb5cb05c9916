"""Waiting for a condition in tests with real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.02


async def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> bool:
    """Wait until a condition holds and return whether it does.

    :param timeout_s: how long to wait at most.
    """
    for _ in range(int(timeout_s / POLL_INTERVAL_S)):
        if condition():
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False
