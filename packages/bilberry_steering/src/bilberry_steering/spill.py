"""Redirect callers from regions that are lost or too full, and back.

Spill is automatic and has its own limits, unlike an operator's shift.
Callers leave at once if a region is lost or above its usable capacity, by
`MAX_SPILL_INCREASE` a round if it is above its target utilization. They
return by `MAX_SPILL_DECREASE` a round, so that a recovering region is not
overloaded.
"""

from dataclasses import dataclass, field

from .capacity_limits import CapacityLimits
from .const import (
    MAX_SPILL_DECREASE,
    MAX_SPILL_INCREASE,
    MAX_TARGET_UTILIZATION,
    TARGET_UTILIZATION_SLACK,
)
from .inputs import Decision
from .messages import ServicePlan, Spill
from .objectives import OBJECTIVES, Objective, SpillCandidate
from .resources import link_resource
from .topology import link_cost, one_way_delay_ms, region_names, serving_regions

NEGLIGIBLE_FRACTION = 0.005


@dataclass(slots=True)
class SpillRound:
    """Update one service's spill and failover weights for a round."""

    limits: CapacityLimits
    service: str
    plan: ServicePlan
    now_ms: int
    decisions: list[Decision] = field(default_factory=list)

    @property
    def objective(self) -> Objective:
        """Return the deployment's objective."""
        return OBJECTIVES[self.limits.inputs.objective]

    @property
    def target_utilization(self) -> float:
        """Return the target utilization, raised if the mean is above it."""
        names = serving_regions(self.limits.snapshot, self.service)
        load = sum(self.limits.loads.region_load(self.service, n) for n in names)
        usable = sum(
            self.limits.usable_capacity(self.service, name)
            for name in names
            if name not in self.plan.closed
        )
        raised_target = (
            load / usable + TARGET_UTILIZATION_SLACK
            if usable > 0
            else MAX_TARGET_UTILIZATION
        )
        return max(
            self.objective.target_utilization,
            min(MAX_TARGET_UTILIZATION, raised_target),
        )

    def run(self) -> None:
        """Update the plan's spill and failover weights."""
        names = serving_regions(self.limits.snapshot, self.service)
        self.plan.failover = {name: self.failover_weights(name) for name in names}
        spill: dict[str, Spill] = {}
        for name in region_names(self.limits.snapshot):
            old = self.plan.spill.get(name)
            new = self.next_spill(name, old)
            if new is not None:
                spill[name] = new
            self.record_change(name, old, new)
        self.plan.spill = spill

    def next_spill(self, region: str, old: Spill | None) -> Spill | None:
        """Return a region's spill after this round, None without spill."""
        fraction = old.fraction if old else 0.0
        load = self.limits.loads.region_load(self.service, region)
        usable = self.limits.usable_capacity(self.service, region)
        if usable <= 0:
            weights = self.plan.failover.get(region) or self.failover_weights(region)
            return Spill(1.0, weights, lost=True) if weights else None
        rates_per_s, wanted_fraction = self.wanted_spill(region, load, usable)
        if not self.limits.demand.mostly_fresh:
            return old
        if load > usable:
            fraction = max(fraction - MAX_SPILL_DECREASE, wanted_fraction)
        elif wanted_fraction > fraction:
            fraction = min(wanted_fraction, fraction + MAX_SPILL_INCREASE)
        else:
            fraction = max(wanted_fraction, fraction - MAX_SPILL_DECREASE)
        if fraction < NEGLIGIBLE_FRACTION:
            return None
        targets = rates_per_s or (old.targets if old else {})
        if not targets:
            return None
        lost = old is not None and old.lost and fraction > wanted_fraction
        return Spill(round(fraction, 4), _normalize_weights(targets), lost)

    def wanted_spill(
        self, region: str, load: float, usable: float
    ) -> tuple[dict[str, float], float]:
        """Return where load above the target goes, and its fraction."""
        excess = load - usable * self.target_utilization
        if excess <= 0 or load <= 0:
            return {}, 0.0
        rates_per_s = self.objective.distribute(excess, self.spill_candidates(region))
        return rates_per_s, sum(rates_per_s.values()) / load

    def spill_candidates(self, region: str) -> list[SpillCandidate]:
        """Return the regions that can take a region's excess load."""
        snapshot = self.limits.snapshot
        candidates: list[SpillCandidate] = []
        target_utilization = self.target_utilization
        for name in serving_regions(snapshot, self.service):
            if name == region or name in self.plan.closed:
                continue
            usable = self.limits.usable_capacity(self.service, name)
            load = self.limits.loads.region_load(self.service, name)
            unreserved_share = 1.0 - snapshot.services[self.service].reserved_share
            limit = usable * min(target_utilization, unreserved_share)
            headroom_per_s = min(
                max(0.0, limit - load), self.max_link_rate_per_s(region, name)
            )
            delay = one_way_delay_ms(snapshot, region, name)
            candidates.append(
                SpillCandidate(
                    name, headroom_per_s, delay, link_cost(snapshot, region, name)
                )
            )
        return candidates

    def max_link_rate_per_s(self, region: str, target: str) -> float:
        """Return the requests/s that the links between regions can take."""
        spec = self.limits.snapshot.services[self.service]
        out = self.limits.link_headroom(link_resource(region, target))
        back = self.limits.link_headroom(link_resource(target, region))
        return min(out / spec.request_bytes, back / spec.response_bytes)

    def failover_weights(self, region: str) -> dict[str, float]:
        """Return the weights of other regions if a region is lost."""
        load = self.limits.loads.region_load(self.service, region)
        candidates = [c for c in self.spill_candidates(region) if c.headroom_per_s > 0]
        weights = self.objective.distribute(max(load, 1.0), candidates)
        if not weights:
            weights = self.weights_by_capacity(region)
        return _normalize_weights(weights)

    def weights_by_capacity(self, region: str) -> dict[str, float]:
        """Return weights by usable capacity, for when no region has room."""
        names = serving_regions(self.limits.snapshot, self.service)
        usable = {
            name: self.limits.usable_capacity(self.service, name) for name in names
        }
        return {
            name: rate
            for name, rate in usable.items()
            if name != region and name not in self.plan.closed and rate > 0
        }

    def record_change(self, region: str, old: Spill | None, new: Spill | None) -> None:
        """Record a change of a region's spill for the audit trail."""
        before = old.fraction if old else 0.0
        after = new.fraction if new else 0.0
        if abs(before - after) < NEGLIGIBLE_FRACTION:
            return
        action = f"spill of {region} from {before:.2f} to {after:.2f}"
        lost = new is not None and new.lost
        reason = "region is or was lost" if lost else "load and headroom"
        self.decisions.append(Decision(self.now_ms, self.service, action, reason))


def _normalize_weights(weights: dict[str, float]) -> dict[str, float]:
    total = sum(weights.values())
    return {
        name: round(weight / total, 3) for name, weight in weights.items() if total > 0
    }
