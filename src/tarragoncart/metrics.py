"""Counters and histograms, named in one place.

Only the OpenTelemetry API is imported; the SDK is loaded when an exporter is set, because it
costs more memory than control may use on a node.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from opentelemetry import metrics as api

from .registry import Registry

METER_NAME = "tarragoncart"

ReaderFactory = Callable[[], Any]

METRICS_EXPORTERS: Registry[ReaderFactory] = Registry("metrics exporter")


@METRICS_EXPORTERS.register("none")
def no_reader() -> None:
    """Return no reader: all instruments stay no-ops."""


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
    """Return a reader that keeps the metrics in memory until they are asked for."""
    from opentelemetry.sdk.metrics.export import InMemoryMetricReader

    return InMemoryMetricReader()


def start_metrics(exporter: str, attributes: dict[str, str] | None = None) -> Any:
    """Install the exporter of that name and return its reader, None for ``none``.

    :param attributes: resource attributes, such as the entry VM's name.
    :raises RegistryError: if there is no such exporter.
    """
    reader = METRICS_EXPORTERS.get(exporter)()
    if reader is None:
        return None
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    provider = MeterProvider([reader], resource=Resource.create(dict(attributes or {})))
    api.set_meter_provider(provider)
    return reader
