"""Histograms with fixed bucket bounds."""

from bisect import bisect_left

LATENCY_BOUNDS_MS = (
    5,
    10,
    25,
    50,
    100,
    200,
    300,
    400,
    600,
    800,
    1_000,
    1_500,
    2_500,
    5_000,
    10_000,
)


class Histogram:
    """Count observed values per bucket; the last bucket is unbounded.

    An observation costs one binary search.
    """

    __slots__ = ("bounds", "counts", "value_sum")

    def __init__(self, bounds: tuple[int, ...] = LATENCY_BOUNDS_MS) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.value_sum = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.value_sum += value

    @property
    def observations(self) -> int:
        """Return the number of values observed."""
        return sum(self.counts)

    def cumulative_counts(self) -> list[int]:
        """Return the cumulative counts, the last one for the unbounded."""
        running_count = 0
        sums = []
        for count in self.counts:
            running_count += count
            sums.append(running_count)
        return sums
