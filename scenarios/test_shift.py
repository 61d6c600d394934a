"""Run the scenarios on shifts."""

from itertools import pairwise

import gevent
from pytest_bdd import parsers, scenarios, then, when

from bilberry_resources.const import KIND_INTENT
from bilberry_testing.demo.deployment import make_object

from .callers import regions_of

scenarios("features/shift.feature")

STEP_MS = 1_500
SAMPLE_MS = 500
MAX_SAMPLES = 40
SAMPLING_ERROR = 0.13


@when(
    parsers.parse(
        "the operator moves {percent:d}% of {service} from {source} to {target}, "
        "at most {cap:d}% a step"
    )
)
def move(cluster, percent, service, source, target, cap):
    intent = make_object(
        KIND_INTENT,
        "shift",
        service=service,
        moves=[{"source": source, "target": target, "share": percent / 100}],
        cap={"max_share": cap / 100},
        step_ms=STEP_MS,
        soak_ms=STEP_MS // 2,
    )
    assert cluster.apply(intent) == 0, cluster.outputs[-1]


@then(parsers.parse("no step moves more than {cap:d}% of the callers"))
def steps_within_cap(cluster, steady, cap):
    (callers,) = steady
    shares = []
    for _ in range(MAX_SAMPLES):
        gevent.sleep(SAMPLE_MS / 1_000)
        counts = regions_of(callers.exchanges[-callers.round_size :])
        shares.append(counts["qc"] / max(counts.total(), 1))
        if is_complete(cluster):
            break
    jumps = [b - a for a, b in pairwise(shares)]
    assert max(jumps, default=0) <= cap / 100 + SAMPLING_ERROR, shares


@then(parsers.parse("the intent is complete with {percent:d}% served in {region}"))
def complete(cluster, steady, percent, region):
    cluster.until(lambda: is_complete(cluster), 10_000)
    (callers,) = steady
    before = len(callers.exchanges)
    gevent.sleep(2)
    counts = regions_of(callers.exchanges[before:])
    share = counts[region] / counts.total()
    assert abs(share - percent / 100) <= SAMPLING_ERROR, counts


def is_complete(cluster):
    cluster.ctl("wait", "intent", "shift", "--for", "complete", "--timeout-ms", "1")
    return cluster.exit_codes[-1] == 0
