"""Stand-in for the platform: an append-only log and a VM list that lags behind changes."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from typing import Annotated, Any

import aiohttp
import typer
from aiohttp import web
from attrs import evolve, field, frozen

from tarragoncart.errors import RegistryError
from tarragoncart.mailbox import Actor, receives, resolve
from tarragoncart.registry import Registry

from .log import Page, RateCap, Stream
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

VM_CHART = load_chart("vm")
VM_ACTIONS = ("drain", "undrain", "reboot")
WORKER_TIMEOUT_S = 2.0
REBOOT_POLL_S = 0.1
PRECONDITION_FAILED = 412
# Address on which nothing listens.
UNREACHABLE_ADDRESS = "127.0.0.1:1"
READ_LIMIT_COUNT = 1_000
READ_WAIT_MAX_MS = 60_000

faults: Registry[FaultFunction] = Registry("platform fault")


@frozen
class Vm:
    """A VM as registered with the platform; ``state`` is a state of the VM chart."""

    name: str
    address: str
    state: str = VM_CHART.initial


@frozen
class Faults:
    """Injected faults in force; the defaults are the behaviour without faults.

    :param outage: whether the log refuses all calls.
    :param delay_ms: delay of each call to the log.
    :param lose_answers_ratio: share of appends that are applied but get no response.
    :param record_count: number of records that each stream keeps, None for all.
    :param lag_ms: age of the VM list that is returned.
    :param hidden: names of VMs that the list leaves out.
    :param added: VMs that the list contains in addition.
    :param per_s: appends that are accepted per second, over all streams.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers_ratio: float = 0.0
    record_count: int | None = None
    lag_ms: float = 1_000.0
    hidden: tuple[str, ...] = ()
    added: tuple[Vm, ...] = ()
    per_s: float = 300.0


@faults.register("outage")
def _outage() -> dict[str, Any]:
    return {"outage": True}


@faults.register("slow")
def _slow(delay_ms: float = 500.0) -> dict[str, Any]:
    return {"delay_ms": float(delay_ms)}


@faults.register("lose_answers")
def _lose_answers(ratio: float = 1.0) -> dict[str, Any]:
    return {"lose_answers_ratio": float(ratio)}


@faults.register("retention")
def _retention(record_count: int = 100) -> dict[str, Any]:
    return {"record_count": int(record_count)}


@faults.register("vm_list_lag")
def _vm_list_lag(lag_ms: float = 5_000.0) -> dict[str, Any]:
    return {"lag_ms": float(lag_ms)}


@faults.register("wrong_vm_list")
def _wrong_vm_list(
    hidden: Iterable[str] = (), added: Iterable[str | Mapping[str, str]] = ()
) -> dict[str, Any]:
    vms = (Vm(vm, UNREACHABLE_ADDRESS) if isinstance(vm, str) else Vm(**vm) for vm in added)
    return {"hidden": tuple(hidden), "added": tuple(vms)}


@faults.register("rate_cap")
def _rate_cap(per_s: float = 300.0) -> dict[str, Any]:
    return {"per_s": float(per_s)}


@frozen
class Problem:
    """Error response to a call, with an error code and an explanation."""

    code: str
    message: str = ""


@frozen
class Appended:
    """Outcome of an append.

    :param answered: false if the response is to be dropped.
    """

    first_offset: int
    end_offset: int
    answered: bool


@frozen
class Append:
    """Append records to a stream, all of them or none."""

    stream: str
    records: list[Any]
    reply: asyncio.Future[Appended | Problem]


@frozen(eq=False)
class Read:
    """Read a stream, waiting up to ``wait_ms`` for a record at or past the offset."""

    stream: str
    from_offset: int
    limit_count: int
    wait_ms: float
    reply: asyncio.Future[Page | Problem]


@frozen
class ReadTimedOut:
    """The wait time of a read has elapsed."""

    read: Read


@frozen
class GetDelay:
    """Return the injected delay of a call to the log, in ms."""

    reply: asyncio.Future[float]


@frozen
class ListVms:
    """Return the VM list with its lag and injected errors."""

    reply: asyncio.Future[list[Vm]]


@frozen
class PutVm:
    """Add a VM or change its address."""

    name: str
    address: str
    reply: asyncio.Future[Vm]


@frozen
class DeleteVm:
    """Remove a VM."""

    name: str
    reply: asyncio.Future[Vm | Problem]


@frozen
class ActOnVm:
    """Drain, undrain or reboot a VM."""

    name: str
    action: str
    params: Mapping[str, Any]
    reply: asyncio.Future[Vm | Problem]


@frozen
class VmReturned:
    """A VM has come back from its reboot."""

    name: str
    address: str


@frozen
class SetFault:
    """Switch an injected fault on or off."""

    fault: str
    on: bool
    params: Mapping[str, Any]
    reply: asyncio.Future[Faults | Problem]


@frozen
class GetState:
    """Return the state of the stand-in for inspection."""

    reply: asyncio.Future[dict[str, Any]]


@frozen
class PlatformSettings:
    """Settings of the platform stand-in.

    :param history: path of the event file, empty for none.
    :param seed: seed of the random numbers that injected faults draw.
    :param default_faults: behaviour without injected faults.
    """

    name: str = "platform"
    history: str = ""
    seed: int = 1
    default_faults: Faults = field(factory=Faults)


class Platform(Actor):
    """Actor that owns the streams, the VM list and the injected faults."""

    def __init__(self, settings: PlatformSettings) -> None:
        super().__init__(settings.name)
        self._history = History(settings.history, "platform", settings.name)
        self._random = random.Random(settings.seed)
        self._default_faults = settings.default_faults
        self._faults = settings.default_faults
        self._streams: dict[str, Stream] = defaultdict(Stream)
        self._waiting_reads: dict[str, list[Read]] = defaultdict(list)
        self._rate_cap = RateCap()
        self._vms: dict[str, Vm] = {}
        self._vm_list: Lagged[tuple[Vm, ...]] = Lagged(())
        self._counts: Counter[str] = Counter()
        self._session: aiohttp.ClientSession

    async def on_open(self) -> None:
        """Open the HTTP session to the workers."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=WORKER_TIMEOUT_S),
            # A pooled connection to a worker that has rebooted would make the next call fail.
            connector=aiohttp.TCPConnector(force_close=True),
        )

    async def on_close(self) -> None:
        """Close the session and the history."""
        await self._session.close()
        self._history.close()

    @receives(Append)
    def _append(self, message: Append) -> None:
        if self._faults.outage:
            resolve(message.reply, self._refuse("outage"))
            return
        if not self._rate_cap.accept(now_ms(), self._faults.per_s):
            resolve(
                message.reply, self._refuse("rate_cap", f"limit of {self._faults.per_s} appends/s")
            )
            return
        stream = self._streams[message.stream]
        first = stream.append(message.records)
        answered = self._random.random() >= self._faults.lose_answers_ratio
        self._counts["appended"] += 1
        self._counts["lost_answers"] += not answered
        self._history.write(
            "append",
            stream=message.stream,
            first_offset=first,
            count=len(message.records),
            records=message.records,
            answered=answered,
        )
        resolve(message.reply, Appended(first, stream.end_offset, answered))
        self._wake_readers(message.stream)
        self._apply_retention()

    def _refuse(self, code: str, message: str = "") -> Problem:
        self._counts[code] += 1
        return Problem(code, message)

    def _wake_readers(self, name: str) -> None:
        waiting = self._waiting_reads.pop(name, [])
        for read in waiting:
            if not self._reply_if_ready(read):
                self._waiting_reads[name].append(read)

    def _reply_if_ready(self, read: Read) -> bool:
        stream = self._streams[read.stream]
        if read.from_offset >= stream.end_offset:
            return False
        resolve(read.reply, stream.read(read.from_offset, read.limit_count))
        return True

    def _apply_retention(self) -> None:
        if self._faults.record_count is not None:
            for stream in self._streams.values():
                stream.retain(self._faults.record_count)

    @receives(Read)
    def _read(self, message: Read) -> None:
        if self._faults.outage:
            resolve(message.reply, self._refuse("outage"))
        elif not self._reply_if_ready(message):
            self._waiting_reads[message.stream].append(message)
            loop = asyncio.get_running_loop()
            loop.call_later(message.wait_ms / 1_000, self.tell, ReadTimedOut(message))

    @receives(ReadTimedOut)
    def _read_timed_out(self, message: ReadTimedOut) -> None:
        read = message.read
        if read in self._waiting_reads[read.stream]:
            self._waiting_reads[read.stream].remove(read)
            page = self._streams[read.stream].read(read.from_offset, read.limit_count)
            resolve(read.reply, page)

    @receives(GetDelay)
    def _get_delay(self, message: GetDelay) -> None:
        resolve(message.reply, self._faults.delay_ms)

    @receives(ListVms)
    def _list_vms(self, message: ListVms) -> None:
        listed = {vm.name: vm for vm in self._vm_list.at(now_ms() - self._faults.lag_ms)}
        for name in self._faults.hidden:
            listed.pop(name, None)
        added = {vm.name: vm for vm in self._faults.added}
        resolve(message.reply, list((listed | added).values()))

    @receives(PutVm)
    def _put_vm(self, message: PutVm) -> None:
        vm = self._vms.get(message.name)
        if vm is None or vm.address != message.address:
            # A changed address means that a new VM replaces the old one, so it is not leaving.
            vm = Vm(message.name, message.address)
            self._change_vm(vm)
        resolve(message.reply, vm)

    @receives(DeleteVm)
    def _delete_vm(self, message: DeleteVm) -> None:
        vm = self._vms.pop(message.name, None)
        if vm is None:
            resolve(message.reply, Problem("unknown_vm", message.name))
            return
        self._publish_vms(evolve(vm, state="removed"))
        resolve(message.reply, vm)

    def _change_vm(self, vm: Vm) -> None:
        if self._vms.get(vm.name) != vm:
            self._vms[vm.name] = vm
            self._publish_vms(vm)

    def _publish_vms(self, changed: Vm) -> None:
        self._vm_list.push(now_ms(), tuple(self._vms.values()))
        self._history.write("vm", vm=changed.name, address=changed.address, state=changed.state)

    @receives(ActOnVm)
    def _act_on_vm(self, message: ActOnVm) -> None:
        vm = self._vms.get(message.name)
        if vm is None:
            resolve(message.reply, Problem("unknown_vm", message.name))
            return
        previous = vm
        vm = evolve(vm, state=VM_CHART.step(vm.state, message.action).state)
        self._change_vm(vm)
        self.spawn(self._call_worker(vm, previous, message))

    async def _call_worker(self, vm: Vm, previous: Vm, message: ActOnVm) -> None:
        url = f"http://{vm.address}/control/{message.action}"
        try:
            async with self._session.post(url, json=dict(message.params)) as response:
                body = await response.json()
                refused = response.status == PRECONDITION_FAILED
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            problem = Problem("worker_unreachable", f"{vm.name} {vm.address}: {error!r}")
            resolve(message.reply, problem)
            return
        if refused:
            if previous.state == VM_CHART.initial:
                self.tell(VmReturned(vm.name, vm.address))
            resolve(message.reply, Problem("other_boot", f"{vm.name} {vm.address}"))
            return
        resolve(message.reply, vm)
        if message.action == "reboot":
            await self._wait_for_reboot(vm, body.get("boot_id"))

    async def _wait_for_reboot(self, vm: Vm, old_boot_id: str) -> None:
        # A VM that does not return from its reboot is polled until it is removed.
        while vm.name in self._vms:
            await asyncio.sleep(REBOOT_POLL_S)
            try:
                async with self._session.get(f"http://{vm.address}/control/state") as response:
                    boot_id = (await response.json()).get("boot_id")
            except (aiohttp.ClientError, TimeoutError, ValueError):
                continue
            if boot_id not in (None, old_boot_id):
                self.tell(VmReturned(vm.name, vm.address))
                return

    @receives(VmReturned)
    def _vm_returned(self, message: VmReturned) -> None:
        vm = self._vms.get(message.name)
        if vm is not None and vm.address == message.address:
            self._change_vm(evolve(vm, state=VM_CHART.step(vm.state, "returned").state))

    @receives(SetFault)
    def _set_fault(self, message: SetFault) -> None:
        try:
            self._faults = switch_fault(
                faults,
                self._faults,
                self._default_faults,
                message.fault,
                message.on,
                message.params,
            )
        except (RegistryError, TypeError, ValueError) as error:
            resolve(message.reply, Problem("bad_fault", str(error)))
            return
        self._history.write(
            "fault", fault=message.fault, on=message.on, params=dict(message.params)
        )
        self._apply_retention()
        if self._faults.outage:
            for read in [read for reads in self._waiting_reads.values() for read in reads]:
                resolve(read.reply, self._refuse("outage"))
            self._waiting_reads.clear()
        resolve(message.reply, self._faults)

    @receives(GetState)
    def _get_state(self, message: GetState) -> None:
        streams = {
            name: {"start_offset": stream.start_offset, "end_offset": stream.end_offset}
            for name, stream in self._streams.items()
        }
        state = {
            "streams": streams,
            "vms": list(self._vms.values()),
            "faults": self._faults,
            "counts": dict(self._counts),
            "waiting_reads": sum(map(len, self._waiting_reads.values())),
        }
        resolve(message.reply, state)


PLATFORM = web.AppKey("platform", Platform)
routes = web.RouteTableDef()

STATUS_BY_CODE = {
    "outage": 503,
    "rate_cap": 429,
    "unknown_vm": 404,
    "bad_fault": 400,
    "bad_request": 400,
    "worker_unreachable": 502,
    "other_boot": PRECONDITION_FAILED,
}


def _to_response(value: Any) -> web.Response:
    status = STATUS_BY_CODE[value.code] if isinstance(value, Problem) else 200
    return json_response(value, status)


async def _apply_delay(platform: Platform) -> None:
    delay_ms = await ask(platform, GetDelay)
    if delay_ms:
        await asyncio.sleep(delay_ms / 1_000)


@routes.post("/log/{stream}/records")
async def _append_records(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    body = await read_json(request, "records")
    if not isinstance(body["records"], list) or not body["records"]:
        return _to_response(Problem("bad_request", "records must be a non-empty list"))
    # The append is applied after the delay, even if the caller has timed out by then.
    await _apply_delay(platform)
    value = await ask(platform, Append, request.match_info["stream"], body["records"])
    if isinstance(value, Problem):
        return _to_response(value)
    if not value.answered:
        return drop_connection(request)
    return json_response({"first_offset": value.first_offset, "end_offset": value.end_offset})


@routes.get("/log/{stream}/records")
async def _read_records(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    try:
        from_offset = int(request.query.get("from", 0))
        limit_count = max(1, int(request.query.get("limit", READ_LIMIT_COUNT)))
        wait_ms = min(max(0.0, float(request.query.get("wait_ms", 0))), READ_WAIT_MAX_MS)
    except ValueError as error:
        return _to_response(Problem("bad_request", str(error)))
    await _apply_delay(platform)
    stream = request.match_info["stream"]
    value = await ask(platform, Read, stream, from_offset, limit_count, wait_ms)
    if isinstance(value, Problem):
        return _to_response(value)
    text = (
        f'{{"start_offset": {value.start_offset}, "end_offset": {value.end_offset}, '
        f'"records": [{", ".join(value.encoded)}]}}'
    )
    return web.Response(text=text, content_type="application/json")


@routes.get("/vms")
async def _get_vms(request: web.Request) -> web.Response:
    return json_response({"vms": await ask(request.app[PLATFORM], ListVms)})


@routes.put("/vms/{name}")
async def _put_vm(request: web.Request) -> web.Response:
    body = await read_json(request, "address")
    return _to_response(
        await ask(request.app[PLATFORM], PutVm, request.match_info["name"], body["address"])
    )


@routes.delete("/vms/{name}")
async def _delete_vm(request: web.Request) -> web.Response:
    return _to_response(await ask(request.app[PLATFORM], DeleteVm, request.match_info["name"]))


@routes.post("/vms/{name}/{action:" + "|".join(VM_ACTIONS) + "}")
async def _act_on_vm(request: web.Request) -> web.Response:
    name, action = request.match_info["name"], request.match_info["action"]
    params = await read_json(request)
    return _to_response(await ask(request.app[PLATFORM], ActOnVm, name, action, params))


@routes.get("/state")
async def _get_state(request: web.Request) -> web.Response:
    return json_response(await ask(request.app[PLATFORM], GetState))


@routes.post("/control/faults")
async def _set_fault(request: web.Request) -> web.Response:
    params = await read_json(request, "fault", "on")
    name, on = params.pop("fault"), bool(params.pop("on"))
    return _to_response(await ask(request.app[PLATFORM], SetFault, name, on, params))


def make_app(platform: Platform) -> web.Application:
    """Return the platform's HTTP application, which starts and stops the actor."""
    app = web.Application(client_max_size=BODY_LIMIT_BYTES)
    app[PLATFORM] = platform
    app.add_routes(routes)

    async def run_actor(_: web.Application) -> Any:
        platform.start()
        yield
        await platform.stop()

    app.cleanup_ctx.append(run_actor)
    return app


def main(
    address: Annotated[
        str, typer.Option(help="IP:PORT to listen on; port 0 binds a free port.")
    ] = ("127.0.0.1:0"),
    name: Annotated[str, typer.Option(help="Name in the event file.")] = "platform",
    history: Annotated[str, typer.Option(help="File to append events to.")] = "",
    seed: Annotated[int, typer.Option(help="Seed of injected faults.")] = 1,
    vm_list_lag_ms: Annotated[float, typer.Option(help="Lag of the VM list in ms.")] = 1_000.0,
    rate_cap_per_s: Annotated[
        float, typer.Option(help="Limit on appends per second, over all streams.")
    ] = 300.0,
) -> None:
    """Run the platform stand-in until SIGTERM."""
    default_faults = Faults(lag_ms=vm_list_lag_ms, per_s=rate_cap_per_s)

    async def run() -> None:
        listener = Listener(
            make_app(Platform(PlatformSettings(name, history, seed, default_faults)))
        )
        await run_until_terminated(lambda: listener.open(address), listener.close)

    asyncio.run(run())


if __name__ == "__main__":
    typer.run(main)
