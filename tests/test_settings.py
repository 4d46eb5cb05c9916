"""Tests of settings files and their validation."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tarragoncart import settings
from tarragoncart.model import Mode
from tarragoncart.registry import Registry

InvalidValue = tuple[tuple[str | int, ...], Any, str, str]

MISSING = object()

INVALID_ENTRY_VALUES: list[InvalidValue] = [
    (("name",), "entry.1", "name", "dot"),
    (("name",), "", "name", "must consist of"),
    (("name",), MISSING, "name", "missing"),
    (("nam",), "x", "nam", "did you mean name?"),
    (("shutdown_timeout_s",), 3, "shutdown_timeout_s", "use shutdown_timeout_ms"),
    (("shutdown_timeout_ms",), "3", "shutdown_timeout_ms", "expected a whole number"),
    (("shutdown_timeout_ms",), True, "shutdown_timeout_ms", "expected a whole number"),
    (("shutdown_timeout_ms",), 0, "shutdown_timeout_ms", "must be from 1"),
    (("key_freshness_ms",), 5001, "key_freshness_ms", "to 5000"),
    (("flush_window_ms",), 51, "flush_window_ms", "to 50"),
    (("client_address",), "localhost:80", "client_address", "expected IP:PORT"),
    (("client_address",), "127.0.0.1:65536", "client_address", "port must be"),
    (("client_address",), "127.0.0.1", "client_address", "expected IP:PORT"),
    (("client_address",), "0.0.0.0:0", "advertised_client_address", "needed"),
    (("peer_address",), "127.0.0.1:9000", "platform_address", "already at peer_address"),
    (("platform_address",), "127.0.0.1:0", "platform_address", "from 1"),
    (("source_address",), "10.0.0.1:5", "source_address", "expected an IP"),
    (("advertised_peer_address",), "127.0.0.1:0", "advertised_peer_address", "from 1"),
    (("peers", 0, "name"), "entry-1", "peers[0].name", "already at name"),
    (("peers", 0, "peer_address"), 7, "peers[0].peer_address", "expected a string"),
    (("peers", 0), 7, "peers[0]", "expected an object"),
    (("peers",), "entry-2", "peers", "expected an array"),
    (("log_level",), "loud", "log_level", "known: debug, info"),
    (("metrics_exporter",), "paper", "metrics_exporter", "known: none, console"),
]

INVALID_FLEET_VALUES: list[InvalidValue] = [
    (("pools", 0, "max_unavailable_count"), 0, "pools[0].max_unavailable_count", "at least 1"),
    (("pools", 0, "max_unavailable_count"), -1, "pools[0].max_unavailable_count", "at least 1"),
    (("pools", 0, "max_unavailable"), 1, "pools[0].max_unavailable", "use max_unavailable_count"),
    (("pools", 0, "min_available_count"), 3, "pools[0].min_available_count", "pool's 2 VMs"),
    (("pools", 0, "min_available_count"), -1, "pools[0].min_available_count", "from 0"),
    (("queues", 0, "pool"), "hold", "queues[0].pool", "did you mean holds?"),
    (("queues", 0, "mode"), "batch", "queues[0].mode", "one of deferred, interactive"),
    (("queues", 0, "guarded"), 1, "queues[0].guarded", "true or false"),
    (("queues", 0, "name"), "a/b", "queues[0].name", "must consist of"),
    (("queues", 0, "waiting_limit_count"), 0, "queues[0].waiting_limit_count", "at least 1"),
    (("teams", 0, "share_weight"), 0, "teams[0].share_weight", "above 0"),
    (("teams", 0, "share_weight"), float("nan"), "teams[0].share_weight", "above 0"),
    (("teams", 0, "upper_limit_count"), 0, "teams[0].upper_limit_count", "at least 1"),
    (("teams", 0, "upper_limit_count"), 1.5, "teams[0].upper_limit_count", "whole number"),
    (("vms", 1, "pool"), "returns", "vms[1].pool", "unknown pool"),
    (("vms", 1, "name"), "vm-1", "vms[1].name", "already at vms[0].name"),
    (("vms", 1, "address"), "10.0.0.1:7000", "vms[1].address", "already at vms[0].address"),
    (("vms", 1, "address"), "10.0.0.2:0", "vms[1].address", "port must be"),
    (("vms", 1, "slot_count"), 0, "vms[1].slot_count", "at least 1"),
    (("policies",), {"wave": "none-such"}, "policies.wave", "unknown wave policy"),
]


@pytest.fixture
def problems() -> Callable[..., dict[str, str]]:
    """Return the error messages that a parse function raises, by path."""

    def collect(parse: Callable[[Any], Any], data: Any) -> dict[str, str]:
        with pytest.raises(ExceptionGroup) as caught:
            parse(data)
        assert all(isinstance(e, settings.SettingsError) for e in caught.value.exceptions)
        return {error.peer: error.message for error in caught.value.exceptions}

    return collect


@pytest.fixture
def wave_policies(monkeypatch: pytest.MonkeyPatch) -> None:
    """A registry of wave policies with one entry."""
    registry: Registry[Any] = Registry("wave policy")
    registry.register("budgeted")(object())
    monkeypatch.setattr(settings, "POLICY_REGISTRIES", {"wave": registry})


def set_value(data: Any, path: tuple[str | int, ...], value: Any) -> None:
    *parents, last = path
    for part in parents:
        data = data[part]
    if value is MISSING:
        del data[last]
    else:
        data[last] = value


@pytest.mark.parametrize(
    ("kind", "path", "value", "where", "message"),
    [("entry", *invalid) for invalid in INVALID_ENTRY_VALUES]
    + [("fleet", *invalid) for invalid in INVALID_FLEET_VALUES],
)
def test_invalid_value_is_reported_at_its_path(
    request, problems, wave_policies, kind, path, value, where, message
):
    """Guards against an invalid value that is accepted, or reported at another path or twice."""
    data = request.getfixturevalue(f"{kind}_data")
    set_value(data, path, value)
    parse = {"entry": settings.parse_entry_settings, "fleet": settings.parse_fleet_config}[kind]
    found = problems(parse, data)
    assert list(found) == [where]
    assert message in found[where]


def test_all_errors_are_reported_at_once(problems, entry_data):
    """Guards against a value of a wrong type that hides errors in other values."""
    invalid_values = [(("log_level",), "loud"), (("flush_window_ms",), "x"), (("nam",), 1)]
    invalid_values += [(("peers", 0), 7), (("client_address",), MISSING)]
    for path, value in invalid_values:
        set_value(entry_data, path, value)
    found = problems(settings.parse_entry_settings, entry_data)
    assert set(found) == {"log_level", "flush_window_ms", "nam", "peers[0]", "client_address"}


@pytest.mark.parametrize("data", [None, [], 3, "x"])
def test_file_without_an_object_is_refused(problems, data):
    """Guards against a crash on a file that does not contain an object."""
    assert "expected an object" in problems(settings.parse_fleet_config, data)[""]


def test_comments_defaults_and_types(tmp_path: Path, entry_data, fleet_data):
    """Guards against losing comments, trailing commas, defaults or the types of the model."""
    path = tmp_path / "entry.json"
    path.write_text("// an entry VM\n" + json.dumps(entry_data)[:-1] + ",}")
    loaded = settings.load_entry_settings(path)
    assert (loaded.name, loaded.log_level, loaded.flush_window_ms) == ("entry-1", "info", 20)
    assert loaded.peers == (settings.PeerSettings("entry-2", "127.0.0.1:9001"),)
    config = settings.parse_fleet_config(fleet_data)
    assert config.queues[0].mode is Mode.INTERACTIVE
    assert isinstance(config.teams[0].share_weight, float)


@pytest.mark.parametrize("text", ['{"pools": [], "pools": []}', "{pools: [], pools: []}", "{"])
def test_undecodable_file_is_reported(problems, tmp_path: Path, text):
    """Guards against a duplicate key, in JSON or JSON5, that silently replaces the first one."""
    path = tmp_path / "fleet.json"
    path.write_text(text)
    assert list(problems(settings.load_fleet_config, path)) == [str(path)]
