"""Exponential backoff with seeded jitter."""

import random
from dataclasses import dataclass, field

from .const import DEFAULT_BACKOFF_BASE_MS, DEFAULT_BACKOFF_MAX_MS


@dataclass(slots=True)
class Backoff:
    """Compute retry delays between half and all of a doubling bound."""

    seed: int
    base_ms: int = DEFAULT_BACKOFF_BASE_MS
    max_ms: int = DEFAULT_BACKOFF_MAX_MS
    failures: int = 0
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        """Create the random number generator for the jitter."""
        self.rng = random.Random(self.seed)

    def next_delay_ms(self) -> int:
        """Count a failure and return the delay before the next attempt."""
        doublings = min(self.failures, 20)
        bound_ms = min(self.max_ms, self.base_ms << doublings)
        self.failures += 1
        return self.rng.randint(bound_ms // 2, bound_ms)

    def reset(self) -> None:
        """Clear the failure count after a success."""
        self.failures = 0
