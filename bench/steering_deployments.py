"""Deployments that the steering measurement runs: sizes and demand."""

from dataclasses import dataclass, field

from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec
from bilberry_resources.kinds.services import Priority, ServiceSpec
from bilberry_resources.kinds.topology import LinkSpec, RegionSpec, SiteSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_steering.const import OBJECTIVE_HEADROOM, OBJECTIVE_LATENCY
from bilberry_steering.topology import regions_by_distance

LINK_BUDGET_BYTES_PER_S = 25_000_000
TARGET_LINK_BYTES_PER_S = 500_000_000
NORMAL_UTILIZATION = 0.45


@dataclass(slots=True)
class Deployment:
    """Hold a configuration, its nodes and its normal demand per second."""

    name: str
    snapshot: ConfigSnapshot
    nodes: dict[str, int]
    homes: dict[str, float]
    shifted: str
    drained: str
    peaking: str
    client_ms: float
    objective: str
    plan_interval_ms: int = 5_000
    tick_ms: int = 1_000
    demand: dict[tuple[str, str], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for service in self.snapshot.services:
            total = sum(self.capacity(service, r) for r in self.snapshot.regions)
            for home, share in self.homes.items():
                rate = total * NORMAL_UTILIZATION * share
                self.demand[(service, home)] = rate

    def capacity(self, service: str, region: str) -> float:
        """Return the requests/s of a service that a region bears."""
        return self.snapshot.regions[region].capacity_per_s[service]

    @property
    def member_bound(self) -> int:
        """Return the most nodes that run at once."""
        return sum(self.nodes.values())


def _topology(
    capacities: dict[str, dict[str, float]], one_way_ms: float, budget: int, sites: int
) -> ConfigSnapshot:
    snapshot = ConfigSnapshot(version=1)
    domains = ["a", "b"]
    for region, rates in capacities.items():
        snapshot.regions[region] = RegionSpec(
            failure_domains=domains, capacity_per_s=rates
        )
        for other in capacities:
            if other != region:
                snapshot.links[f"{region}-{other}"] = LinkSpec(
                    source=region,
                    target=other,
                    budget_bytes_per_s=budget,
                    one_way_ms=one_way_ms,
                )
    names = list(capacities)
    for number in range(sites):
        region, domain = names[number % len(names)], domains[number // len(names) % 2]
        snapshot.sites[f"site-{number}"] = SiteSpec(
            region=region, failure_domain=domain
        )
    groups = [
        ClientBlockGroup(
            regions=regions_by_distance(snapshot, region),
            prefixes=[f"10.{number}.0.0/16"],
        )
        for number, region in enumerate(names)
    ]
    snapshot.client_block_sets["clients"] = ClientBlockSetSpec(groups=groups)
    return snapshot


def arcq() -> Deployment:
    """Return the repair shops' deployment at today's size."""
    rates = {"suivi": 720.0, "reserve": 200.0, "annuaire": 1_050.0}
    regions = dict.fromkeys(("mtl", "qc", "sag"), rates)
    snapshot = _topology(regions, 55, LINK_BUDGET_BYTES_PER_S, 6)
    snapshot.services = {
        "suivi": ServiceSpec(priority=Priority.NORMAL, response_bytes=8_000),
        "reserve": ServiceSpec(
            priority=Priority.HIGH, reserved_share=0.15, response_bytes=4_000
        ),
        "annuaire": ServiceSpec(
            priority=Priority.NORMAL, reserved_share=0.15, response_bytes=30_000
        ),
    }
    return Deployment(
        "arcq",
        snapshot,
        nodes={"mtl": 4, "qc": 4, "sag": 3},
        homes={"mtl": 0.5, "qc": 0.3, "sag": 0.2},
        shifted="suivi",
        drained="mtl",
        peaking="annuaire",
        client_ms=8,
        objective=OBJECTIVE_HEADROOM,
    )


def cdra() -> Deployment:
    """Return the delivery records' deployment at today's size."""
    rates = {"tracker": 600.0, "handover": 200.0, "gallery": 160.0}
    regions = dict.fromkeys(("lowlands", "highlands", "borders"), rates)
    snapshot = _topology(regions, 35, LINK_BUDGET_BYTES_PER_S, 6)
    snapshot.services = {
        "tracker": ServiceSpec(priority=Priority.NORMAL, response_bytes=5_000),
        "handover": ServiceSpec(
            priority=Priority.HIGH, reserved_share=0.15, response_bytes=2_000
        ),
        "gallery": ServiceSpec(
            priority=Priority.LOW, request_bytes=400_000, response_bytes=300_000
        ),
    }
    return Deployment(
        "cdra",
        snapshot,
        nodes={"lowlands": 4, "highlands": 3, "borders": 3},
        homes={"lowlands": 0.5, "highlands": 0.2, "borders": 0.3},
        shifted="tracker",
        drained="highlands",
        peaking="gallery",
        client_ms=3,
        objective=OBJECTIVE_LATENCY,
    )


def target(nodes: int = 880, sites: int = 130, tick_ms: int = 5_000) -> Deployment:
    """Return a deployment of six regions at the target's size."""
    names = [f"region-{letter}" for letter in "abcdef"]
    rates = {"lookup": 12_000.0, "booking": 4_000.0, "archive": 4_000.0}
    snapshot = _topology(
        dict.fromkeys(names, rates), 40, TARGET_LINK_BYTES_PER_S, sites
    )
    snapshot.services = {
        "lookup": ServiceSpec(priority=Priority.NORMAL, response_bytes=8_000),
        "booking": ServiceSpec(
            priority=Priority.HIGH, reserved_share=0.15, response_bytes=4_000
        ),
        "archive": ServiceSpec(priority=Priority.LOW, response_bytes=60_000),
    }
    counts = {
        name: nodes // 6 + (1 if number < nodes % 6 else 0)
        for number, name in enumerate(names)
    }
    shares = dict(zip(names, (0.25, 0.2, 0.15, 0.15, 0.15, 0.1), strict=True))
    return Deployment(
        "target",
        snapshot,
        nodes=counts,
        homes=shares,
        shifted="lookup",
        drained="region-f",
        peaking="lookup",
        client_ms=8,
        objective=OBJECTIVE_HEADROOM,
        plan_interval_ms=10_000,
        tick_ms=tick_ms,
    )
