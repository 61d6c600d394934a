"""Counters of a node's traffic since its last report."""

from dataclasses import dataclass, field

from .messages import Demand, Flow


@dataclass(slots=True)
class TrafficCounters:
    """Count demand, results and link bytes of one report window."""

    window_start_ms: int
    demands: dict[tuple[str, str], Demand] = field(default_factory=dict)
    flows: dict[tuple[str, str, str], Flow] = field(default_factory=dict)
    link_bytes: dict[str, float] = field(default_factory=dict)

    def demand(self, service: str, group: str) -> Demand:
        """Return the counter of a service and group, created if missing."""
        key = (service, group)
        counter = self.demands.get(key)
        if counter is None:
            counter = self.demands[key] = Demand(service, group)
        return counter

    def flow(self, service: str, group: str, region: str) -> Flow:
        """Return the counter of a group in a region, created if missing."""
        key = (service, group, region)
        counter = self.flows.get(key)
        if counter is None:
            counter = self.flows[key] = Flow(service, group, region)
        return counter

    def add_link(self, resource: str, size_bytes: float) -> None:
        """Add bytes to a link's counter."""
        self.link_bytes[resource] = self.link_bytes.get(resource, 0.0) + size_bytes
