"""Estimate the processing times of a route's requests, without queueing."""

from dataclasses import dataclass
from enum import IntEnum

from .const import (
    FIRST_RANK_PART,
    KNOWN_WARM_PART,
    OTHER_RANK_PART,
    SECOND_RANK_PART,
    WORK_WEIGHT,
)


class Warmth(IntEnum):
    """Enumerate how likely an upstream has the request's object cached."""

    KNOWN = 0
    FIRST_RANK = 1
    SECOND_RANK = 2
    OTHER_RANK = 3


START_PARTS = {
    Warmth.KNOWN: KNOWN_WARM_PART,
    Warmth.FIRST_RANK: FIRST_RANK_PART,
    Warmth.SECOND_RANK: SECOND_RANK_PART,
    Warmth.OTHER_RANK: OTHER_RANK_PART,
}


@dataclass(slots=True)
class WorkTimes:
    """Store a route's mean processing times by warmth, in ms."""

    means: list[float]

    @classmethod
    def starting(cls, target_ms: int) -> "WorkTimes":
        """Return initial times derived from the route's latency objective."""
        return cls([target_ms * START_PARTS[warmth] for warmth in Warmth])

    def expected_ms(self, warmth: Warmth) -> float:
        """Return the mean time for this warmth, in ms."""
        return self.means[warmth]

    def observe(self, warmth: Warmth, took_ms: float) -> float:
        """Update the mean with a time; return its ratio to the old mean."""
        mean = self.means[warmth]
        ratio = took_ms / max(mean, 1.0)
        bounded = min(took_ms, 3 * mean)
        self.means[warmth] += WORK_WEIGHT * (bounded - mean)
        return ratio
