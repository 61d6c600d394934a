"""Summarize what the callers of a placement simulation got."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from itertools import groupby

from .placement_attempt import Flow
from .placement_model import Call
from .placement_sim import PlacementSimulation

# Requests that may not have ended when the simulation stops.
TAIL_MS = 4_000
WARM_UP_MS = 8_000


@dataclass(slots=True, frozen=True)
class Outcome:
    """Store fractions of what callers are owed, and of their requests.

    `settled` is the credit once the caches have filled, `worst_domain` and
    `worst_service` that of the worst of each. `crossing` is the fraction of
    attempts in another region, `opposite` that of pairs of attempts in
    opposite directions.
    """

    credit: float
    settled: float
    worst_domain: float
    worst_service: float
    served: float
    refused: float
    misses: float
    connects: float
    crossing: float
    opposite: float


def outcome_of(simulation: PlacementSimulation) -> Outcome:
    """Return how the callers of a simulation were served."""
    end_ms = simulation.clock.now_ms() - TAIL_MS
    calls = [call for call in simulation.calls if call.started_ms < end_ms]
    settled = [call for call in calls if call.started_ms >= WARM_UP_MS]
    hits = sum(upstream.hits for upstream in simulation.upstreams.values())
    misses = sum(upstream.misses for upstream in simulation.upstreams.values())
    return Outcome(
        credit_of(calls),
        credit_of(settled),
        _worst(settled, lambda call: call.domain),
        _worst(settled, lambda call: call.service.name),
        sum(call.ended_ms is not None for call in calls) / len(calls),
        sum(call.refused for call in calls) / len(calls),
        misses / (hits + misses),
        simulation.connects / len(simulation.calls),
        crossing_of(simulation.flows),
        opposite_of(simulation.flows),
    )


def credit_of(calls: list[Call]) -> float:
    """Return the credit earned by calls, as a fraction of what is owed."""
    owed = sum(call.service.worth for call in calls)
    return sum(call.credit() for call in calls) / owed


def crossing_of(flows: Counter[Flow]) -> float:
    """Return the fraction of attempts that left their region."""
    crossing = sum(n for flow, n in flows.items() if flow.source != flow.target)
    return crossing / flows.total()


def opposite_of(flows: Counter[Flow]) -> float:
    """Return the pairs of a service's opposite attempts, by all attempts."""
    pairs = sum(
        min(number, flows[flow.opposite()])
        for flow, number in flows.items()
        if flow.source < flow.target
    )
    return pairs / flows.total()


def _worst(calls: list[Call], key: Callable[[Call], str]) -> float:
    groups = groupby(sorted(calls, key=key), key)
    return min(credit_of(list(found)) for _, found in groups)
