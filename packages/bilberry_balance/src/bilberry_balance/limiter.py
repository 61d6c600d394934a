"""Adapt the concurrency limit to the latency of the upstreams."""

from .const import (
    DEFAULT_BASELINE_RISE_WEIGHT,
    DEFAULT_EXPECTED_LATENCY_MS,
    DEFAULT_FEW_SLOTS_TOLERANCE,
    DEFAULT_LATENCY_TOLERANCE,
    DEFAULT_LATENCY_WEIGHT,
    DEFAULT_LIMIT_GROWTH_FACTOR,
    DEFAULT_LIMIT_SHRINK_FACTOR,
    DEFAULT_LIMIT_WINDOW_MS,
    MIN_REQUESTS_PER_LIMIT_WINDOW,
)

OVERLOAD_FRACTION = 0.1


class AdaptiveConcurrencyLimit:
    """Shrink the limit under overload, else grow it, within two bounds.

    Overload means that too many requests were shed or timed out, or that
    the mean latency exceeds the baseline by the factor `latency_tolerance`.
    The baseline follows lower means fast and higher ones slowly. The minimum
    is the node's own number of slots, which other nodes use only as a
    fallback.
    """

    __slots__ = (
        "answered_count",
        "baseline_ms",
        "current",
        "latency_sum_ms",
        "maximum",
        "mean_latency_ms",
        "minimum",
        "overloaded_count",
        "window_start_ms",
    )

    def __init__(
        self, minimum: int, maximum: int, baseline_ms: float | None = None
    ) -> None:
        self.minimum = max(1, minimum)
        self.maximum = max(self.minimum, maximum)
        self.current = float(self.maximum)
        self.baseline_ms = baseline_ms
        self.mean_latency_ms = baseline_ms or DEFAULT_EXPECTED_LATENCY_MS
        self.window_start_ms: int | None = None
        self.latency_sum_ms = 0.0
        self.answered_count = 0
        self.overloaded_count = 0

    @property
    def concurrency(self) -> int:
        """Return how many requests may run at once."""
        return int(self.current)

    def latency_tolerance(self) -> float:
        """Return the ratio of mean to baseline latency that means overload.

        It is higher with few slots, where queues are longer at any load.
        """
        few_slots_tolerance = DEFAULT_FEW_SLOTS_TOLERANCE / self.minimum
        return DEFAULT_LATENCY_TOLERANCE + few_slots_tolerance

    def set_bounds(self, minimum: int, maximum: int) -> None:
        """Change the bounds; a limit at its maximum moves to the new one."""
        at_maximum = self.current >= self.maximum
        self.minimum = max(1, minimum)
        self.maximum = max(self.minimum, maximum)
        limit = self.maximum if at_maximum else self.current
        self.current = self._clamp(limit)

    def on_request_end(
        self, latency_ms: float | None, overloaded: bool, now_ms: int
    ) -> None:
        """Update the limit after a request has ended."""
        if overloaded:
            self.overloaded_count += 1
        elif latency_ms is not None:
            self.answered_count += 1
            self.latency_sum_ms += latency_ms
            difference_ms = latency_ms - self.mean_latency_ms
            self.mean_latency_ms += DEFAULT_LATENCY_WEIGHT * difference_ms
        if self.window_start_ms is None:
            self.window_start_ms = now_ms
        if now_ms - self.window_start_ms < DEFAULT_LIMIT_WINDOW_MS:
            return
        if self.answered_count + self.overloaded_count >= MIN_REQUESTS_PER_LIMIT_WINDOW:
            self._adjust_limit(now_ms)

    def _adjust_limit(self, now_ms: int) -> None:
        factor = DEFAULT_LIMIT_GROWTH_FACTOR
        if self._is_overloaded():
            factor = DEFAULT_LIMIT_SHRINK_FACTOR
        self.current = self._clamp(self.current * factor)
        self._update_baseline()
        self.window_start_ms = now_ms
        self.latency_sum_ms = 0.0
        self.answered_count = 0
        self.overloaded_count = 0

    def _is_overloaded(self) -> bool:
        if self.overloaded_count > OVERLOAD_FRACTION * (
            self.answered_count + self.overloaded_count
        ):
            return True
        if self.baseline_ms is None or self.answered_count == 0:
            return False
        return (
            self.latency_sum_ms / self.answered_count
            > self.latency_tolerance() * self.baseline_ms
        )

    def _update_baseline(self) -> None:
        if self.answered_count == 0:
            return
        mean_ms = self.latency_sum_ms / self.answered_count
        if self.baseline_ms is None:
            self.baseline_ms = mean_ms
            return
        rising = mean_ms > self.baseline_ms
        weight = DEFAULT_BASELINE_RISE_WEIGHT if rising else DEFAULT_LATENCY_WEIGHT
        self.baseline_ms += weight * (mean_ms - self.baseline_ms)

    def _clamp(self, limit: float) -> float:
        return min(float(self.maximum), max(float(self.minimum), limit))
