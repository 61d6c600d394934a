"""Check a shift against capacity, links and the intents' bounds."""

from dataclasses import dataclass, field

from bilberry_resources.kinds.intents import ShiftThresholds
from bilberry_resources.snapshot import ConfigSnapshot

from .const import HASH_SLOTS, LINK_MARGIN, MAX_PLANNED_UTILIZATION
from .demand import DemandEstimate, RegionResults
from .inputs import PlannerInputs
from .loads import Loads, entry_region
from .messages import ServicePlan
from .resources import link_resource
from .shift_targets import ServiceIntents
from .slots import slots_per_owner
from .topology import region_names


@dataclass(slots=True)
class CapacityLimits:
    """Compare the current loads with the limits of regions and links.

    `planned_loads` are the loads without spill: a shift must not rely on spill
    that its own steps cause.
    """

    snapshot: ConfigSnapshot
    inputs: PlannerInputs
    demand: DemandEstimate
    loads: Loads
    planned_loads: Loads = field(default_factory=Loads)

    def usable_capacity(self, service: str, region: str) -> float:
        """Return a service's healthy capacity in a region in requests/s."""
        spec = self.snapshot.regions[region]
        declared = spec.capacity_per_s.get(service, 0.0)
        return declared * self.inputs.available_share(region, service)

    def headroom(self, service: str, region: str) -> float:
        """Return the requests/s that a step may add to a region.

        The service's reserved share stays free.
        """
        reserved = self.snapshot.services[service].reserved_share
        share = min(
            MAX_PLANNED_UTILIZATION, 1.0 - max(reserved, self.demand.capacity_margin)
        )
        limit = self.usable_capacity(service, region) * share
        planned = self.planned_loads.region_load(service, region)
        return max(0.0, limit - max(planned, self.loads.region_load(service, region)))

    def link_headroom(self, resource: str) -> float:
        """Return the bytes/s left on a link.

        It is 0 for a lost link and infinite for an unknown one.
        """
        if resource in self.inputs.lost_links:
            return 0.0
        for link in self.snapshot.links.values():
            if link_resource(link.source, link.target) == resource:
                limit = link.budget_bytes_per_s * (1 - LINK_MARGIN)
                return max(0.0, limit - self.loads.link_bytes_per_s.get(resource, 0.0))
        return float("inf")


def fitting_step_fraction(
    limits: CapacityLimits,
    service: str,
    plan: ServicePlan,
    counts: dict[str, list[int]],
) -> float:
    """Return the fraction of a step that fits regions and links."""
    step_loads = _step_loads(limits, service, plan, counts)
    fraction = 1.0
    for (_, region), rate in step_loads.requests_per_s.items():
        if rate > 0:
            fraction = min(fraction, limits.headroom(service, region) / rate)
    for resource, rate in step_loads.link_bytes_per_s.items():
        if rate > 0:
            fraction = min(fraction, limits.link_headroom(resource) / rate)
    return fraction


def _step_loads(
    limits: CapacityLimits,
    service: str,
    plan: ServicePlan,
    counts: dict[str, list[int]],
) -> Loads:
    names = region_names(limits.snapshot)
    step_loads = Loads()
    for group, runs in plan.slots.items():
        owned = slots_per_owner(runs, len(names))
        rate = limits.demand.upper_bound(service, group)
        home = entry_region(limits.snapshot, group)
        for name, old, new in zip(names, owned, counts[group], strict=True):
            if new > old:
                part = rate * (new - old) / HASH_SLOTS
                step_loads.add_requests(limits.snapshot, service, home, name, part)
    return step_loads


def gaining_regions(plan: ServicePlan, names: list[str]) -> list[str]:
    """Return the regions that gain slots in the running step."""
    gaining: set[str] = set()
    for group, runs in plan.slots.items():
        old = slots_per_owner(plan.before.get(group, runs), len(names))
        new = slots_per_owner(runs, len(names))
        gaining |= {n for n, o, w in zip(names, old, new, strict=True) if w > o}
    return sorted(gaining)


def lost_gaining_region(
    inputs: PlannerInputs, service: str, plan: ServicePlan
) -> str | None:
    """Return a lost region that gains slots in the running step, or None."""
    for name in gaining_regions(plan, region_names(inputs.snapshot)):
        if inputs.available_share(name, service) == 0:
            return name
    return None


def exceeded_bound(
    intents: ServiceIntents,
    demand: DemandEstimate,
    limits: CapacityLimits,
    service: str,
    plan: ServicePlan,
) -> str | None:
    """Return which bound a gaining region exceeds, or None."""
    for name in gaining_regions(plan, region_names(limits.snapshot)):
        results = demand.results.get((service, name), RegionResults())
        usable = limits.usable_capacity(service, name)
        load = limits.loads.region_load(service, name)
        utilization = load / usable if usable > 0 else 0.0
        for intent in intents.active:
            breach = _describe_breach(intent.bounds, results, utilization)
            if breach is not None:
                return f"{breach} in {name}"
    return None


def _describe_breach(
    bounds: ShiftThresholds, results: RegionResults, utilization: float
) -> str | None:
    """Return a text for the first exceeded bound, or None."""
    share, latency = results.error_share, results.mean_latency_ms
    if _exceeds(utilization, bounds.max_utilization):
        return f"utilization is {utilization:.2f}"
    if _exceeds(share, bounds.max_error_share):
        return f"error share is {share:.3f}"
    if _exceeds(latency, bounds.max_latency_ms):
        return f"latency is {latency:.0f} ms"
    return None


def _exceeds(value: float, bound: float | None) -> bool:
    return bound is not None and value > bound
