"""Options of an entry VM that select the policies of the leader."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from attrs import frozen


@frozen
class PolicySettings:
    """Names of the policies that a leader uses.

    :param placement: how waiting tasks are placed on upstreams.
    :param pool_policy: how VMs are divided among the pools.
    """

    placement: str = "first_fit"
    pool_policy: str = "share_by_need"


def parse_policies(arguments: Sequence[str]) -> PolicySettings:
    """Return the policies that the command line of an entry VM selects.

    An unknown option ends the process with a usage message.
    """
    defaults = PolicySettings()
    parser = argparse.ArgumentParser(prog="tarragoncart node")
    parser.add_argument("--placement", default=defaults.placement)
    parser.add_argument("--pool-policy", default=defaults.pool_policy)
    options = parser.parse_args(arguments)
    return PolicySettings(options.placement, options.pool_policy)
