"""Estimate the processing times of a route's requests, without queueing."""

from dataclasses import dataclass
from enum import IntEnum

from .const import (
    FIRST_RANK_TARGET_FRACTION,
    KNOWN_TARGET_FRACTION,
    OTHER_RANK_TARGET_FRACTION,
    PROCESSING_TIME_WEIGHT,
    SECOND_RANK_TARGET_FRACTION,
)


class Warmth(IntEnum):
    """Enumerate how likely an upstream has the request's object cached."""

    KNOWN = 0
    FIRST_RANK = 1
    SECOND_RANK = 2
    OTHER_RANK = 3


INITIAL_FRACTIONS = {
    Warmth.KNOWN: KNOWN_TARGET_FRACTION,
    Warmth.FIRST_RANK: FIRST_RANK_TARGET_FRACTION,
    Warmth.SECOND_RANK: SECOND_RANK_TARGET_FRACTION,
    Warmth.OTHER_RANK: OTHER_RANK_TARGET_FRACTION,
}


@dataclass(slots=True)
class ProcessingTimes:
    """Store a route's mean processing times by warmth, in ms."""

    means: list[float]

    @classmethod
    def from_target(cls, target_ms: int) -> "ProcessingTimes":
        """Return initial times derived from the route's latency objective."""
        return cls([target_ms * INITIAL_FRACTIONS[warmth] for warmth in Warmth])

    def expected_ms(self, warmth: Warmth) -> float:
        """Return the mean time for this warmth, in ms."""
        return self.means[warmth]

    def observe(self, warmth: Warmth, took_ms: float) -> float:
        """Update the mean with a time; return its ratio to the old mean."""
        mean = self.means[warmth]
        ratio = took_ms / max(mean, 1.0)
        bounded = min(took_ms, 3 * mean)
        self.means[warmth] += PROCESSING_TIME_WEIGHT * (bounded - mean)
        return ratio
