"""Runs both firms' fleets as separate processes on loopback, with callers of every team."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import typer
from attrs import evolve

from tarragoncart.model import FleetConfig
from tarragoncart.operator_api import Operator
from tarragoncart.settings import load_fleet_config

from .callers import Caller
from .checks import run_checks, totals
from .history import read_history
from .processes import Deployment, HistoryWriter

FIRMS = ("imisatsi", "sundarban")
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def limit_vms_per_pool(config: FleetConfig, vms_per_pool_count: int) -> FleetConfig:
    """Return the configuration with only the first VMs of each pool and reduced budgets."""
    seen: Counter[str] = Counter()
    vms = []
    for vm in config.vms:
        seen[vm.pool] += 1
        if seen[vm.pool] <= vms_per_pool_count:
            vms.append(vm)
    pools = tuple(
        evolve(pool, min_available_count=min(pool.min_available_count, vms_per_pool_count - 1))
        for pool in config.pools
    )
    return evolve(config, vms=tuple(vms), pools=pools)


async def run_firm(
    firm: str, directory: Path, seed: int, entry_count: int, vms_per_pool_count: int, jobs: int
) -> dict[str, Any]:
    """Run one firm's fleet and return the totals of its history."""
    config = limit_vms_per_pool(
        load_fleet_config(EXAMPLES / f"{firm}.fleet.json"), vms_per_pool_count
    )
    deployment = Deployment(directory, config, entry_count)
    started_s = time.monotonic()
    try:
        await deployment.start()
        await deployment.wait_ready()
        _print_progress(
            f"{firm}: {entry_count} entry VMs and {len(config.vms)} workers are up", started_s
        )
        await _run_callers(firm, deployment, seed, jobs)
        _print_progress(f"{firm}: all callers have their replies", started_s)
    finally:
        await deployment.stop()
    history = read_history(directory)
    findings = run_checks(history)
    for finding in findings:
        for detail in finding.details[:5]:
            print(f"{firm}: {finding.name}: {detail}", flush=True)
    return totals(history, findings)


async def make_callers(firm: str, deployment: Deployment, seed: int) -> list[Caller]:
    """Publish the configuration, grant a key to each team and return a caller for each."""
    addresses = list(deployment.client_addresses.values())
    operator_log = HistoryWriter(deployment.directory / "operator.jsonl", "operator", "operator")
    caller_log = HistoryWriter(deployment.directory / "callers.jsonl", "caller", firm)
    config = deployment.config
    callers = []
    async with Operator(tuple(addresses), "demo") as operator:
        published = await operator.publish(config)
        operator_log.write("publish_reply", accepted=True, version=published["version"])
        for number, team in enumerate(config.teams):
            granted = await operator.grant_key(team.name)
            operator_log.write("key_grant_reply", key_id=granted["key_id"], team=team.name)
            rng = random.Random(f"{seed}-{team.name}")
            callers.append(
                Caller(
                    f"{firm}-{number}",
                    team.name,
                    granted["key"],
                    addresses,
                    caller_log,
                    config,
                    rng,
                )
            )
    print(f"{firm}: configuration published, {len(callers)} keys granted", flush=True)
    return callers


async def _run_callers(firm: str, deployment: Deployment, seed: int, jobs: int) -> None:
    callers = await make_callers(firm, deployment, seed)
    teams = deployment.config.teams
    total_weight = sum(team.share_weight for team in teams)
    async with asyncio.TaskGroup() as group:
        for caller, team in zip(callers, teams, strict=True):
            count = max(10, round(jobs * team.share_weight / total_weight))
            group.create_task(caller.run(count, rate_per_s=count / 6))
    await asyncio.gather(*(caller.collect(wait_ms=10_000) for caller in callers))


def _print_progress(message: str, started_s: float) -> None:
    print(f"{message} ({time.monotonic() - started_s:.1f} s)", flush=True)


def main(
    seed: Annotated[int, typer.Option(help="Seed of the callers' demand.")] = 1,
    entries: Annotated[int, typer.Option(help="Entry VMs of each firm.")] = 7,
    vms_per_pool: Annotated[int, typer.Option(help="Workers in each pool.")] = 6,
    jobs: Annotated[int, typer.Option(help="Jobs of each firm.")] = 1_200,
    directory: Annotated[
        Path, typer.Option(help="Directory for the histories; replaced if it exists.")
    ] = Path("out/demo"),
) -> None:
    """Run the fleets of both firms in turn and print the totals as one JSON line."""
    shutil.rmtree(directory, ignore_errors=True)
    sums: Counter[str] = Counter()
    for firm in FIRMS:
        result = asyncio.run(run_firm(firm, directory / firm, seed, entries, vms_per_pool, jobs))
        sums.update({name: value for name, value in result.items() if value})
    names = (
        "accepted",
        "answered",
        "lost",
        "doubled",
        "refused_not_run",
        "outcome_unknown",
        "max_over_limit",
    )
    print(json.dumps({**{name: sums[name] for name in names}, "seed": seed}))
    sys.exit(1 if sums["lost"] or sums["doubled"] or sums["max_over_limit"] else 0)


if __name__ == "__main__":
    typer.run(main)
