"""What the nodes of a placement simulation tell each other."""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from bilberry_balance.placement.rate_limit import RateLimitReport
from bilberry_balance.placement.rate_limiter import (
    make_rate_limit_reports,
    merge_rate_limit_reports,
    newest_reports,
)
from bilberry_balance.placement.restarts import RestartReport
from bilberry_balance.placement.slow_reports import (
    SlowReport,
    make_slow_reports,
    merge_slow_reports,
)

from .placement_events import EventLoop
from .placement_model import DeploymentModel
from .placement_node import SimulatedNode

HEARTBEAT_MS = 300
REGION_SUMMARY_MS = 250
DISTANT_SUMMARY_MS = 1_000


@dataclass(slots=True, frozen=True)
class Summary:
    """Represent what one failure domain tells the others."""

    domain: str
    in_flight: Counter[str]
    slow_upstreams: list[SlowReport]
    rate_limits: list[RateLimitReport]
    send_rates: Counter[str]
    restarts: list[RestartReport]


@dataclass(slots=True, frozen=True)
class PeerMessages:
    """Send heartbeats within domains and summaries between them."""

    loop: EventLoop
    model: DeploymentModel
    nodes: dict[str, list[SimulatedNode]]

    def start(self, rng: random.Random) -> None:
        """Schedule the first messages."""
        for domain, nodes in self.nodes.items():
            self.loop.at(0, self.send_summaries, domain, REGION_SUMMARY_MS, True)
            self.loop.at(0, self.send_summaries, domain, DISTANT_SUMMARY_MS, False)
            for node in nodes:
                self.loop.at(rng.randrange(HEARTBEAT_MS), self.send_heartbeat, node)

    def send_heartbeat(self, node: SimulatedNode) -> None:
        """Tell the other nodes of the domain this node's requests."""
        counts = node.state.in_flight()
        now_ms = self.loop.clock.now_ms()
        slow = make_slow_reports(node.state.upstreams.by_name.values(), now_ms)
        limits = limits_of(node, now_ms)
        rates = rates_of(node, now_ms)
        restarts = node.state.restarts.make_reports(now_ms)
        for peer in self.nodes[node.location.failure_domain]:
            if peer is not node:
                peer.state.peer_loads.update(node.state.node, counts, now_ms)
                merge_slow_reports(slow, peer.state.upstreams.by_name, now_ms)
                merge_rates(peer, node.state.node, rates, limits, now_ms)
                peer.state.restarts.merge(restarts, now_ms)
        self.loop.after(HEARTBEAT_MS, self.send_heartbeat, node)

    def send_summaries(self, domain: str, interval_ms: int, in_region: bool) -> None:
        """Tell the nodes of other domains the requests of this one."""
        summary = self.summarize(domain)
        region = domain.rpartition("-")[0]
        for other in self.nodes:
            same = other.rpartition("-")[0] == region
            if other == domain or same is not in_region:
                continue
            delay_ms = self.model.domain_ms if same else self.model.region_ms
            self.loop.after(delay_ms, self.receive_summary, other, summary, same)
        self.loop.after(
            interval_ms, self.send_summaries, domain, interval_ms, in_region
        )

    def summarize(self, domain: str) -> Summary:
        """Return the summary that a domain's first node sends."""
        now_ms = self.loop.clock.now_ms()
        total: Counter[str] = Counter()
        rates: Counter[str] = Counter()
        for node in self.nodes[domain]:
            total.update(node.state.in_flight())
            rates.update(rates_of(node, now_ms))
        limits = newest_reports(limits_of(node, now_ms) for node in self.nodes[domain])
        upstreams = self.nodes[domain][0].state.upstreams.by_name.values()
        slow = make_slow_reports(upstreams, now_ms)
        restarts = self.nodes[domain][0].state.restarts.make_reports(now_ms)
        return Summary(domain, total, slow, limits, rates, restarts)

    def receive_summary(self, domain: str, summary: Summary, same_region: bool) -> None:
        """Apply another domain's summary at all nodes of a domain."""
        now_ms = self.loop.clock.now_ms()
        for node in self.nodes[domain]:
            loads = node.state.peer_loads
            if same_region:
                loads.update(summary.domain, summary.in_flight, now_ms)
            else:
                loads.update_mean(summary.domain, summary.in_flight, now_ms)
            upstreams = node.state.upstreams.by_name
            node.state.restarts.merge(summary.restarts, now_ms)
            merge_slow_reports(summary.slow_upstreams, upstreams, now_ms)
            merge_rates(
                node, summary.domain, summary.send_rates, summary.rate_limits, now_ms
            )


def limits_of(node: SimulatedNode, now_ms: int) -> list[RateLimitReport]:
    """Return the limits that a node tells its peers."""
    return make_rate_limit_reports(node.state.upstreams.by_name.values(), now_ms)


def rates_of(node: SimulatedNode, now_ms: int) -> dict[str, float]:
    """Return the rates that a node tells its peers."""
    upstreams = node.state.upstreams.by_name.values()
    return node.state.rate_limiter.send_rates(upstreams, now_ms)


def merge_rates(
    node: SimulatedNode,
    source: str,
    rates: Mapping[str, float],
    limits: list[RateLimitReport],
    now_ms: int,
) -> None:
    """Apply what a node or domain sends, and the limits that it was told."""
    node.state.rate_limiter.peer_rates.update(source, rates, now_ms)
    merge_rate_limit_reports(limits, node.state.upstreams.by_name, now_ms)
