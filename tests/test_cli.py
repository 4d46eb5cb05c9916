"""Tests of the command line and of its client for the operators' interface."""

from __future__ import annotations

import asyncio
import io
import json
import logging
import socket
import subprocess
import sys
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from tarragoncart import audit, cli, logs, operator_api, records, replay
from tarragoncart.errors import RequestError
from tarragoncart.model import KeyGrant

STATUS: dict[str, Any] = {
    "name": "a",
    "data_centre": "dc-1",
    "state": "ready",
    "offset": 9,
    "config_version": 3,
    "age_ms": 12,
    "members": [
        {"name": "a", "incarnation": "1", "data_centre": "dc-1", "offset": 9, "silent_ms": 0},
        {"name": "b", "incarnation": "2", "data_centre": "dc-2", "offset": 5, "silent_ms": 90},
    ],
    "teams": {
        "shop": {"limit_count": 10, "rights_count": 4, "running_count": 2, "waiting_count": 1}
    },
    "pools": {"holds": {"vm_count": 6, "unavailable_count": 1, "max_unavailable_count": 1}},
    "waves": {},
}


@pytest.fixture
def unreachable() -> Iterator[str]:
    """Address that refuses connections: its port is bound, but no socket listens on it."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


@pytest.fixture
def run_cli(entry_stub):
    """Run the command in a thread, against the stub of an entry VM unless ``entries`` is given."""

    async def run(*args: str, entries: tuple[str, ...] | None = None) -> Result:
        addresses = (entry_stub.address,) if entries is None else entries
        options = [option for address in addresses for option in ("--entry", address)]
        if addresses:
            options += [] if args[0] == "submit" else ["--author", "ops"]
        return await asyncio.to_thread(CliRunner().invoke, cli.app, [*args, *options])

    return run


async def test_check_prints_every_error(run_cli, tmp_path, fleet_data):
    """Guards against a check that stops at the first error or reports success."""
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(fleet_data))
    result = await run_cli("check", str(path), entries=())
    assert result.exit_code == 0 and "1 pools, 2 vms" in result.stdout
    fleet_data["pools"][0]["max_unavailable_count"] = 0
    fleet_data["queues"][0]["pool"] = "x"
    path.write_text(json.dumps(fleet_data))
    result = await run_cli("check", str(path), entries=())
    assert result.exit_code == 2
    assert "pools[0].max_unavailable_count: " in result.stderr
    assert "queues[0].pool: " in result.stderr


async def test_entry_runs_the_daemon(run_cli, tmp_path, entry_data, monkeypatch):
    """Guards against settings parsed as a fleet, and a daemon started with invalid settings."""
    started: list[Any] = []
    monkeypatch.setitem(sys.modules, "tarragoncart.daemon", SimpleNamespace(run=started.append))
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(entry_data))
    assert "entry VM entry-1" in (await run_cli("check", str(path), entries=())).stdout
    assert (await run_cli("entry", str(path), entries=())).exit_code == 0
    path.write_text(json.dumps({**entry_data, "name": "a.b"}))
    assert (await run_cli("entry", str(path), entries=())).exit_code == 2
    assert [item.name for item in started] == ["entry-1"]


async def test_publish_sends_the_version_in_force(run_cli, entry_stub, tmp_path, fleet_data):
    """Guards against a publish that overwrites a version its author has not seen."""
    path = tmp_path / "fleet.json"
    path.write_text(json.dumps(fleet_data))
    entry_stub.answers["GET", "/v1/status"] = [(200, STATUS)]
    conflict = {"error": {"code": "version_conflict", "message": "version 4 is in force"}}
    entry_stub.answers["POST", "/v1/config"] = [
        (200, {"version": 4, "offset": 10}),
        (409, {**conflict, "version": 4}),
    ]
    result = await run_cli("publish", str(path))
    assert (result.exit_code, result.stdout) == (0, "version 4 at offset 10\n")
    body = entry_stub.calls[-1][2]
    assert (body["base_version"], body["author"]) == (3, "ops")
    assert body["config"]["queues"][0]["mode"] == "interactive"
    result = await run_cli("publish", str(path))
    assert result.exit_code == 1 and "version_conflict" in result.stderr


async def test_unreachable_entry_is_skipped(run_cli, entry_stub, unreachable):
    """Guards against a command that fails because one of the entry VMs is down."""
    entry_stub.answers["POST", "/v1/moves"] = [(200, {"offset": 1})]
    result = await run_cli("move", "vm-1", "holds", entries=(unreachable, entry_stub.address))
    assert result.exit_code == 0
    body = {"vm": "vm-1", "to_pool": "holds", "author": "ops"}
    assert entry_stub.calls == [("POST", "/v1/moves", body)]
    result = await run_cli("pools", entries=(unreachable,))
    assert result.exit_code == 1 and "unreachable" in result.stderr


async def test_change_that_may_have_been_applied_is_not_repeated(entry_stub):
    """Guards against a second key or move after a lost response."""
    async with operator_api.Operator((entry_stub.address,) * 2, "ops") as operator:
        with pytest.raises(RequestError) as caught:
            await operator.grant_key("shop")
        assert caught.value.code == "outcome_unknown" and len(entry_stub.calls) == 1
        with pytest.raises(RequestError) as caught:
            await operator.status()
        assert caught.value.code == "unreachable"


async def test_grant_shows_the_key(run_cli, entry_stub):
    """Guards against a new key that is not printed; it cannot be retrieved later."""
    entry_stub.answers["POST", "/v1/keys"] = [(200, {"key": "s3", "key_id": "id", "offset": 1})]
    result = await run_cli("key", "grant", "shop", "--cutoff-grace-s", "60")
    assert "s3" in result.stdout and "id" in result.stdout
    body = {"team": "shop", "cutoff_grace_s": 60, "author": "ops"}
    assert entry_stub.calls[0][2] == body


async def test_withdraw_waits_for_the_last_entry(run_cli, entry_stub):
    """Guards against a withdrawal reported as complete before each entry VM has replayed it."""
    progress = {"offset": 9, "complete": False, "missing": ["b"]}
    entry_stub.answers["DELETE", "/v1/keys/id"] = [(200, progress)]
    reached = [STATUS["members"][0], {**STATUS["members"][1], "offset": 9}]
    entry_stub.answers["GET", "/v1/status"] = [
        (200, STATUS),
        (200, {**STATUS, "members": STATUS["members"][:1]}),
        (200, {**STATUS, "members": [*reached, STATUS["members"][1]]}),
        (200, {**STATUS, "members": reached}),
    ]
    result = await run_cli("key", "withdraw", "id")
    assert result.stdout == "waiting for b\nwithdrawn everywhere\n"
    assert [call[0] for call in entry_stub.calls] == ["DELETE", *["GET"] * 4]


async def test_withdraw_names_the_missing_entries(run_cli, entry_stub):
    """Guards against a silent or endless wait for an entry VM that is cut off."""
    progress = {"offset": 9, "complete": False, "missing": ["b"]}
    entry_stub.answers["DELETE", "/v1/keys/id"] = [(200, progress)]
    entry_stub.answers["GET", "/v1/status"] = [(200, STATUS)]
    result = await run_cli("key", "withdraw", "id", "--timeout-s", "0.1")
    assert result.exit_code == 1 and "missing: b" in result.stderr


async def test_withdraw_ends_with_the_freshness_bound(entry_stub, monkeypatch):
    """Guards against waiting for an entry VM that can no longer accept the key."""
    monkeypatch.setattr(operator_api.defaults, "KEY_FRESHNESS_MS", 100)
    progress = {"offset": None, "complete": False, "missing": ["b"], "cutoff_grace_s": 0.1}
    entry_stub.answers["DELETE", "/v1/keys/id"] = [(200, progress)]
    entry_stub.answers["GET", "/v1/status"] = [(200, STATUS)]
    async with operator_api.Operator((entry_stub.address,), "ops") as operator:
        assert (await operator.withdraw_key("id", timeout_s=5)).complete


async def test_status_and_pools_are_tables(run_cli, entry_stub):
    """Guards against missing or swapped columns."""
    entry_stub.answers["GET", "/v1/status"] = [(200, STATUS)]
    result = await run_cli("status")
    lines = [line.split() for line in result.stdout.splitlines()]
    assert ["b", "dc-2", "5", "90"] in lines and ["shop", "10", "4", "2", "1"] in lines
    pools = await run_cli("pools")
    assert ["holds", "6", "1", "1"] in [line.split() for line in pools.stdout.splitlines()]
    assert json.loads((await run_cli("status", "--json")).stdout) == STATUS


async def test_waves_and_submissions_are_sent(run_cli, entry_stub):
    """Guards against requests that do not match the entry VM's interface."""
    for path in ("/v1/waves", "/v1/waves/w/resume", "/v1/waves/w/cancel", "/v1/queues/q/jobs"):
        entry_stub.answers["POST", path] = [(200, {"offset": 1})]
    for args in (("wave", "start", "w", "holds"), ("wave", "resume", "w"), ("wave", "cancel", "w")):
        assert (await run_cli(*args)).exit_code == 0
    assert entry_stub.calls[0][2] == {"wave": "w", "pools": ["holds"], "author": "ops"}
    result = await run_cli("submit", "q", "--payload", '{"a": 1}', "--key", "k")
    assert result.exit_code == 0 and entry_stub.calls[-1][2]["payload"] == {"a": 1}


async def test_explain_is_readable(run_cli, entry_stub, submit, fleet):
    """Guards against audit entries of other objects, and against unreadable ones."""
    submit(records.MoveVm("vm-0", "holds", "spare", "burst"))
    submit(records.MoveVm("vm-1", "holds", "spare", "burst"))
    submit(records.MoveVm("vm-0", "holds", "spare", "burst"))
    found = [audit.entry_json(entry) for entry in audit.entries_about(fleet.audit, "vm", "vm-0")]
    entry_stub.answers["GET", "/v1/explain/vm/vm-0"] = [(200, {"entries": found})]
    lines = (await run_cli("explain", "vm", "vm-0")).stdout.splitlines()
    time = "1970-01-01T00:00:00.000+00:00"
    assert lines == [
        f"3 {time} test: move VM vm-0 out of pool holds: accepted (burst)",
        f"5 {time} test: move VM vm-0 out of pool holds: rejected"
        " (VM is not in service in that pool)",
    ]
    assert (await run_cli("explain", "rack", "r")).exit_code == 2


def test_explain_separates_kinds_with_one_name(submit, fleet):
    """Guards against a VM's entries listed for a team or pool of the same name."""
    submit(records.GrantKey(KeyGrant("k", "vm-0")))
    submit(records.VmFailed("vm-0", "silent"))
    kinds = {
        kind: [entry.kind for entry in audit.entries_about(fleet.audit, kind, "vm-0")]
        for kind in audit.EXPLAINED_KINDS
    }
    assert kinds == {"job": [], "vm": ["vm_failed"], "team": ["key_grant"]}
    assert not list(audit.entries_about(fleet.audit, "vm", "holds"))


@pytest.mark.parametrize("kind", list(records.RECORD_KINDS))
def test_every_record_kind_has_a_description(kind):
    """Guards against a new record kind without a description for operators."""
    entry = replay.AuditEntry(1, 0, "ops", kind, (), True, "")
    assert f" ops: {kind}: " not in audit.describe_entry(entry)


def test_log_lines_are_json():
    """Guards against log lines that a collector cannot parse or that lose their fields."""
    stream = io.StringIO()
    root = logging.getLogger()
    before = (root.level, root.handlers[:])
    handler = logs.setup_logging("info", "entry-1", stream)
    try:
        logging.getLogger("tarragoncart.x").info("entry is ready", extra={"offset": 3})
        logging.getLogger("tarragoncart.x").debug("not written")
    finally:
        root.removeHandler(handler)
        root.setLevel(before[0])
        root.handlers.extend(before[1])
    line = json.loads(stream.getvalue())
    assert {"level", "logger", "message", "entry", "offset", "at"} <= set(line)
    assert (line["level"], line["entry"], line["offset"]) == ("INFO", "entry-1", 3)


@pytest.mark.parametrize(("exporter", "loaded"), [("none", False), ("memory", True)])
def test_sdk_is_loaded_only_for_an_exporter(exporter, loaded):
    """Guards against an SDK import that uses memory reserved for control software."""
    code = (
        "import sys; from tarragoncart import metrics\n"
        f"reader = metrics.start_metrics({exporter!r}, {{'entry': 'a'}})\n"
        "metrics.REQUESTS.add(2, metrics.labels(queue='holds'))\n"
        "counted = reader and 'tarragoncart.requests' in str(reader.get_metrics_data())\n"
        "print('opentelemetry.sdk' in sys.modules, bool(counted))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.split() == [str(loaded), str(loaded)]


ENTRY_PROGRAM = """
import sys
from tarragoncart import __main__, daemon
daemon.run = lambda settings: print(settings.name)
__main__.main()
print(sorted(sys.modules.keys() & set("typer rich pydantic json5 opentelemetry.sdk"
    " tarragoncart.cli tarragoncart.operator_api".split())))
"""


@pytest.mark.parametrize("name", ["entry-1", "a.b"])
def test_entry_loads_no_modules_of_operators(name, tmp_path, entry_data):
    """Guards against imports that cost an entry VM memory, and unreported settings errors."""
    path = tmp_path / "entry.json"
    path.write_text(json.dumps({**entry_data, "name": name}))
    command = [sys.executable, "-c", ENTRY_PROGRAM, "entry", str(path)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    if name == "entry-1":
        assert done.stdout.split("\n")[:2] == ["entry-1", "[]"]
    else:
        assert (done.returncode, done.stdout) == (2, "")
        assert "name:" in done.stderr
