"""Tests of orders for VMs in maintenance waves."""

from __future__ import annotations

import asyncio
import functools
import json
from collections import Counter

import pytest
from aiohttp import web
from attrs import evolve

from standins import polling
from tarragoncart.defaults import MOVE_TIMEOUT_MS, VACATED_MAX_AGE_MS
from tarragoncart.errors import FleetRefusedError, FleetUnknownError
from tarragoncart.graph import Demand, PoolRule, VmEntry, WaveRequest
from tarragoncart.loads import Loads, UpstreamLoad
from tarragoncart.mailbox import Actor, receives, resolve
from tarragoncart.orders import ORDERS_KEY, UNSETTLED_KEY, RecentOrders, VmOrder
from tarragoncart.platform.vms import VmClient
from tarragoncart.pools import MovePlan
from tarragoncart.runorders import ExtendPermission
from tarragoncart.timer import LoopTimer
from tarragoncart.upkeep import VmUpkeep, Wave, next_vms
from tarragoncart.vmorders import (
    Move,
    ReadmitUpstream,
    UpstreamEnded,
    UpstreamVacated,
    VacateUpstream,
    WaveRequested,
)
from tarragoncart.vms import Fleet
from tarragoncart.writer import STORED, Write


def with_state(entry, state, upstream_id):
    """Return a VM's entry with another state and another upstream."""
    return VmEntry(
        entry.vm_id, entry.pool, state, entry.data_centre, entry.rack, entry.capacity, upstream_id
    )


class FleetStandin:
    """Stand-in for the platform's VM interface that records the orders.

    A VM goes down with its first order; an order for maintenance that it has had changes nothing.
    """

    def __init__(self):
        self.vms = {
            f"m-{n}": VmEntry(f"m-{n}", "pool", "up", "dc", f"r{n}", Demand(16_000), f"i-{n}")
            for n in range(8)
        }
        self.maintained = []
        self.maintained_before = set()
        self.unanswered_count = 0
        self.refused_count = 0
        self.refusal = "status 503"
        self.moves_allowed = False
        self.moved = []
        self.tokens = {}

    async def list_vms(self):
        return tuple(self.vms.values())

    def _refuse(self):
        if self.refused_count:
            self.refused_count -= 1
            raise FleetRefusedError(self.refusal, step="order")

    async def move(self, vm_id, pool, epoch):
        self._refuse()
        if not self.moves_allowed:
            raise AssertionError("unexpected move")
        self.tokens[vm_id] = epoch
        self.moved.append((vm_id, pool))
        if self.unanswered_count:
            self.unanswered_count -= 1
            moved = with_state(self.vms[vm_id], "up", f"new-{vm_id}")
            self.vms[vm_id] = evolve(moved, pool=pool)
            raise FleetUnknownError("no answer", step="move VM")

    async def maintain(self, vm_id, wave, epoch):
        self._refuse()
        self.tokens[vm_id] = epoch
        if vm_id not in self.maintained and vm_id not in self.maintained_before:
            self.vms[vm_id] = with_state(self.vms[vm_id], "upkeep", "")
        self.maintained.append(vm_id)
        if self.unanswered_count:
            self.unanswered_count -= 1
            raise FleetUnknownError("no answer", step="maintain VM")

    def carry_out_late(self, vm_id, epoch):
        """Carry out an order for maintenance unless its VM has had one with a higher token."""
        if self.tokens.get(vm_id, 0) <= epoch:
            self.vms[vm_id] = with_state(self.vms[vm_id], "upkeep", "")

    async def close(self):
        pass


class Recorder(Actor):
    """Stand-in for the scheduler, the election and the writers that records messages."""

    def __init__(self):
        super().__init__("recorder")
        self.fleet = None
        self.records = {}
        self.ended = []
        self.readmitted = []
        self.requests = Counter()
        self.withdrawn = False
        # Upstreams that cannot be vacated.
        self.occupied = set()

    @receives(VacateUpstream)
    def on_vacate(self, message):
        """Report repeatedly that the upstream is vacated, as the scheduler does."""
        self.requests[message.upstream_id] += 1
        self.spawn(self._tell_vacated(message.upstream_id))

    async def _tell_vacated(self, upstream_id):
        for _ in range(40):
            if not self.withdrawn and upstream_id not in self.occupied:
                self.fleet.tell(UpstreamVacated(upstream_id))
            await asyncio.sleep(0.1)

    @receives(UpstreamEnded)
    def on_ended(self, message):
        """Record the upstream."""
        self.ended.append(message.upstream_id)

    @receives(ReadmitUpstream)
    def on_readmit(self, message):
        """Record the upstream."""
        self.readmitted.append(message.upstream_id)

    @receives(Write)
    def on_write(self, message):
        """Record the write and answer that it is stored."""
        self.records.update(message.records)
        resolve(message.reply, STORED)


@pytest.fixture
async def make_fleet():
    """Make a fleet of eight VMs and a wave over all of them, at most two at once."""
    made = []

    def make(restored=None, handover_pause_ms=3_000.0, with_wave=True):
        calls, recorder = FleetStandin(), Recorder()
        actor = Fleet(
            7,
            calls,
            recorder,
            recorder,
            recorder,
            recorder,
            lambda number, completed: (f"wave/{number}", str(completed).encode()),
            restored or {},
            LoopTimer(),
            handover_pause_ms,
            lambda: {"pool": PoolRule("pool")},
        )
        recorder.fleet = actor
        recorder.start()
        # The fleet starts its status writer itself; here that is the recorder, which runs already.
        actor._status_writer.start = lambda: None
        actor.start()
        if with_wave:
            actor.tell(WaveRequested(WaveRequest(1, tuple(calls.vms), 20.0, 2)))
        actor.calls, actor.recorder = calls, recorder
        made.append(actor)
        return actor

    yield make
    for actor in made:
        await actor.stop()
        await actor.recorder.stop()


@pytest.fixture
async def fleet(make_fleet):
    """A fleet without permission to send orders yet."""
    return make_fleet()


async def wait_until(condition, timeout_s=4.0):
    """Wait until a condition holds and return whether it does."""
    return await polling.wait_until(condition, timeout_s)


def permit(fleet, for_ms):
    """Let the fleet send orders for ``for_ms``."""
    fleet.tell(ExtendPermission(LoopTimer().now_ms() + for_ms))


async def test_without_a_confirmed_leadership_no_order_is_given(fleet):
    """Guards against orders of a paused or disconnected leader beside those of its successor."""
    await asyncio.sleep(0.8)
    assert fleet.calls.maintained == []
    permit(fleet, 60_000)
    assert await wait_until(lambda: fleet.calls.maintained)


async def test_no_more_vms_are_down_at_once_than_the_wave_allows(fleet):
    """Guards against maintenance that starts while the allowed number of VMs is already down."""
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.calls.maintained) == 2)
    await asyncio.sleep(0.8)
    assert len(set(fleet.calls.maintained)) == 2
    for vm_id in fleet.calls.maintained[:2]:
        fleet.calls.vms[vm_id] = with_state(fleet.calls.vms[vm_id], "up", f"new-{vm_id}")
    assert await wait_until(lambda: len(set(fleet.calls.maintained)) == 4)
    await asyncio.sleep(0.5)
    assert len(set(fleet.calls.maintained)) == 4


async def test_a_request_to_vacate_an_upstream_is_repeated(fleet):
    """Guards against a wave that waits for ever for an upstream that was registered again."""
    permit(fleet, 60_000)
    fleet._may_go_down = lambda wave, vm: False
    assert await wait_until(lambda: any(count > 2 for count in fleet.recorder.requests.values()))


def put_upstream(fleet, vm_id, upstream_id):
    """Let another upstream run on a VM, which cannot be vacated for now."""
    fleet.calls.vms[vm_id] = with_state(fleet.calls.vms[vm_id], "up", upstream_id)
    fleet.recorder.occupied.add(upstream_id)


async def test_an_order_waits_for_the_upstream_that_runs_on_its_vm_now(fleet):
    """Guards against maintenance that ends tasks of an upstream which was never vacated (AVAIL)."""
    may_go_down, fleet._may_go_down = fleet._may_go_down, lambda wave, vm: False
    permit(fleet, 60_000)
    assert await wait_until(lambda: "i-0" in fleet._vacated_ms)
    put_upstream(fleet, "m-0", "i-replacement")
    await asyncio.sleep(0.7)
    fleet._may_go_down = may_go_down
    assert await wait_until(lambda: fleet.calls.maintained)
    await asyncio.sleep(1.0)
    assert "m-0" not in fleet.calls.maintained
    fleet.recorder.occupied.clear()
    assert await wait_until(lambda: "m-0" in fleet.calls.maintained)


async def test_a_repeated_order_waits_for_an_upstream_that_has_started_since(make_fleet):
    """Guards against an order for an empty VM that ends the tasks it got meanwhile (AVAIL)."""
    fleet = make_fleet()
    fleet.calls.vms = {"m-0": with_state(fleet.calls.vms["m-0"], "up", "")}
    fleet.calls.refused_count = 1
    permit(fleet, 60_000)
    assert await wait_until(lambda: not fleet.calls.refused_count)
    put_upstream(fleet, "m-0", "i-started")
    await asyncio.sleep(2.0)
    assert fleet.calls.maintained == []
    fleet.recorder.occupied.clear()
    assert await wait_until(lambda: fleet.calls.maintained == ["m-0"])


async def test_a_repeated_move_waits_for_an_upstream_that_has_started_since(make_fleet):
    """Guards against a move of an empty VM that ends the tasks it got meanwhile (AVAIL)."""
    records = restored_order("m-5", {"to_pool": "other"}, age_ms=5_000)
    fleet = make_fleet(records, with_wave=False)
    fleet.calls.moves_allowed, fleet.calls.refused_count = True, 1
    fleet.calls.vms["m-5"] = with_state(fleet.calls.vms["m-5"], "up", "")
    permit(fleet, 60_000)
    assert await wait_until(lambda: not fleet.calls.refused_count)
    put_upstream(fleet, "m-5", "i-started")
    await asyncio.sleep(2.0)
    assert fleet.calls.moved == []
    fleet.recorder.occupied.clear()
    assert await wait_until(lambda: fleet.calls.moved == [("m-5", "other")])


async def test_a_move_that_was_carried_out_without_an_answer_spares_the_new_upstream(make_fleet):
    """Guards against tasks started twice because an upstream in its new pool counts as ended."""
    fleet = make_fleet(restored_order("m-5", {"to_pool": "other"}, age_ms=5_000), with_wave=False)
    fleet.calls.moves_allowed, fleet.calls.unanswered_count = True, 1
    permit(fleet, 60_000)
    assert await wait_until(lambda: fleet.calls.moved)
    await asyncio.sleep(2.0)
    assert fleet.calls.moved == [("m-5", "other")]
    assert fleet.recorder.ended == ["i-5"]
    assert not fleet.recorder.requests["new-m-5"]
    assert not fleet._moves and not fleet._orders.unsettled


async def test_a_vm_that_moves_is_not_selected_for_a_wave(fleet):
    """Guards against a move and a wave that vacate a VM in turns, with different grace periods."""
    plan = MovePlan("m-0", "pool", "other", "test")
    fleet._moves["m-0"] = Move(plan, "vacating", "i-0", LoopTimer().now_ms())
    permit(fleet, 60_000)
    wave_vms = fleet._waves
    assert await wait_until(lambda: wave_vms and fleet.recorder.requests["i-1"])
    assert wave_vms[1].vms["m-0"].state == "due"


async def test_an_order_without_an_answer_is_repeated(fleet):
    """Guards against a wave that never ends because one answer was lost."""
    fleet.calls.unanswered_count = 1
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.calls.maintained) >= 3)
    assert len(set(fleet.calls.maintained)) == 2


async def test_an_upstream_whose_vm_went_down_has_ended(fleet):
    """Guards against tasks that wait for the lease of an upstream whose VM is known to be down."""
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.recorder.ended) == 2)
    assert {f"m-{name[2:]}" for name in fleet.recorder.ended} == set(fleet.calls.maintained)


async def test_an_order_for_maintenance_that_was_done_before_ends_no_upstream(make_fleet):
    """Guards against tasks started twice because a VM's earlier maintenance was confirmed again."""
    fleet = make_fleet()
    fleet.calls.maintained_before = set(fleet.calls.vms)
    permit(fleet, 60_000)
    everything = {f"i-{n}" for n in range(8)}
    assert await wait_until(lambda: set(fleet.recorder.readmitted) == everything, 8.0)
    assert fleet.recorder.ended == []
    assert fleet.recorder.records["wave/1"] == b"True"


async def test_the_status_says_completed_only_when_each_vm_has_begun(fleet):
    """Guards against a wave that is reported as completed before the last VM's maintenance."""
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.calls.maintained) == 2)
    assert fleet.recorder.records["wave/1"] != b"True"


async def test_an_order_is_stored_before_it_is_sent(fleet):
    """Guards against a successor that does not know which VMs have recent orders."""
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.calls.maintained) == 2)
    stored = json.loads(fleet.recorder.records[ORDERS_KEY])
    assert set(fleet.calls.maintained) <= stored.keys()


async def test_a_new_leader_pauses_only_vms_with_recent_orders(make_fleet):
    """Guards against interleaved orders of two leaders for one VM, and a pause for all VMs."""
    fleet = make_fleet({ORDERS_KEY: b'{"m-0":0}'}, handover_pause_ms=1_200.0)
    permit(fleet, 60_000)
    assert await wait_until(lambda: fleet.calls.maintained, 0.9)
    # The order for m-0 may still take effect, so only one more VM may go down.
    assert len(set(fleet.calls.maintained)) == 1 and "m-0" not in fleet.calls.maintained
    assert await wait_until(lambda: len(set(fleet.calls.maintained)) == 2)


def restored_order(vm_id, order, age_ms=0):
    """Return the records of a leader that got no answer to an order."""
    ages = json.dumps({vm_id: age_ms}).encode()
    return {ORDERS_KEY: ages, UNSETTLED_KEY: json.dumps({vm_id: order}).encode()}


@pytest.fixture
async def successor(make_fleet):
    """A leader whose predecessor got no answer to its order for the maintenance of m-5."""
    return make_fleet(restored_order("m-5", {"wave": 1}), handover_pause_ms=900.0)


async def test_a_late_order_of_an_earlier_leader_takes_no_vm_beyond_the_limit_down(successor):
    """Guards against a late order that takes a VM down while the allowed number is down (LIMIT)."""
    permit(successor, 60_000)
    assert await wait_until(lambda: len(set(successor.calls.maintained)) == 2)
    successor.calls.carry_out_late("m-5", 6)
    down = [vm.vm_id for vm in successor.calls.vms.values() if vm.state == "upkeep"]
    assert len(down) == 2


async def test_the_vm_of_an_unanswered_order_is_vacated_before_the_pause_ends(successor):
    """Guards against tasks that a late order of an earlier leader ends."""
    permit(successor, 60_000)
    assert await wait_until(lambda: successor.recorder.requests["i-5"], 0.8)
    assert "m-5" not in successor.calls.maintained


async def test_a_refusal_readmits_no_upstream_while_an_earlier_order_is_unanswered(successor):
    """Guards against tasks on a VM that an earlier order may still take down (AVAIL)."""
    successor.calls.refused_count, successor.calls.refusal = 1_000, "busy"
    permit(successor, 60_000)
    assert await wait_until(lambda: successor.calls.refused_count < 1_000)
    await asyncio.sleep(1.5)
    assert "i-5" not in successor.recorder.readmitted


async def test_a_move_with_an_unanswered_order_is_not_given_up(make_fleet):
    """Guards against tasks on a VM that an earlier order may still move (AVAIL)."""
    records = restored_order("m-5", {"to_pool": "other"})
    fleet = make_fleet(records, handover_pause_ms=100.0, with_wave=False)
    fleet.recorder.occupied.add("i-5")
    permit(fleet, 60_000)
    assert await wait_until(lambda: "m-5" in fleet._moves)
    fleet._moves["m-5"].since_ms -= MOVE_TIMEOUT_MS
    await asyncio.sleep(1.0)
    assert "i-5" not in fleet.recorder.readmitted


async def test_two_waves_do_not_work_on_one_vm_at_the_same_time(fleet):
    """Guards against a wave that readmits the upstream which another one has vacated (AVAIL)."""
    permit(fleet, 60_000)
    fleet.tell(WaveRequested(WaveRequest(2, tuple(fleet.calls.vms), 20.0, 2)))
    assert await wait_until(lambda: len(set(fleet.calls.maintained)) >= 2)
    await asyncio.sleep(0.5)
    busy = [
        {vm.vm_id for vm in wave.vms.values() if vm.state in ("vacating", "ordered", "down")}
        for wave in fleet._waves.values()
    ]
    assert all(busy) and not busy[0] & busy[1]


async def test_an_unanswered_order_for_a_vm_that_has_left_does_not_hold_up_a_wave(successor):
    """Guards against a wave that waits for an order whose VM is no longer listed."""
    del successor.calls.vms["m-5"]
    permit(successor, 60_000)
    assert await wait_until(lambda: len(set(successor.calls.maintained)) == 2)
    assert successor._orders.unsettled == {}


async def test_an_unanswered_move_of_an_earlier_leader_is_repeated(make_fleet):
    """Guards against a late move that ends tasks on a VM that counts as staying."""
    records = restored_order("m-5", {"to_pool": "other"})
    fleet = make_fleet(records, handover_pause_ms=900.0, with_wave=False)
    fleet.calls.moves_allowed = True
    permit(fleet, 60_000)
    assert await wait_until(lambda: fleet.calls.moved == [("m-5", "other")])


async def test_a_vm_with_an_unanswered_move_is_vacated_first_in_its_wave(make_fleet):
    """Guards against a late move that ends tasks on a VM that waits for its maintenance."""
    fleet = make_fleet(restored_order("m-5", {"to_pool": "other"}), handover_pause_ms=900.0)
    permit(fleet, 60_000)
    assert await wait_until(lambda: fleet.recorder.requests["i-5"], 0.8)
    assert await wait_until(lambda: "m-5" in fleet.calls.maintained)
    assert fleet._orders.unsettled == {}


@pytest.mark.parametrize("value", [b"[]", b'{"a":1}', b'{"a":{}}', b"\xff"])
def test_a_malformed_record_of_unanswered_orders_is_skipped(value):
    """Guards against a leader that cannot take over because of one malformed record."""
    assert RecentOrders.restore(3_000.0, None, 0.0, value).unsettled == {}


def test_an_unanswered_order_stays_recorded_until_its_outcome_is_known():
    """Guards against a successor that takes a VM for free because its unanswered order is old."""
    orders = RecentOrders(3_000.0)
    orders.add("a", 0.0, VmOrder(1))
    _, value = orders.unsettled_record()
    later = RecentOrders.restore(3_000.0, b"{}", 60_000.0, value)
    assert later.unsettled == {"a": VmOrder(1)}
    later.add("a", 60_000.0, VmOrder(1))
    later.refuse("a")
    assert later.unsettled == {"a": VmOrder(1)}
    later.settle("a")
    assert later.unsettled_record() == (UNSETTLED_KEY, b"{}")


def test_a_vm_that_an_earlier_leader_took_down_counts_against_the_limit():
    """Guards against exceeding the wave's limit after a change of the leader."""
    wave = Wave(WaveRequest(1, ("a", "b", "c"), 20.0, 2), 0.0)
    wave.vms = {"a": VmUpkeep("a", "done"), "b": VmUpkeep("b"), "c": VmUpkeep("c")}
    listed = {"a": VmEntry("a", "pool", "upkeep", "dc", "r", Demand(1))}
    assert wave.down_count(listed) == 1
    assert wave.down_count(listed, {"b"}) == 2


def test_recent_orders_are_forgotten_after_the_pause():
    """Guards against a record that grows with each order."""
    orders = RecentOrders.restore(3_000.0, b'{"old":2000}', 100.0)
    assert json.loads(orders.add("a", 500.0)[1]) == {"a": 0, "old": 2_400}
    assert json.loads(orders.add("b", 3_600.0)[1]) == {"b": 0}
    assert orders.allows("a", 500.0)


def test_a_successor_waits_for_the_rest_of_the_pause_only():
    """Guards against VMs that are not moved to waiting tasks long after their last order."""
    orders = RecentOrders.restore(3_000.0, b'{"new":100,"old":2800}', 50_000.0)
    assert not orders.allows("old", 50_100.0) and orders.allows("old", 50_200.0)
    assert not orders.allows("new", 52_800.0) and orders.allows("new", 52_900.0)


def test_ages_are_stored_again_until_no_order_is_recent():
    """Guards against a successor that treats old orders as recent."""
    orders = RecentOrders(3_000.0)
    assert orders.renewal_record(0.0) is None
    orders.add("a", 0.0)
    assert orders.renewal_record(400.0) is None
    assert json.loads(orders.renewal_record(600.0)[1]) == {"a": 600}
    assert json.loads(orders.renewal_record(3_100.0)[1]) == {}
    assert orders.renewal_record(9_000.0) is None


def test_a_pool_is_not_emptied_by_a_wave():
    """Guards against a wave that takes more than a third of one pool at once."""
    wave = Wave(WaveRequest(1, ("a", "b", "c", "d", "e", "f"), 20.0, 6), 0.0)
    listed, loads = {}, {}
    for vm_id in wave.request.vm_ids:
        wave.vms[vm_id] = VmUpkeep(vm_id)
        listed[vm_id] = VmEntry(vm_id, "pool", "up", "dc", "r", Demand(1), f"i-{vm_id}")
        loads[f"i-{vm_id}"] = UpstreamLoad(f"i-{vm_id}", "pool", 0, 0, 0, 0, 1, 0)
    assert len(list(next_vms(wave, listed, loads, {"pool": 6}))) == 2


class SlowPlatform:
    """VM interface that answers each order after 150 ms and lists at once."""

    def __init__(self):
        self.received_ms = []

    async def handle(self, request):
        """Answer an order or the request for the list."""
        if request.path == "/machines":
            return web.json_response({"machines": []})
        self.received_ms.append(LoopTimer().now_ms())
        await asyncio.sleep(0.15)
        return web.json_response({})


@pytest.fixture
async def slow_fleet(make_fleet, serve_standin):
    """A fleet with a client whose platform takes 150 ms an order."""
    served = await serve_standin(SlowPlatform())
    fleet = make_fleet()
    fleet.platform = served.standin
    fleet._calls = VmClient(served.address, "holder")
    assert await wait_until(lambda: fleet._listed_ms)
    return fleet


async def send_moves(fleet, count):
    """Order moves of VMs at the same time and return the outcomes."""

    def move(vm_id):
        call = functools.partial(fleet._calls.move, vm_id, "pool", 7)
        vm = Move(MovePlan(vm_id, "other", "pool", "test"), "ordered", "", 0.0)
        return fleet._send_order(vm, VmOrder(to_pool="pool"), call, 0)

    return await asyncio.gather(*(move(f"m-{n}") for n in range(count)))


async def test_orders_for_many_vms_at_once_are_all_answered(slow_fleet):
    """Guards against vacated VMs that stay idle because their orders wait for each other."""
    permit(slow_fleet, 60_000)
    await asyncio.sleep(0.1)
    moves = asyncio.ensure_future(send_moves(slow_fleet, 40))
    await asyncio.sleep(0.1)
    async with asyncio.timeout(1.0):
        await slow_fleet._calls.list_vms()
    assert {event for event, _ in await moves} == {"accepted"}


async def test_an_order_that_waited_for_others_needs_a_valid_leadership(slow_fleet):
    """Guards against an order that is sent after a successor may have begun to send some."""
    permit(slow_fleet, 400)
    await asyncio.sleep(0.1)
    valid_until_ms = slow_fleet._permitted_until_ms
    await send_moves(slow_fleet, 40)
    assert slow_fleet.platform.received_ms
    assert max(slow_fleet.platform.received_ms) < valid_until_ms + 50


async def test_only_vms_that_stay_in_a_pool_are_its_capacity(make_fleet):
    """Guards against pools that get no VMs, as VMs that have left or leave count as theirs."""
    fleet = make_fleet()
    fleet._vms = dict(fleet.calls.vms)
    upstream_ids = [f"i-{n}" for n in range(12)]
    loads = {key: UpstreamLoad(key, "pool", 0, 0, 0, 0, 16_000, 0) for key in upstream_ids}
    fleet._loads = Loads(loads, {}, {}, {})
    fleet._moves["m-0"] = Move(MovePlan("m-0", "pool", "other", ""), "vacating", "i-0", 0.0)
    (demand,) = fleet._demands()
    assert demand.total_millicores == demand.free_millicores == 7 * 16_000
    assert demand.vm_count == 7


async def test_an_order_that_is_sent_again_needs_an_upstream_that_is_still_vacated(fleet):
    """Guards against a late order that exceeds a disruption budget (rule AVAIL)."""
    fleet.calls.unanswered_count = 1_000
    permit(fleet, 60_000)
    assert await wait_until(lambda: len(fleet.calls.maintained) >= 2)
    fleet.recorder.withdrawn = True
    await asyncio.sleep(VACATED_MAX_AGE_MS / 1_000 + 0.1)
    sent_count = len(fleet.calls.maintained)
    await asyncio.sleep(1.2)
    assert len(fleet.calls.maintained) == sent_count
    fleet.recorder.withdrawn = False
    assert await wait_until(lambda: len(fleet.calls.maintained) > sent_count)
