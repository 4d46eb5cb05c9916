"""Registry of the failures that ``bench.prove`` injects; each function also ends its failure."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from attrs import define, field, frozen

from standins.crowd import Crowd, behaviours
from tarragoncart.errors import TarragoncartError
from tarragoncart.operator_api import Operator
from tarragoncart.registry import Registry

from .processes import HistoryWriter
from .relayed import RelayedDeployment
from .untrusted import entry_caller_endpoint

# Timeout of a control call to a stand-in, which does not answer while paused or rebooting.
CONTROL_TIMEOUT_S = 4.0
# Longer than the time without heartbeats after which a member is retired.
LONG_OUTAGE_MS = 11_500.0
UNTRUSTED_CLIENT_COUNT = 60


@define
class FailureContext:
    """The running deployment that failures act on, and the clients to control it.

    :param runner_log: history of the runner, which the checks read.
    """

    deployment: RelayedDeployment
    runner_log: HistoryWriter
    session: aiohttp.ClientSession
    operator: Operator
    _locks: dict[str, asyncio.Lock] = field(init=False, factory=dict)

    @asynccontextmanager
    async def lock_targets(self, names: Iterable[str]) -> AsyncIterator[None]:
        """Lock targets against other failures; locks are taken in name order to avoid deadlocks."""
        locks = [self._locks.setdefault(name, asyncio.Lock()) for name in sorted(set(names))]
        for lock in locks:
            await lock.acquire()
        try:
            yield
        finally:
            for lock in locks:
                lock.release()

    async def kill(self, names: list[str]) -> None:
        """Kill processes with SIGKILL and record it after they have ended."""
        group = self.deployment.group
        for name in names:
            group.send(name, signal.SIGKILL)
        await asyncio.gather(*(group.wait(name) for name in names))
        self.runner_log.write("kill", target=names)

    async def restore(self, names: list[str]) -> None:
        """Start replacements without state for processes that have ended."""
        await asyncio.gather(*(self.deployment.restart(name) for name in names))
        self.runner_log.write("fault_end", target=names)

    async def cut(self, centre: str, *, others: bool, platform: bool) -> None:
        """Cut the links of a data centre to the other data centres, the platform or both."""
        unreachable = [*self.deployment.other_centres(centre)] * others + ["platform"] * platform
        # "from" holds what the data centre can no longer reach; checks look for the platform there.
        self.runner_log.write("cut", **{"target": centre, "from": unreachable})
        await self.deployment.set_cut(centre, others=others, platform=platform, on=True)

    async def heal(self, centre: str, *, others: bool, platform: bool) -> None:
        """Restore the links that :meth:`cut` has cut."""
        await self.deployment.set_cut(centre, others=others, platform=platform, on=False)
        self.runner_log.write("heal", target=centre)

    async def platform_fault(self, fault: str, on: bool, **params: Any) -> None:
        """Switch a fault of the platform on or off."""
        self.runner_log.write("fault" if on else "fault_end", target="platform", fault=fault)
        url = f"http://{self.deployment.platform_direct_address}/control/faults"
        await self._post(url, {"fault": fault, "on": on, **params})

    async def worker_fault(self, worker: str, fault: str, on: bool, **params: Any) -> None:
        """Switch a fault of a worker on or off.

        A failed call is only recorded, because a worker process that has ended has no fault left
        to switch off.
        """
        self.runner_log.write("worker_fault", worker=worker, fault=fault, on=on)
        url = f"http://{self.deployment.worker_direct_addresses[worker]}/control/faults"
        await self._post(url, {"fault": fault, "on": on, **params})

    async def act_on_vm(self, worker: str, action: str, **params: Any) -> None:
        """Drain, undrain or reboot a VM through the platform."""
        url = f"http://{self.deployment.platform_direct_address}/vms/{worker}/{action}"
        await self._post(url, params)

    async def _post(self, url: str, body: dict[str, Any]) -> None:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self.session.post(url, json=body, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.runner_log.write("control_failed", url=url, error=repr(error))


class FailureRandom(random.Random):
    """Random number generator of one failure.

    :param may_be_long: whether the failure may last until members are retired.
    """

    def __init__(self, seed: str, may_be_long: bool) -> None:
        super().__init__(seed)
        self._may_be_long = may_be_long

    def outage_s(self) -> float:
        """Return a random duration for the outage of an entry VM or a data centre."""
        usual_s = self.uniform(4, 7)
        return LONG_OUTAGE_MS / 1_000 if self.random() < 0.4 and self._may_be_long else usual_s


Failure = Callable[[FailureContext, FailureRandom], Awaitable[None]]
FAILURES: Registry[Failure] = Registry("failure")


@frozen
class PlannedFailure:
    """A scheduled failure.

    :param start_ms: time since the start of the schedule.
    :param name: name of the failure in ``FAILURES``.
    :param may_be_long: whether there is time for a failure that lasts until members are retired.
    """

    start_ms: float
    name: str
    seed: str
    may_be_long: bool


def plan_failures(seed: int, duration_ms: float) -> list[PlannedFailure]:
    """Return the schedule of a seed: failures in succession, some of them in overlapping pairs."""
    rng = random.Random(f"failures-{seed}")
    names = [name for name, _ in FAILURES.items()]
    remaining_names: list[str] = []
    plan: list[PlannedFailure] = []
    at_ms = 500.0
    while at_ms < duration_ms - 3_000:
        for number in range(rng.choice((1, 1, 2))):
            if not remaining_names:
                remaining_names = rng.sample(names, len(names))
            plan.append(
                PlannedFailure(
                    at_ms,
                    remaining_names.pop(),
                    f"{seed}-{len(plan)}-{number}",
                    at_ms < duration_ms - LONG_OUTAGE_MS,
                )
            )
            at_ms += rng.uniform(0, 800)
        at_ms += rng.uniform(1_500, 3_500)
    return plan


async def run_failures(context: FailureContext, plan: list[PlannedFailure]) -> None:
    """Inject the failures of a schedule and return when all have ended."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()

    async def inject(planned: PlannedFailure) -> None:
        await asyncio.sleep(started_s + planned.start_ms / 1_000 - loop.time())
        context.runner_log.write("failure_begins", failure=planned.name)
        failure_random = FailureRandom(planned.seed, planned.may_be_long)
        await FAILURES.get(planned.name)(context, failure_random)
        context.runner_log.write("failure_ends", failure=planned.name)

    async with asyncio.TaskGroup() as group:
        for planned in plan:
            group.create_task(inject(planned))


# Entry VMs


@FAILURES.register("entry_killed")
async def entry_killed(context: FailureContext, rng: FailureRandom) -> None:
    """Kill an entry VM and start a replacement without state."""
    name = rng.choice(sorted(context.deployment.entries))
    async with context.lock_targets([name]):
        await context.kill([name])
        await asyncio.sleep(rng.uniform(0.2, 2))
        await context.restore([name])


@FAILURES.register("entry_paused")
async def entry_paused(context: FailureContext, rng: FailureRandom) -> None:
    """Pause an entry VM until its leases have expired, sometimes until it has been retired."""
    name = rng.choice(sorted(context.deployment.entries))
    async with context.lock_targets([name]):
        context.runner_log.write("pause", target=name)
        context.deployment.group.send(name, signal.SIGSTOP)
        try:
            await asyncio.sleep(rng.outage_s())
        finally:
            context.deployment.group.send(name, signal.SIGCONT)
        context.runner_log.write("resume", target=name)


@FAILURES.register("entry_stopped")
async def entry_stopped(context: FailureContext, rng: FailureRandom) -> None:
    """Stop an entry VM gracefully under load and replace it."""
    name = rng.choice(sorted(context.deployment.entries))
    async with context.lock_targets([name]):
        context.runner_log.write("planned_stop", target=name)
        context.deployment.group.send(name, signal.SIGTERM)
        await context.deployment.group.wait(name)
        context.runner_log.write("stopped", target=name)
        await context.restore([name])


# Callers


@FAILURES.register("untrusted_clients")
async def untrusted_clients(context: FailureContext, rng: FailureRandom) -> None:
    """Let clients that respect no limit occupy the listener for callers of one entry VM."""
    name = rng.choice(sorted(context.deployment.entries))
    behaviour = rng.choice(sorted(behaviours))
    async with context.lock_targets([name]):
        context.runner_log.write("untrusted_clients", target=name, behaviour=behaviour)
        endpoint = entry_caller_endpoint(context.deployment.client_addresses[name])
        crowd = Crowd(endpoint, behaviours.get(behaviour), UNTRUSTED_CLIENT_COUNT)
        try:
            await crowd.gather()
            await asyncio.sleep(rng.uniform(1, 3))
        finally:
            await crowd.close()


# Networks


async def _cut_centre(
    context: FailureContext, rng: FailureRandom, *, others: bool, platform: bool
) -> None:
    centre = rng.choice(context.deployment.data_centres)
    async with context.lock_targets([f"network {centre}"]):
        await context.cut(centre, others=others, platform=platform)
        await asyncio.sleep(rng.outage_s())
        await context.heal(centre, others=others, platform=platform)


@FAILURES.register("centre_cut_from_others")
async def centre_cut_from_others(context: FailureContext, rng: FailureRandom) -> None:
    """Cut a data centre off from the other data centres."""
    await _cut_centre(context, rng, others=True, platform=False)


@FAILURES.register("centre_cut_from_platform")
async def centre_cut_from_platform(context: FailureContext, rng: FailureRandom) -> None:
    """Cut a data centre off from the platform."""
    await _cut_centre(context, rng, others=False, platform=True)


@FAILURES.register("centre_isolated")
async def centre_isolated(context: FailureContext, rng: FailureRandom) -> None:
    """Cut a data centre off from the others and from the platform."""
    await _cut_centre(context, rng, others=True, platform=True)


@FAILURES.register("centre_lost")
async def centre_lost(context: FailureContext, rng: FailureRandom) -> None:
    """Kill all entry VMs and workers of a data centre and replace them some seconds later."""
    names = context.deployment.processes_in(rng.choice(context.deployment.data_centres))
    async with context.lock_targets(names):
        await context.kill(names)
        await asyncio.sleep(rng.uniform(2, 5))
        await context.restore(names)


# Log and VM list of the platform


async def _platform_fault(
    context: FailureContext, seconds: float, fault: str, **params: Any
) -> None:
    async with context.lock_targets([f"platform {fault}"]):
        await context.platform_fault(fault, True, **params)
        await asyncio.sleep(seconds)
        await context.platform_fault(fault, False)


@FAILURES.register("log_outage")
async def log_outage(context: FailureContext, rng: FailureRandom) -> None:
    """Make the log refuse all calls."""
    await _platform_fault(context, rng.uniform(2, 7), "outage")


@FAILURES.register("log_slow")
async def log_slow(context: FailureContext, rng: FailureRandom) -> None:
    """Delay all calls to the log; above 1,500 ms, appends time out before they take effect."""
    delay_ms = rng.choice((400, 900, 1_800))
    await _platform_fault(context, rng.uniform(3, 6), "slow", delay_ms=delay_ms)


@FAILURES.register("append_answers_lost")
async def append_answers_lost(context: FailureContext, rng: FailureRandom) -> None:
    """Drop some or all answers to appends that have taken effect."""
    ratio = rng.uniform(0.3, 1)
    await _platform_fault(context, rng.uniform(3, 6), "lose_answers", ratio=ratio)


@FAILURES.register("log_retention")
async def log_retention(context: FailureContext, rng: FailureRandom) -> None:
    """Limit the log to few records, so that readers that lag behind find a gap.

    The limit is well above one append of a few dozen records, so an append does not evict records
    that nobody has read. No real platform evicts those, and they could not be recovered.
    """
    await _platform_fault(
        context, rng.uniform(4, 7), "retention", record_count=rng.choice((60, 100, 200))
    )


@FAILURES.register("vm_list_wrong")
async def vm_list_wrong(context: FailureContext, rng: FailureRandom) -> None:
    """Hide a VM from the VM list, add an unknown one, and list a serving one as leaving."""
    names = [vm.name for vm in context.deployment.config.vms]
    hidden, shown = rng.sample(names, 2)
    wrong = {"name": shown, "address": "127.0.0.1:1", "state": "leaving"}
    await _platform_fault(
        context, rng.uniform(2, 4), "wrong_vm_list", hidden=[hidden], added=["unknown-1", wrong]
    )


# Workers


async def _worker_faults(
    context: FailureContext, workers: list[str], seconds: float, fault: str, **params: Any
) -> None:
    async with context.lock_targets(workers):
        for worker in workers:
            await context.worker_fault(worker, fault, True, **params)
        await asyncio.sleep(seconds)
        for worker in workers:
            await context.worker_fault(worker, fault, False)


def _random_pool_workers(context: FailureContext, rng: FailureRandom) -> list[str]:
    pool = rng.choice(context.deployment.config.pools).name
    return [vm.name for vm in context.deployment.config.vms if vm.pool == pool]


def _random_worker(context: FailureContext, rng: FailureRandom) -> str:
    return rng.choice([vm.name for vm in context.deployment.config.vms])


@FAILURES.register("worker_fails_everything")
async def worker_fails_everything(context: FailureContext, rng: FailureRandom) -> None:
    """Make a worker fail all tasks that it starts."""
    await _worker_faults(context, [_random_worker(context, rng)], rng.uniform(3, 6), "fail_all")


@FAILURES.register("answers_late")
async def answers_late(context: FailureContext, rng: FailureRandom) -> None:
    """Delay some answers of a pool's workers, sometimes past the deadlines."""
    delay_ms = rng.choice((800, 5_000))
    await _worker_faults(
        context,
        _random_pool_workers(context, rng),
        rng.uniform(3, 5),
        "late_answers",
        delay_ms=delay_ms,
        ratio=0.3,
    )


@FAILURES.register("answers_crossed")
async def answers_crossed(context: FailureContext, rng: FailureRandom) -> None:
    """Swap some answers of a pool's workers between requests."""
    await _worker_faults(
        context, _random_pool_workers(context, rng), rng.uniform(3, 5), "crossed_answers", ratio=0.5
    )


@FAILURES.register("answers_truncated")
async def answers_truncated(context: FailureContext, rng: FailureRandom) -> None:
    """Truncate some answers of a pool's workers."""
    await _worker_faults(
        context,
        _random_pool_workers(context, rng),
        rng.uniform(3, 5),
        "truncated_answers",
        ratio=0.5,
    )


@FAILURES.register("answers_dropped")
async def answers_dropped(context: FailureContext, rng: FailureRandom) -> None:
    """Drop some answers of a pool's workers."""
    await _worker_faults(
        context, _random_pool_workers(context, rng), rng.uniform(3, 5), "drop_answers", ratio=0.5
    )


@FAILURES.register("worker_killed")
async def worker_killed(context: FailureContext, rng: FailureRandom) -> None:
    """Kill a worker and restart it with an empty guard."""
    name = _random_worker(context, rng)
    async with context.lock_targets([name]):
        await context.kill([name])
        await asyncio.sleep(rng.uniform(0.5, 3))
        await context.restore([name])


@FAILURES.register("rack_killed_during_wave")
async def rack_killed_during_wave(context: FailureContext, rng: FailureRandom) -> None:
    """Start a maintenance wave in the pools of a rack and kill the workers of that rack."""
    rack = rng.choice(sorted({vm.rack for vm in context.deployment.config.vms}))
    names = [vm.name for vm in context.deployment.config.vms if vm.rack == rack]
    pools = sorted({vm.pool for vm in context.deployment.config.vms if vm.rack == rack})
    try:
        await context.operator.start_wave(f"wave-{rng.randrange(10**6)}", pools)
    except TarragoncartError as error:
        context.runner_log.write("wave_refused", error=str(error))
    await asyncio.sleep(rng.uniform(0.5, 1.5))
    async with context.lock_targets(names):
        await context.kill(names)
        await asyncio.sleep(rng.uniform(1, 3))
        await context.restore(names)


@FAILURES.register("upstream_drained")
async def upstream_drained(context: FailureContext, rng: FailureRandom) -> None:
    """Make the platform drain an upstream, then either reboot it gracefully or undo the drain."""
    name = _random_worker(context, rng)
    async with context.lock_targets([name]):
        context.runner_log.write("planned_stop", target=name)
        await context.act_on_vm(name, "drain")
        await asyncio.sleep(rng.uniform(2, 7))
        if rng.random() < 0.6:
            await context.act_on_vm(name, "reboot", duration_ms=800, graceful=True)
            await asyncio.sleep(2)
        else:
            await context.act_on_vm(name, "undrain")
