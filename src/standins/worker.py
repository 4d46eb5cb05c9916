"""Stand-in for a worker (upstream VM): leases, the guard, and tasks in a number of slots."""

from __future__ import annotations

import asyncio
import json
import random
import time
import uuid
from collections.abc import Callable, Mapping
from typing import Annotated, Any

import typer
from aiohttp import web
from attrs import define, evolve, frozen

from tarragoncart import defaults
from tarragoncart.errors import RegistryError
from tarragoncart.mailbox import Actor, receives, resolve
from tarragoncart.registry import Registry

from .guard import Attempt, Guard, Lease, Refusal, Result, Start, Work
from .serving import (
    BODY_LIMIT_BYTES,
    FaultFunction,
    History,
    Lagged,
    Listener,
    ask,
    drop_connection,
    json_response,
    load_chart,
    now_ms,
    read_json,
    run_until_terminated,
    switch_fault,
)

CHART = load_chart("worker")
DEFAULT_REBOOT_MS = 2_000.0

faults: Registry[FaultFunction] = Registry("worker fault")
actions: Registry[Callable[..., None]] = Registry("worker action")


@frozen
class Faults:
    """Injected faults in force; the defaults inject none.

    :param fail_all: whether tasks that are started fail after ``fail_after_ms``.
    :param late_ratio: share of responses that are delayed by ``late_delay_ms``.
    :param crossed_ratio: share of responses that carry the result of another request.
    :param truncated_ratio: share of responses that break off halfway.
    :param drop_ratio: share of responses that are replaced by a closed connection.
    :param refuse_all: whether attempts are refused as if no slot were free.
    :param slow_factor: factor on run times.
    :param fail_reboot: whether the worker stays down when it reboots.
    """

    fail_all: bool = False
    fail_after_ms: float = 0.0
    late_delay_ms: float = 0.0
    late_ratio: float = 0.0
    crossed_ratio: float = 0.0
    truncated_ratio: float = 0.0
    drop_ratio: float = 0.0
    refuse_all: bool = False
    slow_factor: float = 1.0
    fail_reboot: bool = False


@faults.register("fail_all")
def _fail_all(after_ms: float = 5.0) -> dict[str, Any]:
    return {"fail_all": True, "fail_after_ms": float(after_ms)}


@faults.register("late_answers")
def _late_answers(delay_ms: float = 1_000.0, ratio: float = 1.0) -> dict[str, Any]:
    return {"late_delay_ms": float(delay_ms), "late_ratio": float(ratio)}


@faults.register("crossed_answers")
def _crossed_answers(ratio: float = 1.0) -> dict[str, Any]:
    return {"crossed_ratio": float(ratio)}


@faults.register("truncated_answers")
def _truncated_answers(ratio: float = 1.0) -> dict[str, Any]:
    return {"truncated_ratio": float(ratio)}


@faults.register("drop_answers")
def _drop_answers(ratio: float = 1.0) -> dict[str, Any]:
    return {"drop_ratio": float(ratio)}


@faults.register("refuse_all")
def _refuse_all() -> dict[str, Any]:
    return {"refuse_all": True}


@faults.register("slow")
def _slow(factor: float = 10.0) -> dict[str, Any]:
    return {"slow_factor": float(factor)}


@faults.register("fail_reboot")
def _fail_reboot() -> dict[str, Any]:
    return {"fail_reboot": True}


@define
class Task:
    """A running task, which does ``speed`` ms of work per ms.

    :param work_left_ms: work left at ``resumed_at_ms``; infinite for a task that never ends.
    :param fails: whether the task ends as failed.
    :param resumed_at_ms: time of the start or of the last change of speed.
    :param done_ms: work done until ``resumed_at_ms``.
    """

    attempt: Attempt
    reply: asyncio.Future[Delivery | Refusal]
    work_left_ms: float
    fails: bool
    resumed_at_ms: float
    speed: float = 1.0
    done_ms: float = 0.0
    timer: asyncio.TimerHandle | None = None


@frozen
class Delivery:
    """A result with the faults that are injected into its response."""

    result: Result
    delay_ms: float = 0.0
    truncated: bool = False
    dropped: bool = False


@frozen
class Usage:
    """Load of a worker at a time.

    :param cpu_ms: work done until ``at_ms``.
    :param speed: sum of the running tasks' speeds.
    """

    running_count: int = 0
    leaving: bool = False
    cpu_ms: float = 0.0
    speed: float = 0.0
    at_ms: float = 0.0


@frozen
class LeaseGrant:
    """A granted lease with the worker's state."""

    lease: Lease
    running_count: int
    leaving: bool
    boot_id: str


@frozen
class TaskView:
    """State of a request as reported to callers; ``state`` is a state of the task chart."""

    state: str
    boot_id: str
    attempt: Attempt | None = None
    result: Result | None = None
    started_at_ms: float = 0.0
    done_ms: float = 0.0


@frozen
class RequestLease:
    """Grant or renew a lease."""

    incarnation: str
    reply: asyncio.Future[LeaseGrant | Refusal]


@frozen
class StartAttempt:
    """Start an attempt if the guard permits it; the reply comes when its task ends.

    :param over_limit: whether the attempt came over a connection beyond the connection limit.
    """

    attempt: Attempt
    over_limit: bool
    reply: asyncio.Future[Delivery | Refusal]


@frozen
class EndTask:
    """The work of a task is done."""

    task: Task


@frozen
class FindRequest:
    """Look a request up in the guard."""

    request_id: str
    reply: asyncio.Future[TaskView]


@frozen
class FenceRequest:
    """Prevent later attempts at a request from starting."""

    request_id: str
    reply: asyncio.Future[TaskView]


@frozen
class FenceIncarnation:
    """Prevent later attempts of an incarnation from starting."""

    incarnation: str
    reply: asyncio.Future[list[TaskView]]


@frozen
class GetUsage:
    """Return the usage as of ``usage_lag_ms`` ago."""

    reply: asyncio.Future[Usage]


@frozen
class ListTasks:
    """Return the running tasks."""

    reply: asyncio.Future[list[TaskView]]


@frozen
class ThrottleTask:
    """Set the speed of a task to a ratio of its normal speed."""

    request_id: str
    ratio: float
    reply: asyncio.Future[TaskView | None]


@frozen
class CheckpointTask:
    """Return the progress of a task."""

    request_id: str
    reply: asyncio.Future[TaskView | None]


@frozen
class StopTask:
    """End a task at once."""

    request_id: str
    reply: asyncio.Future[TaskView | None]


@frozen
class Control:
    """Drain, undrain or reboot the worker; ``event`` is an event of its chart.

    :param duration_ms: duration of a reboot.
    :param graceful: whether a reboot waits for the running tasks to end.
    :param boot_id: boot ID that the worker must have, empty for any.
    """

    event: str
    duration_ms: float
    graceful: bool
    boot_id: str
    reply: asyncio.Future[dict[str, Any]]


@frozen
class RebootEnded:
    """The reboot is over."""


@frozen
class SetFault:
    """Switch an injected fault on or off."""

    fault: str
    on: bool
    params: Mapping[str, Any]
    reply: asyncio.Future[Faults | str]


@frozen
class GetState:
    """Return the worker's state and boot ID."""

    reply: asyncio.Future[dict[str, Any]]


@frozen
class WorkerSettings:
    """Settings of a worker stand-in.

    :param slot_count: number of tasks that may run at once.
    :param connection_limit_count: number of open connections that are served.
    :param time_scale: factor on run times and on the duration of a reboot.
    :param usage_lag_ms: age of the reported usage.
    :param history: path of the event file, empty for none.
    """

    name: str = "worker"
    slot_count: int = 8
    connection_limit_count: int = 64
    lease_ms: float = float(defaults.LEASE_DURATION_MS)
    time_scale: float = 1.0
    usage_lag_ms: float = 500.0
    history: str = ""
    seed: int = 1


class Worker(Actor):
    """Actor that owns the guard, the running tasks, the faults and the HTTP listener."""

    def __init__(self, settings: WorkerSettings) -> None:
        super().__init__(settings.name)
        self.settings = settings
        self.listener = Listener(make_app(self))
        self._history = History(settings.history, "worker", settings.name)
        self._random = random.Random(settings.seed)
        self._faults = Faults()
        self._state = CHART.initial
        self._reboot_ms = DEFAULT_REBOOT_MS
        self._tasks: dict[str, Task] = {}
        self._last_results: list[Result] = []
        self._cpu_ms = 0.0
        self._usage: Lagged[Usage] = Lagged(Usage(at_ms=now_ms()))
        # A restarted worker process must grant higher epochs than the previous one, whose epochs
        # it does not know. The wall-clock time in ms exceeds them, because an epoch grows by one
        # for each expired lease only.
        self._begin_boot(epoch_floor=time.time_ns() // 1_000_000)

    def _begin_boot(self, epoch_floor: int) -> None:
        self.boot_id = uuid.uuid4().hex
        self._guard = Guard(self.settings.slot_count, self.settings.lease_ms, epoch_floor)
        self._last_results.clear()

    @property
    def _leaving(self) -> bool:
        return self._state != CHART.initial

    async def on_close(self) -> None:
        """Stop the running tasks, so that the history records their end, and close the file."""
        for request_id in list(self._tasks):
            self._finish(request_id, "stop")
        self._history.close()

    def _step(self, event: str) -> None:
        step = CHART.step(self._state, event)
        self._state = step.state
        for action in step.actions:
            actions.get(action)(self)
        self._update_usage()

    def _update_usage(self) -> None:
        at_ms = now_ms()
        last = self._usage.at(at_ms)
        usage = Usage(
            len(self._tasks),
            self._leaving,
            last.cpu_ms + last.speed * (at_ms - last.at_ms),
            sum(task.speed for task in self._tasks.values()),
            at_ms,
        )
        self._usage.push(at_ms, usage, keep_ms=self.settings.usage_lag_ms + 1_000)

    def _view(self, request_id: str) -> TaskView:
        entry = self._guard.find(request_id)
        task = self._tasks.get(request_id)
        done_ms = self._done_ms(task) if task is not None else 0.0
        return TaskView(
            entry.state, self.boot_id, entry.attempt, entry.result, entry.started_at_ms, done_ms
        )

    @receives(RequestLease)
    def _request_lease(self, message: RequestLease) -> None:
        lease = self._guard.grant_lease(message.incarnation, now_ms())
        if isinstance(lease, Refusal):
            self._history.write("lease_refused", code=lease.code, incarnation=message.incarnation)
            resolve(message.reply, lease)
            return
        grant = LeaseGrant(evolve(lease), len(self._tasks), self._leaving, self.boot_id)
        resolve(message.reply, grant)

    @receives(StartAttempt)
    def _start_attempt(self, message: StartAttempt) -> None:
        attempt = message.attempt
        no_capacity = message.over_limit or self._faults.refuse_all
        decision = self._guard.admit(
            attempt, now_ms(), leaving=self._leaving, no_capacity=no_capacity
        )
        if isinstance(decision, Start):
            self._start(attempt, message.reply)
            return
        if isinstance(decision, Refusal):
            self._record("refused", attempt, code=decision.code, started=decision.started)
            resolve(message.reply, decision)
            return
        resolve(message.reply, self._make_delivery(decision))

    def _start(self, attempt: Attempt, reply: asyncio.Future[Delivery | Refusal]) -> None:
        work_ms, fails = attempt.work.run_ms * self._faults.slow_factor, attempt.work.fails
        if self._faults.fail_all:
            work_ms, fails = self._faults.fail_after_ms, True
        work_ms *= self.settings.time_scale
        task = Task(attempt, reply, work_ms, fails, now_ms())
        self._tasks[attempt.request_id] = task
        self._schedule(task)
        self._record("started", attempt)
        self._update_usage()

    def _record(self, event: str, attempt: Attempt, **fields: Any) -> None:
        self._history.write(
            event,
            request_id=attempt.request_id,
            attempt_id=attempt.attempt_id,
            team=attempt.team,
            incarnation=attempt.incarnation,
            guarded=attempt.guarded,
            **fields,
        )

    def _schedule(self, task: Task) -> None:
        if task.timer is not None:
            task.timer.cancel()
            task.timer = None
        if task.work_left_ms != float("inf"):
            delay_s = task.work_left_ms / task.speed / 1_000
            loop = asyncio.get_running_loop()
            task.timer = loop.call_later(delay_s, self.tell, EndTask(task))

    @staticmethod
    def _done_ms(task: Task) -> float:
        return task.done_ms + (now_ms() - task.resumed_at_ms) * task.speed

    @receives(EndTask)
    def _end_task(self, message: EndTask) -> None:
        request_id = message.task.attempt.request_id
        # A stop that was ahead of this message in the inbox has already ended the task.
        if self._tasks.get(request_id) is message.task:
            self._finish(request_id, "fail" if message.task.fails else "complete")

    def _finish(self, request_id: str, event: str) -> None:
        task = self._tasks.pop(request_id)
        if task.timer is not None:
            task.timer.cancel()
        body = {"echo": task.attempt.work.echo, "worker": self.name, "request_id": request_id}
        action_names = self._guard.end(request_id, event, body, now_ms())
        result = self._guard.find(request_id).result
        assert result is not None
        self._last_results = [*self._last_results[-1:], result]
        for name in action_names:
            actions.get(name)(self, task.attempt, result)
        delivery = self._make_delivery(result)
        resolve(task.reply, delivery)
        self._update_usage()
        self._check_idle()

    def _make_delivery(self, result: Result) -> Delivery:
        active_faults = self._faults
        late = self._random.random() < active_faults.late_ratio
        crossed = self._random.random() < active_faults.crossed_ratio
        truncated = self._random.random() < active_faults.truncated_ratio
        dropped = self._random.random() < active_faults.drop_ratio
        if crossed:
            others = [r for r in self._last_results if r.request_id != result.request_id]
            result = others[-1] if others else result
        delay_ms = active_faults.late_delay_ms if late else 0.0
        return Delivery(result, delay_ms, truncated, dropped)

    @receives(FindRequest)
    def _find_request(self, message: FindRequest) -> None:
        resolve(message.reply, self._view(message.request_id))

    @receives(FenceRequest)
    def _fence_request(self, message: FenceRequest) -> None:
        self._guard.fence_request(message.request_id)
        resolve(message.reply, self._view(message.request_id))

    @receives(FenceIncarnation)
    def _fence_incarnation(self, message: FenceIncarnation) -> None:
        running = self._guard.fence_incarnation(message.incarnation)
        views = [self._view(e.attempt.request_id) for e in running if e.attempt is not None]
        resolve(message.reply, views)

    @receives(GetUsage)
    def _get_usage(self, message: GetUsage) -> None:
        as_of_ms = now_ms() - self.settings.usage_lag_ms
        usage = self._usage.at(as_of_ms)
        cpu_ms = usage.cpu_ms + usage.speed * max(0.0, as_of_ms - usage.at_ms)
        resolve(message.reply, evolve(usage, cpu_ms=cpu_ms))

    @receives(ListTasks)
    def _list_tasks(self, message: ListTasks) -> None:
        resolve(message.reply, [self._view(request_id) for request_id in self._tasks])

    @receives(CheckpointTask)
    def _checkpoint_task(self, message: CheckpointTask) -> None:
        known = message.request_id in self._tasks
        resolve(message.reply, self._view(message.request_id) if known else None)

    @receives(ThrottleTask)
    def _throttle_task(self, message: ThrottleTask) -> None:
        task = self._tasks.get(message.request_id)
        if task is None:
            resolve(message.reply, None)
            return
        done_ms = self._done_ms(task)
        task.work_left_ms = max(0.0, task.work_left_ms - (done_ms - task.done_ms))
        task.done_ms, task.resumed_at_ms, task.speed = done_ms, now_ms(), message.ratio
        self._schedule(task)
        self._update_usage()
        resolve(message.reply, self._view(message.request_id))

    @receives(StopTask)
    def _stop_task(self, message: StopTask) -> None:
        if message.request_id not in self._tasks:
            resolve(message.reply, None)
            return
        self._finish(message.request_id, "stop")
        resolve(message.reply, self._view(message.request_id))

    @receives(Control)
    def _control(self, message: Control) -> None:
        boot_id = self.boot_id
        if message.boot_id not in ("", boot_id):
            resolve(message.reply, Refusal("other_boot"))
            return
        if message.event == "reboot":
            self._reboot_ms = message.duration_ms
        self._step(message.event)
        resolve(message.reply, {"state": self._state, "boot_id": boot_id})
        if message.event == "reboot" and not message.graceful:
            for request_id in list(self._tasks):
                self._finish(request_id, "stop")
        self._check_idle()

    def _check_idle(self) -> None:
        if not self._tasks and CHART.accepts(self._state, "tasks_ended"):
            self._step("tasks_ended")

    @actions.register("record_leaving")
    def _record_leaving(self) -> None:
        self._history.write("leaving")

    @actions.register("record_serving")
    def _record_serving(self) -> None:
        self._history.write("serving")

    @actions.register("go_down")
    def _go_down(self) -> None:
        self.spawn(self._reboot())

    async def _reboot(self) -> None:
        await self.listener.suspend()
        if self._faults.fail_reboot:
            return
        await asyncio.sleep(self._reboot_ms * self.settings.time_scale / 1_000)
        self.tell(RebootEnded())

    @receives(RebootEnded)
    async def _reboot_ended(self, _: RebootEnded) -> None:
        self._begin_boot(self._guard.highest_epoch)
        self._step("come_back")
        await self.listener.resume()

    @actions.register("record_rebooted")
    def _record_rebooted(self) -> None:
        self._history.write("rebooted", boot_id=self.boot_id)

    @actions.register("record_finished")
    def _record_finished(self, attempt: Attempt, result: Result) -> None:
        self._record("finished", attempt, status=result.status)

    @actions.register("record_cut")
    def _record_cut(self, attempt: Attempt, result: Result) -> None:
        self._record("cut", attempt, status=result.status)

    @receives(SetFault)
    def _set_fault(self, message: SetFault) -> None:
        try:
            self._faults = switch_fault(
                faults, self._faults, Faults(), message.fault, message.on, message.params
            )
        except (RegistryError, TypeError, ValueError) as error:
            resolve(message.reply, str(error))
            return
        self._history.write(
            "fault", fault=message.fault, on=message.on, params=dict(message.params)
        )
        resolve(message.reply, self._faults)

    @receives(GetState)
    def _get_state(self, message: GetState) -> None:
        state = {
            "name": self.name,
            "state": self._state,
            "boot_id": self.boot_id,
            "running": len(self._tasks),
            "guard_entries": len(self._guard.ended) + len(self._guard.running),
            "faults": self._faults,
        }
        resolve(message.reply, state)


WORKER = web.AppKey("worker", Worker)
routes = web.RouteTableDef()


def _refusal_response(refusal: Refusal, status: int = 409) -> web.Response:
    return json_response({"code": refusal.code, "started": refusal.started}, status)


def _result_body(result: Result) -> dict[str, Any]:
    return {
        "attempt_id": result.attempt_id,
        "request_id": result.request_id,
        "status": result.status,
        "body": result.body,
        "digest": result.digest,
    }


def _view_body(view: TaskView) -> dict[str, Any]:
    body: dict[str, Any] = {"state": view.state, "boot_id": view.boot_id}
    if view.attempt is not None:
        body |= {
            "attempt_id": view.attempt.attempt_id,
            "request_id": view.attempt.request_id,
            "team": view.attempt.team,
        }
    return body | (_result_body(view.result) if view.result is not None else {})


def _task_body(view: TaskView) -> dict[str, Any]:
    assert view.attempt is not None
    return {
        "request_id": view.attempt.request_id,
        "attempt_id": view.attempt.attempt_id,
        "team": view.attempt.team,
        "incarnation": view.attempt.incarnation,
        "started_at_ms": view.started_at_ms,
        "done_ms": view.done_ms,
    }


@web.middleware
async def _limit_connections(request: web.Request, handler: Any) -> web.StreamResponse:
    worker = request.app[WORKER]
    if request.path.startswith("/control/") or request.path == "/attempts":
        # The control paths are for tests and have no limit. Attempts beyond the limit are refused
        # by the guard, which knows whether an earlier attempt was started.
        return await handler(request)
    if worker.listener.is_over_limit(request, worker.settings.connection_limit_count):
        response = _refusal_response(Refusal("busy"), 503)
        response.force_close()
        return response
    return await handler(request)


@routes.post("/lease")
async def _lease(request: web.Request) -> web.Response:
    worker = request.app[WORKER]
    body = await read_json(request, "incarnation")
    grant = await ask(worker, RequestLease, str(body["incarnation"]))
    if isinstance(grant, Refusal):
        return _refusal_response(grant)
    response = {
        "epoch": grant.lease.epoch,
        "duration_ms": worker.settings.lease_ms,
        "slots": worker.settings.slot_count,
        "running": grant.running_count,
        "leaving": grant.leaving,
        "boot_id": grant.boot_id,
    }
    return json_response(response)


def _decode_attempt(body: dict[str, Any]) -> Attempt:
    payload = body.get("payload")
    fields: dict[str, Any] = payload if isinstance(payload, dict) else {"echo": payload}
    declared_run_ms = body.get("declared_run_ms") or 0.0
    run_ms = max(0.0, float(fields.get("run_ms", declared_run_ms)))
    work = Work(
        float("inf") if fields.get("never_ends") else run_ms,
        bool(fields.get("fail")),
        fields.get("echo"),
    )
    return Attempt(
        str(body["attempt_id"]),
        str(body["request_id"]),
        str(body["incarnation"]),
        int(body["lease_epoch"]),
        str(body["team"]),
        bool(body["guarded"]),
        work,
    )


@routes.post("/attempts")
async def _attempt(request: web.Request) -> web.StreamResponse:
    worker = request.app[WORKER]
    body = await read_json(
        request, "attempt_id", "request_id", "incarnation", "lease_epoch", "team", "guarded"
    )
    try:
        attempt = _decode_attempt(body)
    except (TypeError, ValueError) as error:
        return json_response({"code": "bad_request", "message": str(error)}, 400)
    over_limit = worker.listener.is_over_limit(request, worker.settings.connection_limit_count)
    delivery = await ask(worker, StartAttempt, attempt, over_limit)
    if isinstance(delivery, Refusal):
        response = _refusal_response(
            delivery, 503 if over_limit and delivery.code == "busy" else 409
        )
        if over_limit:
            response.force_close()
        return response
    if delivery.delay_ms:
        await asyncio.sleep(delivery.delay_ms / 1_000)
    if delivery.dropped:
        return drop_connection(request)
    if delivery.truncated:
        return await _truncate(request, json.dumps(_result_body(delivery.result)).encode())
    return json_response(_result_body(delivery.result))


async def _truncate(request: web.Request, data: bytes) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "application/json"})
    response.content_length = len(data)
    await response.prepare(request)
    await response.write(data[: len(data) // 2])
    drop_connection(request)
    return response


@routes.get("/guard/{request_id}")
async def _find(request: web.Request) -> web.Response:
    view = await ask(request.app[WORKER], FindRequest, request.match_info["request_id"])
    return json_response({"request_id": request.match_info["request_id"]} | _view_body(view))


@routes.post("/guard/fence")
async def _fence(request: web.Request) -> web.Response:
    worker = request.app[WORKER]
    body = await read_json(request)
    if "request_id" in body:
        view = await ask(worker, FenceRequest, str(body["request_id"]))
        return json_response({"request_id": body["request_id"]} | _view_body(view))
    if "incarnation" not in body:
        return json_response({"code": "bad_request", "missing": ["request_id", "incarnation"]}, 400)
    views = await ask(worker, FenceIncarnation, str(body["incarnation"]))
    running = [{"request_id": view.attempt.request_id, "team": view.attempt.team} for view in views]
    return json_response({"running": running, "boot_id": worker.boot_id})


@routes.get("/usage")
async def _usage(request: web.Request) -> web.Response:
    worker = request.app[WORKER]
    usage = await ask(worker, GetUsage)
    response = {
        "running": usage.running_count,
        "slots": worker.settings.slot_count,
        "leaving": usage.leaving,
        "cpu_ms_total": usage.cpu_ms,
    }
    return json_response(response)


@routes.get("/tasks")
async def _tasks(request: web.Request) -> web.Response:
    views = await ask(request.app[WORKER], ListTasks)
    return json_response({"tasks": [_task_body(view) for view in views]})


@routes.post("/tasks/{request_id}/{verb:checkpoint|throttle|stop}")
async def _act_on_task(request: web.Request) -> web.Response:
    worker, request_id = request.app[WORKER], request.match_info["request_id"]
    body = await read_json(request)
    if request.match_info["verb"] == "throttle":
        ratio = body.get("ratio")
        if not isinstance(ratio, int | float) or not 0 < ratio <= 1:
            return json_response({"code": "bad_request", "message": "ratio must be in (0, 1]"}, 400)
        view = await ask(worker, ThrottleTask, request_id, float(ratio))
    elif request.match_info["verb"] == "stop":
        view = await ask(worker, StopTask, request_id)
    else:
        view = await ask(worker, CheckpointTask, request_id)
    if view is None:
        return json_response({"code": "not_running"}, 404)
    return json_response(_task_body(view) | {"state": view.state})


@routes.post("/control/{event:drain|undrain|reboot}")
async def _control(request: web.Request) -> web.Response:
    body = await read_json(request)
    duration_ms = float(body.get("duration_ms", DEFAULT_REBOOT_MS))
    graceful = bool(body.get("graceful", True))
    event = request.match_info["event"]
    boot_id = str(body.get("boot_id", ""))
    value = await ask(request.app[WORKER], Control, event, duration_ms, graceful, boot_id)
    return _refusal_response(value, 412) if isinstance(value, Refusal) else json_response(value)


@routes.get("/control/state")
async def _state(request: web.Request) -> web.Response:
    return json_response(await ask(request.app[WORKER], GetState))


@routes.post("/control/faults")
async def _set_fault(request: web.Request) -> web.Response:
    params = await read_json(request, "fault", "on")
    name, on = params.pop("fault"), bool(params.pop("on"))
    value = await ask(request.app[WORKER], SetFault, name, on, params)
    if isinstance(value, str):
        return json_response({"code": "bad_fault", "message": value}, 400)
    return json_response(value)


def make_app(worker: Worker) -> web.Application:
    """Return the worker's HTTP application, which starts and stops the actor."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES, middlewares=[_limit_connections])
    app[WORKER] = worker
    app.add_routes(routes)

    async def run_actor(_: web.Application) -> Any:
        worker.start()
        yield
        await worker.stop()

    app.cleanup_ctx.append(run_actor)
    return app


def main(
    address: Annotated[
        str, typer.Option(help="IP:PORT to listen on; port 0 binds a free port.")
    ] = ("127.0.0.1:0"),
    name: Annotated[str, typer.Option(help="Name in responses and in the event file.")] = "worker",
    slots: Annotated[int, typer.Option(help="Tasks that may run at once.")] = 8,
    connections: Annotated[int, typer.Option(help="Open connections that are served.")] = 64,
    lease_ms: Annotated[float, typer.Option(help="Duration of a lease in ms.")] = 3_000.0,
    time_scale: Annotated[
        float, typer.Option(help="Factor on run times and reboots; 0.1 is ten times as fast.")
    ] = 1.0,
    usage_lag_ms: Annotated[float, typer.Option(help="Age of the reported usage in ms.")] = 500.0,
    history: Annotated[str, typer.Option(help="File to append events to.")] = "",
    seed: Annotated[int, typer.Option(help="Seed of injected faults.")] = 1,
) -> None:
    """Run the worker stand-in until SIGTERM."""
    settings = WorkerSettings(
        name, slots, connections, lease_ms, time_scale, usage_lag_ms, history, seed
    )

    async def run() -> None:
        listener = Worker(settings).listener
        await run_until_terminated(lambda: listener.open(address), listener.close)

    asyncio.run(run())


if __name__ == "__main__":
    typer.run(main)
