"""Measures snapshot costs at the current and projected size: ``python -m bench.snapshot_cost``."""

from __future__ import annotations

import functools
import random
import statistics
import time
from collections.abc import Callable, Iterator
from typing import Any

from attrs import frozen

from tarragoncart import records, replay, snapshots
from tarragoncart.model import (
    FleetConfig,
    KeyGrant,
    Member,
    Outcome,
    PoolSpec,
    QueueSpec,
    TeamSpec,
    VmSpec,
    digest_key,
)

ROUND_COUNT = 9


@frozen
class Size:
    """Size of a fleet; half of the jobs have finished."""

    name: str
    vm_count: int
    pool_count: int
    team_count: int
    member_count: int
    job_count: int


SIZES = (
    Size("today", 30, 5, 6, 9, 1_000),
    Size("projected", 1_300, 68, 80, 40, 10_000),
)


def build_records(size: Size, seed: int = 1) -> Iterator[records.Envelope]:
    """Yield the records that create a fleet of that size."""
    rng = random.Random(seed)
    pools = [f"pool-{n}" for n in range(size.pool_count)]
    teams = [f"team-{n}" for n in range(size.team_count)]
    members = [f"{rng.getrandbits(64):016x}" for _ in range(size.member_count)]
    config = FleetConfig(
        tuple(QueueSpec(pool, pool) for pool in pools),
        tuple(TeamSpec(team, 1.0, 40) for team in teams),
        tuple(PoolSpec(pool, 1) for pool in pools),
        tuple(
            VmSpec(f"vm-{n}", pools[n % len(pools)], f"dc-{n % 11}", f"rack-{n // 4}", "10.0.0.1:8")
            for n in range(size.vm_count)
        ),
    )
    log_records: list[Any] = [records.Publish(0, config)]
    log_records += [records.GrantKey(KeyGrant(digest_key(team), team)) for team in teams]
    for n, member in enumerate(members):
        addresses = f"10.1.0.{n}:7000", f"10.1.0.{n}:8000"
        log_records.append(records.Join(Member(f"entry-{n}", member, f"dc-{n % 11}", *addresses)))
    log_records += [records.TakeRights(team, member, 2) for team in teams for member in members]
    for n in range(size.job_count):
        request_id, member = f"{rng.getrandbits(128):032x}", rng.choice(members)
        payload = {"order": f"{rng.getrandbits(64):016x}", "lines": list(range(8))}
        digest = f"{rng.getrandbits(256):064x}"
        queue, team = rng.choice(pools), rng.choice(teams)
        log_records.append(records.AcceptJob(request_id, queue, team, digest, payload, 900.0))
        log_records.append(records.ClaimJob(request_id, 1, member, f"vm-{n % size.vm_count}"))
        if n % 2:
            log_records.append(records.FinishJob(request_id, Outcome.ANSWERED, 1, payload))
    for at_ms, record in enumerate(log_records):
        batch_id = f"{rng.getrandbits(128):032x}"
        yield records.Envelope(batch_id, 0, "entry-0", at_ms, record)


def build_state(size: Size, seed: int = 1) -> replay.FleetState:
    """Return the state of a fleet of that size by replaying its records."""
    state = replay.FleetState()
    for offset, envelope in enumerate(build_records(size, seed)):
        replay.apply(state, offset, envelope)
    return state


def median_ms(action: Callable[[], Any]) -> float:
    """Return the median processor time of an action in ms."""
    times = []
    for _ in range(ROUND_COUNT):
        start_ns = time.process_time_ns()
        action()
        times.append((time.process_time_ns() - start_ns) / 1e6)
    return statistics.median(times)


def assemble(parts: list[records.SnapshotPart]) -> replay.FleetState | None:
    """Return the state that the parts of a snapshot hold, None if parts are missing."""
    assembler = snapshots.SnapshotAssembler()
    return [assembler.add(part) for part in parts][-1]


def main() -> None:
    """Print one line for each size."""
    for size in SIZES:
        state = build_state(size)
        parts = snapshots.encode_snapshot(state, "s")
        encode_ms = median_ms(functools.partial(snapshots.encode_snapshot, state, "s"))
        decode_ms = median_ms(functools.partial(assemble, parts))
        size_bytes = sum(len(part.data) for part in parts)
        print(
            f"{size.name}: encode {encode_ms:.1f} ms, decode {decode_ms:.1f} ms,"
            f" {size_bytes} bytes in {len(parts)} parts"
        )


if __name__ == "__main__":
    main()
