"""Data exchanged between the scheduler and the links to upstreams."""

from __future__ import annotations

from attrs import frozen


@frozen
class StartOrder:
    """Order to start a run of a task.

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
    """A run that an upstream lists as active.

    :param checkpoint: progress that it has saved, empty for none.
    :param percent: share of full speed of a long-running task, 0 while it starts; completed share
        of the work of any other task.
    :param load: tail latency in ms of a serving task, otherwise cpu use in millicores.
    """

    task_name: str
    run: int
    checkpoint: str
    percent: int
    load: int


@frozen
class EndedRun:
    """A run that has ended.

    :param number: sequence number of the end at its upstream, from 1 in each incarnation.
    :param outcome: ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease expired), ``broken`` or
        ``alone``.
    """

    number: int
    task_name: str
    run: int
    outcome: str
    checkpoint: str


@frozen
class UpstreamReport:
    """An upstream's report on its runs.

    :param clock_ms: the upstream's monotonic clock.
    :param started_ms: Unix time of its start, 0 if unknown.
    :param live: active runs; a run that is being stopped is in neither list.
    :param ended: ended runs that have not been acknowledged.
    """

    clock_ms: int
    started_ms: int
    live: tuple[LiveRun, ...]
    ended: tuple[EndedRun, ...]
