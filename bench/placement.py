"""Play loads of several deployments through the real placement."""

from dataclasses import dataclass, replace

from bilberry_core.const import MS_PER_SECOND

from .placement_machines import MachineModel, Telling
from .placement_model import KNOWN_OBJECT_FRACTION, DeploymentModel, ServiceModel
from .placement_outcome import outcome_of
from .placement_sim import run_seconds
from .report import Options, Report

SECONDS = 20
FULL_SECONDS = 60
# The first region has a tenth of the upstreams, and each has as many callers.
UPSTREAM_SHARES = {"a": 0.1, "b": 0.4, "c": 0.5}
PHASES = {"a": 0.1, "b": 0.43, "c": 0.77}
WORK_MS = (600, 900, 1_800)
TARGETS_MS = (500, 700, 1_200)
TIMEOUTS_MS = (2_000, 3_000, 5_000)
REQUEST_SHARES = (6.0, 2.0, 2.0)
OBJECTS_PER_UPSTREAM = 3
CACHED_PER_UPSTREAM = 10
DOMAINS_PER_REGION = 2


@dataclass(slots=True, frozen=True)
class Size:
    """Describe a deployment by its size and load.

    `load` is the fraction of all slots that is busy if each request finds its
    object cached.
    """

    name: str
    upstreams: int
    slots: int
    nodes_per_domain: int
    load: float


QUICK_SIZES = (
    Size("few slots, calm", 40, 3, 6, 0.25),
    Size("few slots, busy", 40, 3, 6, 0.5),
    Size("many slots, calm", 40, 9, 6, 0.25),
    Size("many slots, busy", 40, 9, 6, 0.5),
)
FULL_SIZES = (
    *QUICK_SIZES,
    Size("few slots, full", 40, 3, 6, 0.8),
    Size("large, busy", 160, 9, 30, 0.4),
)

MACHINES_SIZE = Size("machines", 40, 4, 5, 0.4)


def make_model(size: Size) -> DeploymentModel:
    """Return a deployment of three services of the same size."""
    services = tuple(
        ServiceModel(
            f"s{index}",
            {
                region: max(1, round(share * size.upstreams))
                for region, share in UPSTREAM_SHARES.items()
            },
            size.slots,
            CACHED_PER_UPSTREAM,
            REQUEST_SHARES[index],
            WORK_MS[index],
            TARGETS_MS[index],
            TIMEOUTS_MS[index],
            OBJECTS_PER_UPSTREAM * size.upstreams,
        )
        for index in range(len(WORK_MS))
    )
    busiest_ms = max(
        share * work_ms for share, work_ms in zip(REQUEST_SHARES, WORK_MS, strict=True)
    )
    slot_ms = busiest_ms * KNOWN_OBJECT_FRACTION / sum(REQUEST_SHARES)
    per_s = size.load * size.upstreams * size.slots * MS_PER_SECOND / slot_ms
    return DeploymentModel(
        size.name, PHASES, DOMAINS_PER_REGION, size.nodes_per_domain, per_s, services
    )


def run(options: Options) -> Report:
    """Play each deployment and show what callers got."""
    report = Report()
    columns = ["deployment", "credit", "settled", "worst domain", "worst service"]
    columns += ["served", "refused", "misses", "connects"]
    columns += ["crossing", "opposite"]
    table = report.table("What callers get, as fractions", columns)
    sizes = QUICK_SIZES if options.quick else FULL_SIZES
    seconds = SECONDS if options.quick else FULL_SECONDS
    credits = []
    for size in sizes:
        outcome = outcome_of(run_seconds(make_model(size), options.seed, seconds))
        credits.append(outcome.settled)
        table.add(
            size.name,
            outcome.credit,
            outcome.settled,
            outcome.worst_domain,
            outcome.worst_service,
            outcome.served,
            outcome.refused,
            outcome.misses,
            outcome.connects,
            outcome.crossing,
            outcome.opposite,
        )
    mean = sum(credits) / len(credits)
    add_machines(report, options, seconds)
    report.summary = f"credit once caches have filled: {mean:.3f} in the mean"
    return report


def add_machines(report: Report, options: Options, seconds: int) -> None:
    """Show what callers get if machines turn slow, by what answers tell."""
    columns = ["load headers", "credit", "settled", "worst domain", "served"]
    table = report.table("Machines that turn slow for 600 ms", columns)
    for telling in Telling:
        model = replace(make_model(MACHINES_SIZE), machines=MachineModel(telling))
        outcome = outcome_of(run_seconds(model, options.seed, seconds))
        table.add(
            telling.value,
            outcome.credit,
            outcome.settled,
            outcome.worst_domain,
            outcome.served,
        )
