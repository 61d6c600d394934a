"""Estimate demand from reports that may be late, missing or wrong."""

import math
from dataclasses import dataclass, field

from bilberry_core.const import MS_PER_SECOND

from .const import (
    BASE_CAPACITY_MARGIN,
    DEFAULT_REPORT_FRESH_MS,
    DEMAND_DECAY_FACTOR,
    DEMAND_GROWTH_PER_S,
    MAX_CAPACITY_MARGIN,
    MAX_CLOCK_SKEW_MS,
    MAX_DEMAND_GROWTH,
    MISSING_REPORT_AGE_MS,
    REPORT_AGE_QUANTILE,
    STALE_CAPACITY_MARGIN_PER_S,
)
from .inputs import PlannerInputs
from .messages import NodeReport

Rates = dict[str, dict[str, float]]


@dataclass(slots=True)
class RegionResults:
    """Sum the reported results of one service in one region."""

    served: float = 0.0
    errors: float = 0.0
    latency_ms: float = 0.0

    @property
    def error_share(self) -> float:
        """Return the share of requests that failed, 0 without requests."""
        return self.errors / self.served if self.served else 0.0

    @property
    def mean_latency_ms(self) -> float:
        """Return the mean latency in ms, 0 without requests."""
        return self.latency_ms / self.served if self.served else 0.0


@dataclass(slots=True)
class DemandEstimate:
    """Represent the demand per service and group, and its age.

    Rates are requests per second: `upper_per_s` bounds the demand,
    `node_rates` are the rates that each node measured. `oldest_age_ms` is the
    age of the oldest report, `typical_age_ms` the age that most reports don't
    exceed. `implausible_nodes` lists the nodes with implausible reports.
    """

    upper_per_s: Rates = field(default_factory=dict)
    node_rates: dict[str, Rates] = field(default_factory=dict)
    results: dict[tuple[str, str], RegionResults] = field(default_factory=dict)
    moved: dict[str, float] = field(default_factory=dict)
    held_back: dict[str, float] = field(default_factory=dict)
    implausible_nodes: list[str] = field(default_factory=list)
    oldest_age_ms: int = 0
    typical_age_ms: int = 0

    @property
    def all_fresh(self) -> bool:
        """Return whether the reports of all live nodes are recent."""
        return self.oldest_age_ms <= DEFAULT_REPORT_FRESH_MS

    @property
    def mostly_fresh(self) -> bool:
        """Return whether the reports of most live nodes are recent."""
        return self.typical_age_ms <= DEFAULT_REPORT_FRESH_MS

    def total_upper_bound(self, service: str) -> float:
        """Return the upper bound of a service's demand in requests/s."""
        return sum(self.upper_per_s.get(service, {}).values())

    def upper_bound(self, service: str, group: str) -> float:
        """Return the upper bound of a group's demand in requests/s."""
        return self.upper_per_s.get(service, {}).get(group, 0.0)

    @property
    def capacity_margin(self) -> float:
        """Return the share of capacity to keep free.

        It grows with the age of the reports.
        """
        stale = STALE_CAPACITY_MARGIN_PER_S * self.typical_age_ms / MS_PER_SECOND
        return min(MAX_CAPACITY_MARGIN, BASE_CAPACITY_MARGIN + stale)


def estimate_demand(inputs: PlannerInputs, now_ms: int) -> DemandEstimate:
    """Return the demand by the nodes' reports and the previous plan."""
    estimate = DemandEstimate()
    ages_ms = [0]
    for member in inputs.live_members:
        report = inputs.reports.get(member.node)
        if report is None:
            ages_ms.append(MISSING_REPORT_AGE_MS)
        elif not is_plausible(report, now_ms):
            estimate.implausible_nodes.append(member.node)
            ages_ms.append(MISSING_REPORT_AGE_MS)
        else:
            ages_ms.append(max(0, now_ms - report.sent_at_ms))
            _add_report(estimate, report, now_ms)
    ages_ms.sort()
    estimate.oldest_age_ms = ages_ms[-1]
    estimate.typical_age_ms = ages_ms[int(REPORT_AGE_QUANTILE * (len(ages_ms) - 1))]
    _apply_previous_demand(estimate, inputs)
    return estimate


def is_plausible(report: NodeReport, now_ms: int) -> bool:
    """Return whether a report's times and counts are plausible."""
    if report.window_ms <= 0 or report.sent_at_ms > now_ms + MAX_CLOCK_SKEW_MS:
        return False
    figures = [v for d in report.demands for v in (d.requests, d.moved, d.held_back)]
    figures += [v for f in report.flows for v in (f.served, f.errors, f.latency_ms)]
    return all(math.isfinite(value) and value >= 0 for value in figures)


def demand_growth_factor(age_ms: int) -> float:
    """Return the factor by which demand may have grown since a report."""
    return 1.0 + min(
        MAX_DEMAND_GROWTH, DEMAND_GROWTH_PER_S * max(0, age_ms) / MS_PER_SECOND
    )


def _add_report(estimate: DemandEstimate, report: NodeReport, now_ms: int) -> None:
    per_s = MS_PER_SECOND / report.window_ms
    factor = demand_growth_factor(now_ms - report.sent_at_ms)
    rates = estimate.node_rates.setdefault(report.node, {})
    for demand in report.demands:
        rate = demand.requests * per_s
        by_group = rates.setdefault(demand.service, {})
        by_group[demand.group] = by_group.get(demand.group, 0.0) + rate
        upper = estimate.upper_per_s.setdefault(demand.service, {})
        upper[demand.group] = upper.get(demand.group, 0.0) + rate * factor
        _add_to(estimate.moved, demand.service, demand.moved * per_s)
        _add_to(estimate.held_back, demand.service, demand.held_back * per_s)
    for flow in report.flows:
        results = estimate.results.setdefault(
            (flow.service, flow.region), RegionResults()
        )
        results.served += flow.served
        results.errors += flow.errors
        results.latency_ms += flow.latency_ms


def _apply_previous_demand(estimate: DemandEstimate, inputs: PlannerInputs) -> None:
    """Apply the previous plan's demand as a lower limit.

    It decays only while most reports are recent.
    """
    if inputs.previous_plan is None:
        return
    decay = DEMAND_DECAY_FACTOR if estimate.mostly_fresh else 1.0
    for service, plan in inputs.previous_plan.services.items():
        upper = estimate.upper_per_s.setdefault(service, {})
        for group, rate in plan.demand_per_s.items():
            upper[group] = max(upper.get(group, 0.0), rate * decay)


def _add_to(sums: dict[str, float], key: str, value: float) -> None:
    sums[key] = sums.get(key, 0.0) + value
