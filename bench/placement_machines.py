"""Model machines of upstreams that turn slow by themselves and tell it."""

import random
from dataclasses import dataclass, field
from enum import StrEnum, auto

from bilberry_core.const import MS_PER_SECOND


class Telling(StrEnum):
    """Enumerate what answers tell of their upstream's load.

    With `UNREADABLE` nodes drop the whole report, `LOAD` lacks the pace.
    """

    UNREADABLE = auto()
    LOAD = auto()
    PACE = auto()


@dataclass(slots=True, frozen=True)
class MachineModel:
    """Describe how machines turn slow, and which requests take long anyway.

    A machine is `factor` times as slow for `spell_ms`, `gap_ms` apart in the
    mean. `long_share` of all requests take `long_factor` times as long.
    """

    telling: Telling
    factor: float = 2.5
    spell_ms: int = 600
    gap_ms: int = 6 * MS_PER_SECOND
    long_share: float = 0.03
    long_factor: float = 7.0


@dataclass(slots=True)
class Machine:
    """Run one machine; times must not go back."""

    model: MachineModel
    rng: random.Random
    slow_from_ms: int = field(init=False)

    def __post_init__(self) -> None:
        """Draw the first spell."""
        self.slow_from_ms = self.draw_gap_ms()

    def draw_gap_ms(self) -> int:
        """Return the time until the next spell."""
        return round(self.rng.expovariate(1 / self.model.gap_ms))

    def pace(self, now_ms: int) -> float:
        """Return how many times as long work takes now."""
        while now_ms >= self.slow_from_ms + self.model.spell_ms:
            self.slow_from_ms += self.model.spell_ms + self.draw_gap_ms()
        return self.model.factor if now_ms >= self.slow_from_ms else 1.0

    def work_factor(self, now_ms: int) -> float:
        """Return how many times as long a request takes that begins now."""
        is_long = self.rng.random() < self.model.long_share
        return self.pace(now_ms) * (self.model.long_factor if is_long else 1.0)
