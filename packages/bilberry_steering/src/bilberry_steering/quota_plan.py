"""Divide every resource among the nodes for the next plan."""

from dataclasses import dataclass, field

from .const import (
    BASE_CAPACITY_MARGIN,
    FLOOR_DECIMALS,
    LINK_MARGIN,
    LOCAL_FLOOR_SHARE,
    MAX_FLOOR_SHARE,
    MIN_USEFUL_UNITS,
    QUOTA_SURGE,
    REMOTE_FLOOR_SHARE,
    SURPLUS_EQUAL_SHARE,
    SURPLUS_LOCAL_SHARE,
    SURPLUS_NEED_SHARE,
)
from .demand import DemandEstimate
from .escrow import (
    Reservation,
    allocate,
    build_node_quota,
    keep_similar_amounts,
    redistribute_small_amounts,
    reorder_reservation,
    reservation_after,
)
from .inputs import PlannerInputs
from .messages import Plan
from .node_needs import NodeNeeds
from .resources import (
    STEP_PREFIX,
    Capacities,
    bootstrap_amount,
    min_link_bucket_bytes,
    region_of,
)


@dataclass(slots=True)
class NodeAllocation:
    """Store what a node may use under earlier plans, and its new amounts."""

    node: str
    region: str
    live: bool
    reservation: Reservation
    current: list[float]
    reserved: list[float]
    amounts: list[float] = field(default_factory=list)


@dataclass(slots=True)
class QuotaRound:
    """Divide every resource among the nodes for one planner round."""

    inputs: PlannerInputs
    demand: DemandEstimate
    capacities: Capacities
    resources: list[str]
    needs: NodeNeeds
    now_ms: int
    demand_factor: float = 1.0

    def __post_init__(self) -> None:
        self.demand_factor = 1 + QUOTA_SURGE + self.demand.capacity_margin

    def run(self, plan: Plan) -> None:
        """Set a plan's floors and every node's quota."""
        allocations = self.node_allocations()
        for index, resource in enumerate(self.resources):
            self.allocate_resource(index, resource, allocations)
        regions = sorted({allocation.region for allocation in allocations})
        plan.floors = {
            region: self.floor_shares(region, allocations) for region in regions
        }
        for allocation in allocations:
            if allocation.live or not allocation.reservation.is_empty:
                entry = build_node_quota(
                    plan, allocation.region, allocation.amounts, allocation.reservation
                )
                plan.nodes[allocation.node] = entry

    def floor_shares(
        self, region: str, allocations: list[NodeAllocation]
    ) -> list[float]:
        """Return the share of each amount kept after the plan expires.

        Nodes keep what they need now and lose most of their standby
        amounts, so that quotas of lost nodes don't tie up capacity.
        """
        in_region = [a for a in allocations if a.region == region]
        shares: list[float] = []
        for index, resource in enumerate(self.resources):
            needs = self.needs.primary.get(resource, {})
            needed = sum(needs.get(a.node, 0.0) for a in in_region) * self.demand_factor
            allocated = sum(a.amounts[index] for a in in_region)
            local = resource.startswith(STEP_PREFIX) or region_of(resource) == region
            min_share = LOCAL_FLOOR_SHARE if local else REMOTE_FLOOR_SHARE
            share = max(min_share, needed / allocated) if allocated > 0 else min_share
            shares.append(round(min(MAX_FLOOR_SHARE, share), FLOOR_DECIMALS))
        return shares

    def node_allocations(self) -> list[NodeAllocation]:
        """Return one for each live node and each with an earlier quota."""
        previous = self.inputs.previous_plan
        regions = {member.node: member.region for member in self.inputs.live_members}
        allocations: list[NodeAllocation] = []
        known = set(regions)
        if previous is not None:
            known |= set(previous.nodes) - self.inputs.departed_nodes
        for node in sorted(known):
            old = previous.nodes.get(node) if previous else None
            reservation, current = Reservation(), [0.0] * len(self.resources)
            if previous is not None and old is not None:
                acked = self.inputs.newest_acknowledged_plan(node)
                reservation = reservation_after(previous, old, acked, self.now_ms)
                reservation = reorder_reservation(
                    reservation, previous.resources, self.resources
                )
                if previous.resources == self.resources:
                    current = old.amounts
            region = regions.get(node) or (old.region if old else "")
            reserved = reservation.max_amounts(len(self.resources))
            allocations.append(
                NodeAllocation(
                    node, region, node in regions, reservation, current, reserved
                )
            )
        return allocations

    def allocate_resource(
        self, index: int, resource: str, allocations: list[NodeAllocation]
    ) -> None:
        """Append each node's new amount of one resource."""
        capacity = self.capacities.amounts[resource]
        member_bound = self.inputs.member_bound
        bootstrap = bootstrap_amount(resource, capacity, member_bound)
        unknown_nodes = max(0, self.inputs.member_bound - len(allocations))
        usable = capacity * self.usable_share(resource)
        budget = (
            usable * (1 - self.unallocated_share(resource)) - unknown_nodes * bootstrap
        )
        reserved = [
            max(allocation.reserved[index], bootstrap) for allocation in allocations
        ]
        wanted = self.wanted_amounts(resource, max(0.0, budget), allocations)
        current = [a.current[index] for a in allocations]
        wanted = redistribute_small_amounts(wanted, self.min_useful_amount(resource))
        wanted = keep_similar_amounts(budget, current, wanted)
        amounts = allocate(budget, reserved, wanted)
        for allocation, amount in zip(allocations, amounts, strict=True):
            allocation.amounts.append(amount)

    def min_useful_amount(self, resource: str) -> float:
        """Return the smallest amount of a resource that is of use."""
        if resource.startswith(STEP_PREFIX):
            return 0.0
        if resource in self.capacities.links:
            return MIN_USEFUL_UNITS * min_link_bucket_bytes(self.inputs.snapshot)
        return MIN_USEFUL_UNITS

    def usable_share(self, resource: str) -> float:
        """Return the share of a resource that is not lost."""
        if resource in self.inputs.lost_links:
            return 0.0
        service, _, region = resource.partition("@")
        return self.inputs.available_share(region, service) if region else 1.0

    def unallocated_share(self, resource: str) -> float:
        """Return the share of a resource that no node gets."""
        if resource in self.capacities.links:
            return LINK_MARGIN
        return BASE_CAPACITY_MARGIN

    def wanted_amounts(
        self, resource: str, budget: float, allocations: list[NodeAllocation]
    ) -> list[float]:
        """Return the amount that each node should get.

        Current needs come first, then needs after the loss of a region.
        The rest is divided as `surplus_shares` says.
        """
        needs = self.needs.primary.get(resource, {})
        standby = self.needs.standby.get(resource, {})
        live = [a for a in allocations if a.live and self.can_use(resource, a.region)]
        if not live:
            return [0.0] * len(allocations)
        needed = {a.node: needs.get(a.node, 0.0) * self.demand_factor for a in live}
        standby_needs = {
            a.node: standby.get(a.node, 0.0) * self.demand_factor for a in live
        }
        total_needed = sum(needed.values())
        shares = self.surplus_shares(resource, needed, total_needed, live)
        if total_needed > budget:
            needed = dict.fromkeys(needed, 0.0)
            total_needed = 0.0
            standby_needs = dict.fromkeys(standby_needs, 0.0)
        total_standby = sum(standby_needs.values())
        standby_fraction = (
            min(1.0, (budget - total_needed) / total_standby) if total_standby else 0.0
        )
        surplus = max(0.0, budget - total_needed - total_standby * standby_fraction)
        return [
            needed[a.node]
            + standby_needs[a.node] * standby_fraction
            + surplus * shares[a.node]
            if a.node in needed
            else 0.0
            for a in allocations
        ]

    def surplus_shares(
        self,
        resource: str,
        needed: dict[str, float],
        total_needed: float,
        live: list[NodeAllocation],
    ) -> dict[str, float]:
        """Return each node's share of the surplus.

        One part is divided by need, one among the nodes in the resource's
        region and one equally.
        """
        region = region_of(resource)
        local_nodes = sum(allocation.region == region for allocation in live)
        by_need = SURPLUS_NEED_SHARE if total_needed > 0 else 0.0
        by_location = SURPLUS_LOCAL_SHARE if local_nodes else 0.0
        total_weight = by_need + by_location + SURPLUS_EQUAL_SHARE
        equal = SURPLUS_EQUAL_SHARE / len(live) / total_weight
        near = equal + by_location / max(1, local_nodes) / total_weight
        need = by_need / total_needed / total_weight if total_needed > 0 else 0.0
        return {
            allocation.node: (near if allocation.region == region else equal)
            + need * needed[allocation.node]
            for allocation in live
        }

    def can_use(self, resource: str, region: str) -> bool:
        """Return whether nodes of a region can use a resource."""
        link = self.capacities.links.get(resource)
        return link is None or region in (link.source, link.target)
