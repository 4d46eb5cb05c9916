"""Tests of the election: which entry VM leads, in virtual time and with real sockets."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import random

import pytest

from standins.taskworker import TaskWorker
from standins.virtual import (
    Simulation,
    VirtualLink,
    VirtualStoreClient,
    patch_peer_client,
    run_in_virtual_time,
)
from tarragoncart import defaults
from tarragoncart.candidacy import Candidacy
from tarragoncart.candidates import (
    Candidate,
    CandidateStatus,
    LeaderView,
    RecordWatch,
    Survey,
    choose_successor,
    decide,
    is_settled,
    select_respondents,
    survey_rounds,
)
from tarragoncart.graph import Demand, JobSpec, StepSpec, Submission
from tarragoncart.intake import submission_record
from tarragoncart.jobmemory import LeaderMemory
from tarragoncart.leaderapi import PeerClient
from tarragoncart.leadership import Fenced, FindLeader, Leave
from tarragoncart.mailbox import new_reply

SMALL = {"cpu_millicores": 516, "link_mbps": 10.0}
LARGE = {"cpu_millicores": 2_151, "link_mbps": 200.0}
INTAKE_PART_COUNT = 8
JOB_COUNT = 400
WILLING = CandidateStatus(True, False, LeaderView.UNREACHABLE)


@pytest.fixture
def settle_ms():
    """How long an entry VM waits at a first start for abler ones, as in production."""
    return defaults.ELECTION_SETTLE_MS


@pytest.fixture
def simulate(monkeypatch, platform_config):
    """Return a function that runs a scenario with a simulation and returns its result."""

    def run(scenario):
        simulation = Simulation(random.Random(1))
        patch_peer_client(simulation, monkeypatch.setattr)
        simulation.store.put("keyed.op", "config", json.dumps(platform_config).encode())
        return run_in_virtual_time(scenario(simulation))

    return run


@pytest.fixture
def survey():
    """Create a survey of a small entry VM that finds no leader, one second after its start."""

    def make(**changes):
        values = {
            "own": Candidate("small", "small", **SMALL),
            "own_willing": True,
            "own_view": LeaderView.NOT_LEADING,
            "reason": "",
            "uptime_ms": 10_000.0,
            "sole_member": False,
            "candidates": (),
            "statuses": {},
        }
        return Survey(**values | changes)

    return make


def leader_name(simulation):
    """Return the name of the entry VM with the highest epoch, empty if none leads."""
    leading = [node for node in simulation.nodes.values() if node.scheduler is not None]
    newest = max(leading, key=lambda node: node.scheduler.epoch, default=None)
    return "" if newest is None else newest.incarnation.split("/")[0]


def epoch_count(simulation):
    """Return how many epochs were claimed."""
    return len(simulation.store.part("keyed.leader", 0).records)


async def start_equal_nodes(simulation, count, **settings):
    """Start entry VMs with the same settings, named ``n-0`` and so on."""
    for number in range(count):
        await simulation.start_node(f"n-{number}", **settings)


async def stop_all(simulation):
    """Stop all entry VMs."""
    for name in list(simulation.nodes):
        await simulation.kill_node(name)


def test_the_ablest_entry_vm_leads_after_a_start_and_after_a_failure(simulate):
    """Guards against a small entry VM that leads because it joined the store's group first."""

    async def scenario(simulation):
        await simulation.start_node("small", **SMALL)
        await asyncio.sleep(0.1)
        for name in ("large-1", "large-2"):
            await simulation.start_node(name, **LARGE)
        await asyncio.sleep(3.0)
        first = leader_name(simulation)
        await simulation.kill_node(first)
        await asyncio.sleep(3.0)
        second = leader_name(simulation)
        await simulation.kill_node(second)
        await asyncio.sleep(3.0)
        third, epochs = leader_name(simulation), epoch_count(simulation)
        await stop_all(simulation)
        return {first, second}, third, epochs

    assert simulate(scenario) == ({"large-1", "large-2"}, "small", 3)


def test_the_ablest_entry_vm_leads_after_all_were_killed(simulate):
    """Guards against a small entry VM that leads because it was restarted first."""

    async def scenario(simulation):
        for name, settings in (("small", SMALL), ("large", LARGE)):
            await simulation.start_node(name, **settings)
        await asyncio.sleep(3.0)
        await stop_all(simulation)
        await asyncio.sleep(1.5)
        await simulation.start_node("small", **SMALL)
        await asyncio.sleep(0.5)
        await simulation.start_node("large", **LARGE)
        await asyncio.sleep(3.0)
        found = leader_name(simulation)
        await stop_all(simulation)
        return found

    assert simulate(scenario) == "large"


def test_equal_entry_vms_elect_one_leader_soon(simulate):
    """Guards against a site of equal entry VMs that waits for an abler one."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 7)
        await asyncio.sleep(2.0)
        await simulation.kill_node(leader_name(simulation))
        await asyncio.sleep(2.0)
        found, epochs = leader_name(simulation), epoch_count(simulation)
        await stop_all(simulation)
        return found, epochs

    found, epochs = simulate(scenario)
    assert found
    assert epochs == 2


def test_a_leader_that_others_reach_keeps_the_lead(simulate):
    """Guards against a claim by an entry VM whose own path to the leader is cut."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(2.0)
        leader = leader_name(simulation)
        prober = next(iter(simulation.store.members)).split("/")[0]
        if prober == leader:
            del simulation.store.members[simulation.nodes[leader].incarnation]
            await asyncio.sleep(0.5)
            prober = next(iter(simulation.store.members)).split("/")[0]
        simulation.cut_paths.add((prober, leader))
        await asyncio.sleep(10.0)
        result = prober != leader, epoch_count(simulation)
        await stop_all(simulation)
        return result

    assert simulate(scenario) == (True, 1)


def test_an_entry_vm_that_reaches_only_the_store_lets_another_one_decide(simulate):
    """Guards against a leader that is cut off from all other entry VMs."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(2.0)
        leader = leader_name(simulation)
        names = [member.split("/")[0] for member in simulation.store.members]
        isolated = next(name for name in names if name != leader)
        others = [name for name in names if name != isolated]
        simulation.cut_paths.update(itertools.product([isolated], others))
        await simulation.kill_node(leader)
        await asyncio.sleep(6.0)
        found, epochs = leader_name(simulation), epoch_count(simulation)
        await stop_all(simulation)
        return found not in ("", isolated), epochs

    assert simulate(scenario) == (True, 2)


def test_an_isolated_entry_vm_that_owns_the_partition_again_does_not_claim(simulate):
    """Guards against a claim, beside a healthy leader, by an entry VM that reaches only the store.

    The store assigns the partition to the isolated entry VM whenever it is a member.
    """

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(2.0)
        leader, store = leader_name(simulation), simulation.store
        members = list(store.members)
        isolated = next(member for member in members if not member.startswith(f"{leader}/"))
        name = isolated.split("/")[0]
        simulation.cut_paths.update((name, other) for other in simulation.nodes if other != name)
        for _ in range(1_500):
            if isolated in store.members:
                store.members = {isolated: store.members.pop(isolated), **store.members}
            await asyncio.sleep(0.01)
        result = leader_name(simulation) == leader, epoch_count(simulation)
        await stop_all(simulation)
        return result

    assert simulate(scenario) == (True, 1)


def test_a_leader_that_reaches_only_the_store_resigns(simulate):
    """Guards against an isolated leader that nobody replaces, as it owns the partition itself."""

    async def scenario(simulation):
        for number in range(8):
            simulation.add_worker(f"i-{number}", Demand(1_000))
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(3.0)
        leader, store = leader_name(simulation), simulation.store
        for worker in simulation.workers.values():
            worker.cut_entries.add(leader)
        others = [name for name in simulation.nodes if name != leader]
        simulation.cut_paths.update(itertools.product([leader], others))
        member = simulation.nodes[leader].incarnation
        store.members = {member: store.members.pop(member), **store.members}
        await asyncio.sleep(12.0)
        found, epochs = leader_name(simulation), epoch_count(simulation)
        await stop_all(simulation)
        return found in others, epochs

    assert simulate(scenario) == (True, 2)


def test_an_entry_vm_that_stops_while_it_claims_does_not_lead(simulate):
    """Guards against a leader that is being stopped: nobody else takes over while it answers."""

    async def scenario(simulation):
        node = await simulation.start_node("n-1")
        while node.election._role.state != "claiming":
            await asyncio.sleep(0.0005)
        node.election.tell(Leave(new_reply()))
        await asyncio.sleep(0.5)
        found = leader_name(simulation)
        await stop_all(simulation)
        return found

    assert simulate(scenario) == ""


def test_a_candidate_that_does_not_answer_does_not_delay_a_claim(simulate):
    """Guards against a claim that waits for the timeout of a candidate that is gone."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(2.0)
        leader = leader_name(simulation)
        names = [member.split("/")[0] for member in simulation.store.members]
        cut, *others = [name for name in names if name != leader]
        simulation.cut_paths.update(itertools.product([cut], names))
        del simulation.store.members[simulation.nodes[cut].incarnation]
        simulation.store.refused_entries.add(cut)
        await asyncio.sleep(0.5)
        simulation.nodes[leader].election.tell(Leave(new_reply()))
        started_s = simulation.now_s()
        while epoch_count(simulation) < 2:
            await asyncio.sleep(0.01)
        elapsed_s = simulation.now_s() - started_s
        await stop_all(simulation)
        return elapsed_s

    # One renewal of the membership (0.4 s) and a few calls; a timeout takes 0.35 s.
    assert simulate(scenario) < 0.6


def test_the_only_entry_vm_left_takes_the_lead(simulate):
    """Guards against an entry VM that waits for candidates that are gone."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 5)
        await asyncio.sleep(2.0)
        leader = leader_name(simulation)
        kept = next(name for name in simulation.nodes if name != leader)
        for name in list(simulation.nodes):
            if name != kept:
                await simulation.kill_node(name)
        await asyncio.sleep(5.0)
        found = leader_name(simulation)
        await stop_all(simulation)
        return found == kept

    assert simulate(scenario)


def record_removed_entry_vms(simulation, count):
    """Record entry VMs that were removed for good; they are abler than all that are started."""
    for number in range(count):
        removed = Candidate(f"a-removed-{number}", f"a-removed-{number}:7000", **LARGE)
        simulation.store.put("keyed.candidates", removed.name, removed.encode())


@pytest.mark.parametrize("removed_count", [defaults.SURVEY_CANDIDATE_COUNT, 200])
def test_records_of_removed_entry_vms_do_not_prevent_an_election(simulate, removed_count):
    """Guards against a survey that asks removed entry VMs only and takes itself for isolated."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 12)
        await asyncio.sleep(3.0)
        record_removed_entry_vms(simulation, removed_count)
        leader = leader_name(simulation)
        await simulation.kill_node(leader)
        await asyncio.sleep(6.0)
        found = leader_name(simulation)
        await stop_all(simulation)
        return leader, found

    first, second = simulate(scenario)
    assert first and second and first != second


def test_a_leader_with_poor_reach_is_not_isolated_by_removed_entry_vms(simulate):
    """Guards against a healthy leader that resigns because only removed entry VMs are asked."""

    async def scenario(simulation):
        workers = [simulation.add_worker(f"i-{number}", Demand(1_000)) for number in range(6)]
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(4.0)
        first = leader_name(simulation)
        record_removed_entry_vms(simulation, defaults.SURVEY_CANDIDATE_COUNT)
        for worker in workers[:4]:
            worker.cut_entries.update(simulation.nodes)
        await asyncio.sleep(15.0)
        second, epochs = leader_name(simulation), epoch_count(simulation)
        await stop_all(simulation)
        return first == second, epochs

    assert simulate(scenario) == (True, 1)


def test_a_survey_asks_the_ablest_and_the_newest_candidates_first():
    """Guards against a survey that waits for removed entry VMs before it asks one that answers."""
    removed = [Candidate(f"a-{number}", "", **LARGE) for number in range(200)]
    added = Candidate("z", "", **SMALL)
    first, *later = survey_rounds([*removed, added])
    assert first[: defaults.SURVEY_CANDIDATE_COUNT] == select_respondents(removed)
    assert added in first
    assert len(first) == defaults.SURVEY_CANDIDATE_COUNT + defaults.SURVEY_NEWEST_COUNT
    asked = [candidate for respondents in (first, *later) for candidate in respondents]
    assert sorted(asked, key=str) == sorted([*removed, added], key=str)
    assert list(survey_rounds([])) == [()]


def candidate_names(simulation):
    """Return the names of the recorded candidates."""
    newest = dict(simulation.store.part("keyed.candidates", 0).records)
    return {name for name, value in newest.items() if value}


@pytest.fixture
def renewal_s(monkeypatch):
    """Shorten the renewal period of the candidates' records and return its length."""
    monkeypatch.setattr(defaults, "CANDIDATE_RENEWAL_MS", 1_000)
    return 1.0


def test_the_record_of_a_removed_entry_vm_expires(simulate, renewal_s):
    """Guards against records that pile up in the store with each replaced entry VM."""

    async def scenario(simulation):
        record_removed_entry_vms(simulation, 20)
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(2.0)
        await simulation.kill_node(leader_name(simulation))
        await asyncio.sleep(2.0 + 2 * defaults.CANDIDATE_EXPIRY_COUNT * renewal_s)
        result = candidate_names(simulation) == set(simulation.nodes), len(simulation.nodes)
        await stop_all(simulation)
        return result

    assert simulate(scenario) == (True, 3)


def test_candidates_stay_recorded_while_the_store_is_away(simulate, renewal_s):
    """Guards against a leader that takes an outage of the store for the end of all others."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(3.0)
        simulation.store.refused_entries.update(simulation.nodes)
        await asyncio.sleep(4 * defaults.CANDIDATE_EXPIRY_COUNT * renewal_s)
        simulation.store.refused_entries.clear()
        smallest_count = 4
        for _ in range(100):
            await asyncio.sleep(0.1)
            smallest_count = min(smallest_count, len(candidate_names(simulation)))
        await stop_all(simulation)
        return smallest_count

    assert simulate(scenario) == 4


def test_an_entry_vm_whose_record_was_removed_is_recorded_again(simulate, renewal_s):
    """Guards against a live entry VM that is no candidate after the store refused it for long."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 4)
        await asyncio.sleep(3.0)
        refused = next(name for name in simulation.nodes if name != leader_name(simulation))
        simulation.store.refused_entries.add(refused)
        await asyncio.sleep(4 * defaults.CANDIDATE_EXPIRY_COUNT * renewal_s)
        removed = refused not in candidate_names(simulation)
        simulation.store.refused_entries.clear()
        await asyncio.sleep(2 * renewal_s)
        result = removed, refused in candidate_names(simulation)
        await stop_all(simulation)
        return result

    assert simulate(scenario) == (True, True)


def test_a_leader_learns_the_least_memory_of_the_candidates(simulate):
    """Guards against a leader that keeps more than a VM that has joined later can take over."""

    def limits(simulation):
        memory = simulation.nodes["n-0"].scheduler._memory
        return memory.jobs.limit_bytes, memory.tasks.limit_bytes, memory.checkpoints.limit_bytes

    def limits_of_vm(memory_mb):
        memory = LeaderMemory.of_vm(memory_mb)
        return memory.jobs.limit_bytes, memory.tasks.limit_bytes, memory.checkpoints.limit_bytes

    async def scenario(simulation):
        await simulation.start_node("n-0", memory_mb=552)
        await asyncio.sleep(3.0)
        alone = limits(simulation)
        await simulation.start_node("n-1", memory_mb=200)
        await asyncio.sleep(3.0)
        joined = limits(simulation)
        # Recorded by a version that does not tell its memory.
        record = {"address": "n-2:7000", "cpu_millicores": 516, "link_mbps": 10.0}
        simulation.store.put("keyed.candidates", "n-2", json.dumps(record).encode())
        await asyncio.sleep(2 * defaults.CANDIDATE_RENEWAL_MS / 1_000)
        unknown = limits(simulation)
        await stop_all(simulation)
        return alone, joined, unknown

    assert simulate(scenario) == (
        limits_of_vm(552),
        limits_of_vm(200),
        limits_of_vm(defaults.VM_MEMORY_DEFAULT_MB),
    )


def test_a_renewed_record_does_not_expire():
    """Guards against the removal of a candidate that renews its record less often than planned."""
    watch = RecordWatch()
    for _ in range(defaults.CANDIDATE_EXPIRY_COUNT):
        assert watch.observe({"live": 1, "removed": 2}) == ()
    assert watch.observe({"live": 3, "removed": 2}) == ("removed",)


def test_a_record_that_is_renewed_after_the_read_stays(simulate):
    """Guards against a late removal that takes a live candidate's renewed record away."""

    class RenewingStore(VirtualStoreClient):
        async def newest(self, topic, part=0):
            async for page in super().newest(topic, part):
                yield page
            if self.renews:
                self._state.put(topic, "live", b"renewed")

    async def scenario(simulation):
        store = RenewingStore(simulation.store, "n-0")
        store.renews = False
        simulation.store.put("keyed.candidates", "live", b"recorded")
        candidacy = Candidacy(Candidate("n-0", "n-0:7000", **SMALL), store)
        for _ in range(defaults.CANDIDATE_EXPIRY_COUNT):
            await candidacy.remove_expired()
        store.renews = True
        await candidacy.remove_expired()
        return candidate_names(simulation)

    assert simulate(scenario) == {"live"}


async def lead_without_reach(simulation, unreached_names, names):
    """Cut the leader, or all entry VMs, off from workers; return old and new leader and epochs.

    :param names: returns the entry VMs to be cut off for the leader's name.
    """
    for number in range(6):
        simulation.add_worker(f"i-{number}", Demand(4_000, 1_000_000))
    await simulation.start_node("large-1", **LARGE)
    await simulation.start_node("large-2", **LARGE)
    await simulation.start_node("small", **SMALL)
    await asyncio.sleep(4.0)
    first = leader_name(simulation)
    for name in unreached_names:
        simulation.workers[name].cut_entries.update(names(first))
    await asyncio.sleep(25.0)
    second, epochs = leader_name(simulation), epoch_count(simulation)
    await stop_all(simulation)
    return first, second, epochs


def test_a_leader_that_most_upstreams_do_not_answer_hands_over(simulate):
    """Guards against a leader that keeps the lead because the store alone confirms it."""
    unreached = [f"i-{number}" for number in range(4)]
    first, second, epochs = simulate(
        lambda simulation: lead_without_reach(simulation, unreached, lambda leader: [leader])
    )
    assert {first, second} == {"large-1", "large-2"}
    assert epochs == 2


def test_a_failure_of_upstreams_that_all_share_does_not_move_the_leadership(simulate):
    """Guards against a leadership that wanders while most upstreams are down."""
    unreached = [f"i-{number}" for number in range(4)]
    first, second, epochs = simulate(
        lambda simulation: lead_without_reach(
            simulation, unreached, lambda leader: list(simulation.nodes)
        )
    )
    assert first == second
    assert epochs == 1


def test_a_new_leader_is_known_as_soon_as_it_is_read(simulate):
    """Guards against a lookup whose result is held back until the next lookup may start."""

    async def scenario(simulation):
        node = await simulation.start_node("n-1")
        await asyncio.sleep(3.0)
        successor = json.dumps({"name": "n-2/1", "address": "n-2:7000"}).encode()
        simulation.store.put("keyed.leader", "leader", successor)
        node.election.tell(FindLeader())
        await asyncio.sleep(0.05)
        found = node._leader.name
        await stop_all(simulation)
        return found

    assert simulate(scenario) == "n-2/1"


def test_a_lost_leadership_names_its_reason(simulate, caplog):
    """Guards against a log that blames the store for a planned stop or a higher epoch."""
    caplog.set_level(logging.INFO, "tarragoncart.election")

    async def scenario(simulation):
        node = await simulation.start_node("n-1")
        await asyncio.sleep(3.0)
        node.election.tell(Fenced(node.scheduler.epoch))
        await asyncio.sleep(2.0)
        simulation.store.refused_entries.add("n-1")
        await asyncio.sleep(5.0)
        simulation.store.refused_entries.clear()
        await asyncio.sleep(2.0)
        node.election.tell(Leave(new_reply()))
        await asyncio.sleep(1.0)
        await stop_all(simulation)

    simulate(scenario)
    lost = [record for record in caplog.records if record.message == "leadership lost"]
    assert [record.reason for record in lost] == [
        "a higher epoch was claimed",
        "not confirmed by the store",
        "planned stop",
    ]


async def test_a_small_entry_vm_delegates_over_the_peer_interface(run_node):
    """Guards against queries between candidates that only work without sockets."""
    small = await run_node("small", **SMALL)
    large = await run_node("large", **LARGE)
    for _ in range(200):
        if large.scheduler is not None:
            break
        await asyncio.sleep(0.02)
    assert large.scheduler is not None
    assert small.scheduler is None
    assert large.scheduler.epoch == 1
    await large.stop()
    for _ in range(300):
        if small.scheduler is not None:
            break
        await asyncio.sleep(0.02)
    assert small.scheduler is not None


async def test_a_candidate_reports_its_reach_over_the_peer_interface(run_node, serve_standin):
    """Guards against queries for reach that only work without sockets."""
    node = await run_node("n-1")
    worker = await serve_standin(TaskWorker())
    peers = PeerClient()
    upstreams = (worker.address, "127.0.0.1:1", "malformed")
    assert await peers.count_reached(node.opened.settings.peer_address, upstreams) == 1
    await peers.close()


def test_the_scarcer_resource_decides_the_ability():
    """Guards against a leader with many cores behind a slow link."""
    wide = Candidate("wide", "", 1_000, 1_000.0)
    slow = Candidate("slow", "", 8_000, 5.0)
    assert wide.ability > slow.ability
    assert select_respondents((slow, wide)) == (wide, slow)


def test_a_busy_leader_that_a_candidate_reaches_leads(survey):
    """Guards against a claim for a timeout of one query."""
    large = Candidate("large", "", **LARGE)
    status = CandidateStatus(True, False, LeaderView.LEADS)
    found = decide(survey(candidates=(large,), statuses={"large": status}))
    assert found.event == "occupied"


def test_a_claim_in_progress_is_not_repeated(survey):
    """Guards against a second claim while the store is slow to answer the first."""
    large = Candidate("large", "", **LARGE)
    status = CandidateStatus(False, True, LeaderView.UNREACHABLE)
    found = decide(survey(candidates=(large,), statuses={"large": status}))
    assert found.event == "occupied"


def test_a_leader_that_connects_to_silent_upstreams_has_no_successor():
    """Guards against a series of leaders while the leader or the upstreams are slow."""
    large, small = Candidate("large", "", **LARGE), Candidate("small", "", **SMALL)
    reached_counts = {"large": 8, "small": 8}
    assert choose_successor((small, large), reached_counts, 3, 8) == large
    assert choose_successor((small, large), reached_counts, 4, 8) is None
    assert choose_successor((small, large), {"large": 3, "small": 4}, 0, 8) == small


def test_a_survey_waits_for_abler_candidates_and_for_witnesses_only():
    """Guards against a hasty claim, and against waiting for answers that change nothing."""
    large, small = Candidate("large", "", **LARGE), Candidate("small", "", **SMALL)
    both = (large, small)
    unreachable, not_leading = LeaderView.UNREACHABLE, LeaderView.NOT_LEADING
    assert not is_settled(small.ability, not_leading, "gone", {"small": WILLING}, both, {"small"})
    assert is_settled(small.ability, not_leading, "gone", {"large": WILLING}, both, {"large"})
    assert is_settled(large.ability, not_leading, "gone", {}, both, set())
    assert not is_settled(0.0, not_leading, "gone", {}, both, set())
    assert not is_settled(large.ability, unreachable, "gone", {"small": WILLING}, both, {"small"})
    leads = CandidateStatus(True, False, LeaderView.LEADS)
    assert is_settled(small.ability, unreachable, "gone", {"small": leads}, both, {"small"})


def test_a_survey_waits_for_a_recorded_leader_that_may_be_claiming():
    """Guards against a second epoch right after one that is stored, but not yet confirmed."""
    large, claiming = Candidate("large", "l", **LARGE), Candidate("claiming", "c", **LARGE)
    known = large.ability, LeaderView.NOT_LEADING, "c"
    assert not is_settled(*known, {"large": WILLING}, (large, claiming), {"large"})
    assert is_settled(*known, {"large": WILLING}, (large, claiming), {"large", "claiming"})
    assert is_settled(*known, {"large": WILLING}, (large,), {"large"})


def test_an_unwilling_entry_vm_delegates_to_a_less_able_one(survey):
    """Guards against a claim by an entry VM that has just resigned while another one is willing."""
    less_able = Candidate("tiny", "", 100, 1.0)
    known = {"candidates": (less_able,), "statuses": {"tiny": WILLING}}
    assert decide(survey(own_willing=False, **known)).candidate == less_able
    assert decide(survey(**known)).event == "vacant"


def test_an_entry_vm_claims_if_no_candidate_is_willing(survey):
    """Guards against a site without a leader because all entry VMs have a reason not to lead."""
    large = Candidate("large", "", **LARGE)
    unwilling = CandidateStatus(False, False, LeaderView.UNREACHABLE)
    known = {"candidates": (large,), "statuses": {"large": unwilling}}
    assert decide(survey(own_willing=False, **known)).event == "vacant"


@pytest.fixture(
    params=[
        {"lost_join_ratio": 0.2},
        {"lost_join_ratio": 0.2, "lost_newest_ratio": 0.2},
        {"call_delay_s": 0.8},
    ],
    ids=["lossy", "lossy_reads", "slow"],
)
def store_trouble(request):
    """Faults of the store that concern all entry VMs alike."""
    return request.param


def test_a_store_that_is_slow_or_lossy_for_all_does_not_move_the_lead(simulate, store_trouble):
    """Guards against a series of leaders each of which has late confirmations."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 3, **LARGE)
        await asyncio.sleep(3.0)
        simulation.store.reassign_partitions()
        await asyncio.sleep(1.0)
        before = epoch_count(simulation)
        for name, value in store_trouble.items():
            setattr(simulation.store, name, value)
        await asyncio.sleep(20.0)
        after = epoch_count(simulation)
        await stop_all(simulation)
        return before, after

    before, after = simulate(scenario)
    assert after == before


def test_a_leader_without_the_store_is_replaced_within_two_seconds(simulate):
    """Guards against tolerance of a slow store that lets a cut-off leader keep the lead."""

    async def scenario(simulation):
        await start_equal_nodes(simulation, 3, **LARGE)
        await asyncio.sleep(3.0)
        first = leader_name(simulation)
        simulation.store.silent_entries.add(first)
        await asyncio.sleep(2.0)
        second = leader_name(simulation)
        await stop_all(simulation)
        return first, second

    first, second = simulate(scenario)
    assert first and second and first != second


async def take_over_on_small_links(simulation, link_mbps):
    """Start equally small entry VMs beside many accepted jobs; return epochs and restored jobs."""
    step = StepSpec(8, Demand(1_000, 256), 500)
    for number in range(JOB_COUNT):
        spec = JobSpec("x" * 2_000, (step,))
        job = Submission(f"{number:016x}", "q", "pool", "shop", 0, 2, 1.6, 600, 1, spec)
        simulation.store.put("keyed.intake", *submission_record(job), number % INTAKE_PART_COUNT)
    for number in range(3):
        name = f"small-{number}"
        simulation.store.links[name] = VirtualLink(link_mbps * 125_000)
        await simulation.start_node(
            name,
            cpu_millicores=120,
            link_mbps=link_mbps,
            topic_part_count=INTAKE_PART_COUNT,
        )
    await asyncio.sleep(8.0)
    restored = [len(n.scheduler._jobs) for n in simulation.nodes.values() if n.scheduler]
    result = epoch_count(simulation), restored
    await stop_all(simulation)
    return result


@pytest.mark.parametrize("link_mbps", [2.0, 5.0, 20.0])
def test_a_take_over_does_not_starve_the_renewals_on_a_small_link(simulate, link_mbps):
    """Guards against leaders in series: each read all jobs at once, and its renewals timed out."""
    epochs, restored = simulate(lambda s: take_over_on_small_links(s, link_mbps))
    assert (epochs, restored) == (1, [JOB_COUNT])
