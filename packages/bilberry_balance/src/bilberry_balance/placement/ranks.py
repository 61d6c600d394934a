"""Rank the upstreams of each region by rendezvous hashing of a key."""

from bilberry_core.ids import rendezvous_order

from .upstream import Upstream

MAX_CACHED_RANKS = 4_096


class KeyRanks:
    """Compute and cache ranks, which are the same on all nodes.

    Rank 0 is the preferred upstream for the object in its region.
    """

    __slots__ = ("cached", "pools")

    def __init__(self, pools: dict[str, dict[str, Upstream]]) -> None:
        self.pools = pools
        self.cached: dict[tuple[str, str], dict[str, int]] = {}

    def for_key(self, service: str, key: str) -> dict[str, int]:
        """Return ranks by upstream name, empty without a key."""
        if not key:
            return {}
        found = self.cached.get((service, key))
        if found is None:
            if len(self.cached) >= MAX_CACHED_RANKS:
                self.cached.clear()
            found = self._compute(service, key)
            self.cached[service, key] = found
        return found

    def clear(self) -> None:
        """Clear the cache; call when a pool changes."""
        self.cached.clear()

    def _compute(self, service: str, key: str) -> dict[str, int]:
        pool = self.pools[service]
        counts: dict[str, int] = {}
        ranks: dict[str, int] = {}
        for name in rendezvous_order(key, pool):
            region = pool[name].spec.region
            ranks[name] = counts.get(region, 0)
            counts[region] = ranks[name] + 1
        return ranks
