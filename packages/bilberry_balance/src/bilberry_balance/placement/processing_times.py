"""Estimate the processing times of a route's requests, without queueing."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from .const import (
    FIRST_RANK_TARGET_FRACTION,
    KNOWN_TARGET_FRACTION,
    MAX_OBSERVED_RATIO,
    OTHER_RANK_TARGET_FRACTION,
    PROCESSING_TIME_WEIGHT,
    SECOND_RANK_TARGET_FRACTION,
)
from .pace import USUAL_PACE, explained_pace


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
# The initial mean counts as this many observations.
INITIAL_OBSERVATIONS = 4


@dataclass(slots=True)
class MeanTime:
    """Store a mean of processing times, in ms."""

    mean_ms: float
    count: int = 0

    def observe(self, took_ms: float, paces: Sequence[float]) -> float:
        """Update the mean with a time; return its ratio to the old mean.

        What the machine's pace explains is left out of both.
        """
        ratio = took_ms / max(self.mean_ms, 1.0)
        pace = explained_pace(ratio, paces)
        took_ms /= pace
        ratio /= pace
        bounded = min(took_ms, MAX_OBSERVED_RATIO * self.mean_ms)
        weight = 1 / (self.count + INITIAL_OBSERVATIONS)
        change = max(PROCESSING_TIME_WEIGHT, weight) * (bounded - self.mean_ms)
        self.mean_ms += change
        self.count += 1
        return ratio


@dataclass(slots=True)
class ProcessingTimes:
    """Store a route's mean processing times by warmth.

    Those in this region are kept apart: where it is short of upstreams, its
    caches hold fewer of the objects.
    """

    local: list[MeanTime]
    distant: list[MeanTime]

    @classmethod
    def from_target(cls, target_ms: int) -> "ProcessingTimes":
        """Return initial times derived from the route's latency objective."""
        return cls(_initial_times(target_ms), _initial_times(target_ms))

    def expected_ms(self, warmth: Warmth, is_local: bool = True) -> float:
        """Return the mean time for this warmth, in ms."""
        times = self.local if is_local else self.distant
        return times[warmth].mean_ms

    def observe(
        self,
        warmth: Warmth,
        took_ms: float,
        is_local: bool = True,
        paces: Sequence[float] = (USUAL_PACE,),
    ) -> float:
        """Update a mean with a time; return its ratio to the old mean.

        `paces` are those of the machine that were known meanwhile.
        """
        times = self.local if is_local else self.distant
        return times[warmth].observe(took_ms, paces)

    @property
    def is_measured(self) -> bool:
        """Return whether a request for a cached object has been seen."""
        return self.local[Warmth.KNOWN].count > 0

    def miss_ms(self) -> float:
        """Return how much longer a request for an object not cached takes."""
        known_ms = self.expected_ms(Warmth.KNOWN)
        return max(0.0, self.expected_ms(Warmth.OTHER_RANK) - known_ms)


def _initial_times(target_ms: int) -> list[MeanTime]:
    return [MeanTime(target_ms * INITIAL_FRACTIONS[warmth]) for warmth in Warmth]
