"""Play loads of workspaces through the quotas of whole fleets."""

from .quota_cases import FULL_CASES, QUICK_CASES, QuotaCase
from .quota_model import Outcome, QuotaFleet
from .report import Options, Report

MAX_REFUSED_BELOW = 1 / 500


def run(options: Options) -> Report:
    """Play each case; compare its worst window with the bound."""
    report = Report()
    columns = ["case", "nodes", "workspaces", "worst window", "bound", "of bound"]
    columns += ["admitted/s", "refused", "early/s", "bytes/s"]
    table = report.table("Requests that run, and the bound", columns)
    cases = QUICK_CASES if options.quick else FULL_CASES
    worst = 0.0
    for case in cases:
        outcome = QuotaFleet(case, options.seed).run()
        worst = max(worst, outcome.of_bound)
        table.add(
            case.name,
            case.nodes,
            len(case.workspaces),
            outcome.worst_window,
            outcome.worst_bound,
            outcome.of_bound,
            outcome.admitted_per_s,
            outcome.refused,
            outcome.early_per_s,
            outcome.bytes_per_s,
        )
        report.broken += broken_promises(case, outcome)
    report.summary = f"worst window: {worst:.3f} of the bound"
    return report


def broken_promises(case: QuotaCase, outcome: Outcome) -> list[str]:
    """Return the promises that a case broke."""
    broken = []
    if outcome.of_bound > 1:
        broken.append(
            f"{case.name}: {outcome.worst_window} requests in a window, "
            f"more than {outcome.worst_bound:.1f}"
        )
    if case.is_below and outcome.refused >= MAX_REFUSED_BELOW:
        broken.append(f"{case.name}: {outcome.refused:.4f} refused below the limit")
    return broken
