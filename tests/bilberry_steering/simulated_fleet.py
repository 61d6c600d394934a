"""Configurations and a simulated fleet for the steering tests."""

from bilberry_resources.kinds.clients import ClientBlockGroup, ClientBlockSetSpec
from bilberry_resources.kinds.intents import IntentSpec, ShiftStepLimit
from bilberry_resources.kinds.services import Priority, ServiceSpec
from bilberry_resources.kinds.topology import LinkSpec, RegionSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_steering.block_table import BlockTable
from bilberry_steering.inputs import Member, PlannerInputs
from bilberry_steering.node import NodeSteering
from bilberry_steering.planner import Planner

REGIONS = ("mtl", "qc", "sag")
LINK_BYTES_PER_S = 50_000_000


def make_snapshot(
    capacity=300.0, link=LINK_BYTES_PER_S, services=("suivi",), **intents
):
    """Return a configuration of three linked regions.

    Each region has one client block.
    """
    snapshot = ConfigSnapshot(version=1)
    for region in REGIONS:
        rates = dict.fromkeys(services, capacity)
        snapshot.regions[region] = RegionSpec(
            failure_domains=["a", "b"], capacity_per_s=rates
        )
        for other in REGIONS:
            if other != region:
                snapshot.links[f"{region}-{other}"] = LinkSpec(
                    source=region, target=other, budget_bytes_per_s=link, one_way_ms=55
                )
    for name in services:
        snapshot.services[name] = ServiceSpec(priority=Priority.NORMAL)
    groups = [
        ClientBlockGroup(
            regions=[region, *[r for r in REGIONS if r != region]],
            prefixes=[f"10.{number}.0.0/16"],
        )
        for number, region in enumerate(REGIONS)
    ]
    snapshot.client_block_sets["all"] = ClientBlockSetSpec(groups=groups)
    snapshot.intents.update(intents)
    return snapshot


def weights_intent(weights, max_share=0.1, rate=None, **fields):
    cap = ShiftStepLimit(max_share=max_share, max_rate_per_s=rate)
    fields = {"step_ms": 10_000, "soak_ms": 10_000, **fields}
    return IntentSpec(service="suivi", weights=weights, cap=cap, **fields)


class SimulatedFleet:
    """Run nodes and a planner on one manual clock."""

    def __init__(self, snapshot, nodes=3, demand=60.0, member_bound=None):
        self.snapshot = snapshot
        self.table = BlockTable.build(snapshot.client_block_sets)
        self.now_ms = 1_000_000
        self.demand = demand
        self.member_bound = member_bound or nodes
        self.members = [Member(f"n{i}", REGIONS[i % 3]) for i in range(nodes)]
        self.nodes = {m.node: self.make_node(m) for m in self.members}
        self.reports = {}
        self.plan = None
        self.health = {}
        self.lost_links = frozenset()
        self.last_round = None
        self.unreachable_nodes = set()
        self.silent_nodes = set()
        self.offered = {}
        self.epoch = 1
        self.history = []
        self.latency_ms = 10.0
        self.error_share = {}

    def make_node(self, member):
        node = NodeSteering(
            member.node,
            member.region,
            started_ms=self.now_ms - 10_000,
            member_bound=self.member_bound,
        )
        node.install_config(self.snapshot, self.table, self.now_ms - 10_000)
        return node

    def install_config(self, snapshot):
        self.snapshot = snapshot
        for node in self.nodes.values():
            node.install_config(snapshot, self.table, self.now_ms)

    def group_key(self, region):
        return ",".join([region, *[r for r in REGIONS if r != region]])

    def tick(self, seconds=1):
        """Offer `demand` requests/s in each region, split evenly by node."""
        for _ in range(seconds):
            self.now_ms += 1_000
            self.offered = {}
            for member in self.members:
                node_count = sum(m.region == member.region for m in self.members)
                count = self.demand / node_count
                node = self.nodes[member.node]
                for service in self.snapshot.services:
                    key = self.group_key(member.region)
                    result = node.route_interval(service, key, count, self.now_ms)
                    self.offered[(member.node, service)] = result
                    self.record_results(node, service, key, result)
            self.history.append((self.now_ms, self.served_by_region()))

    def record_results(self, node, service, key, result):
        for region, served in result.served.items():
            flow = node.tallies.flow(service, key, region)
            flow.errors += served * self.error_share.get(region, 0.0)
            flow.latency_ms += served * self.latency_ms

    def served_by_region(self):
        """Return the served requests/s by entry region and serving region."""
        result = {}
        for member in self.members:
            served = self.offered[(member.node, "suivi")].served
            served_in = result.setdefault(member.region, {})
            for region, count in served.items():
                served_in[region] = served_in.get(region, 0.0) + count
        return result

    def max_moved_within(self, span_ms, regions=None):
        """Return the most requests/s that changed region in a time span.

        Compares where requests are served now with each second of the last
        `span_ms`, independently of the nodes' own counts. With `regions`,
        only moves to these count.
        """
        now = self.history[-1][1]
        earlier = [s for at, s in self.history if self.now_ms - at <= span_ms]
        return max(
            sum(moved_requests(then[home], now[home], regions) for home in now)
            for then in earlier
        )

    def served(self, region):
        return sum(r.served.get(region, 0.0) for r in self.offered.values())

    def served_between(self, source, target):
        """Return the requests/s that nodes of one region sent to another."""
        return sum(
            self.offered[(m.node, "suivi")].served.get(target, 0.0)
            for m in self.members
            if m.region == source
        )

    def moved(self):
        return sum(r.moved for r in self.offered.values())

    def shed(self):
        return sum(r.shed for r in self.offered.values())

    def inputs(self):
        return PlannerInputs(
            snapshot=self.snapshot,
            reports=self.reports,
            live_members=self.members,
            epoch=self.epoch,
            previous_plan=self.plan,
            region_health=self.health,
            lost_links=self.lost_links,
            member_bound=self.member_bound,
        )

    def plan_round(self):
        """Collect reports, make a plan and deliver it.

        Nodes in `silent_nodes` don't report, nodes in `unreachable_nodes` get
        no plan.
        """
        for name, node in self.nodes.items():
            report = node.collect_report(self.now_ms)
            if name not in self.silent_nodes:
                self.reports[name] = report
        self.last_round = Planner().plan(self.inputs(), self.now_ms)
        self.plan = self.last_round.plan
        for name, node in self.nodes.items():
            if name not in self.unreachable_nodes:
                node.install_plan(self.plan, self.now_ms)
        return self.last_round

    def run(self, rounds, seconds=5):
        for _ in range(rounds):
            self.tick(seconds)
            self.plan_round()


def moved_requests(then, now, regions=None):
    """Return how many of the requests `now` changed region since `then`."""
    total_then, total_now = sum(then.values()), sum(now.values())
    gains = [
        count / total_now - then.get(region, 0.0) / total_then
        for region, count in now.items()
        if regions is None or region in regions
    ]
    return sum(max(0.0, gain) for gain in gains) * total_now
