"""Limit how fast requests move from one region to another.

When a region reaches its capacity, more and more of its requests are
served elsewhere and later return. The share that changes region from one
span to the next stays within a configured maximum.
"""

from collections.abc import Collection, Sequence

from .const import (
    REGION_SHARE_AVERAGE_WEIGHT,
    REGION_SHARE_BOUND_FACTOR,
    REGION_SHARE_MAX_CREDIT,
    REGION_SHARE_RELAX_MS,
    REGION_SHARE_SPAN_MS,
    REGION_SHARE_TIME_CONSTANT_MS,
)

MAX_ELAPSED_MS = 500


class RegionShareLimiter:
    """Limit the change of this node's share of requests per region.

    `wanted_shares` is a moving average of the regions that requests would
    go to. `shares` follow it by at most `max_share` in a span, and each
    region has a credit that keeps the requests sent close to its share.
    The limit holds for the mean of all nodes if it holds on each node.
    """

    __slots__ = (
        "credits",
        "max_per_ms",
        "moved_at_ms",
        "relaxed_until_ms",
        "shares",
        "wanted_shares",
    )

    def __init__(self, max_share: float) -> None:
        self.max_per_ms = 0.0
        self.set_max_share(max_share)
        self.moved_at_ms = 0
        self.relaxed_until_ms = 0
        self.wanted_shares: dict[str, float] = {}
        self.shares: dict[str, float] = {}
        self.credits: dict[str, float] = {}

    def set_max_share(self, max_share: float) -> None:
        """Set the maximum share of requests that may move in a span."""
        self.max_per_ms = max_share * REGION_SHARE_BOUND_FACTOR / REGION_SHARE_SPAN_MS

    def set_initial_shares(self, shares: dict[str, float], now_ms: int) -> None:
        """Set the expected shares before the first request."""
        self.wanted_shares = dict(shares)
        self.shares = dict(shares)
        self.moved_at_ms = now_ms

    def relax_limit(self, now_ms: int) -> None:
        """Suspend the limit for a while, as after losing an upstream."""
        self.relaxed_until_ms = now_ms + REGION_SHARE_RELAX_MS

    def set_open_regions(self, regions: Collection[str]) -> None:
        """Move the shares of all other regions to these at once.

        Where there is no upstream left, requests can't stay for a while.
        """
        if not regions:
            return
        self.shares = _only(self.shares, regions)
        self.wanted_shares = _only(self.wanted_shares, regions)
        self.credits = {n: c for n, c in self.credits.items() if n in regions}

    def pick_region(self, wanted: Sequence[str], now_ms: int) -> str | None:
        """Return the first of the wanted regions that has credit left.

        `wanted` is in order of preference. Its first region is counted in
        the moving average, whichever is returned.
        """
        if not wanted:
            return None
        self._count_wanted(wanted[0])
        if not self.shares or now_ms < self.relaxed_until_ms:
            return wanted[0]
        self._move_shares(now_ms)
        for region in wanted:
            credit = self.credits.get(region, 0.0) + self.shares.get(region, 0.0)
            if credit - 1.0 >= -REGION_SHARE_MAX_CREDIT:
                return region
        return None

    def record_sent(self, region: str, now_ms: int) -> None:
        """Count a request that is sent to `region`."""
        if not self.shares or now_ms < self.relaxed_until_ms:
            self.shares = dict(self.wanted_shares)
            self.credits.clear()
            self.moved_at_ms = now_ms
            return
        for name in {region, *self.shares, *self.credits}:
            credit = self.credits.get(name, 0.0) + self.shares.get(name, 0.0)
            credit -= name == region
            self.credits[name] = min(REGION_SHARE_MAX_CREDIT, credit)

    def _count_wanted(self, region: str) -> None:
        if not self.wanted_shares:
            self.wanted_shares[region] = 1.0
            return
        for name in {region, *self.wanted_shares}:
            share = self.wanted_shares.get(name, 0.0)
            self.wanted_shares[name] = share + REGION_SHARE_AVERAGE_WEIGHT * (
                (name == region) - share
            )

    def _move_shares(self, now_ms: int) -> None:
        """Move the shares towards the wanted ones as far as time allows."""
        names = {*self.wanted_shares, *self.shares}
        changes = {
            n: self.wanted_shares.get(n, 0.0) - self.shares.get(n, 0.0) for n in names
        }
        distance = sum(abs(change) for change in changes.values()) / 2
        elapsed_ms = min(MAX_ELAPSED_MS, now_ms - self.moved_at_ms)
        self.moved_at_ms = now_ms
        max_change = (
            min(self.max_per_ms, distance / REGION_SHARE_TIME_CONSTANT_MS) * elapsed_ms
        )
        fraction = max_change / distance if distance > 0 else 0.0
        for name, change in changes.items():
            self.shares[name] = self.shares.get(name, 0.0) + fraction * change


def _only(shares: dict[str, float], regions: Collection[str]) -> dict[str, float]:
    """Return the shares of some regions, scaled to the same sum as before."""
    kept = {name: share for name, share in shares.items() if name in regions}
    if len(kept) == len(shares):
        return shares
    total = sum(kept.values())
    if total <= 0:
        return dict.fromkeys(regions, sum(shares.values()) / len(regions))
    scale = sum(shares.values()) / total
    return {name: share * scale for name, share in kept.items()}
