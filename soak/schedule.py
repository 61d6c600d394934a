"""Draw a schedule of faults from a seed."""

import random
from dataclasses import dataclass

from .faults import FAULTS

MIN_DURATION_MS, MAX_DURATION_MS = 500, 3_000
# Later ones begin closer together, so that some overlap.
MIN_PAUSE_MS, MAX_PAUSE_MS = 100, 1_800


@dataclass(slots=True, frozen=True)
class PlannedFault:
    """Represent a fault of a schedule, with its own seed."""

    kind: str
    at_ms: int
    duration_ms: int
    seed: int


def draw_schedule(seed: int, length_ms: int) -> list[PlannedFault]:
    """Return the faults of a run, in the order of their time."""
    rng = random.Random(seed)
    kinds = list(FAULTS)
    faults = []
    at_ms = rng.randint(MIN_PAUSE_MS, MAX_PAUSE_MS)
    while at_ms < length_ms:
        duration_ms = rng.randint(MIN_DURATION_MS, MAX_DURATION_MS)
        fault = PlannedFault(rng.choice(kinds), at_ms, duration_ms, rng.getrandbits(32))
        faults.append(fault)
        at_ms += rng.randint(MIN_PAUSE_MS, MAX_PAUSE_MS)
    return faults
