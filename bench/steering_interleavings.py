"""Deliver, lose, restart and expire plans at will; check the escrow.

`EscrowModel` holds nodes with skewed clocks, the stored plans and what a
planner may see of them. Tests and the long run of the measurement choose
the operations.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from bilberry_resources.snapshot import ConfigSnapshot
from bilberry_steering.block_table import BlockTable
from bilberry_steering.inputs import Member, PlannerInputs, RegionHealth
from bilberry_steering.messages import Demand, NodeReport, Plan
from bilberry_steering.node import NodeSteering
from bilberry_steering.planner import Planner

TOLERANCE = 1e-6
MAX_SKEW_MS = 900
ADVANCES_MS = (100, 3_000, 10_000, 61_000, 600_000, 4_000_000)


@dataclass(slots=True)
class Vm:
    """Hold a node, its place, its clock's offset and its last report."""

    member: Member
    skew_ms: int
    node: NodeSteering
    report: NodeReport | None = None


@dataclass(slots=True)
class EscrowModel:
    """Apply operations to a fleet and compare quotas with capacity."""

    snapshot: ConfigSnapshot
    count: int
    member_bound: int
    now_ms: int = 10_000_000
    vms: dict[str, Vm] = field(default_factory=dict)
    reports: dict[str, NodeReport] = field(default_factory=dict)
    plans: list[Plan] = field(default_factory=list)
    departed: set[str] = field(default_factory=set)
    epoch: int = 1
    made: int = 0
    refused: int = 0
    fullest: float = 0.0

    def __post_init__(self) -> None:
        for _ in range(self.count):
            self.add_vm()

    def add_vm(self) -> None:
        """Start a VM under a new name, if the bound allows another."""
        if len(self.vms) >= self.member_bound:
            return
        regions = sorted(self.snapshot.regions)
        name = f"n{self.made}"
        region = regions[self.made % len(regions)]
        skew_ms = (self.made * 37 % 3 - 1) * MAX_SKEW_MS
        self.made += 1
        member = Member(name, region)
        self.vms[name] = Vm(member, skew_ms, self.start_node(member, skew_ms))

    def start_node(self, member: Member, skew_ms: int) -> NodeSteering:
        """Return a node that starts now and knows the configuration."""
        now_ms = self.now_ms + skew_ms
        node = NodeSteering(
            member.node,
            member.region,
            started_ms=now_ms,
            member_bound=self.member_bound,
        )
        node.install_config(self.snapshot, BlockTable(), now_ms)
        return node

    def pick(self, number: int) -> Vm:
        """Return the VM that a number chooses."""
        names = sorted(self.vms)
        return self.vms[names[number % len(names)]]

    def advance(self, delta_ms: int) -> None:
        """Let time pass."""
        self.now_ms += delta_ms

    def deliver(self, vm_number: int, plan_number: int) -> None:
        """Hand a node any plan ever stored, counted from the newest."""
        if not self.plans:
            return
        vm = self.pick(vm_number)
        plan = self.plans[-1 - plan_number % len(self.plans)]
        vm.node.install_plan(plan, self.now_ms + vm.skew_ms)

    def deliver_newest(self) -> None:
        """Hand the newest plan to every node."""
        for number in range(len(self.vms)):
            self.deliver(number, 0)

    def report(self, vm_number: int, rate: int) -> None:
        """Let a node make a report; it may reach the planner much later."""
        vm = self.pick(vm_number)
        report = vm.node.collect_report(self.now_ms + vm.skew_ms)
        group = vm.node.default_group.key
        requests = rate * report.window_ms / 1_000
        report.demands = [Demand("suivi", group, requests)]
        vm.report = report

    def collect(self, vm_number: int) -> None:
        """Let a node's last report arrive at the planner."""
        vm = self.pick(vm_number)
        if vm.report is not None:
            self.reports[vm.member.node] = vm.report

    def report_all(self, rate: int) -> None:
        """Let every node report at once."""
        for number in range(len(self.vms)):
            self.report(number, rate)
            self.collect(number)

    def restart(self, vm_number: int) -> None:
        """Restart a node: it forgets its plan."""
        vm = self.pick(vm_number)
        vm.node = self.start_node(vm.member, vm.skew_ms)
        vm.report = None

    def remove(self, vm_number: int) -> None:
        """End a VM for good; the platform lists it as gone."""
        if len(self.vms) < 2:
            return
        name = self.pick(vm_number).member.node
        del self.vms[name]
        self.departed.add(name)

    def plan(self, unseen: int, lost_region: str | None, previous: int = 0) -> None:
        """Make a plan that doesn't see some nodes; store it if it follows.

        `previous` counts plans back from the newest, as a paused planner
        would read; the store refuses the plan of one that is behind.
        """
        base = self.plans[-1 - previous % len(self.plans)] if self.plans else None
        names = sorted(self.vms)
        live = [
            self.vms[name].member
            for index, name in enumerate(names)
            if (unseen >> (index % 16)) & 1 == 0
        ]
        health = {lost_region: RegionHealth(0.0)} if lost_region else {}
        inputs = PlannerInputs(
            self.snapshot,
            self.reports,
            live,
            previous_plan=base,
            epoch=self.epoch,
            region_health=health,
            departed_nodes=frozenset(self.departed),
            member_bound=self.member_bound,
        )
        plan = Planner().plan(inputs, self.now_ms).plan
        if base is not None and base is not self.plans[-1]:
            self.refused += 1
            return
        self.plans.append(msgspec.json.decode(msgspec.json.encode(plan), type=Plan))

    def change_planner(self) -> None:
        """Let the lease pass to another planner."""
        self.epoch += 1

    def overdrawn(self) -> list[str]:
        """Return each resource whose quotas pass its capacity now."""
        sums: dict[str, float] = {}
        for vm in self.vms.values():
            amounts = vm.node.quotas.amounts_at(self.now_ms + vm.skew_ms)
            for resource, amount in amounts.items():
                sums[resource] = sums.get(resource, 0.0) + amount
        vm = next(iter(self.vms.values()))
        capacities = vm.node.quotas.capacities.amounts
        for resource, total in sums.items():
            self.fullest = max(self.fullest, total / capacities[resource])
        return [
            f"{resource}: {total:.2f} of {capacities[resource]:.2f}"
            for resource, total in sums.items()
            if total > capacities[resource] + TOLERANCE
        ]


def _deliver(model: EscrowModel, chance: random.Random) -> None:
    plan = min(int(chance.expovariate(1.0)), 5)
    model.deliver(chance.randrange(1 << 16), plan)


def _report(model: EscrowModel, chance: random.Random) -> None:
    vm = chance.randrange(1 << 16)
    model.report(vm, chance.choice((0, 5, 50, 500)))
    model.collect(vm + chance.randrange(2))


def _plan(model: EscrowModel, chance: random.Random) -> None:
    unseen = chance.choice((0, 0, 1 << chance.randrange(16), 0x5555))
    lost = chance.choice((None, None, None, "mtl"))
    model.plan(unseen, lost, previous=chance.choice((0, 0, 0, 1, 3)))


OPERATIONS: list[tuple[int, Callable[[EscrowModel, random.Random], None]]] = [
    (30, _deliver),
    (10, lambda model, chance: model.deliver_newest()),
    (15, _report),
    (5, lambda model, chance: model.report_all(chance.choice((5, 50, 500)))),
    (15, _plan),
    (15, lambda model, chance: model.advance(chance.choice(ADVANCES_MS[:4]))),
    (1, lambda model, chance: model.advance(chance.choice(ADVANCES_MS))),
    (4, lambda model, chance: model.restart(chance.randrange(1 << 16))),
    (1, lambda model, chance: model.remove(chance.randrange(1 << 16))),
    (2, lambda model, chance: model.add_vm()),
    (2, lambda model, chance: model.change_planner()),
]
WEIGHTS = [weight for weight, _ in OPERATIONS]


def random_operation(model: EscrowModel, chance: random.Random) -> None:
    """Apply one operation chosen by a seeded generator."""
    _, operation = chance.choices(OPERATIONS, WEIGHTS)[0]
    operation(model, chance)
