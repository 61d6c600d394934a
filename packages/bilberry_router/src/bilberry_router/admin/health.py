"""Report liveness, readiness, metrics and the overview."""

from collections.abc import Callable

import msgspec

from bilberry_fleet.task import FleetTask

from ..http.messages import Response
from ..metric_set import MetricSet
from ..state import NodeState
from .overview import Overview

MetricSource = Callable[[MetricSet], None]


class Live(msgspec.Struct):
    """Say that the process answers."""

    name: str
    uptime_ms: int


class Readiness(msgspec.Struct):
    """Say whether callers may be sent to this node, and why not."""

    ready: bool
    reason: str
    config_version: int
    config_source: str
    leaving: bool


class HealthReporter:
    """Answer what the admin address tells of the node itself."""

    def __init__(
        self,
        state: NodeState,
        fleet: FleetTask,
        overview: Callable[[], Overview],
        sources: list[MetricSource],
    ) -> None:
        self.state = state
        self.fleet = fleet
        self.overview = overview
        self.sources = sources
        self.metric_set = MetricSet()

    def live(self) -> Live:
        """Return that the process answers."""
        uptime_ms = self.state.clock.now_ms() - self.state.started_ms
        return Live(self.state.settings.node.name, uptime_ms)

    def ready(self) -> Readiness:
        """Return whether the node may serve callers."""
        reason = self.reason()
        return Readiness(
            ready=not reason,
            reason=reason,
            config_version=self.state.snapshot.version,
            config_source=self.fleet.config_freshness().source.value,
            leaving=self.state.leaving,
        )

    def reason(self) -> str:
        """Return why the node isn't ready, empty when it is."""
        if self.state.leaving:
            return "leaving"
        if not self.state.is_configured:
            return "no configuration installed yet"
        return ""

    def metrics(self) -> Response:
        """Return all metrics."""
        for source in self.sources:
            source(self.metric_set)
        text = self.metric_set.render()
        return Response(200, text.content, text.headers)
