"""Definitions of all counters and histograms, and their exporters.

Only the OpenTelemetry API is imported. The SDK is loaded when an exporter is set, because it takes
more memory than the control software may use on a node.
"""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterator
from typing import Any

from opentelemetry import metrics as api

from .registry import Registry

METER_NAME = "tarragoncart"

# The API's instruments do nothing until an exporter is set; then they forward to the SDK's.
_meter = api.get_meter(METER_NAME)


def _counter(name: str, unit: str, description: str) -> api.Counter:
    return _meter.create_counter(f"{METER_NAME}.{name}", f"{{{unit}}}", description)


def _duration(name: str, description: str) -> api.Histogram:
    return _meter.create_histogram(f"{METER_NAME}.{name}", "ms", description)


# Callers: attributes queue, outcome, code.
REQUESTS = _counter("requests", "request", "Requests answered, by queue and outcome.")
REFUSALS = _counter("refusals", "request", "Requests refused as not run, by code.")
FORWARDS = _counter("forwards", "request", "Requests forwarded to another entry VM.")
REQUEST_DURATION = _duration("request.duration", "From a request's arrival to its answer.")
WAIT_DURATION = _duration("wait.duration", "From a job's admission to its first attempt.")

# Upstreams: attribute verdict.
ATTEMPTS = _counter("attempts", "attempt", "Attempts ended, by verdict.")
RETRIES = _counter("retries", "attempt", "Attempts after the first of a job.")
DISCARDED_ANSWERS = _counter("answers.discarded", "answer", "Late, swapped or truncated answers.")
GUARD_QUERIES = _counter("guard.queries", "query", "Questions to a worker's guard table.")

# The log: attributes result, kind, ruling.
APPENDS = _counter("log.appends", "append", "Appends ended, by result.")
RECORDS = _counter("log.records", "record", "Records applied, by kind and ruling.")
APPEND_DURATION = _duration("log.append.duration", "From an append's start to its answer.")
CONFIG_DURATION = _duration("config.duration", "From a publish to its being in force here.")

# Jobs and tasks on the platform: attributes outcome, phase.
STARTS = _counter("starts", "start", "Starts answered by upstreams, by outcome.")
RUNS = _counter("runs", "run", "Runs ended, by outcome.")
JOBS = _counter("jobs", "job", "Jobs ended, by phase.")
RESERVATIONS = _counter("reservations", "reservation", "Changes of reservations, by change.")
TASK_WAIT = _duration("task.wait", "From a step's readiness to a task's assignment, by size.")
UNUSABLE_ROOM = _meter.create_gauge(
    f"{METER_NAME}.room.unusable", "{millicore}", "Free cpu that no waiting task fits, by pool."
)
JOB_DURATION = _duration("job.duration", "From a job's acceptance to its end.")
TAKEOVERS = _counter("takeovers", "epoch", "Epochs claimed by this entry VM.")
TAKEOVER_DURATION = _duration("takeover.duration", "From a claimed epoch to the restored state.")
PROBES = _counter("leader.probes", "probe", "Questions to the leader whether it leads, by result.")
EVENT_LOOP_DELAY = _duration("event_loop.delay", "Delay of a periodic timer of the event loop.")
JOBS_LEFT = _counter("jobs.left", "job", "Accepted jobs left in the store for want of memory.")
CHECKPOINTS_DROPPED = _counter(
    "checkpoints.dropped", "checkpoint", "Saved progress that was not kept or not stored."
)
RECORDS_REJECTED = _counter(
    "records.rejected", "record", "Records that the store can never accept, by topic."
)
MALFORMED = _counter("records.malformed", "record", "Records that cannot be decoded, by source.")
DROPPED_LINES = _counter("log.lines.dropped", "line", "Log lines dropped because output stalls.")

# Connections: attributes kind, listener.
CONNECTION_REFUSALS = _counter(
    "connections.refused", "refusal", "Requests refused and connections closed by limits, by kind."
)

# Other entry VMs and the fleet: attribute result.
HEARTBEATS = _counter("peer.heartbeats", "heartbeat", "Heartbeats sent, by result.")
RIGHTS_MOVED = _counter("rights.moved", "right", "Rights taken, passed on or returned.")
VM_MOVES = _counter("vm.moves", "move", "Moves of VMs between pools.")
EVACUATIONS = _counter("evacuations", "evacuation", "Evacuations that this leader began.")
EVACUATION_MOVES = _counter(
    "evacuation.moves", "task", "Long-running tasks moved out of evacuated data centres."
)
VM_STOPS = _counter("vm.stops", "stop", "Planned stops, by result.")


@functools.lru_cache(maxsize=4_096)
def labels(**values: str) -> dict[str, str]:
    """Return the attributes of a measurement as a cached dictionary, which must not be changed."""
    return values


ReaderFactory = Callable[[], Any]

METRICS_EXPORTERS: Registry[ReaderFactory] = Registry("metrics exporter")


@METRICS_EXPORTERS.register("none")
def no_reader() -> None:
    """Return no reader, so that all instruments remain no-ops."""


@METRICS_EXPORTERS.register("console")
def console_reader() -> Any:
    """Return a reader that prints all metrics to standard output once a minute."""
    from opentelemetry.sdk.metrics.export import (
        ConsoleMetricExporter,
        PeriodicExportingMetricReader,
    )

    return PeriodicExportingMetricReader(ConsoleMetricExporter())


@METRICS_EXPORTERS.register("memory")
def memory_reader() -> Any:
    """Return a reader that keeps the metrics in memory until they are collected."""
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    return InMemoryMetricReader()


_readers: list[Any] = []


def collect() -> str | None:
    """Return all metrics as JSON; None if no reader keeps them in memory."""
    for reader in _readers:
        if hasattr(reader, "get_metrics_data"):
            data = reader.get_metrics_data()
            return "{}" if data is None else data.to_json()
    return None


def render_text() -> str:
    """Return all metrics as lines of text: name, attributes, value.

    Histograms are rendered as cumulative buckets, count and sum, as in the Prometheus text format.
    """
    lines: list[str] = []
    for reader in _readers:
        data = reader.get_metrics_data() if hasattr(reader, "get_metrics_data") else None
        for resource in data.resource_metrics if data else ():
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    name = metric.name.replace(".", "_")
                    for point in metric.data.data_points:
                        lines.extend(_render_point(name, point))
    return "\n".join(lines) + "\n"


def _render_point(name: str, point: Any) -> Iterator[str]:
    attributes = [f'{key}="{value}"' for key, value in sorted(point.attributes.items())]
    if not hasattr(point, "bucket_counts"):
        yield f"{name}{_format_labels(attributes)} {point.value}"
        return
    total = 0
    bounds = (*point.explicit_bounds, "+Inf")
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        total += count
        bucket = _format_labels([*attributes, f'le="{bound}"'])
        yield f"{name}_bucket{bucket} {total}"
    yield f"{name}_count{_format_labels(attributes)} {point.count}"
    yield f"{name}_sum{_format_labels(attributes)} {point.sum}"


def _format_labels(attributes: list[str]) -> str:
    return "{" + ",".join(attributes) + "}" if attributes else ""


def start_metrics(exporter: str, attributes: dict[str, str] | None = None) -> Any:
    """Install an exporter and return its reader, or None for the exporter ``none``.

    :param exporter: name of a registered exporter.
    :param attributes: resource attributes, such as the entry VM's name.
    :raises RegistryError: if the exporter is not registered.
    """
    reader = METRICS_EXPORTERS.get(exporter)()
    if reader is None:
        return None
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    _readers.append(reader)
    provider = MeterProvider([reader], resource=Resource.create(dict(attributes or {})))
    api.set_meter_provider(provider)
    return reader
