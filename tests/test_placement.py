"""Placement of waiting jobs on the upstreams of a pool."""

from __future__ import annotations

import random

from attrs import evolve

from tarragoncart import defaults
from tarragoncart.fairqueue import SlotTimeLedger
from tarragoncart.model import HealthVerdict, Job, Mode, PolicySpec, VmSpec
from tarragoncart.placement import PoolPlacement, UpstreamFacts
from tarragoncart.upstream import UpstreamChanged

JOB = Job("r", "holds", "shop", {}, "d", 1.0, 1e9, False, Mode.INTERACTIVE, "holds")


def test_a_pool_left_with_an_ejected_upstream_probes_it():
    """Guards against a stalled queue after the healthy upstreams were moved to other pools."""
    pool = PoolPlacement.create(PolicySpec(), "dc-1", random.Random(1), SlotTimeLedger())
    for name in ("a", "b", "c"):
        spec = VmSpec(name, "holds", "dc-1", "rack-1", "127.0.0.1:1")
        pool.add(UpstreamFacts(spec, connection_limit_count=8))
        pool.observe(UpstreamChanged(name, leased=True, slot_count=8, boot_id="boot"), 0)
    for name in ("b", "c"):
        pool.health.record(name, HealthVerdict.RESULT, 0)
    for _ in range(defaults.EJECT_AFTER_FAILURES_COUNT):
        pool.health.record("a", HealthVerdict.ERROR_ANSWER, 1)
    assert pool.health.state("a") == "ejected"
    for name in ("b", "c"):
        pool.discard(name)
    pool.enqueue(JOB, 1.0, 2)
    pool.enqueue(evolve(JOB, request_id="s"), 1.0, 2)

    def place(now_ms: float) -> tuple[str, str] | None:
        return pool.next_placement(lambda _: True, lambda _: set(), now_ms)

    assert place(2) is None
    assert place(1 + defaults.EJECT_DURATION_MS) == ("r", "a")
    assert place(1 + defaults.EJECT_DURATION_MS) is None
