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
class Room:
    """Represent the requests/s that a region can still take, and its delay."""

    region: str
    rate: float
    one_way_ms: float
    cost: float


class Objective(Protocol):
    """Define the target utilization and how excess load is distributed."""

    target: float

    def divide(self, excess: float, rooms: list[Room]) -> dict[str, float]:
        """Return the requests/s of `excess` that each region takes."""
        ...


OBJECTIVES: Registry[str, Objective] = Registry()


class HeadroomObjective:
    """Distribute excess load in proportion to each region's headroom."""

    target = HEADROOM_TARGET_UTILIZATION

    def divide(self, excess: float, rooms: list[Room]) -> dict[str, float]:
        """Return the requests/s per region, in proportion to headroom."""
        total = sum(room.rate for room in rooms)
        if total <= 0:
            return {}
        placed = min(excess, total)
        return {r.region: placed * r.rate / total for r in rooms if r.rate > 0}


class LatencyObjective:
    """Fill the nearest region first; the cheaper link wins a tie."""

    target = LATENCY_TARGET_UTILIZATION

    def divide(self, excess: float, rooms: list[Room]) -> dict[str, float]:
        """Return the requests/s per region, filling the nearest first."""
        parts: dict[str, float] = {}
        ordered = sorted(rooms, key=lambda r: (r.one_way_ms, r.cost, r.region))
        for room in ordered:
            part = min(excess, room.rate)
            if part > 0:
                parts[room.region] = part
                excess -= part
        return parts


OBJECTIVES.register(OBJECTIVE_HEADROOM)(HeadroomObjective())
OBJECTIVES.register(OBJECTIVE_LATENCY)(LatencyObjective())
