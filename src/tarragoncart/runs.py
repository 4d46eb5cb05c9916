"""What is said between the scheduler and the links to upstreams."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartOrder:
    """Order to start one run of a task.

    :param text: the job's opaque text.
    :param checkpoint: saved progress to resume from, empty for none.
    :param ticket: permission of the advice service, empty for none.
    """

    task_name: str
    run: int
    text: str
    checkpoint: str = ""
    ticket: str = ""


@frozen
class LiveRun:
    """A run that an upstream lists as present.

    :param percent: share of full speed at which it works; 0 while it starts.
    :param load: tail latency in ms of a serving task, otherwise cpu in use in millicores.
    """

    task_name: str
    run: int
    checkpoint: str
    percent: int
    load: int


@frozen
class EndedRun:
    """A run that has ended.

    :param number: position in the upstream's list of ends.
    :param outcome: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken`` or ``alone``.
    """

    number: int
    task_name: str
    run: int
    outcome: str
    checkpoint: str


@frozen
class UpstreamReport:
    """All that an upstream says of its runs.

    :param clock_ms: the upstream's own steady clock.
    :param born_ms: Unix time of its start, 0 if it does not say.
    """

    clock_ms: int
    born_ms: int
    live: tuple[LiveRun, ...]
    ended: tuple[EndedRun, ...]
