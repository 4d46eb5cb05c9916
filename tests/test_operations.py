"""Decisions of the driver on a manually advanced clock, and its actor against stand-ins."""

from __future__ import annotations

import random
from types import SimpleNamespace

import pytest
from attrs import evolve

from tarragoncart import operations, records
from tarragoncart.journal import ViewChanged
from tarragoncart.membership import DriverRoleChanged, is_driver
from tarragoncart.model import Member, PolicySpec
from tarragoncart.peers import PeerStatus
from tarragoncart.timer import ManualTimer
from tarragoncart.upstream import UpstreamChanged

BOOTED_ONCE = [1, 1, 1, 1]


def boots(sim_fleet):
    """Return how often each VM in the wave's pool has rebooted."""
    return [sim_fleet.workers[f"vm-{n}"].boot for n in range(4)]


def out_count(sim_fleet):
    """Return how many VMs in the wave's pool do not accept work."""
    workers = [sim_fleet.workers[f"vm-{n}"] for n in range(4)]
    return sum(w.leaving or sim_fleet.now_ms < w.back_ms for w in workers)


def kinds(steps):
    """Return the kind of record or the platform action of each step."""
    return [
        step.action if isinstance(step, operations.CallPlatform) else step.record.kind
        for step in steps
    ]


@pytest.fixture
def wave_finished(sim_fleet):
    """Start a wave over the pool of four VMs; return a function that tells whether it finished."""
    sim_fleet.submit(records.StartWave("w", ("holds",), "kernel"))
    return lambda: sim_fleet.fleet.waves["w"].state == "finished"


def test_a_stop_drains_before_it_reboots_and_waits_for_another_boot(
    sim_fleet, wave_finished, new_driver
):
    """Guards against a reboot that interrupts a task, and a VM taken as back before its reboot."""
    driver, done = new_driver(), []
    while len(done) < 5:
        steps = sim_fleet.plan(driver)
        assert len(steps) <= 1
        if steps:
            done.append((*kinds(steps), sim_fleet.now_ms))
            sim_fleet.carry_out(steps[0])
        sim_fleet.now_ms += 100
    names = [name for name, _ in done]
    assert names == ["reserve_stop", "begin_stop", "drain", "reboot", "vm_back"]
    assert done[3][1] >= 600
    assert done[4][1] >= done[3][1] + 2_000


def test_a_wave_finishes_within_its_budget(sim_fleet, wave_finished, new_driver):
    """Guards against two VMs out of service at once in a pool with a budget of one."""
    driver = new_driver()
    while not wave_finished():
        assert sim_fleet.run(driver, 250, wave_finished) or sim_fleet.now_ms < 30_000
        assert out_count(sim_fleet) <= 1
    assert boots(sim_fleet) == BOOTED_ONCE


@pytest.mark.parametrize("carried_out", [True, False])
@pytest.mark.parametrize("lost_after_count", range(26))
def test_a_new_driver_completes_the_operations_of_a_failed_one(
    sim_fleet, wave_finished, new_driver, lost_after_count, carried_out
):
    """Guards against a stop or move that only the driver that began it can complete.

    The first driver fails at each possible step, before or after the step is carried out.
    """
    sim_fleet.submit(records.MoveVm("vm-4", "spare", "holds", "operator"))
    driver, count = new_driver(), 0
    while count < lost_after_count and sim_fleet.now_ms < 30_000:
        for step in sim_fleet.plan(driver):
            count += 1
            if count < lost_after_count or carried_out:
                sim_fleet.carry_out(step)
            if count == lost_after_count:
                break
        sim_fleet.now_ms += 250

    def has_no_operation():
        return wave_finished() and not any(vm.drain_asked for vm in sim_fleet.fleet.vms.values())

    assert sim_fleet.run(new_driver(), 30_000, has_no_operation)
    assert boots(sim_fleet) == BOOTED_ONCE
    assert sim_fleet.fleet.vms["vm-4"].pool == "holds"
    assert not any(worker.leaving for worker in sim_fleet.workers.values())


@pytest.mark.parametrize("seed", range(30))
def test_delayed_steps_of_two_drivers_keep_the_budget(sim_fleet, wave_finished, new_driver, seed):
    """Guards against a delayed step of an outdated driver that acts on a later operation."""
    rng, drivers, late = random.Random(seed), (new_driver(), new_driver()), []
    sim_fleet.submit(records.MoveVm("vm-4", "spare", "holds", "operator"))
    while not wave_finished():
        for driver in drivers:
            late += [(sim_fleet.now_ms + rng.uniform(0, 3_000), s) for s in sim_fleet.plan(driver)]
        for item in [item for item in late if item[0] <= sim_fleet.now_ms]:
            late.remove(item)
            sim_fleet.carry_out(item[1])
            assert out_count(sim_fleet) <= 1
        sim_fleet.now_ms += 250
        assert sim_fleet.now_ms < 120_000
    assert boots(sim_fleet) == BOOTED_ONCE
    assert sim_fleet.fleet.vms["vm-4"].pool == "holds"


def test_vms_that_do_not_come_back_halt_the_wave(sim_fleet, wave_finished, new_driver):
    """Guards against a bad image being rolled out further, and an endless wait for a reboot."""
    for name in ("vm-0", "vm-1"):
        sim_fleet.workers[name].returns = False

    def halted():
        return sim_fleet.fleet.waves["w"].state == "halted"

    driver = new_driver()
    assert not sim_fleet.run(driver, 90_000, halted)
    # The first failure uses the whole budget until an operator raises it.
    assert sorted(sim_fleet.fleet.waves["w"].failed) == ["vm-0"]
    config = sim_fleet.fleet.config
    pools = tuple(evolve(pool, max_unavailable_count=2) for pool in config.pools)
    # With a VM out of service, the policy would stop no other VM of a pool that is in one rack.
    vms = tuple(evolve(vm, rack=vm.name) for vm in config.vms)
    sim_fleet.submit(records.Publish(1, evolve(config, pools=pools, vms=vms)))
    assert sim_fleet.run(driver, 90_000, halted)
    assert [vm.state for vm in sim_fleet.fleet.vms.values()].count("failed") == 2
    assert boots(sim_fleet)[2:] == [0, 0]


def test_a_halted_or_cancelled_wave_begins_no_stop(sim_fleet, wave_finished, new_driver):
    """Guards against a reserved stop that begins after the operator has cancelled the wave."""
    driver = new_driver()
    for step in sim_fleet.plan(driver):
        sim_fleet.carry_out(step)
    sim_fleet.submit(records.ControlWave("w", "cancel"))
    assert kinds(sim_fleet.plan(driver)) == ["cancel_stop"]


def test_a_silent_vm_fails_and_returns(sim_fleet, new_driver):
    """Guards against a failed VM that counts as available or never returns to service."""
    driver = new_driver()
    sim_fleet.plan(driver)
    sim_fleet.unreachable.add("vm-2")
    started_ms = sim_fleet.now_ms
    vms = sim_fleet.fleet.vms
    assert sim_fleet.run(driver, 10_000, lambda: vms["vm-2"].state == "failed")
    assert sim_fleet.now_ms - started_ms >= operations.OperationTimeouts().unresponsive_ms
    assert "no answer for" in vms["vm-2"].cause
    sim_fleet.unreachable.clear()
    assert sim_fleet.run(driver, 1_000, lambda: vms["vm-2"].state == "in_service")


def test_an_isolated_entry_vm_records_no_failures(sim_fleet, new_driver):
    """Guards against a partitioned or paused entry VM that records all VMs as failed."""
    driver = new_driver()
    sim_fleet.plan(driver)
    sim_fleet.unreachable |= set(sim_fleet.workers)
    for _ in range(20):
        sim_fleet.now_ms += 1_000
        assert not sim_fleet.plan(driver)
    sim_fleet.unreachable -= {"vm-0"}
    sim_fleet.now_ms += 60_000
    driver.workers = {n: evolve(f, unanswered_count=0) for n, f in driver.workers.items()}
    assert not sim_fleet.plan(driver)


def test_a_busy_vm_is_not_interrupted(sim_fleet, new_driver):
    """Guards against an endless task that is interrupted or that blocks a move permanently."""
    sim_fleet.workers["vm-4"].task_end_ms = float("inf")
    sim_fleet.submit(records.MoveVm("vm-4", "spare", "holds", "operator"))
    driver = new_driver()
    vm = sim_fleet.fleet.vms
    assert not sim_fleet.run(driver, 590_000, lambda: vm["vm-4"].state != "draining")
    assert sim_fleet.run(driver, 20_000, lambda: not vm["vm-4"].drain_asked)
    assert (vm["vm-4"].pool, sim_fleet.workers["vm-4"].leaving) == ("spare", False)


def test_a_platform_drain_is_not_undone(sim_fleet, new_driver):
    """Guards against a driver that undoes a drain that the platform started itself."""
    driver = new_driver()
    sim_fleet.workers["vm-1"].leaving = True
    assert not sim_fleet.run(driver, 60_000, lambda: sim_fleet.fleet.vms["vm-1"].drain_asked)
    assert sim_fleet.workers["vm-1"].leaving
    assert not sim_fleet.plan(driver)


def test_a_platform_drain_counts_against_the_budget(sim_fleet, wave_finished, new_driver):
    """Guards against a planned stop while the platform has taken another VM out of service."""
    driver = new_driver()
    sim_fleet.workers["vm-1"].leaving = True
    vms = sim_fleet.fleet.vms
    assert sim_fleet.run(driver, 2_000, lambda: vms["vm-1"].state == "failed")
    planned = ("reserved", "stopping")
    assert not sim_fleet.run(
        driver, 20_000, lambda: any(vm.state in planned for vm in vms.values())
    )
    sim_fleet.workers["vm-1"].leaving = False
    assert sim_fleet.run(driver, 2_000, lambda: vms["vm-1"].state == "in_service")


def test_a_capacity_pass_asks_for_moves_with_their_cause(sim_fleet, new_driver):
    """Guards against a move of a VM that already leaves service, or without a recorded cause."""
    policies = PolicySpec(capacity="reactive_threshold")
    sim_fleet.submit(records.Publish(1, evolve(sim_fleet.fleet.config, policies=policies)))
    driver = new_driver()
    sim_fleet.workers["vm-4"].leaving = True
    sim_fleet.plan(driver)
    observations = operations.Observations(driver.workers, driver.since_ms)
    loads = operations.pool_loads(sim_fleet.view(), observations, {"holds": (40.0, 8)})
    assert [(p.name, len(p.vms), p.demand_count, p.waiting_count) for p in loads] == [
        ("holds", 4, 40.0, 8),
        ("spare", 1, 0.0, 0),
    ]
    sim_fleet.workers["vm-4"].leaving = False
    sim_fleet.plan(driver)
    loads = operations.pool_loads(sim_fleet.view(), observations, {"holds": (40.0, 8)})
    steps, _ = operations.plan_moves(sim_fleet.view(), loads, 0.0, None)
    assert kinds(steps) == ["move"]
    assert sim_fleet.submit(steps[0].record).reason == (
        "to holds: high use, by policy reactive_threshold"
    )


def test_a_copy_of_a_step_is_rejected(sim_fleet, submit, wave_finished):
    """Guards against a delayed record that ends a later operation of the same VM."""
    submit(records.ReserveStop("vm-0", "w", "kernel", revision=0))
    submit(records.BeginStop("vm-0", "boot-0", revision=1))
    assert submit(records.VmBack("vm-0", revision=2)).accepted
    submit(records.ReserveStop("vm-0", "", "again"))
    submit(records.BeginStop("vm-0", "boot-1"))
    assert not submit(records.VmBack("vm-0", revision=2)).accepted


def test_the_live_member_with_the_lowest_name_drives():
    """Guards against a fleet that waits for a driver that has failed."""
    members = [Member(n, n, "dc-1", "127.0.0.1:2", "127.0.0.1:3") for n in "ab"]
    a, b = (PeerStatus(member, 0, 0.0) for member in members)
    assert is_driver("a", [a, b]) and not is_driver("b", [a, b])
    assert is_driver("b", [evolve(a, silent_ms=60_000.0), b])
    assert not is_driver("a", [])


async def test_stops_and_moves_on_stand_ins(standin_fleet, call, wait_until):
    """Guards against calls that the platform or a worker does not accept."""
    fleet = standin_fleet
    fleet.operations.tell(DriverRoleChanged(True))
    await fleet.record(records.StartWave("w", ("spare",), "kernel"))
    boot_ids = {worker.name: worker.boot_id for worker in fleet.workers}

    async def finished():
        return fleet.journal.view.waves["w"].state == "finished"

    await wait_until(finished)
    rebooted = {w.name for w in fleet.workers if w.boot_id != boot_ids[w.name]}
    assert rebooted == {"vm-2"}
    await fleet.record(records.MoveVm("vm-0", "holds", "spare", "operator"))

    async def moved():
        vm = fleet.journal.view.vms["vm-0"]
        return vm.pool == "spare" and not vm.drain_asked

    await wait_until(moved)
    state = f"{fleet.worker_urls['vm-0']}/control/state"

    async def serving():
        return (await call("GET", state))[1]["state"] == "serving"

    assert await serving()
    # A drain call that takes effect after the end of the operation is undone.
    await call("POST", f"{fleet.platform}/vms/vm-0/drain")
    assert not await serving()
    fleet.operations.tell(operations.CallEnded(operations.CallPlatform("vm-0", "drain")))
    await wait_until(serving)


async def test_nothing_is_done_during_a_log_outage(sim_fleet, wave_finished):
    """Guards against a stop or move that begins while it cannot be recorded in the log."""
    sent = []
    log = SimpleNamespace(tell=sent.append)
    actor = operations.Operations("a", "127.0.0.1:1", log, log, log, ManualTimer())
    actor.handle(DriverRoleChanged(True))
    changed = ViewChanged(sim_fleet.view(), 0.0, log_available=False, loaded=True)
    actor.handle(changed)
    for name in sim_fleet.workers:
        actor.handle(UpstreamChanged(name, True, boot_id="boot-0"))
    actor.handle(operations.PlanDue())
    actor.handle(evolve(changed, log_available=True, fresh_as_of_ms=-3_000.0))
    actor.handle(operations.PlanDue())
    assert not sent
    actor.handle(evolve(changed, log_available=True))
    actor.handle(operations.PlanDue())
    assert [type(message.record) for message in sent] == [records.ReserveStop]
