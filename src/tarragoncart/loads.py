"""What runs where, as the scheduler tells the owner of the VMs."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen


@frozen
class UpstreamLoad:
    """What runs at an upstream.

    :param busy_millicores: cpu that its runs have reserved.
    :param pool_waiting_count: waiting tasks of its pool.
    """

    upstream_id: str
    pool: str
    run_count: int
    lasting_count: int
    busy_millicores: int
    capacity_millicores: int
    pool_waiting_count: int


@frozen
class Loads:
    """What runs where.

    :param short_millicores: by pool, cpu of ready tasks that found no upstream.
    """

    upstreams: Mapping[str, UpstreamLoad]
    short_millicores: Mapping[str, int]
