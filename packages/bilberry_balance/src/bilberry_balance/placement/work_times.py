"""Learn how long the requests of a route take when nothing is in the way."""

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
    """Say how likely an upstream has handled the request's object."""

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
    """Hold a route's mean times by warmth, in ms."""

    means: list[float]

    @classmethod
    def starting(cls, target_ms: int) -> "WorkTimes":
        """Return times guessed from the route's latency objective."""
        return cls([target_ms * START_PARTS[warmth] for warmth in Warmth])

    def expected_ms(self, warmth: Warmth) -> float:
        """Return the mean time of requests with this warmth."""
        return self.means[warmth]

    def observe(self, warmth: Warmth, took_ms: float) -> float:
        """Take in one answer's time; return its ratio to the mean."""
        mean = self.means[warmth]
        ratio = took_ms / max(mean, 1.0)
        bounded = min(took_ms, 3 * mean)
        self.means[warmth] += WORK_WEIGHT * (bounded - mean)
        return ratio
