"""State charts."""

from __future__ import annotations

from importlib import resources

import pytest

from tarragoncart.charts import load_chart, parse_chart
from tarragoncart.errors import ChartError

NAMES = sorted(
    path.name.removesuffix(".json")
    for path in (resources.files("tarragoncart") / "charts").iterdir()
    if path.name.endswith(".json")
)


@pytest.mark.parametrize("name", NAMES)
def test_every_chart_file_is_consistent(name):
    """Guards against a chart with an undeclared or unreachable state."""
    assert load_chart(name).states


def test_an_unlisted_event_names_chart_state_and_event():
    """Guards against a state change that no chart allows."""
    with pytest.raises(ChartError, match="'attempt'.*'answered'.*'send'"):
        load_chart("attempt").step("answered", "send")


def test_an_unreachable_state_is_an_error():
    """Guards against dead states in chart files."""
    with pytest.raises(ChartError, match="cannot reach"):
        parse_chart("x", {"initial": "a", "states": {"a": {}, "b": {}}})
