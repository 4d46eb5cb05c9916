"""Tests that the parts of the cost measurement fit the code that they measure."""

from __future__ import annotations

from bench import slopes
from tarragoncart import replay


def test_the_measured_passes_run_on_the_present_code():
    """Guards against a measurement that calls a pass with arguments it no longer takes."""
    size = slopes.projected_size(min(slopes.SHARES))
    view = replay.view_of(
        slopes.build_state(size),
        replay.FleetView(),
        frozenset(("config", "members", "rights", "vms", "waves")),
    )
    steps = slopes._pass_steps(view)
    assert {"rights", "pool loads"} <= steps.keys()
    for step in steps.values():
        step()
