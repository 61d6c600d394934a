"""Route all requests of an interval at once, by the rules of single ones."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from bilberry_resources.snapshot import ConfigSnapshot

from .const import HASH_SLOTS
from .quota_draws import QuotaDraw
from .routing_results import IntervalResult
from .routing_views import GroupView, ServiceView, SlotSegment
from .token_bucket import TokenBucket
from .traffic_counters import TrafficCounters


class RoutingRules(Protocol):
    """Describe the node whose rules for single requests apply."""

    snapshot: ConfigSnapshot
    tallies: TrafficCounters

    def candidate_regions(
        self, view: ServiceView, group: GroupView, owner: str, now_ms: int
    ) -> list[str]:
        """Return the regions to try, the best first."""
        ...

    def step_bucket(self, view: ServiceView) -> TokenBucket | None:
        """Return the bucket of the rate cap, None without such a cap."""
        ...

    def draw_for(self, view: ServiceView, region: str) -> QuotaDraw:
        """Return the buckets that a request to a region draws from."""
        ...


@dataclass(slots=True)
class IntervalRouter:
    """Route one group's requests, spread evenly over an interval."""

    rules: RoutingRules
    view: ServiceView
    key: str
    offered: IntervalResult

    def route_requests(self, count: float) -> IntervalResult:
        """Route requests and shed those that no region has quota for."""
        offered, now_ms = self.offered, self.offered.now_ms
        group = self.view.group(self.key, self.rules.snapshot)
        self.view.step_limiter.add_credit(count, now_ms)
        wanted: dict[str, float] = {}
        for segment in group.segments:
            share = count * segment.slots / HASH_SLOTS
            for owner, part in self.split_segment(segment, share):
                wanted[owner] = wanted.get(owner, 0.0) + part
        excess = 0.0
        for owner, part in wanted.items():
            excess += part - self.draw_quota(owner, part)
        if excess > 0:
            for region in self.rules.candidate_regions(self.view, group, "", now_ms):
                excess -= self.draw_quota(region, excess)
        offered.shed = max(0.0, excess)
        self.count_demand(count)
        return offered

    def count_demand(self, requests: float) -> None:
        """Count the interval's demand for the node's next report."""
        demand = self.rules.tallies.demand(self.view.name, self.key)
        demand.requests += requests
        demand.shed += self.offered.shed
        demand.moved += self.offered.moved
        demand.held_back += self.offered.held_back

    def split_segment(
        self, segment: SlotSegment, count: float
    ) -> Iterator[tuple[str, float]]:
        """Yield regions and requests of a segment, after step and spill."""
        moving = count
        if segment.owner_before != segment.owner_after:
            moving = self.take_step_quota(count)
            self.offered.moved += moving
            self.offered.held_back += count - moving
            yield from self.apply_spill(segment.owner_before, count - moving)
        yield from self.apply_spill(segment.owner_after, moving)

    def take_step_quota(self, count: float) -> float:
        """Return how many requests the running step may move now."""
        bucket = self.rules.step_bucket(self.view)
        if bucket is None:
            return self.view.step_limiter.spend_credit(count)
        available = bucket.available_in_interval(
            self.offered.now_ms, self.offered.interval_ms
        )
        moving = self.view.step_limiter.spend_credit(min(count, available))
        bucket.take(moving)
        return moving

    def apply_spill(self, owner: str, count: float) -> Iterator[tuple[str, float]]:
        """Yield regions and requests of an owner after spill."""
        plan = self.view.plan
        spill = plan.spill.get(owner) if plan else None
        if spill is None or spill.fraction <= 0 or not spill.targets:
            yield owner, count
            return
        fraction_override = self.offered.spill_fraction
        spilled_count = count * (
            spill.fraction if fraction_override is None else fraction_override
        )
        total = sum(spill.targets.values())
        for region, weight in spill.targets.items():
            yield region, spilled_count * weight / total
        yield owner, count - spilled_count

    def draw_quota(self, region: str, count: float) -> float:
        """Draw quotas for up to `count` requests and return how many fit."""
        if count <= 0:
            return 0.0
        offered = self.offered
        draw = self.rules.draw_for(self.view, region)
        accepted = draw.take_up_to(count, offered.now_ms, offered.interval_ms)
        offered.served[region] = offered.served.get(region, 0.0) + accepted
        flow = self.rules.tallies.flow(self.view.name, self.key, region)
        flow.served += accepted
        return accepted
