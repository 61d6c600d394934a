"""Measure the rate of a node's requests at an upstream."""

import math
from dataclasses import dataclass

from bilberry_core.const import MS_PER_SECOND

from .const import SEND_RATE_WINDOW_MS


@dataclass(slots=True)
class SendRate:
    """Store an exponentially decaying rate of requests."""

    decayed_per_s: float = 0.0
    at_ms: int = 0

    def record(self, now_ms: int) -> None:
        """Record that a request is sent."""
        self.decayed_per_s = self.per_s(now_ms) + MS_PER_SECOND / SEND_RATE_WINDOW_MS
        self.at_ms = now_ms

    def per_s(self, now_ms: int) -> float:
        """Return the requests a second."""
        age_ms = max(0, now_ms - self.at_ms)
        return self.decayed_per_s * math.exp(-age_ms / SEND_RATE_WINDOW_MS)
