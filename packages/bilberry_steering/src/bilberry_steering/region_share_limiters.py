"""Limit how fast requests move between the regions that they may use.

Requests that are bound to the same regions have the same choice, and a limiter
of their own. If none of these groups moves more than a share of its requests,
all together don't either. Requests bound to one region have no choice: they
count in no limit, and leave the share of the others alone.
"""

from collections.abc import Collection, Iterable, Mapping

from .initial_shares import initial_shares
from .region_share_limiter import RegionShareLimiter

ANY_REGION: frozenset[str] = frozenset()


class RegionShareLimiters:
    """Store one limiter for each set of home regions; empty is any region."""

    __slots__ = ("by_homes", "max_share", "region", "relaxed_at_ms")

    def __init__(self, region: str, max_share: float) -> None:
        self.region = region
        self.max_share = max_share
        self.relaxed_at_ms: int | None = None
        self.by_homes: dict[frozenset[str], RegionShareLimiter] = {}
        self.for_homes(ANY_REGION)

    def for_homes(self, homes: frozenset[str]) -> RegionShareLimiter:
        """Return the limiter of requests bound to `homes`."""
        found = self.by_homes.get(homes)
        if found is None:
            found = RegionShareLimiter(self.max_share)
            if self.relaxed_at_ms is not None:
                found.relax_limit(self.relaxed_at_ms)
            self.by_homes[homes] = found
        return found

    def init_shares(
        self, homes: frozenset[str], slots: Mapping[str, float], now_ms: int
    ) -> None:
        """Set a limiter's initial shares from the slots of each region."""
        allowed = {name: n for name, n in slots.items() if not homes or name in homes}
        shares = initial_shares(allowed, self.region)
        total = sum(allowed.values())
        if not shares and homes and total > 0:
            shares = {name: n / total for name, n in allowed.items()}
        self.for_homes(homes).set_initial_shares(shares, now_ms)

    def set_max_share(self, max_share: float) -> None:
        """Set the maximum share of requests that may move in a span."""
        self.max_share = max_share
        for limiter in self._limiters():
            limiter.set_max_share(max_share)

    def relax_limit(self, now_ms: int) -> None:
        """Suspend the limits for a while, as after losing an upstream."""
        self.relaxed_at_ms = now_ms
        for limiter in self._limiters():
            limiter.relax_limit(now_ms)

    def set_open_regions(self, regions: Collection[str]) -> None:
        """Move the shares of all other regions to these at once."""
        for homes, limiter in self.by_homes.items():
            limiter.set_open_regions(
                {name for name in regions if not homes or name in homes}
            )

    def _limiters(self) -> Iterable[RegionShareLimiter]:
        return self.by_homes.values()
