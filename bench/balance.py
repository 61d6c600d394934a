"""Measure how the options for endpoint choice fare against each other."""

from dataclasses import dataclass

from bilberry_balance.const import DEFAULT_POLICY

from .balance_cost import add_cost_table
from .balance_keys import add_key_tables
from .balance_model import CASES, SERVICES, Case, ServiceSize, make_requests
from .balance_options import BASELINES, CENTRAL, OPTIONS
from .balance_sim import Simulation
from .report import Options, Report, Table

WARM_PART = 0.1
TARGET_CASE = next(case for case in CASES if case.name == "80%")
COLUMNS = [
    "case",
    "service",
    "option",
    "p50",
    "p99",
    "p99.9",
    "p99/central",
    "served",
    "most/slots",
    "waited there",
    "hops",
]


@dataclass(slots=True)
class Figures:
    """Hold what one option did in one case; times in ms."""

    p50_ms: float
    p99_ms: float
    p999_ms: float
    served: float
    over: float
    waited: float
    messages: float


def measure(
    option: str, size: ServiceSize, case: Case, count: int, seed: int
) -> Figures:
    """Run one option through one case."""
    simulation = Simulation(size, case)
    requests = make_requests(size, case, count, seed)
    router = OPTIONS[option](simulation, seed)
    for request in requests:
        simulation.events.after(request.arrived_ms, router.arrive, request)
    simulation.start_reports(requests[-1].arrived_ms, router.on_reports)
    simulation.events.run_all()
    counted = requests[int(count * WARM_PART) :]
    if case.cold_ms:
        counted = requests
    latencies = sorted(
        r.done_ms - r.arrived_ms
        for r in counted
        if r.done_ms is not None and r.done_ms <= r.deadline_ms
    )
    return Figures(
        p50_ms=quantile(latencies, 0.5),
        p99_ms=quantile(latencies, 0.99),
        p999_ms=quantile(latencies, 0.999),
        served=len(latencies) / len(counted),
        over=max(server.most for server in simulation.servers) / size.slots,
        waited=simulation.waited / count,
        messages=router.messages / count,
    )


def quantile(ordered: list[float], part: float) -> float:
    """Return a quantile of sorted figures, 0 of none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


@dataclass(slots=True, frozen=True)
class Plan:
    """Say how many requests to measure, and with which services."""

    requests: int
    other_requests: int
    other_services: tuple[str, ...]


QUICK = Plan(5_000, 2_500, ("suivi", "handover"))
FULL = Plan(20_000, 20_000, tuple(size.name for size in SERVICES))


def run(options: Options) -> Report:
    """Measure every option in every case and print one table."""
    plan = QUICK if options.quick else FULL
    report = Report()
    table = report.table("Endpoint choice: times in ms, 10 nodes", COLUMNS)
    ratios: dict[str, list[float]] = {name: [] for name in OPTIONS}
    for case in CASES:
        for size in _sizes(case, plan):
            count = plan.requests if case is TARGET_CASE else plan.other_requests
            figures = _measure_all(size, case, count, options.seed)
            _add_rows(table, size, case, figures)
            if case is TARGET_CASE:
                for name, figure in figures.items():
                    ratios[name].append(figure.p99_ms / figures[CENTRAL].p99_ms)
    add_key_tables(report, options.seed)
    add_cost_table(report)
    _add_target(report, ratios)
    return report


def _sizes(case: Case, plan: Plan) -> list[ServiceSize]:
    if case is TARGET_CASE:
        return list(SERVICES)
    return [size for size in SERVICES if size.name in plan.other_services]


def _measure_all(
    size: ServiceSize, case: Case, count: int, seed: int
) -> dict[str, Figures]:
    return {name: measure(name, size, case, count, seed) for name in OPTIONS}


def _add_rows(
    table: Table, size: ServiceSize, case: Case, figures: dict[str, Figures]
) -> None:
    central_ms = figures[CENTRAL].p99_ms
    for name, figure in figures.items():
        table.add(
            case.name,
            size.name,
            name,
            figure.p50_ms,
            figure.p99_ms,
            figure.p999_ms,
            figure.p99_ms / central_ms,
            figure.served,
            figure.over,
            figure.waited,
            figure.messages,
        )


def _add_target(report: Report, ratios: dict[str, list[float]]) -> None:
    table = report.table(
        "p99 at 80% over the central queue's (target 1.3)",
        ["option", *[size.name for size in SERVICES], "worst", "mean"],
    )
    means = {name: sum(r) / len(r) for name, r in ratios.items()}
    for name in sorted(means, key=lambda n: means[n]):
        table.add(name, *ratios[name], max(ratios[name]), means[name])
    chosen = ratios[DEFAULT_POLICY]
    best = min(BASELINES, key=lambda name: means[name])
    beaten = means[DEFAULT_POLICY] < means[best]
    report.summary = (
        f"{DEFAULT_POLICY}: p99 at 80% worst {max(chosen):.2f}, mean "
        f"{means[DEFAULT_POLICY]:.3f} times central's (target 1.3); best "
        f"baseline {best} {max(ratios[best]):.2f}, {means[best]:.3f}; "
        f"better than every baseline: {'yes' if beaten else 'no'}"
    )
