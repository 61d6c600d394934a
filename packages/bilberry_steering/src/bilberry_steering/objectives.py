"""Objectives of a deployment: target utilization and spill targets."""

from dataclasses import dataclass
from typing import Protocol

from bilberry_core.registry import Registry

from .const import (
    HEADROOM_TARGET_UTILIZATION,
    LATENCY_TARGET_UTILIZATION,
    OBJECTIVE_HEADROOM,
    OBJECTIVE_LATENCY,
)


@dataclass(slots=True, frozen=True)
class SpillCandidate:
    """Represent the requests/s that a region can still take, and its delay."""

    region: str
    headroom_per_s: float
    one_way_ms: float
    cost: float


class Objective(Protocol):
    """Define the target utilization and how excess load is distributed."""

    target_utilization: float

    def distribute(
        self, excess: float, candidates: list[SpillCandidate]
    ) -> dict[str, float]:
        """Return the requests/s of `excess` that each region takes."""
        ...


OBJECTIVES: Registry[str, Objective] = Registry()


class HeadroomObjective:
    """Distribute excess load in proportion to each region's headroom."""

    target_utilization = HEADROOM_TARGET_UTILIZATION

    def distribute(
        self, excess: float, candidates: list[SpillCandidate]
    ) -> dict[str, float]:
        """Return the requests/s per region, in proportion to headroom."""
        total = sum(candidate.headroom_per_s for candidate in candidates)
        if total <= 0:
            return {}
        placed = min(excess, total)
        return {
            c.region: placed * c.headroom_per_s / total
            for c in candidates
            if c.headroom_per_s > 0
        }


class LatencyObjective:
    """Fill the nearest region first; the cheaper link wins a tie."""

    target_utilization = LATENCY_TARGET_UTILIZATION

    def distribute(
        self, excess: float, candidates: list[SpillCandidate]
    ) -> dict[str, float]:
        """Return the requests/s per region, filling the nearest first."""
        rates_per_s: dict[str, float] = {}
        ordered = sorted(candidates, key=lambda c: (c.one_way_ms, c.cost, c.region))
        for candidate in ordered:
            rate_per_s = min(excess, candidate.headroom_per_s)
            if rate_per_s > 0:
                rates_per_s[candidate.region] = rate_per_s
                excess -= rate_per_s
        return rates_per_s


OBJECTIVES.register(OBJECTIVE_HEADROOM)(HeadroomObjective())
OBJECTIVES.register(OBJECTIVE_LATENCY)(LatencyObjective())
