"""Replay compared with simple models, with entry VMs that write records from outdated views."""

from __future__ import annotations

import json
from collections import Counter
from types import SimpleNamespace

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from bench.vm_model import VmModel
from tarragoncart import records, replay, snapshots
from tarragoncart.model import FleetConfig, Member, Outcome, PoolSpec, TeamSpec, VmSpec

TEAMS = ("shop", "studio")
POOLS = ("holds", "spare")
VMS = tuple(f"vm-{n}" for n in range(4))
WRITER_COUNT = 3
BUFFER_COUNT = 2

WRITERS = st.integers(0, WRITER_COUNT - 1)
COUNTS = st.integers(0, 6)
TEAM = st.sampled_from(TEAMS)
POOL = st.sampled_from(POOLS)
VM = st.sampled_from(VMS)
REQUEST = st.sampled_from(("r", "s"))
WAVE = st.sampled_from(("", "w"))


def without_offsets(state):
    """Return the state with offsets set to 0, which differ if the log holds duplicates."""
    audit = [evolve(entry, offset=0) for entry in state.audit]
    return evolve(state, offset=0, audit=audit)


def make_view(state):
    """Return a copy of the state that a writer uses until its next refresh."""
    sections = ("rights", "retired", "jobs", "vms")
    copies = {section: dict(getattr(state, section)) for section in sections}
    return SimpleNamespace(config_version=state.config_version, **copies)


def replay_batches(state, log):
    """Encode and decode the batches of a log and apply them after the state's offset."""
    for batch in log:
        for data in json.loads(json.dumps([records.encode_record(item) for item in batch])):
            replay.apply(state, state.offset + 1, records.decode_record(data))
    return state


def rights_by_incarnation(rights):
    """Return the number of rights under which each incarnation may have jobs running."""
    return Counter(rights.holders) + Counter(rights.held)


class Fleet(RuleBasedStateMachine):
    """Writers buffer records that they choose from their views; a flush appends them as a batch."""

    def __init__(self):
        super().__init__()
        self.state = replay.FleetState()
        self.log = []
        self.writers = []
        self.vms = VmModel()
        self.version = 0
        self.claims = {}
        self.final = {}
        self.incarnation_count = 0
        self.snapshot = None
        self.checking = False

    # Writers

    @initialize()
    def set_up(self):
        for _ in range(WRITER_COUNT):
            self.join()
        self.publish(0, 5, 1, 1, POOLS, TEAMS, VMS)
        for number in range(WRITER_COUNT):
            self.flush(number)

    @rule()
    def join(self):
        self.incarnation_count += 1
        name = f"i{self.incarnation_count}"
        member = Member(name, name, "dc-1", "127.0.0.1:1", "127.0.0.1:2")
        writer = SimpleNamespace(name=name, view=make_view(self.state), buffer=[])
        self.writers = [*self.writers[1 - WRITER_COUNT :], writer]
        self.append(writer, [records.Join(member)])

    @rule(number=WRITERS)
    def refresh(self, number):
        self.writers[number].view = make_view(self.state)

    @rule(number=WRITERS)
    def flush(self, number):
        """Append the writer's batch; its view then contains the log up to there until a refresh."""
        writer = self.writers[number]
        buffer, writer.buffer = writer.buffer, []
        if buffer:
            self.append(writer, buffer)
        self.refresh(number)

    @rule(number=st.integers(0, 99))
    def resend(self, number):
        """Append a batch a second time, as after a lost response."""
        before = without_offsets(self.state)
        replay_batches(self.state, [self.log[number % len(self.log)]])
        assert without_offsets(self.state) == before

    @rule()
    def take_snapshot(self):
        self.snapshot = len(self.log), snapshots.encode_snapshot(self.state, "s")

    def write(self, number, record):
        writer = self.writers[number]
        writer.buffer.append(record)
        if len(writer.buffer) >= BUFFER_COUNT:
            self.flush(number)

    def append(self, writer, buffer):
        batch_id = f"b{len(self.log)}"
        batch = [records.Envelope(batch_id, n, writer.name, 0, r) for n, r in enumerate(buffer)]
        self.log.append(batch)
        for envelope in batch:
            before = dict(self.state.rights)
            applied = replay.apply(self.state, self.state.offset + 1, envelope)
            self.checking = True
            self.check_record(envelope.record, applied.entry.accepted, before)
            self.checking = False

    # Records

    @rule(
        number=WRITERS,
        limit=COUNTS,
        max_unavailable=COUNTS,
        min_available=st.integers(0, 2),
        pools=st.sampled_from((POOLS, POOLS, POOLS[:1])),
        teams=st.sampled_from((TEAMS, TEAMS, TEAMS[:1])),
        vms=st.sampled_from((VMS, VMS, VMS[:3])),
    )
    def publish(self, number, limit, max_unavailable, min_available, pools, teams, vms):
        config = FleetConfig(
            teams=tuple(TeamSpec(team, 1.0, limit) for team in teams),
            pools=tuple(PoolSpec(pool, max_unavailable, min_available) for pool in pools),
            vms=tuple(VmSpec(vm, POOLS[0], "dc-1", "rack-1", "127.0.0.1:1") for vm in vms),
        )
        version = self.writers[number].view.config_version
        self.write(number, records.Publish(version, config))

    @rule(number=WRITERS, team=TEAM, count=COUNTS)
    def take(self, number, team, count):
        self.write(number, records.TakeRights(team, self.writers[number].name, count))

    @rule(number=WRITERS, other=WRITERS, team=TEAM, back=st.booleans())
    def transfer(self, number, other, team, back):
        writer = self.writers[number]
        rights = writer.view.rights.get(team)
        count = rights.holders.get(writer.name, 0) if rights else 0
        receiver = "" if back else self.writers[other].name
        self.write(number, records.TransferRights(team, writer.name, receiver, count))

    @rule(number=WRITERS, other=WRITERS)
    def retire(self, number, other):
        self.write(number, records.Retire(self.writers[other].name, "silent"))

    @rule(number=WRITERS, choice=COUNTS)
    def release(self, number, choice):
        retired = list(self.writers[number].view.retired)
        if retired:
            self.write(number, records.ReleaseRights(retired[choice % len(retired)]))

    @rule(number=WRITERS, request_id=REQUEST, digest=st.sampled_from("de"))
    def accept(self, number, request_id, digest):
        record = records.AcceptJob(request_id, "holds", "shop", digest, {"n": 1}, 1.0)
        self.write(number, record)

    @rule(number=WRITERS, request_id=REQUEST, vm=VM, digest=st.sampled_from(("", "d", "e")))
    def claim(self, number, request_id, vm, digest):
        writer = self.writers[number]
        job = writer.view.jobs.get(request_id)
        epoch = job.claim_epoch + 1 if job else 1
        self.write(number, records.ClaimJob(request_id, epoch, writer.name, vm, digest))

    @rule(number=WRITERS, request_id=REQUEST, outcome=st.sampled_from(Outcome), body=COUNTS)
    def finish(self, number, request_id, outcome, body):
        job = self.writers[number].view.jobs.get(request_id)
        epoch = job.claim_epoch if job else 0
        if outcome is not Outcome.ACCEPTED:
            self.write(number, records.FinishJob(request_id, outcome, epoch, body))

    @rule(number=WRITERS, request_id=REQUEST)
    def cancel(self, number, request_id):
        self.write(number, records.CancelJob(request_id))

    @rule(number=WRITERS, vm=VM, wave=WAVE, to_pool=POOL, choices=st.lists(COUNTS, max_size=4))
    def change_vm(self, number, vm, wave, to_pool, choices):
        """Write steps that the chart allows in the writer's view; all but the last are flushed."""
        for n, choice in enumerate(choices, 1):
            known = self.writers[number].view.vms.get(vm)
            if known is None:
                return
            kinds = {
                "reserve_stop": records.ReserveStop(vm, wave, "kernel"),
                "begin_stop": records.BeginStop(vm),
                "move": records.MoveVm(vm, known.pool, to_pool, "demand"),
                "drained": records.VmDrained(vm),
                "vm_back": records.VmBack(vm),
                "vm_failed": records.VmFailed(vm, "cause"),
                "cancel_stop": records.CancelStop(vm, "cause"),
            }
            allowed = [kind for kind in kinds if replay.VM_CHART.accepts(known.state, kind)]
            self.write(number, kinds[allowed[choice % len(allowed)]])
            if n < len(choices):
                self.flush(number)

    @rule(number=WRITERS, pools=st.sampled_from((POOLS, POOLS[:1])))
    def start_wave(self, number, pools):
        self.write(number, records.StartWave("w", pools, "kernel"))

    @rule(number=WRITERS, team=st.sampled_from(TEAMS), count=st.integers(1, 3))
    def settle(self, number, team, count):
        writer = self.writers[number]
        rights = writer.view.rights.get(team, replay.TeamRights(0, 0))
        held_count = rights.held.get(writer.name, 0)
        self.write(number, records.SettleRights(team, writer.name, held_count, count))

    @rule(number=WRITERS, event=st.sampled_from(("resume", "cancel")))
    def control_wave(self, number, event):
        self.write(number, records.ControlWave("w", event))

    # Checks after each record
    def check_record(self, record, accepted, rights_before):
        self.vms.apply(record.kind, records.converter().unstructure(record))
        if record.kind == "publish":
            assert accepted == (record.base_version == self.version)
            self.version += accepted
        elif record.kind == "claim" and accepted:
            assert (record.request_id, record.epoch) not in self.claims
            self.claims[record.request_id, record.epoch] = record.incarnation
        elif record.kind in ("reserve_stop", "begin_stop", "move") and accepted:
            self.check_budget(record.vm)
        owner = {"transfer": "giver", "settle": "incarnation", "release": "incarnation"}
        freed = getattr(record, owner.get(record.kind, ""), None)
        for team, rights in rights_before.items():
            kept = rights_by_incarnation(self.state.rights.get(team, replay.TeamRights(0, 0)))
            for name, count in rights_by_incarnation(rights).items():
                assert name == freed or kept[name] >= count, "rights vanished under running jobs"
        self.check_state()

    def check_budget(self, name):
        vm = self.state.vms[name]
        if vm.state == "in_service":
            return
        spec = next(spec for spec in self.state.config.pools if spec.name == vm.pool)
        members = [other for other in self.state.vms.values() if other.pool == vm.pool]
        out_count = sum(other.state != "in_service" for other in members)
        assert out_count <= spec.max_unavailable_count
        assert len(members) - out_count >= spec.min_available_count

    @invariant()
    def check_state(self):
        assert self.state.config_version == self.version
        self.check_rights()
        self.check_vms()
        for request_id, job in self.state.jobs.items():
            epochs = {epoch for known, epoch in self.claims if known == request_id}
            assert epochs == set(range(1, job.claim_epoch + 1))
            if job.claim_epoch:
                assert job.claimed_by == self.claims[request_id, job.claim_epoch]
            if job.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
                result = job.outcome, job.body, job.code
                assert self.final.setdefault(request_id, result) == result
        assert set(self.final) <= set(self.state.jobs)

    def check_rights(self):
        limits = {team.name: team.upper_limit_count for team in self.state.config.teams}
        for team, rights in self.state.rights.items():
            assert rights.limit_count == limits.get(team, 0)
            assert set(rights.holders) <= set(self.state.members)
            assert set(rights.held) <= {*self.state.retired, *self.state.members}
            counts = [*rights.holders.values(), *rights.held.values(), rights.unassigned_count]
            assert min(counts) >= 0
            held_count = sum(rights.held.values())
            assert sum(counts) == max(rights.limit_count, held_count)
        assert set(limits) <= set(self.state.rights)

    def check_vms(self):
        pools = {pool.name for pool in self.state.config.pools}
        assert {vm.pool for vm in self.state.vms.values()} <= pools
        expected = {name: (vm.pool, vm.state, vm.wave) for name, vm in self.vms.vms.items()}
        actual = {name: (vm.pool, vm.state, vm.wave) for name, vm in self.state.vms.items()}
        assert actual == expected
        waves = {"finished": "over", "cancelled": "over"}
        for name, wave in self.state.waves.items():
            model = self.vms.waves[name]
            state = waves.get(wave.state, wave.state)
            assert state == model.state
            if state != "over":
                known = set(wave.pending), wave.failure_count
                assert known == (model.pending, model.failure_count)

    def teardown(self):
        """Check that a log of duplicated batches and a snapshot with later batches give this state.

        This is skipped if a check of a record has failed.
        """
        if self.checking:
            return
        doubled = [batch for batch in self.log for _ in range(2)]
        assert without_offsets(replay_batches(replay.FleetState(), doubled)) == without_offsets(
            self.state
        )
        if self.snapshot:
            count, parts = self.snapshot
            assembler = snapshots.SnapshotAssembler()
            restored = [assembler.add(part) for part in parts][-1]
            assert without_offsets(replay_batches(restored, self.log[count:])) == without_offsets(
                self.state
            )


def test_replay_agrees_with_plain_models():
    """Guards against records from outdated views that break invariants of the replayed state.

    The invariants cover versions, claims, outcomes, rights, budgets, and states of VMs and waves.
    """
    limits = settings(derandomize=True, deadline=None, max_examples=120, stateful_step_count=50)
    run_state_machine_as_test(Fleet, settings=limits)
