"""Compare what one node does in small and large fleets."""

import time

from bilberry_balance.placement.candidates import UpstreamRequirements
from bilberry_balance.placement.cold_rate_limiter import ColdRateLimiter
from bilberry_balance.placement.directory import UpstreamDirectory
from bilberry_balance.placement.distances import Location
from bilberry_balance.placement.peer_loads import PeerLoads
from bilberry_balance.placement.processing_times import ProcessingTimes
from bilberry_balance.placement.rate_limiter import RateLimiter
from bilberry_balance.placement.selector import UpstreamSelector
from bilberry_balance.placement.upstream import UpstreamSpec
from bilberry_testing.machines.network import SimulatedNetwork

from .report import Options, Report

SERVICE = "s"
REGIONS = ("a", "b", "c")
SLOTS = 9
KEYS = 200
SMALL_POOL, LARGE_POOL = 12, 400
MAX_CHOICE_RATIO = 2.0
# Nodes by failure domain: 12 in 6, 195 in 9.
FLEETS = {12: (6, 2), 195: (9, 22), 880: (16, 55)}
MAX_STATE_RATIO = 3.0
SETTLE_MS = 4_000
UPSTREAMS_IN_USE = 12


def make_selector(count: int) -> UpstreamSelector:
    """Return a selector with `count` upstreams in three regions."""
    limiter = ColdRateLimiter("n1")
    directory = UpstreamDirectory(limiter)
    for index in range(count):
        region = REGIONS[index % len(REGIONS)]
        address = f"10.0.0.{index % 250}:80"
        spec = UpstreamSpec(f"u{index}", SERVICE, address, f"{region}-1", region, SLOTS)
        directory.put(spec, draining=False)
    location = Location(f"{REGIONS[0]}-1", REGIONS[0])
    return UpstreamSelector(
        location, directory.pools, PeerLoads(), limiter, RateLimiter("n1")
    )


def choice_us(count: int, rounds: int, full: bool) -> float:
    """Return the time of one choice in us, with warm caches."""
    selector = make_selector(count)
    if full:
        for upstream in selector.pools[SERVICE].values():
            upstream.in_flight = SLOTS
    times = ProcessingTimes.from_target(600)
    asked = [UpstreamRequirements(SERVICE, f"k{n}", times) for n in range(KEYS)]
    started_ns = 0
    for index in range(rounds + KEYS):
        if index == KEYS:
            started_ns = time.perf_counter_ns()
        selector.select(
            asked[index % KEYS],
            lambda upstream: not upstream.draining,
            lambda regions, now_ms: regions[0] if regions else None,
            index,
        )
    return (time.perf_counter_ns() - started_ns) / 1_000 / rounds


class FleetCost:
    """Store what one node sends and handles in a second."""

    __slots__ = ("bytes_per_s", "handling_us_per_s", "messages_per_s")

    def __init__(self, nodes: int, duration_ms: int) -> None:
        domains, each = FLEETS[nodes]
        network = SimulatedNetwork(domains, each, regions=len(REGIONS))
        for number, node in enumerate(network.nodes.values()):
            node.in_flight = {
                f"i-{(number * 7 + index) % 150:010}": 1
                for index in range(UPSTREAMS_IN_USE)
            }
        network.run(SETTLE_MS)
        before = network.bytes_between_domains
        for node in network.nodes.values():
            node.received_count = 0
        started_ns = time.perf_counter_ns()
        network.run(duration_ms)
        took_us = (time.perf_counter_ns() - started_ns) / 1_000
        seconds = duration_ms / 1_000
        count = len(network.nodes)
        sent = network.bytes_between_domains - before
        received = sum(node.received_count for node in network.nodes.values())
        self.bytes_per_s = sent / count / seconds
        self.messages_per_s = received / count / seconds
        self.handling_us_per_s = took_us / count / seconds


def run(options: Options) -> Report:
    """Measure choices and the handling of other nodes' state."""
    report = Report()
    rounds = 2_000 if options.quick else 20_000
    parts = []
    table = report.table("One choice, us", ["upstreams", "with room", "all full"])
    small = [choice_us(SMALL_POOL, rounds, full) for full in (False, True)]
    large = [choice_us(LARGE_POOL, rounds, full) for full in (False, True)]
    table.add(SMALL_POOL, *small)
    table.add(LARGE_POOL, *large)
    names = ("choice-with-room", "choice-all-full")
    for name, few, many in zip(names, small, large, strict=True):
        parts.append(f"{name} {many / few:.2f} of {MAX_CHOICE_RATIO:.0f}")
    table = report.table(
        "State of other nodes, a node and second",
        ["nodes", "bytes between domains", "messages", "handling, us"],
    )
    fleets = (12, 195) if options.quick else tuple(FLEETS)
    costs = {nodes: FleetCost(nodes, 1_000) for nodes in fleets}
    for nodes, cost in costs.items():
        table.add(nodes, cost.bytes_per_s, cost.messages_per_s, cost.handling_us_per_s)
    few_cost, many_cost = costs[12], costs[195]
    ratio = many_cost.bytes_per_s / few_cost.bytes_per_s
    parts.append(f"state-bytes {ratio:.2f} of {MAX_STATE_RATIO:.0f}")
    ratio = many_cost.handling_us_per_s / few_cost.handling_us_per_s
    parts.append(f"state-handling {ratio:.2f} of {MAX_STATE_RATIO:.0f}")
    report.summary = ", ".join(parts)
    return report
