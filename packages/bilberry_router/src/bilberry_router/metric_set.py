"""Collect metrics and render them as Prometheus text."""

from dataclasses import dataclass
from typing import Any

from aioprometheus import Counter, Gauge, Registry, render
from aioprometheus import Histogram as HistogramCollector
from aioprometheus.collectors import Collector
from aioprometheus.histogram import Histogram as HistogramValue

from bilberry_core.histogram import Histogram

from .http.messages import Headers

ACCEPT_TEXT = ["text/plain"]
INFINITE_BOUND = float("inf")


@dataclass(slots=True, frozen=True)
class MetricText:
    """Represent rendered metrics and their HTTP headers."""

    content: bytes
    headers: Headers


class MetricSet:
    """Store the metrics of one node; each is created at its first use."""

    __slots__ = ("collectors", "registry")

    def __init__(self) -> None:
        self.registry = Registry()
        self.collectors: dict[str, Collector] = {}

    def set_gauge(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set the value of a gauge."""
        self._collector(Gauge, name, doc).set_value(labels, value)

    def set_counter(self, name: str, doc: str, value: float, **labels: str) -> None:
        """Set the value of a counter, which never decreases."""
        self._collector(Counter, name, doc).set_value(labels, value)

    def set_histogram(
        self, name: str, doc: str, values: Histogram, **labels: str
    ) -> None:
        """Set the bucket counts and the sum of a histogram."""
        collected = HistogramValue(*values.bounds)
        collected.observations = values.observations
        collected.sum = values.value_sum
        bounds = [*(float(bound) for bound in values.bounds), INFINITE_BOUND]
        collected.buckets.update(zip(bounds, values.cumulative_counts(), strict=True))
        self._collector(HistogramCollector, name, doc).set_value(labels, collected)

    def render(self) -> MetricText:
        """Return all metrics as Prometheus text."""
        content, headers = render(self.registry, ACCEPT_TEXT)
        return MetricText(content, [(str(k), str(v)) for k, v in headers.items()])

    def _collector(self, kind: Any, name: str, doc: str) -> Any:
        found = self.collectors.get(name)
        if found is None:
            found = kind(name, doc, registry=self.registry)
            self.collectors[name] = found
        return found
