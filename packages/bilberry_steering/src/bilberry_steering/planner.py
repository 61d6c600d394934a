"""Compute the plan that all nodes follow.

The planner keeps no state between rounds: pass the last stored plan as
`PlannerInputs.previous_plan`, and distribute a plan only after storing it. A
new planner then continues the shifts and quotas of the last one.
"""

from .block_table import group_key
from .capacity_limits import CapacityLimits
from .const import DEFAULT_FLOOR_VALID_MS, DEFAULT_PLAN_VALID_MS
from .demand import DemandEstimate, estimate_demand
from .inputs import Decision, PlannerInputs, PlanningResult, ShiftStatus
from .loads import Loads, add_service_loads
from .messages import Plan, ServicePlan, ShiftPhase
from .node_needs import compute_needs
from .plan_migration import migrate_service_plan
from .quota_plan import QuotaRound
from .resources import capacities_of
from .shift import ShiftRound
from .shift_targets import REASON_SUPERSEDED, service_intents
from .spill import SpillRound
from .steps import remaining_slots
from .topology import default_group, region_names


class Planner:
    """Compute plans, each valid for the given times in ms."""

    __slots__ = ("floor_valid_ms", "valid_ms")

    def __init__(
        self,
        valid_ms: int = DEFAULT_PLAN_VALID_MS,
        floor_valid_ms: int = DEFAULT_FLOOR_VALID_MS,
    ) -> None:
        self.valid_ms = valid_ms
        self.floor_valid_ms = floor_valid_ms

    def plan(self, inputs: PlannerInputs, now_ms: int) -> PlanningResult:
        """Return the next plan, the intents' statuses and the decisions."""
        demand = estimate_demand(inputs, now_ms)
        services = adapt_service_plans(inputs, demand)
        version = inputs.previous_plan.version + 1 if inputs.previous_plan else 1
        decisions = rejected_report_decisions(demand, now_ms)
        decisions += update_spill(inputs, demand, services, now_ms)
        decisions += advance_shifts(inputs, demand, services, version, now_ms)
        capacities = capacities_of(inputs.snapshot)
        resources = sorted(capacities.amounts)
        needs = compute_needs(inputs, demand, services, now_ms)
        quota_round = QuotaRound(inputs, demand, capacities, resources, needs, now_ms)
        plan = Plan(
            epoch=inputs.epoch,
            version=version,
            config_version=inputs.snapshot.version,
            made_at_ms=now_ms,
            valid_ms=self.valid_ms,
            floor_valid_ms=self.floor_valid_ms,
            regions=region_names(inputs.snapshot),
            resources=resources,
            capacities=[capacities.amounts[name] for name in resources],
            services=services,
        )
        quota_round.run(plan)
        return PlanningResult(plan, shift_statuses(inputs, services), decisions)


def group_keys(inputs: PlannerInputs) -> list[str]:
    """Return the keys of all groups, including the regions' defaults."""
    snapshot = inputs.snapshot
    keys = {
        group_key(group.regions)
        for spec in snapshot.client_block_sets.values()
        for group in spec.groups
    }
    for region in snapshot.regions:
        keys.add(default_group(snapshot, region).key)
    return sorted(keys)


def adapt_service_plans(
    inputs: PlannerInputs, demand: DemandEstimate
) -> dict[str, ServicePlan]:
    """Return each service's previous plan, adapted to the current groups."""
    snapshot, previous = inputs.snapshot, inputs.previous_plan
    keys = group_keys(inputs)
    old_services = previous.services if previous else {}
    old_regions = previous.regions if previous else []
    services: dict[str, ServicePlan] = {}
    for name in sorted(snapshot.services):
        old = old_services.get(name)
        plan = migrate_service_plan(old, old_regions, snapshot, name, keys)
        upper = demand.upper_per_s.get(name, {})
        plan.demand_per_s = {k: round(v, 2) for k, v in sorted(upper.items())}
        services[name] = plan
    return services


def loads_of(
    inputs: PlannerInputs,
    demand: DemandEstimate,
    services: dict[str, ServicePlan],
    with_spill: bool,
) -> Loads:
    """Return the load of each region and link under the services' plans."""
    loads = Loads()
    for name, plan in services.items():
        spill = plan.spill if with_spill else {}
        rates = demand.upper_per_s.get(name, {})
        add_service_loads(loads, inputs.snapshot, name, plan.slots, spill, rates)
    return loads


def update_spill(
    inputs: PlannerInputs,
    demand: DemandEstimate,
    services: dict[str, ServicePlan],
    now_ms: int,
) -> list[Decision]:
    """Update the spill and failover weights of every service."""
    loads = loads_of(inputs, demand, services, with_spill=False)
    limits = CapacityLimits(inputs.snapshot, inputs, demand, loads)
    decisions: list[Decision] = []
    for name, plan in services.items():
        spill_round = SpillRound(limits, name, plan, now_ms)
        spill_round.run()
        decisions += spill_round.decisions
    return decisions


def advance_shifts(
    inputs: PlannerInputs,
    demand: DemandEstimate,
    services: dict[str, ServicePlan],
    version: int,
    now_ms: int,
) -> list[Decision]:
    """Advance every service's shift."""
    decisions: list[Decision] = []
    for name, plan in services.items():
        loads = loads_of(inputs, demand, services, with_spill=True)
        planned = loads_of(inputs, demand, services, with_spill=False)
        limits = CapacityLimits(inputs.snapshot, inputs, demand, loads, planned)
        shift_round = ShiftRound(inputs, demand, limits, name, plan, version, now_ms)
        shift_round.run()
        decisions += shift_round.decisions
    return decisions


def rejected_report_decisions(demand: DemandEstimate, now_ms: int) -> list[Decision]:
    """Return a decision for each node whose report was rejected."""
    reason = "its figures can't be true"
    return [
        Decision(now_ms, node, "report set aside", reason)
        for node in demand.implausible_nodes
    ]


def shift_statuses(
    inputs: PlannerInputs, services: dict[str, ServicePlan]
) -> dict[str, ShiftStatus]:
    """Return every intent's phase, progress and reason."""
    statuses: dict[str, ShiftStatus] = {}
    for name, plan in services.items():
        intents = service_intents(inputs.snapshot, name)
        state = plan.shift
        for intent in intents.active_names:
            progress = shift_progress(inputs, plan)
            statuses[intent] = ShiftStatus(intent, state.phase, progress, state.reason)
        for intent in intents.superseded:
            statuses[intent] = ShiftStatus(
                intent, ShiftPhase.HOLDING, 0.0, REASON_SUPERSEDED
            )
    return statuses


def shift_progress(inputs: PlannerInputs, plan: ServicePlan) -> float:
    """Return the share of the shift's slots that have moved."""
    if plan.shift.start_slots <= 0:
        return 1.0
    remaining = remaining_slots(plan, len(region_names(inputs.snapshot)))
    return max(0.0, 1.0 - remaining / plan.shift.start_slots)
