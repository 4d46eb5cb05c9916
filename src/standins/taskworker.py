"""Stand-in for a worker that runs tasks under leases, over the worker's HTTP protocol."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web
from attrs import Factory, define

LEASE_MAX_MS = 6_000


@define
class Run:
    """A run in progress, which ends with ``outcome`` at ``end_ms``.

    :param saved: progress that it has saved, empty for none.
    """

    task: str
    run: int
    end_ms: float
    outcome: str
    percent: int = 100
    saved: str = ""


@define
class WorkerFaults:
    """Injected faults in force.

    :param silent: whether calls get no response.
    :param lose_start_count: number of next starts that are carried out but get no response.
    :param lose_pace_count: number of next orders for a pace that get no response.
    :param outcome: outcome of runs that are started from now on.
    :param refuse_start_count: number of next starts that are refused for lack of room.
    :param start_delay_ms: delay of the response to a start.
    :param stalled: whether runs that are started from now on make no progress.
    :param stop_ms: duration of a stop, during which the run is listed neither as running nor as
        finished.
    :param bodies: response body to calls to a path, which are carried out first, by path.
    """

    silent: bool = False
    lose_start_count: int = 0
    lose_pace_count: int = 0
    refuse_start_count: int = 0
    outcome: str = "done"
    stop_ms: float = 0.0
    start_delay_ms: float = 0.0
    stalled: bool = False
    bodies: dict[str, bytes] = Factory(dict)


@define
class TaskWorker:
    """The worker: its runs, its lease and the handlers of its calls.

    :param work_ms: duration of a run; with 0 a run does not end by itself.
    :param stagger_ms: additional duration of a run for each run already in progress.
    :param fencing_token: highest fencing token seen.
    :param started_ms: start time of the worker process, which identifies it.
    :param until_ms: end of the lease on the worker's clock.
    :param clock_offset_ms: difference of the first incarnation's clock from this process's; the
        clocks of the later ones start at 0.
    :param last_ended_runs: highest ended or stopped run number of each task.
    :param unacknowledged_ends: ends, as (sequence number, task, run, outcome, saved progress).
    :param ends: all ends, as (task, run, outcome).
    :param starts: all starts carried out, as (task, run, token).
    :param checkpoints: progress with which runs were started, as (task, run, saved progress).
    :param stopping: tasks whose run is being stopped.
    :param register: writes its registration to the store.
    """

    cpu_millicores: int = 16_000
    work_ms: float = 30.0
    stagger_ms: float = 0.0
    fencing_token: int = 0
    started_ms: int = 1
    until_ms: float = 0.0
    clock_offset_ms: float = 0.0
    runs: dict[str, Run] = Factory(dict)
    last_ended_runs: dict[str, int] = Factory(dict)
    unacknowledged_ends: list[tuple[int, str, int, str, str]] = Factory(list)
    ended_count: int = 0
    ends: list[tuple[str, int, str]] = Factory(list)
    acknowledged: int = 0
    starts: list[tuple[str, int, int]] = Factory(list)
    checkpoints: list[tuple[str, int, str]] = Factory(list)
    specs: dict[str, str] = Factory(dict)
    tickets: dict[str, str] = Factory(dict)
    stopping: set[str] = Factory(set)
    paces: list[tuple[str, int]] = Factory(list)
    faults: WorkerFaults = Factory(WorkerFaults)
    changed: asyncio.Event = Factory(asyncio.Event)
    register: Callable[[], None] = lambda: None

    def clock_ms(self) -> int:
        """Return the time of the monotonic clock of this incarnation."""
        return int(time.monotonic() * 1_000 + self.clock_offset_ms)

    def restart(self, registers: bool = True) -> None:
        """Simulate a restart of the process, which loses runs, lease, clock and fencing token.

        :param registers: whether it registers at once, as a worker does.
        """
        self.started_ms += 1
        self.clock_offset_ms = -time.monotonic() * 1_000
        self.until_ms = 0.0
        self.fencing_token = self.ended_count = self.acknowledged = 0
        self.runs.clear()
        self.last_ended_runs.clear()
        self.unacknowledged_ends.clear()
        if registers:
            self.register()

    def finish(self, task: str, outcome: str = "done") -> None:
        """End the run of a task now."""
        self._end(self.runs[task], outcome)

    def _advance(self) -> None:
        now_ms = self.clock_ms()
        for run in list(self.runs.values()):
            if run.end_ms <= now_ms:
                self._end(run, run.outcome)
        if self.runs and self.until_ms and now_ms > self.until_ms:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _end(self, run: Run, run_outcome: str) -> None:
        del self.runs[run.task]
        self.last_ended_runs[run.task] = run.run
        self.ended_count += 1
        self.ends.append((run.task, run.run, run_outcome))
        self.unacknowledged_ends.append(
            (self.ended_count, run.task, run.run, run_outcome, run.saved)
        )
        self.changed.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle an HTTP request."""
        if self.faults.silent:
            await asyncio.sleep(60)
        data = json.loads(await request.read())
        self._advance()
        token = data.get("fencing-token", 0)
        if token < self.fencing_token:
            return self._refuse("fence")
        self.fencing_token = token
        if data.get("until-ms"):
            until_ms = min(data["until-ms"], self.clock_ms() + LEASE_MAX_MS)
            self.until_ms = max(self.until_ms, until_ms)
        handlers = {"/run-start": self._start, "/run-stop": self._stop, "/hold": self._hold}
        if request.path == "/pace":
            self.paces.append((data["task"], data["percent"]))
            if self.faults.lose_pace_count:
                self.faults.lose_pace_count -= 1
                assert request.transport is not None
                request.transport.abort()
            return _json_response({"clock-ms": self.clock_ms()})
        response = await handlers[request.path](request, data)
        if request.path in self.faults.bodies:
            return web.Response(body=self.faults.bodies[request.path])
        return response

    def _refuse(self, reason: str) -> web.Response:
        return _json_response({"clock-ms": self.clock_ms(), "reason": reason}, 409)

    async def _start(self, request: web.BaseRequest, data: Any) -> web.StreamResponse:
        task, run_number = data["task"], data["run"]
        if self.faults.refuse_start_count:
            self.faults.refuse_start_count -= 1
            return self._refuse("room")
        current = self.runs.get(task)
        if current is None or current.run != run_number:
            if run_number <= self.last_ended_runs.get(task, 0):
                return self._refuse("old")
            work_ms = self.work_ms + self.stagger_ms * len(self.runs)
            endless = not self.work_ms or self.faults.stalled
            end_ms = float("inf") if endless else self.clock_ms() + work_ms
            percent = 0 if self.faults.stalled else 100
            self.runs[task] = Run(task, run_number, end_ms, self.faults.outcome, percent)
            self.starts.append((task, run_number, self.fencing_token))
            self.checkpoints.append((task, run_number, data.get("checkpoint", "")))
            self.specs[task] = data["spec"]
            self.tickets[task] = data.get("ticket", "")
            if self.work_ms:
                loop = asyncio.get_running_loop()
                loop.call_later(work_ms / 1_000 + 0.002, self._advance)
        if self.faults.start_delay_ms:
            await asyncio.sleep(self.faults.start_delay_ms / 1_000)
        if self.faults.lose_start_count:
            self.faults.lose_start_count -= 1
            assert request.transport is not None
            request.transport.abort()
        return _json_response({"clock-ms": self.clock_ms()})

    async def _stop(self, request: web.BaseRequest, data: Any) -> web.StreamResponse:
        run = self.runs.get(data["task"])
        if run is not None and run.run == data["run"]:
            self.stopping.add(run.task)
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.stop_ms / 1_000, self._stopped, run)
        else:
            self.last_ended_runs[data["task"]] = max(
                self.last_ended_runs.get(data["task"], 0), data["run"]
            )
        return _json_response({"clock-ms": self.clock_ms()})

    def _stopped(self, run: Run) -> None:
        self.stopping.discard(run.task)
        self._end(run, "stopped")

    async def _hold(self, request: web.BaseRequest, data: Any) -> web.StreamResponse:
        self.acknowledged = max(self.acknowledged, data.get("ack-cursor", 0))
        self.unacknowledged_ends = [
            row for row in self.unacknowledged_ends if row[0] > self.acknowledged
        ]
        if not self.unacknowledged_ends and data.get("wait-ms"):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), data["wait-ms"] / 1_000)
            except TimeoutError:
                pass
            self._advance()
        running = [
            [run.task, run.run, run.saved, run.percent, 0]
            for run in self.runs.values()
            if run.task not in self.stopping
        ]
        response = {
            "clock-ms": self.clock_ms(),
            "born": self.started_ms,
            "running": running,
            "finished": [list(row) for row in self.unacknowledged_ends],
        }
        return _json_response(response)


def _json_response(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(data).encode(), content_type="application/json"
    )
