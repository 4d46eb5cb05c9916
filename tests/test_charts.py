"""Tests of the state charts and of the code that interprets them."""

from __future__ import annotations

import ast
from importlib import resources

import pytest

from tarragoncart import replay, routing
from tarragoncart.charts import load_chart, parse_chart
from tarragoncart.dispatch import Dispatch
from tarragoncart.election import Election
from tarragoncart.errors import ChartError
from tarragoncart.journal import Journal
from tarragoncart.membership import Membership
from tarragoncart.registry import Registry
from tarragoncart.scheduler import Scheduler
from tarragoncart.upstream import Upstream
from tarragoncart.vms import Fleet

NAMES = sorted(
    path.name.removesuffix(".json")
    for path in (resources.files("tarragoncart") / "charts").iterdir()
    if path.name.endswith(".json")
)


@pytest.mark.parametrize("name", NAMES)
def test_every_chart_file_is_consistent(name):
    """Guards against a chart with an undeclared or unreachable state."""
    assert load_chart(name).states


def test_an_undefined_transition_names_chart_state_and_event():
    """Guards against a transition that the chart does not define."""
    with pytest.raises(ChartError, match="'attempt'.*'answered'.*'send'"):
        load_chart("attempt").step("answered", "send")


def test_an_unreachable_state_is_an_error():
    """Guards against unused states in chart files."""
    with pytest.raises(ChartError, match="cannot reach"):
        parse_chart("x", {"initial": "a", "states": {"a": {}, "b": {}}})


ACTION_OWNERS = {
    "job": Dispatch,
    "attempt": Upstream,
    "append": Journal,
    "entry": Membership,
    "vm": replay.VM_ACTIONS,
    "wave": replay.WAVE_ACTIONS,
    "upstream": routing.UPSTREAM_ACTIONS,
    "task": Scheduler,
    "leadership": Election,
    "upkeep": Fleet,
    "relocation": Fleet,
    # It has no actions: its states only say what a connection waits for.
    "connection": Registry("action of a connection"),
}
# Charts of which one actor implements the actions together with those of other charts.
SHARED_ACTIONS = {"upkeep": ("relocation",), "relocation": ("upkeep",)}
CHARTS_BY_MODULE = {
    "dispatch": ["job"],
    "delivery": ["job"],
    "fleetfollower": ["job"],
    "upstream": ["attempt"],
    "journal": ["append"],
    "membership": ["entry"],
    "vmhandlers": ["vm", "wave"],
    "routing": ["upstream"],
    "placement": ["upstream"],
    "runstate": ["task"],
    "reports": ["task"],
    "scheduler": ["task"],
    "stops": ["task"],
    "election": ["leadership"],
    "vms": ["upkeep", "relocation"],
    "relocations": ["relocation"],
    "connections": ["connection"],
}
EVENT_METHODS = {
    "step",
    "_step",
    "_step_vm",
    "_step_wave",
    "_apply_event",
    "_move_event",
    "accepts",
    "fire",
}


@pytest.mark.parametrize("name", NAMES)
def test_every_action_is_carried_out(name):
    """Guards against an action without an implementation, which would fail at its transition."""
    user, actions = ACTION_OWNERS[name], load_chart(name).actions
    if isinstance(user, Registry):
        assert actions == set(user)
    else:
        assert user.implements_actions(actions)
        shared = {
            action for other in SHARED_ACTIONS.get(name, ()) for action in load_chart(other).actions
        }
        assert user._actions.keys() == actions | shared


def string_constants(node: ast.AST) -> set[str]:
    """Return all string constants in a node."""
    constants = (part.value for part in ast.walk(node) if isinstance(part, ast.Constant))
    return {value for value in constants if isinstance(value, str)}


def called_name(node: ast.Call) -> str:
    """Return the name of the called function, without qualifiers."""
    return getattr(node.func, "attr", getattr(node.func, "id", ""))


def test_code_and_charts_name_the_same_events():
    """Guards against an event that no state accepts, and one that no code raises."""
    package = resources.files("tarragoncart")
    sources = {path.name: path.read_text() for path in package.iterdir() if path.is_file()}
    everywhere = set().union(
        *(
            string_constants(ast.parse(text))
            for name, text in sources.items()
            if name.endswith(".py")
        )
    )
    for module, names in CHARTS_BY_MODULE.items():
        events = {event for name in names for _, event in load_chart(name).transitions}
        calls = (n for n in ast.walk(ast.parse(sources[f"{module}.py"])) if isinstance(n, ast.Call))
        used = {
            t
            for n in calls
            if called_name(n) in EVENT_METHODS
            for arg in n.args
            for t in string_constants(arg)
        }
        assert used and used <= events, module
        assert events <= everywhere, module
