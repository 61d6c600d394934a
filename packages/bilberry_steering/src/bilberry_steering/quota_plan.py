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
    link_unit_bytes,
    place_of,
)


@dataclass(slots=True)
class NodeAccount:
    """Store what a node may use under earlier plans, and its new amounts."""

    node: str
    region: str
    live: bool
    hold: Reservation
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
    surge: float = 1.0

    def __post_init__(self) -> None:
        self.surge = 1 + QUOTA_SURGE + self.demand.capacity_margin

    def run(self, plan: Plan) -> None:
        """Set a plan's floors and every node's quota."""
        accounts = self.accounts()
        for index, resource in enumerate(self.resources):
            self.divide(index, resource, accounts)
        regions = sorted({account.region for account in accounts})
        plan.floors = {region: self.floors(region, accounts) for region in regions}
        for account in accounts:
            if account.live or not account.hold.is_empty:
                entry = build_node_quota(
                    plan, account.region, account.amounts, account.hold
                )
                plan.nodes[account.node] = entry

    def floors(self, region: str, accounts: list[NodeAccount]) -> list[float]:
        """Return the share of each amount kept after the plan expires.

        Nodes keep what they need now and lose most of their standby
        amounts, so that quotas of lost nodes don't tie up capacity.
        """
        near = [a for a in accounts if a.region == region]
        shares: list[float] = []
        for index, resource in enumerate(self.resources):
            needs = self.needs.primary.get(resource, {})
            needed = sum(needs.get(a.node, 0.0) for a in near) * self.surge
            given = sum(a.amounts[index] for a in near)
            local = resource.startswith(STEP_PREFIX) or place_of(resource) == region
            least = LOCAL_FLOOR_SHARE if local else REMOTE_FLOOR_SHARE
            share = max(least, needed / given) if given > 0 else least
            shares.append(round(min(MAX_FLOOR_SHARE, share), FLOOR_DECIMALS))
        return shares

    def accounts(self) -> list[NodeAccount]:
        """Return one for each live node and each with an earlier quota."""
        previous = self.inputs.previous_plan
        regions = {member.node: member.region for member in self.inputs.live_members}
        accounts: list[NodeAccount] = []
        known = set(regions)
        if previous is not None:
            known |= set(previous.nodes) - self.inputs.departed_nodes
        for node in sorted(known):
            old = previous.nodes.get(node) if previous else None
            hold, current = Reservation(), [0.0] * len(self.resources)
            if previous is not None and old is not None:
                acked = self.inputs.newest_acknowledged_plan(node)
                hold = reservation_after(previous, old, acked, self.now_ms)
                hold = reorder_reservation(hold, previous.resources, self.resources)
                if previous.resources == self.resources:
                    current = old.amounts
            region = regions.get(node) or (old.region if old else "")
            reserved = hold.max_amounts(len(self.resources))
            accounts.append(
                NodeAccount(node, region, node in regions, hold, current, reserved)
            )
        return accounts

    def divide(self, index: int, resource: str, accounts: list[NodeAccount]) -> None:
        """Append each node's new amount of one resource."""
        capacity = self.capacities.amounts[resource]
        bound = self.inputs.member_bound
        boot = bootstrap_amount(resource, capacity, bound)
        unknown = max(0, self.inputs.member_bound - len(accounts))
        usable = capacity * self.available(resource)
        budget = usable * (1 - self.margin(resource)) - unknown * boot
        reserved = [max(account.reserved[index], boot) for account in accounts]
        wanted = self.wanted(resource, max(0.0, budget), accounts)
        current = [a.current[index] for a in accounts]
        wanted = redistribute_small_amounts(wanted, self.least(resource))
        wanted = keep_similar_amounts(budget, current, wanted)
        amounts = allocate(budget, reserved, wanted)
        for account, amount in zip(accounts, amounts, strict=True):
            account.amounts.append(amount)

    def least(self, resource: str) -> float:
        """Return the smallest amount of a resource that is of use."""
        if resource.startswith(STEP_PREFIX):
            return 0.0
        if resource in self.capacities.links:
            return MIN_USEFUL_UNITS * link_unit_bytes(self.inputs.snapshot)
        return MIN_USEFUL_UNITS

    def available(self, resource: str) -> float:
        """Return the share of a resource that is not lost."""
        if resource in self.inputs.lost_links:
            return 0.0
        service, _, region = resource.partition("@")
        return self.inputs.available_share(region, service) if region else 1.0

    def margin(self, resource: str) -> float:
        """Return the share of a resource that no node gets."""
        if resource in self.capacities.links:
            return LINK_MARGIN
        return BASE_CAPACITY_MARGIN

    def wanted(
        self, resource: str, budget: float, accounts: list[NodeAccount]
    ) -> list[float]:
        """Return the amount that each node should get.

        Current needs come first, then needs after the loss of a region.
        The rest is divided as `surplus_shares` says.
        """
        needs = self.needs.primary.get(resource, {})
        standby = self.needs.standby.get(resource, {})
        live = [a for a in accounts if a.live and self.concerns(resource, a.region)]
        if not live:
            return [0.0] * len(accounts)
        asked = {a.node: needs.get(a.node, 0.0) * self.surge for a in live}
        spare = {a.node: standby.get(a.node, 0.0) * self.surge for a in live}
        total = sum(asked.values())
        shares = self.surplus_shares(resource, asked, total, live)
        if total > budget:
            asked = dict.fromkeys(asked, 0.0)
            total = 0.0
            spare = dict.fromkeys(spare, 0.0)
        whole_spare = sum(spare.values())
        part = min(1.0, (budget - total) / whole_spare) if whole_spare else 0.0
        rest = max(0.0, budget - total - whole_spare * part)
        return [
            asked[a.node] + spare[a.node] * part + rest * shares[a.node]
            if a.node in asked
            else 0.0
            for a in accounts
        ]

    def surplus_shares(
        self,
        resource: str,
        asked: dict[str, float],
        total: float,
        live: list[NodeAccount],
    ) -> dict[str, float]:
        """Return each node's share of the surplus.

        One part is divided by need, one among the nodes in the resource's
        region and one equally.
        """
        place = place_of(resource)
        local = sum(account.region == place for account in live)
        by_need = SURPLUS_NEED_SHARE if total > 0 else 0.0
        by_local = SURPLUS_LOCAL_SHARE if local else 0.0
        whole = by_need + by_local + SURPLUS_EQUAL_SHARE
        equal = SURPLUS_EQUAL_SHARE / len(live) / whole
        near = equal + by_local / max(1, local) / whole
        need = by_need / total / whole if total > 0 else 0.0
        return {
            account.node: (near if account.region == place else equal)
            + need * asked[account.node]
            for account in live
        }

    def concerns(self, resource: str, region: str) -> bool:
        """Return whether nodes of a region can use a resource."""
        ends = self.capacities.links.get(resource)
        return ends is None or region in (ends.source, ends.target)
