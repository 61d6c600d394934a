"""Adapt the concurrency limit to the latency of the upstreams."""

from .const import (
    DEFAULT_LATENCY_TOLERANCE,
    DEFAULT_LATENCY_WEIGHT,
    DEFAULT_LIMIT_GROWTH,
    DEFAULT_LIMIT_SHRINK,
    DEFAULT_LIMIT_WINDOW_MS,
    DEFAULT_SERVICE_MS,
    DEFAULT_TOLERANCE_PER_SLOT,
    DEFAULT_USUAL_RISE_WEIGHT,
    MIN_ENDED_TO_JUDGE,
)

OVERLOAD_PART = 0.1


class AdaptiveLimit:
    """Shrink the limit under overload, else grow it, within two bounds.

    Overload means that too many requests were shed or timed out, or that
    the mean latency exceeds `tolerance` times the usual one. The usual one
    follows lower means fast and higher ones slowly. The minimum is the
    node's own number of slots, which other nodes use only as a fallback.
    """

    __slots__ = (
        "current",
        "ended",
        "maximum",
        "minimum",
        "overloads",
        "service_ms",
        "total_ms",
        "usual_ms",
        "window_from_ms",
    )

    def __init__(
        self, minimum: int, maximum: int, usual_ms: float | None = None
    ) -> None:
        self.minimum = max(1, minimum)
        self.maximum = max(self.minimum, maximum)
        self.current = float(self.maximum)
        self.usual_ms = usual_ms
        self.service_ms = usual_ms or DEFAULT_SERVICE_MS
        self.window_from_ms: int | None = None
        self.total_ms = 0.0
        self.ended = 0
        self.overloads = 0

    @property
    def running(self) -> int:
        """Return how many requests may run at once."""
        return int(self.current)

    def tolerance(self) -> float:
        """Return the ratio of mean to usual latency that means overload.

        It is higher with few slots, where queues are longer at any load.
        """
        few_slots = DEFAULT_TOLERANCE_PER_SLOT / self.minimum
        return DEFAULT_LATENCY_TOLERANCE + few_slots

    def set_bounds(self, minimum: int, maximum: int) -> None:
        """Change the bounds; a limit at its maximum moves to the new one."""
        unshrunk = self.current >= self.maximum
        self.minimum = max(1, minimum)
        self.maximum = max(self.minimum, maximum)
        wanted = self.maximum if unshrunk else self.current
        self.current = self._bounded(wanted)

    def on_end(self, latency_ms: float | None, overloaded: bool, now_ms: int) -> None:
        """Update the limit after a request has ended."""
        if overloaded:
            self.overloads += 1
        elif latency_ms is not None:
            self.ended += 1
            self.total_ms += latency_ms
            step_ms = latency_ms - self.service_ms
            self.service_ms += DEFAULT_LATENCY_WEIGHT * step_ms
        if self.window_from_ms is None:
            self.window_from_ms = now_ms
        if now_ms - self.window_from_ms < DEFAULT_LIMIT_WINDOW_MS:
            return
        if self.ended + self.overloads >= MIN_ENDED_TO_JUDGE:
            self._end_window(now_ms)

    def _end_window(self, now_ms: int) -> None:
        factor = DEFAULT_LIMIT_GROWTH
        if self._is_overloaded():
            factor = DEFAULT_LIMIT_SHRINK
        self.current = self._bounded(self.current * factor)
        self._learn_usual()
        self.window_from_ms = now_ms
        self.total_ms = 0.0
        self.ended = 0
        self.overloads = 0

    def _is_overloaded(self) -> bool:
        if self.overloads > OVERLOAD_PART * (self.ended + self.overloads):
            return True
        if self.usual_ms is None or self.ended == 0:
            return False
        return self.total_ms / self.ended > self.tolerance() * self.usual_ms

    def _learn_usual(self) -> None:
        if self.ended == 0:
            return
        mean_ms = self.total_ms / self.ended
        if self.usual_ms is None:
            self.usual_ms = mean_ms
            return
        rising = mean_ms > self.usual_ms
        weight = DEFAULT_USUAL_RISE_WEIGHT if rising else DEFAULT_LATENCY_WEIGHT
        self.usual_ms += weight * (mean_ms - self.usual_ms)

    def _bounded(self, wanted: float) -> float:
        return min(float(self.maximum), max(float(self.minimum), wanted))
