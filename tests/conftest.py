"""Fixtures shared by all tests."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest

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
