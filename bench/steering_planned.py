"""This project's policy: nodes and a planner behind the interface."""

import random
from dataclasses import dataclass, field

from bilberry_core.const import MS_PER_SECOND
from bilberry_resources.kinds.intents import IntentSpec
from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_steering.block_table import BlockTable
from bilberry_steering.inputs import Member, PlannerInputs, RegionHealth
from bilberry_steering.messages import NodeReport, Plan
from bilberry_steering.node import NodeSteering
from bilberry_steering.planner import Planner

from .steering_deployments import Deployment
from .steering_policies import POLICIES, Flow, Moment, Policy

OURS = "bilberry"
REPORT_INTERVAL_MS = 5_000
PLAN_DELAY_MS = 1_000
PLAN_LOSS = 0.05
WARM_UP_MS = 30_000
START_MS = 1_000_000


@dataclass(slots=True)
class Arrival:
    """Hold a report on its way to the planner."""

    at_ms: int
    report: NodeReport


@dataclass(slots=True)
class PlannedPolicy:
    """Run every node and one planner on the driver's clock."""

    deployment: Deployment
    lag_ms: int
    chance: random.Random
    snapshot: ConfigSnapshot = field(default_factory=ConfigSnapshot)
    nodes: dict[str, NodeSteering] = field(default_factory=dict)
    members: dict[str, Member] = field(default_factory=dict)
    parts: dict[str, float] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    orders: dict[str, list[str]] = field(default_factory=dict)
    reports: dict[str, NodeReport] = field(default_factory=dict)
    on_the_way: list[Arrival] = field(default_factory=list)
    plan: Plan | None = None
    plan_due_ms: int = -WARM_UP_MS
    deliver_at_ms: int | None = None
    report_due_ms: int = -WARM_UP_MS
    lost: str | None = None
    rounds: int = 0
    progress: float = 0.0

    def __post_init__(self) -> None:
        self.snapshot = self.deployment.snapshot
        for region, count in self.deployment.nodes.items():
            sizes = [self.chance.uniform(0.6, 1.4) for _ in range(count)]
            for number, size in enumerate(sizes):
                name = f"{region}-{number}"
                self.members[name] = Member(name, region)
                self.parts[name] = size / sum(sizes)
                self.nodes[name] = self.start_node(name, region, -60_000)
        sets = self.snapshot.client_block_sets
        for group in sets["clients"].groups:
            self.keys[group.regions[0]] = ",".join(group.regions)
            self.orders[group.regions[0]] = list(group.regions)

    def start_node(self, name: str, region: str, now_ms: int) -> NodeSteering:
        """Return a node that starts now."""
        bound = self.deployment.member_bound
        wall_ms = START_MS + now_ms
        node = NodeSteering(name, region, started_ms=wall_ms, member_bound=bound)
        node.install_config(self.snapshot, BlockTable(), wall_ms)
        return node

    def steer(self, moment: Moment) -> list[Flow]:
        """Return what the nodes admit in the tick that ends now."""
        self.follow_loss(moment)
        sums: dict[tuple[str, str, str, str], float] = {}
        seconds = self.deployment.tick_ms / MS_PER_SECOND
        wall_ms = START_MS + moment.now_ms
        for (service, home), rate in moment.demand.items():
            entry = moment.entries[home]
            for name, part, spilled in self.entering(service, home, entry):
                count = rate * part * seconds
                node = self.nodes[name]
                tick_ms = self.deployment.tick_ms
                key = self.keys[home]
                offered = node.route_interval(
                    service, key, count, wall_ms, tick_ms, spilled
                )
                for region, served in offered.served.items():
                    place = (service, home, self.members[name].region, region)
                    sums[place] = sums.get(place, 0.0) + served / seconds
        self.follow_intent(moment.intent, moment.now_ms)
        self.run_control(moment)
        return [Flow(*key, rate) for key, rate in sums.items() if rate > 0]

    def entering(
        self, service: str, home: str, entry: str
    ) -> list[tuple[str, float, float | None]]:
        """Return the nodes that a home's callers use, with their parts.

        Look-ups send callers of a region that returns to the next one as
        long as they spill; the last item says what share of a part does.
        """
        others = [name for name in self.orders[home] if name not in (home, self.lost)]
        spill = self.plan.services[service].spill.get(home) if self.plan else None
        lost = spill is not None and spill.lost
        away = spill.fraction if spill and lost and entry == home else 0.0
        near = self.names_in(entry)
        if away <= 0:
            return [(name, self.parts[name], None) for name in near]
        far = self.names_in(others[0])
        parts: list[tuple[str, float, float | None]] = []
        parts += [(name, self.parts[name] * (1 - away), 0.0) for name in near]
        parts += [(name, self.parts[name] * away, 1.0) for name in far]
        return parts

    def names_in(self, region: str) -> list[str]:
        """Return the nodes of a region."""
        count = self.deployment.nodes[region]
        return [f"{region}-{number}" for number in range(count)]

    def follow_intent(self, intent: IntentSpec | None, now_ms: int) -> None:
        """Apply an intent as the configuration in force everywhere."""
        if intent is None or self.snapshot.intents:
            return
        base = self.deployment.snapshot
        self.snapshot = ConfigSnapshot(
            version=base.version + 1,
            regions=base.regions,
            links=base.links,
            services=base.services,
            sites=base.sites,
            client_block_sets=base.client_block_sets,
            intents={"drain": intent},
        )
        for node in self.nodes.values():
            node.install_config(self.snapshot, BlockTable(), START_MS + now_ms)

    def follow_loss(self, moment: Moment) -> None:
        """Stop the nodes of a lost region; restart them afterwards."""
        if self.lost is not None and moment.truly_down is None:
            started_ms = moment.now_ms - self.deployment.tick_ms
            for name in self.names_in(self.lost):
                self.nodes[name] = self.start_node(name, self.lost, started_ms)
                self.reports.pop(name, None)
            self.report_due_ms = moment.now_ms
        self.lost = moment.truly_down

    def run_control(self, moment: Moment) -> None:
        """Send reports, plan and deliver when their time has come."""
        now_ms = moment.now_ms
        if now_ms >= self.report_due_ms:
            self.report_due_ms = now_ms + REPORT_INTERVAL_MS
            self.send_reports(now_ms)
        if self.deliver_at_ms is not None and now_ms >= self.deliver_at_ms:
            self.deliver(now_ms)
        if now_ms >= self.plan_due_ms:
            self.plan_due_ms = now_ms + self.deployment.plan_interval_ms
            if moment.planner_runs:
                self.make_plan(moment)

    def send_reports(self, now_ms: int) -> None:
        """Let every node that runs send a report."""
        for name, node in self.nodes.items():
            if self.members[name].region != self.lost:
                report = node.collect_report(START_MS + now_ms)
                self.on_the_way.append(Arrival(now_ms + self.lag_ms, report))

    def make_plan(self, moment: Moment) -> None:
        """Make a plan from the reports that have arrived."""
        now_ms = moment.now_ms
        for arrival in self.on_the_way:
            if arrival.at_ms <= now_ms:
                self.reports[arrival.report.node] = arrival.report
        self.on_the_way = [a for a in self.on_the_way if a.at_ms > now_ms]
        down = moment.down
        inputs = PlannerInputs(
            self.snapshot,
            self.reports,
            [m for m in self.members.values() if m.region != down],
            previous_plan=self.plan,
            region_health={down: RegionHealth(0.0)} if down else {},
            member_bound=self.deployment.member_bound,
            objective=self.deployment.objective,
        )
        result = Planner().plan(inputs, START_MS + now_ms)
        self.plan = result.plan
        self.rounds += 1
        self.deliver_at_ms = now_ms + PLAN_DELAY_MS
        if "drain" in result.shift_statuses:
            self.progress = result.shift_statuses["drain"].progress

    def deliver(self, now_ms: int) -> None:
        """Hand the plan to the nodes; a few miss it."""
        self.deliver_at_ms = None
        assert self.plan is not None
        for name, node in self.nodes.items():
            lost = self.members[name].region == self.lost
            if not lost and self.chance.random() >= PLAN_LOSS:
                node.install_plan(self.plan, START_MS + now_ms)


@POLICIES.register(OURS)
def make_planned(deployment: Deployment, lag_ms: int, seed: int) -> Policy:
    """Return this project's policy."""
    return PlannedPolicy(deployment, lag_ms, random.Random(seed))
