"""Simulation of entry VMs, a store and workers in one process and in virtual time.

No sockets are opened, and the event loop's clock jumps to the next timer. Minutes of virtual time
take seconds, and the same seed repeats the same run.
"""

from __future__ import annotations

import asyncio
import json
import random
import selectors
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import reactivex
from attrs import Factory, define, field

from standins.availability import AvailabilityCheck
from standins.gangs import Gangs
from standins.settings import make_node_settings
from tarragoncart import intake
from tarragoncart import node as node_module
from tarragoncart.candidates import CandidateStatus
from tarragoncart.entrance import Accepted, Cancel, RequestContext, Submit
from tarragoncart.errors import (
    FleetRefusedError,
    FleetUnknownError,
    PeerError,
    StoreConflictError,
    StoreRefusedError,
    StoreUnknownError,
    UpstreamRefusedError,
    UpstreamUnknownError,
    UpstreamUnreachableError,
)
from tarragoncart.graph import Demand, JobSpec, UpstreamEntry, VmEntry
from tarragoncart.leadership import QueryCandidate, QueryReach, RequestClaim
from tarragoncart.loading import Backlog, QueryBacklog
from tarragoncart.mailbox import new_reply
from tarragoncart.node import Adapter, Node
from tarragoncart.platform import operator
from tarragoncart.platform.callers import decode_job
from tarragoncart.runs import EndedRun, LiveRun, StartOrder, UpstreamReport
from tarragoncart.scheduler import JobView, Lookup
from tarragoncart.storage import (
    DEFAULT_LIMITS,
    Appended,
    Chunk,
    Entry,
    Expired,
    Membership,
    Producer,
    StoreLimits,
)
from tarragoncart.timer import LoopScheduler

STORE_DELAY_S = 0.005
CALL_DELAY_S = 0.002
STORE_TIMEOUT_S = 1.5
CALL_TIMEOUT_S = 0.7
CALLER_TIMEOUT_S = 3.0
PROBE_TIMEOUT_S = 0.35
PEER_PORT = 7_000
# Bytes of a connection that are on their way at a time, and size of a small response.
WINDOW_BYTES = 65_536
CONTROL_BYTES = 500
FLEET_TIMEOUT_S = 2.0
LEASE_MAX_S = 6.0
STOP_DURATION_S = 0.15
MAINTENANCE_S = 2.0
MOVE_S = 1.5
# Time until a long-running task is at full speed.
RAMP_UP_S = 0.5
# Bounds of the deployment: `contact-ms`, `cancel_ms` and `stop-ms`.
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.4
# Share of the runs of a job that fail by the job's own fault.
JOB_FAIL_RATIO = 0.7
PART_COUNT = 2
PAGE_KEY_COUNT = 500
POOL = "pool"
DATA_CENTRE = "dc"
QUEUE_HOST = "shop.example"


class _TimeSkippingSelector(selectors.SelectSelector):
    """Selector that advances the loop's clock by the timeout instead of waiting for it."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.loop.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only when no callback is ready to run."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        selector = _TimeSkippingSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now_s


def run_in_virtual_time(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in a new virtual-time event loop and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class VirtualTimer:
    """Timer on the virtual clock.

    :param skew_ms: offset of the entry VM's wall clock from the virtual clock.
    """

    def __init__(self, skew_ms: int = 0) -> None:
        self._loop = asyncio.get_running_loop()
        self._scheduler = LoopScheduler(self._loop)
        self._skew_ms = skew_ms

    def now_ms(self) -> float:
        """Return the current virtual time."""
        return self._loop.time() * 1_000

    def wall_ms(self) -> int:
        """Return the wall-clock time of the entry VM."""
        return int(self.now_ms()) + self._skew_ms

    def every(self, period_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once per period."""
        return reactivex.interval(period_ms / 1_000, scheduler=self._scheduler)

    def after(self, delay_ms: float) -> reactivex.Observable[int]:
        """Return an observable that emits once, after the delay."""
        return reactivex.timer(delay_ms / 1_000, scheduler=self._scheduler)


@define
class _Partition:
    records: list[tuple[str, bytes]] = Factory(list)
    start_offset: int = 0
    epochs: dict[str, int] = Factory(dict)
    sequences: dict[str, int] = Factory(dict)
    append_results: dict[tuple[str, int, int], Appended] = Factory(dict)
    changed: asyncio.Event = Factory(asyncio.Event)


@define
class VirtualLink:
    """Network link of an entry VM, which all its responses from the store share.

    :param bytes_per_s: infinite for a link that delays nothing.
    """

    bytes_per_s: float = float("inf")
    _turn: asyncio.Lock = field(factory=asyncio.Lock, init=False)

    async def transfer_window(self, size_bytes: float) -> None:
        """Take the time that one window of a connection needs, after those that came first."""
        async with self._turn:
            await asyncio.sleep(size_bytes / self.bytes_per_s)


@define
class StoreState:
    """Content and injected faults of the simulated store.

    :param members: end of each group member's membership, in seconds of virtual time.
    :param refused_entries: names of the entry VMs whose calls are refused.
    :param silent_topics: pairs of entry VM and topic whose reads get no response.
    :param silent_entries: names of the entry VMs whose calls get no response and are not applied.
    :param lost_response_ratio: share of appends that are applied but get no response.
    :param lost_join_ratio: the same for renewals of a membership.
    :param lost_newest_ratio: the same for reads of the newest records.
    :param lost_intake_reads_count: number of next reads of accepted jobs whose answer is lost if it
        has records.
    :param call_delay_s: duration of each call.
    :param max_append_delay_s: longest time before an append is applied, which may be after its
        caller's timeout.
    :param links: links of entry VMs that are not unlimited.
    :param limits: what it accepts.
    """

    rng: random.Random
    parts: dict[tuple[str, int], _Partition] = Factory(dict)
    members: dict[str, float] = Factory(dict)
    generation: int = 0
    refused_entries: set[str] = Factory(set)
    silent_entries: set[str] = Factory(set)
    silent_topics: set[tuple[str, str]] = Factory(set)
    lost_response_ratio: float = 0.0
    lost_join_ratio: float = 0.0
    lost_newest_ratio: float = 0.0
    lost_intake_reads_count: int = 0
    call_delay_s: float = STORE_DELAY_S
    max_append_delay_s: float = 0.0
    links: dict[str, VirtualLink] = Factory(dict)
    limits: StoreLimits = DEFAULT_LIMITS

    def part(self, topic: str, number: int) -> _Partition:
        """Return a partition, which is created on first use."""
        return self.parts.setdefault((topic, number), _Partition())

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of all partitions that is not deleted."""
        newest: dict[str, bytes] = {}
        for (name, _), part in self.parts.items():
            if name == topic:
                newest |= dict(part.records)
        return {key: value for key, value in newest.items() if value}

    def put(self, topic: str, key: str, value: bytes, number: int = 0) -> None:
        """Append a record directly, as the operator or a worker."""
        part = self.part(topic, number)
        part.records.append((key, value))
        part.changed.set()
        part.changed = asyncio.Event()

    def expire(self, topic: str, number: int = 0) -> None:
        """Let all records expire that are not the newest ones of their keys."""
        part = self.part(topic, number)
        part.start_offset = len(part.records)

    def reassign_partitions(self) -> None:
        """Assign the partitions to other members, as the platform does at times."""
        if self.members:
            first = next(iter(self.members))
            self.members[first] = self.members.pop(first)
            self.generation += 1


class VirtualStoreClient:
    """Store client of one entry VM, without a network."""

    def __init__(self, state: StoreState, entry: str) -> None:
        self._state = state
        self._entry = entry

    async def _simulate_call(self, step: str) -> None:
        await asyncio.sleep(self._state.call_delay_s)
        if self._entry in self._state.refused_entries:
            raise StoreRefusedError("status 503", step=step, peer="store")
        if self._entry in self._state.silent_entries:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step=step, peer="store")

    async def _receive(self, step: str, size_bytes: int) -> None:
        """Receive a response over the link; each window must arrive before the timeout."""
        link = self._state.links.get(self._entry)
        while link is not None and size_bytes > 0:
            try:
                async with asyncio.timeout(STORE_TIMEOUT_S):
                    await link.transfer_window(min(size_bytes, WINDOW_BYTES))
            except TimeoutError as error:
                raise StoreUnknownError("no answer", step=step, peer="store") from error
            size_bytes -= WINDOW_BYTES

    async def append(
        self,
        topic: str,
        records: Any,
        *,
        part: int = 0,
        producer: Producer | None = None,
        expected_end: int | None = None,
    ) -> Appended:
        """Append records with the checks of the platform's store."""
        partition, content = self._state.part(topic, part), list(records)
        self._state.limits.check(content, "store")
        await self._simulate_call("append")

        def apply() -> Appended:
            if expected_end is not None and expected_end != len(partition.records):
                raise StoreConflictError("end", len(partition.records), step="append", peer="store")
            return self._append(partition, content, producer)

        delay_s = self._state.max_append_delay_s and self._state.rng.uniform(
            0.0, self._state.max_append_delay_s
        )
        if delay_s > STORE_TIMEOUT_S:
            asyncio.get_running_loop().call_later(delay_s, _apply_late, apply)
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step="append", peer="store")
        if delay_s:
            await asyncio.sleep(delay_s)
        result = apply()
        if self._state.rng.random() < self._state.lost_response_ratio:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step="append", peer="store")
        return result

    def _append(self, part: _Partition, records: list[Any], producer: Producer | None) -> Appended:
        if producer is not None:
            name, epoch, sequence = producer.name, producer.epoch, producer.sequence
            latest_epoch = part.epochs.get(name, -1)
            if epoch < latest_epoch:
                raise StoreConflictError("fenced", 0, step="append", peer="store")
            earlier_result = part.append_results.get((name, epoch, sequence))
            if earlier_result is not None:
                return earlier_result
            if epoch == latest_epoch and sequence != part.sequences[name] + 1:
                expected = part.sequences[name] + 1
                raise StoreConflictError("seq", expected, step="append", peer="store")
            part.epochs[name], part.sequences[name] = epoch, sequence
        offset = len(part.records)
        part.records.extend(records)
        result = Appended(offset, len(part.records))
        if producer is not None:
            part.append_results[producer.name, producer.epoch, producer.sequence] = result
        part.changed.set()
        part.changed = asyncio.Event()
        return result

    async def read(self, topic: str, offset: int, wait_ms: int, part: int = 0) -> Chunk | Expired:
        """Read records from an offset on, waiting up to ``wait_ms`` for the first one."""
        timeout_s = asyncio.get_running_loop().time() + wait_ms / 1_000 + STORE_TIMEOUT_S
        await self._simulate_call("read")
        if (self._entry, topic) in self._state.silent_topics:
            await asyncio.sleep(timeout_s - asyncio.get_running_loop().time())
            raise StoreUnknownError("no answer", step="read", peer="store")
        partition = self._state.part(topic, part)
        if offset >= len(partition.records) and wait_ms:
            try:
                await asyncio.wait_for(partition.changed.wait(), wait_ms / 1_000)
            except TimeoutError:
                pass
        if offset < partition.start_offset:
            return Expired()
        entries = [Entry(key, value, n) for n, (key, value) in enumerate(partition.records)]
        if entries[offset:] and topic == intake.TOPIC and self._state.lost_intake_reads_count:
            self._state.lost_intake_reads_count -= 1
            await asyncio.sleep(timeout_s - asyncio.get_running_loop().time())
            raise StoreUnknownError("no answer", step="read", peer="store")
        return Chunk(0, len(partition.records), tuple(entries[offset:]))

    async def newest(self, topic: str, part: int = 0) -> AsyncIterator[Chunk]:
        """Yield the newest record of each key that is not deleted."""
        await self._simulate_call("newest")
        if (self._entry, topic) in self._state.silent_topics:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step="newest", peer="store")
        lost_ratio = self._state.lost_newest_ratio
        if lost_ratio and self._state.rng.random() < lost_ratio:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step="newest", peer="store")
        records = self._state.part(topic, part).records
        newest = {key: Entry(key, value, n) for n, (key, value) in enumerate(records)}
        kept = tuple(entry for entry in newest.values() if entry.value)
        # Values in base64 take a third more.
        await self._receive("newest", sum(len(entry.value) * 4 // 3 for entry in kept))
        yield Chunk(0, len(records), kept)

    async def newest_page(self, topic: str, part: int, after: str) -> Chunk:
        """Return a page of the newest records in the order of their keys."""
        async for chunk in self.newest(topic, part):
            entries = sorted(
                (entry for entry in chunk.entries if entry.key > after), key=lambda e: e.key
            )
            return Chunk(0, chunk.end_offset, tuple(entries[:PAGE_KEY_COUNT]))
        raise AssertionError("no page")

    async def join(
        self, group: str, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Membership:
        """Add or renew a member; partitions are distributed evenly, from the oldest member on."""
        await self._simulate_call("join")
        state, now_s = self._state, asyncio.get_running_loop().time()
        live = {name: until for name, until in state.members.items() if until >= now_s}
        if len(live) < len(state.members) or member not in live:
            state.generation += 1
        live[member] = now_s + ttl_ms / 1_000
        state.members = live
        if state.rng.random() < state.lost_join_ratio:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnknownError("no answer", step="join", peer="store")
        await self._receive("join", CONTROL_BYTES)
        parts = range(list(live).index(member), PART_COUNT, len(live))
        return Membership(state.generation, frozenset(parts))

    async def leave(self, group: str, member: str) -> None:
        """Remove a member."""
        self._state.members.pop(member, None)
        self._state.generation += 1

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


def _apply_late(apply: Callable[[], Appended]) -> None:
    try:
        apply()
    except StoreConflictError:
        # The caller of a delayed append has timed out already.
        return


@define
class WorkerRun:
    """A run in progress on a worker.

    :param ends_s: time at which its work ends.
    :param outcome: how it ends then.
    :param checkpoint: saved progress with which it was started.
    :param stops_s: time at which a requested stop ends it, infinite without one.
    :param final_outcome: outcome of a task of a gang, once all tasks of the run are present.
    """

    task: str
    run: int
    started_s: float
    ends_s: float
    outcome: str
    checkpoint: str = ""
    stops_s: float = float("inf")
    final_outcome: str = ""


@define
class CompletedRun:
    """A run that ended with outcome ``done`` or ``failed``.

    :param ended_s: time of its end.
    :param number: sequence number of its end on the worker.
    :param read: whether a caller has received a report that lists its end.
    :param acknowledged_s: time at which its end was acknowledged, None before.
    :param lapsed: whether the worker's lease expired before the acknowledgement, so that the end
        does not count.
    """

    task: str
    ended_s: float
    number: int
    read: bool = False
    acknowledged_s: float | None = None
    lapsed: bool = False


@define
class VirtualWorker:
    """A simulated worker with the checks of the worker's protocol.

    :param started_ms: start time of the worker process, which identifies it.
    :param highest_token: highest fencing token seen.
    :param lease_end_s: end of the lease.
    :param last_ended_runs: highest ended or stopped run number of each task.
    :param unreachable: whether calls are lost.
    :param down: whether its process is not running, so that calls that reach it are lost.
    :param gone: whether its VM has gone down for good.
    :param cut_entries: names of the entry VMs whose calls are lost.
    :param one_way: whether calls are carried out but get no response.
    :param delayed_call_ratio: share of starts and stops that are carried out seconds later,
        without a response.
    :param delayed_hold_ratio: the same for polls.
    :param call_delays_s: shortest and longest delay of a delayed call.
    :param lost_response_ratio: share of starts and stops that are carried out but get no response.
    :param clock_start_s: time at which its monotonic clock showed 0.
    :param clock_ratio: speed of its monotonic clock.
    :param speed: factor on the speed of work.
    :param fail_ratio: share of runs that fail.
    """

    simulation: Simulation
    upstream_id: str
    capacity: Demand
    pool: str = POOL
    data_centre: str = DATA_CENTRE
    started_ms: int = 1
    highest_token: int = 0
    lease_end_s: float = 0.0
    runs: dict[str, WorkerRun] = Factory(dict)
    last_ended_runs: dict[str, int] = Factory(dict)
    unacknowledged_ends: list[EndedRun] = Factory(list)
    ended_count: int = 0
    completed_runs: list[CompletedRun] = Factory(list)
    unreachable: bool = False
    down: bool = False
    gone: bool = False
    cut_entries: set[str] = Factory(set)
    one_way: bool = False
    delayed_call_ratio: float = 0.0
    delayed_hold_ratio: float = 0.0
    call_delays_s: tuple[float, float] = (1.0, 6.0)
    lost_response_ratio: float = 0.0
    clock_start_s: float = 0.0
    clock_ratio: float = 1.0
    speed: float = 1.0
    fail_ratio: float = 0.0

    def advance(self) -> None:
        """Apply all ends of runs that are due at the current time."""
        now_s = self.simulation.now_s()
        for run in sorted(self.runs.values(), key=lambda r: min(r.ends_s, r.stops_s)):
            end_s = min(run.ends_s, run.stops_s)
            # The end of another task of its gang may have ended the run as well.
            if run.task in self.runs and end_s <= now_s and end_s <= self.lease_end_s:
                outcome = self._outcome(run) if run.ends_s <= run.stops_s else "stopped"
                self._end(run, outcome, end_s)
        if now_s > self.lease_end_s:
            while self.runs:
                self._end(next(iter(self.runs.values())), "lapsed", self.lease_end_s)
            for completed_run in self.completed_runs:
                completed_run.lapsed = completed_run.lapsed or completed_run.acknowledged_s is None

    def _outcome(self, run: WorkerRun) -> str:
        if not self.simulation.is_gang(run.task):
            return run.outcome
        return self.simulation.gangs.outcome_at_end(run)

    def break_run(self, run: WorkerRun, at_s: float) -> None:
        """End a run because another task of its gang has ended."""
        if self.runs.get(run.task) is run:
            self._end(run, "broken", at_s)

    def is_at_work(self, run: WorkerRun, at_s: float) -> bool:
        """Return whether a long-running task is at full speed at a time."""
        endless = run.ends_s == float("inf")
        return endless and at_s - run.started_s >= RAMP_UP_S and run.stops_s == float("inf")

    def _end(self, run: WorkerRun, outcome: str, at_s: float) -> None:
        self.simulation.note_if_at_work(self, run, at_s)
        del self.runs[run.task]
        self.last_ended_runs[run.task] = max(run.run, self.last_ended_runs.get(run.task, 0))
        self.ended_count += 1
        saved = "" if outcome == "done" else self._saved(run)
        self.unacknowledged_ends.append(
            EndedRun(self.ended_count, run.task, run.run, outcome, saved)
        )
        if self.simulation.is_gang(run.task):
            self.simulation.gangs.leave(run, outcome, at_s)
        if outcome in ("done", "failed"):
            completed_run = CompletedRun(run.task, at_s, self.ended_count)
            self.completed_runs.append(completed_run)
            by_outcome = self.simulation.completed_runs, self.simulation.failed_runs
            by_outcome[outcome == "failed"].append(completed_run)

    def _saved(self, run: WorkerRun) -> str:
        """Return the progress that a run has saved; only gangs save any here."""
        if not self.simulation.saves_progress(run.task):
            return ""
        return self.simulation.gangs.saved(run, self.simulation.now_s())

    def restart(self) -> None:
        """Simulate a restart under the same ID, which loses runs, ends and fencing token."""
        lost = list(self.runs.values())
        self.runs.clear()
        for run in lost:
            self.simulation.note_if_at_work(self, run, self.simulation.now_s())
            if self.simulation.is_gang(run.task):
                self.simulation.gangs.leave(run, "lost", self.simulation.now_s())
        self.last_ended_runs.clear()
        self.unacknowledged_ends.clear()
        self.completed_runs.clear()
        self.ended_count = self.highest_token = 0
        # Wall clocks show the virtual time; the first incarnation has been up for long.
        self.started_ms = max(self.started_ms + 1, int(self.simulation.now_s() * 1_000))
        self.lease_end_s = 0.0
        self._start_clock()

    def go_down(self) -> None:
        """End the process without a trace: calls get no answer until the next one comes up."""
        self.advance()
        self.restart()
        self.down = True

    def come_up(self) -> None:
        """Let the next incarnation answer, with a clock of its own."""
        self.down = False
        self._start_clock()

    def _start_clock(self) -> None:
        """Let the clock of a new incarnation start at a time of its own.

        Drawn apart from the faults, so that the clocks change no other draw of a seed.
        """
        rng = random.Random(f"{self.upstream_id} {self.started_ms}")
        clock_s = rng.uniform(0.0, self.simulation.clock_start_max_s)
        self.clock_start_s = self.simulation.now_s() - clock_s / self.clock_ratio

    def check_token(self, token: int) -> None:
        """Check and store the fencing token of a call.

        :raises UpstreamRefusedError: if a call with a higher token came before.
        """
        self.advance()
        if token < self.highest_token:
            raise UpstreamRefusedError("fence", step="order", peer=self.upstream_id)
        self.highest_token = token

    def extend_lease(self, until_ms: int | None) -> None:
        """Extend the lease, which covers all runs."""
        if until_ms:
            latest_s = self.simulation.now_s() + LEASE_MAX_S
            until_s = self.clock_start_s + until_ms / 1_000 / self.clock_ratio
            self.lease_end_s = max(self.lease_end_s, min(until_s, latest_s))

    def start(self, order: StartOrder, until_ms: int, token: int, late: bool) -> int:
        """Start a run, or refuse it.

        :param late: whether the start is carried out after its caller's timeout.
        """
        self.check_token(token)
        self.extend_lease(until_ms)
        current = self.runs.get(order.task_name)
        if current is not None and current.run == order.run:
            return self.clock_ms()
        if current is not None or order.run <= self.last_ended_runs.get(order.task_name, 0):
            raise UpstreamRefusedError("old", step="start", peer=self.upstream_id)
        if self.lease_end_s <= self.simulation.now_s():
            raise UpstreamRefusedError("late", step="start", peer=self.upstream_id)
        work_s = self.simulation.draw_work_s(order.task_name) / self.speed
        now_s = self.simulation.now_s()
        fails = order.task_name.partition(".")[0] in self.simulation.failing_jobs
        fail_ratio = JOB_FAIL_RATIO if fails else self.fail_ratio
        outcome = "failed" if self.simulation.rng.random() < fail_ratio else "done"
        run = WorkerRun(
            order.task_name, order.run, now_s, now_s + work_s, outcome, order.checkpoint
        )
        self.runs[order.task_name] = run
        self.simulation.record_start(self, run, late)
        if self.simulation.is_gang(order.task_name):
            self.simulation.join_gang(self, run)
        return self.clock_ms()

    def stop(self, task_name: str, run: int, token: int, late: bool = False) -> int:
        """Stop a run, or prevent it from starting later.

        :param late: whether the stop is carried out after its caller's timeout.
        """
        self.check_token(token)
        current = self.runs.get(task_name)
        if current is not None and current.run == run:
            self.simulation.check_availability(self, [current], late, "stop")
            current.stops_s = min(current.stops_s, self.simulation.now_s() + STOP_DURATION_S)
        else:
            self.last_ended_runs[task_name] = max(run, self.last_ended_runs.get(task_name, 0))
        return self.clock_ms()

    def report(self, acknowledged: int) -> UpstreamReport:
        """Apply an acknowledgement, and list the runs and the unacknowledged ends.

        A run that is being stopped is in neither list.

        :param acknowledged: sequence number up to which the caller has received the ends.
        """
        for completed_run in self.completed_runs:
            if (
                completed_run.number <= acknowledged
                and completed_run.acknowledged_s is None
                and not completed_run.lapsed
            ):
                completed_run.acknowledged_s = self.simulation.now_s()
                if not completed_run.read:
                    self.simulation.violations.append(
                        f"end acknowledged that nobody has read: {completed_run.task} at "
                        f"{self.upstream_id}, {self.simulation.now_s():.3f} s"
                    )
        self.unacknowledged_ends = [
            row for row in self.unacknowledged_ends if row.number > acknowledged
        ]
        live = tuple(
            LiveRun(run.task, run.run, self._saved(run), self._progress_percent(run), 0)
            for run in self.runs.values()
            if run.stops_s == float("inf")
        )
        return UpstreamReport(
            self.clock_ms(), self.started_ms, live, tuple(self.unacknowledged_ends)
        )

    def mark_ends_read(self) -> None:
        """Note that a caller has received the ends that are not acknowledged."""
        for completed_run in self.completed_runs:
            completed_run.read = True

    def _progress_percent(self, run: WorkerRun) -> int:
        if self.simulation.is_gang(run.task) and not self.simulation.gangs.is_working(run):
            return 0
        if run.ends_s == float("inf"):
            return 100 if self.simulation.now_s() - run.started_s >= RAMP_UP_S else 0
        share = (self.simulation.now_s() - run.started_s) / max(run.ends_s - run.started_s, 0.001)
        return min(99, int(100 * share))

    def clock_ms(self) -> int:
        """Return the time of the worker's monotonic clock."""
        return int((self.simulation.now_s() - self.clock_start_s) * self.clock_ratio * 1_000)


class VirtualWorkerClient:
    """Client of a worker for the leader on one entry VM, without a network."""

    def __init__(self, worker: VirtualWorker, entry: str) -> None:
        self._worker = worker
        self._entry = entry

    def _is_cut(self) -> bool:
        worker = self._worker
        return worker.unreachable or worker.down or self._entry in worker.cut_entries

    def _carry_out_later(self, call: Callable[[bool], Any]) -> None:
        worker = self._worker

        def carry_out() -> None:
            # It may reach the next incarnation, which answers at the same address.
            if not worker.down and not worker.gone:
                _make_delayed_call(call)

        delay_s = worker.simulation.rng.uniform(*worker.call_delays_s)
        asyncio.get_running_loop().call_later(delay_s, carry_out)

    async def _send(self, call: Callable[[bool], int]) -> int:
        worker, rng = self._worker, self._worker.simulation.rng
        await asyncio.sleep(CALL_DELAY_S * rng.uniform(0.5, 5.0))
        if self._is_cut():
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise UpstreamUnknownError("no answer", step="order", peer=worker.upstream_id)
        if rng.random() < worker.delayed_call_ratio:
            self._carry_out_later(call)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise UpstreamUnknownError("no answer", step="order", peer=worker.upstream_id)
        clock_ms = call(False)
        if worker.one_way or rng.random() < worker.lost_response_ratio:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise UpstreamUnknownError("no answer", step="order", peer=worker.upstream_id)
        return clock_ms

    async def start(self, order: StartOrder, until_ms: int, token: int) -> int:
        """Start a run."""
        worker = self._worker
        return await self._send(lambda late: worker.start(order, until_ms, token, late))

    async def stop(self, task_name: str, run: int, token: int) -> int:
        """Stop a run."""
        return await self._send(lambda late: self._worker.stop(task_name, run, token, late))

    async def pace(self, task_name: str, run: int, percent: int, token: int) -> int:
        """Accept the call without an effect; pace is not simulated."""
        return self._worker.clock_ms()

    async def renew_lease(
        self, *, until_ms: int | None, acknowledged: int, wait_ms: int, token: int
    ) -> UpstreamReport:
        """List the runs, waiting up to ``wait_ms`` for one to end."""
        worker, loop = self._worker, asyncio.get_running_loop()
        await asyncio.sleep(CALL_DELAY_S)
        if self._is_cut():
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise UpstreamUnreachableError(
                "connection failed", step="hold", peer=worker.upstream_id
            )

        def renew(late: bool) -> None:
            worker.check_token(token)
            worker.extend_lease(until_ms)
            worker.report(acknowledged)

        delayed = worker.delayed_hold_ratio and (
            worker.simulation.rng.random() < worker.delayed_hold_ratio
        )
        if delayed:
            self._carry_out_later(renew)
        else:
            renew(False)
        if delayed or worker.one_way:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise UpstreamUnknownError("no answer", step="hold", peer=worker.upstream_id)
        started_ms = worker.started_ms
        deadline_s = loop.time() + wait_ms / 1_000
        while not worker.unacknowledged_ends and loop.time() < deadline_s:
            await asyncio.sleep(0.01)
            worker.advance()
        if worker.started_ms != started_ms:
            # The process that had the call has ended without closing the connection.
            await asyncio.sleep(deadline_s + CALL_TIMEOUT_S - loop.time())
        if self._is_cut() or worker.one_way or worker.started_ms != started_ms:
            raise UpstreamUnknownError("no answer", step="hold", peer=worker.upstream_id)
        report = worker.report(acknowledged)
        worker.mark_ends_read()
        return report

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


def _make_delayed_call(call: Callable[[bool], int]) -> None:
    try:
        call(True)
    except UpstreamRefusedError:
        # The caller of a delayed call has timed out already.
        return


def _name_at(address: str) -> str:
    """Return the name of the entry VM at an address."""
    return address.partition(":")[0]


class VirtualPeerClient:
    """Client of one entry VM for calls to others, without a network."""

    def __init__(self, simulation: Simulation, entry: str) -> None:
        self._simulation = simulation
        self._entry = entry

    async def _reach(self, address: str, step: str) -> Node:
        await asyncio.sleep(CALL_DELAY_S)
        name = _name_at(address)
        if {(self._entry, name), (name, self._entry)} & self._simulation.cut_paths:
            await asyncio.sleep(PROBE_TIMEOUT_S)
            raise PeerError("no answer", step=step, peer=address)
        node = self._simulation.nodes.get(name)
        if node is None:
            raise PeerError("no connection", step=step, peer=address)
        if self._simulation.probes_lost and node.scheduler is not None:
            await asyncio.sleep(PROBE_TIMEOUT_S)
            raise PeerError("no answer", step=step, peer=address)
        return node

    async def lookup(self, address: str, job_id: str) -> JobView:
        """Return the state of a job from the leader."""
        node = self._simulation.nodes.get(_name_at(address))
        if node is None or node.scheduler is None:
            raise PeerError("status 409", step="ask leader", peer=address)
        reply = new_reply()
        node.scheduler.tell(Lookup(job_id, reply))
        return await reply

    async def read_backlog(self, address: str) -> Backlog:
        """Return for which accounts the leader has too many jobs."""
        node = await self._reach(address, "ask leader")
        if node.scheduler is None:
            raise PeerError("status 409", step="ask leader", peer=address)
        reply = new_reply()
        node.scheduler.tell(QueryBacklog(reply))
        return await reply

    async def is_leader(self, address: str) -> bool:
        """Return whether an entry VM is the leader."""
        return (await self._reach(address, "ask leader")).is_leader()

    async def query_candidate(self, address: str, leader_address: str) -> CandidateStatus:
        """Ask an entry VM whether it would lead."""
        reply = new_reply()
        return await self._ask_election(address, QueryCandidate(leader_address, reply), reply)

    async def request_claim(self, address: str, end_offset: int) -> bool:
        """Ask an entry VM to claim an epoch."""
        reply = new_reply()
        return await self._ask_election(address, RequestClaim(end_offset, reply), reply)

    async def count_reached(self, address: str, upstream_addresses: tuple[str, ...]) -> int:
        """Ask an entry VM how many upstreams it reaches."""
        reply = new_reply()
        return await self._ask_election(address, QueryReach(upstream_addresses, reply), reply)

    async def _ask_election(self, address: str, message: Any, reply: asyncio.Future[Any]) -> Any:
        node = await self._reach(address, "ask candidate")
        node.election.tell(message)
        try:
            return await asyncio.wait_for(reply, CALL_TIMEOUT_S)
        except TimeoutError as error:
            raise PeerError("no answer", step="ask candidate", peer=address) from error

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


@define
class VirtualVm:
    """A VM with the worker that runs on it.

    :param incarnation_count: workers that have run on it.
    :param highest_epoch: highest epoch of the orders for it.
    :param maintained_waves: waves in which it has had its maintenance.
    :param moved: pools to which it has been moved.
    """

    vm_id: str
    capacity: Demand
    pool: str = POOL
    data_centre: str = DATA_CENTRE
    worker: VirtualWorker | None = None
    is_moving: bool = False
    is_crashed: bool = False
    incarnation_count: int = 0
    highest_epoch: int = 0
    maintained_waves: set[int] = Factory(set)
    moved: list[str] = Factory(list)


def _vm_state(vm: VirtualVm) -> str:
    if vm.worker:
        return "up"
    if vm.is_crashed:
        return "down"
    return "moving" if vm.is_moving else "upkeep"


class VirtualFleetClient:
    """Client of the platform's VM interface, without a network."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    async def list_vms(self) -> tuple[VmEntry, ...]:
        """List the VMs."""
        await asyncio.sleep(CALL_DELAY_S)
        return tuple(
            VmEntry(
                vm.vm_id,
                vm.pool,
                _vm_state(vm),
                vm.data_centre,
                "rack",
                vm.capacity,
                vm.worker.upstream_id if vm.worker else "",
            )
            for vm in self._simulation.vms.values()
        )

    async def move(self, vm_id: str, pool: str, epoch: int) -> None:
        """Move a VM to another pool, if the scenario has several."""
        await asyncio.sleep(CALL_DELAY_S)
        self._simulation.move(vm_id, pool, epoch)

    async def maintain(self, vm_id: str, wave: int, epoch: int) -> None:
        """Take a VM down for its maintenance; does nothing if it has had it."""
        simulation, rng = self._simulation, self._simulation.rng
        await asyncio.sleep(CALL_DELAY_S)
        chance = rng.random()
        if chance < simulation.late_vm_order_ratio:
            asyncio.get_running_loop().call_later(
                rng.uniform(1.0, 6.0), _maintain_late, simulation, vm_id, wave, epoch
            )
        else:
            simulation.maintain(vm_id, wave, epoch)
        if chance < simulation.late_vm_order_ratio + simulation.lost_vm_response_ratio:
            await asyncio.sleep(FLEET_TIMEOUT_S)
            raise FleetUnknownError("no answer", step="maintain VM", peer="platform")

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


def _maintain_late(simulation: Simulation, vm_id: str, wave: int, epoch: int) -> None:
    try:
        simulation.maintain(vm_id, wave, epoch, late=True)
    except FleetRefusedError:
        # The caller of a delayed order has timed out already.
        return


@define
class Simulation:
    """All simulated components, with checks of the scheduler's invariants.

    :param vms: VMs that can be maintained; without any, entry VMs send no orders for VMs.
    :param probes_lost: whether queries to a leader, from whichever entry VM, get no answer.
    :param lost_vm_response_ratio: share of orders for VMs that get no answer.
    :param late_vm_order_ratio: share of orders for VMs that are carried out seconds later, without
        an answer.
    :param jobs: spec of each submitted job.
    :param failing_jobs: jobs whose tasks fail by their own fault most of the time.
    :param cancel_requested: jobs whose cancelling was requested, whatever the answer.
    :param cancelled_s: time at which the cancelling of a job was acknowledged.
    :param starts: time of each start of a task, and whether the start was late.
    :param starts_by_data_centre: the same by data centre.
    :param completed_runs: all runs that ended with outcome ``done``.
    :param failed_runs: all runs that ended with outcome ``failed``.
    :param phases: phase of each accepted job at the end of the simulation.
    :param violations: descriptions of violated invariants.
    :param fenced_s: time at which a delayed fence was stored.
    :param tasks: the leader's tasks at the end of a scenario.
    :param availability: check of the disruption budgets.
    :param cut_paths: pairs of entry VMs that do not reach each other.
    :param clock_start_max_s: latest time that the clock of a worker's next incarnation shows at its
        start; with 0 it is behind the one before.
    :param starting_node: entry VM that is being created and owns the peer clients created now.
    """

    rng: random.Random
    store: StoreState = field(default=Factory(lambda self: StoreState(self.rng), takes_self=True))
    workers: dict[str, VirtualWorker] = Factory(dict)
    vms: dict[str, VirtualVm] = Factory(dict)
    probes_lost: bool = False
    lost_vm_response_ratio: float = 0.0
    late_vm_order_ratio: float = 0.0
    nodes: dict[str, Node] = Factory(dict)
    jobs: dict[str, JobSpec] = Factory(dict)
    failing_jobs: set[str] = Factory(set)
    cancel_requested: set[str] = Factory(set)
    cancelled_s: dict[str, float] = Factory(dict)
    starts: dict[str, list[tuple[float, bool]]] = Factory(dict)
    starts_by_data_centre: dict[str, list[tuple[float, bool]]] = Factory(dict)
    completed_runs: list[CompletedRun] = Factory(list)
    failed_runs: list[CompletedRun] = Factory(list)
    phases: dict[str, str] = Factory(dict)
    violations: list[str] = Factory(list)
    fenced_s: float = 0.0
    tasks: list[Any] = Factory(list)
    gangs: Gangs = Factory(Gangs)
    availability: AvailabilityCheck = Factory(AvailabilityCheck)
    cut_paths: set[tuple[str, str]] = Factory(set)
    clock_start_max_s: float = 0.0
    starting_node: str = ""

    @staticmethod
    def now_s() -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    def draw_work_s(self, task_name: str) -> float:
        """Draw the duration of a task's work at full speed."""
        if self._step(task_name).long_running:
            return float("inf")
        return self._step(task_name).estimate_ms / 1_000 * self.rng.uniform(0.8, 1.2)

    def _step(self, task_name: str) -> Any:
        job_id, _, number, _ = task_name.rsplit(".", 3)
        return self.jobs[job_id].steps[int(number)]

    def is_gang(self, task_name: str) -> bool:
        """Return whether a task is one of a gang."""
        return bool(self._step(task_name).gang)

    def saves_progress(self, task_name: str) -> bool:
        """Return whether a task is one of a gang that saves its progress."""
        step = self._step(task_name)
        return bool(step.gang and step.checkpointing)

    def join_gang(self, worker: VirtualWorker, run: WorkerRun) -> None:
        """Let a run that has been started wait for the others of its gang."""
        step = self._step(run.task)
        self.gangs.join(worker, run, step.task_count, step.estimate_ms / 1_000, self.now_s())

    # Checks of the invariants.

    def note_if_at_work(self, worker: VirtualWorker, run: WorkerRun, at_s: float) -> None:
        """Note that a long-running task with a disruption budget is at work, if it is."""
        budget = self._step(run.task).max_away_count
        if budget is not None and worker.is_at_work(run, at_s):
            self.availability.note_at_work(run.task, at_s)

    def check_availability(
        self, worker: VirtualWorker, runs: list[WorkerRun], late: bool, what: str
    ) -> None:
        """Check an order that ends runs against the disruption budgets of their steps.

        :param late: the order is carried out after its caller's timeout.
        """
        now_s = self.now_s()
        at_work = [run for run in runs if worker.is_at_work(run, now_s)]
        for other in self.workers.values():
            other.advance()
            for run in other.runs.values():
                self.note_if_at_work(other, run, now_s)
        for run in at_work:
            budget = self._step(run.task).max_away_count
            job_id, _, _, index = run.task.rsplit(".", 3)
            if budget is None or job_id in self.cancel_requested:
                continue
            step_name = run.task.rpartition(".")[0]
            count = self._step(run.task).task_count
            others = [f"{step_name}.{other}" for other in range(count) if other != int(index)]
            if late:
                self.availability.note_end_by_order(run.task)
            else:
                where = f"{what} at {worker.upstream_id}"
                self.availability.note_order(run.task, others, budget, now_s, where)

    def record_start(self, worker: VirtualWorker, run: WorkerRun, late: bool) -> None:
        """Record the start of a run and check it against the invariants."""
        step = self._step(run.task)
        where = f"{run.task} run {run.run} at {worker.upstream_id}, {self.now_s():.3f} s"
        self.starts.setdefault(run.task, []).append((self.now_s(), late))
        in_data_centre = self.starts_by_data_centre.setdefault(worker.data_centre, [])
        in_data_centre.append((self.now_s(), late))
        for other in self.workers.values():
            other.advance()
            if other is not worker and run.task in other.runs and not step.speculative:
                self.violations.append(f"two runs at once: {where}")
        used = Demand()
        for name in worker.runs:
            used = used.plus(self._step(name).counted)
        if not used.fits(worker.capacity):
            self.violations.append(f"more than the worker has: {where}")
        self._check_dependencies(run.task, where)

    def _check_dependencies(self, task_name: str, where: str) -> None:
        job_id, occurrence, number, _ = task_name.rsplit(".", 3)
        ended = {completed_run.task for completed_run in self.completed_runs}
        for dependency in self.jobs[job_id].steps[int(number)].depends_on:
            for index in range(self.jobs[job_id].steps[dependency].task_count):
                if f"{job_id}.{occurrence}.{dependency}.{index}" not in ended:
                    self.violations.append(f"before a step it depends on: {where}")

    def check_starts_after_end(self) -> None:
        """Check that no task was started after an end that was acknowledged.

        For speculative tasks, late starts and starts within 1 s after the acknowledgement are
        allowed.
        """
        for completed_run in self.completed_runs:
            if completed_run.acknowledged_s is None or completed_run.lapsed:
                continue
            speculative = self._step(completed_run.task).speculative
            for task_name in self._tasks_ended_by(completed_run.task):
                for at_s, late in self.starts.get(task_name, ()):
                    if speculative and (late or at_s < completed_run.acknowledged_s + 1.0):
                        continue
                    if at_s > completed_run.ended_s:
                        self.violations.append(f"{task_name} started at {at_s:.3f} s after its end")

    def _tasks_ended_by(self, task_name: str) -> list[str]:
        """Return the tasks that an end as done represents: all tasks of a gang."""
        if not self.is_gang(task_name):
            return [task_name]
        step_name = task_name.rpartition(".")[0]
        return [f"{step_name}.{index}" for index in range(self._step(task_name).task_count)]

    def check_starts_after_failures(self, max_attempts: int) -> None:
        """Check that no task was started after as many acknowledged failures as are allowed.

        For speculative tasks, late starts and starts within 1 s after the acknowledgement are
        allowed.
        """
        failures: dict[str, list[CompletedRun]] = {}
        for failed_run in self.failed_runs:
            if failed_run.acknowledged_s is not None:
                failures.setdefault(failed_run.task, []).append(failed_run)
        for task_name, runs in failures.items():
            if len(runs) < max_attempts:
                continue
            last_s = sorted(run.ended_s for run in runs)[max_attempts - 1]
            if self._step(task_name).speculative:
                last_s = sorted(run.acknowledged_s or 0.0 for run in runs)[max_attempts - 1] + 1.0
            for at_s, late in self.starts.get(task_name, ()):
                if at_s > last_s and not (late and self._step(task_name).speculative):
                    self.violations.append(
                        f"{task_name} started at {at_s:.3f} s after {max_attempts} failures"
                    )

    def check_cancelled(self, calm_from_s: float) -> None:
        """Check that nothing has been started or is at work for a cancelled job.

        :param calm_from_s: end of the last disruption. Entry VMs are in touch ``CONTACT_S`` later.
        """
        now_s, touch_s = self.now_s(), calm_from_s + CONTACT_S
        for worker in self.workers.values():
            worker.advance()
            for run in worker.runs.values():
                cancelled_s = self.cancelled_s.get(run.task.partition(".")[0])
                if cancelled_s is None:
                    continue
                started_s, late = self.starts[run.task][-1]
                where = f"{run.task} run {run.run} at {worker.upstream_id}"
                if not late and started_s > max(touch_s, cancelled_s + CANCEL_S):
                    self._add_violation(f"started after it was cancelled: {where}")
                since_s = max(touch_s, cancelled_s, run.started_s + CONTACT_S if late else 0.0)
                if now_s > since_s + CANCEL_S + STOP_S:
                    self._add_violation(f"at work after it was cancelled: {where}")

    def _add_violation(self, text: str) -> None:
        if text not in self.violations:
            self.violations.append(text)

    def check_at_rest(self, scheduler: Any, accepted: list[str]) -> None:
        """Check what is at work, and the leader's record of it, long after the last disruption."""
        running: dict[str, str] = {}
        for worker in self.workers.values():
            worker.advance()
            running |= dict.fromkeys(worker.runs, worker.upstream_id)
        for job_id in accepted:
            for number, step in enumerate(self.jobs[job_id].steps):
                if not step.long_running or job_id in self.cancel_requested:
                    continue
                names = (f"{job_id}.0.{number}.{index}" for index in range(step.task_count))
                self.violations += [f"not at work: {name}" for name in names if name not in running]
        for vm in self.vms.values():
            if not vm.maintained_waves:
                self.violations.append(f"without its maintenance: {vm.vm_id}")
        self._check_records(scheduler, running)

    def _check_records(self, scheduler: Any, running: dict[str, str]) -> None:
        """Check the leader's record of capacity against what is at work."""
        recorded: dict[str, str] = {}
        for upstream_id, upstream in scheduler._upstreams.items():
            recorded |= {task.name: upstream_id for task in upstream.slot.tasks.values()}
            if upstream.orphans:
                self.violations.append(f"orphans at {upstream_id}: {list(upstream.orphans)}")
            if upstream.slot.cordoned and upstream.slot.listed:
                self.violations.append(f"still cordoned: {upstream_id}")
        if recorded != running:
            self.violations.append(f"recorded {recorded}, at work {running}")
        used = Demand()
        for name in running:
            used = used.plus(self._step(name).counted)
        counted = Demand()
        for usage in scheduler._usages.values():
            counted = counted.plus(usage.running)
        if counted != used:
            self.violations.append(f"use of accounts {counted}, at work {used}")
        for job in scheduler._jobs.values():
            tasks = job.tasks() if hasattr(job, "tasks") else ()
            self.violations += [f"copies of {task.name}" for task in tasks if task.copies]

    # Components.

    def add_worker(
        self, name: str, capacity: Demand, pool: str = POOL, data_centre: str = DATA_CENTRE
    ) -> VirtualWorker:
        """Start a worker and register it."""
        worker = self.workers[name] = VirtualWorker(self, name, capacity, pool, data_centre)
        self.register(worker)
        return worker

    def add_vm(
        self, vm_id: str, capacity: Demand, pool: str = POOL, data_centre: str = DATA_CENTRE
    ) -> VirtualVm:
        """Add a VM and start its worker."""
        vm = self.vms[vm_id] = VirtualVm(vm_id, capacity, pool, data_centre)
        self._start_vm(vm)
        return vm

    def _start_vm(self, vm: VirtualVm) -> None:
        vm.incarnation_count += 1
        vm.is_moving = vm.is_crashed = False
        name = f"{vm.vm_id}-{vm.incarnation_count}"
        vm.worker = self.add_worker(name, vm.capacity, vm.pool, vm.data_centre)
        vm.worker.clock_start_s = self.now_s()

    def maintain(self, vm_id: str, wave: int, epoch: int, late: bool = False) -> None:
        """Take a VM down for its maintenance, which ends everything that runs on it.

        :param late: whether the order is carried out after its caller's timeout.
        :raises FleetRefusedError: if a higher epoch has ordered before, or the VM is not up.
        """
        vm = self.vms[vm_id]
        if epoch < vm.highest_epoch:
            raise FleetRefusedError("fence", step="maintain VM", peer="platform")
        vm.highest_epoch = epoch
        if wave in vm.maintained_waves:
            return
        if vm.worker is None:
            raise FleetRefusedError("busy", step="maintain VM", peer="platform")
        vm.maintained_waves.add(wave)
        self._check_vm_order(vm, late, "maintenance")
        self._restart_vm(vm, MAINTENANCE_S)

    def move(self, vm_id: str, pool: str, epoch: int) -> None:
        """Move a VM to another pool, which ends everything that runs on it.

        :raises FleetRefusedError: if a higher epoch has ordered before, or the VM is not up.
        """
        vm = self.vms[vm_id]
        if epoch < vm.highest_epoch:
            raise FleetRefusedError("fence", step="move VM", peer="platform")
        vm.highest_epoch = epoch
        if vm.worker is None:
            raise FleetRefusedError("busy", step="move VM", peer="platform")
        vm.pool, vm.is_moving = pool, True
        vm.moved.append(pool)
        self._check_vm_order(vm, False, "move")
        self._restart_vm(vm, MOVE_S)

    def _check_vm_order(self, vm: VirtualVm, late: bool, what: str) -> None:
        if vm.worker is not None and not vm.worker.down:
            vm.worker.advance()
            self.check_availability(vm.worker, list(vm.worker.runs.values()), late, what)

    def replace_worker(self, vm: VirtualVm, after_s: float) -> None:
        """Let the worker of a VM crash; the next one has another ID."""
        if vm.worker is not None:
            vm.is_crashed = True
            self._restart_vm(vm, after_s)

    def _restart_vm(self, vm: VirtualVm, after_s: float) -> None:
        worker, vm.worker = vm.worker, None
        assert worker is not None
        worker.advance()
        worker.restart()
        worker.unreachable = worker.gone = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.uniform(0.0, 3.0), self.unregister, worker)
        loop.call_later(after_s, self._start_vm, vm)

    def live_workers(self) -> list[VirtualWorker]:
        """Return the workers whose VM has not gone down."""
        return [worker for worker in self.workers.values() if not worker.gone]

    def unregister(self, worker: VirtualWorker) -> None:
        """Remove a worker's registration from the store."""
        self.store.put(operator.UPSTREAM_TOPIC, worker.upstream_id, b"")

    def register(self, worker: VirtualWorker) -> None:
        """Write a worker's registration to the store."""
        data = {"id": worker.upstream_id, "cpu": worker.capacity.cpu_millicores}
        data |= {"pool": worker.pool, "zone": worker.data_centre}
        value = json.dumps({**data, "born": worker.started_ms}).encode()
        self.store.put(operator.UPSTREAM_TOPIC, worker.upstream_id, value)

    async def start_node(self, name: str, skew_ms: int = 0, **changes: Any) -> Node:
        """Start an entry VM.

        :param changes: settings that differ from those for tests.
        """
        changes = {"topic_part_count": PART_COUNT} | changes
        settings = make_node_settings(name, peer_address=f"{name}:{PEER_PORT}", **changes)
        self.starting_node = name
        node = Node(settings, self._adapter(name), VirtualTimer(skew_ms))
        self.nodes[name] = node
        node.start()
        return node

    async def kill_node(self, name: str) -> None:
        """Stop an entry VM without a graceful shutdown."""
        node = self.nodes.pop(name, None)
        if node is not None:
            await node.stop()

    async def _reaches_upstream(self, entry: str, upstream_id: str) -> bool:
        await asyncio.sleep(CALL_DELAY_S)
        worker = self.workers[upstream_id]
        is_cut = worker.unreachable or entry in worker.cut_entries
        return not worker.down and not is_cut

    def _adapter(self, name: str) -> Adapter:
        return Adapter(
            make_store=lambda: VirtualStoreClient(self.store, name),
            make_client=lambda upstream_id, address: VirtualWorkerClient(
                self.workers[upstream_id], name
            ),
            reaches_upstream=lambda upstream_id: self._reaches_upstream(name, upstream_id),
            make_fleet=(lambda: VirtualFleetClient(self)) if self.vms else None,
            make_advice=None,
            operator_topic=operator.OPERATOR_TOPIC,
            upstream_topic=operator.UPSTREAM_TOPIC,
            status_topic=operator.STATUS_TOPIC,
            config_key=operator.CONFIG_KEY,
            wave_prefix=operator.WAVE_PREFIX,
            evacuation_prefix=operator.EVACUATION_PREFIX,
            decode_rules=operator.decode_rules,
            decode_wave=operator.decode_wave,
            decode_upstream=_decode_upstream,
            decode_job=decode_job,
            wave_status_record=operator.wave_status_record,
            make_caller_server=lambda entrance, timer: None,
        )

    async def submit(self, node: Node, job_id: str, spec: JobSpec, prefix: str = "/q/") -> Any:
        """Submit a job and return the reply, which may be an error, or None if none came.

        :param prefix: path prefix of the queue.
        """
        self.jobs[job_id] = spec
        caller = RequestContext(QUEUE_HOST, prefix + job_id, "key", self.now_s() * 1_000)
        reply = new_reply()
        node.request_handler.tell(Submit(caller, spec, reply))
        try:
            return await asyncio.wait_for(reply, CALLER_TIMEOUT_S)
        except TimeoutError:
            # The entry VM was killed before it replied.
            return None

    async def cancel(self, node: Node, job_id: str) -> bool:
        """Cancel a job and return whether the cancelling was acknowledged."""
        self.cancel_requested.add(job_id)
        caller = RequestContext(QUEUE_HOST, f"/q/{job_id}", "key", self.now_s() * 1_000)
        reply = new_reply()
        node.request_handler.tell(Cancel(caller, reply))
        try:
            acknowledged = isinstance(await asyncio.wait_for(reply, CALLER_TIMEOUT_S), Accepted)
        except TimeoutError:
            # The entry VM was killed before it replied.
            return False
        if acknowledged:
            self.cancelled_s.setdefault(job_id, self.now_s())
        return acknowledged


def _decode_upstream(upstream_id: str, value: bytes) -> UpstreamEntry:
    data = json.loads(value)
    capacity = Demand(data["cpu"], 1_000_000)
    return UpstreamEntry(
        upstream_id,
        data["pool"],
        upstream_id,
        data["zone"],
        False,
        capacity,
        started_ms=data["born"],
    )


def patch_peer_client(simulation: Simulation, patch: Callable[[Any, str, Any], None]) -> None:
    """Replace the peer client of entry VMs by one that calls the other nodes directly.

    :param patch: function like ``monkeypatch.setattr``.
    """
    patch(
        node_module,
        "PeerClient",
        lambda *_: VirtualPeerClient(simulation, simulation.starting_node),
    )
