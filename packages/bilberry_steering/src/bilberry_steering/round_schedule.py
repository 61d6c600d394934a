"""Schedule planning rounds and decide which plans to store."""

from collections.abc import Iterable, Mapping

import msgspec

from .messages import NodeQuota, NodeReport, Plan, ServicePlan, ShiftState

RENEWAL_ROUNDS_BEFORE_EXPIRY = 3
DEMAND_TOLERANCE_SHARE = 0.2
MIN_DEMAND_TOLERANCE_PER_S = 1.0


def next_round_wait_ms(
    plan: Plan | None, interval_ms: int, spacing_ms: int, now_ms: int
) -> int:
    """Return the time until the next round.

    A round is due after an interval, or earlier when a step has finished
    soaking. The caller also waits `spacing_ms` after each round, which is
    deducted from the interval.
    """
    wait_ms = interval_ms - spacing_ms
    for state in _running_shifts(plan):
        if state.settled_at_ms:
            soaked_ms = state.settled_at_ms + max(state.step_ms, state.soak_ms)
            wait_ms = min(wait_ms, soaked_ms - now_ms)
    return max(0, wait_ms)


def all_nodes_follow_step(
    plan: Plan | None, reports: Mapping[str, NodeReport], nodes: Iterable[str]
) -> bool:
    """Return whether all nodes reported since the earliest unsettled step.

    A round is then due at once, because the step may start to soak.
    """
    step_starts_ms = [
        s.step_at_ms for s in _running_shifts(plan) if not s.settled_at_ms
    ]
    if not step_starts_ms:
        return False
    first_step_ms = min(step_starts_ms)
    node_reports = [reports.get(name) for name in nodes]
    return all(
        r is not None and r.sent_at_ms - r.window_ms >= first_step_ms
        for r in node_reports
    )


def _running_shifts(plan: Plan | None) -> list[ShiftState]:
    services = plan.services.values() if plan is not None else ()
    return [service.shift for service in services if service.before]


def should_store_plan(
    planned: Plan, stored: Plan | None, interval_ms: int, now_ms: int
) -> bool:
    """Return whether `planned` must replace the stored plan.

    A plan without changes is only stored when the stored one expires within
    a few rounds, which are `interval_ms` apart. Skipping it is safe: nodes
    follow the stored plan, and the next round starts from it.
    """
    if stored is None or stored.epoch != planned.epoch:
        return True
    if stored.expires_ms - now_ms <= RENEWAL_ROUNDS_BEFORE_EXPIRY * interval_ms:
        return True
    return _plans_differ(planned, stored)


def _plans_differ(planned: Plan, stored: Plan) -> bool:
    if planned.config_version != stored.config_version:
        return True
    if planned.resources != stored.resources or planned.regions != stored.regions:
        return True
    if planned.services.keys() != stored.services.keys():
        return True
    services = planned.services.items()
    if any(_service_differs(plan, stored.services[name]) for name, plan in services):
        return True
    return _quotas_differ(planned.nodes, stored.nodes)


def _service_differs(planned: ServicePlan, stored: ServicePlan) -> bool:
    if _demand_differs(planned.demand_per_s, stored.demand_per_s):
        return True
    with_stored_demand = msgspec.structs.replace(
        planned, demand_per_s=stored.demand_per_s
    )
    return with_stored_demand != stored


def _demand_differs(planned: dict[str, float], stored: dict[str, float]) -> bool:
    for group in planned.keys() | stored.keys():
        new, old = planned.get(group, 0.0), stored.get(group, 0.0)
        tolerance = max(MIN_DEMAND_TOLERANCE_PER_S, DEMAND_TOLERANCE_SHARE * old)
        if abs(new - old) > tolerance:
            return True
    return False


def _quotas_differ(planned: dict[str, NodeQuota], stored: dict[str, NodeQuota]) -> bool:
    if planned.keys() != stored.keys():
        return True
    return any(
        quota.amounts != stored[node].amounts or quota.region != stored[node].region
        for node, quota in planned.items()
    )
