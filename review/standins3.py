"""Stand-ins of the users' platform for the cases 11 to 15: store, workers, machines and client.

They speak the users' protocol over HTTP on loopback addresses. The store is the project's own
stand-in, with the limits of the settings added. Whatever the pages leave open they do as a sound
server would.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

from standins.store import StoreStandin, _decode_records

HOLD_MAX_MS = 6_000
STOP_MS = 200
SILENCE_S = 5.0
SAVE_MS = 500
RESTORE_MS = 600
CALL_BYTES = 2_097_152
RECORD_BYTES = 262_144


def json_response(data: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=json.dumps(data).encode(), content_type="application/json"
    )


class Server:
    """An HTTP listener on a loopback address."""

    def __init__(self, handler: Callable[[web.BaseRequest], Any]) -> None:
        self._handler = handler
        self._runner: web.ServerRunner | None = None
        self.address = ""

    async def open(self, address: str = "127.0.0.1:0") -> str:
        self._runner = web.ServerRunner(web.Server(self._handler), shutdown_timeout=0.05)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        site = web.TCPSite(self._runner, host, int(port), backlog=512)
        await site.start()
        self.address = "{}:{}".format(*site._server.sockets[0].getsockname()[:2])
        return self.address

    async def close(self) -> None:
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class Store(StoreStandin):
    """The project's stand-in of the store; refuses records and calls above the page's limits."""

    async def _append(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if len(body) > CALL_BYTES:
            return web.Response(status=413)
        if any(len(key) + len(value) + 1 > RECORD_BYTES for key, value in _decode_records(body)):
            return web.Response(status=413)
        return await super()._append(request)


class Worker:
    """A sound worker: leases, fences, room, ends, as PROTOCOL.md tells them.

    The text of a job says how long a task works and what it takes: ``{"ms": 800, "cpu": 500}``, and
    with ``"saves"`` how many characters the checkpoint has that it renews with each ``save-s``;
    ``"how"`` names another end than ``done``.
    """

    def __init__(
        self, worker_id: str, pool: str, store: Store, record: Any, cpu: int = 16_000
    ) -> None:
        self.worker_id, self.pool, self.store, self.record = worker_id, pool, store, record
        self.cpu, self.memory_mb = cpu, 65_536
        self.server = Server(self.handle)
        self.born = 0
        self.sequence = 0
        self.draining = False
        self.address = ""
        # Share of the orders that get no answer and are carried out late, and how late.
        self.late_share = 0.0
        self.late_s = (2.0, 12.0)
        self.late_start_count = 0
        self._first_clock_s = random.uniform(20.0, 50.0)
        self.is_cut = False
        self._beat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._begin_life()
        self.address = await self.server.open(self.address or "127.0.0.1:0")
        self._beat = asyncio.ensure_future(self._heartbeat())

    def _begin_life(self) -> None:
        self.is_up = True
        self.born = int(time.time() * 1_000)
        # The clock starts anew with each life.
        self._zero_s = time.monotonic() - self._first_clock_s
        self._first_clock_s = 0.0
        self.token = 0
        self.until_ms = 0.0
        self.runs: dict[str, dict[str, Any]] = {}
        self.gone: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.end_count = 0
        self.changed = asyncio.Event()
        # Ends that are not taken note of, and those whose lease has lapsed since.
        self.open_ends: dict[int, list[Any]] = {}
        self.lapsed_ends: set[int] = set()

    async def _heartbeat(self) -> None:
        while True:
            self.sequence += 1
            if not self.is_up:
                await asyncio.sleep(0.1)
                continue
            self.store.put("keyed.servers", self.worker_id, self.entry())
            await asyncio.sleep(1.5)

    def entry(self) -> dict[str, Any]:
        return {
            "backend": self.pool,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "phase": "draining" if self.draining else "ready",
            "capacity": {"cpu": self.cpu, "mem-mb": self.memory_mb, "gpu": 0},
            "labels": ["a", "r1-1"],
            "born": self.born,
            "sequence": self.sequence,
        }

    def drain(self) -> None:
        """Report that the worker is about to leave; it serves on."""
        self.draining = True
        self.sequence += 1
        self.store.put("keyed.servers", self.worker_id, self.entry())
        self.record("worker drains", worker=self.worker_id, runs=len(self.runs))

    async def leave(self) -> None:
        """End as a worker that was emptied; what still runs on it terminates."""
        if self._beat is not None:
            self._beat.cancel()
        self.store.put("keyed.servers", self.worker_id, None)
        self.record("worker leaves", worker=self.worker_id, runs=len(self.runs))
        self.runs.clear()
        await self.server.close()

    def used_cpu(self) -> int:
        self._advance()
        return sum(run["cpu"] for run in self.runs.values())

    async def stop(self) -> None:
        if self._beat is not None:
            self._beat.cancel()
        await self.server.close()

    def clock_ms(self) -> int:
        return int((time.monotonic() - self._zero_s) * 1_000)

    def _advance(self) -> None:
        now_ms = self.clock_ms()
        for run in list(self.runs.values()):
            if run["stop_ms"] and now_ms >= run["stop_ms"]:
                self._end(run, "stopped")
            elif now_ms >= run["end_ms"]:
                self._end(run, run["how"])
            elif now_ms > self.until_ms:
                self._end(run, "lapsed")

    def _end(self, run: dict[str, Any], how: str) -> None:
        self.runs.pop(run["task"], None)
        self.gone[run["task"]] = max(self.gone.get(run["task"], 0), run["run"])
        self.end_count += 1
        saved = "" if how == "done" else self._saved(run, how == "stopped")
        self.ends.append([self.end_count, run["task"], run["run"], how, saved])
        self.open_ends[self.end_count] = [run["task"], run["run"], how]
        self.record("end", worker=self.worker_id, task=run["task"], run=run["run"], how=how)
        self.changed.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("Expect-Instance", self.worker_id) != self.worker_id:
            return web.Response(status=421)
        data = json.loads(await request.read())
        if self.is_cut:
            await asyncio.sleep(SILENCE_S)
            return web.Response(status=503)
        is_order = request.path in ("/run-start", "/run-stop")
        if is_order and random.random() < self.late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(random.uniform(*self.late_s), self._carry_out_late, request.path, data)
            self.late_start_count += request.path == "/run-start"
            self.record("order left", worker=self.worker_id, path=request.path, task=data["task"])
            await asyncio.sleep(SILENCE_S)
            return web.Response(status=503)
        self._advance()
        if data.get("fencing-token", 0) < self.token:
            return self._refuse("fence")
        self.token = data.get("fencing-token", 0)
        if request.path == "/run-start":
            return self._start(data)
        if request.path == "/run-stop":
            return self._stop(data)
        if request.path == "/hold":
            return await self._hold(data)
        if request.path == "/pace":
            return json_response({"clock-ms": self.clock_ms()})
        return web.Response(status=404)

    def _carry_out_late(self, path: str, data: dict[str, Any]) -> None:
        """Carry out an order that got no answer, also one that was meant for the life before."""
        self.late_start_count -= path == "/run-start"
        if not self.is_up:
            return
        self._advance()
        status = 409
        if data.get("fencing-token", 0) >= self.token:
            self.token = data.get("fencing-token", 0)
            order = self._start if path == "/run-start" else self._stop
            status = order(data).status
        self.record(
            "order carried out late",
            worker=self.worker_id,
            path=path,
            task=data["task"],
            run=data["run"],
            status=status,
        )

    def crash(self) -> None:
        """End the process; it runs nothing and knows nothing of before when it starts again."""
        self.is_up = False
        self.record("worker crashes", worker=self.worker_id, runs=len(self.runs))
        self.runs.clear()
        self.ends.clear()

    def start_again(self) -> None:
        """Start under the same id and address, and register."""
        self._begin_life()
        self.sequence += 1
        self.store.put("keyed.servers", self.worker_id, self.entry())
        self.record("worker starts again", worker=self.worker_id, born=self.born)

    def _refuse(self, reason: str) -> web.Response:
        return json_response({"clock-ms": self.clock_ms(), "reason": reason}, 409)

    def _extend(self, data: dict[str, Any]) -> None:
        if self.clock_ms() > self.until_ms:
            self.lapsed_ends |= self.open_ends.keys()
        if "until-ms" in data:
            until_ms = min(data["until-ms"], self.clock_ms() + HOLD_MAX_MS)
            self.until_ms = max(self.until_ms, until_ms)

    def _start(self, data: dict[str, Any]) -> web.StreamResponse:
        task, number = data["task"], data["run"]
        if data["until-ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(data)
        current = self.runs.get(task)
        if current is not None and current["run"] == number:
            return json_response({"clock-ms": self.clock_ms()})
        if number <= self.gone.get(task, 0) or current is not None:
            return self._refuse("old")
        spec = json.loads(data["spec"])
        if sum(run["cpu"] for run in self.runs.values()) + spec["cpu"] > self.cpu:
            return self._refuse("room")
        now_ms = self.clock_ms()
        left_ms = spec["ms"]
        if data.get("checkpoint"):
            left_ms = max(1, left_ms - int(data["checkpoint"][:10])) + RESTORE_MS
        self.runs[task] = {
            "task": task,
            "run": number,
            "cpu": spec["cpu"],
            "from_ms": now_ms,
            "end_ms": now_ms + left_ms,
            "work_ms": spec["ms"],
            "saves": spec.get("saves", 0),
            "how": spec.get("how", "done"),
            "resumed": data.get("checkpoint", ""),
            "stop_ms": 0,
        }
        self.record("start", worker=self.worker_id, task=task, run=number, token=self.token)
        asyncio.get_running_loop().call_later(left_ms / 1_000 + 0.003, self._advance)
        return json_response({"clock-ms": now_ms})

    def _saved(self, run: dict[str, Any], stopped: bool = False) -> str:
        """Return the checkpoint: the work done in ms, and what else the task has to keep."""
        if not run["saves"]:
            return ""
        worked_ms = run["work_ms"] - max(0, run["end_ms"] - self.clock_ms())
        if not stopped:
            worked_ms -= worked_ms % SAVE_MS
        if worked_ms < SAVE_MS:
            return run["resumed"]
        return f"{worked_ms:010d}".ljust(run["saves"], "c")

    def _stop(self, data: dict[str, Any]) -> web.StreamResponse:
        task, number = data["task"], data["run"]
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            run["stop_ms"] = run["stop_ms"] or self.clock_ms() + STOP_MS // 2
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 2_000 + 0.003, self._advance)
        else:
            self.gone[task] = max(self.gone.get(task, 0), number)
        return json_response({"clock-ms": self.clock_ms()})

    async def _hold(self, data: dict[str, Any]) -> web.StreamResponse:
        self._extend(data)
        cursor = data.get("ack-cursor", 0)
        self.ends = [row for row in self.ends if row[0] > cursor]
        for number in [number for number in self.open_ends if number <= cursor]:
            task, run, how = self.open_ends.pop(number)
            lapsed = number in self.lapsed_ends
            self.record("noted", worker=self.worker_id, task=task, run=run, how=how, lapsed=lapsed)
        if not self.ends and data.get("wait-ms"):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), data["wait-ms"] / 1_000)
            except TimeoutError:
                pass
            self._advance()
        now_ms = self.clock_ms()
        running = [
            [r["task"], r["run"], self._saved(r), self._percent(r, now_ms), r["cpu"]]
            for r in self.runs.values()
            if not r["stop_ms"]
        ]
        return json_response(
            {
                "clock-ms": now_ms,
                "born": self.born,
                "running": running,
                "finished": self.ends[:500],
            }
        )

    @staticmethod
    def _percent(run: dict[str, Any], now_ms: int) -> int:
        span_ms = max(1, run["end_ms"] - run["from_ms"])
        return min(99, 100 * (now_ms - run["from_ms"]) // span_ms)


class Machines:
    """The platform's interface for machines: lists one machine for each worker, all up."""

    def __init__(self, workers: list[Worker]) -> None:
        self._workers = workers
        self.server = Server(self.handle)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/machines":
            return json_response({"reason": "busy"}, 409)
        return json_response(
            {
                "machines": [
                    {
                        "host-machine": f"m-{worker.worker_id}",
                        "pool": worker.pool,
                        "phase": "up",
                        "zone": "zone-a",
                        "labels": ["a", "r1-1"],
                        "capacity": {"cpu": worker.cpu, "mem-mb": worker.memory_mb, "gpu": 0},
                        "id": worker.worker_id,
                    }
                    for worker in self._workers
                ]
            }
        )


class Client:
    """A client of the ingress: it retries elsewhere, up to four times, as the sheets tell."""

    def __init__(self, fronts: Callable[[], list[str]], host: str, key: str) -> None:
        self._fronts, self._host, self._key = fronts, host, key
        self._session: aiohttp.ClientSession | None = None

    async def call(
        self, method: str, path: str, body: Any = None, deadline_ms: int = 3_000, tries: int = 5
    ) -> tuple[int, Any]:
        """Return status and body; status 0 if no try got an answer that settles the matter."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(connector=connector)
        headers = {
            "Host": self._host,
            "Api-Key": self._key,
            "Deadline-Ms": str(deadline_ms),
            "Content-Type": "application/json",
        }
        fronts = self._fronts()
        random.shuffle(fronts)
        status, content = 0, None
        for number in range(tries):
            if not fronts:
                await asyncio.sleep(0.5)
                fronts = self._fronts()
                continue
            url = f"http://{fronts[number % len(fronts)]}{path}"
            data = None if body is None else json.dumps(body).encode()
            try:
                async with self._session.request(
                    method,
                    url,
                    data=data,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=deadline_ms / 1_000),
                ) as response:
                    status, raw = response.status, await response.read()
                    content = json.loads(raw) if raw else None
            except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
                status, content = 0, None
            if status and status not in (429, 502, 503, 504):
                return status, content
            await asyncio.sleep(min(1.0, 0.2 * 2**number))
        return status, content

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
