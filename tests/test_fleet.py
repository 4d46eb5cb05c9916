"""The library for operators and the example fleets."""

from __future__ import annotations

import importlib.util
import io
import json
from collections import Counter
from pathlib import Path

import pytest

from tarragoncart import settings
from tarragoncart.errors import SettingsError
from tarragoncart.fleet import Fleet

EXAMPLES = Path(__file__).parents[1] / "examples"


@pytest.fixture(params=["imisatsi", "sundarban"])
def example(request) -> tuple[Fleet, Path]:
    """The fleet of an example script and the file that contains the same configuration."""
    path = EXAMPLES / f"{request.param}.py"
    spec = importlib.util.spec_from_file_location(request.param, path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.fleet, path.with_suffix(".fleet.json")


def test_example_prints_what_its_file_holds(example):
    """Guards against an example script and its file that no longer agree."""
    fleet, path = example
    stream = io.StringIO()
    fleet.print(stream)
    printed = settings.parse_fleet_config(json.loads(stream.getvalue()))
    assert printed == fleet.build() == settings.load_fleet_config(path)


def test_example_has_size_and_spread_of_the_deployment(example):
    """Guards against examples that differ from the sizes on the design page or overfill racks."""
    config = example[0].build()
    assert len(config.teams) == 6
    assert Counter(vm.pool for vm in config.vms) == {pool.name: 6 for pool in config.pools}
    assert len(config.pools) == 5 and [pool.name for pool in config.pools if pool.spare]
    assert max(Counter(vm.rack for vm in config.vms).values()) <= 4
    # The failure of a rack or data centre affects as few VMs of a pool as possible.
    by_rack = Counter((vm.pool, vm.rack) for vm in config.vms)
    by_data_centre = Counter((vm.pool, vm.data_centre) for vm in config.vms)
    assert set(by_rack.values()) == {1} and set(by_data_centre.values()) == {2}


def test_entry_example_is_valid():
    """Guards against an example of entry settings that the settings check refuses."""
    assert settings.load_entry_settings(EXAMPLES / "entry.json").name == "entry-1"


@pytest.mark.parametrize(("data_centres", "rack_count"), [(["dc-1", "dc-2"], 2), (["dc-1"], 2)])
def test_vms_added_in_turn_are_spread(data_centres, rack_count):
    """Guards against a pool in one rack or data centre if VMs of another were added in between."""
    fleet = Fleet(data_centres, racks_per_data_centre_count=rack_count)
    for pool in ("a", "b"):
        fleet.pool(pool, max_unavailable_count=1)
    for pool in ("a", "b", "a"):
        fleet.vms(pool, count=1)
    vms = [vm for vm in fleet.build().vms if vm.pool == "a"]
    assert len({vm.rack for vm in vms}) == 2
    assert len({vm.data_centre for vm in vms}) == len(data_centres)


def test_full_racks_are_an_error():
    """Guards against more VMs in a rack than it has places."""
    fleet = Fleet(["dc-1"], racks_per_data_centre_count=1, vms_per_rack_count=2)
    with pytest.raises(SettingsError, match="racks are full"):
        fleet.vms("holds", count=3)


def test_given_addresses_are_used_in_order():
    """Guards against addresses that are assigned to the wrong VMs."""
    addresses = [f"127.0.0.1:{port}" for port in (7001, 7002, 7003)]
    fleet = Fleet(["dc-1", "dc-2"]).pool("holds", max_unavailable_count=1)
    config = fleet.vms("holds", count=3, addresses=addresses).build()
    assert [vm.address for vm in config.vms] == addresses
    with pytest.raises(SettingsError, match="1 VMs in holds but 3 addresses"):
        fleet.vms("holds", count=1, addresses=addresses)


def test_faulty_fleet_is_not_printed(capsys):
    """Guards against a faulty script whose piped output an operator publishes."""
    with pytest.raises(SystemExit) as caught:
        Fleet().pool("holds", max_unavailable_count=0).print()
    output = capsys.readouterr()
    assert caught.value.code == 2 and output.out == ""
    assert "pools[0].max_unavailable_count" in output.err
