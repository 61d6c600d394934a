"""Compute how much of each resource every node needs."""

from dataclasses import dataclass, field

from bilberry_resources.snapshot import ConfigSnapshot

from .demand import DemandEstimate, demand_growth_factor
from .inputs import Member, PlannerInputs
from .loads import apply_spill, entry_region, region_shares
from .messages import ServicePlan
from .resources import link_resource, region_resource, step_resource
from .topology import region_names

NodeAmountsByResource = dict[str, dict[str, float]]


@dataclass(slots=True)
class NodeNeeds:
    """Sum the needs by resource and node, in requests/s or bytes/s.

    `primary` is what nodes need now, `standby` what they need in addition if a
    region is lost.
    """

    snapshot: ConfigSnapshot
    services: dict[str, ServicePlan]
    primary: NodeAmountsByResource = field(default_factory=dict)
    standby: NodeAmountsByResource = field(default_factory=dict)
    cached_shares: dict[tuple[str, str], dict[str, float]] = field(default_factory=dict)

    def shares_for(self, service: str, group: str) -> dict[str, float]:
        """Return the regions' shares of a group after spill, cached."""
        key = (service, group)
        shares = self.cached_shares.get(key)
        if shares is None:
            shares = self.cached_shares[key] = self.compute_shares(service, group)
        return shares

    def compute_shares(self, service: str, group: str) -> dict[str, float]:
        """Return the regions' shares of a group by the service's plan."""
        plan = self.services.get(service)
        if plan is None or group not in plan.slots:
            return {}
        names = region_names(self.snapshot)
        shares = apply_spill(
            region_shares(plan.slots[group], len(names)), names, plan.spill
        )
        return {n: s for n, s in zip(names, shares, strict=True) if s > 0}

    def add_flow(
        self, node: str, home: str, service: str, region: str, rate: float
    ) -> None:
        """Add the resources for requests/s from a node to a region."""
        for resource, amount in self.resource_costs(home, service, region, rate):
            _add(self.primary, resource, node, amount)

    def add_group(self, member: Member, service: str, group: str, rate: float) -> None:
        """Add the resources for a node's part of a group's demand."""
        node, home = member.node, member.region
        _add(self.primary, step_resource(service), node, rate)
        for region, share in self.shares_for(service, group).items():
            self.add_flow(node, home, service, region, rate * share)
            self.add_standby(node, home, service, region, rate * share)

    def add_standby(
        self, node: str, home: str, service: str, region: str, rate: float
    ) -> None:
        """Add what a node needs in other regions if `region` is lost.

        At most one region is assumed to be lost at a time, so the standby
        of a resource is the largest need instead of the sum.
        """
        weights = self.services[service].failover.get(region, {})
        total = sum(weights.values())
        for target, weight in weights.items():
            part = rate * weight / total
            for resource, amount in self.resource_costs(home, service, target, part):
                by_node = self.standby.setdefault(resource, {})
                by_node[node] = max(by_node.get(node, 0.0), amount)

    def resource_costs(
        self, home: str, service: str, region: str, rate: float
    ) -> list[tuple[str, float]]:
        """Return the resources and amounts that requests/s to a region use."""
        costs = [(region_resource(service, region), rate)]
        if region != home:
            spec = self.snapshot.services[service]
            out_bytes = rate * spec.request_bytes
            costs.append((link_resource(home, region), out_bytes))
            in_bytes = rate * spec.response_bytes
            costs.append((link_resource(region, home), in_bytes))
        return costs


def compute_needs(
    inputs: PlannerInputs,
    demand: DemandEstimate,
    services: dict[str, ServicePlan],
    now_ms: int,
) -> NodeNeeds:
    """Return the needs and standby needs of all live nodes."""
    node_needs = NodeNeeds(inputs.snapshot, services)
    for service, by_group in demand.upper_per_s.items():
        if service not in inputs.snapshot.services:
            continue
        for group, upper in by_group.items():
            parts = node_demand_shares(inputs, demand, service, group, now_ms)
            for node, part in parts.items():
                node_needs.add_group(node, service, group, upper * part)
    return node_needs


def node_demand_shares(
    inputs: PlannerInputs,
    demand: DemandEstimate,
    service: str,
    group: str,
    now_ms: int,
) -> dict[Member, float]:
    """Return the share of each live node in a group's demand.

    It follows the reported rates. Without reports, the nodes of the region
    in which the group's requests arrive share the demand evenly.
    """
    rates: dict[Member, float] = {}
    for member in inputs.live_members:
        rate = demand.node_rates.get(member.node, {}).get(service, {}).get(group, 0.0)
        if rate > 0:
            age_ms = now_ms - inputs.reports[member.node].sent_at_ms
            rates[member] = rate * demand_growth_factor(age_ms)
    if not rates:
        home = entry_region(inputs.snapshot, group)
        local_members = [
            member for member in inputs.live_members if member.region == home
        ]
        rates = dict.fromkeys(local_members or inputs.live_members, 1.0)
    total = sum(rates.values())
    return {member: rate / total for member, rate in rates.items()}


def _add(needs: NodeAmountsByResource, resource: str, node: str, amount: float) -> None:
    by_node = needs.setdefault(resource, {})
    by_node[node] = by_node.get(node, 0.0) + amount
