"""Reads the event histories that the processes of a run recorded and merges them by time.

Each process writes JSON lines to its own file ``NAME.jsonl``; ``at_ms`` is CLOCK_MONOTONIC, which
all processes of a machine share.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from tarragoncart.errors import TarragoncartError


class HistoryError(TarragoncartError):
    """Raised if a line of a history is not an event; ``peer`` holds file name and line number."""


@frozen
class Event:
    """One line of a history.

    :param at_ms: CLOCK_MONOTONIC in milliseconds.
    :param source: ``caller``, ``operator``, ``worker``, ``platform`` or ``runner``.
    :param name: the recording process; for a worker, its VM.
    :param event: what happened, such as ``submit`` or ``started``.
    :param fields: all other fields of the line.
    """

    at_ms: float
    source: str
    name: str
    event: str
    fields: Mapping[str, Any] = field(factory=dict)

    def __getitem__(self, key: str) -> Any:
        return self.fields[key]

    def get(self, key: str, default: Any = None) -> Any:
        """Return a field, or the default if the line does not have it."""
        return self.fields.get(key, default)


@define
class History:
    """All events of a run, ordered by time."""

    events: tuple[Event, ...]
    _index: dict[tuple[str, str], list[Event]] = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self._index = defaultdict(list)
        for event in self.events:
            self._index[event.source, event.event].append(event)

    def select(self, source: str, *events: str) -> list[Event]:
        """Return the events of a source with any of these event names, ordered by time."""
        if len(events) == 1:
            return self._index.get((source, events[0]), [])
        chosen = (self._index.get((source, name), []) for name in events)
        return list(heapq.merge(*chosen, key=_sort_key))

    def by_request(self, source: str, *events: str) -> dict[str, list[Event]]:
        """Return the selected events grouped by request ID."""
        groups: dict[str, list[Event]] = defaultdict(list)
        for event in self.select(source, *events):
            groups[event["request_id"]].append(event)
        return groups


@frozen
class LogRecord:
    """A record of stream ``fleet``, without the copies of a batch appended more than once.

    :param at_ms: when the platform appended it.
    :param record: fields of the record in JSON form.
    """

    at_ms: float
    kind: str
    record: Mapping[str, Any]


@frozen
class TaskSpan:
    """One execution of a task at a worker, from ``start_ms`` up to but not including ``end_ms``.

    :param end_ms: infinite if the task did not end within the run.
    :param ended_by: name of the event that ended it, empty if none did.
    """

    worker: str
    request_id: str
    team: str
    start_ms: float
    end_ms: float
    ended_by: str


def _sort_key(event: Event) -> tuple[float, bool]:
    # At equal times an append sorts first, since no process acts on a record before its append.
    return event.at_ms, event.event != "append"


def read_lines(path: Path) -> Iterator[tuple[int, str]]:
    """Yield number and text of each complete line; a killed process may truncate its last line."""
    with path.open(encoding="utf-8") as lines:
        yield from ((n, line) for n, line in enumerate(lines, 1) if line.endswith("\n"))


def decode_event(path: Path, number: int, line: str) -> Event:
    """Return the event on a line.

    :raises HistoryError: if the line is not a JSON object with the four common fields.
    """
    try:
        data = json.loads(line)
        common = {key: data.pop(key) for key in ("at_ms", "source", "name", "event")}
        return Event(**common, fields=data)
    except (ValueError, KeyError, AttributeError, TypeError) as error:
        peer = f"{path.name}:{number}"
        raise HistoryError(f"not an event: {error!r}", step="read history", peer=peer) from error


def read_events(path: Path) -> Iterator[Event]:
    """Yield the events of one file."""
    return (decode_event(path, number, line) for number, line in read_lines(path))


def merge_events(streams: Iterable[Iterable[Event]]) -> History:
    """Merge streams by time; events of a stream with equal times keep their order."""
    ordered = (sorted(stream, key=_sort_key) for stream in streams)
    return History(tuple(heapq.merge(*ordered, key=_sort_key)))


def read_history(directory: Path) -> History:
    """Read every ``*.jsonl`` file of a directory.

    :raises HistoryError: if a complete line is not an event.
    """
    return merge_events(read_events(path) for path in sorted(directory.glob("*.jsonl")))


def log_records(events: Iterable[Event]) -> Iterator[LogRecord]:
    """Yield the records of stream ``fleet`` in offset order, each batch once."""
    seen: set[tuple[str, int]] = set()
    for event in events:
        if event.event != "append" or event["stream"] != "fleet":
            continue
        for data in event["records"]:
            record_key = data["batch_id"], data["index"]
            if record_key not in seen:
                seen.add(record_key)
                yield LogRecord(event.at_ms, data["kind"], data["record"])


def targets_of(event: Event) -> frozenset[str]:
    """Return the processes or data centres that an event of the runner targets."""
    target = event.get("target", ())
    return frozenset([target] if isinstance(target, str) else target)


def task_spans(history: History) -> list[TaskSpan]:
    """Return every execution of a task.

    A task ends when its worker records its end (``finished``, ``cut``, or ``killed`` with its
    attempt ID) or when the whole worker ends (``rebooted`` or ``killed`` without an attempt ID, or
    a ``kill`` by the runner, recorded after the process has exited).
    """
    running: dict[tuple[str, str], Event] = {}
    spans: list[TaskSpan] = []

    def end_tasks(keys: Iterable[tuple[str, str]], at_ms: float, ended_by: str) -> None:
        for key in keys:
            task = running.pop(key, None)
            if task is not None:
                spans.append(_span(task, at_ms, ended_by))

    for event in history.events:
        if event.source == "worker" and event.event == "started":
            running[event.name, event["attempt_id"]] = event
        elif event.source == "worker" and event.event in ("finished", "cut", "killed", "rebooted"):
            attempt_id = event.get("attempt_id")
            worker_keys = [key for key in running if key[0] == event.name]
            keys = worker_keys if attempt_id is None else [(event.name, attempt_id)]
            end_tasks(keys, event.at_ms, event.event)
        elif event.source == "runner" and event.event == "kill":
            end_tasks([key for key in running if key[0] in targets_of(event)], event.at_ms, "kill")
    end_tasks(list(running), math.inf, "")
    return sorted(spans, key=lambda span: span.start_ms)


def _span(task: Event, end_ms: float, ended_by: str) -> TaskSpan:
    return TaskSpan(
        task.name, task["request_id"], task.get("team") or "", task.at_ms, end_ms, ended_by
    )


def outages(history: History, entry: str) -> list[tuple[float, float]]:
    """Return the periods in which an entry VM does not run or cannot reach the platform.

    ``pause`` lasts until ``resume`` and ``cut`` until ``heal`` of the same target, which is the
    entry VM or its data centre (``data_centres`` in the runner's ``config`` event). A cut whose
    field ``from`` does not contain the platform is not an outage. ``kill`` and ``planned_stop``
    last until the next status of the entry VM.
    """
    names = {entry}
    for event in history.select("runner", "config"):
        names |= {event.get("data_centres", {}).get(entry, entry)}
    statuses = [e.at_ms for e in history.select("operator", "status") if e["entry"] == entry]
    spans: list[tuple[float, float]] = []
    open_outages_ms: dict[str, float] = {}
    start_event_of = {"resume": "pause", "heal": "cut"}
    for event in history.select("runner", "pause", "resume", "cut", "heal", "kill", "planned_stop"):
        if not names & targets_of(event):
            continue
        if event.event in ("kill", "planned_stop"):
            later = (at_ms for at_ms in statuses if at_ms > event.at_ms)
            spans.append((event.at_ms, next(later, math.inf)))
        elif event.event in start_event_of:
            start_ms = open_outages_ms.pop(start_event_of[event.event], None)
            if start_ms is not None:
                spans.append((start_ms, event.at_ms))
        elif "platform" in event.get("from", ("platform",)):
            open_outages_ms.setdefault(event.event, event.at_ms)
    return sorted([*spans, *((start_ms, math.inf) for start_ms in open_outages_ms.values())])


def reachable_deadline_ms(
    spans: Iterable[tuple[float, float]], from_ms: float, bound_ms: float
) -> float:
    """Return when a bound ends that restarts at the end of each outage overlapping it.

    :param spans: start and end of each outage, ordered by start.
    """
    for start_ms, end_ms in spans:
        if start_ms <= from_ms + bound_ms and end_ms > from_ms:
            from_ms = end_ms
    return from_ms + bound_ms


def pairwise_drops(values: Iterable[int]) -> Iterator[tuple[int, int]]:
    """Yield each pair of adjacent values whose second value is lower."""
    return ((a, b) for a, b in itertools.pairwise(values) if b < a)
