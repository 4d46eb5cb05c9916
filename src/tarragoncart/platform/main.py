"""Starts an entry VM on the users' platform."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import evolve

from .. import node
from ..policies import parse_policies
from ..taskplacement import make_placement
from . import operator
from .advice import AdviceClient
from .boot import load_settings
from .callers import CallerServer, decode_job
from .store import Store
from .upstreams import UpstreamClient, reaches_upstream
from .vms import VmClient


def make_adapter(settings: node.NodeSettings) -> node.Adapter:
    """Return the platform's clients and codecs for an entry VM."""
    fleet = None
    if settings.fleet_address:

        def fleet() -> VmClient:
            return VmClient(settings.fleet_address, settings.name)

    advice = None
    if settings.advice_address:

        def advice() -> AdviceClient:
            return AdviceClient(settings.advice_address)

    return node.Adapter(
        make_store=lambda: Store(settings.store_address, settings.store_limits),
        make_client=UpstreamClient,
        reaches_upstream=reaches_upstream,
        make_fleet=fleet,
        make_advice=advice,
        operator_topic=operator.OPERATOR_TOPIC,
        upstream_topic=operator.UPSTREAM_TOPIC,
        status_topic=operator.STATUS_TOPIC,
        config_key=operator.CONFIG_KEY,
        wave_prefix=operator.WAVE_PREFIX,
        evacuation_prefix=operator.EVACUATION_PREFIX,
        decode_rules=operator.decode_rules,
        decode_wave=operator.decode_wave,
        decode_upstream=operator.decode_upstream,
        decode_job=decode_job,
        wave_status_record=operator.wave_status_record,
        make_caller_server=CallerServer,
    )


def main(options: Sequence[str] = ()) -> None:
    """Run an entry VM with the settings file that the platform provides.

    :param options: command-line options that select policies.
    """
    policies = parse_policies(options)
    # An unknown name is an error at the start, not at the first take-over.
    make_placement(policies)
    settings = evolve(load_settings(), policies=policies)
    node.run(settings, make_adapter(settings))
