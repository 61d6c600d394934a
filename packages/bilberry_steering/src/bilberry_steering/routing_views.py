"""Routing data that a node derives from its configuration and plan."""

from bisect import bisect_right
from dataclasses import dataclass, field

from bilberry_core.ids import HASH_SPACE
from bilberry_resources.kinds.services import Priority
from bilberry_resources.snapshot import ConfigSnapshot

from .messages import ServicePlan
from .plan_migration import GroupKeyMatcher
from .slots import overlay_runs
from .step_limiter import StepLimiter
from .topology import default_runs, region_names, regions_by_preference

SPILL_HASH_MULTIPLIER = 0x9E3779B97F4A7C15
TARGET_HASH_MULTIPLIER = 0xC2B2AE3D27D4EB4F
PRIORITY_ORDER = (Priority.HIGH, Priority.NORMAL, Priority.LOW)


@dataclass(slots=True)
class SlotSegment:
    """Represent adjacent slots with the same owners.

    `owner_before` is the owner before the running step, `owner_after` the one
    after it.
    """

    owner_before: str
    owner_after: str
    slots: int


@dataclass(slots=True)
class GroupView:
    """Store a group's segments and its regions in order of preference.

    `segment_ends` is the end slot of each segment, exclusive.
    """

    segments: list[SlotSegment]
    segment_ends: list[int]
    region_order: list[str]

    def segment_at(self, slot: int) -> SlotSegment:
        """Return the segment that holds a slot."""
        return self.segments[bisect_right(self.segment_ends, slot)]


@dataclass(slots=True)
class ServiceView:
    """Store the routing data of one service.

    `plan_regions` are the regions that the plan indexes,
    `regions_with_capacity` those that can serve the service. `link_reserve` is
    the share of links to leave free.
    """

    name: str
    plan: ServicePlan | None
    plan_regions: list[str]
    regions_with_capacity: list[str]
    request_bytes: float
    response_bytes: float
    link_reserve: float
    step_limiter: StepLimiter = field(default_factory=StepLimiter)
    groups: dict[str, GroupView] = field(default_factory=dict)

    def group(self, key: str, snapshot: ConfigSnapshot) -> GroupView:
        """Return the view of a group, built on first use."""
        view = self.groups.get(key)
        if view is None:
            view = self.groups[key] = self.build_group(key, snapshot)
        return view

    def build_group(self, key: str, snapshot: ConfigSnapshot) -> GroupView:
        """Return the view of a group by the plan or its default owner."""
        names = region_names(snapshot)
        after = before = default_runs(snapshot, self.name, key)
        old_key = self.plan_group_key(key, names)
        if self.plan is not None and old_key is not None:
            names = self.plan_regions
            after = self.plan.slots[old_key]
            before = self.step_limiter.settled_slots.get(old_key, after)
        segments = [
            SlotSegment(names[old], names[new], count)
            for old, new, count in overlay_runs(before, after)
        ]
        ends: list[int] = []
        for segment in segments:
            ends.append((ends[-1] if ends else 0) + segment.slots)
        closed = set(self.plan.closed) if self.plan else set()
        order = [
            name
            for name in regions_by_preference(snapshot, key)
            if name in self.regions_with_capacity and name not in closed
        ]
        return GroupView(segments, ends, order)

    def plan_group_key(self, key: str, names: list[str]) -> str | None:
        """Return the key of a group in the plan, None if it is new."""
        if self.plan is None or key in self.plan.slots:
            return key
        if self.plan_regions == names:
            return None
        return GroupKeyMatcher(self.plan.slots, self.plan_regions, names).find_old_key(
            key
        )


def reserved_link_share(snapshot: ConfigSnapshot, service: str) -> float:
    """Return the share of links that a service must leave free.

    It is the sum of the reserved shares of services with higher priority.
    """
    own = PRIORITY_ORDER.index(snapshot.services[service].priority)
    shares = [
        spec.reserved_share
        for name, spec in snapshot.services.items()
        if name != service and PRIORITY_ORDER.index(spec.priority) < own
    ]
    return min(1.0, sum(shares))


def spill_hash_point(request_hash: int) -> float:
    """Map a request's hash to [0, 1), independently of its slot."""
    return (request_hash * SPILL_HASH_MULTIPLIER % HASH_SPACE) / HASH_SPACE


def target_hash_point(request_hash: int) -> float:
    """Map a request's hash to [0, 1) to choose a spill target."""
    return (request_hash * TARGET_HASH_MULTIPLIER % HASH_SPACE) / HASH_SPACE


def pick_weighted(weights: dict[str, float], point: float) -> str | None:
    """Return the name at `point` in [0, 1) of the cumulative weights.

    Names are in sorted order. Return None if no weight is positive.
    """
    total = sum(weights.values())
    if total <= 0:
        return None
    rest = point * total
    for name in sorted(weights):
        rest -= weights[name]
        if rest < 0:
            return name
    return max(weights)
