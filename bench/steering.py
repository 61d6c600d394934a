"""Measure steering against baselines, and a planner round as size grows.

Each scenario drives the pure code and every baseline over the same demand,
and judges their flows from outside.
"""

import random
import time
import tracemalloc

from bilberry_resources.codec import encode
from bilberry_steering.inputs import Member, PlannerInputs
from bilberry_steering.messages import Demand, NodeReport
from bilberry_steering.planner import Planner
from bilberry_steering.topology import regions_by_distance

from .report import Options, Report
from .steering_deployments import Deployment, arcq, cdra, target
from .steering_interleavings import EscrowModel, random_operation
from .steering_metrics import Metrics
from .steering_planned import OURS, WARM_UP_MS
from .steering_policies import POLICIES, Moment
from .steering_scenarios import (
    SHIFT_STEP_MS,
    Scenario,
    scenarios,
    shift_intent,
)
from .steering_table import measure_table

QUICK_TARGET_SCENARIOS = ("planned shift", "region lost")
QUICK_TARGET_MS = 100_000
QUICK_TARGET_TICK_MS = 5_000
FULL_TARGET_TICK_MS = 2_000
QUICK_OPERATIONS = 2_000
FULL_OPERATIONS = 100_000
QUICK_SIZES = (110, 440, 880)
FULL_SIZES = (11, 110, 220, 440, 880, 1760)
ROUND_TARGET_MS = 450.0
PERCENT = 100.0


def run(options: Options) -> Report:
    """Run every scenario, the interleavings and the growth of a round."""
    report = Report()
    table = report.table(
        "Steering: share served, overshoots and headroom",
        [
            "deployment",
            "scenario",
            "policy",
            "served %",
            "capacity over %",
            "link over %",
            "cap over %",
            "headroom %",
            "path ms",
        ],
    )
    tick_ms = QUICK_TARGET_TICK_MS if options.quick else FULL_TARGET_TICK_MS
    for deployment in (arcq(), cdra(), target(tick_ms=tick_ms)):
        for scenario in scenarios():
            if not included(deployment, scenario, options):
                continue
            for name in POLICIES:
                metrics = measure(deployment, scenario, name, options)
                table.add(*row_of(deployment, scenario, name, metrics))
                if name == OURS:
                    report.broken += broken_by(deployment, scenario, metrics)
    report.broken += measure_interleavings(report, options)
    slope = measure_rounds(report, options)
    measure_table(report, options.seed)
    report.summary = (
        f"steering: {len(report.broken)} promises broken in "
        f"{len(table.rows)} runs; a planner round grows by {slope:.3f} ms a node"
    )
    return report


def included(deployment: Deployment, scenario: Scenario, options: Options) -> bool:
    """Say whether a run belongs to the measurement; quick leaves some out."""
    if not options.quick or deployment.name != "target":
        return True
    return scenario.name in QUICK_TARGET_SCENARIOS


def row_of(
    deployment: Deployment, scenario: Scenario, name: str, metrics: Metrics
) -> list[str | float]:
    """Return a run's row of the table."""
    cap_over = f"{PERCENT * metrics.cap_over:.1f}" if scenario.shift else "-"
    return [
        deployment.name,
        scenario.name,
        name,
        PERCENT * metrics.served_share,
        PERCENT * metrics.capacity_over,
        PERCENT * metrics.link_over,
        cap_over,
        PERCENT * metrics.headroom,
        metrics.latency_ms,
    ]


def broken_by(
    deployment: Deployment, scenario: Scenario, metrics: Metrics
) -> list[str]:
    """Return the promises that a run of this project's policy broke."""
    where = f"{deployment.name}, {scenario.name}"
    figures = {
        "a region's capacity": metrics.capacity_over,
        "a link's budget": metrics.link_over,
        "the shift's cap": metrics.cap_over,
    }
    return [
        f"{where}: {what} was passed by {PERCENT * over:.2f}%"
        for what, over in figures.items()
        if over > 0
    ]


def measure(
    deployment: Deployment, scenario: Scenario, name: str, options: Options
) -> Metrics:
    """Drive one policy through one scenario."""
    policy = POLICIES[name](deployment, scenario.lag_ms, options.seed)
    metrics = Metrics(deployment)
    chance = random.Random(options.seed)
    duration_ms = scenario.duration_ms
    if options.quick and deployment.name == "target":
        duration_ms = min(duration_ms, QUICK_TARGET_MS)
    for now_ms in range(-WARM_UP_MS, duration_ms, deployment.tick_ms):
        moment = moment_at(deployment, scenario, now_ms, chance)
        flows = policy.steer(moment)
        if scenario.shift and now_ms >= -SHIFT_STEP_MS:
            metrics.judge_shift(moment, flows, shift_intent(deployment))
        if now_ms >= 0:
            metrics.add(moment, flows)
    return metrics


def moment_at(
    deployment: Deployment, scenario: Scenario, now_ms: int, chance: random.Random
) -> Moment:
    """Return what happens in a tick, with a little noise in demand."""
    demand = {
        (service, home): rate
        * scenario.factor(deployment, service, now_ms)
        * chance.uniform(0.97, 1.03)
        for (service, home), rate in deployment.demand.items()
    }
    truly_down = scenario.down(deployment, now_ms)
    known_down = scenario.known_down(deployment, now_ms)
    away = known_down or scenario.returning(deployment, now_ms)
    shifting = scenario.shift and now_ms >= 0
    return Moment(
        now_ms=now_ms,
        demand=demand,
        entries={home: entry_of(deployment, home, away) for home in deployment.homes},
        down=known_down,
        truly_down=truly_down,
        planner_runs=not scenario.paused.holds(now_ms),
        intent=shift_intent(deployment) if shifting else None,
    )


def entry_of(deployment: Deployment, home: str, away: str | None) -> str:
    """Return the region through which a home's callers enter."""
    order = regions_by_distance(deployment.snapshot, home)
    return next(region for region in order if region != away)


def measure_interleavings(report: Report, options: Options) -> list[str]:
    """Run random interleavings of plans, losses, restarts and expiries."""
    operations = QUICK_OPERATIONS if options.quick else FULL_OPERATIONS
    table = report.table(
        "Escrow: random interleavings over 12 nodes",
        ["operations", "overdrawn", "fullest % of capacity", "refused plans"],
    )
    deployment = arcq()
    deployment.snapshot.intents["drain"] = shift_intent(deployment)
    model = EscrowModel(deployment.snapshot, 12, 14)
    chance = random.Random(options.seed)
    found: list[str] = []
    for _ in range(operations):
        random_operation(model, chance)
        found += model.overdrawn()
    fullest = PERCENT * model.fullest
    table.add(operations, len(found), fullest, model.refused)
    return [f"escrow: {text}" for text in found[:5]]


def measure_rounds(report: Report, options: Options) -> float:
    """Time a planner round at growing sizes; return ms per node."""
    table = report.table(
        f"One planner round (target under {ROUND_TARGET_MS:.0f} ms each 10 s)",
        ["nodes", "sites", "round ms", "peak MB", "plan bytes", "a node's bytes"],
    )
    sizes = QUICK_SIZES if options.quick else FULL_SIZES
    times: list[float] = []
    for nodes in sizes:
        sites = max(6, nodes * 130 // 880)
        inputs = round_inputs(target(nodes, sites), options.seed)
        round_ms, peak = time_round(inputs)
        plan = inputs.previous_plan
        assert plan is not None
        name = next(iter(plan.nodes))
        sizes_bytes = len(encode(plan)), len(encode(plan.for_node(name)))
        table.add(nodes, sites, round_ms, peak, *sizes_bytes)
        times.append(round_ms)
    return (times[-1] - times[0]) / (sizes[-1] - sizes[0])


def round_inputs(deployment: Deployment, seed: int) -> PlannerInputs:
    """Return the inputs of a steady round with a report from every node."""
    chance = random.Random(seed)
    members: list[Member] = []
    reports: dict[str, NodeReport] = {}
    for region, count in deployment.nodes.items():
        key = ",".join(regions_by_distance(deployment.snapshot, region))
        for number in range(count):
            name = f"{region}-{number}"
            members.append(Member(name, region))
            demands = [
                Demand(service, key, chance.uniform(4, 6) * rate / count)
                for (service, home), rate in deployment.demand.items()
                if home == region
            ]
            reports[name] = NodeReport(
                node=name,
                region=region,
                sent_at_ms=9_000,
                window_ms=5_000,
                demands=demands,
            )
    inputs = PlannerInputs(
        deployment.snapshot, reports, members, member_bound=deployment.member_bound
    )
    for _ in range(2):
        inputs.previous_plan = Planner().plan(inputs, 10_000).plan
        for report in reports.values():
            report.plan = inputs.previous_plan.ref
    return inputs


def time_round(inputs: PlannerInputs) -> tuple[float, float]:
    """Return the CPU ms and the peak MB of one round."""
    start = time.process_time()
    Planner().plan(inputs, 15_000)
    elapsed_ms = (time.process_time() - start) * 1_000
    tracemalloc.start()
    Planner().plan(inputs, 15_000)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return elapsed_ms, peak / 1_000_000
