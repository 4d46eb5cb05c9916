"""Library for operators: describe a fleet in Python and print its configuration as JSON.

.. code-block:: python

    fleet = Fleet(data_centres=["kigali-1", "kigali-2"])
    fleet.pool("holds", max_unavailable_count=1, min_available_count=3)
    fleet.vms("holds", count=6, memory_gb=64)
    fleet.queue("holds", pool="holds", guarded=True)
    fleet.team("theatre", share_weight=2, upper_limit_count=60)
    fleet.print()
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from collections.abc import Sequence
from typing import Any, TextIO

from attrs import evolve

from . import defaults
from .model import FleetConfig, Mode, PoolSpec, QueueSpec, TeamSpec, VmSpec
from .records import converter
from .settings import check_fleet_config, problem

VM_PORT = 7_000


class Fleet:
    """Builder of a fleet configuration; methods that add to it return the fleet for chaining.

    :param data_centres: names of the data centres over which VMs are spread.
    :param racks_per_data_centre_count: number of racks in each data centre.
    :param vms_per_rack_count: maximum number of VMs in a rack.
    """

    def __init__(
        self,
        data_centres: Sequence[str] = ("dc-1",),
        *,
        racks_per_data_centre_count: int = 4,
        vms_per_rack_count: int = 4,
    ) -> None:
        self._data_centres = tuple(data_centres)
        self._rack_count = racks_per_data_centre_count
        self._vms_per_rack_count = vms_per_rack_count
        self._config = FleetConfig()

    def pool(
        self,
        name: str,
        *,
        max_unavailable_count: int,
        min_available_count: int = 1,
        spare: bool = False,
    ) -> Fleet:
        """Add a pool with its availability budget.

        :param max_unavailable_count: maximum number of VMs out of service at once, planned or
            failed.
        :param min_available_count: minimum number of VMs in service; moves to other pools keep it
            too.
        :param spare: the pool is the first to provide VMs and free slots for other pools.
        """
        return self._add("pools", PoolSpec(name, max_unavailable_count, min_available_count, spare))

    def queue(
        self,
        name: str,
        *,
        pool: str,
        deferred: bool = False,
        guarded: bool = False,
        open_to_all: bool = False,
        waiting_limit_count: int = defaults.QUEUE_WAITING_LIMIT_COUNT,
    ) -> Fleet:
        """Add a queue.

        :param deferred: callers get a receipt at once and poll for the answer later.
        :param guarded: jobs are not idempotent and run at most once.
        :param open_to_all: jobs need no API key.
        :param waiting_limit_count: maximum number of jobs that may wait at one entry VM.
        """
        mode = Mode.DEFERRED if deferred else Mode.INTERACTIVE
        spec = QueueSpec(name, pool, mode, guarded, open_to_all, waiting_limit_count)
        return self._add("queues", spec)

    def team(self, name: str, *, share_weight: float, upper_limit_count: int) -> Fleet:
        """Add a team.

        :param share_weight: its share of a saturated fleet, relative to the other teams' weights.
        :param upper_limit_count: maximum number of its jobs that run at once across the fleet.
        """
        return self._add("teams", TeamSpec(name, float(share_weight), upper_limit_count))

    def vms(
        self,
        pool: str,
        *,
        count: int,
        addresses: Sequence[str] = (),
        slot_count: int = 8,
        connection_count: int = 64,
        processor_count: int = 16,
        memory_gb: int = 64,
        accelerator_count: int = 0,
    ) -> Fleet:
        """Add VMs to a pool, spread evenly over data centres and the racks in each.

        :param addresses: ``IP:PORT`` of each VM; by default ``10.DATA_CENTRE.RACK.PLACE:7000``.
        :raises SettingsError: if the racks are full or the number of addresses is not ``count``.
        """
        if addresses and len(addresses) != count:
            raise problem("vms", f"{count} VMs in {pool} but {len(addresses)} addresses")
        for index in range(count):
            number = sum(vm.pool == pool for vm in self._config.vms) + 1
            data_centre, rack, place = self._free_place(pool)
            default_address = f"10.{data_centre + 1}.{rack + 1}.{place + 1}:{VM_PORT}"
            spec = VmSpec(
                name=f"{pool}-{number}",
                pool=pool,
                data_centre=self._data_centres[data_centre],
                rack=self._rack_name(data_centre, rack),
                address=addresses[index] if addresses else default_address,
                slot_count=slot_count,
                connection_count=connection_count,
                processor_count=processor_count,
                memory_gb=memory_gb,
                accelerator_count=accelerator_count,
            )
            self._add("vms", spec)
        return self

    def _rack_name(self, data_centre: int, rack: int) -> str:
        return f"{self._data_centres[data_centre]}-rack-{rack + 1}"

    def _free_place(self, pool: str) -> tuple[int, int, int]:
        """Return the indexes of data centre, rack and place in the rack for a pool's next VM.

        The failure of a data centre or rack should affect as few VMs of one pool as possible, so
        this prefers those with fewest VMs of the pool, and among these those with fewest VMs.
        """
        used: Counter[str] = Counter()
        used_by_pool: Counter[str] = Counter()
        for vm in self._config.vms:
            for domain in (vm.data_centre, vm.rack):
                used[domain] += 1
                used_by_pool[domain] += vm.pool == pool
        free: list[tuple[int, ...]] = []
        for data_centre, name in enumerate(self._data_centres):
            for rack in range(self._rack_count):
                domain = self._rack_name(data_centre, rack)
                if used[domain] < self._vms_per_rack_count:
                    cost = (used_by_pool[name], used[name], used_by_pool[domain], used[domain])
                    free.append((*cost, data_centre, rack))
        if not free:
            raise problem("vms", "all racks are full")
        *_, place, data_centre, rack = min(free)
        return data_centre, rack, place

    def policies(self, **names: str) -> Fleet:
        """Select policies by name, for routing, ejection, queue_order, capacity and wave."""
        self._config = evolve(self._config, policies=evolve(self._config.policies, **names))
        return self

    def _add(self, kind: str, spec: Any) -> Fleet:
        change: dict[str, Any] = {kind: (*getattr(self._config, kind), spec)}
        self._config = evolve(self._config, **change)
        return self

    def build(self) -> FleetConfig:
        """Check the configuration and return it.

        :raises ExceptionGroup: of :class:`SettingsError`, one for each problem.
        """
        check_fleet_config(self._config)
        return self._config

    def to_json(self) -> str:
        """Check the configuration and return it as JSON.

        Default values are written too, so that a published configuration does not change if a
        later version has other defaults.
        """
        return json.dumps(converter().unstructure(self.build()), indent=2)

    def print(self, stream: TextIO | None = None) -> None:
        """Check the configuration and print it as JSON to standard output.

        If there are problems, they are printed to standard error and the process exits with
        status 2.
        """
        try:
            text = self.to_json()
        except ExceptionGroup as group:
            for error in group.exceptions:
                print(error, file=sys.stderr)
            raise SystemExit(2) from None
        print(text, file=stream or sys.stdout)
