"""Planned stops, moves and waves, and failures of VMs, handled by one entry VM, the driver.

:func:`plan_steps` decides from the replayed state and from what workers report. Both show whether
a step was carried out, so a new driver can continue after the previous one has failed at any point.
"""

from __future__ import annotations

import asyncio
import functools
import itertools
import logging
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from statistics import fmean
from typing import Any

import aiohttp
from attrs import Factory, evolve, field, frozen

from . import capacity, defaults, records
from .capacity import PoolLoad, VmLoad
from .dispatch import Dispatch
from .errors import LogUnavailableError
from .jobs import RefreshUpstreams
from .journal import Append, Journal, ViewChanged
from .mailbox import Actor, new_reply, receives
from .membership import DriverRoleChanged
from .model import HealthVerdict
from .peers import Peers, ReadLoads
from .registry import Registry
from .replay import AuditEntry, FleetView, VmState
from .sessions import make_connector
from .timer import Timer
from .upstream import UpstreamChanged
from .waves import WAVES

logger = logging.getLogger(__name__)


@frozen
class OperationTimeouts:
    """Time limits of operations.

    :param unresponsive_ms: time without an answer after which a VM counts as failed.
    :param drain_ms: time after which a stop that has not rebooted the VM counts as failed, and a
        move of a VM that is still busy is cancelled.
    :param return_ms: time without an answer after which a VM counts as not back from its reboot,
        and time after which a reserved stop is cancelled if the worker has not reported its state.
    """

    unresponsive_ms: float = defaults.VM_UNRESPONSIVE_MS
    drain_ms: float = defaults.VM_DRAIN_TIMEOUT_MS
    return_ms: float = defaults.VM_RETURN_TIMEOUT_MS


@frozen
class WorkerObservations:
    """Observations of a worker by this entry VM; times are those at which a call was sent.

    :param known_at_ms: start of the observation.
    :param answered_at_ms: last call that was answered, even with an error.
    :param unanswered_count: calls without any answer since then.
    :param seen_at_ms: last call whose answer contained the fields below.
    """

    known_at_ms: float
    answered_at_ms: float = float("-inf")
    unanswered_count: int = 0
    seen_at_ms: float = float("-inf")
    boot_id: str = ""
    running_count: int = 0
    leaving: bool = False

    def after(self, change: UpstreamChanged) -> WorkerObservations:
        """Return the observations updated with the result of a call to the worker."""
        if change.verdict is HealthVerdict.NO_ANSWER:
            return evolve(self, unanswered_count=self.unanswered_count + 1)
        observations = evolve(self, answered_at_ms=change.requested_at_ms, unanswered_count=0)
        if change.verdict is HealthVerdict.ERROR_ANSWER:
            return observations
        return evolve(
            observations,
            seen_at_ms=change.requested_at_ms,
            boot_id=change.boot_id,
            running_count=change.running_count,
            leaving=change.leaving,
        )


@frozen
class Observations:
    """Observations of this entry VM that are not part of the replayed state.

    :param workers: observations of the workers, by VM name.
    :param since_ms: when this entry VM first saw the current revision of each VM.
    :param log_since_ms: when the log became available again after the last outage.
    """

    workers: Mapping[str, WorkerObservations] = Factory(dict)
    since_ms: Mapping[str, float] = Factory(dict)
    log_since_ms: float = float("-inf")


@frozen
class AppendRecord:
    """A step that appends a record about a VM."""

    record: Any


@frozen
class CallPlatform:
    """A step that asks the platform to drain, undrain or reboot a VM.

    :param boot_id: the call has no effect if the worker's boot ID differs; empty for any boot ID.
    """

    vm: str
    action: str
    boot_id: str = ""


Step = AppendRecord | CallPlatform


@frozen
class VmContext:
    """Input of a rule: one VM, its worker and the fleet.

    :param age_ms: time in the current state, at most the time since the last log outage.
    :param fresh: the worker answers, and the observations are newer than the state.
    :param silent_ms: time without an answer.
    :param isolated: no worker answers, so this entry VM itself may be partitioned.
    """

    view: FleetView
    name: str
    vm: VmState
    worker: WorkerObservations
    age_ms: float
    fresh: bool
    silent_ms: float
    isolated: bool
    timeouts: OperationTimeouts

    def is_unresponsive(self, timeout_ms: float) -> bool:
        """Return whether the VM has not answered for ``timeout_ms`` while other workers answer."""
        enough_calls = self.worker.unanswered_count >= defaults.VM_UNRESPONSIVE_CALL_COUNT
        return enough_calls and self.silent_ms >= timeout_ms and not self.isolated

    def append(self, record_type: Callable[..., Any], **fields: Any) -> AppendRecord:
        """Return the step that appends a record about the current revision of the VM."""
        return AppendRecord(record_type(vm=self.name, revision=self.vm.revision, **fields))

    def call(self, action: str, boot_id: str = "") -> CallPlatform:
        """Return the step that calls the platform about the VM."""
        return CallPlatform(self.name, action, boot_id)

    def fail(self, phase: str) -> AppendRecord:
        """Return the step that records the VM as failed because it does not answer."""
        cause = f"no answer for {self.silent_ms:.0f} ms {phase}"
        return self.append(records.VmFailed, cause=cause)


Rule = Callable[[VmContext], Step | None]
VM_RULES: Registry[Rule] = Registry("rule for a VM's state")


@VM_RULES.register("in_service")
def in_service(context: VmContext) -> Step | None:
    """Record a failure, and undrain the VM after an operation that finished or was cancelled."""
    if context.is_unresponsive(context.timeouts.unresponsive_ms):
        return context.fail("in service")
    if not context.fresh:
        return None
    if not context.vm.drain_asked:
        # A VM that the platform drains on its own initiative uses the availability budget.
        cause = "leaves without a plan"
        return context.append(records.VmFailed, cause=cause) if context.worker.leaving else None
    if context.worker.leaving:
        return context.call("undrain")
    return context.append(records.VmBack, cause="no longer drained")


@VM_RULES.register("reserved")
def reserved(context: VmContext) -> Step | None:
    """Begin the stop, or cancel it if its wave is no longer running."""
    if context.is_unresponsive(context.timeouts.unresponsive_ms):
        return context.fail("before its stop")
    wave = context.view.waves.get(context.vm.wave)
    if context.vm.wave and (wave is None or wave.state != "running"):
        state = wave.state if wave else "unknown"
        return context.append(records.CancelStop, cause=f"wave {context.vm.wave} is {state}")
    if context.fresh and context.worker.boot_id:
        return context.append(
            records.BeginStop, boot_id=context.worker.boot_id, cause="the budget holds"
        )
    if context.age_ms >= context.timeouts.return_ms:
        cause = f"worker has not told its state for {context.age_ms:.0f} ms"
        return context.append(records.CancelStop, cause=cause)
    return None


@VM_RULES.register("stopping")
def stopping(context: VmContext) -> Step | None:
    """Drain the VM, wait until it is idle, reboot it, and wait for a new boot ID."""
    worker, vm = context.worker, context.vm
    if context.is_unresponsive(context.timeouts.return_ms):
        return context.fail("during its stop")
    if not context.fresh:
        return None
    if worker.boot_id != vm.boot_id:
        if worker.leaving:
            return context.call("undrain", worker.boot_id)
        cause = f"rebooted, boot ID {worker.boot_id} after {vm.boot_id}"
        return context.append(records.VmBack, cause=cause)
    if context.age_ms >= context.timeouts.drain_ms:
        cause = f"not rebooted after {context.age_ms:.0f} ms, {worker.running_count} tasks running"
        return context.append(records.VmFailed, cause=cause)
    if not worker.leaving:
        return context.call("drain", vm.boot_id)
    return None if worker.running_count else context.call("reboot", vm.boot_id)


@VM_RULES.register("draining")
def draining(context: VmContext) -> Step | None:
    """Drain the VM and wait until it is idle, so that no task of the old pool runs in the new."""
    if context.is_unresponsive(context.timeouts.unresponsive_ms):
        return context.fail("during its move")
    if not context.fresh:
        return None
    if context.worker.leaving and not context.worker.running_count:
        return context.append(records.VmDrained, cause="drained and idle")
    if context.age_ms >= context.timeouts.drain_ms:
        cause = f"{context.worker.running_count} tasks running after {context.age_ms:.0f} ms"
        return context.append(records.CancelStop, cause=cause)
    return None if context.worker.leaving else context.call("drain", context.worker.boot_id)


@VM_RULES.register("failed")
def failed(context: VmContext) -> Step | None:
    """Return the VM to service when its worker answers again."""
    if not context.fresh:
        return None
    if not context.worker.leaving:
        return context.append(records.VmBack, cause="answers again")
    # A drain that the platform has started on its own initiative is not undone.
    return context.call("undrain") if context.vm.drain_asked else None


def plan_steps(
    view: FleetView,
    observations: Observations,
    now_ms: float,
    timeouts: OperationTimeouts = OperationTimeouts(),
) -> list[Step]:
    """Return the steps that a driver has to carry out now; all of them are idempotent.

    No step depends on a record that is not yet in the view.
    """
    return [
        *plan_vms(view, observations, observations.workers, now_ms, timeouts),
        *_plan_waves(view, observations),
    ]


def plan_vms(
    view: FleetView,
    observations: Observations,
    names: Iterable[str],
    now_ms: float,
    timeouts: OperationTimeouts = OperationTimeouts(),
) -> list[Step]:
    """Return the steps for the named VMs; new stops for waves are not included."""
    contexts = _contexts(view, observations, names, now_ms, timeouts)
    return [step for context in contexts if (step := VM_RULES.get(context.vm.state)(context))]


def is_eligible(vm: VmState, worker: WorkerObservations | None) -> bool:
    """Return whether the VM may be selected for a planned stop or move."""
    has_no_operation = vm.state == "in_service" and not vm.drain_asked
    if worker is None or not has_no_operation:
        return False
    return bool(worker.boot_id) and not worker.unanswered_count and not worker.leaving


def _contexts(
    view: FleetView,
    observations: Observations,
    names: Iterable[str],
    now_ms: float,
    timeouts: OperationTimeouts,
) -> Iterator[VmContext]:
    """Yield the VMs that may need a step; healthy VMs in service, most of them, are skipped."""
    isolated = all(
        now_ms - worker.answered_at_ms >= timeouts.unresponsive_ms
        for worker in observations.workers.values()
    )
    for name in names:
        vm, worker = view.vms.get(name), observations.workers[name]
        if vm is None:
            continue
        healthy = not (vm.drain_asked or worker.unanswered_count or worker.leaving)
        if vm.state == "in_service" and healthy:
            continue
        since_ms = observations.since_ms.get(name, now_ms)
        yield VmContext(
            view=view,
            name=name,
            vm=vm,
            worker=worker,
            age_ms=now_ms - max(since_ms, observations.log_since_ms),
            fresh=worker.seen_at_ms >= since_ms and not worker.unanswered_count,
            silent_ms=now_ms - max(worker.answered_at_ms, worker.known_at_ms),
            isolated=isolated,
            timeouts=timeouts,
        )


def _remaining_budgets(view: FleetView) -> dict[str, int]:
    """Return how many more VMs of each pool may leave service."""
    vm_counts = Counter(vm.pool for vm in view.vms.values())
    out_counts = Counter(vm.pool for vm in view.vms.values() if vm.state != "in_service")
    return {
        pool.name: min(
            pool.max_unavailable_count - out_counts[pool.name],
            vm_counts[pool.name] - out_counts[pool.name] - pool.min_available_count,
        )
        for pool in view.config.pools
    }


def _plan_waves(view: FleetView, observations: Observations) -> Iterator[Step]:
    running = [wave for _, wave in sorted(view.waves.items()) if wave.state == "running"]
    if not running:
        return
    policy = view.config.policies.wave
    remaining_budgets = _remaining_budgets(view)
    reserved: set[str] = set()

    def may_stop(name: str) -> bool:
        vm = view.vms.get(name)
        if vm is None or name in reserved or remaining_budgets.get(vm.pool, 0) <= 0:
            return False
        return is_eligible(vm, observations.workers.get(name))

    for wave in running:
        # The policy gets only VMs that can stop now, so that the others do not keep it from
        # selecting these. It is not called without any, because its cost grows with the fleet.
        pending = tuple(name for name in wave.pending if may_stop(name))
        chosen = WAVES.get(policy)(view, evolve(wave, pending=pending)) if pending else []
        for name in chosen:
            if may_stop(name):
                vm = view.vms[name]
                reserved.add(name)
                remaining_budgets[vm.pool] -= 1
                cause = f"wave {wave.wave}, chosen by policy {policy}"
                yield AppendRecord(records.ReserveStop(name, wave.wave, cause, vm.revision))


def pool_loads(
    view: FleetView, observations: Observations, demands: Mapping[str, tuple[float, int]]
) -> list[PoolLoad]:
    """Return the load of each pool, the input of capacity policies.

    :param demands: for each pool, the average number of its running and waiting jobs and the
        number of its jobs that wait now.
    """
    eligible = {n for n, vm in view.vms.items() if is_eligible(vm, observations.workers.get(n))}
    loads = []
    incoming = Counter(vm.target_pool for vm in view.vms.values())
    members: dict[str, dict[str, VmState]] = {pool.name: {} for pool in view.config.pools}
    for name, vm in view.vms.items():
        members.setdefault(vm.pool, {})[name] = vm
    for pool in view.config.pools:
        vms = members[pool.name]
        demand_count, waiting_count = demands.get(pool.name, (0.0, 0))
        loads.append(
            PoolLoad(
                name=pool.name,
                vms=tuple(
                    VmLoad(
                        name,
                        observations.workers[name].running_count,
                        vm.spec.slot_count,
                        vm.spec.rack,
                    )
                    for name, vm in vms.items()
                    if name in eligible
                ),
                max_unavailable_count=pool.max_unavailable_count,
                min_available_count=pool.min_available_count,
                spare=pool.spare,
                unavailable_count=sum(vm.state != "in_service" for vm in vms.values()),
                incoming_count=incoming[pool.name],
                demand_count=demand_count,
                waiting_count=waiting_count,
            )
        )
    return loads


def plan_moves(
    view: FleetView, loads: Sequence[PoolLoad], now_ms: float, history: Any
) -> tuple[list[Step], Any]:
    """Return the moves that the capacity policy requests, and its history for the next pass."""
    policy = view.config.policies.capacity
    moves, history = capacity.plan(policy, loads, now_ms, history)
    steps: list[Step] = []
    for move in moves:
        cause = f"to {move.to_pool}: {move.cause}, by policy {policy}"
        revision = view.vms[move.vm].revision
        record = records.MoveVm(move.vm, move.from_pool, move.to_pool, cause, revision)
        steps.append(AppendRecord(record))
    return steps, history


# The actor


@frozen
class PlanDue:
    """It is time to plan and carry out steps."""


@frozen
class SampleDue:
    """It is time to read the load of the pools."""


@frozen
class LoadsRead:
    """Numbers of running and waiting jobs of each pool, across the fleet."""

    loads: Mapping[str, tuple[int, int]]


@frozen
class CapacityDue:
    """It is time to plan moves between pools."""


@frozen
class CallEnded:
    """A call to the platform has ended."""

    step: CallPlatform
    problem: str = ""


@frozen
class RecordEnded:
    """An append has ended: the record was replayed, or it is certain that it was not written."""

    key: tuple[Any, ...]
    entry: AuditEntry | LogUnavailableError = field(repr=False)


class Operations(Actor):
    """Carries out the steps while this entry VM is the driver.

    :param entry: name of this entry VM, author of the records.
    :param platform_address: ``IP:PORT`` of the platform.
    """

    def __init__(
        self,
        entry: str,
        platform_address: str,
        journal: Journal,
        dispatch: Dispatch,
        peers: Peers,
        timer: Timer,
        source_address: str = "",
        timeouts: OperationTimeouts = OperationTimeouts(),
    ) -> None:
        super().__init__("operations")
        self._entry = entry
        self._url = f"http://{platform_address}/vms"
        self._journal = journal
        self._dispatch = dispatch
        self._peers = peers
        self._timer = timer
        self._source_address = source_address
        self._timeouts = timeouts
        self._view = FleetView()
        self._loaded = False
        self._fresh_as_of_ms = float("-inf")
        self._log_available = False
        self._driving = False
        self._workers: dict[str, WorkerObservations] = {}
        self._since_ms: dict[str, float] = {}
        self._log_since_ms = timer.now_ms()
        self._planned_at_ms = float("-inf")
        self._samples: list[Mapping[str, tuple[int, int]]] = []
        self._capacity_history: tuple[str, Any] = "", None
        # Steps in progress or recently done, with the time from which they may be repeated.
        self._blocked_until_ms: dict[tuple[Any, ...], float] = {}
        # When each drain call of this entry VM ended. Kept until the operation is over and the
        # worker serves again.
        self._drained_at_ms: dict[str, float] = {}
        self._session: aiohttp.ClientSession

    async def on_open(self) -> None:
        """Open the session and subscribe to the timer."""
        self._session = aiohttp.ClientSession(connector=make_connector(self._source_address))
        self.subscribe(self._timer.every(defaults.OPERATIONS_PERIOD_MS), PlanDue())
        self.subscribe(self._timer.every(defaults.LOAD_SAMPLE_MS), SampleDue())
        self.subscribe(self._timer.every(defaults.CAPACITY_PERIOD_MS), CapacityDue())

    async def on_close(self) -> None:
        """Close the session."""
        await self._session.close()

    # Observations
    @receives(DriverRoleChanged)
    def _on_driver_role_changed(self, message: DriverRoleChanged) -> None:
        self._driving = message.driving

    @receives(ViewChanged)
    def _on_view_changed(self, message: ViewChanged) -> None:
        now_ms = self._timer.now_ms()
        previous, self._view = self._view, message.view
        if message.log_available and not self._log_available:
            self._log_since_ms = now_ms
        self._log_available = message.log_available
        self._loaded = message.loaded
        self._fresh_as_of_ms = message.fresh_as_of_ms
        if previous.vms is not message.view.vms:
            self._track_vms(previous, now_ms)
        changed = previous.vms is not message.view.vms or previous.waves is not message.view.waves
        # During a large wave records arrive so often that planning after each one would keep a
        # core busy.
        if changed and now_ms - self._planned_at_ms >= defaults.OPERATIONS_MIN_INTERVAL_MS:
            self._plan_and_carry_out()
            self._probe()

    def _track_vms(self, previous: FleetView, now_ms: float) -> None:
        vms = self._view.vms
        for name in set(self._workers) - set(vms):
            del self._workers[name], self._since_ms[name]
        for name, vm in vms.items():
            known = previous.vms.get(name)
            if known is None or known.spec.address != vm.spec.address:
                self._workers[name] = WorkerObservations(known_at_ms=now_ms)
            if known is None or known.revision != vm.revision:
                self._since_ms[name] = now_ms

    @receives(UpstreamChanged)
    def _on_upstream_changed(self, message: UpstreamChanged) -> None:
        observations = self._workers.get(message.name)
        if observations is not None and message.requested_at_ms >= observations.known_at_ms:
            self._workers[message.name] = observations.after(message)
            if self._is_changing(message.name) and self._may_act():
                names, now_ms = (message.name,), self._timer.now_ms()
                steps = plan_vms(self._view, self._observations(), names, now_ms, self._timeouts)
                self._carry_out(steps)

    def _is_changing(self, name: str) -> bool:
        vm = self._view.vms[name]
        return vm.drain_asked or vm.state not in ("in_service", "failed")

    def _observations(self) -> Observations:
        return Observations(self._workers, self._since_ms, self._log_since_ms)

    # Steps

    def _may_act(self) -> bool:
        # The log may be available while the view lacks records that retention has removed from it.
        age_ms = self._timer.now_ms() - self._fresh_as_of_ms
        is_current = self._loaded and age_ms <= defaults.LOG_UNAVAILABLE_MS
        return self._driving and self._log_available and is_current

    @receives(PlanDue)
    def _on_plan_due(self, _: PlanDue) -> None:
        self._expire_blocks()
        self._undo_late_drains()
        self._plan_and_carry_out()
        self._probe()

    def _expire_blocks(self) -> None:
        now_ms = self._timer.now_ms()
        for key in [key for key, until in self._blocked_until_ms.items() if until <= now_ms]:
            del self._blocked_until_ms[key]

    def _probe(self) -> None:
        changing = (name for name in self._view.vms if self._is_changing(name))
        names = tuple(itertools.islice(changing, defaults.OPERATIONS_PROBE_COUNT))
        if names and self._may_act():
            self._dispatch.tell(RefreshUpstreams(names))

    def _plan_and_carry_out(self) -> None:
        if not self._may_act():
            return
        self._expire_blocks()
        now_ms = self._planned_at_ms = self._timer.now_ms()
        self._carry_out(plan_steps(self._view, self._observations(), now_ms, self._timeouts))

    @receives(SampleDue)
    def _on_sample_due(self, _: SampleDue) -> None:
        if self._may_act():
            self.spawn(self._read_loads())

    async def _read_loads(self) -> None:
        reply: asyncio.Future[dict[str, tuple[int, int]]] = new_reply()
        self._peers.tell(ReadLoads(reply))
        self.tell_self(LoadsRead(await reply))

    @receives(LoadsRead)
    def _on_loads_read(self, message: LoadsRead) -> None:
        self._samples.append(message.loads)

    @receives(CapacityDue)
    def _on_capacity_due(self, _: CapacityDue) -> None:
        samples, self._samples = self._samples, []
        if not samples or not self._may_act():
            return
        demands = {
            pool: (fmean(sum(s.get(pool, (0, 0))) for s in samples), samples[-1][pool][1])
            for pool in samples[-1]
        }
        now_ms = self._timer.now_ms()
        policy = self._view.config.policies.capacity
        known_policy, history = self._capacity_history
        loads = pool_loads(self._view, self._observations(), demands)
        history = history if known_policy == policy else None
        steps, history = plan_moves(self._view, loads, now_ms, history)
        self._capacity_history = policy, history
        self._carry_out(steps)

    def _carry_out(self, steps: Iterable[Step]) -> None:
        for step in steps:
            self._execute(step)

    def _block(self, key: tuple[Any, ...], duration_ms: float) -> bool:
        """Block repetitions of a step for a time; return False if it is blocked already."""
        if key in self._blocked_until_ms:
            return False
        self._blocked_until_ms[key] = self._timer.now_ms() + duration_ms
        return True

    @functools.singledispatchmethod
    def _execute(self, step: Any) -> None:
        raise NotImplementedError(type(step))

    @_execute.register
    def _append(self, step: AppendRecord) -> None:
        record = step.record
        key = record.vm, record.revision, record.kind
        if not self._block(key, defaults.RECORD_WAIT_MS):
            return
        reply = new_reply()

        def ended(done: asyncio.Future[Any]) -> None:
            if not done.cancelled():
                self.tell_self(RecordEnded(key, done.result()))

        reply.add_done_callback(ended)
        expires_ms = self._timer.now_ms() + defaults.LOG_UNAVAILABLE_MS
        self._journal.tell(Append(record, self._entry, reply, expires_ms))

    @receives(RecordEnded)
    def _on_record_ended(self, message: RecordEnded) -> None:
        entry = message.entry
        accepted = isinstance(entry, AuditEntry) and entry.accepted
        # A rejected record is not repeated at once, because the reason may still hold.
        wait_ms = 0.0 if accepted else float(defaults.PLATFORM_CALL_RETRY_MS)
        self._blocked_until_ms[message.key] = self._timer.now_ms() + wait_ms

    @_execute.register
    def _call(self, step: CallPlatform) -> None:
        if self._block((step.vm, step.action), defaults.PLATFORM_CALL_TIMEOUT_MS):
            self.spawn(self._post(step))

    async def _post(self, step: CallPlatform) -> None:
        timeout = aiohttp.ClientTimeout(total=defaults.PLATFORM_CALL_TIMEOUT_MS / 1_000)
        body: dict[str, Any] = {"boot_id": step.boot_id} if step.boot_id else {}
        if step.action == "reboot":
            body["graceful"] = True
        problem = ""
        try:
            url = f"{self._url}/{step.vm}/{step.action}"
            async with self._session.post(url, json=body, timeout=timeout) as response:
                if not response.ok:
                    problem = f"status {response.status}"
        except (aiohttp.ClientError, TimeoutError) as error:
            problem = type(error).__name__
        self.tell_self(CallEnded(step, problem))

    @receives(CallEnded)
    def _on_call_ended(self, message: CallEnded) -> None:
        step = message.step
        until_ms = self._timer.now_ms() + defaults.PLATFORM_CALL_RETRY_MS
        self._blocked_until_ms[step.vm, step.action] = until_ms
        if message.problem:
            logger.debug("platform call failed", extra={"vm": step.vm, "problem": message.problem})
        if step.action == "drain":
            self._drained_at_ms[step.vm] = self._timer.now_ms()

    def _undo_late_drains(self) -> None:
        """Undrain VMs whose drain call took effect after another driver had ended the operation.

        An entry VM that is no longer the driver does this too, because only the caller knows of
        the drain call.
        """
        for name, drained_at_ms in list(self._drained_at_ms.items()):
            vm = self._view.vms.get(name)
            if vm is None:
                del self._drained_at_ms[name]
            elif not vm.drain_asked and self._workers[name].seen_at_ms >= drained_at_ms:
                if self._workers[name].leaving:
                    self._execute(CallPlatform(name, "undrain"))
                else:
                    del self._drained_at_ms[name]
