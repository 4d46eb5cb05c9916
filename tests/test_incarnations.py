"""Orders for an earlier incarnation of an upstream that the next one carries out."""

from __future__ import annotations

import asyncio

import pytest

from tarragoncart.graph import Demand, JobSpec, StepSpec

FIRST_JOB, SECOND_JOB = f"{0:016x}", f"{1:016x}"
DOWN_S = 0.3
# Longer than the longest lease and the leases of an earlier leader together.
RECOVERY_S = 15.0
# Delays of a start that are longer than the restart, in the order of seconds.
DELAYS_S = (0.6, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0)
LATE_MAX_S = 8.0
# Delay of a start that is longer than the restart, but within the timeout of a call.
IN_TIME_S = 0.6
# Time after which the registration of a silent worker is removed.
EXPIRY_S = 2.5


def _job(estimate_ms):
    return JobSpec("text", (StepSpec(1, Demand(1_000, 100), estimate_ms),))


async def _start(simulation, config, worker_names):
    """Start workers with room for one task each, and an entry VM that leads."""
    simulation.store.put("keyed.op", "config", config)
    for name in worker_names:
        simulation.add_worker(name, Demand(1_000, 1_000))
    node = await simulation.start_node("n-1")
    await asyncio.sleep(2.0)
    return node


async def _restart(simulation, worker):
    """Restart a worker within the timeout of a call."""
    worker.go_down()
    await asyncio.sleep(DOWN_S)
    worker.come_up()
    simulation.register(worker)


async def _end(simulation):
    """Check the ends of runs and stop the entry VMs."""
    simulation.check_starts_after_end()
    for name in list(simulation.nodes):
        await simulation.kill_node(name)
    return simulation


def _assigned_worker(simulation, node):
    (task,) = node.scheduler._jobs[FIRST_JOB].tasks()
    return simulation.workers[task.upstream_id]


async def _delay_a_start(simulation, config, delay_s, estimate_ms=30_000):
    """Let the start of a task get no answer; it is carried out ``delay_s`` later."""
    node = await _start(simulation, config, ("i-0", "i-1"))
    for worker in simulation.workers.values():
        worker.delayed_call_ratio, worker.call_delays_s = 1.0, (delay_s, delay_s)
    await simulation.submit(node, FIRST_JOB, _job(estimate_ms))
    await asyncio.sleep(0.2)
    for worker in simulation.workers.values():
        worker.delayed_call_ratio = 0.0
    return node, _assigned_worker(simulation, node)


async def _cut_off(simulation, worker, cut_after_s):
    """Cut a worker off, ``cut_after_s`` after a late start or at once, and wait for the end of it.

    :param cut_after_s: None for a cut before the start.
    """
    for _ in range(100):
        if cut_after_s is None or worker.runs:
            break
        await asyncio.sleep(LATE_MAX_S / 100)
    await asyncio.sleep(cut_after_s or 0.0)
    worker.unreachable = True
    await asyncio.sleep(RECOVERY_S)
    worker.unreachable = False


async def _carry_out_a_start_after_a_restart(simulation, config, delay_s, cut_after_s):
    """Let the next incarnation carry out a start without an answer, and cut it off."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await _restart(simulation, worker)
    await _cut_off(simulation, worker, cut_after_s)
    return await _end(simulation)


def _violations(simulate_scenario, scenario, cut_after_s):
    """Return the violations with starts of different delays, with the delay."""
    return [
        (delay_s, violation)
        for delay_s in DELAYS_S
        for violation in simulate_scenario(scenario, 1, delay_s, cut_after_s).violations
    ]


async def _carry_out_a_start_after_its_run_was_replaced(simulation, config, delay_s, _):
    """Let the next incarnation, which gets no new tasks, carry out a start late."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await _restart(simulation, worker)
    simulation.unregister(worker)
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


async def _carry_out_a_start_after_a_forgotten_stop(simulation, config, delay_s, _):
    """Restart a worker that has confirmed a stop, with no new tasks; the start comes later."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    for _ in range(100):
        if worker.last_ended_runs:
            break
        await asyncio.sleep(0.02)
    await _restart(simulation, worker)
    simulation.unregister(worker)
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_a_start_without_an_answer_does_not_run_after_it_was_replaced(simulate_scenario):
    """Guards against a second run because a report does not list a run that starts late."""
    assert _violations(simulate_scenario, _carry_out_a_start_after_its_run_was_replaced, None) == []


def test_a_start_does_not_run_though_a_restart_forgets_the_stop_of_its_run(simulate_scenario):
    """Guards against a second run because only the earlier incarnation has confirmed a stop."""
    assert _violations(simulate_scenario, _carry_out_a_start_after_a_forgotten_stop, None) == []


def test_a_report_does_not_shorten_the_lease_of_a_late_start(simulate_scenario):
    """Guards against a second run while the lease of a start lasts that came before the report."""
    assert _violations(simulate_scenario, _carry_out_a_start_after_a_restart, 1.0) == []


def test_a_late_start_counts_with_the_longest_lease_when_its_upstream_is_cut_off(simulate_scenario):
    """Guards against a second run while the lease of a start lasts that nobody has reported."""
    assert _violations(simulate_scenario, _carry_out_a_start_after_a_restart, 0.0) == []


def test_a_start_that_is_carried_out_behind_a_cut_does_not_run_beside_another(simulate_scenario):
    """Guards against a second run because of a start that comes after the last report."""
    assert _violations(simulate_scenario, _carry_out_a_start_after_a_restart, None) == []


async def _carry_out_a_start_of_an_earlier_leader(simulation, config, delay_s, cut_after_s):
    """Restart a worker while its leader is replaced, let it carry out a start, and cut it off."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await simulation.kill_node("n-1")
    restart = asyncio.ensure_future(_restart(simulation, worker))
    await simulation.start_node("n-2")
    await restart
    await _cut_off(simulation, worker, cut_after_s)
    return await _end(simulation)


def test_the_first_report_does_not_shorten_the_lease_of_an_earlier_start(simulate_scenario):
    """Guards against a new leader that counts its own lease for a start of an earlier leader."""
    assert _violations(simulate_scenario, _carry_out_a_start_of_an_earlier_leader, 1.0) == []


def test_a_new_leader_counts_the_longest_lease_of_a_start_before_it(simulate_scenario):
    """Guards against a second run while the lease lasts that a start of an earlier leader got."""
    assert _violations(simulate_scenario, _carry_out_a_start_of_an_earlier_leader, 0.0) == []


def test_a_start_of_an_earlier_leader_behind_a_cut_does_not_run_beside_another(simulate_scenario):
    """Guards against a second run because of a start that comes before the first report."""
    assert _violations(simulate_scenario, _carry_out_a_start_of_an_earlier_leader, None) == []


async def _carry_out_an_acknowledgement_after_a_restart(simulation, config, delay_s):
    """Let the acknowledgement of an end reach the next incarnation, which has an unread end."""
    node = await _start(simulation, config, ("i-0",))
    worker = simulation.workers["i-0"]
    worker.call_delays_s = (delay_s, delay_s)
    await simulation.submit(node, FIRST_JOB, _job(300))
    while not worker.completed_runs or not worker.completed_runs[0].read:
        await asyncio.sleep(0.001)
    worker.delayed_hold_ratio = 1.0
    await asyncio.sleep(0.1)
    worker.delayed_hold_ratio = 0.0
    await _restart(simulation, worker)
    await simulation.submit(node, SECOND_JOB, _job(300))
    while not worker.runs:
        await asyncio.sleep(0.001)
    worker.unreachable = True
    await asyncio.sleep(delay_s)
    worker.unreachable = False
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_an_acknowledgement_does_not_drop_an_end_of_the_next_incarnation(simulate_scenario):
    """Guards against a task that runs again after an end that was dropped unread."""
    scenario = _carry_out_an_acknowledgement_after_a_restart
    assert simulate_scenario(scenario, 1, 4.0).violations == []


async def _carry_out_a_start_at_an_unregistered_worker(simulation, config, delay_s, _):
    """Restart a worker that is cut off before it registers; its earlier registration expires."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    worker.go_down()
    await asyncio.sleep(DOWN_S)
    worker.come_up()
    worker.unreachable = True
    await asyncio.sleep(EXPIRY_S)
    simulation.unregister(worker)
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_a_start_in_time_at_an_unregistered_incarnation_does_not_run_beside_another(
    simulate_scenario,
):
    """Guards against a second run because a cut has kept the next incarnation from the store."""
    scenario = _carry_out_a_start_at_an_unregistered_worker
    assert simulate_scenario(scenario, 1, IN_TIME_S, None).violations == []


async def _replace_the_leader_of_an_unregistered_worker(simulation, config, delay_s, _):
    """Replace the leader while a worker is cut off that has started again but not registered."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await simulation.kill_node("n-1")
    worker.go_down()
    await asyncio.sleep(DOWN_S)
    worker.come_up()
    worker.unreachable = True
    await simulation.start_node("n-2")
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_a_late_start_of_an_earlier_leader_at_an_unregistered_incarnation_runs_alone(
    simulate_scenario,
):
    """Guards against a second run because the registration is that of an earlier incarnation."""
    scenario = _replace_the_leader_of_an_unregistered_worker
    assert _violations(simulate_scenario, scenario, None) == []


def test_a_late_start_at_an_incarnation_that_never_registers_runs_alone(simulate_scenario):
    """Guards against a second run because an expired registration ends the wait for late starts."""
    scenario = _carry_out_a_start_at_an_unregistered_worker
    assert _violations(simulate_scenario, scenario, None) == []


async def _cut_a_worker_off_from_the_leader(simulation, config, registers, waits_s):
    """Cut a worker off while a start has no answer, and note the time until the next start."""
    _, worker = await _delay_a_start(simulation, config, 60.0)
    worker.unreachable = True
    cut_s = simulation.now_s()
    while not simulation.starts and simulation.now_s() < cut_s + 30.0:
        if registers:
            simulation.register(worker)
        await asyncio.sleep(0.5)
    ((started_s, _),) = simulation.starts[f"{FIRST_JOB}.0.0.0"]
    waits_s.append(started_s - cut_s)
    return await _end(simulation)


@pytest.mark.parametrize(("registers", "longest_wait_s"), [(True, 5.0), (False, 8.0)])
def test_a_start_without_an_answer_waits_no_longer_than_it_may_run(
    simulate_scenario, registers, longest_wait_s
):
    """Guards against tasks that wait seconds for an incarnation that does not exist."""
    waits_s = []
    simulate_scenario(_cut_a_worker_off_from_the_leader, 1, registers, waits_s)
    assert waits_s[0] <= longest_wait_s


async def _wait_for_the_second_run(simulation):
    """Wait until a task has been started again after a stop of its first run was confirmed."""
    while True:
        runs = [run.run for worker in simulation.workers.values() for run in worker.runs.values()]
        if runs == [2]:
            return
        assert not runs
        await asyncio.sleep(0.01)


async def _break_off_the_second_run(simulation, worker, cut_after_s):
    """Restart the worker of a start without an answer once its task has been started again."""
    await _wait_for_the_second_run(simulation)
    worker.go_down()
    worker.come_up()
    simulation.register(worker)
    await _cut_off(simulation, worker, cut_after_s)
    return await _end(simulation)


async def _carry_out_a_start_beside_the_next_run(simulation, config, delay_s, cut_after_s):
    """Let the next incarnation carry out a start whose run has been replaced, behind a cut."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    return await _break_off_the_second_run(simulation, worker, cut_after_s)


# Delays of a start that are longer than it takes to confirm a stop of its run and to replace it.
AFTER_STOP_DELAYS_S = (3.0, 4.0, 6.0, 8.0)


@pytest.mark.parametrize("cut_after_s", [None, 0.0, 1.0])
def test_a_start_does_not_run_beside_the_run_that_replaced_it(simulate_scenario, cut_after_s):
    """Guards against a second run at an incarnation that does not know of the stop of the first."""
    scenario = _carry_out_a_start_beside_the_next_run
    violations = [
        violation
        for delay_s in AFTER_STOP_DELAYS_S
        for violation in simulate_scenario(scenario, 1, delay_s, cut_after_s).violations
    ]
    assert violations == []


async def _carry_out_a_start_beside_a_run_of_the_next_leader(
    simulation, config, delay_s, cut_after_s
):
    """Let an incarnation that the next leader does not know carry out a start of the first."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await simulation.kill_node("n-1")
    await simulation.start_node("n-2")
    return await _break_off_the_second_run(simulation, worker, cut_after_s)


@pytest.mark.parametrize("cut_after_s", [None, 0.0, 1.0])
def test_a_start_of_an_earlier_leader_does_not_run_beside_the_run_that_replaced_it(
    simulate_scenario, cut_after_s
):
    """Guards against a second run because the first report does not list the first one."""
    scenario = _carry_out_a_start_beside_a_run_of_the_next_leader
    violations = [
        violation
        for delay_s in (8.0, 9.0, 10.0, 11.0)
        for violation in simulate_scenario(scenario, 1, delay_s, cut_after_s).violations
    ]
    assert violations == []


async def _carry_out_a_start_after_the_next_run(simulation, config, delay_s, _):
    """Let the next incarnation carry out a start of a task that is done."""
    node, worker = await _delay_a_start(simulation, config, delay_s, estimate_ms=300)
    (task,) = node.scheduler._jobs[FIRST_JOB].tasks()
    while task.state != "done":
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    await _restart(simulation, worker)
    worker.unreachable = True
    await asyncio.sleep(RECOVERY_S)
    worker.unreachable = False
    return await _end(simulation)


def test_a_start_is_not_carried_out_after_the_run_that_replaced_it_is_done(simulate_scenario):
    """Guards against a task that runs again at an incarnation that does not know of its end."""
    scenario = _carry_out_a_start_after_the_next_run
    assert simulate_scenario(scenario, 1, 4.0, None).violations == []


async def _replace_the_leader_by_one_whose_wall_clock_is_ahead(
    simulation, config, delay_s, ahead_s
):
    """Let an incarnation that the next leader cannot reach carry out a start of the first."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    await _restart(simulation, worker)
    worker.unreachable = True
    await simulation.kill_node("n-1")
    await simulation.start_node("n-2", skew_ms=round(ahead_s * 1_000))
    await asyncio.sleep(2 * RECOVERY_S)
    return await _end(simulation)


@pytest.mark.parametrize("ahead_s", [0.0, 2.0, 4.0])
def test_a_wall_clock_that_is_ahead_does_not_shorten_the_wait_for_a_late_start(
    simulate_scenario, ahead_s
):
    """Guards against a second run because an upstream seems to have been up for longer."""
    scenario = _replace_the_leader_by_one_whose_wall_clock_is_ahead
    assert simulate_scenario(scenario, 1, 11.5, ahead_s).violations == []


async def _read_a_registration_late(simulation, config, delay_s):
    """Let the leader read a registration that its upstream wrote just before it started again."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    simulation.store.call_delay_s = 1.3
    simulation.register(worker)
    worker.go_down()
    await asyncio.sleep(DOWN_S)
    worker.come_up()
    worker.unreachable = True
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_a_registration_that_is_read_late_does_not_end_the_wait_for_a_start(simulate_scenario):
    """Guards against a second run as a slow store makes an earlier incarnation seem alive."""
    assert simulate_scenario(_read_a_registration_late, 1, IN_TIME_S).violations == []


async def _give_up_a_run_whose_stop_was_confirmed(simulation, config, delay_s, _):
    """Restart and cut off a worker between its answer to a stop and its next report."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    while not worker.last_ended_runs:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)
    worker.go_down()
    worker.come_up()
    simulation.register(worker)
    return await _end_after_cut(simulation, worker)


async def _end_after_cut(simulation, worker):
    worker.unreachable = True
    await asyncio.sleep(RECOVERY_S)
    worker.unreachable = False
    return await _end(simulation)


def test_a_confirmed_stop_does_not_end_the_wait_for_a_late_start(simulate_scenario):
    """Guards against a second run as the stop was confirmed by an incarnation that has ended."""
    scenario = _give_up_a_run_whose_stop_was_confirmed
    assert _violations(simulate_scenario, scenario, None) == []


async def _end_a_late_run_before_its_stop(simulation, config, delay_s):
    """Let a late run be done while the order to stop it is under way."""
    _, worker = await _delay_a_start(simulation, config, delay_s, estimate_ms=2_000)
    await _wait_for_the_second_run(simulation)
    worker.go_down()
    worker.come_up()
    simulation.register(worker)
    worker.unreachable = True
    while not worker.runs:
        await asyncio.sleep(0.01)
    worker.delayed_call_ratio = 1.0
    worker.unreachable = False
    while worker.runs:
        await asyncio.sleep(0.01)
    worker.delayed_call_ratio = 0.0
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


@pytest.mark.parametrize("delay_s", AFTER_STOP_DELAYS_S)
def test_a_task_does_not_start_again_after_a_late_run_is_done(simulate_scenario, delay_s):
    """Guards against a run after an end that was acknowledged, as another run was expected."""
    assert simulate_scenario(_end_a_late_run_before_its_stop, 1, delay_s).violations == []


async def _end_a_late_run_behind_a_cut(simulation, config, delay_s):
    """Let a late run be done behind a cut that ends before its lease does."""
    _, worker = await _delay_a_start(simulation, config, delay_s, estimate_ms=2_000)
    await _wait_for_the_second_run(simulation)
    worker.go_down()
    worker.come_up()
    simulation.register(worker)
    worker.unreachable = True
    while not worker.runs:
        await asyncio.sleep(0.01)
    while worker.runs:
        await asyncio.sleep(0.01)
        worker.advance()
    worker.unreachable = False
    await asyncio.sleep(RECOVERY_S)
    return await _end(simulation)


def test_a_task_does_not_start_again_after_a_late_run_is_done_behind_a_cut(simulate_scenario):
    """Guards against a run after an end that was acknowledged, though no report listed its run."""
    assert simulate_scenario(_end_a_late_run_behind_a_cut, 1, 6.0).violations == []


async def _replace_the_leader_of_a_bound_task(simulation, config, delay_s, cut_after_s):
    """Replace a leader that has bound a task to a worker without room for it."""
    _, worker = await _delay_a_start(simulation, config, delay_s)
    capacity, worker.capacity = worker.capacity, Demand(500, 1_000)
    simulation.register(worker)
    await simulation.kill_node("n-1")
    node = await simulation.start_node("n-2")
    while not _is_bound(node):
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.1)
    await simulation.kill_node("n-2")
    worker.go_down()
    await simulation.start_node("n-3")
    worker.come_up()
    worker.capacity = capacity
    simulation.register(worker)
    await _cut_off(simulation, worker, cut_after_s)
    return await _end(simulation)


def _is_bound(node):
    job = node.scheduler._jobs.get(FIRST_JOB) if node.scheduler is not None else None
    return job is not None and any(task.bound_to for task in job.tasks())


@pytest.mark.parametrize("delay_s", [9.0, 10.0, 11.0])
def test_a_task_stays_bound_when_the_leader_is_replaced(simulate_scenario, delay_s):
    """Guards against a second run as a series of leaders forgets that a start may be late."""
    assert simulate_scenario(_replace_the_leader_of_a_bound_task, 1, delay_s, None).violations == []
