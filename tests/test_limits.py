"""Rights under the teams' upper limits, divided among several entry VMs that replay one log."""

from __future__ import annotations

from collections import Counter, deque

import pytest
from attrs import Factory, define
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragoncart import records, replay
from tarragoncart.limits import PeerDemand, RightsLedger, missing_rights_count, plan_rights
from tarragoncart.model import FleetConfig, Member, TeamSpec

TEAM = "shop"


@define
class Holder:
    """An entry VM: its replayed state, its ledger and its number of waiting jobs."""

    ledger: RightsLedger
    state: replay.FleetState = Factory(replay.FleetState)
    waiting_count: int = 0
    sent: list = Factory(list)

    def demand(self):
        count = missing_rights_count(self.ledger, TEAM, self.waiting_count)
        return PeerDemand(self.ledger.incarnation, {TEAM: count} if count else {})

    def start_jobs(self):
        while self.waiting_count and self.ledger.may_start(TEAM):
            self.waiting_count -= 1
            self.ledger.running[TEAM] += 1


@define
class Fleet:
    """Holders of the rights under one limit, and the log that they share."""

    limit_count: int
    holders: list[Holder]
    log: list = Factory(list)
    in_flight: deque = Factory(deque)

    @classmethod
    def create(cls, names, limit_count):
        fleet = cls(limit_count, [Holder(RightsLedger(name)) for name in names])
        fleet.log.append(records.Publish(0, FleetConfig(teams=(TeamSpec(TEAM, 1.0, limit_count),))))
        fleet.log += [records.Join(Member(n, n, "dc-1", "", "")) for n in names]
        for holder in fleet.holders:
            fleet.deliver(holder, len(fleet.log))
        return fleet

    def tick(self, holder, draining=False):
        others = [other.demand() for other in self.holders if other is not holder]
        peer_demands = [peer for peer in others if peer.wanted_count]
        members = len(holder.state.members)
        waiting = {TEAM: holder.waiting_count}
        for record in plan_rights(holder.ledger, waiting, peer_demands, members, draining=draining):
            holder.ledger.sent(record)
            self.in_flight.append((holder, record))
        holder.start_jobs()

    def write(self, count):
        """Append records in flight to the log, in the order in which they were sent."""
        for _ in range(min(count, len(self.in_flight))):
            holder, record = self.in_flight.popleft()
            self.log.append(record)
            holder.sent.append((len(self.log) - 1, record))

    def refuse(self):
        """Refuse the oldest record in flight."""
        if self.in_flight:
            holder, record = self.in_flight.popleft()
            holder.ledger.ended(record)

    def deliver(self, holder, count):
        """Let a holder read more of the log; its own records are ended once replayed."""
        for offset in range(holder.state.offset + 1, len(self.log))[:count]:
            envelope = records.Envelope(f"b-{offset}", 0, "", 0, self.log[offset])
            replay.apply(holder.state, offset, envelope)
            holder.ledger.rights = dict(holder.state.rights)
            while holder.sent and holder.sent[0][0] <= offset:
                holder.ledger.ended(holder.sent.pop(0)[1])
        holder.start_jobs()

    def settle(self, rounds=1):
        for _ in range(rounds):
            for holder in self.holders:
                self.tick(holder)
            self.write(100)
            for holder in self.holders:
                self.deliver(holder, 100)

    def finish(self, holder, count=1):
        holder.ledger.running[TEAM] -= min(count, holder.ledger.running[TEAM])
        holder.start_jobs()

    @property
    def running_count(self):
        return sum(holder.ledger.running[TEAM] for holder in self.holders)


def rights_moved(fleet):
    return [item for item in fleet.log if isinstance(item, records.TransferRights)]


STEPS = st.tuples(
    st.sampled_from(["arrive", "finish", "tick", "drain", "write", "refuse", "deliver"]),
    st.integers(0, 4),
    st.integers(1, 6),
)


@settings(max_examples=150, deadline=None)
@given(st.integers(1, 5), st.integers(1, 12), st.lists(STEPS, max_size=80))
def test_running_jobs_never_exceed_the_limit(holder_count, limit_count, steps):
    """Guards against rights that two entry VMs use at once, whatever the log's delays."""
    fleet = Fleet.create("abcde"[:holder_count], limit_count)
    for step, index, count in steps:
        holder = fleet.holders[index % holder_count]
        if step == "arrive":
            holder.waiting_count += count
            holder.start_jobs()
        elif step in ("tick", "drain"):
            fleet.tick(holder, draining=step == "drain")
        elif step in ("write", "refuse"):
            getattr(fleet, step)(*[count] * (step == "write"))
        else:
            getattr(fleet, step)(holder, count)
        assert fleet.running_count <= limit_count
    # Whatever happened before, the only entry VM with demand gets all rights in the end.
    for holder in fleet.holders:
        holder.waiting_count = 0
        fleet.finish(holder, 100)
    fleet.holders[0].waiting_count = limit_count + 1
    fleet.settle(rounds=16)
    assert fleet.holders[0].ledger.running[TEAM] == limit_count


@pytest.mark.parametrize(("limit_count", "holder_count"), [(10, 2), (12, 5), (3, 5), (1, 4)])
def test_every_entry_vm_with_demand_gets_rights(limit_count, holder_count):
    """Guards against an entry VM that joins late and gets no right while others are busy."""
    fleet = Fleet.create("abcde"[:holder_count], limit_count)
    fleet.holders[0].waiting_count = 1_000
    fleet.settle(rounds=3)
    assert fleet.holders[0].ledger.running[TEAM] == limit_count
    started = Counter()
    for holder in fleet.holders:
        holder.waiting_count = 1_000
    for _ in range(12 * holder_count):
        fleet.settle()
        assert fleet.running_count <= limit_count
        for holder in fleet.holders:
            started[holder.ledger.incarnation] += holder.ledger.running[TEAM]
            fleet.finish(holder, 100)
    fewest, most = min(started[h.ledger.incarnation] for h in fleet.holders), max(started.values())
    assert fewest > 0 and most <= 3 * fewest


def test_rights_do_not_move_under_steady_demand():
    """Guards against rights that keep moving between entry VMs, which costs a record each time."""
    fleet = Fleet.create("abc", 9)
    for holder in fleet.holders:
        holder.waiting_count = 1_000
    for _ in range(10):
        for holder in fleet.holders:
            fleet.finish(holder)
        fleet.settle()
    moved = len(rights_moved(fleet))
    assert [holder.ledger.held_count(TEAM) for holder in fleet.holders] == [3, 3, 3]
    for _ in range(20):
        for holder in fleet.holders:
            fleet.finish(holder)
        fleet.settle()
    assert len(rights_moved(fleet)) == moved


def test_jobs_that_wait_for_an_upstream_need_no_rights():
    """Guards against taking rights that cannot be used because the upstreams are full."""
    fleet = Fleet.create("ab", 10)
    fleet.settle(rounds=3)
    fleet.holders[0].waiting_count = 4
    assert not fleet.holders[0].demand().wanted_count
    fleet.holders[0].waiting_count = 7
    assert fleet.holders[0].demand().wanted_count == {TEAM: 2}


def test_a_draining_entry_vm_returns_its_rights():
    """Guards against losing rights with every planned stop of an entry VM."""
    fleet = Fleet.create("ab", 10)
    fleet.settle(rounds=3)
    first, second = fleet.holders
    first.waiting_count = 2
    first.start_jobs()
    first.waiting_count = 1
    fleet.tick(first, draining=True)
    fleet.write(10)
    fleet.deliver(first, 10)
    fleet.deliver(second, 10)
    assert first.ledger.held_count(TEAM) == 3
    second.waiting_count = 10
    fleet.tick(second)
    fleet.write(10)
    fleet.deliver(second, 10)
    assert second.ledger.running[TEAM] == 7


def test_records_of_an_earlier_incarnation_do_not_count():
    """Guards against exceeding a limit after an entry VM has started a new incarnation."""
    fleet = Fleet.create("ab", 10)
    fleet.settle(rounds=3)
    ledger = fleet.holders[0].ledger
    for record in (records.TransferRights(TEAM, "old", "b", 4), records.TakeRights(TEAM, "old", 4)):
        ledger.ended(record)
    assert ledger.held_count(TEAM) == 5 and not ledger.pending_requests[TEAM]
