"""Keep the share of requests that change region within its bound.

Answers the load of a short region at its peak: more and more of its requests
have to be served elsewhere, and later come back, but never more than
`max_share` of them from one span to the next.
"""

from collections import deque
from collections.abc import Sequence

from .const import SHIFT_GUARD_RELAX_MS, SHIFT_GUARD_SPAN_MS

MIN_COUNTED = 6


class ShiftGuard:
    """Compare this node's shares of the regions in two spans that follow.

    `max_share` is the largest part of the requests that may change region.
    Nodes that each keep the bound keep it together.
    """

    __slots__ = (
        "max_share",
        "now_counts",
        "now_events",
        "relaxed_until_ms",
        "then_counts",
        "then_events",
    )

    def __init__(self, max_share: float) -> None:
        self.max_share = max_share
        self.relaxed_until_ms = 0
        self.now_events: deque[tuple[int, str]] = deque()
        self.then_events: deque[tuple[int, str]] = deque()
        self.now_counts: dict[str, int] = {}
        self.then_counts: dict[str, int] = {}

    def note(self, region: str, now_ms: int) -> None:
        """Count a request that is sent to `region`."""
        self._expire(now_ms)
        self.now_events.append((now_ms, region))
        self.now_counts[region] = self.now_counts.get(region, 0) + 1

    def relax(self, now_ms: int) -> None:
        """Lift the bound for a while, as after the loss of an upstream."""
        self.relaxed_until_ms = now_ms + SHIFT_GUARD_RELAX_MS

    def allowed(self, regions: Sequence[str], now_ms: int) -> list[str]:
        """Return those of `regions` that the next request may go to.

        The region that deviates least is always allowed.
        """
        self._expire(now_ms)
        if len(self.then_events) < MIN_COUNTED or now_ms < self.relaxed_until_ms:
            return list(regions)
        moved = {region: self._moved(region) for region in regions}
        least = min(moved.values(), default=0.0)
        limit = max(self.max_share, least)
        return [region for region in regions if moved[region] <= limit]

    def _moved(self, chosen: str) -> float:
        """Return the part that has changed region once `chosen` is added."""
        now_total = len(self.now_events) + 1
        then_total = len(self.then_events)
        moved = 0.0
        for region in {chosen, *self.now_counts, *self.then_counts}:
            count = self.now_counts.get(region, 0) + (region == chosen)
            share = count / now_total
            moved += abs(share - self.then_counts.get(region, 0) / then_total)
        return moved / 2

    def _expire(self, now_ms: int) -> None:
        middle_ms = now_ms - SHIFT_GUARD_SPAN_MS
        while self.now_events and self.now_events[0][0] <= middle_ms:
            event = self.now_events.popleft()
            _decrease(self.now_counts, event[1])
            self.then_events.append(event)
            self.then_counts[event[1]] = self.then_counts.get(event[1], 0) + 1
        oldest_ms = middle_ms - SHIFT_GUARD_SPAN_MS
        while self.then_events and self.then_events[0][0] <= oldest_ms:
            _decrease(self.then_counts, self.then_events.popleft()[1])


def _decrease(counts: dict[str, int], region: str) -> None:
    counts[region] -= 1
    if not counts[region]:
        del counts[region]
