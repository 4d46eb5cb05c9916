"""Generates seeded demand of the two firms at their current sizes (see ``docs/design.md``)."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from attrs import define, frozen

from tarragoncart.model import FleetConfig, Mode, PoolSpec, QueueSpec, TeamSpec, VmSpec

VMS_PER_POOL = 6
VMS_PER_RACK = 4
SLOTS_PER_VM = 8
DATA_CENTRE_COUNT = 3
POOL_SLOTS = VMS_PER_POOL * SLOTS_PER_VM

# Mean share of a pool's slots in use; a burst of five times that exceeds them by about a third.
MEAN_USE_RATIO = 0.27
BURST_FACTORS = (4.5, 5.5)
BURST_SECONDS = (6.0, 10.0)
IDLE_FACTOR = 0.05
# Standard deviation of the logarithm of actual and of declared run times.
ACTUAL_SIGMA = 0.8
DECLARED_SIGMA = 1.5
POISON_RATIO = 0.005

URGENT_DEADLINE_MS = 10_000.0
DEFERRED_DEADLINE_MS = 24 * 3_600_000.0


@frozen
class QueueLoad:
    """Demand of one queue.

    :param work_ratio: the queue's share of its pool's work.
    """

    spec: QueueSpec
    mean_run_ms: float
    work_ratio: float = 1.0


@frozen
class Firm:
    """An organisation with its queues and the demand of its teams.

    :param demand_ratios: share of the demand by team; a few teams are large.
    :param saturated_factors: by team, demand divided by the team's share of the fleet, when the
        fleet is saturated.
    """

    name: str
    queues: tuple[QueueLoad, ...]
    teams: tuple[TeamSpec, ...]
    demand_ratios: tuple[float, ...]
    saturated_factors: tuple[float, ...]
    spare: str = "backoffice"

    @property
    def pools(self) -> list[str]:
        """Names of the pools in order."""
        return list(dict.fromkeys(load.spec.pool for load in self.queues))


def _queue(
    name: str, pool: str, run_ms: float, urgent: bool, guarded: bool, work_ratio: float = 1.0
):
    mode = Mode.INTERACTIVE if urgent else Mode.DEFERRED
    return QueueLoad(QueueSpec(name, pool, mode, guarded), run_ms, work_ratio)


def _teams(prefix: str, weights: tuple[float, ...]) -> tuple[TeamSpec, ...]:
    limit_count = int(0.6 * 5 * POOL_SLOTS)
    return tuple(TeamSpec(f"{prefix}{n}", w, limit_count) for n, w in enumerate(weights))


# With these weights no team's share is a whole number of slots.
SHARE_WEIGHTS = (3.0, 2.7, 2.2, 1.9, 1.1, 0.8)
DEMAND_RATIOS = (0.35, 0.25, 0.2, 0.1, 0.06, 0.04)
SATURATED_FACTORS = (2.4, 2.0, 1.6, 1.5, 1.5, 1.5)

FIRMS = {
    "imisatsi": Firm(
        "imisatsi",
        (
            _queue("holds", "holds", 500.0, urgent=True, guarded=True),
            _queue("events", "events", 400.0, urgent=True, guarded=False),
            _queue("returns", "returns", 1_500.0, urgent=False, guarded=False),
            _queue("payments", "payments", 600.0, urgent=True, guarded=True),
            _queue("restyling", "backoffice", 2_000.0, urgent=False, guarded=False),
        ),
        _teams("client-", SHARE_WEIGHTS),
        DEMAND_RATIOS,
        SATURATED_FACTORS,
    ),
    "sundarban": Firm(
        "sundarban",
        (
            *(
                queue
                for pool in ("kolkata", "howrah", "siliguri", "durgapur")
                for queue in (
                    _queue(
                        f"{pool}-checks", pool, 400.0, urgent=True, guarded=False, work_ratio=0.6
                    ),
                    _queue(
                        f"{pool}-packs", pool, 2_000.0, urgent=False, guarded=True, work_ratio=0.4
                    ),
                )
            ),
            _queue("drawings", "backoffice", 2_000.0, urgent=False, guarded=False),
        ),
        _teams("client-", SHARE_WEIGHTS),
        DEMAND_RATIOS,
        SATURATED_FACTORS,
    ),
}


def fleet_config(firm: Firm) -> FleetConfig:
    """Return the firm's configuration: 5 pools of 6 VMs in 3 data centres, 4 VMs in a rack."""
    vms = []
    for number, pool in enumerate(firm.pools):
        for index in range(VMS_PER_POOL):
            centre, position = index % DATA_CENTRE_COUNT, index // DATA_CENTRE_COUNT
            index_in_centre = number * (VMS_PER_POOL // DATA_CENTRE_COUNT) + position
            rack = f"dc-{centre}-rack-{index_in_centre // VMS_PER_RACK}"
            vms.append(VmSpec(f"{pool}-{index}", pool, f"dc-{centre}", rack, "", SLOTS_PER_VM, 64))
    return FleetConfig(
        queues=tuple(load.spec for load in firm.queues),
        teams=firm.teams,
        # The spare pool's own work can wait, so more of its VMs may be unavailable at once.
        pools=tuple(
            PoolSpec(pool, 4 if pool == firm.spare else 2, 2, spare=pool == firm.spare)
            for pool in firm.pools
        ),
        vms=tuple(vms),
    )


@define
class SimJob:
    """A generated job.

    :param poison: whether the job fails on every worker.
    """

    job_id: str
    queue: QueueSpec
    team: TeamSpec
    arrival_ms: float
    actual_ms: float
    declared_ms: float
    deadline_ms: float
    poison: bool
    excluded: tuple[str, ...] = ()
    upstream: str = ""
    started_ms: float = 0.0
    epoch: int = 0

    @property
    def urgent(self) -> bool:
        """Whether a caller waits for the answer."""
        return self.queue.mode is Mode.INTERACTIVE


def _lognormal(rng: random.Random, mean: float, sigma: float) -> float:
    return mean * math.exp(rng.gauss(0.0, sigma) - sigma * sigma / 2)


def _job(
    rng: random.Random, number: int, load: QueueLoad, team: TeamSpec, arrival_ms: float
) -> SimJob:
    urgent = load.spec.mode is Mode.INTERACTIVE
    return SimJob(
        f"j-{number}",
        load.spec,
        team,
        arrival_ms,
        max(1.0, _lognormal(rng, load.mean_run_ms, ACTUAL_SIGMA)),
        max(1.0, _lognormal(rng, load.mean_run_ms, DECLARED_SIGMA)),
        arrival_ms + (URGENT_DEADLINE_MS if urgent else DEFERRED_DEADLINE_MS),
        rng.random() < POISON_RATIO,
    )


def _bursts(rng: random.Random, firm: Firm, seconds: float) -> Iterator[tuple[float, float, str]]:
    start_s = 0.0
    while start_s < seconds:
        for pool in firm.pools:
            end_s = start_s + rng.uniform(*BURST_SECONDS)
            yield start_s, min(end_s, seconds), pool
            start_s = end_s


def ordinary_jobs(firm: Firm, seed: int, seconds: float) -> list[SimJob]:
    """Return jobs ordered by arrival; pools take turns to burst and are nearly idle otherwise."""
    rng = random.Random(f"{seed} {firm.name} ordinary")
    arrivals: list[tuple[float, QueueLoad, TeamSpec]] = []
    for start_s, end_s, bursting in _bursts(rng, firm, seconds):
        burst_factor = rng.uniform(*BURST_FACTORS)
        for load in firm.queues:
            factor = burst_factor if load.spec.pool == bursting else IDLE_FACTOR
            slots = MEAN_USE_RATIO * POOL_SLOTS * load.work_ratio * factor
            at_s = start_s + rng.expovariate(rate := slots * 1_000 / load.mean_run_ms)
            while at_s < end_s:
                team = rng.choices(firm.teams, firm.demand_ratios)[0]
                arrivals.append((at_s * 1_000, load, team))
                at_s += rng.expovariate(rate)
    return _make_jobs(rng, arrivals)


def saturated_jobs(firm: Firm, seed: int, seconds: float) -> list[SimJob]:
    """Return jobs ordered by arrival; every team demands more than its share of the whole fleet.

    Each team sends two fifths of its work to one pool and the rest evenly to the others.
    """
    rng = random.Random(f"{seed} {firm.name} saturated")
    total_weight = sum(team.share_weight for team in firm.teams)
    arrivals: list[tuple[float, QueueLoad, TeamSpec]] = []
    pools = firm.pools
    for number, (team, factor) in enumerate(zip(firm.teams, firm.saturated_factors, strict=True)):
        slots = len(pools) * POOL_SLOTS * team.share_weight / total_weight * factor
        for load in firm.queues:
            is_main_pool = load.spec.pool == pools[number % len(pools)]
            work_share = 0.4 if is_main_pool else 0.6 / (len(pools) - 1)
            rate = slots * work_share * load.work_ratio * 1_000 / load.mean_run_ms
            at_s = rng.expovariate(rate)
            while at_s < seconds:
                arrivals.append((at_s * 1_000, load, team))
                at_s += rng.expovariate(rate)
    return _make_jobs(rng, arrivals)


def _make_jobs(
    rng: random.Random, arrivals: list[tuple[float, QueueLoad, TeamSpec]]
) -> list[SimJob]:
    arrivals.sort(key=lambda arrival: arrival[0])
    return [
        _job(rng, number, load, team, at_ms) for number, (at_ms, load, team) in enumerate(arrivals)
    ]
