"""Inputs and results of a planning round."""

from dataclasses import dataclass, field

from bilberry_resources.snapshot import ConfigSnapshot

from .const import DEFAULT_MEMBER_BOUND, OBJECTIVE_HEADROOM
from .messages import NodeReport, Plan, PlanRef, ShiftPhase


@dataclass(slots=True, frozen=True)
class Member:
    """Represent a live node and its location."""

    node: str
    region: str
    site: str = ""


@dataclass(slots=True, frozen=True)
class RegionHealth:
    """Represent the usable share of a region's capacity, from 0 to 1.

    `services` holds lower shares that apply to single services.
    """

    available_share: float = 1.0
    services: dict[str, float] = field(default_factory=dict)

    def share(self, service: str) -> float:
        """Return the usable share of one service's capacity."""
        share = min(self.available_share, self.services.get(service, 1.0))
        return min(1.0, max(0.0, share))


@dataclass(slots=True)
class PlannerInputs:
    """Represent everything that a planning round depends on.

    `previous_plan` is the plan last stored, `epoch` that of the planner's
    lease. `departed_nodes` are nodes that the platform lists as permanently
    gone. `acknowledged_plans` are plans that nodes acknowledged outside of
    `reports`. `lost_links` holds resource names such as `mtl>qc`.
    """

    snapshot: ConfigSnapshot
    reports: dict[str, NodeReport]
    live_members: list[Member]
    previous_plan: Plan | None = None
    epoch: int = 1
    region_health: dict[str, RegionHealth] = field(default_factory=dict)
    acknowledged_plans: dict[str, PlanRef] = field(default_factory=dict)
    departed_nodes: frozenset[str] = frozenset()
    lost_links: frozenset[str] = frozenset()
    member_bound: int = DEFAULT_MEMBER_BOUND
    objective: str = OBJECTIVE_HEADROOM

    def available_share(self, region: str, service: str) -> float:
        """Return the usable share of a service's capacity in a region."""
        health = self.region_health.get(region)
        return 1.0 if health is None else health.share(service)

    def newest_acknowledged_plan(self, node: str) -> PlanRef:
        """Return the newest plan that a node acknowledged."""
        report = self.reports.get(node)
        reported = report.plan if report else PlanRef()
        return max(reported, self.acknowledged_plans.get(node, PlanRef()))


@dataclass(slots=True, frozen=True)
class ShiftStatus:
    """Represent an intent's progress, from 0 to 1, for operators."""

    intent: str
    phase: ShiftPhase
    progress: float
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Decision:
    """Represent a decision that affects traffic, for the audit trail."""

    at_ms: int
    subject: str
    action: str
    reason: str


@dataclass(slots=True)
class PlanningResult:
    """Represent the result of a planning round; statuses are by intent."""

    plan: Plan
    shift_statuses: dict[str, ShiftStatus] = field(default_factory=dict)
    decisions: list[Decision] = field(default_factory=list)
