"""Liveness, readiness and metrics of the node."""

from collections.abc import Callable

import msgspec

from bilberry_fleet.task import FleetTask

from ..http.messages import Response
from ..metric_set import MetricSet
from ..state import NodeState
from .overview import Overview

MetricSource = Callable[[MetricSet], None]


class Liveness(msgspec.Struct):
    """Represent the answer to a liveness probe."""

    name: str
    uptime_ms: int


class Readiness(msgspec.Struct):
    """Represent the answer to a readiness probe.

    `reason` tells why the node is not ready; it is empty when it is.
    """

    ready: bool
    reason: str
    config_version: int
    config_source: str
    leaving: bool


class HealthReporter:
    """Report the health and metrics of this node."""

    def __init__(
        self,
        state: NodeState,
        fleet: FleetTask,
        overview: Callable[[], Overview],
        metric_sources: list[MetricSource],
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.overview = overview
        self.metric_sources = metric_sources
        self.metric_set = MetricSet()

    def live(self) -> Liveness:
        """Return the liveness of the process, with its uptime in ms."""
        uptime_ms = self.state.clock.now_ms() - self.state.started_ms
        return Liveness(self.state.settings.node.name, uptime_ms)

    def ready(self) -> Readiness:
        """Return the readiness of the node to serve callers."""
        reason = self.not_ready_reason()
        return Readiness(
            ready=not reason,
            reason=reason,
            config_version=self.state.snapshot.version,
            config_source=self.fleet.config_freshness().source.value,
            leaving=self.state.is_leaving,
        )

    def not_ready_reason(self) -> str:
        """Return why the node is not ready, an empty text when it is."""
        if self.state.is_leaving:
            return "leaving"
        if not self.state.is_configured:
            return "no configuration installed yet"
        return ""

    def metrics(self) -> Response:
        """Return all metrics as Prometheus text."""
        for source in self.metric_sources:
            source(self.metric_set)
        text = self.metric_set.render()
        return Response(200, text.content, text.headers)
