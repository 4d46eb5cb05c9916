"""State charts, read from JSON files and interpreted by table lookup."""

from __future__ import annotations

import functools
import json
from importlib import resources
from typing import Any

from attrs import field, frozen

from .errors import ChartError


@frozen
class Transition:
    """A transition: the next state and the names of the actions to carry out."""

    state: str
    actions: tuple[str, ...]


@frozen
class Chart:
    """A flat state chart.

    :param states: all states.
    :param final: states in which the chart may end.
    :param transitions: transition for each ``(state, event)``.
    """

    name: str
    initial: str
    states: frozenset[str]
    final: frozenset[str]
    transitions: dict[tuple[str, str], Transition] = field(repr=False)

    def step(self, state: str, event: str) -> Transition:
        """Return the transition for an event.

        :raises ChartError: if the state does not accept the event.
        """
        try:
            return self.transitions[state, event]
        except KeyError:
            raise ChartError(
                f"chart {self.name!r}: state {state!r} does not accept event {event!r}",
                step="chart step",
            ) from None

    def accepts(self, state: str, event: str) -> bool:
        """Return whether the state accepts the event."""
        return (state, event) in self.transitions

    def is_final(self, state: str) -> bool:
        """Return whether the state is final."""
        return state in self.final

    @property
    def actions(self) -> frozenset[str]:
        """Names of all actions that the chart uses."""
        return frozenset(
            action for transition in self.transitions.values() for action in transition.actions
        )


def parse_chart(name: str, data: dict[str, Any]) -> Chart:
    """Build a chart from decoded JSON and check it.

    :param data: ``{initial, final, states: {STATE: {EVENT: {to, actions}}}}``.
    :raises ChartError: for undeclared or unreachable states.
    """
    states = frozenset(data["states"])
    transitions = {
        (state, event): Transition(target["to"], tuple(target.get("actions", ())))
        for state, events in data["states"].items()
        for event, target in events.items()
    }
    chart = Chart(name, data["initial"], states, frozenset(data.get("final", ())), transitions)
    _validate(chart)
    return chart


def _validate(chart: Chart) -> None:
    targets = {transition.state for transition in chart.transitions.values()}
    undeclared = (targets | chart.final | {chart.initial}) - chart.states
    if undeclared:
        raise ChartError(
            f"chart {chart.name!r} uses undeclared states {sorted(undeclared)}", step="load chart"
        )
    reached = {chart.initial}
    frontier = [chart.initial]
    while frontier:
        state = frontier.pop()
        following = {s.state for (source, _), s in chart.transitions.items() if source == state}
        frontier.extend(following - reached)
        reached |= following
    if reached != chart.states:
        raise ChartError(
            f"chart {chart.name!r} cannot reach {sorted(chart.states - reached)}",
            step="load chart",
        )


@functools.cache
def load_chart(name: str) -> Chart:
    """Load ``charts/NAME.json`` of this package.

    :raises ChartError: if the file is missing or inconsistent.
    """
    source = resources.files(__package__) / "charts" / f"{name}.json"
    try:
        data = json.loads(source.read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise ChartError(f"there is no chart {name!r}", step="load chart") from None
    return parse_chart(name, data)
