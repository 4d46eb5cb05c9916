"""Options of an entry VM that select the policies of the leader."""

from __future__ import annotations

import argparse
from collections.abc import Sequence

from attrs import frozen


@frozen
class PolicySettings:
    """Names of the policies that a leader uses.

    :param placement: how waiting tasks are placed on upstreams.
    """

    placement: str = "first_fit"


def parse_policies(arguments: Sequence[str]) -> PolicySettings:
    """Return the policies that the command line of an entry VM selects.

    An unknown option ends the process with a usage message.
    """
    defaults = PolicySettings()
    parser = argparse.ArgumentParser(prog="tarragoncart node")
    parser.add_argument("--placement", default=defaults.placement)
    options = parser.parse_args(arguments)
    return PolicySettings(options.placement)
