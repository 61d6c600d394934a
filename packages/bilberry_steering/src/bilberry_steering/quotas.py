"""Quotas of one node: those of its plan, its floor or its bootstrap."""

from dataclasses import dataclass, field
from enum import StrEnum

from .const import MAX_CLOCK_SKEW_MS
from .escrow import floor_amounts
from .messages import Plan
from .resources import STEP_PREFIX, Capacities, bootstrap_amount
from .token_bucket import TokenBucket


class QuotaSource(StrEnum):
    """Represent where the quotas of a node come from."""

    PLAN = "plan"
    FLOOR = "floor"
    BOOTSTRAP = "bootstrap"


@dataclass(slots=True)
class NodeQuotas:
    """Store a token bucket for each resource; times are wall ms.

    A plan made before the process started gives no quotas. An earlier
    process may have acknowledged a newer plan, in which case the planner
    may have given the amounts of this one to other nodes.
    """

    node: str
    started_ms: int
    member_bound: int
    capacities: Capacities = field(default_factory=Capacities)
    plan: Plan | None = None
    buckets: dict[str, TokenBucket] = field(default_factory=dict)
    min_bucket_sizes: dict[str, float] = field(default_factory=dict)
    source: QuotaSource = QuotaSource.BOOTSTRAP

    def install_config(self, capacities: Capacities, now_ms: int) -> None:
        """Install new capacities; quotas shrink with them at once."""
        self.capacities = capacities
        self.update_buckets(now_ms)

    def install_plan(self, plan: Plan, now_ms: int) -> None:
        """Install the quotas of a newer plan."""
        self.plan = plan
        self.update_buckets(now_ms)

    def update_source(self, now_ms: int) -> None:
        """Update the buckets if the source of the quotas has changed."""
        if self.source_at(now_ms) != self.source:
            self.update_buckets(now_ms)

    def source_at(self, now_ms: int) -> QuotaSource:
        """Return the source of the quotas at a time."""
        plan = self.plan
        if plan is None or self.node not in plan.nodes:
            return QuotaSource.BOOTSTRAP
        if plan.made_at_ms < self.started_ms + MAX_CLOCK_SKEW_MS:
            return QuotaSource.BOOTSTRAP
        if now_ms < plan.expires_ms:
            return QuotaSource.PLAN
        if now_ms < plan.made_at_ms + plan.floor_valid_ms:
            return QuotaSource.FLOOR
        return QuotaSource.BOOTSTRAP

    def amounts_at(self, now_ms: int) -> dict[str, float]:
        """Return the quota of each resource at a time."""
        source = self.source_at(now_ms)
        plan = self.plan
        if plan is None or source == QuotaSource.BOOTSTRAP:
            return self.bootstrap_amounts(set())
        amounts = self.bootstrap_amounts(set(plan.resources))
        node_amounts = plan.nodes[self.node].amounts
        if source == QuotaSource.FLOOR:
            node_amounts = floor_amounts(
                plan, plan.nodes[self.node].region, node_amounts
            )
        for index, resource in enumerate(plan.resources):
            capacity = self.capacities.amounts.get(resource, 0.0)
            planned_capacity = plan.capacities[index]
            scale = (
                min(1.0, capacity / planned_capacity) if planned_capacity > 0 else 0.0
            )
            amounts[resource] = node_amounts[index] * scale
        return amounts

    def bootstrap_amounts(self, planned: set[str]) -> dict[str, float]:
        """Return the bootstrap amount of each resource not in `planned`."""
        return {
            resource: bootstrap_amount(resource, capacity, self.member_bound)
            for resource, capacity in self.capacities.amounts.items()
            if resource not in planned
        }

    def update_buckets(self, now_ms: int) -> None:
        """Set every bucket to its quota."""
        self.source = self.source_at(now_ms)
        amounts = self.amounts_at(now_ms)
        for resource in set(self.buckets) - set(amounts):
            del self.buckets[resource]
        for resource, amount in amounts.items():
            bucket = self.buckets.get(resource)
            if bucket is None:
                min_size = self.min_bucket_sizes.get(resource, 1.0)
                lenient = resource.startswith(STEP_PREFIX)
                self.buckets[resource] = TokenBucket(amount, now_ms, min_size, lenient)
            else:
                bucket.set_quota(amount, now_ms)
