"""Follow how long work takes on the machine of an upstream, as it tells.

Machines turn slow for about `PACE_FADE_MS`, each by itself. A report is made
at any time of such a spell, so that the expected rest of it falls linearly.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .const import MAX_PACE, MIN_PACE, PACE_FADE_MS

USUAL_PACE = 1.0


@dataclass(slots=True)
class MachinePace:
    """Store the last told pace, a ratio to the usual time, and when."""

    reported: float = USUAL_PACE
    reported_at_ms: int = -PACE_FADE_MS

    def on_report(self, pace: float, now_ms: int) -> None:
        """Record a told pace within bounds; 0 tells nothing."""
        self.reported = USUAL_PACE if pace <= 0 else min(MAX_PACE, max(MIN_PACE, pace))
        self.reported_at_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the expected pace, which fades to the usual one."""
        left = 1.0 - (now_ms - self.reported_at_ms) / PACE_FADE_MS
        return USUAL_PACE + (self.reported - USUAL_PACE) * max(0.0, left)


def explained_pace(ratio: float, paces: Sequence[float]) -> float:
    """Return the pace that explains best how long a request took.

    `ratio` is its time to the expected one at the usual pace, and `paces` are
    those known when it was sent and when it was answered. The machine may have
    changed in between, so any pace from the lowest to the highest is possible.
    """
    return min(max(ratio, min(paces)), max(paces))
