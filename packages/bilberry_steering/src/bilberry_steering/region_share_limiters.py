"""Limit how fast requests move between the regions that they may use.

Requests that are bound to the same regions have the same choice, and shares of
their own. With several such sets each limiter has less credit, so that their
deviations from the shares don't add up.
"""

from collections.abc import Collection, Mapping

from .const import REGION_SHARE_IDLE_MS
from .initial_shares import initial_shares
from .region_share_limiter import RegionShareLimiter

ANY_REGION: frozenset[str] = frozenset()
# For each of several limiters; with less, no region might have any.
DIVIDED_CREDIT_REQUESTS = 0.9


class RegionShareLimiters:
    """Store one limiter for each set of home regions; empty is any region."""

    __slots__ = ("by_homes", "max_share", "region", "relaxed_at_ms")

    def __init__(self, region: str, max_share: float) -> None:
        self.region = region
        self.max_share = max_share
        self.relaxed_at_ms: int | None = None
        self.by_homes = {ANY_REGION: RegionShareLimiter(max_share)}

    @property
    def unbound(self) -> RegionShareLimiter:
        """Return the limiter of requests without home regions."""
        return self.by_homes[ANY_REGION]

    def get_or_add(self, homes: frozenset[str]) -> RegionShareLimiter:
        """Return the limiter of requests bound to `homes`."""
        found = self.by_homes.get(homes)
        if found is None:
            found = RegionShareLimiter(self.max_share)
            if self.relaxed_at_ms is not None:
                found.relax_limit(self.relaxed_at_ms)
            self.by_homes[homes] = found
            for limiter in self.by_homes.values():
                limiter.max_credit = DIVIDED_CREDIT_REQUESTS
        return found

    def needs_shares(self, homes: frozenset[str], now_ms: int) -> bool:
        """Return whether a limiter has no shares, or those of long ago."""
        limiter = self.get_or_add(homes)
        is_idle = now_ms - limiter.moved_at_ms > REGION_SHARE_IDLE_MS
        return not limiter.shares or (bool(homes) and is_idle)

    def init_shares(
        self, homes: frozenset[str], slots: Mapping[str, float], now_ms: int
    ) -> None:
        """Set shares from those of unbound requests, else from slots."""
        if not homes:
            shares = initial_shares(slots, self.region)
        else:
            shares = _scaled(self.unbound.shares, homes) or _scaled(slots, homes)
        self.get_or_add(homes).set_initial_shares(shares, now_ms)

    def set_max_share(self, max_share: float) -> None:
        """Set the maximum share of requests that may move in a span."""
        self.max_share = max_share
        for limiter in self.by_homes.values():
            limiter.set_max_share(max_share)

    def relax_limit(self, now_ms: int) -> None:
        """Suspend the limits for a while, as after losing an upstream."""
        self.relaxed_at_ms = now_ms
        for limiter in self.by_homes.values():
            limiter.relax_limit(now_ms)

    def set_open_regions(self, regions: Collection[str]) -> None:
        """Move the shares of all other regions to these at once."""
        for homes, limiter in self.by_homes.items():
            limiter.set_open_regions(
                {name for name in regions if not homes or name in homes}
            )


def _scaled(shares: Mapping[str, float], regions: Collection[str]) -> dict[str, float]:
    """Return the shares of some regions, scaled to a sum of 1, or none."""
    kept = {name: share for name, share in shares.items() if name in regions}
    total = sum(kept.values())
    return {n: share / total for n, share in kept.items()} if total > 0 else {}
